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

// maxOutcomeWrites bounds the immediate attempts to record the outcome of an order. An attempt
// fails if a planner adopts the record at the same time. A later call of processRecord retries.
const maxOutcomeWrites = 4

// processRecord reads the record and takes the action that its phase requires.
func (e *Executor) processRecord(ctx context.Context) error {
	v, err := e.store.read(ctx)
	if err != nil {
		return err
	}
	if err := checkIncarnation(v.Record, e.incarnation); err != nil {
		return err
	}
	e.lastRecord = v
	switch {
	case v.Phase.Settled():
		return e.observeEngine(ctx, v)
	case e.unrecordedOutcome != nil && e.unrecordedOutcome.number == v.Number:
		return e.writeOutcome(ctx)
	case v.Fence != v.IssuedFence:
		// Another planner adopted the record before the order was applied.
		e.setFailed(v.Number, "authority changed before the effect")
		return e.writeOutcome(ctx)
	}
	if err := e.checkFence(v.Fence); err != nil {
		return err
	}
	if err := e.executeOrder(ctx, v); err != nil {
		return err
	}
	return e.writeOutcome(ctx)
}

// observeEngine updates a settled record if the engine has restarted or is not in the recorded
// state.
func (e *Executor) observeEngine(ctx context.Context, v versionedRecord) error {
	s, err := e.engineState(ctx)
	if err != nil || s.Changing {
		return err
	}
	event := Observe{Incarnation: e.incarnation, State: s}
	n, err := Next(v.Record, event)
	if err != nil || !recordChanged(n, v.Record) {
		return err
	}
	e.lastRecord, err = e.store.write(ctx, v, event, nil)
	return err
}

// executeOrder drains the engine, acquires weights and applies the order. It sets
// unrecordedOutcome or returns an error. In either case the engine accepts new work again when it
// returns.
func (e *Executor) executeOrder(ctx context.Context, v versionedRecord) error {
	begin := BeginDrain{Incarnation: e.incarnation, Fence: v.Fence, Number: v.Number}
	var err error
	if v.Phase == PhasePlanned {
		if v, err = e.store.write(ctx, v, begin, nil); err != nil {
			return err
		}
	}
	defer e.cfg.Drainer.EndDrain()
	if err := e.prepare(ctx, v.Config); err != nil {
		return e.handlePrepareError(ctx, v.Number, err)
	}
	if v.Phase == PhaseDraining {
		// BeginExecute has the same fields as BeginDrain.
		if v, err = e.store.write(ctx, v, BeginExecute(begin), nil); err != nil {
			return err
		}
	}
	err = e.authoriseApply(ctx, v)
	if errors.Is(err, ErrStaleFence) {
		e.setFailed(v.Number, "authority lost before the effect")
		return nil
	}
	if err != nil {
		return err
	}
	return e.applyOrder(ctx, v)
}

// prepare drains the engine, waits until it is not changing, and acquires the weights of the
// models that it does not have.
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

// handlePrepareError fails an order whose preparation has failed; the engine is unchanged. If the
// engine's state could not be established or ctx has ended, it returns the error instead, so that
// the order is tried again.
func (e *Executor) handlePrepareError(ctx context.Context, number uint64, cause error) error {
	if ctx.Err() != nil || errors.Is(cause, ErrEngine) {
		return cause
	}
	e.setFailed(number, cause.Error())
	return nil
}

// authoriseApply reads the record and the pool again, immediately before the order is applied. It
// returns nil if the record is unchanged, the pool is held under the order's fence number, and the
// reads began at most MaxReadAge ago. It then sets executingOrder, under the mutex that Seal takes
// too, so that Seal either comes first or reports the order.
func (e *Executor) authoriseApply(ctx context.Context, v versionedRecord) error {
	began := time.Now()
	current, err := e.store.read(ctx)
	if err != nil {
		return err
	}
	pool, err := lease.ReadPool(ctx, e.cfg.KV, e.cfg.Pool)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
	if err := checkIncarnation(current.Record, e.incarnation); err != nil {
		return err
	}
	if current.version != v.version {
		return ErrConflict
	}
	if !pool.HeldUnder(v.Fence, pool.FenceRecord.Holder) {
		return fmt.Errorf("order fence %d, pool fence %d, held %t: %w", v.Fence, pool.FenceRecord.Fence, pool.HasHolder, ErrStaleFence)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if v.Fence != e.highestFence {
		return ErrConflict
	}
	if age := time.Since(began); age > MaxReadAge {
		return fmt.Errorf("%v after the read, at most %v: %w", age, MaxReadAge, ErrReadTooOld)
	}
	e.executingOrder = v.Number
	return nil
}

// applyOrder sends the order to the engine and sets unrecordedOutcome.
func (e *Executor) applyOrder(ctx context.Context, v versionedRecord) error {
	event, err := e.applyToEngine(ctx, v)
	e.mu.Lock()
	e.executingOrder = 0
	e.mu.Unlock()
	if err != nil {
		return err
	}
	e.unrecordedOutcome = &outcome{number: v.Number, event: event}
	e.cfg.Log.WithFields(logrus.Fields{
		"engine": e.cfg.Engine, "fence": v.Fence, "order": v.Number, "role": v.Config.Role, "outcome": fmt.Sprintf("%T", event),
	}).Info("order executed")
	return nil
}

// applyToEngine returns the event that ends the order, or an error if the sidecar is stopping.
func (e *Executor) applyToEngine(ctx context.Context, v versionedRecord) (Event, error) {
	applyCtx, cancel := context.WithTimeout(ctx, e.cfg.ApplyTimeout)
	defer cancel()
	err := e.cfg.Backend.Apply(applyCtx, external.EngineOrder{Fence: v.Fence, Number: v.Number, Config: v.Config})
	if ctx.Err() != nil {
		// The engine may have applied the order. The next incarnation compares its state.
		return nil, ctx.Err()
	}
	fail := Fail{Incarnation: e.incarnation, Number: v.Number}
	switch {
	case err == nil:
		return Finish{Incarnation: e.incarnation, Number: v.Number, StartID: e.currentStartID(ctx)}, nil
	case errors.Is(err, external.ErrStaleFence), errors.Is(err, external.ErrEngineRefused):
		fail.Detail = err.Error()
		return fail, nil
	}
	s, stateErr := e.steadyState(ctx)
	if stateErr == nil && matchesRecord(s, v.Record) {
		return Finish{Incarnation: e.incarnation, Number: v.Number, StartID: s.StartID}, nil
	}
	fail.StartID, fail.Detail, fail.Unknown = s.StartID, err.Error(), true
	return fail, ctx.Err()
}

// currentStartID returns the engine's start ID, or "" if the engine does not answer. In that case
// the record keeps the previous ID, and the next comparison reports a restart if the ID differs.
func (e *Executor) currentStartID(ctx context.Context) string {
	s, err := e.engineState(ctx)
	if err != nil {
		return ""
	}
	return s.StartID
}

// setFailed sets unrecordedOutcome for an order that did not reach the engine.
func (e *Executor) setFailed(number uint64, detail string) {
	e.unrecordedOutcome = &outcome{number: number, event: Fail{Incarnation: e.incarnation, Number: number, Detail: detail}}
	e.cfg.Log.WithFields(logrus.Fields{"engine": e.cfg.Engine, "order": number, "detail": detail}).Warn("order not executed")
}

// writeOutcome writes unrecordedOutcome to the record. On failure it keeps the outcome for a later
// call.
func (e *Executor) writeOutcome(ctx context.Context) error {
	var err error
	for range maxOutcomeWrites {
		var v versionedRecord
		if v, err = e.store.read(ctx); err != nil {
			return err
		}
		if v.Number != e.unrecordedOutcome.number || v.Phase.Settled() {
			// A planner has withdrawn the order, or an earlier write succeeded and its response was
			// lost.
			e.unrecordedOutcome, e.lastRecord = nil, v
			return checkIncarnation(v.Record, e.incarnation)
		}
		if v, err = e.store.write(ctx, v, e.unrecordedOutcome.event, nil); err == nil {
			e.unrecordedOutcome, e.lastRecord = nil, v
			return nil
		}
		if !errors.Is(err, ErrConflict) {
			return err
		}
	}
	return err
}

// steadyState returns the engine's state once it is not changing. It returns ErrEngine if that takes
// longer than ApplyTimeout or if ctx ends.
func (e *Executor) steadyState(ctx context.Context) (external.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.ApplyTimeout)
	defer cancel()
	for {
		s, err := e.engineState(ctx)
		if err == nil && !s.Changing {
			return s, nil
		}
		if !pause.For(ctx, steadyPollInterval) {
			return s, fmt.Errorf("%w: changing %t, last error %w", ErrEngine, s.Changing, errors.Join(err, ctx.Err()))
		}
	}
}

func (e *Executor) engineState(ctx context.Context) (external.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	s, err := e.cfg.Backend.State(ctx)
	if err != nil {
		return s, fmt.Errorf("%w: %w", ErrEngine, err)
	}
	return s, nil
}
