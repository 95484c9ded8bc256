// Package dissemination spreads the accepted documents to every process.
//
// Invariants: a Store never lowers the revision of a service, neither of the document in force
// nor of the highest one seen; a document that cannot be parsed never replaces one in force.
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

// Document is one service document at one revision, as it travels between processes.
type Document struct {
	Service  string
	Revision uint64
	Body     []byte
	Deleted  bool
}

// InForce is the state of one service in this process. It must not be modified.
type InForce struct {
	Document
	// Parsed is nil if the service is deleted, or if none of its documents could be parsed.
	Parsed *document.Service
	// Since is the time from which Revision is in force here. It is zero while nothing is.
	Since time.Time
	// Refused is the highest revision seen, if it could not be parsed and is above the one in
	// force. It is passed on, because other processes may run a version that can parse it.
	Refused *Document
	// RefusedError says why Refused is not in force.
	RefusedError error
}

// Highest returns the highest revision seen.
func (f *InForce) Highest() uint64 {
	if f.Refused != nil {
		return f.Refused.Revision
	}
	return f.Revision
}

// valid says whether a document or a tombstone is in force.
func (f *InForce) valid() bool { return f.Deleted || f.Parsed != nil }

// Snapshot holds the documents at one moment, by service. It must not be modified.
type Snapshot map[string]*InForce

// Service returns the parsed document in force, or nil if there is none.
func (s Snapshot) Service(name string) *InForce {
	if f := s[name]; f != nil && f.Parsed != nil {
		return f
	}
	return nil
}

// Refusal reports a document that a Store did not put in force.
type Refusal struct {
	Service  string
	Revision uint64
	Err      error
}

// Store holds the highest revision of each service that this process has seen. All methods are
// safe for concurrent use; Snapshot takes no lock.
type Store struct {
	snapshot  atomic.Pointer[Snapshot]
	confirmed atomic.Bool

	mu sync.Mutex
	// fresh says whether the source of this process is at present in contact with the
	// key-value service.
	fresh   bool
	changed chan struct{}
	refused []func(Refusal)
	ready   chan struct{}
}

// NewStore returns an empty store. Each refused document is reported to the given functions,
// which must not call the store.
func NewStore(onRefused ...func(Refusal)) *Store {
	s := &Store{changed: make(chan struct{}), ready: make(chan struct{}), refused: onRefused}
	s.snapshot.Store(&Snapshot{})
	return s
}

// Snapshot returns the documents at present, without a lock.
func (s *Store) Snapshot() Snapshot { return *s.snapshot.Load() }

// Confirmed says whether this process has read the key-value service, or a confirmed peer,
// since its start.
func (s *Store) Confirmed() bool { return s.confirmed.Load() }

// Ready is closed once the documents come from the key-value service, a confirmed peer or,
// during an outage, several peers.
func (s *Store) Ready() <-chan struct{} { return s.ready }

// Changed returns a channel that is closed at the next change of the documents or of the
// contact with the key-value service. Take it before the snapshot, so that no change is missed.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Offer puts those documents in force that are newer than the ones held. It returns the number
// of services that changed.
func (s *Store) Offer(docs ...Document) int {
	docs = slices.Clone(docs)
	// Lower revisions first: the last one that parses is in force, whatever their order.
	slices.SortStableFunc(docs, func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(s.Snapshot())
	changed := 0
	for _, d := range docs {
		if f := s.advance(next[d.Service], d); f != nil {
			next[d.Service] = f
			changed++
		}
	}
	if changed > 0 {
		s.snapshot.Store(&next)
		s.notifyLocked()
	}
	return changed
}

// advance returns the state of a service after a document, or nil if nothing changes.
func (s *Store) advance(old *InForce, d Document) *InForce {
	if old == nil {
		old = &InForce{}
	}
	if d.Revision <= old.Revision || !document.ValidName(d.Service) {
		s.checkEqual(old, d)
		return nil
	}
	parsed, err := parse(d)
	if err == nil {
		f := &InForce{Document: d, Parsed: parsed, Since: time.Now()}
		if old.Refused != nil && old.Refused.Revision > d.Revision {
			f.Refused, f.RefusedError = old.Refused, old.RefusedError
		}
		return f
	}
	if d.Revision <= old.Highest() {
		return nil
	}
	s.refuse(d, err)
	f := *old
	f.Service, f.Refused, f.RefusedError = d.Service, &d, err
	return &f
}

func parse(d Document) (*document.Service, error) {
	if d.Deleted {
		return nil, nil //nolint:nilnil // a tombstone has no document
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

// checkEqual reports two different documents with one revision. This happens only if the
// key-value service has lost writes.
func (s *Store) checkEqual(old *InForce, d Document) {
	if d.Revision == old.Revision && d.Revision != 0 && (d.Deleted != old.Deleted || !bytes.Equal(d.Body, old.Body)) {
		s.refuse(d, errDivergent)
	}
}

func (s *Store) refuse(d Document, err error) {
	for _, f := range s.refused {
		f(Refusal{Service: d.Service, Revision: d.Revision, Err: err})
	}
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// confirm records that the process is in contact with the key-value service and that the
// documents offered so far include all that it held.
func (s *Store) confirm() {
	s.markConfirmed()
	s.setFresh(true)
}

// markConfirmed records that the documents offered so far include all that the key-value
// service held at some time since the start.
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

func (s *Store) setFresh(fresh bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fresh != fresh {
		s.fresh = fresh
		s.notifyLocked()
	}
}

// Fresh says whether this process is at present in contact with the key-value service,
// directly or through peers.
func (s *Store) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh
}

// Have returns the highest revision seen of each service.
func (s *Store) Have() map[string]uint64 {
	have := map[string]uint64{}
	for name, f := range s.Snapshot() {
		have[name] = f.Highest()
	}
	return have
}

// haveValid is Have without the services of which no document could be parsed, so that a peer
// sends the older documents that it may hold.
func (s *Store) haveValid() map[string]uint64 {
	have := map[string]uint64{}
	for name, f := range s.Snapshot() {
		if f.valid() {
			have[name] = f.Highest()
		}
	}
	return have
}

// Newer returns the documents above the revisions that a peer has, in order of service and
// revision.
func (s *Store) Newer(have map[string]uint64) []Document {
	snap := s.Snapshot()
	var docs []Document
	for _, name := range slices.Sorted(maps.Keys(snap)) {
		f := snap[name]
		if f.valid() && f.Revision > have[name] {
			docs = append(docs, f.Document)
		}
		if f.Refused != nil && f.Refused.Revision > have[name] {
			docs = append(docs, *f.Refused)
		}
	}
	return docs
}

// Wait serves a peer's long poll. It returns as soon as there are documents above the
// revisions that the peer has or the contact of this process with the key-value service
// changes, and otherwise after the given time. The second result is the confirmed flag of the
// response: true if this process is at present in contact with the key-value service.
func (s *Store) Wait(ctx context.Context, have map[string]uint64, wait time.Duration) ([]Document, bool, error) {
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for started := s.Fresh(); ; {
		changed := s.Changed()
		docs, fresh := s.Newer(have), s.Fresh()
		if len(docs) > 0 || fresh != started || wait <= 0 {
			return docs, fresh, nil
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-timer.C:
			return nil, fresh, nil
		case <-changed:
		}
	}
}
