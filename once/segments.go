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

// segmentIndex holds the sorted hashes of the keys of a sealed record. It stays valid because
// sealed records only lose claims. A hash that is present is confirmed by reading the record.
type segmentIndex []uint64

func newSegmentIndex(s *Shard) segmentIndex {
	x := make(segmentIndex, 0, len(s.claims))
	for _, c := range s.claims {
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

// segmentGroup is a sealed record with the requests whose keys are in it.
type segmentGroup struct {
	key     string
	version uint64
	shard   *Shard
	ops     []*op
}

// rotate seals the open record: it copies the claims to a record named by the version of the open
// record, and then replaces the open record by an empty one that lists the copy. Several processes
// that seal one version write the same copy. A copy that is never listed is never read.
func (w *shardWorker) rotate(ctx context.Context) error {
	version := w.record.version
	sealed, open := w.record.shard.seal(version)
	key := segmentKey(w.key, version)
	_, err := w.c.swap(ctx, key, 0, sealed.Encode())
	if errors.Is(err, external.ErrOutcomeUnknown) {
		_, err = w.c.get(ctx, key)
	}
	if err != nil && !errors.Is(err, external.ErrConflict) {
		return fmt.Errorf("seal claim record %q: %w", key, err)
	}
	next, err := w.c.swap(ctx, w.key, version, open.Encode())
	if err != nil {
		return fmt.Errorf("rotate claim record %q: %w", w.key, err)
	}
	w.setIndex(version, newSegmentIndex(sealed))
	w.record = &cachedRecord{version: next, shard: open}
	return nil
}

// setIndex keeps the index of a sealed record. Beyond the bound, the indexes of the oldest records are
// dropped; these records are read again when a key may be in them.
func (w *shardWorker) setIndex(version uint64, x segmentIndex) {
	if w.segments == nil {
		w.segments = map[uint64]segmentIndex{}
	}
	w.dropIndex(version)
	w.segments[version] = x
	w.indexed += len(x)
	for _, seg := range w.record.shard.Sealed {
		if w.indexed*hashBytes <= w.c.set.IndexBytes {
			return
		}
		if seg.Version != version {
			w.dropIndex(seg.Version)
		}
	}
}

func (w *shardWorker) dropIndex(version uint64) {
	w.indexed -= len(w.segments[version])
	delete(w.segments, version)
}

// locate splits the requests into those whose keys are in a sealed record, and the others.
func (w *shardWorker) locate(ctx context.Context, ops []*op) (open []*op, sealed []*segmentGroup, err error) {
	groups := map[uint64]*segmentGroup{}
	for _, o := range ops {
		g, err := w.find(ctx, o.req.Key, groups)
		if err != nil {
			return nil, nil, err
		}
		if g == nil {
			open = append(open, o)
			continue
		}
		g.ops = append(g.ops, o)
	}
	for _, seg := range w.record.shard.Sealed {
		if g := groups[seg.Version]; g != nil && len(g.ops) > 0 {
			sealed = append(sealed, g)
		}
	}
	return open, sealed, nil
}

// find returns the sealed record that holds the key, or nil. It reads records that may hold the
// key and puts them into groups.
func (w *shardWorker) find(ctx context.Context, key string, groups map[uint64]*segmentGroup) (*segmentGroup, error) {
	if w.record.shard.Get(key) != nil {
		return nil, nil
	}
	// The creation times of sealed records do not decrease along the list, so the search ends at the
	// first one that is too old. A time-ordered key cannot be claimed more than the skew bound before
	// its own time.
	earliest := time.Now().Add(-w.c.set.keep())
	if keyTime, ordered := KeyTime(key); ordered && keyTime.Add(-w.c.set.Skew).After(earliest) {
		earliest = keyTime.Add(-w.c.set.Skew)
	}
	for _, seg := range slices.Backward(w.record.shard.Sealed) {
		if seg.Last.Before(earliest) {
			return nil, nil
		}
		if x, ok := w.segments[seg.Version]; ok && !x.mayContain(key) {
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
		if g.shard.Get(key) != nil {
			return g, nil
		}
	}
	return nil, nil
}

func (w *shardWorker) isPastKeep(seg Segment) bool { return time.Since(seg.Last) > w.c.set.keep() }

func (w *shardWorker) readSegment(ctx context.Context, seg Segment) (*segmentGroup, error) {
	key := segmentKey(w.key, seg.Version)
	e, err := w.c.get(ctx, key)
	if errors.Is(err, external.ErrNotFound) {
		if w.isPastKeep(seg) {
			return &segmentGroup{key: key, shard: newShard()}, nil
		}
		return nil, fmt.Errorf("%w: %q", ErrRecordMissing, key)
	}
	if err != nil {
		return nil, err
	}
	s, err := Decode(e.Value)
	if err != nil {
		return nil, err
	}
	w.setIndex(seg.Version, newSegmentIndex(s))
	return &segmentGroup{key: key, version: e.Version, shard: s}, nil
}

// commitSegment applies requests to a sealed record, which was read in this step.
func (w *shardWorker) commitSegment(ctx context.Context, g *segmentGroup) ([]*op, error) {
	results, written := applyAll(g.shard, g.ops, time.Now(), &w.c.set)
	if len(written) > 0 {
		if _, err := w.c.swap(ctx, g.key, g.version, g.shard.Encode()); err != nil {
			markSent(written, err)
			return g.ops, err
		}
	}
	finishAll(g.ops, results)
	return nil, nil
}

// dropExpired removes expired claims, and sealed records that have been deleted, from the record
// that is about to be written.
func (w *shardWorker) dropExpired(s *Shard, now time.Time) {
	s.Expire(now, w.c.set.keep())
	s.Sealed = slices.DeleteFunc(s.Sealed, func(g Segment) bool {
		if !w.removed[g.Version] {
			return false
		}
		delete(w.removed, g.Version)
		w.dropIndex(g.Version)
		return true
	})
}

// clean deletes at most one expired sealed record. The record is deleted before it is taken off the
// list, so that a process that ends in between leaves nothing behind that is not listed.
func (w *shardWorker) clean(ctx context.Context) {
	if w.record == nil || len(w.record.shard.Sealed) == 0 {
		return
	}
	seg := w.record.shard.Sealed[0]
	if !w.isPastKeep(seg) || w.removed[seg.Version] {
		return
	}
	key := segmentKey(w.key, seg.Version)
	e, err := w.c.get(ctx, key)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, w.c.set.CallTimeout)
		err = w.c.kv.Delete(callCtx, key, e.Version)
		cancel()
	}
	if err != nil && !errors.Is(err, external.ErrNotFound) {
		w.log.WithError(err).WithField("record", key).Info("expired claim record was not deleted; it is tried again")
		return
	}
	if w.removed == nil {
		w.removed = map[uint64]bool{}
	}
	w.removed[seg.Version] = true
}
