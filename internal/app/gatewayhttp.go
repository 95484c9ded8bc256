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
	"github.com/quetzallug/quetzallug/internal/connlimit"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/internal/telemetry"
)

const (
	// headerTimeout limits the time in which a caller must send the header of a request. Callers are told to send it
	// within 3 s.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the time for which callers keep idle connections, so that the caller
	// closes first and doesn't send a request on a connection that the gateway is closing.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of the header of a request. Callers are told to send up to 16,384 bytes, and
	// net/http reads 4 KiB more before it refuses one.
	maxHeaderBytes = 16 << 10
)

// newGatewayHealth returns the health endpoints of a gateway.
func newGatewayHealth(g *gateway.Gateway) *health { return &health{ready: g.Ready} }

// beginStop makes the readiness check fail when the process stops, and the gateway refuse what would not complete in
// the grace time. Its hook runs first, because the load balancer takes seconds to notice; the lease for orders is
// released in that time.
func beginStop(lc fx.Lifecycle, s *settings.Gateway, h *health, g *gateway.Gateway, log logrus.FieldLogger) {
	lc.Append(fx.StopHook(func() {
		now := time.Now()
		h.stoppingSince = now
		h.stopping.Store(true)
		g.Stop(now.Add(respondTime(s.Grace)))
		log.WithFields(logrus.Fields{"grace_ms": s.Grace.Milliseconds(), "respond_ms": respondTime(s.Grace).Milliseconds()}).Info("stopping: the readiness check fails, requests that complete in time are still served")
	}))
}

// drainFraction is the part of the grace time after which requests that are still in progress are
// aborted. The rest is for the shutdown of the process itself.
const drainFraction = 0.9

// lastResponseTime is the time in which the last responses reach the callers before the connections are closed. It is
// limited to lastResponseFraction of a short grace time, so that requests in progress may take five sixths of any.
const (
	lastResponseTime     = 100 * time.Millisecond
	lastResponseFraction = 0.05
)

// drainTime returns the time after the stop signal after which connections of callers are closed.
func drainTime(grace time.Duration) time.Duration {
	return time.Duration(drainFraction * float64(grace))
}

// respondTime returns the time after the stop signal within which all requests get their responses.
func respondTime(grace time.Duration) time.Duration {
	return drainTime(grace) - min(lastResponseTime, time.Duration(lastResponseFraction*float64(grace)))
}

func serveGateway(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Gateway, h *health, g *gateway.Gateway, m *telemetry.Metrics, gm *telemetry.Gateway, status statusFunc, log logrus.FieldLogger) {
	gin.SetMode(gin.ReleaseMode)
	internalHandler := gin.New()
	mux := http.NewServeMux()
	h.register(mux, m)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(status()); err != nil {
			log.WithError(err).Info("cannot write the status response")
		}
	})
	internalHandler.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		mux.ServeHTTP(c.Writer, c.Request)
	})
	callerHandler := gin.New()
	callerHandler.NoRoute(func(c *gin.Context) {
		c.Status(http.StatusOK)
		h.closeWhenStopping(g).ServeHTTP(c.Writer, c.Request)
	})
	// Stop hooks run in reverse order: the callers' listener is drained before those of the readiness
	// check and the metrics are closed.
	drainDeadline := func() time.Time { return h.stoppingSince.Add(drainTime(s.Grace)) }
	closed := newClosedLog(log, gm)
	limited := func(listener string, l connlimit.Limits) *connTracker {
		l.Closing = s.MaxClosing()
		t := newConnTracker(l, g)
		t.onClosed = func(cause connlimit.Cause, from net.Addr) { closed.record(listener, cause, from, time.Now()) }
		return t
	}
	shares := s.Shares()
	for _, l := range []struct {
		name, address string
		connections   int
	}{{"metrics", s.MetricsListen, shares.Metrics}, {"readiness", s.ReadyListen, shares.Readiness}} {
		if l.address != "" {
			conns := limited(l.name, connlimit.Limits{Connections: l.connections, AnyState: true})
			conns.withoutBodies = true
			serveUntilDrainDeadline(lc, sd, log, newServer(internalHandler, log), l.address, conns.attach, drainDeadline, func(context.Context) {})
		}
	}
	conns := limited("callers", connlimit.Limits{Connections: shares.Callers, Gone: clientGone})
	g.OnMemoryShortage(conns.closeReceiving)
	conns.onHeaderIncomplete = func(from net.Addr) {
		gm.UnreadRequest()
		log.WithField("caller", from.String()).Info("connection ended before its request could be read")
	}
	serveUntilDrainDeadline(lc, sd, log, newServer(callerHandler, log), s.Listen, conns.attach, drainDeadline, func(ctx context.Context) {
		pause.For(ctx, time.Until(h.stoppingSince.Add(min(s.LameDuck, s.Grace/2))))
	})
}

// newServer returns a server with the timeouts and limits of a gateway's listeners.
func newServer(h http.Handler, log logrus.FieldLogger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(&serverErrorWriter{log}, "", 0),
	}
}

// serverErrorWriter logs the errors that net/http reports, such as failures to accept a connection.
type serverErrorWriter struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (e *serverErrorWriter) Write(line []byte) (int, error) {
	e.log.WithField("error", strings.TrimSpace(string(line))).Warn("http server")
	return len(line), nil
}

// serveUntilDrainDeadline serves srv on addr, with the limits that attach installs, while the application runs. When the application stops, beforeStop is
// called while requests are still accepted; then requests in progress may finish until drainDeadline,
// after which they are aborted.
func serveUntilDrainDeadline(lc fx.Lifecycle, sd fx.Shutdowner, log logrus.FieldLogger, srv *http.Server, addr string, attach func(*http.Server, net.Listener) net.Listener, drainDeadline func() time.Time, beforeStop func(context.Context)) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
			if err != nil {
				return err
			}
			log.WithField("address", l.Addr().String()).Info("listening")
			l = attach(srv, l)
			go func() {
				if err := srv.Serve(l); err != nil && err != http.ErrServerClosed {
					log.WithError(err).Error("cannot serve connections; stopping")
					_ = sd.Shutdown(fx.ExitCode(1))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			beforeStop(ctx)
			drain, cancel := context.WithDeadline(ctx, drainDeadline())
			defer cancel()
			if err := srv.Shutdown(drain); err != nil {
				log.WithError(err).Warn("requests aborted at the drain deadline")
				return srv.Close()
			}
			return nil
		},
	})
}
