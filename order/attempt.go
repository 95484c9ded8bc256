package order

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/lease"
)

// outcomeTries bounds the immediate retries of the write that ends an order, which a planner's
// adoption may meet. Later steps try again.
const outcomeTries = 4

// step reads the record and does what it calls for.
func (e *Executor) step(ctx context.Context) error {
	v, err := e.store.read(ctx)
	if err != nil {
		return err
	}
	if err := checkIncarnation(v.Record, e.incarnation); err != nil {
		return err
	}
	e.last = v
	switch {
	case v.Phase.Settled():
		return e.observe(ctx, v)
	case e.outcome != nil && e.outcome.number == v.Number:
		return e.writeOutcome(ctx)
	case v.Fence != v.IssuedFence:
		// Another planner has adopted the order before it reached the engine.
		e.fail(v.Number, "authority changed before the effect")
		return e.writeOutcome(ctx)
	}
	if err := e.checkFence(v.Fence); err != nil {
		return err
	}
	if err := e.attempt(ctx, v); err != nil {
		return err
	}
	return e.writeOutcome(ctx)
}

// observe marks a settled record if the engine is not in the recorded state.
func (e *Executor) observe(ctx context.Context, v versioned) error {
	s, err := e.state(ctx)
	if err != nil || s.Changing {
		return err
	}
	event := Observe{Incarnation: e.incarnation, State: s}
	n, err := Next(v.Record, event)
	if err != nil || !differs(n, v.Record) {
		return err
	}
	e.last, err = e.store.write(ctx, v, event, nil)
	return err
}

// attempt drains the engine, takes weights, and executes the order. It sets the outcome or returns
// an error. The engine takes new work again when the attempt ends, whatever its result.
func (e *Executor) attempt(ctx context.Context, v versioned) error {
	id := BeginDrain{Incarnation: e.incarnation, Fence: v.Fence, Number: v.Number}
	var err error
	if v.Phase == PhasePlanned {
		if v, err = e.store.write(ctx, v, id, nil); err != nil {
			return err
		}
	}
	defer e.cfg.Drainer.EndDrain()
	if err := e.prepare(ctx, v.Config); err != nil {
		return e.abandon(ctx, v.Number, err)
	}
	if v.Phase == PhaseDraining {
		if v, err = e.store.write(ctx, v, BeginExecute(id), nil); err != nil {
			return err
		}
	}
	err = e.permit(ctx, v)
	if errors.Is(err, ErrStaleFence) {
		e.fail(v.Number, "authority lost before the effect")
		return nil
	}
	if err != nil {
		return err
	}
	return e.apply(ctx, v)
}

// prepare ends with no request in flight that may not be interrupted, an engine that is not
// changing, and weights granted.
func (e *Executor) prepare(ctx context.Context, config external.EngineConfig) error {
	if err := e.drain(ctx); err != nil {
		return err
	}
	s, err := e.steadyState(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, e.cfg.WeightTimeout)
	defer cancel()
	for _, m := range config.Models {
		if slices.Contains(s.Config.Models, m) {
			continue
		}
		if err := e.cfg.Weights.Acquire(ctx, m.Name, e.cfg.ModelBytes(m)); err != nil {
			return fmt.Errorf("model %s@%s: %w: %w", m.Name, m.Version, ErrWeights, err)
		}
	}
	return nil
}

func (e *Executor) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.DrainTimeout)
	defer cancel()
	if err := e.cfg.Drainer.BeginDrain(ctx); err != nil {
		return fmt.Errorf("begin: %w: %w", ErrDrain, err)
	}
	if err := e.cfg.Drainer.Wait(ctx); err != nil {
		return fmt.Errorf("wait: %w: %w", ErrDrain, err)
	}
	return nil
}

// abandon fails an order whose preparation has failed; the engine is untouched. An engine whose
// state is not established is tried again.
func (e *Executor) abandon(ctx context.Context, number uint64, cause error) error {
	if ctx.Err() != nil || errors.Is(cause, ErrEngine) {
		return cause
	}
	e.fail(number, cause.Error())
	return nil
}

// permit reads the record and the pool again and allows the effect if all match and the reads are
// recent. It marks the order as executing under the lock that orders it with seals.
func (e *Executor) permit(ctx context.Context, v versioned) error {
	began := time.Now()
	now, err := e.store.read(ctx)
	if err != nil {
		return err
	}
	pool, err := lease.ReadPool(ctx, e.cfg.KV, e.cfg.Pool)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
	if err := checkIncarnation(now.Record, e.incarnation); err != nil {
		return err
	}
	if now.version != v.version {
		return ErrConflict
	}
	if !pool.Current(v.Fence, pool.Fence.Holder) {
		return fmt.Errorf("order fence %d, pool fence %d, held %t: %w", v.Fence, pool.Fence.Fence, pool.Present, ErrStaleFence)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.Fence != e.highest {
		return ErrConflict
	}
	if age := time.Since(began); age > EffectBound {
		return fmt.Errorf("%v after the read, at most %v: %w", age, EffectBound, ErrTooSlow)
	}
	e.executing = v.Number
	return nil
}

// apply sends the order to the engine and sets the outcome.
func (e *Executor) apply(ctx context.Context, v versioned) error {
	event, err := e.send(ctx, v)
	e.mu.Lock()
	e.executing = 0
	e.mu.Unlock()
	if err != nil {
		return err
	}
	e.outcome = &outcome{number: v.Number, event: event}
	e.cfg.Log.WithFields(logrus.Fields{
		"engine": e.cfg.Engine, "fence": v.Fence, "order": v.Number, "role": v.Config.Role, "outcome": fmt.Sprintf("%T", event),
	}).Info("order executed")
	return nil
}

// send returns the event that ends the order, or an error if the sidecar is stopping.
func (e *Executor) send(ctx context.Context, v versioned) (Event, error) {
	applyCtx, cancel := context.WithTimeout(ctx, e.cfg.ApplyTimeout)
	defer cancel()
	err := e.cfg.Backend.Apply(applyCtx, external.EngineOrder{Fence: v.Fence, Number: v.Number, Config: v.Config})
	if ctx.Err() != nil {
		// The next incarnation finds out what the engine did.
		return nil, ctx.Err()
	}
	fail := Fail{Incarnation: e.incarnation, Number: v.Number}
	switch {
	case err == nil:
		return Finish{Incarnation: e.incarnation, Number: v.Number, StartID: e.startID(ctx)}, nil
	case errors.Is(err, external.ErrStaleFence), errors.Is(err, external.ErrEngineRefused):
		fail.Detail = err.Error()
		return fail, nil
	}
	s, stateErr := e.steadyState(ctx)
	if stateErr == nil && holds(s, v.Record) {
		return Finish{Incarnation: e.incarnation, Number: v.Number, StartID: s.StartID}, nil
	}
	fail.StartID, fail.Detail, fail.Unknown = s.StartID, err.Error(), true
	return fail, ctx.Err()
}

// startID asks for the engine's start ID. Without an answer the recorded one stays, and the next
// comparison reports a restart.
func (e *Executor) startID(ctx context.Context) string {
	s, err := e.state(ctx)
	if err != nil {
		return ""
	}
	return s.StartID
}

// fail sets the outcome of an order that did not reach the engine.
func (e *Executor) fail(number uint64, detail string) {
	e.outcome = &outcome{number: number, event: Fail{Incarnation: e.incarnation, Number: number, Detail: detail}}
	e.cfg.Log.WithFields(logrus.Fields{"engine": e.cfg.Engine, "order": number, "detail": detail}).Warn("order not executed")
}

// writeOutcome records the end of an order. It keeps the outcome for a later step on failure.
func (e *Executor) writeOutcome(ctx context.Context) error {
	var err error
	for range outcomeTries {
		var v versioned
		if v, err = e.store.read(ctx); err != nil {
			return err
		}
		if v.Number != e.outcome.number || v.Phase.Settled() {
			// A planner withdrew the order, or a write whose response was lost took effect.
			e.outcome, e.last = nil, v
			return checkIncarnation(v.Record, e.incarnation)
		}
		if v, err = e.store.write(ctx, v, e.outcome.event, nil); err == nil {
			e.outcome, e.last = nil, v
			return nil
		}
		if !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return err
}

// steadyState waits until the engine answers and is not changing.
func (e *Executor) steadyState(ctx context.Context) (external.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ApplyTimeout)
	defer cancel()
	for {
		s, err := e.state(ctx)
		if err == nil && !s.Changing {
			return s, nil
		}
		if !pause.For(ctx, stateInterval) {
			return s, fmt.Errorf("%w: changing %t, last error %w", ErrEngine, s.Changing, errors.Join(err, ctx.Err()))
		}
	}
}

func (e *Executor) state(ctx context.Context) (external.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	s, err := e.cfg.Backend.State(ctx)
	if err != nil {
		return s, fmt.Errorf("%w: %w", ErrEngine, err)
	}
	return s, nil
}
