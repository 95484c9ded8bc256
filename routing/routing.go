// Package routing chooses the workers of a request: the one that prefills the prompt and the one
// that decodes the answer, which may be the same. Each worker runs one engine, so an engine in the
// reasons of decisions means its worker. A router considers a stable subset of the workers that
// serve the model, estimates the cost of each pair, and prefers workers that have cached a prefix
// of the prompt. The package does no I/O and takes the current time as an argument.
package routing

import (
	"math"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Default values of Config.
const (
	DefaultSubset             = 32
	DefaultMaxShortPrefill    = 512
	DefaultMaxReportAge       = 2 * time.Second
	DefaultKVTokenBytes       = 160 << 10
	DefaultBandwidth          = 10e9
	DefaultRemoteBandwidth    = 1e9
	DefaultLatency            = 200 * time.Microsecond
	DefaultRemoteLatency      = 1500 * time.Microsecond
	DefaultHomeLoadBound      = 1.25
	DefaultInterferenceWeight = 0.05
)

// Config holds the settings of a Router. Zero fields take the defaults.
type Config struct {
	// Subset is the maximum number of workers that the router uses per model. If more serve the
	// model, it uses a stable subset of this size.
	Subset int
	// MaxShortPrefill is the maximum number of prompt tokens that a decode worker prefills itself.
	MaxShortPrefill int
	// MaxReportAge is the age of a worker's load report beyond which the worker should be probed.
	MaxReportAge time.Duration
	// KVTokenBytes is the size in bytes of the KV cache of one token.
	KVTokenBytes float64
	// Bandwidth and Latency apply to a KV cache transfer within a data centre, RemoteBandwidth and
	// RemoteLatency to one between data centres. Bandwidths are in bytes per second.
	Bandwidth, RemoteBandwidth float64
	Latency, RemoteLatency     time.Duration
	// The home worker of a prefix is the one that rendezvous hashing of its first block selects.
	// HomeLoadBound is the maximum prefill queue of a home worker, as a multiple of the mean queue, in
	// tokens, that results when the prompt is added. If its queue is longer, the worker with the next highest hash score becomes
	// the home of the prefix.
	HomeLoadBound float64
	// InterferenceWeight is the weight, in the cost of a choice, of the delay that a prefill causes to
	// each sequence decoded on the same worker.
	InterferenceWeight float64
	// Seed selects the router's subsets. It should differ between routers and stay the same for one
	// router.
	Seed uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Subset, DefaultSubset)
	setDefault(&c.MaxShortPrefill, DefaultMaxShortPrefill)
	setDefault(&c.MaxReportAge, DefaultMaxReportAge)
	setDefault(&c.KVTokenBytes, DefaultKVTokenBytes)
	setDefault(&c.Bandwidth, DefaultBandwidth)
	setDefault(&c.RemoteBandwidth, DefaultRemoteBandwidth)
	setDefault(&c.Latency, DefaultLatency)
	setDefault(&c.RemoteLatency, DefaultRemoteLatency)
	setDefault(&c.HomeLoadBound, DefaultHomeLoadBound)
	setDefault(&c.InterferenceWeight, DefaultInterferenceWeight)
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Model string
	// DataCentre is the data centre of the router.
	DataCentre   string
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Blocks are the hashes of the prompt's leading blocks, from BlockHashes.
	Blocks []uint64
	// FirstToken and BetweenTokens are the latency targets. Zero means none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Exclude holds the IDs of workers on which this request has already failed.
	Exclude []string
}

// Pieces returns the number of KV cache pieces that the request occupies once its answer is complete.
func (r *Request) Pieces() int {
	return (r.PromptTokens + r.OutputTokens + external.PieceTokens - 1) / external.PieceTokens
}

// Reasons for a decision.
const (
	ReasonNoWorker     = "no worker serves the model"
	ReasonSingle       = "one engine: cheaper than moving the KV cache"
	ReasonShortPrefill = "one engine: short prefill on a decode engine"
	ReasonPair         = "two engines: faster than one despite the KV transfer"
	ReasonPrefixCached = "prefix cached on the prefill engine"
	ReasonHomeWorker   = "home engine of the prefix"
)

// maxProbes is the maximum number of workers to probe per decision.
const maxProbes = 2

// Decision is the result of routing one request. It can be logged as one line: it refers only to
// the chosen workers and those to probe, not to the fleet.
type Decision struct {
	// Prefill and Decode are the chosen workers, which are the same if one worker does both parts.
	// Both are nil if no worker can take the request.
	Prefill, Decode *Worker
	// Considered is the number of workers in the router's subset, without those that the request
	// excludes.
	Considered int
	Reason     string
	// PrefillTokens is the expected number of prompt tokens to prefill after cache hits.
	PrefillTokens int
	// Expected times: to the first token, between tokens, of the KV cache transfer, and until the
	// answer is complete.
	FirstToken, BetweenTokens, Transfer, Total time.Duration
	// Probe holds the workers with the oldest load reports beyond MaxReportAge, oldest first. Unused
	// elements are nil.
	Probe [maxProbes]*Worker
}

// Single reports whether one worker both prefills and decodes.
func (d *Decision) Single() bool { return d.Prefill != nil && d.Prefill == d.Decode }

// Router chooses the workers of requests. It is safe for concurrent use.
type Router struct {
	cfg         Config
	prefix      *prefixTable
	scratchPool sync.Pool

	mu      sync.Mutex
	fleet   *Fleet
	subsets map[string][]*Worker
}

// New returns a Router with the given settings.
func New(cfg Config) *Router {
	return &Router{
		cfg:         cfg.withDefaults(),
		prefix:      newPrefixTable(),
		scratchPool: sync.Pool{New: func() any { return &scratch{} }},
		subsets:     make(map[string][]*Worker),
	}
}

// ObserveCacheEvents applies the cache events of a worker.
func (r *Router) ObserveCacheEvents(w *Worker, events []external.CacheEvent, now time.Time) {
	r.prefix.observe(w.idHash, events, now)
}

// RecordSent records that the prefill worker of the decision has probably cached the prefix of the
// request, since the request was sent there.
func (r *Router) RecordSent(q *Request, d *Decision, now time.Time) {
	if d.Prefill == nil {
		return
	}
	r.prefix.mu.Lock()
	defer r.prefix.mu.Unlock()
	for _, b := range q.Blocks {
		r.prefix.record(b, d.Prefill.idHash, sentConfidence, now)
	}
}

// Subset returns the subset of the workers that the router uses for a model.
func (r *Router) Subset(model string, f *Fleet) []*Worker {
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

// Choose returns the decision with the lowest expected cost for the request, or one without workers
// if none can take it. The cost is in seconds: the expected times plus the penalties of
// latenessWeight, fullWorkerPenaltySeconds and Config.InterferenceWeight.
func (r *Router) Choose(q *Request, f *Fleet, now time.Time) Decision {
	subset := r.Subset(q.Model, f)
	s := r.scratchPool.Get().(*scratch)
	defer r.scratchPool.Put(s)
	s.prepare(r, q, subset, now)
	d := Decision{Considered: len(s.candidates), Reason: ReasonNoWorker}
	s.findCheapestDecoders(q)
	bestCost := math.Inf(1)
	for i := range s.candidates {
		s.evaluatePrefill(r, q, i, &bestCost)
	}
	if !math.IsInf(bestCost, 1) {
		s.fillDecision(q, &d)
	}
	d.Probe = s.selectProbes(r.cfg.MaxReportAge)
	return d
}
