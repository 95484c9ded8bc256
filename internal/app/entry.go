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

// decisionLogSize is the number of planning decisions kept for the command line tool.
const decisionLogSize = 4096

// Entry returns the application that runs an entry.
func Entry(s *settings.Entry, log *logrus.Logger) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(s.LameDuck+s.DrainTimeout+stopMargin),
		fx.Supply(s, &s.Common, log),
		fx.Provide(
			func(l *logrus.Logger) logrus.FieldLogger { return l.WithField("instance", s.Instance) },
			telemetry.New, newControlClients, newDocumentStore, newAgent, newMembershipView,
			entry.NewAdmission, entryIdentity, entryConfig, entryKV, newInstanceList, newFleet, newCommitter, newClaimRouter,
			newLeaseManager, newPlanning, newEntry, newPeer, newDecisionLog,
		),
		// Stop hooks run in reverse order, so planning stops and the pool leases are released before
		// requests are drained.
		fx.Invoke(logDocumentChanges, forwardInstances, runMembership, serveEntry, runPlanning),
	)
}

func newDecisionLog() *entry.DecisionLog { return entry.NewDecisionLog(decisionLogSize) }

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

func newFleet(cfg entry.Config, view *membership.View, ctl *controlClients) *entry.Fleet {
	return entry.NewFleet(cfg.Cluster, cfg.DataCentre, view, ctl.clients, xxhash.Sum64String(cfg.Instance))
}

func runMembership(lc fx.Lifecycle, view *membership.View, list external.InstanceList, f *entry.Fleet, log logrus.FieldLogger) {
	runInBackground(lc, membership.NewRunner(view, list, f, log).Run)
	runInBackground(lc, f.Run)
}

func newCommitter(lc fx.Lifecycle, s *settings.Entry, kv external.KV, log logrus.FieldLogger) (*once.Committer, error) {
	cfg := once.DefaultSettings()
	cfg.Shards, cfg.Retention = s.OnceShards, s.OnceRetention
	c, err := once.NewCommitter(kv, cfg, log)
	if err == nil {
		lc.Append(fx.StopHook(c.Close))
	}
	return c, err
}

func newClaimRouter(cfg entry.Config, view *membership.View, c *once.Committer, ctl *controlClients) *once.Router {
	entries := func() []external.Instance { return view.Snapshot().Entries() }
	return once.NewRouter(cfg.Instance, entries, &entry.ClaimForwarder{Clients: ctl.clients, Cluster: cfg.Cluster}, c)
}

// newLeaseManager returns the manager of pool leases. The holder's name contains the incarnation, so that
// it is different after each restart.
func newLeaseManager(s *settings.Entry, id identity, kv external.KV, store *dissemination.Store, view *membership.View, log logrus.FieldLogger) (*lease.Manager, error) {
	docs := &entry.ActiveDocuments{Store: store}
	return lease.NewManager(kv, lease.Config{
		Holder: s.Instance + "/" + id.incarnation, TTL: s.LeaseTTL, MaxPools: s.MaxPools,
		PoolNames:   func() []string { return entry.PoolNames(docs.Services()) },
		Competitors: func() int { return len(view.Snapshot().Entries()) },
		Share:       func() int { return poolShare(len(entry.PoolNames(docs.Services())), len(view.Snapshot().Entries())) },
		Log:         log,
	})
}

// poolShare returns the number of pools that one entry may hold: twice the mean number per entry, rounded
// up, so that every pool has a holder while up to half of the listed entries are down. The limit matters
// when all entries restart together. Without it, the first ones to poll would acquire max-pools each, and
// the probes of eight pools of 32 engines exceed the 4 KB/s of control traffic that an entry may use.
//
// poolShare is 0 while the instance list is empty, because the entry can't compute its share and knows
// no workers to send orders to.
func poolShare(pools, entries int) int {
	if entries == 0 {
		return 0
	}
	return max(1, (2*pools+entries-1)/entries)
}

func newPlanning(s *settings.Entry, leases *lease.Manager, store *dissemination.Store, view *membership.View, f *entry.Fleet, admit *entry.Admission, kv external.KV, ctl *controlClients, m *telemetry.Metrics, d *entry.DecisionLog, log logrus.FieldLogger) *planning.Loop {
	return planning.New(planning.Config{
		Interval: s.PlanInterval, Leases: leases, KV: kv,
		Documents: &entry.ActiveDocuments{Store: store},
		Confirmed: store.Confirmed,
		Workers:   f.Status,
		RefusedWork: func(service string) (map[string]placement.KindWork, int) {
			return admit.RefusedWork(service), len(view.Snapshot().Entries())
		},
		MeanSpeed:    f.MeanSpeed,
		Dial:         planning.DialRPC(ctl.clients, s.Cluster, func(id string) (membership.Member, bool) { return view.Snapshot().Member(id) }),
		OnRoleChange: m.RoleChange,
		OnDecision:   d.Add,
		Log:          log,
	})
}

func runPlanning(lc fx.Lifecycle, leases *lease.Manager, p *planning.Loop) {
	runInBackground(lc, leases.Run)
	runInBackground(lc, p.Run)
}

func newEntry(lc fx.Lifecycle, s *settings.Entry, cfg entry.Config, store *dissemination.Store, agent *dissemination.Agent, f *entry.Fleet, admit *entry.Admission, claims *once.Router, m *telemetry.Metrics, d *entry.DecisionLog, log logrus.FieldLogger) (*entry.Entry, error) {
	// Forwarded requests use their own clients, so that the counter of control traffic doesn't include
	// them.
	clients, err := newClients(lc, &s.Common, nil, log)
	if err != nil {
		return nil, err
	}
	return entry.New(cfg, entry.Options{
		Documents: &entry.ActiveDocuments{Store: store, Agent: agent},
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
		HeldPools: func() []string {
			var names []string
			for _, a := range leases.Authorities() {
				names = append(names, a.Pool)
			}
			return names
		},
	})
}

func serveEntry(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Entry, e *entry.Entry, p *entry.Peer, f *entry.Fleet, store *dissemination.Store, ctl *controlClients, m *telemetry.Metrics, log logrus.FieldLogger) error {
	tlsConfig, err := s.TLS().Load()
	if err != nil {
		return err
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(quetzallugv1connect.NewPeerServiceHandler(p, rpc.PeerOptions(newAuthInterceptor(&s.Common, log))...))
	h := &health{profile: s.Profile, ready: entryReadiness(store, f, time.Now())}
	h.register(peerMux, m)
	peerServer := rpc.NewServer(peerMux)
	countControl := func(l net.Listener) net.Listener { return traffic.Listener(l, ctl.traffic) }
	// Stop hooks run in reverse order: callers are drained before the peer listener closes.
	serveUntilStopTimeout(lc, sd, log, peerServer, s.PeerListen, tlsConfig, countControl, func(context.Context) {})

	callerMux := http.NewServeMux()
	h.register(callerMux, m)
	callerMux.Handle("/", e.Handler())
	srv := rpc.NewServer(h.closeWhenStopping(callerMux))
	serveUntilStopTimeout(lc, sd, log, srv, s.Listen, nil, plainListener, func(ctx context.Context) {
		h.stopping.Store(true)
		log.WithField("for", s.LameDuck.String()).Info("stopping: the readiness check fails, requests are still served")
		pause.For(ctx, s.LameDuck)
	})
	return nil
}

// maxReportWait limits how long an entry waits for a report of a worker of each service before it is
// ready. A service whose workers are all down must not prevent new entries from serving the other services.
const maxReportWait = 5 * time.Second

// entryReadiness returns the readiness check of an entry. An entry is ready once it has a document and
// either a report of a worker of each service, or maxReportWait has passed since started.
func entryReadiness(store *dissemination.Store, f *entry.Fleet, started time.Time) func() (bool, string) {
	var reported atomic.Bool
	return func() (bool, string) {
		if !hasDocuments(store) {
			return false, "no document is in force"
		}
		if !reported.Load() && !f.AllServicesReported() && time.Since(started) < maxReportWait {
			return false, "workers have not reported yet"
		}
		// Workers that fail later do not make the entry unready, because the other entries would be
		// unready for the same reason.
		reported.Store(true)
		return true, ""
	}
}

func hasDocuments(store *dissemination.Store) bool {
	for _, doc := range store.Snapshot() {
		if doc.Parsed != nil {
			return true
		}
	}
	return false
}
