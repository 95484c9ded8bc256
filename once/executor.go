package once

import (
	"sync"
	"time"
)

// Decision tells a sidecar whether to run an attempt.
type Decision uint8

// Decisions of AttemptTable.Begin.
const (
	// Run lets the sidecar send the attempt to the backend server.
	Run Decision = iota + 1
	// RefuseDuplicate refuses an attempt that was delivered before, or another attempt of an
	// unrepeatable request that was already sent to the backend server. The request may have run: its
	// outcome is unknown, never "not run".
	RefuseDuplicate
	// RefuseWrongIncarnation refuses an attempt addressed to another incarnation. It did not run.
	RefuseWrongIncarnation
	// RefuseFull refuses an attempt because the table of attempts is full and none of them may be
	// evicted. It did not run.
	RefuseFull
)

// NotRun reports whether a refused attempt certainly did not run.
func (d Decision) NotRun() bool { return d == RefuseWrongIncarnation || d == RefuseFull }

// Attempt identifies one attempt of a request that was delivered to a sidecar.
type Attempt struct {
	RequestID   string
	Number      uint32
	Incarnation string
	Repeatable  bool
}

// AttemptTableSettings bound an AttemptTable.
type AttemptTableSettings struct {
	// Capacity is the largest number of attempts in the table.
	Capacity int
	// KeepFor is the time for which an ended attempt stays in the table. It must exceed the longest
	// deadline of a request, after which no delivery of its attempts can arrive. When the table is
	// full, attempts of repeatable requests are evicted earlier.
	KeepFor time.Duration
}

// DefaultAttemptTableSettings returns the default settings. An attempt in the table takes about 150 bytes.
func DefaultAttemptTableSettings() AttemptTableSettings {
	return AttemptTableSettings{Capacity: 1 << 16, KeepFor: 10 * time.Minute}
}

// AttemptTable detects duplicate deliveries: it keeps a table of the attempts that it allowed to run in this
// incarnation of its sidecar. It is safe for concurrent use.
type AttemptTable struct {
	incarnation string
	settings    AttemptTableSettings

	mu       sync.Mutex
	attempts map[attemptKey]*attemptState
	// backendAttempts counts the attempts of each request, by request ID, that are running or were sent
	// to the backend server.
	backendAttempts map[string]int
	// ended holds the ended attempts of unrepeatable requests, endedRepeatable those of repeatable
	// requests, both in the order in which they ended.
	ended, endedRepeatable []attemptKey
}

type attemptKey struct {
	requestID string
	number    uint32
}

type attemptState struct {
	endedAt time.Time
	// reachedBackend is assumed to be true until End reports otherwise.
	reachedBackend bool
	repeatable     bool
}

// NewAttemptTable returns an AttemptTable for one incarnation of a sidecar.
func NewAttemptTable(incarnation string, settings AttemptTableSettings) *AttemptTable {
	return &AttemptTable{
		incarnation:     incarnation,
		settings:        settings,
		attempts:        map[attemptKey]*attemptState{},
		backendAttempts: map[string]int{},
	}
}

// Begin decides whether an attempt may run and enters it in the table if so. After Run, the caller
// must call End.
func (e *AttemptTable) Begin(now time.Time, a Attempt) Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Incarnation != e.incarnation {
		return RefuseWrongIncarnation
	}
	k := attemptKey{a.RequestID, a.Number}
	if e.attempts[k] != nil || !a.Repeatable && e.backendAttempts[a.RequestID] > 0 {
		return RefuseDuplicate
	}
	e.evict(now)
	if len(e.attempts) >= e.settings.Capacity {
		return RefuseFull
	}
	e.attempts[k] = &attemptState{reachedBackend: true, repeatable: a.Repeatable}
	e.backendAttempts[a.RequestID]++
	return Run
}

// End records the end of an attempt for which Begin returned Run. If it did not reach the backend
// server, for example because admission refused it, another attempt of the request may run. A repeated
// delivery of the same attempt is still refused.
func (e *AttemptTable) End(now time.Time, a Attempt, reachedBackend bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := attemptKey{a.RequestID, a.Number}
	s := e.attempts[k]
	if s == nil || !s.endedAt.IsZero() {
		return
	}
	s.endedAt = now
	if s.repeatable {
		e.endedRepeatable = append(e.endedRepeatable, k)
	} else {
		e.ended = append(e.ended, k)
	}
	if !reachedBackend {
		s.reachedBackend = false
		e.removeBackendAttempt(a.RequestID)
	}
}

// Len returns the number of attempts in the table.
func (e *AttemptTable) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts)
}

// evict removes attempts that ended more than KeepFor ago, and ended attempts of repeatable requests
// while the table is full.
func (e *AttemptTable) evict(now time.Time) {
	expired := func(k attemptKey) bool { return now.Sub(e.attempts[k].endedAt) > e.settings.KeepFor }
	for len(e.ended) > 0 && expired(e.ended[0]) {
		e.remove(e.ended[0])
		e.ended = e.ended[1:]
	}
	for len(e.endedRepeatable) > 0 && (len(e.attempts) >= e.settings.Capacity || expired(e.endedRepeatable[0])) {
		e.remove(e.endedRepeatable[0])
		e.endedRepeatable = e.endedRepeatable[1:]
	}
}

func (e *AttemptTable) remove(k attemptKey) {
	if e.attempts[k].reachedBackend {
		e.removeBackendAttempt(k.requestID)
	}
	delete(e.attempts, k)
}

func (e *AttemptTable) removeBackendAttempt(requestID string) {
	if e.backendAttempts[requestID]--; e.backendAttempts[requestID] <= 0 {
		delete(e.backendAttempts, requestID)
	}
}
