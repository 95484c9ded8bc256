package once

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/quetzallug/quetzallug/external"
)

// Committer commits claims, completions and releases to the key-value service in batches. It is
// safe for concurrent use and starts goroutines only while requests wait.
//
// Lock order: Committer.mu, then shardWorker.mu. No lock is held during I/O.
type Committer struct {
	kv  external.KV
	set Settings
	log logrus.FieldLogger

	mu      sync.Mutex
	layouts map[string]int
	workers map[workerKey]*shardWorker
	closing bool
}

// writeBurst is the number of writes of one shard that may follow each other without a pause, so that
// claims that arrive close together at a low rate are not delayed.
const writeBurst = 4

type workerKey struct {
	service string
	shard   int
}

var _ Claimer = (*Committer)(nil)

// NewCommitter returns a committer. The settings must be valid.
func NewCommitter(kv external.KV, set Settings, log logrus.FieldLogger) (*Committer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	return &Committer{
		kv:      kv,
		set:     set,
		log:     log,
		layouts: map[string]int{},
		workers: map[workerKey]*shardWorker{},
	}, nil
}

// op is a request on its way to the record.
type op struct {
	req Request
	// due is the latest time of the first try, expires the time after which no further try is made.
	due, expires time.Time
	result       chan Result
	// taken and gone are guarded by shardWorker.mu.
	taken, gone bool
	// sent means that a write with this request may have reached the service. Only the goroutine
	// that commits the batch uses it.
	sent bool
}

// Do queues the request and waits for its result. When ctx ends first, the result is unavailable
// if the request was still queued, and unknown otherwise. A completion or release stays queued.
//
// A claim may be recorded after its caller has stopped waiting. The committer must not release
// such a claim itself: the entry that owns the request ID may have settled it through another
// process and dispatched the request.
func (c *Committer) Do(ctx context.Context, r Request) Result {
	if err := r.Validate(); err != nil {
		return Result{State: StateUnavailable, Err: err}
	}
	if r.Action == ActionClaim && !KeyAccepted(r.Key, time.Now(), &c.set) {
		return Result{State: StateExpired}
	}
	shards, err := c.layout(ctx, r.Service)
	if err != nil {
		return Result{State: StateUnavailable, Err: err}
	}
	w := c.worker(r.Service, ShardOf(r.Key, shards))
	o := w.enqueue(r) //nolint:contextcheck // a batch outlives the callers whose requests it carries
	select {
	case res := <-o.result:
		return res
	case <-ctx.Done():
		return w.abandon(o)
	}
}

// Shards returns the number of shards of a service: the recorded one if it is known, otherwise
// that of the settings.
func (c *Committer) Shards(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.layouts[service]; n > 0 {
		return n
	}
	return c.set.Shards
}

// Close commits what is queued without further delay and waits until that is done or ctx ends.
// Requests that arrive later are still served.
func (c *Committer) Close(ctx context.Context) error {
	c.mu.Lock()
	c.closing = true
	for _, w := range c.workers {
		w.wakeUp()
	}
	c.mu.Unlock()
	const poll = 5 * time.Millisecond
	for c.busy() {
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return fmt.Errorf("claims are still queued: %w", ctx.Err())
		}
	}
	return nil
}

// busy reports whether any worker runs.
func (c *Committer) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if w.isRunning() {
			return true
		}
	}
	return false
}

func (c *Committer) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// worker returns the worker of a shard.
func (c *Committer) worker(service string, shard int) *shardWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := workerKey{service, shard}
	w := c.workers[k]
	if w == nil {
		perShard := rate.Limit(c.set.WritesPerSecond / float64(max(1, c.layouts[service])))
		w = &shardWorker{
			c:       c,
			key:     shardKey(service, shard),
			wake:    make(chan struct{}, 1),
			limiter: rate.NewLimiter(perShard, writeBurst),
			log:     c.log.WithFields(logrus.Fields{"service": service, "shard": shard}),
		}
		c.workers[k] = w
	}
	return w
}

// layout returns the recorded number of shards of a service. Processes whose settings differ would
// otherwise look for one key in two records and both be granted it.
func (c *Committer) layout(ctx context.Context, service string) (int, error) {
	c.mu.Lock()
	n := c.layouts[service]
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.set.CommitTimeout)
	defer cancel()
	pause := c.newBackoff()
	for {
		n, err := c.tryLayout(ctx, service)
		if err == nil {
			c.mu.Lock()
			c.layouts[service] = n
			c.mu.Unlock()
			if n != c.set.Shards {
				c.log.WithFields(logrus.Fields{"service": service, "shards": n, "setting": c.set.Shards}).
					Warn("the recorded number of claim shards differs from the setting; the recorded number applies")
			}
			return n, nil
		}
		if errors.Is(err, ErrRecordInvalid) || !pause.sleep(ctx) {
			return 0, fmt.Errorf("layout of claims of service %q: %w", service, err)
		}
	}
}

// layoutVersion is the first byte of a layout record; the number of shards follows in two bytes.
const layoutVersion = 1

func (c *Committer) tryLayout(ctx context.Context, service string) (int, error) {
	key := layoutKey(service)
	e, err := c.get(ctx, key)
	if errors.Is(err, external.ErrNotFound) {
		n := c.set.Shards
		if _, err = c.swap(ctx, key, 0, []byte{layoutVersion, byte(n >> 8), byte(n)}); err == nil {
			return n, nil
		}
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	v := e.Value
	if len(v) != 3 || v[0] != layoutVersion || v[1] == 0 && v[2] == 0 {
		return 0, fmt.Errorf("%w: layout of %d bytes", ErrRecordInvalid, len(v))
	}
	return int(v[1])<<8 | int(v[2]), nil
}

func (c *Committer) get(ctx context.Context, key string) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.set.CallTimeout)
	defer cancel()
	return c.kv.Get(ctx, key)
}

// swap maps the errors of a write to those that are certain (ErrConflict, ErrUnavailable) and
// ErrOutcomeUnknown for all others.
func (c *Committer) swap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.set.CallTimeout)
	defer cancel()
	version, err := c.kv.CompareAndSwap(ctx, key, expected, value, 0)
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, external.ErrOutcomeUnknown), errors.Is(err, external.ErrConflict), errors.Is(err, external.ErrUnavailable):
		return 0, err
	}
	return 0, fmt.Errorf("%w: %w", external.ErrOutcomeUnknown, err)
}

// pauser is a jittered exponential back-off.
type pauser struct {
	next, first, limit time.Duration
}

func (c *Committer) newBackoff() *pauser {
	return &pauser{next: c.set.RetryMin, first: c.set.RetryMin, limit: c.set.RetryMax}
}

func (p *pauser) reset() { p.next = p.first }

// sleep returns false when ctx ends first.
func (p *pauser) sleep(ctx context.Context) bool {
	d := p.next/2 + rand.N(p.next)
	p.next = min(2*p.next, p.limit)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
