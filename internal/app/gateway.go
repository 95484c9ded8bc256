package app

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/internal/telemetry"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/upstream"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than installations let callers keep idle connections, so that a caller
	// does not send on a connection that is being closed.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// gcPercent trades processor time for memory: the heap of a gateway is small and its garbage is
	// short-lived.
	gcPercent = 100
	// sweepInterval is the time between looks for connections that have been idle for too long.
	sweepInterval = time.Second
)

// Adapter is what an installation's module provides to a gateway.
type Adapter interface {
	gateway.Source
	gateway.Codec
	gateway.Orders
}

// Gateway returns the daemon's gateway role.
func Gateway(s *settings.Gateway, log *logrus.Logger) *fx.App {
	debug.SetMemoryLimit(int64(s.MemoryMiB) << 20)
	debug.SetGCPercent(gcPercent)
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(s.Grace+stopSlack),
		fx.Supply(s, log),
		fx.Provide(
			func(l *logrus.Logger) logrus.FieldLogger { return l.WithField("instance", s.Instance) },
			telemetry.New, telemetry.NewGateway, newAdapter, newGateway, newGatewayHealth, newFeed, gateway.NewRoster,
			func() *route.Holder { return &route.Holder{} }, newUpstream,
		),
		// Hooks stop in reverse order.
		fx.Invoke(runFeed, ignoreHangup, serveGateway, runRoles, failReadiness),
	)
}

// watchShare is the part of the time in which a change must be in force that a watch may wait. The
// rest is for the call that follows a watch which heard nothing.
const watchShare = 0.85

func newAdapter(lc fx.Lifecycle, s *settings.Gateway) (Adapter, error) {
	wait := time.Duration(watchShare * float64(min(s.ConfigBound, s.DrainBound)))
	return load[Adapter](lc, s.Adapter, kernel.Settings{"address": s.AdapterAddress, "watch-wait": wait.String()})
}

func newUpstream(lc fx.Lifecycle) *upstream.Pool {
	p := upstream.NewPool()
	lc.Append(fx.StopHook(p.Close))
	background(lc, func(ctx context.Context) {
		for ctx.Err() == nil {
			pause.For(ctx, sweepInterval)
			p.Sweep(time.Now())
		}
	})
	return p
}

func newGateway(s *settings.Gateway, a Adapter, t *route.Holder, r *gateway.Roster, p *upstream.Pool, m *telemetry.Gateway, log logrus.FieldLogger) *gateway.Gateway {
	return gateway.New(gateway.Config{
		DataCentre: s.DataCentre, RetryWindow: s.RetryWindow, RetryShare: s.RetryShare, RetrySlack: s.RetrySlack,
	}, a, t, r, p, m, log)
}

func newFeed(a Adapter, t *route.Holder, r *gateway.Roster, log logrus.FieldLogger) *gateway.Feed {
	return gateway.NewFeed(a, t, r, log)
}

func runFeed(lc fx.Lifecycle, f *gateway.Feed) { background(lc, f.Run) }

// leaseMarginShare is the part of a lease's time to live that is kept as its safety margin.
const leaseMarginShare = 7

// runRoles competes for the right to give orders and plans the roles of engines while it is held.
func runRoles(lc fx.Lifecycle, s *settings.Gateway, a Adapter, t *route.Holder, r *gateway.Roster, p *upstream.Pool, log logrus.FieldLogger) error {
	if s.LeaseTTL == 0 {
		log.Info("no orders to engines: lease-ttl is 0s")
		return nil
	}
	leases, err := lease.NewManager(a, lease.Config{
		Holder: s.Instance, Pools: []string{gateway.RolesPool}, TTL: s.LeaseTTL, SafetyMargin: s.LeaseTTL / leaseMarginShare,
		MaxPools: 1, PollSpacing: leasePoll, Log: log,
	})
	if err != nil {
		return err
	}
	background(lc, leases.Run)
	// A holder that lost its lease without notice may give orders until the TTL is over.
	roles := gateway.NewRoles(s.Instance, s.LeaseTTL+s.OrderGuard, a, leases, t, r, p, log)
	background(lc, roles.Run)
	return nil
}

// leasePoll is the mean time between two polls of an instance for a free lease. Each poll is a call
// that is paid for, and roles are seldom changed.
const leasePoll = 8 * time.Second

// ignoreHangup notes SIGHUP. The settings are flags and environment variables, which a running
// process cannot read again.
func ignoreHangup(lc fx.Lifecycle, log logrus.FieldLogger) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	background(lc, func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-c:
				log.Info("reload asked for; the settings are read at start only")
			}
		}
	})
}

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

func serveGateway(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Gateway, h *health, g *gateway.Gateway, m *telemetry.Metrics, log logrus.FieldLogger) {
	gin.SetMode(gin.ReleaseMode)
	checks := gin.New()
	mux := http.NewServeMux()
	h.register(mux, m)
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
			serveHTTP(lc, sd, log, checks, addr, end, func(context.Context) {})
		}
	}
	serveHTTP(lc, sd, log, callers, s.Listen, end, func(ctx context.Context) {
		pause.For(ctx, time.Until(h.stopped.Add(min(s.LameDuck, s.Grace/2))))
	})
}

// serveHTTP serves from start to stop. beforeStop runs while requests are still accepted; requests that
// are unanswered at the end are broken off.
func serveHTTP(lc fx.Lifecycle, sd fx.Shutdowner, log logrus.FieldLogger, h http.Handler, addr string, end func() time.Time, beforeStop func(context.Context)) {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil,
	}
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
