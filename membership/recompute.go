package membership

import (
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/platform"
)

// pool is the members of one service and role in one data centre.
type poolKey struct{ role, service, dataCentre string }

type serviceKey struct{ role, service string }

// recompute derives all states and publishes a new snapshot if anything visible has changed.
func (v *View) recompute(now time.Time) {
	for id, m := range v.members {
		if !m.inList && v.isDropped(m, now) {
			delete(v.members, id)
		}
	}
	all := v.sorted()
	v.assignStates(all)
	v.publish(all)
}

// assignStates derives the state of each member from its evidence. Members that have been silent for
// longest are ejected first, up to the bound of their pool. Suspects are spared new work up to the
// same bound of their service, at least one; in a pool of one to three workers none can be ejected.
func (v *View) assignStates(all []*member) {
	pools, services := map[poolKey]int{}, map[serviceKey]int{}
	for _, m := range all {
		pools[m.pool()]++
		services[m.service()]++
	}
	ejected, spared := map[poolKey]int{}, map[serviceKey]int{}
	bySilence := slices.Clone(all)
	slices.SortStableFunc(bySilence, func(a, b *member) int { return a.silentSince.Compare(b.silentSince) })
	for _, m := range bySilence {
		m.view, m.usable = v.stateOf(m), false
		switch m.view {
		case StateLive:
			m.usable = true
		case StateSuspect:
			if m.silent >= v.set.EjectAttempts && ejected[m.pool()] < v.share(pools[m.pool()]) {
				m.view = StateEjected
				ejected[m.pool()]++
				spared[m.service()]++
				continue
			}
			bound := v.share(services[m.service()])
			if services[m.service()] > 1 {
				bound = max(1, bound)
			}
			if spared[m.service()] < bound {
				spared[m.service()]++
				continue
			}
			m.usable = true
		}
	}
}

// stateOf returns the state without the bounds on ejection.
func (v *View) stateOf(m *member) State {
	switch {
	case m.inst.State == platform.InstanceLeaving || !m.drainingSince.IsZero():
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
	members := make([]Member, len(all))
	for i, m := range all {
		members[i] = m.export()
	}
	if slices.Equal(members, v.Snapshot().Members) {
		return
	}
	v.version++
	s := &Snapshot{
		Version: v.version,
		Members: members,
		usable:  map[string][]Member{},
		byID:    make(map[string]int, len(members)),
	}
	for i, m := range members {
		s.byID[m.ID] = i
		if m.Role == platform.RoleSidecar && m.Usable {
			s.usable[m.Service] = append(s.usable[m.Service], m)
		}
		if m.Role == platform.RoleEntry && m.View == StateLive {
			s.entries = append(s.entries, m.Instance)
		}
	}
	v.snapshot.Store(s)
}
