package gateway

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Roster holds the registered backend servers by service. It is safe for concurrent use.
//
// A registration that disappears during a store failure, or shortly afterwards, may have expired
// although its backend server is running. It is kept until the grace period after that failure
// has passed; later failures do not extend it, because the store has served the news that it is missing.
// At other times a registration that disappears is removed immediately.
//
// A registration that is older than one already seen changes nothing while the newer one may come back; see
// lifetimes.
type Roster struct {
	grace time.Duration

	mu      sync.Mutex
	servers map[string]*Server
	// lapsed holds when the registrations that are kept although they have disappeared are removed.
	lapsed        map[string]time.Time
	lifetimes     lifetimes
	storeFailedAt time.Time
	confirmedAt   time.Time
	// era is that of the last list of the store.
	era uint64
	// publishCount counts the published snapshots.
	publishCount int
	services     atomic.Pointer[map[string][]*Server]
}

// Change is a change of one registration.
type Change struct {
	ID string
	// Registration is nil if the registration was removed.
	Registration *Registration
}

// lapseGrace is how long after a store failure a lapsed registration is kept. Running backend
// servers register again within about two seconds. Three seconds after the failure, servers that
// have left must get no requests.
const lapseGrace = 2700 * time.Millisecond

// NewRoster returns an empty Roster.
func NewRoster() *Roster {
	r := &Roster{grace: lapseGrace, servers: make(map[string]*Server), lapsed: make(map[string]time.Time), lifetimes: newLifetimes()}
	r.services.Store(&map[string][]*Server{})
	return r
}

// Servers returns the backend servers of a service that are not draining, sorted by ID. The caller must
// not modify the slice.
func (r *Roster) Servers(service string) []*Server { return (*r.services.Load())[service] }

// IsServing reports whether a run of a backend server is listed and not draining.
func (r *Roster) IsServing(s *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := r.servers[s.ID]
	return listed != nil && listed.state == s.state && !listed.isLeaving()
}

// MarkLeaving records that a backend server has said that it leaves. It gets no further requests in this run. It
// reports whether that was unknown.
func (r *Roster) MarkLeaving(s *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.state.markLeaving() {
		return false
	}
	r.publish()
	return true
}

// hasLeaving reports whether a registered backend server of a service is leaving.
func (r *Roster) hasLeaving(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.Service == service && s.isLeaving() {
			return true
		}
	}
	return false
}

// HeldBack returns the number of registrations that are held back because newer ones were seen, or because they name another
// service than their run has.
func (r *Roster) HeldBack() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lifetimes.heldBack)
}

// Len returns the number of registered backend servers.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.servers)
}

// Lapsed returns the number of registrations that are kept although they are missing in the store.
func (r *Roster) Lapsed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.lapsed)
}

// StoreFailed records that a call to the store failed that began at the given time.
func (r *Roster) StoreFailed(startedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFailedAt = startedAt
}

// BeginEpoch records that the store has come back from an older copy. A registration that is missing now counts as lapsed,
// and one of a run that has ended applies only if it is newer than the last one that was known. It returns the number of
// those runs. watchEndedAt is when a watch last failed. The store has come back since then, since it failed, or since it
// last answered, whichever was last: an entry that is written again comes soon after that.
func (r *Roster) BeginEpoch(watchEndedAt time.Time) (ended int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range []time.Time{r.confirmedAt, watchEndedAt} {
		if at.After(r.storeFailedAt) {
			r.storeFailedAt = at
		}
	}
	return r.lifetimes.beginEpoch()
}

// NoteEra records the era of a list of the store.
func (r *Roster) NoteEra(era uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = era
}

// Era returns the era of the last list of the store; 0 if the store tells none.
func (r *Roster) Era() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// StoreConfirmed records that all changes in the store up to now are known.
func (r *Roster) StoreConfirmed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = now
}

// Apply applies the changes of one response of the store and publishes them together, because a
// response can contain thousands. The result tells for each change whether it had an effect; a
// registration that is kept as lapsed does not count.
func (r *Roster) Apply(changes []Change, now time.Time) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	applied := make([]bool, len(changes))
	changed := false
	for i, c := range changes {
		if c.Registration != nil {
			applied[i] = r.upsert(*c.Registration, now)
		} else {
			applied[i] = r.remove(c.ID, now)
		}
		changed = changed || applied[i]
	}
	if changed {
		r.publish()
	}
	return applied
}

// upsert adds or updates a registration, which is then not lapsed. It reports whether the
// registration is new or was changed. An older one than the last is held back and changes nothing.
func (r *Roster) upsert(reg Registration, now time.Time) bool {
	if !r.lifetimes.observe(&reg, now) {
		return false
	}
	old := r.servers[reg.ID]
	delete(r.lapsed, reg.ID)
	st := r.lifetimes.state(reg.ID)
	if reg.Draining {
		st.markLeaving()
	}
	st.setListed(true)
	if old != nil {
		if old.state != st {
			old.state.setListed(false)
		}
		known := old.Registration
		known.Seq = reg.Seq
		if known == reg && old.state == st {
			return false
		}
	}
	r.servers[reg.ID] = makeServer(reg, st)
	return true
}

// remove removes a registration or marks it as lapsed. It reports whether it was removed. An older one that was held back
// for the ID is removed in any case: it is no longer in the store.
func (r *Roster) remove(id string, now time.Time) bool {
	r.lifetimes.withdraw(id)
	s := r.servers[id]
	if s == nil {
		return false
	}
	keptUntil, lapsed := r.lapsed[id]
	if !lapsed && !s.Draining {
		keptUntil = r.storeFailedAt.Add(r.grace)
	}
	if now.Before(keptUntil) {
		r.lapsed[id] = keptUntil
		return false
	}
	r.drop(id, now)
	delete(r.lapsed, id)
	return true
}

// drop drops a registration.
func (r *Roster) drop(id string, now time.Time) {
	if s := r.servers[id]; s != nil {
		s.state.setListed(false)
	}
	delete(r.servers, id)
	r.lifetimes.end(id, now)
}

// Replace makes regs the registrations. Others are removed, or kept as lapsed during the grace period
// after a store failure.
func (r *Roster) Replace(regs []Registration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(regs))
	for _, reg := range regs {
		listed[reg.ID] = true
		r.upsert(reg, now)
	}
	for id := range r.servers {
		if !listed[id] {
			r.remove(id, now)
		}
	}
	r.lifetimes.withdrawUnlisted(listed)
	r.publish()
}

// Expire forgets runs that ended long ago, applies the registrations that were held back for long enough and
// removes the lapsed ones after the grace period, whose IDs it returns.
func (r *Roster) Expire(now time.Time) (gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, reg := range r.lifetimes.expire(now) {
		changed = r.upsert(reg, now) || changed
	}
	gone = r.dropLapsed(now)
	if changed || len(gone) > 0 {
		r.publish()
	}
	return gone
}

func (r *Roster) dropLapsed(now time.Time) []string {
	var gone []string
	for id, keptUntil := range r.lapsed {
		if !now.Before(keptUntil) {
			gone = append(gone, id)
			r.drop(id, now)
			delete(r.lapsed, id)
		}
	}
	return gone
}

// publish publishes a new snapshot. Backend servers that leave are left out, as they get no new requests.
func (r *Roster) publish() {
	m := make(map[string][]*Server, len(*r.services.Load()))
	for _, s := range r.servers {
		if !s.isLeaving() {
			m[s.Service] = append(m[s.Service], s)
		}
	}
	for _, servers := range m {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	r.services.Store(&m)
	r.publishCount++
}

// ConfirmedAt returns when the store last told all changes.
func (r *Roster) ConfirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}
