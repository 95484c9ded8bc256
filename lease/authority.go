package lease

import (
	"sync"
	"time"
)

// Authority is the right to give orders to a pool's engines. Copies share one validity. The zero
// value is never valid.
type Authority struct {
	Pool   string
	Holder string
	Fence  uint64

	state *validity
}

type validity struct {
	mu    sync.Mutex
	until time.Time
	ended bool
	done  chan struct{}
}

// NewAuthority returns an authority that is valid until the given time, which must carry a
// monotonic clock reading. Manager issues authorities; other packages use this in tests.
func NewAuthority(pool, holder string, fence uint64, until time.Time) Authority {
	return Authority{
		Pool: pool, Holder: holder, Fence: fence,
		state: &validity{until: until, done: make(chan struct{})},
	}
}

// Valid reports whether the authority holds now. Callers check it immediately before each effect.
// Once false, it stays false.
func (a Authority) Valid() bool {
	if a.state == nil {
		return false
	}
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	return a.state.check()
}

// Done is closed when the manager has noticed the end of the authority. Valid may be false earlier.
func (a Authority) Done() <-chan struct{} {
	if a.state == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return a.state.done
}

// check ends the validity if its time is over. The caller holds mu.
func (v *validity) check() bool {
	if !v.ended && !time.Now().Before(v.until) {
		v.finish()
	}
	return !v.ended
}

func (v *validity) finish() {
	if !v.ended {
		v.ended = true
		close(v.done)
	}
}

// extend moves the end of the validity, unless it has passed already.
func (a Authority) extend(until time.Time) bool {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if !a.state.check() {
		return false
	}
	if until.After(a.state.until) {
		a.state.until = until
	}
	return true
}

func (a Authority) end() {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	a.state.finish()
}

func (a Authority) remaining() time.Duration {
	a.state.mu.Lock()
	defer a.state.mu.Unlock()
	if !a.state.check() {
		return 0
	}
	return time.Until(a.state.until)
}
