package policybench

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/quetzallug/quetzallug/placement"
)

// Names of the policies. LeastLoaded appears as "threshold" in tables and plots.
const (
	RoundRobin  = "round-robin"
	LeastLoaded = "threshold"
	Quetzallug  = "quetzallug"
	Hindsight   = "hindsight"
)

// Policies lists all policies in the order of the tables and plots.
var Policies = []string{RoundRobin, LeastLoaded, Quetzallug, Hindsight}

// Options selects what is run. Empty lists of workloads, fleets and policies mean all.
type Options struct {
	// Seeds is the number of seeds per case; they are counted from 1.
	Seeds int
	// Parallel is the number of runs at a time.
	Parallel  int
	Workloads []string
	Fleets    []string
	Policies  []string
	// ReportAges lists the ages of the load reports to run each workload with; empty means that only
	// the runs of Overload take place.
	ReportAges []time.Duration
	// Overload adds runs at several multiples of the nominal capacity.
	Overload bool
}

// Case is a policy on a workload of a fleet, with load reports of a given age.
type Case struct {
	Fleet, Workload, Policy string
	ReportAge               time.Duration
	// Weights is the name of the fleet whose weights the planner uses.
	Weights string

	fleet    *fleet
	workload workload
	weights  placement.Weights
}

func (c *Case) key() string {
	return fmt.Sprint(c.Fleet, " ", c.Workload, " ", c.Policy, " ", c.Weights, " ", c.ReportAge)
}

// Result holds the measurements of one run of a case. Requests that arrive during the warm-up are not
// counted.
type Result struct {
	Seed int
	// Goodput is the share, from 0 to 1, of the offered requests that were answered within all
	// targets; LongGoodput and ChatGoodput are that share by kind.
	Goodput, LongGoodput, ChatGoodput float64
	// GoodPerSecond is the number of requests answered within all targets, per second.
	GoodPerSecond float64
	// FirstTokenP95 is over the complete answers, BetweenTokensP95 over the mean interval between the
	// tokens of each complete answer.
	FirstTokenP95, BetweenTokensP95 time.Duration
	// RoleChanges counts the ordered role changes. EngineTimeLost is the time from the order to the end
	// of the completed ones, summed over the engines. Both include the warm-up.
	RoleChanges    int
	EngineTimeLost time.Duration
	// Refusals counts the refused requests by reason. Keys in parentheses count complete answers that
	// missed a target.
	Refusals map[string]int
	// Offered is the number of requests, answered or not.
	Offered int
}

// Run simulates all cases with all seeds. Results are in the order of the cases and the seeds and do
// not depend on scheduling.
func Run(ctx context.Context, o Options) ([]Case, [][]Result, error) {
	cases := o.cases()
	results := make([][]Result, len(cases))
	// The results of Hindsight and RoundRobin do not depend on the age of load reports, so one run
	// serves all ages.
	shared := make(map[string][]Result)
	table := &hindsightTable{splits: make(map[hindsightKey]*hindsightEntry)}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, o.Parallel))
	for i := range cases {
		if c := &cases[i]; c.Policy == Hindsight || c.Policy == RoundRobin {
			key := c.Fleet + " " + c.Workload + " " + c.Policy
			if r, ok := shared[key]; ok {
				results[i] = r
				continue
			}
			shared[key] = make([]Result, o.Seeds)
			results[i] = shared[key]
		} else {
			results[i] = make([]Result, o.Seeds)
		}
		for s := range o.Seeds {
			g.Go(func() error {
				if err := ctx.Err(); err != nil {
					return err
				}
				results[i][s] = cases[i].run(s, table)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, nil, fmt.Errorf("run cases: %w", err)
	}
	return cases, results, nil
}

func selected(list []string, name string) bool {
	if len(list) == 0 {
		return true
	}
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}

func (o *Options) cases() []Case {
	var out []Case
	for _, f := range fleets {
		if !selected(o.Fleets, f.name) {
			continue
		}
		for _, l := range workloads {
			if !selected(o.Workloads, l.name) {
				continue
			}
			for _, reportAge := range o.ReportAges {
				out = append(out, o.casesFor(f, l, reportAge)...)
			}
		}
		if o.Overload {
			for _, utilisation := range []float64{0.6, 0.8, 1, 1.2, 1.5, 2} {
				l := overload(utilisation)
				l.name = fmt.Sprintf("load-%.1fx", utilisation)
				out = append(out, o.casesFor(f, l, time.Second)...)
			}
		}
	}
	return out
}

func (o *Options) casesFor(f *fleet, l workload, reportAge time.Duration) []Case {
	var out []Case
	for _, p := range Policies {
		if !selected(o.Policies, p) {
			continue
		}
		out = append(out, Case{Fleet: f.name, Workload: l.name, Policy: p, ReportAge: reportAge, Weights: f.name, fleet: f, workload: l, weights: f.weights})
		if p != Quetzallug || !l.mixShifts {
			continue
		}
		for _, other := range fleets {
			if other != f {
				out = append(out, Case{Fleet: f.name, Workload: l.name, Policy: p, ReportAge: reportAge, Weights: other.name, fleet: f, workload: l, weights: other.weights})
			}
		}
	}
	return out
}

func (c *Case) run(seed int, table *hindsightTable) Result {
	s := uint64(seed + 1)
	initial := c.fleet.split(c.workload.meanShare())
	reportAge := c.ReportAge
	if c.Policy == Hindsight {
		// The upper bound gets current load reports.
		reportAge = 0
	}
	sim := newSimulation(c.fleet, &c.workload, reportAge, s, initial)
	var policy policy
	switch c.Policy {
	case RoundRobin:
		policy = &roundRobin{baseline: baseline{sim: sim}}
	case LeastLoaded:
		policy = newLeastLoaded(sim)
	case Quetzallug:
		policy = newQuetzallugPolicy(sim, placement.New(placement.Config{ChangeTime: changeTime}), c.weights)
	default:
		b := &hindsight{quetzallugPolicy: newQuetzallugPolicyWithCurrentReports(sim, c.weights), bestSplit: table.bestSplits(c.fleet, &c.workload)}
		sim.After(0, func() { b.plan(nil) })
		policy = b
	}
	stats := sim.run(policy, s)
	offered := 0
	for _, n := range stats.offeredByKind {
		offered += n
	}
	return Result{
		Seed: seed + 1, Goodput: stats.goodput(""), LongGoodput: stats.goodput(c.fleet.long.name), ChatGoodput: stats.goodput(c.fleet.chat.name),
		GoodPerSecond: stats.goodput("") * float64(offered) / stats.duration.Seconds(),
		FirstTokenP95: quantile(stats.firstTokenLatencies, 0.95), BetweenTokensP95: quantile(stats.meanTokenIntervals, 0.95),
		RoleChanges: stats.roleChanges, EngineTimeLost: stats.engineTimeLost, Refusals: stats.unmetByReason, Offered: offered,
	}
}

// hindsightTable caches the split with the best goodput, which it finds by simulating all splits, for
// each fleet, number of engines alive, mix and utilisation, the last two rounded to 1/20.
type hindsightTable struct {
	mu     sync.Mutex
	splits map[hindsightKey]*hindsightEntry
}

type hindsightKey struct {
	fleet                 string
	alive                 int
	shareTwentieths       int
	utilisationTwentieths int
}

type hindsightEntry struct {
	once  sync.Once
	split roleSplit
}

// bestSplits returns a function that gives the best split for the phase that contains a time and for a
// number of engines that are alive.
func (h *hindsightTable) bestSplits(fleet *fleet, workload *workload) func(time.Duration, int) roleSplit {
	return func(t time.Duration, alive int) roleSplit {
		phaseStart := t / workload.phase * workload.phase
		middle := min(phaseStart+workload.phase/2, workload.duration)
		key := hindsightKey{
			fleet: fleet.name, alive: alive,
			shareTwentieths: int(math.Round(20 * workload.longShare(middle))), utilisationTwentieths: int(math.Round(20 * workload.utilisation(middle))),
		}
		h.mu.Lock()
		e := h.splits[key]
		if e == nil {
			e = &hindsightEntry{}
			h.splits[key] = e
		}
		h.mu.Unlock()
		e.once.Do(func() { e.split = bestSplitFor(fleet, key) })
		return e.split
	}
}

// The search simulates all splits for a short time, and then the best of them for longer and with
// several seeds, because many splits differ by less than the noise of a short run.
const (
	searchWarmUp    = 10 * time.Second
	searchShort     = 50 * time.Second
	searchLong      = 100 * time.Second
	searchFinalists = 6
	searchSeeds     = 3
	searchSeedBase  = 100 // above the seeds of the cases
)

func bestSplitFor(fleet *fleet, key hindsightKey) roleSplit {
	type candidate struct {
		split   roleSplit
		goodput float64
	}
	var candidates []candidate
	for prefill := 0; prefill <= key.alive; prefill++ {
		for mixed := 0; mixed <= key.alive-prefill; mixed++ {
			split := roleSplit{prefill, mixed, key.alive - prefill - mixed}
			if mixed == 0 && (prefill == 0 || split.decode == 0) {
				continue
			}
			candidates = append(candidates, candidate{split, trial(fleet, key, split, searchShort, searchSeedBase)})
		}
	}
	byGoodputDescending := func(a, b candidate) int { return cmp.Compare(b.goodput, a.goodput) }
	slices.SortStableFunc(candidates, byGoodputDescending)
	candidates = candidates[:min(len(candidates), searchFinalists)]
	for i := range candidates {
		candidates[i].goodput = 0
		for seed := range uint64(searchSeeds) {
			candidates[i].goodput += trial(fleet, key, candidates[i].split, searchLong, searchSeedBase+1+seed)
		}
	}
	slices.SortStableFunc(candidates, byGoodputDescending)
	return candidates[0].split
}

// trial simulates a fixed split on a constant mix and returns its goodput.
func trial(fleet *fleet, key hindsightKey, split roleSplit, duration time.Duration, seed uint64) float64 {
	workload := workload{
		duration: duration, phase: duration,
		longShare: constant(float64(key.shareTwentieths) / 20), utilisation: constant(float64(key.utilisationTwentieths) / 20),
	}
	sim := newSimulation(fleet, &workload, 0, seed, split)
	sim.stats.warmUp = searchWarmUp
	for _, e := range sim.engines[key.alive:] {
		e.state = crashed
	}
	return sim.run(newQuetzallugPolicyWithCurrentReports(sim, fleet.weights), seed).goodput("")
}
