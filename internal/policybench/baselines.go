package policybench

import (
	"math"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// base has the parts that the baselines share: a queue bound at the engine, and a request that
// meets a leaving engine is sent elsewhere.
type base struct {
	w *world
}

func (b *base) accept(_ *request, e *engine) string {
	if e.queued() >= queueBound {
		return "queue_full"
	}
	return ""
}

func (b *base) hopeless(*request, *engine) bool { return false }

func (b *base) retry(*request) bool                                        { return true }
func (b *base) firstToken(*request)                                        {}
func (b *base) finished(*request)                                          {}
func (b *base) cacheEvent(*engine, external.CacheEvent)                    {}
func (b *base) restarted(*engine)                                          {}
func (b *base) plan(*offered)                                              {}
func (b *base) report(*engine, uint64, time.Duration, external.EngineLoad) {}

// roundRobin sends prompts and answers to the engines of their role in turn.
type roundRobin struct {
	base

	prefill, decode int
}

func (p *roundRobin) choose(*request) (prefill, decode *engine, refusal string) {
	prefill = p.next(&p.prefill, external.RoleDecode)
	decode = p.next(&p.decode, external.RolePrefill)
	if prefill == nil || decode == nil {
		return nil, nil, "no_worker"
	}
	return prefill, decode, ""
}

func (p *roundRobin) next(at *int, not external.Role) *engine {
	for range p.w.engines {
		*at++
		if e := p.w.engines[*at%len(p.w.engines)]; e.state == serving && e.role != not {
			return e
		}
	}
	return nil
}

// leastLoaded sends to the engine with the least reported load and changes roles by a threshold
// rule: whenever the split by recent work differs from the current one, engines change at once.
type leastLoaded struct {
	base

	reports []external.EngineLoad
	recent  []offered
}

// thresholdWindow is the number of planning rounds over which the rule looks at the work.
const thresholdWindow = 10

func newLeastLoaded(w *world) *leastLoaded {
	return &leastLoaded{base: base{w: w}, reports: make([]external.EngineLoad, len(w.engines))}
}

func (p *leastLoaded) report(e *engine, _ uint64, _ time.Duration, l external.EngineLoad) {
	p.reports[e.index] = l
}

func (p *leastLoaded) choose(*request) (prefill, decode *engine, refusal string) {
	prefill = p.least(external.RoleDecode, func(l *external.EngineLoad) int64 { return l.PrefillTokens })
	decode = p.least(external.RolePrefill, func(l *external.EngineLoad) int64 { return int64(l.Running + l.Queued) })
	if prefill == nil || decode == nil {
		return nil, nil, "no_worker"
	}
	return prefill, decode, ""
}

// least breaks ties at random, so that equal reports do not send everything to one engine.
func (p *leastLoaded) least(not external.Role, load func(*external.EngineLoad) int64) *engine {
	var best *engine
	least, ties := int64(0), 0
	for _, e := range p.w.engines {
		if e.state != serving || e.role == not {
			continue
		}
		switch v := load(&p.reports[e.index]); {
		case best == nil || v < least:
			best, least, ties = e, v, 1
		case v == least:
			if ties++; p.w.noise.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

func (p *leastLoaded) plan(o *offered) {
	p.recent = append(p.recent, *o)
	if len(p.recent) < thresholdWindow {
		return
	}
	p.recent = p.recent[len(p.recent)-thresholdWindow:]
	prefill, decode := 0.0, 0.0
	for i := range p.recent {
		for _, k := range []struct {
			work *offeredKind
			kind *kind
		}{{&p.recent[i].long, &p.w.fleet.long}, {&p.recent[i].chat, &p.w.fleet.chat}} {
			prefill += k.work.prompt * p.w.fleet.prefillToken
			decode += k.work.requests * p.w.fleet.decodeWork(k.kind)
		}
	}
	if prefill+decode > 0 {
		p.follow(prefill / (prefill + decode))
	}
}

// follow changes engines towards a share of prefill engines.
func (p *leastLoaded) follow(share float64) {
	alive, have := 0, 0
	for _, e := range p.w.engines {
		if e.state == dead {
			continue
		}
		alive++
		if p.target(e) == external.RolePrefill {
			have++
		}
	}
	want := min(max(int(math.Round(share*float64(alive))), 1), alive-1)
	for _, e := range p.w.engines {
		if have == want {
			return
		}
		from, to, step := external.RolePrefill, external.RoleDecode, -1
		if have < want {
			from, to, step = to, from, 1
		}
		if e.state == serving && e.role == from && p.remaining(from) > 1 {
			p.w.order(e, to)
			have += step
		}
	}
}

func (p *leastLoaded) target(e *engine) external.Role {
	if e.state == serving {
		return e.role
	}
	return e.next
}

func (p *leastLoaded) remaining(r external.Role) int {
	n := 0
	for _, e := range p.w.engines {
		if e.state == serving && e.role == r {
			n++
		}
	}
	return n
}
