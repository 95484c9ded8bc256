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

// leaveBound is the time after which a worker that is seen as leaving gets no new work (I7).
const leaveBound = 3 * time.Second

// journals holds what the engines and plain backend servers did, by worker.
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

// window is a period in which nothing but a planned change or graceful stop was brought about.
type window struct {
	cell     string
	from, to time.Time
	// since is the end of the last unplanned disturbance. Earlier requests may have met it.
	since time.Time
}

func (w window) overlaps(r *record) bool {
	// A request that goes on after the window may meet the next disturbance, or counts there.
	return !r.ended.After(w.to) && r.ended.After(w.from) && !r.started.Before(w.since)
}

// leaving says that a worker was listed as leaving from a time, with the list's lag added, until
// its slot was started again.
type leaving struct {
	worker      string
	since, back time.Time
}

// checker finds breaches of the invariants in the records of callers and backend servers. It
// knows nothing of the product's own state.
type checker struct {
	records  []record
	journals *journals
	planned  []window
	leaving  []leaving

	found []string
}

func (c *checker) violate(invariant, format string, args ...any) {
	c.found = append(c.found, invariant+": "+fmt.Sprintf(format, args...))
}

// check returns all breaches.
func (c *checker) check() []string {
	c.engineViolations()
	c.answers()
	c.notRun()
	c.atMostOnce()
	c.interrupted()
	c.leavingWorkers()
	return c.found
}

// engineViolations reports what the engines observed: conflicting orders (I1), requests cut by an
// order (I2) and orders of a lost authority (I3).
func (c *checker) engineViolations() {
	invariants := map[engine.ViolationKind]string{
		engine.ConflictingOrder: "I1", engine.RequestAbortedByOrder: "I2", engine.StaleOrderRan: "I3",
	}
	for id, r := range c.journals.engines {
		for _, v := range r.Violations {
			c.violate(invariants[v.Kind], "engine %s: %s at %s: request %s, fence %d, order %d %s",
				id, v.Kind, v.At.Format(time.RFC3339Nano), v.RequestID, v.Fence, v.Number, v.Detail)
		}
	}
}

// answers checks that each complete answer is the whole and own one (I4), and that a backend
// server really finished it.
func (c *checker) answers() {
	finished := map[string]bool{}
	for _, r := range c.journals.engines {
		for _, rec := range r.Journal {
			if rec.Kind == engine.RequestFinished {
				finished[requestOf(rec.RequestID)] = true
			}
		}
	}
	for _, list := range c.journals.backends {
		for _, rec := range list {
			finished[rec.RequestID] = true
		}
	}
	replies := map[string]string{}
	for i := range c.records {
		r := &c.records[i]
		if r.outcome != complete {
			continue
		}
		id := r.requestID
		if r.answerID != "" {
			id = r.answerID
		}
		switch {
		case r.wrong != "":
			c.violate("I4", "%s %s (%s) got a wrong answer: %s", r.kind, r.token, r.requestID, r.wrong)
		case !finished[id]:
			c.violate("I4", "%s %s is complete, but no backend server finished request %s", r.kind, r.token, id)
		case r.kind == kindKeyed && replies[r.token] != "" && replies[r.token] != r.body:
			c.violate("I4", "%s %s got two different answers", r.kind, r.token)
		}
		if r.kind == kindKeyed {
			replies[r.token] = r.body
		}
	}
}

// requestOf removes the attempt number from the ID of a request at an engine.
func requestOf(id string) string {
	id, _, _ = strings.Cut(id, "/")
	return id
}

// notRun checks that no request told not_run was run (I5).
func (c *checker) notRun() {
	ran := map[string]string{}
	for id, r := range c.journals.engines {
		for _, rec := range r.Journal {
			if rec.Kind == engine.RequestQueued || rec.Kind == engine.RequestStarted {
				ran[requestOf(rec.RequestID)] = id
			}
		}
	}
	for id, list := range c.journals.backends {
		for _, rec := range list {
			ran[rec.RequestID] = id
		}
	}
	for i := range c.records {
		r := &c.records[i]
		if r.outcome != notRun {
			continue
		}
		if worker := ran[r.requestID]; r.requestID != "" && worker != "" {
			c.violate("I5", "%s %s (%s) was told not_run (%s: %s), but ran at %s", r.kind, r.token, r.requestID, r.reason, r.detail, worker)
		}
	}
}

// atMostOnce counts the executions of each operation over all backend servers (I6).
func (c *checker) atMostOnce() {
	runs := map[string][]string{}
	for id, list := range c.journals.backends {
		for _, rec := range list {
			if token, ok := strings.CutPrefix(rec.Path, "/alerts/"); ok {
				runs[token] = append(runs[token], id+" as "+rec.RequestID)
			}
		}
	}
	for token, at := range runs {
		if len(at) > 1 {
			c.violate("I6", "operation %s ran %d times: %s", token, len(at), strings.Join(at, ", "))
		}
	}
}

// interrupted checks that planned changes and graceful stops interrupted nothing (I2, I8).
func (c *checker) interrupted() {
	verdicts := map[string]bool{}
	first := map[string]time.Time{} // of each operation
	for i := range c.records {
		r := &c.records[i]
		if first[r.token].IsZero() {
			first[r.token] = r.started
		}
		if r.kind == kindVerdict {
			verdicts[r.requestID] = true
		}
		if r.outcome == complete || r.outcome == notRun {
			continue
		}
		for _, w := range c.planned {
			if w.overlaps(r) && !first[r.token].Before(w.since) {
				c.violate("I8", "%s: %s %s (%s) through %s ended as %s: %s %s", w.cell, r.kind, r.token, r.requestID, r.entry, r.outcome, r.reason, r.detail)
			}
		}
	}
	for id, rep := range c.journals.engines {
		for _, rec := range rep.Journal {
			if rec.Kind != engine.RequestAborted && rec.Kind != engine.RequestCancelled || !verdicts[requestOf(rec.RequestID)] {
				continue
			}
			for _, w := range c.planned {
				if rec.At.After(w.from) && rec.At.Before(w.to) {
					c.violate("I2", "%s: verdict %s was cut at engine %s: %s %s", w.cell, rec.RequestID, id, rec.Kind, rec.Detail)
				}
			}
		}
	}
}

// leavingWorkers checks that leaving workers got no new work after the bound (I7).
func (c *checker) leavingWorkers() {
	for _, l := range c.leaving {
		late := func(at time.Time) bool {
			return at.After(l.since.Add(leaveBound)) && (l.back.IsZero() || at.Before(l.back))
		}
		for _, rec := range c.journals.engines[l.worker].Journal {
			if (rec.Kind == engine.RequestQueued || rec.Kind == engine.RequestStarted) && late(rec.At) {
				c.violate("I7", "%s got %s %s after it was listed as leaving", l.worker, rec.RequestID, rec.At.Sub(l.since))
			}
		}
		for _, rec := range c.journals.backends[l.worker] {
			if late(rec.At) {
				c.violate("I7", "%s got %s %s after it was listed as leaving", l.worker, rec.RequestID, rec.At.Sub(l.since))
			}
		}
	}
}
