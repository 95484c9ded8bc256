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

// entry is the routing state of one entry. It knows the load reports and the requests that it sent
// itself, but not those of other entries.
type entry struct {
	tracker      *load.Tracker
	router       *routing.Router
	admission    *admission.Controller
	retries      *retry.Budget
	fleet        *routing.Fleet
	fleetVersion int
}

// quetzallugPolicy uses Quetzallug's own packages for routing, admission, retries and planning.
// Without a planner the roles stay as they are.
type quetzallugPolicy struct {
	sim     *simulation
	entries [entryCount]*entry
	planner *placement.Planner
	weights placement.Weights
	// uncachedShare is the moving average of the share of a long prompt that has to be prefilled,
	// because it is not expected in the prefix cache.
	uncachedShare float64
}

// dispatchState is kept for a request while it runs.
type dispatchState struct {
	prefillTicket, decodeTicket load.Ticket
	decodeWorker, prefillWorker *load.Worker
	admissionDecision           admission.Decision
	entry                       *entry
}

// uncachedShareWeight is the weight of one request in the moving average uncachedShare, which thus
// covers about 100 requests.
const uncachedShareWeight = 0.01

func newQuetzallugPolicy(sim *simulation, planner *placement.Planner, weights placement.Weights) *quetzallugPolicy {
	p := &quetzallugPolicy{sim: sim, planner: planner, weights: weights, uncachedShare: 1}
	initial := load.Speed{
		PrefillSecondsPerToken: sim.fleet.prefillSecondsPerToken, StepSeconds: sim.fleet.stepBase.Seconds(),
		StepSecondsPerSequence: sim.fleet.stepPerSequence.Seconds(), ChunkTokens: mixedStepChunk,
	}
	for i := range p.entries {
		p.entries[i] = &entry{
			tracker:      load.NewTracker(initial),
			router:       routing.New(routing.Config{Seed: uint64(i + 1)}),
			admission:    admission.New(admission.Config{}),
			retries:      retry.NewBudget(retry.Config{}),
			fleetVersion: -1,
		}
		p.entries[i].tracker.SetRouterCount(entryCount)
	}
	return p
}

// newQuetzallugPolicyWithCurrentReports returns the policy without a planner, for load reports that
// are always current. Such reports already include the requests of the other entries, so the tracker
// does not estimate what other entries sent.
func newQuetzallugPolicyWithCurrentReports(sim *simulation, weights placement.Weights) *quetzallugPolicy {
	p := newQuetzallugPolicy(sim, nil, weights)
	for _, e := range p.entries {
		e.tracker.SetRouterCount(1)
	}
	return p
}

// fleetSnapshot returns an entry's view of the fleet, rebuilt if membership or roles have changed.
func (p *quetzallugPolicy) fleetSnapshot(e *entry) *routing.Fleet {
	if e.fleetVersion == p.sim.fleetVersion {
		return e.fleet
	}
	e.fleetVersion = p.sim.fleetVersion
	workers := make([]routing.Worker, 0, len(p.sim.engines))
	for _, eng := range p.sim.engines {
		l := e.tracker.Worker(eng.id)
		l.SetRole(eng.role)
		workers = append(workers, routing.Worker{
			ID: eng.id, DataCentre: "dc", Role: eng.role, Load: l,
			Draining: eng.state == draining || eng.state == changing, Ejected: eng.state == crashed,
		})
	}
	e.fleet = routing.NewFleet(workers)
	return e.fleet
}

func (p *quetzallugPolicy) engine(w *routing.Worker) *engine {
	for _, e := range p.sim.engines {
		if e.id == w.ID {
			return e
		}
	}
	return nil
}

func (p *quetzallugPolicy) choose(r *request) (prefill, decode *engine, refusal string) {
	e, now := p.entries[r.entry], p.sim.Now()
	routingRequest := routing.Request{
		Model: "m", DataCentre: "dc", PromptTokens: r.promptTokens + r.producedTokens, OutputTokens: r.kind.outputTokens, Blocks: r.blocks,
		FirstToken: r.kind.firstTokenTarget, BetweenTokens: r.kind.betweenTokensTarget, Exclude: r.excludedEngines,
	}
	if r.failedAttempts == 0 {
		e.retries.RecordFirstAttempt(now)
	}
	decision := e.router.Choose(&routingRequest, p.fleetSnapshot(e), now)
	waited := p.sim.At - r.arrived
	admissionRequest := admission.Request{
		Rank: r.kind.rank + 1, Deadline: eventsim.Epoch.Add(r.arrived + r.kind.totalTarget), BetweenTokens: r.kind.betweenTokensTarget, Waited: waited,
	}
	if !r.firstTokenDelivered {
		admissionRequest.FirstToken = r.kind.firstTokenTarget
	}
	admissionDecision := e.admission.Admit(&admissionRequest, &admission.Expectation{
		NoWorker: decision.Prefill == nil, FirstToken: decision.FirstToken, BetweenTokens: decision.BetweenTokens, Total: decision.Total,
	}, now)
	if !admissionDecision.Admitted() {
		return nil, nil, string(admissionDecision.Reason)
	}
	e.router.RecordSent(&routingRequest, &decision, now)
	if len(r.blocks) > 0 {
		p.uncachedShare += uncachedShareWeight * (float64(decision.PrefillTokens)/float64(routingRequest.PromptTokens) - p.uncachedShare)
	}
	state := &dispatchState{admissionDecision: admissionDecision, entry: e, prefillWorker: e.tracker.Worker(decision.Prefill.ID), decodeWorker: e.tracker.Worker(decision.Decode.ID)}
	state.prefillTicket = state.prefillWorker.RecordSent(load.Work{PrefillTokens: decision.PrefillTokens}, now)
	state.decodeTicket = state.decodeWorker.RecordSent(load.Work{Decode: true, Pieces: routingRequest.Pieces()}, now)
	r.policyState = state
	return p.engine(decision.Prefill), p.engine(decision.Decode), ""
}

// accept checks a request as a sidecar does on arrival: the limit of the queue, and the time to first
// token expected from the engine's current state. It returns the reason for refusal, or an empty string.
func (p *quetzallugPolicy) accept(r *request, e *engine) string {
	if e.queuedRequests() >= maxQueuedRequests {
		return string(admission.QueueFull)
	}
	return p.recheckAdmission(r, e.expectedFirstToken(r))
}

// tooLate is the check of a sidecar when the engine is ready to start the request. A request that
// can no longer be on time is refused before it starts, so that it does not delay others.
func (p *quetzallugPolicy) tooLate(r *request, e *engine) bool {
	return p.recheckAdmission(r, durationFromSeconds(float64(r.prefillTokensLeft)*p.sim.fleet.prefillSecondsPerToken*e.stepTimeFactor)) != ""
}

func (p *quetzallugPolicy) recheckAdmission(r *request, firstToken time.Duration) string {
	admissionRequest := admission.Request{Waited: p.sim.At - r.arrived}
	if !r.firstTokenDelivered {
		admissionRequest.FirstToken = r.kind.firstTokenTarget
	}
	decision := p.entries[r.entry].admission.Recheck(&admissionRequest, &admission.Expectation{FirstToken: firstToken}, p.sim.Now())
	return string(decision.Reason)
}

func (p *quetzallugPolicy) allowRetry(r *request) bool {
	return p.entries[r.entry].retries.Take(p.sim.Now())
}

func (p *quetzallugPolicy) firstTokenDelivered(r *request) {
	state := r.policyState.(*dispatchState)
	state.prefillWorker.ObserveFirstToken(state.prefillTicket, p.sim.Now())
}

func (p *quetzallugPolicy) attemptEnded(r *request) {
	state, ok := r.policyState.(*dispatchState)
	if !ok {
		return
	}
	r.policyState = nil
	now := p.sim.Now()
	state.prefillWorker.RecordFinished(state.prefillTicket, now)
	state.decodeWorker.RecordFinished(state.decodeTicket, now)
	state.entry.admission.Release("", state.admissionDecision)
	// Only complete answers of more than 8 tokens update the estimated step time.
	if r.producedTokens >= r.outputTokens && r.outputTokens > 8 {
		state.decodeWorker.ObserveBetweenTokens(r.meanTokenInterval(), now)
	}
}

func (p *quetzallugPolicy) report(e *engine, sequence uint64, age time.Duration, l external.EngineLoad) {
	for _, entry := range p.entries {
		entry.tracker.Worker(e.id).Observe(load.Report{Sequence: sequence, Age: age, Load: l}, p.sim.Now())
	}
}

func (p *quetzallugPolicy) cacheEvent(e *engine, event external.CacheEvent) {
	for _, entry := range p.entries {
		fleet := p.fleetSnapshot(entry)
		for _, worker := range entry.router.Subset("m", fleet) {
			if worker.ID == e.id {
				entry.router.ObserveCacheEvents(worker, []external.CacheEvent{event}, p.sim.Now())
			}
		}
	}
}

func (p *quetzallugPolicy) stateLost(e *engine) {
	for _, entry := range p.entries {
		entry.tracker.Worker(e.id).Reset(p.sim.Now())
	}
}

func (p *quetzallugPolicy) plan(offered *offeredWork) {
	if p.planner == nil {
		return
	}
	now := p.sim.Now()
	snapshot := placement.Snapshot{Interval: planInterval, BetweenTokens: p.sim.fleet.long.betweenTokensTarget}
	snapshot.Offered = append(snapshot.Offered,
		placement.KindWork{Rank: 1, Requests: offered.long.requests, PromptTokens: offered.long.promptTokens * p.uncachedShare, OutputTokens: offered.long.outputTokens, FirstToken: p.sim.fleet.long.firstTokenTarget},
		placement.KindWork{Rank: 2, Requests: offered.chat.requests, PromptTokens: offered.chat.promptTokens, OutputTokens: offered.chat.outputTokens, FirstToken: p.sim.fleet.chat.firstTokenTarget})
	for _, e := range p.sim.engines {
		snapshot.Engines = append(snapshot.Engines, p.plannerView(e, now))
	}
	snapshot.Speed = load.Speed{
		PrefillSecondsPerToken: p.sim.fleet.prefillSecondsPerToken, StepSeconds: p.sim.fleet.stepBase.Seconds(),
		StepSecondsPerSequence: p.sim.fleet.stepPerSequence.Seconds(), ChunkTokens: mixedStepChunk,
	}
	for _, change := range p.planner.Plan(now, &snapshot, p.weights) {
		for _, e := range p.sim.engines {
			if e.id == change.Engine {
				p.sim.orderRoleChange(e, change.Config.Role)
			}
		}
	}
}

// plannerView returns an engine as the planner sees it, from the load tracker of entry 0, which is
// taken as the entry that plans the pool.
func (p *quetzallugPolicy) plannerView(e *engine, now time.Time) placement.Engine {
	estimate := p.entries[0].tracker.Worker(e.id).Estimate(now)
	view := placement.Engine{
		ID: e.id, State: placement.Serving, Config: external.EngineConfig{Role: e.role}, Since: eventsim.Epoch.Add(e.roleSince),
		Sequences: estimate.Sequences, PrefillTokens: estimate.PrefillTokens,
	}
	switch e.state {
	case draining, changing:
		view.State, view.Config.Role = placement.Changing, e.nextRole
	case crashed:
		view.State = placement.Crashed
	}
	return view
}

// hindsight is the upper bound for the other policies. It routes like quetzallugPolicy and switches to
// the best split of each phase instantly and at no cost.
type hindsight struct {
	*quetzallugPolicy

	bestSplit func(t time.Duration, alive int) roleSplit
	lastSplit roleSplit
	lastAlive int
}

func (p *hindsight) plan(*offeredWork) {
	alive := 0
	for _, e := range p.sim.engines {
		if e.state != crashed {
			alive++
		}
	}
	split := p.bestSplit(p.sim.At, alive)
	if split == p.lastSplit && alive == p.lastAlive {
		return
	}
	p.lastSplit, p.lastAlive = split, alive
	i := 0
	for _, e := range p.sim.engines {
		if e.state == crashed {
			continue
		}
		e.role = split.role(i)
		i++
	}
	p.sim.fleetChanged()
}
