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

// blow is one fault of a random script.
type blow struct {
	wait   time.Duration
	fault  string
	target int
}

func blows() *rapid.Generator[[]blow] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) blow {
		return blow{
			wait:   time.Duration(rapid.IntRange(1, 6000).Draw(t, "wait in ms")) * time.Millisecond,
			fault:  rapid.SampledFrom(allFaults).Draw(t, "fault"),
			target: rapid.IntRange(0, 9).Draw(t, "target"),
		}
	}), 1, 12)
}

// strikeAny hits any living entry or sidecar. Faults of single calls hit the next write.
func (w *world) strikeAny(s *script, b blow) {
	w.mu.Lock()
	var living []*fault.Process
	for _, p := range w.entries {
		if !p.Dead() {
			living = append(living, p)
		}
	}
	for _, sc := range w.sidecars {
		if !sc.process.Dead() {
			living = append(living, sc.process)
		}
	}
	w.mu.Unlock()
	if len(living) > 0 {
		s.later(w, b.fault, living[b.target%len(living)])
	}
}

// Guards against sequences of faults at arbitrary times that break I1, I2 or I3.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := blows().Draw(rt, "faults")
		checksFence := rapid.Bool().Draw(rt, "engine checks fence")
		bad := bubble(t, func(t *testing.T) []string {
			s := &script{fired: true, armed: true, executing: map[string]bool{}}
			w := newWorld(t, 7, checksFence)
			defer w.stop()
			w.setHook(s.hook)
			go func() {
				time.Sleep(5 * time.Second)
				for _, b := range faults {
					time.Sleep(b.wait)
					w.strikeAny(s, b)
				}
			}()
			bad := w.run()
			if len(bad) > 0 {
				bad = append(bad, dump(w.journal.all(), w.began))
			}
			return bad
		})
		if len(bad) > 0 {
			rt.Fatalf("%s", strings.Join(bad, "\n"))
		}
	})
}

// machineModel restates the rules of the state machine without reference to its code.
type machineModel struct {
	r order.Record
}

var allowed = map[order.Phase][]order.Phase{
	"":                   {order.PhaseDone},
	order.PhasePlanned:   {order.PhasePlanned, order.PhaseDraining, order.PhaseFailed, order.PhaseDone},
	order.PhaseDraining:  {order.PhaseDraining, order.PhasePlanned, order.PhaseExecuting, order.PhaseFailed, order.PhaseDone},
	order.PhaseExecuting: {order.PhaseExecuting, order.PhaseDone, order.PhaseFailed},
	order.PhaseDone:      {order.PhaseDone, order.PhasePlanned},
	order.PhaseFailed:    {order.PhaseFailed, order.PhasePlanned},
}

func (m *machineModel) try(t *rapid.T, e order.Event) {
	old := m.r
	n, err := order.Next(old, e)
	if err != nil {
		require.Equal(t, old, n, "a refused event changed the record")
		return
	}
	m.r = n
	require.Contains(t, allowed[old.Phase], n.Phase, "%T", e)
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

// Guards against transitions that lose an unfinished order, lower a number, or accept an event of a
// superseded sidecar or planner.
func TestMachineKeepsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machineModel{}
		near := func(v uint64, name string) uint64 {
			return uint64(max(0, int(v)+rapid.IntRange(-1, 1).Draw(t, name)))
		}
		id := func() order.BeginDrain {
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
				m.try(t, order.Issue{Fence: near(m.r.Fence, "fence"), Config: config(rapid.IntRange(0, 2).Draw(t, "config"))})
			},
			"adopt":         func(t *rapid.T) { m.try(t, order.Adopt{Fence: near(m.r.Fence, "fence")}) },
			"claim":         func(t *rapid.T) { m.try(t, order.Claim{}) },
			"begin drain":   func(t *rapid.T) { m.try(t, id()) },
			"begin execute": func(t *rapid.T) { m.try(t, order.BeginExecute(id())) },
			"finish": func(t *rapid.T) {
				m.try(t, order.Finish{Incarnation: near(m.r.Incarnation, "incarnation"), Number: near(m.r.Number, "number")})
			},
			"fail": func(t *rapid.T) {
				m.try(t, order.Fail{Incarnation: near(m.r.Incarnation, "incarnation"), Number: near(m.r.Number, "number")})
			},
			"resolve": func(t *rapid.T) {
				m.try(t, order.Resolve{Incarnation: near(m.r.Incarnation, "incarnation"), State: state()})
			},
			"observe": func(t *rapid.T) {
				m.try(t, order.Observe{Incarnation: near(m.r.Incarnation, "incarnation"), State: state()})
			},
		})
	})
}

func config(n int) external.EngineConfig {
	return external.EngineConfig{Role: external.RoleMixed, Models: []external.ModelVersion{{Name: "m", Version: fmt.Sprint(n)}}}
}
