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
	// leavingPoll is the interval at which drainLeaving reads the instance list for a sidecar.
	// leavingBound is the time within which the sidecar must refuse new work once the list names it
	// as leaving (invariant I7).
	leavingPoll  = 200 * time.Millisecond
	leavingBound = 3 * time.Second
)

// nonDisruptiveFaults are the faults under which a drain must not interrupt a request.
var nonDisruptiveFaults = []string{noFault, kvDown, kvSlow, loadReportsLost}

// noFault marks a cell in which nothing fails.
const noFault = "none"

// runDrain drains a process in the middle of an answer, while callers continue to send requests.
func runDrain(dep *deployment, step string) {
	previousOnStep := dep.onStep
	var once sync.Once
	var drained sync.WaitGroup
	dep.setOnStep(func(e event) {
		previousOnStep(e)
		if e.step == "middle of the stream" {
			once.Do(func() {
				dep.mu.Lock()
				en := dep.entries[0]
				dep.mu.Unlock()
				drained.Go(func() { dep.drain(step, en, e.worker) })
			})
		}
	})
	sendTraffic := func(n int) {
		dep.sendConcurrently(
			callerRequest{kind: "arrival-verdict", stream: true, number: n}, callerRequest{kind: "arrival-verdict", number: n + 1}, callerRequest{kind: "order", stream: true, number: n + 2},
			callerRequest{kind: "alert-acknowledgement", number: n + 3}, callerRequest{kind: "schedule-read", number: n + 4}, callerRequest{kind: "chat", stream: true, number: n + 5},
		)
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { sendTraffic(10 * i) })
		time.Sleep(time.Duration(5+20*i) * time.Millisecond)
	}
	time.Sleep(leavingBound)
	sendTraffic(80)
	wg.Wait()
	drained.Wait()
}

func (dep *deployment) drain(step string, en *entryProcess, p *workerProcess) {
	reportBegin := func() { dep.reachStep(event{step: step, entry: en, worker: p}) }
	switch step {
	case drainOrder:
		dep.drainForOrder(p, reportBegin)
	case drainLeaving:
		dep.drainLeaving(p, reportBegin)
	case drainSidecar:
		p.sidecar.StopAccepting()
		dep.recordDrain(p, time.Now())
		reportBegin()
		dep.sendLate(p)
		dep.stopSidecar(p)
	case drainEntry:
		reportBegin()
		dep.stopEntry(en)
	}
}

// drainForOrder drains an engine and then applies an order to it, as the order executor does.
func (dep *deployment) drainForOrder(p *workerProcess, reportBegin func()) {
	ctx, cancel := context.WithTimeout(p.host.Ctx, drainTimeout)
	defer cancel()
	_ = p.sidecar.BeginDrain(ctx)
	dep.recordDrain(p, time.Now())
	reportBegin()
	dep.sendLate(p)
	defer p.sidecar.EndDrain()
	defer dep.endDrain(p)
	if p.sidecar.Wait(ctx) == nil && dep.net.CheckRunning(ctx, p.host) == nil {
		_ = p.engine.Apply(ctx, external.EngineOrder{Fence: 1, Number: uint64(p.slot + 1), Config: initialConfig})
	}
}

// drainLeaving marks the worker as leaving in the platform's instance list. In place of
// the daemon, it then polls the list every leavingPoll and makes the sidecar leave once the list says
// so.
func (dep *deployment) drainLeaving(p *workerProcess, reportBegin func()) {
	in := p.instance
	in.State = external.InstanceLeaving
	dep.publish(in)
	dep.recordDrain(p, time.Now().Add(leavingBound))
	reportBegin()
	for left := false; !left && p.host.Ctx.Err() == nil; {
		pause.For(p.host.Ctx, leavingPoll)
		s, err := dep.list.Instances(p.host.Ctx, 0)
		left = err == nil && slices.ContainsFunc(s.Instances, func(in external.Instance) bool {
			return in.ID == p.instance.ID && in.State == external.InstanceLeaving
		})
	}
	p.sidecar.StopAccepting()
	dep.recordDrain(p, time.Now())
	dep.sendLate(p)
	dep.stopSidecar(p)
}

// sendLate delivers a request from an entry that does not know of the drain yet.
func (dep *deployment) sendLate(p *workerProcess) {
	time.Sleep(time.Millisecond)
	r := &v1.ExecuteRequest{
		Cluster: cluster, RequestId: "late-" + p.incarnation, Attempt: 1, Service: modelService, Kind: "chat", Incarnation: p.incarnation, RemainingMs: 1000,
		Repeatable: true, Request: &v1.ExecuteRequest_Model{Model: &v1.ModelRequest{Model: model, Prompt: "late", PromptTokens: 1, MaxTokens: 1}},
	}
	dep.recordArrival(p, r)
	p.done.Go(func() { _ = p.sidecar.Execute(p.host.Ctx, r, discardFrames{}) })
}

// stopSidecar finishes the graceful shutdown of a sidecar that has left, and starts another process
// in its slot.
func (dep *deployment) stopSidecar(p *workerProcess) {
	defer dep.endDrain(p)
	pause.For(p.host.Ctx, max(lameDuck, leavingBound+time.Second))
	ctx, cancel := context.WithTimeout(p.host.Ctx, drainTimeout)
	defer cancel()
	_ = p.sidecar.Wait(ctx)
	_ = p.servers[0].Shutdown(ctx)
	if p.host.Ctx.Err() == nil {
		p.kill()
		dep.startWorker(p.slot)
	}
}

// stopEntry shuts an entry down gracefully and starts another one in its place. The load balancer
// sends it no new calls from the beginning of the shutdown.
func (dep *deployment) stopEntry(p *entryProcess) {
	p.callerServer.SetKeepAlivesEnabled(false)
	dep.setInRotation(p, false)
	pause.For(p.host.Ctx, lameDuck)
	ctx, cancel := context.WithTimeout(p.host.Ctx, drainTimeout)
	defer cancel()
	_ = p.callerServer.Shutdown(ctx)
	_ = p.committer.Close(ctx)
	if p.host.Ctx.Err() == nil {
		p.kill()
		dep.startEntry(0)
	}
}

func (dep *deployment) setInRotation(p *entryProcess, on bool) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	p.outOfRotation = !on
}

func (dep *deployment) recordDrain(p *workerProcess, from time.Time) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.drains = append(dep.drains, drainPeriod{worker: p.incarnationName(), from: from})
}

// endDrain records the end of a worker's drain: it takes work again or is replaced.
func (dep *deployment) endDrain(p *workerProcess) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for i := range dep.drains {
		if d := &dep.drains[i]; d.worker == p.incarnationName() && d.until.IsZero() {
			d.until = time.Now()
		}
	}
}

// checkDrain checks that a drain under a non-disruptive fault interrupted no request and that no
// engine cut a request off.
func checkDrain(dep *deployment, s *script) (violations []string) {
	if !slices.Contains(nonDisruptiveFaults, s.faults[0]) {
		return nil
	}
	for _, o := range dep.calls {
		// Numbers from 100 belong to checkServing.
		if o.number < 100 && !o.complete && o.errorType != "not_run" {
			violations = append(violations, "I8: a drain interrupted "+o.String())
		}
	}
	if len(dep.drains) == 0 && s.step != drainEntry {
		violations = append(violations, "no drain began")
	}
	for _, p := range dep.workers {
		if p.engine == nil {
			continue
		}
		for _, r := range p.engine.Journal() {
			if r.Kind == engine.RequestAborted {
				violations = append(violations, fmt.Sprintf("I2: engine of %s cut %s", p.instance.ID, r.RequestID))
			}
		}
	}
	return violations
}

// Guards against a drain that interrupts requests although nothing fails.
func TestDrainMatrix(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	p := &protocols[slices.IndexFunc(protocols, func(p protocol) bool { return p.name == "drain" })]
	for _, step := range p.steps {
		c := p.cell(step, noFault)
		r.Declare(c)
		r.Run(t, c, func(t *testing.T) {
			requireNoViolations(t, p.runCell(t, &script{step: step, faults: c.Faults, target: targetWorker}))
		})
	}
}
