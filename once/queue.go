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
	queue   []*queuedRequest
	running bool

	// The fields below are used only by the goroutine and need no lock: a new goroutine starts only
	// after the previous one has cleared running under mu.
	cached      *cachedRecord
	indexes     map[uint64]sealedIndex
	indexedKeys int             // number of keys in indexes
	deleted     map[uint64]bool // sealed records that were deleted but are still listed
}

func (w *shardWorker) enqueue(r Request) *queuedRequest {
	wait := w.committer.settings.ClaimDelay
	if r.Action != ActionClaim {
		wait = max(wait, w.committer.settings.CompletionDelay)
	}
	now := time.Now()
	q := &queuedRequest{req: r, due: now.Add(wait), retryUntil: now.Add(wait + w.committer.settings.CommitTimeout), result: make(chan Result, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, q)
	if !w.running {
		w.running = true
		go w.run()
		return q
	}
	w.wakeUp()
	return q
}

func (w *shardWorker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// abandon returns the result of a request whose Do call ends, and removes a claim that is still queued.
func (w *shardWorker) abandon(q *queuedRequest) Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case r := <-q.result:
		return r
	default:
	}
	q.abandoned = true
	if q.dequeued || q.req.Action != ActionClaim {
		return Result{State: StateUnknown, Err: errCallEnded}
	}
	w.queue = slices.DeleteFunc(w.queue, func(other *queuedRequest) bool { return other == q })
	return Result{State: StateUnavailable, Err: errCallEnded}
}

func (w *shardWorker) isRunning() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

func (w *shardWorker) run() {
	retry := w.committer.newBackoff()
	var unfinished []*queuedRequest
	for {
		if len(unfinished) == 0 {
			wait, ok := w.nextDueOrStop()
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
		unfinished = append(unfinished, w.dequeue(w.committer.settings.MaxBatch-len(unfinished))...)
		unfinished = w.tryCommit(unfinished, retry)
	}
}

// nextDueOrStop returns the time until the next batch is due. It is at most 0 if the batch is due now, the
// queue holds a full batch or the committer is closing. If the queue is empty, nextDueOrStop marks the
// worker as stopped and returns false.
func (w *shardWorker) nextDueOrStop() (time.Duration, bool) {
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
	for _, q := range w.queue[1:] {
		if q.due.Before(due) {
			due = q.due
		}
	}
	return time.Until(due), true
}

// waitFor waits for d or until wakeUp is called.
func (w *shardWorker) waitFor(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.wake:
	}
}

// dequeue removes up to limit requests from the queue and returns them.
func (w *shardWorker) dequeue(limit int) []*queuedRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), limit)
	batch := w.queue[:n:n]
	w.queue = slices.Clone(w.queue[n:])
	for _, q := range batch {
		q.dequeued = true
	}
	return batch
}

// canDrop reports whether the request is a claim whose Do call has ended and that was never part of a
// write with an unknown outcome.
func (w *shardWorker) canDrop(q *queuedRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return q.abandoned && !q.maybeWritten && q.req.Action == ActionClaim
}

func (q *queuedRequest) finish(r Result) { q.result <- r }
