package faults_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
)

// leaveBound is the longest time for which a worker may still receive new work after the instance list
// shows it as leaving (I7).
const leaveBound = 3 * time.Second

// journals holds the records of the engines and plain backend servers, by worker ID.
type journals struct {
	engines  map[string]engine.Report
	backends map[string][]backend.Record
}

func readJournals(ctx context.Context, c *testcluster.Cluster) (*journals, error) {
	j := &journals{engines: map[string]engine.Report{}, backends: map[string][]backend.Record{}}
	for _, w := range c.Workers {
		var err error
		if w.Pool.Plain {
			j.backends[w.ID], err = w.BackendJournal(ctx)
		} else {
			j.engines[w.ID], err = w.EngineReport(ctx)
		}
		if err != nil {
			return nil, fmt.Errorf("journal of %s: %w", w.ID, err)
		}
	}
	return j, nil
}

// window is the period of a planned cell or of a disturbance. A planned cell makes only planned changes
// and graceful stops. name is the name of the cell or the cause of the disturbance.
type window struct {
	name     string
	from, to time.Time
	// lastFaultEnd is the end of the last unplanned cell before the window. Requests that started
	// before it may have been affected by that cell. It is set for planned cells only.
	lastFaultEnd time.Time
}

// covers reports whether the request ended within the window and started after the last unplanned cell ended.
func (w window) covers(r *record) bool {
	// A request that ends after the window may be affected by the next cell. If that cell is
	// planned, the request is checked in its window.
	return !r.ended.After(w.to) && r.ended.After(w.from) && !r.started.Before(w.lastFaultEnd)
}

// leavingPeriod is the period in which a worker was listed as leaving. It begins when the instance list shows
// the worker as leaving, its lag included, and ends when the sidecar is restarted. restarted is zero if it
// was not.
type leavingPeriod struct {
	worker           string
	since, restarted time.Time
}

// checker finds violations of the invariants from the records of the callers, engines and backend
// servers alone, without using the state of the entries and sidecars.
type checker struct {
	records  []record
	journals *journals
	planned  []window
	leaving  []leavingPeriod

	violations []string
}

func (c *checker) addViolation(invariant, format string, args ...any) {
	c.violations = append(c.violations, invariant+": "+fmt.Sprintf(format, args...))
}

// check returns all violations.
func (c *checker) check() []string {
	c.checkEngineViolations()
	c.checkAnswers()
	c.checkNotRun()
	c.checkAtMostOnce()
	c.checkInterruptions()
	c.checkLeavingWorkers()
	return c.violations
}

// checkEngineViolations reports the violations that the engines detected: conflicting orders (I1),
// requests cut off by an order (I2) and orders executed with a stale fence (I3).
func (c *checker) checkEngineViolations() {
	invariants := map[engine.ViolationKind]string{
		engine.ConflictingOrder: "I1", engine.RequestAbortedByOrder: "I2", engine.StaleOrderRan: "I3",
	}
	for id, r := range c.journals.engines {
		for _, v := range r.Violations {
			c.addViolation(invariants[v.Kind], "engine %s: %s at %s: request %s, fence %d, order %d %s",
				id, v.Kind, v.At.Format(time.RFC3339Nano), v.RequestID, v.Fence, v.Number, v.Detail)
		}
	}
}

// checkAnswers checks that each complete answer is whole and belongs to its request, that retries of a
// keyed operation get the same answer, and that an engine or backend server finished the request (I4).
func (c *checker) checkAnswers() {
	finished := map[string]bool{}
	for _, r := range c.journals.engines {
		for _, rec := range r.Journal {
			if rec.Kind == engine.RequestFinished {
				finished[withoutAttempt(rec.RequestID)] = true
			}
		}
	}
	for _, journal := range c.journals.backends {
		for _, rec := range journal {
			finished[rec.RequestID] = true
		}
	}
	keyedAnswers := map[string]string{}
	for i := range c.records {
		r := &c.records[i]
		if r.outcome != outcomeComplete {
			continue
		}
		id := r.requestID
		if r.answerID != "" {
			id = r.answerID
		}
		switch {
		case r.mismatch != "":
			c.addViolation("I4", "%s %s (%s) got a wrong answer: %s", r.kind, r.operationID, r.requestID, r.mismatch)
		case !finished[id]:
			c.addViolation("I4", "%s %s is complete, but no backend server finished request %s", r.kind, r.operationID, id)
		case r.kind == kindKeyed && keyedAnswers[r.operationID] != "" && keyedAnswers[r.operationID] != r.body:
			c.addViolation("I4", "%s %s got two different answers", r.kind, r.operationID)
		}
		if r.kind == kindKeyed {
			keyedAnswers[r.operationID] = r.body
		}
	}
}

// withoutAttempt removes the attempt number from a request ID in an engine's journal.
func withoutAttempt(id string) string {
	id, _, _ = strings.Cut(id, "/")
	return id
}

// checkNotRun checks that no request answered with not_run was queued or executed (I5).
func (c *checker) checkNotRun() {
	executedAt := map[string]string{}
	for id, r := range c.journals.engines {
		for _, rec := range r.Journal {
			if rec.Kind == engine.RequestQueued || rec.Kind == engine.RequestStarted {
				executedAt[withoutAttempt(rec.RequestID)] = id
			}
		}
	}
	for id, journal := range c.journals.backends {
		for _, rec := range journal {
			executedAt[rec.RequestID] = id
		}
	}
	for i := range c.records {
		r := &c.records[i]
		if r.outcome != outcomeNotRun {
			continue
		}
		if worker := executedAt[r.requestID]; r.requestID != "" && worker != "" {
			c.addViolation("I5", "%s %s (%s) was told not_run (%s: %s), but ran at %s", r.kind, r.operationID, r.requestID, r.reason, r.detail, worker)
		}
	}
}

// checkAtMostOnce checks that each operation was executed at most once over all backend
// servers (I6).
func (c *checker) checkAtMostOnce() {
	executions := map[string][]string{}
	for id, journal := range c.journals.backends {
		for _, rec := range journal {
			if operationID, ok := strings.CutPrefix(rec.Path, "/alerts/"); ok {
				executions[operationID] = append(executions[operationID], id+" as "+rec.RequestID)
			}
		}
	}
	for operationID, at := range executions {
		if len(at) > 1 {
			c.addViolation("I6", "operation %s ran %d times: %s", operationID, len(at), strings.Join(at, ", "))
		}
	}
}

// checkInterruptions checks that planned changes and graceful stops did not interrupt any
// request (I2, I8).
func (c *checker) checkInterruptions() {
	verdicts := map[string]bool{}
	firstSent := map[string]time.Time{} // start of the first request of each operation, by operation ID
	for i := range c.records {
		r := &c.records[i]
		if firstSent[r.operationID].IsZero() {
			firstSent[r.operationID] = r.started
		}
		if r.kind == kindVerdict {
			verdicts[r.requestID] = true
		}
		if r.outcome == outcomeComplete || r.outcome == outcomeNotRun {
			continue
		}
		for _, w := range c.planned {
			if w.covers(r) && !firstSent[r.operationID].Before(w.lastFaultEnd) {
				c.addViolation("I8", "%s: %s %s (%s) through %s ended as %s: %s %s", w.name, r.kind, r.operationID, r.requestID, r.entry, r.outcome, r.reason, r.detail)
			}
		}
	}
	for id, report := range c.journals.engines {
		for _, rec := range report.Journal {
			if rec.Kind != engine.RequestAborted && rec.Kind != engine.RequestCancelled || !verdicts[withoutAttempt(rec.RequestID)] {
				continue
			}
			for _, w := range c.planned {
				if rec.At.After(w.from) && rec.At.Before(w.to) {
					c.addViolation("I2", "%s: verdict %s was cut at engine %s: %s %s", w.name, rec.RequestID, id, rec.Kind, rec.Detail)
				}
			}
		}
	}
}

// checkLeavingWorkers checks that leaving workers received no new work after leaveBound (I7).
func (c *checker) checkLeavingWorkers() {
	for _, l := range c.leaving {
		tooLate := func(at time.Time) bool {
			return at.After(l.since.Add(leaveBound)) && (l.restarted.IsZero() || at.Before(l.restarted))
		}
		for _, rec := range c.journals.engines[l.worker].Journal {
			if (rec.Kind == engine.RequestQueued || rec.Kind == engine.RequestStarted) && tooLate(rec.At) {
				c.addViolation("I7", "%s got %s %s after it was listed as leaving", l.worker, rec.RequestID, rec.At.Sub(l.since))
			}
		}
		for _, rec := range c.journals.backends[l.worker] {
			if tooLate(rec.At) {
				c.addViolation("I7", "%s got %s %s after it was listed as leaving", l.worker, rec.RequestID, rec.At.Sub(l.since))
			}
		}
	}
}
