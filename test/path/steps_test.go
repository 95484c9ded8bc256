package path

import (
	"context"
	"time"

	"github.com/quetzallug/quetzallug/entry"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/once"
)

type noMetrics struct{}

func (noMetrics) Request(string, string, string, entry.Reason, bool, time.Duration) {}
func (noMetrics) FirstToken(string, string, time.Duration)                          {}
func (noMetrics) BetweenTokens(string, string, time.Duration)                       {}
func (noMetrics) Retry(string, v1.Reason)                                           {}
func (noMetrics) Attempt(v1.Outcome, v1.Reason)                                     {}
func (noMetrics) InFlight(int)                                                      {}

// admitter, picker and claimer wrap the parts of an entry and report the steps that it reaches.
type admitter struct {
	*entry.Admission
	p *entryProcess
}

func (a *admitter) Admit(r entry.AdmitRequest) (func(), int, *entry.Error) {
	a.p.dep.reachStep(event{step: "admit", entry: a.p, request: r.Pick.RequestID})
	return a.Admission.Admit(r)
}

type picker struct {
	*entry.Fleet
	p *entryProcess
}

func (k *picker) Pick(r entry.PickRequest) (entry.Worker, string, error) {
	w, reason, err := k.Fleet.Pick(r)
	if err == nil {
		e := event{step: "route", entry: k.p, worker: k.p.dep.workerByID(w.Instance), request: r.RequestID, attempt: uint32(len(r.Tried)) + 1}
		k.p.dep.reachStep(e)
		if len(r.Tried) > 0 {
			e.step = "pick another engine"
			k.p.dep.reachStep(e)
		}
	}
	if err == nil && k.p.dep.wantsRemotePrefill(r) {
		w.Prefill = k.p.dep.prefillFor(w)
	}
	return w, reason, err
}

func (k *picker) Sent(w entry.Worker, r entry.PickRequest) {
	k.Fleet.Sent(w, r)
	k.p.dep.reachStep(event{step: "connect", entry: k.p, worker: k.p.dep.workerByID(w.Instance), request: r.RequestID, attempt: uint32(len(r.Tried)) + 1})
}

// wantsRemotePrefill reports whether the prompt of a request is prefilled on another engine. The
// length of the prompt decides; the policy that decides in production has its own tests.
func (dep *deployment) wantsRemotePrefill(r entry.PickRequest) bool {
	return r.Repeatable && r.PromptTokens >= remotePrefillTokens
}

// prefillFor returns an engine other than the one that decodes, or nil if there is none.
func (dep *deployment) prefillFor(d entry.Worker) *entry.Worker {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for _, p := range dep.workers {
		if p.engine != nil && p.instance.ID != d.Instance {
			return &entry.Worker{Instance: p.instance.ID, Address: p.instance.Address, Incarnation: p.incarnation}
		}
	}
	return nil
}

type claimer struct {
	*once.Router
	p *entryProcess
}

var claimSteps = map[once.Action]string{once.ActionClaim: "claim", once.ActionComplete: "complete", once.ActionRelease: "release"}

func (c *claimer) Do(ctx context.Context, r once.Request) once.Result {
	step := claimSteps[r.Action]
	if r.Action == once.ActionClaim && c.p.dep.replaying.Load() {
		step = "replay"
	}
	c.p.dep.reachStep(event{step: step, entry: c.p, request: r.RequestID})
	if c.p.dep.duplicateClaims.Load() {
		c.p.background(func(ctx context.Context) {
			pause.For(ctx, 2*time.Millisecond)
			c.Router.Do(ctx, r)
		})
	}
	return c.Router.Do(ctx, r)
}
