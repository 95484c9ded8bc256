package policybench

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a model that loses or doubles requests, and against results that depend on
// anything but the seed.
func TestModelIsConservedAndRepeatable(t *testing.T) {
	l := workload{
		name: "short", duration: 90 * time.Second, share: swing(time.Minute), use: constant(0.8), phase: 15 * time.Second,
		loseAt: 50 * time.Second, shifts: true,
	}
	f := fleets[0]
	for _, p := range []string{RoundRobin, LeastLoaded, Project} {
		c := Case{Fleet: f.name, Policy: p, Lag: time.Second, fleet: f, load: l, weights: f.weights}
		first := c.run(0, nil)
		require.Equal(t, first, c.run(0, nil), p)
		require.Positive(t, first.Offered)

		w := newWorld(f, &l, time.Second, 1, f.split(l.meanShare()))
		var policy policy = &roundRobin{base: base{w: w}}
		if p == Project {
			policy = newProject(w, nil, f.weights)
		}
		s := w.run(policy, 1)
		w.RunUntil(10 * time.Minute)
		offered, refused := 0, 0
		for _, n := range s.offered {
			offered += n
		}
		for reason, n := range s.refusals {
			if !strings.HasPrefix(reason, "(") {
				refused += n
			}
		}
		assert.Equal(t, offered, s.completed+refused, p)
		for _, e := range w.engines {
			assert.Equal(t, enginePieces, e.free, e.id)
			assert.Zero(t, e.incoming, e.id)
		}
	}
}

// Guards against targets that pass because nothing was compared.
func TestTargetsSeeAMiss(t *testing.T) {
	f := fleets[0]
	l := workloads[1]
	result := func(policy, weights string, goodput float64) (Case, []Result) {
		return Case{Fleet: f.name, Workload: l.name, Policy: policy, Lag: time.Second, Weights: weights, fleet: f, load: l},
			[]Result{{Goodput: goodput}}
	}
	var cases []Case
	var results [][]Result
	for _, r := range []struct {
		policy, weights string
		goodput         float64
	}{
		{RoundRobin, f.name, 0.5}, {LeastLoaded, f.name, 0.95}, {Project, f.name, 0.9}, {Project, fleets[1].name, 0.8}, {Hindsight, f.name, 1},
	} {
		c, v := result(r.policy, r.weights, r.goodput)
		cases, results = append(cases, c), append(results, v)
	}
	missed := map[string]bool{}
	for _, c := range Targets(cases, results) {
		missed[c.Target] = !c.Reached
	}
	assert.Equal(t, map[string]bool{
		"goodput of hindsight": true, "goodput above round-robin": false, "goodput above threshold": true,
		"goodput-heavy weights: goodput": false, "change-heavy weights: changes": false,
	}, missed)
}
