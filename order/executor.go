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

// MaxReadAge is the maximum time between the start of the reads that allow an order and its
// application to the engine. It is far below the lease's TTL: after a pause in which another planner
// could have sealed the engine, the reads from before the pause are too old to be used.
const MaxReadAge = 500 * time.Millisecond

// claimWait is the delay after a claim. It covers the time in which an earlier sidecar may still
// apply an order, and the time that its call takes to reach the engine on loopback.
const claimWait = MaxReadAge + 100*time.Millisecond

// Defaults of ExecutorConfig.
const (
	// DefaultDrainTimeout exceeds the duration of the longest response that a planned change waits
	// for.
	DefaultDrainTimeout  = 2 * time.Minute
	DefaultWeightTimeout = 2 * time.Minute
	DefaultApplyTimeout  = 2 * time.Minute
	// DefaultPollInterval is the mean time between two reads of the record without a notice; 640
	// sidecars then make 21 reads per second.
	DefaultPollInterval = 30 * time.Second
	// DefaultStateInterval is the time between state requests to the engine on loopback.
	DefaultStateInterval = 2 * time.Second
)

const (
	stateTimeout       = 2 * time.Second
	steadyPollInterval = 200 * time.Millisecond
	minRetryDelay      = 200 * time.Millisecond
	maxRetryDelay      = 5 * time.Second
)

// ExecutorConfig configures an Executor.
type ExecutorConfig struct {
	Pool, Engine string
	KV           external.KV
	Backend      external.Engine
	Weights      external.WeightStore
	Drainer      Drainer
	// ModelBytes returns the size of a model's weights in bytes; nil means 0 for all models.
	ModelBytes    func(external.ModelVersion) int64
	DrainTimeout  time.Duration
	WeightTimeout time.Duration
	ApplyTimeout  time.Duration
	PollInterval  time.Duration
	StateInterval time.Duration
	// Random returns a number in [0, 1); nil means math/rand/v2.
	Random func() float64
	Log    logrus.FieldLogger
}

// Executor executes the orders for one engine in its sidecar. It implements Sidecar.
type Executor struct {
	cfg   ExecutorConfig
	store store
	wake  chan struct{}

	// lastRecord and unrecordedOutcome are used only by the goroutine of Run. That goroutine writes
	// incarnation with mu held and reads it without.
	lastRecord        versionedRecord
	unrecordedOutcome *outcome

	mu             sync.Mutex // guards the fields below
	incarnation    uint64
	ready          bool
	superseded     bool
	highestFence   uint64 // highest fence number of a seal, or of the pool at start; lower ones are refused
	executingOrder uint64 // number of the order being applied, 0 if none
}

// outcome is the result of an order that is not recorded yet.
type outcome struct {
	number uint64
	event  Event
}

var _ Sidecar = (*Executor)(nil)

// NewExecutor returns an executor that refuses all messages until Run has established its state.
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

// Run establishes the executor's state and executes orders until ctx ends or another sidecar
// claims the engine. In the latter case it returns ErrSuperseded.
func (e *Executor) Run(ctx context.Context) error {
	if err := e.startWithRetry(ctx); err != nil {
		return err
	}
	stateTicker := time.NewTicker(e.cfg.StateInterval)
	defer stateTicker.Stop()
	wait, retryDelay := time.Duration(0), time.Duration(0)
	for {
		timer := time.NewTimer(wait)
		err := e.waitForTrigger(ctx, timer, stateTicker)
		timer.Stop()
		if err == nil {
			err = e.processRecord(ctx)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrSuperseded):
			return e.markSuperseded(err)
		case err != nil:
			retryDelay = min(max(minRetryDelay, 2*retryDelay), maxRetryDelay)
			wait = e.jitter(retryDelay)
			e.cfg.Log.WithField("engine", e.cfg.Engine).WithError(err).Warn("order record not processed; retrying")
		default:
			retryDelay, wait = 0, e.jitter(e.cfg.PollInterval)
		}
	}
}

// waitForTrigger returns when the record must be read: after a notice, when the timer fires, or
// when the engine's state would change the record.
func (e *Executor) waitForTrigger(ctx context.Context, timer *time.Timer, stateTicker *time.Ticker) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.wake:
			return nil
		case <-timer.C:
			return nil
		case <-stateTicker.C:
			if e.recordOutdated(ctx) {
				return nil
			}
		}
	}
}

// recordOutdated reports whether the last record that was read no longer describes the engine: the engine
// has left the recorded state, returned to it, or restarted. It returns false while an order is in progress or the engine is changing.
func (e *Executor) recordOutdated(ctx context.Context) bool {
	s, err := e.engineState(ctx)
	if err != nil || s.Changing || !e.lastRecord.Phase.Settled() {
		return false
	}
	n := markDivergence(e.lastRecord.Record, s)
	return n.Unknown != e.lastRecord.Unknown || n.StartID != e.lastRecord.StartID
}

func (e *Executor) startWithRetry(ctx context.Context) error {
	delay := minRetryDelay
	for {
		err := e.start(ctx)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, ErrSuperseded):
			return e.markSuperseded(err)
		}
		e.cfg.Log.WithField("engine", e.cfg.Engine).WithError(err).Warn("sidecar state not established; retrying")
		if !pause.For(ctx, e.jitter(delay)) {
			return ctx.Err()
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// start claims the engine's record, reads the pool's fence, and reconciles the record with the
// engine's state.
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
	if recordChanged(n, v.Record) {
		if v, err = e.store.write(ctx, v, Resolve{Incarnation: e.incarnation, State: s}, nil); err != nil {
			return err
		}
	}
	e.lastRecord = v
	e.mu.Lock()
	e.highestFence, e.ready = max(e.highestFence, pool.FenceRecord.Fence), true
	e.mu.Unlock()
	e.cfg.Log.WithFields(logrus.Fields{
		"engine": e.cfg.Engine, "incarnation": v.Incarnation, "order": v.Number, "phase": v.Phase, "unknown": v.Unknown,
	}).Info("sidecar state established")
	return nil
}

// claim writes the next incarnation number, unless an earlier attempt of this process has done so.
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

// recordChanged reports whether two records differ in a field that must be stored.
func recordChanged(a, b Record) bool {
	return a.Phase != b.Phase || a.Number != b.Number || a.StartID != b.StartID || a.Unknown != b.Unknown
}

func (e *Executor) markSuperseded(err error) error {
	e.mu.Lock()
	e.superseded, e.ready = true, false
	e.mu.Unlock()
	e.cfg.Log.WithField("engine", e.cfg.Engine).WithError(err).Error("sidecar superseded; it executes no more orders")
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
	if !pool.HeldUnder(r.Fence, r.Holder) {
		return SealResult{}, fmt.Errorf("fence %d of %q, pool has fence %d: %w", r.Fence, r.Holder, pool.FenceRecord.Fence, ErrFenceNotConfirmed)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A seal with a higher number may have been accepted since the read.
	if r.Fence < e.highestFence {
		return SealResult{}, fmt.Errorf("fence %d, highest is %d: %w", r.Fence, e.highestFence, ErrStaleFence)
	}
	e.highestFence = r.Fence
	return SealResult{HighestFence: e.highestFence, Incarnation: e.incarnation, Executing: e.executingOrder}, nil
}

// NotifyOrder implements Sidecar. It wakes Run, which reads the record from the key-value service.
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

// HighestFence returns the highest fence number of a seal, or of the pool at the start of the sidecar.
// The sidecar refuses lower ones.
func (e *Executor) HighestFence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.highestFence
}

// checkMessage refuses a message that is for another engine, or that arrives while the executor is
// not ready.
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

// checkFence refuses a fence number other than highestFence.
func (e *Executor) checkFence(fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case fence < e.highestFence:
		return fmt.Errorf("fence %d, highest is %d: %w", fence, e.highestFence, ErrStaleFence)
	case fence > e.highestFence:
		return fmt.Errorf("fence %d, highest is %d: %w", fence, e.highestFence, ErrNotSealed)
	}
	return nil
}

// jitter returns d, changed at random by up to 20 %.
func (e *Executor) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(e.cfg.Random()*float64(d)*2/5)
}
