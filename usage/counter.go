package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// retention is how long an instance keeps the counts of a window whose report was not decided. Reports are due before.
const retention = time.Minute

// Counter counts the runs that one instance starts, by account and window. It is safe for concurrent use.
type Counter struct {
	windows Windows
	now     func() time.Time

	mu     sync.Mutex
	counts map[int64]*ownWindow
	// closed is the last window that takes no more runs.
	closed int64
	// leftOut counts the runs of accounts beyond maxAccounts.
	leftOut int64
	// unanswered holds the runs that have most probably begun.
	unanswered map[*unansweredRun]struct{}
}

// unansweredRun is a run of a request that was sent and has no answer yet.
type unansweredRun struct {
	account string
	sentAt  time.Time
}

type ownWindow struct {
	counts map[string]int64
	// changed holds the accounts whose counts changed since they were sent.
	changed map[string]struct{}
}

// NewCounter returns a Counter. now is the window clock.
func NewCounter(w Windows, now func() time.Time) *Counter {
	return &Counter{windows: w, now: now, counts: make(map[int64]*ownWindow), closed: w.At(now()) - 1, unanswered: make(map[*unansweredRun]struct{})}
}

// RunBegan counts a run of an account that began at a time, which has a monotonic reading. A run that is reported after
// its window was closed counts in the first open window.
func (c *Counter) RunBegan(account string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(account, at)
}

// RunSent records that a request of an account was sent at a time, which has a monotonic reading. settle must be called
// once it is known whether it began to run. If its window is closed before, it counts: a refusal comes within milliseconds.
func (c *Counter) RunSent(account string, at time.Time) (settle func(began bool)) {
	r := &unansweredRun{account, at}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered[r] = struct{}{}
	return func(began bool) { c.settle(r, began) }
}

func (c *Counter) settle(r *unansweredRun, began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.unanswered[r]; !ok {
		return
	}
	delete(c.unanswered, r)
	if began {
		c.count(r.account, r.sentAt)
	}
}

// windowAt returns the window of a time, which has a monotonic reading.
func (c *Counter) windowAt(t time.Time) int64 { return c.windows.At(c.now().Add(-time.Since(t))) }

// count counts a run. The caller must hold mu.
func (c *Counter) count(account string, at time.Time) {
	window := max(c.windowAt(at), c.closed+1)
	w := c.counts[window]
	if w == nil {
		if len(c.counts) >= maxWindows {
			c.leftOut++
			return
		}
		w = &ownWindow{counts: make(map[string]int64), changed: make(map[string]struct{})}
		c.counts[window] = w
	}
	if _, ok := w.counts[account]; !ok && len(w.counts) >= maxAccounts {
		c.leftOut++
		return
	}
	w.counts[account]++
	w.changed[account] = struct{}{}
}

// Close ends the counting in windows up to one, and returns the last closed window. Windows older than the retention
// are discarded.
func (c *Counter) Close(through int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed > through+1 {
		c.reopen(through)
	}
	for r := range c.unanswered {
		if c.windowAt(r.sentAt) <= through {
			delete(c.unanswered, r)
			c.count(r.account, r.sentAt)
		}
	}
	c.closed = max(c.closed, through)
	oldest := c.closed - int64(retention/c.windows.Length)
	maps.DeleteFunc(c.counts, func(w int64, _ *ownWindow) bool { return w < oldest })
	return c.closed
}

// reopen opens the windows after one again, because the clock was stepped back. Runs that were counted in windows that
// have not begun yet, which the holder refuses, count in the present one.
func (c *Counter) reopen(after int64) {
	c.closed = after
	present := after + 1
	for window, w := range c.counts {
		if window <= present+1 {
			continue
		}
		delete(c.counts, window)
		into := c.counts[present]
		if into == nil {
			into = &ownWindow{counts: make(map[string]int64), changed: make(map[string]struct{})}
			c.counts[present] = into
		}
		for account, n := range w.counts {
			into.counts[account] += n
			into.changed[account] = struct{}{}
		}
	}
}

// Discard discards the windows up to one, which is closed.
func (c *Counter) Discard(through int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	through = min(through, c.closed)
	maps.DeleteFunc(c.counts, func(w int64, _ *ownWindow) bool { return w <= through })
}

// TakeChanged returns the counts of at most limit accounts that changed since they were taken, the oldest windows
// first. more reports whether further counts have changed.
func (c *Counter) TakeChanged(limit int) (changed []WindowCounts, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, window := range slices.Sorted(maps.Keys(c.counts)) {
		w := c.counts[window]
		if len(w.changed) == 0 {
			continue
		}
		if limit == 0 {
			return changed, true
		}
		out := WindowCounts{Window: window, Counts: make(map[string]int64, min(limit, len(w.changed)))}
		for account := range w.changed {
			if limit == 0 {
				break
			}
			limit--
			out.Counts[account] = w.counts[account]
			delete(w.changed, account)
		}
		changed = append(changed, out)
		if len(w.changed) > 0 {
			return changed, true
		}
	}
	return changed, false
}

// Untake marks counts as changed again, because they were not sent.
func (c *Counter) Untake(taken []WindowCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range taken {
		if w := c.counts[t.Window]; w != nil {
			for account := range t.Counts {
				w.changed[account] = struct{}{}
			}
		}
	}
}

// UntakeAll marks all counts as changed, for a new holder.
func (c *Counter) UntakeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.counts {
		for account := range w.counts {
			w.changed[account] = struct{}{}
		}
	}
}

// Since returns all counts of windows from one on.
func (c *Counter) Since(from int64) []WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []WindowCounts
	for _, window := range slices.Sorted(maps.Keys(c.counts)) {
		if window >= from {
			all = append(all, WindowCounts{Window: window, Counts: maps.Clone(c.counts[window].counts)})
		}
	}
	return all
}

// LeftOut returns the number of runs that were not counted because of a limit.
func (c *Counter) LeftOut() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leftOut
}
