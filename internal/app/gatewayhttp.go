package app

import (
	"context"
	"encoding/json"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/internal/telemetry"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than installations let callers keep idle connections, so that a caller
	// does not send on a connection that is being closed.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// callerShare is the part of the process's descriptors that connections of callers may take. The rest
	// is for backend servers, the store and files.
	callerShare = 0.6
)

// newGatewayHealth returns the readiness check of a gateway.
func newGatewayHealth(g *gateway.Gateway) *health { return &health{ready: g.Ready} }

// failReadiness is the first hook of a stop: the balancer takes seconds to notice, and the lease for
// orders is given up meanwhile.
func failReadiness(lc fx.Lifecycle, h *health, log logrus.FieldLogger) {
	lc.Append(fx.StopHook(func() {
		h.stopping.Store(true)
		h.stopped = time.Now()
		log.Info("stopping: the readiness check fails, requests are still served")
	}))
}

// drainShare is the part of the grace time after which requests that are still unanswered are broken
// off. The rest is for the process's own end.
const drainShare = 0.9

func serveGateway(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Gateway, h *health, g *gateway.Gateway, m *telemetry.Metrics, gm *telemetry.Gateway, status statusFunc, log logrus.FieldLogger) {
	gin.SetMode(gin.ReleaseMode)
	checks := gin.New()
	mux := http.NewServeMux()
	h.register(mux, m)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(status()); err != nil {
			log.WithError(err).Info("status not written")
		}
	})
	checks.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		mux.ServeHTTP(c.Writer, c.Request)
	})
	callers := gin.New()
	callers.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		h.closeWhenStopping(g).ServeHTTP(c.Writer, c.Request)
	})
	// Hooks stop in reverse order: callers are drained before the readiness check ends.
	end := func() time.Time { return h.stopped.Add(time.Duration(drainShare * float64(s.Grace))) }
	for _, addr := range []string{s.MetricsListen, s.ReadyListen} {
		if addr != "" {
			serveHTTP(lc, sd, log, newServer(checks, log), addr, end, func(context.Context) {})
		}
	}
	srv := newServer(callers, log)
	conns := newCallerConns(int(callerShare * float64(s.MaxFiles)))
	conns.onUnread = func(from net.Addr) {
		gm.UnreadRequest()
		log.WithField("caller", from.String()).Info("connection ended before its request could be read")
	}
	conns.onDropped = func(idle bool) { gm.DroppedConnection(idle) }
	conns.attach(srv)
	serveHTTP(lc, sd, log, srv, s.Listen, end, func(ctx context.Context) {
		pause.For(ctx, time.Until(h.stopped.Add(min(s.LameDuck, s.Grace/2))))
	})
}

// newServer returns a server with the limits of a gateway's listeners.
func newServer(h http.Handler, log logrus.FieldLogger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(&errorLog{log}, "", 0),
	}
}

// errorLog writes what net/http reports, such as failures to accept, as structured lines.
type errorLog struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (e *errorLog) Write(line []byte) (int, error) {
	e.log.WithField("error", strings.TrimSpace(string(line))).Warn("http server")
	return len(line), nil
}

// serveHTTP serves from start to stop. beforeStop runs while requests are still accepted; requests that
// are unanswered at the end are broken off.
func serveHTTP(lc fx.Lifecycle, sd fx.Shutdowner, log logrus.FieldLogger, srv *http.Server, addr string, end func() time.Time, beforeStop func(context.Context)) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
			if err != nil {
				return err
			}
			log.WithField("address", l.Addr().String()).Info("listening")
			go func() {
				if err := srv.Serve(l); err != nil && err != http.ErrServerClosed {
					log.WithError(err).Error("listener failed")
					_ = sd.Shutdown(fx.ExitCode(1))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			beforeStop(ctx)
			drain, cancel := context.WithDeadline(ctx, end())
			defer cancel()
			if err := srv.Shutdown(drain); err != nil {
				log.WithError(err).Warn("requests broken off at the end of the grace time")
				return srv.Close()
			}
			return nil
		},
	})
}
