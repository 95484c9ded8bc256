package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

// loadSamplesPerLag is the number of load samples that cover one Config.LoadLag.
const loadSamplesPerLag = 32

type loadSample struct {
	at   time.Time
	load external.EngineLoad
}

// Engine is a simulated model engine. It is safe for concurrent use. The step loop runs only while
// there are requests, so an idle engine has no goroutine.
type Engine struct {
	cfg      Config
	closed   chan struct{}
	stepLoop sync.WaitGroup

	mu           sync.Mutex
	state        external.EngineState
	down         bool
	isClosed     bool
	starts       uint64
	stepping     bool
	queue        []*sequence // waiting, ordered by priority, then arrival
	running      []*sequence // admitted, ordered by priority, then arrival
	instant      map[*sequence]struct{}
	arrivals     uint64
	freePieces   int
	cache        *prefixCache
	kv           *kvCache
	loadSamples  []loadSample
	currentOrder *runningOrder
	// highestFence and orderConfigs survive crashes, because they are used only to detect violations.
	highestFence       uint64
	orderConfigs       map[orderID]external.EngineConfig
	loseOrderResponses int
	journal            []Record
	violations         []Violation
}

var _ external.Engine = (*Engine)(nil)

// New returns a running engine.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:          cfg.withDefaults(),
		closed:       make(chan struct{}),
		orderConfigs: map[orderID]external.EngineConfig{},
	}
	e.startProcess(cfg.Initial)
	return e
}

// startProcess resets the state to that of a newly started process.
func (e *Engine) startProcess(c external.EngineConfig) {
	e.starts++
	id := splitMix64(xxhash.Sum64String(e.cfg.Name) ^ splitMix64(e.cfg.Seed+e.starts))
	e.state = external.EngineState{Config: cloneConfig(c), StartID: fmt.Sprintf("%016x", id)}
	e.down = false
	e.freePieces = e.cfg.Pieces
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
	e.kv = newKVCache()
	e.loadSamples = nil
	e.instant = map[*sequence]struct{}{}
	e.recordLoad()
}

// Close ends all requests and waits for the step loop to return.
func (e *Engine) Close() error {
	e.mu.Lock()
	if !e.isClosed {
		e.isClosed = true
		e.stop("engine closed")
		close(e.closed)
	}
	e.mu.Unlock()
	e.stepLoop.Wait()
	return nil
}

// Crash simulates a crash of the engine's process: all streams and a running order fail, and every
// call fails until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.record(Record{Kind: Crashed})
		e.stop("engine crashed")
	}
}

// Restart starts the engine again, crashing it first if it is up. The given configuration is usually
// empty, but tests may pass a wrong one. Order and fence numbers are reset.
func (e *Engine) Restart(c external.EngineConfig) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isClosed {
		return
	}
	if !e.down {
		e.record(Record{Kind: Crashed})
		e.stop("engine restarted")
	}
	e.startProcess(c)
	e.record(Record{Kind: Restarted, Config: cloneConfig(c)})
}

// stop ends all requests and the running order, and marks the engine as down.
func (e *Engine) stop(reason string) {
	e.down = true
	e.abortAll(reason)
	if e.currentOrder != nil {
		e.recordOrder(OrderLost, e.currentOrder.order, reason)
		e.endOrder(fmt.Errorf("%w: %s", external.ErrEngineFailed, reason))
	}
}

// Down reports whether the engine has crashed or been closed, and not been restarted.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// State implements external.Engine.
func (e *Engine) State(ctx context.Context) (external.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAvailable(ctx); err != nil {
		return external.EngineState{}, err
	}
	s := e.state
	s.Config = cloneConfig(s.Config)
	return s, nil
}

// Load implements external.Engine. PrefillTokens and DecodeTokens are the outstanding work of running
// and queued requests; each answer counts with its longest possible length.
func (e *Engine) Load(ctx context.Context) (external.EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAvailable(ctx); err != nil {
		return external.EngineLoad{}, err
	}
	e.recordLoad()
	return e.loadSamples[0].load, nil
}

// CacheEvents implements external.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]external.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAvailable(ctx); err != nil {
		return nil, err
	}
	return e.cache.eventsAfter(after, e.cfg.EventDelay, e.cfg.EventGap, e.cfg.Seed), nil
}

func (e *Engine) checkAvailable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", external.ErrEngineFailed, err)
	}
	if e.down {
		return fmt.Errorf("%w: engine is down", external.ErrEngineFailed)
	}
	return nil
}

// recordLoad samples the current load and drops the samples that are too old to be reported. If the
// last sample is less than one sampling interval old, its load is replaced instead.
func (e *Engine) recordLoad() {
	now := time.Now()
	lag := e.cfg.LoadLag
	load := e.currentLoad()
	if n := len(e.loadSamples); n > 1 && now.Sub(e.loadSamples[n-1].at) < lag/loadSamplesPerLag || n == 1 && lag == 0 {
		e.loadSamples[n-1].load = load
	} else {
		e.loadSamples = append(e.loadSamples, loadSample{now, load})
	}
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= lag {
		e.loadSamples = e.loadSamples[1:]
	}
}

func (e *Engine) currentLoad() external.EngineLoad {
	l := external.EngineLoad{
		Running: len(e.running) + len(e.instant), Queued: len(e.queue),
		FreePieces: e.freePieces, TotalPieces: e.cfg.Pieces,
	}
	for _, list := range [][]*sequence{e.running, e.queue} {
		for _, s := range list {
			l.PrefillTokens += int64(s.prefillLeft)
			l.DecodeTokens += int64(max(0, s.req.MaxTokens-s.produced))
		}
	}
	return l
}

func cloneConfig(c external.EngineConfig) external.EngineConfig {
	c.Models = append([]external.ModelVersion(nil), c.Models...)
	c.Adapters = append([]external.ModelVersion(nil), c.Adapters...)
	return c
}
