// Package planning runs the planner duty of an entry: for each pool whose lease it holds, it
// takes ownership of the engines, brings them to the document's models, reconciles those that
// came back in an unknown state, and orders the changes that package placement plans.
//
// Nothing is ordered while this process's documents are not confirmed with the key-value
// service. Each order checks the authority again immediately before its effect.
package planning

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/placement"
)

// Documents gives the documents in force.
type Documents interface {
	Lookup(service string) (*document.Service, uint64)
}

// Config configures a Loop.
type Config struct {
	// Interval is the time between two rounds.
	Interval  time.Duration
	Leases    *lease.Manager
	KV        external.KV
	Documents Documents
	// Confirmed reports whether the documents are confirmed with the key-value service.
	Confirmed func() bool
	// Workers lists the sidecars that are known.
	Workers func() []*v1.WorkerStatus
	// Refused returns the work of a service that this entry has refused since its start, by kind,
	// and the number of entries. The balancer gives all entries the same mix, so the work refused
	// by all is taken as that of this one times their number.
	Refused func(service string) (map[string]placement.KindWork, int)
	// Speed returns the mean speed of engines.
	Speed func(engines []string) load.Speed
	// Dial returns the sidecar of an engine.
	Dial func(pool, engine string) (Worker, error)
	// RoleChange and Decided report what was ordered.
	RoleChange func(pool, from, to string)
	Decided    func(subject, choice, reason string, candidates []string)
	Log        logrus.FieldLogger
}

// Worker is a sidecar as the planner duty calls it.
type Worker interface {
	order.Sidecar
	Probe(ctx context.Context) (*v1.ProbeResponse, error)
}

// Loop runs rounds for the pools that this process holds.
type Loop struct {
	cfg    Config
	orders *order.Planner
	pools  map[string]*pool
}

// New returns a loop.
func New(cfg Config) *Loop {
	dial := func(pool, engine string) (order.Sidecar, error) { return cfg.Dial(pool, engine) }
	return &Loop{cfg: cfg, orders: order.NewPlanner(cfg.KV, dial, cfg.Log), pools: map[string]*pool{}}
}

// Run makes rounds until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	t := time.NewTicker(l.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !l.cfg.Confirmed() {
			continue
		}
		held := map[string]bool{}
		for _, a := range l.cfg.Leases.Authorities() {
			held[a.Pool] = true
			l.round(ctx, a)
		}
		for name := range l.pools {
			if !held[name] {
				delete(l.pools, name)
			}
		}
	}
}

// round plans one pool.
func (l *Loop) round(ctx context.Context, a lease.Authority) {
	service, dataCentre, _ := strings.Cut(a.Pool, ".")
	doc, _ := l.cfg.Documents.Lookup(service)
	if doc == nil {
		return
	}
	p := l.pools[a.Pool]
	if p == nil || p.fence != a.Fence {
		p = newPool(a)
		l.pools[a.Pool] = p
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if err := l.observe(ctx, p, l.members(service, dataCentre)); err != nil {
		l.cfg.Log.WithField("pool", a.Pool).WithError(err).Info("pool not planned: records not read")
		return
	}
	l.own(ctx, a, p)
	l.reconcile(ctx, a, p)
	l.retry(ctx, a, p, doc)
	l.start(ctx, a, p, doc)
	l.plan(ctx, a, p, doc)
}

// roundTimeout bounds a round, so that one slow pool does not stop the others.
const roundTimeout = 10 * time.Second

func (l *Loop) members(service, dataCentre string) []*v1.WorkerStatus {
	var members []*v1.WorkerStatus
	for _, w := range l.cfg.Workers() {
		if w.GetService() == service && w.GetDataCentre() == dataCentre {
			members = append(members, w)
		}
	}
	return members
}

// own seals the engines that are not yet owned under this fence.
func (l *Loop) own(ctx context.Context, a lease.Authority, p *pool) {
	for _, e := range p.engines {
		if e.owned || !e.reachable {
			continue
		}
		if _, err := l.orders.Own(ctx, a, e.id); err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"pool": a.Pool, "engine": e.id}).WithError(err).Info("engine not owned yet")
			continue
		}
		e.owned = true
		p.changed(time.Now())
	}
}

// reconcile orders the recorded configuration again for engines that came back in another state. It
// also repeats the notice of an order that has not begun, which may have been lost.
func (l *Loop) reconcile(ctx context.Context, a lease.Authority, p *pool) {
	for _, e := range p.engines {
		unknown := e.record.Unknown && e.record.Phase.Settled()
		if !e.owned || e.record.Number == 0 || !unknown && e.record.Phase != order.PhasePlanned {
			continue
		}
		r, issued, err := l.orders.Reconcile(ctx, a, e.id)
		if err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"pool": a.Pool, "engine": e.id}).WithError(err).Warn("engine not reconciled")
			continue
		}
		if issued {
			p.wrote(e, r)
			l.decided(p, e, "reconciled: the engine's state differed from its record")
		}
	}
}

// retry orders again what a failed order wanted, with the models that the document wants now. Such
// an order did not reach the engine: it was withdrawn at a handover, or its drain or its weights
// took too long. Its record holds the wanted configuration, so the placement sees no change to make.
func (l *Loop) retry(ctx context.Context, a lease.Authority, p *pool, doc *document.Service) {
	spec := poolSpec(doc, p.dataCentre)
	if spec == nil {
		return
	}
	for _, e := range p.retries(time.Now()) {
		c := e.config()
		c.Models, c.Adapters = wantedModels(doc, spec)
		l.issue(ctx, a, p, e, c, "order "+strconv.FormatUint(e.record.Number, 10)+" had failed: "+e.record.Detail)
	}
}

// start gives engines without models their first configuration. They serve nothing yet, so the
// limits on changes do not apply; the weight store limits the loads.
func (l *Loop) start(ctx context.Context, a lease.Authority, p *pool, doc *document.Service) {
	spec := poolSpec(doc, p.dataCentre)
	if spec == nil {
		return
	}
	roles := rolesOf(spec, len(p.engines))
	models, adapters := wantedModels(doc, spec)
	for i, e := range p.engines {
		if !e.owned || !e.settled() || len(e.config().Models) > 0 {
			continue
		}
		c := external.EngineConfig{Role: roles[i], Models: models, Adapters: adapters}
		l.issue(ctx, a, p, e, c, "first configuration")
	}
}

// plan orders the changes that package placement finds worth their cost.
func (l *Loop) plan(ctx context.Context, a lease.Authority, p *pool, doc *document.Service) {
	spec := poolSpec(doc, p.dataCentre)
	if spec == nil {
		return
	}
	refused, entries := l.cfg.Refused(doc.Service)
	p.countRefused(refused, entries, len(doc.Pools))
	weights := placement.Weights{Goodput: doc.Weights.Goodput, RoleChanges: doc.Weights.RoleChanges}
	for _, c := range p.planner.Plan(time.Now(), p.snapshot(doc, spec, l.cfg.Speed), weights) {
		if e := p.engine(c.Engine); e != nil && e.owned && e.settled() {
			l.issue(ctx, a, p, e, c.Config, c.Reason)
		}
	}
	if d := p.planner.Explain(); d != p.explained {
		p.explained = d
		l.cfg.Log.WithFields(logrus.Fields{"pool": p.name, "decision": d}).Info("placement")
		l.cfg.Decided(p.name, "", d, nil)
	}
}

func (l *Loop) issue(ctx context.Context, a lease.Authority, p *pool, e *engine, c external.EngineConfig, reason string) {
	from := e.config().Role
	r, err := l.orders.Issue(ctx, a, e.id, c)
	if err != nil {
		l.cfg.Log.WithFields(logrus.Fields{"pool": p.name, "engine": e.id}).WithError(err).Warn("order not issued")
		return
	}
	p.wrote(e, r)
	if from != c.Role && from != "" {
		l.cfg.RoleChange(p.name, string(from), string(c.Role))
	}
	l.decided(p, e, reason)
}

func (l *Loop) decided(p *pool, e *engine, reason string) {
	l.cfg.Log.WithFields(logrus.Fields{
		"pool": p.name, "engine": e.id, "order": e.record.Number, "fence": e.record.Fence,
		"role": e.record.Config.Role, "models": len(e.record.Config.Models), "reason": reason,
	}).Info("order issued")
	l.cfg.Decided(p.name, e.id, reason, nil)
}
