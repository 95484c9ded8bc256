package membership

import (
	"slices"
	"time"
)

// probesBeforeRemoval is the number of probes sent within AbsentTimeout to a member that is absent from
// the list, so that it can answer before it is removed.
const probesBeforeRemoval = 4

// EvidenceKind tells what was observed about a member.
type EvidenceKind uint8

// Kinds of observations.
const (
	// Answered means that a stream frame or a probe response arrived.
	Answered EvidenceKind = iota + 1
	// Draining means that the member refused a request as "draining" or sent a drain notice.
	Draining
	// ConnectionRefused means that the member's address refused the connection.
	ConnectionRefused
	// TimedOut means that an attempt or probe got no response within Settings.ResponseTimeout.
	TimedOut
)

// Evidence is one observation about a member.
type Evidence struct {
	ID   string
	Kind EvidenceKind
	// Address is the address that was contacted.
	Address string
	// Incarnation identifies the process that answered, empty if unknown. A refusal because of a wrong
	// incarnation counts as an answer: it is how an entry learns the incarnation at its first request.
	Incarnation string
	// Started is the time at which the attempt or probe was sent. An answer cancels a drain notice of
	// the same process only if Started is after the notice arrived; a refused connection or a timeout
	// counts only if Started is not before the last answer.
	Started time.Time
}

// Observe applies an observation. Observations about unknown members have no effect.
func (v *View) Observe(now time.Time, e Evidence) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.members[e.ID]
	if m == nil || !v.applyIncarnation(m, now, &e) {
		return
	}
	switch e.Kind {
	case Answered:
		if !v.handleAnswer(m, now, &e) {
			return
		}
	case Draining:
		m.recordAnswer(now)
		if m.drainingSince.IsZero() {
			m.drainingSince = now
			v.scheduleProbe(m, now)
		}
	case ConnectionRefused:
		if e.Started.Before(m.lastAnswer) {
			return
		}
		m.connectionRefused = true
		v.scheduleProbe(m, now)
		m.useListAddress()
	case TimedOut:
		if e.Started.Before(m.lastAnswer) {
			return
		}
		if m.timeouts == 0 {
			m.firstTimeoutSentAt = e.Started
		}
		m.timeouts++
		v.scheduleProbe(m, now)
		if m.timeouts >= v.settings.EjectAfterTimeouts {
			m.useListAddress()
		}
	}
	v.recompute(now)
}

// applyIncarnation updates the member's incarnation and addresses from the evidence; a higher incarnation
// replaces a lower one. It returns false if the evidence is about another process than the current one,
// and is to be discarded.
func (v *View) applyIncarnation(m *member, now time.Time, e *Evidence) bool {
	if e.Incarnation == "" {
		return e.Address == "" || e.Address == m.inst.Address
	}
	order := compareIncarnations(e.Incarnation, m.incarnation)
	switch {
	case order < 0:
		if e.Address != "" && m.incarnationAddress != "" && e.Address != m.incarnationAddress {
			m.supersededAddress = e.Address
		}
		if m.inst.Address == m.supersededAddress {
			// The list contains the address of the superseded process.
			m.inst.Address = m.incarnationAddress
			v.recompute(now)
		}
		return false
	case order > 0:
		if e.Address != m.incarnationAddress {
			m.supersededAddress = m.incarnationAddress
		}
		m.incarnation = e.Incarnation
		m.drainingSince, m.connectionRefused, m.timeouts = time.Time{}, false, 0
	}
	if e.Address != "" {
		m.incarnationAddress = e.Address
		m.inst.Address = e.Address
	}
	return true
}

// handleAnswer applies an answer. It reports whether the member's published state may have changed.
func (v *View) handleAnswer(m *member, now time.Time, e *Evidence) bool {
	m.recordAnswer(now)
	if !m.drainingSince.IsZero() && e.Started.After(m.drainingSince) {
		m.drainingSince = time.Time{}
	}
	if m.state != StateLive {
		m.recoveredAt = now
		return true
	}
	if published, ok := v.Snapshot().Member(m.inst.ID); ok &&
		(published.Incarnation != m.incarnation || published.Address != m.inst.Address) {
		return true
	}
	return false
}

// useListAddress makes the listed address current again, because the process at the current address no
// longer responds.
func (m *member) useListAddress() {
	if m.inst.Address != m.listAddress {
		m.inst.Address, m.supersededAddress = m.listAddress, ""
	}
}

// recordAnswer clears the evidence of failures.
func (m *member) recordAnswer(now time.Time) {
	m.lastAnswer = now
	m.connectionRefused, m.timeouts = false, 0
}

// scheduleProbe sets the time of the next probe with jittered exponential back-off.
func (v *View) scheduleProbe(m *member, now time.Time) {
	switch {
	case m.probeWait == 0, !m.recoveredAt.IsZero() && m.state == StateLive && now.Sub(m.recoveredAt) >= v.settings.ProbeBackoffReset:
		m.probeWait = v.settings.ProbeBackoffMin
	case now.Before(m.nextProbe):
		// Several reports of one failure must not increase the back-off.
		return
	default:
		m.probeWait = min(2*m.probeWait, v.settings.ProbeBackoffMax)
	}
	m.nextProbe = now.Add(m.probeWait/2 + time.Duration(v.rng.Int64N(int64(m.probeWait))))
	if latest := now.Add(v.settings.AbsentTimeout / probesBeforeRemoval); !m.inList && m.nextProbe.After(latest) {
		// With a longer wait, a member that has recovered would be removed before it is probed.
		m.nextProbe = latest
	}
}

// ProbesDue returns the members to probe now, as many as ProbesPerSecond allows, the most overdue first,
// and schedules their next probes. It covers members that are not live, except those that only the list
// reports as leaving, and members that are absent from the list.
func (v *View) ProbesDue(now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var due []*member
	for _, m := range v.sortedMembers() {
		if m.state == StateLive && m.inList || now.Before(m.nextProbe) {
			continue
		}
		if m.state == StateLeaving && m.drainingSince.IsZero() {
			// Leaving according to the list, which a probe cannot change.
			continue
		}
		due = append(due, m)
	}
	slices.SortStableFunc(due, func(a, b *member) int { return a.nextProbe.Compare(b.nextProbe) })
	due = due[:min(len(due), v.takeProbeTokens(now, len(due)))]
	probes := make([]Member, 0, len(due))
	for _, m := range due {
		if m.state == StateLive {
			m.nextProbe = now.Add(v.settings.AbsentTimeout / probesBeforeRemoval)
		} else {
			v.scheduleProbe(m, now)
		}
		probes = append(probes, m.toMember())
	}
	return probes
}

// takeProbeTokens takes up to n tokens from the probe bucket and returns how many it took.
func (v *View) takeProbeTokens(now time.Time, n int) int {
	burst := max(1, v.settings.ProbesPerSecond)
	if v.probeTokensAt.IsZero() {
		v.probeTokens = burst
	} else {
		v.probeTokens = min(burst, v.probeTokens+now.Sub(v.probeTokensAt).Seconds()*v.settings.ProbesPerSecond)
	}
	v.probeTokensAt = now
	n = min(n, int(v.probeTokens))
	v.probeTokens -= float64(n)
	return n
}
