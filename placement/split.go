package placement

import (
	"fmt"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// split is the number of engines in each role.
type split struct{ prefill, mixed, decode int }

func (s split) String() string {
	return fmt.Sprintf("%d prefill, %d mixed, %d decode", s.prefill, s.mixed, s.decode)
}

func (s split) count(r external.EngineRole) int {
	switch r {
	case external.EngineRolePrefill:
		return s.prefill
	case external.EngineRoleDecode:
		return s.decode
	default:
		return s.mixed
	}
}

func (s *split) add(r external.EngineRole, n int) {
	switch r {
	case external.EngineRolePrefill:
		s.prefill += n
	case external.EngineRoleDecode:
		s.decode += n
	default:
		s.mixed += n
	}
}

var roles = [...]external.EngineRole{external.EngineRolePrefill, external.EngineRoleMixed, external.EngineRoleDecode}

// pool is the state of the pool during one round.
type pool struct {
	current split
	// size counts the serving and the changing engines, changing only the latter.
	size     int
	changing int
	// movable counts, per role, the serving engines that have kept their role for the minimum dwell
	// time.
	movable split
	// excluded marks, by index, the engines whose roles must not change in this round. It does not
	// restrict changes of models.
	excluded []bool
}

func newPool(s *Snapshot, dwell time.Duration, now time.Time) *pool {
	p := &pool{excluded: make([]bool, len(s.Engines))}
	for i := range s.Engines {
		e := &s.Engines[i]
		switch e.State {
		case Changing:
			p.changing++
			p.excluded[i] = true
		case Serving:
			if now.Sub(e.Since) < dwell {
				p.excluded[i] = true
			} else {
				p.movable.add(e.Config.Role, 1)
			}
		default:
			p.excluded[i] = true
			continue
		}
		p.current.add(e.Config.Role, 1)
		p.size++
	}
	return p
}

// assumedDrainSeconds is the assumed drain time in the cost of a change of a decode or mixed engine:
// the longest time that such an engine takes to finish its work.
const assumedDrainSeconds = 15.0

// changeCost returns the engine time, in seconds, that a change of one engine takes out of service:
// the change itself and half of the drain, because a draining engine still works on its sequences.
// A prefill engine drains in about a second.
func (p *Planner) changeCost(from external.EngineRole) float64 {
	if from == external.EngineRolePrefill {
		return p.cfg.ChangeTime.Seconds() + 1
	}
	return p.cfg.ChangeTime.Seconds() + assumedDrainSeconds/2
}

// transitionCost returns the weighted cost of the changes from one split to another, in
// engine-seconds, including CostMargin.
func (p *Planner) transitionCost(from, to split, w Weights) float64 {
	cost := 0.0
	for _, r := range roles {
		if leaving := from.count(r) - to.count(r); leaving > 0 {
			cost += float64(leaving) * p.changeCost(r)
		}
	}
	return cost * w.RoleChanges * (1 + p.cfg.CostMargin)
}

// mixedPenaltySeconds is added to the weighted loss and cost of a split, in engine-seconds, for each
// mixed engine. Of two splits with equal losses, the one with more dedicated engines is chosen.
const mixedPenaltySeconds = 0.01

// roleChanges compares all splits and returns the changes to order now towards the best one.
func (p *Planner) roleChanges(s *Snapshot, pool *pool, w Weights, budget int) []Change {
	expected := p.forecast(p.cfg.ChangeTime)
	tables := p.fillLossTables(expected, pool.size)
	currentLoss := tables.expectedLoss(pool.current) * w.Goodput
	best, bestTotal, bestCost := pool.current, currentLoss, 0.0
	for prefill := 0; prefill <= pool.size; prefill++ {
		for mixed := 0; mixed <= pool.size-prefill; mixed++ {
			to := split{prefill, mixed, pool.size - prefill - mixed}
			if to.mixed == 0 && (to.prefill == 0 || to.decode == 0) || !pool.canReach(to) {
				continue
			}
			cost := p.transitionCost(pool.current, to, w)
			if cost >= bestTotal {
				continue
			}
			if total := tables.expectedLoss(to)*w.Goodput + cost + mixedPenaltySeconds*float64(mixed); total < bestTotal {
				best, bestTotal, bestCost = to, total, cost
			}
		}
	}
	if currentLoss-(bestTotal-bestCost) < p.cfg.MinLossReduction*currentLoss {
		best = pool.current
	}
	if best == pool.current {
		p.decision = fmt.Sprintf("keep %s: no change gains more than it costs, expected loss %.1f", best, currentLoss)
		return nil
	}
	gain := currentLoss - (bestTotal - bestCost)
	p.decision = fmt.Sprintf("towards %s: expected gain %.1f, cost %.1f engine-seconds (weighted); work forecast: prefill %.1f, decode %.1f engines",
		best, gain, bestCost, expected.long+expected.short, expected.decode)
	return p.selectChanges(s, pool, best, budget, gain, bestCost)
}

// canReach reports whether enough engines of each role are movable to reach a split.
func (p *pool) canReach(to split) bool {
	for _, r := range roles {
		if p.current.count(r)-to.count(r) > p.movable.count(r) {
			return false
		}
	}
	return true
}

// selectChanges picks the least loaded engines of the roles with a surplus and assigns them to the
// roles with a shortage.
func (p *Planner) selectChanges(s *Snapshot, pool *pool, to split, budget int, gain, cost float64) []Change {
	var out []Change
	current := pool.current
	for len(out) < budget && current != to {
		from, want := surplusAndShortage(current, to)
		i := leastLoaded(s, pool, from)
		if i < 0 {
			break
		}
		pool.excluded[i] = true
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

// surplusAndShortage returns the role with the largest surplus of engines and the one with the
// largest shortage.
func surplusAndShortage(current, to split) (from, want external.EngineRole) {
	most, least := 0, 0
	for _, r := range roles {
		diff := current.count(r) - to.count(r)
		if diff > most {
			most, from = diff, r
		}
		if diff < least {
			least, want = diff, r
		}
	}
	return from, want
}

// tokensPerSequence is the weight of a running sequence, in queued prefill tokens, when the loads
// of engines are compared.
const tokensPerSequence = 100

// leastLoaded returns the index of the least loaded engine of a role that may change, or -1.
func leastLoaded(s *Snapshot, pool *pool, role external.EngineRole) int {
	best, fewest := -1, 0.0
	for i := range s.Engines {
		e := &s.Engines[i]
		if pool.excluded[i] || e.Config.Role != role {
			continue
		}
		if tokens := e.PrefillTokens + tokensPerSequence*float64(e.Sequences); best < 0 || tokens < fewest {
			best, fewest = i, tokens
		}
	}
	return best
}
