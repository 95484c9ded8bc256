package once

import (
	"sync"
	"time"
)

// Decision is what the sidecar does with an attempt.
type Decision uint8

// Decisions.
const (
	// Run hands the attempt to the backend server.
	Run Decision = iota + 1
	// RefuseDuplicate refuses an attempt that was seen before, or another attempt of a request that
	// may not be repeated and was handed over already. The request may have run: the outcome is
	// unknown, never "not run".
	RefuseDuplicate
	// RefuseIncarnation refuses an attempt that is meant for another incarnation. It did not run.
	RefuseIncarnation
	// RefuseFull refuses an attempt because the table is full of recent attempts. It did not run.
	RefuseFull
)

// NotRun reports whether a refused attempt certainly did not run.
func (d Decision) NotRun() bool { return d == RefuseIncarnation || d == RefuseFull }

// Attempt is one attempt of a request, as it arrives at a sidecar.
type Attempt struct {
	RequestID   string
	Number      uint32
	Incarnation string
	Repeatable  bool
}

// ExecutorSettings bound the executor's table.
type ExecutorSettings struct {
	// Capacity is the largest number of attempts in the table.
	Capacity int
	// KeepFor is the time after its end for which an attempt is remembered. It must exceed the
	// longest deadline, after which no delivery of the attempt can arrive. When the table is full,
	// attempts of repeatable requests are forgotten earlier.
	KeepFor time.Duration
}

// DefaultExecutorSettings returns the defaults. One attempt takes about 150 bytes.
func DefaultExecutorSettings() ExecutorSettings {
	return ExecutorSettings{Capacity: 1 << 16, KeepFor: 10 * time.Minute}
}

// Executor remembers the attempts that its sidecar has seen in this incarnation. It is safe for
// concurrent use.
type Executor struct {
	incarnation string
	set         ExecutorSettings

	mu       sync.Mutex
	attempts map[attemptKey]*attemptState
	// ran counts the attempts of a request that were handed to the backend server.
	ran map[string]int
	// ended holds the ended attempts of requests that may not be repeated, endedRepeatable those of
	// the others, both in the order of their end.
	ended, endedRepeatable []attemptKey
}

type attemptKey struct {
	requestID string
	number    uint32
}

type attemptState struct {
	endedAt    time.Time
	handed     bool
	repeatable bool
}

// NewExecutor returns the executor of one incarnation of a sidecar.
func NewExecutor(incarnation string, set ExecutorSettings) *Executor {
	return &Executor{
		incarnation: incarnation,
		set:         set,
		attempts:    map[attemptKey]*attemptState{},
		ran:         map[string]int{},
	}
}

// Begin decides about an attempt. After Run, the caller must call End.
func (e *Executor) Begin(now time.Time, a Attempt) Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Incarnation != e.incarnation {
		return RefuseIncarnation
	}
	k := attemptKey{a.RequestID, a.Number}
	if e.attempts[k] != nil || !a.Repeatable && e.ran[a.RequestID] > 0 {
		return RefuseDuplicate
	}
	e.forget(now)
	if len(e.attempts) >= e.set.Capacity {
		return RefuseFull
	}
	e.attempts[k] = &attemptState{handed: true, repeatable: a.Repeatable}
	e.ran[a.RequestID]++
	return Run
}

// End records the end of an attempt for which Begin returned Run. If it was not handed to the
// backend server, for example because admission refused it, a further attempt may run. The same
// attempt is still refused.
func (e *Executor) End(now time.Time, a Attempt, handed bool) {
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
	if !handed {
		s.handed = false
		e.dropRan(a.RequestID)
	}
}

// Len returns the number of attempts in the table.
func (e *Executor) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.attempts)
}

// forget drops attempts that ended long enough ago, and attempts of repeatable requests while the
// table is full.
func (e *Executor) forget(now time.Time) {
	old := func(k attemptKey) bool { return now.Sub(e.attempts[k].endedAt) > e.set.KeepFor }
	for len(e.ended) > 0 && old(e.ended[0]) {
		e.drop(e.ended[0])
		e.ended = e.ended[1:]
	}
	for len(e.endedRepeatable) > 0 && (len(e.attempts) >= e.set.Capacity || old(e.endedRepeatable[0])) {
		e.drop(e.endedRepeatable[0])
		e.endedRepeatable = e.endedRepeatable[1:]
	}
}

func (e *Executor) drop(k attemptKey) {
	if e.attempts[k].handed {
		e.dropRan(k.requestID)
	}
	delete(e.attempts, k)
}

func (e *Executor) dropRan(requestID string) {
	if e.ran[requestID]--; e.ran[requestID] <= 0 {
		delete(e.ran, requestID)
	}
}
