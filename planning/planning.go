// Package planning runs the planning loop of an entry. For each pool whose lease the entry holds,
// the loop takes ownership of the engines, configures them with the models of the service document,
// reconciles engines whose state differs from their records, and orders the changes that package
// placement plans. Package order writes the orders.
//
// The loop issues no orders until this process has read its documents from the key-value service or
// from a peer that had read them there. Each order checks the lease authority again immediately
// before it takes effect.
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

// Documents provides the documents in force.
type Documents interface {
	// Lookup returns the document of a service and its revision. The document is nil if the service
	// has none in force.
	Lookup(service string) (*document.Service, uint64)
}

// Config configures a Loop.
type Config struct {
	// Interval is the time between two rounds.
	Interval  time.Duration
	Leases    *lease.Manager
	KV        external.KV
	Documents Documents
	// Confirmed reports whether this process has read the documents from the key-value service, or
	// from a peer that had read them there, since its start.
	Confirmed func() bool
	// Workers returns the status of the known sidecars.
	Workers func() []*v1.WorkerStatus
	// RefusedWork returns the work of a service that this entry has refused since its start, by kind,
	// and the number of entries. The balancer spreads requests evenly over the entries, so the work
	// refused by all is estimated as the work refused by this entry times their number.
	RefusedWork func(service string) (map[string]placement.KindWork, int)
	// MeanSpeed returns the mean speed of the given engines.
	MeanSpeed func(engines []string) load.Speed
	// Dial returns a client for the sidecar of an engine.
	Dial func(pool, engine string) (Sidecar, error)
	// OnRoleChange is called when an order that changes an engine's role has been issued. from and to
	// are the roles.
	OnRoleChange func(pool, from, to string)
	// OnDecision is called when an order has been issued, with the engine as choice, and when the
	// decision of the placement planner differs from that of the last round, with an empty choice.
	// The subject is the pool; candidates is nil.
	OnDecision func(subject, choice, reason string, candidates []string)
	Log        logrus.FieldLogger
}

// Sidecar is the sidecar of an engine, as the loop calls it.
type Sidecar interface {
	order.Sidecar
	// Probe returns the load of the engine and the work counted by the sidecar.
	Probe(ctx context.Context) (*v1.ProbeResponse, error)
}

// Loop runs the planning rounds of the pools whose leases this process holds.
type Loop struct {
	cfg          Config
	orderPlanner *order.Planner
	pools        map[string]*pool
}

// New returns a loop with the given configuration.
func New(cfg Config) *Loop {
	dial := func(pool, engine string) (order.Sidecar, error) { return cfg.Dial(pool, engine) }
	return &Loop{cfg: cfg, orderPlanner: order.NewPlanner(cfg.KV, dial, cfg.Log), pools: map[string]*pool{}}
}

// Run runs rounds until ctx ends.
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
			l.planPool(ctx, a)
		}
		for name := range l.pools {
			if !held[name] {
				delete(l.pools, name)
			}
		}
	}
}

// planPool runs one round for a pool.
func (l *Loop) planPool(ctx context.Context, a lease.Authority) {
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
		l.cfg.Log.WithField("pool", a.Pool).WithError(err).Info("pool not planned: order records could not be read")
		return
	}
	l.takeOwnership(ctx, a, p)
	l.reconcile(ctx, a, p)
	l.retryFailed(ctx, a, p, doc)
	l.configureNew(ctx, a, p, doc)
	l.orderChanges(ctx, a, p, doc)
}

// roundTimeout limits the duration of a round, so that one slow pool does not delay the others for
// long.
const roundTimeout = 10 * time.Second

// members returns the status of the sidecars of a service in a data centre.
func (l *Loop) members(service, dataCentre string) []*v1.WorkerStatus {
	var members []*v1.WorkerStatus
	for _, w := range l.cfg.Workers() {
		if w.GetService() == service && w.GetDataCentre() == dataCentre {
			members = append(members, w)
		}
	}
	return members
}

// takeOwnership takes ownership, under the lease's fence number, of the reachable engines that are
// not yet owned.
func (l *Loop) takeOwnership(ctx context.Context, a lease.Authority, p *pool) {
	for _, e := range p.engines {
		if e.owned || !e.reachable {
			continue
		}
		if _, err := l.orderPlanner.TakeOver(ctx, a, e.id); err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"pool": a.Pool, "engine": e.id}).WithError(err).Info("ownership of engine not acquired; the next round tries again")
			continue
		}
		e.owned = true
		p.expectRecordChange(time.Now())
	}
}

// reconcile orders the recorded configuration again for engines whose state is no longer the
// recorded one, for example after a restart. It also repeats the notice of an order that has not
// begun, because the notice may have been lost.
func (l *Loop) reconcile(ctx context.Context, a lease.Authority, p *pool) {
	for _, e := range p.engines {
		diverged := e.record.Unknown && e.record.Phase.Settled()
		if !e.owned || e.record.Number == 0 || !diverged && e.record.Phase != order.PhasePlanned {
			continue
		}
		r, issued, err := l.orderPlanner.Reconcile(ctx, a, e.id)
		if err != nil {
			l.cfg.Log.WithFields(logrus.Fields{"pool": a.Pool, "engine": e.id}).WithError(err).Warn("engine could not be reconciled")
			continue
		}
		if issued {
			p.setRecord(e, r)
			l.reportOrder(p, e, "reconciled: the engine's state differed from its record")
		}
	}
}

// retryFailed repeats failed orders that never reached their engine, with the models that the
// document wants now. Such an order was withdrawn at a handover, or its drain or the load of its
// weights took too long. Its record holds the wanted configuration, so the placement planner sees
// no change to make.
func (l *Loop) retryFailed(ctx context.Context, a lease.Authority, p *pool, doc *document.Service) {
	spec := poolSpec(doc, p.dataCentre)
	if spec == nil {
		return
	}
	for _, e := range p.dueRetries(time.Now()) {
		c := e.config()
		c.Models, c.Adapters = wantedModels(doc, spec)
		l.issueOrder(ctx, a, p, e, c, "order "+strconv.FormatUint(e.record.Number, 10)+" had failed: "+e.record.Detail)
	}
}

// configureNew orders the first configuration of engines without models. They serve nothing yet, so
// the limits on changes do not apply. The weight store limits the number of concurrent loads.
func (l *Loop) configureNew(ctx context.Context, a lease.Authority, p *pool, doc *document.Service) {
	spec := poolSpec(doc, p.dataCentre)
	if spec == nil {
		return
	}
	roles := initialRoles(spec, len(p.engines))
	models, adapters := wantedModels(doc, spec)
	for i, e := range p.engines {
		if !e.owned || !e.settled() || len(e.config().Models) > 0 {
			continue
		}
		c := external.EngineConfig{Role: roles[i], Models: models, Adapters: adapters}
		l.issueOrder(ctx, a, p, e, c, "first configuration")
	}
}

// orderChanges orders the changes that package placement plans.
func (l *Loop) orderChanges(ctx context.Context, a lease.Authority, p *pool, doc *document.Service) {
	spec := poolSpec(doc, p.dataCentre)
	if spec == nil {
		return
	}
	refused, entries := l.cfg.RefusedWork(doc.Service)
	p.countRefused(refused, entries, len(doc.Pools))
	weights := placement.Weights{Goodput: doc.Weights.Goodput, RoleChanges: doc.Weights.RoleChanges}
	for _, c := range p.placementPlanner.Plan(time.Now(), p.snapshot(doc, spec, l.cfg.MeanSpeed), weights) {
		if e := p.engine(c.Engine); e != nil && e.owned && e.settled() {
			l.issueOrder(ctx, a, p, e, c.Config, c.Reason)
		}
	}
	if d := p.placementPlanner.Explain(); d != p.lastDecision {
		p.lastDecision = d
		l.cfg.Log.WithFields(logrus.Fields{"pool": p.name, "decision": d}).Info("placement decision changed")
		l.cfg.OnDecision(p.name, "", d, nil)
	}
}

func (l *Loop) issueOrder(ctx context.Context, a lease.Authority, p *pool, e *engine, c external.EngineConfig, reason string) {
	from := e.config().Role
	r, err := l.orderPlanner.Issue(ctx, a, e.id, c)
	if err != nil {
		l.cfg.Log.WithFields(logrus.Fields{"pool": p.name, "engine": e.id}).WithError(err).Warn("order could not be issued")
		return
	}
	p.setRecord(e, r)
	if from != c.Role && from != "" {
		l.cfg.OnRoleChange(p.name, string(from), string(c.Role))
	}
	l.reportOrder(p, e, reason)
}

func (l *Loop) reportOrder(p *pool, e *engine, reason string) {
	l.cfg.Log.WithFields(logrus.Fields{
		"pool": p.name, "engine": e.id, "order": e.record.Number, "fence": e.record.Fence,
		"role": e.record.Config.Role, "models": len(e.record.Config.Models), "reason": reason,
	}).Info("order issued")
	l.cfg.OnDecision(p.name, e.id, reason, nil)
}
