package path

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/faultmatrix"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/standin/engine"
)

// Steps of the protocol "drain".
const (
	drainOrder   = "engine for an order"
	drainLeaving = "leaving backend server"
	drainSidecar = "stop of a sidecar"
	drainEntry   = "stop of an entry"
)

const (
	lameDuck     = time.Second
	drainTimeout = 30 * time.Second
	// leavingPoll and leavingBound are the sidecar's look at the list and the bound of I7.
	leavingPoll  = 200 * time.Millisecond
	leavingBound = 3 * time.Second
)

// harmless faults may not make a drain cut a request.
var harmless = []string{none, kvDown, kvSlow, noReports}

// none is the drain without a fault.
const none = "none"

// playDrain drains a part in the middle of an answer, while callers go on.
func playDrain(w *world, step string) {
	inner := w.onStep
	var once sync.Once
	var drained sync.WaitGroup
	w.setHook(func(e event) {
		inner(e)
		if e.step == "middle of the stream" {
			once.Do(func() {
				w.mu.Lock()
				en := w.entries[0]
				w.mu.Unlock()
				drained.Go(func() { w.drain(step, en, e.worker) })
			})
		}
	})
	traffic := func(n int) {
		w.together(
			ask{kind: "arrival-verdict", stream: true, n: n}, ask{kind: "arrival-verdict", n: n + 1}, ask{kind: "order", stream: true, n: n + 2},
			ask{kind: "alert-acknowledgement", n: n + 3}, ask{kind: "schedule-read", n: n + 4}, ask{kind: "chat", stream: true, n: n + 5},
		)
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { traffic(10 * i) })
		time.Sleep(time.Duration(5+20*i) * time.Millisecond)
	}
	time.Sleep(leavingBound)
	traffic(80)
	wg.Wait()
	drained.Wait()
}

func (w *world) drain(step string, en *entryProc, p *workerProc) {
	begun := func() { w.hook(event{step: step, entry: en, worker: p}) }
	switch step {
	case drainOrder:
		w.drainForOrder(p, begun)
	case drainLeaving:
		w.drainLeaving(p, begun)
	case drainSidecar:
		p.sc.StopAccepting()
		w.noteDrain(p, time.Now())
		begun()
		w.sendLate(p)
		w.stopSidecar(p)
	case drainEntry:
		begun()
		w.stopEntry(en)
	}
}

// drainForOrder drains an engine and applies an order, as the executor of orders does.
func (w *world) drainForOrder(p *workerProc, begun func()) {
	ctx, cancel := context.WithTimeout(p.host.Ctx, drainTimeout)
	defer cancel()
	_ = p.sc.BeginDrain(ctx)
	w.noteDrain(p, time.Now())
	begun()
	w.sendLate(p)
	defer p.sc.EndDrain()
	defer w.endDrain(p)
	if p.sc.Wait(ctx) == nil && w.net.CheckRunning(ctx, p.host) == nil {
		_ = p.engine.Apply(ctx, external.EngineOrder{Fence: 1, Number: uint64(p.slot + 1), Config: initial})
	}
}

// drainLeaving lets the platform's list name the worker as leaving. The sidecar learns it from the
// list and drains, as the daemon does.
func (w *world) drainLeaving(p *workerProc, begun func()) {
	in := p.inst
	in.State = external.InstanceLeaving
	w.publish(in)
	w.noteDrain(p, time.Now().Add(leavingBound))
	begun()
	for left := false; !left && p.host.Ctx.Err() == nil; {
		pause.For(p.host.Ctx, leavingPoll)
		s, err := w.list.Instances(p.host.Ctx, 0)
		left = err == nil && slices.ContainsFunc(s.Instances, func(in external.Instance) bool {
			return in.ID == p.inst.ID && in.State == external.InstanceLeaving
		})
	}
	p.sc.StopAccepting()
	w.noteDrain(p, time.Now())
	w.sendLate(p)
	w.stopSidecar(p)
}

// sendLate delivers a request of an entry that has not heard of a drain.
func (w *world) sendLate(p *workerProc) {
	time.Sleep(time.Millisecond)
	r := &v1.ExecuteRequest{
		Cluster: cluster, RequestId: "late-" + p.inc, Attempt: 1, Service: llm, Kind: "chat", Incarnation: p.inc, RemainingMs: 1000,
		Repeatable: true, Request: &v1.ExecuteRequest_Model{Model: &v1.ModelRequest{Model: model, Prompt: "late", PromptTokens: 1, MaxTokens: 1}},
	}
	w.noteAccepted(p, r)
	p.done.Go(func() { _ = p.sc.Execute(p.host.Ctx, r, discard{}) })
}

// stopSidecar is the rest of a sidecar's graceful shutdown. Another process takes its slot later.
func (w *world) stopSidecar(p *workerProc) {
	defer w.endDrain(p)
	pause.For(p.host.Ctx, max(lameDuck, leavingBound+time.Second))
	ctx, cancel := context.WithTimeout(p.host.Ctx, drainTimeout)
	defer cancel()
	_ = p.sc.Wait(ctx)
	_ = p.servers[0].Shutdown(ctx)
	if p.host.Ctx.Err() == nil {
		p.kill()
		w.startWorker(p.slot)
	}
}

// stopEntry is an entry's graceful shutdown. The balancer sends no new callers from now on.
func (w *world) stopEntry(p *entryProc) {
	p.caller.SetKeepAlivesEnabled(false)
	w.setBalanced(p, false)
	pause.For(p.host.Ctx, lameDuck)
	ctx, cancel := context.WithTimeout(p.host.Ctx, drainTimeout)
	defer cancel()
	_ = p.caller.Shutdown(ctx)
	_ = p.commit.Close(ctx)
	if p.host.Ctx.Err() == nil {
		p.kill()
		w.startEntry(0)
	}
}

func (w *world) setBalanced(p *entryProc, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.unbalanced = !on
}

func (w *world) noteDrain(p *workerProc, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drains = append(w.drains, drainRecord{worker: p.name(), from: from})
}

// endDrain ends the drains of a worker, because it takes work again or is replaced.
func (w *world) endDrain(p *workerProc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.drains {
		if d := &w.drains[i]; d.worker == p.name() && d.till.IsZero() {
			d.till = time.Now()
		}
	}
}

// drainCutNothing checks that a drain that met only harmless faults interrupted no request but
// those of kinds that allow it.
func drainCutNothing(w *world, s *script) (bad []string) {
	if !slices.Contains(harmless, s.faults[0]) {
		return nil
	}
	for _, o := range w.calls {
		if o.n < 100 && !o.complete && o.outcome != "not_run" {
			bad = append(bad, "I8: a drain cut "+o.String())
		}
	}
	if len(w.drains) == 0 && s.step != drainEntry {
		bad = append(bad, "no drain began")
	}
	for _, p := range w.workers {
		if p.engine == nil {
			continue
		}
		for _, r := range p.engine.Journal() {
			if r.Kind == engine.RequestAborted {
				bad = append(bad, fmt.Sprintf("I2: engine of %s cut %s", p.inst.ID, r.RequestID))
			}
		}
	}
	return bad
}

// Guards against a drain that cuts requests although nothing fails.
func TestDrainMatrix(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	p := &protocols[slices.IndexFunc(protocols, func(p protocol) bool { return p.name == "drain" })]
	for _, step := range p.steps {
		c := p.cell(step, none)
		r.Declare(c)
		r.Run(t, c, func(t *testing.T) {
			requireNone(t, p.playCell(t, &script{step: step, faults: c.Faults, on: hitsWorker}))
		})
	}
}
