package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/platform"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/standin/site"
	"github.com/quetzallug/quetzallug/upstream"
)

// BenchmarkRequest measures a plain request and its answer through a gateway, with callers and one worker on loopback.
func BenchmarkRequest(b *testing.B) {
	store := site.NewStore()
	defer store.Close()
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	worker := site.NewWorker(site.WorkerConfig{ID: "i-a", Service: "api", Address: l.Addr().String(), Slots: 10_000, Zone: "z", ServiceTime: time.Nanosecond})
	workerServer := &http.Server{Handler: worker}
	go func() { _ = workerServer.Serve(l) }()
	defer workerServer.Close()
	worker.Register(store)
	config, err := json.Marshal(jsonMap{
		"version": 1, "limits": jsonMap{"max-body-bytes": 65536}, "services": []jsonMap{{"name": "api", "health-path": "/health", "max-connections": 100}},
		"routes": []jsonMap{routeConfig("once", pathOnce, "non_idempotent", "api", nil)},
	})
	require.NoError(b, err)
	store.Put("op/config", config)

	adapter := &platform.Adapter{}
	require.NoError(b, adapter.Provision(context.Background(), kernel.Settings{"address": storeServer.Listener.Addr().String(), "watch-wait": "1.7s"}))
	defer func() { _ = adapter.Cleanup() }()
	log := logrus.New()
	log.SetOutput(io.Discard)
	tables, roster, pool := &route.ActiveTable{}, gateway.NewRoster(), upstream.NewPool()
	defer pool.Close()
	quarantined := gateway.NewQuarantine("edge-1", adapter, log)
	guard := contain.New(log, func(string) {})
	g := gateway.New(gateway.Config{DataCentre: "z", RetryWindow: 10 * time.Second, RetryShare: 0.2}, adapter, tables, roster, pool, quarantined, noopMetrics{}, guard, log)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go gateway.NewStoreWatcher(adapter, tables, roster, quarantined, guard, log).Run(ctx)
	require.Eventually(b, func() bool { ok, _ := g.Ready(); return ok }, 10*time.Second, 10*time.Millisecond)
	gatewayServer := httptest.NewServer(g)
	defer gatewayServer.Close()

	body := bytes.Repeat([]byte("b"), 600)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r, err := http.NewRequest(http.MethodPost, gatewayServer.URL+pathOnce+"x", bytes.NewReader(body))
		require.NoError(b, err)
		r.Host = hostname
		r.Header.Set("Quetzallug-Attempt-Id", fmt.Sprint("b", i))
		r.Header.Set("Quetzallug-Deadline-Ms", "2000")
		resp, err := client.Do(r)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		_ = resp.Body.Close()
		require.Equal(b, http.StatusOK, resp.StatusCode)
	}
}
