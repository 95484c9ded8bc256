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

// segmentIndex holds the sorted hashes of the keys of a sealed record. It needs no update, because
// claims are never added to sealed records. A matching hash is confirmed by reading the record.
type segmentIndex []uint64

func newSegmentIndex(rec *Record) segmentIndex {
	x := make(segmentIndex, 0, len(rec.claims))
	for _, c := range rec.claims {
		x = append(x, xxhash.Sum64String(c.Key))
	}
	slices.Sort(x)
	return x
}

func (x segmentIndex) mayContain(key string) bool {
	_, found := slices.BinarySearch(x, xxhash.Sum64String(key))
	return found
}

// hashBytes is the size of one key in a segmentIndex.
const hashBytes = 8

// segmentGroup is a sealed record as read from the store, with the requests whose keys are in it.
type segmentGroup struct {
	key     string // key of the sealed record
	version uint64 // stored version of the sealed record
	record  *Record
	ops     []*op
}

// rotate seals the open record: it copies the claims to a record named by the version of the open
// record, and then replaces the open record by an empty one that lists the copy. Processes that seal
// the same version concurrently write identical copies, so that a conflict on the copy is no error. A
// copy that is not listed is never read.
func (w *shardWorker) rotate(ctx context.Context) error {
	version := w.cached.version
	sealed, open := w.cached.record.seal(version)
	key := segmentKey(w.recordKey, version)
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
	w.setIndex(version, newSegmentIndex(sealed))
	w.cached = &cachedRecord{version: next, record: open}
	return nil
}

// setIndex caches the index of a sealed record. Above IndexBytes, the indexes of the oldest records are
// evicted; these records are read again when a key may be in them.
func (w *shardWorker) setIndex(version uint64, x segmentIndex) {
	if w.indexes == nil {
		w.indexes = map[uint64]segmentIndex{}
	}
	w.dropIndex(version)
	w.indexes[version] = x
	w.indexedKeys += len(x)
	for _, seg := range w.cached.record.Sealed {
		if w.indexedKeys*hashBytes <= w.committer.settings.IndexBytes {
			return
		}
		if seg.Version != version {
			w.dropIndex(seg.Version)
		}
	}
}

func (w *shardWorker) dropIndex(version uint64) {
	w.indexedKeys -= len(w.indexes[version])
	delete(w.indexes, version)
}

// groupByRecord returns the requests whose keys are in sealed records, grouped by record, and the
// others, which belong to the open record.
func (w *shardWorker) groupByRecord(ctx context.Context, ops []*op) (open []*op, sealed []*segmentGroup, err error) {
	groups := map[uint64]*segmentGroup{}
	for _, o := range ops {
		g, err := w.findSegment(ctx, o.req.Key, groups)
		if err != nil {
			return nil, nil, err
		}
		if g == nil {
			open = append(open, o)
			continue
		}
		g.ops = append(g.ops, o)
	}
	for _, seg := range w.cached.record.Sealed {
		if g := groups[seg.Version]; g != nil && len(g.ops) > 0 {
			sealed = append(sealed, g)
		}
	}
	return open, sealed, nil
}

// findSegment returns the sealed record that contains the key, or nil. It reads the sealed records that
// may contain the key and adds them to groups.
func (w *shardWorker) findSegment(ctx context.Context, key string, groups map[uint64]*segmentGroup) (*segmentGroup, error) {
	if w.cached.record.Get(key) != nil {
		return nil, nil
	}
	// LastCreated does not decrease along the list, so the search from the newest record stops at the
	// first one that is too old. A time-ordered key cannot be claimed earlier than the skew bound before
	// its timestamp.
	earliest := time.Now().Add(-w.committer.settings.maxClaimAge())
	if keyTime, ordered := KeyTime(key); ordered && keyTime.Add(-w.committer.settings.Skew).After(earliest) {
		earliest = keyTime.Add(-w.committer.settings.Skew)
	}
	for _, seg := range slices.Backward(w.cached.record.Sealed) {
		if seg.LastCreated.Before(earliest) {
			return nil, nil
		}
		if x, ok := w.indexes[seg.Version]; ok && !x.mayContain(key) {
			continue
		}
		g := groups[seg.Version]
		if g == nil {
			var err error
			if g, err = w.readSegment(ctx, seg); err != nil {
				return nil, err
			}
			groups[seg.Version] = g
		}
		if g.record.Get(key) != nil {
			return g, nil
		}
	}
	return nil, nil
}

// isExpired reports whether all claims of a sealed record have exceeded the maximum age.
func (w *shardWorker) isExpired(seg Segment) bool {
	return time.Since(seg.LastCreated) > w.committer.settings.maxClaimAge()
}

// readSegment reads a sealed record and caches its index. A missing record counts as empty only if it
// has expired; otherwise its keys could be claimed a second time.
func (w *shardWorker) readSegment(ctx context.Context, seg Segment) (*segmentGroup, error) {
	key := segmentKey(w.recordKey, seg.Version)
	e, err := w.committer.get(ctx, key)
	if errors.Is(err, external.ErrNotFound) {
		if w.isExpired(seg) {
			return &segmentGroup{key: key, record: newRecord()}, nil
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
	w.setIndex(seg.Version, newSegmentIndex(rec))
	return &segmentGroup{key: key, version: e.Version, record: rec}, nil
}

// commitSegment applies requests to a sealed record that was read in this call of commitBatch.
func (w *shardWorker) commitSegment(ctx context.Context, g *segmentGroup) ([]*op, error) {
	results, written := applyAll(g.record, g.ops, time.Now(), &w.committer.settings)
	if len(written) > 0 {
		if _, err := w.committer.compareAndSwap(ctx, g.key, g.version, g.record.Encode()); err != nil {
			markMaybeWritten(written, err)
			return g.ops, err
		}
	}
	finishAll(g.ops, results)
	return nil, nil
}

// dropExpired removes expired claims, and list entries of deleted sealed records, from the open record
// that is about to be written.
func (w *shardWorker) dropExpired(rec *Record, now time.Time) {
	rec.Expire(now, w.committer.settings.maxClaimAge())
	rec.Sealed = slices.DeleteFunc(rec.Sealed, func(g Segment) bool {
		if !w.deleted[g.Version] {
			return false
		}
		delete(w.deleted, g.Version)
		w.dropIndex(g.Version)
		return true
	})
}

// deleteExpiredSegment deletes the oldest sealed record if it has expired. The record is deleted before
// its list entry, so that a crash in between leaves no unlisted record in the store.
func (w *shardWorker) deleteExpiredSegment(ctx context.Context) {
	if w.cached == nil || len(w.cached.record.Sealed) == 0 {
		return
	}
	seg := w.cached.record.Sealed[0]
	if !w.isExpired(seg) || w.deleted[seg.Version] {
		return
	}
	key := segmentKey(w.recordKey, seg.Version)
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
	w.deleted[seg.Version] = true
}
