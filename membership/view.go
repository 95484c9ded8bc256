// Package membership joins the platform's lagging instance list with direct evidence about the
// members: answers, refusals, refused connections, silence and drain notices.
//
// Invariants:
//
//   - A member that said that it is draining, or that the list gives as leaving, gets no new work.
//   - At most a set share of a pool is ejected for silence, so that the rest is not overloaded.
//   - A list that is empty, unreachable or older than the last one changes nothing until it has been
//     seen for a set time.
//   - Evidence from a lower incarnation of a slot has no effect.
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

// State is the state of a member.
type State string

// States of a member.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateSuspect State = "suspect"
	StateEjected State = "ejected"
)

// Member is one slot of the instance list as this process sees it.
type Member struct {
	external.Instance
	// View replaces the state of the list.
	View State
	// Incarnation is the highest one that has answered, empty if none has.
	Incarnation string
	// Usable says that the member may get new work.
	Usable bool
}

// Snapshot is the view at one version. It must not be changed.
type Snapshot struct {
	Version uint64
	// Members holds all members in the order of their IDs.
	Members []Member

	usable  map[string][]Member
	entries []external.Instance
	byID    map[string]int
}

// Usable returns the members of a service that may get new work, in the order of their IDs.
func (s *Snapshot) Usable(service string) []Member { return s.usable[service] }

// Entries returns the entries that are live.
func (s *Snapshot) Entries() []external.Instance { return s.entries }

// Member returns a member by its ID.
func (s *Snapshot) Member(id string) (Member, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// View is the joined state. Methods that change it are guarded by a mutex; Snapshot takes no lock.
type View struct {
	set Settings

	mu      sync.Mutex
	rng     *rand.Rand
	members map[string]*member
	// order holds the members in the order of their IDs; nil after members came or went.
	order   []*member
	list    listState
	version uint64
	// probeTokens is the number of probes that may be sent at once, as of probeTokensAt.
	probeTokens   float64
	probeTokensAt time.Time

	snapshot atomic.Pointer[Snapshot]
}

// listState is what is known of the platform's list.
type listState struct {
	version uint64
	size    int
	// doubtfulSince is the time at which the list first became empty or older.
	doubtfulSince time.Time
}

// member is the mutable state of one slot.
type member struct {
	inst        external.Instance
	view        State
	usable      bool
	inList      bool
	absentSince time.Time
	// incarnation is the highest one seen, at address inst.Address unless the list names a newer one.
	incarnation        string
	incarnationAddress string
	// loserAddress is the address of a process that has lost the slot to a higher incarnation.
	loserAddress string
	// listAddress is the address in the list.
	listAddress string

	drainingSince time.Time
	refused       bool
	silent        int
	silentSince   time.Time
	lastAnswer    time.Time

	probeWait time.Duration
	nextProbe time.Time
	healthyAt time.Time
}

// NewView returns an empty view. The random source is used for the jitter of probes.
func NewView(set Settings, rng *rand.Rand) (*View, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	v := &View{set: set, rng: rng, members: map[string]*member{}}
	v.snapshot.Store(&Snapshot{})
	return v, nil
}

// Snapshot returns the present snapshot without a lock or an allocation.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// ListVersion returns the version of the last list that was believed.
func (v *View) ListVersion() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.list.version
}

// ApplyList joins a list that has been read. It returns false if the list is not believed yet.
func (v *View) ApplyList(now time.Time, s external.InstanceSnapshot) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	doubtful := len(s.Instances) == 0 && v.list.size > 0 || s.Version < v.list.version
	if doubtful {
		if v.list.doubtfulSince.IsZero() {
			v.list.doubtfulSince = now
		}
		if now.Sub(v.list.doubtfulSince) < v.set.ConfirmList || len(s.Instances) == 0 && v.anyAnswers(now) {
			return false
		}
	}
	v.list = listState{version: s.Version, size: len(s.Instances)}
	v.join(now, s.Instances)
	v.recompute(now)
	return true
}

// anyAnswers reports whether a member has answered lately.
func (v *View) anyAnswers(now time.Time) bool {
	for _, m := range v.members {
		if !m.lastAnswer.IsZero() && now.Sub(m.lastAnswer) < v.set.KeepAbsent {
			return true
		}
	}
	return false
}

// Doubtful reports whether the last list that was read is not believed yet.
func (v *View) Doubtful() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.list.doubtfulSince.IsZero()
}

// ConfirmUnchanged records that the list service reported no change of the last list.
func (v *View) ConfirmUnchanged() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list.doubtfulSince = time.Time{}
}

func (v *View) join(now time.Time, instances []external.Instance) {
	listed := map[string]external.Instance{}
	for _, in := range instances {
		if old, ok := listed[in.ID]; ok {
			in = v.choose(old, in)
		}
		listed[in.ID] = in
	}
	for id, in := range listed {
		m := v.members[id]
		if m == nil {
			v.members[id] = &member{inst: in, listAddress: in.Address, inList: true}
			v.order = nil
			continue
		}
		m.list(in)
	}
	for id, m := range v.members {
		if _, ok := listed[id]; !ok && m.inList {
			m.inList, m.absentSince = false, now
		}
	}
}

// choose returns which of two list entries of one slot counts: the one at the address of the highest
// incarnation that has answered, otherwise the one that is not leaving, otherwise the later one.
func (v *View) choose(a, b external.Instance) external.Instance {
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

// list takes over what the list says. A new address is a new process: the evidence about the old one
// no longer counts, but its incarnation still has to be exceeded.
func (m *member) list(in external.Instance) {
	m.inList, m.listAddress = true, in.Address
	if in.Address == m.loserAddress && m.incarnationAddress != "" {
		in.Address = m.incarnationAddress
	}
	if in.Address != m.inst.Address && in.Address != m.incarnationAddress {
		m.drainingSince, m.refused, m.silent = time.Time{}, false, 0
		m.probeWait, m.nextProbe = 0, time.Time{}
	}
	m.inst = in
}

// compareIncarnations orders incarnations. Decimal numbers are compared by value, others as text,
// which fits time-ordered identifiers.
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

// Advance applies the passing of time: it drops members that the list no longer names and that have
// not answered for a while.
func (v *View) Advance(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, m := range v.members {
		if !m.inList && v.isDropped(m, now) {
			v.recompute(now)
			return
		}
	}
}

func (v *View) isDropped(m *member, now time.Time) bool {
	since := m.absentSince
	if m.lastAnswer.After(since) {
		since = m.lastAnswer
	}
	return now.Sub(since) >= v.set.KeepAbsent || m.refused || !m.drainingSince.IsZero()
}

// sorted returns the members in the order of their IDs.
func (v *View) sorted() []*member {
	if v.order == nil {
		v.order = make([]*member, 0, len(v.members))
		for _, m := range v.members {
			v.order = append(v.order, m)
		}
		slices.SortFunc(v.order, func(a, b *member) int { return strings.Compare(a.inst.ID, b.inst.ID) })
	}
	return v.order
}
