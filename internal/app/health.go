package app

import (
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/internal/telemetry"
)

// health serves liveness, readiness and metrics.
type health struct {
	// profile serves profiles of the process, which any caller of the listener can read.
	profile  bool
	stopping atomic.Bool
	// stopped is when stopping was set.
	stopped time.Time
	ready   func() (bool, string)
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
	if ok, why := h.ready(); !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// closeWhenStopping makes each response close its connection while the balancer learns of the
// stop. Idle connections stay open: closing one breaks a request that its caller has just sent.
func (h *health) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
