package order_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/standin/fault"
	"github.com/quetzallug/quetzallug/standin/kv"
)

const (
	pool       = "halte.joburg"
	engineName = "e1"
	// changesEnd is the time after which the desired configuration no longer changes.
	changesEnd    = 60 * time.Second
	crashTime     = 110 * time.Second
	simulationEnd = 150 * time.Second
)

var errLost = errors.New("response lost")

// simulation runs two entries that compete for a pool, and one engine with its sidecar.
type simulation struct {
	ctx     context.Context
	cancel  context.CancelFunc
	store   *kv.Store
	network *fault.Network
	engine  *fakeEngine
	history *history
	began   time.Time
	// observe is called for each call before the hook chooses an action; the mutex of the
	// faultInjector guards it.
	observe func(observedCall)

	mu sync.Mutex
	// hook is called for every call of every process.
	hook     func(*simulation, *fault.Process, fault.Call) fault.Action
	random   *rand.Rand
	entries  []*fault.Process
	sidecars []*sidecar
	// noRequests means that sidecars started from now on get no requests.
	noRequests bool
	// dialOldestUntil is the time until which planners reach the oldest living sidecar.
	dialOldestUntil time.Time
	processCount    int
}

type sidecar struct {
	process  *fault.Process
	executor *order.Executor
	drainer  *fakeDrainer
}

func newSimulation(t *testing.T, seed uint64, checksFence bool) *simulation {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	h := &history{}
	sim := &simulation{
		ctx: ctx, cancel: cancel, store: kv.NewStore(kv.Limits{}), network: &fault.Network{}, engine: newFakeEngine(h, checksFence),
		history: h, began: time.Now(), random: rand.New(rand.NewPCG(seed, 1)),
	}
	go sim.recordPool()
	return sim
}

// recordPool adds each change of the pool's holder and fence to the history.
func (sim *simulation) recordPool() {
	after := uint64(0)
	for sim.ctx.Err() == nil {
		events, next, _ := sim.store.Watch(sim.ctx, lease.KeyPrefix, after)
		after = next
		if len(events) == 0 {
			continue
		}
		if s, err := lease.ReadPool(sim.ctx, sim.store, pool); err == nil {
			sim.history.add(poolEvent(s))
		}
	}
}

func (sim *simulation) setHook(hook func(*simulation, *fault.Process, fault.Call) fault.Action) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.hook = hook
}

func (sim *simulation) rand() float64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.Float64()
}

func (sim *simulation) newProcess(kind string) *fault.Process {
	sim.mu.Lock()
	sim.processCount++
	name := fmt.Sprintf("%s-%d", kind, sim.processCount)
	sim.mu.Unlock()
	p := fault.NewProcess(sim.ctx, name, nil)
	p.Hook = func(c fault.Call) fault.Action {
		sim.mu.Lock()
		hook := sim.hook
		sim.mu.Unlock()
		if hook == nil {
			return fault.Action{}
		}
		return hook(sim, p, c)
	}
	return p
}

func (sim *simulation) kvClient(p *fault.Process) external.KV {
	return &fault.KV{Process: p, Network: sim.network, Store: sim.store}
}

// startEntry runs a lease manager and a planner that orders the desired configuration.
func (sim *simulation) startEntry() {
	p := sim.newProcess("entry")
	m, err := lease.NewManager(sim.kvClient(p), lease.Config{Holder: p.Name, Pools: []string{pool}, Random: sim.rand})
	if err != nil {
		panic(err)
	}
	planner := order.NewPlanner(sim.kvClient(p), func(string, string) (order.Sidecar, error) { return &sidecarClient{sim: sim, from: p}, nil }, nil)
	sim.mu.Lock()
	sim.entries = append(sim.entries, p)
	sim.mu.Unlock()
	go m.Run(p.Context())
	go sim.plan(p, m, planner)
}

func (sim *simulation) plan(p *fault.Process, m *lease.Manager, planner *order.Planner) {
	ctx, ownedFence := p.Context(), uint64(0)
	for ctx.Err() == nil {
		if a, ok := m.Authority(pool); ok {
			if ownedFence != a.Fence {
				if _, err := planner.TakeOver(ctx, a, engineName); err == nil {
					ownedFence = a.Fence
				}
			}
			if ownedFence == a.Fence {
				sim.planOnce(ctx, a, planner)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(400 * time.Millisecond):
		}
	}
}

func (sim *simulation) planOnce(ctx context.Context, a lease.Authority, planner *order.Planner) {
	if _, issued, err := planner.Reconcile(ctx, a, engineName); issued || err != nil {
		return
	}
	r, err := planner.Read(ctx, pool, engineName)
	want := sim.desiredConfig()
	if err == nil && (r.Config.Role != want.Role || !slices.Equal(r.Config.Models, want.Models) || r.Phase == order.PhaseFailed) {
		_, _ = planner.Issue(ctx, a, engineName, want) // the next iteration retries
	}
}

func (sim *simulation) desiredConfig() external.EngineConfig {
	roles := []external.EngineRole{external.EngineRoleMixed, external.EngineRolePrefill, external.EngineRoleDecode}
	n := int(min(time.Since(sim.began), changesEnd) / (7 * time.Second))
	return external.EngineConfig{Role: roles[n%len(roles)], Models: []external.ModelVersion{{Name: "m", Version: fmt.Sprint(n)}}}
}

func (sim *simulation) startSidecar() *sidecar {
	p := sim.newProcess("sidecar")
	s := &sidecar{process: p, drainer: &fakeDrainer{}}
	s.executor = order.NewExecutor(order.ExecutorConfig{
		Pool: pool, Engine: engineName, KV: sim.kvClient(p), Backend: &faultyEngine{s: s, sim: sim}, Weights: &faultyWeights{p},
		Drainer: &faultyDrainer{s}, Random: sim.rand, DrainTimeout: 20 * time.Second, ApplyTimeout: 20 * time.Second,
	})
	sim.mu.Lock()
	sim.sidecars = append(sim.sidecars, s)
	sim.mu.Unlock()
	if !sim.noRequests {
		go s.drainer.generateRequests(p.Context())
	}
	go func() {
		if errors.Is(s.executor.Run(p.Context()), order.ErrSuperseded) {
			p.Kill() // the sidecar process exits
		}
	}()
	return s
}

// reachableSidecar returns the sidecar that the planners of the pool reach, or nil if none lives.
func (sim *simulation) reachableSidecar() *sidecar {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	living := slices.DeleteFunc(slices.Clone(sim.sidecars), func(s *sidecar) bool { return s.process.Killed() })
	if len(living) == 0 {
		return nil
	}
	if time.Now().Before(sim.dialOldestUntil) {
		return living[0]
	}
	return living[len(living)-1]
}

// sidecarClient calls the sidecar on behalf of a planner. It implements order.Sidecar.
type sidecarClient struct {
	sim  *simulation
	from *fault.Process
}

func (c *sidecarClient) Seal(ctx context.Context, q order.SealRequest) (order.SealResult, error) {
	return c.call(ctx, "seal", func(s *sidecar) (order.SealResult, error) {
		res, err := s.executor.Seal(ctx, q)
		if err == nil {
			c.sim.history.add(historyEvent{kind: "seal", sidecar: s.process.Name, fence: q.Fence, executing: res.Executing})
		}
		return res, err
	})
}

func (c *sidecarClient) NotifyOrder(ctx context.Context, n order.Notice) error {
	_, err := c.call(ctx, "notify", func(s *sidecar) (order.SealResult, error) {
		return order.SealResult{}, s.executor.NotifyOrder(ctx, n)
	})
	return err
}

// call returns at the deadline of ctx even if the sidecar is paused.
func (c *sidecarClient) call(ctx context.Context, op string, do func(*sidecar) (order.SealResult, error)) (res order.SealResult, err error) {
	type answer struct {
		res order.SealResult
		err error
	}
	err = c.from.Do(fault.Call{Op: op}, errLost, func() error {
		s := c.sim.reachableSidecar()
		if s == nil {
			return external.ErrUnavailable
		}
		done := make(chan answer, 1)
		go func() {
			if !s.process.WaitWhilePaused() {
				done <- answer{err: errLost}
				return
			}
			res, err := do(s)
			done <- answer{res: res, err: err}
		}()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-done:
			res = a.res
			return a.err
		}
	})
	return res, err
}

// faultyEngine is the engine as a sidecar reaches it, subject to the faults of the sidecar's
// process.
type faultyEngine struct {
	external.Engine
	s   *sidecar
	sim *simulation
}

func (f *faultyEngine) State(context.Context) (st external.EngineState, err error) {
	err = f.s.process.Do(fault.Call{Op: "state"}, errLost, func() error {
		var down bool
		if st, down = f.sim.engine.current(); down {
			return external.ErrEngineFailed
		}
		return nil
	})
	return st, err
}

func (f *faultyEngine) Apply(ctx context.Context, o external.EngineOrder) error {
	return f.s.process.Do(fault.Call{Op: "apply"}, external.ErrEngineFailed, func() error {
		n, draining := f.s.drainer.counts()
		done := make(chan error, 1)
		go func() {
			done <- f.sim.engine.apply(historyEvent{sidecar: f.s.process.Name, inFlight: n, acceptingWork: !draining}, o)
		}()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-done:
			return err
		}
	})
}

type faultyWeights struct{ p *fault.Process }

func (f *faultyWeights) Acquire(context.Context, string, int64) error {
	return f.p.Do(fault.Call{Op: "weights"}, errLost, func() error { return nil })
}

type faultyDrainer struct{ s *sidecar }

func (f *faultyDrainer) BeginDrain(ctx context.Context) error {
	return f.s.process.Do(fault.Call{Op: "begin drain"}, nil, func() error { return f.s.drainer.BeginDrain(ctx) })
}

func (f *faultyDrainer) Wait(ctx context.Context) error {
	return f.s.process.Do(fault.Call{Op: "drain"}, nil, func() error { return f.s.drainer.Wait(ctx) })
}

func (f *faultyDrainer) EndDrain() { f.s.drainer.EndDrain() }

// run runs the simulation to its end and returns the violations. It is a violation, too, if the
// engine does not have the last desired configuration at the end.
func (sim *simulation) run() []string {
	sim.startSidecar()
	time.Sleep(time.Second)
	sim.startEntry()
	time.Sleep(3 * time.Second)
	sim.startEntry()
	// A crash after the last change must be followed by a return to the recorded configuration.
	time.Sleep(crashTime - time.Since(sim.began))
	sim.engine.crash()
	time.Sleep(simulationEnd - time.Since(sim.began))
	violations := findViolations(sim.history.snapshot())
	state, _ := sim.engine.current()
	if want := sim.desiredConfig(); state.Config.Role != want.Role || !slices.Equal(state.Config.Models, want.Models) {
		e, _ := sim.store.Get(sim.ctx, order.Key(pool, engineName))
		violations = append(violations, fmt.Sprintf("liveness: engine has %v, wanted %v, record %s", state, want, e.Value))
	}
	return violations
}

// stop ends all goroutines of the simulation.
func (sim *simulation) stop() {
	sim.cancel()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, p := range sim.entries {
		p.Kill()
	}
	for _, s := range sim.sidecars {
		s.process.Kill()
	}
}

func formatHistory(events []historyEvent, began time.Time) string {
	var b strings.Builder
	for _, e := range events {
		fmt.Fprintf(&b, "%8.3fs %-8s %-10s fence %d order %d role %s in flight %d executing %d held %t\n",
			e.at.Sub(began).Seconds(), e.kind, e.sidecar, e.fence, e.number, e.config.Role, e.inFlight, e.executing, e.held)
	}
	return b.String()
}

// Guards against a simulation that executes no orders, in which every invariant would hold.
func TestWorldWithoutFaults(t *testing.T) {
	requireNoViolations(t, func(t *testing.T) []string {
		sim := newSimulation(t, 1, false)
		defer sim.stop()
		violations := sim.run()
		applied := 0
		for _, e := range sim.history.snapshot() {
			if e.kind == "applied" {
				applied++
			}
		}
		if applied < 8 {
			violations = append(violations, fmt.Sprintf("%d orders were applied\n%s", applied, formatHistory(sim.history.snapshot(), sim.began)))
		}
		return violations
	})
}

func requireNoViolations(t *testing.T, f func(t *testing.T) []string) {
	t.Helper()
	require.Empty(t, runInBubble(t, f))
}
