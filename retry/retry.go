// Package retry limits retries to a share of the first attempts and computes the waits before them.
// Budget limits by a token bucket, WindowBudget by a sliding window.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Default values of Config.
const (
	DefaultShare        = 0.10
	DefaultMinPerSecond = 1.0
	DefaultBurst        = 20.0
	DefaultBackoffBase  = 10 * time.Millisecond
	DefaultBackoffMax   = 2 * time.Second
)

// Config holds the settings of a Budget and its back-off. Zero fields take the defaults.
type Config struct {
	// Share is the number of retries allowed per first attempt.
	Share float64
	// MinPerSecond is the number of retries per second that are allowed in addition, so that a
	// service with little traffic can retry.
	MinPerSecond float64
	// Burst is the maximum number of retries that can accumulate.
	Burst float64
	// BackoffBase is the upper bound of the random part of the wait before the first retry. The bound
	// doubles with each further retry up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

func (c Config) withDefaults() Config {
	if c.Share <= 0 {
		c.Share = DefaultShare
	}
	if c.MinPerSecond <= 0 {
		c.MinPerSecond = DefaultMinPerSecond
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.BackoffBase <= 0 {
		c.BackoffBase = DefaultBackoffBase
	}
	if c.BackoffMax <= 0 {
		c.BackoffMax = DefaultBackoffMax
	}
	return c
}

// Budget is a token bucket that allows retries as a share of the first attempts. It is safe for
// concurrent use.
type Budget struct {
	cfg Config

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a budget that initially holds MinPerSecond retries, at most Burst.
func NewBudget(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{cfg: cfg, tokens: min(cfg.Burst, cfg.MinPerSecond)}
}

// RecordFirstAttempt records a first attempt, which adds Share retries to the budget.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Share)
}

// Take reports whether a retry is allowed. If so, the retry is taken from the budget.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the retries that MinPerSecond allows for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); !b.refilledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.cfg.Burst, b.tokens+elapsed*b.cfg.MinPerSecond)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}

// Backoff returns the wait before a retry; retry is 1 for the first one. The wait is retryAfter,
// which the worker that refused the request asked for, plus a uniformly random time up to a bound
// that doubles with each retry. The random part spreads out requests that failed at the same time.
func (b *Budget) Backoff(retry int, retryAfter time.Duration, rnd *rand.Rand) time.Duration {
	bound := b.cfg.BackoffBase
	for i := 1; i < retry && bound < b.cfg.BackoffMax; i++ {
		bound *= 2
	}
	bound = min(bound, b.cfg.BackoffMax)
	return retryAfter + time.Duration(rnd.Int64N(int64(bound)+1))
}
