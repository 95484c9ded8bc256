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
// retry deadline fail, so that the caller of Do learns the outcome while it can still use it.
func (w *shardWorker) tryCommit(requests []*queuedRequest, retry *backoff) []*queuedRequest {
	ctx, cancel := context.WithTimeout(context.Background(), w.committer.settings.CommitTimeout)
	defer cancel()
	unfinished, err := w.commitBatch(ctx, w.dropAbandoned(requests))
	if err == nil {
		retry.reset()
		return unfinished
	}
	w.cached = nil
	if errors.Is(err, ErrRecordInvalid) || errors.Is(err, ErrRecordMissing) {
		w.fail(unfinished, err)
		return nil
	}
	now := time.Now()
	var retryable, expired []*queuedRequest
	for _, q := range unfinished {
		if now.Before(q.retryUntil) {
			retryable = append(retryable, q)
		} else {
			expired = append(expired, q)
		}
	}
	if len(expired) > 0 {
		w.fail(expired, err)
	}
	if len(retryable) > 0 {
		retry.sleep(context.Background())
	}
	return retryable
}

// dropAbandoned finishes, with StateUnavailable, the abandoned claims that are certainly not recorded, and
// returns the other requests.
func (w *shardWorker) dropAbandoned(requests []*queuedRequest) []*queuedRequest {
	kept := make([]*queuedRequest, 0, len(requests))
	for _, q := range requests {
		if !w.canDrop(q) {
			kept = append(kept, q)
			continue
		}
		q.finish(Result{State: StateUnavailable, Err: errCallEnded})
	}
	return kept
}

// fail finishes requests that could not be committed. A request that was never part of a write with an
// unknown outcome is certainly not recorded.
func (w *shardWorker) fail(requests []*queuedRequest, err error) {
	w.log.WithError(err).WithField("requests", len(requests)).Warn("claim requests could not be committed")
	for _, q := range requests {
		state := StateUnavailable
		if q.maybeWritten {
			state = StateUnknown
		}
		q.finish(Result{State: state, Err: err})
	}
}

// commitBatch makes one pass over the requests and returns those to retry, also if the error is nil. If
// the claims in the open record have reached RotateBytes, it only rotates the record and returns all
// requests.
func (w *shardWorker) commitBatch(ctx context.Context, requests []*queuedRequest) ([]*queuedRequest, error) {
	if len(requests) == 0 {
		return nil, nil
	}
	if err := w.load(ctx); err != nil {
		return requests, err
	}
	if w.cached.record.claimBytes >= w.committer.settings.RotateBytes {
		return requests, w.rotate(ctx)
	}
	open, sealed, err := w.groupByRecord(ctx, requests)
	if err != nil {
		return requests, err
	}
	var unfinished []*queuedRequest
	for _, g := range sealed {
		unfinishedSealed, sealedErr := w.commitSealed(ctx, g)
		unfinished = append(unfinished, unfinishedSealed...)
		err = errors.Join(err, sealedErr)
	}
	unfinishedOpen, openErr := w.commitOpen(ctx, open)
	w.deleteExpiredSealed(ctx)
	return append(unfinished, unfinishedOpen...), errors.Join(err, openErr)
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

// commitOpen applies the requests to the open record with one compare-and-swap. It returns the requests to
// retry: all of them after an error, or with a nil error if the cached record may be stale and must be
// read again.
func (w *shardWorker) commitOpen(ctx context.Context, requests []*queuedRequest) ([]*queuedRequest, error) {
	if len(requests) == 0 {
		return nil, nil
	}
	// Take the time after groupByRecord. If it were taken before, a key could expire and its sealed
	// record be deleted between the two, and the key would be granted again.
	now := time.Now()
	next := w.cached.record.Clone()
	w.dropExpired(next, now)
	results, changed := applyAll(next, requests, now, &w.committer.settings)
	if len(changed) == 0 {
		if !w.cached.fresh {
			w.cached = nil
			return requests, nil
		}
		finishAll(requests, results)
		return nil, nil
	}
	version, err := w.committer.compareAndSwap(ctx, w.recordKey, w.cached.version, next.Encode())
	if err != nil {
		markMaybeWritten(changed, err)
		return requests, err
	}
	w.cached = &cachedRecord{version: version, record: next}
	finishAll(requests, results)
	return nil, nil
}

// applyAll applies the requests in order. It returns their results, and the requests that changed the
// record.
func applyAll(rec *Record, requests []*queuedRequest, now time.Time, settings *Settings) (results []Result, changed []*queuedRequest) {
	results = make([]Result, len(requests))
	for i, q := range requests {
		r, recordChanged := rec.Apply(&q.req, now, settings)
		results[i] = r
		if recordChanged {
			changed = append(changed, q)
		}
	}
	return results, changed
}

func finishAll(requests []*queuedRequest, results []Result) {
	for i, q := range requests {
		q.finish(results[i])
	}
}

// markMaybeWritten marks the requests of a write with an unknown outcome. The retry reads the records
// again. If the write took effect, the retry finds its effect. Otherwise the retry's write expects the
// same version as the delayed one, so that at most one of the two takes effect.
func markMaybeWritten(requests []*queuedRequest, err error) {
	if !errors.Is(err, external.ErrOutcomeUnknown) {
		return
	}
	for _, q := range requests {
		q.maybeWritten = true
	}
}
