// Package dissemination distributes the accepted service documents to every process.
//
// Invariants: a Store never lowers the revision of a service, neither of its active document nor of
// the highest one seen; a document that cannot be parsed never replaces the active one.
package dissemination

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/document"
)

// Document is one service document at one revision, as it is sent between processes. If Deleted is
// set, it is a tombstone without a body.
type Document struct {
	Service  string
	Revision uint64
	Body     []byte
	Deleted  bool
}

// ServiceState is the state of one service in this process. The embedded Document is the active one.
// Callers must not modify it.
type ServiceState struct {
	Document
	// Parsed is nil if the service is deleted, or if none of its documents could be parsed.
	Parsed *document.Service
	// Since is the time at which the document became active here. It is zero while none is.
	Since time.Time
	// Refused is the document with the highest revision seen, if it could not be parsed and is
	// newer than the active one. It is sent to peers, because they may run a version that can
	// parse it.
	Refused *Document
	// RefusedError is the reason why Refused is not active.
	RefusedError error
}

// HighestRevision returns the highest revision seen.
func (s *ServiceState) HighestRevision() uint64 {
	if s.Refused != nil {
		return s.Refused.Revision
	}
	return s.Revision
}

// hasActive reports whether a document or a tombstone is active.
func (s *ServiceState) hasActive() bool { return s.Deleted || s.Parsed != nil }

// Snapshot maps each service to its state at one moment. Callers must not modify it.
type Snapshot map[string]*ServiceState

// Service returns the state of a service, or nil if the service is unknown or deleted, or if none of its
// documents could be parsed.
func (s Snapshot) Service(name string) *ServiceState {
	if state := s[name]; state != nil && state.Parsed != nil {
		return state
	}
	return nil
}

// Rejection reports a document that a Store refused: it cannot be parsed, or differs from the active one
// with the same revision.
type Rejection struct {
	Service  string
	Revision uint64
	Err      error
}

// Store holds the active document and the highest revision seen of each service. It is safe for
// concurrent use; Snapshot takes no lock.
type Store struct {
	snapshot  atomic.Pointer[Snapshot]
	confirmed atomic.Bool

	mu sync.Mutex
	// inContact reports whether this process is currently in contact with the key-value service,
	// directly or through its source.
	inContact bool
	changed   chan struct{}
	onRefused []func(Rejection)
	ready     chan struct{}
}

// NewStore returns an empty store. It reports each refused document to the given functions. They
// are called with the store's lock held, so they must not call the store.
func NewStore(onRefused ...func(Rejection)) *Store {
	s := &Store{changed: make(chan struct{}), ready: make(chan struct{}), onRefused: onRefused}
	s.snapshot.Store(&Snapshot{})
	return s
}

// Snapshot returns the current documents without a lock.
func (s *Store) Snapshot() Snapshot { return *s.snapshot.Load() }

// Confirmed reports whether this process has read the key-value service, or a peer in contact with
// it, since its start.
func (s *Store) Confirmed() bool { return s.confirmed.Load() }

// Ready returns a channel that is closed once the documents have been read from the key-value
// service, from a peer in contact with it or, during an outage, from several peers.
func (s *Store) Ready() <-chan struct{} { return s.ready }

// Changed returns a channel that is closed at the next change of the documents or of the contact
// with the key-value service. Call it before Snapshot, so that no change is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Offer applies those documents that are newer than the stored ones. It returns the number of documents
// that changed the state of their service.
func (s *Store) Offer(docs ...Document) int {
	docs = slices.Clone(docs)
	// Ascending, so that every document newer than the active one is tried, and documents with
	// different revisions give the same result in any order of the arguments.
	slices.SortStableFunc(docs, func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.Snapshot())
	changed := 0
	for _, d := range docs {
		if state := s.nextState(next[d.Service], d); state != nil {
			next[d.Service] = state
			changed++
		}
	}
	if changed > 0 {
		s.snapshot.Store(&next)
		s.notifyLocked()
	}
	return changed
}

// nextState returns the state of a service after a document is applied, or nil if nothing changes. It
// reports a document that conflicts with the active one, and one that cannot be parsed and has the
// highest revision seen.
func (s *Store) nextState(old *ServiceState, d Document) *ServiceState {
	if old == nil {
		old = &ServiceState{}
	}
	if d.Revision <= old.Revision || !document.ValidName(d.Service) {
		s.checkConflict(old, d)
		return nil
	}
	parsed, err := parse(d)
	if err == nil {
		state := &ServiceState{Document: d, Parsed: parsed, Since: time.Now()}
		if old.Refused != nil && old.Refused.Revision > d.Revision {
			state.Refused, state.RefusedError = old.Refused, old.RefusedError
		}
		return state
	}
	if d.Revision <= old.HighestRevision() {
		return nil
	}
	s.reportRefused(d, err)
	state := *old
	state.Service, state.Refused, state.RefusedError = d.Service, &d, err
	return &state
}

func parse(d Document) (*document.Service, error) {
	if d.Deleted {
		return nil, nil //nolint:nilnil // a tombstone has no body to parse
	}
	parsed, err := document.Parse(d.Body)
	if err != nil {
		return nil, err
	}
	if parsed.Service != d.Service {
		return nil, &document.Error{Line: 1, Column: 1, Field: "service", Found: parsed.Service, Allowed: d.Service}
	}
	return parsed, nil
}

// checkConflict reports two different documents with the same revision, which occur only if the
// key-value service has lost writes.
func (s *Store) checkConflict(old *ServiceState, d Document) {
	if d.Revision == old.Revision && d.Revision != 0 && (d.Deleted != old.Deleted || !bytes.Equal(d.Body, old.Body)) {
		s.reportRefused(d, errConflictingDocuments)
	}
}

func (s *Store) reportRefused(d Document, err error) {
	for _, report := range s.onRefused {
		report(Rejection{Service: d.Service, Revision: d.Revision, Err: err})
	}
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// confirmInContact records that the process is in contact with the key-value service and that the documents
// offered so far include all that the service held.
func (s *Store) confirmInContact() {
	s.markConfirmed()
	s.setInContact(true)
}

// markConfirmed records that the documents offered so far include all that the key-value service
// held at some time since the start of this process.
func (s *Store) markConfirmed() {
	if !s.confirmed.Swap(true) {
		s.markReady()
	}
}

func (s *Store) markReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}

func (s *Store) setInContact(inContact bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inContact != inContact {
		s.inContact = inContact
		s.notifyLocked()
	}
}

// InContact reports whether this process is currently in contact with the key-value service,
// directly or through peers.
func (s *Store) InContact() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inContact
}

// Revisions returns the highest revision seen of each service.
func (s *Store) Revisions() map[string]uint64 {
	have := map[string]uint64{}
	for name, state := range s.Snapshot() {
		have[name] = state.HighestRevision()
	}
	return have
}

// highestOfActiveServices returns the highest revision seen of each service with an active document. A
// peer that gets these revisions sends all its documents of the other services, also older ones.
func (s *Store) highestOfActiveServices() map[string]uint64 {
	have := map[string]uint64{}
	for name, state := range s.Snapshot() {
		if state.hasActive() {
			have[name] = state.HighestRevision()
		}
	}
	return have
}

// NewerThan returns the documents with higher revisions than a peer has, sorted by service and
// revision.
func (s *Store) NewerThan(have map[string]uint64) []Document {
	snap := s.Snapshot()
	var docs []Document
	for _, name := range slices.Sorted(maps.Keys(snap)) {
		state := snap[name]
		if state.hasActive() && state.Revision > have[name] {
			docs = append(docs, state.Document)
		}
		if state.Refused != nil && state.Refused.Revision > have[name] {
			docs = append(docs, *state.Refused)
		}
	}
	return docs
}

// Wait serves a peer's long poll. It returns as soon as there are documents with higher revisions
// than the peer has, or this process loses or regains contact with the key-value service, and
// otherwise, without documents, after the given time, which MaxWait limits. The second result reports
// whether this process is currently in contact with the key-value service; it is sent as the confirmed
// flag of the response. The error is that of ctx.
func (s *Store) Wait(ctx context.Context, have map[string]uint64, wait time.Duration) ([]Document, bool, error) {
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for wasInContact := s.InContact(); ; {
		changed := s.Changed()
		docs, inContact := s.NewerThan(have), s.InContact()
		if len(docs) > 0 || inContact != wasInContact || wait <= 0 {
			return docs, inContact, nil
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-timer.C:
			return nil, inContact, nil
		case <-changed:
		}
	}
}
