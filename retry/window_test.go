package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/quetzallug/quetzallug/internal/rapidseed" // fixes the seed
)

// Guards against more retries in any window than the slack plus the share of the largest of three counts
// of first attempts: in that window, in the previous one and in the one that begins half a window earlier.
func TestWindowHoldsTheShareInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		slack := rapid.Float64Range(0, 5).Draw(t, "slack")
		w := NewWindowBudget(length, share, slack)
		now := time.Unix(1000, 0)
		var firstAttempts, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fresh") {
				w.RecordFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
			} else if w.Take(now) {
				retries = append(retries, now)
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
		for _, start := range retries {
			maxFirstAttempts := max(count(firstAttempts, start), count(firstAttempts, start.Add(-length)), count(firstAttempts, start.Add(-length/2)))
			if got := count(retries, start); float64(got) > share*float64(maxFirstAttempts)+slack {
				t.Fatalf("%d retries in the window from %s with %d first attempts", got, start, maxFirstAttempts)
			}
		}
	})
}

// Guards against retries that still count against the budget after their window has passed.
func TestWindowForgets(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0, 1)
	now := time.Unix(1000, 0)
	require.True(t, w.Take(now))
	require.False(t, w.Take(now.Add(9*time.Second)))
	require.True(t, w.Take(now.Add(11*time.Second)))
	require.InDelta(t, 0, w.Remaining(now.Add(11*time.Second)), 1e-9)
}
