package telemetry

import (
	"context"
	"errors"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// CountKV returns a key-value service whose calls are counted by operation and result.
func CountKV(kv external.KV, count func(operation, result string)) external.KV {
	return &countedKV{kv: kv, count: count}
}

type countedKV struct {
	kv    external.KV
	count func(operation, result string)
}

// Results of calls to the key-value service.
var kvResults = []struct {
	err    error
	result string
}{
	{external.ErrNotFound, "not_found"},
	{external.ErrConflict, "conflict"},
	{external.ErrCompacted, "compacted"},
	{external.ErrLeaseExpired, "lease_expired"},
	{external.ErrOutcomeUnknown, "outcome_unknown"},
	{external.ErrUnavailable, "unavailable"},
	{context.Canceled, "cancelled"},
}

func (c *countedKV) counted(operation string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
		for _, r := range kvResults {
			if errors.Is(err, r.err) {
				result = r.result
				break
			}
		}
	}
	c.count(operation, result)
}

// Get implements external.KV.
func (c *countedKV) Get(ctx context.Context, key string) (external.Entry, error) {
	e, err := c.kv.Get(ctx, key)
	c.counted("get", err)
	return e, err
}

// List implements external.KV.
func (c *countedKV) List(ctx context.Context, prefix string) ([]external.Entry, uint64, error) {
	entries, revision, err := c.kv.List(ctx, prefix)
	c.counted("list", err)
	return entries, revision, err
}

// CompareAndSwap implements external.KV.
func (c *countedKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	version, err := c.kv.CompareAndSwap(ctx, key, expected, value, lease)
	c.counted("compare_and_swap", err)
	return version, err
}

// Delete implements external.KV.
func (c *countedKV) Delete(ctx context.Context, key string, expected uint64) error {
	err := c.kv.Delete(ctx, key, expected)
	c.counted("delete", err)
	return err
}

// Watch implements external.KV.
func (c *countedKV) Watch(ctx context.Context, prefix string, after uint64) ([]external.Event, uint64, error) {
	events, revision, err := c.kv.Watch(ctx, prefix, after)
	c.counted("watch", err)
	return events, revision, err
}

// GrantLease implements external.KV.
func (c *countedKV) GrantLease(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	id, err := c.kv.GrantLease(ctx, ttl)
	c.counted("grant_lease", err)
	return id, err
}

// KeepAlive implements external.KV.
func (c *countedKV) KeepAlive(ctx context.Context, id external.LeaseID) error {
	err := c.kv.KeepAlive(ctx, id)
	c.counted("keep_alive", err)
	return err
}

// RevokeLease implements external.KV.
func (c *countedKV) RevokeLease(ctx context.Context, id external.LeaseID) error {
	err := c.kv.RevokeLease(ctx, id)
	c.counted("revoke_lease", err)
	return err
}
