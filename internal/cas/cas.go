// Package cas writes records of the key-value service by compare-and-swap and finds out
// whether a write whose response was lost took effect. Each record carries a unique write ID in
// its JSON field "write_id"; a writer that is unsure reads the record back and compares IDs.
package cas

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/quetzallug/quetzallug/external"
)

// maxTries bounds the sends of one write. A write that was lost before it reached the service is
// sent again under the same ID, so a late arrival of the first send is recognised.
const maxTries = 3

// DefaultCallTimeout bounds one call to the key-value service, which answers in milliseconds
// when it is healthy.
const DefaultCallTimeout = 2 * time.Second

// Write is one logical write.
type Write struct {
	Key string
	// Expected is the version that the key must have, 0 for an absent key.
	Expected uint64
	// Value is the encoded record. It contains ID in its field "write_id".
	Value []byte
	// Lease binds the key's lifetime; 0 for none.
	Lease external.LeaseID
	ID    string
	// Check runs immediately before each send. Its error ends the write.
	Check func() error
	// CallTimeout bounds each call; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// NewID returns a unique write ID.
func NewID() string { return uuid.NewString() }

// Swap performs the write and returns the key's new version. external.ErrConflict means that the
// key has another writer's value, external.ErrUnavailable that nothing was written, and
// external.ErrOutcomeUnknown that the write may still take effect.
func Swap(ctx context.Context, kv external.KV, w Write) (uint64, error) {
	sent := false
	for range maxTries {
		if w.Check != nil {
			if err := w.Check(); err != nil {
				return 0, err
			}
		}
		version, err := send(ctx, kv, w)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, external.ErrUnavailable) && !sent, errors.Is(err, external.ErrLeaseExpired):
			return 0, err
		}
		// A conflict is read back too: a duplicate delivery of this write may have caused it.
		sent = true
		version, again, err := readBack(ctx, kv, w)
		if !again {
			return version, err
		}
	}
	return 0, fmt.Errorf("write %s of %q: %w", w.ID, w.Key, external.ErrOutcomeUnknown)
}

func send(ctx context.Context, kv external.KV, w Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout(w.CallTimeout))
	defer cancel()
	return kv.CompareAndSwap(ctx, w.Key, w.Expected, w.Value, w.Lease)
}

// readBack reports the version if the write took effect, and again if the key is as before.
func readBack(ctx context.Context, kv external.KV, w Write) (version uint64, again bool, err error) {
	e, err := Get(ctx, kv, w.Key, w.CallTimeout)
	switch {
	case errors.Is(err, external.ErrNotFound):
		if w.Expected == 0 {
			return 0, true, nil
		}
		return 0, false, external.ErrConflict
	case err != nil:
		return 0, false, fmt.Errorf("write %s of %q could not be read back: %w", w.ID, w.Key, external.ErrOutcomeUnknown)
	case writeID(e.Value) == w.ID:
		return e.Version, false, nil
	case e.Version == w.Expected:
		return 0, true, nil
	}
	return 0, false, external.ErrConflict
}

// Get reads a key with a bound on the call.
func Get(ctx context.Context, kv external.KV, key string, timeout time.Duration) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout(timeout))
	defer cancel()
	return kv.Get(ctx, key)
}

func callTimeout(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultCallTimeout
	}
	return d
}

func writeID(value []byte) string {
	var v struct {
		WriteID string `json:"write_id"`
	}
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.WriteID
}
