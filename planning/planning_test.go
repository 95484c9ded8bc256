package planning_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/placement"
	"github.com/quetzallug/quetzallug/planning"
	"github.com/quetzallug/quetzallug/standin/engine"
	"github.com/quetzallug/quetzallug/standin/kv"
	"github.com/quetzallug/quetzallug/standin/weights"
)

const pool = "m.d"

// world is a pool of engines with their executors, and entries that plan for it.
type world struct {
	t         *testing.T
	store     *kv.Store
	engines   map[string]*engine.Engine
	executors map[string]*order.Executor
	doc       *document.Service
	confirmed bool
	stop      context.CancelFunc
	ctx       context.Context
	wg        sync.WaitGroup
}

type noDrain struct{}

func (noDrain) BeginDrain(context.Context) error { return nil }
func (noDrain) Wait(context.Context) error       { return nil }
func (noDrain) EndDrain()                        {}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newWorld(t *testing.T, engines int) *world {
	ctx, stop := context.WithCancel(t.Context())
	w := &world{
		t: t, store: kv.NewStore(kv.Limits{}), engines: map[string]*engine.Engine{},
		executors: map[string]*order.Executor{}, confirmed: true, ctx: ctx, stop: stop,
		doc: &document.Service{
			Service: "m", Type: document.TypeModel, Models: []document.Model{{Name: "v", Version: "1"}},
			Pools: []document.Pool{{DataCentre: "d", Workers: engines, Roles: document.Roles{Prefill: 1, Decode: 1, Mixed: engines - 2}}},
		},
	}
	for i := range engines {
		id := fmt.Sprintf("w%d", i)
		e := engine.New(engine.Config{Name: id, Seed: 1, OrderTime: time.Second, CheckFence: i%2 == 0})
		x := order.NewExecutor(order.ExecutorConfig{
			Pool: pool, Engine: id, KV: w.store, Backend: e, Weights: weights.New(1 << 40), Drainer: noDrain{}, Log: quiet(),
		})
		w.engines[id], w.executors[id] = e, x
		w.wg.Go(func() { _ = x.Run(ctx) })
	}
	return w
}

func (w *world) close() {
	w.stop()
	w.wg.Wait()
	for _, e := range w.engines {
		require.NoError(w.t, e.Close())
	}
}

// entry starts an entry that competes for the pool, and returns how to stop it.
func (w *world) entry(name string) context.CancelFunc {
	ctx, stop := context.WithCancel(w.ctx)
	m, err := lease.NewManager(w.store, lease.Config{Holder: name, Pools: []string{pool}, Log: quiet()})
	require.NoError(w.t, err)
	l := planning.New(planning.Config{
		Interval: time.Second, Leases: m, KV: w.store, Documents: w, Workers: w.workers, Log: quiet(),
		Confirmed:  func() bool { return w.confirmed },
		Refused:    func(string) (map[string]placement.KindWork, int) { return nil, 1 },
		Speed:      func([]string) load.Speed { return load.DefaultSpeed() },
		Dial:       func(_, id string) (planning.Worker, error) { return &worker{w.executors[id], id}, nil },
		RoleChange: func(string, string, string) {},
		Decided:    func(string, string, string, []string) {},
	})
	w.wg.Go(func() { m.Run(ctx) })
	w.wg.Go(func() { l.Run(ctx) })
	return stop
}

func (w *world) Lookup(string) (*document.Service, uint64) { return w.doc, 1 }

func (w *world) workers() []*v1.WorkerStatus {
	var all []*v1.WorkerStatus
	for id := range w.engines {
		all = append(all, &v1.WorkerStatus{Instance: id, Service: "m", DataCentre: "d"})
	}
	return all
}

type worker struct {
	*order.Executor
	id string
}

func (w *worker) Probe(context.Context) (*v1.ProbeResponse, error) {
	return &v1.ProbeResponse{Load: &v1.LoadReport{Instance: w.id, Incarnation: "1"}}, nil
}

// check requires that all engines have the model and none saw a conflicting or stale order.
func (w *world) check() {
	w.t.Helper()
	for id, e := range w.engines {
		s, err := e.State(w.ctx)
		require.NoError(w.t, err, id)
		require.Equal(w.t, []external.ModelVersion{{Name: "v", Version: w.doc.Models[0].Version}}, s.Config.Models, id)
		require.Empty(w.t, e.Violations(), id)
	}
}

// Guards against engines that stay without a model, and against roles that do not follow the
// document.
func TestFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		defer w.close()
		w.entry("e1")
		time.Sleep(30 * time.Second)
		w.check()
		roles := map[external.Role]int{}
		for _, e := range w.engines {
			s, err := e.State(t.Context())
			require.NoError(t, err)
			roles[s.Config.Role]++
		}
		require.Equal(t, map[external.Role]int{external.RolePrefill: 1, external.RoleDecode: 1, external.RoleMixed: 2}, roles)
	})
}

// Guards against orders from a process whose documents may be old.
func TestUnconfirmedProcessGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		defer w.close()
		w.confirmed = false
		w.entry("e1")
		time.Sleep(time.Minute)
		for id, e := range w.engines {
			require.Empty(t, e.Journal(), id)
		}
	})
}

// Guards against an engine that stays without its models after a crash, during an order or not.
func TestCrashedEngineIsReconciled(t *testing.T) {
	for _, after := range []time.Duration{30 * time.Second, 5200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 3)
				defer w.close()
				w.entry("e1")
				time.Sleep(after)
				w.engines["w1"].Crash()
				time.Sleep(3 * time.Second)
				w.engines["w1"].Restart(external.EngineConfig{Role: external.RolePrefill})
				time.Sleep(time.Minute)
				w.check()
			})
		})
	}
}

// Guards against a pool that is not planned after its planner has stopped, and against two
// planners that give orders.
func TestAnotherEntryTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		defer w.close()
		stop := w.entry("e1")
		w.entry("e2")
		time.Sleep(30 * time.Second)
		w.check()
		stop()
		time.Sleep(30 * time.Second)
		w.doc = &document.Service{
			Service: "m", Type: document.TypeModel, Models: []document.Model{{Name: "v", Version: "2"}}, Pools: w.doc.Pools,
		}
		time.Sleep(2 * time.Minute)
		w.check()
	})
}

// Guards against a round that gives up for good when the key-value service fails.
func TestOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		defer w.close()
		w.entry("e1")
		time.Sleep(3 * time.Second)
		w.store.Faults().Set(kv.FaultState{Down: true})
		time.Sleep(time.Minute)
		w.store.Faults().Set(kv.FaultState{LoseAnswers: 5})
		time.Sleep(2 * time.Minute)
		w.check()
	})
}
