package order

import (
	"fmt"

	"github.com/quetzallug/quetzallug/external"
)

// Event is an input of the state machine.
type Event interface {
	next(Record) (Record, error)
}

// Next returns the record after an event. If it refuses the event, it returns r and an error. It
// neither changes r nor performs I/O. The caller sets the write ID.
func Next(r Record, e Event) (Record, error) {
	if _, claim := e.(Claim); r.Phase == "" && !claim {
		return r, ErrNotClaimed
	}
	n, err := e.next(r)
	if err != nil {
		return r, fmt.Errorf("%T on order %d in phase %q: %w", e, r.Number, r.Phase, err)
	}
	return n, nil
}

// Issue starts a new order.
type Issue struct {
	Fence  uint64
	Config external.EngineConfig
}

func (e Issue) next(r Record) (Record, error) {
	if e.Fence < r.Fence {
		return r, ErrStaleFence
	}
	if !r.Phase.Settled() {
		return r, ErrUnsettled
	}
	r.Number++
	r.Fence, r.IssuedFence = e.Fence, e.Fence
	r.Config, r.Phase = e.Config, PhasePlanned
	r.Unknown, r.Detail = false, ""
	return r, nil
}

// Adopt sets the record's fence number to that of a new planner. An order that has not begun to
// execute is withdrawn; one that has is left to the sidecar.
type Adopt struct {
	Fence uint64
}

func (e Adopt) next(r Record) (Record, error) {
	if e.Fence < r.Fence {
		return r, ErrStaleFence
	}
	if e.Fence > r.Fence && (r.Phase == PhasePlanned || r.Phase == PhaseDraining) {
		r.Phase = PhaseFailed
		r.Detail = fmt.Sprintf("withdrawn at handover to fence %d", e.Fence)
	}
	r.Fence = e.Fence
	return r, nil
}

// Claim is the first write of a sidecar that starts. It increments the incarnation number.
type Claim struct{}

func (Claim) next(r Record) (Record, error) {
	if r.Phase == "" {
		r.Phase = PhaseDone
	}
	r.Incarnation++
	return r, nil
}

// Resolve completes a sidecar's start: it reconciles the record with the engine's state, which
// must not be changing.
type Resolve struct {
	Incarnation uint64
	State       external.EngineState
}

func (e Resolve) next(r Record) (Record, error) {
	if err := checkIncarnation(r, e.Incarnation); err != nil {
		return r, err
	}
	switch r.Phase {
	case PhaseExecuting:
		if matchesRecord(e.State, r) {
			return settle(r, PhaseDone, e.State.StartID, "found done at the sidecar's start"), nil
		}
		r = settle(r, PhaseFailed, e.State.StartID, "engine did not finish the order")
		r.Unknown = true
	case PhasePlanned, PhaseDraining:
		r.Phase, r.StartID = PhasePlanned, e.State.StartID
	case PhaseDone, PhaseFailed:
		if r.Number == 0 {
			// No order is recorded: take over the engine's number and configuration.
			r.Number, r.Config, r.StartID = e.State.Number, e.State.Config, e.State.StartID
			return r, nil
		}
		return markDivergence(r, e.State), nil
	}
	return r, nil
}

// Observe compares a settled record with the engine's state.
type Observe struct {
	Incarnation uint64
	State       external.EngineState
}

func (e Observe) next(r Record) (Record, error) {
	if err := checkIncarnation(r, e.Incarnation); err != nil {
		return r, err
	}
	if !r.Phase.Settled() {
		return r, ErrWrongPhase
	}
	return markDivergence(r, e.State), nil
}

// BeginDrain records that the sidecar is about to stop new work and drain the engine.
type BeginDrain struct {
	Incarnation, Fence, Number uint64
}

func (e BeginDrain) next(r Record) (Record, error) {
	return e.advancePhase(r, PhasePlanned, PhaseDraining)
}

// BeginExecute records that the order may reach the engine from now on.
type BeginExecute struct {
	Incarnation, Fence, Number uint64
}

func (e BeginExecute) next(r Record) (Record, error) {
	return BeginDrain(e).advancePhase(r, PhaseDraining, PhaseExecuting)
}

// advancePhase moves the order of e from one phase to another. BeginExecute uses it too, because it
// has the same fields as BeginDrain and needs the same checks.
func (e BeginDrain) advancePhase(r Record, from, to Phase) (Record, error) {
	if err := checkIncarnation(r, e.Incarnation); err != nil {
		return r, err
	}
	if r.Number != e.Number || r.Phase != from {
		return r, ErrWrongPhase
	}
	if r.Fence != e.Fence || r.IssuedFence != e.Fence {
		return r, ErrStaleFence
	}
	r.Phase = to
	return r, nil
}

// Finish records that the engine has finished the order.
type Finish struct {
	Incarnation, Number uint64
	StartID             string
}

func (e Finish) next(r Record) (Record, error) {
	if err := checkUnsettled(r, e.Incarnation, e.Number); err != nil {
		return r, err
	}
	return settle(r, PhaseDone, e.StartID, ""), nil
}

// Fail records that the order has ended without success.
type Fail struct {
	Incarnation, Number uint64
	StartID             string
	Detail              string
	// Unknown means that the engine may have been changed in part. It becomes Record.Unknown.
	Unknown bool
}

func (e Fail) next(r Record) (Record, error) {
	if err := checkUnsettled(r, e.Incarnation, e.Number); err != nil {
		return r, err
	}
	r = settle(r, PhaseFailed, e.StartID, e.Detail)
	r.Unknown = e.Unknown
	return r, nil
}

func checkIncarnation(r Record, incarnation uint64) error {
	if r.Incarnation != incarnation {
		return ErrSuperseded
	}
	return nil
}

func checkUnsettled(r Record, incarnation, number uint64) error {
	if err := checkIncarnation(r, incarnation); err != nil {
		return err
	}
	if r.Number != number || r.Phase.Settled() {
		return ErrWrongPhase
	}
	return nil
}

func settle(r Record, p Phase, startID, detail string) Record {
	r.Phase, r.Detail = p, detail
	if startID != "" {
		r.StartID = startID
	}
	return r
}

// matchesRecord reports whether the engine is in the recorded state and is not changing.
func matchesRecord(s external.EngineState, r Record) bool {
	return !s.Changing && s.Number == r.Number && sameConfig(s.Config, r.Config)
}

// markDivergence sets Unknown in a settled record if the engine is not in the recorded state, and
// updates its start ID. After a failed order the engine keeps an earlier order number, so only a
// restart can be detected.
func markDivergence(r Record, s external.EngineState) Record {
	restarted := r.StartID != "" && r.StartID != s.StartID
	if restarted || (r.Phase == PhaseDone && r.Number > 0 && !matchesRecord(s, r)) {
		r.Unknown = true
		r.Detail = "engine is not in the recorded state"
	}
	r.StartID = s.StartID
	return r
}
