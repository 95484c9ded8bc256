package entry

import (
	"fmt"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/routing"
)

// Pick implements Picker.
func (f *Fleet) Pick(p PickRequest) (Worker, string, error) {
	s := f.service(p.Service)
	q := f.routingRequest(p)
	d := s.router.Choose(&q, s.candidates, time.Now())
	f.probeStale(s, &d)
	if d.Decode == nil {
		return Worker{}, "", fmt.Errorf("%w: %d considered", errNoWorker, d.Considered)
	}
	s.router.RecordSent(&q, &d, time.Now())
	w := s.target(d.Decode)
	// With a separate prefill worker, a refusal by the decode worker leaves the outcome unknown, because
	// the prompt may have run. A non-repeatable request could then not be retried.
	if !d.Single() && p.Repeatable {
		prefill := s.target(d.Prefill)
		w.Prefill = &prefill
	}
	return w, fmt.Sprintf("%s; %d considered, expected first token %s, total %s",
		d.Reason, d.Considered, d.FirstToken.Round(time.Millisecond), d.Total.Round(time.Millisecond)), nil
}

// target converts a worker of the router to the target of an attempt.
func (s *serviceWorkers) target(w *routing.Worker) Worker {
	m := s.members[w.ID]
	return Worker{Instance: m.ID, Address: m.Address, Incarnation: m.Incarnation}
}

// Predict returns the routing decision for a request and its expected latency, without sending it.
// Admission decides by it.
func (f *Fleet) Predict(p PickRequest) routing.Decision {
	s := f.service(p.Service)
	q := f.routingRequest(p)
	return s.router.Choose(&q, s.candidates, time.Now())
}

// routingRequest converts a request to one of the router.
func (f *Fleet) routingRequest(p PickRequest) routing.Request {
	return routing.Request{
		Model: p.Model, DataCentre: f.dataCentre, PromptTokens: p.PromptTokens, OutputTokens: p.MaxTokens,
		Blocks: p.Prefix, FirstToken: p.FirstToken, BetweenTokens: p.BetweenTokens, Exclude: p.Tried,
	}
}

// attemptWork returns the load that an attempt adds to its decode worker, and to its prefill worker
// if that is a separate one.
func attemptWork(w Worker, p PickRequest) (decode, prefill load.Work) {
	pieces := func(tokens int) int { return (tokens + external.PieceTokens - 1) / external.PieceTokens }
	decode = load.Work{PrefillTokens: p.PromptTokens, Decode: true, Pieces: pieces(p.PromptTokens + p.MaxTokens)}
	if w.Prefill != nil {
		prefill = load.Work{PrefillTokens: p.PromptTokens, Pieces: pieces(p.PromptTokens)}
		decode.PrefillTokens = 0
	}
	return decode, prefill
}

// Sent implements Picker.
func (f *Fleet) Sent(w Worker, p PickRequest) {
	now := time.Now()
	decode, prefill := attemptWork(w, p)
	t := f.tracker.Worker(w.Instance).RecordSent(decode, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tickets[ticketKey{w.Instance, p.RequestID}] = t
	if w.Prefill != nil {
		f.tickets[ticketKey{w.Prefill.Instance, p.RequestID}] = f.tracker.Worker(w.Prefill.Instance).RecordSent(prefill, now)
	}
}

// removeTicket removes and returns the ticket of an attempt.
func (f *Fleet) removeTicket(worker, request string) load.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := ticketKey{worker, request}
	t := f.tickets[key]
	delete(f.tickets, key)
	return t
}

// Done implements Picker.
func (f *Fleet) Done(w Worker, p PickRequest, r Result) {
	now := time.Now()
	worker := f.tracker.Worker(w.Instance)
	ticket := f.removeTicket(w.Instance, p.RequestID)
	worker.RecordFinished(ticket, now)
	if w.Prefill != nil {
		// A separate prefill worker determined the time to the first token.
		worker, ticket = f.tracker.Worker(w.Prefill.Instance), f.removeTicket(w.Prefill.Instance, p.RequestID)
		worker.RecordFinished(ticket, now)
	}
	if r.Tokens > 0 {
		// The attempt started at now-r.Elapsed, and its first token arrived r.FirstToken later.
		worker.ObserveFirstToken(ticket, now.Add(r.FirstToken-r.Elapsed))
	}
	if r.Tokens > 1 && r.FirstToken > 0 {
		f.tracker.Worker(w.Instance).ObserveBetweenTokens((r.Elapsed-r.FirstToken)/time.Duration(r.Tokens-1), now)
	}
	if r.Load != nil {
		f.ApplyReport(r.Load, now)
	}
	f.view.Observe(now, evidence(w, r, now))
}

// evidence converts the result of an attempt to an observation of the worker's health.
func evidence(w Worker, r Result, now time.Time) membership.Evidence {
	e := membership.Evidence{
		ID: w.Instance, Address: w.Address, Incarnation: r.Load.GetIncarnation(),
		Kind: membership.Answered, Started: now.Add(-r.Elapsed),
	}
	switch {
	case r.ConnectionRefused:
		e.Kind = membership.ConnectionRefused
	case (r.TimedOut || r.ConnectionBroken) && r.Tokens == 0:
		// A connection that breaks before the first frame does not show that the worker is alive:
		// another process may accept connections at its address.
		e.Kind = membership.TimedOut
	case r.Load.GetDraining():
		e.Kind = membership.Draining
	}
	return e
}
