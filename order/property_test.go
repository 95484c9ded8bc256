package order_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/external"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/standin/fault"
)

// timedFault is one fault of a random sequence.
type timedFault struct {
	wait   time.Duration
	fault  string
	target int
}

func timedFaults() *rapid.Generator[[]timedFault] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) timedFault {
		return timedFault{
			wait:   time.Duration(rapid.IntRange(1, 6000).Draw(t, "wait in ms")) * time.Millisecond,
			fault:  rapid.SampledFrom(allFaults).Draw(t, "fault"),
			target: rapid.IntRange(0, 9).Draw(t, "target"),
		}
	}), 1, 12)
}

// injectIntoLiving injects a fault into one of the living entries and sidecars. A fault that
// applies to a single call is injected at the next write to the key-value service or call of a
// sidecar.
func (sim *simulation) injectIntoLiving(inj *faultInjector, f timedFault) {
	sim.mu.Lock()
	var living []*fault.Process
	for _, p := range sim.entries {
		if !p.Killed() {
			living = append(living, p)
		}
	}
	for _, sc := range sim.sidecars {
		if !sc.process.Killed() {
			living = append(living, sc.process)
		}
	}
	sim.mu.Unlock()
	if len(living) > 0 {
		inj.injectOrDefer(sim, f.fault, living[f.target%len(living)])
	}
}

// Guards against sequences of faults at arbitrary times that violate I1, I2 or I3.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := timedFaults().Draw(rt, "faults")
		checksFence := rapid.Bool().Draw(rt, "engine checks fence")
		violations := runInBubble(t, func(t *testing.T) []string {
			// No step: only injectOrDefer injects faults.
			inj := &faultInjector{firstInjected: true, setupDone: true, executing: map[string]bool{}}
			sim := newSimulation(t, 7, checksFence)
			defer sim.stop()
			sim.setHook(inj.hook)
			go func() {
				time.Sleep(5 * time.Second)
				for _, f := range faults {
					time.Sleep(f.wait)
					sim.injectIntoLiving(inj, f)
				}
			}()
			violations := sim.run()
			if len(violations) > 0 {
				violations = append(violations, formatHistory(sim.history.snapshot(), sim.began))
			}
			return violations
		})
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// machineModel checks the rules of the state machine independently of its implementation.
type machineModel struct {
	r order.Record
}

var allowedPhases = map[order.Phase][]order.Phase{
	"":                   {order.PhaseDone},
	order.PhasePlanned:   {order.PhasePlanned, order.PhaseDraining, order.PhaseFailed, order.PhaseDone},
	order.PhaseDraining:  {order.PhaseDraining, order.PhasePlanned, order.PhaseExecuting, order.PhaseFailed, order.PhaseDone},
	order.PhaseExecuting: {order.PhaseExecuting, order.PhaseDone, order.PhaseFailed},
	order.PhaseDone:      {order.PhaseDone, order.PhasePlanned},
	order.PhaseFailed:    {order.PhaseFailed, order.PhasePlanned},
}

func (m *machineModel) checkTransition(t *rapid.T, e order.Event) {
	old := m.r
	n, err := order.Next(old, e)
	if err != nil {
		require.Equal(t, old, n, "a refused event changed the record")
		return
	}
	m.r = n
	require.Contains(t, allowedPhases[old.Phase], n.Phase, "%T", e)
	require.GreaterOrEqual(t, n.Fence, old.Fence, "%T lowered the fence", e)
	require.GreaterOrEqual(t, n.Incarnation, old.Incarnation, "%T lowered the incarnation", e)
	if n.Number != old.Number && old.Number != 0 {
		require.IsType(t, order.Issue{}, e)
		require.Equal(t, old.Number+1, n.Number)
		require.True(t, old.Phase.Settled(), "a new order was issued in phase %q", old.Phase)
	}
	if n.Phase == order.PhaseExecuting && old.Phase != order.PhaseExecuting {
		require.Equal(t, n.IssuedFence, n.Fence, "executing under a fence that did not issue the order")
	}
	if i, ok := incarnationOf(e); ok {
		require.Equal(t, old.Incarnation, i, "%T of another sidecar was accepted", e)
	}
}

func incarnationOf(e order.Event) (uint64, bool) {
	switch e := e.(type) {
	case order.BeginDrain:
		return e.Incarnation, true
	case order.BeginExecute:
		return e.Incarnation, true
	case order.Finish:
		return e.Incarnation, true
	case order.Fail:
		return e.Incarnation, true
	case order.Resolve:
		return e.Incarnation, true
	case order.Observe:
		return e.Incarnation, true
	}
	return 0, false
}

// Guards against transitions that overwrite an unfinished order, decrease a fence, order or
// incarnation number, or accept an event of a superseded sidecar or planner.
func TestMachineKeepsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machineModel{}
		near := func(v uint64, name string) uint64 {
			return uint64(max(0, int(v)+rapid.IntRange(-1, 1).Draw(t, name)))
		}
		drainEvent := func() order.BeginDrain {
			return order.BeginDrain{
				Incarnation: near(m.r.Incarnation, "incarnation"), Fence: near(m.r.Fence, "fence"), Number: near(m.r.Number, "number"),
			}
		}
		state := func() external.EngineState {
			return external.EngineState{
				Config: config(rapid.IntRange(0, 2).Draw(t, "config")), Number: near(m.r.Number, "engine number"),
				StartID: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "start")),
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				m.checkTransition(t, order.Issue{Fence: near(m.r.Fence, "fence"), Config: config(rapid.IntRange(0, 2).Draw(t, "config"))})
			},
			"adopt":         func(t *rapid.T) { m.checkTransition(t, order.Adopt{Fence: near(m.r.Fence, "fence")}) },
			"claim":         func(t *rapid.T) { m.checkTransition(t, order.Claim{}) },
			"begin drain":   func(t *rapid.T) { m.checkTransition(t, drainEvent()) },
			"begin execute": func(t *rapid.T) { m.checkTransition(t, order.BeginExecute(drainEvent())) },
			"finish": func(t *rapid.T) {
				m.checkTransition(t, order.Finish{Incarnation: near(m.r.Incarnation, "incarnation"), Number: near(m.r.Number, "number")})
			},
			"fail": func(t *rapid.T) {
				m.checkTransition(t, order.Fail{Incarnation: near(m.r.Incarnation, "incarnation"), Number: near(m.r.Number, "number")})
			},
			"resolve": func(t *rapid.T) {
				m.checkTransition(t, order.Resolve{Incarnation: near(m.r.Incarnation, "incarnation"), State: state()})
			},
			"observe": func(t *rapid.T) {
				m.checkTransition(t, order.Observe{Incarnation: near(m.r.Incarnation, "incarnation"), State: state()})
			},
		})
	})
}

func config(n int) external.EngineConfig {
	return external.EngineConfig{Role: external.EngineRoleMixed, Models: []external.ModelVersion{{Name: "m", Version: fmt.Sprint(n)}}}
}
