package usage

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/lease"
)

const (
	// sendInterval is the least time between messages while counts change. An instance that is killed loses the counts of
	// the interval at most. The interval grows with the instances by intervalPerInstance, because each message takes 75 µs
	// of the holder, which may have a ninth of a core, while the counts of one instance matter less.
	sendInterval        = time.Second
	intervalPerInstance = 10 * time.Millisecond
	// finalDelay is the time after the end of a window at which its final counts may be sent; by then all its runs are
	// counted. Instances spread them by spreadPerInstance, within the limits, so that the holder does not get all at once.
	finalDelay        = 200 * time.Millisecond
	spreadPerInstance = 5 * time.Millisecond
	minSpread         = 600 * time.Millisecond
	maxSpread         = 2 * time.Second
	// changeInterval is the mean time between checks whether the holder has changed; then all counts are sent.
	changeInterval = 400 * time.Millisecond
	// resendDelay is the mean delay after a message that failed.
	resendDelay = 300 * time.Millisecond
	// sendTimeout limits one message, and askTimeout the question to another instance.
	sendTimeout = 700 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	// maxSentAccounts limits the counts in one message, which then has below 1 MiB.
	maxSentAccounts = maxAccounts
	// storeAfterWindow is how long after the end of a window, and storeAfterFailure for how long the holder has been out
	// of reach, when an instance writes its counts to the store. The second is longer than the time after which the store's
	// watch tells that a holder was killed, 2.5 s and 0.6 s, so that not all instances write when the lease changes hands.
	storeAfterWindow  = 2 * time.Second
	storeAfterFailure = 3200 * time.Millisecond
	// askAfter is for how long the holder is out of reach when another instance is asked for it.
	askAfter = 1500 * time.Millisecond
	// storedCountsTTL is the time to live of counts in the store.
	storedCountsTTL = 30 * time.Second
	// handOverPeers is the number of instances that get the counts of one that stops, since one of them may be the next to go.
	handOverPeers = 2
	// maxStoredValue limits the value of one instance's counts in the store, in bytes.
	maxStoredValue = 256 << 10
	// leavingThrough is the last window for which an instance that stops sends final counts: the holder awaits none of it.
	leavingThrough = math.MaxInt64
	// maxClockTrip is the longest time from a message to its answer after which the clocks are compared. The time that the
	// message took is known to half of it.
	maxClockTrip = 200 * time.Millisecond
	// stepAfter is for how long most instances must disagree with the clock of this one before it is stepped. A new holder
	// with a wrong clock steps its own sooner, with the first messages of all.
	stepAfter = 3 * time.Second
)

// Peers sends messages to the holder.
type Peers interface {
	Send(ctx context.Context, address string, m *Message) (Ack, error)
	// Reset closes idle connections, because the last message failed.
	Reset()
}

// SenderConfig configures a Sender.
type SenderConfig struct {
	Instance string
	// Address is where this instance takes messages.
	Address string
	Windows Windows
	Counter *Counter
	Clock   *Clock
	// Holder returns the holder of the lease; ok is false if there is none.
	Holder func() (r lease.HolderRecord, ok bool)
	// Local takes the counts if this instance is the holder.
	Local *Holder
	Peers Peers
	KV    external.KV
	Log   logrus.FieldLogger
}

// Sender sends the counts of this instance to the holder.
type Sender struct {
	cfg SenderConfig
	run int64
	// random places the messages of this instance within the spread.
	random float64
	// nextAt is when the next message is due.
	nextAt time.Time

	// session is the lease session to whose holder counts were last sent, and finalSent the last window that it got the
	// final counts of.
	session   string
	finalSent int64
	// storedThrough is the last window whose final counts were written to the store, and version that of the key. They
	// belong to RunStore while storing is true.
	storedThrough int64
	version       uint64
	storing       atomic.Bool
	storeJobs     chan storeJob
	// clockAhead is by how much the clock is ahead of that of the holder of the session; nil if it was not measured.
	clockAhead *time.Duration
	// disagreesSince is since when most instances have disagreed with the clock; zero if they agree.
	disagreesSince time.Time

	// peers holds the addresses of some other instances, and askedAt when one was last asked for the holder.
	peers   []string
	askedAt time.Time
	// former is the last holder other than this instance, and formerTold the number of the own lease that it was told.
	former     lease.HolderRecord
	formerTold uint64
	// failureLogged is true if the present failure to send was logged.
	failureLogged bool
	// copyAt is the address of the instance that keeps a copy of the counts of this one while it is the holder.
	copyAt string
	// told is the holder that another instance has named, and toldOver the session that the watch of the store showed
	// then. What the watch shows afterwards is newer.
	told     lease.HolderRecord
	toldOver string

	mu           sync.Mutex
	failingSince time.Time
	instances    int
}

// storeJob asks for the final counts of windows up to one to be written to the store.
type storeJob struct {
	final int64
	now   time.Time
}

// NewSender returns a Sender.
func NewSender(cfg SenderConfig) *Sender {
	now := cfg.Clock.Now()
	return &Sender{
		cfg: cfg, run: now.UnixNano(), random: rand.Float64(),
		finalSent: cfg.Windows.At(now) - 1, storeJobs: make(chan storeJob, 1),
	}
}

// Run sends counts until the context ends, and once more then.
func (s *Sender) Run(ctx context.Context) {
	for s.wait(ctx) {
		if now := s.cfg.Clock.Now(); !now.Before(s.nextAt) || !s.failing().IsZero() || s.holderChanged() {
			s.step(ctx)
			s.nextAt = s.next(s.cfg.Clock.Now())
		}
	}
	// The counts that the holder does not have would be lost with the process.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout+maxPeers*askTimeout)
	defer cancel()
	s.send(ctx, leavingThrough)
	s.handOver(ctx)
}

// handOver gives another instance what would be lost with this one when it stops. A holder in reach has the own counts and
// the copies already. It returns false if nobody is in reach.
func (s *Sender) handOver(ctx context.Context) bool {
	address, _, ok := s.target()
	if ok && address != "" && s.finalSent == leavingThrough && len(s.cfg.Local.copiesFor(s.session)) == 0 {
		return true
	}
	messages := append(s.cfg.Local.heldForOthers(s.cfg.Clock.Now()), s.ownCopy())
	taken := 0
	peers := slices.DeleteFunc(slices.Clone(s.peers), func(a string) bool { return a == s.copyAt })
	if s.copyAt != "" {
		peers = append([]string{s.copyAt}, peers...)
	}
	for _, address := range peers {
		if taken < handOverPeers && s.copyTo(ctx, address, messages...) {
			taken++
		}
	}
	if taken == 0 {
		s.cfg.Log.WithField("runs", len(messages)).Warn("usage counts not handed over: no other instance is in reach")
	}
	return taken > 0
}

// wait waits until something may have to be sent. It returns false if the context ends first.
func (s *Sender) wait(ctx context.Context) bool {
	now := s.cfg.Clock.Now()
	if s.nextAt.IsZero() || s.nextAt.Sub(now) > s.cfg.Windows.Length {
		s.nextAt = s.next(now) // also after the clock was stepped back
	}
	d := min(s.nextAt.Sub(now), changeInterval/2+rand.N(changeInterval))
	if !s.failing().IsZero() {
		d = resendDelay/2 + rand.N(resendDelay)
	}
	return pause.For(ctx, d)
}

// next returns the time of the next message: after the interval, or that of the final counts if they are due earlier or
// soon after.
func (s *Sender) next(now time.Time) time.Time {
	instances := time.Duration(s.Instances())
	interval := min(max(sendInterval, instances*intervalPerInstance), s.cfg.Windows.Length)
	spread := min(max(minSpread, instances*spreadPerInstance), maxSpread, s.cfg.Windows.Length/2)
	phase := finalDelay + time.Duration(s.random*float64(spread))
	final := s.cfg.Windows.Start(s.cfg.Windows.At(now)).Add(phase)
	if !now.Before(final) {
		final = final.Add(s.cfg.Windows.Length)
	}
	if at := now.Add(interval); at.Before(final.Add(-interval / 2)) {
		return at
	}
	return final
}

// holderChanged reports whether counts were not yet sent to the present holder.
func (s *Sender) holderChanged() bool {
	_, session, ok := s.target()
	return ok && session != s.session
}

func (s *Sender) step(ctx context.Context) {
	now := s.cfg.Clock.Now()
	final := s.cfg.Counter.Close(s.cfg.Windows.At(now.Add(-finalDelay/2)) - 1)
	s.tellFormer(ctx)
	s.send(ctx, final)
	s.storeIfDue(final, now)
}

// tellFormer tells the former holder, once in the guard of a new lease, that this instance holds the lease. If the store has
// ended the former one without notice, its holder goes on until it hears of that.
func (s *Sender) tellFormer(ctx context.Context) {
	fence := s.cfg.Local.guarded()
	if fence == 0 || fence == s.formerTold || s.former.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m := s.message()
	m.NewFence = fence
	ack, err := s.cfg.Peers.Send(ctx, s.former.Address, m)
	if err != nil {
		return // tried again with the next message
	}
	s.formerTold = fence
	if ack.EndedAgo != nil {
		s.cfg.Local.formerEnded(fence, time.Now().Add(-*ack.EndedAgo))
	}
}

// storeIfDue has the final counts written to the store if the holder has been out of reach for long enough.
func (s *Sender) storeIfDue(final int64, now time.Time) {
	if s.storing.Load() {
		return
	}
	failing := s.failing()
	oldest := max(s.storedThrough, s.finalSent) + 1
	if _, _, ok := s.target(); !ok || failing.IsZero() || oldest > final {
		return
	}
	if now.Sub(failing) >= storeAfterFailure && now.Sub(s.cfg.Windows.End(oldest)) >= storeAfterWindow {
		s.storing.Store(true)
		s.storeJobs <- storeJob{final, now}
	}
}

// RunStore writes counts to the store until the context ends. The store may be slow, and the holder in reach again
// meanwhile, so that Run does not wait for it.
func (s *Sender) RunStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-s.storeJobs:
			s.runStoreJob(ctx, job)
		}
	}
}

func (s *Sender) runStoreJob(ctx context.Context, job storeJob) {
	defer s.storing.Store(false)
	s.store(ctx, job.final, job.now)
}

// send sends the counts that changed, and the final ones of windows up to one.
func (s *Sender) send(ctx context.Context, final int64) {
	address, session, ok := s.target()
	if !ok {
		s.recordFailure(ctx, "", errNoHolder, s.cfg.Clock.Now())
		return
	}
	if session != s.session {
		s.cfg.Counter.UntakeAll()
		s.session, s.finalSent, s.clockAhead = session, 0, nil
	}
	s.passCopies(ctx, address, session)
	for {
		changed, more := s.cfg.Counter.TakeChanged(maxSentAccounts)
		if len(changed) == 0 && final <= s.finalSent {
			return
		}
		m := s.message()
		m.FinalThrough, m.Windows, m.HolderTag = final, changed, s.holderTag(address)
		if more {
			m.FinalThrough = s.finalSent
		}
		m.ClockAhead = s.clockAhead
		ack, err := s.deliver(ctx, address, m)
		if err != nil {
			s.cfg.Counter.Untake(changed)
			s.recordFailure(ctx, address, err, m.Clock)
			return
		}
		s.recordAck(ack, final)
		s.compareClocks(ack, m.Clock)
		if ack.WantRecord {
			s.sendRecord(ctx, address)
		}
		if !more {
			s.finalSent = final
			if address == "" {
				s.copyOwn(ctx, ack)
			}
			return
		}
	}
}

// sendRecord sends the last record of a report that was seen. If it fails, the holder asks for it again.
func (s *Sender) sendRecord(ctx context.Context, address string) {
	m := s.message()
	m.FinalThrough, m.Record, m.HolderTag = s.finalSent, s.cfg.Local.lastRecord(), s.holderTag(address)
	if _, err := s.deliver(ctx, address, m); err != nil {
		s.cfg.Log.WithError(err).WithField("address", address).Warn("record of a usage report not sent to the holder")
	}
}

// holderTag returns the tag of the session to whose holder messages are sent; 0 if that is this instance.
func (s *Sender) holderTag(address string) uint32 {
	if address == "" {
		return 0
	}
	return sessionTag(s.session)
}

func (s *Sender) message() *Message {
	m := &Message{Instance: s.cfg.Instance, Run: s.run, Clock: s.cfg.Clock.Now(), Address: s.cfg.Address}
	s.cfg.Local.tell(m)
	return m
}

var (
	errNoHolder  = errors.New("no instance holds the lease for duties")
	errNotHolder = errors.New("the instance does not hold the lease for duties any more")
)

// copyOwn gives another instance a copy of the counts of this instance, which is the holder: they would be lost with it.
func (s *Sender) copyOwn(ctx context.Context, ack Ack) {
	if s.copyAt == "" {
		if len(ack.Peers) == 0 {
			return
		}
		s.copyAt = ack.Peers[0]
	}
	if !s.copyTo(ctx, s.copyAt, s.ownCopy()) {
		s.copyAt = "" // another instance gets the next copy
	}
}

// ownCopy returns a copy of the counts of this instance that were not reported yet.
func (s *Sender) ownCopy() *Message {
	m := s.message()
	m.Copy, m.Windows = true, s.cfg.Counter.Since(math.MinInt64)
	return m
}

// copyTo gives copies of counts to another instance. It returns false if that failed.
func (s *Sender) copyTo(ctx context.Context, address string, messages ...*Message) bool {
	for _, m := range messages {
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := s.cfg.Peers.Send(callCtx, address, m)
		cancel()
		if err != nil {
			s.cfg.Peers.Reset()
			return false
		}
	}
	return true
}

// passCopies passes the copies of the counts of other instances, which are gone or no longer the holder, to the holder. They
// are kept until their windows are decided, because the holder may be gone before.
func (s *Sender) passCopies(ctx context.Context, address, session string) {
	if address == "" {
		return // the own collector has them
	}
	for _, c := range s.cfg.Local.copiesFor(session) {
		m := *c.message
		m.HolderTag = s.holderTag(address)
		if _, err := s.deliver(ctx, address, &m); err != nil {
			return // tried again with the next message
		}
		s.cfg.Local.copyPassed(c, session)
	}
}

// target returns where counts are sent, and the session of the holder. An empty address stands for this instance.
func (s *Sender) target() (address, session string, ok bool) {
	if a, ok := s.cfg.Local.cfg.Leases.Authority(s.cfg.Local.cfg.Pool); ok {
		return "", "own " + strconv.FormatUint(a.Fence, 10), true
	}
	r, ok := s.cfg.Holder()
	if s.told.Address != "" && r.Session == s.toldOver {
		return s.told.Address, s.told.Session, true
	}
	if !ok || r.Address == "" || r.Holder == s.cfg.Instance {
		return "", "", false
	}
	s.former = r
	return r.Address, r.Session, true
}

// learnHolder takes over the holder that another instance has named.
func (s *Sender) learnHolder(address, session string) {
	r, _ := s.cfg.Holder()
	if address == "" || address == s.cfg.Address || session == r.Session {
		return
	}
	s.told, s.toldOver = lease.HolderRecord{Address: address, Session: session}, r.Session
}

// ask asks another instance for the holder. An instance that is cut off from the store does not see a new one.
func (s *Sender) ask(ctx context.Context, now time.Time) {
	if len(s.peers) == 0 {
		return
	}
	s.askedAt = now
	address := s.peers[rand.IntN(len(s.peers))]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m := s.message()
	m.FinalThrough = s.finalSent
	ack, err := s.cfg.Peers.Send(ctx, address, m)
	switch {
	case err != nil:
	case ack.NotHolder:
		s.learnHolder(ack.HolderAddress, ack.HolderSession)
	default:
		session := ack.HolderSession
		if session == "" {
			session = "at " + address // of an instance that doesn't tell
		}
		s.learnHolder(address, session)
	}
}

func (s *Sender) deliver(ctx context.Context, address string, m *Message) (Ack, error) {
	var ack Ack
	var err error
	if address == "" {
		ack = s.cfg.Local.Add(m)
	} else {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		ack, err = s.cfg.Peers.Send(ctx, address, m)
	}
	if err == nil && ack.NotHolder {
		s.told = lease.HolderRecord{}
		if ack.HolderAddress == "" && ack.HolderSession != "" {
			ack.HolderAddress = address
		}
		s.learnHolder(ack.HolderAddress, ack.HolderSession)
		err = errNotHolder
	}
	return ack, err
}

// recordFailure records that a message was sent at a time and failed.
func (s *Sender) recordFailure(ctx context.Context, address string, err error, sent time.Time) {
	now := s.cfg.Clock.Now()
	failing := s.failing()
	switch {
	case failing.IsZero():
		s.setFailing(sent)
	case !s.failureLogged && now.Sub(failing) >= askAfter:
		// A change of the holder takes about as long.
		s.failureLogged = true
		s.cfg.Log.WithError(err).WithField("address", address).Warn("usage counts not sent to the holder")
	}
	s.cfg.Peers.Reset()
	if failing.IsZero() || now.Sub(failing) < askAfter {
		return
	}
	if errors.Is(err, errNoHolder) || now.Sub(s.askedAt) >= sendInterval {
		s.ask(ctx, now)
	}
}

func (s *Sender) recordAck(ack Ack, final int64) {
	if failing := s.failing(); !failing.IsZero() && s.failureLogged {
		s.cfg.Log.WithField("after_ms", s.cfg.Clock.Now().Sub(failing).Milliseconds()).Info("usage counts sent to the holder again")
	}
	s.failureLogged = false
	s.setFailing(time.Time{})
	s.learnPeers(ack.Peers)
	s.mu.Lock()
	s.instances = ack.Instances
	s.mu.Unlock()
	s.cfg.Counter.Discard(min(ack.DecidedThrough, final))
	s.cfg.Local.noteDecided(ack.DecidedThrough)
}

// learnPeers takes over the addresses that the holder has named. A new holder knows few at first, so that earlier ones are kept
// in their place.
func (s *Sender) learnPeers(named []string) {
	peers := slices.Clone(named)
	for _, address := range s.peers {
		if len(peers) < maxPeers && !slices.Contains(peers, address) {
			peers = append(peers, address)
		}
	}
	s.peers = peers
}

// compareClocks measures the difference from the holder's clock, which the answer to a message sent at a time names, and
// steps the clock to that of the holder, which has that of most instances.
func (s *Sender) compareClocks(ack Ack, sent time.Time) {
	now := s.cfg.Clock.Now()
	took := now.Sub(sent)
	if took < 0 || took > maxClockTrip {
		return
	}
	ahead := now.Add(-took / 2).Sub(ack.Clock)
	s.clockAhead = &ahead
	switch {
	case ahead.Abs() < clockDisagreement || ack.Instances < minMajority:
		s.disagreesSince = time.Time{}
	case s.disagreesSince.IsZero():
		s.disagreesSince = now
	case now.Sub(s.disagreesSince) >= stepAfter:
		s.cfg.Clock.Step(-ahead)
		s.clockAhead, s.disagreesSince = nil, time.Time{}
		s.cfg.Log.WithField("step_ms", -ahead.Milliseconds()).Warn("window clock stepped because most instances disagree with it")
	}
}

// store writes the final counts that are still due to the store, where the holder gets them through its watch.
func (s *Sender) store(ctx context.Context, final int64, now time.Time) {
	log := s.cfg.Log.WithField("window", final)
	oldest := s.cfg.Windows.At(now.Add(-s.cfg.Windows.Late)) - 1
	m := s.message()
	m.FinalThrough, m.Windows = final, s.cfg.Counter.Since(oldest)
	id := cas.NewID()
	value := mustEncode(struct {
		*Message
		WriteID string `json:"write_id"`
	}{m, id})
	if len(value) > maxStoredValue {
		log.WithField("bytes", len(value)).Error("usage counts not written to the store: too large")
		s.storedThrough = final
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, cas.DefaultCallTimeout)
	defer cancel()
	id2, err := s.cfg.KV.GrantLease(callCtx, storedCountsTTL)
	if err != nil {
		log.WithError(err).Warn("usage counts not written to the store")
		return
	}
	key := CountsPrefix + s.cfg.Instance
	version, err := cas.Swap(ctx, s.cfg.KV, cas.Write{Key: key, Expected: s.version, Value: value, Lease: id2, ID: id})
	if errors.Is(err, external.ErrConflict) {
		// The earlier value has expired, or is one of an earlier run of this instance.
		s.version = 0
		if e, getErr := cas.Get(ctx, s.cfg.KV, key, 0); getErr == nil {
			s.version = e.Version
		}
	}
	if err != nil {
		log.WithError(err).Warn("usage counts not written to the store")
		return
	}
	s.version, s.storedThrough = version, final
	log.WithField("bytes", len(value)).Info("usage counts written to the store because the holder cannot be reached")
}

func (s *Sender) failing() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failingSince
}

func (s *Sender) setFailing(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failingSince = at
}

// Instances returns the number of instances from which the holder gets counts, at least 1.
func (s *Sender) Instances() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.instances)
}

// Status returns the state of the usage reports.
func (s *Sender) Status() *Status {
	out := &Status{NotCounted: s.cfg.Counter.LeftOut()}
	if r, ok := s.cfg.Holder(); ok {
		out.Holder, out.Address = r.Holder, r.Address
	}
	if failing := s.failing(); !failing.IsZero() {
		out.UnsentMS = s.cfg.Clock.Now().Sub(failing).Milliseconds()
	}
	s.cfg.Local.addStatus(out)
	return out
}
