// Package cas writes records to the key-value service by compare-and-swap and determines whether a
// write whose response was lost took effect. Each record carries a unique write ID in its JSON field
// "write_id". After an uncertain outcome the writer reads the record back and compares the IDs.
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

// maxAttempts limits how often one write is sent. If a write may or may not have taken effect and the key
// has not changed, it is sent again with the same ID, so that a delayed delivery of an earlier attempt is
// recognised.
const maxAttempts = 3

// DefaultCallTimeout limits one call to the key-value service. A healthy service responds within
// milliseconds.
const DefaultCallTimeout = 2 * time.Second

// Write describes one compare-and-swap write, which may be sent several times.
type Write struct {
	Key string
	// Expected is the version that the key must have, or 0 if the key must not exist.
	Expected uint64
	// Value is the JSON record. Its field "write_id" equals ID.
	Value []byte
	// Lease is the lease that the key expires with, or 0 for none.
	Lease external.LeaseID
	ID    string
	// Check runs immediately before each attempt; nil means no check. If it fails, Swap returns its error.
	Check func() error
	// CallTimeout limits each call; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// NewID returns a unique write ID.
func NewID() string { return uuid.NewString() }

// Swap performs the write and returns the key's new version. It returns external.ErrConflict if
// another writer has changed the key, external.ErrUnavailable if the first attempt did not reach the
// service, external.ErrLeaseExpired if the lease has expired, and external.ErrOutcomeUnknown if the write
// may have taken effect or may still do so. It also returns any error of w.Check.
func Swap(ctx context.Context, kv external.KV, w Write) (uint64, error) {
	sent := false
	for range maxAttempts {
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
		// A conflict is read back too, because a duplicate delivery of this write may have caused it.
		sent = true
		version, retry, err := readBack(ctx, kv, w)
		if !retry {
			return version, err
		}
	}
	return 0, fmt.Errorf("write %s of %q: %w", w.ID, w.Key, external.ErrOutcomeUnknown)
}

func send(ctx context.Context, kv external.KV, w Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOrDefault(w.CallTimeout))
	defer cancel()
	return kv.CompareAndSwap(ctx, w.Key, w.Expected, w.Value, w.Lease)
}

// readBack reads the key and returns its version if the write took effect. retry reports that the key has
// not changed. Otherwise err is external.ErrConflict, or external.ErrOutcomeUnknown if the key could not
// be read.
func readBack(ctx context.Context, kv external.KV, w Write) (version uint64, retry bool, err error) {
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

// Get returns the entry of a key, or external.ErrNotFound if the key does not exist. A timeout of 0
// means DefaultCallTimeout.
func Get(ctx context.Context, kv external.KV, key string, timeout time.Duration) (external.KVEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOrDefault(timeout))
	defer cancel()
	return kv.Get(ctx, key)
}

func timeoutOrDefault(d time.Duration) time.Duration {
	if d <= 0 {
		return DefaultCallTimeout
	}
	return d
}

// writeID returns the write ID of a record, or an empty string if the record is not valid JSON.
func writeID(value []byte) string {
	var v struct {
		WriteID string `json:"write_id"`
	}
	if json.Unmarshal(value, &v) != nil {
		return ""
	}
	return v.WriteID
}
