package planning

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/placement"
)

// probeTimeout bounds the question for one sidecar's work.
const probeTimeout = time.Second

const (
	// recordsEvery is the time between reads of the order records of a pool without changes. A read
	// at each round takes 2.5 KB/s for 32 engines, more than half of an entry's budget for control.
	recordsEvery = 30 * time.Second
	// unsettledFor is the time for which each round reads the records after a change, because a
	// sidecar writes its record some seconds after a probe shows the cause.
	unsettledFor = 15 * time.Second
)

// pool is what the planner duty knows of one pool under one fence.
type pool struct {
	name       string
	dataCentre string
	fence      uint64
	planner    *placement.Planner
	engines    []*engine
	offered    map[string]placement.KindWork
	// refused is the work that this entry had refused at the last round.
	refused   map[string]placement.KindWork
	interval  time.Duration
	observed  time.Time
	explained string

	// records are the order records at recordsAt. They are read again in each round until unsettled.
	records   map[string]order.Record
	recordsAt time.Time
	unsettled time.Time
}

// engine is one engine of a pool.
type engine struct {
	id        string
	owned     bool
	reachable bool
	record    order.Record
	recorded  bool
	report    *v1.LoadReport
	since     time.Time
	// incarnation and work are those of the last probe, from which the next one's work is counted.
	incarnation string
	seen        string // what the last probe told about the engine's configuration
	work        map[string]placement.KindWork
	// failed counts the orders in succession that have failed. After retryAt another one may follow.
	failed  int
	retryAt time.Time
	// counted is the number of the last failed order in failed.
	counted uint64
}

// Waits before a failed order is given again. The first one is immediate, because most failed
// orders were withdrawn at a handover; each further drain takes the engine out of service again.
const (
	minRetryWait = 5 * time.Second
	maxRetryWait = 5 * time.Minute
)

// retries returns the engines whose last order failed before it reached the engine and may be
// given again now.
func (p *pool) retries(now time.Time) []*engine {
	var due []*engine
	for _, e := range p.engines {
		r := &e.record
		switch {
		case !e.recorded || r.Number == 0:
			continue
		case r.Phase == order.PhaseDone:
			e.failed = 0
			continue
		case r.Phase != order.PhaseFailed || r.Unknown:
			continue
		}
		if e.counted != r.Number {
			e.counted = r.Number
			e.retryAt = now.Add(retryWait(e.failed))
			e.failed++
		}
		if e.owned && !now.Before(e.retryAt) {
			due = append(due, e)
		}
	}
	return due
}

// retryWait returns the wait after the given number of earlier failures in succession.
func retryWait(earlier int) time.Duration {
	if earlier == 0 {
		return 0
	}
	wait := minRetryWait
	for range earlier - 1 {
		wait = min(2*wait, maxRetryWait)
	}
	return wait
}

func newPool(a lease.Authority) *pool {
	_, dataCentre, _ := strings.Cut(a.Pool, ".")
	return &pool{name: a.Pool, dataCentre: dataCentre, fence: a.Fence, planner: placement.New(placement.Config{})}
}

func (p *pool) engine(id string) *engine {
	for _, e := range p.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// settled reports whether the engine may get a new order.
func (e *engine) settled() bool {
	return e.recorded && (e.record.Number == 0 || e.record.Phase.Settled())
}

// config is the engine's configuration as recorded, or as reported before its first order.
func (e *engine) config() external.EngineConfig { return e.record.Config }

// observe refreshes the pool's engines: a probe of each sidecar, and one read of all order records
// if they may have changed.
func (l *Loop) observe(ctx context.Context, p *pool, members []*v1.WorkerStatus) error {
	p.update(members, p.records)
	now := time.Now()
	if !p.observed.IsZero() {
		p.interval = now.Sub(p.observed)
	}
	p.observed = now
	p.offered = map[string]placement.KindWork{}
	for e, resp := range l.probeAll(ctx, p) {
		p.count(e, resp)
	}
	if !p.recordsDue(now) {
		return nil
	}
	records, err := l.orders.Records(ctx, p.name)
	if err != nil {
		return fmt.Errorf("read order records of pool %q: %w", p.name, err)
	}
	p.records, p.recordsAt = records, now
	p.update(members, records)
	return nil
}

// update brings the list of engines to the present members. An engine that is not listed any
// more counts as withdrawn and is left out.
func (p *pool) update(members []*v1.WorkerStatus, records map[string]order.Record) {
	var engines []*engine
	for _, m := range members {
		e := p.engine(m.GetInstance())
		if e == nil {
			e = &engine{id: m.GetInstance(), since: time.Now(), work: map[string]placement.KindWork{}}
		}
		r, ok := records[e.id]
		if r.Config.Role != e.record.Config.Role || r.Incarnation != e.record.Incarnation {
			e.since = time.Now()
		}
		// A new sidecar has not acknowledged this fence.
		if r.Incarnation != e.record.Incarnation {
			e.owned = false
		}
		e.record, e.recorded = r, ok
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
	p.engines = engines
}

// recordsDue reports whether the order records may differ from those that were read. Records change
// by this planner's orders, by a sidecar that executes one, and by a sidecar or engine that starts
// again; all but the last show here or in a probe. An order is never based on these records:
// package order reads the record again before each write.
func (p *pool) recordsDue(now time.Time) bool {
	for _, e := range p.engines {
		if seen := e.observation(); seen != e.seen {
			e.seen = seen
			p.changed(now)
		}
		if !e.settled() || e.record.Unknown || !e.owned || len(e.config().Models) == 0 {
			p.changed(now)
		}
	}
	return p.records == nil || now.Before(p.unsettled) || now.Sub(p.recordsAt) >= recordsEvery
}

// wrote takes over a record that this planner has written.
func (p *pool) wrote(e *engine, r order.Record) {
	e.record = r
	p.records[e.id] = r
	p.changed(time.Now())
}

// changed makes the next rounds read the records.
func (p *pool) changed(now time.Time) { p.unsettled = now.Add(unsettledFor) }

// observation tells whether an engine has changed since its last probe.
func (e *engine) observation() string {
	if !e.reachable {
		return ""
	}
	r := e.report
	return fmt.Sprint(r.GetIncarnation(), r.GetDraining(), r.GetRole(), r.GetModels())
}

// probeAll asks each sidecar for its load and work at the same time.
func (l *Loop) probeAll(ctx context.Context, p *pool) map[*engine]*v1.ProbeResponse {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	responses := map[*engine]*v1.ProbeResponse{}
	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)
	for _, e := range p.engines {
		wg.Go(func() {
			w, err := l.cfg.Dial(p.name, e.id)
			if err != nil {
				return
			}
			resp, err := w.Probe(ctx)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses[e] = resp
		})
	}
	wg.Wait()
	for _, e := range p.engines {
		e.reachable = responses[e] != nil
	}
	return responses
}

// count adds the work that an engine was offered since the last probe.
func (p *pool) count(e *engine, resp *v1.ProbeResponse) {
	e.report = resp.GetLoad()
	restarted := e.incarnation != e.report.GetIncarnation()
	e.incarnation = e.report.GetIncarnation()
	for _, w := range resp.GetWork() {
		now := placement.KindWork{
			Requests: float64(w.GetRequests()), PromptTokens: float64(w.GetPromptTokens()), OutputTokens: float64(w.GetOutputTokens()),
		}
		old := e.work[w.GetKind()]
		e.work[w.GetKind()] = now
		if restarted {
			// The counts of another incarnation cannot be compared.
			continue
		}
		sum := p.offered[w.GetKind()]
		sum.Requests += now.Requests - old.Requests
		sum.PromptTokens += now.PromptTokens - old.PromptTokens
		sum.OutputTokens += now.OutputTokens - old.OutputTokens
		p.offered[w.GetKind()] = sum
	}
}

// countRefused adds the work that entries have refused since the last round, which no sidecar has
// seen. Each of the service's pools takes an equal part.
func (p *pool) countRefused(refused map[string]placement.KindWork, entries, pools int) {
	scale := float64(max(1, entries)) / float64(max(1, pools))
	for kind, now := range refused {
		old := p.refused[kind]
		offered := p.offered[kind]
		output := now.OutputTokens - old.OutputTokens
		if offered.Requests > 0 {
			// A refused request asked for its limit; served ones show the usual length.
			output = (now.Requests - old.Requests) * offered.OutputTokens / offered.Requests
		}
		offered.Requests += scale * (now.Requests - old.Requests)
		offered.PromptTokens += scale * (now.PromptTokens - old.PromptTokens)
		offered.OutputTokens += scale * output
		p.offered[kind] = offered
	}
	p.refused = refused
}

// snapshot describes the pool to the planner.
func (p *pool) snapshot(doc *document.Service, spec *document.Pool, speed func([]string) load.Speed) *placement.Snapshot {
	models, adapters := wantedModels(doc, spec)
	s := &placement.Snapshot{
		Interval: p.interval, FixedRoles: spec.FixedRoles,
		Models: models, Adapters: adapters, BetweenTokens: strictestBetweenTokens(doc),
	}
	var ids []string
	for _, e := range p.engines {
		s.Engines = append(s.Engines, e.placement())
		ids = append(ids, e.id)
	}
	s.Speed = speed(ids)
	kinds := make([]string, 0, len(p.offered))
	for k := range p.offered {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		s.Offered = append(s.Offered, p.offered[k])
	}
	return s
}

func (e *engine) placement() placement.Engine {
	out := placement.Engine{
		ID: e.id, State: placement.Serving, Config: e.config(), Since: e.since,
		Sequences: int(e.report.GetRunning()), PrefillTokens: float64(e.report.GetPrefillTokens()),
	}
	switch {
	case !e.reachable || !e.owned || !e.recorded:
		out.State = placement.Crashed
	case !e.settled():
		out.State = placement.Changing
	case e.record.Unknown || len(e.config().Models) == 0:
		out.State = placement.Crashed
	}
	return out
}

func strictestBetweenTokens(doc *document.Service) time.Duration {
	var strictest time.Duration
	for _, k := range doc.Kinds {
		if d := k.Deadlines.BetweenTokens.Std(); d > 0 && (strictest == 0 || d < strictest) {
			strictest = d
		}
	}
	return strictest
}

func poolSpec(doc *document.Service, dataCentre string) *document.Pool {
	for i := range doc.Pools {
		if doc.Pools[i].DataCentre == dataCentre {
			return &doc.Pools[i]
		}
	}
	return nil
}

// rolesOf assigns the document's initial roles to n engines in the order of their IDs. If n
// differs from the document's count, the shares are kept and the rest is mixed, so that a small
// pool always has an engine that does both parts.
func rolesOf(spec *document.Pool, n int) []external.Role {
	total := max(1, spec.Roles.Prefill+spec.Roles.Decode+spec.Roles.Mixed)
	roles := slices.Repeat([]external.Role{external.RolePrefill}, spec.Roles.Prefill*n/total)
	roles = append(roles, slices.Repeat([]external.Role{external.RoleDecode}, spec.Roles.Decode*n/total)...)
	return append(roles, slices.Repeat([]external.Role{external.RoleMixed}, n-len(roles))...)
}

// wantedModels returns the models and adapters that each engine of a pool should have.
func wantedModels(doc *document.Service, spec *document.Pool) (models, adapters []external.ModelVersion) {
	for _, m := range doc.Models {
		if len(spec.Models) > 0 && !slices.Contains(spec.Models, m.Name) {
			continue
		}
		models = append(models, external.ModelVersion{Name: m.Name, Version: m.Version})
		for _, a := range m.Adapters {
			adapters = append(adapters, external.ModelVersion{Name: a.Name, Version: a.Version})
		}
	}
	return models, adapters
}
