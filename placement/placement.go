// Package placement plans the roles and models of the engines of one pool.
//
// A Planner follows the offered work with a fast and a slow average, forecasts it, and compares
// all splits of the pool into prefill, mixed and decode engines. The expected loss of work of a
// split, weighted by the document's goodput weight, is set against the engine time that the
// changes to reach it take out of service, weighted by the role-change weight. Both are in
// engine-seconds. The package does no I/O and takes the time and the pool as arguments.
package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/load"
)

// Defaults of Config.
const (
	DefaultFast         = 8 * time.Second
	DefaultSlow         = 60 * time.Second
	DefaultHorizon      = 60 * time.Second
	DefaultMemory       = 60 * time.Second
	DefaultHedge        = 15 * time.Second
	DefaultTrend        = 0.5
	DefaultMargin       = 0.7
	DefaultDwell        = 30 * time.Second
	DefaultShareChange  = 0.3
	DefaultWarmUp       = 30 * time.Second
	DefaultChange       = 5 * time.Second
	DefaultShortPrefill = 512
	DefaultMixedUse     = 0.3
	DefaultMinRelief    = 0.15
)

// Config sets a Planner. Zero fields take the defaults.
type Config struct {
	// Fast and Slow are the time constants of the two averages of the offered work.
	Fast, Slow time.Duration
	// Horizon is how long the forecast work is expected to last.
	Horizon time.Duration
	// Memory is the weight, as a time, of the mixes seen in the last 20 minutes. It makes the
	// planner prefer a split that also suits a mix that is likely to return.
	Memory time.Duration
	// Hedge is the weight, as a time, of mixes that were not seen but may come. It keeps a long
	// calm from moving the whole pool to one mix.
	Hedge time.Duration
	// Trend damps the extrapolation: 0 is none, 1 is a straight line.
	Trend float64
	// Margin is the share by which a gain must exceed the cost of the changes.
	Margin float64
	// MinRelief is the share of the expected loss that changes must remove. In a pool that is
	// overloaded whatever its split, it keeps small differences from moving engines.
	MinRelief float64
	// Dwell is the least time that an engine keeps a role.
	Dwell time.Duration
	// ShareInChange bounds the share of the pool in change at a time. One is always allowed.
	ShareInChange float64
	// WarmUp is the time after the first round in which no role changes.
	WarmUp time.Duration
	// Change is how long a role change itself takes, without draining.
	Change time.Duration
	// ShortPrefill is the most prompt tokens that a decode engine prefills itself.
	ShortPrefill int
	// MixedUse is the part of a mixed engine that long prompts can use while it decodes.
	MixedUse float64
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		v *time.Duration
		d time.Duration
	}{
		{&c.Fast, DefaultFast},
		{&c.Slow, DefaultSlow},
		{&c.Horizon, DefaultHorizon},
		{&c.Memory, DefaultMemory},
		{&c.Hedge, DefaultHedge},
		{&c.Dwell, DefaultDwell},
		{&c.WarmUp, DefaultWarmUp},
		{&c.Change, DefaultChange},
	} {
		if *d.v <= 0 {
			*d.v = d.d
		}
	}
	for _, f := range []struct {
		v *float64
		d float64
	}{
		{&c.Trend, DefaultTrend},
		{&c.Margin, DefaultMargin},
		{&c.ShareInChange, DefaultShareChange},
		{&c.MixedUse, DefaultMixedUse},
		{&c.MinRelief, DefaultMinRelief},
	} {
		if *f.v <= 0 {
			*f.v = f.d
		}
	}
	if c.ShortPrefill <= 0 {
		c.ShortPrefill = DefaultShortPrefill
	}
	return c
}

// State is whether an engine can take work.
type State string

// States of engines. Changing engines count with the role that they will have; withdrawn and
// crashed engines do not count.
const (
	Serving   State = "serving"
	Changing  State = "changing"
	Withdrawn State = "withdrawn"
	Crashed   State = "crashed"
)

// Engine is one engine of the pool.
type Engine struct {
	ID    string
	State State
	// Config is what the engine has, or will have when its change is done.
	Config external.EngineConfig
	// Since is when the engine took its role.
	Since time.Time
	// Sequences and PrefillTokens are its current work, which a planned change lets finish.
	Sequences     int
	PrefillTokens float64
}

// KindWork is the work of one kind of request that was offered since the last round, including
// what was refused.
type KindWork struct {
	// Rank is the kind's rank in the document; 1 is the most important.
	Rank     int
	Requests float64
	// PromptTokens are the tokens to prefill after the expected cache hits.
	PromptTokens float64
	OutputTokens float64
	// FirstToken is the kind's latency target; zero means none.
	FirstToken time.Duration
}

// Snapshot is what the planner sees of the pool.
type Snapshot struct {
	Engines []Engine
	Offered []KindWork
	// Interval is the time over which Offered was counted.
	Interval time.Duration
	// Speed is the mean speed of the pool's engines.
	Speed load.Speed
	// BetweenTokens is the strictest latency target between tokens; zero means none.
	BetweenTokens time.Duration
	// SequencePieces and EnginePieces bound the sequences of an engine by its KV cache. Zero
	// means unknown.
	SequencePieces, EnginePieces float64
	// Models and Adapters are those that each engine of the pool should have.
	Models, Adapters []external.ModelVersion
	// LoadWait is the expected time to load a model or adapter, with the wait for the weight store.
	LoadWait func(external.ModelVersion) time.Duration
	// FixedRoles forbids role changes.
	FixedRoles bool
}

// Weights are those of the service document.
type Weights struct {
	Goodput     float64
	RoleChanges float64
}

// Change is a planned change of one engine.
type Change struct {
	Engine string
	Config external.EngineConfig
	// Gain and Cost are the weighted engine-seconds that led to the decision.
	Gain, Cost float64
	Reason     string
}

// Planner plans one pool. It is not safe for concurrent use: one goroutine runs the rounds.
type Planner struct {
	cfg      Config
	started  time.Time
	last     time.Time
	fast     demand
	slow     demand
	history  history
	decision string
	// slack is the time that long prompts can wait, relative to their own prefill time.
	slack float64
	// weights are the mean rank weights of long prompts, short prompts and answers.
	weights demand
	tables  losses
}

// New returns a planner.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), slack: initialSlack, weights: demand{1, 1, 1}}
}

// Explain says what the last round decided and why.
func (p *Planner) Explain() string { return p.decision }

// Plan runs one round and returns the changes to order now.
func (p *Planner) Plan(now time.Time, s *Snapshot, w Weights) []Change {
	if p.started.IsZero() {
		p.started = now
	}
	p.follow(now, p.measure(s))
	pool := newPool(s, p.cfg.Dwell, now)
	budget := p.changeBudget(pool)
	if pool.size == 0 {
		p.decision = "no engine is in service"
		return nil
	}
	changes := p.modelChanges(s, pool, &budget)
	if s.FixedRoles || now.Sub(p.started) < p.cfg.WarmUp || budget <= 0 {
		p.decision = p.holdReason(s, budget)
		return changes
	}
	return append(changes, p.roleChanges(s, pool, w, budget)...)
}

func (p *Planner) holdReason(s *Snapshot, budget int) string {
	switch {
	case s.FixedRoles:
		return "the document fixes the roles"
	case budget <= 0:
		return "the allowed share of the pool is in change"
	default:
		return "the averages are warming up"
	}
}

func (p *Planner) changeBudget(pool *pool) int {
	return max(1, int(p.cfg.ShareInChange*float64(pool.size))) - pool.changing
}

// modelChanges brings engines to the wanted models and adapters, one per round, so that the pool
// keeps its capacity and the weight store is not asked by all engines together.
func (p *Planner) modelChanges(s *Snapshot, pool *pool, budget *int) []Change {
	if len(s.Models) == 0 || *budget <= 0 {
		return nil
	}
	for i := range s.Engines {
		e := &s.Engines[i]
		if e.State != Serving {
			continue
		}
		missing, wait := missing(e, s)
		if missing == "" {
			continue
		}
		*budget--
		pool.taken[i] = true
		cfg := e.Config
		cfg.Models, cfg.Adapters = slices.Clone(s.Models), slices.Clone(s.Adapters)
		return []Change{{
			Engine: e.ID, Config: cfg, Cost: (p.cfg.Change + wait).Seconds(),
			Reason: fmt.Sprintf("%s has to be loaded, expected wait %s", missing, wait),
		}}
	}
	return nil
}

// missing returns the first wanted model or adapter that the engine lacks and the time to load
// everything that it lacks.
func missing(e *Engine, s *Snapshot) (string, time.Duration) {
	name, wait := "", time.Duration(0)
	check := func(wanted, have []external.ModelVersion) {
		for _, m := range wanted {
			if slices.Contains(have, m) {
				continue
			}
			if name == "" {
				name = m.Name + "@" + m.Version
			}
			if s.LoadWait != nil {
				wait += s.LoadWait(m)
			}
		}
	}
	check(s.Models, e.Config.Models)
	check(s.Adapters, e.Config.Adapters)
	return name, wait
}
