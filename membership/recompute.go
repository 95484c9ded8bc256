package membership

import (
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// pool is the members of one service and role in one data centre.
type poolKey struct{ role, service, dataCentre string }

type serviceKey struct{ role, service string }

// recompute derives all states and publishes a new snapshot if anything visible has changed.
func (v *View) recompute(now time.Time) {
	for id, m := range v.members {
		if !m.inList && v.isDropped(m, now) {
			delete(v.members, id)
			v.order = nil
		}
	}
	all := v.sorted()
	v.assignStates(all)
	v.publish(all)
}

// assignStates derives the state of each member from its evidence. Members that have been silent for
// longest are ejected first, up to the bound of their pool. Other suspects are spared new work up to
// the same bound of their service, which includes the ejected ones and is at least one: in a pool of
// one to three workers none can be ejected, but a service can do without one of several.
func (v *View) assignStates(all []*member) {
	pools, services := map[poolKey]int{}, map[serviceKey]int{}
	var silent []*member
	for _, m := range all {
		pools[m.pool()]++
		services[m.service()]++
		m.view = v.stateOf(m)
		m.usable = m.view == StateLive
		if m.view == StateSuspect {
			silent = append(silent, m)
		}
	}
	slices.SortStableFunc(silent, func(a, b *member) int { return a.silentSince.Compare(b.silentSince) })
	ejected, spared := map[poolKey]int{}, map[serviceKey]int{}
	for _, m := range silent {
		if m.silent >= v.set.EjectAttempts && ejected[m.pool()] < v.share(pools[m.pool()]) {
			m.view = StateEjected
			ejected[m.pool()]++
			spared[m.service()]++
		}
	}
	for _, m := range silent {
		bound := v.share(services[m.service()])
		if services[m.service()] > 1 {
			bound = max(1, bound)
		}
		switch {
		case m.view == StateEjected:
		case spared[m.service()] < bound:
			spared[m.service()]++
		default:
			m.usable = true
		}
	}
}

// stateOf returns the state without the bounds on ejection.
func (v *View) stateOf(m *member) State {
	switch {
	case m.inst.State == external.InstanceLeaving || !m.drainingSince.IsZero():
		return StateLeaving
	case m.refused:
		return StateEjected
	case m.silent > 0:
		return StateSuspect
	}
	return StateLive
}

// share returns how many of n members may be ejected for silence.
func (v *View) share(n int) int { return int(v.set.MaxEjectedShare*float64(n) + 1e-9) }

func (m *member) pool() poolKey {
	return poolKey{m.inst.Role, m.inst.Service, m.inst.DataCentre}
}

func (m *member) service() serviceKey { return serviceKey{m.inst.Role, m.inst.Service} }

func (m *member) export() Member {
	return Member{Instance: m.inst, View: m.view, Incarnation: m.incarnation, Usable: m.usable}
}

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
		e := m.export()
		s.Members[i] = e
		s.byID[e.ID] = i
		if e.Role == external.RoleSidecar && e.Usable {
			if s.usable[e.Service] == nil {
				s.usable[e.Service] = make([]Member, 0, len(all)-i)
			}
			s.usable[e.Service] = append(s.usable[e.Service], e)
		}
		if e.Role == external.RoleEntry && e.View == StateLive {
			s.entries = append(s.entries, e.Instance)
		}
	}
	v.snapshot.Store(s)
}

// isChanged reports whether the snapshot differs from the members.
func (v *View) isChanged(all []*member) bool {
	published := v.Snapshot().Members
	if len(all) != len(published) {
		return true
	}
	for i, m := range all {
		if m.export() != published[i] {
			return true
		}
	}
	return false
}
