package retry

import (
	"sync"
	"time"
)

// windowBuckets divides the window. A bucket leaves the window as a whole, so that the window is
// longer than asked for by at most one bucket.
const windowBuckets = 20

// Window allows repeats as a share of the fresh requests of a sliding window. Because each process
// counts only its own requests and repeats, the processes together keep the share without talking to
// each other. It is safe for concurrent use.
type Window struct {
	share  float64
	slack  float64
	bucket time.Duration

	mu      sync.Mutex
	fresh   [windowBuckets + 1]int
	repeats [windowBuckets + 1]int
	at      int64
}

// NewWindow returns a budget of share x fresh requests + slack repeats in each window.
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
	if float64(sum(w.repeats[:])+1) > w.share*float64(sum(w.fresh[:]))+w.slack {
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
	return w.share*float64(sum(w.fresh[:])) + w.slack - float64(sum(w.repeats[:]))
}

// advance clears the buckets that have left the window and returns the current one.
func (w *Window) advance(now time.Time) int {
	at := now.UnixNano() / int64(w.bucket)
	for n := 0; w.at < at && n <= windowBuckets; n++ {
		w.at++
		i := w.at % (windowBuckets + 1)
		w.fresh[i], w.repeats[i] = 0, 0
	}
	w.at = max(w.at, at)
	return int(w.at % (windowBuckets + 1))
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
