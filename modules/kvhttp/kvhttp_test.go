package kvhttp_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/kvhttp"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// newClient starts a server with a handler and returns a client of it.
func newClient(t *testing.T, h http.Handler) (external.KV, *httptest.Server) {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c, err := kernel.Load[external.KV](t.Context(), kvhttp.ID, kernel.Settings{"address": srv.URL})
	require.NoError(t, err)
	t.Cleanup(func() { _ = kernel.Cleanup(c) })
	return c, srv
}

// A write that may have taken effect must not be reported as one without effect, and vice versa.
func TestOutcomesOfWrites(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	c, srv := newClient(t, s.Handler())
	ctx := t.Context()
	s.Faults().Set(kv.FaultState{LoseAnswers: 1})
	_, err := c.CompareAndSwap(ctx, "a", 0, []byte("x"), 0)
	require.ErrorIs(t, err, external.ErrOutcomeUnknown)
	_, err = c.CompareAndSwap(ctx, "a", 0, []byte("y"), 0)
	require.ErrorIs(t, err, external.ErrConflict)
	e, err := c.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, external.KVEntry{Key: "a", Version: 1, Revision: 1, Value: []byte("x")}, e)
	events, next, err := c.Watch(ctx, "a", 0)
	require.NoError(t, err)
	require.Equal(t, []external.KVEvent{{KVEntry: e}}, events)
	require.Equal(t, uint64(1), next)
	id, err := c.GrantLease(ctx, time.Hour)
	require.NoError(t, err)
	require.NoError(t, c.KeepAlive(ctx, id))
	require.NoError(t, c.RevokeLease(ctx, id))
	require.ErrorIs(t, c.KeepAlive(ctx, id), external.ErrLeaseExpired)
	s.Faults().Set(kv.FaultState{Down: true})
	require.ErrorIs(t, c.Delete(ctx, "a", 1), external.ErrUnavailable)

	srv.Close()
	fresh, err := kernel.Load[external.KV](ctx, kvhttp.ID, kernel.Settings{"address": srv.URL})
	require.NoError(t, err)
	require.ErrorIs(t, fresh.Delete(ctx, "a", 1), external.ErrUnavailable)

	// A proxy also returns status 502 if the service has executed the write and the connection then
	// failed.
	proxied, _ := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }))
	require.ErrorIs(t, proxied.Delete(ctx, "a", 1), external.ErrOutcomeUnknown)
	_, err = proxied.Get(ctx, "a")
	require.ErrorIs(t, err, external.ErrUnavailable, "the outcome of a read is never unknown, because it has no effect")
}
