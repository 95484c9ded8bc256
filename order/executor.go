package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/lease"
)

// EffectBound is the longest time between the start of the read that allows an effect and the
// effect. It is far below the lease's TTL, so a read that a pause separates from the effect is
// discarded before another planner can have sealed the engine.
const EffectBound = 500 * time.Millisecond

// claimWait covers the effects that an earlier sidecar may still begin after a claim, and the time
// that its call takes to reach the engine on loopback.
const claimWait = EffectBound + 100*time.Millisecond

// Defaults of ExecutorConfig.
const (
	// DefaultDrainTimeout exceeds the longest answer that a planned change waits for.
	DefaultDrainTimeout  = 2 * time.Minute
	DefaultWeightTimeout = 2 * time.Minute
	DefaultApplyTimeout  = 2 * time.Minute
	// DefaultPollInterval makes 640 sidecars read their records 21 times per second together.
	DefaultPollInterval = 30 * time.Second
	// DefaultStateInterval applies to calls to the engine on loopback.
	DefaultStateInterval = 2 * time.Second
)

const (
	stateTimeout  = 2 * time.Second
	stateInterval = 200 * time.Millisecond
	minRetry      = 200 * time.Millisecond
	maxRetry      = 5 * time.Second
)

// ExecutorConfig configures an Executor.
type ExecutorConfig struct {
	Pool, Engine string
	KV           external.KV
	Backend      external.Engine
	Weights      external.WeightStore
	Drainer      Drainer
	// ModelBytes returns the size of a model's weights; nil means 0 for all.
	ModelBytes    func(external.ModelVersion) int64
	DrainTimeout  time.Duration
	WeightTimeout time.Duration
	ApplyTimeout  time.Duration
	PollInterval  time.Duration
	StateInterval time.Duration
	// Random returns a number in [0, 1); nil means the runtime's source.
	Random func() float64
	Log    logrus.FieldLogger
}

// Executor is the sidecar's side of orders for one engine. It implements Sidecar.
type Executor struct {
	cfg   ExecutorConfig
	store store
	wake  chan struct{}

	// incarnation, last and outcome belong to the goroutine of Run. incarnation is written under mu.
	last    versioned
	outcome *outcome

	mu          sync.Mutex // guards the fields below
	incarnation uint64
	ready       bool
	superseded  bool
	highest     uint64
	executing   uint64
}

// outcome is the end of an executed order that is not yet recorded.
type outcome struct {
	number uint64
	event  Event
}

var _ Sidecar = (*Executor)(nil)

// NewExecutor returns an executor that refuses everything until Run has established its state.
func NewExecutor(cfg ExecutorConfig) *Executor {
	setDefault(&cfg.DrainTimeout, DefaultDrainTimeout)
	setDefault(&cfg.WeightTimeout, DefaultWeightTimeout)
	setDefault(&cfg.ApplyTimeout, DefaultApplyTimeout)
	setDefault(&cfg.PollInterval, DefaultPollInterval)
	setDefault(&cfg.StateInterval, DefaultStateInterval)
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.ModelBytes == nil {
		cfg.ModelBytes = func(external.ModelVersion) int64 { return 0 }
	}
	if cfg.Log == nil {
		cfg.Log = discardLog()
	}
	return &Executor{cfg: cfg, store: store{kv: cfg.KV, key: Key(cfg.Pool, cfg.Engine)}, wake: make(chan struct{}, 1)}
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// Run establishes the executor's state and executes orders until ctx ends, or until another
// sidecar has claimed the engine; it then returns ErrSuperseded.
func (e *Executor) Run(ctx context.Context) error {
	if err := e.untilReady(ctx); err != nil {
		return err
	}
	state := time.NewTicker(e.cfg.StateInterval)
	defer state.Stop()
	next, delay := time.Duration(0), time.Duration(0)
	for {
		timer := time.NewTimer(next)
		err := e.await(ctx, timer, state)
		timer.Stop()
		if err == nil {
			err = e.step(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrSuperseded):
			return e.supersede(err)
		case err != nil:
			delay = min(max(minRetry, 2*delay), maxRetry)
			next = e.jitter(delay)
			e.cfg.Log.WithField("engine", e.cfg.Engine).WithError(err).Warn("order step put off")
		default:
			delay, next = 0, e.jitter(e.cfg.PollInterval)
		}
	}
}

// await returns when there is a reason to read the record.
func (e *Executor) await(ctx context.Context, timer *time.Timer, state *time.Ticker) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.wake:
			return nil
		case <-timer.C:
			return nil
		case <-state.C:
			if e.engineDiffers(ctx) {
				return nil
			}
		}
	}
}

// engineDiffers compares the engine's state with the last record that was read.
func (e *Executor) engineDiffers(ctx context.Context) bool {
	s, err := e.state(ctx)
	if err != nil || s.Changing || !e.last.Phase.Settled() {
		return false
	}
	n := compare(e.last.Record, s)
	return n.Unknown != e.last.Unknown || n.StartID != e.last.StartID
}

func (e *Executor) untilReady(ctx context.Context) error {
	delay := minRetry
	for {
		err := e.start(ctx)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrSuperseded):
			return e.supersede(err)
		}
		e.cfg.Log.WithField("engine", e.cfg.Engine).WithError(err).Warn("sidecar state not established")
		if !pause.For(ctx, e.jitter(delay)) {
			return ctx.Err()
		}
		delay = min(2*delay, maxRetry)
	}
}

// start claims the engine's record, reads the pool's fence, and compares the record with the engine.
func (e *Executor) start(ctx context.Context) error {
	if err := e.claim(ctx); err != nil {
		return err
	}
	// The fence is read after the claim. A planner that acquires the pool later finds the new
	// incarnation in the record and seals this sidecar.
	pool, err := lease.ReadPool(ctx, e.cfg.KV, e.cfg.Pool)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStore, err)
	}
	if !pause.For(ctx, claimWait) {
		return ctx.Err()
	}
	s, err := e.steadyState(ctx)
	if err != nil {
		return err
	}
	v, err := e.store.read(ctx)
	if err != nil {
		return err
	}
	n, err := Next(v.Record, Resolve{Incarnation: e.incarnation, State: s})
	if err != nil {
		return err
	}
	if differs(n, v.Record) {
		if v, err = e.store.write(ctx, v, Resolve{Incarnation: e.incarnation, State: s}, nil); err != nil {
			return err
		}
	}
	e.last = v
	e.mu.Lock()
	e.highest, e.ready = max(e.highest, pool.Fence.Fence), true
	e.mu.Unlock()
	e.cfg.Log.WithFields(logrus.Fields{
		"engine": e.cfg.Engine, "incarnation": v.Incarnation, "order": v.Number, "phase": v.Phase, "unknown": v.Unknown,
	}).Info("sidecar state established")
	return nil
}

// claim writes the next incarnation number, unless an earlier try of this process has done so.
func (e *Executor) claim(ctx context.Context) error {
	v, err := e.store.read(ctx)
	if err != nil {
		return err
	}
	if e.incarnation != 0 {
		return checkIncarnation(v.Record, e.incarnation)
	}
	if v, err = e.store.write(ctx, v, Claim{}, nil); err != nil {
		return err
	}
	e.mu.Lock()
	e.incarnation = v.Incarnation
	e.mu.Unlock()
	return nil
}

func differs(a, b Record) bool {
	return a.Phase != b.Phase || a.Number != b.Number || a.StartID != b.StartID || a.Unknown != b.Unknown
}

func (e *Executor) supersede(err error) error {
	e.mu.Lock()
	e.superseded, e.ready = true, false
	e.mu.Unlock()
	e.cfg.Log.WithField("engine", e.cfg.Engine).WithError(err).Error("sidecar stops giving orders")
	return err
}

// Seal implements Sidecar. It accepts a fence number only if the key-value service confirms it.
func (e *Executor) Seal(ctx context.Context, r SealRequest) (SealResult, error) {
	if err := e.checkMessage(r.Pool, r.Engine); err != nil {
		return SealResult{}, err
	}
	pool, err := lease.ReadPool(ctx, e.cfg.KV, e.cfg.Pool)
	if err != nil {
		return SealResult{}, fmt.Errorf("confirm fence %d: %w: %w", r.Fence, ErrStore, err)
	}
	if !pool.Current(r.Fence, r.Holder) {
		return SealResult{}, fmt.Errorf("fence %d of %q, pool has fence %d: %w", r.Fence, r.Holder, pool.Fence.Fence, ErrForgedFence)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A seal with a higher number may have been accepted since the read.
	if r.Fence < e.highest {
		return SealResult{}, fmt.Errorf("fence %d, highest is %d: %w", r.Fence, e.highest, ErrStaleFence)
	}
	e.highest = r.Fence
	return SealResult{HighestFence: e.highest, Incarnation: e.incarnation, Executing: e.executing}, nil
}

// NotifyOrder implements Sidecar. The record itself is read from the key-value service.
func (e *Executor) NotifyOrder(_ context.Context, n Notice) error {
	if err := e.checkMessage(n.Pool, n.Engine); err != nil {
		return err
	}
	if err := e.checkFence(n.Fence); err != nil {
		return fmt.Errorf("notice of order %d: %w", n.Number, err)
	}
	select {
	case e.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
	return nil
}

// Incarnation returns the sidecar's incarnation number and whether it accepts orders.
func (e *Executor) Incarnation() (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation, e.ready
}

// HighestFence returns the highest fence number under which the engine is sealed.
func (e *Executor) HighestFence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.highest
}

func (e *Executor) checkMessage(pool, engine string) error {
	if pool != e.cfg.Pool || engine != e.cfg.Engine {
		return fmt.Errorf("message for %s/%s at %s/%s: %w", pool, engine, e.cfg.Pool, e.cfg.Engine, ErrWrongEngine)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.superseded:
		return ErrSuperseded
	case !e.ready:
		return ErrNotReady
	}
	return nil
}

func (e *Executor) checkFence(fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case fence < e.highest:
		return fmt.Errorf("fence %d, highest is %d: %w", fence, e.highest, ErrStaleFence)
	case fence > e.highest:
		return fmt.Errorf("fence %d, highest is %d: %w", fence, e.highest, ErrNotSealed)
	}
	return nil
}

func (e *Executor) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(e.cfg.Random()*float64(d)*2/5)
}
