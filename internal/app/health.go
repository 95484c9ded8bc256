package app

import (
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/internal/telemetry"
)

// health serves the liveness check, the readiness check, the metrics and optionally profiles.
type health struct {
	// profile enables profiles of the process, which any client of the listener can then read.
	profile  bool
	stopping atomic.Bool
	// stoppingSince is the time at which stopping was set.
	stoppingSince time.Time
	// ready returns whether the process is ready, and the reason if it isn't.
	ready func() (bool, string)
}

func (h *health) register(mux *http.ServeMux, m *telemetry.Metrics) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.Handle("GET /metrics", m.Handler())
	if h.profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
}

func (h *health) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	if ok, reason := h.ready(); !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Once the process is stopping, closeWhenStopping closes each connection after its next response, so that
// callers reconnect through the load balancer. Idle connections stay open, because closing one would
// fail a request that the caller has just sent on it.
func (h *health) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
