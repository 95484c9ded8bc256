// Package placement plans the roles and models of the engines of one pool.
//
// A Planner keeps a fast and a slow moving average of the offered work, forecasts the work, and
// compares all splits of the pool into prefill, mixed and decode engines. It weighs the expected
// loss of work under a split against the engine time that is out of service during the changes to
// reach that split. Both are in engine-seconds: the loss is multiplied by the document's goodput
// weight and the engine time by its role-change weight. The package does no I/O; the time and the
// state of the pool are arguments.
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
	DefaultFastTimeConstant  = 8 * time.Second
	DefaultSlowTimeConstant  = 60 * time.Second
	DefaultHorizon           = 60 * time.Second
	DefaultHistoryWeight     = 60 * time.Second
	DefaultHedgeWeight       = 15 * time.Second
	DefaultTrendGain         = 0.5
	DefaultCostMargin        = 0.7
	DefaultMinDwell          = 30 * time.Second
	DefaultMaxChangingShare  = 0.3
	DefaultWarmUp            = 30 * time.Second
	DefaultChangeTime        = 5 * time.Second
	DefaultMaxShortPrefill   = 512
	DefaultMixedPrefillShare = 0.3
	DefaultMinLossReduction  = 0.15
)

// Config configures a Planner. Fields that are zero or negative take the defaults.
type Config struct {
	// FastTimeConstant and SlowTimeConstant are the time constants of the two exponential moving
	// averages of the offered work.
	FastTimeConstant, SlowTimeConstant time.Duration
	// Horizon is the time for which the forecast work is expected to last.
	Horizon time.Duration
	// HistoryWeight is the time for which the mean of the last 20 minutes' demands counts in the
	// expected loss, beside Horizon. It makes the planner prefer a split that also suits a mix of
	// work that is likely to return.
	HistoryWeight time.Duration
	// HedgeWeight is the time for which mixes of work that were not seen but may occur count in the
	// expected loss. It prevents a long period with a steady mix from specialising the whole pool
	// for that mix.
	HedgeWeight time.Duration
	// TrendGain multiplies the slope of the extrapolation: 1 extrapolates linearly, smaller
	// values follow the slope less.
	TrendGain float64
	// CostMargin is the share by which a gain must exceed the cost of the changes.
	CostMargin float64
	// MinLossReduction is the least share of the expected loss that changes must remove. If a pool
	// is overloaded under every split, this prevents role changes for small differences.
	MinLossReduction float64
	// MinDwell is the minimum time that an engine keeps a role.
	MinDwell time.Duration
	// MaxChangingShare limits the share of the pool that may be changing at the same time. At least
	// one engine may always be changing.
	MaxChangingShare float64
	// WarmUp is the time after the first round during which no roles change.
	WarmUp time.Duration
	// ChangeTime is the duration of a role change, without draining.
	ChangeTime time.Duration
	// MaxShortPrefill is the maximum number of prompt tokens that a decode engine prefills itself.
	MaxShortPrefill int
	// MixedPrefillShare is the share of the spare capacity of a mixed engine that counts towards
	// prefill.
	MixedPrefillShare float64
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&c.FastTimeConstant, DefaultFastTimeConstant},
		{&c.SlowTimeConstant, DefaultSlowTimeConstant},
		{&c.Horizon, DefaultHorizon},
		{&c.HistoryWeight, DefaultHistoryWeight},
		{&c.HedgeWeight, DefaultHedgeWeight},
		{&c.MinDwell, DefaultMinDwell},
		{&c.WarmUp, DefaultWarmUp},
		{&c.ChangeTime, DefaultChangeTime},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	for _, f := range []struct {
		value    *float64
		fallback float64
	}{
		{&c.TrendGain, DefaultTrendGain},
		{&c.CostMargin, DefaultCostMargin},
		{&c.MaxChangingShare, DefaultMaxChangingShare},
		{&c.MixedPrefillShare, DefaultMixedPrefillShare},
		{&c.MinLossReduction, DefaultMinLossReduction},
	} {
		if *f.value <= 0 {
			*f.value = f.fallback
		}
	}
	if c.MaxShortPrefill <= 0 {
		c.MaxShortPrefill = DefaultMaxShortPrefill
	}
	return c
}

// State tells whether an engine can take work.
type State string

// States of engines. A changing engine counts with its new role. Withdrawn and crashed engines do
// not count. Crashed also stands for engines that are unreachable, have no models or cannot be given
// orders.
const (
	Serving   State = "serving"
	Changing  State = "changing"
	Withdrawn State = "withdrawn"
	Crashed   State = "crashed"
)

// Engine is the state of one engine of the pool.
type Engine struct {
	ID    string
	State State
	// Config is the engine's configuration, or its next one while the engine is changing.
	Config external.EngineConfig
	// Since is the time from which MinDwell is counted, for example the engine's last change of role
	// or the last restart of its sidecar.
	Since time.Time
	// Sequences and PrefillTokens are the engine's unfinished work. The engine finishes it before
	// it changes its role.
	Sequences     int
	PrefillTokens float64
}

// KindWork is the work of one kind of request. In a Snapshot it is the work offered since the last
// round, including refused requests. Callers also use it for totals since the start of a process.
type KindWork struct {
	// Rank is the kind's rank in the service document; 1 is the most important. 0 counts as 1.
	Rank     int
	Requests float64
	// PromptTokens is the number of tokens to prefill, without those that are expected in the
	// prefix cache.
	PromptTokens float64
	OutputTokens float64
	// FirstToken is the kind's latency target for the first token. Zero means none.
	FirstToken time.Duration
}

// Snapshot describes the pool for one round.
type Snapshot struct {
	Engines []Engine
	Offered []KindWork
	// Interval is the time during which Offered was counted.
	Interval time.Duration
	// Speed is the mean speed of the pool's engines.
	Speed load.Speed
	// BetweenTokens is the strictest latency target between two tokens. Zero means none.
	BetweenTokens time.Duration
	// SequencePieces is the number of KV cache pieces that a sequence needs, and EnginePieces the
	// number that an engine has. They limit the decode batch size. Zero means unknown.
	SequencePieces, EnginePieces float64
	// Models and Adapters are those that every engine of the pool should have loaded.
	Models, Adapters []external.ModelVersion
	// LoadWait returns the expected time to load a model or adapter, including the wait for the
	// weight store. It may be nil.
	LoadWait func(external.ModelVersion) time.Duration
	// FixedRoles forbids role changes.
	FixedRoles bool
}

// Weights are the planning weights of the service document.
type Weights struct {
	Goodput     float64
	RoleChanges float64
}

// Change is a planned configuration change of one engine.
type Change struct {
	Engine string
	Config external.EngineConfig
	// Gain and Cost led to the decision. For a role change they are those of the whole transition
	// to the new split, in engine-seconds: both are multiplied by the planning weights, and Cost
	// includes CostMargin. For a change of models, Gain is 0 and Cost the expected time in seconds.
	Gain, Cost float64
	Reason     string
}

// Planner plans one pool. It is not safe for concurrent use: one goroutine runs the rounds.
type Planner struct {
	cfg       Config
	started   time.Time
	lastRound time.Time
	// fastDemand and slowDemand are the moving averages of the demand.
	fastDemand workParts
	slowDemand workParts
	history    history
	decision   string
	// slack is the moving average of the time that a long prompt can wait before prefill, relative
	// to its own prefill time.
	slack float64
	// rankWeights are the mean rank weights of long prompts, short prompts and decoding.
	rankWeights workParts
	// tables is reused by every round to avoid allocations.
	tables lossTables
}

// New returns a planner with the given configuration.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), slack: initialSlack, rankWeights: workParts{1, 1, 1}}
}

// Explain returns the last round's decision about roles and its reason.
func (p *Planner) Explain() string { return p.decision }

// Plan runs one round and returns the changes to order now.
func (p *Planner) Plan(now time.Time, s *Snapshot, w Weights) []Change {
	if p.started.IsZero() {
		p.started = now
	}
	p.updateAverages(now, p.measureDemand(s))
	pool := newPool(s, p.cfg.MinDwell, now)
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

// changeBudget returns the number of engines that may start to change in this round. It is negative
// if more engines are changing than the limit allows.
func (p *Planner) changeBudget(pool *pool) int {
	return max(1, int(p.cfg.MaxChangingShare*float64(pool.size))) - pool.changing
}

// modelChanges returns the change of at most one engine that lacks a wanted model or adapter, and
// takes it from the budget. Only one engine changes per round, so that the pool keeps its capacity
// and the engines do not all load from the weight store at the same time.
func (p *Planner) modelChanges(s *Snapshot, pool *pool, budget *int) []Change {
	if len(s.Models) == 0 || *budget <= 0 {
		return nil
	}
	for i := range s.Engines {
		e := &s.Engines[i]
		if e.State != Serving {
			continue
		}
		missing, wait := missingModels(e, s)
		if missing == "" {
			continue
		}
		*budget--
		pool.excluded[i] = true
		cfg := e.Config
		cfg.Models, cfg.Adapters = slices.Clone(s.Models), slices.Clone(s.Adapters)
		return []Change{{
			Engine: e.ID, Config: cfg, Cost: (p.cfg.ChangeTime + wait).Seconds(),
			Reason: fmt.Sprintf("%s has to be loaded, expected wait %s", missing, wait),
		}}
	}
	return nil
}

// missingModels returns the first wanted model or adapter that the engine lacks, and the time to
// load all that it lacks.
func missingModels(e *Engine, s *Snapshot) (string, time.Duration) {
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
