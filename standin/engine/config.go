// Package engine simulates a model engine for tests. It models continuous batching, a prefix cache,
// request priorities, deterministic answers that can be resumed, KV cache transfer, delayed cache
// events, stale load reports, configuration orders and faults.
package engine

import (
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Defaults of Config. A full step of a mixed engine with 32 running answers takes 4 ms + 1,024 × 9 µs
// + 32 × 60 µs, about 15 ms, which is a prefill rate of 68,000 tokens/s.
const (
	DefaultStepBase     = 4 * time.Millisecond
	DefaultPrefillCost  = 9 * time.Microsecond
	DefaultSequenceCost = 60 * time.Microsecond
	DefaultPrefillChunk = 1024
	DefaultPieces       = 512
	DefaultMaxRunning   = 64
	DefaultMaxQueued    = 1024
	DefaultCacheBlocks  = 1024
	DefaultOrderTime    = 5 * time.Second
	DefaultEventDelay   = time.Second
	DefaultEventGap     = 8
)

const (
	// A prefill engine prefills more tokens per step than a mixed engine. A decode engine prefills
	// fewer, which keeps its steps and therefore the time between tokens short.
	prefillBudgetFactor = 2
	decodeBudgetDivisor = 4
	// maxKVCaches is the maximum number of requests whose KV cache can be exported, and of imported
	// KV caches.
	maxKVCaches = 256
	// minLoggedEvents is the minimum number of latest cache events that are kept.
	minLoggedEvents = 4096
)

// Config sets an engine's capacity, speed and behaviour. Zero values select the defaults.
type Config struct {
	// Name and Seed determine the start IDs; Seed also determines which cache events are lost.
	Name string
	Seed uint64
	// Initial is the engine configuration at the first start.
	Initial external.EngineConfig

	// A step takes StepBase + PrefillCost per prefilled token + SequenceCost per running answer.
	StepBase     time.Duration
	PrefillCost  time.Duration
	SequenceCost time.Duration
	// PrefillChunk is the maximum number of prefilled tokens per step of a mixed engine.
	PrefillChunk int
	// Pieces is the capacity in units of external.PieceTokens tokens. A request reserves the pieces of
	// its prompt and its longest possible answer.
	Pieces int
	// MaxRunning and MaxQueued are the maximum numbers of running and queued requests.
	MaxRunning int
	MaxQueued  int
	// CacheBlocks is the capacity of the prefix cache in blocks of enginewire.BlockTokens tokens.
	CacheBlocks int

	// LoadLag is the age of the load that Load reports.
	LoadLag time.Duration
	// EventDelay is the time before a cache event is reported; a negative value means no delay.
	EventDelay time.Duration
	// About one in EventGap cache events is lost; a negative value means that none is.
	EventGap int

	// OrderTime is the duration of an order.
	OrderTime time.Duration
	// CheckFence makes the engine refuse orders with a fence number below the highest one seen.
	CheckFence bool

	// Instant makes each call of Next generate a token, without step time, batching or limits.
	Instant bool
	// JournalLimit bounds the journal, which keeps at least this many of the latest records and fewer
	// than twice as many. 0 keeps all.
	JournalLimit int
}

func (c Config) withDefaults() Config {
	c.StepBase = orDefault(c.StepBase, DefaultStepBase)
	c.PrefillCost = orDefault(c.PrefillCost, DefaultPrefillCost)
	c.SequenceCost = orDefault(c.SequenceCost, DefaultSequenceCost)
	c.PrefillChunk = orDefault(c.PrefillChunk, DefaultPrefillChunk)
	c.Pieces = orDefault(c.Pieces, DefaultPieces)
	c.MaxRunning = orDefault(c.MaxRunning, DefaultMaxRunning)
	c.MaxQueued = orDefault(c.MaxQueued, DefaultMaxQueued)
	c.CacheBlocks = orDefault(c.CacheBlocks, DefaultCacheBlocks)
	c.EventDelay = orDefault(c.EventDelay, DefaultEventDelay)
	c.EventGap = orDefault(c.EventGap, DefaultEventGap)
	c.OrderTime = orDefault(c.OrderTime, DefaultOrderTime)
	return c
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
