package once

import (
	"context"
	"errors"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// cachedRecord is the open record as it was last read or written by this process.
type cachedRecord struct {
	version uint64
	record  *Record
	// fresh means that the record was read from the store in the current call of commitBatch. A
	// result that needs no write may be returned only from a fresh record, because another process may
	// have changed a cached one.
	fresh bool
}

// tryCommit makes one attempt to commit the requests and returns those to retry. Requests past their
// retry deadline fail, so that the caller learns the outcome while it can still use it.
func (w *shardWorker) tryCommit(ops []*op, retry *backoff) []*op {
	ctx, cancel := context.WithTimeout(context.Background(), w.committer.settings.CommitTimeout)
	defer cancel()
	pending, err := w.commitBatch(ctx, w.dropAbandoned(ops))
	if err == nil {
		retry.reset()
		return pending
	}
	w.cached = nil
	if errors.Is(err, ErrRecordInvalid) || errors.Is(err, ErrRecordMissing) {
		w.fail(pending, err)
		return nil
	}
	now := time.Now()
	var remaining, expired []*op
	for _, o := range pending {
		if now.Before(o.retryUntil) {
			remaining = append(remaining, o)
		} else {
			expired = append(expired, o)
		}
	}
	if len(expired) > 0 {
		w.fail(expired, err)
	}
	if len(remaining) > 0 {
		retry.sleep(context.Background())
	}
	return remaining
}

// dropAbandoned finishes the abandoned claims and returns the other requests.
func (w *shardWorker) dropAbandoned(ops []*op) []*op {
	kept := make([]*op, 0, len(ops))
	for _, o := range ops {
		if !w.isAbandoned(o) {
			kept = append(kept, o)
			continue
		}
		o.finish(Result{State: StateUnavailable, Err: errCallerGone})
	}
	return kept
}

// fail finishes requests that could not be committed. A request that was never part of a write with an
// unknown outcome is certainly not recorded.
func (w *shardWorker) fail(ops []*op, err error) {
	w.log.WithError(err).WithField("requests", len(ops)).Warn("claims could not be committed")
	for _, o := range ops {
		state := StateUnavailable
		if o.maybeWritten {
			state = StateUnknown
		}
		o.finish(Result{State: state, Err: err})
	}
}

// commitBatch applies the requests to their records once and returns those without a result.
func (w *shardWorker) commitBatch(ctx context.Context, ops []*op) ([]*op, error) {
	if len(ops) == 0 {
		return nil, nil
	}
	if err := w.load(ctx); err != nil {
		return ops, err
	}
	if w.cached.record.size >= w.committer.settings.RotateBytes {
		return ops, w.rotate(ctx)
	}
	open, sealed, err := w.groupByRecord(ctx, ops)
	if err != nil {
		return ops, err
	}
	var undecided []*op
	for _, g := range sealed {
		remaining, segErr := w.commitSegment(ctx, g)
		undecided = append(undecided, remaining...)
		err = errors.Join(err, segErr)
	}
	remaining, openErr := w.commitOpen(ctx, open)
	w.deleteExpiredSegment(ctx)
	return append(undecided, remaining...), errors.Join(err, openErr)
}

// load reads the open record unless it is cached.
func (w *shardWorker) load(ctx context.Context) error {
	if w.cached != nil {
		w.cached.fresh = false
		return nil
	}
	e, err := w.committer.get(ctx, w.recordKey)
	if errors.Is(err, external.ErrNotFound) {
		w.cached = &cachedRecord{record: newRecord(), fresh: true}
		return nil
	}
	if err != nil {
		return err
	}
	rec, err := Decode(e.Value)
	if err != nil {
		return err
	}
	w.cached = &cachedRecord{version: e.Version, record: rec, fresh: true}
	return nil
}

// commitOpen applies the requests to the open record with one compare-and-swap.
func (w *shardWorker) commitOpen(ctx context.Context, ops []*op) ([]*op, error) {
	if len(ops) == 0 {
		return nil, nil
	}
	// The time is taken after the sealed records were read. With an earlier time, a key could still
	// count as accepted although its expired sealed record was deleted before the read, and be granted
	// again.
	now := time.Now()
	next := w.cached.record.Clone()
	w.dropExpired(next, now)
	results, written := applyAll(next, ops, now, &w.committer.settings)
	if len(written) == 0 {
		if !w.cached.fresh {
			w.cached = nil
			return ops, nil
		}
		finishAll(ops, results)
		return nil, nil
	}
	version, err := w.committer.compareAndSwap(ctx, w.recordKey, w.cached.version, next.Encode())
	if err != nil {
		markMaybeWritten(written, err)
		return ops, err
	}
	w.cached = &cachedRecord{version: version, record: next}
	finishAll(ops, results)
	return nil, nil
}

// applyAll applies the requests in order. It returns their results, and the requests that changed the
// record.
func applyAll(rec *Record, ops []*op, now time.Time, settings *Settings) (results []Result, written []*op) {
	results = make([]Result, len(ops))
	for i, o := range ops {
		r, changed := rec.Apply(&o.req, now, settings)
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

// markMaybeWritten marks the requests of a write with an unknown outcome. The retry reads the records
// again: if the write took effect, each request finds its own ID. Otherwise the next write expects the
// version that was read, and once it succeeds, a delayed write that expects the old version fails.
func markMaybeWritten(written []*op, err error) {
	if !errors.Is(err, external.ErrOutcomeUnknown) {
		return
	}
	for _, o := range written {
		o.maybeWritten = true
	}
}
