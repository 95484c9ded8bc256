package gatewaybench

import (
	"container/list"
	"math"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// engine is a simulated engine, which prefills or decodes according to its role.
type engine struct {
	sim        *simulation
	id         string
	dataCentre string
	role       external.EngineRole
	// An engine that is changingRole rejects new requests. One that is unresponsive makes no progress and sends
	// no responses, not even refusals.
	changingRole bool
	unresponsive bool
	// draining is true once the engine is to be removed.
	draining bool
	// epoch is incremented when the engine becomes unresponsive, which discards callbacks scheduled before.
	epoch int

	// prefillQueue holds prompts waiting for prefill, which runs one prompt at a time.
	prefillQueue []*task
	prefilling   bool
	// running is the number of requests being decoded; decodeQueue holds those waiting for a slot.
	running     int
	decodeQueue []*task
	cache       promptCache
	workTime    *workTime
	// linkFreeAt is when the last scheduled transfer from or to this engine ends.
	linkFreeAt time.Duration
	// roleChangeStart and roleChangeTime measure the time lost to role changes.
	roleChangeStart time.Duration
	roleChangeTime  time.Duration
}

// task is the prefill or decode of a request on one engine.
type task struct {
	request *request
	// done is called when prefill completes, or after the last event of the answer. Its argument is always true.
	done func(ok bool)
	// onEvent is called for each event of the answer.
	onEvent func()
	// A cancelled task is dropped at its next scheduled callback.
	cancelled bool
}

// promptCache is an LRU cache of prompt parts with a capacity in tokens.
type promptCache struct {
	capacity int
	used     int
	entries  map[uint64]*list.Element
	recency  list.List // of *cacheEntry, most recently used first
}

type cacheEntry struct {
	key    uint64
	tokens int
}

func newPromptCache(capacity int) promptCache {
	return promptCache{capacity: capacity, entries: make(map[uint64]*list.Element)}
}

// uncachedTokens returns the number of prompt tokens to prefill. Only an unbroken prefix of cached parts
// counts as cached. It marks those parts as recently used.
func (m *promptCache) uncachedTokens(r *request) int {
	hit := true
	n := 0
	for i, key := range r.partKeys {
		el := m.entries[key]
		hit = hit && el != nil
		if hit {
			m.recency.MoveToFront(el)
			continue
		}
		n += r.metadata.Parts[i].Tokens
	}
	return n
}

// store caches all parts of a prompt and evicts the least recently used parts above the capacity.
func (m *promptCache) store(r *request) {
	for i, key := range r.partKeys {
		if el := m.entries[key]; el != nil {
			m.recency.MoveToFront(el)
			continue
		}
		tokens := r.metadata.Parts[i].Tokens
		m.entries[key] = m.recency.PushFront(&cacheEntry{key, tokens})
		m.used += tokens
	}
	for m.used > m.capacity && m.recency.Len() > 0 {
		el := m.recency.Back()
		k := el.Value.(*cacheEntry)
		m.recency.Remove(el)
		delete(m.entries, k.key)
		m.used -= k.tokens
	}
}

// full reports whether all slots and queue places are taken.
func (e *engine) full() bool {
	return e.running+len(e.decodeQueue)+len(e.prefillQueue) >= e.sim.dep.Engines.Slots+e.sim.dep.Engines.Queue
}

// rejects reports whether the engine refuses a new prefill or decode request now.
func (e *engine) rejects(prefill bool) bool {
	return e.changingRole || e.full() || prefill != (e.role == external.EngineRolePrefill)
}

// prefill queues a prompt for prefill.
func (e *engine) prefill(t *task) {
	e.prefillQueue = append(e.prefillQueue, t)
	e.startPrefill()
}

func (e *engine) startPrefill() {
	for len(e.prefillQueue) > 0 && !e.prefilling && !e.unresponsive {
		t := e.prefillQueue[0]
		e.prefillQueue = e.prefillQueue[1:]
		if t.cancelled {
			continue
		}
		tokens := e.cache.uncachedTokens(t.request)
		e.sim.result.prefilledTokens += tokens
		e.sim.result.cachedTokens += t.request.metadata.PromptTokens - tokens
		speed := e.sim.dep.Engines.TokensPerMS
		if e.role == external.EngineRoleDecode {
			speed /= 2
		}
		e.prefilling = true
		epoch := e.epoch
		e.sim.clock.After(e.workTime.elapsed(e.sim.clock.At, milliseconds(float64(tokens)/speed)), func() {
			if e.epoch != epoch {
				return
			}
			e.prefilling = false
			e.cache.store(t.request)
			e.sim.clock.After(e.workTime.elapsed(e.sim.clock.At, time.Duration(e.sim.dep.Engines.PrefillFixed)), func() {
				if e.epoch == epoch && !t.cancelled {
					t.done(true)
				}
			})
			e.startPrefill()
		})
	}
}

// decode starts the answer once a slot is free.
func (e *engine) decode(t *task) {
	if e.running >= e.sim.dep.Engines.Slots {
		e.decodeQueue = append(e.decodeQueue, t)
		return
	}
	e.running++
	left, epoch := t.request.eventCount, e.epoch
	var event func()
	event = func() {
		if e.epoch != epoch {
			return
		}
		if t.cancelled {
			e.releaseSlot()
			return
		}
		t.onEvent()
		if left--; left > 0 {
			e.sim.clock.After(e.eventTime(), event)
			return
		}
		e.releaseSlot()
		t.done(true)
	}
	e.sim.clock.After(e.workTime.elapsed(e.sim.clock.At, time.Duration(e.sim.dep.Engines.FirstEventDelay)), event)
}

func (e *engine) releaseSlot() {
	e.running--
	for len(e.decodeQueue) > 0 {
		next := e.decodeQueue[0]
		e.decodeQueue = e.decodeQueue[1:]
		if !next.cancelled {
			e.decode(next)
			return
		}
	}
}

// eventTime returns the interval between two events of one stream. Prefill running at the same time makes
// each decode step take 1.5 times as long.
func (e *engine) eventTime() time.Duration {
	t := time.Duration(e.sim.dep.Engines.EventBase) + time.Duration(e.running)*time.Duration(e.sim.dep.Engines.EventPerRequest)
	if e.prefilling {
		t = t * 3 / 2
	}
	return e.workTime.elapsed(e.sim.clock.At, t)
}

// transfer copies the uncached part of t's prompt from source and then calls done, unless the engine failed or t
// was cancelled in the meantime. An engine takes part in one transfer at a time.
func (e *engine) transfer(source *engine, t *task, done func()) {
	tokens := e.cache.uncachedTokens(t.request)
	speed := e.sim.dep.Engines.TransferTokensPerMS / e.sim.linkSlowdown
	if source.dataCentre != e.dataCentre {
		speed /= 2
	}
	e.sim.result.transferredTokens += tokens
	start := max(e.sim.clock.At, e.linkFreeAt, source.linkFreeAt)
	end := start + milliseconds(float64(tokens)/speed)
	e.linkFreeAt, source.linkFreeAt = end, end
	epoch := e.epoch
	e.sim.clock.After(end-e.sim.clock.At, func() {
		if e.epoch != epoch || t.cancelled {
			return
		}
		e.cache.store(t.request)
		done()
	})
}

// changeRole switches the engine to another role. For the duration of the change it rejects new requests and
// completes those it has.
func (e *engine) changeRole(role external.EngineRole) {
	e.changingRole, e.roleChangeStart = true, e.sim.clock.At
	e.sim.clock.After(time.Duration(e.sim.dep.Engines.RoleChange), func() {
		e.role, e.changingRole = role, false
		e.roleChangeTime += e.sim.clock.At - e.roleChangeStart
		e.sim.publishRegistration(e)
	})
}

// fail makes the engine unresponsive: its tasks are lost, and requests to it get no response.
func (e *engine) fail() {
	e.unresponsive = true
	e.epoch++
	e.prefillQueue, e.decodeQueue, e.running, e.prefilling = nil, nil, 0, false
}

// restore makes the engine responsive again, with an empty prompt cache.
func (e *engine) restore() {
	e.unresponsive = false
	e.cache = newPromptCache(e.sim.dep.Engines.MemoryTokens)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(math.Max(0, ms) * float64(time.Millisecond))
}
