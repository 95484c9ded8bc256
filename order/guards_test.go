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

// fixture is one sidecar and one planner process without a lease manager: the test grants
// authority by writing the pool's keys.
type fixture struct {
	*simulation
	t       *testing.T
	process *fault.Process
	planner *order.Planner
	sidecar *sidecar
}

func withFixture(t *testing.T, f func(t *testing.T, fx *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, false)
		defer sim.stop()
		fx := &fixture{simulation: sim, t: t, process: sim.newProcess("entry")}
		fx.planner = order.NewPlanner(sim.kvClient(fx.process), func(string, string) (order.Sidecar, error) {
			return &sidecarClient{sim: sim, from: fx.process}, nil
		}, nil)
		fx.sidecar = sim.startSidecar()
		time.Sleep(2 * time.Second)
		f(t, fx)
		require.Empty(t, findViolations(sim.history.snapshot()), formatHistory(sim.history.snapshot(), sim.began))
	})
}

// grantPool makes a new session the pool's holder and returns its authority.
func (fx *fixture) grantPool(fence uint64, valid time.Duration) lease.Authority {
	fx.t.Helper()
	holder, session := "holder", "session-"+string(rune('0'+fence))
	fx.put(lease.HolderKey(pool), lease.HolderRecord{Holder: holder, Session: session})
	fx.put(lease.FenceKey(pool), lease.FenceRecord{Fence: fence, Holder: holder, Session: session})
	return lease.NewAuthority(pool, holder, fence, time.Now().Add(valid))
}

func (fx *fixture) put(key string, v any) {
	fx.t.Helper()
	value, err := json.Marshal(v)
	require.NoError(fx.t, err)
	e, _ := fx.store.Get(fx.t.Context(), key)
	_, err = fx.store.CompareAndSwap(fx.t.Context(), key, e.Version, value, 0)
	require.NoError(fx.t, err)
}

func (fx *fixture) dropHolder() {
	e, err := fx.store.Get(fx.t.Context(), lease.HolderKey(pool))
	if err == nil {
		_ = fx.store.Delete(fx.t.Context(), lease.HolderKey(pool), e.Version)
	}
}

func (fx *fixture) record() order.Record {
	fx.t.Helper()
	r, err := fx.planner.Read(fx.t.Context(), pool, engineName)
	require.NoError(fx.t, err)
	return r
}

func (fx *fixture) takeOver(a lease.Authority) {
	fx.t.Helper()
	_, err := fx.planner.TakeOver(fx.t.Context(), a, engineName)
	require.NoError(fx.t, err)
}

func (fx *fixture) issue(a lease.Authority, n int) error {
	_, err := fx.planner.Issue(fx.t.Context(), a, engineName, config(n))
	return err
}

// onFirstCall injects the action that do returns at the first call that matches.
func (fx *fixture) onFirstCall(match func(observedCall) bool, do func(*fault.Process) fault.Action) {
	inj := &faultInjector{executing: map[string]bool{}}
	fx.setHook(func(_ *simulation, p *fault.Process, c fault.Call) fault.Action {
		inj.mu.Lock()
		defer inj.mu.Unlock()
		if k := inj.classify(p, c); inj.firstInjected || !match(k) {
			return fault.Action{}
		}
		inj.firstInjected = true
		return do(p)
	})
}

func (fx *fixture) applyCount() int {
	n := 0
	for _, e := range fx.history.snapshot() {
		if e.kind == "apply" {
			n++
		}
	}
	return n
}

func isReadBeforeApply(c observedCall) bool { return c.sidecar && c.Op == "list" && c.executing }

// Guards against a planner that writes although its lease expired while it was paused.
func TestPausedPlannerWritesNothing(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, 5*time.Second)
		fx.takeOver(a)
		fx.onFirstCall(func(c observedCall) bool { return !c.sidecar && c.Op == "get" }, func(p *fault.Process) fault.Action {
			return fault.Action{After: func() { p.Pause(6 * time.Second) }}
		})
		before := fx.record().Number
		require.ErrorIs(t, fx.issue(a, 1), order.ErrNoAuthority)
		require.Equal(t, before, fx.record().Number)
	})
}

// Guards against orders for an engine whose sidecar may still execute orders of an earlier planner.
func TestIssueNeedsSeal(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		first := fx.grantPool(1, time.Minute)
		require.ErrorIs(t, fx.issue(first, 1), order.ErrNotSealed)
		fx.takeOver(first)
		second := fx.grantPool(2, time.Minute)
		require.ErrorIs(t, fx.issue(second, 1), order.ErrNotSealed)
	})
}

// Guards against a second order that overwrites an unfinished one.
func TestIssueNeedsSettledOrder(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, time.Minute)
		fx.takeOver(a)
		require.NoError(t, fx.issue(a, 1))
		require.ErrorIs(t, fx.issue(a, 2), order.ErrUnsettled)
		time.Sleep(5 * time.Second)
		require.Equal(t, order.PhaseDone, fx.record().Phase)
		require.NoError(t, fx.issue(a, 2))
	})
}

// Guards against a delayed seal of an earlier planner that lowers the fence again.
func TestDelayedSealIsRefused(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		fx.grantPool(1, time.Minute)
		delayed := make(chan error, 1)
		fx.onFirstCall(func(c observedCall) bool { return c.sidecar && c.Op == "list" }, func(*fault.Process) fault.Action {
			return fault.Action{After: func() { time.Sleep(time.Second) }}
		})
		go func() {
			_, err := fx.sidecar.executor.Seal(t.Context(), order.SealRequest{Pool: pool, Engine: engineName, Fence: 1, Holder: "holder"})
			delayed <- err
		}()
		time.Sleep(100 * time.Millisecond)
		fx.takeOver(fx.grantPool(2, time.Minute))
		require.ErrorIs(t, <-delayed, order.ErrStaleFence)
		require.Equal(t, uint64(2), fx.sidecar.executor.HighestFence())
	})
}

// Guards against a sidecar that accepts messages that are forged, stale or for another engine.
func TestSidecarRefusesMessages(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		fx.takeOver(fx.grantPool(3, time.Minute))
		e, ctx := fx.sidecar.executor, t.Context()
		_, err := e.Seal(ctx, order.SealRequest{Pool: pool, Engine: engineName, Fence: 99, Holder: "holder"})
		require.ErrorIs(t, err, order.ErrFenceNotConfirmed)
		_, err = e.Seal(ctx, order.SealRequest{Pool: pool, Engine: engineName, Fence: 3, Holder: "other"})
		require.ErrorIs(t, err, order.ErrFenceNotConfirmed)
		_, err = e.Seal(ctx, order.SealRequest{Pool: pool, Engine: "e2", Fence: 3, Holder: "holder"})
		require.ErrorIs(t, err, order.ErrWrongEngine)
		require.ErrorIs(t, e.NotifyOrder(ctx, order.Notice{Pool: pool, Engine: engineName, Fence: 2}), order.ErrStaleFence)
		require.ErrorIs(t, e.NotifyOrder(ctx, order.Notice{Pool: pool, Engine: engineName, Fence: 4}), order.ErrNotSealed)
		fresh := order.NewExecutor(order.ExecutorConfig{Pool: pool, Engine: engineName})
		require.ErrorIs(t, fresh.NotifyOrder(ctx, order.Notice{Pool: pool, Engine: engineName, Fence: 3}), order.ErrNotReady)
	})
}

// Guards against an order that is applied after its planner has lost the pool.
func TestLostAuthorityStopsOrder(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, time.Minute)
		fx.takeOver(a)
		fx.onFirstCall(isOp("drain"), func(*fault.Process) fault.Action {
			return fault.Action{After: func() {
				fx.dropHolder()
				time.Sleep(time.Second)
			}}
		})
		require.NoError(t, fx.issue(a, 1))
		time.Sleep(10 * time.Second)
		require.Zero(t, fx.applyCount())
		require.Equal(t, order.PhaseFailed, fx.record().Phase)
	})
}

// Guards against an order that is applied because of a read that was made before a pause.
func TestOldReadIsDiscarded(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, time.Minute)
		fx.takeOver(a)
		fx.onFirstCall(isReadBeforeApply, func(p *fault.Process) fault.Action {
			return fault.Action{After: func() {
				fx.dropHolder()
				p.Pause(20 * time.Second)
			}}
		})
		require.NoError(t, fx.issue(a, 1))
		time.Sleep(40 * time.Second)
		require.Zero(t, fx.applyCount())
	})
}

// Guards against two sidecars of one engine that both send it orders.
func TestLowerIncarnationStops(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, time.Minute)
		fx.takeOver(a)
		// The second sidecar claims the engine when the first is about to execute the order.
		fx.onFirstCall(isOp("weights"), func(p *fault.Process) fault.Action {
			return fault.Action{After: func() {
				fx.startSidecar()
				p.Pause(5 * time.Second)
			}}
		})
		require.NoError(t, fx.issue(a, 1))
		time.Sleep(20 * time.Second)
		require.True(t, fx.sidecar.process.Killed(), "the first sidecar still runs")
		require.Equal(t, 1, fx.applyCount())
		require.Equal(t, uint64(2), fx.record().Incarnation)
	})
}

// Guards against a second sidecar that sends an order while the first one's order is in flight.
func TestClaimWaitsForEarlierEffect(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, 2*time.Minute)
		fx.takeOver(a)
		fx.onFirstCall(isReadBeforeApply, func(p *fault.Process) fault.Action {
			return fault.Action{After: func() {
				fx.noRequests = true // a drain would hide a missing claimWait
				fx.startSidecar()
				p.Pause(400 * time.Millisecond) // below MaxReadAge: the order may be applied
			}}
		})
		require.NoError(t, fx.issue(a, 1))
		for n := 2; n < 20; n++ {
			time.Sleep(100 * time.Millisecond)
			_ = fx.issue(a, n) // refused until the first order is settled
		}
		time.Sleep(20 * time.Second)
		require.Equal(t, order.PhaseDone, fx.record().Phase)
	})
}

// Guards against an order that interrupts requests in flight.
func TestOrderWaitsForDrain(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, time.Minute)
		fx.takeOver(a)
		time.Sleep(350 * time.Millisecond)
		n, _ := fx.sidecar.drainer.counts()
		require.Positive(t, n, "no request is in flight")
		require.NoError(t, fx.issue(a, 1))
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, fx.applyCount())
		_, draining := fx.sidecar.drainer.counts()
		require.False(t, draining, "the engine takes no work after the order")
	})
}

// Guards against an order of an earlier planner that is executed after a handover.
func TestHandoverWithdrawsUnbegunOrder(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		first := fx.grantPool(1, time.Minute)
		fx.takeOver(first)
		fx.onFirstCall(isOp("begin drain"), func(*fault.Process) fault.Action {
			return fault.Action{After: func() { time.Sleep(2 * time.Second) }}
		})
		require.NoError(t, fx.issue(first, 1))
		time.Sleep(time.Second)
		fx.takeOver(fx.grantPool(2, time.Minute))
		require.Equal(t, order.PhaseFailed, fx.record().Phase)
		time.Sleep(10 * time.Second)
		require.Zero(t, fx.applyCount())
	})
}

// Guards against an order that is applied after a new planner has sealed the sidecar and adopted
// the record.
func TestHandoverWhileExecuting(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		first := fx.grantPool(1, time.Minute)
		fx.takeOver(first)
		fx.onFirstCall(isReadBeforeApply, func(*fault.Process) fault.Action {
			return fault.Action{After: func() { fx.takeOver(fx.grantPool(2, time.Minute)) }}
		})
		require.NoError(t, fx.issue(first, 1))
		time.Sleep(10 * time.Second)
		require.Zero(t, fx.applyCount())
		require.Equal(t, order.PhaseFailed, fx.record().Phase)
	})
}

// Guards against an order that is applied after its record has changed.
func TestChangedRecordIsNotExecuted(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, time.Minute)
		fx.takeOver(a)
		fx.onFirstCall(recordWrite(true, order.PhaseExecuting), func(*fault.Process) fault.Action {
			return fault.Action{After: func() {
				r := fx.record()
				r.Phase = order.PhaseFailed
				fx.put(order.Key(pool, engineName), r)
			}}
		})
		require.NoError(t, fx.issue(a, 1))
		time.Sleep(10 * time.Second)
		require.Zero(t, fx.applyCount())
	})
}

// Guards against more calls to the key-value service than the package comment states.
func TestCallsPerOrder(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, time.Minute)
		calls := func(do func()) (reads, writes uint64) {
			synctest.Wait() // recordPool reads the pool after each change
			before := fx.store.Calls()
			do()
			after := fx.store.Calls()
			return after.Reads - before.Reads, after.Writes - before.Writes
		}
		reads, writes := calls(func() { fx.takeOver(a) })
		require.Equal(t, []uint64{2, 1}, []uint64{reads, writes}, "handover")
		reads, writes = calls(func() {
			require.NoError(t, fx.issue(a, 1))
			time.Sleep(8 * time.Second)
		})
		require.Equal(t, []uint64{5, 4}, []uint64{reads, writes}, "order")
		records, err := fx.planner.Records(t.Context(), pool)
		require.NoError(t, err)
		require.Equal(t, order.PhaseDone, records[engineName].Phase)
	})
}

// Guards against an engine that stays in an unknown state after a crash.
func TestCrashedEngineIsReconciled(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, 5*time.Minute)
		fx.takeOver(a)
		require.NoError(t, fx.issue(a, 1))
		time.Sleep(5 * time.Second)
		done := fx.record()
		require.Equal(t, order.PhaseDone, done.Phase)
		_, issued, err := fx.planner.Reconcile(t.Context(), a, engineName)
		require.NoError(t, err)
		require.False(t, issued)
		fx.engine.crash()
		time.Sleep(10 * time.Second)
		r, issued, err := fx.planner.Reconcile(t.Context(), a, engineName)
		require.NoError(t, err)
		require.True(t, issued)
		require.Equal(t, done.Number+1, r.Number)
		require.Equal(t, done.Config, r.Config)
		time.Sleep(5 * time.Second)
		s, _ := fx.engine.current()
		require.Equal(t, done.Config, s.Config)
	})
}

// Guards against a lost response to Apply that is recorded as a failure, or repeated.
func TestLostApplyResponseIsResolved(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		a := fx.grantPool(1, time.Minute)
		fx.takeOver(a)
		fx.onFirstCall(isOp("apply"), func(*fault.Process) fault.Action { return fault.Action{LoseResponse: true} })
		require.NoError(t, fx.issue(a, 1))
		time.Sleep(10 * time.Second)
		require.Equal(t, order.PhaseDone, fx.record().Phase)
		require.Equal(t, 1, fx.applyCount())
	})
}
