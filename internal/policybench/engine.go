package policybench

import (
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

type engineState int

const (
	serving engineState = iota
	draining
	changing
	crashed
)

const (
	// mixedStepChunk is the largest number of prompt tokens in a step that also decodes,
	// prefillOnlyChunk that in a step that does not. 256 tokens keep the step of a loaded mixed
	// engine near maxTokenInterval.
	mixedStepChunk   = 256
	prefillOnlyChunk = 2048
	// prefillStepBase is the fixed time of a step that only prefills.
	prefillStepBase   = 3 * time.Millisecond
	piecesPerEngine   = 256
	maxCachedPrefixes = 24
	// changeTime is the duration of a role change after the engine has drained.
	changeTime        = 5 * time.Second
	maxQueuedRequests = 64
)

// engine simulates one engine with continuous batching.
type engine struct {
	sim       *simulation
	index     int
	id        string
	role      external.EngineRole
	state     engineState
	roleSince time.Duration
	// stepTimeFactor scales the fleet's step times for this engine.
	stepTimeFactor float64

	prefillQueues      [3][]*request // by rank
	awaitingPieces     []*request    // prefilled, waiting for enough free pieces
	batch              []*request
	incomingDecodes    int // requests to decode here that are still prefilled or transferred by another engine
	freePieces         int
	busy               bool
	stepEnd            time.Duration
	completingPrefills []*request // requests whose prefill the running step completes
	epoch              int        // incremented by a crash, which cancels the running step

	prefixes           []int // least recently used first
	cacheEventSequence uint64
	reportSequence     uint64

	drainStart time.Duration
	nextRole   external.EngineRole
}

func (e *engine) queuedRequests() int {
	n := 0
	for _, q := range e.prefillQueues {
		n += len(q)
	}
	return n
}

// queuedTokens returns the number of queued prompt tokens ahead of a new request of a rank.
func (e *engine) queuedTokens(rank int) int {
	n := 0
	for r := 0; r <= rank; r++ {
		for _, q := range e.prefillQueues[r] {
			n += q.prefillTokensLeft
		}
	}
	return n
}

// expectedFirstToken estimates the time to first token from the engine's current state.
func (e *engine) expectedFirstToken(r *request) time.Duration {
	tokens := float64(e.queuedTokens(r.kind.rank) + r.prefillTokensLeft)
	perToken := e.sim.fleet.prefillSecondsPerToken
	if n := len(e.batch); n > 0 {
		perToken += e.stepTime(n).Seconds() / mixedStepChunk
	}
	firstToken := durationFromSeconds(tokens * perToken * e.stepTimeFactor)
	if e.busy {
		firstToken += e.stepEnd - e.sim.At
	}
	return firstToken
}

// stepTime returns the nominal time of a step that decodes n sequences, without prefill.
func (e *engine) stepTime(n int) time.Duration {
	return e.sim.fleet.stepBase + time.Duration(n)*e.sim.fleet.stepPerSequence
}

func (e *engine) enqueue(r *request) {
	if !r.cacheChecked && e.useCachedPrefix(r.prefix) {
		r.prefillTokensLeft = max(1, r.prefillTokensLeft-prefixTokens)
	}
	r.cacheChecked = true
	e.prefillQueues[r.kind.rank] = append(e.prefillQueues[r.kind.rank], r)
	e.startStep()
}

// useCachedPrefix reports whether the prefix is cached and, if so, marks it as most recently used.
func (e *engine) useCachedPrefix(prefix int) bool {
	i := slices.Index(e.prefixes, prefix)
	if prefix < 0 || i < 0 {
		return false
	}
	e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
	return true
}

func (e *engine) cachePrefix(prefix int) {
	if prefix < 0 || e.useCachedPrefix(prefix) {
		return
	}
	if len(e.prefixes) >= maxCachedPrefixes {
		e.sim.cacheEvent(e, e.prefixes[0], true)
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.prefixes = append(e.prefixes, prefix)
	e.sim.cacheEvent(e, prefix, false)
}

func (e *engine) joinBatch(r *request) {
	if r.pieces() > e.freePieces {
		e.awaitingPieces = append(e.awaitingPieces, r)
		return
	}
	e.freePieces -= r.pieces()
	e.batch = append(e.batch, r)
	e.startStep()
}

func (e *engine) startStep() {
	if e.busy || e.state == crashed || e.state == changing || len(e.batch) == 0 && e.queuedRequests() == 0 {
		return
	}
	e.busy = true
	budget, duration := mixedStepChunk, e.stepTime(len(e.batch))
	if len(e.batch) == 0 {
		budget, duration = prefillOnlyChunk, prefillStepBase
	}
	used := 0
	var completed []*request
	for rank := range e.prefillQueues {
		for len(e.prefillQueues[rank]) > 0 && used < budget {
			r := e.prefillQueues[rank][0]
			if !r.started && e.sim.policy.tooLate(r, e) {
				e.prefillQueues[rank] = e.prefillQueues[rank][1:]
				e.sim.drop(r)
				continue
			}
			r.started = true
			n := min(r.prefillTokensLeft, budget-used)
			r.prefillTokensLeft -= n
			used += n
			if r.prefillTokensLeft > 0 {
				break
			}
			completed = append(completed, r)
			e.prefillQueues[rank] = e.prefillQueues[rank][1:]
		}
	}
	duration += durationFromSeconds(float64(used) * e.sim.fleet.prefillSecondsPerToken)
	duration = time.Duration(float64(duration) * e.stepTimeFactor * (0.95 + 0.1*e.sim.rng.Float64()))
	batchSize, startEpoch := len(e.batch), e.epoch
	e.stepEnd = e.sim.At + duration
	e.sim.After(duration, func() {
		if e.epoch == startEpoch {
			e.endStep(batchSize, completed)
		}
	})
	e.completingPrefills = completed
}

func (e *engine) endStep(batchSize int, completed []*request) {
	e.busy = false
	e.completingPrefills = nil
	running := e.batch[:0]
	for i, r := range e.batch {
		if i < batchSize {
			r.producedTokens++
		}
		if r.producedTokens < r.outputTokens {
			running = append(running, r)
			continue
		}
		e.freePieces += r.pieces()
		e.sim.finish(r)
	}
	clear(e.batch[len(running):])
	e.batch = running
	for len(e.awaitingPieces) > 0 && e.awaitingPieces[0].pieces() <= e.freePieces {
		r := e.awaitingPieces[0]
		e.awaitingPieces = e.awaitingPieces[1:]
		e.joinBatch(r)
	}
	for _, r := range completed {
		e.cachePrefix(r.prefix)
		e.sim.prefillDone(e, r)
	}
	e.startStep()
	e.changeIfDrained()
}

// changeRole starts to drain the engine, after which it changes to the role.
func (e *engine) changeRole(role external.EngineRole) {
	e.state, e.nextRole, e.drainStart = draining, role, e.sim.At
	e.sim.fleetChanged()
	e.changeIfDrained()
}

// changeIfDrained starts the role change if the engine is draining and has no work left.
func (e *engine) changeIfDrained() {
	if e.state != draining || e.queuedRequests() > 0 || len(e.batch)+len(e.awaitingPieces)+e.incomingDecodes+len(e.completingPrefills) > 0 {
		return
	}
	e.state = changing
	startEpoch := e.epoch
	e.sim.After(changeTime, func() {
		if e.epoch != startEpoch {
			return
		}
		e.sim.stats.engineTimeLost += e.sim.At - e.drainStart
		e.state, e.role, e.roleSince = serving, e.nextRole, e.sim.At
		e.prefixes = nil
		e.sim.fleetChanged()
		e.sim.policy.stateLost(e)
	})
}

// crash stops the engine for good. Entries send its requests to other engines.
func (e *engine) crash() {
	prefilling := slices.Concat(e.prefillQueues[0], e.prefillQueues[1], e.prefillQueues[2], e.completingPrefills)
	lost := slices.Concat(prefilling, e.awaitingPieces, e.batch)
	e.state, e.busy, e.freePieces = crashed, false, piecesPerEngine
	e.prefillQueues, e.awaitingPieces, e.batch, e.completingPrefills = [3][]*request{}, nil, nil, nil
	e.epoch++
	e.sim.fleetChanged()
	e.sim.policy.stateLost(e)
	for _, r := range prefilling {
		e.sim.releaseDecode(r)
	}
	for _, r := range lost {
		e.sim.resume(r)
	}
}

func (e *engine) report() external.EngineLoad {
	return external.EngineLoad{
		Running: len(e.batch), Queued: e.queuedRequests() + len(e.awaitingPieces),
		PrefillTokens: int64(e.queuedTokens(len(e.prefillQueues) - 1)),
		FreePieces:    e.freePieces, TotalPieces: piecesPerEngine,
	}
}

func durationFromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
