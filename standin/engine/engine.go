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
	closing  chan struct{} // closed by Close, which ends the step loop's wait
	stepLoop sync.WaitGroup

	mu           sync.Mutex
	state        external.EngineState
	down         bool // crashed or closed
	closed       bool
	startCount   uint64
	stepLoopRuns bool
	queue        []*sequence // waiting, ordered by priority, then arrival
	running      []*sequence // admitted, ordered by priority, then arrival
	// instantRequests holds the requests in flight in Instant mode.
	instantRequests map[*sequence]struct{}
	arrivals        uint64
	freePieces      int
	cache           *prefixCache
	kv              *kvTransfers
	loadSamples     []loadSample
	currentOrder    *runningOrder
	// highestStartedFence is the highest fence of an order that started; state.Fence is the highest one
	// seen. highestStartedFence and orderConfigs survive crashes, because they are used only to detect
	// violations.
	highestStartedFence uint64
	orderConfigs        map[orderID]external.EngineConfig
	loseOrderResponses  int
	journal             []Record
	violations          []Violation
}

var _ external.Engine = (*Engine)(nil)

// New returns a running engine.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:          cfg.withDefaults(),
		closing:      make(chan struct{}),
		orderConfigs: map[orderID]external.EngineConfig{},
	}
	e.startProcess(cfg.Initial)
	return e
}

// startProcess resets the state to that of a newly started process.
func (e *Engine) startProcess(c external.EngineConfig) {
	e.startCount++
	id := splitMix64(xxhash.Sum64String(e.cfg.Name) ^ splitMix64(e.cfg.Seed+e.startCount))
	e.state = external.EngineState{Config: cloneConfig(c), StartID: fmt.Sprintf("%016x", id)}
	e.down = false
	e.freePieces = e.cfg.Pieces
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
	e.kv = newKVTransfers()
	e.loadSamples = nil
	e.instantRequests = map[*sequence]struct{}{}
	e.recordLoad()
}

// Close ends all requests and waits for the step loop to return.
func (e *Engine) Close() error {
	e.mu.Lock()
	if !e.closed {
		e.closed = true
		e.stop("engine closed")
		close(e.closing)
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

// Restart starts the engine again, crashing it first if it is up. c is the configuration after the
// start; a real engine starts with an empty one. The order and fence numbers in State are reset.
func (e *Engine) Restart(c external.EngineConfig) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
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
		e.releaseOrder(fmt.Errorf("%w: %s", external.ErrEngineFailed, reason))
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

// Load implements external.Engine. It returns the first sample, because recordLoad drops those before
// the latest one that is at least LoadLag old. PrefillTokens and DecodeTokens are the outstanding work
// of running and queued requests; DecodeTokens assumes that each answer reaches MaxTokens.
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

// recordLoad samples the current load and drops the samples that are too old to be reported. If there
// are several samples and the last is less than lag/loadSamplesPerLag old, its load is replaced instead.
// A single sample is the one that Load reports, so its load is replaced only if lag is 0.
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
		Running: len(e.running) + len(e.instantRequests), Queued: len(e.queue),
		FreePieces: e.freePieces, TotalPieces: e.cfg.Pieces,
	}
	for _, list := range [][]*sequence{e.running, e.queue} {
		for _, s := range list {
			l.PrefillTokens += int64(s.prefillLeft)
			l.DecodeTokens += int64(max(0, s.req.MaxTokens-s.generateOffset))
		}
	}
	return l
}

func cloneConfig(c external.EngineConfig) external.EngineConfig {
	c.Models = append([]external.ModelVersion(nil), c.Models...)
	c.Adapters = append([]external.ModelVersion(nil), c.Adapters...)
	return c
}
