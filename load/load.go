// Package load estimates the load of workers from their lagging reports.
//
// A Tracker keeps the last report of each worker and corrects it by what this process itself has
// sent to and seen finished by the worker since the report was made. It also learns how fast each
// worker prefills and decodes. The package does no I/O and takes the time as an argument.
package load

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

const (
	// maxEvents bounds the corrections kept per worker. When it is exceeded, the two oldest are
	// merged, so totals stay exact and only their times become coarser.
	maxEvents = 256
	// transit is how long a request may be under way to a worker. A report does not include
	// requests sent less than this before it was made.
	transit = 2 * time.Millisecond
	// fullScaleSeconds is the age of a report from which the other routers are expected to have
	// sent as much as this one.
	fullScaleSeconds = 2.0
	// sequenceReset is the age from which a lower sequence number is taken as a restarted worker
	// rather than as a delayed report.
	sequenceReset = 2 * time.Second
)

// Report is a worker's load report as received.
type Report struct {
	// Sequence rises with each report of one start of the worker.
	Sequence uint64
	// Age is the time since the worker made the report.
	Age  time.Duration
	Load external.EngineLoad
}

// Work is what one request adds to a worker.
type Work struct {
	// PrefillTokens are the prompt tokens to prefill on this worker.
	PrefillTokens int
	// Decode is true if the worker also decodes the answer.
	Decode bool
	// Pieces are the pieces of KV cache that the request holds until it is finished.
	Pieces int
}

// Ticket is returned by Sent and passed back when the request makes progress.
type Ticket struct {
	Work Work

	sentAt    time.Time
	ahead     float64 // prefill tokens to process up to the first token
	sequences int
}

type event struct {
	at        time.Time
	prefill   float64
	sequences int
	pieces    int
}

// Tracker holds the load of all workers that this process knows. It is safe for concurrent use.
// Lock order: Tracker.mu before Worker.mu.
type Tracker struct {
	mu      sync.RWMutex
	workers map[string]*Worker
	speed   Speed
	scale   atomic.Uint64 // bits of a float64
}

// NewTracker returns a tracker whose workers start with the given speed.
func NewTracker(initial Speed) *Tracker {
	t := &Tracker{workers: make(map[string]*Worker), speed: initial.withDefaults()}
	t.SetRouters(1)
	return t
}

// SetRouters tells how many routers send to the same workers. The others are expected to send
// and finish as much as this one since a report, because they act on the same report. Without
// this, each router alone fills the gap that an old report shows.
func (t *Tracker) SetRouters(n float64) { t.scale.Store(math.Float64bits(max(1, n))) }

// Worker returns the worker with the given ID and creates it if needed.
func (t *Tracker) Worker(id string) *Worker {
	t.mu.RLock()
	w := t.workers[id]
	t.mu.RUnlock()
	if w != nil {
		return w
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if w = t.workers[id]; w == nil {
		w = &Worker{learner: newLearner(t.speed), role: external.RoleMixed, scale: &t.scale}
		t.workers[id] = w
	}
	return w
}

// Remove forgets a worker that left the fleet.
func (t *Tracker) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.workers, id)
}

// Len returns the number of tracked workers.
func (t *Tracker) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.workers)
}

// Worker is the load of one worker. It is safe for concurrent use.
type Worker struct {
	scale    *atomic.Uint64
	mu       sync.Mutex
	role     external.Role
	sequence uint64
	madeAt   time.Time // zero: no report yet
	report   external.EngineLoad
	events   []event
	// Corrections by the events, except for prefill, which also drains over time.
	sequences int
	pieces    int
	prefill   float64 // queued prefill tokens at prefillAt
	prefillAt time.Time
	learner   learner
}

// SetRole tells the worker's role, which decides whether queued requests will decode here.
func (w *Worker) SetRole(r external.Role) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.role = r
}

// Observe takes a report. It returns false for a report that is older than the one in use.
func (w *Worker) Observe(r Report, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	madeAt := now.Add(-r.Age)
	if w.outdated(r.Sequence, madeAt) {
		return false
	}
	w.sequence, w.madeAt, w.report = r.Sequence, madeAt, r.Load
	kept := w.events[:0]
	for _, e := range w.events {
		if e.at.After(madeAt.Add(-transit)) {
			kept = append(kept, e)
		}
	}
	w.events = kept
	w.sequences, w.pieces = 0, 0
	w.prefill, w.prefillAt = float64(r.Load.PrefillTokens), madeAt
	for _, e := range kept {
		w.apply(e)
	}
	return true
}

// outdated tells whether a report is older than the one in use. After Restarted the sequence is
// zero and only the time can tell.
func (w *Worker) outdated(sequence uint64, madeAt time.Time) bool {
	switch {
	case w.madeAt.IsZero():
		return false
	case w.sequence == 0:
		return madeAt.Before(w.madeAt)
	default:
		return sequence <= w.sequence && madeAt.Sub(w.madeAt) < sequenceReset
	}
}

// Sent records that this process sent a request to the worker.
func (w *Worker) Sent(work Work, now time.Time) Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := event{at: now, prefill: float64(work.PrefillTokens), pieces: -work.Pieces}
	if work.Decode {
		e.sequences = 1
	}
	w.add(e)
	return Ticket{Work: work, sentAt: now, ahead: w.prefill, sequences: w.decoding(w.routers(now))}
}

// FirstToken records that the worker delivered the first token of a request that it prefilled,
// and learns the prefill speed from it.
func (w *Worker) FirstToken(t Ticket, now time.Time) {
	if t.Work.PrefillTokens == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learner.prefill(t.ahead, t.sequences, now.Sub(t.sentAt).Seconds())
}

// BetweenTokens records the mean time between tokens seen on one answer, and learns the step time
// from it.
func (w *Worker) BetweenTokens(mean time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learner.step(w.decoding(w.routers(now)), mean.Seconds())
}

// Finished records that a request ended on the worker, whatever its outcome.
func (w *Worker) Finished(t Ticket, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := event{at: now, pieces: t.Work.Pieces}
	if t.Work.Decode {
		e.sequences = -1
	}
	w.add(e)
}

// Restarted forgets the report and the corrections, because the worker lost all requests.
func (w *Worker) Restarted(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report = external.EngineLoad{FreePieces: w.report.TotalPieces, TotalPieces: w.report.TotalPieces}
	w.events = w.events[:0]
	w.sequence, w.sequences, w.pieces, w.prefill = 0, 0, 0, 0
	w.madeAt, w.prefillAt = now, now
}

func (w *Worker) add(e event) {
	if len(w.events) >= maxEvents {
		a, b := w.events[0], w.events[1]
		w.events[1] = event{at: b.at, prefill: a.prefill + b.prefill, sequences: a.sequences + b.sequences, pieces: a.pieces + b.pieces}
		w.events = append(w.events[:0], w.events[1:]...)
	}
	w.events = append(w.events, e)
	w.apply(e)
}

func (w *Worker) apply(e event) {
	w.sequences += e.sequences
	w.pieces += e.pieces
	routers := w.routers(e.at)
	w.prefill = w.queuedPrefill(e.at, w.decoding(routers)) + e.prefill*routers
	w.prefillAt = e.at
}

// queuedPrefill returns the prefill queue at a time, drained at the learned speed of an engine
// with the given number of decoding sequences.
func (w *Worker) queuedPrefill(now time.Time, sequences int) float64 {
	if w.prefill == 0 {
		return 0
	}
	elapsed := float64(now.Sub(w.prefillAt)) * 1e-9
	if elapsed <= 0 {
		return w.prefill
	}
	return max(0, w.prefill-elapsed/w.learner.speed.prefillTokenSeconds(sequences))
}

// routers is the number of routers whose sends a correction stands for at a time. It grows with
// the age of the report: right after one, a few own sends say little about the others.
func (w *Worker) routers(at time.Time) float64 {
	n := math.Float64frombits(w.scale.Load())
	if n == 1 {
		return 1
	}
	return 1 + (n-1)*min(1, max(0, float64(at.Sub(w.madeAt))*(1e-9/fullScaleSeconds)))
}

func (w *Worker) decoding(routers float64) int {
	n := w.report.Running + int(float64(w.sequences)*routers)
	if w.role != external.RolePrefill {
		n += w.report.Queued
	}
	return max(0, n)
}

// Estimate returns the worker's load at a time.
func (w *Worker) Estimate(now time.Time) Estimate {
	w.mu.Lock()
	routers := w.routers(now)
	sequences := w.decoding(routers)
	e := Estimate{
		PrefillTokens: w.queuedPrefill(now, sequences),
		Sequences:     sequences,
		FreePieces:    max(0, w.report.FreePieces+int(float64(w.pieces)*routers)),
		TotalPieces:   w.report.TotalPieces,
		Speed:         w.learner.speed,
		Known:         !w.madeAt.IsZero(),
	}
	if e.Known {
		e.Age = now.Sub(w.madeAt)
	}
	w.mu.Unlock()
	return e
}
