package gatewaybench

import (
	"container/list"
	"math"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// engine is the model of one engine.
type engine struct {
	w          *world
	id         string
	dataCentre string
	role       external.Role
	// changing engines take no new work, dark ones do nothing and answer nothing.
	changing bool
	dark     bool
	// life changes when the engine goes dark, which ends all that it had.
	life int

	// reads wait to be read one after the other.
	reads   []*work
	reading bool
	// running requests generate; waiting ones have found no slot.
	running int
	waiting []*work
	memory  memory
	// linkFree is when the last move from or to this engine ends.
	linkFree time.Duration
	// awaySince and away measure the time lost to role changes.
	awaySince time.Duration
	away      time.Duration
}

// work is a request at one engine.
type work struct {
	request *request
	// then is called with true when the prompt is read, or when the answer ends.
	then func(ok bool)
	// onEvent is called with each event.
	onEvent func()
	// cancelled work is dropped at its next event.
	cancelled bool
}

// memory keeps prompt parts, the least recently used of which yield.
type memory struct {
	capacity int
	used     int
	parts    map[uint64]*list.Element
	order    list.List // of *kept, the most recently used first
}

type kept struct {
	key    uint64
	tokens int
}

func newMemory(capacity int) memory {
	return memory{capacity: capacity, parts: make(map[uint64]*list.Element)}
}

// missing returns the tokens of a prompt that are not kept. Parts count only up to the first gap.
func (m *memory) missing(r *request) int {
	hit := true
	n := 0
	for i, key := range r.keys {
		el := m.parts[key]
		hit = hit && el != nil
		if hit {
			m.order.MoveToFront(el)
			continue
		}
		n += r.call.Parts[i].Tokens
	}
	return n
}

// keep stores all parts of a prompt.
func (m *memory) keep(r *request) {
	for i, key := range r.keys {
		if el := m.parts[key]; el != nil {
			m.order.MoveToFront(el)
			continue
		}
		tokens := r.call.Parts[i].Tokens
		m.parts[key] = m.order.PushFront(&kept{key, tokens})
		m.used += tokens
	}
	for m.used > m.capacity && m.order.Len() > 0 {
		el := m.order.Back()
		k := el.Value.(*kept)
		m.order.Remove(el)
		delete(m.parts, k.key)
		m.used -= k.tokens
	}
}

// full tells whether the engine takes no further request.
func (e *engine) full() bool {
	return e.running+len(e.waiting)+len(e.reads) >= e.w.dep.Engines.Slots+e.w.dep.Engines.Queue
}

// refuses tells whether a request of the role is refused now.
func (e *engine) refuses(reads bool) bool {
	return e.changing || e.full() || reads != (e.role == external.RolePrefill)
}

// read has the prompt read after those that wait.
func (e *engine) read(wk *work) {
	e.reads = append(e.reads, wk)
	e.nextRead()
}

func (e *engine) nextRead() {
	for len(e.reads) > 0 && !e.reading && !e.dark {
		wk := e.reads[0]
		e.reads = e.reads[1:]
		if wk.cancelled {
			continue
		}
		tokens := e.memory.missing(wk.request)
		e.w.stats.read += tokens
		e.w.stats.kept += wk.request.call.PromptTokens - tokens
		speed := e.w.dep.Engines.TokensPerMS
		if e.role == external.RoleDecode {
			speed /= 2
		}
		e.reading = true
		life := e.life
		e.w.sim.After(milliseconds(float64(tokens)/speed), func() {
			if e.life != life {
				return
			}
			e.reading = false
			e.memory.keep(wk.request)
			if !wk.cancelled {
				wk.then(true)
			}
			e.nextRead()
		})
	}
}

// generate starts the answer once there is a slot.
func (e *engine) generate(wk *work) {
	if e.running >= e.w.dep.Engines.Slots {
		e.waiting = append(e.waiting, wk)
		return
	}
	e.running++
	left, life := wk.request.events, e.life
	var event func()
	event = func() {
		if e.life != life {
			return
		}
		if wk.cancelled {
			e.release()
			return
		}
		wk.onEvent()
		if left--; left > 0 {
			e.w.sim.After(e.eventTime(), event)
			return
		}
		e.release()
		wk.then(true)
	}
	e.w.sim.After(time.Duration(e.w.dep.Engines.First), event)
}

func (e *engine) release() {
	e.running--
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !next.cancelled {
			e.generate(next)
			return
		}
	}
}

// eventTime is the time between two events of one stream. A prompt that is read at the same time takes
// its part of each step.
func (e *engine) eventTime() time.Duration {
	t := time.Duration(e.w.dep.Engines.EventBase) + time.Duration(e.running)*time.Duration(e.w.dep.Engines.EventPerRequest)
	if e.reading {
		t = t * 3 / 2
	}
	return t
}

// fetch moves a prompt from another engine. Moves of one engine run one after another.
func (e *engine) fetch(from *engine, wk *work, then func()) {
	tokens := e.memory.missing(wk.request)
	speed := e.w.dep.Engines.TokensMovedPerMS / e.w.linkFactor
	if from.dataCentre != e.dataCentre {
		speed /= 2
	}
	e.w.stats.moved += tokens
	start := max(e.w.sim.At, e.linkFree, from.linkFree)
	end := start + milliseconds(float64(tokens)/speed)
	e.linkFree, from.linkFree = end, end
	life := e.life
	e.w.sim.After(end-e.w.sim.At, func() {
		if e.life != life || wk.cancelled {
			return
		}
		e.memory.keep(wk.request)
		then()
	})
}

// change gives the engine another role. It takes no new work, ends what runs, and is back after the time
// that a change takes.
func (e *engine) change(role external.Role) {
	e.changing, e.awaySince = true, e.w.sim.At
	e.w.sim.After(time.Duration(e.w.dep.Engines.RoleChange), func() {
		e.role, e.changing = role, false
		e.away += e.w.sim.At - e.awaySince
		e.w.register(e)
	})
}

// fail makes the engine silent: what it had is lost, and requests to it get no answer.
func (e *engine) fail() {
	e.dark = true
	e.life++
	e.reads, e.waiting, e.running, e.reading = nil, nil, 0, false
}

func (e *engine) heal() {
	e.dark = false
	e.memory = newMemory(e.w.dep.Engines.Memory)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(math.Max(0, ms) * float64(time.Millisecond))
}
