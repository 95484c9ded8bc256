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

// probeTimeout limits the duration of one probe of all sidecars of a pool.
const probeTimeout = time.Second

const (
	// recordReadInterval is the time between reads of a pool's order records while nothing changes.
	// Reading them in every round takes 2.5 KB/s for 32 engines, more than half of an entry's
	// budget for control traffic.
	recordReadInterval = 30 * time.Second
	// recordWatchTime is the time after a change during which every round reads the records. A
	// sidecar writes its record some seconds after a probe shows the cause.
	recordWatchTime = 15 * time.Second
)

// pool is the loop's state of one pool under one fence number.
type pool struct {
	name             string
	dataCentre       string
	fence            uint64
	placementPlanner *placement.Planner
	engines          []*engine
	// offered is the work offered between the last two observations, by kind.
	offered map[string]placement.KindWork
	// lastRefused is the result of Config.RefusedWork in the last round.
	lastRefused map[string]placement.KindWork
	// interval is the time between the last two observations. It can exceed Config.Interval.
	interval     time.Duration
	observedAt   time.Time
	lastDecision string

	// records are the order records read at recordsReadAt. Every round reads them again until
	// readRecordsUntil.
	records          map[string]order.Record
	recordsReadAt    time.Time
	readRecordsUntil time.Time
}

// engine is the loop's state of one engine.
type engine struct {
	id        string
	owned     bool
	reachable bool
	record    order.Record
	hasRecord bool
	report    *v1.LoadReport
	roleSince time.Time
	// workIncarnation identifies the start of the sidecar process that counted lastWork. It is not
	// the number in record.Incarnation.
	workIncarnation string
	// lastFingerprint is the result of fingerprint in the last round.
	lastFingerprint string
	// lastWork is the work that the sidecar had counted at the last probe, by kind. The work since
	// then is the difference from it.
	lastWork map[string]placement.KindWork
	// failures is the number of consecutive failed orders. The next order may be issued after
	// retryAt.
	failures int
	retryAt  time.Time
	// lastFailedOrder is the number of the last order that was counted in failures.
	lastFailedOrder uint64
}

// Waits before a failed order is repeated. The first repetition is immediate, because most failed
// orders were withdrawn at a handover. Later ones wait, because each further drain takes the engine
// out of service again.
const (
	minRetryWait = 5 * time.Second
	maxRetryWait = 5 * time.Minute
)

// dueRetries returns the engines whose last order failed before it reached the engine and may be
// repeated now.
func (p *pool) dueRetries(now time.Time) []*engine {
	var due []*engine
	for _, e := range p.engines {
		r := &e.record
		switch {
		case !e.hasRecord || r.Number == 0:
			continue
		case r.Phase == order.PhaseDone:
			e.failures = 0
			continue
		case r.Phase != order.PhaseFailed || r.Unknown:
			continue
		}
		if e.lastFailedOrder != r.Number {
			e.lastFailedOrder = r.Number
			e.retryAt = now.Add(retryWait(e.failures))
			e.failures++
		}
		if e.owned && !now.Before(e.retryAt) {
			due = append(due, e)
		}
	}
	return due
}

// retryWait returns the wait before the next order after the given number of earlier consecutive
// failures.
func retryWait(earlierFailures int) time.Duration {
	if earlierFailures == 0 {
		return 0
	}
	wait := minRetryWait
	for range earlierFailures - 1 {
		wait = min(2*wait, maxRetryWait)
	}
	return wait
}

func newPool(a lease.Authority) *pool {
	_, dataCentre, _ := strings.Cut(a.Pool, ".")
	return &pool{name: a.Pool, dataCentre: dataCentre, fence: a.Fence, placementPlanner: placement.New(placement.Config{})}
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
	return e.hasRecord && (e.record.Number == 0 || e.record.Phase.Settled())
}

// config returns the engine's recorded configuration. Before its first order this is the
// configuration that the engine reported.
func (e *engine) config() external.EngineConfig { return e.record.Config }

// observe refreshes the pool's engines: it probes every sidecar, and reads all order records if
// they may have changed.
func (l *Loop) observe(ctx context.Context, p *pool, members []*v1.WorkerStatus) error {
	p.updateEngines(members, p.records)
	now := time.Now()
	if !p.observedAt.IsZero() {
		p.interval = now.Sub(p.observedAt)
	}
	p.observedAt = now
	p.offered = map[string]placement.KindWork{}
	for e, resp := range l.probeAll(ctx, p) {
		p.countOffered(e, resp)
	}
	if !p.recordsDue(now) {
		return nil
	}
	records, err := l.orderPlanner.Records(ctx, p.name)
	if err != nil {
		return fmt.Errorf("read order records of pool %q: %w", p.name, err)
	}
	p.records, p.recordsReadAt = records, now
	p.updateEngines(members, records)
	return nil
}

// updateEngines sets the list of engines to the present members; an engine that is no longer a
// member is dropped. It updates record, owned and roleSince from the records.
func (p *pool) updateEngines(members []*v1.WorkerStatus, records map[string]order.Record) {
	var engines []*engine
	for _, m := range members {
		e := p.engine(m.GetInstance())
		if e == nil {
			e = &engine{id: m.GetInstance(), roleSince: time.Now(), lastWork: map[string]placement.KindWork{}}
		}
		r, ok := records[e.id]
		if r.Config.Role != e.record.Config.Role || r.Incarnation != e.record.Incarnation {
			e.roleSince = time.Now()
		}
		// A sidecar that has started again has not acknowledged this fence number.
		if r.Incarnation != e.record.Incarnation {
			e.owned = false
		}
		e.record, e.hasRecord = r, ok
		engines = append(engines, e)
	}
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
	p.engines = engines
}

// recordsDue reports whether the order records may have changed since they were read. They change
// when the loop issues an order, when a sidecar executes one, and when a sidecar or an engine
// restarts. All of these show here or in a probe, except a restart of an engine that comes back with
// the same role and models. Outdated records are safe: package order reads the record again before
// each write.
func (p *pool) recordsDue(now time.Time) bool {
	for _, e := range p.engines {
		if seen := e.fingerprint(); seen != e.lastFingerprint {
			e.lastFingerprint = seen
			p.expectRecordChange(now)
		}
		if !e.settled() || e.record.Unknown || !e.owned || len(e.config().Models) == 0 {
			p.expectRecordChange(now)
		}
	}
	return p.records == nil || now.Before(p.readRecordsUntil) || now.Sub(p.recordsReadAt) >= recordReadInterval
}

// setRecord stores a record that the order planner has written.
func (p *pool) setRecord(e *engine, r order.Record) {
	e.record = r
	p.records[e.id] = r
	p.expectRecordChange(time.Now())
}

// expectRecordChange makes the following rounds read the records.
func (p *pool) expectRecordChange(now time.Time) { p.readRecordsUntil = now.Add(recordWatchTime) }

// fingerprint returns the state of the engine as the last probe reported it, for comparison with
// the next probe.
func (e *engine) fingerprint() string {
	if !e.reachable {
		return ""
	}
	r := e.report
	return fmt.Sprint(r.GetIncarnation(), r.GetDraining(), r.GetRole(), r.GetModels())
}

// probeAll asks all sidecars concurrently for their load and work. It returns the responses, without
// the engines whose sidecars did not respond, and sets reachable on every engine.
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

// countOffered adds the work that was offered to an engine since the last probe.
func (p *pool) countOffered(e *engine, resp *v1.ProbeResponse) {
	e.report = resp.GetLoad()
	restarted := e.workIncarnation != e.report.GetIncarnation()
	e.workIncarnation = e.report.GetIncarnation()
	for _, w := range resp.GetWork() {
		current := placement.KindWork{
			Requests: float64(w.GetRequests()), PromptTokens: float64(w.GetPromptTokens()), OutputTokens: float64(w.GetOutputTokens()),
		}
		previous := e.lastWork[w.GetKind()]
		e.lastWork[w.GetKind()] = current
		if restarted {
			// The counters of another incarnation can't be compared.
			continue
		}
		sum := p.offered[w.GetKind()]
		sum.Requests += current.Requests - previous.Requests
		sum.PromptTokens += current.PromptTokens - previous.PromptTokens
		sum.OutputTokens += current.OutputTokens - previous.OutputTokens
		p.offered[w.GetKind()] = sum
	}
}

// countRefused adds the work that the entries refused since the last round and that no sidecar has
// seen. It is divided equally among the service's pools.
func (p *pool) countRefused(refused map[string]placement.KindWork, entries, pools int) {
	scale := float64(max(1, entries)) / float64(max(1, pools))
	for kind, current := range refused {
		previous := p.lastRefused[kind]
		offered := p.offered[kind]
		output := current.OutputTokens - previous.OutputTokens
		if offered.Requests > 0 {
			// A refused request counts with its maximum number of output tokens. If any requests
			// of the kind were served, their mean number is used instead.
			output = (current.Requests - previous.Requests) * offered.OutputTokens / offered.Requests
		}
		offered.Requests += scale * (current.Requests - previous.Requests)
		offered.PromptTokens += scale * (current.PromptTokens - previous.PromptTokens)
		offered.OutputTokens += scale * output
		p.offered[kind] = offered
	}
	p.lastRefused = refused
}

// snapshot describes the pool for the placement planner.
func (p *pool) snapshot(doc *document.Service, spec *document.Pool, speed func([]string) load.Speed) *placement.Snapshot {
	models, adapters := wantedModels(doc, spec)
	s := &placement.Snapshot{
		Interval: p.interval, FixedRoles: spec.FixedRoles,
		Models: models, Adapters: adapters, BetweenTokens: strictestBetweenTokens(doc),
	}
	var ids []string
	for _, e := range p.engines {
		s.Engines = append(s.Engines, e.toPlacement())
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

func (e *engine) toPlacement() placement.Engine {
	out := placement.Engine{
		ID: e.id, State: placement.Serving, Config: e.config(), Since: e.roleSince,
		Sequences: int(e.report.GetRunning()), PrefillTokens: float64(e.report.GetPrefillTokens()),
	}
	switch {
	case !e.reachable || !e.owned || !e.hasRecord:
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

// initialRoles assigns the document's initial roles to n engines in the order of their IDs. If n
// differs from the number of engines in the document, the shares are kept, rounded down, and the
// remaining engines are mixed. So a small pool can always both prefill and decode.
func initialRoles(spec *document.Pool, n int) []external.EngineRole {
	total := max(1, spec.Roles.Prefill+spec.Roles.Decode+spec.Roles.Mixed)
	roles := slices.Repeat([]external.EngineRole{external.EngineRolePrefill}, spec.Roles.Prefill*n/total)
	roles = append(roles, slices.Repeat([]external.EngineRole{external.EngineRoleDecode}, spec.Roles.Decode*n/total)...)
	return append(roles, slices.Repeat([]external.EngineRole{external.EngineRoleMixed}, n-len(roles))...)
}

// wantedModels returns the models and adapters that every engine of a pool should have.
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
