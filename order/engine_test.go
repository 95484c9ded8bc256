package order_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/lease"
)

// entry is one line of the journal that the checker reads.
type journalEntry struct {
	at time.Time
	// kind is apply, applied, refused, crash, pool or seal.
	kind          string
	sidecar       string
	fence, number uint64
	config        external.EngineConfig
	// inFlight counts requests that may not be interrupted, at the begin of an apply.
	inFlight int
	open     bool // the engine took new work
	// executing is the order number in a seal's answer.
	executing uint64
	held      bool // pool: holder and fence name the same session
}

type journal struct {
	mu      sync.Mutex
	entries []journalEntry
}

func (j *journal) add(e journalEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.at = time.Now()
	j.entries = append(j.entries, e)
}

func (j *journal) all() []journalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]journalEntry(nil), j.entries...)
}

const (
	applyTime   = 3 * time.Second
	restartTime = 2 * time.Second
)

// fakeEngine records the orders that reach it.
type fakeEngine struct {
	journal *journal
	// checksFence makes it refuse lower fence numbers, as some engines do.
	checksFence bool

	mu    sync.Mutex
	state external.EngineState
	down  bool
	run   int
}

func newFakeEngine(j *journal, checksFence bool) *fakeEngine {
	return &fakeEngine{journal: j, checksFence: checksFence, state: external.EngineState{StartID: "start-0"}}
}

// crash loses all state. The engine is back after restartTime.
func (f *fakeEngine) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.run++
	f.down = true
	f.state = external.EngineState{StartID: fmt.Sprintf("start-%d", f.run)}
	run := f.run
	f.journal.add(journalEntry{kind: "crash"})
	time.AfterFunc(restartTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.run == run {
			f.down = false
		}
	})
}

func (f *fakeEngine) current() (external.EngineState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.down
}

// apply runs to its end even if the sidecar that sent the order dies.
func (f *fakeEngine) apply(e journalEntry, o external.EngineOrder) error {
	f.mu.Lock()
	e.fence, e.number, e.config = o.Fence, o.Number, o.Config
	if f.down {
		f.mu.Unlock()
		return external.ErrEngineFailed
	}
	if f.checksFence && o.Fence < f.state.Fence {
		f.mu.Unlock()
		e.kind = "refused"
		f.journal.add(e)
		return external.ErrStaleFence
	}
	e.kind = "apply"
	f.journal.add(e)
	f.state.Changing, f.state.Fence = true, max(f.state.Fence, o.Fence)
	run := f.run
	f.mu.Unlock()
	time.Sleep(applyTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.run != run {
		return external.ErrEngineFailed
	}
	f.state.Changing, f.state.Number, f.state.Config = false, o.Number, o.Config
	e.kind = "applied"
	f.journal.add(e)
	return nil
}

// slotDrainer holds the requests that one sidecar has in flight.
type slotDrainer struct {
	mu       sync.Mutex
	inFlight int
	draining bool
}

func (d *slotDrainer) BeginDrain(context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	return nil
}

func (d *slotDrainer) Wait(ctx context.Context) error {
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

func (d *slotDrainer) EndDrain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = false
}

func (d *slotDrainer) counts() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight, d.draining
}

// traffic starts a request that may not be interrupted every 300 ms while the engine takes work.
func (d *slotDrainer) traffic(ctx context.Context) {
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

// check is the model: it reads only the journal and reports violations of the invariants.
func check(entries []journalEntry) []string {
	var bad []string
	report := func(invariant string, e journalEntry, format string, a ...any) {
		bad = append(bad, fmt.Sprintf("%s: order %d, fence %d, at %v: ", invariant, e.number, e.fence, e.at)+fmt.Sprintf(format, a...))
	}
	var running bool
	var lastNumber, lastFence uint64
	sealed := map[string]journalEntry{} // by sidecar
	for i, e := range entries {
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
			if e.inFlight > 0 || e.open {
				report("I2", e, "interrupted %d requests, engine took work: %t", e.inFlight, e.open)
			}
			if e.fence < lastFence {
				report("I3", e, "began after an order under fence %d", lastFence)
			}
			if s := sealed[e.sidecar]; e.fence < s.fence && s.executing != e.number {
				report("I3", e, "began after the seal under fence %d", s.fence)
			}
			if !authorised(entries[:i], e) {
				report("I3", e, "fence was not in force within 500 ms before")
			}
			running, lastNumber, lastFence = true, e.number, e.fence
		}
	}
	return bad
}

// authorised reports whether the pool was held under the order's fence number at some time in the
// 500 ms before the order.
func authorised(before []journalEntry, order journalEntry) bool {
	for i := len(before) - 1; i >= 0; i-- {
		if before[i].kind != "pool" {
			continue
		}
		if before[i].held && before[i].fence == order.fence {
			return true
		}
		if order.at.Sub(before[i].at) > 500*time.Millisecond {
			return false // this state was in force during the whole interval
		}
	}
	return false
}

// poolEntry turns a pool state into a line of the journal.
func poolEntry(s lease.PoolState) journalEntry {
	return journalEntry{kind: "pool", fence: s.Fence.Fence, held: s.Current(s.Fence.Fence, s.Fence.Holder)}
}
