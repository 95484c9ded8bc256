package membership

import (
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// poolKey identifies the members of one service and role in one data centre.
type poolKey struct{ role, service, dataCentre string }

type serviceKey struct{ role, service string }

// recompute removes expired members, derives all states, and publishes a new snapshot if any
// published state has changed.
func (v *View) recompute(now time.Time) {
	for id, m := range v.members {
		if !m.inList && v.isExpired(m, now) {
			delete(v.members, id)
			v.sortedCache = nil
		}
	}
	all := v.sortedMembers()
	v.assignStates(all)
	v.publish(all)
}

// assignStates derives the state of each member from its evidence. Suspects with at least
// EjectAfterTimeouts timeouts are ejected, the longest unresponsive first, up to maxEjected of their
// pool. Further suspects get no new work until, together with those, maxEjected of the service is
// reached, or one if the service has several members: maxEjected of a small pool is 0, but a service
// with several members can do without one. The other suspects keep getting work. Members ejected for a
// refused connection do not count towards these limits.
func (v *View) assignStates(all []*member) {
	pools, services := map[poolKey]int{}, map[serviceKey]int{}
	var suspects []*member
	for _, m := range all {
		pools[m.pool()]++
		services[m.service()]++
		m.state = v.stateOf(m)
		m.usable = m.state == StateLive
		if m.state == StateSuspect {
			suspects = append(suspects, m)
		}
	}
	slices.SortStableFunc(suspects, func(a, b *member) int { return a.firstTimeoutSentAt.Compare(b.firstTimeoutSentAt) })
	ejected, withheld := map[poolKey]int{}, map[serviceKey]int{}
	for _, m := range suspects {
		if m.timeouts >= v.settings.EjectAfterTimeouts && ejected[m.pool()] < v.maxEjected(pools[m.pool()]) {
			m.state = StateEjected
			ejected[m.pool()]++
			withheld[m.service()]++
		}
	}
	for _, m := range suspects {
		limit := v.maxEjected(services[m.service()])
		if services[m.service()] > 1 {
			limit = max(1, limit)
		}
		switch {
		case m.state == StateEjected:
		case withheld[m.service()] < limit:
			withheld[m.service()]++
		default:
			m.usable = true
		}
	}
}

// stateOf returns the state before the limits on ejection are applied.
func (v *View) stateOf(m *member) State {
	switch {
	case m.inst.State == external.InstanceLeaving || !m.drainingSince.IsZero():
		return StateLeaving
	case m.connectionRefused:
		return StateEjected
	case m.timeouts > 0:
		return StateSuspect
	}
	return StateLive
}

// maxEjected returns how many of n members may be ejected for timeouts.
func (v *View) maxEjected(n int) int { return int(v.settings.MaxEjectedFraction*float64(n) + 1e-9) }

func (m *member) pool() poolKey {
	return poolKey{m.inst.Role, m.inst.Service, m.inst.DataCentre}
}

func (m *member) service() serviceKey { return serviceKey{m.inst.Role, m.inst.Service} }

func (m *member) toMember() Member {
	return Member{Instance: m.inst, DerivedState: m.state, Incarnation: m.incarnation, Usable: m.usable}
}

// publish stores a new snapshot if it differs from the last one.
func (v *View) publish(all []*member) {
	if !v.isChanged(all) {
		return
	}
	v.version++
	s := &Snapshot{
		Version: v.version,
		Members: make([]Member, len(all)),
		usable:  map[string][]Member{},
		byID:    make(map[string]int, len(all)),
	}
	for i, m := range all {
		e := m.toMember()
		s.Members[i] = e
		s.byID[e.ID] = i
		if e.Role == external.RoleSidecar && e.Usable {
			if s.usable[e.Service] == nil {
				s.usable[e.Service] = make([]Member, 0, len(all)-i)
			}
			s.usable[e.Service] = append(s.usable[e.Service], e)
		}
		if e.Role == external.RoleEntry && e.DerivedState == StateLive {
			s.entries = append(s.entries, e.Instance)
		}
	}
	v.snapshot.Store(s)
}

// isChanged reports whether the members differ from the published snapshot.
func (v *View) isChanged(all []*member) bool {
	published := v.Snapshot().Members
	if len(all) != len(published) {
		return true
	}
	for i, m := range all {
		if m.toMember() != published[i] {
			return true
		}
	}
	return false
}
