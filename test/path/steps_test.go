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

// admitter, picker and claimer mark the steps of an entry.
type admitter struct {
	*entry.Admission
	p *entryProc
}

func (a *admitter) Admit(r entry.AdmitRequest) (func(), int, *entry.Error) {
	a.p.w.hook(event{step: "admit", entry: a.p, request: r.Pick.RequestID})
	return a.Admission.Admit(r)
}

type picker struct {
	*entry.Fleet
	p *entryProc
}

func (k *picker) Pick(r entry.PickRequest) (entry.Worker, string, error) {
	w, reason, err := k.Fleet.Pick(r)
	if err == nil {
		e := event{step: "route", entry: k.p, worker: k.p.w.worker(w.Instance), request: r.RequestID, attempt: uint32(len(r.Tried)) + 1}
		k.p.w.hook(e)
		if len(r.Tried) > 0 {
			e.step = "pick another engine"
			k.p.w.hook(e)
		}
	}
	if err == nil && k.p.w.pairs(r) {
		w.Prefill = k.p.w.prefillFor(w)
	}
	return w, reason, err
}

func (k *picker) Sent(w entry.Worker, r entry.PickRequest) {
	k.Fleet.Sent(w, r)
	k.p.w.hook(event{step: "connect", entry: k.p, worker: k.p.w.worker(w.Instance), request: r.RequestID, attempt: uint32(len(r.Tried)) + 1})
}

// pairs says whether the request's prompt is prefilled on another engine. The policy that chooses
// pairs is proved elsewhere; here a prompt asks for one.
func (w *world) pairs(r entry.PickRequest) bool { return r.Repeatable && r.PromptTokens >= pairTokens }

func (w *world) prefillFor(d entry.Worker) *entry.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.workers {
		if p.engine != nil && p.inst.ID != d.Instance {
			return &entry.Worker{Instance: p.inst.ID, Address: p.inst.Address, Incarnation: p.inc}
		}
	}
	return nil
}

type claimer struct {
	*once.Router
	p *entryProc
}

var claimSteps = map[once.Action]string{once.ActionClaim: "claim", once.ActionComplete: "complete", once.ActionRelease: "release"}

func (c *claimer) Do(ctx context.Context, r once.Request) once.Result {
	step := claimSteps[r.Action]
	if r.Action == once.ActionClaim && c.p.w.replaying.Load() {
		step = "replay"
	}
	c.p.w.hook(event{step: step, entry: c.p, request: r.RequestID})
	if c.p.w.duplicateClaims.Load() {
		c.p.background(func(ctx context.Context) {
			pause.For(ctx, 2*time.Millisecond)
			c.Router.Do(ctx, r)
		})
	}
	return c.Router.Do(ctx, r)
}
