package order_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/standin/fault"
)

// bench is one sidecar and one planner process without a lease manager: the test itself grants
// authority by writing the pool's keys.
type bench struct {
	*world
	t       *testing.T
	process *fault.Process
	planner *order.Planner
	sidecar *sidecar
}

func onBench(t *testing.T, f func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, false)
		defer w.stop()
		b := &bench{world: w, t: t, process: w.process("entry")}
		b.planner = order.NewPlanner(w.view(b.process), func(string, string) (order.Sidecar, error) {
			return &remote{w: w, from: b.process}, nil
		}, nil)
		b.sidecar = w.startSidecar()
		time.Sleep(2 * time.Second)
		f(t, b)
		require.Empty(t, check(w.journal.all()), dump(w.journal.all(), w.began))
	})
}

// hold makes a session the pool's holder and returns its authority.
func (b *bench) hold(fence uint64, valid time.Duration) lease.Authority {
	b.t.Helper()
	holder, session := "holder", "session-"+string(rune('0'+fence))
	b.put(lease.HolderKey(pool), lease.HolderRecord{Holder: holder, Session: session})
	b.put(lease.FenceKey(pool), lease.FenceRecord{Fence: fence, Holder: holder, Session: session})
	return lease.NewAuthority(pool, holder, fence, time.Now().Add(valid))
}

func (b *bench) put(key string, v any) {
	b.t.Helper()
	value, err := json.Marshal(v)
	require.NoError(b.t, err)
	e, _ := b.store.Get(b.t.Context(), key)
	_, err = b.store.CompareAndSwap(b.t.Context(), key, e.Version, value, 0)
	require.NoError(b.t, err)
}

func (b *bench) dropHolder() {
	e, err := b.store.Get(b.t.Context(), lease.HolderKey(pool))
	if err == nil {
		_ = b.store.Delete(b.t.Context(), lease.HolderKey(pool), e.Version)
	}
}

func (b *bench) record() order.Record {
	b.t.Helper()
	r, err := b.planner.Read(b.t.Context(), pool, engineName)
	require.NoError(b.t, err)
	return r
}

func (b *bench) own(a lease.Authority) {
	b.t.Helper()
	_, err := b.planner.Own(b.t.Context(), a, engineName)
	require.NoError(b.t, err)
}

func (b *bench) issue(a lease.Authority, n int) error {
	_, err := b.planner.Issue(b.t.Context(), a, engineName, config(n))
	return err
}

// onCall runs do at the first call that matches.
func (b *bench) onCall(match func(call) bool, do func(*fault.Process) fault.Action) {
	s := &script{executing: map[string]bool{}}
	b.setHook(func(_ *world, p *fault.Process, c fault.Call) fault.Action {
		s.mu.Lock()
		defer s.mu.Unlock()
		if k := s.describe(p, c); s.fired || !match(k) {
			return fault.Action{}
		}
		s.fired = true
		return do(p)
	})
}

func (b *bench) applies() int {
	n := 0
	for _, e := range b.journal.all() {
		if e.kind == "apply" {
			n++
		}
	}
	return n
}

func readsBeforeEffect(c call) bool { return c.sidecar && c.Op == "list" && c.executing }

// Guards against a planner that writes after its lease has ended during a pause.
func TestPausedPlannerWritesNothing(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, 5*time.Second)
		b.own(a)
		b.onCall(func(c call) bool { return !c.sidecar && c.Op == "get" }, func(p *fault.Process) fault.Action {
			return fault.Action{After: func() { p.Pause(6 * time.Second) }}
		})
		before := b.record().Number
		require.ErrorIs(t, b.issue(a, 1), order.ErrNoAuthority)
		require.Equal(t, before, b.record().Number)
	})
}

// Guards against orders to an engine whose sidecar might still follow an earlier planner.
func TestIssueNeedsSeal(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		first := b.hold(1, time.Minute)
		require.ErrorIs(t, b.issue(first, 1), order.ErrNotSealed)
		b.own(first)
		second := b.hold(2, time.Minute)
		require.ErrorIs(t, b.issue(second, 1), order.ErrNotSealed)
	})
}

// Guards against a second order that overwrites one still under way.
func TestIssueNeedsSettledOrder(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, time.Minute)
		b.own(a)
		require.NoError(t, b.issue(a, 1))
		require.ErrorIs(t, b.issue(a, 2), order.ErrUnsettled)
		time.Sleep(5 * time.Second)
		require.Equal(t, order.PhaseDone, b.record().Phase)
		require.NoError(t, b.issue(a, 2))
	})
}

// Guards against a delayed seal of an earlier planner that lowers the fence again.
func TestDelayedSealIsRefused(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		b.hold(1, time.Minute)
		delayed := make(chan error, 1)
		b.onCall(func(c call) bool { return c.sidecar && c.Op == "list" }, func(*fault.Process) fault.Action {
			return fault.Action{After: func() { time.Sleep(time.Second) }}
		})
		go func() {
			_, err := b.sidecar.executor.Seal(t.Context(), order.SealRequest{Pool: pool, Engine: engineName, Fence: 1, Holder: "holder"})
			delayed <- err
		}()
		time.Sleep(100 * time.Millisecond)
		b.own(b.hold(2, time.Minute))
		require.ErrorIs(t, <-delayed, order.ErrStaleFence)
		require.Equal(t, uint64(2), b.sidecar.executor.HighestFence())
	})
}

// Guards against messages that are forged, stale or meant for another engine.
func TestSidecarRefusesMessages(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		b.own(b.hold(3, time.Minute))
		e, ctx := b.sidecar.executor, t.Context()
		_, err := e.Seal(ctx, order.SealRequest{Pool: pool, Engine: engineName, Fence: 99, Holder: "holder"})
		require.ErrorIs(t, err, order.ErrForgedFence)
		_, err = e.Seal(ctx, order.SealRequest{Pool: pool, Engine: engineName, Fence: 3, Holder: "other"})
		require.ErrorIs(t, err, order.ErrForgedFence)
		_, err = e.Seal(ctx, order.SealRequest{Pool: pool, Engine: "e2", Fence: 3, Holder: "holder"})
		require.ErrorIs(t, err, order.ErrWrongEngine)
		require.ErrorIs(t, e.NotifyOrder(ctx, order.Notice{Pool: pool, Engine: engineName, Fence: 2}), order.ErrStaleFence)
		require.ErrorIs(t, e.NotifyOrder(ctx, order.Notice{Pool: pool, Engine: engineName, Fence: 4}), order.ErrNotSealed)
		fresh := order.NewExecutor(order.ExecutorConfig{Pool: pool, Engine: engineName})
		require.ErrorIs(t, fresh.NotifyOrder(ctx, order.Notice{Pool: pool, Engine: engineName, Fence: 3}), order.ErrNotReady)
	})
}

// Guards against an order that reaches the engine after its planner has lost the pool.
func TestLostAuthorityStopsOrder(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, time.Minute)
		b.own(a)
		b.onCall(isOp("drain"), func(*fault.Process) fault.Action {
			return fault.Action{After: func() {
				b.dropHolder()
				time.Sleep(time.Second)
			}}
		})
		require.NoError(t, b.issue(a, 1))
		time.Sleep(10 * time.Second)
		require.Zero(t, b.applies())
		require.Equal(t, order.PhaseFailed, b.record().Phase)
	})
}

// Guards against an effect on the strength of a read from before a pause.
func TestOldReadIsDiscarded(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, time.Minute)
		b.own(a)
		b.onCall(readsBeforeEffect, func(p *fault.Process) fault.Action {
			return fault.Action{After: func() {
				b.dropHolder()
				p.Pause(20 * time.Second)
			}}
		})
		require.NoError(t, b.issue(a, 1))
		time.Sleep(40 * time.Second)
		require.Zero(t, b.applies())
	})
}

// Guards against two sidecars of one engine that both give it orders.
func TestLowerIncarnationStops(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, time.Minute)
		b.own(a)
		// The first sidecar is about to begin the execution when the second claims the engine.
		b.onCall(isOp("weights"), func(p *fault.Process) fault.Action {
			return fault.Action{After: func() {
				b.startSidecar()
				p.Pause(5 * time.Second)
			}}
		})
		require.NoError(t, b.issue(a, 1))
		time.Sleep(20 * time.Second)
		require.True(t, b.sidecar.process.Dead(), "the first sidecar still runs")
		require.Equal(t, 1, b.applies())
		require.Equal(t, uint64(2), b.record().Incarnation)
	})
}

// Guards against a second sidecar that begins an order while the first one's order is on its way.
func TestClaimWaitsForEarlierEffect(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, 2*time.Minute)
		b.own(a)
		b.onCall(readsBeforeEffect, func(p *fault.Process) fault.Action {
			return fault.Action{After: func() {
				b.quiet = true // a drain would take as long as the wait
				b.startSidecar()
				p.Pause(400 * time.Millisecond) // below the bound: the effect is allowed
			}}
		})
		require.NoError(t, b.issue(a, 1))
		for n := 2; n < 20; n++ {
			time.Sleep(100 * time.Millisecond)
			_ = b.issue(a, n) // refused until the first order is settled
		}
		time.Sleep(20 * time.Second)
		require.Equal(t, order.PhaseDone, b.record().Phase)
	})
}

// Guards against a planned change that interrupts a request.
func TestOrderWaitsForDrain(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, time.Minute)
		b.own(a)
		time.Sleep(350 * time.Millisecond)
		n, _ := b.sidecar.drainer.counts()
		require.Positive(t, n, "no request is in flight")
		require.NoError(t, b.issue(a, 1))
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, b.applies())
		_, draining := b.sidecar.drainer.counts()
		require.False(t, draining, "the engine takes no work after the order")
	})
}

// Guards against a late write of an earlier planner that the new planner would carry out.
func TestHandoverWithdrawsUnbegunOrder(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		first := b.hold(1, time.Minute)
		b.own(first)
		b.onCall(isOp("begin drain"), func(*fault.Process) fault.Action {
			return fault.Action{After: func() { time.Sleep(2 * time.Second) }}
		})
		require.NoError(t, b.issue(first, 1))
		time.Sleep(time.Second)
		b.own(b.hold(2, time.Minute))
		require.Equal(t, order.PhaseFailed, b.record().Phase)
		time.Sleep(10 * time.Second)
		require.Zero(t, b.applies())
	})
}

// Guards against an order that begins after a new planner has sealed the engine and adopted it.
func TestHandoverWhileExecuting(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		first := b.hold(1, time.Minute)
		b.own(first)
		b.onCall(readsBeforeEffect, func(*fault.Process) fault.Action {
			return fault.Action{After: func() { b.own(b.hold(2, time.Minute)) }}
		})
		require.NoError(t, b.issue(first, 1))
		time.Sleep(10 * time.Second)
		require.Zero(t, b.applies())
		require.Equal(t, order.PhaseFailed, b.record().Phase)
	})
}

// Guards against an order that is executed after its record was changed.
func TestChangedRecordIsNotExecuted(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, time.Minute)
		b.own(a)
		b.onCall(recordWrite(true, order.PhaseExecuting), func(*fault.Process) fault.Action {
			return fault.Action{After: func() {
				r := b.record()
				r.Phase = order.PhaseFailed
				b.put(order.Key(pool, engineName), r)
			}}
		})
		require.NoError(t, b.issue(a, 1))
		time.Sleep(10 * time.Second)
		require.Zero(t, b.applies())
	})
}

// Guards against more calls to the key-value service than the package comment states.
func TestCallsPerOrder(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, time.Minute)
		calls := func(do func()) (reads, writes uint64) {
			synctest.Wait() // the journal reads the pool after each change
			before := b.store.Calls()
			do()
			after := b.store.Calls()
			return after.Reads - before.Reads, after.Writes - before.Writes
		}
		reads, writes := calls(func() { b.own(a) })
		require.Equal(t, []uint64{2, 1}, []uint64{reads, writes}, "handover")
		reads, writes = calls(func() {
			require.NoError(t, b.issue(a, 1))
			time.Sleep(8 * time.Second)
		})
		require.Equal(t, []uint64{5, 4}, []uint64{reads, writes}, "order")
		records, err := b.planner.Records(t.Context(), pool)
		require.NoError(t, err)
		require.Equal(t, order.PhaseDone, records[engineName].Phase)
	})
}

// Guards against an engine that stays in an unknown state after a crash.
func TestCrashedEngineIsReconciled(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, 5*time.Minute)
		b.own(a)
		require.NoError(t, b.issue(a, 1))
		time.Sleep(5 * time.Second)
		done := b.record()
		require.Equal(t, order.PhaseDone, done.Phase)
		_, issued, err := b.planner.Reconcile(t.Context(), a, engineName)
		require.NoError(t, err)
		require.False(t, issued)
		b.engine.crash()
		time.Sleep(10 * time.Second)
		r, issued, err := b.planner.Reconcile(t.Context(), a, engineName)
		require.NoError(t, err)
		require.True(t, issued)
		require.Equal(t, done.Number+1, r.Number)
		require.Equal(t, done.Config, r.Config)
		time.Sleep(5 * time.Second)
		s, _ := b.engine.current()
		require.Equal(t, done.Config, s.Config)
	})
}

// Guards against a lost response to Apply that is recorded as a failure, or repeated.
func TestLostApplyResponseIsResolved(t *testing.T) {
	onBench(t, func(t *testing.T, b *bench) {
		a := b.hold(1, time.Minute)
		b.own(a)
		b.onCall(isOp("apply"), func(*fault.Process) fault.Action { return fault.Action{Lose: true} })
		require.NoError(t, b.issue(a, 1))
		time.Sleep(10 * time.Second)
		require.Equal(t, order.PhaseDone, b.record().Phase)
		require.Equal(t, 1, b.applies())
	})
}
