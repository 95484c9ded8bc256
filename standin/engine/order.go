package engine

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

type orderID struct{ fence, number uint64 }

type runningOrder struct {
	order external.EngineOrder
	timer *time.Timer
	done  chan struct{}
	err   error
}

// LoseOrderAnswers makes the engine lose the responses of the next n orders that it executes. n
// replaces the count of an earlier call.
func (e *Engine) LoseOrderAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseOrderResponses = n
}

// Apply implements external.Engine. The order continues if the caller's context ends.
func (e *Engine) Apply(ctx context.Context, o external.EngineOrder) error {
	o.Config = cloneConfig(o.Config)
	run, err := e.beginOrder(ctx, o)
	if err != nil {
		return err
	}
	select {
	case <-run.done:
	case <-ctx.Done():
		return fmt.Errorf("%w: order is still running: %w", external.ErrEngineFailed, ctx.Err())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.err == nil && e.loseOrderResponses > 0 {
		e.loseOrderResponses--
		return fmt.Errorf("%w: response of order %d lost", external.ErrEngineFailed, o.Number)
	}
	return run.err
}

// beginOrder starts an order, which aborts all requests in flight, or records its refusal.
func (e *Engine) beginOrder(ctx context.Context, o external.EngineOrder) (*runningOrder, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOrder(ctx, o); err != nil {
		e.recordOrder(OrderRefused, o, err.Error())
		return nil, err
	}
	e.checkOrderHistory(o)
	e.state.Changing = true
	e.recordOrder(OrderStarted, o, "")
	for _, s := range e.abortAll("an order began") {
		e.recordViolation(Violation{Kind: RequestAbortedByOrder, RequestID: s.req.RequestID, Fence: o.Fence, Number: o.Number})
	}
	run := &runningOrder{order: o, done: make(chan struct{})}
	e.currentOrder = run
	run.timer = time.AfterFunc(e.cfg.OrderTime, func() { e.completeOrder(run) })
	return run, nil
}

// checkOrder returns an error if the order must be refused. It updates the highest fence seen and
// records a violation if a different order is running.
func (e *Engine) checkOrder(ctx context.Context, o external.EngineOrder) error {
	if ctx.Err() != nil || e.down {
		return fmt.Errorf("%w: engine is down or the context has ended", external.ErrEngineRefused)
	}
	if e.cfg.CheckFence && o.Fence < e.state.Fence {
		return fmt.Errorf("%w: order has %d, engine has seen %d", external.ErrStaleFence, o.Fence, e.state.Fence)
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	if e.currentOrder == nil {
		return nil
	}
	if !reflect.DeepEqual(e.currentOrder.order, o) {
		e.recordViolation(Violation{
			Kind: ConflictingOrder, Fence: o.Fence, Number: o.Number,
			Detail: fmt.Sprintf("order %d of fence %d is running", e.currentOrder.order.Number, e.currentOrder.order.Fence),
		})
	}
	return fmt.Errorf("%w: order %d is running", external.ErrEngineRefused, e.currentOrder.order.Number)
}

// checkOrderHistory records the violations of an order that is about to start: a fence lower than
// that of an earlier order, or a reused order number with another configuration.
func (e *Engine) checkOrderHistory(o external.EngineOrder) {
	if o.Fence < e.highestStartedFence {
		e.recordViolation(Violation{
			Kind: StaleOrderRan, Fence: o.Fence, Number: o.Number,
			Detail: fmt.Sprintf("highest fence seen is %d", e.highestStartedFence),
		})
	}
	e.highestStartedFence = max(e.highestStartedFence, o.Fence)
	id := orderID{o.Fence, o.Number}
	if earlier, ok := e.orderConfigs[id]; ok && !reflect.DeepEqual(earlier, o.Config) {
		e.recordViolation(Violation{
			Kind: ConflictingOrder, Fence: o.Fence, Number: o.Number,
			Detail: "an earlier order with this fence and number had another configuration",
		})
	}
	e.orderConfigs[id] = o.Config
}

// completeOrder applies the order's configuration when OrderTime has passed.
func (e *Engine) completeOrder(run *runningOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.currentOrder != run {
		return
	}
	e.state.Config, e.state.Number = cloneConfig(run.order.Config), run.order.Number
	// An order reloads the models, which discards the prefix cache and the KV caches.
	e.cache, e.kv = newPrefixCache(e.cfg.CacheBlocks), newKVTransfers()
	e.recordOrder(OrderFinished, run.order, "")
	e.releaseOrder(nil)
}

// releaseOrder ends the running order with err and wakes Apply.
func (e *Engine) releaseOrder(err error) {
	run := e.currentOrder
	run.timer.Stop()
	run.err = err
	e.currentOrder = nil
	e.state.Changing = false
	close(run.done)
}
