package order_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/faultmatrix"
)

func leaseID(n int) external.LeaseID { return external.LeaseID(n) }

// notCoveredReason returns why a fault is not tested at a step: the protocol does not tolerate it,
// or it cannot occur there. It returns "" if the fault is tested.
func notCoveredReason(s protocolStep, f string) string {
	if s.name == "drain" && (f == faultDuplicate || f == faultLost) {
		return "does not apply: the drainer is called within the process"
	}
	if s.name == "execute" && f == faultDuplicate {
		return "the client of the engine must not send an order twice; an engine that ignores fence numbers would run a late copy"
	}
	return ""
}

// faultTimings returns the times, relative to the step's call, at which a fault is injected.
func faultTimings(s protocolStep, f string) []faultTiming {
	switch {
	case f == faultLost, f == faultDuplicate:
		return []faultTiming{timingAfter}
	case s.name == "execute" && f == faultPaused:
		// A pause between the last check and the send is a known limitation, declared as cell "send".
		return []faultTiming{timingDuring, timingAfter}
	}
	return []faultTiming{timingBefore, timingDuring, timingAfter}
}

func cell(s protocolStep, faults ...string) faultmatrix.Cell {
	return faultmatrix.Cell{Protocol: s.protocol, Step: s.name, Faults: faults, Invariant: s.invariant}
}

// runCell runs one simulation for each value of checksFence and returns the violations.
func runCell(t *testing.T, s protocolStep, at faultTiming, faults []string, checksFenceValues ...bool) []string {
	t.Helper()
	var violations []string
	for i, checksFence := range checksFenceValues {
		violations = append(violations, runInBubble(t, func(t *testing.T) []string {
			inj := &faultInjector{step: s, at: at, faults: faults, executing: map[string]bool{}}
			sim := newSimulation(t, uint64(i), checksFence)
			defer sim.stop()
			sim.setHook(inj.hook)
			violations := sim.run()
			if !inj.firstInjected {
				violations = append(violations, "the step did not occur")
			}
			if len(violations) > 0 {
				violations = append(violations, fmt.Sprintf("%s, engine checks fence: %t\n%s", at, checksFence, formatHistory(sim.history.snapshot(), sim.began)))
			}
			return violations
		})...)
	}
	return violations
}

// Guards against a fault at any protocol step that violates I1, I2 or I3, or after which no more
// orders are executed.
func TestFaultMatrix(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	send := cell(protocolStep{protocol: "order", name: "send", invariant: "I3"}, faultPaused)
	send.Reason = "a pause between the last check and the send on loopback is not detected; see package order"
	drainSuperseded := cell(protocolStep{protocol: "order", name: "drain, requests of the earlier sidecar", invariant: "I2"}, faultTwoSidecars)
	drainSuperseded.Reason = "a drain does not wait for requests that run through a superseded sidecar"
	r.Declare(send, drainSuperseded)
	for _, s := range steps() {
		for _, f := range allFaults {
			c := cell(s, f)
			c.Reason = notCoveredReason(s, f)
			r.Declare(c)
			if c.Reason != "" {
				continue
			}
			r.Run(t, c, func(t *testing.T) {
				for _, at := range faultTimings(s, f) {
					require.Empty(t, runCell(t, s, at, c.Faults, false, true))
				}
			})
		}
	}
}

// Guards against pairs of faults that the protocol tolerates singly but not in combination.
func TestFaultPairs(t *testing.T) {
	if testing.Short() {
		t.Skip("pairs take about a minute of processor time")
	}
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	for _, s := range steps() {
		if s.protocol == "lease" {
			continue
		}
		for _, first := range allFaults {
			for _, second := range allFaults {
				c := cell(s, first, second)
				c.Reason = notCoveredReason(s, first)
				r.Declare(c)
				if c.Reason != "" {
					continue
				}
				r.Run(t, c, func(t *testing.T) {
					at := faultTimings(s, first)
					require.Empty(t, runCell(t, s, at[len(at)-1], c.Faults, false))
				})
			}
		}
	}
}
