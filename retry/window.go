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

// WindowBudget is a retry budget that allows retries as a share of the first attempts in a sliding
// window. It is safe for concurrent use.
//
// In each window, wherever it begins, at most share x N + slack retries are allowed. N is the
// largest number of first attempts in one of three windows: this one, the previous one, and the one
// that begins half a window earlier. Each process counts only its own first attempts and retries,
// without communication; the bounds of all processes, slack included, add up.
//
// Partial buckets count in full for retries and not at all for first attempts, so that the bound
// also holds for windows that don't start at a bucket boundary.
type WindowBudget struct {
	share        float64
	slack        float64
	bucketLength time.Duration

	mu            sync.Mutex
	firstAttempts [historyBuckets]int
	retries       [historyBuckets]int
	current       int64
}

// NewWindowBudget returns a budget for windows of the given length. It allows share retries per first
// attempt and slack retries in addition.
func NewWindowBudget(length time.Duration, share, slack float64) *WindowBudget {
	return &WindowBudget{share: share, slack: slack, bucketLength: max(length/windowBuckets, time.Millisecond)}
}

// RecordFirstAttempt records a first attempt.
func (w *WindowBudget) RecordFirstAttempt(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstAttempts[w.advance(now)]++
}

// Take reports whether a retry is allowed. If so, the retry is counted.
func (w *WindowBudget) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	if w.remaining() < 1 {
		return false
	}
	w.retries[i]++
	return true
}

// Remaining returns the number of retries that the budget allows now, which may be fractional. Take
// needs at least 1.
func (w *WindowBudget) Remaining(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.remaining()
}

// remaining returns the smallest number of further retries that any window containing the current
// time allows. First attempts that may still come are not counted.
func (w *WindowBudget) remaining() float64 {
	var firstAttemptSums [historyBuckets + 1]int // firstAttemptSums[n] counts the first attempts in the n newest buckets
	for age := range historyBuckets {
		firstAttemptSums[age+1] = firstAttemptSums[age] + w.firstAttempts[w.index(age)]
	}
	// countBetween returns the number of first attempts in the buckets with minAge <= age < endAge.
	countBetween := func(minAge, endAge int) int {
		minAge, endAge = max(minAge, 0), min(endAge, historyBuckets)
		return max(0, firstAttemptSums[endAge]-firstAttemptSums[min(minAge, endAge)])
	}
	least, retries := w.slack, 0
	// oldest is the age in buckets of the window's oldest bucket.
	for oldest := range windowBuckets + 1 {
		retries += w.retries[w.index(oldest)]
		maxFirstAttempts := max(
			countBetween(0, oldest),
			countBetween(oldest+1, oldest+windowBuckets),
			countBetween(oldest-windowBuckets/2+1, oldest+windowBuckets/2),
		)
		allowance := w.share*float64(maxFirstAttempts) + w.slack - float64(retries)
		if oldest == 0 || allowance < least {
			least = allowance
		}
	}
	return least
}

// index returns the index of the bucket that is age buckets older than the current one.
func (w *WindowBudget) index(age int) int {
	return int(((w.current-int64(age))%historyBuckets + historyBuckets) % historyBuckets)
}

// advance makes the bucket of the given time the current one, clears the buckets that it reuses, and
// returns its index. Time that goes backwards is ignored.
func (w *WindowBudget) advance(now time.Time) int {
	current := now.UnixNano() / int64(w.bucketLength)
	for n := 0; w.current < current && n <= historyBuckets; n++ {
		w.current++
		i := w.index(0)
		w.firstAttempts[i], w.retries[i] = 0, 0
	}
	w.current = max(w.current, current)
	return w.index(0)
}
