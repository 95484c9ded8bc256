// Package external defines the interfaces to the systems that a deployment provides:
// the key-value service, the instance list, the weight store, model engines and
// plain backend servers. Adapters implement them and register with package kernel.
package external

import (
	"context"
	"errors"
	"time"
)

// Errors of the key-value service. Adapters convert transport errors to these.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the key's version did not match and nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the call had no effect because the service could not be reached.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrOutcomeUnknown means that a write was sent and may have taken effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
	// ErrCompacted means that the history after the given revision is no longer available.
	ErrCompacted = errors.New("history compacted")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.New("lease expired")
)

// LeaseID identifies a lease of the key-value service. Zero means no lease.
type LeaseID uint64

// Entry is a key with its value.
type Entry struct {
	Key string
	// Version counts the writes to the key since its creation, from 1.
	Version uint64
	// Revision is the store revision of the last write.
	Revision uint64
	Value    []byte
}

// Event is a change of a key. Deleted events carry no value.
type Event struct {
	Entry
	Deleted bool
}

// KV is the platform's key-value service.
type KV interface {
	// Get returns ErrNotFound for an absent key.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under a prefix in key order, and the store revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's version equals expected, where 0 means absent.
	// A lease other than 0 binds the key's lifetime to that lease.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the key if its version equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch blocks until a key under prefix changes after the given store revision, or the
	// service's own wait limit ends. It returns the events and the revision to continue from.
	Watch(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error)
	// GrantLease creates a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full time to live. It returns ErrLeaseExpired if it is gone.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Role names of instances in the list.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Instance is one process of the system in the platform's instance list.
type Instance struct {
	// ID is the name of the slot, stable across restarts.
	ID         string        `json:"id"`
	Role       string        `json:"role"`
	Service    string        `json:"service,omitempty"`
	DataCentre string        `json:"data_centre"`
	Address    string        `json:"address"`
	State      InstanceState `json:"state"`
}

// InstanceSnapshot is the instance list at one version.
type InstanceSnapshot struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	// Instances returns the list if its version is above after, and an empty snapshot with
	// version after if there is no news.
	Instances(ctx context.Context, after uint64) (InstanceSnapshot, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Acquire waits until the store lets an engine load the given number of bytes.
	Acquire(ctx context.Context, model string, bytes int64) error
}
