// Package policybench compares the routing, admission and placement packages with baseline policies
// in a discrete-event simulation of one pool of engines. The simulation covers what the policies
// observe and decide: batching steps, the cost of prefill and decode, pieces of KV cache, prefix
// caches, role changes that take seconds, and delayed load reports. It does not simulate processes or
// networks.
package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/eventsim"
	"github.com/quetzallug/quetzallug/routing"
)

const (
	// entryCount is the number of entries, which route independently of each other.
	entryCount     = 3
	reportInterval = 250 * time.Millisecond
	planInterval   = time.Second
	// Cache events arrive late, and a share of them is lost.
	cacheEventDelay = 500 * time.Millisecond
	cacheEventLoss  = 0.1
	// resumeDelay is the time that an entry takes to detect a broken stream.
	resumeDelay = 50 * time.Millisecond
	maxAttempts = 3
)

// policy routes the requests of the pool and plans the roles of its engines.
type policy interface {
	// choose returns the engines for a request, or the reason for refusing it.
	choose(r *request) (prefill, decode *engine, refusal string)
	// accept is the check on arrival at the engine. It returns the reason for refusing the request,
	// or an empty string.
	accept(r *request, e *engine) string
	// tooLate reports whether a queued request is to be dropped instead of started.
	tooLate(r *request, e *engine) bool
	// allowRetry reports whether a request that an engine refused may be sent to another one.
	allowRetry(r *request) bool
	// firstTokenDelivered is called once per request, when its first token is delivered.
	firstTokenDelivered(r *request)
	// attemptEnded is called when an attempt ends that choose has sent to engines: the answer is complete,
	// the engine refused or dropped the request, or the engine failed.
	attemptEnded(r *request)
	// report is called when a load report arrives, age after the engine sent it.
	report(e *engine, sequence uint64, age time.Duration, l external.EngineLoad)
	// cacheEvent is called when an event of an engine's prefix cache arrives.
	cacheEvent(e *engine, c external.CacheEvent)
	// stateLost is called when an engine has crashed or changed its role. It holds no requests then.
	stateLost(e *engine)
	// plan is called in each planning round with the work offered between two rounds, which arrives as
	// late as the load reports.
	plan(offered *offeredWork)
}

// offeredWork holds the work that was offered between two planning rounds, by kind of request.
type offeredWork struct {
	long, chat kindWork
}

type kindWork struct{ requests, promptTokens, outputTokens float64 }

// add counts an offered request. outputTokens grows by the mean of the kind, which is also the length
// that quetzallugPolicy expects of an answer.
func (k *kindWork) add(r *request) {
	k.requests++
	k.promptTokens += float64(r.promptTokens)
	k.outputTokens += float64(r.kind.outputTokens)
}

// simulation is the state of one simulated run.
type simulation struct {
	eventsim.Sim

	fleet        *fleet
	workload     *workload
	reportAge    time.Duration
	rng          *rand.Rand
	engines      []*engine
	policy       policy
	fleetVersion int
	stats        stats
	offeredWork  offeredWork
	pendingWork  []offeredWork // delayed by reportAge on the way to the planner
}

func newSimulation(fleet *fleet, workload *workload, reportAge time.Duration, seed uint64, split roleSplit) *simulation {
	sim := &simulation{fleet: fleet, workload: workload, reportAge: reportAge, rng: rand.New(rand.NewPCG(seed, 2))}
	sim.stats.unmetByReason, sim.stats.warmUp = make(map[string]int), warmUp
	speedRNG := rand.New(rand.NewPCG(seed, 3))
	for i := range fleet.engines {
		sim.engines = append(sim.engines, &engine{
			sim: sim, index: i, id: fmt.Sprintf("%s-%02d", fleet.name, i), role: split.role(i), freePieces: piecesPerEngine,
			roleSince: -time.Hour, stepTimeFactor: 0.95 + 0.1*speedRNG.Float64(),
		})
	}
	return sim
}

// run simulates the workload and returns its statistics.
func (sim *simulation) run(policy policy, seed uint64) *stats {
	sim.policy = policy
	sim.scheduleArrivals(arrivals(sim.fleet, sim.workload, seed))
	for i, e := range sim.engines {
		// The engines' reports are spread evenly over the interval.
		sim.After(reportInterval*time.Duration(i)/time.Duration(len(sim.engines)), func() {
			sim.sendReport(e)
			sim.Every(reportInterval, func() { sim.sendReport(e) })
		})
	}
	sim.Every(planInterval, sim.planRound)
	if sim.workload.crashAt > 0 {
		sim.After(sim.workload.crashAt, sim.crashEngines)
	}
	const tail = 30 * time.Second
	sim.RunUntil(sim.workload.duration + tail)
	sim.stats.duration = sim.workload.duration - sim.stats.warmUp
	return &sim.stats
}

// scheduleArrivals schedules only the next arrival at a time, which keeps the event queue short.
func (sim *simulation) scheduleArrivals(remaining []*request) {
	if len(remaining) > 0 {
		sim.After(remaining[0].arrived-sim.At, func() {
			sim.arrive(remaining[0])
			sim.scheduleArrivals(remaining[1:])
		})
	}
}

// crashEngines crashes a prefill engine and a decode engine. If a role has none, it crashes any other
// engine instead.
func (sim *simulation) crashEngines() {
	for _, role := range []external.EngineRole{external.EngineRolePrefill, external.EngineRoleDecode} {
		i := slices.IndexFunc(sim.engines, func(e *engine) bool { return e.state != crashed && e.role == role })
		if i < 0 {
			i = slices.IndexFunc(sim.engines, func(e *engine) bool { return e.state != crashed })
		}
		sim.engines[i].crash()
	}
}

func (sim *simulation) sendReport(e *engine) {
	if e.state == crashed {
		return
	}
	e.reportSequence++
	sequence, l, sentEpoch := e.reportSequence, e.report(), e.epoch
	sim.After(sim.reportAge, func() {
		if e.epoch == sentEpoch {
			sim.policy.report(e, sequence, sim.reportAge, l)
		}
	})
}

func (sim *simulation) planRound() {
	sim.pendingWork = append(sim.pendingWork, sim.offeredWork)
	sim.offeredWork = offeredWork{}
	if len(sim.pendingWork) > int(sim.reportAge/planInterval) {
		offered := sim.pendingWork[0]
		sim.pendingWork = sim.pendingWork[1:]
		sim.policy.plan(&offered)
	}
}

func (sim *simulation) arrive(r *request) {
	if r.kind == &sim.fleet.long {
		sim.offeredWork.long.add(r)
	} else {
		sim.offeredWork.chat.add(r)
	}
	sim.stats.recordOffered(r)
	sim.dispatch(r)
}

func (sim *simulation) dispatch(r *request) {
	p, d, refusal := sim.policy.choose(r)
	if refusal != "" {
		sim.stats.recordRefused(r, refusal)
		return
	}
	r.prefill, r.decode = p, d
	if d != p {
		d.incomingDecodes++
	}
	sim.After(networkHop, func() { sim.arriveAtPrefill(r) })
}

func (sim *simulation) arriveAtPrefill(r *request) {
	e := r.prefill
	reason := ""
	if e.state != serving {
		reason = "draining"
	} else {
		reason = sim.policy.accept(r, e)
	}
	if reason == "" {
		e.enqueue(r)
		return
	}
	sim.releaseDecode(r)
	sim.policy.attemptEnded(r)
	r.failedAttempts++
	r.excludedEngines = append(r.excludedEngines, e.id)
	if r.failedAttempts >= maxAttempts || !sim.policy.allowRetry(r) {
		sim.stats.recordRefused(r, reason)
		return
	}
	sim.After(networkHop, func() { sim.dispatch(r) })
}

// releaseDecode removes a request from the incoming decodes of its decode engine.
func (sim *simulation) releaseDecode(r *request) {
	if r.decode != r.prefill {
		r.decode.incomingDecodes--
		r.decode.changeIfDrained()
	}
}

// prefillDone delivers the first token and transfers the request to its decode engine.
func (sim *simulation) prefillDone(e *engine, r *request) {
	if !r.firstTokenDelivered {
		r.firstTokenAt, r.firstTokenDelivered = sim.At, true
		sim.policy.firstTokenDelivered(r)
	}
	r.producedTokens++
	if r.producedTokens >= r.outputTokens {
		sim.releaseDecode(r)
		sim.finish(r)
		return
	}
	if r.decode == e {
		e.joinBatch(r)
		return
	}
	d := r.decode
	transfer := durationFromSeconds(float64(r.promptTokens)*kvBytesPerToken/kvBytesPerSecond) + networkHop
	sim.After(transfer, func() {
		d.incomingDecodes--
		if d.state == crashed || d.state == changing {
			sim.resume(r)
			return
		}
		d.joinBatch(r)
	})
}

// resume dispatches a request again after its engine failed. The next engine has to prefill the
// prompt and the tokens that were already delivered.
func (sim *simulation) resume(r *request) {
	sim.policy.attemptEnded(r)
	r.failedAttempts++
	if r.failedAttempts >= maxAttempts {
		sim.stats.recordRefused(r, "failed")
		return
	}
	r.prefillTokensLeft, r.cacheChecked, r.started = r.promptTokens+r.producedTokens, false, false
	sim.After(resumeDelay, func() { sim.dispatch(r) })
}

// drop refuses a queued request that its engine has not started.
func (sim *simulation) drop(r *request) {
	sim.releaseDecode(r)
	sim.policy.attemptEnded(r)
	sim.stats.recordRefused(r, "late")
}

func (sim *simulation) finish(r *request) {
	r.lastTokenAt = sim.At
	sim.policy.attemptEnded(r)
	sim.stats.recordCompleted(r)
}

func (sim *simulation) fleetChanged() { sim.fleetVersion++ }

// orderRoleChange starts a role change.
func (sim *simulation) orderRoleChange(e *engine, role external.EngineRole) {
	sim.stats.roleChanges++
	e.changeRole(role)
}

func (sim *simulation) cacheEvent(e *engine, prefix int, evicted bool) {
	for _, block := range prefixBlocks(prefix) {
		e.cacheEventSequence++
		event := external.CacheEvent{Sequence: e.cacheEventSequence, Prefix: block, Evicted: evicted}
		if sim.rng.Float64() >= cacheEventLoss {
			sim.After(cacheEventDelay, func() { sim.policy.cacheEvent(e, event) })
		}
	}
}

// maxPrefixes is the largest number of shared prefixes that a kind may have.
const maxPrefixes = 64

var prefixHashes = func() (out [maxPrefixes][prefixTokens / routing.BlockTokens]uint64) {
	for p := range out {
		for b := range out[p] {
			out[p][b] = xxhash.Sum64String(fmt.Sprint("prefix-", p, "-", b))
		}
	}
	return out
}()

// prefixBlocks returns the block hashes of a shared prefix.
func prefixBlocks(prefix int) []uint64 { return prefixHashes[prefix][:] }
