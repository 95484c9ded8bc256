package usage

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
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

func (s *Sender) step(ctx context.Context) {
	now := s.cfg.Clock.Now()
	final := s.cfg.Counter.Close(s.cfg.Windows.At(now.Add(-finalDelay/2)) - 1)
	s.tellFormer(ctx)
	s.send(ctx, final)
	s.storeIfDue(final, now)
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

func (s *Sender) message() *Message {
	m := &Message{Instance: s.cfg.Instance, Run: s.run, Clock: s.cfg.Clock.Now(), Address: s.cfg.Address}
	s.cfg.Local.tell(m)
	return m
}

var (
	errNoHolder  = errors.New("no instance holds the lease for duties")
	errNotHolder = errors.New("the instance does not hold the lease for duties any more")
)

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
