package policybench

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a simulation that loses or duplicates requests, and against results that depend on
// anything but the seed.
func TestModelIsConservedAndRepeatable(t *testing.T) {
	l := workload{
		name: "short", duration: 90 * time.Second, longShare: swing(time.Minute), utilisation: constant(0.8), phase: 15 * time.Second,
		crashAt: 50 * time.Second, mixShifts: true,
	}
	f := fleets[0]
	for _, p := range []string{RoundRobin, LeastLoaded, Quetzallug} {
		c := Case{Fleet: f.name, Policy: p, ReportAge: time.Second, fleet: f, workload: l, weights: f.weights}
		first := c.run(0, nil)
		require.Equal(t, first, c.run(0, nil), p)
		require.Positive(t, first.Offered)

		sim := newSimulation(f, &l, time.Second, 1, f.split(l.meanShare()))
		var policy policy = &roundRobin{baseline: baseline{sim: sim}}
		if p == Quetzallug {
			policy = newQuetzallugPolicy(sim, nil, f.weights)
		}
		s := sim.run(policy, 1)
		sim.RunUntil(10 * time.Minute)
		offered, refused := 0, 0
		for _, n := range s.offeredByKind {
			offered += n
		}
		for reason, n := range s.unmetByReason {
			if !strings.HasPrefix(reason, "(") {
				refused += n
			}
		}
		assert.Equal(t, offered, s.completed+refused, p)
		for _, e := range sim.engines {
			assert.Equal(t, piecesPerEngine, e.freePieces, e.id)
			assert.Zero(t, e.incomingDecodes, e.id)
		}
	}
}

// Guards against targets that count as met because nothing was compared.
func TestTargetsSeeAMiss(t *testing.T) {
	f := fleets[0]
	l := workloads[1]
	result := func(policy, weights string, goodput float64) (Case, []Result) {
		return Case{Fleet: f.name, Workload: l.name, Policy: policy, ReportAge: time.Second, Weights: weights, fleet: f, workload: l},
			[]Result{{Goodput: goodput}}
	}
	var cases []Case
	var results [][]Result
	for _, r := range []struct {
		policy, weights string
		goodput         float64
	}{
		{RoundRobin, f.name, 0.5}, {LeastLoaded, f.name, 0.95}, {Quetzallug, f.name, 0.9}, {Quetzallug, fleets[1].name, 0.8}, {Hindsight, f.name, 1},
	} {
		c, v := result(r.policy, r.weights, r.goodput)
		cases, results = append(cases, c), append(results, v)
	}
	missed := map[string]bool{}
	for _, c := range Targets(cases, results) {
		missed[c.Target] = !c.Met
	}
	assert.Equal(t, map[string]bool{
		"goodput of hindsight": true, "goodput above round-robin": false, "goodput above threshold": true,
		"goodput-heavy weights: goodput": false, "change-heavy weights: changes": false,
	}, missed)
}
