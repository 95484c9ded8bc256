package usage

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/lease"
)

// holderInterval is the time between two steps of a holder, and between two checks whether this instance is one.
const holderInterval = 100 * time.Millisecond

// Authority provides the right to report. It is implemented by *lease.Manager.
type Authority interface {
	Authority(pool string) (lease.Authority, bool)
}

// Caller sends calls to the platform. It is implemented by *duty.Client.
type Caller interface {
	Do(ctx context.Context, a lease.Authority, c *duty.Call) duty.Result
}

// Encoder encodes reports.
type Encoder interface {
	UsageCall(r *duty.UsageReport, holder string, fence uint64) (*duty.Call, error)
}

// Metrics records the reports of this process.
type Metrics interface {
	// UsageReport records a window by outcome, and the time from its end to the answer of the platform if it was
	// accepted.
	UsageReport(outcome string, lag time.Duration)
}

// HolderConfig configures a Holder.
type HolderConfig struct {
	Instance string
	// Pool is the lease pool whose holder reports.
	Pool    string
	Windows Windows
	// Guard is how long a new holder waits before its first call, so that the last call of the previous one has ended.
	Guard  time.Duration
	Leases Authority
	// Current returns the holder of the lease as far as known; ok is false if there is none.
	Current func() (r lease.HolderRecord, ok bool)
	KV      external.KV
	// Era returns the latest era of the store that was seen. It rises each time the store comes back from an older copy; nil
	// means that it never does.
	Era    func() uint64
	Caller Caller
	// Encoder encodes the calls.
	Encoder Encoder
	Clock   *Clock
	Metrics Metrics
	Log     logrus.FieldLogger
}

// Holder reports the windows while this instance holds the lease. It is safe for concurrent use.
type Holder struct {
	cfg HolderConfig
	// started is when this process started. Earlier windows are not reported if the store has no record.
	started time.Time

	mu sync.Mutex
	// fence is the number of the lease under which the collector was started; 0 if there is none.
	fence uint64
	// authority is that of the lease with the number fence.
	authority lease.Authority
	// lastFence is the number of the last lease of this process, and mayCallAt the time of the first call under the
	// present one.
	lastFence uint64
	mayCallAt time.Time
	// unknownUntil is until when the last call that got no answer may still be carried out.
	unknownUntil time.Time
	collector    *Collector
	// former is the collector of the last lease, whose counts a next lease of this process goes on with.
	former *Collector
	stored map[string]*storedMessage
	// floor is the last window that is known to be decided, also if the store has lost the record.
	floor int64
	// newest is the record with the last window that this process has seen in the store. A store that comes back from an
	// older copy has an earlier one.
	newest *Record
	// reload makes the next step read the records again, because another instance has told of a later one.
	reload      bool
	prior       priorReports
	copies      copies
	storedBytes int
	recent      []WindowStatus

	// reporter and version belong to Run. They are those of the lease with the number loaded; 0 while the last record is
	// not known.
	reporter reporter
	version  uint64
	loaded   uint64
	// built is the report that this process built last, and builtID the ID of its record.
	built   Report
	builtID string
	// clockSteppedAt is when the clock was last stepped.
	clockSteppedAt time.Time
}

// NewHolder returns a Holder.
func NewHolder(cfg HolderConfig) *Holder {
	if cfg.Era == nil {
		cfg.Era = func() uint64 { return 0 }
	}
	return &Holder{cfg: cfg, started: time.Now(), stored: make(map[string]*storedMessage), copies: make(copies)}
}

// Run reports windows until the context ends.
func (h *Holder) Run(ctx context.Context) {
	for pause.For(ctx, holderInterval) {
		a, ok := h.cfg.Leases.Authority(h.cfg.Pool)
		if !ok {
			h.release()
			continue
		}
		h.begin(a, time.Now())
		h.step(ctx, a)
	}
}

// release ends the collection of counts after the lease has ended.
func (h *Holder) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observeEra()
	h.endAuthority()
	h.endCollection()
	h.fence = 0
}

// endCollection ends the collection of counts under a lease. Those of runs that will not send them again are kept as copies
// for the next holder. The caller must hold mu.
func (h *Holder) endCollection() {
	if h.collector == nil {
		return
	}
	for _, m := range h.collector.ended(h.cfg.Clock.Now()) {
		h.addCopy(&copied{message: m})
	}
	h.former, h.collector = h.collector, nil
}

// begin starts to collect counts under a new lease.
func (h *Holder) begin(a lease.Authority, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.Fence == h.fence {
		return
	}
	h.endAuthority()
	h.endCollection()
	at := h.cfg.Clock.Now()
	switch a.Fence {
	case 1: // the first lease ever has no previous holder
		h.mayCallAt = now
	case h.lastFence + 1:
		// This process was the previous holder, and its calls have ended unless the last one got no answer. Those of the
		// holder before it have ended only after the guard of its last lease.
		if h.unknownUntil.After(h.mayCallAt) {
			h.mayCallAt = h.unknownUntil
		}
	default:
		h.mayCallAt = now.Add(h.cfg.Guard)
	}
	h.fence, h.authority, h.lastFence, h.collector = a.Fence, a, a.Fence, NewCollector(h.cfg.Windows, at)
	h.collector.Decide(h.floor)
	if h.former != nil {
		h.collector.takeOver(h.former, at)
		h.former = nil
	}
	for _, m := range h.stored {
		h.learn(&m.Message, at)
		h.collector.Add(&m.Message, at)
	}
	for _, c := range h.copies {
		h.learn(c.message, at)
		h.collector.Add(c.message, at)
	}
	h.cfg.Log.WithFields(logrus.Fields{"fence": a.Fence, "stored": len(h.stored)}).Info("usage counts are collected here")
}

// current returns the collector, or nil if this instance holds no valid lease.
func (h *Holder) current() *Collector {
	a, ok := h.cfg.Leases.Authority(h.cfg.Pool)
	if !ok {
		return nil
	}
	h.begin(a, time.Now())
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.collector
}

// Add adds counts of an instance, if this instance holds the lease.
func (h *Holder) Add(m *Message) Ack {
	if m.NewFence != 0 {
		return h.superseded(m)
	}
	if c := h.current(); c != nil {
		if ack, ok := h.forSession(m); !ok {
			return ack
		}
		return h.addTo(c, m)
	}
	if m.Copy {
		h.keepCopy(m)
		return Ack{}
	}
	ack := Ack{NotHolder: true}
	// A record of this instance itself is out of date.
	if r, ok := h.cfg.Current(); ok && r.Holder != h.cfg.Instance {
		ack.HolderAddress, ack.HolderSession = r.Address, r.Session
	}
	return ack
}

// forSession reports whether a message is for the session in which this instance holds the lease, and the answer if not.
func (h *Holder) forSession(m *Message) (Ack, bool) {
	h.mu.Lock()
	session := h.authority.Session()
	h.mu.Unlock()
	if m.HolderTag == 0 || session == "" || m.HolderTag == sessionTag(session) {
		return Ack{}, true
	}
	return Ack{NotHolder: true, HolderSession: session}, false
}

// addTo adds counts, and what their instance knows of earlier reports, to a collector of this holder.
func (h *Holder) addTo(c *Collector, m *Message) Ack {
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	h.learn(m, now)
	session := h.authority.Session()
	h.mu.Unlock()
	ack := c.Add(m, now)
	if m.HolderTag == 0 { // the sender does not know the session yet
		ack.HolderSession = session
	}
	ack.WantRecord = h.wantsRecord(m.RecordWindow, now)
	return ack
}

// noteDecided records that the windows up to one are decided.
func (h *Holder) noteDecided(through int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.floor = max(h.floor, through)
}

// noteRecord keeps the record with the last window.
func (h *Holder) noteRecord(rec *Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newest == nil || rec.Window > h.newest.Window {
		h.newest = rec
	}
}

// newestRecord returns a record of the store, or a later one that the store has lost.
func (h *Holder) newestRecord(stored *Record) *Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.newest == nil || stored != nil && stored.Window >= h.newest.Window {
		return stored
	}
	log := h.cfg.Log.WithField("window", h.newest.Window)
	if stored != nil {
		log = log.WithField("stored", stored.Window)
	}
	log.Warn("the store has lost the record of the last usage report; the one that was seen before counts")
	return h.newest
}

// step does the next step under an authority.
func (h *Holder) step(ctx context.Context, a lease.Authority) {
	if h.recordsMissing(a.Fence) {
		h.loaded = 0
		if !h.load(ctx, a) {
			return
		}
	}
	h.mu.Lock()
	collector, mayCallAt, floor := h.collector, h.mayCallAt, h.floor
	h.mu.Unlock()
	h.reporter.skipTo(floor + 1)
	if collector == nil {
		return
	}
	if h.correctClock(collector) {
		return
	}
	now := h.cfg.Clock.Now()
	next, window, missed := h.reporter.next(now, collector.Gathered(), func(w int64) bool { return !h.mayBeReported(w) && collector.Complete(w, now) })
	h.finishMissed(missed, a, now)
	if time.Now().Before(mayCallAt) || collector.ClockError(now) != 0 {
		return
	}
	switch next {
	case stepRecord:
		if h.mayBeReported(window) {
			h.withhold(window, now)
			return
		}
		h.record(ctx, a, collector, window)
	case stepCall:
		h.call(ctx, a)
	case stepNone:
	}
}

// load reads the record of the last report. A report that is still due is sent again, exactly as recorded, because it is
// not known whether the platform has it.
func (h *Holder) load(ctx context.Context, a lease.Authority) bool {
	rec, version, err := loadRecord(ctx, h.cfg.KV)
	if err != nil {
		h.cfg.Log.WithError(err).Warn("cannot read the last usage report")
		pause.For(ctx, minRetryDelay)
		return false
	}
	h.recordsRead(rec, a.Fence)
	if rec != nil {
		h.noteRecord(rec)
	}
	rec = h.newestRecord(rec)
	h.version, h.loaded = version, a.Fence
	h.reporter = reporter{windows: h.cfg.Windows}
	h.mu.Lock()
	floor := h.floor
	h.mu.Unlock()
	h.reporter.skipTo(floor + 1)
	now := h.cfg.Clock.Now()
	if rec == nil {
		h.reporter.skipTo(h.cfg.Windows.At(now.Add(-time.Since(h.started))))
		return true
	}
	if rec.Window < floor {
		h.cfg.Log.WithFields(logrus.Fields{"window": rec.Window, "known": floor}).Error("the store has an old record of the usage reports; later windows are not reported again")
		return true
	}
	h.reporter.last = rec.Window
	h.decide(rec.Window)
	if !now.Before(h.cfg.Windows.Due(rec.Window)) {
		return true
	}
	rep, ok := rec.report()
	if rec.WriteID == h.builtID {
		rep, ok = h.built, true
	}
	if ok {
		h.reporter.recorded(rep)
	} else {
		h.cfg.Log.WithField("window", rec.Window).Warn("the last usage report is not repeated because its record does not contain the counts")
	}
	return true
}

// decide ends the collection of counts for the windows up to one, which a record names.
func (h *Holder) decide(through int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.raiseFloor(through)
}

// raiseFloor is decide for callers that hold mu.
func (h *Holder) raiseFloor(through int64) {
	h.floor = max(h.floor, through)
	if h.collector != nil {
		h.collector.Decide(through)
	}
}

// record builds the report of a window and writes its record.
func (h *Holder) record(ctx context.Context, a lease.Authority, c *Collector, window int64) {
	rep := c.Report(window)
	rec, value := newRecord(rep, h.cfg.Instance, a.Fence, h.era())
	h.built, h.builtID = rep, rec.WriteID
	version, err := cas.Swap(ctx, h.cfg.KV, cas.Write{
		Key: RecordKey, Expected: h.version, Value: value, ID: rec.WriteID, CallTimeout: recordTimeout,
		Check: func() error {
			if a.Valid() {
				return nil
			}
			return duty.ErrNoAuthority
		},
	})
	if err != nil {
		// The record may name this window now, or another holder's may. It is read before the next step.
		h.loaded = 0
		h.cfg.Log.WithError(err).WithField("window", window).Warn("usage report not recorded")
		pause.For(ctx, minRetryDelay)
		return
	}
	h.version = version
	h.noteRecord(rec)
	h.reporter.recorded(rep)
	h.decide(window)
	h.call(ctx, a)
}

// recordTimeout limits a call to the store for a record. The store answers within 320 ms when it is slow.
const recordTimeout = time.Second

// call sends the recorded report.
func (h *Holder) call(ctx context.Context, a lease.Authority) {
	rep := h.reporter.pending
	c, err := h.cfg.Encoder.UsageCall(&duty.UsageReport{Window: rep.Window, Counts: rep.Counts}, h.cfg.Instance, a.Fence)
	if err != nil {
		h.cfg.Log.WithError(err).WithField("window", rep.Window).Error("cannot encode usage report")
		h.reporter.pending = nil
		return
	}
	res := h.cfg.Caller.Do(ctx, a, c)
	now := h.cfg.Clock.Now()
	h.reporter.called(res.Outcome, now, rand.Float64())
	if res.Outcome == duty.Unknown {
		h.mu.Lock()
		h.unknownUntil = time.Now().Add(h.cfg.Guard)
		h.mu.Unlock()
	}
	log := h.cfg.Log.WithFields(logrus.Fields{
		"window": rep.Window, "accounts": len(rep.Counts), "fence": a.Fence, "outcome": res.Outcome.String(), "status": res.Status,
		"lag_ms": now.Sub(h.cfg.Windows.End(rep.Window)).Milliseconds(), "attempt": h.reporter.attempt,
	})
	if res.Outcome == duty.Accepted {
		log.Info("usage reported")
		h.finish(rep.Window, OutcomeReported, now)
		return
	}
	log.WithError(res.Err).Warn("usage report not accepted yet")
	h.cfg.Metrics.UsageReport(res.Outcome.String(), 0)
}

// correctClock steps the clock if most instances disagree with it, at most once a minute, and reports whether it did. What
// was decided by the old time is decided again.
func (h *Holder) correctClock(c *Collector) bool {
	now := h.cfg.Clock.Now()
	d := c.ClockError(now)
	if d == 0 || now.Sub(h.clockSteppedAt).Abs() < adoptAfter {
		return false
	}
	h.cfg.Clock.Step(d)
	c.ClockStepped(d)
	h.clockSteppedAt, h.loaded = h.cfg.Clock.Now(), 0
	h.cfg.Log.WithField("step_ms", d.Milliseconds()).Warn("window clock stepped because most instances disagree with it")
	return true
}
