package once

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

// sealedIndex holds the sorted hashes of the keys of a sealed record. It needs no update, because
// claims are never added to sealed records. A matching hash is confirmed by reading the record.
type sealedIndex []uint64

func newSealedIndex(rec *Record) sealedIndex {
	x := make(sealedIndex, 0, len(rec.claims))
	for _, c := range rec.claims {
		x = append(x, xxhash.Sum64String(c.Key))
	}
	slices.Sort(x)
	return x
}

func (x sealedIndex) mayContain(key string) bool {
	_, found := slices.BinarySearch(x, xxhash.Sum64String(key))
	return found
}

// hashBytes is the size of one key in a sealedIndex.
const hashBytes = 8

// sealedBatch is a sealed record as read from the store, with the requests whose keys are in it.
type sealedBatch struct {
	key      string // key of the sealed record
	version  uint64 // stored version of the sealed record
	record   *Record
	requests []*queuedRequest
}

// rotate seals the open record: it copies the claims to a record named by the version of the open
// record, and then replaces the open record by an empty one that lists the copy. Processes that seal
// the same version concurrently write identical copies, so that a conflict on the copy is no error. A
// copy that is not listed is never read.
func (w *shardWorker) rotate(ctx context.Context) error {
	version := w.cached.version
	sealed, open := w.cached.record.seal(version)
	key := sealedKey(w.recordKey, version)
	_, err := w.committer.compareAndSwap(ctx, key, 0, sealed.Encode())
	if errors.Is(err, external.ErrOutcomeUnknown) {
		_, err = w.committer.get(ctx, key)
	}
	if err != nil && !errors.Is(err, external.ErrConflict) {
		return fmt.Errorf("seal claim record %q: %w", key, err)
	}
	next, err := w.committer.compareAndSwap(ctx, w.recordKey, version, open.Encode())
	if err != nil {
		return fmt.Errorf("rotate claim record %q: %w", w.recordKey, err)
	}
	w.setIndex(version, newSealedIndex(sealed))
	w.cached = &cachedRecord{version: next, record: open}
	return nil
}

// setIndex caches the index of a sealed record. Above IndexBytes, the indexes of the oldest records, except
// the one just set, are evicted; these records are read again when a key may be in them.
func (w *shardWorker) setIndex(version uint64, x sealedIndex) {
	if w.indexes == nil {
		w.indexes = map[uint64]sealedIndex{}
	}
	w.dropIndex(version)
	w.indexes[version] = x
	w.indexedKeys += len(x)
	for _, ref := range w.cached.record.Sealed {
		if w.indexedKeys*hashBytes <= w.committer.settings.IndexBytes {
			return
		}
		if ref.Version != version {
			w.dropIndex(ref.Version)
		}
	}
}

func (w *shardWorker) dropIndex(version uint64) {
	w.indexedKeys -= len(w.indexes[version])
	delete(w.indexes, version)
}

// groupByRecord returns the requests for the open record, and those whose keys are in sealed records,
// grouped by record.
func (w *shardWorker) groupByRecord(ctx context.Context, requests []*queuedRequest) (open []*queuedRequest, sealed []*sealedBatch, err error) {
	groups := map[uint64]*sealedBatch{}
	for _, q := range requests {
		g, err := w.findSealed(ctx, q.req.Key, groups)
		if err != nil {
			return nil, nil, err
		}
		if g == nil {
			open = append(open, q)
			continue
		}
		g.requests = append(g.requests, q)
	}
	for _, ref := range w.cached.record.Sealed {
		if g := groups[ref.Version]; g != nil && len(g.requests) > 0 {
			sealed = append(sealed, g)
		}
	}
	return open, sealed, nil
}

// findSealed returns the sealed record that contains the key, or nil. It reads the sealed records that
// may contain the key and adds them to groups.
func (w *shardWorker) findSealed(ctx context.Context, key string, groups map[uint64]*sealedBatch) (*sealedBatch, error) {
	if w.cached.record.Get(key) != nil {
		return nil, nil
	}
	// LastCreated does not decrease along the list, so the search from the newest record stops at the
	// first one that is too old. The claim of a time-ordered key is at most Skew older than the key's
	// timestamp.
	earliest := time.Now().Add(-w.committer.settings.maxClaimAge())
	if keyTime, ordered := KeyTime(key); ordered && keyTime.Add(-w.committer.settings.Skew).After(earliest) {
		earliest = keyTime.Add(-w.committer.settings.Skew)
	}
	for _, ref := range slices.Backward(w.cached.record.Sealed) {
		if ref.LastCreated.Before(earliest) {
			return nil, nil
		}
		if x, ok := w.indexes[ref.Version]; ok && !x.mayContain(key) {
			continue
		}
		g := groups[ref.Version]
		if g == nil {
			var err error
			if g, err = w.readSealed(ctx, ref); err != nil {
				return nil, err
			}
			groups[ref.Version] = g
		}
		if g.record.Get(key) != nil {
			return g, nil
		}
	}
	return nil, nil
}

// isExpired reports whether all claims of a sealed record have exceeded the maximum age.
func (w *shardWorker) isExpired(ref SealedRef) bool {
	return time.Since(ref.LastCreated) > w.committer.settings.maxClaimAge()
}

// readSealed reads a sealed record and caches its index. A missing record counts as empty only if it
// has expired; otherwise its keys could be claimed a second time.
func (w *shardWorker) readSealed(ctx context.Context, ref SealedRef) (*sealedBatch, error) {
	key := sealedKey(w.recordKey, ref.Version)
	e, err := w.committer.get(ctx, key)
	if errors.Is(err, external.ErrNotFound) {
		if w.isExpired(ref) {
			return &sealedBatch{key: key, record: newRecord()}, nil
		}
		return nil, fmt.Errorf("%w: %q", ErrRecordMissing, key)
	}
	if err != nil {
		return nil, err
	}
	rec, err := Decode(e.Value)
	if err != nil {
		return nil, err
	}
	w.setIndex(ref.Version, newSealedIndex(rec))
	return &sealedBatch{key: key, version: e.Version, record: rec}, nil
}

// commitSealed applies requests to a sealed record that was read in this call of commitBatch, and returns
// the requests to retry.
func (w *shardWorker) commitSealed(ctx context.Context, g *sealedBatch) ([]*queuedRequest, error) {
	results, changed := applyAll(g.record, g.requests, time.Now(), &w.committer.settings)
	if len(changed) > 0 {
		if _, err := w.committer.compareAndSwap(ctx, g.key, g.version, g.record.Encode()); err != nil {
			markMaybeWritten(changed, err)
			return g.requests, err
		}
	}
	finishAll(g.requests, results)
	return nil, nil
}

// dropExpired removes expired claims, and list entries of deleted sealed records, from the open record
// that is about to be written.
func (w *shardWorker) dropExpired(rec *Record, now time.Time) {
	rec.Expire(now, w.committer.settings.maxClaimAge())
	rec.Sealed = slices.DeleteFunc(rec.Sealed, func(ref SealedRef) bool {
		if !w.deleted[ref.Version] {
			return false
		}
		delete(w.deleted, ref.Version)
		w.dropIndex(ref.Version)
		return true
	})
}

// deleteExpiredSealed deletes the oldest sealed record if it has expired. The record is deleted before
// its list entry, so that a crash in between leaves no unlisted record in the store.
func (w *shardWorker) deleteExpiredSealed(ctx context.Context) {
	if w.cached == nil || len(w.cached.record.Sealed) == 0 {
		return
	}
	ref := w.cached.record.Sealed[0]
	if !w.isExpired(ref) || w.deleted[ref.Version] {
		return
	}
	key := sealedKey(w.recordKey, ref.Version)
	e, err := w.committer.get(ctx, key)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, w.committer.settings.CallTimeout)
		err = w.committer.kv.Delete(callCtx, key, e.Version)
		cancel()
	}
	if err != nil && !errors.Is(err, external.ErrNotFound) {
		w.log.WithError(err).WithField("record", key).Info("failed to delete expired claim record; will retry")
		return
	}
	if w.deleted == nil {
		w.deleted = map[uint64]bool{}
	}
	w.deleted[ref.Version] = true
}
