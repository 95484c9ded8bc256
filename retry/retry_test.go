package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/retry"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// Guards against retry storms: retries never exceed their share of the first attempts plus the
// minimum rate.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudget(retry.Config{})
		now, firstAttempts, taken := start, 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "fresh") {
				b.RecordFirstAttempt(now)
				firstAttempts++
			} else if b.Take(now) {
				taken++
			}
		}
		bound := 1 + retry.DefaultShare*float64(firstAttempts) + retry.DefaultMinPerSecond*now.Sub(start).Seconds()
		if float64(taken) > bound+1e-6 {
			t.Fatalf("%d retries, bound %.2f", taken, bound)
		}
	})
}

// Guards against a service with little traffic that can never retry.
func TestMinimumWithoutTraffic(t *testing.T) {
	b := retry.NewBudget(retry.Config{})
	assert.True(t, b.Take(start))
	assert.False(t, b.Take(start))
	assert.True(t, b.Take(start.Add(time.Second)))
}

// Guards against waits that overflow, are shorter than the worker asked for, or are equal for
// requests that failed at the same time.
func TestBackoff(t *testing.T) {
	b := retry.NewBudget(retry.Config{})
	rnd := rand.New(rand.NewPCG(1, 2))
	seen := map[time.Duration]bool{}
	for n := 1; n < 100; n++ {
		d := b.Backoff(n, time.Second, rnd)
		assert.GreaterOrEqual(t, d, time.Second)
		assert.LessOrEqual(t, d, time.Second+retry.DefaultBackoffMax)
		seen[d] = true
	}
	assert.Greater(t, len(seen), 90)
}
