// Package kvbudget keeps a process's calls to the key-value service within a budget and counts
// them.
package kvbudget

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/quetzallug/quetzallug/external"
)

// Operations, as counted.
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

// KV limits and counts calls. A call above the budget waits for its turn. Keep-alives are
// counted but never wait, because a late one would lose a lease.
type KV struct {
	next    external.KV
	limiter *rate.Limiter
	count   func(operation string)
}

var _ external.KV = (*KV)(nil)

// burstSeconds is how long a process may save up calls.
const burstSeconds = 2

// New wraps a key-value service with a budget in calls per second.
func New(next external.KV, perSecond float64, count func(operation string)) *KV {
	return &KV{next: next, limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds))), count: count}
}

// admit waits for the budget. A call that is given up here was not sent.
func (k *KV) admit(ctx context.Context, operation string) error {
	if err := k.limiter.Wait(ctx); err != nil {
		return external.ErrUnavailable
	}
	k.count(operation)
	return nil
}

// Get implements external.KV.
func (k *KV) Get(ctx context.Context, key string) (external.Entry, error) {
	if err := k.admit(ctx, OpGet); err != nil {
		return external.Entry{}, err
	}
	return k.next.Get(ctx, key)
}

// List implements external.KV.
func (k *KV) List(ctx context.Context, prefix string) ([]external.Entry, uint64, error) {
	if err := k.admit(ctx, OpList); err != nil {
		return nil, 0, err
	}
	return k.next.List(ctx, prefix)
}

// CompareAndSwap implements external.KV.
func (k *KV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	if err := k.admit(ctx, OpSwap); err != nil {
		return 0, err
	}
	return k.next.CompareAndSwap(ctx, key, expected, value, lease)
}

// Delete implements external.KV.
func (k *KV) Delete(ctx context.Context, key string, expected uint64) error {
	if err := k.admit(ctx, OpDelete); err != nil {
		return err
	}
	return k.next.Delete(ctx, key, expected)
}

// Watch implements external.KV.
func (k *KV) Watch(ctx context.Context, prefix string, after uint64) ([]external.Event, uint64, error) {
	if err := k.admit(ctx, OpWatch); err != nil {
		return nil, after, err
	}
	return k.next.Watch(ctx, prefix, after)
}

// GrantLease implements external.KV.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	if err := k.admit(ctx, OpGrant); err != nil {
		return 0, err
	}
	return k.next.GrantLease(ctx, ttl)
}

// KeepAlive implements external.KV.
func (k *KV) KeepAlive(ctx context.Context, id external.LeaseID) error {
	k.count(OpKeepAlive)
	return k.next.KeepAlive(ctx, id)
}

// RevokeLease implements external.KV.
func (k *KV) RevokeLease(ctx context.Context, id external.LeaseID) error {
	if err := k.admit(ctx, OpRevoke); err != nil {
		return err
	}
	return k.next.RevokeLease(ctx, id)
}
