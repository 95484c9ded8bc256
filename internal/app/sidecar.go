package app

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/quetzallug/quetzallug/dissemination"
	"github.com/quetzallug/quetzallug/entry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/internal/telemetry"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/sidecar"
)

const (
	// sidecarKVCalls is a sidecar's budget of calls to the key-value service per second. It
	// reads its order record every 30 s, and a few records around an order.
	sidecarKVCalls = 5
	// leavingPoll is the time between looks whether the platform lists this instance as leaving.
	leavingPoll = 200 * time.Millisecond
)

// Sidecar returns the daemon's sidecar role.
func Sidecar(s *settings.Sidecar, log *logrus.Logger) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(s.LameDuck+s.DrainTimeout+stopSlack),
		fx.Supply(s, &s.Common, log),
		fx.Provide(
			func(l *logrus.Logger) logrus.FieldLogger { return l.WithField("instance", s.Instance) },
			telemetry.New, newControl, newStore, newAgent, newView,
			sidecarIdentity, sidecarKV, newInstanceList, newBackends, newSidecar, newExecutor,
		),
		fx.Invoke(logChanges, followInstances, pollInstances, pollEngine, followLeaving, serveSidecar),
	)
}

func sidecarIdentity(s *settings.Sidecar) (identity, error) {
	inc, err := newIncarnation()
	return identity{incarnation: inc, self: external.Instance{
		ID: s.Instance, Role: external.RoleSidecar, Service: s.Service, DataCentre: s.DataCentre, Address: s.Listen,
	}}, err
}

func sidecarKV(lc fx.Lifecycle, s *settings.Sidecar, m *telemetry.Metrics) (external.KV, error) {
	return newKV(lc, &s.Common, m, sidecarKVCalls)
}

func newInstanceList(lc fx.Lifecycle, c *settings.Common, m *telemetry.Metrics) (external.InstanceList, error) {
	l, err := load[external.InstanceList](lc, c.InstancesModule, kernel.Settings{"address": c.InstancesAddress})
	if err != nil {
		return nil, err
	}
	return l, countTraffic(m, l, "instances", "Instance list")
}

// backends holds the backend server of a sidecar: exactly one of the two is set.
type backends struct {
	engine external.Engine
	plain  external.Backend
}

func newBackends(lc fx.Lifecycle, s *settings.Sidecar) (*backends, error) {
	set := kernel.Settings{"address": s.BackendAddress}
	if s.Backend == settings.BackendPlain {
		b, err := load[external.Backend](lc, s.BackendModule, set)
		return &backends{plain: b}, err
	}
	e, err := load[external.Engine](lc, s.BackendModule, set)
	return &backends{engine: e}, err
}

func newSidecar(lc fx.Lifecycle, s *settings.Sidecar, id identity, b *backends, store *dissemination.Store, agent *dissemination.Agent, m *telemetry.Metrics, log logrus.FieldLogger) (*sidecar.Sidecar, error) {
	peers, err := newClients(lc, &s.Common, nil, log)
	if err != nil {
		return nil, err
	}
	return sidecar.New(sidecar.Config{
		Peers:   peers,
		Cluster: s.Cluster, Instance: s.Instance, Service: s.Service, Incarnation: id.incarnation,
		MaxInFlight: s.MaxInFlight, Attempts: once.DefaultExecutorSettings(),
	}, b.engine, b.plain, &entry.DocumentsInForce{Store: store, Agent: agent}, m, log)
}

// newExecutor returns the executor of orders, nil beside a plain backend server.
func newExecutor(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Sidecar, b *backends, kv external.KV, sc *sidecar.Sidecar, store *dissemination.Store, log logrus.FieldLogger) (*order.Executor, error) {
	if b.engine == nil {
		return nil, nil
	}
	weights, err := load[external.WeightStore](lc, s.WeightsModule, kernel.Settings{"address": s.WeightsAddress})
	if err != nil {
		return nil, err
	}
	e := order.NewExecutor(order.ExecutorConfig{
		Pool: entry.PoolName(s.Service, s.DataCentre), Engine: s.Instance, KV: kv, Backend: b.engine,
		Weights: weights, Drainer: sc, DrainTimeout: s.DrainTimeout, Log: log,
		ModelBytes: modelBytes(store, s.Service),
	})
	background(lc, func(ctx context.Context) {
		if err := e.Run(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).Error("this sidecar has lost its slot: it finishes its work and stops")
			sc.Leave()
			_ = sd.Shutdown(fx.ExitCode(1))
		}
	})
	return e, nil
}

// modelBytes looks up the size of a model's weights in the document in force.
func modelBytes(store *dissemination.Store, service string) func(external.ModelVersion) int64 {
	return func(v external.ModelVersion) int64 {
		f := store.Snapshot().Service(service)
		if f == nil {
			return 0
		}
		for _, m := range f.Parsed.Models {
			if m.Name == v.Name {
				return int64(m.WeightsMiB) << 20
			}
		}
		return 0
	}
}

// pollInstances reads the instance list. Sidecars do not probe: entries do.
func pollInstances(lc fx.Lifecycle, c *settings.Common, view *membership.View, list external.InstanceList, log logrus.FieldLogger) {
	r := membership.NewRunner(view, list, nil, log)
	background(lc, func(ctx context.Context) {
		t := time.NewTicker(c.InstancesPoll)
		defer t.Stop()
		for n := 0; ; n++ {
			r.Poll(ctx, n%fullListEvery == 0)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
}

// fullListEvery is the number of polls after which the whole instance list is read again.
const fullListEvery = 30

// pollEngine keeps the engine's state and load fresh.
func pollEngine(lc fx.Lifecycle, s *settings.Sidecar, sc *sidecar.Sidecar, log logrus.FieldLogger) {
	background(lc, func(ctx context.Context) {
		t := time.NewTicker(s.StatePoll)
		defer t.Stop()
		for {
			call, cancel := context.WithTimeout(ctx, s.StatePoll)
			if err := sc.RefreshState(call); err != nil {
				log.WithError(err).Debug("backend server does not report its state")
			}
			if err := sc.RefreshCacheEvents(call); err != nil {
				log.WithError(err).Debug("engine does not report its cache events")
			}
			cancel()
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
}

// followLeaving stops new work while the platform lists this instance as leaving.
func followLeaving(lc fx.Lifecycle, id identity, view *membership.View, sc *sidecar.Sidecar) {
	background(lc, func(ctx context.Context) {
		t := time.NewTicker(leavingPoll)
		defer t.Stop()
		for {
			if m, ok := view.Snapshot().Member(id.self.ID); ok && m.Address == id.self.Address {
				sc.Listed(m.State == external.InstanceLeaving)
			}
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
}

func serveSidecar(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Sidecar, sc *sidecar.Sidecar, e *order.Executor, m *telemetry.Metrics, log logrus.FieldLogger) error {
	var orders order.Sidecar
	if e != nil {
		orders = e
	}
	svc := sidecar.NewService(sc, orders, entry.PoolName(s.Service, s.DataCentre), log)
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(svc, rpc.WorkerOptions(newAuth(&s.Common, log))...))
	h := &health{profile: s.Profile, ready: func() (bool, string) { return !sc.Draining(), "draining" }}
	h.register(mux, m)
	stop := func(ctx context.Context) {
		h.stopping.Store(true)
		sc.Leave()
		// Entries learn of the stop from refusals, while connections still work.
		pause.For(ctx, s.LameDuck)
		ctx, cancel := context.WithTimeout(ctx, s.DrainTimeout)
		defer cancel()
		if err := sc.Wait(ctx); err != nil {
			log.WithError(eris.Wrap(err, "drain")).WithField("in_flight", sc.InFlight()).Warn("drain ended at its bound")
		}
	}
	tlsConfig, err := s.TLS().Load()
	if err != nil {
		return err
	}
	serve(lc, sd, log, rpc.NewServer(mux), s.Listen, tlsConfig, plainListener, stop)
	return nil
}
