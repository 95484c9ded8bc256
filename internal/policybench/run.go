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

// Names of the policies.
const (
	RoundRobin  = "round-robin"
	LeastLoaded = "threshold"
	Project     = "quetzallug"
	Hindsight   = "hindsight"
)

// Policies are all policies in the order of the tables.
var Policies = []string{RoundRobin, LeastLoaded, Project, Hindsight}

// Options select what is run. Empty lists mean all.
type Options struct {
	Seeds     int
	Workers   int
	Workloads []string
	Fleets    []string
	Policies  []string
	Lags      []time.Duration
	// Overload adds the sweep over multiples of the capacity.
	Overload bool
}

// Case is one cell of the result: a policy on a workload.
type Case struct {
	Fleet, Workload, Policy string
	Lag                     time.Duration
	// Weights tells which document's weights the planner used.
	Weights string

	fleet   *fleet
	load    workload
	weights placement.Weights
}

func (c *Case) id() string {
	return fmt.Sprint(c.Fleet, " ", c.Workload, " ", c.Policy, " ", c.Weights, " ", c.Lag)
}

// Result has the figures of one run of a case.
type Result struct {
	Seed                 int
	Goodput, Long, Chat  float64
	GoodPerSecond        float64
	FirstP95, BetweenP95 time.Duration
	Changes              int
	Lost                 time.Duration
	Refusals             map[string]int
	Offered              int
}

// Run plays all cases for all seeds. The order of the results is that of the cases and does not
// depend on scheduling.
func Run(ctx context.Context, o Options) ([]Case, [][]Result, error) {
	cases := o.cases()
	results := make([][]Result, len(cases))
	// The upper bound and round robin do not look at reports, so one run serves all their ages.
	shared := make(map[string][]Result)
	h := &hindsightTable{splits: make(map[hindsightKey]*hindsightEntry)}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, o.Workers))
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
				results[i][s] = cases[i].run(s, h)
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, nil, fmt.Errorf("run cases: %w", err)
	}
	return cases, results, nil
}

func wanted(list []string, name string) bool {
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
		if !wanted(o.Fleets, f.name) {
			continue
		}
		for _, l := range workloads {
			if !wanted(o.Workloads, l.name) {
				continue
			}
			for _, lag := range o.Lags {
				out = append(out, o.policies(f, l, lag)...)
			}
		}
		if o.Overload {
			for _, use := range []float64{0.6, 0.8, 1, 1.2, 1.5, 2} {
				l := overload(use)
				l.name = fmt.Sprintf("load-%.1fx", use)
				out = append(out, o.policies(f, l, time.Second)...)
			}
		}
	}
	return out
}

func (o *Options) policies(f *fleet, l workload, lag time.Duration) []Case {
	var out []Case
	for _, p := range Policies {
		if !wanted(o.Policies, p) {
			continue
		}
		out = append(out, Case{Fleet: f.name, Workload: l.name, Policy: p, Lag: lag, Weights: f.name, fleet: f, load: l, weights: f.weights})
		if p != Project || !l.shifts {
			continue
		}
		for _, other := range fleets {
			if other != f {
				out = append(out, Case{Fleet: f.name, Workload: l.name, Policy: p, Lag: lag, Weights: other.name, fleet: f, load: l, weights: other.weights})
			}
		}
	}
	return out
}

func (c *Case) run(seed int, h *hindsightTable) Result {
	s := uint64(seed + 1)
	initial := c.fleet.split(c.load.meanShare())
	lag := c.Lag
	if c.Policy == Hindsight {
		// The upper bound sees the load as it is.
		lag = 0
	}
	w := newWorld(c.fleet, &c.load, lag, s, initial)
	var p policy
	switch c.Policy {
	case RoundRobin:
		p = &roundRobin{base: base{w: w}}
	case LeastLoaded:
		p = newLeastLoaded(w)
	case Project:
		p = newProject(w, placement.New(placement.Config{ChangeTime: changeTime}), c.weights)
	default:
		b := &hindsight{project: newFreshProject(w, c.weights), splits: h.schedule(c.fleet, &c.load)}
		w.After(0, func() { b.plan(nil) })
		p = b
	}
	st := w.run(p, s)
	offered := 0
	for _, n := range st.offered {
		offered += n
	}
	return Result{
		Seed: seed + 1, Goodput: st.goodput(""), Long: st.goodput(c.fleet.long.name), Chat: st.goodput(c.fleet.chat.name),
		GoodPerSecond: st.goodput("") * float64(offered) / st.duration.Seconds(),
		FirstP95:      percentile(st.first, 0.95), BetweenP95: percentile(st.between, 0.95),
		Changes: st.changes, Lost: st.lost, Refusals: st.refusals, Offered: offered,
	}
}

// hindsightTable finds, per mix, the split with the best goodput by trying all of them.
type hindsightTable struct {
	mu     sync.Mutex
	splits map[hindsightKey]*hindsightEntry
}

type hindsightKey struct {
	fleet         string
	alive         int
	share         int // in twentieths
	useTwentieths int
}

type hindsightEntry struct {
	once  sync.Once
	split platformSplit
}

// schedule returns the best split for the phase that contains a time.
func (h *hindsightTable) schedule(f *fleet, l *workload) func(time.Duration, int) platformSplit {
	return func(t time.Duration, alive int) platformSplit {
		from := t / l.phase * l.phase
		middle := min(from+l.phase/2, l.duration)
		key := hindsightKey{
			fleet: f.name, alive: alive,
			share: int(math.Round(20 * l.share(middle))), useTwentieths: int(math.Round(20 * l.use(middle))),
		}
		h.mu.Lock()
		e := h.splits[key]
		if e == nil {
			e = &hindsightEntry{}
			h.splits[key] = e
		}
		h.mu.Unlock()
		e.once.Do(func() { e.split = search(f, key) })
		return e.split
	}
}

// The search tries all splits for a short time, and the best of them longer with several seeds,
// because many splits differ by less than the noise of a short run.
const (
	searchWarmUp   = 10 * time.Second
	searchShort    = 50 * time.Second
	searchLong     = 100 * time.Second
	searchFinal    = 6
	searchSeeds    = 3
	searchSeedBase = 100 // differs from the seeds of the cases
)

func search(f *fleet, key hindsightKey) platformSplit {
	type candidate struct {
		split   platformSplit
		goodput float64
	}
	var all []candidate
	for prefill := 0; prefill <= key.alive; prefill++ {
		for mixed := 0; mixed <= key.alive-prefill; mixed++ {
			s := platformSplit{prefill, mixed, key.alive - prefill - mixed}
			if mixed == 0 && (prefill == 0 || s.decode == 0) {
				continue
			}
			all = append(all, candidate{s, trial(f, key, s, searchShort, searchSeedBase)})
		}
	}
	better := func(a, b candidate) int { return cmp.Compare(b.goodput, a.goodput) }
	slices.SortStableFunc(all, better)
	all = all[:min(len(all), searchFinal)]
	for i := range all {
		all[i].goodput = 0
		for seed := range uint64(searchSeeds) {
			all[i].goodput += trial(f, key, all[i].split, searchLong, searchSeedBase+1+seed)
		}
	}
	slices.SortStableFunc(all, better)
	return all[0].split
}

// trial is the goodput of a fixed split on a constant mix.
func trial(f *fleet, key hindsightKey, s platformSplit, duration time.Duration, seed uint64) float64 {
	l := workload{
		duration: duration, phase: duration,
		share: constant(float64(key.share) / 20), use: constant(float64(key.useTwentieths) / 20),
	}
	w := newWorld(f, &l, 0, seed, s)
	w.stats.warmUp = searchWarmUp
	for _, e := range w.engines[key.alive:] {
		e.state = dead
	}
	return w.run(newFreshProject(w, f.weights), seed).goodput("")
}
