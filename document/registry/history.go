package registry

import (
	"context"
	"errors"

	"github.com/quetzallug/quetzallug/external"
)

// repairHistory writes the present record's history entry if the writer of that record did not
// get to it. Failures are ignored: the history is best effort.
func repairHistory(ctx context.Context, kv external.KV, current *Record) {
	if current.WriteID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	if _, err := kv.Get(ctx, HistoryKey(current.Service, current.Revision)); errors.Is(err, external.ErrNotFound) {
		putHistory(ctx, kv, current)
	}
}

// recordHistory writes the history entry of an accepted record and removes entries that are
// too old.
func recordHistory(ctx context.Context, kv external.KV, r *Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), historyTimeout)
	defer cancel()
	if !putHistory(ctx, kv, r) || r.Revision <= HistoryLength {
		return
	}
	// Entries are created once, so their version is 1. An entry whose removal failed is removed
	// by one of the next writes, which look a few revisions further back.
	const lookBack = 3
	for old := r.Revision - HistoryLength; old > 0 && old+HistoryLength+lookBack > r.Revision; old-- {
		if err := kv.Delete(ctx, HistoryKey(r.Service, old), 1); err != nil && !errors.Is(err, external.ErrConflict) {
			return
		}
	}
}

func putHistory(ctx context.Context, kv external.KV, r *Record) bool {
	past := *r
	past.Recent = nil
	value, err := past.encode()
	if err != nil {
		return false
	}
	_, err = kv.CompareAndSwap(ctx, HistoryKey(r.Service, r.Revision), 0, value, 0)
	return err == nil || errors.Is(err, external.ErrConflict)
}
