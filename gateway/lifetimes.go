package gateway

import (
	"maps"
	"slices"
	"time"
)

const (
	// olderEntryHold is how long a registration that is older than the last one is held back. A backend server
	// that runs replaces it with its next heartbeat, and one that has ended is removed after three heartbeats,
	// which are 1.2 s apart. One that stays must be of a newer run on a clock that was set back.
	olderEntryHold = 5 * time.Second
	// lifetimeMemory is how long a run is remembered after its registration was removed. A write without an
	// answer may be done up to 12 s later, and a run whose registration lapsed comes back within seconds.
	lifetimeMemory = time.Minute
	// leavingMemory is the same for a run that leaves, which gets no requests for the rest of it. Its registration may
	// lapse and come back with a long outage of the store.
	leavingMemory = time.Hour
	// maxEndedLifetimes limits the remembered runs without a registration. Those that ended first are forgotten first.
	maxEndedLifetimes = 4096
)

// lifetime is the last known run of one backend server.
type lifetime struct {
	Registration
	state *serverState
	// endedAt is when its registration was removed; zero while it is registered.
	endedAt time.Time
	// restored is true if the store has come back from an older copy since then, which may have the registration again.
	restored bool
}

// isOlder reports whether a registration was written before the last known one. One without a start is not from a backend
// server that has told its start. Otherwise, registrations without a start or number can't be ordered and count as newer.
func (l *lifetime) isOlder(reg *Registration) bool {
	switch {
	case l.Born == 0:
		return false
	case reg.Born == 0:
		return true
	case l.Born != reg.Born:
		return reg.Born < l.Born
	}
	return reg.Seq >= 0 && (reg.Seq < l.Seq || l.restored && reg.Seq == l.Seq)
}

// isForeign reports whether a registration names another service than the run had before. A backend server keeps its service,
// so another program has written it.
func (l *lifetime) isForeign(reg *Registration) bool {
	return reg.Born != 0 && reg.Born == l.Born && reg.Service != l.Service
}

// isRun reports whether a registration is of the same run. Without a start, a run ends when it is said to be ready
// after it was leaving.
func (l *lifetime) isRun(reg *Registration) bool {
	if l.Born != reg.Born || l.Address != reg.Address || l.Service != reg.Service {
		return false
	}
	return reg.Born != 0 || reg.Draining || !l.state.isLeaving()
}

// lifetimes remembers the last run of each backend server, so that what is known of it outlasts its registration,
// and orders the registrations. It has no lock of its own.
type lifetimes struct {
	byID map[string]*lifetime
	// heldBack holds older and foreign registrations and since when each is known. The run that each is older than is in byID: it is
	// not forgotten meanwhile.
	heldBack map[string]heldEntry
}

type heldEntry struct {
	reg   Registration
	since time.Time
	// foreign is true if the registration is not from the backend server, so that it is never applied.
	foreign bool
}

func newLifetimes() lifetimes {
	return lifetimes{byID: make(map[string]*lifetime), heldBack: make(map[string]heldEntry)}
}

// observe records a registration and reports whether it is to be applied.
func (ls *lifetimes) observe(reg *Registration, now time.Time) bool {
	l := ls.byID[reg.ID]
	if foreign := l != nil && l.isForeign(reg); foreign || l != nil && l.isOlder(reg) {
		if held, ok := ls.heldBack[reg.ID]; !ok || held.reg != *reg {
			ls.heldBack[reg.ID] = heldEntry{reg: *reg, since: now, foreign: foreign}
		}
		return false
	}
	delete(ls.heldBack, reg.ID)
	if l != nil && l.isRun(reg) {
		l.Registration, l.endedAt, l.restored = *reg, time.Time{}, false
		return true
	}
	ls.byID[reg.ID] = &lifetime{Registration: *reg, state: &serverState{}}
	return true
}

// state returns the state of the last run of a backend server that was observed.
func (ls *lifetimes) state(id string) *serverState { return ls.byID[id].state }

// beginEpoch records that the store has come back from an older copy, and returns the number of runs that have ended. What
// was held back is held back anew if the list that follows has it.
func (ls *lifetimes) beginEpoch() (ended int) {
	clear(ls.heldBack)
	for _, l := range ls.byID {
		if !l.endedAt.IsZero() {
			l.restored = true
			ended++
		}
	}
	return ended
}

// withdraw forgets an older registration that is no longer in the store.
func (ls *lifetimes) withdraw(id string) { delete(ls.heldBack, id) }

// withdrawUnlisted forgets the older registrations that are not in a list of the store.
func (ls *lifetimes) withdrawUnlisted(listed map[string]bool) {
	maps.DeleteFunc(ls.heldBack, func(id string, _ heldEntry) bool { return !listed[id] })
}

// end records that the registration of a backend server was removed.
func (ls *lifetimes) end(id string, now time.Time) {
	ls.withdraw(id)
	if l := ls.byID[id]; l != nil {
		l.endedAt = now
	}
}

// expire forgets runs that ended long ago. It returns the registrations that were held back for long enough; they
// are newer than any other now.
func (ls *lifetimes) expire(now time.Time) (due []Registration) {
	for id, held := range ls.heldBack {
		if !held.foreign && now.Sub(held.since) >= olderEntryHold {
			delete(ls.heldBack, id)
			if l := ls.byID[id]; l.Born == held.reg.Born {
				l.Seq, l.restored = held.reg.Seq, false
			} else {
				l.Born = 0
			}
			due = append(due, held.reg)
		}
	}
	ls.forgetEnded(now)
	return due
}

// forgetEnded forgets the runs that ended long ago, and the earliest ones if there are too many. Runs for which an older
// registration is held back are kept.
func (ls *lifetimes) forgetEnded(now time.Time) {
	var ended []*lifetime
	for id, l := range ls.byID {
		_, held := ls.heldBack[id]
		switch {
		case l.endedAt.IsZero() || held:
		case now.Sub(l.endedAt) >= l.memory():
			delete(ls.byID, id)
		default:
			ended = append(ended, l)
		}
	}
	if len(ended) <= maxEndedLifetimes {
		return
	}
	slices.SortFunc(ended, func(a, b *lifetime) int { return a.endedAt.Compare(b.endedAt) })
	for _, l := range ended[:len(ended)-maxEndedLifetimes] {
		delete(ls.byID, l.ID)
	}
}

// memory returns how long the run is remembered after its registration was removed.
func (l *lifetime) memory() time.Duration {
	if l.state.isLeaving() {
		return leavingMemory
	}
	return lifetimeMemory
}
