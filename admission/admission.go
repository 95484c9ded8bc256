// Package admission decides which requests run. It refuses early what cannot be on time, bounds
// each caller and the queue, and lets lower ranks yield first under load without starving them.
// The package does no I/O and takes the time as an argument.
package admission

import (
	"sync"
	"time"
)

// Reason says why a request was refused. The empty reason means that it was admitted.
type Reason string

// Reasons for a refusal. All of them mean that the request did not run.
const (
	Admitted         Reason = ""
	Expired          Reason = "expired"           // the deadline has passed
	Late             Reason = "late"              // the answer would not be on time
	CallerRate       Reason = "caller_rate"       // the caller's rate limit
	CallerConcurrent Reason = "caller_concurrent" // the caller's limit of concurrent requests
	QueueFull        Reason = "queue_full"        // the queue bound
	RankYields       Reason = "rank_yields"       // capacity is kept for higher ranks
	NoWorker         Reason = "no_worker"         // no worker can take the request
)

// Defaults of Config.
const (
	DefaultQueue           = 64
	DefaultYieldStep       = 0.15
	DefaultMinShare        = 0.4
	DefaultGuaranteedShare = 0.05
	DefaultSlack           = 1.0
	DefaultMaxCallers      = 32_768
)

// maxRank is the lowest rank that is told apart. Ranks below it share its counters.
const maxRank = 8

// Config sets a Controller. Zero fields take the defaults.
type Config struct {
	// Queue is the most requests that wait.
	Queue int
	// YieldStep is how much earlier the next rank yields if half of the requests have the rank
	// above, as a share of the pressure at which rank 1 is refused. MinShare is the pressure
	// below which no rank yields.
	YieldStep float64
	MinShare  float64
	// GuaranteedShare is the share of admissions that a rank gets although it would yield,
	// unless its kind is starvable.
	GuaranteedShare float64
	// Slack is the part of a deadline that an expected time may use before the request is
	// refused as late.
	Slack float64
	// Callers bounds each caller.
	Callers CallerLimits
	// MaxCallers bounds the memory for callers.
	MaxCallers int
	// Seed makes the hashes of caller names hard to guess.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Queue <= 0 {
		c.Queue = DefaultQueue
	}
	if c.YieldStep <= 0 {
		c.YieldStep = DefaultYieldStep
	}
	if c.MinShare <= 0 {
		c.MinShare = DefaultMinShare
	}
	if c.GuaranteedShare <= 0 {
		c.GuaranteedShare = DefaultGuaranteedShare
	}
	if c.Slack <= 0 {
		c.Slack = DefaultSlack
	}
	if c.MaxCallers <= 0 {
		c.MaxCallers = DefaultMaxCallers
	}
	return c
}

// Request is what the decision needs to know of a request.
type Request struct {
	Caller string
	// Rank 1 is the most important.
	Rank      int
	Starvable bool
	// Deadline is when the whole answer is due. FirstToken and BetweenTokens are the latency
	// targets of the kind; zero means none.
	Deadline      time.Time
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Waited is the time that the request has already spent in the system.
	Waited time.Duration
}

// Expectation is what the chosen workers are expected to deliver.
type Expectation struct {
	// NoWorker is true if there is no worker to choose.
	NoWorker      bool
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Total is the expected time of the whole answer.
	Total time.Duration
	// Queued is the number of requests that wait at the worker or in the queue in question.
	Queued int
}

// Decision is the outcome for one request.
type Decision struct {
	Reason Reason
	// RetryAfter is when a refused caller should try again.
	RetryAfter time.Duration
	// Priority is passed to the engine. Higher is served first.
	Priority int
	// Guaranteed is true if the request was admitted from its rank's guaranteed share.
	Guaranteed bool
	// shared is true if the caller was counted in its shard's overflow entry.
	shared bool
}

// Admitted tells whether the request may run.
func (d Decision) Admitted() bool { return d.Reason == Admitted }

// Controller admits requests. It is safe for concurrent use. Each admitted request must be
// released once. Lock order: a caller shard's lock is never held together with Controller.mu.
type Controller struct {
	cfg     Config
	callers *callers

	mu sync.Mutex
	// credit is the admissions that each rank has saved up from its guaranteed share.
	credit [maxRank + 1]float64
	// asked counts the recent requests of each rank. It decays at the interval of decayEvery.
	asked   [maxRank + 1]float64
	decayed time.Time
}

// The recent requests of a rank are remembered for about 10 s: 0.9 per second.
const (
	decayEvery  = time.Second
	decayFactor = 0.9
	// maxDecays is enough to forget everything after an idle time.
	maxDecays = 100
)

// maxCredit bounds the saved-up admissions of a rank, so that a rank that was absent does not
// crowd out the others when it returns.
const maxCredit = 4

// New returns a controller.
func New(cfg Config) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{cfg: cfg, callers: newCallers(cfg.MaxCallers, cfg.Seed, cfg.Callers)}
}

// Priority returns the engine priority of a rank. Higher is served first.
func Priority(rank int) int { return maxRank - clampRank(rank) }

func clampRank(rank int) int { return min(max(rank, 1), maxRank) }

// Admit decides on a request. The request's caller must be released with Release after an
// admitted request has ended.
func (c *Controller) Admit(r *Request, e *Expectation, now time.Time) Decision {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Reason: Expired}
	}
	if e.NoWorker {
		return Decision{Reason: NoWorker, RetryAfter: time.Second}
	}
	if d, ok := c.onTime(r, e, now); !ok {
		return d
	}
	if e.Queued >= c.cfg.Queue {
		return Decision{Reason: QueueFull, RetryAfter: atLeast(e.FirstToken)}
	}
	reason, wait, shared := c.callers.take(r.Caller, now)
	if reason != Admitted {
		return Decision{Reason: reason, RetryAfter: wait}
	}
	rank := clampRank(r.Rank)
	ok, guaranteed := c.admitRank(rank, r.Starvable, c.pressure(r, e), now)
	if !ok {
		c.callers.giveBack(r.Caller, shared, 1)
		return Decision{Reason: RankYields, RetryAfter: atLeast(e.FirstToken)}
	}
	return Decision{Priority: Priority(rank), Guaranteed: guaranteed, shared: shared}
}

// Recheck tells whether a request that waits for its engine can still be on time. It is asked
// before the engine starts the request, and counts nothing. A request that fails it did not run.
func (c *Controller) Recheck(r *Request, e *Expectation, now time.Time) Decision {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return Decision{Reason: Expired}
	}
	d, _ := c.onTime(r, e, now)
	return d
}

// Release ends a request of the caller that the given decision admitted.
func (c *Controller) Release(caller string, d Decision) { c.callers.giveBack(caller, d.shared, 0) }

// SetCallerLimits puts new limits in force for all callers.
func (c *Controller) SetCallerLimits(l CallerLimits) { c.callers.setLimits(l) }

func (c *Controller) onTime(r *Request, e *Expectation, now time.Time) (Decision, bool) {
	late := time.Duration(0)
	if r.FirstToken > 0 {
		late = max(late, r.Waited+e.FirstToken-scale(r.FirstToken, c.cfg.Slack))
	}
	if r.BetweenTokens > 0 {
		late = max(late, e.BetweenTokens-scale(r.BetweenTokens, c.cfg.Slack))
	}
	if !r.Deadline.IsZero() {
		late = max(late, e.Total-scale(r.Deadline.Sub(now), c.cfg.Slack))
	}
	if late > 0 {
		return Decision{Reason: Late, RetryAfter: atLeast(late)}, false
	}
	return Decision{}, true
}

// pressure is how much of the scarcest allowance the request would use, from 0 to 1.
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

// admitRank applies the rank's pressure bound and its guaranteed share.
func (c *Controller) admitRank(rank int, starvable bool, pressure float64, now time.Time) (ok, guaranteed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	above := c.shareAbove(rank, now)
	switch {
	case above == 0 || pressure <= max(1-c.cfg.YieldStep*above, c.cfg.MinShare):
	case !starvable && c.credit[rank] >= 1:
		c.credit[rank]--
		guaranteed = true
	default:
		return false, false
	}
	for lower := rank + 1; lower <= maxRank; lower++ {
		c.credit[lower] = min(maxCredit, c.credit[lower]+c.cfg.GuaranteedShare)
	}
	return true, guaranteed
}

// shareAbove counts a request and returns twice the share of higher ranks in recent requests,
// counting each rank in between again: what is kept for higher ranks follows what they ask for.
func (c *Controller) shareAbove(rank int, now time.Time) float64 {
	if c.decayed.IsZero() {
		c.decayed = now
	}
	for range min(int(now.Sub(c.decayed)/decayEvery), maxDecays) {
		for i := range c.asked {
			c.asked[i] *= decayFactor
		}
		c.decayed = now
	}
	c.asked[rank]++
	higher, total := 0.0, 0.0
	for i, n := range c.asked {
		total += n
		if i < rank {
			higher += n * float64(rank-i)
		}
	}
	return 2 * higher / total
}

// minRetryAfter keeps refused callers from returning at once.
const minRetryAfter = 50 * time.Millisecond

func atLeast(d time.Duration) time.Duration { return max(d, minRetryAfter) }

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
