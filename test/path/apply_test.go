package path

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// Steps of the protocol "apply".
const (
	applyWrite   = "write"
	applySpread  = "spread"
	applyRestart = "restart during an outage"
)

// inForceBound is the time within which an accepted document must be in force in every process
// (invariant I9).
const inForceBound = 8 * time.Second

func isApplyStep(step string) bool {
	return slices.Contains([]string{applyWrite, applySpread, applyRestart}, step)
}

// runApply applies edits to a document as an operator does. At step applyRestart it also restarts
// an entry and a sidecar while the key-value service is down.
func runApply(dep *deployment, step string) {
	dep.reachStep(event{step: applyWrite, entry: dep.entries[0], worker: dep.workers[0]})
	if dep.twoOperators.Load() {
		var wg sync.WaitGroup
		wg.Go(func() { dep.applyEdit(1, 70) })
		wg.Go(func() { dep.applyEdit(1, 71) })
		wg.Wait()
	} else {
		dep.applyEdit(1, 70)
	}
	dep.reachStep(event{step: applySpread, entry: dep.entries[0], worker: dep.workers[0]})
	if dep.twoOperators.Load() && step != applyWrite {
		var wg sync.WaitGroup
		wg.Go(func() { dep.applyEdit(2, 72) })
		wg.Go(func() { dep.applyEdit(2, 73) })
		wg.Wait()
	}
	if step != applyRestart {
		return
	}
	time.Sleep(inForceBound)
	dep.store.Faults().Set(kv.FaultState{Down: true})
	for i, p := range []*process{dep.entries[1].process, dep.workers[1].process} {
		p.kill()
		if i == 0 {
			dep.startEntry(1)
		} else {
			dep.startWorker(1)
		}
	}
	dep.reachStep(event{step: applyRestart, entry: dep.entries[2], worker: dep.workers[0]})
	time.Sleep(outageTime)
	// Without the key-value service, a restarted process must get the accepted revision from its
	// peers.
	for _, p := range []*process{dep.entries[1].process, dep.workers[1].process} {
		if f := p.docs.Snapshot()[llm]; f != nil && f.Revision < dep.highestAcceptedRevision() {
			dep.recordRegression("%s started with revision %d after %d was in force", p.instance.ID, f.Revision, dep.highestAcceptedRevision())
		}
	}
	dep.store.Faults().Set(kv.FaultState{})
}

func (dep *deployment) recordRegression(format string, args ...any) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.regressions = append(dep.regressions, fmt.Sprintf(format, args...))
}

// highestAcceptedRevision returns the highest revision whose acceptance was reported to an operator.
func (dep *deployment) highestAcceptedRevision() uint64 {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	var top uint64
	for r := range dep.acceptedEdits {
		top = max(top, r)
	}
	return top
}

// applyEdit applies a document based on revision base. Like an operator, it repeats the command
// until the result is definite: accepted or in conflict with another edit.
func (dep *deployment) applyEdit(base uint64, queue int) {
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r, err := registry.Apply(ctx, dep.store, llm, base, documentBody(llm, queue), fmt.Sprint("operator-", queue))
		cancel()
		var conflict *registry.ConflictError
		switch {
		case err == nil:
			dep.mu.Lock()
			dep.acceptedEdits[r.Revision] = append(dep.acceptedEdits[r.Revision], queue)
			dep.mu.Unlock()
			if dep.duplicateClaims.Load() {
				// Repeats the accepted command with the same base revision.
				_, _ = registry.Apply(context.Background(), dep.store, llm, base, documentBody(llm, queue), "again")
			}
			return
		case errors.As(err, &conflict):
			return
		}
		time.Sleep(time.Second)
	}
}

// checkInForce checks that the accepted document is in force in every process and that each
// revision was accepted for one edit only.
func checkInForce(dep *deployment, s *script) (violations []string) {
	time.Sleep(inForceBound)
	r, err := registry.Get(context.Background(), dep.store, llm)
	if err != nil {
		return []string{"I9: " + err.Error()}
	}
	top := dep.highestAcceptedRevision()
	if top > r.Revision {
		violations = append(violations, fmt.Sprintf("I9: accepted revision %d is lost, the key-value service holds %d", top, r.Revision))
	}
	for rev, queues := range dep.acceptedEdits {
		if len(queues) > 1 {
			violations = append(violations, fmt.Sprintf("I9: revision %d was accepted for several edits: %v", rev, queues))
		}
	}
	if len(dep.acceptedEdits) == 0 && s.faults[0] != responseLost {
		violations = append(violations, "I9: no edit was accepted")
	}
	var all []*process
	for _, p := range dep.entries {
		all = append(all, p.process)
	}
	for _, p := range dep.workers {
		all = append(all, p.process)
	}
	for _, p := range all {
		if f := p.docs.Snapshot()[llm]; f == nil || f.Revision != r.Revision || string(f.Body) != string(r.Body) {
			violations = append(violations, fmt.Sprintf("I9: %s does not hold revision %d", p.instance.ID, r.Revision))
		}
	}
	return violations
}
