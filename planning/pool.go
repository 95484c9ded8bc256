package planning

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/document"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/placement"
	"github.com/quetzallug/quetzallug/platform"
)

// probeTimeout bounds the question for one sidecar's work.
const probeTimeout = time.Second

// pool is what the planner duty knows of one pool under one fence.
type pool struct {
	name       string
	dataCentre string
	fence      uint64
	planner    *placement.Planner
	engines    []*engine
	offered    map[string]placement.KindWork
	interval   time.Duration
	observed   time.Time
	explained  string
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
func (e *engine) config() platform.EngineConfig { return e.record.Config }

// observe refreshes the pool's engines: one read of all order records and a probe of each sidecar.
func (l *Loop) observe(ctx context.Context, p *pool, members []*v1.WorkerStatus) error {
	entries, _, err := l.cfg.KV.List(ctx, order.Key(p.name, ""))
	if err != nil {
		return fmt.Errorf("read order records of pool %q: %w", p.name, err)
	}
	records := map[string]order.Record{}
	for _, kv := range entries {
		var r order.Record
		if err := json.Unmarshal(kv.Value, &r); err != nil {
			return fmt.Errorf("decode order record %q: %w", kv.Key, err)
		}
		records[strings.TrimPrefix(kv.Key, order.Key(p.name, ""))] = r
	}
	p.update(members, records)
	now := time.Now()
	if !p.observed.IsZero() {
		p.interval = now.Sub(p.observed)
	}
	p.observed = now
	p.offered = map[string]placement.KindWork{}
	for e, resp := range l.probeAll(ctx, p) {
		p.count(e, resp)
	}
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

// snapshot describes the pool to the planner.
func (p *pool) snapshot(doc *document.Service, spec *document.Pool) *placement.Snapshot {
	models, adapters := wantedModels(doc, spec)
	s := &placement.Snapshot{
		Interval: p.interval, Speed: load.DefaultSpeed(), FixedRoles: spec.FixedRoles,
		Models: models, Adapters: adapters, BetweenTokens: strictestBetweenTokens(doc),
	}
	for _, e := range p.engines {
		s.Engines = append(s.Engines, e.placement())
	}
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
func rolesOf(spec *document.Pool, n int) []platform.Role {
	total := max(1, spec.Roles.Prefill+spec.Roles.Decode+spec.Roles.Mixed)
	roles := slices.Repeat([]platform.Role{platform.RolePrefill}, spec.Roles.Prefill*n/total)
	roles = append(roles, slices.Repeat([]platform.Role{platform.RoleDecode}, spec.Roles.Decode*n/total)...)
	return append(roles, slices.Repeat([]platform.Role{platform.RoleMixed}, n-len(roles))...)
}

// wantedModels returns the models and adapters that each engine of a pool should have.
func wantedModels(doc *document.Service, spec *document.Pool) (models, adapters []platform.ModelVersion) {
	for _, m := range doc.Models {
		if len(spec.Models) > 0 && !slices.Contains(spec.Models, m.Name) {
			continue
		}
		models = append(models, platform.ModelVersion{Name: m.Name, Version: m.Version})
		for _, a := range m.Adapters {
			adapters = append(adapters, platform.ModelVersion{Name: a.Name, Version: a.Version})
		}
	}
	return models, adapters
}
