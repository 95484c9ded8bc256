package membership

import (
	"slices"
	"time"
)

// absentProbes is the number of probes that an idle member gets before it is dropped because the
// list no longer names it.
const absentProbes = 4

// Kind is the kind of an observation.
type Kind uint8

// Kinds of observations.
const (
	// Answered means that a frame or a probe response arrived.
	Answered Kind = iota + 1
	// Draining means that the member refused with "draining" or sent a drain notice.
	Draining
	// Refused means that the connection was refused.
	Refused
	// Silent means that an attempt or probe had no frame at all for Settings.SilenceAfter.
	Silent
)

// Evidence is one observation about a member.
type Evidence struct {
	ID   string
	Kind Kind
	// Address is the address that was contacted.
	Address string
	// Incarnation is that of the process that answered, empty if not known. A refusal because of the
	// wrong incarnation is an answer; this is how an entry learns the incarnation at its first request.
	Incarnation string
	// Started is the time at which the attempt or probe was sent. An answer to something sent before
	// a drain notice does not undo the notice.
	Started time.Time
}

// Observe joins an observation. Observations about unknown members have no effect.
func (v *View) Observe(now time.Time, e Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.members[e.ID]
	if m == nil || !v.isCurrent(m, now, &e) {
		return
	}
	switch e.Kind {
	case Answered:
		if !v.answered(m, now, &e) {
			return
		}
	case Draining:
		m.heard(now)
		if m.drainingSince.IsZero() {
			m.drainingSince = now
			v.schedule(m, now)
		}
	case Refused:
		if e.Started.Before(m.lastAnswer) {
			return
		}
		m.refused = true
		v.schedule(m, now)
		m.followList()
	case Silent:
		if e.Started.Before(m.lastAnswer) {
			return
		}
		if m.silent == 0 {
			m.silentSince = e.Started
		}
		m.silent++
		v.schedule(m, now)
		if m.silent >= v.set.EjectAttempts {
			m.followList()
		}
	}
	v.recompute(now)
}

// isCurrent reports whether the evidence is about the process that holds the slot. A higher
// incarnation takes the slot over; evidence about a lower one is dropped.
func (v *View) isCurrent(m *member, now time.Time, e *Evidence) bool {
	if e.Incarnation == "" {
		return e.Address == "" || e.Address == m.inst.Address
	}
	order := compareIncarnations(e.Incarnation, m.incarnation)
	switch {
	case order < 0:
		if e.Address != "" && m.incarnationAddress != "" && e.Address != m.incarnationAddress {
			m.loserAddress = e.Address
		}
		if m.inst.Address == m.loserAddress {
			// The list names a process that has lost the slot.
			m.inst.Address = m.incarnationAddress
			v.recompute(now)
		}
		return false
	case order > 0:
		if e.Address != m.incarnationAddress {
			m.loserAddress = m.incarnationAddress
		}
		m.incarnation = e.Incarnation
		m.drainingSince, m.refused, m.silent = time.Time{}, false, 0
	}
	if e.Address != "" {
		m.incarnationAddress = e.Address
		m.inst.Address = e.Address
	}
	return true
}

// answered returns whether the member's state may have changed.
func (v *View) answered(m *member, now time.Time, e *Evidence) bool {
	m.heard(now)
	if !m.drainingSince.IsZero() && e.Started.After(m.drainingSince) {
		m.drainingSince = time.Time{}
	}
	if m.view != StateLive {
		m.healthyAt = now
		return true
	}
	if snapshotMember, ok := v.Snapshot().Member(m.inst.ID); ok &&
		(snapshotMember.Incarnation != m.incarnation || snapshotMember.Address != m.inst.Address) {
		return true
	}
	return false
}

// followList returns to the address in the list when the process that won the slot from it is gone.
func (m *member) followList() {
	if m.inst.Address != m.listAddress {
		m.inst.Address, m.loserAddress = m.listAddress, ""
	}
}

func (m *member) heard(now time.Time) {
	m.lastAnswer = now
	m.refused, m.silent = false, 0
}

// schedule sets the time of the next probe with jittered exponential back-off.
func (v *View) schedule(m *member, now time.Time) {
	switch {
	case m.probeWait == 0, !m.healthyAt.IsZero() && m.view == StateLive && now.Sub(m.healthyAt) >= v.set.ProbeReset:
		m.probeWait = v.set.ProbeMin
	case now.Before(m.nextProbe):
		// More evidence of the same failure does not lengthen the wait.
		return
	default:
		m.probeWait = min(2*m.probeWait, v.set.ProbeMax)
	}
	m.nextProbe = now.Add(m.probeWait/2 + time.Duration(v.rng.Int64N(int64(m.probeWait))))
	if latest := now.Add(v.set.KeepAbsent / absentProbes); !m.inList && m.nextProbe.After(latest) {
		// A longer wait would let a member that has recovered be dropped.
		m.nextProbe = latest
	}
}

// ProbesDue returns the members to probe now, those that have waited longest first, and sets the time
// of their next probe. Members that get no work, and members that the list no longer names, are probed.
func (v *View) ProbesDue(now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []*member
	for _, m := range v.sorted() {
		if m.view == StateLive && m.inList || now.Before(m.nextProbe) {
			continue
		}
		if m.view == StateLeaving && m.drainingSince.IsZero() {
			// The list says so; only the list can take it back.
			continue
		}
		due = append(due, m)
	}
	slices.SortStableFunc(due, func(a, b *member) int { return a.nextProbe.Compare(b.nextProbe) })
	due = due[:min(len(due), v.takeProbeTokens(now, len(due)))]
	probes := make([]Member, 0, len(due))
	for _, m := range due {
		if m.view == StateLive {
			m.nextProbe = now.Add(v.set.KeepAbsent / absentProbes)
		} else {
			v.schedule(m, now)
		}
		probes = append(probes, m.export())
	}
	return probes
}

// takeProbeTokens returns how many of n probes may be sent now.
func (v *View) takeProbeTokens(now time.Time, n int) int {
	burst := max(1, v.set.ProbesPerSecond)
	if v.probeTokensAt.IsZero() {
		v.probeTokens = burst
	} else {
		v.probeTokens = min(burst, v.probeTokens+now.Sub(v.probeTokensAt).Seconds()*v.set.ProbesPerSecond)
	}
	v.probeTokensAt = now
	n = min(n, int(v.probeTokens))
	v.probeTokens -= float64(n)
	return n
}
