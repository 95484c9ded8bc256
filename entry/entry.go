// Package entry implements the entry role, which accepts requests from callers. It parses and
// admits requests, routes them to sidecars, streams back the answers and resumes them on another
// worker after a failure. It also serves documents, claims and status to the other processes of
// the cluster.
package entry

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/document"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/rpc"
)

// Config configures one entry.
type Config struct {
	Cluster string
	// Instance is the ID of this entry.
	Instance   string
	DataCentre string
	// Incarnation identifies this start of the process.
	Incarnation string
	// MaxBodyBytes bounds a request body independently of the limit of its service, which is only
	// known after parsing.
	MaxBodyBytes int64
	// WriteTimeout bounds each write to a caller, so that slow readers do not block forever.
	WriteTimeout time.Duration
}

// Documents gives access to the active configuration documents.
type Documents interface {
	// Lookup returns the document of a service and its revision, or nil if there is none.
	Lookup(service string) (*document.Service, uint64)
	// Services returns all active documents.
	Services() []*document.Service
	// Observe reports a revision that was seen in traffic, so that a process with an older one
	// fetches the update.
	Observe(service string, revision uint64)
}

// Worker is the target of an attempt.
type Worker struct {
	// Instance is the ID of the worker.
	Instance string
	Address  string
	// Incarnation identifies one start of the worker's process.
	Incarnation string
	// Prefill is the worker that runs the prefill phase, or nil if this worker runs both phases.
	Prefill *Worker
}

// Picker selects workers and adjusts its estimates by the results of attempts.
type Picker interface {
	// Pick returns a worker for the next attempt of a request, and the reason of the choice for
	// logs.
	Pick(p PickRequest) (Worker, string, error)
	// Sent and Done report the start and the end of an attempt.
	Sent(w Worker, p PickRequest)
	Done(w Worker, p PickRequest, r Result)
}

// PickRequest holds the properties of a request that affect the choice of a worker.
type PickRequest struct {
	RequestID string
	Service   string
	Model     string
	Adapter   string
	// Prefix holds the hashes of the leading blocks of the prompt.
	Prefix       []uint64
	PromptTokens int
	MaxTokens    int
	Repeatable   bool
	// FirstToken and BetweenTokens are the latency targets, zero for none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Tried lists the instances of earlier attempts, which are excluded.
	Tried []string
}

// Result describes how an attempt ended.
type Result struct {
	Outcome           v1.Outcome
	Reason            v1.Reason
	ConnectionRefused bool // no connection could be established
	TimedOut          bool // the next frame did not arrive in time, or the deadline passed
	ConnectionBroken  bool // the stream ended before the final frame for another reason
	Load              *v1.LoadReport
	// FirstToken is the time from the start of the attempt to its first token.
	FirstToken time.Duration
	// Tokens is the number of tokens that the attempt delivered.
	Tokens uint64
	// Elapsed is the duration of the attempt, or 0 if an invalid frame or a failed write to the caller
	// ended it.
	Elapsed time.Duration
}

// Metrics records measurements of requests.
type Metrics interface {
	// Request records a finished request. onTime is true if it was completed within its total
	// deadline.
	Request(service, kind string, outcome string, reason Reason, onTime bool, elapsed time.Duration)
	// FirstToken records the time from the acceptance of a request to its first token.
	FirstToken(service, kind string, d time.Duration)
	// BetweenTokens records the time since the previous frame, divided by the tokens of this frame.
	BetweenTokens(service, kind string, d time.Duration)
	// Retry records a retry. cause is the reason why the previous attempt failed.
	Retry(service string, cause v1.Reason)
}

// Entry serves the requests of callers.
type Entry struct {
	cfg       Config
	docs      Documents
	picker    Picker
	clients   *rpc.Clients
	admitter  Admitter
	budget    RetryBudget
	claims    Claimer
	metrics   Metrics
	log       logrus.FieldLogger
	decisions *DecisionLog
}

// Admitter decides whether a request may start.
type Admitter interface {
	// Admit returns a function to call when the request ends and the engine priority of the request,
	// or the error to return to the caller. Engines serve lower priority numbers first.
	Admit(a AdmitRequest) (release func(), priority int, err *Error)
}

// AdmitRequest holds the properties of a request that affect its admission.
type AdmitRequest struct {
	Caller   string
	Service  *document.Service
	Kind     *document.Kind
	Deadline time.Time
	Pick     PickRequest
	Now      time.Time
}

// RetryBudget limits retries to a fraction of the new requests.
type RetryBudget interface {
	// RecordFirstAttempt counts a new request.
	RecordFirstAttempt(now time.Time)
	// Take reports whether the budget allows a retry, and counts it if so.
	Take(now time.Time) bool
	// Backoff returns the wait before a retry. The first retry is number 1. The wait is at least
	// retryAfter, which the worker asked for, or 0 if it asked for none.
	Backoff(retry int, retryAfter time.Duration, rnd *rand.Rand) time.Duration
}

// Options holds the dependencies of an Entry.
type Options struct {
	Documents Documents
	Picker    Picker
	Clients   *rpc.Clients
	Admitter  Admitter
	Budget    RetryBudget
	Claims    Claimer
	Metrics   Metrics
	Log       logrus.FieldLogger
	Decisions *DecisionLog
}

// New returns an Entry with the given configuration and dependencies.
func New(cfg Config, o Options) *Entry {
	return &Entry{
		cfg: cfg, docs: o.Documents, picker: o.Picker, clients: o.Clients, admitter: o.Admitter,
		budget: o.Budget, claims: o.Claims, metrics: o.Metrics, log: o.Log, decisions: o.Decisions,
	}
}
