// Package admission decides whether a request may run. It rejects requests that cannot meet their
// deadline or latency targets, enforces the limits of each caller and of the queue, and under load
// rejects requests of lower rank first without starving them. The package does no I/O and takes the
// current time as an argument.
package admission

import (
	"sync"
	"time"
)

// Reason is why a request was refused. The empty reason means that it was admitted.
type Reason string

// The reasons of decisions. A request that was refused for one of them did not run.
const (
	Admitted         Reason = ""
	Expired          Reason = "expired"           // the deadline has passed
	Late             Reason = "late"              // a latency target or the deadline would be missed
	CallerRate       Reason = "caller_rate"       // the caller reached its rate limit
	CallerConcurrent Reason = "caller_concurrent" // the caller reached its limit of concurrent requests
	QueueFull        Reason = "queue_full"        // Config.Queue requests are already waiting
	RankYields       Reason = "rank_yields"       // the remaining capacity is reserved for higher ranks
	NoWorker         Reason = "no_worker"         // no worker can take the request
)

// Default values of Config.
const (
	DefaultQueue            = 64
	DefaultYieldStep        = 0.15
	DefaultMinYieldPressure = 0.4
	DefaultGuaranteedShare  = 0.05
	DefaultTargetShare      = 1.0
	DefaultMaxCallers       = 32_768
)

// lowestRank is the least important rank with counters of its own. Ranks with larger numbers are
// treated as lowestRank.
const lowestRank = 8

// Config holds the settings of a Controller. Zero fields except Callers and Seed take the defaults.
type Config struct {
	// Queue is the maximum number of waiting requests.
	Queue int
	// YieldStep lowers the maximum pressure at which a rank is admitted, from 1, per unit of demand
	// of the higher ranks. MinYieldPressure is its lower bound. Pressure is the largest used fraction
	// of the queue or of a latency target. The demand grows with the share of the higher ranks and is
	// 1 if half of the recent requests have the next higher rank.
	YieldStep        float64
	MinYieldPressure float64
	// GuaranteedShare is the number of requests of a rank that may run above the rank's maximum
	// pressure, per admitted request of a higher rank. Starvable requests have no guarantee.
	GuaranteedShare float64
	// TargetShare is the fraction of a latency target, or of the time to the deadline, that the expected
	// time may reach. Above it the request is refused as Late.
	TargetShare float64
	// Callers holds the limits of each caller.
	Callers CallerLimits
	// MaxCallers is the maximum number of callers that are tracked one by one. It bounds memory.
	MaxCallers int
	// Seed is mixed into the hashes of caller names, so that instances with different seeds
	// distribute callers to shards differently.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Queue <= 0 {
		c.Queue = DefaultQueue
	}
	if c.YieldStep <= 0 {
		c.YieldStep = DefaultYieldStep
	}
	if c.MinYieldPressure <= 0 {
		c.MinYieldPressure = DefaultMinYieldPressure
	}
	if c.GuaranteedShare <= 0 {
		c.GuaranteedShare = DefaultGuaranteedShare
	}
	if c.TargetShare <= 0 {
		c.TargetShare = DefaultTargetShare
	}
	if c.MaxCallers <= 0 {
		c.MaxCallers = DefaultMaxCallers
	}
	return c
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Caller string
	// Rank is the importance of the request; 1 is the most important. A starvable request has no
	// guaranteed share of admissions.
	Rank      int
	Starvable bool
	// Deadline is when the complete answer is due. FirstToken and BetweenTokens are the latency
	// targets for the kind of request. Zero means none.
	Deadline      time.Time
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Waited is the time since the request arrived.
	Waited time.Duration
}

// Expectation holds the expected latencies of a request on the workers chosen for it.
type Expectation struct {
	// NoWorker is true if no worker can take the request.
	NoWorker      bool
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Total is the expected time until the answer is complete.
	Total time.Duration
	// Queued is the number of requests already waiting in the queue that the request would join.
	Queued int
}

// Decision is the result of admission for one request.
type Decision struct {
	Reason Reason
	// RetryAfter is how long a refused caller should wait before it tries again. It is zero if a
	// retry is pointless because the request expired.
	RetryAfter time.Duration
	// Priority is the scheduling priority for the engine. Higher values are served first.
	Priority int
	// Guaranteed is true if the request was admitted only because of its rank's guaranteed share.
	Guaranteed bool
	// inOverflow is true if the request was counted in the overflow entry of the caller's shard.
	inOverflow bool
}

// Admitted reports whether the request may run.
func (d Decision) Admitted() bool { return d.Reason == Admitted }

// Controller decides on requests and counts those that run. It is safe for concurrent use. Every
// admitted request must be released exactly once. Controller.mu and the lock of a caller shard are
// never held at the same time.
type Controller struct {
	cfg     Config
	callers *callers

	mu sync.Mutex
	// credit is the number of guaranteed admissions that each rank has accumulated.
	credit [lowestRank + 1]float64
	// recent counts the requests of each rank that reached the rank check, whether it admitted them
	// or not. The counts decay exponentially, once per decayInterval; lastDecay is when they last
	// did.
	recent    [lowestRank + 1]float64
	lastDecay time.Time
}

// Decay of the request counts. A factor of 0.9 per second averages over about 10 s.
const (
	decayInterval = time.Second
	decayFactor   = 0.9
	// maxDecaySteps bounds the loop after an idle period; 100 steps leave almost nothing.
	maxDecaySteps = 100
)

// maxCredit bounds the guaranteed admissions that a rank can accumulate, so that a rank without
// traffic for a while doesn't displace the other ranks when its traffic returns.
const maxCredit = 4

// New returns a Controller with the given settings.
func New(cfg Config) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{cfg: cfg, callers: newCallers(cfg.MaxCallers, cfg.Seed, cfg.Callers)}
}

// Priority returns the scheduling priority of a rank on an engine. Higher values are served first.
func Priority(rank int) int { return lowestRank - clampRank(rank) }

func clampRank(rank int) int { return min(max(rank, 1), lowestRank) }

// Admit decides whether a request may run. If it is admitted, Release must be called with the
// decision once the request has ended.
func (c *Controller) Admit(r *Request, e *Expectation, now time.Time) Decision {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Reason: Expired}
	}
	if e.NoWorker {
		return Decision{Reason: NoWorker, RetryAfter: time.Second}
	}
	if d, ok := c.checkTiming(r, e, now); !ok {
		return d
	}
	if e.Queued >= c.cfg.Queue {
		return Decision{Reason: QueueFull, RetryAfter: retryAfter(e.FirstToken)}
	}
	reason, wait, inOverflow := c.callers.acquire(r.Caller, now)
	if reason != Admitted {
		return Decision{Reason: reason, RetryAfter: wait}
	}
	rank := clampRank(r.Rank)
	ok, guaranteed := c.admitRank(rank, r.Starvable, c.pressure(r, e), now)
	if !ok {
		c.callers.release(r.Caller, inOverflow, 1)
		return Decision{Reason: RankYields, RetryAfter: retryAfter(e.FirstToken)}
	}
	return Decision{Priority: Priority(rank), Guaranteed: guaranteed, inOverflow: inOverflow}
}

// Recheck decides whether an admitted request that waits for its engine can still meet its
// deadline and latency targets. It is called before the engine starts the request and changes no
// counters. A request that Recheck refuses did not run.
func (c *Controller) Recheck(r *Request, e *Expectation, now time.Time) Decision {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Reason: Expired}
	}
	d, _ := c.checkTiming(r, e, now)
	return d
}

// Release stops counting a request that ended. The decision is the one that admitted it.
func (c *Controller) Release(caller string, d Decision) { c.callers.release(caller, d.inOverflow, 0) }

// SetCallerLimits replaces the limits that apply to each caller.
func (c *Controller) SetCallerLimits(l CallerLimits) { c.callers.setLimits(l) }

// checkTiming returns the refusal and false if the request is expected to miss its latency targets
// or its deadline, and otherwise a zero Decision and true. The retry delay is the largest expected
// excess.
func (c *Controller) checkTiming(r *Request, e *Expectation, now time.Time) (Decision, bool) {
	excess := time.Duration(0)
	if r.FirstToken > 0 {
		excess = max(excess, r.Waited+e.FirstToken-scale(r.FirstToken, c.cfg.TargetShare))
	}
	if r.BetweenTokens > 0 {
		excess = max(excess, e.BetweenTokens-scale(r.BetweenTokens, c.cfg.TargetShare))
	}
	if !r.Deadline.IsZero() {
		excess = max(excess, e.Total-scale(r.Deadline.Sub(now), c.cfg.TargetShare))
	}
	if excess > 0 {
		return Decision{Reason: Late, RetryAfter: retryAfter(excess)}, false
	}
	return Decision{}, true
}

// pressure returns the largest fraction used of the queue and of each latency target. It is 1 when
// the queue is full or when the expected time equals its target.
func (c *Controller) pressure(r *Request, e *Expectation) float64 {
	p := float64(e.Queued) / float64(c.cfg.Queue)
	if r.FirstToken > 0 {
		p = max(p, float64(r.Waited+e.FirstToken)/float64(r.FirstToken))
	}
	if r.BetweenTokens > 0 {
		p = max(p, float64(e.BetweenTokens)/float64(r.BetweenTokens))
	}
	return p
}

// admitRank decides by the rank of a request: it is admitted up to the rank's maximum pressure, and
// above it from the rank's guaranteed share. Each admission adds to the credit of all lower ranks.
func (c *Controller) admitRank(rank int, starvable bool, pressure float64, now time.Time) (ok, guaranteed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := c.updateDemand(rank, now)
	switch {
	case demand == 0 || pressure <= max(1-c.cfg.YieldStep*demand, c.cfg.MinYieldPressure):
	case !starvable && c.credit[rank] >= 1:
		c.credit[rank]--
		guaranteed = true
	default:
		return false, false
	}
	for lower := rank + 1; lower <= lowestRank; lower++ {
		c.credit[lower] = min(maxCredit, c.credit[lower]+c.cfg.GuaranteedShare)
	}
	return true, guaranteed
}

// updateDemand counts a request of the given rank and returns the demand of the higher ranks: their
// weighted share of the recent requests. The weight is 2 per rank of difference, so the result is 1
// if half of the requests have the next higher rank. The capacity reserved for higher ranks thus
// follows their demand.
func (c *Controller) updateDemand(rank int, now time.Time) float64 {
	if c.lastDecay.IsZero() {
		c.lastDecay = now
	}
	for range min(int(now.Sub(c.lastDecay)/decayInterval), maxDecaySteps) {
		for i := range c.recent {
			c.recent[i] *= decayFactor
		}
		c.lastDecay = now
	}
	c.recent[rank]++
	higher, total := 0.0, 0.0
	for i, n := range c.recent {
		total += n
		if i < rank {
			higher += n * float64(rank-i)
		}
	}
	return 2 * higher / total
}

// minRetryAfter is the shortest retry delay, so that refused callers don't retry immediately.
const minRetryAfter = 50 * time.Millisecond

func retryAfter(d time.Duration) time.Duration { return max(d, minRetryAfter) }

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
