package entry

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/admission"
	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/placement"
	"github.com/quetzallug/quetzallug/routing"
)

// Admission is an Admitter that decides by the load of the workers and the limits in each
// service's configuration document.
type Admission struct {
	fleet *Fleet

	mu       sync.Mutex
	services map[string]*serviceAdmission
}

// serviceAdmission is the admission state of one service.
type serviceAdmission struct {
	limits     document.Limits
	controller *admission.Controller
	// refused is the work that was refused since the process started, by kind.
	refused map[string]placement.KindWork
}

// NewAdmission returns an Admission that estimates latency from the load of a fleet.
func NewAdmission(f *Fleet) *Admission {
	return &Admission{fleet: f, services: map[string]*serviceAdmission{}}
}

// controller returns the admission controller of a service with the limits of the given document.
// A new queue size replaces the controller; new limits per caller are applied to the existing one.
func (a *Admission) controller(s *document.Service) *admission.Controller {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.services[s.Service]
	switch {
	case c == nil || c.limits.Queue != s.Limits.Queue:
		refused := map[string]placement.KindWork{}
		if c != nil {
			refused = c.refused
		}
		c = &serviceAdmission{limits: s.Limits, refused: refused, controller: admission.New(admission.Config{
			Queue: s.Limits.Queue, Callers: callerLimits(s.Limits.PerCaller),
		})}
		a.services[s.Service] = c
	case c.limits != s.Limits:
		c.limits = s.Limits
		c.controller.SetCallerLimits(callerLimits(s.Limits.PerCaller))
	}
	return c.controller
}

func callerLimits(l document.CallerLimits) admission.CallerLimits {
	return admission.CallerLimits{RequestsPerSecond: l.RequestsPerSecond, Burst: l.Burst, Concurrent: l.Concurrent}
}

// Admit implements Admitter.
func (a *Admission) Admit(r AdmitRequest) (release func(), priority int, err *Error) {
	c := a.controller(r.Service)
	expected := a.fleet.Predict(r.Pick)
	e := &admission.Expectation{NoWorker: expected.Decode == nil}
	// The estimates are left out for an idle worker, because no worker can serve the request earlier. If
	// a wrong estimate caused its requests to be refused, it would stay idle and the estimate would never
	// be corrected, because only traffic corrects it.
	if !e.NoWorker && !idle(&expected, r.Now) {
		e.FirstToken, e.BetweenTokens, e.Total = expected.FirstToken, expected.BetweenTokens, expected.Total
	}
	q := &admission.Request{
		Caller: r.Caller, Rank: r.Kind.Rank, Starvable: r.Kind.Starvable, Deadline: r.Deadline,
		FirstToken: r.Kind.Deadlines.FirstToken.Std(), BetweenTokens: r.Kind.Deadlines.BetweenTokens.Std(),
	}
	d := c.Admit(q, e, r.Now)
	if !d.Admitted() {
		a.recordRefused(&r)
		return nil, 0, refusalError(d)
	}
	// Engines serve requests with lower priority numbers first.
	return func() { c.Release(r.Caller, d) }, r.Kind.Rank, nil
}

// recordRefused adds a request to the refused work of its kind. The planner needs this figure because
// no sidecar sees refused requests.
func (a *Admission) recordRefused(r *AdmitRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	refused := a.services[r.Service.Service].refused
	w := refused[r.Kind.Name]
	w.Requests++
	w.PromptTokens += float64(r.Pick.PromptTokens)
	w.OutputTokens += float64(r.Pick.MaxTokens)
	refused[r.Kind.Name] = w
}

// RefusedWork returns the work that this entry has refused for a service since the process started, by
// kind.
func (a *Admission) RefusedWork(service string) map[string]placement.KindWork {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.services[service]; s != nil {
		return maps.Clone(s.refused)
	}
	return nil
}

// idle reports whether the chosen workers have no requests in progress.
func idle(d *routing.Decision, now time.Time) bool {
	for _, w := range []*routing.Worker{d.Prefill, d.Decode} {
		if l := w.Load.Estimate(now); l.Sequences > 0 || l.PrefillTokens > 0 {
			return false
		}
	}
	return true
}

// refusalError converts an admission refusal to an error. A refused request never ran.
func refusalError(d admission.Decision) *Error {
	reason, status := ReasonOverload, http.StatusServiceUnavailable
	switch d.Reason {
	case admission.CallerRate, admission.CallerConcurrent:
		reason, status = ReasonCallerLimit, http.StatusTooManyRequests
	case admission.Late, admission.Expired:
		reason = ReasonDeadline
	case admission.NoWorker:
		reason = ReasonNoWorker
	}
	e := notRunError(reason, "refused by admission: %s", d.Reason)
	e.Status = status
	if d.RetryAfter > 0 {
		e.RetryAfter = d.RetryAfter
	}
	return e
}
