// Package gateway is a reverse proxy that forwards requests unchanged to backend servers named by
// the operator's route table. It selects a backend server for each request, rejects requests that
// cannot be served in time, retries failed attempts within a budget and relays the responses. The
// header and body formats of an installation are left to a Codec.
package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/account"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/retry"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/upstream"
)

// PromptPart is one section of a prompt. Parts with equal IDs have equal text.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// RequestMetadata holds the metadata that a caller sends with its request.
type RequestMetadata struct {
	// ID identifies the request. A caller that retries sends a new one.
	ID string
	// Remaining is the time that the caller is still willing to wait; zero if it did not say.
	Remaining    time.Duration
	PromptTokens int
	OutputTokens int
	// Parts lists the sections of the prompt in order. The last one is specific to this request.
	Parts []PromptPart
	// LastEventID is the ID of the last event that the caller received, if it resumes a stream.
	LastEventID string
}

// ForwardedRequest holds what the gateway adds to a request that it forwards to a backend server.
type ForwardedRequest struct {
	Server    *Server
	Remaining time.Duration
	// Priority is the rank of the request's route. 0 is the most urgent.
	Priority int
	// Prefill asks the backend server only to prefill the prompt, without generating an answer.
	Prefill bool
	// PrefillSource is <address>/<handle> of the prefilled prompt: the address of the backend server that
	// prefilled it and the handle of the result there. It is empty if the prompt was not prefilled
	// elsewhere.
	PrefillSource string
	// LastEventID is the ID of the event after which the stream resumes.
	LastEventID string
	// Account is the name of the client account for which the request runs; empty if there is none.
	Account string
	// HideKey removes the caller's API key.
	HideKey bool
}

// Load is the load that a backend server reports with a response. Running counts the requests in
// slots and Waiting those that wait for one; Slots is the capacity in requests.
type Load struct {
	Running, Waiting, Slots int
	// WorkTimePercent is how long work takes on the backend server's machine at the time of the report, in percent of
	// the usual time. It is 0 if the server doesn't report it.
	WorkTimePercent float64
}

// ResponseMetadata is the metadata of a response.
type ResponseMetadata struct {
	// ID is the ID of the request that the response answers; empty if the response has none.
	ID string
	// FromServer is true if the response carries the header with which backend servers mark their own
	// responses. Its value is not verified.
	FromServer bool
	// NotRun is true if the backend server guarantees that it did not run the request.
	NotRun bool
	// TellsNotRun is true if a caller that gets the status concludes that the request did not run. The backend
	// server itself guarantees that only with NotRun or AddressReused.
	TellsNotRun bool
	// AddressReused is true if the address now belongs to another backend server.
	AddressReused bool
	// Load is nil if the response has no load or an unreadable one. OddLoad is the beginning of an unreadable one.
	Load    *Load
	OddLoad string
	// Leaving is true if the backend server says that it leaves.
	Leaving bool
	// Rest is for how long the backend server, which refused the request, wants no further ones. OddRest is its
	// wish as received if that can't be read.
	Rest    time.Duration
	OddRest string
}

// Codec translates requests and responses to and from the wire format of an installation.
type Codec interface {
	// RequestMetadata decodes the metadata of a caller's request.
	RequestMetadata(r *http.Request) RequestMetadata
	// Header returns the header to send to a backend server.
	Header(received http.Header, s *ForwardedRequest) http.Header
	// Answer returns the header to send to the caller.
	Answer(received http.Header) http.Header
	// ResponseMetadata decodes the metadata of a response.
	ResponseMetadata(status int, h http.Header) ResponseMetadata
	// Key returns the digest of the API key in a caller's header. ok is false if there is none, or not exactly one.
	Key(h http.Header) (key account.Digest, ok bool)
	// Challenge sets the header that tells a caller which kind of key is needed.
	Challenge(h http.Header)
	// PartNames returns the names of the parts of a prompt as the caller sent them, in order.
	PartNames(r *http.Request) []string
	// Handle decodes the handle of a prefilled prompt from a response body.
	Handle(body []byte) (string, error)
	// Release returns the method and target of the request that releases a handle.
	Release(handle string) (method, target string)
	// Refusal sets the header that tells a refused caller when to retry.
	Refusal(h http.Header, after time.Duration)
}

// Config configures a Gateway.
type Config struct {
	// Instance and DataCentre identify this process and its location.
	Instance   string
	DataCentre string
	// RetryWindow, RetryShare and RetrySlack limit the retries per service: in a sliding window, at
	// most the given share of the service's requests plus the slack.
	RetryWindow time.Duration
	RetryShare  float64
	RetrySlack  float64
	// MaxRest limits for how long a backend server may refuse all requests at once.
	MaxRest time.Duration
	// RevocationBound, if above 0, is the age of the last confirmation of the configuration by the store from which
	// requests that need an API key are refused: a key may have been dropped meanwhile.
	RevocationBound time.Duration
	// Usage counts the runs of client accounts; nil if they are not counted.
	Usage UsageRecorder
	// MemoryBudget limits the bytes of requests in progress, with their bodies and buffered responses; 0 is
	// defaultMemoryBudget.
	MemoryBudget int64
}

// UsageRecorder counts the runs of client accounts.
type UsageRecorder interface {
	// RunBegan is called when a run of an account has begun on a backend server.
	RunBegan(account string, at time.Time)
	// RunSent is called when a request of an account is sent that begins to run when it arrives, and settle when it is
	// known whether it did.
	RunSent(account string, at time.Time) (settle func(began bool))
}

// Gateway forwards callers' requests to backend servers. It is safe for concurrent use.
//
// Lock order: Roster.mu before serverState.mu of a single backend server. The other locks are never
// held together with another one.
type Gateway struct {
	cfg     Config
	codec   Codec
	tables  *route.ActiveTable
	roster  *Roster
	pool    *upstream.Pool
	decider *Decider
	memory  *memoryBudget
	crashes *crashWatch
	stop    *stopState
	// quarantine refuses requests under which backend servers crash.
	quarantine *Quarantine
	// accounts counts the requests of client accounts for operators.
	accounts accountTotals
	metrics  Metrics
	// guard contains the panics of background tasks.
	guard *contain.Guard
	log   logrus.FieldLogger

	mu           sync.Mutex
	retryBudgets map[string]*retry.WindowBudget
}

// Metrics records request metrics.
type Metrics interface {
	// Request records the outcome of a request and the time from its arrival to its end.
	Request(service, kind, outcome string, elapsed time.Duration)
	// Refusal records a request that was refused or rejected as invalid.
	Refusal(service, reason string)
	// FirstEvent records the time from a request's arrival to its first event.
	FirstEvent(service, kind string, d time.Duration)
	// EventGap records the time between two consecutive events of a stream.
	EventGap(service string, d time.Duration)
	// BrokenStream records a stream that a backend server broke off, and how its body was framed.
	BrokenStream(service, framing string)
	// Crash records a backend server that crashed while it processed prompts of this process.
	Crash(service string)
	// LostPrefill records a prefilled prompt that could not be fetched and is read again.
	LostPrefill(service string)
	// Hold records that a backend server gets no requests because it said that it leaves or rests.
	Hold(service, reason string)
	// Attempt records the result of sending a request to one backend server.
	Attempt(service, outcome string)
	// PromptTokens records the origin of the tokens of a prompt.
	PromptTokens(service string, p PromptTokens)
	// RoleOrder records the outcome of an order to change to a role.
	RoleOrder(service, role, outcome string)
}

// PromptTokens counts the tokens of a prompt by origin, as expected when the backend servers were
// selected.
type PromptTokens struct {
	// Cached tokens were in the cache of the backend server that prefilled the prompt, Prefilled
	// tokens were processed by it, and Transferred tokens were transferred from it to the one that
	// generated the answer.
	Cached, Prefilled, Transferred float64
}

// New returns a Gateway.
func New(cfg Config, codec Codec, tables *route.ActiveTable, roster *Roster, pool *upstream.Pool, q *Quarantine, m Metrics, guard *contain.Guard, log logrus.FieldLogger) *Gateway {
	return &Gateway{
		cfg: cfg, memory: newMemoryBudget(cfg.MemoryBudget), codec: codec, tables: tables, roster: roster, pool: pool, decider: NewDecider(cfg.DataCentre, roster, rand.Float64),
		stop: newStopState(), crashes: newCrashWatch(pool.Probe, q.recordCrashes, m, guard, log), quarantine: q, metrics: m, guard: guard, log: log, retryBudgets: make(map[string]*retry.WindowBudget),
	}
}

// Ready reports whether requests can be served, and if not, the reason.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.tables.Table() == nil:
		return false, "no configuration yet"
	case g.roster.Len() == 0:
		return false, "no backend servers yet"
	}
	return true, ""
}

// retryBudgetFraction is the fraction of the configured retry budget that is used. The rest is a
// margin for the difference from a count made by callers, who count requests when they send them and
// not when they arrive here, and for counts lost in a restart.
const retryBudgetFraction = 0.9

func (g *Gateway) retryBudget(service string) *retry.WindowBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[service]
	if b == nil {
		b = retry.NewWindowBudget(g.cfg.RetryWindow, retryBudgetFraction*g.cfg.RetryShare, g.cfg.RetrySlack)
		g.retryBudgets[service] = b
	}
	return b
}
