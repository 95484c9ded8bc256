package instanceshttp_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/instanceshttp"
	"github.com/quetzallug/quetzallug/standin/instances"
)

var sidecar = external.Instance{
	ID: "w1", Role: external.RoleSidecar, Service: "oracolo", DataCentre: "palermo", Address: "127.0.0.1:1",
}

// states returns the states of the listed instances by ID.
func states(t *testing.T, l external.InstanceList) map[string]external.InstanceState {
	t.Helper()
	s, err := l.Instances(t.Context(), 0)
	require.NoError(t, err)
	out := map[string]external.InstanceState{}
	for _, in := range s.Instances {
		out[in.ID] = in.State
	}
	return out
}

// The stand-in must delay changes by its lag, and must remove instances whose registration has expired.
func TestChangesShowLateAndRegistrationsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := instances.New(2 * time.Second)
		l.Register(sidecar, 5*time.Second)
		require.Empty(t, states(t, l))
		time.Sleep(2 * time.Second)
		require.Equal(t, map[string]external.InstanceState{"w1": external.InstanceLive}, states(t, l))
		l.Register(sidecar, 5*time.Second)
		l.Leave("w1")
		time.Sleep(time.Second)
		require.Equal(t, external.InstanceLive, states(t, l)["w1"])
		time.Sleep(time.Second)
		require.Equal(t, external.InstanceLeaving, states(t, l)["w1"])
		time.Sleep(4 * time.Second)
		require.Len(t, states(t, l), 1, "the instance expired 1 s ago, and its removal becomes visible in 1 s")
		time.Sleep(time.Second)
		require.Empty(t, states(t, l))
	})
}

// The version must increase with each change and must not change otherwise. Reads must fail while the
// list is down.
func TestVersionsOverHTTP(t *testing.T) {
	l := instances.New(0)
	srv := httptest.NewServer(l.Handler())
	defer srv.Close()
	c, err := kernel.Load[*instanceshttp.Client](t.Context(), instanceshttp.ID, kernel.Settings{"address": srv.URL})
	require.NoError(t, err)
	defer func() { _ = c.Cleanup() }()
	require.NoError(t, c.Register(t.Context(), sidecar, time.Hour))
	first, err := c.Instances(t.Context(), 0)
	require.NoError(t, err)
	want := sidecar
	want.State = external.InstanceLive
	require.Equal(t, []external.Instance{want}, first.Instances)
	require.NoError(t, c.Register(t.Context(), sidecar, time.Hour))
	again, err := c.Instances(t.Context(), first.Version)
	require.NoError(t, err)
	require.Equal(t, external.InstanceSnapshot{Version: first.Version}, again)
	require.NoError(t, c.Leave(t.Context(), "w1"))
	left, err := c.Instances(t.Context(), first.Version)
	require.NoError(t, err)
	require.Greater(t, left.Version, first.Version)
	require.Equal(t, external.InstanceLeaving, left.Instances[0].State)
	l.SetDown(true)
	_, err = c.Instances(t.Context(), 0)
	require.Error(t, err)
}

// The client's list must equal the service's list after changes, removals and restarts of the service.
// The service must send only the changes if the client has an earlier version of the list.
func TestChangesGiveTheWholeList(t *testing.T) {
	l := instances.New(0)
	var handler atomic.Pointer[http.Handler]
	serve := func(l *instances.List) { h := l.Handler(); handler.Store(&h) }
	serve(l)
	var responseBytes atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		(*handler.Load()).ServeHTTP(rec, r)
		responseBytes.Store(int64(rec.Body.Len())) // before the client receives the response
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer srv.Close()
	c, err := kernel.Load[*instanceshttp.Client](t.Context(), instanceshttp.ID, kernel.Settings{"address": srv.URL})
	require.NoError(t, err)
	defer func() { _ = c.Cleanup() }()
	for i := range 500 {
		l.Register(external.Instance{ID: fmt.Sprintf("w%d", i), Address: "127.0.0.1:1"}, 0)
	}
	check := func(l *instances.List, after uint64) uint64 {
		want, err := l.Instances(t.Context(), 0)
		require.NoError(t, err)
		got, err := c.Instances(t.Context(), after)
		require.NoError(t, err)
		require.Equal(t, want, got)
		return got.Version
	}
	version := check(l, 0)
	require.Greater(t, responseBytes.Load(), int64(20_000))
	l.Leave("w7")
	l.Remove("w9")
	l.Register(external.Instance{ID: "new", Address: "127.0.0.1:2"}, 0)
	version = check(l, version)
	require.Less(t, responseBytes.Load(), int64(1000))
	check(l, 0)
	require.Less(t, responseBytes.Load(), int64(1000), "the whole list is returned from the cache and the changes")

	restarted := instances.New(0)
	restarted.Register(sidecar, 0)
	serve(restarted)
	low := check(restarted, version)
	require.Less(t, low, version, "versions start again after a restart of the service")

	same := instances.New(0)
	same.Register(external.Instance{ID: "other", Address: "127.0.0.1:3"}, 0)
	serve(same)
	require.Equal(t, low, check(same, low), "a restarted service has another list with the same version")
}
