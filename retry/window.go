package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of time buckets in a window.
	windowBuckets = 20
	// historyBuckets covers a window, the one before it, and the partial buckets at both ends.
	historyBuckets = 2*windowBuckets + 2
)

// Window is a retry budget that allows retries as a share of the first attempts in a sliding window.
// Each process counts only its own first attempts and retries. All processes together then stay
// within the share too, without communication. Window is safe for concurrent use.
//
// A window at any position holds at most share x first attempts + slack retries. The first attempts
// are those of this window, of the previous window or of the window that begins half a window
// earlier, whichever are most. Partial buckets count in full for retries and not at all for first
// attempts, so that the bound also holds for windows that don't start at a bucket boundary.
type Window struct {
	share        float64
	slack        float64
	bucketLength time.Duration

	mu      sync.Mutex
	fresh   [historyBuckets]int
	retries [historyBuckets]int
	current int64
}

// NewWindow returns a budget for windows of the given length. It allows share retries per first
// attempt and slack retries in addition.
func NewWindow(length time.Duration, share, slack float64) *Window {
	return &Window{share: share, slack: slack, bucketLength: max(length/windowBuckets, time.Millisecond)}
}

// Fresh records a first attempt.
func (w *Window) Fresh(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fresh[w.advance(now)]++
}

// Take reports whether a retry is allowed. If so, the retry is counted.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	if w.remaining() < 1 {
		return false
	}
	w.retries[i]++
	return true
}

// Left returns the number of retries that the budget allows now.
func (w *Window) Left(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.remaining()
}

// remaining returns the smallest allowance of all windows that contain the current time. Future
// first attempts are not counted on.
func (w *Window) remaining() float64 {
	var freshSums [historyBuckets + 1]int // freshSums[n] counts the first attempts in the n newest buckets
	for age := range historyBuckets {
		freshSums[age+1] = freshSums[age] + w.fresh[w.index(age)]
	}
	// countBetween returns the first attempts in the buckets of age from up to, but not including, to.
	countBetween := func(from, to int) int {
		from, to = max(from, 0), min(to, historyBuckets)
		return max(0, freshSums[to]-freshSums[min(from, to)])
	}
	least, retries := w.slack, 0
	for start := range windowBuckets + 1 {
		retries += w.retries[w.index(start)]
		requests := max(
			countBetween(0, start),
			countBetween(start+1, start+windowBuckets),
			countBetween(start-windowBuckets/2+1, start+windowBuckets/2),
		)
		allowance := w.share*float64(requests) + w.slack - float64(retries)
		if start == 0 || allowance < least {
			least = allowance
		}
	}
	return least
}

// index returns the index of the bucket that is age buckets older than the current one.
func (w *Window) index(age int) int {
	return int(((w.current-int64(age))%historyBuckets + historyBuckets) % historyBuckets)
}

// advance makes the bucket of the given time the current one, clears the buckets that it reuses, and
// returns its index. Time that goes backwards is ignored.
func (w *Window) advance(now time.Time) int {
	current := now.UnixNano() / int64(w.bucketLength)
	for n := 0; w.current < current && n <= historyBuckets; n++ {
		w.current++
		i := w.index(0)
		w.fresh[i], w.retries[i] = 0, 0
	}
	w.current = max(w.current, current)
	return w.index(0)
}
