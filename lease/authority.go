package lease

import (
	"sync"
	"time"
)

// Authority is the right to issue orders to a pool's engines. Copies share the same state. The
// zero value is never valid.
type Authority struct {
	Pool   string
	Holder string
	Fence  uint64

	state *validity
}

type validity struct {
	mu       sync.Mutex
	deadline time.Time
	ended    bool
	// endedAt is when it ended; a deadline that has passed is the time itself.
	endedAt time.Time
	done    chan struct{}
	// lostTo returns the era of the key-value service that began after the grant; ok is false if none has been seen.
	lostTo func() (era uint64, ok bool)
	// lost is true if the authority ended because an era began while it was valid, and lostEra is that era.
	lost    bool
	lostEra uint64
	// session is the ID of the session, and watched is true once the holder key was seen to name it.
	session string
	watched bool
}

// NewAuthority returns an authority that is valid until the given time, which must carry a
// monotonic clock reading. Manager issues authorities; other packages use this in tests.
func NewAuthority(pool, holder string, fence uint64, deadline time.Time) Authority {
	return Authority{
		Pool: pool, Holder: holder, Fence: fence,
		state: &validity{deadline: deadline, done: make(chan struct{})},
	}
}

// ForSession returns the authority as that of a session, which Watched compares.
func (a Authority) ForSession(id string) Authority {
	a.state.session = id
	return a
}

// Session returns the ID of the session; empty if it has none.
func (a Authority) Session() string {
	if a.state == nil {
		return ""
	}
	return a.state.session
}

// EndWith makes the authority end as soon as lostTo tells of a later era of the key-value service. It must be called before
// the authority is used.
func (a Authority) EndWith(lostTo func() (era uint64, ok bool)) { a.state.lostTo = lostTo }

// Watched tells the authority which session the holder key names, as a watch of the key-value service has it; empty if the key
// does not exist. An authority ends when the key named its session and does so no longer: the lease was ended without notice,
// and another process may hold the next one already. What a watch shows before is older than the grant.
func (a Authority) Watched(session string) {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	switch {
	case session == a.state.session:
		a.state.watched = true
	case a.state.watched:
		a.state.checkDeadline() // records whether it was lost
		a.state.markEnded()
	}
}

// Supersede ends the authority if another process has told that it holds a later lease, with a higher fence.
func (a Authority) Supersede(fence uint64) {
	if a.state == nil || fence <= a.Fence {
		return
	}
	a.end()
}

// EndedAt returns when the authority ended; ok is false if it is valid or never was.
func (a Authority) EndedAt() (at time.Time, ok bool) {
	if a.state == nil {
		return time.Time{}, false
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.checkDeadline()
	return a.state.endedAt, a.state.ended
}

// Valid reports whether the authority is valid now. Callers check it immediately before each
// action that requires it. Once false, it stays false.
func (a Authority) Valid() bool {
	if a.state == nil {
		return false
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.checkDeadline()
}

// Done returns a channel that is closed when the session is given up or when a check finds that the
// deadline has passed, which may be later than the deadline itself.
func (a Authority) Done() <-chan struct{} {
	if a.state == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return a.state.done
}

// LostTo returns the era of the key-value service whose begin has ended the authority. ok is false if the authority is
// valid or has ended otherwise. If it is true, no other process has acted under a grant of an earlier era since this one:
// its guard time would have outlasted this authority.
func (a Authority) LostTo() (era uint64, ok bool) {
	if a.state == nil {
		return 0, false
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.checkDeadline()
	return a.state.lostEra, a.state.lost
}

// checkDeadline ends the validity if its deadline has passed or the service has lost the grant, and reports whether it is still
// valid. The caller holds mu.
func (v *validity) checkDeadline() bool {
	if v.ended {
		return false
	}
	var era uint64
	var lost bool
	if v.lostTo != nil {
		era, lost = v.lostTo()
	}
	// The deadline is compared last, so that a process that was suspended meanwhile does not take an expired authority for
	// one that was lost while it was valid.
	expired := !now().Before(v.deadline)
	if expired || lost {
		v.lost, v.lostEra = lost && !expired, era
		v.markEnded()
	}
	if expired {
		v.endedAt = v.deadline
	}
	return !v.ended
}

func (v *validity) markEnded() {
	if !v.ended {
		v.ended, v.endedAt = true, now()
		close(v.done)
	}
}

// Extend moves the deadline to a later time. It returns false if the authority has ended already.
func (a Authority) Extend(deadline time.Time) bool {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if !a.state.checkDeadline() {
		return false
	}
	if deadline.After(a.state.deadline) {
		a.state.deadline = deadline
	}
	return true
}

func (a Authority) end() {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.checkDeadline() // records whether it was lost
	a.state.markEnded()
}

func (a Authority) remaining() time.Duration {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if !a.state.checkDeadline() {
		return 0
	}
	return a.state.deadline.Sub(now())
}
