// Package kv simulates the platform's key-value service for tests. It implements compare-and-swap,
// leases, watches, call counters, rate limits and fault injection.
package kv

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/quetzallug/quetzallug/external"
)

const (
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1 << 20
	// DefaultWatchWait is the maximum duration of one watch call, and of its waits for a lease to expire.
	DefaultWatchWait = 20 * time.Second
	// maxLoggedEvents is the maximum number of past events that are kept for watches.
	maxLoggedEvents = 4096
)

// Limits are the rate limits of the service in calls per second. Zero means no limit.
type Limits struct {
	Writes float64
	Reads  float64
}

// Calls holds the call counters of the service. Waiting is the number of watches in progress, Rejected
// the number of calls over a rate limit.
type Calls struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Watches  uint64 `json:"watches"`
	Waiting  uint64 `json:"waiting"`
	Rejected uint64 `json:"rejected"`
}

type item struct {
	version  uint64
	revision uint64
	value    []byte
	lease    external.LeaseID
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a simulated key-value service. It is safe for concurrent use.
type Store struct {
	faults *Faults

	mu        sync.Mutex
	revision  uint64
	items     map[string]*item
	leases    map[external.LeaseID]*leaseState
	lastLease external.LeaseID
	eventLog  []external.KVEvent
	changed   chan struct{} // closed and replaced at each change
	calls     Calls
	writes    *rate.Limiter
	reads     *rate.Limiter
	watchWait time.Duration
}

var _ external.KV = (*Store)(nil)

// NewStore returns an empty store.
func NewStore(l Limits) *Store {
	return &Store{
		faults:    &Faults{},
		items:     map[string]*item{},
		leases:    map[external.LeaseID]*leaseState{},
		changed:   make(chan struct{}),
		writes:    newLimiter(l.Writes),
		reads:     newLimiter(l.Reads),
		watchWait: DefaultWatchWait,
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Faults returns the fault injector of the store.
func (s *Store) Faults() *Faults { return s.faults }

// Calls returns the call counters.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// admitRead injects faults, applies the rate limit and counts the read.
func (s *Store) admitRead(ctx context.Context) error {
	if err := s.faults.beforeCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reads.Allow() {
		s.calls.Rejected++
		return external.ErrUnavailable
	}
	s.calls.Reads++
	return nil
}

// admitWrite injects faults, applies the rate limit and counts the write.
func (s *Store) admitWrite(ctx context.Context) error {
	if err := s.faults.beforeCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.Allow() {
		s.calls.Rejected++
		return external.ErrUnavailable
	}
	s.calls.Writes++
	return nil
}

// Get implements external.KV.
func (s *Store) Get(ctx context.Context, key string) (external.KVEntry, error) {
	if err := s.admitRead(ctx); err != nil {
		return external.KVEntry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	it, ok := s.items[key]
	if !ok {
		return external.KVEntry{}, external.ErrNotFound
	}
	return it.entry(key), nil
}

// List implements external.KV.
func (s *Store) List(ctx context.Context, prefix string) ([]external.KVEntry, uint64, error) {
	if err := s.admitRead(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.listLocked(prefix), s.revision, nil
}

// listLocked returns the entries under prefix in key order. The caller holds s.mu.
func (s *Store) listLocked(prefix string) []external.KVEntry {
	var entries []external.KVEntry
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			entries = append(entries, it.entry(k))
		}
	}
	slices.SortFunc(entries, func(a, b external.KVEntry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// CompareAndSwap implements external.KV. A value larger than MaxValueBytes is refused with ErrConflict.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, external.ErrConflict
	}
	if err := s.admitWrite(ctx); err != nil {
		return 0, err
	}
	version, err := s.applySwap(key, expected, value, lease)
	if err != nil {
		return 0, err
	}
	return version, s.faults.afterWrite(ctx)
}

func (s *Store) applySwap(key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if lease != 0 && s.leases[lease] == nil {
		return 0, external.ErrLeaseExpired
	}
	it := s.items[key]
	if it == nil {
		it = &item{}
	}
	if it.version != expected {
		return 0, external.ErrConflict
	}
	s.revision++
	n := &item{version: it.version + 1, revision: s.revision, value: slices.Clone(value), lease: lease}
	s.items[key] = n
	s.appendEvent(external.KVEvent{KVEntry: n.entry(key)})
	return n.version, nil
}

// Delete implements external.KV.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	if err := s.admitWrite(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.expireLeases()
	it, ok := s.items[key]
	if !ok || it.version != expected {
		s.mu.Unlock()
		return external.ErrConflict
	}
	s.remove(key)
	s.mu.Unlock()
	return s.faults.afterWrite(ctx)
}

// Watch implements external.KV.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) ([]external.KVEvent, uint64, error) {
	if err := s.faults.beforeCall(ctx); err != nil {
		return nil, after, err
	}
	s.mu.Lock()
	s.calls.Watches++
	s.calls.Waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.calls.Waiting--
		s.mu.Unlock()
	}()
	deadline := time.NewTimer(s.watchWait)
	defer deadline.Stop()
	for {
		if s.faults.isDown() {
			return nil, after, external.ErrUnavailable
		}
		s.mu.Lock()
		s.expireLeases()
		events, next := s.eventsAfter(prefix, after)
		changed := s.changed
		expiry := s.untilNextExpiry()
		s.mu.Unlock()
		if len(events) > 0 {
			return events, next, nil
		}
		if !waitForChange(ctx, changed, deadline.C, expiry) {
			return nil, next, ctx.Err()
		}
	}
}

// waitForChange waits for a change or the next lease expiry. It returns false if the context ended or
// the deadline passed first.
func waitForChange(ctx context.Context, changed <-chan struct{}, deadline <-chan time.Time, expiry time.Duration) bool {
	timer := time.NewTimer(expiry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-deadline:
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// eventsAfter returns the events under prefix after a revision, and the revision to continue from. If
// the event log does not reach back to the given revision, the current entries are returned as events.
func (s *Store) eventsAfter(prefix string, after uint64) ([]external.KVEvent, uint64) {
	if after < s.revision && (len(s.eventLog) == 0 || s.eventLog[0].Revision > after+1) {
		var events []external.KVEvent
		for _, e := range s.listLocked(prefix) {
			events = append(events, external.KVEvent{KVEntry: e})
		}
		return events, s.revision
	}
	var events []external.KVEvent
	for _, e := range s.eventLog {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision
}

// GrantLease implements external.KV.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	if err := s.admitWrite(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &leaseState{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	return id, s.faults.afterWrite(ctx)
}

// KeepAlive implements external.KV.
func (s *Store) KeepAlive(ctx context.Context, id external.LeaseID) error {
	if err := s.admitWrite(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.expireLeases()
	l, ok := s.leases[id]
	if ok {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		return external.ErrLeaseExpired
	}
	return s.faults.afterWrite(ctx)
}

// RevokeLease implements external.KV.
func (s *Store) RevokeLease(ctx context.Context, id external.LeaseID) error {
	if err := s.admitWrite(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.dropLease(id)
	s.mu.Unlock()
	return s.faults.afterWrite(ctx)
}

func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.dropLease(id)
		}
	}
}

// untilNextExpiry returns the time until the next lease expires, between 1 ms and DefaultWatchWait.
func (s *Store) untilNextExpiry() time.Duration {
	next := DefaultWatchWait
	for _, l := range s.leases {
		next = min(next, time.Until(l.expires))
	}
	return max(next, time.Millisecond)
}

// dropLease ends a lease and removes its keys.
func (s *Store) dropLease(id external.LeaseID) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.remove(k)
	}
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.appendEvent(external.KVEvent{KVEntry: external.KVEntry{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) appendEvent(e external.KVEvent) {
	s.eventLog = append(s.eventLog, e)
	if len(s.eventLog) > maxLoggedEvents {
		s.eventLog = slices.Clone(s.eventLog[len(s.eventLog)-maxLoggedEvents/2:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (it *item) entry(key string) external.KVEntry {
	return external.KVEntry{Key: key, Version: it.version, Revision: it.revision, Value: slices.Clone(it.value)}
}
