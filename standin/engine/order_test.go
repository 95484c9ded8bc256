package engine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/standin/engine"
)

func newOrder(fence, number uint64, role external.EngineRole) external.EngineOrder {
	c := loadedConfig
	c.Role = role
	return external.EngineOrder{Fence: fence, Number: number, Config: c}
}

// violationKinds returns the kinds of the recorded violations in order.
func violationKinds(e *engine.Engine) (kinds []engine.ViolationKind) {
	for _, v := range e.Violations() {
		kinds = append(kinds, v.Kind)
	}
	return kinds
}

// Guards against an order that aborts a request without a recorded violation, or that runs
// concurrently with requests.
func TestOrderCutsRequestsAndRecordsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{})
		s, err := e.Generate(t.Context(), request("a", 10, 1000))
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- e.Apply(t.Context(), newOrder(1, 1, external.EngineRoleDecode)) }()
		synctest.Wait()
		_, _, err = readStream(s, 0)
		require.ErrorIs(t, err, external.ErrEngineFailed)
		state, err := e.State(t.Context())
		require.NoError(t, err)
		require.True(t, state.Changing)
		require.Equal(t, external.EngineRoleMixed, state.Config.Role)
		_, err = e.Generate(t.Context(), request("b", 10, 10))
		require.ErrorIs(t, err, external.ErrEngineRefused)
		require.NoError(t, <-done)
		state, err = e.State(t.Context())
		require.NoError(t, err)
		require.Equal(t, external.EngineRoleDecode, state.Config.Role)
		require.Equal(t, uint64(1), state.Number)
		require.False(t, state.Changing)
		require.Equal(t, []engine.ViolationKind{engine.RequestAbortedByOrder}, violationKinds(e))
		require.Equal(t, []string{"a"}, startedRequests(e))
		generate(t, e, request("c", 10, 10))
	})
}

// Guards against a CheckFence setting that has no effect on stale fence numbers, and against a stale
// order that runs without a recorded violation.
func TestFenceCheckedOrIgnored(t *testing.T) {
	for _, check := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := newEngine(t, engine.Config{CheckFence: check})
			require.NoError(t, e.Apply(t.Context(), newOrder(7, 1, external.EngineRoleDecode)))
			err := e.Apply(t.Context(), newOrder(6, 2, external.EngineRolePrefill))
			state, stateErr := e.State(t.Context())
			require.NoError(t, stateErr)
			require.Equal(t, uint64(7), state.Fence)
			if check {
				require.ErrorIs(t, err, external.ErrStaleFence)
				require.Equal(t, external.EngineRoleDecode, state.Config.Role)
				require.Empty(t, violationKinds(e))
			} else {
				require.NoError(t, err)
				require.Equal(t, external.EngineRolePrefill, state.Config.Role)
				require.Equal(t, []engine.ViolationKind{engine.StaleOrderRan}, violationKinds(e))
			}
		})
	}
}

// Guards against concurrent conflicting orders without a recorded violation. A repetition of the
// running order is refused, but is not a conflict.
func TestConflictingOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{})
		first := newOrder(1, 1, external.EngineRoleDecode)
		done := make(chan error, 1)
		go func() { done <- e.Apply(t.Context(), first) }()
		synctest.Wait()
		require.ErrorIs(t, e.Apply(t.Context(), first), external.ErrEngineRefused)
		require.Empty(t, violationKinds(e))
		require.ErrorIs(t, e.Apply(t.Context(), newOrder(1, 2, external.EngineRolePrefill)), external.ErrEngineRefused)
		require.Equal(t, []engine.ViolationKind{engine.ConflictingOrder}, violationKinds(e))
		require.NoError(t, <-done)
		require.NoError(t, e.Apply(t.Context(), newOrder(1, 1, external.EngineRolePrefill)))
		require.Len(t, violationKinds(e), 2, "a reused order number with another configuration was not recorded as a violation")
	})
}

// Guards against a crash that preserves state, does not fail the streams and calls of clients, or
// lets the running order finish.
func TestCrashDuringOrderForgetsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{CheckFence: true})
		require.NoError(t, e.Apply(t.Context(), newOrder(9, 4, external.EngineRoleDecode)))
		before, err := e.State(t.Context())
		require.NoError(t, err)
		s, err := e.Generate(t.Context(), request("a", 10, 1000))
		require.NoError(t, err)
		e.Crash()
		_, _, err = readStream(s, 0)
		require.ErrorIs(t, err, external.ErrEngineFailed)
		_, err = e.State(t.Context())
		require.ErrorIs(t, err, external.ErrEngineFailed)
		_, err = e.Generate(t.Context(), request("b", 10, 10))
		require.ErrorIs(t, err, external.ErrEngineRefused)

		e.Restart(loadedConfig)
		done := make(chan error, 1)
		go func() { done <- e.Apply(t.Context(), newOrder(9, 5, external.EngineRolePrefill)) }()
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
		require.ErrorIs(t, err, external.ErrEngineRefused, "the model is still loaded after the restart")

		require.NoError(t, e.Apply(t.Context(), newOrder(8, 6, external.EngineRolePrefill)))
		require.Equal(t, []engine.ViolationKind{engine.StaleOrderRan}, violationKinds(e),
			"the stale order was not detected after a restart")
	})
}
