package dissemination

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/pause"
)

// probeKey is never written. Reading it shows whether the key-value service responds.
const probeKey = registry.ConfigPrefix

// KVWatcher keeps a Store up to date from the key-value service. Relays run it.
type KVWatcher struct {
	store *Store
	kv    external.KV
	rand  *lockedRand
	log   func(error)
}

// Run lists and watches the documents until ctx is done.
func (w *KVWatcher) Run(ctx context.Context) {
	b := &backoff{rand: w.rand}
	for ctx.Err() == nil {
		err := w.runSession(ctx, b)
		if ctx.Err() != nil {
			return
		}
		w.store.setInContact(false)
		w.log(fmt.Errorf("watch of the key-value service: %w", err))
		if !b.wait(ctx) {
			return
		}
	}
}

// runSession lists the documents once and then watches for changes after the revision that the
// key-value service had at the time of the list. Any error ends the session. The next one lists again,
// so that no change is missed.
func (w *KVWatcher) runSession(ctx context.Context, b *backoff) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var health sync.WaitGroup
	defer health.Wait()
	defer cancel(nil)
	revision, err := readAll(ctx, w.kv, w.store, w.log)
	if err != nil {
		return err
	}
	b.reset()
	health.Go(func() { w.checkHealth(ctx, cancel) })
	for {
		next, err := w.watch(ctx, revision)
		if err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		if next < revision {
			return fmt.Errorf("revision of the key-value service went back from %d to %d", revision, next)
		}
		revision = next
	}
}

// watch waits for changes after a revision, offers them to the store, and returns the revision to
// continue from.
func (w *KVWatcher) watch(ctx context.Context, after uint64) (uint64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	events, next, err := w.kv.Watch(watchCtx, registry.ConfigPrefix, after)
	if err != nil {
		if ctx.Err() == nil && watchCtx.Err() != nil {
			return after, nil // timed out: nothing changed, or the response was lost and the next watch returns its changes
		}
		return 0, err
	}
	var docs []Document
	for _, e := range events {
		if d, ok := decodeEntry(e.KVEntry, w.log); ok {
			docs = append(docs, d)
		}
	}
	w.store.Offer(docs...)
	return next, nil
}

// checkHealth ends the session when the key-value service stops responding, since a watch on a dead
// connection looks the same as one without changes.
func (w *KVWatcher) checkHealth(ctx context.Context, cancel context.CancelCauseFunc) {
	for pause.For(ctx, w.rand.jitter(healthInterval)) {
		if err := probe(ctx, w.kv); err != nil && ctx.Err() == nil {
			w.store.setInContact(false)
			cancel(fmt.Errorf("health check: %w", err))
			return
		}
	}
}

func probe(ctx context.Context, kv external.KV) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	if _, err := kv.Get(ctx, probeKey); err != nil && !errors.Is(err, external.ErrNotFound) {
		return err
	}
	return nil
}

// readAll offers all documents in the key-value service to the store and marks the store as
// confirmed and in contact. It returns the revision of the key-value service at the time of the list.
func readAll(ctx context.Context, kv external.KV, s *Store, log func(error)) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := kv.List(ctx, registry.ConfigPrefix)
	if err != nil {
		return 0, fmt.Errorf("list documents: %w", err)
	}
	docs := make([]Document, 0, len(entries))
	for _, e := range entries {
		if d, ok := decodeEntry(e, log); ok {
			docs = append(docs, d)
		}
	}
	s.Offer(docs...)
	s.confirmInContact()
	return revision, nil
}

// decodeEntry returns the document in a record. It returns false for an invalid record, which it logs,
// and for a removed key: a service is deleted by a tombstone record with a higher revision, not by
// removing its key.
func decodeEntry(e external.KVEntry, log func(error)) (Document, bool) {
	if len(e.Value) == 0 {
		return Document{}, false
	}
	r, err := registry.DecodeEntry(e)
	if err != nil {
		log(err)
		return Document{}, false
	}
	return Document{Service: r.Service, Revision: r.Revision, Body: r.Body, Deleted: r.Deleted}, true
}
