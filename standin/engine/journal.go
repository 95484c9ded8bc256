package engine

import (
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Kind says which event a journal record describes.
type Kind string

// Kinds of journal records.
const (
	// RequestRefused means that the request was refused and did not run.
	RequestRefused Kind = "request_refused"
	// RequestQueued means that the request was accepted.
	RequestQueued Kind = "request_queued"
	// RequestStarted means that the request was admitted to the running batch.
	RequestStarted   Kind = "request_started"
	RequestFinished  Kind = "request_finished"
	RequestCancelled Kind = "request_cancelled"
	// RequestAborted means that an order, a crash or Close ended the request.
	RequestAborted Kind = "request_cut"
	OrderStarted   Kind = "order_started"
	OrderFinished  Kind = "order_finished"
	OrderRefused   Kind = "order_refused"
	// OrderLost means that the engine crashed or was closed during the order.
	OrderLost Kind = "order_lost"
	Crashed   Kind = "crashed"
	Restarted Kind = "restarted"
)

// Record is one journal entry.
type Record struct {
	At        time.Time `json:"at"`
	Kind      Kind      `json:"kind"`
	StartID   string    `json:"start_id"`
	RequestID string    `json:"request_id,omitempty"`
	Model     string    `json:"model,omitempty"`
	// Offset is the request's Offset, Tokens the number of tokens that this engine generated for it.
	Offset int `json:"offset,omitempty"`
	Tokens int `json:"tokens,omitempty"`
	// Fence and Number identify an order.
	Fence  uint64 `json:"fence,omitempty"`
	Number uint64 `json:"number,omitempty"`
	// Config is the configuration of the order or after the restart.
	Config external.EngineConfig `json:"config,omitzero"`
	// Detail is the reason for a refusal, for the early end of a request or for the loss of an order.
	Detail string `json:"detail,omitempty"`
}

// ViolationKind is the kind of a protocol violation.
type ViolationKind string

// Kinds of violations. All of them are faults of the process that sends the orders.
const (
	// RequestAbortedByOrder means that an order started while a request was in flight.
	RequestAbortedByOrder ViolationKind = "request_cut_by_order"
	// ConflictingOrder means that an order arrived while a different one was running, or that two
	// orders with the same fence and number have different configurations.
	ConflictingOrder ViolationKind = "conflicting_order"
	// StaleOrderRan means that an order started although an order with a higher fence had started
	// before, even if the engine restarted in between.
	StaleOrderRan ViolationKind = "stale_order_ran"
)

// Violation is one protocol violation that the engine detected.
type Violation struct {
	At        time.Time     `json:"at"`
	Kind      ViolationKind `json:"kind"`
	RequestID string        `json:"request_id,omitempty"`
	// Fence and Number identify the order.
	Fence  uint64 `json:"fence,omitempty"`
	Number uint64 `json:"number,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Journal returns the journal, oldest record first. Crashes do not clear it.
func (e *Engine) Journal() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Record(nil), e.journal...)
}

// Violations returns the detected violations, oldest first. Crashes do not clear them.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation(nil), e.violations...)
}

func (e *Engine) record(r Record) {
	r.At, r.StartID = time.Now(), e.state.StartID
	e.journal = append(e.journal, r)
	if limit := e.cfg.JournalLimit; limit > 0 && len(e.journal) >= 2*limit {
		e.journal = append(e.journal[:0], e.journal[len(e.journal)-limit:]...)
	}
}

func (e *Engine) recordSequence(k Kind, s *sequence, detail string) {
	e.record(Record{
		Kind: k, RequestID: s.req.RequestID, Model: s.req.Model,
		Offset: s.req.Offset, Tokens: s.generateOffset - s.req.Offset, Detail: detail,
	})
}

func (e *Engine) recordOrder(k Kind, o external.EngineOrder, detail string) {
	e.record(Record{Kind: k, Fence: o.Fence, Number: o.Number, Config: o.Config, Detail: detail})
}

func (e *Engine) recordViolation(v Violation) {
	v.At = time.Now()
	e.violations = append(e.violations, v)
}
