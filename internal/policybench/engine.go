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
	dead
)

const (
	// decodeChunk is the prefill per step on an engine that decodes, prefillChunk on one that
	// does not. 256 tokens keep the step of a loaded mixed engine near the usual 71 ms target.
	decodeChunk  = 256
	prefillChunk = 2048
	prefillBase  = 3 * time.Millisecond
	enginePieces = 256
	cachedPrefix = 24
	// changeTime is how long a role change takes after the drain.
	changeTime = 5 * time.Second
	queueBound = 64
)

// engine is the model of one engine.
type engine struct {
	w     *world
	index int
	id    string
	role  external.Role
	state engineState
	since time.Duration
	// slowness is the engine's speed relative to the fleet's.
	slowness float64

	queue    [3][]*request // waiting for prefill, by rank
	waiting  []*request    // prefilled, waiting for pieces
	batch    []*request
	incoming int // decode work that is still being prefilled elsewhere
	free     int
	busy     bool
	stepEnd  time.Duration
	inStep   []*request // prompts that the running step completes
	epoch    int        // changes when a crash invalidates a running step

	prefixes []int // least recently used first
	events   uint64
	reports  uint64

	drainFrom time.Duration
	next      external.Role
}

func (e *engine) queued() int {
	n := 0
	for _, q := range e.queue {
		n += len(q)
	}
	return n
}

// queuedTokens counts the prefill ahead of a request of the given rank.
func (e *engine) queuedTokens(rank int) int {
	n := 0
	for r := 0; r <= rank; r++ {
		for _, q := range e.queue[r] {
			n += q.prefillLeft
		}
	}
	return n
}

// expectedFirst is the engine's own, exact view of the time to first token.
func (e *engine) expectedFirst(r *request) time.Duration {
	tokens := float64(e.queuedTokens(r.kind.rank) + r.prefillLeft)
	perToken := e.w.fleet.prefillToken
	if n := len(e.batch); n > 0 {
		perToken += e.stepTime(n).Seconds() / decodeChunk
	}
	first := seconds(tokens * perToken * e.slowness)
	if e.busy {
		first += e.stepEnd - e.w.At
	}
	return first
}

func (e *engine) stepTime(n int) time.Duration {
	return e.w.fleet.stepBase + time.Duration(n)*e.w.fleet.stepPerSequence
}

func (e *engine) enqueue(r *request) {
	if !r.cacheChecked && e.touch(r.prefix) {
		r.prefillLeft = max(1, r.prefillLeft-prefixTokens)
	}
	r.cacheChecked = true
	e.queue[r.kind.rank] = append(e.queue[r.kind.rank], r)
	e.start()
}

// touch reports a cache hit and marks the prefix as used.
func (e *engine) touch(prefix int) bool {
	i := slices.Index(e.prefixes, prefix)
	if prefix < 0 || i < 0 {
		return false
	}
	e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
	return true
}

func (e *engine) store(prefix int) {
	if prefix < 0 || e.touch(prefix) {
		return
	}
	if len(e.prefixes) >= cachedPrefix {
		e.w.cacheEvent(e, e.prefixes[0], true)
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.prefixes = append(e.prefixes, prefix)
	e.w.cacheEvent(e, prefix, false)
}

func (e *engine) join(r *request) {
	if r.pieces() > e.free {
		e.waiting = append(e.waiting, r)
		return
	}
	e.free -= r.pieces()
	e.batch = append(e.batch, r)
	e.start()
}

func (e *engine) start() {
	if e.busy || e.state == dead || e.state == changing || len(e.batch) == 0 && e.queued() == 0 {
		return
	}
	e.busy = true
	budget, duration := decodeChunk, e.stepTime(len(e.batch))
	if len(e.batch) == 0 {
		budget, duration = prefillChunk, prefillBase
	}
	used := 0
	var done []*request
	for rank := range e.queue {
		for len(e.queue[rank]) > 0 && used < budget {
			r := e.queue[rank][0]
			if !r.started && e.w.policy.hopeless(r, e) {
				e.queue[rank] = e.queue[rank][1:]
				e.w.drop(r)
				continue
			}
			r.started = true
			n := min(r.prefillLeft, budget-used)
			r.prefillLeft -= n
			used += n
			if r.prefillLeft > 0 {
				break
			}
			done = append(done, r)
			e.queue[rank] = e.queue[rank][1:]
		}
	}
	duration += seconds(float64(used) * e.w.fleet.prefillToken)
	duration = time.Duration(float64(duration) * e.slowness * (0.95 + 0.1*e.w.noise.Float64()))
	members, life := len(e.batch), e.epoch
	e.stepEnd = e.w.At + duration
	e.w.After(duration, func() {
		if e.epoch == life {
			e.endStep(members, done)
		}
	})
	e.inStep = done
}

func (e *engine) endStep(members int, done []*request) {
	e.busy = false
	e.inStep = nil
	running := e.batch[:0]
	for i, r := range e.batch {
		if i < members {
			r.produced++
		}
		if r.produced < r.output {
			running = append(running, r)
			continue
		}
		e.free += r.pieces()
		e.w.finish(r)
	}
	clear(e.batch[len(running):])
	e.batch = running
	for len(e.waiting) > 0 && e.waiting[0].pieces() <= e.free {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.join(r)
	}
	for _, r := range done {
		e.store(r.prefix)
		e.w.prefilled(e, r)
	}
	e.start()
	e.drained()
}

// change drains the engine and then gives it a new role.
func (e *engine) change(role external.Role) {
	e.state, e.next, e.drainFrom = draining, role, e.w.At
	e.w.changed()
	e.drained()
}

func (e *engine) drained() {
	if e.state != draining || e.queued() > 0 || len(e.batch)+len(e.waiting)+e.incoming+len(e.inStep) > 0 {
		return
	}
	e.state = changing
	life := e.epoch
	e.w.After(changeTime, func() {
		if e.epoch != life {
			return
		}
		e.w.stats.lost += e.w.At - e.drainFrom
		e.state, e.role, e.since = serving, e.next, e.w.At
		e.prefixes = nil
		e.w.changed()
		e.w.policy.restarted(e)
	})
}

// crash loses all requests of the engine. They are sent again by the entries.
func (e *engine) crash() {
	prefilling := slices.Concat(e.queue[0], e.queue[1], e.queue[2], e.inStep)
	lost := slices.Concat(prefilling, e.waiting, e.batch)
	e.state, e.busy, e.free = dead, false, enginePieces
	e.queue, e.waiting, e.batch, e.inStep = [3][]*request{}, nil, nil, nil
	e.epoch++
	e.w.changed()
	e.w.policy.restarted(e)
	for _, r := range prefilling {
		e.w.release(r)
	}
	for _, r := range lost {
		e.w.resume(r)
	}
}

func (e *engine) report() external.EngineLoad {
	return external.EngineLoad{
		Running: len(e.batch), Queued: e.queued() + len(e.waiting),
		PrefillTokens: int64(e.queuedTokens(len(e.queue) - 1)),
		FreePieces:    e.free, TotalPieces: enginePieces,
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
