package usage

import (
	"sync"
	"time"
)

const (
	// adoptAfter is how long the wall clock must differ by the same amount before the difference is adopted. Some
	// machines' wall clocks jump by seconds and back.
	adoptAfter = time.Minute
	// clockTolerance is the difference from the wall clock that is ignored. It is small compared with a window.
	clockTolerance = 100 * time.Millisecond
)

// Clock is the wall clock without its jumps. It is safe for concurrent use.
type Clock struct {
	wall    func() time.Time
	elapsed func() time.Duration

	mu sync.Mutex
	// origin is the wall time at which the elapsed time was 0.
	origin time.Time
	// accepted is by how much the wall clock is known to be ahead of the true time, because most instances disagree with
	// it.
	accepted time.Duration
	// difference is a difference from the wall clock that has lasted since differsSince; 0 if there is none.
	difference   time.Duration
	differsSince time.Duration
}

// NewClock returns a clock that starts at the wall clock's time. elapsed is a clock that only moves forward, also while
// the machine is suspended.
func NewClock(wall func() time.Time, elapsed func() time.Duration) *Clock {
	return &Clock{wall: wall, elapsed: elapsed, origin: wall().Round(0).Add(-elapsed())}
}

// Now returns the current time without a monotonic reading.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := c.elapsed()
	now := c.origin.Add(elapsed)
	difference := c.wall().Round(0).Sub(now)
	if difference.Abs() <= clockTolerance {
		c.accepted = 0
	}
	difference -= c.accepted
	switch {
	case difference.Abs() <= clockTolerance:
		c.difference = 0
	case (difference - c.difference).Abs() > clockTolerance:
		c.difference, c.differsSince = difference, elapsed
	case elapsed-c.differsSince >= adoptAfter:
		c.origin, c.difference = c.origin.Add(difference), 0
		now = now.Add(difference)
	}
	return now
}

// Step moves the clock by d, so that it agrees with those of most other instances.
func (c *Clock) Step(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.origin, c.accepted, c.difference = c.origin.Add(d), c.accepted-d, 0
}
