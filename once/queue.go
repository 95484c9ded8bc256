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
// runs while the queue is not empty.
type shardWorker struct {
	c       *Committer
	key     string
	wake    chan struct{}
	limiter *rate.Limiter
	log     logrus.FieldLogger

	mu      sync.Mutex
	queue   []*op
	running bool

	// The fields below are used by the goroutine only. A new goroutine starts after the last one
	// has released mu.
	record   *cachedRecord
	segments map[uint64]segmentIndex
	indexed  int // keys in segments
	removed  map[uint64]bool
}

func (w *shardWorker) enqueue(r Request) *op {
	wait := w.c.set.Window
	if r.Action != ActionClaim {
		wait = max(wait, w.c.set.CompletionDelay)
	}
	now := time.Now()
	o := &op{req: r, due: now.Add(wait), expires: now.Add(wait + w.c.set.CommitTimeout), result: make(chan Result, 1)}
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

// abandon ends the wait for a request whose caller has gone.
func (w *shardWorker) abandon(o *op) Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case r := <-o.result:
		return r
	default:
	}
	o.gone = true
	if o.taken || o.req.Action != ActionClaim {
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
	pause := w.c.newBackoff()
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
		// Waiting for the write budget lets more requests join the batch. Requests that arrive while
		// others are tried again join them.
		_ = w.limiter.Wait(context.Background())
		pending = append(pending, w.take(w.c.set.MaxBatch-len(pending))...)
		pending = w.advance(pending, pause)
	}
}

// nextDue returns the time until the next batch is due, and false if the worker has ended.
func (w *shardWorker) nextDue() (time.Duration, bool) {
	closing := w.c.isClosing()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.running = false
		return 0, false
	}
	if closing || len(w.queue) >= w.c.set.MaxBatch {
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

// take removes up to limit requests from the queue.
func (w *shardWorker) take(limit int) []*op {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), limit)
	batch := w.queue[:n:n]
	w.queue = slices.Clone(w.queue[n:])
	for _, o := range batch {
		o.taken = true
	}
	return batch
}

// isGone reports whether nobody waits for a claim that was never sent, so that it can be dropped.
func (w *shardWorker) isGone(o *op) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return o.gone && !o.sent && o.req.Action == ActionClaim
}

func (o *op) finish(r Result) { o.result <- r }
