package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

// loadSamples is the number of load samples kept per lag.
const loadSamples = 32

type loadSample struct {
	at   time.Time
	load external.EngineLoad
}

// Engine is a model engine. All methods are safe for concurrent use. A step loop runs only
// while there are requests, so an idle engine has no goroutine.
type Engine struct {
	cfg    Config
	closed chan struct{}
	loop   sync.WaitGroup

	mu       sync.Mutex
	state    external.EngineState
	down     bool
	isClosed bool
	starts   uint64
	stepping bool
	queue    []*sequence // waiting, by priority and arrival
	running  []*sequence // admitted, by priority and arrival
	instant  map[*sequence]struct{}
	arrivals uint64
	free     int
	cache    *prefixCache
	kv       *kvCache
	loads    []loadSample
	order    *runningOrder
	// highestFence and orders outlive crashes: they serve only to observe violations.
	highestFence uint64
	orders       map[orderID]external.EngineConfig
	loseOrders   int
	journal      []Record
	violations   []Violation
}

var _ external.Engine = (*Engine)(nil)

// New starts an engine.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:    cfg.withDefaults(),
		closed: make(chan struct{}),
		orders: map[orderID]external.EngineConfig{},
	}
	e.start(cfg.Initial)
	return e
}

// start sets the state of a fresh process.
func (e *Engine) start(c external.EngineConfig) {
	e.starts++
	id := mix(xxhash.Sum64String(e.cfg.Name) ^ mix(e.cfg.Seed+e.starts))
	e.state = external.EngineState{Config: cloneConfig(c), StartID: fmt.Sprintf("%016x", id)}
	e.down = false
	e.free = e.cfg.Pieces
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
	e.kv = newKVCache()
	e.loads = nil
	e.instant = map[*sequence]struct{}{}
	e.noteLoad()
}

// Close ends all requests and waits for the step loop.
func (e *Engine) Close() error {
	e.mu.Lock()
	if !e.isClosed {
		e.isClosed = true
		e.stop("engine closed")
		close(e.closed)
	}
	e.mu.Unlock()
	e.loop.Wait()
	return nil
}

// Crash ends the engine's process: all streams and a running order fail, and every call fails
// until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.record(Record{Kind: Crashed})
		e.stop("engine crashed")
	}
}

// Restart starts a crashed engine with the given configuration, which is usually empty, but may
// be a wrong one. It forgets order and fence numbers.
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
	e.start(c)
	e.record(Record{Kind: Restarted, Config: cloneConfig(c)})
}

// stop cuts everything and marks the engine as down.
func (e *Engine) stop(reason string) {
	e.down = true
	e.cutAll(reason)
	if e.order != nil {
		e.recordOrder(OrderLost, e.order.order, reason)
		e.endOrder(fmt.Errorf("%w: %s", external.ErrEngineFailed, reason))
	}
}

// Down reports whether the engine has crashed and not been restarted.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// State implements external.Engine.
func (e *Engine) State(ctx context.Context) (external.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.readable(ctx); err != nil {
		return external.EngineState{}, err
	}
	s := e.state
	s.Config = cloneConfig(s.Config)
	return s, nil
}

// Load implements external.Engine. PrefillTokens and DecodeTokens are the outstanding work of
// running and queued requests, where an answer counts with its longest possible length.
func (e *Engine) Load(ctx context.Context) (external.EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.readable(ctx); err != nil {
		return external.EngineLoad{}, err
	}
	e.noteLoad()
	return e.loads[0].load, nil
}

// CacheEvents implements external.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]external.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.readable(ctx); err != nil {
		return nil, err
	}
	return e.cache.visible(after, e.cfg.EventDelay, e.cfg.EventGap, e.cfg.Seed), nil
}

func (e *Engine) readable(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", external.ErrEngineFailed, err)
	}
	if e.down {
		return fmt.Errorf("%w: engine is down", external.ErrEngineFailed)
	}
	return nil
}

// noteLoad adds a sample of the present load and drops those that are too old to report. A
// sample that follows the last one closely replaces its load.
func (e *Engine) noteLoad() {
	now := time.Now()
	lag := e.cfg.LoadLag
	load := e.currentLoad()
	if n := len(e.loads); n > 1 && now.Sub(e.loads[n-1].at) < lag/loadSamples || n == 1 && lag == 0 {
		e.loads[n-1].load = load
	} else {
		e.loads = append(e.loads, loadSample{now, load})
	}
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= lag {
		e.loads = e.loads[1:]
	}
}

func (e *Engine) currentLoad() external.EngineLoad {
	l := external.EngineLoad{
		Running: len(e.running) + len(e.instant), Queued: len(e.queue),
		FreePieces: e.free, TotalPieces: e.cfg.Pieces,
	}
	for _, list := range [][]*sequence{e.running, e.queue} {
		for _, s := range list {
			l.PrefillTokens += int64(s.prefill)
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
