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
	// changesEnd is the time after which the wanted configuration stays as it is.
	changesEnd = 60 * time.Second
	lateCrash  = 110 * time.Second
	worldEnd   = 150 * time.Second
)

var errLost = errors.New("response lost")

// world is two entries that compete for a pool, and one engine with its sidecar.
type world struct {
	ctx     context.Context
	cancel  context.CancelFunc
	store   *kv.Store
	network *fault.Network
	engine  *fakeEngine
	journal *journal
	began   time.Time
	// observe sees calls before the hook chooses an action; the script's lock guards it.
	observe func(call)

	mu sync.Mutex
	// hook sees every call of every process.
	hook     func(*world, *fault.Process, fault.Call) fault.Action
	random   *rand.Rand
	entries  []*fault.Process
	sidecars []*sidecar
	// quiet keeps new sidecars without requests.
	quiet bool
	// dialOld makes planners reach the oldest living sidecar until this time.
	dialOld time.Time
	started int
}

type sidecar struct {
	process  *fault.Process
	executor *order.Executor
	drainer  *slotDrainer
}

func newWorld(t *testing.T, seed uint64, checksFence bool) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	j := &journal{}
	w := &world{
		ctx: ctx, cancel: cancel, store: kv.NewStore(kv.Limits{}), network: &fault.Network{}, engine: newFakeEngine(j, checksFence),
		journal: j, began: time.Now(), random: rand.New(rand.NewPCG(seed, 1)),
	}
	go w.recordPool()
	return w
}

// recordPool journals each change of the pool's holder and fence when it happens.
func (w *world) recordPool() {
	after := uint64(0)
	for w.ctx.Err() == nil {
		events, next, _ := w.store.Watch(w.ctx, lease.KeyPrefix, after)
		after = next
		if len(events) == 0 {
			continue
		}
		if s, err := lease.ReadPool(w.ctx, w.store, pool); err == nil {
			w.journal.add(poolEntry(s))
		}
	}
}

func (w *world) setHook(hook func(*world, *fault.Process, fault.Call) fault.Action) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = hook
}

func (w *world) rand() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

func (w *world) process(kind string) *fault.Process {
	w.mu.Lock()
	w.started++
	name := fmt.Sprintf("%s-%d", kind, w.started)
	w.mu.Unlock()
	p := fault.NewProcess(w.ctx, name, nil)
	p.Hook = func(c fault.Call) fault.Action {
		w.mu.Lock()
		hook := w.hook
		w.mu.Unlock()
		if hook == nil {
			return fault.Action{}
		}
		return hook(w, p, c)
	}
	return p
}

func (w *world) view(p *fault.Process) external.KV {
	return &fault.KV{Process: p, Network: w.network, Store: w.store}
}

// startEntry runs a lease manager and a planner that wants the configuration of the time.
func (w *world) startEntry() {
	p := w.process("entry")
	m, err := lease.NewManager(w.view(p), lease.Config{Holder: p.Name, Pools: []string{pool}, Random: w.rand})
	if err != nil {
		panic(err)
	}
	planner := order.NewPlanner(w.view(p), func(string, string) (order.Sidecar, error) { return &remote{w: w, from: p}, nil }, nil)
	w.mu.Lock()
	w.entries = append(w.entries, p)
	w.mu.Unlock()
	go m.Run(p.Context())
	go w.plan(p, m, planner)
}

func (w *world) plan(p *fault.Process, m *lease.Manager, planner *order.Planner) {
	ctx, owned := p.Context(), uint64(0)
	for ctx.Err() == nil {
		if a, ok := m.Authority(pool); ok {
			if owned != a.Fence {
				if _, err := planner.Own(ctx, a, engineName); err == nil {
					owned = a.Fence
				}
			}
			if owned == a.Fence {
				w.planOnce(ctx, a, planner)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(400 * time.Millisecond):
		}
	}
}

func (w *world) planOnce(ctx context.Context, a lease.Authority, planner *order.Planner) {
	if _, issued, err := planner.Reconcile(ctx, a, engineName); issued || err != nil {
		return
	}
	r, err := planner.Read(ctx, pool, engineName)
	want := w.wanted()
	if err == nil && (r.Config.Role != want.Role || !slices.Equal(r.Config.Models, want.Models) || r.Phase == order.PhaseFailed) {
		_, _ = planner.Issue(ctx, a, engineName, want) // the next round tries again
	}
}

func (w *world) wanted() external.EngineConfig {
	roles := []external.Role{external.RoleMixed, external.RolePrefill, external.RoleDecode}
	n := int(min(time.Since(w.began), changesEnd) / (7 * time.Second))
	return external.EngineConfig{Role: roles[n%len(roles)], Models: []external.ModelVersion{{Name: "m", Version: fmt.Sprint(n)}}}
}

func (w *world) startSidecar() *sidecar {
	p := w.process("sidecar")
	s := &sidecar{process: p, drainer: &slotDrainer{}}
	s.executor = order.NewExecutor(order.ExecutorConfig{
		Pool: pool, Engine: engineName, KV: w.view(p), Backend: &gatedEngine{s: s, w: w}, Weights: &gatedWeights{p},
		Drainer: &gatedDrainer{s}, Random: w.rand, DrainTimeout: 20 * time.Second, ApplyTimeout: 20 * time.Second,
	})
	w.mu.Lock()
	w.sidecars = append(w.sidecars, s)
	w.mu.Unlock()
	if !w.quiet {
		go s.drainer.traffic(p.Context())
	}
	go func() {
		if errors.Is(s.executor.Run(p.Context()), order.ErrSuperseded) {
			p.Kill() // the daemon ends
		}
	}()
	return s
}

// dial returns the sidecar that the pool's entries reach.
func (w *world) dial() *sidecar {
	w.mu.Lock()
	defer w.mu.Unlock()
	living := slices.DeleteFunc(slices.Clone(w.sidecars), func(s *sidecar) bool { return s.process.Dead() })
	if len(living) == 0 {
		return nil
	}
	if time.Now().Before(w.dialOld) {
		return living[0]
	}
	return living[len(living)-1]
}

// remote is the path from a planner to the sidecar. It implements order.Sidecar.
type remote struct {
	w    *world
	from *fault.Process
}

func (r *remote) Seal(ctx context.Context, q order.SealRequest) (order.SealResult, error) {
	return r.call(ctx, "seal", func(s *sidecar) (order.SealResult, error) {
		res, err := s.executor.Seal(ctx, q)
		if err == nil {
			r.w.journal.add(journalEntry{kind: "seal", sidecar: s.process.Name, fence: q.Fence, executing: res.Executing})
		}
		return res, err
	})
}

func (r *remote) NotifyOrder(ctx context.Context, n order.Notice) error {
	_, err := r.call(ctx, "notify", func(s *sidecar) (order.SealResult, error) {
		return order.SealResult{}, s.executor.NotifyOrder(ctx, n)
	})
	return err
}

// call ends at its deadline even if the sidecar is paused.
func (r *remote) call(ctx context.Context, op string, do func(*sidecar) (order.SealResult, error)) (res order.SealResult, err error) {
	type answer struct {
		res order.SealResult
		err error
	}
	err = r.from.Do(fault.Call{Op: op}, errLost, func() error {
		s := r.w.dial()
		if s == nil {
			return external.ErrUnavailable
		}
		done := make(chan answer, 1)
		go func() {
			if !s.process.Gate() {
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

// gatedEngine is a sidecar's view of the engine.
type gatedEngine struct {
	external.Engine
	s *sidecar
	w *world
}

func (g *gatedEngine) State(context.Context) (st external.EngineState, err error) {
	err = g.s.process.Do(fault.Call{Op: "state"}, errLost, func() error {
		var down bool
		if st, down = g.w.engine.current(); down {
			return external.ErrEngineFailed
		}
		return nil
	})
	return st, err
}

func (g *gatedEngine) Apply(ctx context.Context, o external.EngineOrder) error {
	return g.s.process.Do(fault.Call{Op: "apply"}, external.ErrEngineFailed, func() error {
		n, draining := g.s.drainer.counts()
		done := make(chan error, 1)
		go func() {
			done <- g.w.engine.apply(journalEntry{sidecar: g.s.process.Name, inFlight: n, open: !draining}, o)
		}()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-done:
			return err
		}
	})
}

type gatedWeights struct{ p *fault.Process }

func (g *gatedWeights) Acquire(context.Context, string, int64) error {
	return g.p.Do(fault.Call{Op: "weights"}, errLost, func() error { return nil })
}

type gatedDrainer struct{ s *sidecar }

func (g *gatedDrainer) BeginDrain(ctx context.Context) error {
	return g.s.process.Do(fault.Call{Op: "begin drain"}, nil, func() error { return g.s.drainer.BeginDrain(ctx) })
}

func (g *gatedDrainer) Wait(ctx context.Context) error {
	return g.s.process.Do(fault.Call{Op: "drain"}, nil, func() error { return g.s.drainer.Wait(ctx) })
}

func (g *gatedDrainer) EndDrain() { g.s.drainer.EndDrain() }

// run plays a world to its end and returns the violations. It counts as one if the last wanted
// configuration was not reached.
func (w *world) run() []string {
	w.startSidecar()
	time.Sleep(time.Second)
	w.startEntry()
	time.Sleep(3 * time.Second)
	w.startEntry()
	// After the last change, a crash must lead back to the recorded configuration.
	time.Sleep(lateCrash - time.Since(w.began))
	w.engine.crash()
	time.Sleep(worldEnd - time.Since(w.began))
	bad := check(w.journal.all())
	state, _ := w.engine.current()
	if want := w.wanted(); state.Config.Role != want.Role || !slices.Equal(state.Config.Models, want.Models) {
		e, _ := w.store.Get(w.ctx, order.Key(pool, engineName))
		bad = append(bad, fmt.Sprintf("liveness: engine has %v, wanted %v, record %s", state, want, e.Value))
	}
	return bad
}

// stop ends all goroutines of the world.
func (w *world) stop() {
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.entries {
		p.Kill()
	}
	for _, s := range w.sidecars {
		s.process.Kill()
	}
}

func dump(entries []journalEntry, began time.Time) string {
	var b strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&b, "%8.3fs %-8s %-10s fence %d order %d role %s in flight %d executing %d held %t\n",
			e.at.Sub(began).Seconds(), e.kind, e.sidecar, e.fence, e.number, e.config.Role, e.inFlight, e.executing, e.held)
	}
	return b.String()
}

// Guards against a system that does nothing, in which every invariant holds.
func TestWorldWithoutFaults(t *testing.T) {
	inBubble(t, func(t *testing.T) []string {
		w := newWorld(t, 1, false)
		defer w.stop()
		bad := w.run()
		applied := 0
		for _, e := range w.journal.all() {
			if e.kind == "applied" {
				applied++
			}
		}
		if applied < 8 {
			bad = append(bad, fmt.Sprintf("%d orders were applied\n%s", applied, dump(w.journal.all(), w.began)))
		}
		return bad
	})
}

func inBubble(t *testing.T, f func(t *testing.T) []string) {
	t.Helper()
	require.Empty(t, bubble(t, f))
}
