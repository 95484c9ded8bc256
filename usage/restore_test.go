package usage

import (
	"context"
	"io"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/lease"
)

const testGuard = 3500 * time.Millisecond

// reportsWorld is a store with the record of the reports and a platform that takes them.
type reportsWorld struct {
	external.KV // calls that are not used here
	t           *testing.T
	era         uint64
	value       []byte
	version     uint64
	// accepted holds the counts of each window that the platform accepted first, and calls the number of calls.
	accepted map[int64]map[string]int64
	calls    map[int64]int
}

// Get implements external.KV.
func (w *reportsWorld) Get(context.Context, string) (external.KVEntry, error) {
	if w.value == nil {
		return external.KVEntry{}, external.ErrNotFound
	}
	return external.KVEntry{Key: RecordKey, Value: w.value, Version: w.version}, nil
}

// CompareAndSwap implements external.KV.
func (w *reportsWorld) CompareAndSwap(_ context.Context, _ string, expected uint64, value []byte, _ external.LeaseID) (uint64, error) {
	if expected != w.version {
		return 0, external.ErrConflict
	}
	w.value, w.version = value, w.version+1
	return w.version, nil
}

// UsageCall implements Encoder.
func (*reportsWorld) UsageCall(r *duty.UsageReport, _ string, _ uint64) (*duty.Call, error) {
	return &duty.Call{Path: "/usage", Body: mustEncode(r)}, nil
}

// restore lets the store come back without the record. Only processes that call see learn of it.
func (w *reportsWorld) restore() { w.era, w.value, w.version = w.era+1, nil, 0 }

// reportingInstance is an instance that may hold the lease.
type reportingInstance struct {
	*Holder
	w         *reportsWorld
	seenEra   uint64
	authority lease.Authority
}

// Authority implements Authority.
func (i *reportingInstance) Authority(string) (lease.Authority, bool) {
	return i.authority, i.authority.Valid()
}

// Do implements Caller.
func (i *reportingInstance) Do(_ context.Context, a lease.Authority, _ *duty.Call) duty.Result {
	if !a.Valid() {
		return duty.Result{Outcome: duty.NotSent}
	}
	rep := i.reporter.pending
	i.w.calls[rep.Window]++
	if first, ok := i.w.accepted[rep.Window]; ok {
		require.Equal(i.w.t, first, rep.Counts, "two reports of window %d with different counts", rep.Window)
	} else {
		i.w.accepted[rep.Window] = maps.Clone(rep.Counts)
	}
	return duty.Result{Outcome: duty.Accepted}
}

func (w *reportsWorld) newInstance(name string) *reportingInstance {
	log := logrus.New()
	log.SetOutput(io.Discard)
	started := time.Now()
	i := &reportingInstance{w: w, seenEra: w.era}
	clock := NewClock(time.Now, func() time.Duration { return time.Since(started) })
	i.Holder = NewHolder(HolderConfig{
		Instance: name, Pool: "roles", Windows: testWindows, Guard: testGuard, Leases: i, KV: w, Era: func() uint64 { return i.seenEra },
		Current: func() (r lease.HolderRecord, ok bool) { return r, false }, Caller: i, Encoder: w, Clock: clock, Metrics: noMetrics{}, Log: log,
	})
	return i
}

type noMetrics struct{}

func (noMetrics) UsageReport(string, time.Duration) {}

// see lets an instance learn the era of the store, as it does with each answer.
func (i *reportingInstance) see() {
	i.seenEra = i.w.era
	if _, ok := i.Authority(""); !ok {
		i.release()
	}
}

// acquire gives the lease to an instance for a time.
func (i *reportingInstance) acquire(number uint64, ttl time.Duration) {
	i.see()
	era := i.seenEra
	i.authority = lease.NewAuthority("roles", "", era<<32+number, time.Now().Add(ttl))
	i.authority.EndWith(func() (uint64, bool) { return i.seenEra, i.seenEra != era })
	i.begin(i.authority, time.Now())
}

// runFor does the steps of a holder for a time.
func (i *reportingInstance) runFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(holderInterval) {
		if a, ok := i.Authority(""); ok {
			i.step(i.w.t.Context(), a)
		}
	}
}

// receive gives an instance the counts of another one, which has not discarded them.
func (i *reportingInstance) receive(from string, windows ...int64) {
	m := &Message{Instance: from, Run: 1, Clock: i.cfg.Clock.Now(), FinalThrough: windows[len(windows)-1]}
	for _, w := range windows {
		m.Windows = append(m.Windows, WindowCounts{Window: w, Counts: map[string]int64{"huka": int64(len(from))}})
	}
	i.Add(m)
}

// hear gives an instance a message of another one without counts, and the record if it asks for it.
func (i *reportingInstance) hear(from *reportingInstance) {
	m := &Message{Instance: from.cfg.Instance, Run: 1, Clock: i.cfg.Clock.Now(), FinalThrough: testWindows.At(time.Now()) - 1}
	from.tell(m)
	if i.Add(m).WantRecord {
		m.Record = from.lastRecord()
		i.Add(m)
	}
}

// Guards against a second report of a window with other counts after the store has lost the record of the first one, and
// against windows that are given up although it is known that they were not reported.
func TestWindowsAfterTheStoreLostItsRecords(t *testing.T) {
	const minute = time.Minute
	// formerLeft is how long the former holder's lease lasts beyond the end of the window.
	const formerLeft = 1100 * time.Millisecond
	for name, tc := range map[string]struct {
		// reported is true if the former holder reports the window before the store comes back without the record.
		reported bool
		// then plays the hand-over after the restore. It returns the instance that holds the lease.
		then func(w *reportsWorld, former, next *reportingInstance) *reportingInstance
		// calls is the number of calls for the window.
		calls int
	}{
		"the former holder is gone": {reported: true, calls: 1, then: func(_ *reportsWorld, _, next *reportingInstance) *reportingInstance {
			next.acquire(1, minute)
			return next
		}},
		"the former holder has the record": {reported: true, calls: 2, then: func(_ *reportsWorld, former, next *reportingInstance) *reportingInstance {
			former.see()
			next.acquire(1, minute)
			next.hear(former)
			return next
		}},
		"the former holder knows that there was none": {calls: 1, then: func(_ *reportsWorld, former, next *reportingInstance) *reportingInstance {
			former.see()
			next.acquire(1, minute)
			next.hear(former)
			return next
		}},
		"the former holder holds the lease again": {calls: 1, then: func(_ *reportsWorld, former, _ *reportingInstance) *reportingInstance {
			former.see()
			former.acquire(1, minute)
			return former
		}},
		"the former holder is gone, and there was no report": {calls: 0, then: func(_ *reportsWorld, _, next *reportingInstance) *reportingInstance {
			next.acquire(1, minute)
			return next
		}},
		"the former holder is told by a copy of its counts": {calls: 1, then: func(_ *reportsWorld, former, next *reportingInstance) *reportingInstance {
			former.see()
			m := &Message{Instance: "edge-1", Copy: true}
			former.tell(m)
			next.Add(m)
			next.acquire(1, minute)
			return next
		}},
		"the former holder's lease had ended before": {reported: true, calls: 1, then: func(w *reportsWorld, former, next *reportingInstance) *reportingInstance {
			// Another one may have held it in between.
			time.Sleep(formerLeft)
			former.see()
			next.acquire(1, minute)
			m := &Message{Instance: "edge-1"}
			former.tell(m)
			require.Zero(w.t, m.CompleteEra)
			return next
		}},
		"the former holder learns of it after its lease": {calls: 0, then: func(_ *reportsWorld, former, next *reportingInstance) *reportingInstance {
			next.acquire(1, minute)
			time.Sleep(testGuard)
			former.see()
			next.hear(former)
			return next
		}},
		"the store is restored again": {reported: true, calls: 1, then: func(w *reportsWorld, former, next *reportingInstance) *reportingInstance {
			former.see()
			w.restore()
			next.acquire(1, minute)
			m := &Message{Instance: "edge-1", CompleteEra: former.prior.completeEra}
			next.Add(m)
			return next
		}},
		"the next holder is gone, too, before its first record": {reported: true, calls: 1, then: func(w *reportsWorld, _, next *reportingInstance) *reportingInstance {
			next.acquire(1, minute)
			third := w.newInstance("edge-9")
			third.acquire(2, minute)
			return third
		}},
		"the next holder loses the store, too, and tells": {reported: true, calls: 1, then: func(w *reportsWorld, _, next *reportingInstance) *reportingInstance {
			next.acquire(1, minute)
			next.runFor(holderInterval)
			w.restore()
			next.see()
			third := w.newInstance("edge-9")
			third.acquire(1, minute)
			third.hear(next)
			return third
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &reportsWorld{t: t, accepted: map[int64]map[string]int64{}, calls: map[int64]int{}}
				former, next := w.newInstance("edge-1"), w.newInstance("edge-2")
				time.Sleep(time.Until(testWindows.End(testWindows.At(time.Now()))))
				window := testWindows.At(time.Now())
				former.acquire(1, time.Until(testWindows.End(window))+formerLeft)
				former.receive("edge-3", window)
				former.receive("edge-44", window)
				former.runFor(time.Until(testWindows.End(window)))
				if tc.reported {
					former.runFor(time.Second)
					require.Equal(t, map[string]int64{"huka": 13}, w.accepted[window])
				}
				w.restore()
				holder := tc.then(w, former, next)
				// An instance has discarded its counts of the window if it was told that the window is decided.
				holder.receive("edge-3", window, window+1)
				if !tc.reported {
					holder.receive("edge-44", window, window+1)
				}
				holder.runFor(time.Until(testWindows.Due(window)))
				holder.receive("edge-3", window+2, window+3)
				holder.runFor(time.Until(testWindows.Due(window + 3)))
				require.Equal(t, tc.calls, w.calls[window], "calls for the window")
				if tc.calls > 0 {
					require.Equal(t, map[string]int64{"huka": 13}, w.accepted[window])
				}
				require.Contains(t, w.accepted, window+2, "the windows after it are reported")
			})
		})
	}
}
