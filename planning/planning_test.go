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

// harness holds the engines of a pool with their executors, and the entries that plan for it.
type harness struct {
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

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newHarness(t *testing.T, engines int) *harness {
	ctx, stop := context.WithCancel(t.Context())
	h := &harness{
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
			Pool: pool, Engine: id, KV: h.store, Backend: e, Weights: weights.New(1 << 40), Drainer: noDrain{}, Log: discardLogger(),
		})
		h.engines[id], h.executors[id] = e, x
		h.wg.Go(func() { _ = x.Run(ctx) })
	}
	return h
}

func (h *harness) close() {
	h.stop()
	h.wg.Wait()
	for _, e := range h.engines {
		require.NoError(h.t, e.Close())
	}
}

// startEntry starts an entry that competes for the pool's lease, and returns a function that stops
// it.
func (h *harness) startEntry(name string) context.CancelFunc {
	ctx, stop := context.WithCancel(h.ctx)
	m, err := lease.NewManager(h.store, lease.Config{Holder: name, Pools: []string{pool}, Log: discardLogger()})
	require.NoError(h.t, err)
	l := planning.New(planning.Config{
		Interval: time.Second, Leases: m, KV: h.store, Documents: h, Workers: h.workers, Log: discardLogger(),
		Confirmed:    func() bool { return h.confirmed },
		RefusedWork:  func(string) (map[string]placement.KindWork, int) { return nil, 1 },
		MeanSpeed:    func([]string) load.Speed { return load.DefaultSpeed() },
		Dial:         func(_, id string) (planning.Sidecar, error) { return &sidecar{h.executors[id], id}, nil },
		OnRoleChange: func(string, string, string) {},
		OnDecision:   func(string, string, string, []string) {},
	})
	h.wg.Go(func() { m.Run(ctx) })
	h.wg.Go(func() { l.Run(ctx) })
	return stop
}

func (h *harness) Lookup(string) (*document.Service, uint64) { return h.doc, 1 }

func (h *harness) workers() []*v1.WorkerStatus {
	var all []*v1.WorkerStatus
	for id := range h.engines {
		all = append(all, &v1.WorkerStatus{Instance: id, Service: "m", DataCentre: "d"})
	}
	return all
}

type sidecar struct {
	*order.Executor
	id string
}

func (s *sidecar) Probe(context.Context) (*v1.ProbeResponse, error) {
	return &v1.ProbeResponse{Load: &v1.LoadReport{Instance: s.id, Incarnation: "1"}}, nil
}

// requireConfigured requires that all engines have the model and that none received a conflicting
// or stale order.
func (h *harness) requireConfigured() {
	h.t.Helper()
	for id, e := range h.engines {
		s, err := e.State(h.ctx)
		require.NoError(h.t, err, id)
		require.Equal(h.t, []external.ModelVersion{{Name: "v", Version: h.doc.Models[0].Version}}, s.Config.Models, id)
		require.Empty(h.t, e.Violations(), id)
	}
}

// Guards against engines that never get a model, and against initial roles that differ from the
// document.
func TestFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 4)
		defer h.close()
		h.startEntry("e1")
		time.Sleep(30 * time.Second)
		h.requireConfigured()
		roles := map[external.EngineRole]int{}
		for _, e := range h.engines {
			s, err := e.State(t.Context())
			require.NoError(t, err)
			roles[s.Config.Role]++
		}
		require.Equal(t, map[external.EngineRole]int{external.EngineRolePrefill: 1, external.EngineRoleDecode: 1, external.EngineRoleMixed: 2}, roles)
	})
}

// Guards against orders from a process whose documents may be outdated.
func TestUnconfirmedProcessGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		defer h.close()
		h.confirmed = false
		h.startEntry("e1")
		time.Sleep(time.Minute)
		for id, e := range h.engines {
			require.Empty(t, e.Journal(), id)
		}
	})
}

// Guards against an engine that stays without its models after a crash. The engine's first order
// executes from 1 s to 2 s after the entry's start. Both crashes, at 5.2 s and at 30 s, come after it.
func TestCrashedEngineIsReconciled(t *testing.T) {
	for _, after := range []time.Duration{30 * time.Second, 5200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 3)
				defer h.close()
				h.startEntry("e1")
				time.Sleep(after)
				h.engines["w1"].Crash()
				time.Sleep(3 * time.Second)
				h.engines["w1"].Restart(external.EngineConfig{Role: external.EngineRolePrefill})
				time.Sleep(time.Minute)
				h.requireConfigured()
			})
		})
	}
}

// Guards against a pool that is no longer planned after the entry that planned it has stopped, and
// against two entries that issue orders at the same time.
func TestAnotherEntryTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		defer h.close()
		stop := h.startEntry("e1")
		h.startEntry("e2")
		time.Sleep(30 * time.Second)
		h.requireConfigured()
		stop()
		time.Sleep(30 * time.Second)
		h.doc = &document.Service{
			Service: "m", Type: document.TypeModel, Models: []document.Model{{Name: "v", Version: "2"}}, Pools: h.doc.Pools,
		}
		time.Sleep(2 * time.Minute)
		h.requireConfigured()
	})
}

// Guards against a loop that never resumes after an outage of the key-value service.
func TestOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3)
		defer h.close()
		h.startEntry("e1")
		time.Sleep(3 * time.Second)
		h.store.Faults().Set(kv.FaultState{Down: true})
		time.Sleep(time.Minute)
		h.store.Faults().Set(kv.FaultState{LoseAnswers: 5})
		time.Sleep(2 * time.Minute)
		h.requireConfigured()
	})
}
