// Package kvbudget limits the rate of a process's calls to the key-value service, and counts them.
package kvbudget

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/quetzallug/quetzallug/external"
)

// Names of operations, with which calls are counted.
const (
	OpGet       = "get"
	OpList      = "list"
	OpSwap      = "compare_and_swap"
	OpDelete    = "delete"
	OpWatch     = "watch"
	OpGrant     = "grant_lease"
	OpKeepAlive = "keep_alive"
	OpRevoke    = "revoke_lease"
)

// KV is a key-value service whose calls are rate-limited and counted. A call that exceeds the rate waits.
// Keep-alives are counted but not limited, because a delayed keep-alive could let a lease expire.
type KV struct {
	kv        external.KV
	limiter   *rate.Limiter
	countCall func(operation string)
}

var _ external.KV = (*KV)(nil)

// burstSeconds is the burst size of the limiter, in seconds of unused calls.
const burstSeconds = 2

// New returns a KV that limits the rate of calls to kv to perSecond, and calls countCall for each call
// that is sent.
func New(kv external.KV, perSecond float64, countCall func(operation string)) *KV {
	return &KV{kv: kv, limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds))), countCall: countCall}
}

// waitAndCount waits until the rate limit permits a call, and counts the call. If the context ends first,
// or its deadline is too near to wait for the limit, it returns external.ErrUnavailable, because the call
// has not been sent. The cause is then the process's own rate limit, not the service.
func (k *KV) waitAndCount(ctx context.Context, operation string) error {
	if err := k.limiter.Wait(ctx); err != nil {
		return external.ErrUnavailable
	}
	k.countCall(operation)
	return nil
}

// Get implements external.KV.
func (k *KV) Get(ctx context.Context, key string) (external.KVEntry, error) {
	if err := k.waitAndCount(ctx, OpGet); err != nil {
		return external.KVEntry{}, err
	}
	return k.kv.Get(ctx, key)
}

// List implements external.KV.
func (k *KV) List(ctx context.Context, prefix string) ([]external.KVEntry, uint64, error) {
	if err := k.waitAndCount(ctx, OpList); err != nil {
		return nil, 0, err
	}
	return k.kv.List(ctx, prefix)
}

// CompareAndSwap implements external.KV.
func (k *KV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	if err := k.waitAndCount(ctx, OpSwap); err != nil {
		return 0, err
	}
	return k.kv.CompareAndSwap(ctx, key, expected, value, lease)
}

// Delete implements external.KV.
func (k *KV) Delete(ctx context.Context, key string, expected uint64) error {
	if err := k.waitAndCount(ctx, OpDelete); err != nil {
		return err
	}
	return k.kv.Delete(ctx, key, expected)
}

// Watch implements external.KV.
func (k *KV) Watch(ctx context.Context, prefix string, after uint64) ([]external.KVEvent, uint64, error) {
	if err := k.waitAndCount(ctx, OpWatch); err != nil {
		return nil, after, err
	}
	return k.kv.Watch(ctx, prefix, after)
}

// GrantLease implements external.KV.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	if err := k.waitAndCount(ctx, OpGrant); err != nil {
		return 0, err
	}
	return k.kv.GrantLease(ctx, ttl)
}

// KeepAlive implements external.KV.
func (k *KV) KeepAlive(ctx context.Context, id external.LeaseID) error {
	k.countCall(OpKeepAlive)
	return k.kv.KeepAlive(ctx, id)
}

// RevokeLease implements external.KV.
func (k *KV) RevokeLease(ctx context.Context, id external.LeaseID) error {
	if err := k.waitAndCount(ctx, OpRevoke); err != nil {
		return err
	}
	return k.kv.RevokeLease(ctx, id)
}
