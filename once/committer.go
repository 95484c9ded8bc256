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

// Committer writes claims, completions and releases to the key-value service in batches. It is safe
// for concurrent use and runs goroutines only while requests are queued.
//
// Lock order: Committer.mu, then shardWorker.mu. No lock is held during I/O.
type Committer struct {
	kv       external.KV
	settings Settings
	log      logrus.FieldLogger

	mu          sync.Mutex
	shardCounts map[string]int // recorded number of shards by service
	workers     map[workerKey]*shardWorker
	closing     bool
}

// writeBurst is the burst size of a shard's write rate limiter. It keeps short bursts of claims at a
// low average rate from being delayed.
const writeBurst = 4

type workerKey struct {
	service string
	shard   int
}

var _ Claimer = (*Committer)(nil)

// NewCommitter returns a Committer, or an error if the settings are invalid.
func NewCommitter(kv external.KV, settings Settings, log logrus.FieldLogger) (*Committer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return &Committer{
		kv:          kv,
		settings:    settings,
		log:         log,
		shardCounts: map[string]int{},
		workers:     map[workerKey]*shardWorker{},
	}, nil
}

// queuedRequest is a request that waits for its result, in the queue of a shardWorker or in a batch.
type queuedRequest struct {
	req Request
	// due is the time at which the batch of the request is committed at the latest, unless writes are
	// delayed by the rate limiter. The request is not retried after retryUntil.
	due, retryUntil time.Time
	result          chan Result
	// dequeued means that the request has joined a batch, abandoned that its Do call has ended. Both
	// are guarded by shardWorker.mu.
	dequeued, abandoned bool
	// maybeWritten means that a write with this request may have reached the key-value service. Only
	// the worker's goroutine uses it.
	maybeWritten bool
}

// Do queues the request and waits for its result. It returns StateUnavailable without queuing the request
// if the service's number of shards cannot be read, also because ctx ends.
//
// If ctx ends while the request waits, Do returns the result if there already is one. Otherwise a claim
// that is still queued is removed and its result is StateUnavailable; in all other cases the result is
// StateUnknown, and a completion or release that is still queued stays queued.
//
// A claim may be recorded after its Do call has ended. The committer must not release such a claim
// itself: the entry that owns the request ID may have been granted the claim through another process
// and have dispatched the request.
func (c *Committer) Do(ctx context.Context, r Request) Result {
	if err := r.Validate(); err != nil {
		return Result{State: StateUnavailable, Err: err}
	}
	if r.Action == ActionClaim && !KeyAccepted(r.Key, time.Now(), &c.settings) {
		return Result{State: StateExpired}
	}
	shards, err := c.shardCount(ctx, r.Service)
	if err != nil {
		return Result{State: StateUnavailable, Err: err}
	}
	w := c.worker(r.Service, ShardOf(r.Key, shards))
	q := w.enqueue(r) //nolint:contextcheck // a batch outlives the contexts of its requests
	select {
	case res := <-q.result:
		return res
	case <-ctx.Done():
		return w.abandon(q)
	}
}

// Shards returns the number of shards of a service: the recorded number if it has been read, otherwise
// the number in the settings.
func (c *Committer) Shards(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.shardCounts[service]; n > 0 {
		return n
	}
	return c.settings.Shards
}

// Close commits the queued requests without further batching delay, and waits until no worker
// is running or ctx ends. Requests that arrive later are still served.
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
			return fmt.Errorf("claim requests are still queued: %w", ctx.Err())
		}
	}
	return nil
}

// busy reports whether any worker has queued or unfinished requests.
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

// worker returns the worker of a shard, creating it on first use.
func (c *Committer) worker(service string, shard int) *shardWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := workerKey{service, shard}
	w := c.workers[k]
	if w == nil {
		perShard := rate.Limit(c.settings.WritesPerSecond / float64(max(1, c.shardCounts[service])))
		w = &shardWorker{
			committer: c,
			recordKey: shardKey(service, shard),
			wake:      make(chan struct{}, 1),
			limiter:   rate.NewLimiter(perShard, writeBurst),
			log:       c.log.WithFields(logrus.Fields{"service": service, "shard": shard}),
		}
		c.workers[k] = w
	}
	return w
}

// shardCount returns the recorded number of shards of a service, and reads or creates the layout record
// on first use. If each process used its own setting, two processes with different settings could look
// for the same key in different records, and both be granted it.
func (c *Committer) shardCount(ctx context.Context, service string) (int, error) {
	c.mu.Lock()
	n := c.shardCounts[service]
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.CommitTimeout)
	defer cancel()
	retry := c.newBackoff()
	for {
		n, err := c.readOrCreateLayout(ctx, service)
		if err == nil {
			c.mu.Lock()
			c.shardCounts[service] = n
			c.mu.Unlock()
			if n != c.settings.Shards {
				c.log.WithFields(logrus.Fields{"service": service, "shards": n, "setting": c.settings.Shards}).
					Warn("recorded number of claim shards differs from the setting; using the recorded number")
			}
			return n, nil
		}
		if errors.Is(err, ErrRecordInvalid) || !retry.sleep(ctx) {
			return 0, fmt.Errorf("layout of claims of service %q: %w", service, err)
		}
	}
}

// layoutVersion is the first byte of a layout record. The number of shards follows as a big-endian
// 16-bit integer.
const layoutVersion = 1

// readOrCreateLayout reads the layout record, and creates it from the settings if it does not exist.
func (c *Committer) readOrCreateLayout(ctx context.Context, service string) (int, error) {
	key := layoutKey(service)
	e, err := c.get(ctx, key)
	if errors.Is(err, external.ErrNotFound) {
		n := c.settings.Shards
		if _, err = c.compareAndSwap(ctx, key, 0, []byte{layoutVersion, byte(n >> 8), byte(n)}); err == nil {
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

func (c *Committer) get(ctx context.Context, key string) (external.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	return c.kv.Get(ctx, key)
}

// compareAndSwap writes a value if the stored version is the expected one, and returns the new version.
// ErrConflict and ErrUnavailable mean that the write certainly had no effect; all other errors wrap
// ErrOutcomeUnknown.
func (c *Committer) compareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
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

// backoff is a jittered exponential back-off.
type backoff struct {
	next, initial, limit time.Duration
}

func (c *Committer) newBackoff() *backoff {
	return &backoff{next: c.settings.RetryMin, initial: c.settings.RetryMin, limit: c.settings.RetryMax}
}

func (b *backoff) reset() { b.next = b.initial }

// sleep waits for the next delay. It returns false if ctx ends first.
func (b *backoff) sleep(ctx context.Context) bool {
	d := b.next/2 + rand.N(b.next)
	b.next = min(2*b.next, b.limit)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
