package usage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/lease"
)

const (
	worldTTL   = 2500 * time.Millisecond
	worldGuard = worldTTL + duty.CallTimeout
	// worldABA is the time within which holders must not act in the order A, B, A.
	worldABA = 3 * time.Second
)

// world is a small deployment that reports usage: real counters, senders and holders, with the store, the lease, the platform
// and the messages in the hands of a test. Nothing happens between two events.
type world struct {
	t         *testing.T
	store     worldStore
	processes []*process
	// byAddress holds the living process at each address.
	byAddress map[string]*process
	grants    uint64
	// truth holds the runs that began, by window; all are of one account.
	truth map[int64]int64
	calls []worldCall
	// late holds the windows that were reported before all living processes had sent their final counts.
	late map[int64]bool
	// answersLost is true while the answers of the platform are lost.
	answersLost bool
	// latency is how long a message to another process takes, and answerLatency its answer.
	latency, answerLatency time.Duration
	violation              error
}

// worldStore is what the store holds.
type worldStore struct {
	era     uint64
	record  []byte
	version uint64
	holder  lease.HolderRecord
	held    bool
	// endsAt is when the lease ends without a renewal.
	endsAt time.Time
	fence  uint64
}

type worldCall struct {
	at     time.Time
	holder string
	fence  uint64
	window int64
	counts map[string]int64
}

// process is one run of an instance.
type process struct {
	w       *world
	name    string
	address string
	counter *Counter
	holder  *Holder
	sender  *Sender
	// seen is what the process has seen of the store.
	seen      worldStore
	authority lease.Authority
	// renewing is true while the process renews its lease.
	renewing bool
	// unreachable is true while messages to the process are lost, and answerLost while its answers are.
	unreachable, answerLost bool
}

func newWorld(t *testing.T, instances int) *world {
	w := &world{t: t, byAddress: map[string]*process{}, truth: map[int64]int64{}, late: map[int64]bool{}}
	for i := range instances {
		w.start(fmt.Sprint("edge-", i+1))
	}
	return w
}

// start starts a run of an instance.
func (w *world) start(name string) {
	p := &process{w: w, name: name, address: name}
	log := logrus.New()
	log.SetOutput(io.Discard)
	clock := NewClock(time.Now, func() time.Duration { return time.Since(testStart) })
	p.counter = NewCounter(testWindows, clock.Now)
	p.watch()
	p.holder = NewHolder(HolderConfig{
		Instance: name, Pool: "roles", Windows: testWindows, Guard: worldGuard, Leases: p, Current: p.current, KV: p,
		Era: func() uint64 { return p.seen.era }, Caller: p, Encoder: p, Clock: clock, Metrics: noMetrics{}, Log: log,
	})
	p.sender = NewSender(SenderConfig{Instance: name, Address: p.address, Windows: testWindows, Counter: p.counter, Clock: clock, Holder: p.current, Local: p.holder, Peers: p, KV: p, Log: log})
	p.watch()
	w.processes = append(w.processes, p)
	w.byAddress[p.address] = p
}

// alive reports whether a process runs.
func (p *process) alive() bool { return p.w.byAddress[p.address] == p }

// kill ends a process without notice.
func (p *process) kill() {
	if p.alive() {
		delete(p.w.byAddress, p.address)
	}
}

// stop ends a process as planned: the counts first, then the lease. It returns false if nobody was in reach for the counts.
func (p *process) stop() bool {
	p.counter.Close(testWindows.At(time.Now()))
	p.sender.send(p.w.t.Context(), leavingThrough)
	handed := p.sender.handOver(p.w.t.Context())
	if p.authority.Valid() && p.w.store.held && p.w.store.holder.Holder == p.name && p.w.store.fence == p.authority.Fence {
		p.w.store.held = false
	}
	p.kill()
	return handed
}

// run counts a run that begins now.
func (p *process) run() {
	p.w.truth[testWindows.At(time.Now())]++
	p.counter.RunBegan("huka", time.Now())
}

// watch lets a process see the store, as its watch or any other call does.
func (p *process) watch() {
	p.seen = p.w.store
	if p.holder == nil {
		return
	}
	if p.authority.Fence != 0 {
		session := ""
		if p.seen.held {
			session = p.seen.holder.Session
		}
		p.authority.Watched(session)
	}
	if rec := decodeWorldRecord(p.seen.record); rec != nil {
		p.holder.noteRecord(rec)
	}
	if _, ok := p.Authority(""); !ok {
		p.holder.release()
	}
}

func decodeWorldRecord(value []byte) *Record {
	if value == nil {
		return nil
	}
	rec, err := DecodeRecord(value)
	if err != nil {
		panic(err)
	}
	return rec
}

// acquire takes the vacant lease.
func (p *process) acquire() {
	s := &p.w.store
	p.watch()
	if s.held || p.authority.Valid() {
		return
	}
	p.w.grants++
	s.fence = max(s.fence, s.era<<32) + 1
	s.held, s.holder = true, lease.HolderRecord{Holder: p.name, Address: p.address, Session: fmt.Sprint(p.w.grants)}
	p.authority = lease.NewAuthority("roles", p.name, s.fence, time.Now().Add(worldTTL-worldTTL/7)).ForSession(s.holder.Session)
	p.watch()
	era := p.seen.era
	p.authority.EndWith(func() (uint64, bool) { return p.seen.era, p.seen.era != era })
	s.endsAt = time.Now().Add(worldTTL)
	p.renewing = true
	p.holder.begin(p.authority, time.Now())
}

// pass lets time pass. Holders renew their leases and do their steps; nothing else happens.
func (w *world) pass(d time.Duration) {
	const step = 100 * time.Millisecond
	for range int(d / step) {
		time.Sleep(step)
		s := &w.store
		if s.held && !time.Now().Before(s.endsAt) {
			s.held = false
		}
		for _, p := range w.processes {
			if p.alive() && p.renewing {
				p.renew()
			}
			if a, ok := p.Authority(""); ok && p.alive() {
				p.holder.step(w.t.Context(), a)
			}
		}
	}
}

// renew renews the lease of a holder, whose authority then lasts as long as a new one.
func (p *process) renew() {
	s := &p.w.store
	if !p.authority.Valid() || !s.held || s.fence != p.authority.Fence || s.era != p.seen.era {
		p.renewing = false
		return
	}
	s.endsAt = time.Now().Add(worldTTL)
	p.authority.Extend(time.Now().Add(worldTTL - worldTTL/7))
}

// send lets a process send its counts, as its timer does.
func (p *process) send() { p.sender.step(p.w.t.Context()) }

// Authority implements Authority.
func (p *process) Authority(string) (lease.Authority, bool) { return p.authority, p.authority.Valid() }

func (p *process) current() (lease.HolderRecord, bool) { return p.seen.holder, p.seen.held }

var errWorld = errors.New("lost")

// Send implements Peers.
func (p *process) Send(_ context.Context, address string, m *Message) (Ack, error) {
	time.Sleep(p.w.latency)
	to := p.w.byAddress[address]
	if to == nil || to.unreachable {
		return Ack{}, errWorld
	}
	ack := to.holder.Add(m)
	time.Sleep(p.w.answerLatency)
	if to.answerLost {
		return Ack{}, errWorld
	}
	return ack, nil
}

// Reset implements Peers.
func (*process) Reset() {}

// Get implements external.KV.
func (p *process) Get(context.Context, string) (external.KVEntry, error) {
	p.watch()
	if p.seen.record == nil {
		return external.KVEntry{}, external.ErrNotFound
	}
	return external.KVEntry{Key: RecordKey, Value: p.seen.record, Version: p.seen.version}, nil
}

// CompareAndSwap implements external.KV.
func (p *process) CompareAndSwap(_ context.Context, _ string, expected uint64, value []byte, _ external.LeaseID) (uint64, error) {
	s := &p.w.store
	if s.era != p.seen.era || expected != s.version {
		p.watch()
		return 0, external.ErrConflict
	}
	s.record, s.version = value, s.version+1
	return s.version, nil
}

// List, Delete, Watch, GrantLease, KeepAlive and RevokeLease implement external.KV; they are not used.
func (*process) List(context.Context, string) ([]external.KVEntry, uint64, error) {
	return nil, 0, errWorld
}
func (*process) Delete(context.Context, string, uint64) error { return errWorld }
func (*process) Watch(context.Context, string, uint64) ([]external.KVEvent, uint64, error) {
	return nil, 0, errWorld
}

func (*process) GrantLease(context.Context, time.Duration) (external.LeaseID, error) {
	return 0, errWorld
}
func (*process) KeepAlive(context.Context, external.LeaseID) error   { return errWorld }
func (*process) RevokeLease(context.Context, external.LeaseID) error { return errWorld }

// UsageCall implements Encoder.
func (*process) UsageCall(r *duty.UsageReport, _ string, _ uint64) (*duty.Call, error) {
	return &duty.Call{Path: "/usage", Body: mustEncode(r)}, nil
}

// Do implements Caller.
func (p *process) Do(_ context.Context, a lease.Authority, _ *duty.Call) duty.Result {
	if !a.Valid() {
		return duty.Result{Outcome: duty.NotSent}
	}
	rep := p.holder.reporter.pending
	p.w.accept(worldCall{time.Now(), p.name, a.Fence, rep.Window, maps.Clone(rep.Counts)})
	if p.w.answersLost {
		return duty.Result{Outcome: duty.Unknown}
	}
	return duty.Result{Outcome: duty.Accepted}
}

// accept checks a call against the earlier ones and records it.
func (w *world) accept(c worldCall) {
	var between *worldCall
	for i := len(w.calls) - 1; i >= 0; i-- {
		e := &w.calls[i]
		switch {
		case e.window == c.window && !maps.Equal(e.counts, c.counts):
			w.violate("window %d: %s reports %v after %s reported %v", c.window, c.holder, c.counts, e.holder, e.counts)
		case e.fence == c.fence && e.holder != c.holder:
			w.violate("fence %d of %s and %s", c.fence, e.holder, c.holder)
		case e.fence > c.fence:
			w.violate("%s calls with fence %d after %s with %d", c.holder, c.fence, e.holder, e.fence)
		case between != nil && e.holder == c.holder && c.at.Sub(e.at) < worldABA:
			w.violate("%s acts after %s, %s after its last call", c.holder, between.holder, c.at.Sub(e.at))
		}
		if between == nil && e.holder != c.holder {
			between = e
		}
	}
	if n := c.counts["huka"]; n > w.truth[c.window] {
		w.violate("window %d: %d runs reported, %d began", c.window, n, w.truth[c.window])
	}
	for _, p := range w.byAddress {
		if to, session, ok := p.sender.target(); !ok || session != p.sender.session || to == "" && p.name != c.holder || to != "" && to != c.holder || p.sender.finalSent < c.window {
			w.late[c.window] = true
		}
	}
	w.calls = append(w.calls, c)
}

func (w *world) violate(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

// reported returns the runs that were reported for a window; ok is false if it was not reported.
func (w *world) reported(window int64) (n int64, ok bool) {
	for _, c := range w.calls {
		if c.window == window {
			return c.counts["huka"], true
		}
	}
	return 0, false
}
