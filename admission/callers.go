package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallerLimits holds the limits of one caller. Zero RequestsPerSecond or Concurrent means no limit;
// Burst is the capacity of the token bucket and at least 1.
type CallerLimits struct {
	RequestsPerSecond float64
	Burst             int
	Concurrent        int
}

// callerShards is the number of separately locked parts of the caller table. callers.shard depends
// on its being 64.
const callerShards = 64

// callers tracks the usage of each caller in a bounded number of entries. The entry of a caller
// with no requests in flight and a full token bucket equals a new one, so it can be removed. If a
// shard is full of entries in use, further callers share the shard's overflow entry.
type callers struct {
	seed        uint64
	maxPerShard int
	limits      atomic.Pointer[CallerLimits]
	shards      [callerShards]callerShard
}

type callerShard struct {
	mu       sync.Mutex
	entries  map[uint64]*callerEntry
	overflow callerEntry
	// nextSweep is the earliest time of the next sweep. A sweep visits all entries, so there is at
	// most one per second.
	nextSweep time.Time
}

// callerEntry holds the token bucket of a caller's rate limit, as it was at refilledAt, and the
// number of its requests in flight.
type callerEntry struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

func newCallers(maxCallers int, seed uint64, l CallerLimits) *callers {
	c := &callers{seed: seed, maxPerShard: max(1, maxCallers/callerShards)}
	c.setLimits(l)
	for i := range c.shards {
		c.shards[i].entries = make(map[uint64]*callerEntry)
	}
	return c
}

func (c *callers) setLimits(l CallerLimits) { c.limits.Store(&l) }

// shard returns the caller's shard and the key of its entry. The multiplication (Fibonacci hashing)
// spreads the hash into the six highest bits, which select one of 64 shards.
func (c *callers) shard(caller string) (*callerShard, uint64) {
	h := xxhash.Sum64String(caller) ^ c.seed
	h *= 0x9e3779b97f4a7c15
	return &c.shards[h>>58], h
}

// acquire counts a request of the caller and returns Admitted, or returns the reason for its
// refusal and the time to wait before a retry. inOverflow is true if the request was counted in the
// overflow entry.
func (c *callers) acquire(caller string, now time.Time) (reason Reason, wait time.Duration, inOverflow bool) {
	l := *c.limits.Load()
	if caller == "" || l == (CallerLimits{}) {
		return Admitted, 0, false
	}
	burst := float64(max(l.Burst, 1))
	s, h := c.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(h, c.maxPerShard, l.RequestsPerSecond, burst, now)
	if l.Concurrent > 0 && e.inFlight >= l.Concurrent {
		return CallerConcurrent, minRetryAfter, false
	}
	if l.RequestsPerSecond > 0 {
		e.refill(l.RequestsPerSecond, burst, now)
		if e.tokens < 1 {
			return CallerRate, time.Duration((1 - e.tokens) / l.RequestsPerSecond * float64(time.Second)), false
		}
		e.tokens--
	}
	e.inFlight++
	return Admitted, 0, e == &s.overflow
}

// release stops counting a request and adds refund to the tokens in the caller's bucket: 1 if the
// request did not run, else 0.
func (c *callers) release(caller string, inOverflow bool, refund float64) {
	if caller == "" {
		return
	}
	s, h := c.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[h]
	if inOverflow {
		e = &s.overflow
	}
	if e != nil {
		e.tokens += refund
		e.inFlight = max(0, e.inFlight-1)
	}
}

// entry returns the entry for a key and creates it if needed. It returns the overflow entry if the
// shard is full.
func (s *callerShard) entry(h uint64, maxEntries int, rate, burst float64, now time.Time) *callerEntry {
	if e := s.entries[h]; e != nil {
		return e
	}
	if len(s.entries) >= maxEntries && !now.Before(s.nextSweep) {
		s.sweep(rate, burst, now)
	}
	if len(s.entries) >= maxEntries {
		if s.overflow.refilledAt.IsZero() {
			s.overflow = callerEntry{tokens: burst, refilledAt: now}
		}
		return &s.overflow
	}
	e := &callerEntry{tokens: burst, refilledAt: now}
	s.entries[h] = e
	return e
}

// sweep removes the entries without requests in flight whose bucket is full.
func (s *callerShard) sweep(rate, burst float64, now time.Time) {
	s.nextSweep = now.Add(time.Second)
	for h, e := range s.entries {
		if rate > 0 {
			e.refill(rate, burst, now)
		}
		if e.inFlight == 0 && (rate <= 0 || e.tokens >= burst) {
			delete(s.entries, h)
		}
	}
}

// refill adds the tokens accrued since the last refill, up to burst.
func (e *callerEntry) refill(rate, burst float64, now time.Time) {
	if elapsed := now.Sub(e.refilledAt).Seconds(); elapsed > 0 {
		e.tokens = min(burst, e.tokens+elapsed*rate)
		e.refilledAt = now
	}
}
