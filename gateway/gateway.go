// Package gateway serves callers whose requests pass through unchanged to backend servers that an
// operator's route table names. It decides which backend server gets a request, what is refused,
// what is sent again, and how an answer is relayed. How an installation spells all this on the wire
// is left to a Codec.
package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/retry"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/upstream"
)

// Part is one part of a prompt. Equal IDs are equal text.
type Part struct {
	ID     uint64
	Tokens int
}

// Call is what a caller declares about its request.
type Call struct {
	// ID names one attempt of one caller.
	ID string
	// Remaining is how long the caller waits; zero if it did not say.
	Remaining    time.Duration
	PromptTokens int
	OutputTokens int
	// Parts make up the prompt in order. The last one is the request's own.
	Parts []Part
	// After is the last event that the caller has, if it resumes a stream.
	After string
}

// Send is what a request to a backend server carries besides what the caller sent.
type Send struct {
	Server    *Server
	Remaining time.Duration
	Priority  int
	// Prefill asks for the prompt to be read only.
	Prefill bool
	// Source names the backend server and the handle of a prompt that was read there.
	Source string
	// After resumes a stream after this event.
	After string
}

// Load is the load that a backend server tells with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Mark is what an answer says about itself.
type Mark struct {
	// ID is the request that the answer belongs to; empty if it does not say.
	ID string
	// Signed answers were made by a backend server that worked on the request.
	Signed bool
	// NotRun promises that the request did not run.
	NotRun bool
	// Elsewhere means that another backend server has the address.
	Elsewhere bool
	Load      *Load
}

// Codec spells requests and answers as the installation does.
type Codec interface {
	// Call reads what a caller declares.
	Call(r *http.Request) Call
	// Header returns the header of a request to a backend server.
	Header(received http.Header, s *Send) http.Header
	// Answer returns the header of an answer to the caller.
	Answer(received http.Header) http.Header
	// Mark reads what an answer says about itself.
	Mark(status int, h http.Header) Mark
	// Handle reads the handle of a prompt that was read.
	Handle(body []byte) (string, error)
	// Release returns the request that frees a handle.
	Release(handle string) (method, target string)
	// Refusal sets the header that tells a caller when to come back.
	Refusal(h http.Header, after time.Duration)
}

// Config sets a Gateway.
type Config struct {
	// Instance and DataCentre are those of this process.
	Instance   string
	DataCentre string
	// RetryWindow, RetryShare and RetrySlack bound the requests that are sent again to one service,
	// as a share of the requests for it in a sliding window.
	RetryWindow time.Duration
	RetryShare  float64
	RetrySlack  float64
}

// Gateway serves callers. It is safe for concurrent use.
// Lock order: Gateway.mu or Roster.mu, then live.mu of one backend server; Decider.mu and prefixes.mu are held alone.
type Gateway struct {
	cfg     Config
	codec   Codec
	tables  *route.Holder
	roster  *Roster
	pool    *upstream.Pool
	decider *Decider
	metrics Metrics
	log     logrus.FieldLogger

	mu      sync.Mutex
	budgets map[string]*retry.Window
}

// Metrics counts what happens to requests.
type Metrics interface {
	Request(service, kind, outcome string, elapsed time.Duration)
	Refusal(service, reason string)
	FirstEvent(service, kind string, d time.Duration)
	// Pause is the time between two events of a stream.
	Pause(service string, d time.Duration)
	Attempt(service, outcome string)
	Prompt(service string, p PromptTokens)
	RoleOrder(service, role, outcome string)
}

// PromptTokens is where the tokens of a prompt came from, as expected by the choice of servers.
type PromptTokens struct {
	// Kept were in the memory of the backend server that read the prompt, Read were read by it, and
	// Moved were fetched by another one that generated the answer.
	Kept, Read, Moved float64
}

// New returns a gateway.
func New(cfg Config, codec Codec, tables *route.Holder, roster *Roster, pool *upstream.Pool, m Metrics, log logrus.FieldLogger) *Gateway {
	return &Gateway{
		cfg: cfg, codec: codec, tables: tables, roster: roster, pool: pool, decider: NewDecider(cfg.DataCentre, roster, rand.Float64),
		metrics: m, log: log, budgets: make(map[string]*retry.Window),
	}
}

// Ready tells whether requests can be served, or why not.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.tables.Table() == nil:
		return false, "no configuration yet"
	case g.roster.Len() == 0:
		return false, "no backend servers yet"
	}
	return true, ""
}

// budgetUse is the part of the retry budget that is used. Requests count here when they arrive, and
// for the callers when they send them; a process that is replaced forgets what it has counted.
const budgetUse = 0.9

func (g *Gateway) budget(service string) *retry.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.NewWindow(g.cfg.RetryWindow, budgetUse*g.cfg.RetryShare, g.cfg.RetrySlack)
		g.budgets[service] = b
	}
	return b
}
