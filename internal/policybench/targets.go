package policybench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Targets of docs/design.md section 14.
const (
	targetFresh    = 0.95 // of hindsight, reports up to 1 s old
	targetOld      = 0.90 // of hindsight, reports 5 s old
	targetChanges  = 1.0 / 3
	targetOverload = 0.90
)

// Check is one target on one workload.
type Check struct {
	Target, Fleet, Workload string
	Lag                     time.Duration
	Measured, Wanted        float64
	Reached                 bool
}

type table struct {
	cases   []Case
	results [][]Result
}

func (t *table) median(f *fleet, workload, policy, weights string, lag time.Duration, value func(*Result) float64) (float64, bool) {
	for i := range t.cases {
		c := &t.cases[i]
		if c.fleet == f && c.Workload == workload && c.Policy == policy && c.Weights == weights && c.Lag == lag {
			return spreadOf(t.results[i], value).median, true
		}
	}
	return 0, false
}

func goodput(r *Result) float64 { return r.Goodput }

func changes(r *Result) float64 { return float64(r.Changes) }

// Targets compares the medians with the targets.
func Targets(cases []Case, results [][]Result) []Check {
	t := &table{cases, results}
	var out []Check
	for i := range cases {
		c := &cases[i]
		if c.Policy == Project && c.Weights == c.Fleet && !strings.HasPrefix(c.Workload, "load-") {
			out = append(out, t.checks(c)...)
		}
	}
	for _, f := range fleets {
		out = append(out, t.overload(f)...)
	}
	return out
}

func (t *table) checks(c *Case) []Check {
	var out []Check
	add := func(target string, measured, wanted float64, reached bool) {
		out = append(out, Check{Target: target, Fleet: c.Fleet, Workload: c.Workload, Lag: c.Lag, Measured: measured, Wanted: wanted, Reached: reached})
	}
	value := func(policy, weights string, v func(*Result) float64) (float64, bool) {
		return t.median(c.fleet, c.Workload, policy, weights, c.Lag, v)
	}
	own, _ := value(Project, c.Fleet, goodput)
	ownChanges, _ := value(Project, c.Fleet, changes)
	if best, ok := value(Hindsight, c.Fleet, goodput); ok {
		wanted := targetFresh
		if c.Lag > time.Second {
			wanted = targetOld
		}
		add("goodput of hindsight", own/best, wanted, own >= wanted*best)
	}
	for _, other := range []string{RoundRobin, LeastLoaded} {
		if v, ok := value(other, c.Fleet, goodput); ok && c.load.shifts {
			add("goodput above "+other, own, v, own > v)
		}
	}
	if v, ok := value(LeastLoaded, c.Fleet, changes); ok && strings.HasPrefix(c.Workload, "swing") {
		add("role changes of threshold", ownChanges, v*targetChanges, ownChanges <= v*targetChanges)
	}
	if c.Workload == "steady" {
		most := t.mostChanges(c)
		add("no role changes", most, 0, most == 0)
	}
	if c.load.shifts {
		checkWeights(value, add)
	}
	return out
}

// mostChanges is that of the seed with the most role changes: one seed is enough to miss "none".
func (t *table) mostChanges(c *Case) float64 {
	for i := range t.cases {
		if t.cases[i].id() == c.id() {
			return spreadOf(t.results[i], changes).most
		}
	}
	return 0
}

// checkWeights checks that the goodput-heavy document gets at least the goodput, and the document that
// is heavy on role changes at most the changes, of the other.
func checkWeights(
	value func(policy, weights string, v func(*Result) float64) (float64, bool),
	add func(target string, measured, wanted float64, reached bool),
) {
	heavy, light := fleets[0].name, fleets[1].name
	g1, ok1 := value(Project, heavy, goodput)
	g2, ok2 := value(Project, light, goodput)
	if !ok1 || !ok2 {
		return
	}
	c1, _ := value(Project, heavy, changes)
	c2, _ := value(Project, light, changes)
	add("goodput-heavy weights: goodput", g1, g2, g1 >= g2)
	add("change-heavy weights: changes", c2, c1, c2 <= c1)
}

func (t *table) overload(f *fleet) []Check {
	peak, last, found := 0.0, 0.0, false
	for i := range t.cases {
		c := &t.cases[i]
		if c.fleet != f || c.Policy != Project || !strings.HasPrefix(c.Workload, "load-") {
			continue
		}
		found = true
		last = spreadOf(t.results[i], func(r *Result) float64 { return r.GoodPerSecond }).median
		peak = max(peak, last)
	}
	if !found {
		return nil
	}
	return []Check{{
		Target: "goodput at 2x of peak", Fleet: f.name, Workload: "load", Lag: time.Second,
		Measured: last / peak, Wanted: targetOverload, Reached: last >= targetOverload*peak,
	}}
}

// WriteTargets prints the targets; with all, also those that are reached.
func WriteTargets(out io.Writer, checks []Check, all bool) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	missed := 0
	for _, c := range checks {
		state := "reached"
		if !c.Reached {
			state = "MISSED"
			missed++
		}
		if all || !c.Reached {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.3f\twanted %.3f\n", state, c.Target, c.Fleet, c.Workload, c.Lag, c.Measured, c.Wanted)
		}
	}
	fmt.Fprintf(t, "targets: %d reached, %d missed\n", len(checks)-missed, missed)
	return t.Flush()
}
