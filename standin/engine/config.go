// Package engine is a stand-in for a model engine: continuous batching, a prefix cache,
// priorities, resumable deterministic answers, KV cache transfer, late cache events, lagging
// load reports, orders and faults. It is test equipment.
package engine

import (
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Defaults of Config. A full step of a mixed engine takes 4 ms + 1,024 × 9 µs + 32 × 60 µs,
// about 15 ms, which is 68,000 prefill tokens/s beside 32 running answers.
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
	// A prefill engine prefills more tokens per step, a decode engine fewer, so that its steps
	// and thereby the time between tokens stay short.
	prefillRoleFactor = 2
	decodeRoleDivisor = 4
	// exportedRequests is the number of finished requests whose KV cache can still be exported,
	// and of imported KV caches that are kept.
	exportedRequests = 256
	// eventLogLength is the number of cache events kept.
	eventLogLength = 4096
)

// Config sets an engine's size, speed and behaviour. Zero values take the defaults.
type Config struct {
	// Name and Seed make start IDs and event gaps deterministic.
	Name string
	Seed uint64
	// Initial is the configuration at the first start.
	Initial external.EngineConfig

	// Step time is StepBase + PrefillCost per prefilled token + SequenceCost per running answer.
	StepBase     time.Duration
	PrefillCost  time.Duration
	SequenceCost time.Duration
	// PrefillChunk bounds the prefill tokens per step of a mixed engine.
	PrefillChunk int
	// Pieces is the capacity in pieces of external.PieceTokens tokens. A request reserves pieces
	// for its prompt and its longest answer.
	Pieces     int
	MaxRunning int
	MaxQueued  int
	// CacheBlocks bounds the prefix cache in blocks of enginewire.BlockTokens tokens.
	CacheBlocks int

	// LoadLag is the age of load reports. Their granularity is LoadLag/32.
	LoadLag time.Duration
	// EventDelay passes before a cache event shows; one in EventGap events is lost (negative: none).
	EventDelay time.Duration
	EventGap   int

	// OrderTime is how long an order takes.
	OrderTime time.Duration
	// CheckFence makes the engine refuse orders with a fence number below the highest seen.
	CheckFence bool

	// Instant generates a token at each call of Next without step time, batching or limits.
	Instant bool
	// JournalLimit bounds the journal to the latest records; 0 means no bound.
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
