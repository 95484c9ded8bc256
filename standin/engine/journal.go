package engine

import (
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Kind is the kind of a journal record.
type Kind string

// Kinds of journal records.
const (
	// RequestRefused did not run. RequestQueued was accepted, RequestStarted got capacity.
	RequestRefused   Kind = "request_refused"
	RequestQueued    Kind = "request_queued"
	RequestStarted   Kind = "request_started"
	RequestFinished  Kind = "request_finished"
	RequestCancelled Kind = "request_cancelled"
	// RequestCut ended by an order, a crash or the end of the engine.
	RequestCut    Kind = "request_cut"
	OrderStarted  Kind = "order_started"
	OrderFinished Kind = "order_finished"
	OrderRefused  Kind = "order_refused"
	// OrderLost was running when the engine crashed.
	OrderLost Kind = "order_lost"
	Crashed   Kind = "crashed"
	Restarted Kind = "restarted"
)

// Record is one thing that the engine did.
type Record struct {
	At        time.Time             `json:"at"`
	Kind      Kind                  `json:"kind"`
	StartID   string                `json:"start_id"`
	RequestID string                `json:"request_id,omitempty"`
	Model     string                `json:"model,omitempty"`
	Offset    int                   `json:"offset,omitempty"`
	Tokens    int                   `json:"tokens,omitempty"`
	Fence     uint64                `json:"fence,omitempty"`
	Number    uint64                `json:"number,omitempty"`
	Config    external.EngineConfig `json:"config,omitzero"`
	Detail    string                `json:"detail,omitempty"`
}

// ViolationKind is the kind of a violation.
type ViolationKind string

// Kinds of violations, all faults of whoever gives the orders.
const (
	// RequestCutByOrder means that an order began while a request was in flight.
	RequestCutByOrder ViolationKind = "request_cut_by_order"
	// ConflictingOrder means that a different order arrived while one was running, or that two
	// orders with one fence and number differ.
	ConflictingOrder ViolationKind = "conflicting_order"
	// StaleOrderRan means that an order ran although one with a higher fence had been seen since
	// the engine was created, restarts included.
	StaleOrderRan ViolationKind = "stale_order_ran"
)

// Violation is a breach that the engine observed.
type Violation struct {
	At        time.Time     `json:"at"`
	Kind      ViolationKind `json:"kind"`
	RequestID string        `json:"request_id,omitempty"`
	Fence     uint64        `json:"fence,omitempty"`
	Number    uint64        `json:"number,omitempty"`
	Detail    string        `json:"detail,omitempty"`
}

// Journal returns what the engine did, oldest first. It outlives crashes.
func (e *Engine) Journal() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Record(nil), e.journal...)
}

// Violations returns the breaches that the engine observed, oldest first.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation(nil), e.violations...)
}

func (e *Engine) record(r Record) {
	r.At, r.StartID = time.Now(), e.state.StartID
	e.journal = append(e.journal, r)
	if l := e.cfg.JournalLimit; l > 0 && len(e.journal) >= 2*l {
		e.journal = append(e.journal[:0], e.journal[len(e.journal)-l:]...)
	}
}

func (e *Engine) recordSequence(k Kind, s *sequence, detail string) {
	e.record(Record{
		Kind: k, RequestID: s.req.RequestID, Model: s.req.Model,
		Offset: s.req.Offset, Tokens: s.produced - s.req.Offset, Detail: detail,
	})
}

func (e *Engine) recordOrder(k Kind, o external.EngineOrder, detail string) {
	e.record(Record{Kind: k, Fence: o.Fence, Number: o.Number, Config: o.Config, Detail: detail})
}

func (e *Engine) violate(v Violation) {
	v.At = time.Now()
	e.violations = append(e.violations, v)
}
