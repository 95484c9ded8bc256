package app

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/internal/telemetry"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/upstream"
	"github.com/quetzallug/quetzallug/usage"
)

const (
	// gcPercent is the Go default. It is set so that GOGC in the environment has no effect. The heap of a
	// gateway is small and its garbage short-lived, so collections at this rate cost little processor
	// time and save memory.
	gcPercent = 100
	// sweepInterval is the interval at which upstream connections that were idle too long are closed.
	sweepInterval = time.Second
)

// Adapter is the interface of the modules that connect a gateway to the platform.
type Adapter interface {
	gateway.Source
	gateway.Codec
	gateway.Orders
	duty.Encoder
	duty.Translator
}

// Gateway returns the application that runs a gateway. The metrics read the number of dropped log lines
// from droppedLogLines.
func Gateway(s *settings.Gateway, log *logrus.Logger, droppedLogLines func() int64) *fx.App {
	debug.SetMemoryLimit(s.RuntimeMemory())
	debug.SetGCPercent(gcPercent)
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(s.Grace+stopMargin),
		fx.Supply(s, log),
		fx.Provide(
			func(l *logrus.Logger) logrus.FieldLogger { return l.WithField("instance", s.Instance) },
			telemetry.New, telemetry.NewGateway, newGuard, newAdapter, newQuarantine, newGateway, newGatewayHealth, newStoreWatcher, gateway.NewRoster,
			func() *route.ActiveTable { return &route.ActiveTable{} }, newUpstream, newLeases, newDuties, newUsageCounting, newHolderWatch, newDemand, newScaler, newStatus,
		),
		// Stop hooks run in reverse order, so beginStop comes first.
		fx.Invoke(
			func(m *telemetry.Metrics, g *telemetry.Gateway, status statusFunc) error {
				return g.ObserveStatus(m, status, droppedLogLines)
			},
			competeWhenVacant, runStoreWatcher, runQuarantine, ignoreHangup, runUsage, serveGateway, runScaler, runRolePlanning, beginStop,
		),
	)
}

// watchWaitFraction is the duration of a watch as a fraction of the maximum delay of a change, which is
// the shorter of config-bound and drain-bound. The rest of the delay is for the next watch, which returns
// the changes that the first one missed.
const watchWaitFraction = 0.85

// confirmationsPerBound is the number of watches within the bound of strict revocation, so that one that is late, or lost
// and repeated, refuses nobody.
const confirmationsPerBound = 4

func newAdapter(lc fx.Lifecycle, s *settings.Gateway, m *telemetry.Gateway) (Adapter, error) {
	wait := time.Duration(watchWaitFraction * float64(min(s.ConfigBound, s.DrainBound)))
	if limit := s.MaxUnconfirmed(); limit > 0 {
		// A confirmation is as old as its watch when it comes, and the next one takes as long again.
		wait = min(wait, limit/confirmationsPerBound)
	}
	a, err := loadModule[Adapter](lc, s.Adapter, kernel.Settings{
		"address": s.AdapterAddress, "watch-wait": wait.String(), "max-list-bytes": strconv.FormatInt(s.StoreListMemory(), 10),
	})
	if err != nil {
		return nil, err
	}
	return &countingAdapter{KV: telemetry.CountKV(a, m.StoreCall), Epochs: a, Decoder: a, Codec: a, Orders: a, Encoder: a, Translator: a}, nil
}

// countingAdapter is an adapter that counts its calls to the store.
type countingAdapter struct {
	external.KV
	gateway.Epochs
	gateway.Decoder
	gateway.Codec
	gateway.Orders
	duty.Encoder
	duty.Translator
}

func newGuard(m *telemetry.Gateway, log logrus.FieldLogger) *contain.Guard {
	return contain.New(log, m.Panic)
}

func newUpstream(lc fx.Lifecycle, s *settings.Gateway, guard *contain.Guard) *upstream.Pool {
	p := upstream.NewPool()
	p.SetLimit(s.Shares().Backends)
	lc.Append(fx.StopHook(p.Close))
	runInBackground(lc, guard.Loop("idle connections", func(ctx context.Context) {
		for ctx.Err() == nil {
			pause.For(ctx, sweepInterval)
			p.CloseExpired(time.Now())
		}
	}))
	return p
}

func newGateway(s *settings.Gateway, a Adapter, u *usageCounting, t *route.ActiveTable, r *gateway.Roster, p *upstream.Pool, q *gateway.Quarantine, m *gateway.Demand, guard *contain.Guard, log logrus.FieldLogger) *gateway.Gateway {
	return gateway.New(gateway.Config{
		Instance: s.Instance, DataCentre: s.DataCentre, RetryWindow: s.RetryWindow, RetryShare: s.RetryShare, RetrySlack: s.RetrySlackPerInstance(),
		MaxRest: s.MaxServerRest, MemoryBudget: s.RequestMemory(), RevocationBound: s.MaxUnconfirmed(), Usage: u.recorder(),
	}, a, t, r, p, q, m, guard, log)
}

func newQuarantine(s *settings.Gateway, a Adapter, log logrus.FieldLogger) *gateway.Quarantine {
	return gateway.NewQuarantine(s.Instance, a, log)
}

func runQuarantine(lc fx.Lifecycle, q *gateway.Quarantine, guard *contain.Guard) {
	runInBackground(lc, guard.Loop("quarantine", q.Run))
}

func newStoreWatcher(a Adapter, t *route.ActiveTable, r *gateway.Roster, q *gateway.Quarantine, guard *contain.Guard, log logrus.FieldLogger) *gateway.StoreWatcher {
	return gateway.NewStoreWatcher(a, t, r, q, guard, log)
}

func runStoreWatcher(lc fx.Lifecycle, w *gateway.StoreWatcher) {
	runInBackground(lc, w.Run)
}

// leaseMarginDivisor is the ratio between the time to live of a lease and its safety margin.
const leaseMarginDivisor = 7

// newLeases returns the manager of the lease for orders, or nil if this instance sends no orders.
func newLeases(s *settings.Gateway, a Adapter, u *usageCounting, w *usage.HolderWatch, log logrus.FieldLogger) (*lease.Manager, error) {
	if s.LeaseTTL == 0 {
		log.Info("this instance sends no orders to engines because lease-ttl is 0s")
		return nil, nil //nolint:nilnil // nil means that no orders are sent
	}
	address := ""
	if u != nil {
		address = s.PeerListen
	}
	return lease.NewManager(a, lease.Config{
		Holder: s.Instance, Address: address, Epoch: a.Epoch, Era: a.Era, Pools: []string{gateway.RolesPool}, TTL: s.LeaseTTL, SafetyMargin: s.LeaseTTL / leaseMarginDivisor,
		MaxPools: 1, PollSpacing: leasePollInterval, Log: log,
		WakeSpread: func(random float64) time.Duration { return wakeDelay(u.instances(), random) },
		StillVacant: func() bool {
			_, held := w.Holder()
			return !held
		},
	})
}

// runRolePlanning competes for the lease for orders, and plans the roles of engines while it is held.
func runRolePlanning(lc fx.Lifecycle, s *settings.Gateway, leases *lease.Manager, a Adapter, t *route.ActiveTable, r *gateway.Roster, p *upstream.Pool, scaler *gateway.Scaler, m *telemetry.Gateway, guard *contain.Guard, log logrus.FieldLogger) {
	if leases == nil {
		return
	}
	runInBackground(lc, guard.Loop("leases", leases.Run))
	// The guard includes the TTL of the lease, because a previous holder that has not noticed the loss of
	// its lease may send orders until then.
	planner := gateway.NewRolePlanner(s.Instance, s.LeaseTTL+s.OrderGuard, a, leases, t, r, p, m, log)
	planner.SetScaler(scaler)
	runInBackground(lc, guard.Loop("role plan", planner.Run))
}

// statusFunc returns the current status of the process.
type statusFunc func() *gateway.Status

func newStatus(g *gateway.Gateway, h *health, leases *lease.Manager, u *usageCounting, scaler *gateway.Scaler) statusFunc {
	return func() *gateway.Status {
		s := g.Status(time.Now())
		if scaler != nil {
			s.Scaling = scaler.Status(time.Now())
		}
		if h.stopping.Load() {
			s.Ready, s.Reason = false, "stopping"
		}
		if leases != nil {
			if a, ok := leases.Authority(gateway.RolesPool); ok {
				s.Orders = a.Valid()
			}
		}
		s.Usage = u.status()
		return s
	}
}

// leasePollInterval is the mean time between two polls of an instance that doesn't hold the lease. A poll
// costs a call to the store, and role changes are rare enough for a slow takeover.
const leasePollInterval = 8 * time.Second

// ignoreHangup logs and ignores SIGHUP. The settings are flags and environment variables, which a
// running process cannot reload.
func ignoreHangup(lc fx.Lifecycle, guard *contain.Guard, log logrus.FieldLogger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	runInBackground(lc, guard.Loop("signals", func(ctx context.Context) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				log.Info("SIGHUP ignored: settings are only read at startup")
			}
		}
	}))
}
