package registry

import (
	"context"
	"errors"

	"github.com/quetzallug/quetzallug/external"
)

// repairHistory creates the history entry of the current record if the writer of that record failed
// to do so. Errors are ignored because the history is best effort.
func repairHistory(ctx context.Context, kv external.KV, current *Record) {
	if current.WriteID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	if _, err := kv.Get(ctx, HistoryKey(current.Service, current.Revision)); errors.Is(err, external.ErrNotFound) {
		createHistoryEntry(ctx, kv, current)
	}
}

// recordHistory creates the history entry of an accepted record and removes the
// entries beyond HistoryLength.
func recordHistory(ctx context.Context, kv external.KV, r *Record) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), historyTimeout)
	defer cancel()
	if !createHistoryEntry(ctx, kv, r) || r.Revision <= HistoryLength {
		return
	}
	// Entries are created once and never updated, so their version is 1. Each write tries to remove
	// several of the entries beyond HistoryLength, in case an earlier removal failed.
	const removalsPerWrite = 3
	for revision := r.Revision - HistoryLength; revision > 0 && revision+HistoryLength+removalsPerWrite > r.Revision; revision-- {
		if err := kv.Delete(ctx, HistoryKey(r.Service, revision), 1); err != nil && !errors.Is(err, external.ErrConflict) {
			return
		}
	}
}

// createHistoryEntry creates the history entry of a record unless there is one, and reports whether
// the entry exists afterwards.
func createHistoryEntry(ctx context.Context, kv external.KV, r *Record) bool {
	entry := *r
	entry.Recent = nil
	value, err := entry.encode()
	if err != nil {
		return false
	}
	_, err = kv.CompareAndSwap(ctx, HistoryKey(r.Service, r.Revision), 0, value, 0)
	return err == nil || errors.Is(err, external.ErrConflict)
}
