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

// LoseOrderAnswers makes the engine execute that many orders and lose their responses.
func (e *Engine) LoseOrderAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseOrders = n
}

// Apply implements external.Engine. The order goes on if the caller's context ends.
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
	if run.err == nil && e.loseOrders > 0 {
		e.loseOrders--
		return fmt.Errorf("%w: response of order %d lost", external.ErrEngineFailed, o.Number)
	}
	return run.err
}

func (e *Engine) beginOrder(ctx context.Context, o external.EngineOrder) (*runningOrder, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.orderRefusal(ctx, o); err != nil {
		e.recordOrder(OrderRefused, o, err.Error())
		return nil, err
	}
	e.observeOrder(o)
	e.state.Changing = true
	e.recordOrder(OrderStarted, o, "")
	for _, s := range e.cutAll("an order began") {
		e.violate(Violation{Kind: RequestCutByOrder, RequestID: s.req.RequestID, Fence: o.Fence, Number: o.Number})
	}
	run := &runningOrder{order: o, done: make(chan struct{})}
	e.order = run
	run.timer = time.AfterFunc(e.cfg.OrderTime, func() { e.finishOrder(run) })
	return run, nil
}

// orderRefusal checks an order and records its fence number.
func (e *Engine) orderRefusal(ctx context.Context, o external.EngineOrder) error {
	if ctx.Err() != nil || e.down {
		return fmt.Errorf("%w: engine is down or the context has ended", external.ErrEngineRefused)
	}
	if e.cfg.CheckFence && o.Fence < e.state.Fence {
		return fmt.Errorf("%w: order has %d, engine has seen %d", external.ErrStaleFence, o.Fence, e.state.Fence)
	}
	e.state.Fence = max(e.state.Fence, o.Fence)
	if e.order == nil {
		return nil
	}
	if !reflect.DeepEqual(e.order.order, o) {
		e.violate(Violation{
			Kind: ConflictingOrder, Fence: o.Fence, Number: o.Number,
			Detail: fmt.Sprintf("order %d of fence %d is running", e.order.order.Number, e.order.order.Fence),
		})
	}
	return fmt.Errorf("%w: order %d is running", external.ErrEngineRefused, e.order.order.Number)
}

// observeOrder records the violations of an order that is about to run.
func (e *Engine) observeOrder(o external.EngineOrder) {
	if o.Fence < e.highestFence {
		e.violate(Violation{
			Kind: StaleOrderRan, Fence: o.Fence, Number: o.Number,
			Detail: fmt.Sprintf("highest fence seen is %d", e.highestFence),
		})
	}
	e.highestFence = max(e.highestFence, o.Fence)
	id := orderID{o.Fence, o.Number}
	if earlier, ok := e.orders[id]; ok && !reflect.DeepEqual(earlier, o.Config) {
		e.violate(Violation{
			Kind: ConflictingOrder, Fence: o.Fence, Number: o.Number,
			Detail: "an earlier order with this fence and number had another configuration",
		})
	}
	e.orders[id] = o.Config
}

func (e *Engine) finishOrder(run *runningOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order != run {
		return
	}
	e.state.Config, e.state.Number = cloneConfig(run.order.Config), run.order.Number
	// Loading other models discards the KV cache.
	e.cache, e.kv = newPrefixCache(e.cfg.CacheBlocks), newKVCache()
	e.recordOrder(OrderFinished, run.order, "")
	e.endOrder(nil)
}

func (e *Engine) endOrder(err error) {
	run := e.order
	run.timer.Stop()
	run.err = err
	e.order = nil
	e.state.Changing = false
	close(run.done)
}
