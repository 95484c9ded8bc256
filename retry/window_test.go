package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/quetzallug/quetzallug/internal/rapidseed" // fixes the seed
)

// Guards against a sliding window of any position that holds more repeats than its share. The users'
// rule counts the fresh requests of that window, of the one before and of the one half a window before.
func TestWindowHoldsTheShareInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		slack := rapid.Float64Range(0, 5).Draw(t, "slack")
		w := NewWindow(length, share, slack)
		now := time.Unix(1000, 0)
		var fresh, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fresh") {
				w.Fresh(now)
				fresh = append(fresh, now)
			} else if w.Take(now) {
				repeats = append(repeats, now)
			}
		}
		count := func(times []time.Time, from time.Time) (n int) {
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(length)) {
					n++
				}
			}
			return n
		}
		for _, start := range repeats {
			requests := max(count(fresh, start), count(fresh, start.Add(-length)), count(fresh, start.Add(-length/2)))
			if got := count(repeats, start); float64(got) > share*float64(requests)+slack {
				t.Fatalf("%d repeats in the window from %s for %d requests", got, start, requests)
			}
		}
	})
}

// Guards against a budget that stays spent after its window has passed.
func TestWindowForgets(t *testing.T) {
	w := NewWindow(10*time.Second, 0, 1)
	now := time.Unix(1000, 0)
	require.True(t, w.Take(now))
	require.False(t, w.Take(now.Add(9*time.Second)))
	require.True(t, w.Take(now.Add(11*time.Second)))
	require.InDelta(t, 0, w.Left(now.Add(11*time.Second)), 1e-9)
}
