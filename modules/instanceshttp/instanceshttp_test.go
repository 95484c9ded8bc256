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

var worker = external.Instance{
	ID: "w1", Role: external.RoleSidecar, Service: "oracolo", DataCentre: "palermo", Address: "127.0.0.1:1",
}

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

// Guards against a list without lag and against instances that stay after they stopped
// registering.
func TestChangesShowLateAndRegistrationsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := instances.New(2 * time.Second)
		l.Register(worker, 5*time.Second)
		require.Empty(t, states(t, l))
		time.Sleep(2 * time.Second)
		require.Equal(t, map[string]external.InstanceState{"w1": external.InstanceLive}, states(t, l))
		l.Register(worker, 5*time.Second)
		l.Leave("w1")
		time.Sleep(time.Second)
		require.Equal(t, external.InstanceLive, states(t, l)["w1"])
		time.Sleep(time.Second)
		require.Equal(t, external.InstanceLeaving, states(t, l)["w1"])
		time.Sleep(4 * time.Second)
		require.Len(t, states(t, l), 1, "expired 1 s ago, shown 1 s from now")
		time.Sleep(time.Second)
		require.Empty(t, states(t, l))
	})
}

// Guards against versions that go back or change without news, and against a list that answers
// while it is switched off.
func TestVersionsOverHTTP(t *testing.T) {
	l := instances.New(0)
	srv := httptest.NewServer(l.Handler())
	defer srv.Close()
	c, err := kernel.Load[*instanceshttp.Client](t.Context(), instanceshttp.ID, kernel.Settings{"address": srv.URL})
	require.NoError(t, err)
	defer func() { _ = c.Cleanup() }()
	require.NoError(t, c.Register(t.Context(), worker, time.Hour))
	first, err := c.Instances(t.Context(), 0)
	require.NoError(t, err)
	want := worker
	want.State = external.InstanceLive
	require.Equal(t, []external.Instance{want}, first.Instances)
	require.NoError(t, c.Register(t.Context(), worker, time.Hour))
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

// Guards against a list that differs from the service's after changes, removals and a restart of
// the service, and against whole lists on the wire where changes are enough.
func TestChangesGiveTheWholeList(t *testing.T) {
	l := instances.New(0)
	var handler atomic.Pointer[http.Handler]
	serve := func(l *instances.List) { h := l.Handler(); handler.Store(&h) }
	serve(l)
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		(*handler.Load()).ServeHTTP(rec, r)
		sent.Store(int64(rec.Body.Len())) // before the client can have the answer
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
	require.Greater(t, sent.Load(), int64(20_000))
	l.Leave("w7")
	l.Remove("w9")
	l.Register(external.Instance{ID: "new", Address: "127.0.0.1:2"}, 0)
	version = check(l, version)
	require.Less(t, sent.Load(), int64(1000))
	check(l, 0)
	require.Less(t, sent.Load(), int64(1000), "a request for the whole list is answered from changes")

	again := instances.New(0)
	again.Register(worker, 0)
	serve(again)
	low := check(again, version)
	require.Less(t, low, version, "the list of a service that has started again is lower")

	same := instances.New(0)
	same.Register(external.Instance{ID: "other", Address: "127.0.0.1:3"}, 0)
	serve(same)
	require.Equal(t, low, check(same, low), "another list with the same version")
}
