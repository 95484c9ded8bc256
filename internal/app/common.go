// Package app assembles the applications of the daemon (entry, sidecar and gateway) with fx.
package app

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/quetzallug/quetzallug/dissemination"
	"github.com/quetzallug/quetzallug/entry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/kvbudget"
	"github.com/quetzallug/quetzallug/internal/peerauth"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/internal/telemetry"
	"github.com/quetzallug/quetzallug/internal/traffic"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/membership"

	// The adapters register themselves with the kernel when they are imported.
	_ "github.com/quetzallug/quetzallug/modules/backendhttp"
	_ "github.com/quetzallug/quetzallug/modules/enginehttp"
	_ "github.com/quetzallug/quetzallug/modules/instanceshttp"
	_ "github.com/quetzallug/quetzallug/modules/kvhttp"
	_ "github.com/quetzallug/quetzallug/modules/weightshttp"
)

// stopMargin is the part of the stop timeout for shutdown work after requests are drained.
const stopMargin = 5 * time.Second

// identity identifies a run of an instance.
type identity struct {
	self        external.Instance
	incarnation string
}

// newIncarnation returns an ID that sorts by creation time, so that the latest run of an instance has the
// highest one and replaces earlier runs.
func newIncarnation() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", eris.Wrap(err, "generate incarnation ID")
	}
	return id.String(), nil
}

// runInBackground calls run when the application starts. When it stops, runInBackground cancels the
// context of run and waits until run returns or the stop timeout ends.
func runInBackground(lc fx.Lifecycle, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				run(ctx)
			}()
			return nil
		},
		OnStop: func(stopCtx context.Context) error {
			cancel()
			select {
			case <-done:
			case <-stopCtx.Done():
			}
			return nil
		},
	})
}

// loadModule loads a module and cleans it up when the application stops.
func loadModule[T any](lc fx.Lifecycle, id string, s kernel.Settings) (T, error) {
	v, err := kernel.Load[T](context.Background(), id, s)
	if err != nil {
		return v, eris.Wrap(err, "load module")
	}
	lc.Append(fx.StopHook(func() error { return kernel.Cleanup(v) }))
	return v, nil
}

// observeTraffic adds the metrics quetzallug_NAME_bytes_in and quetzallug_NAME_bytes_out, which read a
// traffic counter. The help texts of the metrics begin with helpSubject.
func observeTraffic(m *telemetry.Metrics, name, helpSubject string, t *traffic.Counter) error {
	return errors.Join(
		m.ObserveCounter("quetzallug_"+name+"_bytes_in", helpSubject+" bytes received.", t.In.Load),
		m.ObserveCounter("quetzallug_"+name+"_bytes_out", helpSubject+" bytes sent.", t.Out.Load))
}

// countTraffic adds metrics for the traffic of an adapter, if the adapter can count it.
func countTraffic(m *telemetry.Metrics, adapter any, name, helpSubject string) error {
	c, ok := adapter.(interface{ CountTraffic(*traffic.Counter) })
	if !ok {
		return nil
	}
	t := &traffic.Counter{}
	c.CountTraffic(t)
	return observeTraffic(m, name, helpSubject, t)
}

func newKV(lc fx.Lifecycle, c *settings.Common, m *telemetry.Metrics, callsPerSecond float64) (external.KV, error) {
	kv, err := loadModule[external.KV](lc, c.KVModule, kernel.Settings{"address": c.KVAddress})
	if err != nil {
		return nil, err
	}
	if err := countTraffic(m, kv, "kv", "Key-value service"); err != nil {
		return nil, err
	}
	return kvbudget.New(kv, callsPerSecond, m.KVCall), nil
}

// controlClients holds the clients for control traffic, and its counter. Control traffic is the traffic
// between the cluster's processes except for forwarded requests, transfers of KV caches between sidecars,
// and the responses to both.
type controlClients struct {
	clients *rpc.Clients
	traffic *traffic.Counter
}

func newControlClients(lc fx.Lifecycle, c *settings.Common, m *telemetry.Metrics, log logrus.FieldLogger) (*controlClients, error) {
	t := &traffic.Counter{}
	err := observeTraffic(m, "control", "Control", t)
	clients, clientsErr := newClients(lc, c, t, log)
	err = errors.Join(err, clientsErr)
	return &controlClients{clients: clients, traffic: t}, err
}

// newClients returns clients for the cluster's other processes, which are closed when the application
// stops. Their traffic is counted in t; nil means that it isn't counted.
func newClients(lc fx.Lifecycle, c *settings.Common, t *traffic.Counter, log logrus.FieldLogger) (*rpc.Clients, error) {
	tlsConfig, err := c.TLS().Load()
	if err != nil {
		return nil, err
	}
	clients := rpc.NewClients(rpc.ClientConfig{ControlTraffic: t, TLS: tlsConfig, Interceptors: []connect.Interceptor{newAuthInterceptor(c, log)}})
	lc.Append(fx.StopHook(clients.Close))
	return clients, nil
}

func newAuthInterceptor(c *settings.Common, log logrus.FieldLogger) connect.Interceptor {
	return peerauth.NewInterceptor(peerauth.Credentials{Cluster: c.Cluster, Key: c.Key}, log)
}

func newDocumentStore(log logrus.FieldLogger) *dissemination.Store {
	return dissemination.NewStore(func(r dissemination.Rejection) {
		log.WithFields(logrus.Fields{"service": r.Service, "revision": r.Revision}).WithError(r.Err).
			Warn("document rejected")
	})
}

// newAgent returns an agent that keeps the document store up to date while the application runs.
func newAgent(lc fx.Lifecycle, id identity, c *settings.Common, store *dissemination.Store, kv external.KV, ctl *controlClients, log logrus.FieldLogger) *dissemination.Agent {
	agent := dissemination.NewAgent(dissemination.Config{
		Self: id.self, Store: store, KV: kv,
		Dial: func(in external.Instance) dissemination.Fetcher {
			return &entry.DocumentFetcher{Clients: ctl.clients, Cluster: c.Cluster, Address: in.Address}
		},
		Log: func(err error) { log.WithError(err).Debug("document source failed or returned an invalid record") },
	})
	runInBackground(lc, agent.Run)
	return agent
}

// logDocumentChanges logs each document that takes effect.
func logDocumentChanges(lc fx.Lifecycle, store *dissemination.Store, log logrus.FieldLogger) {
	runInBackground(lc, func(ctx context.Context) {
		logged := map[string]uint64{}
		for {
			changed := store.Changed()
			for name, doc := range store.Snapshot() {
				if doc.Revision > logged[name] {
					logged[name] = doc.Revision
					log.WithFields(logrus.Fields{"service": name, "revision": doc.Revision, "deleted": doc.Deleted}).
						Info("document in force")
				}
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	})
}

func newMembershipView(c *settings.Common) (*membership.View, error) {
	cfg := membership.DefaultSettings()
	cfg.PollInterval = c.InstancesPoll
	return membership.NewView(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// forwardInstances passes each new version of the membership view to the agent.
func forwardInstances(lc fx.Lifecycle, view *membership.View, agent *dissemination.Agent) {
	runInBackground(lc, func(ctx context.Context) {
		var version uint64
		ticker := time.NewTicker(instancesCheckInterval)
		defer ticker.Stop()
		for {
			if s := view.Snapshot(); s.Version != version {
				version = s.Version
				agent.SetInstances(usableInstances(s))
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

// instancesCheckInterval is the time between checks for a new version of the membership view.
const instancesCheckInterval = 200 * time.Millisecond

// usableInstances returns the members of a membership view that are not ejected. Members that the view
// regards as leaving get the state leaving.
func usableInstances(s *membership.Snapshot) []external.Instance {
	var instances []external.Instance
	for _, m := range s.Members {
		in := m.Instance
		switch m.DerivedState {
		case membership.StateEjected:
			continue
		case membership.StateLeaving:
			in.State = external.InstanceLeaving
		}
		instances = append(instances, in)
	}
	return instances
}

// serveUntilStopTimeout serves srv on address while the application runs. When the application stops,
// beforeStop is called while requests are still accepted; then requests in progress may finish until the
// stop timeout ends. wrap wraps the listener, for example to count its traffic.
func serveUntilStopTimeout(lc fx.Lifecycle, sd fx.Shutdowner, log logrus.FieldLogger, srv *http.Server, address string, tlsConfig *tls.Config, wrap func(net.Listener) net.Listener, beforeStop func(context.Context)) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var lcfg net.ListenConfig
			l, err := lcfg.Listen(ctx, "tcp", address)
			if err != nil {
				return eris.Wrapf(err, "listen on %s", address)
			}
			log.WithField("address", l.Addr().String()).Info("listening")
			go func() {
				if err := rpc.Serve(srv, wrap(l), tlsConfig); !errors.Is(err, http.ErrServerClosed) {
					log.WithError(err).Error("cannot serve connections; stopping")
					_ = sd.Shutdown(fx.ExitCode(1))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			beforeStop(ctx)
			if err := srv.Shutdown(ctx); err != nil {
				log.WithError(err).Warn("requests aborted at the end of the stop timeout")
				return srv.Close()
			}
			return nil
		},
	})
}

// plainListener returns l unchanged: its traffic is not counted.
func plainListener(l net.Listener) net.Listener { return l }

// fxLogger returns a logger that writes the events of fx, including its errors, at debug level.
func fxLogger(log *logrus.Logger) fxevent.Logger {
	return &fxevent.ConsoleLogger{W: log.WriterLevel(logrus.DebugLevel)}
}
