package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/external"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/placement"
)

var (
	start   = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	weights = placement.Weights{Goodput: 1, RoleChanges: 1}
	speed   = load.Speed{PrefillSecondsPerToken: 1e-4, StepSeconds: 0.018, StepSecondsPerSequence: 6e-4, ChunkTokens: 256}
)

func snapshot(prefill, decode int, longRate, chatRate float64) *placement.Snapshot {
	s := &placement.Snapshot{
		Interval: time.Second, Speed: speed, BetweenTokens: 71 * time.Millisecond,
		Offered: []placement.KindWork{
			{Requests: longRate, PromptTokens: longRate * 3000, OutputTokens: longRate * 24},
			{Requests: chatRate, PromptTokens: chatRate * 200, OutputTokens: chatRate * 250},
		},
	}
	for i := range prefill + decode {
		role := external.EngineRolePrefill
		if i >= prefill {
			role = external.EngineRoleDecode
		}
		s.Engines = append(s.Engines, placement.Engine{
			ID: fmt.Sprint("e", i), State: placement.Serving, Since: start.Add(-time.Hour),
			Config: external.EngineConfig{Role: role},
		})
	}
	return s
}

// runRounds applies the planned changes immediately and returns them all.
func runRounds(p *placement.Planner, s *placement.Snapshot, w placement.Weights, from, rounds int) (all []placement.Change) {
	for i := from; i < from+rounds; i++ {
		now := start.Add(time.Duration(i) * time.Second)
		for _, c := range p.Plan(now, s, w) {
			all = append(all, c)
			for k := range s.Engines {
				if s.Engines[k].ID == c.Engine {
					s.Engines[k].Config, s.Engines[k].Since = c.Config, now
				}
			}
		}
	}
	return all
}

// Guards against role changes while the split serves the mix of work, and against a planner that
// does not adapt the split when the mix changes.
func TestFollowsTheMix(t *testing.T) {
	p := placement.New(placement.Config{})
	s := snapshot(7, 4, 15, 5)
	assert.Empty(t, runRounds(p, s, weights, 0, 300))
	s.Offered = snapshot(0, 0, 3, 35).Offered
	changes := runRounds(p, s, weights, 300, 120)
	require.NotEmpty(t, changes)
	for _, c := range changes {
		assert.NotEqual(t, external.EngineRolePrefill, c.Config.Role)
		assert.NotEmpty(t, c.Reason)
	}
	assert.Empty(t, runRounds(p, s, weights, 420, 300), "settled")
}

// Guards against weights that have no effect: with a higher weight of role changes, there must be
// fewer of them.
func TestWeights(t *testing.T) {
	count := func(w placement.Weights) int {
		p, s := placement.New(placement.Config{}), snapshot(7, 4, 18, 5)
		runRounds(p, s, w, 0, 100)
		s.Offered = snapshot(0, 0, 8, 26).Offered
		return len(runRounds(p, s, w, 100, 200))
	}
	assert.Greater(t, count(placement.Weights{Goodput: 4, RoleChanges: 1}), count(placement.Weights{Goodput: 1, RoleChanges: 20}))
}

// Guards against more changing engines than the limit, and against changes of engines that are not
// serving or within their minimum dwell time. If a round changes all engines in service, which the
// limit allows only if there is one, the pool must still be able to prefill and to decode.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := placement.New(placement.Config{})
		n := rapid.IntRange(2, 32).Draw(t, "engines")
		s := snapshot(n/2, n-n/2, 0, 0)
		for i := range 60 {
			now := start.Add(time.Duration(i) * time.Second)
			if i%10 == 0 {
				scale := float64(n) / 10
				s.Offered = snapshot(0, 0, scale*rapid.Float64Range(0, 40).Draw(t, "long"), scale*rapid.Float64Range(0, 80).Draw(t, "chat")).Offered
				for k := range s.Engines {
					s.Engines[k].State = rapid.SampledFrom([]placement.State{
						placement.Serving, placement.Serving, placement.Changing, placement.Withdrawn, placement.Crashed,
					}).Draw(t, "state")
				}
			}
			alive, changing := 0, 0
			byID := map[string]*placement.Engine{}
			for k := range s.Engines {
				e := &s.Engines[k]
				byID[e.ID] = e
				if e.State == placement.Serving || e.State == placement.Changing {
					alive++
				}
				if e.State == placement.Changing {
					changing++
				}
			}
			changes := p.Plan(now, s, weights)
			if len(changes) > 0 {
				require.LessOrEqual(t, len(changes)+changing, max(1, int(placement.DefaultMaxChangingShare*float64(alive))))
			}
			for _, c := range changes {
				e := byID[c.Engine]
				require.Equal(t, placement.Serving, e.State)
				require.GreaterOrEqual(t, now.Sub(e.Since), placement.DefaultMinDwell)
				e.Config, e.Since = c.Config, now
			}
			canPrefill, canDecode := 0, 0
			for _, e := range byID {
				if e.State == placement.Serving || e.State == placement.Changing {
					if e.Config.Role != external.EngineRoleDecode {
						canPrefill++
					}
					if e.Config.Role != external.EngineRolePrefill {
						canDecode++
					}
				}
			}
			if len(changes) > 0 && changing == 0 && len(changes) == alive {
				require.Positive(t, canPrefill)
				require.Positive(t, canDecode)
			}
		}
	})
}

// Guards against engines that keep an old model version, and against loading a new one on all
// engines at once.
func TestModels(t *testing.T) {
	s := snapshot(2, 2, 1, 1)
	s.Models = []external.ModelVersion{{Name: "halte", Version: "2"}}
	s.LoadWait = func(external.ModelVersion) time.Duration { return 40 * time.Second }
	s.FixedRoles = true
	s.Engines[1].Config.Models = s.Models
	p := placement.New(placement.Config{})
	changes := p.Plan(start, s, weights)
	require.Len(t, changes, 1)
	assert.Equal(t, "e0", changes[0].Engine)
	assert.Equal(t, s.Models, changes[0].Config.Models)
	assert.Equal(t, external.EngineRolePrefill, changes[0].Config.Role)
	assert.InDelta(t, 45, changes[0].Cost, 0.1)
	assert.Len(t, runRounds(p, s, weights, 1, 10), 3)
}

// The target is less than 1 ms per round for a pool of 32 engines.
func BenchmarkPlan(b *testing.B) {
	p, s := placement.New(placement.Config{}), snapshot(16, 16, 50, 15)
	runRounds(p, s, weights, 0, 1500)
	s.Offered = snapshot(0, 0, 10, 100).Offered
	b.ReportAllocs()
	i := 1500
	for b.Loop() {
		p.Plan(start.Add(time.Duration(i)*time.Second), s, weights)
		i++
	}
}
