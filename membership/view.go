// Package membership combines the platform's instance list, which lags behind reality, with direct
// observations of the members: answers, refusals, refused connections, timeouts and drain notices.
//
// Invariants:
//
//   - A member that reports that it is draining, or that is leaving according to the list, gets no new
//     work.
//   - At most Settings.MaxEjectedFraction of a pool is ejected for timeouts, so that the
//     remaining members are not overloaded.
//   - An unreachable list changes nothing. An empty list, or one older than the last, changes nothing
//     until it has been returned for Settings.ListConfirmTime. An empty list is not accepted while any
//     member answers.
//   - Evidence from a lower incarnation of an instance ID has no effect.
package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// State is the state of a member as derived from the list and from direct evidence.
type State string

// States of a member. A suspect has not answered since an attempt or probe timed out. An ejected member
// gets no work until it answers.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateSuspect State = "suspect"
	StateEjected State = "ejected"
)

// Member is one instance ID of the list, with the state that this process has derived for it.
type Member struct {
	external.Instance
	// DerivedState takes precedence over the state in the list.
	DerivedState State
	// Incarnation is the highest incarnation that has answered, empty if none has.
	Incarnation string
	// Usable reports whether the member may get new work.
	Usable bool
}

// Snapshot is a copy of the view at one version. Callers must not modify it.
type Snapshot struct {
	Version uint64
	// Members holds all members, sorted by ID.
	Members []Member

	usable  map[string][]Member
	entries []external.Instance
	byID    map[string]int
}

// Usable returns the sidecars of a service that may get new work, sorted by ID.
func (s *Snapshot) Usable(service string) []Member { return s.usable[service] }

// Entries returns the live entries, sorted by ID.
func (s *Snapshot) Entries() []external.Instance { return s.entries }

// Member looks up a member by ID.
func (s *Snapshot) Member(id string) (Member, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// View holds the current state of all members. It is safe for concurrent use; Snapshot takes no lock.
type View struct {
	settings Settings

	mu      sync.Mutex
	rng     *rand.Rand
	members map[string]*member
	// sortedCache holds the members sorted by ID. It is nil after a member was added or removed.
	sortedCache []*member
	list        listState
	version     uint64
	// probeTokens is the fill of the token bucket for probes, as of probeTokensAt.
	probeTokens   float64
	probeTokensAt time.Time

	snapshot atomic.Pointer[Snapshot]
}

// listState describes the last accepted list.
type listState struct {
	version uint64
	size    int
	// unconfirmedSince is the time at which an empty or older list was first seen, zero if none is
	// waiting for confirmation.
	unconfirmedSince time.Time
}

// member is the mutable state of one instance ID.
type member struct {
	inst        external.Instance
	state       State
	usable      bool
	inList      bool
	absentSince time.Time
	// incarnation is the highest one that has answered, and incarnationAddress the address at which it
	// last answered. inst.Address is the address in use. It is listAddress if nothing has answered yet,
	// the list has changed the address or the member has stopped responding, else incarnationAddress.
	incarnation        string
	incarnationAddress string
	// supersededAddress is the address of a process with the same ID and a lower incarnation.
	supersededAddress string
	listAddress       string

	drainingSince     time.Time
	connectionRefused bool
	// timeouts counts the attempts and probes that timed out since the last answer.
	timeouts int
	// firstTimeoutSentAt is the time at which the first of them was sent.
	firstTimeoutSentAt time.Time
	lastAnswer         time.Time

	probeWait   time.Duration
	nextProbe   time.Time
	recoveredAt time.Time
}

// NewView returns an empty view. rng provides the jitter of polls and probes.
func NewView(settings Settings, rng *rand.Rand) (*View, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	v := &View{settings: settings, rng: rng, members: map[string]*member{}}
	v.snapshot.Store(&Snapshot{})
	return v, nil
}

// Snapshot returns the current snapshot without a lock or an allocation.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// ListVersion returns the version of the last list that was accepted.
func (v *View) ListVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.version
}

// ApplyList merges a list into the view. It returns false if the list is not accepted yet: an older or
// empty one must have been returned for ListConfirmTime, and an empty one is not accepted while any
// member answers.
func (v *View) ApplyList(now time.Time, s external.InstanceSnapshot) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	doubtful := len(s.Instances) == 0 && v.list.size > 0 || s.Version < v.list.version
	if doubtful {
		if v.list.unconfirmedSince.IsZero() {
			v.list.unconfirmedSince = now
		}
		if now.Sub(v.list.unconfirmedSince) < v.settings.ListConfirmTime || len(s.Instances) == 0 && v.anyRecentAnswer(now) {
			return false
		}
	}
	v.list = listState{version: s.Version, size: len(s.Instances)}
	v.mergeList(now, s.Instances)
	v.recompute(now)
	return true
}

// anyRecentAnswer reports whether any member has answered within AbsentTimeout.
func (v *View) anyRecentAnswer(now time.Time) bool {
	for _, m := range v.members {
		if !m.lastAnswer.IsZero() && now.Sub(m.lastAnswer) < v.settings.AbsentTimeout {
			return true
		}
	}
	return false
}

// ListUnconfirmed reports whether the last list that was read still needs confirmation.
func (v *View) ListUnconfirmed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.list.unconfirmedSince.IsZero()
}

// RecordListUnchanged records that the list service reported no change since the last accepted list. An
// empty or older list that comes later must then be returned for the whole ListConfirmTime again.
func (v *View) RecordListUnchanged() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list.unconfirmedSince = time.Time{}
}

// mergeList updates the members from a list and marks those that it no longer contains.
func (v *View) mergeList(now time.Time, instances []external.Instance) {
	listed := map[string]external.Instance{}
	for _, in := range instances {
		if old, ok := listed[in.ID]; ok {
			in = v.resolveDuplicate(old, in)
		}
		listed[in.ID] = in
	}
	for id, in := range listed {
		m := v.members[id]
		if m == nil {
			v.members[id] = &member{inst: in, listAddress: in.Address, inList: true}
			v.sortedCache = nil
			continue
		}
		m.updateFromList(in)
	}
	for id, m := range v.members {
		if _, ok := listed[id]; !ok && m.inList {
			m.inList, m.absentSince = false, now
		}
	}
}

// resolveDuplicate chooses between two listed instances with the same ID: the one at the address of the
// highest incarnation that has answered, else the one that is not leaving, else the later one.
func (v *View) resolveDuplicate(a, b external.Instance) external.Instance {
	if m := v.members[a.ID]; m != nil && m.incarnationAddress != "" {
		switch m.incarnationAddress {
		case a.Address:
			return a
		case b.Address:
			return b
		}
	}
	if b.State == external.InstanceLeaving && a.State != external.InstanceLeaving {
		return a
	}
	return b
}

// updateFromList applies an instance of the list. A new address means a new process, so the evidence
// about the old one is discarded. The highest incarnation is kept, so that answers with a lower one
// still have no effect.
func (m *member) updateFromList(in external.Instance) {
	m.inList, m.listAddress = true, in.Address
	if in.Address == m.supersededAddress && m.incarnationAddress != "" {
		in.Address = m.incarnationAddress
	}
	if in.Address != m.inst.Address && in.Address != m.incarnationAddress {
		m.drainingSince, m.connectionRefused, m.timeouts = time.Time{}, false, 0
		m.probeWait, m.nextProbe = 0, time.Time{}
	}
	m.inst = in
}

// compareIncarnations returns a negative number, 0 or a positive number if a is lower than, equal to or
// higher than b. It compares decimal numbers by value and anything else as text, which is right for
// time-ordered identifiers.
func compareIncarnations(a, b string) int {
	if isDecimal(a) && isDecimal(b) {
		a, b = strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
		if len(a) != len(b) {
			return len(a) - len(b)
		}
	}
	return strings.Compare(a, b)
}

func isDecimal(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

// RemoveExpired removes the members that are absent from the list and are draining, have refused a connection,
// or have neither been listed nor answered for Settings.AbsentTimeout.
func (v *View) RemoveExpired(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range v.members {
		if !m.inList && v.isExpired(m, now) {
			v.recompute(now)
			return
		}
	}
}

// isExpired reports whether a member that is absent from the list is to be removed.
func (v *View) isExpired(m *member, now time.Time) bool {
	since := m.absentSince
	if m.lastAnswer.After(since) {
		since = m.lastAnswer
	}
	return now.Sub(since) >= v.settings.AbsentTimeout || m.connectionRefused || !m.drainingSince.IsZero()
}

// sortedMembers returns the members sorted by ID.
func (v *View) sortedMembers() []*member {
	if v.sortedCache == nil {
		v.sortedCache = make([]*member, 0, len(v.members))
		for _, m := range v.members {
			v.sortedCache = append(v.sortedCache, m)
		}
		slices.SortFunc(v.sortedCache, func(a, b *member) int { return strings.Compare(a.inst.ID, b.inst.ID) })
	}
	return v.sortedCache
}
