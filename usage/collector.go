package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// memberWindows is the number of windows for which the holder waits for an instance that it no longer hears from.
	// An instance that cannot reach the holder sends its counts through the store by then.
	memberWindows = 2
	// gatherTime is how long a new holder waits for the first message of each instance. They are sent once a second, after
	// the instance has seen the new holder in its watch of the store; after an outage of the store that takes a second more.
	gatherTime = 3 * time.Second
	// maxEntries limits the counts that a holder keeps, by window, instance and account; each takes 24 to 59 bytes.
	// 340 instances and three windows with 2,000 runs a second take 30,000 at most.
	maxEntries = 1 << 17
	// clockDisagreement is the difference of the median clock of all instances from that of the holder from which the
	// holder's is stepped. The messages take milliseconds.
	clockDisagreement = 500 * time.Millisecond
	// maxPeers is the number of other instances of which each instance knows the address.
	maxPeers = 3
	// minMajority is the least number of instances whose clocks can outvote one.
	minMajority = 3
)

// Collector adds up the counts of all instances at the holder. It is safe for concurrent use.
type Collector struct {
	windows Windows

	mu      sync.Mutex
	since   time.Time
	decided int64
	members map[string]*member
	totals  map[int64]*total
	// copied holds the runs of which a copy was received: the holder may be the only one left with their counts.
	copied  map[source]struct{}
	entries int
	leftOut int64
}

// member is an instance from which counts were received.
type member struct {
	run          int64
	finalThrough int64
	heardAt      time.Time
	address      string
	// clockAhead is by how much its clock is ahead of the holder's; nil if it has not measured that yet.
	clockAhead *time.Duration
}

type source struct {
	instance string
	run      int64
}

// total holds the counts of a window. Accounts are numbered, so that their names are kept once.
type total struct {
	number   map[string]int32
	runs     []int64
	bySource map[source]map[int32]int64
}

// NewCollector returns an empty collector that starts at a time.
func NewCollector(w Windows, now time.Time) *Collector {
	return &Collector{windows: w, since: now, members: make(map[string]*member), totals: make(map[int64]*total), copied: make(map[source]struct{})}
}

// Add adds a message that was received at a time of the holder's window clock.
func (c *Collector) Add(m *Message, now time.Time) Ack {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A copy says nothing about the instance itself, which may be gone.
	if m.Copy && len(c.copied) < maxInstances {
		c.copied[source{m.Instance, m.Run}] = struct{}{}
	}
	if m.Copy || c.hear(m, now) {
		for _, w := range m.Windows {
			c.addWindow(source{m.Instance, m.Run}, w, c.windows.At(now))
		}
	}
	return Ack{DecidedThrough: c.decided, Instances: len(c.members), Clock: now, Peers: c.peers(m.Instance, now)}
}

// peers returns the addresses of some instances other than one.
func (c *Collector) peers(other string, now time.Time) []string {
	var out []string
	for name, m := range c.members { // in random order
		if len(out) == maxPeers {
			break
		}
		if name != other && m.address != "" && !m.leaves() && c.expected(m, c.windows.At(now)) {
			out = append(out, m.address)
		}
	}
	return out
}

// ended returns the counts of the windows that are not decided by run, for the runs that will not send them again as far as is
// known, because their instances have stopped, started again or fallen silent.
func (c *Collector) ended(now time.Time) []*Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.countsOf(func(from source) bool {
		if _, copied := c.copied[from]; copied {
			return true
		}
		m := c.members[from.instance]
		return m == nil || m.run != from.run || m.leaves() || !c.expected(m, c.windows.At(now))
	})
}

// takeOver adds the counts of an earlier collector of the same process.
func (c *Collector) takeOver(former *Collector, now time.Time) {
	former.mu.Lock()
	all := former.countsOf(func(source) bool { return true })
	copied := former.copied
	former.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range all {
		for _, w := range m.Windows {
			c.addWindow(source{m.Instance, m.Run}, w, c.windows.At(now))
		}
	}
	maps.Copy(c.copied, copied)
}

// countsOf returns the counts of the windows that are not decided, by run, for the runs that are selected. The caller must hold
// mu.
func (c *Collector) countsOf(selected func(from source) bool) []*Message {
	byRun := map[source]*Message{}
	for window, t := range c.totals {
		names := make(map[int32]string, len(t.number))
		for account, i := range t.number {
			names[i] = account
		}
		for from, counts := range t.bySource {
			if !selected(from) {
				continue
			}
			m := byRun[from]
			if m == nil {
				m = &Message{Instance: from.instance, Run: from.run, Copy: true}
				byRun[from] = m
			}
			w := WindowCounts{Window: window, Counts: make(map[string]int64, len(counts))}
			for i, n := range counts {
				w.Counts[names[i]] = n
			}
			m.Windows = append(m.Windows, w)
		}
	}
	return slices.Collect(maps.Values(byRun))
}

// leaves reports whether the instance has said that it sends no more counts.
func (m *member) leaves() bool { return m.finalThrough == leavingThrough }

// hear records that an instance sent a message. It returns false if there are too many instances.
func (c *Collector) hear(m *Message, now time.Time) bool {
	known := c.members[m.Instance]
	if known == nil {
		if len(c.members) >= maxInstances && !c.forgetOne(now) {
			c.leftOut++
			return false
		}
		known = &member{run: m.Run}
		c.members[m.Instance] = known
	}
	known.heardAt = now
	if m.Address != "" {
		known.address = m.Address
	}
	if m.Run != known.run {
		known.run, known.finalThrough, known.clockAhead = m.Run, m.FinalThrough, nil
	}
	if m.ClockAhead != nil {
		known.clockAhead = m.ClockAhead
	}
	known.finalThrough = max(known.finalThrough, m.FinalThrough)
	return true
}

// forgetOne removes an instance that is no longer expected to send counts. It returns false if there is none.
func (c *Collector) forgetOne(now time.Time) bool {
	for name, m := range c.members {
		if !c.expected(m, c.windows.At(now)) {
			delete(c.members, name)
			return true
		}
	}
	return false
}

// addWindow adds the counts of a run of an instance in a window. Only increases change the totals.
func (c *Collector) addWindow(from source, w WindowCounts, current int64) {
	if w.Window <= c.decided || w.Window > current+1 || w.Window < current-maxWindows {
		return
	}
	t := c.totals[w.Window]
	if t == nil {
		if len(c.totals) >= maxWindows {
			c.leftOut++
			return
		}
		t = &total{number: make(map[string]int32), bySource: make(map[source]map[int32]int64)}
		c.totals[w.Window] = t
	}
	counts := t.bySource[from]
	if counts == nil {
		counts = make(map[int32]int64)
		t.bySource[from] = counts
	}
	for account, n := range w.Counts {
		i, ok := t.number[account]
		if !ok {
			if len(t.runs) >= maxAccounts {
				c.leftOut++
				continue
			}
			i = int32(len(t.runs)) //nolint:gosec // below maxAccounts
			t.number[account] = i
			t.runs = append(t.runs, 0)
		}
		before, ok := counts[i]
		if !ok {
			if c.entries >= maxEntries {
				c.leftOut++
				continue
			}
			c.entries++
		}
		if n > before {
			counts[i] = n
			t.runs[i] += n - before
		}
	}
}

// Gathered returns the time until which a new holder waits for instances that it has not heard from.
func (c *Collector) Gathered() time.Time { return c.since.Add(gatherTime) }

// expected reports whether counts of an instance are awaited for a window.
func (c *Collector) expected(m *member, window int64) bool {
	return !m.heardAt.Before(c.windows.Start(window - memberWindows))
}

// Complete reports whether all instances that were recently heard from have sent their final counts of a window.
func (c *Collector) Complete(window int64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.Gathered()) || len(c.members) == 0 {
		return false
	}
	for _, m := range c.members {
		if c.expected(m, window) && m.finalThrough < window {
			return false
		}
	}
	return true
}

// Report returns the counts of a window.
func (c *Collector) Report(window int64) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Window: window, Counts: map[string]int64{}}
	if t := c.totals[window]; t != nil {
		for account, i := range t.number {
			if t.runs[i] > 0 {
				r.Counts[account] = t.runs[i]
			}
		}
	}
	return r
}

// Decide discards the windows up to one, which take no more counts.
func (c *Collector) Decide(through int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decided = max(c.decided, through)
	maps.DeleteFunc(c.totals, func(w int64, t *total) bool {
		if w > c.decided {
			return false
		}
		for _, counts := range t.bySource {
			c.entries -= len(counts)
		}
		return true
	})
	maps.DeleteFunc(c.copied, func(from source, _ struct{}) bool {
		for _, t := range c.totals {
			if _, ok := t.bySource[from]; ok {
				return false
			}
		}
		return true
	})
}

// Instances returns the number of instances from which counts were received, and LeftOut the number of counts that were
// ignored because of a limit.
func (c *Collector) Instances() (instances int, leftOut int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members), c.leftOut
}

// ClockStepped tells that the holder's clock was moved by d.
func (c *Collector) ClockStepped(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.clockAhead != nil {
			ahead := *m.clockAhead - d
			m.clockAhead = &ahead
		}
	}
}

// ClockError returns by how much the holder's clock has to be moved to agree with most instances; 0 if it does. At least
// three instances are needed for a majority.
func (c *Collector) ClockError(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var offsets []time.Duration
	for _, m := range c.members {
		if m.clockAhead != nil && c.expected(m, c.windows.At(now)) {
			offsets = append(offsets, *m.clockAhead)
		}
	}
	if len(offsets) < minMajority {
		return 0
	}
	slices.Sort(offsets)
	if median := offsets[len(offsets)/2]; median.Abs() > clockDisagreement {
		return median
	}
	return 0
}
