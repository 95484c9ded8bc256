package placement

import (
	"fmt"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// split is the number of engines per role.
type split struct{ prefill, mixed, decode int }

func (s split) String() string {
	return fmt.Sprintf("%d prefill, %d mixed, %d decode", s.prefill, s.mixed, s.decode)
}

func (s split) of(r external.Role) int {
	switch r {
	case external.RolePrefill:
		return s.prefill
	case external.RoleDecode:
		return s.decode
	default:
		return s.mixed
	}
}

func (s *split) add(r external.Role, n int) {
	switch r {
	case external.RolePrefill:
		s.prefill += n
	case external.RoleDecode:
		s.decode += n
	default:
		s.mixed += n
	}
}

var roles = [...]external.Role{external.RolePrefill, external.RoleMixed, external.RoleDecode}

// pool is the part of a snapshot that a round works on.
type pool struct {
	current  split
	size     int
	changing int
	// movable are serving engines beyond their dwell time, per role.
	movable split
	taken   []bool
}

func newPool(s *Snapshot, dwell time.Duration, now time.Time) *pool {
	p := &pool{taken: make([]bool, len(s.Engines))}
	for i := range s.Engines {
		e := &s.Engines[i]
		switch e.State {
		case Changing:
			p.changing++
			p.taken[i] = true
		case Serving:
			if now.Sub(e.Since) < dwell {
				p.taken[i] = true
			} else {
				p.movable.add(e.Config.Role, 1)
			}
		default:
			p.taken[i] = true
			continue
		}
		p.current.add(e.Config.Role, 1)
		p.size++
	}
	return p
}

// drainSeconds bounds the time that an engine takes to finish its work before a change. It is
// derived from the engine's own sequences below this bound.
const drainSeconds = 15.0

// changeCost is the engine time that a change of one engine takes out of service: half of the
// drain, because the engine still works on what it has, and the change itself.
func (p *Planner) changeCost(from external.Role) float64 {
	if from == external.RolePrefill {
		return p.cfg.Change.Seconds() + 1
	}
	return p.cfg.Change.Seconds() + drainSeconds/2
}

func (p *Planner) moveCost(from, to split, w Weights) float64 {
	cost := 0.0
	for _, r := range roles {
		if leave := from.of(r) - to.of(r); leave > 0 {
			cost += float64(leave) * p.changeCost(r)
		}
	}
	return cost * w.RoleChanges * (1 + p.cfg.Margin)
}

// tieSeconds is the preference, per mixed engine, for a split with dedicated engines when the
// losses are equal.
const tieSeconds = 0.01

// roleChanges compares all splits and returns the first steps towards the best one.
func (p *Planner) roleChanges(s *Snapshot, pool *pool, w Weights, budget int) []Change {
	f := p.forecast(p.cfg.Change)
	l := p.losses(f, pool.size)
	stay := l.value(pool.current) * w.Goodput
	best, bestTotal, bestCost := pool.current, stay, 0.0
	for prefill := 0; prefill <= pool.size; prefill++ {
		for mixed := 0; mixed <= pool.size-prefill; mixed++ {
			to := split{prefill, mixed, pool.size - prefill - mixed}
			if to.mixed == 0 && (to.prefill == 0 || to.decode == 0) || !pool.reachable(to) {
				continue
			}
			cost := p.moveCost(pool.current, to, w)
			if cost >= bestTotal {
				continue
			}
			if total := l.value(to)*w.Goodput + cost + tieSeconds*float64(mixed); total < bestTotal {
				best, bestTotal, bestCost = to, total, cost
			}
		}
	}
	if stay-(bestTotal-bestCost) < p.cfg.MinRelief*stay {
		best = pool.current
	}
	if best == pool.current {
		p.decision = fmt.Sprintf("keep %s: no change gains more than it costs, expected loss %.1f", best, stay)
		return nil
	}
	gain := stay - (bestTotal - bestCost)
	p.decision = fmt.Sprintf("towards %s: expected gain %.1f, cost %.1f engine-seconds (weighted); work forecast: prefill %.1f, decode %.1f engines",
		best, gain, bestCost, f.long+f.short, f.decode)
	return p.steps(s, pool, best, budget, gain, bestCost)
}

// reachable tells whether enough engines of each role are beyond their dwell time.
func (p *pool) reachable(to split) bool {
	for _, r := range roles {
		if p.current.of(r)-to.of(r) > p.movable.of(r) {
			return false
		}
	}
	return true
}

// steps picks the engines with the least work and gives them the roles that are short.
func (p *Planner) steps(s *Snapshot, pool *pool, to split, budget int, gain, cost float64) []Change {
	var out []Change
	current := pool.current
	for len(out) < budget && current != to {
		from, want := surplus(current, to)
		i := lightest(s, pool, from)
		if i < 0 {
			break
		}
		pool.taken[i] = true
		current.add(from, -1)
		current.add(want, 1)
		cfg := s.Engines[i].Config
		cfg.Role = want
		out = append(out, Change{
			Engine: s.Engines[i].ID, Config: cfg, Gain: gain, Cost: cost,
			Reason: fmt.Sprintf("%s to %s, %s", from, want, p.decision),
		})
	}
	return out
}

// surplus returns a role with too many engines and the role that is shortest.
func surplus(current, to split) (from, want external.Role) {
	most, least := 0, 0
	for _, r := range roles {
		diff := current.of(r) - to.of(r)
		if diff > most {
			most, from = diff, r
		}
		if diff < least {
			least, want = diff, r
		}
	}
	return from, want
}

// sequenceTokens weighs a running sequence against queued prefill tokens when engines are compared.
const sequenceTokens = 100

func lightest(s *Snapshot, pool *pool, role external.Role) int {
	best, work := -1, 0.0
	for i := range s.Engines {
		e := &s.Engines[i]
		if pool.taken[i] || e.Config.Role != role {
			continue
		}
		if v := e.PrefillTokens + sequenceTokens*float64(e.Sequences); best < 0 || v < work {
			best, work = i, v
		}
	}
	return best
}
