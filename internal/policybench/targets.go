package policybench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Targets from docs/design.md section 14.
const (
	minGoodputShareFresh = 0.95    // of the goodput of Hindsight, load reports up to 1 s old
	minGoodputShareOld   = 0.90    // of the goodput of Hindsight, older load reports
	maxRoleChangeShare   = 1.0 / 3 // of the role changes of LeastLoaded
	minOverloadShare     = 0.90    // of the highest goodput per second, at twice the capacity
)

// Check is the comparison of a measurement with a target on one workload.
type Check struct {
	Target, Fleet, Workload string
	ReportAge               time.Duration
	Measured, Required      float64
	Met                     bool
}

type resultTable struct {
	cases   []Case
	results [][]Result
}

func (t *resultTable) median(f *fleet, workload, policy, weights string, reportAge time.Duration, value func(*Result) float64) (float64, bool) {
	for i := range t.cases {
		c := &t.cases[i]
		if c.fleet == f && c.Workload == workload && c.Policy == policy && c.Weights == weights && c.ReportAge == reportAge {
			return spreadOf(t.results[i], value).median, true
		}
	}
	return 0, false
}

func goodput(r *Result) float64 { return r.Goodput }

func roleChanges(r *Result) float64 { return float64(r.RoleChanges) }

// Targets compares the medians over the seeds with the targets.
func Targets(cases []Case, results [][]Result) []Check {
	t := &resultTable{cases, results}
	var out []Check
	for i := range cases {
		c := &cases[i]
		if c.Policy == Quetzallug && c.Weights == c.Fleet && !strings.HasPrefix(c.Workload, "load-") {
			out = append(out, t.checks(c)...)
		}
	}
	for _, f := range fleets {
		out = append(out, t.checkOverload(f)...)
	}
	return out
}

func (t *resultTable) checks(c *Case) []Check {
	var out []Check
	add := func(target string, measured, required float64, met bool) {
		out = append(out, Check{Target: target, Fleet: c.Fleet, Workload: c.Workload, ReportAge: c.ReportAge, Measured: measured, Required: required, Met: met})
	}
	value := func(policy, weights string, v func(*Result) float64) (float64, bool) {
		return t.median(c.fleet, c.Workload, policy, weights, c.ReportAge, v)
	}
	ownGoodput, _ := value(Quetzallug, c.Fleet, goodput)
	ownChanges, _ := value(Quetzallug, c.Fleet, roleChanges)
	if best, ok := value(Hindsight, c.Fleet, goodput); ok {
		required := minGoodputShareFresh
		if c.ReportAge > time.Second {
			required = minGoodputShareOld
		}
		add("goodput of hindsight", ownGoodput/best, required, ownGoodput >= required*best)
	}
	for _, other := range []string{RoundRobin, LeastLoaded} {
		if v, ok := value(other, c.Fleet, goodput); ok && c.workload.mixShifts {
			add("goodput above "+other, ownGoodput, v, ownGoodput > v)
		}
	}
	if v, ok := value(LeastLoaded, c.Fleet, roleChanges); ok && strings.HasPrefix(c.Workload, "swing") {
		add("role changes of threshold", ownChanges, v*maxRoleChangeShare, ownChanges <= v*maxRoleChangeShare)
	}
	if c.Workload == "steady" {
		most := t.maxRoleChanges(c)
		add("no role changes", most, 0, most == 0)
	}
	if c.workload.mixShifts {
		checkWeights(value, add)
	}
	return out
}

// maxRoleChanges returns the highest number of role changes over the seeds of a case. A target of no
// role changes is missed if any seed has one.
func (t *resultTable) maxRoleChanges(c *Case) float64 {
	for i := range t.cases {
		if t.cases[i].key() == c.key() {
			return spreadOf(t.results[i], roleChanges).highest
		}
	}
	return 0
}

// checkWeights checks the effect of the planner's weights: those that favour goodput must reach at
// least the goodput of those that penalise role changes, and these must need at most as many role
// changes as the former.
func checkWeights(
	value func(policy, weights string, v func(*Result) float64) (float64, bool),
	add func(target string, measured, required float64, met bool),
) {
	goodputWeights, changeWeights := fleets[0].name, fleets[1].name
	goodputWithGoodputWeights, ok1 := value(Quetzallug, goodputWeights, goodput)
	goodputWithChangeWeights, ok2 := value(Quetzallug, changeWeights, goodput)
	if !ok1 || !ok2 {
		return
	}
	changesWithGoodputWeights, _ := value(Quetzallug, goodputWeights, roleChanges)
	changesWithChangeWeights, _ := value(Quetzallug, changeWeights, roleChanges)
	add("goodput-heavy weights: goodput", goodputWithGoodputWeights, goodputWithChangeWeights, goodputWithGoodputWeights >= goodputWithChangeWeights)
	add("change-heavy weights: changes", changesWithChangeWeights, changesWithGoodputWeights, changesWithChangeWeights <= changesWithGoodputWeights)
}

func (t *resultTable) checkOverload(f *fleet) []Check {
	peakGoodRate, goodRateAtHighestLoad, found := 0.0, 0.0, false
	for i := range t.cases {
		c := &t.cases[i]
		if c.fleet != f || c.Policy != Quetzallug || !strings.HasPrefix(c.Workload, "load-") {
			continue
		}
		found = true
		goodRateAtHighestLoad = spreadOf(t.results[i], func(r *Result) float64 { return r.GoodPerSecond }).median
		peakGoodRate = max(peakGoodRate, goodRateAtHighestLoad)
	}
	if !found {
		return nil
	}
	return []Check{{
		Target: "goodput at 2x of peak", Fleet: f.name, Workload: "load", ReportAge: time.Second,
		Measured: goodRateAtHighestLoad / peakGoodRate, Required: minOverloadShare, Met: goodRateAtHighestLoad >= minOverloadShare*peakGoodRate,
	}}
}

// WriteTargets prints the missed targets, or all targets if all is set, and a summary.
func WriteTargets(out io.Writer, checks []Check, all bool) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	missed := 0
	for _, c := range checks {
		status := "reached"
		if !c.Met {
			status = "MISSED"
			missed++
		}
		if all || !c.Met {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.3f\twanted %.3f\n", status, c.Target, c.Fleet, c.Workload, c.ReportAge, c.Measured, c.Required)
		}
	}
	fmt.Fprintf(t, "targets: %d reached, %d missed\n", len(checks)-missed, missed)
	return t.Flush()
}
