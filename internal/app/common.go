// Package app wires the daemon's roles with fx.
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

	// Adapters register themselves with the kernel.
	_ "github.com/quetzallug/quetzallug/modules/backendhttp"
	_ "github.com/quetzallug/quetzallug/modules/enginehttp"
	_ "github.com/quetzallug/quetzallug/modules/instanceshttp"
	_ "github.com/quetzallug/quetzallug/modules/kvhttp"
	_ "github.com/quetzallug/quetzallug/modules/weightshttp"
)

// stopSlack is added to the drain timeout for the rest of a graceful shutdown.
const stopSlack = 5 * time.Second

// identity names a process.
type identity struct {
	self        external.Instance
	incarnation string
}

// newIncarnation returns a time-ordered identifier, so that the later start of a slot wins.
func newIncarnation() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", eris.Wrap(err, "generate incarnation")
	}
	return id.String(), nil
}

// background runs a function from start to stop of the process, and waits for its end.
func background(lc fx.Lifecycle, run func(ctx context.Context)) {
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
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
			case <-stop.Done():
			}
			return nil
		},
	})
}

// load provisions an adapter and cleans it up at the end.
func load[T any](lc fx.Lifecycle, id string, s kernel.Settings) (T, error) {
	v, err := kernel.Load[T](context.Background(), id, s)
	if err != nil {
		return v, eris.Wrap(err, "load module")
	}
	lc.Append(fx.StopHook(func() error { return kernel.Cleanup(v) }))
	return v, nil
}

// observeTraffic exports a counter as two metrics, such as quetzallug_kv_bytes_in.
func observeTraffic(m *telemetry.Metrics, name, what string, t *traffic.Counter) error {
	return errors.Join(
		m.ObserveCounter("quetzallug_"+name+"_bytes_in", what+" bytes received.", t.In.Load),
		m.ObserveCounter("quetzallug_"+name+"_bytes_out", what+" bytes sent.", t.Out.Load))
}

// countTraffic exports the bytes that an adapter moves, if it can count them.
func countTraffic(m *telemetry.Metrics, adapter any, name, what string) error {
	c, ok := adapter.(interface{ CountTraffic(*traffic.Counter) })
	if !ok {
		return nil
	}
	t := &traffic.Counter{}
	c.CountTraffic(t)
	return observeTraffic(m, name, what, t)
}

func newKV(lc fx.Lifecycle, c *settings.Common, m *telemetry.Metrics, perSecond float64) (external.KV, error) {
	kv, err := load[external.KV](lc, c.KVModule, kernel.Settings{"address": c.KVAddress})
	if err != nil {
		return nil, err
	}
	if err := countTraffic(m, kv, "kv", "Key-value service"); err != nil {
		return nil, err
	}
	return kvbudget.New(kv, perSecond, m.KVCall), nil
}

// control is the traffic between the system's own processes other than answers.
type control struct {
	clients *rpc.Clients
	traffic *traffic.Counter
}

func newControl(lc fx.Lifecycle, c *settings.Common, m *telemetry.Metrics, log logrus.FieldLogger) (*control, error) {
	t := &traffic.Counter{}
	err := observeTraffic(m, "control", "Control", t)
	clients, clientsErr := newClients(lc, c, t, log)
	err = errors.Join(err, clientsErr)
	return &control{clients: clients, traffic: t}, err
}

// newClients returns clients of the cluster's other processes that end with this process.
func newClients(lc fx.Lifecycle, c *settings.Common, t *traffic.Counter, log logrus.FieldLogger) (*rpc.Clients, error) {
	tlsConfig, err := c.TLS().Load()
	if err != nil {
		return nil, err
	}
	clients := rpc.NewClients(rpc.ClientConfig{Control: t, TLS: tlsConfig, Interceptors: []connect.Interceptor{newAuth(c, log)}})
	lc.Append(fx.StopHook(clients.Close))
	return clients, nil
}

func newAuth(c *settings.Common, log logrus.FieldLogger) connect.Interceptor {
	return peerauth.NewInterceptor(peerauth.Credentials{Cluster: c.Cluster, Key: c.Key}, log)
}

func newStore(log logrus.FieldLogger) *dissemination.Store {
	return dissemination.NewStore(func(r dissemination.Refusal) {
		log.WithFields(logrus.Fields{"service": r.Service, "revision": r.Revision}).WithError(r.Err).
			Warn("document is not put in force")
	})
}

// newAgent returns the agent that keeps the store up to date, and runs it.
func newAgent(lc fx.Lifecycle, id identity, c *settings.Common, store *dissemination.Store, kv external.KV, ctl *control, log logrus.FieldLogger) *dissemination.Agent {
	agent := dissemination.NewAgent(dissemination.Config{
		Self: id.self, Store: store, KV: kv,
		Dial: func(in external.Instance) dissemination.Fetcher {
			return &entry.DocumentFetcher{Clients: ctl.clients, Cluster: c.Cluster, Address: in.Address}
		},
		Log: func(err error) { log.WithError(err).Debug("documents: source failed") },
	})
	background(lc, agent.Run)
	return agent
}

// logChanges writes a line for each document that comes into force.
func logChanges(lc fx.Lifecycle, store *dissemination.Store, log logrus.FieldLogger) {
	background(lc, func(ctx context.Context) {
		seen := map[string]uint64{}
		for {
			changed := store.Changed()
			for name, f := range store.Snapshot() {
				if f.Revision > seen[name] {
					seen[name] = f.Revision
					log.WithFields(logrus.Fields{"service": name, "revision": f.Revision, "deleted": f.Deleted}).
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

func newView(c *settings.Common) (*membership.View, error) {
	set := membership.DefaultSettings()
	set.PollInterval = c.InstancesPoll
	return membership.NewView(set, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// followInstances tells the agent of each new view of the instances.
func followInstances(lc fx.Lifecycle, view *membership.View, agent *dissemination.Agent) {
	background(lc, func(ctx context.Context) {
		var version uint64
		tick := time.NewTicker(instancesTick)
		defer tick.Stop()
		for {
			if s := view.Snapshot(); s.Version != version {
				version = s.Version
				agent.SetInstances(instancesOf(s))
			}
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
}

// instancesTick is the time between looks for a new view of the instances.
const instancesTick = 200 * time.Millisecond

func instancesOf(s *membership.Snapshot) []external.Instance {
	var all []external.Instance
	for _, m := range s.Members {
		in := m.Instance
		switch m.View {
		case membership.StateEjected:
			continue
		case membership.StateLeaving:
			in.State = external.InstanceLeaving
		}
		all = append(all, in)
	}
	return all
}

// serve listens at start and stops gracefully within the stop context.
func serve(lc fx.Lifecycle, sd fx.Shutdowner, log logrus.FieldLogger, srv *http.Server, address string, tlsConfig *tls.Config, wrap func(net.Listener) net.Listener, before func(context.Context)) {
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
					log.WithError(err).Error("server stopped")
					_ = sd.Shutdown(fx.ExitCode(1))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			before(ctx)
			if err := srv.Shutdown(ctx); err != nil {
				log.WithError(err).Warn("requests were cut at the bound of the graceful shutdown")
				return srv.Close()
			}
			return nil
		},
	})
}

func plainListener(l net.Listener) net.Listener { return l }

// fxLogger writes fx's own events at debug level and its errors at error level.
func fxLogger(log *logrus.Logger) fxevent.Logger {
	return &fxevent.ConsoleLogger{W: log.WriterLevel(logrus.DebugLevel)}
}
