package policybench

import (
	"time"

	"github.com/quetzallug/quetzallug/admission"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/eventsim"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/placement"
	"github.com/quetzallug/quetzallug/retry"
	"github.com/quetzallug/quetzallug/routing"
)

// entry is one entry process: it knows its own sends and the reports, and nothing of the others.
type entry struct {
	tracker   *load.Tracker
	router    *routing.Router
	admission *admission.Controller
	retries   *retry.Budget
	fleet     *routing.Fleet
	version   int
}

// project is this project's policy. A nil planner leaves the roles alone.
type project struct {
	w       *world
	entries [entries]*entry
	planner *placement.Planner
	weights placement.Weights
	// kept is the average share of a long prompt that is not expected to be cached.
	kept float64
}

// sent is what a policy remembers of a request that is under way.
type sent struct {
	prefill, decode load.Ticket
	to, from        *load.Worker // decode, prefill
	decision        admission.Decision
	entry           *entry
}

// keptRate averages over about 100 requests.
const keptRate = 0.01

func newProject(w *world, planner *placement.Planner, weights placement.Weights) *project {
	p := &project{w: w, planner: planner, weights: weights, kept: 1}
	initial := load.Speed{
		PrefillSecondsPerToken: w.fleet.prefillToken, StepSeconds: w.fleet.stepBase.Seconds(),
		StepSecondsPerSequence: w.fleet.stepPerSequence.Seconds(), ChunkTokens: decodeChunk,
	}
	for i := range p.entries {
		p.entries[i] = &entry{
			tracker:   load.NewTracker(initial),
			router:    routing.New(routing.Config{Seed: uint64(i + 1)}),
			admission: admission.New(admission.Config{}),
			retries:   retry.NewBudget(retry.Config{}),
			version:   -1,
		}
		p.entries[i].tracker.SetRouters(entries)
	}
	return p
}

// newFreshProject is the policy without a planner, for reports without any age: what other
// routers did is in the report, so it is not extrapolated.
func newFreshProject(w *world, weights placement.Weights) *project {
	p := newProject(w, nil, weights)
	for _, e := range p.entries {
		e.tracker.SetRouters(1)
	}
	return p
}

// snapshot rebuilds the fleet of an entry after a change of membership or roles.
func (p *project) snapshot(e *entry) *routing.Fleet {
	if e.version == p.w.version {
		return e.fleet
	}
	e.version = p.w.version
	workers := make([]routing.Worker, 0, len(p.w.engines))
	for _, g := range p.w.engines {
		l := e.tracker.Worker(g.id)
		l.SetRole(g.role)
		workers = append(workers, routing.Worker{
			ID: g.id, DataCentre: "dc", Role: g.role, Load: l,
			Draining: g.state == draining || g.state == changing, Ejected: g.state == dead,
		})
	}
	e.fleet = routing.NewFleet(workers)
	return e.fleet
}

func (p *project) engine(w *routing.Worker) *engine {
	for _, e := range p.w.engines {
		if e.id == w.ID {
			return e
		}
	}
	return nil
}

func (p *project) choose(r *request) (prefill, decode *engine, refusal string) {
	e, now := p.entries[r.entry], p.w.Now()
	q := routing.Request{
		Model: "m", DataCentre: "dc", PromptTokens: r.prompt + r.produced, OutputTokens: r.kind.output, Blocks: r.blocks,
		FirstToken: r.kind.firstToken, BetweenTokens: r.kind.betweenTokens, Exclude: r.exclude,
	}
	if r.attempts == 0 {
		e.retries.Fresh(now)
	}
	d := e.router.Choose(&q, p.snapshot(e), now)
	waited := p.w.At - r.arrived
	a := admission.Request{
		Rank: r.kind.rank + 1, Deadline: eventsim.Epoch.Add(r.arrived + r.kind.total), BetweenTokens: r.kind.betweenTokens, Waited: waited,
	}
	if !r.hasFirst {
		a.FirstToken = r.kind.firstToken
	}
	ok := e.admission.Admit(&a, &admission.Expectation{
		NoWorker: d.Prefill == nil, FirstToken: d.FirstToken, BetweenTokens: d.BetweenTokens, Total: d.Total,
	}, now)
	if !ok.Admitted() {
		return nil, nil, string(ok.Reason)
	}
	e.router.Sent(&q, &d, now)
	if len(r.blocks) > 0 {
		p.kept += keptRate * (float64(d.PrefillTokens)/float64(q.PromptTokens) - p.kept)
	}
	s := &sent{decision: ok, entry: e, from: e.tracker.Worker(d.Prefill.ID), to: e.tracker.Worker(d.Decode.ID)}
	s.prefill = s.from.Sent(load.Work{PrefillTokens: d.PrefillTokens}, now)
	s.decode = s.to.Sent(load.Work{Decode: true, Pieces: q.Pieces()}, now)
	r.route = s
	return p.engine(d.Prefill), p.engine(d.Decode), ""
}

// accept is the sidecar's exact check: queue bound and time to first token by its own state.
func (p *project) accept(r *request, e *engine) string {
	if e.queued() >= queueBound {
		return string(admission.QueueFull)
	}
	return p.recheck(r, e.expectedFirst(r))
}

// hopeless is the sidecar's second check, when the engine is ready to take the request: one that
// cannot be on time any more is refused as not run instead of delaying the others.
func (p *project) hopeless(r *request, e *engine) bool {
	return p.recheck(r, seconds(float64(r.prefillLeft)*p.w.fleet.prefillToken*e.slowness)) != ""
}

func (p *project) recheck(r *request, first time.Duration) string {
	a := admission.Request{Waited: p.w.At - r.arrived}
	if !r.hasFirst {
		a.FirstToken = r.kind.firstToken
	}
	d := p.entries[r.entry].admission.Recheck(&a, &admission.Expectation{FirstToken: first}, p.w.Now())
	return string(d.Reason)
}

func (p *project) retry(r *request) bool {
	return p.entries[r.entry].retries.Take(p.w.Now())
}

func (p *project) firstToken(r *request) {
	s := r.route.(*sent)
	s.from.FirstToken(s.prefill, p.w.Now())
}

func (p *project) finished(r *request) {
	s, ok := r.route.(*sent)
	if !ok {
		return
	}
	r.route = nil
	now := p.w.Now()
	s.from.Finished(s.prefill, now)
	s.to.Finished(s.decode, now)
	s.entry.admission.Release("", s.decision)
	if r.produced >= r.output && r.output > 8 {
		s.to.BetweenTokens(r.between(), now)
	}
}

func (p *project) report(e *engine, sequence uint64, age time.Duration, l external.EngineLoad) {
	for _, n := range p.entries {
		n.tracker.Worker(e.id).Observe(load.Report{Sequence: sequence, Age: age, Load: l}, p.w.Now())
	}
}

func (p *project) cacheEvent(e *engine, c external.CacheEvent) {
	for _, n := range p.entries {
		f := p.snapshot(n)
		for _, w := range n.router.Candidates("m", f) {
			if w.ID == e.id {
				n.router.CacheEvents(w, []external.CacheEvent{c}, p.w.Now())
			}
		}
	}
}

func (p *project) restarted(e *engine) {
	for _, n := range p.entries {
		n.tracker.Worker(e.id).Restarted(p.w.Now())
	}
}

func (p *project) plan(o *offered) {
	if p.planner == nil {
		return
	}
	now := p.w.Now()
	s := placement.Snapshot{Interval: planPeriod, BetweenTokens: p.w.fleet.long.betweenTokens}
	s.Offered = append(s.Offered,
		placement.KindWork{Rank: 1, Requests: o.long.requests, PromptTokens: o.long.prompt * p.kept, OutputTokens: o.long.output, FirstToken: p.w.fleet.long.firstToken},
		placement.KindWork{Rank: 2, Requests: o.chat.requests, PromptTokens: o.chat.prompt, OutputTokens: o.chat.output, FirstToken: p.w.fleet.chat.firstToken})
	for _, e := range p.w.engines {
		s.Engines = append(s.Engines, p.view(e, now))
	}
	s.Speed = load.Speed{
		PrefillSecondsPerToken: p.w.fleet.prefillToken, StepSeconds: p.w.fleet.stepBase.Seconds(),
		StepSecondsPerSequence: p.w.fleet.stepPerSequence.Seconds(), ChunkTokens: decodeChunk,
	}
	for _, c := range p.planner.Plan(now, &s, p.weights) {
		for _, e := range p.w.engines {
			if e.id == c.Engine {
				p.w.order(e, c.Config.Role)
			}
		}
	}
}

// view is the planner's view of an engine, from the entry that holds the pool.
func (p *project) view(e *engine, now time.Time) placement.Engine {
	l := p.entries[0].tracker.Worker(e.id).Estimate(now)
	v := placement.Engine{
		ID: e.id, State: placement.Serving, Config: external.EngineConfig{Role: e.role}, Since: eventsim.Epoch.Add(e.since),
		Sequences: l.Sequences, PrefillTokens: l.PrefillTokens,
	}
	switch e.state {
	case draining, changing:
		v.State, v.Config.Role = placement.Changing, e.next
	case dead:
		v.State = placement.Crashed
	}
	return v
}

// hindsight routes as the project does, and sets the best split of each phase without any cost.
type hindsight struct {
	*project

	splits func(t time.Duration, alive int) platformSplit
	last   platformSplit
	alive  int
}

func (p *hindsight) plan(*offered) {
	alive := 0
	for _, e := range p.w.engines {
		if e.state != dead {
			alive++
		}
	}
	want := p.splits(p.w.At, alive)
	if want == p.last && alive == p.alive {
		return
	}
	p.last, p.alive = want, alive
	i := 0
	for _, e := range p.w.engines {
		if e.state == dead {
			continue
		}
		e.role = want.role(i)
		i++
	}
	p.w.changed()
}
