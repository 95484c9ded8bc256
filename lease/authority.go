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
	done     chan struct{}
	// holds reports whether the key-value service still has the grant as far as is known; nil means that it does.
	holds func() bool
}

// endsUnless makes the authority end as soon as holds returns false. It must be called before the authority is used.
func (v *validity) endsUnless(holds func() bool) { v.holds = holds }

// NewAuthority returns an authority that is valid until the given time, which must carry a
// monotonic clock reading. Manager issues authorities; other packages use this in tests.
func NewAuthority(pool, holder string, fence uint64, deadline time.Time) Authority {
	return Authority{
		Pool: pool, Holder: holder, Fence: fence,
		state: &validity{deadline: deadline, done: make(chan struct{})},
	}
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

// checkDeadline ends the validity if its deadline has passed or the service has lost the grant, and reports whether it is still
// valid. The caller holds mu.
func (v *validity) checkDeadline() bool {
	if !v.ended && (!now().Before(v.deadline) || v.holds != nil && !v.holds()) {
		v.markEnded()
	}
	return !v.ended
}

func (v *validity) markEnded() {
	if !v.ended {
		v.ended = true
		close(v.done)
	}
}

// extend moves the deadline to a later time. It returns false if the authority has ended already.
func (a Authority) extend(deadline time.Time) bool {
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
