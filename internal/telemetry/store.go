package telemetry

import (
	"context"
	"errors"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// CountKV wraps kv and calls count with the operation and result of each call.
func CountKV(kv external.KV, count func(operation, result string)) external.KV {
	return &countingKV{kv: kv, count: count}
}

type countingKV struct {
	kv    external.KV
	count func(operation, result string)
}

// kvErrorResults maps errors of the key-value service to the values of the result label.
var kvErrorResults = []struct {
	err    error
	result string
}{
	{external.ErrNotFound, "not_found"},
	{external.ErrConflict, "conflict"},
	{external.ErrCompacted, "compacted"},
	{external.ErrNewEpoch, "new_epoch"},
	{external.ErrLeaseExpired, "lease_expired"},
	{external.ErrOutcomeUnknown, "outcome_unknown"},
	{external.ErrUnavailable, "unavailable"},
	{context.Canceled, "cancelled"},
}

func (c *countingKV) record(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
		for _, r := range kvErrorResults {
			if errors.Is(err, r.err) {
				result = r.result
				break
			}
		}
	}
	c.count(operation, result)
}

// Get implements external.KV.
func (c *countingKV) Get(ctx context.Context, key string) (external.KVEntry, error) {
	e, err := c.kv.Get(ctx, key)
	c.record("get", err)
	return e, err
}

// List implements external.KV.
func (c *countingKV) List(ctx context.Context, prefix string) ([]external.KVEntry, uint64, error) {
	entries, revision, err := c.kv.List(ctx, prefix)
	c.record("list", err)
	return entries, revision, err
}

// CompareAndSwap implements external.KV.
func (c *countingKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	version, err := c.kv.CompareAndSwap(ctx, key, expected, value, lease)
	c.record("compare_and_swap", err)
	return version, err
}

// Delete implements external.KV.
func (c *countingKV) Delete(ctx context.Context, key string, expected uint64) error {
	err := c.kv.Delete(ctx, key, expected)
	c.record("delete", err)
	return err
}

// Watch implements external.KV.
func (c *countingKV) Watch(ctx context.Context, prefix string, after uint64) ([]external.KVEvent, uint64, error) {
	events, revision, err := c.kv.Watch(ctx, prefix, after)
	c.record("watch", err)
	return events, revision, err
}

// GrantLease implements external.KV.
func (c *countingKV) GrantLease(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	id, err := c.kv.GrantLease(ctx, ttl)
	c.record("grant_lease", err)
	return id, err
}

// KeepAlive implements external.KV.
func (c *countingKV) KeepAlive(ctx context.Context, id external.LeaseID) error {
	err := c.kv.KeepAlive(ctx, id)
	c.record("keep_alive", err)
	return err
}

// RevokeLease implements external.KV.
func (c *countingKV) RevokeLease(ctx context.Context, id external.LeaseID) error {
	err := c.kv.RevokeLease(ctx, id)
	c.record("revoke_lease", err)
	return err
}
