package once

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

// shardWorker queues the requests of one shard and commits them one batch at a time. Its goroutine
// runs while requests are queued or being retried.
type shardWorker struct {
	committer *Committer
	recordKey string // key of the open record
	wake      chan struct{}
	limiter   *rate.Limiter
	log       logrus.FieldLogger

	mu      sync.Mutex
	queue   []*op
	running bool

	// The fields below are used only by the goroutine and need no lock: a new goroutine starts only
	// after the previous one has cleared running under mu.
	cached      *cachedRecord
	indexes     map[uint64]segmentIndex
	indexedKeys int             // number of keys in indexes
	deleted     map[uint64]bool // sealed records that were deleted but are still listed
}

func (w *shardWorker) enqueue(r Request) *op {
	wait := w.committer.settings.Window
	if r.Action != ActionClaim {
		wait = max(wait, w.committer.settings.CompletionDelay)
	}
	now := time.Now()
	o := &op{req: r, due: now.Add(wait), retryUntil: now.Add(wait + w.committer.settings.CommitTimeout), result: make(chan Result, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, o)
	if !w.running {
		w.running = true
		go w.run()
		return o
	}
	w.wakeUp()
	return o
}

func (w *shardWorker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// abandon returns the result of a request whose caller stops waiting, and removes a claim that is still
// queued.
func (w *shardWorker) abandon(o *op) Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case r := <-o.result:
		return r
	default:
	}
	o.abandoned = true
	if o.dequeued || o.req.Action != ActionClaim {
		return Result{State: StateUnknown, Err: errCallerGone}
	}
	w.queue = slices.DeleteFunc(w.queue, func(q *op) bool { return q == o })
	return Result{State: StateUnavailable, Err: errCallerGone}
}

func (w *shardWorker) isRunning() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *shardWorker) run() {
	retry := w.committer.newBackoff()
	var pending []*op
	for {
		if len(pending) == 0 {
			wait, ok := w.nextDue()
			if !ok {
				return
			}
			if wait > 0 {
				w.waitFor(wait)
				continue
			}
		}
		// Requests that arrive during the wait for the rate limiter join the batch, and so do those
		// that arrive while others are retried.
		_ = w.limiter.Wait(context.Background())
		pending = append(pending, w.dequeue(w.committer.settings.MaxBatch-len(pending))...)
		pending = w.tryCommit(pending, retry)
	}
}

// nextDue returns the time until the next batch is due. If the queue is empty, it marks the worker as
// stopped and returns false.
func (w *shardWorker) nextDue() (time.Duration, bool) {
	closing := w.committer.isClosing()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		return 0, false
	}
	if closing || len(w.queue) >= w.committer.settings.MaxBatch {
		return 0, true
	}
	due := w.queue[0].due
	for _, o := range w.queue[1:] {
		if o.due.Before(due) {
			due = o.due
		}
	}
	return time.Until(due), true
}

func (w *shardWorker) waitFor(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.wake:
	}
}

// dequeue removes up to limit requests from the queue and returns them.
func (w *shardWorker) dequeue(limit int) []*op {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), limit)
	batch := w.queue[:n:n]
	w.queue = slices.Clone(w.queue[n:])
	for _, o := range batch {
		o.dequeued = true
	}
	return batch
}

// isAbandoned reports whether a claim can be dropped because its caller has stopped waiting and it was
// never part of a write that may have taken effect.
func (w *shardWorker) isAbandoned(o *op) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return o.abandoned && !o.maybeWritten && o.req.Action == ActionClaim
}

func (o *op) finish(r Result) { o.result <- r }
