// Package retry bounds repeated attempts to a share of fresh traffic and spaces them.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of Config.
const (
	DefaultShare     = 0.10
	DefaultMinPerSec = 1.0
	DefaultBurst     = 20.0
	DefaultBase      = 10 * time.Millisecond
	DefaultMax       = 2 * time.Second
)

// Config sets a budget and its back-off. Zero fields take the defaults.
type Config struct {
	// Share is the number of retries allowed per fresh request.
	Share float64
	// MinPerSecond is allowed even without fresh traffic, so that a quiet service can retry.
	MinPerSecond float64
	// Burst is the most retries that may be saved up.
	Burst float64
	// Base is the upper bound of the first wait; it doubles with each attempt up to Max.
	Base time.Duration
	Max  time.Duration
}

func (c Config) withDefaults() Config {
	if c.Share <= 0 {
		c.Share = DefaultShare
	}
	if c.MinPerSecond <= 0 {
		c.MinPerSecond = DefaultMinPerSec
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.Base <= 0 {
		c.Base = DefaultBase
	}
	if c.Max <= 0 {
		c.Max = DefaultMax
	}
	return c
}

// Budget allows retries as a share of fresh requests. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// NewBudget returns a budget that starts with one retry per MinPerSecond.
func NewBudget(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{cfg: cfg, tokens: min(cfg.Burst, cfg.MinPerSecond)}
}

// Fresh records a first attempt.
func (b *Budget) Fresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.cfg.Burst, b.tokens+b.cfg.Share)
}

// Take tells whether a retry is allowed, and spends it.
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

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); !b.at.IsZero() && elapsed > 0 {
		b.tokens = min(b.cfg.Burst, b.tokens+elapsed*b.cfg.MinPerSecond)
	}
	if now.After(b.at) {
		b.at = now
	}
}

// Backoff returns the wait before the given retry (1 is the first). The wait is drawn evenly
// between zero and a bound that doubles, so that callers that failed together do not return
// together. It is never shorter than retryAfter, which the refusing worker gave.
func (b *Budget) Backoff(attempt int, retryAfter time.Duration, rnd *rand.Rand) time.Duration {
	bound := b.cfg.Base
	for i := 1; i < attempt && bound < b.cfg.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.cfg.Max)
	return retryAfter + time.Duration(rnd.Int64N(int64(bound)+1))
}
