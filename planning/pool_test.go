package planning

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/order"
)

// Guards against an engine that keeps its old model for good: its order was withdrawn when the
// pool changed hands, and its record already holds the wanted configuration.
func TestFailedOrderIsGivenAgain(t *testing.T) {
	at := time.Date(2026, 11, 3, 10, 0, 0, 0, time.UTC)
	e := &engine{id: "e", recorded: true, owned: true}
	p := &pool{engines: []*engine{e}}
	set := func(number uint64, phase order.Phase, unknown bool) {
		e.record.Number, e.record.Phase, e.record.Unknown = number, phase, unknown
	}
	for _, phase := range []order.Phase{order.PhasePlanned, order.PhaseDraining, order.PhaseExecuting, order.PhaseDone} {
		set(1, phase, false)
		require.Empty(t, p.retries(at), phase)
	}
	set(2, order.PhaseFailed, true)
	require.Empty(t, p.retries(at), "an unknown state is reconciled")

	set(2, order.PhaseFailed, false)
	require.Len(t, p.retries(at), 1)
	require.Len(t, p.retries(at), 1, "until an order follows")
	e.owned = false
	require.Empty(t, p.retries(at))
	e.owned = true

	// Each further failure doubles the wait.
	set(3, order.PhaseFailed, false)
	require.Empty(t, p.retries(at))
	require.Empty(t, p.retries(at.Add(minRetryWait-time.Millisecond)))
	require.Len(t, p.retries(at.Add(minRetryWait)), 1)
	set(4, order.PhaseFailed, false)
	require.Empty(t, p.retries(at.Add(minRetryWait)))
	require.Len(t, p.retries(at.Add(3*minRetryWait)), 1)
	require.Equal(t, maxRetryWait, retryWait(100))

	// A success starts anew.
	set(5, order.PhaseDone, false)
	require.Empty(t, p.retries(at))
	set(6, order.PhaseFailed, false)
	require.Len(t, p.retries(at), 1)
}
