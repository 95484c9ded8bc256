package once

import (
	"context"
	"errors"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// cachedRecord is the open record as it was last read or written.
type cachedRecord struct {
	version uint64
	shard   *Shard
	// fresh is true if the record was read in the present step. Without a write, a result may rest
	// on a fresh record only.
	fresh bool
}

// advance makes one try to decide the requests and returns those that are to be tried again.
// Requests that have waited for their time are ended, so that the caller learns the outcome while it
// can still use it.
func (w *shardWorker) advance(ops []*op, pause *pauser) []*op {
	ctx, cancel := context.WithTimeout(context.Background(), w.c.set.CommitTimeout)
	defer cancel()
	pending, err := w.step(ctx, w.dropGone(ops))
	if err == nil {
		pause.reset()
		return pending
	}
	w.record = nil
	if errors.Is(err, ErrRecordInvalid) || errors.Is(err, ErrRecordMissing) {
		w.fail(pending, err)
		return nil
	}
	now := time.Now()
	var left, expired []*op
	for _, o := range pending {
		if now.Before(o.expires) {
			left = append(left, o)
		} else {
			expired = append(expired, o)
		}
	}
	if len(expired) > 0 {
		w.fail(expired, err)
	}
	if len(left) > 0 {
		pause.sleep(context.Background())
	}
	return left
}

func (w *shardWorker) dropGone(ops []*op) []*op {
	kept := make([]*op, 0, len(ops))
	for _, o := range ops {
		if !w.isGone(o) {
			kept = append(kept, o)
			continue
		}
		o.finish(Result{State: StateUnavailable, Err: errCallerGone})
	}
	return kept
}

// fail ends requests that could not be decided. A request that was never part of a write is
// certainly not recorded.
func (w *shardWorker) fail(ops []*op, err error) {
	w.log.WithError(err).WithField("requests", len(ops)).Warn("claims could not be committed")
	for _, o := range ops {
		state := StateUnavailable
		if o.sent {
			state = StateUnknown
		}
		o.finish(Result{State: state, Err: err})
	}
}

// step tries once to decide the requests and returns those that are still undecided.
func (w *shardWorker) step(ctx context.Context, ops []*op) ([]*op, error) {
	if len(ops) == 0 {
		return nil, nil
	}
	if err := w.load(ctx); err != nil {
		return ops, err
	}
	if w.record.shard.size >= w.c.set.RotateBytes {
		return ops, w.rotate(ctx)
	}
	open, sealed, err := w.locate(ctx, ops)
	if err != nil {
		return ops, err
	}
	var undecided []*op
	for _, g := range sealed {
		left, segErr := w.commitSegment(ctx, g)
		undecided = append(undecided, left...)
		err = errors.Join(err, segErr)
	}
	left, openErr := w.commitOpen(ctx, open)
	w.clean(ctx)
	return append(undecided, left...), errors.Join(err, openErr)
}

// load makes sure that the open record is in memory.
func (w *shardWorker) load(ctx context.Context) error {
	if w.record != nil {
		w.record.fresh = false
		return nil
	}
	e, err := w.c.get(ctx, w.key)
	if errors.Is(err, external.ErrNotFound) {
		w.record = &cachedRecord{shard: newShard(), fresh: true}
		return nil
	}
	if err != nil {
		return err
	}
	s, err := Decode(e.Value)
	if err != nil {
		return err
	}
	w.record = &cachedRecord{version: e.Version, shard: s, fresh: true}
	return nil
}

// commitOpen applies the requests to the open record with one compare-and-swap.
func (w *shardWorker) commitOpen(ctx context.Context, ops []*op) ([]*op, error) {
	if len(ops) == 0 {
		return nil, nil
	}
	// The time is taken after the sealed records were read: a key that expires between its check
	// and the removal of its record would otherwise be granted again.
	now := time.Now()
	next := w.record.shard.Clone()
	w.dropExpired(next, now)
	results, written := applyAll(next, ops, now, &w.c.set)
	if len(written) == 0 {
		if !w.record.fresh {
			w.record = nil
			return ops, nil
		}
		finishAll(ops, results)
		return nil, nil
	}
	version, err := w.c.swap(ctx, w.key, w.record.version, next.Encode())
	if err != nil {
		markSent(written, err)
		return ops, err
	}
	w.record = &cachedRecord{version: version, shard: next}
	finishAll(ops, results)
	return nil, nil
}

// applyAll applies the requests in order and returns their results and those that changed the record.
func applyAll(s *Shard, ops []*op, now time.Time, set *Settings) (results []Result, written []*op) {
	results = make([]Result, len(ops))
	for i, o := range ops {
		r, changed := s.Apply(&o.req, now, set)
		results[i] = r
		if changed {
			written = append(written, o)
		}
	}
	return results, written
}

func finishAll(ops []*op, results []Result) {
	for i, o := range ops {
		o.finish(results[i])
	}
}

// markSent records that requests were part of a write that may have taken effect. The records are
// then read again: a request whose write took effect finds its own ID. Otherwise the next write is
// made at the version that was read, and a delayed write at the old version can no longer take effect
// after it.
func markSent(written []*op, err error) {
	if !errors.Is(err, external.ErrOutcomeUnknown) {
		return
	}
	for _, o := range written {
		o.sent = true
	}
}
