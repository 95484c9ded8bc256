package policybench

import (
	"math"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// baseline is embedded by the baseline policies. It limits the queue of an engine and always allows
// retries; the remaining methods do nothing.
type baseline struct {
	sim *simulation
}

func (b *baseline) accept(_ *request, e *engine) string {
	if e.queuedRequests() >= maxQueuedRequests {
		return "queue_full"
	}
	return ""
}

func (b *baseline) tooLate(*request, *engine) bool { return false }

func (b *baseline) allowRetry(*request) bool                                   { return true }
func (b *baseline) firstTokenDelivered(*request)                               {}
func (b *baseline) attemptEnded(*request)                                      {}
func (b *baseline) cacheEvent(*engine, external.CacheEvent)                    {}
func (b *baseline) stateLost(*engine)                                          {}
func (b *baseline) plan(*offeredWork)                                          {}
func (b *baseline) report(*engine, uint64, time.Duration, external.EngineLoad) {}

// roundRobin sends prefill and decode work in turn to the serving engines whose role allows it.
type roundRobin struct {
	baseline

	prefillPosition, decodePosition int
}

func (p *roundRobin) choose(*request) (prefill, decode *engine, refusal string) {
	prefill = p.nextEngine(&p.prefillPosition, external.EngineRoleDecode)
	decode = p.nextEngine(&p.decodePosition, external.EngineRolePrefill)
	if prefill == nil || decode == nil {
		return nil, nil, "no_worker"
	}
	return prefill, decode, ""
}

func (p *roundRobin) nextEngine(position *int, excluded external.EngineRole) *engine {
	for range p.sim.engines {
		*position++
		if e := p.sim.engines[*position%len(p.sim.engines)]; e.state == serving && e.role != excluded {
			return e
		}
	}
	return nil
}

// leastLoaded routes to the engine with the lowest reported load. It changes roles as soon as the split
// that recent work calls for differs from the current one. Tables and plots call it "threshold".
type leastLoaded struct {
	baseline

	reports []external.EngineLoad
	recent  []offeredWork
}

// recentRounds is the number of planning rounds over which recent work is summed.
const recentRounds = 10

func newLeastLoaded(sim *simulation) *leastLoaded {
	return &leastLoaded{baseline: baseline{sim: sim}, reports: make([]external.EngineLoad, len(sim.engines))}
}

func (p *leastLoaded) report(e *engine, _ uint64, _ time.Duration, l external.EngineLoad) {
	p.reports[e.index] = l
}

func (p *leastLoaded) choose(*request) (prefill, decode *engine, refusal string) {
	prefill = p.leastLoadedEngine(external.EngineRoleDecode, func(l *external.EngineLoad) int64 { return l.PrefillTokens })
	decode = p.leastLoadedEngine(external.EngineRolePrefill, func(l *external.EngineLoad) int64 { return int64(l.Running + l.Queued) })
	if prefill == nil || decode == nil {
		return nil, nil, "no_worker"
	}
	return prefill, decode, ""
}

// leastLoadedEngine returns the serving engine with the lowest load among those without the excluded
// role. It breaks ties at random, so that equal reports do not direct all requests to one engine.
func (p *leastLoaded) leastLoadedEngine(excluded external.EngineRole, load func(*external.EngineLoad) int64) *engine {
	var best *engine
	lowest, ties := int64(0), 0
	for _, e := range p.sim.engines {
		if e.state != serving || e.role == excluded {
			continue
		}
		switch v := load(&p.reports[e.index]); {
		case best == nil || v < lowest:
			best, lowest, ties = e, v, 1
		case v == lowest:
			if ties++; p.sim.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

func (p *leastLoaded) plan(offered *offeredWork) {
	p.recent = append(p.recent, *offered)
	if len(p.recent) < recentRounds {
		return
	}
	p.recent = p.recent[len(p.recent)-recentRounds:]
	prefill, decode := 0.0, 0.0
	for i := range p.recent {
		for _, k := range []struct {
			work *kindWork
			kind *kind
		}{{&p.recent[i].long, &p.sim.fleet.long}, {&p.recent[i].chat, &p.sim.fleet.chat}} {
			prefill += k.work.promptTokens * p.sim.fleet.prefillSecondsPerToken
			decode += k.work.requests * p.sim.fleet.decodeWork(k.kind)
		}
	}
	if prefill+decode > 0 {
		p.rebalance(prefill / (prefill + decode))
	}
}

// rebalance orders role changes until the prefill role has prefillShare of the engines that have not
// crashed. It does not take the last serving engine out of a role.
func (p *leastLoaded) rebalance(prefillShare float64) {
	alive, currentPrefill := 0, 0
	for _, e := range p.sim.engines {
		if e.state == crashed {
			continue
		}
		alive++
		if p.targetRole(e) == external.EngineRolePrefill {
			currentPrefill++
		}
	}
	desiredPrefill := min(max(int(math.Round(prefillShare*float64(alive))), 1), alive-1)
	for _, e := range p.sim.engines {
		if currentPrefill == desiredPrefill {
			return
		}
		from, to, step := external.EngineRolePrefill, external.EngineRoleDecode, -1
		if currentPrefill < desiredPrefill {
			from, to, step = to, from, 1
		}
		if e.state == serving && e.role == from && p.countServing(from) > 1 {
			p.sim.orderRoleChange(e, to)
			currentPrefill += step
		}
	}
}

func (p *leastLoaded) targetRole(e *engine) external.EngineRole {
	if e.state == serving {
		return e.role
	}
	return e.nextRole
}

func (p *leastLoaded) countServing(r external.EngineRole) int {
	n := 0
	for _, e := range p.sim.engines {
		if e.state == serving && e.role == r {
			n++
		}
	}
	return n
}
