// Package entry is the role that serves callers: it parses and admits requests, routes them
// to sidecars, relays answers, resumes them after failures and serves the system's other
// processes.
package entry

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/document"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/rpc"
)

// Config describes one entry.
type Config struct {
	Cluster     string
	Instance    string
	DataCentre  string
	Incarnation string
	// MaxBodyBytes bounds a request body before its service is known.
	MaxBodyBytes int64
	// WriteTimeout bounds one write to a slow reader.
	WriteTimeout time.Duration
}

// Documents is what the entry needs from the documents in force.
type Documents interface {
	// Lookup returns a service's document and its revision, nil if there is none.
	Lookup(service string) (*document.Service, uint64)
	// Services returns all documents in force.
	Services() []*document.Service
	// Observe reports a revision seen in traffic, so that a process that is behind catches up.
	Observe(service string, revision uint64)
}

// Worker is a candidate for an attempt.
type Worker struct {
	Instance    string
	Address     string
	Incarnation string
	// Prefill is the worker that prefills the prompt, nil if this one does.
	Prefill *Worker
}

// Picker chooses workers and learns from what happens to attempts.
type Picker interface {
	// Pick returns a worker for the next attempt of a request.
	Pick(p PickRequest) (Worker, string, error)
	// Sent and Done report the start and the end of an attempt.
	Sent(w Worker, p PickRequest)
	Done(w Worker, p PickRequest, r Result)
}

// PickRequest describes an attempt to the picker.
type PickRequest struct {
	RequestID    string
	Service      string
	Model        string
	Adapter      string
	Prefix       []uint64
	PromptTokens int
	MaxTokens    int
	Repeatable   bool
	// FirstToken and BetweenTokens are the latency targets, zero for none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Tried holds the instances of earlier attempts.
	Tried []string
}

// Result is how an attempt ended.
type Result struct {
	Outcome           v1.Outcome
	Reason            v1.Reason
	ConnectionRefused bool // the connection was refused
	TimedOut          bool // the worker stopped answering
	ConnectionBroken  bool // the connection broke
	Load              *v1.LoadReport
	FirstToken        time.Duration
	Tokens            uint64
	Elapsed           time.Duration
}

// Metrics receives the entry's measurements.
type Metrics interface {
	Request(service, kind string, outcome string, reason Reason, onTime bool, elapsed time.Duration)
	FirstToken(service, kind string, d time.Duration)
	BetweenTokens(service, kind string, d time.Duration)
	Retry(service string, cause v1.Reason)
}

// Entry serves callers.
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
	// Admit returns a release function, or the error for the caller.
	Admit(a AdmitRequest) (release func(), priority int, err *Error)
}

// AdmitRequest describes a request to the admitter.
type AdmitRequest struct {
	Caller   string
	Service  *document.Service
	Kind     *document.Kind
	Deadline time.Time
	Pick     PickRequest
	Now      time.Time
}

// RetryBudget bounds retries to a share of fresh traffic.
type RetryBudget interface {
	Fresh(now time.Time)
	Take(now time.Time) bool
	// Backoff returns the wait before a retry, counted from 1.
	Backoff(retry int, retryAfter time.Duration, rnd *rand.Rand) time.Duration
}

// Options are the entry's collaborators.
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

// New returns an entry.
func New(cfg Config, o Options) *Entry {
	return &Entry{
		cfg: cfg, docs: o.Documents, picker: o.Picker, clients: o.Clients, admitter: o.Admitter,
		budget: o.Budget, claims: o.Claims, metrics: o.Metrics, log: o.Log, decisions: o.Decisions,
	}
}
