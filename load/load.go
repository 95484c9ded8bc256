// Package load estimates the current load of workers from reports that arrive late.
//
// A Tracker keeps the last report of each worker and corrects it by the requests that this process
// sent to the worker, or saw finish there, after the report was made. It also estimates how fast
// each worker prefills and decodes. The package does no I/O and takes the current time as an
// argument.
package load

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

const (
	// maxCorrections is the maximum number of corrections kept per worker. Beyond it the two oldest
	// are merged, which keeps the totals exact and only makes their times less precise.
	maxCorrections = 256
	// maxTransit is how long a request can take to reach a worker. A request sent or finished less
	// than this before a report was made is taken as missing from the report.
	maxTransit = 2 * time.Millisecond
	// fullExtrapolationSeconds is the age of a report from which each other router is assumed to
	// have sent as much as this one.
	fullExtrapolationSeconds = 2.0
	// minRestartGap is how much newer than the last report a report must be for its lower sequence
	// number to mean that the worker restarted, and not that the report was delayed.
	minRestartGap = 2 * time.Second
)

// Report is a load report of a worker.
type Report struct {
	// Sequence increases with each report until the worker restarts.
	Sequence uint64
	// Age is the time since the worker made the report.
	Age  time.Duration
	Load external.EngineLoad
}

// Work is the load that one request adds to a worker.
type Work struct {
	// PrefillTokens is the number of prompt tokens that this worker prefills.
	PrefillTokens int
	// Decode is true if the worker decodes the answer.
	Decode bool
	// Pieces is the number of KV cache pieces, of external.PieceTokens tokens each, that the
	// request occupies until it ends.
	Pieces int
}

// Ticket identifies a request sent to a worker. Worker.RecordSent returns it, and ObserveFirstToken and RecordFinished
// take it.
type Ticket struct {
	Work Work

	sentAt         time.Time
	prefillBacklog float64 // queued prefill tokens just after it was sent, its own included
	sequences      int     // estimated number of sequences being decoded just after it was sent
}

// correction is a change of a worker's load that its last report doesn't include: a request sent to
// it or finished by it. freePieces is the change of the number of free pieces, so it is negative
// for a request that was sent.
type correction struct {
	at         time.Time
	prefill    float64
	sequences  int
	freePieces int
}

// Tracker holds the load of all workers that this process uses. It is safe for concurrent use.
// Lock order: Tracker.mu before Worker.mu.
type Tracker struct {
	mu           sync.RWMutex
	workers      map[string]*Worker
	initialSpeed Speed
	routerCount  atomic.Uint64 // see SetRouterCount; a float64, by math.Float64bits
}

// NewTracker returns a Tracker. The given speed is assumed of workers until theirs is observed.
func NewTracker(initial Speed) *Tracker {
	t := &Tracker{workers: make(map[string]*Worker), initialSpeed: initial.withDefaults()}
	t.SetRouterCount(1)
	return t
}

// SetRouterCount sets the mean number of routers that send to the same worker, which may be fractional.
// Values below 1 count as 1. Since all of these routers act on the same reports, each other router
// is assumed to have sent and finished as many requests since a report as this one. Without this,
// several routers would each fill all of the capacity that an old report shows as free.
func (t *Tracker) SetRouterCount(n float64) { t.routerCount.Store(math.Float64bits(max(1, n))) }

// Worker returns the worker with the given ID. It is added if it isn't tracked yet.
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
		w = &Worker{estimator: newEstimator(t.initialSpeed), role: external.EngineRoleMixed, routerCount: &t.routerCount}
		t.workers[id] = w
	}
	return w
}

// Remove stops tracking a worker.
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

// Worker tracks the load of one worker. It is safe for concurrent use.
type Worker struct {
	routerCount    *atomic.Uint64
	mu             sync.Mutex
	role           external.EngineRole
	reportSequence uint64
	reportedAt     time.Time // zero: no report yet
	report         external.EngineLoad
	corrections    []correction
	// sequences and freePieces are the sums of the corrections. prefill also falls over time, as
	// the worker processes its queue.
	sequences  int
	freePieces int
	prefill    float64 // tokens queued at prefillAt, according to the report and the corrections
	prefillAt  time.Time
	estimator  estimator
}

// SetRole sets the worker's role. Queued requests count as sequences to decode unless the worker
// only prefills.
func (w *Worker) SetRole(r external.EngineRole) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.role = r
}

// Observe reports whether it used the report. If so, it replaced the worker's report and dropped
// the corrections that the new one includes. It ignores an outdated or duplicate report.
func (w *Worker) Observe(r Report, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	reportedAt := now.Add(-r.Age)
	if w.outdated(r.Sequence, reportedAt) {
		return false
	}
	w.reportSequence, w.reportedAt, w.report = r.Sequence, reportedAt, r.Load
	kept := w.corrections[:0]
	for _, c := range w.corrections {
		if c.at.After(reportedAt.Add(-maxTransit)) {
			kept = append(kept, c)
		}
	}
	w.corrections = kept
	w.sequences, w.freePieces = 0, 0
	w.prefill, w.prefillAt = float64(r.Load.PrefillTokens), reportedAt
	for _, c := range kept {
		w.applyCorrection(c)
	}
	return true
}

// outdated reports whether a report is not newer than the current one. A sequence number that isn't
// higher, on a report made at least minRestartGap later, means that the worker restarted. After
// Reset the current sequence number is zero, and only the times are compared.
func (w *Worker) outdated(sequence uint64, reportedAt time.Time) bool {
	switch {
	case w.reportedAt.IsZero():
		return false
	case w.reportSequence == 0:
		return reportedAt.Before(w.reportedAt)
	default:
		return sequence <= w.reportSequence && reportedAt.Sub(w.reportedAt) < minRestartGap
	}
}

// RecordSent adds a request that this process sent to the worker. It returns the ticket to pass to
// ObserveFirstToken and RecordFinished.
func (w *Worker) RecordSent(work Work, now time.Time) Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := correction{at: now, prefill: float64(work.PrefillTokens), freePieces: -work.Pieces}
	if work.Decode {
		c.sequences = 1
	}
	w.addCorrection(c)
	return Ticket{Work: work, sentAt: now, prefillBacklog: w.prefill, sequences: w.decodingSequences(w.routerFactor(now))}
}

// ObserveFirstToken updates the estimated prefill speed when the worker delivers the first token of a
// request that it prefilled.
func (w *Worker) ObserveFirstToken(t Ticket, now time.Time) {
	if t.Work.PrefillTokens == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.estimator.observePrefill(t.prefillBacklog, t.sequences, now.Sub(t.sentAt).Seconds())
}

// ObserveBetweenTokens updates the estimated step time from the mean time between the tokens of an answer.
func (w *Worker) ObserveBetweenTokens(mean time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.estimator.observeStep(w.decodingSequences(w.routerFactor(now)), mean.Seconds())
}

// RecordFinished removes the sequence and the pieces of a request that ended on the worker, whatever its
// outcome. Its prefill tokens are not removed; the queue is assumed to have processed them.
func (w *Worker) RecordFinished(t Ticket, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := correction{at: now, freePieces: t.Work.Pieces}
	if t.Work.Decode {
		c.sequences = -1
	}
	w.addCorrection(c)
}

// Reset resets the worker's load to zero, as if that had been reported now: a worker that
// restarts loses all its requests. The estimated speed is kept.
func (w *Worker) Reset(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.report = external.EngineLoad{FreePieces: w.report.TotalPieces, TotalPieces: w.report.TotalPieces}
	w.corrections = w.corrections[:0]
	w.reportSequence, w.sequences, w.freePieces, w.prefill = 0, 0, 0, 0
	w.reportedAt, w.prefillAt = now, now
}

// addCorrection stores and applies a correction.
func (w *Worker) addCorrection(c correction) {
	if len(w.corrections) >= maxCorrections {
		a, b := w.corrections[0], w.corrections[1]
		w.corrections[1] = correction{at: b.at, prefill: a.prefill + b.prefill, sequences: a.sequences + b.sequences, freePieces: a.freePieces + b.freePieces}
		w.corrections = append(w.corrections[:0], w.corrections[1:]...)
	}
	w.corrections = append(w.corrections, c)
	w.applyCorrection(c)
}

// applyCorrection adds a correction to the totals and advances the prefill queue to its time.
func (w *Worker) applyCorrection(c correction) {
	w.sequences += c.sequences
	w.freePieces += c.freePieces
	routerFactor := w.routerFactor(c.at)
	w.prefill = w.queuedPrefill(c.at, w.decodingSequences(routerFactor)) + c.prefill*routerFactor
	w.prefillAt = c.at
}

// queuedPrefill returns the prefill tokens that are still queued at the given time if the worker
// prefills at its estimated speed while it decodes the given number of sequences.
func (w *Worker) queuedPrefill(now time.Time, sequences int) float64 {
	if w.prefill == 0 {
		return 0
	}
	elapsed := float64(now.Sub(w.prefillAt)) * 1e-9
	if elapsed <= 0 {
		return w.prefill
	}
	return max(0, w.prefill-elapsed/w.estimator.speed.prefillSecondsPerTokenWhileDecoding(sequences))
}

// routerFactor returns the factor by which this router's own corrections are multiplied to account
// for the other routers. It grows from 1 to the number of routers with the age of the report,
// because the few requests sent right after a report say little about the other routers.
func (w *Worker) routerFactor(at time.Time) float64 {
	n := math.Float64frombits(w.routerCount.Load())
	if n == 1 {
		return 1
	}
	return 1 + (n-1)*min(1, max(0, float64(at.Sub(w.reportedAt))*(1e-9/fullExtrapolationSeconds)))
}

// decodingSequences returns the estimated number of sequences that the worker decodes or, unless it
// only prefills, will decode from its queue.
func (w *Worker) decodingSequences(routerFactor float64) int {
	n := w.report.Running + int(float64(w.sequences)*routerFactor)
	if w.role != external.EngineRolePrefill {
		n += w.report.Queued
	}
	return max(0, n)
}

// Estimate returns the estimated load of the worker at the given time.
func (w *Worker) Estimate(now time.Time) Estimate {
	w.mu.Lock()
	routerFactor := w.routerFactor(now)
	sequences := w.decodingSequences(routerFactor)
	e := Estimate{
		PrefillTokens: w.queuedPrefill(now, sequences),
		Sequences:     sequences,
		FreePieces:    max(0, w.report.FreePieces+int(float64(w.freePieces)*routerFactor)),
		TotalPieces:   w.report.TotalPieces,
		Speed:         w.estimator.speed,
		Known:         !w.reportedAt.IsZero(),
	}
	if e.Known {
		e.Age = now.Sub(w.reportedAt)
	}
	w.mu.Unlock()
	return e
}
