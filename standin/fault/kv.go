package fault

import (
	"context"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// KV is the key-value service as a process sees it, with the faults of the process and the network.
type KV struct {
	Process *Process
	Network *Network
	Store   external.KV
}

var _ external.KV = (*KV)(nil)

func (k *KV) call(ctx context.Context, c Call, effect func() error) error {
	return k.Process.Do(c, external.ErrOutcomeUnknown, func() error {
		if err := k.Network.applyFaults(ctx); err != nil {
			return err
		}
		return effect()
	})
}

// Get implements external.KV.
func (k *KV) Get(ctx context.Context, key string) (e external.KVEntry, err error) {
	err = k.call(ctx, Call{Op: "get", Key: key}, func() (err error) {
		e, err = k.Store.Get(ctx, key)
		return err
	})
	return e, err
}

// List implements external.KV.
func (k *KV) List(ctx context.Context, prefix string) (l []external.KVEntry, rev uint64, err error) {
	err = k.call(ctx, Call{Op: "list", Key: prefix}, func() (err error) {
		l, rev, err = k.Store.List(ctx, prefix)
		return err
	})
	return l, rev, err
}

// CompareAndSwap implements external.KV.
func (k *KV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, l external.LeaseID) (v uint64, err error) {
	err = k.call(ctx, Call{Op: "cas", Key: key, Value: value}, func() (err error) {
		v, err = k.Store.CompareAndSwap(ctx, key, expected, value, l)
		return err
	})
	return v, err
}

// Delete implements external.KV.
func (k *KV) Delete(ctx context.Context, key string, expected uint64) error {
	return k.call(ctx, Call{Op: "delete", Key: key}, func() error { return k.Store.Delete(ctx, key, expected) })
}

// Watch implements external.KV.
func (k *KV) Watch(ctx context.Context, prefix string, after uint64) (ev []external.KVEvent, rev uint64, err error) {
	err = k.call(ctx, Call{Op: "watch", Key: prefix}, func() (err error) {
		ev, rev, err = k.Store.Watch(ctx, prefix, after)
		return err
	})
	return ev, rev, err
}

// GrantLease implements external.KV.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (id external.LeaseID, err error) {
	err = k.call(ctx, Call{Op: "grant"}, func() (err error) {
		id, err = k.Store.GrantLease(ctx, ttl)
		return err
	})
	return id, err
}

// KeepAlive implements external.KV.
func (k *KV) KeepAlive(ctx context.Context, id external.LeaseID) error {
	return k.call(ctx, Call{Op: "keepalive"}, func() error { return k.Store.KeepAlive(ctx, id) })
}

// RevokeLease implements external.KV.
func (k *KV) RevokeLease(ctx context.Context, id external.LeaseID) error {
	return k.call(ctx, Call{Op: "revoke"}, func() error { return k.Store.RevokeLease(ctx, id) })
}
