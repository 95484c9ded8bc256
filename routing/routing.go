// Package routing chooses the engines of a request: which one prefills the prompt and which one
// decodes the answer. A router considers a stable subset of the workers of a model, estimates the
// time of each pair, and prefers workers that have cached the prompt's prefix. The package does no
// I/O and takes the time as an argument.
package routing

import (
	"math"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Defaults of Config.
const (
	DefaultSubset       = 32
	DefaultShortPrefill = 512
	DefaultViewBound    = 2 * time.Second
	DefaultKVTokenBytes = 160 << 10
	DefaultBandwidth    = 10e9
	DefaultFarBandwidth = 1e9
	DefaultLatency      = 200 * time.Microsecond
	DefaultFarLatency   = 1500 * time.Microsecond
	DefaultLoadBound    = 1.25
	DefaultInterference = 0.05
)

// Config sets a Router. Zero fields take the defaults.
type Config struct {
	// Subset is the number of workers of a model above which a stable subset is used.
	Subset int
	// ShortPrefill is the most prompt tokens that a decode engine prefills itself.
	ShortPrefill int
	// ViewBound is the age of a worker's report above which the worker should be probed.
	ViewBound time.Duration
	// KVTokenBytes is the size of the KV cache of one token.
	KVTokenBytes float64
	// Bandwidth and Latency are those of a KV transfer within a data centre, FarBandwidth and
	// FarLatency those between data centres. Bandwidth is in bytes per second.
	Bandwidth, FarBandwidth float64
	Latency, FarLatency     time.Duration
	// LoadBound is the load, relative to the mean, up to which a prefix stays on its home worker.
	LoadBound float64
	// Interference weighs the delay that a prefill causes to the sequences decoding on the same
	// engine.
	Interference float64
	// Seed makes subsets differ between routers. It should be stable for one router.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Subset, DefaultSubset)
	setDefault(&c.ShortPrefill, DefaultShortPrefill)
	setDefault(&c.ViewBound, DefaultViewBound)
	setDefault(&c.KVTokenBytes, DefaultKVTokenBytes)
	setDefault(&c.Bandwidth, DefaultBandwidth)
	setDefault(&c.FarBandwidth, DefaultFarBandwidth)
	setDefault(&c.Latency, DefaultLatency)
	setDefault(&c.FarLatency, DefaultFarLatency)
	setDefault(&c.LoadBound, DefaultLoadBound)
	setDefault(&c.Interference, DefaultInterference)
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Request is what routing needs to know of a request.
type Request struct {
	Model string
	// DataCentre is that of the router.
	DataCentre   string
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Blocks are the hashes of the prompt's leading blocks.
	Blocks []uint64
	// FirstToken and BetweenTokens are the latency targets; zero means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Exclude are workers that already failed this request. At most MaxExclude are looked at.
	Exclude []string
}

// Pieces returns the pieces of KV cache that the request needs when its answer is complete.
func (r *Request) Pieces() int {
	return (r.PromptTokens + r.OutputTokens + external.PieceTokens - 1) / external.PieceTokens
}

// Reasons of decisions.
const (
	ReasonNone   = "no worker serves the model"
	ReasonSingle = "one engine: cheaper than moving the KV cache"
	ReasonShort  = "one engine: short prefill on a decode engine"
	ReasonPair   = "two engines: faster than one despite the KV transfer"
	ReasonPrefix = "prefix cached on the prefill engine"
	ReasonHome   = "home engine of the prefix"
)

// maxProbes bounds the probes per decision.
const maxProbes = 2

// Decision is the choice for one request. It is a value without references to the fleet beyond
// the chosen workers, so that it can be logged as one line.
type Decision struct {
	// Prefill and Decode are the chosen workers; they are equal if one engine does both. Both are
	// nil if no worker can take the request.
	Prefill, Decode *Worker
	// Considered is the number of candidates that were looked at.
	Considered int
	Reason     string
	// PrefillTokens is the expected prefill work after cache hits.
	PrefillTokens int
	// FirstToken, BetweenTokens and Transfer are the expected times; Total includes the answer.
	FirstToken, BetweenTokens, Transfer, Total time.Duration
	// Probe lists workers with an old view, oldest first; the rest is nil.
	Probe [maxProbes]*Worker
}

// Single tells whether one engine does both parts.
func (d *Decision) Single() bool { return d.Prefill != nil && d.Prefill == d.Decode }

// Router chooses workers. It is safe for concurrent use.
type Router struct {
	cfg    Config
	prefix *prefixTable
	pool   sync.Pool

	mu      sync.Mutex
	fleet   *Fleet
	subsets map[string][]*Worker
}

// New returns a router.
func New(cfg Config) *Router {
	return &Router{
		cfg:     cfg.withDefaults(),
		prefix:  newPrefixTable(),
		pool:    sync.Pool{New: func() any { return &scratch{} }},
		subsets: make(map[string][]*Worker),
	}
}

// CacheEvents takes a worker's cache events.
func (r *Router) CacheEvents(w *Worker, events []external.CacheEvent, now time.Time) {
	r.prefix.observe(w.hash, events, now)
}

// Sent tells that the request was sent as decided, so that its prefix will be cached.
func (r *Router) Sent(q *Request, d *Decision, now time.Time) {
	if d.Prefill == nil {
		return
	}
	r.prefix.mu.Lock()
	defer r.prefix.mu.Unlock()
	for _, b := range q.Blocks {
		r.prefix.note(b, d.Prefill.hash, sentConfidence, now)
	}
}

// Candidates returns the workers that the router uses for a model.
func (r *Router) Candidates(model string, f *Fleet) []*Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fleet != f {
		r.fleet = f
		clear(r.subsets)
	}
	s, ok := r.subsets[model]
	if !ok {
		s = f.subset(model, r.cfg.Subset, r.cfg.Seed)
		r.subsets[model] = s
	}
	return s
}

// Choose decides on a request.
func (r *Router) Choose(q *Request, f *Fleet, now time.Time) Decision {
	candidates := r.Candidates(q.Model, f)
	s := r.pool.Get().(*scratch)
	defer r.pool.Put(s)
	s.prepare(r, q, candidates, now)
	d := Decision{Considered: len(s.candidates), Reason: ReasonNone}
	s.bestDecodes(q)
	best := math.Inf(1)
	for i := range s.candidates {
		s.considerPrefill(r, q, i, &best)
	}
	if !math.IsInf(best, 1) {
		s.fill(q, &d)
	}
	d.Probe = s.probes(r.cfg.ViewBound)
	return d
}
