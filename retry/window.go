package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets divides the window.
	windowBuckets = 20
	// historyBuckets covers the window, the one before it, and the partial buckets at both ends.
	historyBuckets = 2*windowBuckets + 2
)

// Window allows repeats as a share of the fresh requests of a sliding window. Because each process
// counts only its own requests and repeats, the processes together keep the share without talking to
// each other. It is safe for concurrent use.
//
// A window at any position may hold at most share x requests + slack repeats, where requests are those
// of that window, of the one before it or of the one half a window before it, whichever are most.
// Partial buckets count in full for repeats and not at all for requests, so that the bound holds
// between bucket boundaries too.
type Window struct {
	share  float64
	slack  float64
	bucket time.Duration

	mu      sync.Mutex
	fresh   [historyBuckets]int
	repeats [historyBuckets]int
	at      int64
}

// NewWindow returns a budget for windows of the given length.
func NewWindow(length time.Duration, share, slack float64) *Window {
	return &Window{share: share, slack: slack, bucket: max(length/windowBuckets, time.Millisecond)}
}

// Fresh counts a request.
func (w *Window) Fresh(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fresh[w.advance(now)]++
}

// Take counts a repeat if the budget allows it.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	if w.left() < 1 {
		return false
	}
	w.repeats[i]++
	return true
}

// Left returns the number of repeats that the budget allows now.
func (w *Window) Left(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.left()
}

// left is the least room of all windows that contain the present. No request to come is counted on.
func (w *Window) left() float64 {
	var fresh [historyBuckets + 1]int // fresh[n] are the requests of the last n buckets
	for age := range historyBuckets {
		fresh[age+1] = fresh[age] + w.fresh[w.index(age)]
	}
	// between counts the requests of the buckets whose age is at least from and below to.
	between := func(from, to int) int {
		from, to = max(from, 0), min(to, historyBuckets)
		return max(0, fresh[to]-fresh[min(from, to)])
	}
	least, repeats := w.slack, 0
	for start := range windowBuckets + 1 {
		repeats += w.repeats[w.index(start)]
		requests := max(
			between(0, start),
			between(start+1, start+windowBuckets),
			between(start-windowBuckets/2+1, start+windowBuckets/2),
		)
		room := w.share*float64(requests) + w.slack - float64(repeats)
		if start == 0 || room < least {
			least = room
		}
	}
	return least
}

// index returns the bucket of the given age; the current one has age 0.
func (w *Window) index(age int) int {
	return int(((w.at-int64(age))%historyBuckets + historyBuckets) % historyBuckets)
}

// advance clears the buckets that have left the history and returns the current one.
func (w *Window) advance(now time.Time) int {
	at := now.UnixNano() / int64(w.bucket)
	for n := 0; w.at < at && n <= historyBuckets; n++ {
		w.at++
		i := w.index(0)
		w.fresh[i], w.repeats[i] = 0, 0
	}
	w.at = max(w.at, at)
	return w.index(0)
}
