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

// inForceBound is the bound of I9.
const inForceBound = 8 * time.Second

func isApply(step string) bool {
	return slices.Contains([]string{applyWrite, applySpread, applyRestart}, step)
}

// playApply lets an operator change a document, and restarts processes while the key-value service
// is down.
func playApply(w *world, step string) {
	w.hook(event{step: applyWrite, entry: w.entries[0], worker: w.workers[0]})
	if w.twoOperators.Load() {
		var wg sync.WaitGroup
		wg.Go(func() { w.edit(1, 70) })
		wg.Go(func() { w.edit(1, 71) })
		wg.Wait()
	} else {
		w.edit(1, 70)
	}
	w.hook(event{step: applySpread, entry: w.entries[0], worker: w.workers[0]})
	if w.twoOperators.Load() && step != applyWrite {
		var wg sync.WaitGroup
		wg.Go(func() { w.edit(2, 72) })
		wg.Go(func() { w.edit(2, 73) })
		wg.Wait()
	}
	if step != applyRestart {
		return
	}
	time.Sleep(inForceBound)
	w.store.Faults().Set(kv.FaultState{Down: true})
	for i, p := range []*process{w.entries[1].process, w.workers[1].process} {
		p.kill()
		if i == 0 {
			w.startEntry(1)
		} else {
			w.startWorker(1)
		}
	}
	w.hook(event{step: applyRestart, entry: w.entries[2], worker: w.workers[0]})
	time.Sleep(outageTime)
	// An older state of a restarted process shows in the check of revisions below.
	for _, p := range []*process{w.entries[1].process, w.workers[1].process} {
		if f := p.docs.Snapshot()[llm]; f != nil && f.Revision < w.topAccepted() {
			w.regress("%s started with revision %d after %d was in force", p.inst.ID, f.Revision, w.topAccepted())
		}
	}
	w.store.Faults().Set(kv.FaultState{})
}

func (w *world) regress(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.regressed = append(w.regressed, fmt.Sprintf(format, args...))
}

// topAccepted returns the highest revision that an operator was told is accepted.
func (w *world) topAccepted() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var top uint64
	for r := range w.accepts {
		top = max(top, r)
	}
	return top
}

// edit applies a document based on a revision, as an operator does who repeats the command until
// it says whether the change was accepted.
func (w *world) edit(base uint64, queue int) {
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r, err := registry.Apply(ctx, w.store, llm, base, body(llm, queue), fmt.Sprint("operator-", queue))
		cancel()
		var conflict *registry.ConflictError
		switch {
		case err == nil:
			w.mu.Lock()
			w.accepts[r.Revision] = append(w.accepts[r.Revision], queue)
			w.mu.Unlock()
			if w.duplicateClaims.Load() {
				// The command is given again with the same base.
				_, _ = registry.Apply(context.Background(), w.store, llm, base, body(llm, queue), "again")
			}
			return
		case errors.As(err, &conflict):
			return
		}
		time.Sleep(time.Second)
	}
}

// inForce checks that the accepted document is in force everywhere and that each revision has one
// author.
func inForce(w *world, s *script) (bad []string) {
	time.Sleep(inForceBound)
	r, err := registry.Get(context.Background(), w.store, llm)
	if err != nil {
		return []string{"I9: " + err.Error()}
	}
	top := w.topAccepted()
	if top > r.Revision {
		bad = append(bad, fmt.Sprintf("I9: accepted revision %d is lost, the key-value service has %d", top, r.Revision))
	}
	for rev, queues := range w.accepts {
		if len(queues) > 1 {
			bad = append(bad, fmt.Sprintf("I9: revision %d was accepted for %v", rev, queues))
		}
	}
	if len(w.accepts) == 0 && s.faults[0] != lost {
		bad = append(bad, "I9: no edit was accepted")
	}
	var all []*process
	for _, p := range w.entries {
		all = append(all, p.process)
	}
	for _, p := range w.workers {
		all = append(all, p.process)
	}
	for _, p := range all {
		if f := p.docs.Snapshot()[llm]; f == nil || f.Revision != r.Revision || string(f.Body) != string(r.Body) {
			bad = append(bad, fmt.Sprintf("I9: %s does not hold revision %d", p.inst.ID, r.Revision))
		}
	}
	return bad
}
