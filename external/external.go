// Package external defines the interfaces to the systems that a deployment provides: the key-value
// service, the instance list, the weight store, model engines and plain backend servers, which are HTTP
// servers other than model engines. Adapters implement the interfaces and register themselves with
// package kernel.
package external

import (
	"context"
	"errors"
	"time"
)

// Errors of the key-value service. Adapters return these errors, also in place of transport errors.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the key's version did not match the expected one. Nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the service could not be reached. The call had no effect.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrOutcomeUnknown means that a write was sent and may have taken effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
	// ErrCompacted means that events after the requested revision have been discarded, so a watch cannot
	// continue from it.
	ErrCompacted = errors.New("history compacted")
	// ErrNewEpoch means that a watch cannot continue because its revision is of an earlier epoch.
	ErrNewEpoch = errors.New("revision of an earlier epoch")
	// ErrLeaseExpired means that the lease has expired or was revoked.
	ErrLeaseExpired = errors.New("lease expired")
)

// LeaseID identifies a lease of the key-value service. Zero means no lease.
type LeaseID uint64

// numberBits is the number of bits of a revision that count within an epoch: all whole numbers of JSON.
const numberBits = 53

// Revisions and versions contain the epoch of the service, in which it gives each number once. A service that comes back
// from an older copy begins a new epoch and gives out numbers of before again. A process counts the epochs that it has
// seen, from 0, in which the numbers are the service's own. Numbers of a later epoch are larger, so that revisions can be
// compared across epochs; a version of an earlier epoch no longer holds, nor does a lease that was granted in one.

// InEpoch returns the revision or version for a number of an epoch. The number 0 stands for none in every epoch.
func InEpoch(epoch, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return epoch<<numberBits | number
}

// EpochOf returns the epoch of a revision or version.
func EpochOf(revision uint64) uint64 { return revision >> numberBits }

// NumberOf returns the number of a revision or version within its epoch.
func NumberOf(revision uint64) uint64 { return revision & (1<<numberBits - 1) }

// MaxEpoch is the largest epoch, and MaxNumber the largest number, that a revision can contain.
const (
	MaxEpoch  = 1<<(64-numberBits) - 1
	MaxNumber = 1<<numberBits - 1
)

// KVEntry is a key with its value and versions.
type KVEntry struct {
	Key string
	// Version is the number of writes to the key since it was created, so it is 1 after the first one.
	Version uint64
	// Revision is the revision of the store after the last write to the key.
	Revision uint64
	Value    []byte
}

// KVEvent is a change to a key. If Deleted is true, the entry has no value, Revision is the revision of the
// deletion, and Version has no meaning.
type KVEvent struct {
	KVEntry
	Deleted bool
}

// KV is a client of the platform's key-value service.
type KV interface {
	// Get returns the entry of a key, or ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (KVEntry, error)
	// List returns the entries whose keys start with prefix, in key order, and the store revision.
	List(ctx context.Context, prefix string) ([]KVEntry, uint64, error)
	// CompareAndSwap writes value if the key's version equals expected, and returns the new version.
	// An expected version of 0 means that the key must not exist. If lease is not 0, the key is deleted
	// when the lease ends.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete deletes the key if its version equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch blocks until a key that starts with prefix changes after the given store revision, or
	// until the service's own time limit for watches. It returns the events, and the revision to pass
	// to the next call. It returns ErrCompacted if events after the given revision have been discarded, and ErrNewEpoch if
	// the revision is of an earlier epoch.
	Watch(ctx context.Context, prefix string, after uint64) ([]KVEvent, uint64, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time to live. It returns ErrLeaseExpired if the lease no
	// longer exists.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Roles of instances.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Instance is an entry or sidecar process in the platform's instance list.
type Instance struct {
	// ID stays the same when a new process replaces this one.
	ID         string `json:"id"`
	Role       string `json:"role"`
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"data_centre"`
	// Address is the host:port at which the process accepts calls of other instances.
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// InstanceSnapshot is the content of the instance list at one version.
type InstanceSnapshot struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// InstanceList is a client of the platform's list of live and leaving instances. The platform updates
// the list with a delay.
type InstanceList interface {
	// Instances returns the list if it has changed since version after; otherwise it returns an empty
	// snapshot with version after.
	Instances(ctx context.Context, after uint64) (InstanceSnapshot, error)
}

// WeightStore is a client of the platform's store of model weights, which limits the download rate.
type WeightStore interface {
	// Acquire waits until the store permits an engine to load the given number of bytes of a model.
	Acquire(ctx context.Context, model string, bytes int64) error
}
