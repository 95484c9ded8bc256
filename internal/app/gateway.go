package app

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/quetzallug/quetzallug/external"
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
//
// droppedLogLines returns the number of log lines dropped so far.
func Gateway(s *settings.Gateway, log *logrus.Logger, droppedLogLines func() int64) *fx.App {
	debug.SetMemoryLimit(int64(s.MemoryMiB) << 20)
	debug.SetGCPercent(gcPercent)
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(s.Grace+stopSlack),
		fx.Supply(s, log),
		fx.Provide(
			func(l *logrus.Logger) logrus.FieldLogger { return l.WithField("instance", s.Instance) },
			telemetry.New, telemetry.NewGateway, newAdapter, newGateway, newGatewayHealth, newFeed, gateway.NewRoster,
			func() *route.Holder { return &route.Holder{} }, newUpstream, newLeases, newStatus,
		),
		// Hooks stop in reverse order.
		fx.Invoke(
			func(m *telemetry.Metrics, g *telemetry.Gateway, status statusFunc) error {
				return g.ObserveStatus(m, status, droppedLogLines)
			},
			runFeed, ignoreHangup, serveGateway, runRoles, failReadiness,
		),
	)
}

// watchShare is the part of the time in which a change must be in force that a watch may wait. The
// rest is for the call that follows a watch which heard nothing.
const watchShare = 0.85

func newAdapter(lc fx.Lifecycle, s *settings.Gateway, m *telemetry.Gateway) (Adapter, error) {
	wait := time.Duration(watchShare * float64(min(s.ConfigBound, s.DrainBound)))
	a, err := load[Adapter](lc, s.Adapter, kernel.Settings{"address": s.AdapterAddress, "watch-wait": wait.String()})
	if err != nil {
		return nil, err
	}
	return &countedAdapter{KV: telemetry.CountKV(a, m.StoreCall), Decoder: a, Codec: a, Orders: a}, nil
}

// countedAdapter is an adapter whose calls to the store are counted.
type countedAdapter struct {
	external.KV
	gateway.Decoder
	gateway.Codec
	gateway.Orders
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
		Instance: s.Instance, DataCentre: s.DataCentre, RetryWindow: s.RetryWindow, RetryShare: s.RetryShare, RetrySlack: s.RetrySlackPerInstance(),
	}, a, t, r, p, m, log)
}

func newFeed(a Adapter, t *route.Holder, r *gateway.Roster, log logrus.FieldLogger) *gateway.Feed {
	return gateway.NewFeed(a, t, r, log)
}

func runFeed(lc fx.Lifecycle, f *gateway.Feed) { background(lc, f.Run) }

// leaseMarginShare is the part of a lease's time to live that is kept as its safety margin.
const leaseMarginShare = 7

// newLeases returns the manager of the lease for orders, or nil if there are to be none.
func newLeases(s *settings.Gateway, a Adapter, log logrus.FieldLogger) (*lease.Manager, error) {
	if s.LeaseTTL == 0 {
		log.Info("no orders to engines: lease-ttl is 0s")
		return nil, nil //nolint:nilnil // without orders there is no lease
	}
	return lease.NewManager(a, lease.Config{
		Holder: s.Instance, Pools: []string{gateway.RolesPool}, TTL: s.LeaseTTL, SafetyMargin: s.LeaseTTL / leaseMarginShare,
		MaxPools: 1, PollSpacing: leasePoll, Log: log,
	})
}

// runRoles competes for the right to give orders and plans the roles of engines while it is held.
func runRoles(lc fx.Lifecycle, s *settings.Gateway, leases *lease.Manager, a Adapter, t *route.Holder, r *gateway.Roster, p *upstream.Pool, m *telemetry.Gateway, log logrus.FieldLogger) {
	if leases == nil {
		return
	}
	background(lc, leases.Run)
	// A holder that lost its lease without notice may give orders until the TTL is over.
	roles := gateway.NewRoles(s.Instance, s.LeaseTTL+s.OrderGuard, a, leases, t, r, p, m, log)
	background(lc, roles.Run)
}

// statusFunc returns what the process believes now.
type statusFunc func() *gateway.Status

func newStatus(g *gateway.Gateway, h *health, leases *lease.Manager) statusFunc {
	return func() *gateway.Status {
		s := g.Status(time.Now())
		if h.stopping.Load() {
			s.Ready, s.Reason = false, "stopping"
		}
		if leases != nil {
			if a, ok := leases.Authority(gateway.RolesPool); ok {
				s.Orders = a.Valid()
			}
		}
		return s
	}
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
