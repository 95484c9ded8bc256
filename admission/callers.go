package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallerLimits bound one caller. Zero fields mean no limit.
type CallerLimits struct {
	RequestsPerSecond float64
	Burst             int
	Concurrent        int
}

const callerShards = 64

// callers keeps the use of each caller in a bounded number of entries. A caller with nothing in
// flight and a full bucket needs no entry, so its entry can be dropped without effect. If a shard
// has no such entry, further callers share one overflow entry per shard.
type callers struct {
	seed     uint64
	perShard int
	limits   atomic.Pointer[CallerLimits]
	shards   [callerShards]callerShard
}

type callerShard struct {
	mu       sync.Mutex
	entries  map[uint64]*callerEntry
	overflow callerEntry
	// sweepAt limits full sweeps of a shard to one per second.
	sweepAt time.Time
}

type callerEntry struct {
	tokens     float64
	at         time.Time
	concurrent int
}

func newCallers(maximum int, seed uint64, l CallerLimits) *callers {
	c := &callers{seed: seed, perShard: max(1, maximum/callerShards)}
	c.setLimits(l)
	for i := range c.shards {
		c.shards[i].entries = make(map[uint64]*callerEntry)
	}
	return c
}

func (c *callers) setLimits(l CallerLimits) { c.limits.Store(&l) }

func (c *callers) shard(caller string) (*callerShard, uint64) {
	h := xxhash.Sum64String(caller) ^ c.seed
	h *= 0x9e3779b97f4a7c15
	return &c.shards[h>>58], h
}

// take counts a request of the caller, or says why the caller may not send it now. shared tells
// that it was counted in the overflow entry.
func (c *callers) take(caller string, now time.Time) (reason Reason, wait time.Duration, shared bool) {
	l := *c.limits.Load()
	if caller == "" || l == (CallerLimits{}) {
		return Admitted, 0, false
	}
	burst := float64(max(l.Burst, 1))
	s, h := c.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(h, c.perShard, l.RequestsPerSecond, burst, now)
	if l.Concurrent > 0 && e.concurrent >= l.Concurrent {
		return CallerConcurrent, minRetryAfter, false
	}
	if l.RequestsPerSecond > 0 {
		e.refill(l.RequestsPerSecond, burst, now)
		if e.tokens < 1 {
			return CallerRate, time.Duration((1 - e.tokens) / l.RequestsPerSecond * float64(time.Second)), false
		}
		e.tokens--
	}
	e.concurrent++
	return Admitted, 0, e == &s.overflow
}

// giveBack ends a counted request and returns the given number of rate tokens.
func (c *callers) giveBack(caller string, shared bool, tokens float64) {
	if caller == "" {
		return
	}
	s, h := c.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[h]
	if shared {
		e = &s.overflow
	}
	if e != nil {
		e.tokens += tokens
		e.concurrent = max(0, e.concurrent-1)
	}
}

func (s *callerShard) entry(h uint64, maximum int, rate, burst float64, now time.Time) *callerEntry {
	if e := s.entries[h]; e != nil {
		return e
	}
	if len(s.entries) >= maximum && !now.Before(s.sweepAt) {
		s.sweep(rate, burst, now)
	}
	if len(s.entries) >= maximum {
		if s.overflow.at.IsZero() {
			s.overflow = callerEntry{tokens: burst, at: now}
		}
		return &s.overflow
	}
	e := &callerEntry{tokens: burst, at: now}
	s.entries[h] = e
	return e
}

// sweep drops the entries that hold no information.
func (s *callerShard) sweep(rate, burst float64, now time.Time) {
	s.sweepAt = now.Add(time.Second)
	for h, e := range s.entries {
		if rate > 0 {
			e.refill(rate, burst, now)
		}
		if e.concurrent == 0 && (rate <= 0 || e.tokens >= burst) {
			delete(s.entries, h)
		}
	}
}

func (e *callerEntry) refill(rate, burst float64, now time.Time) {
	if elapsed := now.Sub(e.at).Seconds(); elapsed > 0 {
		e.tokens = min(burst, e.tokens+elapsed*rate)
		e.at = now
	}
}
