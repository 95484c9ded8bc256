package order_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/lease"
)

// historyEvent is one event of the history that findViolations checks.
type historyEvent struct {
	at time.Time
	// kind is apply, applied, refused, crash, pool or seal.
	kind          string
	sidecar       string
	fence, number uint64
	config        external.EngineConfig
	// inFlight is the number of requests in flight that must not be interrupted when an apply begins.
	inFlight      int
	acceptingWork bool // the sidecar accepted new work when the apply began
	// executing is the order number in the response to a seal.
	executing uint64
	held      bool // pool: the holder key and the fence record contain the same session
}

type history struct {
	mu     sync.Mutex
	events []historyEvent
}

func (h *history) add(e historyEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.at = time.Now()
	h.events = append(h.events, e)
}

func (h *history) snapshot() []historyEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]historyEvent(nil), h.events...)
}

const (
	applyDuration   = 3 * time.Second
	restartDuration = 2 * time.Second
)

// fakeEngine records the orders that reach it.
type fakeEngine struct {
	history *history
	// checksFence makes the engine refuse lower fence numbers, as some engines do.
	checksFence bool

	mu         sync.Mutex
	state      external.EngineState
	down       bool
	generation int
}

func newFakeEngine(h *history, checksFence bool) *fakeEngine {
	return &fakeEngine{history: h, checksFence: checksFence, state: external.EngineState{StartID: "start-0"}}
}

// crash discards the engine's state. The engine answers again after restartDuration.
func (f *fakeEngine) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.down = true
	f.state = external.EngineState{StartID: fmt.Sprintf("start-%d", f.generation)}
	generation := f.generation
	f.history.add(historyEvent{kind: "crash"})
	time.AfterFunc(restartDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.generation == generation {
			f.down = false
		}
	})
}

func (f *fakeEngine) current() (external.EngineState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.down
}

// apply runs to completion even if the sidecar that sent the order is killed.
func (f *fakeEngine) apply(e historyEvent, o external.EngineOrder) error {
	f.mu.Lock()
	e.fence, e.number, e.config = o.Fence, o.Number, o.Config
	if f.down {
		f.mu.Unlock()
		return external.ErrEngineFailed
	}
	if f.checksFence && o.Fence < f.state.Fence {
		f.mu.Unlock()
		e.kind = "refused"
		f.history.add(e)
		return external.ErrStaleFence
	}
	e.kind = "apply"
	f.history.add(e)
	f.state.Changing, f.state.Fence = true, max(f.state.Fence, o.Fence)
	generation := f.generation
	f.mu.Unlock()
	time.Sleep(applyDuration)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.generation != generation {
		return external.ErrEngineFailed
	}
	f.state.Changing, f.state.Number, f.state.Config = false, o.Number, o.Config
	e.kind = "applied"
	f.history.add(e)
	return nil
}

// fakeDrainer counts the requests that one sidecar has in flight.
type fakeDrainer struct {
	mu       sync.Mutex
	inFlight int
	draining bool
}

func (d *fakeDrainer) BeginDrain(context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	return nil
}

func (d *fakeDrainer) Wait(ctx context.Context) error {
	for {
		if n, _ := d.counts(); n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (d *fakeDrainer) EndDrain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = false
}

func (d *fakeDrainer) counts() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight, d.draining
}

// generateRequests starts a request that must not be interrupted every 300 ms unless the sidecar is
// draining.
func (d *fakeDrainer) generateRequests(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		if !d.draining {
			d.inFlight++
			time.AfterFunc(700*time.Millisecond, func() {
				d.mu.Lock()
				defer d.mu.Unlock()
				d.inFlight--
			})
		}
		d.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// findViolations returns the violations of the invariants in a history:
//
//   - I1: the engine executes one order at a time, in ascending order of their numbers.
//   - I2: an order interrupts no request that must not be interrupted, and is applied only while the
//     sidecar accepts no new work.
//   - I3: an order is applied only if the pool was held under its fence number within the last
//     500 ms, and not after a seal under a higher one, unless the seal reported it as executing. The
//     fence numbers of the orders never decrease.
func findViolations(events []historyEvent) []string {
	var violations []string
	report := func(invariant string, e historyEvent, format string, a ...any) {
		violations = append(violations, fmt.Sprintf("%s: order %d, fence %d, at %v: ", invariant, e.number, e.fence, e.at)+fmt.Sprintf(format, a...))
	}
	var running bool
	var lastNumber, lastFence uint64
	sealed := map[string]historyEvent{} // by sidecar
	for i, e := range events {
		switch e.kind {
		case "seal":
			sealed[e.sidecar] = e
		case "crash", "applied":
			running = false
		case "apply":
			if running {
				report("I1", e, "began while order %d executed", lastNumber)
			}
			if e.number <= lastNumber {
				report("I1", e, "began after order %d", lastNumber)
			}
			if e.inFlight > 0 || e.acceptingWork {
				report("I2", e, "interrupted %d requests, engine took work: %t", e.inFlight, e.acceptingWork)
			}
			if e.fence < lastFence {
				report("I3", e, "began after an order under fence %d", lastFence)
			}
			if s := sealed[e.sidecar]; e.fence < s.fence && s.executing != e.number {
				report("I3", e, "began after the seal under fence %d", s.fence)
			}
			if !authorised(events[:i], e) {
				report("I3", e, "fence was not in force within 500 ms before")
			}
			running, lastNumber, lastFence = true, e.number, e.fence
		}
	}
	return violations
}

// authorised reports whether the pool was held under the order's fence number at some time in the
// 500 ms before the order.
func authorised(before []historyEvent, order historyEvent) bool {
	for i := len(before) - 1; i >= 0; i-- {
		if before[i].kind != "pool" {
			continue
		}
		if before[i].held && before[i].fence == order.fence {
			return true
		}
		if order.at.Sub(before[i].at) > 500*time.Millisecond {
			return false // the pool was in this state during the whole interval
		}
	}
	return false
}

// poolEvent converts a pool state to an event of the history.
func poolEvent(s lease.PoolState) historyEvent {
	return historyEvent{kind: "pool", fence: s.FenceRecord.Fence, held: s.HeldUnder(s.FenceRecord.Fence, s.FenceRecord.Holder)}
}
