package app

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	"github.com/quetzallug/quetzallug/internal/traffic"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/placement"
	"github.com/quetzallug/quetzallug/planning"
	"github.com/quetzallug/quetzallug/retry"
)

// decisionLogSize bounds the decisions kept for the operators' tool.
const decisionLogSize = 4096

// Entry returns the daemon's entry role.
func Entry(s *settings.Entry, log *logrus.Logger) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(s.LameDuck+s.DrainTimeout+stopSlack),
		fx.Supply(s, &s.Common, log),
		fx.Provide(
			func(l *logrus.Logger) logrus.FieldLogger { return l.WithField("instance", s.Instance) },
			telemetry.New, newControl, newStore, newAgent, newView,
			entry.NewAdmission, entryIdentity, entryConfig, entryKV, newInstanceList, newFleet, newCommitter, newClaimer,
			newLease, newPlanning, newEntry, newPeer, newDecisions,
		),
		// Hooks stop in reverse order: a stopping entry first gives up its pools.
		fx.Invoke(logChanges, followInstances, runMembership, serveEntry, runPlanning),
	)
}

func newDecisions() *entry.DecisionLog { return entry.NewDecisionLog(decisionLogSize) }

func entryIdentity(s *settings.Entry) (identity, error) {
	inc, err := newIncarnation()
	return identity{incarnation: inc, self: external.Instance{
		ID: s.Instance, Role: external.RoleEntry, DataCentre: s.DataCentre, Address: s.PeerListen,
	}}, err
}

func entryConfig(s *settings.Entry, id identity) entry.Config {
	return entry.Config{
		Cluster: s.Cluster, Instance: s.Instance, DataCentre: s.DataCentre, Incarnation: id.incarnation,
		MaxBodyBytes: int64(s.MaxBodyKiB) << 10, WriteTimeout: s.WriteTimeout,
	}
}

func entryKV(lc fx.Lifecycle, s *settings.Entry, m *telemetry.Metrics) (external.KV, error) {
	return newKV(lc, &s.Common, m, s.KVCalls)
}

func newFleet(cfg entry.Config, view *membership.View, ctl *control) *entry.Fleet {
	return entry.NewFleet(cfg.Cluster, cfg.DataCentre, view, ctl.clients, xxhash.Sum64String(cfg.Instance))
}

func runMembership(lc fx.Lifecycle, view *membership.View, list external.InstanceList, f *entry.Fleet, log logrus.FieldLogger) {
	background(lc, membership.NewRunner(view, list, f, log).Run)
	background(lc, f.Run)
}

func newCommitter(lc fx.Lifecycle, s *settings.Entry, kv external.KV, log logrus.FieldLogger) (*once.Committer, error) {
	set := once.DefaultSettings()
	set.Shards, set.Retention = s.OnceShards, s.OnceRetention
	c, err := once.NewCommitter(kv, set, log)
	if err == nil {
		lc.Append(fx.StopHook(c.Close))
	}
	return c, err
}

func newClaimer(cfg entry.Config, view *membership.View, c *once.Committer, ctl *control) *once.Router {
	entries := func() []external.Instance { return view.Snapshot().Entries() }
	return once.NewRouter(cfg.Instance, entries, &entry.ClaimForwarder{Clients: ctl.clients, Cluster: cfg.Cluster}, c)
}

// newLease returns the manager of pool leases. The holder's name differs between restarts.
func newLease(s *settings.Entry, id identity, kv external.KV, store *dissemination.Store, view *membership.View, log logrus.FieldLogger) (*lease.Manager, error) {
	docs := &entry.DocumentsInForce{Store: store}
	return lease.NewManager(kv, lease.Config{
		Holder: s.Instance + "/" + id.incarnation, TTL: s.LeaseTTL, MaxPools: s.MaxPools,
		PoolNames:   func() []string { return entry.Pools(docs.Services()) },
		Competitors: func() int { return len(view.Snapshot().Entries()) },
		Share:       func() int { return poolShare(len(entry.Pools(docs.Services())), len(view.Snapshot().Entries())) },
		Log:         log,
	})
}

// poolShare is the number of pools that one of several entries may hold. It is twice the mean, so
// that all pools find a holder while half of the entries are gone and still listed. Without it, the
// first entries to poll after a restart of all would take max-pools each, and the probes of eight
// pools of 32 engines exceed an entry's 4 KB/s for control.
//
// An entry whose list is still empty takes no pool: it knows neither its share nor the sidecars.
func poolShare(pools, entries int) int {
	if entries == 0 {
		return 0
	}
	return max(1, (2*pools+entries-1)/entries)
}

func newPlanning(s *settings.Entry, leases *lease.Manager, store *dissemination.Store, view *membership.View, f *entry.Fleet, admit *entry.Admission, kv external.KV, ctl *control, m *telemetry.Metrics, d *entry.DecisionLog, log logrus.FieldLogger) *planning.Loop {
	return planning.New(planning.Config{
		Interval: s.PlanInterval, Leases: leases, KV: kv,
		Documents: &entry.DocumentsInForce{Store: store},
		Confirmed: store.Confirmed,
		Workers:   f.Status,
		Refused: func(service string) (map[string]placement.KindWork, int) {
			return admit.Refused(service), len(view.Snapshot().Entries())
		},
		Speed:      f.MeanSpeed,
		Dial:       planning.DialRPC(ctl.clients, s.Cluster, func(id string) (membership.Member, bool) { return view.Snapshot().Member(id) }),
		RoleChange: m.RoleChange,
		Decided:    d.Add,
		Log:        log,
	})
}

func runPlanning(lc fx.Lifecycle, leases *lease.Manager, p *planning.Loop) {
	background(lc, leases.Run)
	background(lc, p.Run)
}

func newEntry(lc fx.Lifecycle, s *settings.Entry, cfg entry.Config, store *dissemination.Store, agent *dissemination.Agent, f *entry.Fleet, admit *entry.Admission, claims *once.Router, m *telemetry.Metrics, d *entry.DecisionLog, log logrus.FieldLogger) (*entry.Entry, error) {
	// Answers travel on their own connections, so that control traffic can be counted.
	clients, err := newClients(lc, &s.Common, nil, log)
	if err != nil {
		return nil, err
	}
	return entry.New(cfg, entry.Options{
		Documents: &entry.DocumentsInForce{Store: store, Agent: agent},
		Picker:    f,
		Clients:   clients,
		Admitter:  admit,
		Budget:    retry.NewBudget(retry.Config{Share: s.RetryShare}),
		Claims:    claims,
		Metrics:   m,
		Log:       log,
		Decisions: d,
	}), nil
}

func newPeer(cfg entry.Config, store *dissemination.Store, c *once.Committer, f *entry.Fleet, leases *lease.Manager, d *entry.DecisionLog) *entry.Peer {
	return entry.NewPeer(cfg, entry.PeerOptions{
		Store: store, Claims: c, Workers: f.Status, Decisions: d,
		Pools: func() []string {
			var names []string
			for _, a := range leases.Authorities() {
				names = append(names, a.Pool)
			}
			return names
		},
	})
}

func serveEntry(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Entry, e *entry.Entry, p *entry.Peer, f *entry.Fleet, store *dissemination.Store, ctl *control, m *telemetry.Metrics, log logrus.FieldLogger) error {
	tlsConfig, err := s.TLS().Load()
	if err != nil {
		return err
	}
	peers := http.NewServeMux()
	peers.Handle(quetzallugv1connect.NewPeerServiceHandler(p, rpc.PeerOptions(newAuth(&s.Common, log))...))
	h := &health{profile: s.Profile, ready: entryReady(store, f, time.Now())}
	h.register(peers, m)
	peerServer := rpc.NewServer(peers)
	count := func(l net.Listener) net.Listener { return traffic.Listener(l, ctl.traffic) }
	// Hooks stop in reverse order: callers are drained before peers are cut off.
	serve(lc, sd, log, peerServer, s.PeerListen, tlsConfig, count, func(context.Context) {})

	callers := http.NewServeMux()
	h.register(callers, m)
	callers.Handle("/", e.Handler())
	srv := rpc.NewServer(h.closeWhenStopping(callers))
	serve(lc, sd, log, srv, s.Listen, nil, plainListener, func(ctx context.Context) {
		h.stopping.Store(true)
		log.WithField("for", s.LameDuck.String()).Info("stopping: the readiness check fails, requests are still served")
		pause.For(ctx, s.LameDuck)
	})
	return nil
}

// reportWait bounds how long an entry waits for reports before it is ready, so that a service
// whose workers are all down does not keep new entries from serving the others.
const reportWait = 5 * time.Second

// entryReady returns the readiness check of an entry: it needs documents, and reports of workers.
func entryReady(store *dissemination.Store, f *entry.Fleet, started time.Time) func() (bool, string) {
	var reported atomic.Bool
	return func() (bool, string) {
		if !hasDocuments(store) {
			return false, "no document is in force"
		}
		if !reported.Load() && !f.Reported() && time.Since(started) < reportWait {
			return false, "workers have not reported yet"
		}
		// Workers that fail later do not make the entry unready: the others have the same view.
		reported.Store(true)
		return true, ""
	}
}

func hasDocuments(store *dissemination.Store) bool {
	for _, f := range store.Snapshot() {
		if f.Parsed != nil {
			return true
		}
	}
	return false
}
