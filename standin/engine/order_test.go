package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/standin/engine"
)

func order(fence, number uint64, role external.Role) external.EngineOrder {
	c := loaded
	c.Role = role
	return external.EngineOrder{Fence: fence, Number: number, Config: c}
}

func violations(e *engine.Engine) (kinds []engine.ViolationKind) {
	for _, v := range e.Violations() {
		kinds = append(kinds, v.Kind)
	}
	return kinds
}

// Guards against an order that interrupts a request unseen, or that runs beside requests.
func TestOrderCutsRequestsAndRecordsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{})
		s, err := e.Generate(t.Context(), request("a", 10, 1000))
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- e.Apply(t.Context(), order(1, 1, external.RoleDecode)) }()
		synctest.Wait()
		_, _, err = read(s, 0)
		require.ErrorIs(t, err, external.ErrEngineFailed)
		state, err := e.State(t.Context())
		require.NoError(t, err)
		require.True(t, state.Changing)
		require.Equal(t, external.RoleMixed, state.Config.Role)
		_, err = e.Generate(t.Context(), request("b", 10, 10))
		require.ErrorIs(t, err, external.ErrEngineRefused)
		require.NoError(t, <-done)
		state, err = e.State(t.Context())
		require.NoError(t, err)
		require.Equal(t, external.RoleDecode, state.Config.Role)
		require.Equal(t, uint64(1), state.Number)
		require.False(t, state.Changing)
		require.Equal(t, []engine.ViolationKind{engine.RequestCutByOrder}, violations(e))
		require.Equal(t, []string{"a"}, started(e))
		run(t, e, request("c", 10, 10))
	})
}

// Guards against both kinds of engine behaving alike towards old fence numbers, and against a
// stale order that runs unseen.
func TestFenceCheckedOrIgnored(t *testing.T) {
	for _, check := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := newEngine(t, engine.Config{CheckFence: check})
			require.NoError(t, e.Apply(t.Context(), order(7, 1, external.RoleDecode)))
			err := e.Apply(t.Context(), order(6, 2, external.RolePrefill))
			state, stateErr := e.State(t.Context())
			require.NoError(t, stateErr)
			require.Equal(t, uint64(7), state.Fence)
			if check {
				require.ErrorIs(t, err, external.ErrStaleFence)
				require.Equal(t, external.RoleDecode, state.Config.Role)
				require.Empty(t, violations(e))
			} else {
				require.NoError(t, err)
				require.Equal(t, external.RolePrefill, state.Config.Role)
				require.Equal(t, []engine.ViolationKind{engine.StaleOrderRan}, violations(e))
			}
		})
	}
}

// Guards against two conflicting orders at once that no checker sees. A repetition of the
// running order is refused, but is no conflict.
func TestConflictingOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{})
		first := order(1, 1, external.RoleDecode)
		done := make(chan error, 1)
		go func() { done <- e.Apply(t.Context(), first) }()
		synctest.Wait()
		require.ErrorIs(t, e.Apply(t.Context(), first), external.ErrEngineRefused)
		require.Empty(t, violations(e))
		require.ErrorIs(t, e.Apply(t.Context(), order(1, 2, external.RolePrefill)), external.ErrEngineRefused)
		require.Equal(t, []engine.ViolationKind{engine.ConflictingOrder}, violations(e))
		require.NoError(t, <-done)
		require.NoError(t, e.Apply(t.Context(), order(1, 1, external.RolePrefill)))
		require.Len(t, violations(e), 2, "one order number with two configurations")
	})
}

// Guards against a crash that keeps state, hides the break from callers or lets the order finish.
func TestCrashDuringOrderForgetsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{CheckFence: true})
		require.NoError(t, e.Apply(t.Context(), order(9, 4, external.RoleDecode)))
		before, err := e.State(t.Context())
		require.NoError(t, err)
		s, err := e.Generate(t.Context(), request("a", 10, 1000))
		require.NoError(t, err)
		e.Crash()
		_, _, err = read(s, 0)
		require.ErrorIs(t, err, external.ErrEngineFailed)
		_, err = e.State(t.Context())
		require.ErrorIs(t, err, external.ErrEngineFailed)
		_, err = e.Generate(t.Context(), request("b", 10, 10))
		require.ErrorIs(t, err, external.ErrEngineRefused)

		e.Restart(loaded)
		done := make(chan error, 1)
		go func() { done <- e.Apply(t.Context(), order(9, 5, external.RolePrefill)) }()
		synctest.Wait()
		e.Crash()
		require.ErrorIs(t, <-done, external.ErrEngineFailed)
		e.Restart(external.EngineConfig{})
		time.Sleep(time.Minute)
		after, err := e.State(t.Context())
		require.NoError(t, err)
		require.NotEqual(t, before.StartID, after.StartID)
		require.Equal(t, external.EngineState{StartID: after.StartID}, after)
		_, err = e.Generate(t.Context(), request("c", 10, 10))
		require.ErrorIs(t, err, external.ErrEngineRefused, "the model is no longer loaded")

		require.NoError(t, e.Apply(t.Context(), order(8, 6, external.RolePrefill)))
		require.Equal(t, []engine.ViolationKind{engine.StaleOrderRan}, violations(e),
			"the restarted engine cannot tell, the checker can")
	})
}
