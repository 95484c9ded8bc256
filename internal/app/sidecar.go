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
	// sidecarKVCallsPerSecond limits a sidecar's calls to the key-value service. A sidecar reads its
	// order record every 30 s, and accesses a few records when it executes an order.
	sidecarKVCallsPerSecond = 5
	// leavingCheckInterval is the time between checks whether the platform lists this instance as
	// leaving.
	leavingCheckInterval = 200 * time.Millisecond
)

// Sidecar returns the application that runs a sidecar.
func Sidecar(s *settings.Sidecar, log *logrus.Logger) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(s.LameDuck+s.DrainTimeout+stopMargin),
		fx.Supply(s, &s.Common, log),
		fx.Provide(
			func(l *logrus.Logger) logrus.FieldLogger { return l.WithField("instance", s.Instance) },
			telemetry.New, newControlClients, newDocumentStore, newAgent, newMembershipView,
			sidecarIdentity, sidecarKV, newInstanceList, newBackendClient, newSidecar, newExecutor,
		),
		fx.Invoke(logDocumentChanges, forwardInstances, pollInstances, pollEngine, watchLeaving, serveSidecar),
	)
}

func sidecarIdentity(s *settings.Sidecar) (identity, error) {
	inc, err := newIncarnation()
	return identity{incarnation: inc, self: external.Instance{
		ID: s.Instance, Role: external.RoleSidecar, Service: s.Service, DataCentre: s.DataCentre, Address: s.Listen,
	}}, err
}

func sidecarKV(lc fx.Lifecycle, s *settings.Sidecar, m *telemetry.Metrics) (external.KV, error) {
	return newKV(lc, &s.Common, m, sidecarKVCallsPerSecond)
}

func newInstanceList(lc fx.Lifecycle, c *settings.Common, m *telemetry.Metrics) (external.InstanceList, error) {
	l, err := loadModule[external.InstanceList](lc, c.InstancesModule, kernel.Settings{"address": c.InstancesAddress})
	if err != nil {
		return nil, err
	}
	return l, countTraffic(m, l, "instances", "Instance list")
}

// backendClient is the client of a sidecar's backend server. Exactly one of its fields is set.
type backendClient struct {
	engine external.Engine
	plain  external.Backend
}

func newBackendClient(lc fx.Lifecycle, s *settings.Sidecar) (*backendClient, error) {
	cfg := kernel.Settings{"address": s.BackendAddress}
	if s.Backend == settings.BackendPlain {
		b, err := loadModule[external.Backend](lc, s.BackendModule, cfg)
		return &backendClient{plain: b}, err
	}
	e, err := loadModule[external.Engine](lc, s.BackendModule, cfg)
	return &backendClient{engine: e}, err
}

func newSidecar(lc fx.Lifecycle, s *settings.Sidecar, id identity, b *backendClient, store *dissemination.Store, agent *dissemination.Agent, m *telemetry.Metrics, log logrus.FieldLogger) (*sidecar.Sidecar, error) {
	peers, err := newClients(lc, &s.Common, nil, log)
	if err != nil {
		return nil, err
	}
	return sidecar.New(sidecar.Config{
		Peers:   peers,
		Cluster: s.Cluster, Instance: s.Instance, Service: s.Service, Incarnation: id.incarnation,
		MaxInFlight: s.MaxInFlight, Attempts: once.DefaultAttemptTableSettings(),
	}, b.engine, b.plain, &entry.ActiveDocuments{Store: store, Agent: agent}, m, log)
}

// newExecutor returns the executor of orders, or nil if the backend server is not an engine.
func newExecutor(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Sidecar, b *backendClient, kv external.KV, sc *sidecar.Sidecar, store *dissemination.Store, log logrus.FieldLogger) (*order.Executor, error) {
	if b.engine == nil {
		return nil, nil
	}
	weights, err := loadModule[external.WeightStore](lc, s.WeightsModule, kernel.Settings{"address": s.WeightsAddress})
	if err != nil {
		return nil, err
	}
	e := order.NewExecutor(order.ExecutorConfig{
		Pool: entry.PoolName(s.Service, s.DataCentre), Engine: s.Instance, KV: kv, Backend: b.engine,
		Weights: weights, Drainer: sc, DrainTimeout: s.DrainTimeout, Log: log,
		ModelBytes: modelSize(store, s.Service),
	})
	runInBackground(lc, func(ctx context.Context) {
		if err := e.Run(ctx); err != nil && ctx.Err() == nil {
			log.WithError(err).Error("another sidecar replaced this one; finishing requests and stopping")
			sc.StopAccepting()
			_ = sd.Shutdown(fx.ExitCode(1))
		}
	})
	return e, nil
}

// modelSize returns a function that returns the size of a model's weights in bytes according to the
// current document, or 0 if the document doesn't contain the model.
func modelSize(store *dissemination.Store, service string) func(external.ModelVersion) int64 {
	return func(v external.ModelVersion) int64 {
		doc := store.Snapshot().Service(service)
		if doc == nil {
			return 0
		}
		for _, m := range doc.Parsed.Models {
			if m.Name == v.Name {
				return int64(m.WeightsMiB) << 20
			}
		}
		return 0
	}
}

// pollInstances polls the instance list. Only entries probe instances; sidecars don't.
func pollInstances(lc fx.Lifecycle, c *settings.Common, view *membership.View, list external.InstanceList, log logrus.FieldLogger) {
	r := membership.NewRunner(view, list, nil, log)
	runInBackground(lc, func(ctx context.Context) {
		t := time.NewTicker(c.InstancesPoll)
		defer t.Stop()
		for n := 0; ; n++ {
			r.Poll(ctx, n%pollsPerFullList == 0)
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
}

// pollsPerFullList is the number of polls between two reads of the full instance list.
const pollsPerFullList = 30

// pollEngine polls the state, the load and the cache events of the engine.
func pollEngine(lc fx.Lifecycle, s *settings.Sidecar, sc *sidecar.Sidecar, log logrus.FieldLogger) {
	runInBackground(lc, func(ctx context.Context) {
		t := time.NewTicker(s.StatePoll)
		defer t.Stop()
		for {
			callCtx, cancel := context.WithTimeout(ctx, s.StatePoll)
			if err := sc.RefreshState(callCtx); err != nil {
				log.WithError(err).Debug("cannot read the state of the backend server")
			}
			if err := sc.RefreshCacheEvents(callCtx); err != nil {
				log.WithError(err).Debug("cannot read the cache events of the engine")
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

// watchLeaving makes the sidecar refuse new attempts while the platform lists this instance as leaving.
func watchLeaving(lc fx.Lifecycle, id identity, view *membership.View, sc *sidecar.Sidecar) {
	runInBackground(lc, func(ctx context.Context) {
		t := time.NewTicker(leavingCheckInterval)
		defer t.Stop()
		for {
			if m, ok := view.Snapshot().Member(id.self.ID); ok && m.Address == id.self.Address {
				sc.SetListedLeaving(m.State == external.InstanceLeaving)
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
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(svc, rpc.WorkerOptions(newAuthInterceptor(&s.Common, log))...))
	h := &health{profile: s.Profile, ready: func() (bool, string) { return !sc.Draining(), "draining" }}
	h.register(mux, m)
	drain := func(ctx context.Context) {
		h.stopping.Store(true)
		sc.StopAccepting()
		// The listener stays open for some time, so that entries learn of the stop from refused attempts
		// and not from failed connections.
		pause.For(ctx, s.LameDuck)
		ctx, cancel := context.WithTimeout(ctx, s.DrainTimeout)
		defer cancel()
		if err := sc.Wait(ctx); err != nil {
			log.WithError(eris.Wrap(err, "drain")).WithField("in_flight", sc.InFlight()).Warn("requests are still in progress at the drain timeout")
		}
	}
	tlsConfig, err := s.TLS().Load()
	if err != nil {
		return err
	}
	serveUntilStopTimeout(lc, sd, log, rpc.NewServer(mux), s.Listen, tlsConfig, plainListener, drain)
	return nil
}
