// Package path proves the request path under faults in virtual time: entries, sidecars, standin
// engines and backend servers run in one synctest bubble, connected by a network in memory.
package path

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallug/quetzallug/internal/memnet"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/dissemination"
	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/entry"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/retry"
	"github.com/quetzallug/quetzallug/sidecar"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
	"github.com/quetzallug/quetzallug/standin/instances"
	"github.com/quetzallug/quetzallug/standin/kv"
)

const (
	cluster    = "halte"
	dataCentre = "midrand"
	llm        = "halte-llm"
	api        = "halte-api"
	model      = "halte-verdict"
	// retriesPerSecond is high, so that the budget, which is proved elsewhere, does not end the
	// attempts before the faults do.
	retriesPerSecond = 50
	// statePoll is the time between a sidecar's looks at its engine.
	statePoll = 500 * time.Millisecond
	// probeTick is coarser than in the daemon: 100 ms took a fifth of the tests' time.
	probeTick = 400 * time.Millisecond
)

var documents = map[string]string{
	llm: `service: halte-llm
type: model
data_centres: [midrand]
models: [{name: halte-verdict, version: "1", weights_mib: 1}]
pools: [{data_centre: midrand, workers: 3, roles: {mixed: 3}}]
kinds:
  - {name: arrival-verdict, match: {kind: arrival-verdict}, rank: 1, repeatable: true, interruptible: false, deadlines: {first_token: 730ms, between_tokens: 71ms, total: 8s}}
  - {name: order, match: {kind: order}, rank: 1, repeatable: false, interruptible: false, deadlines: {first_token: 730ms, between_tokens: 71ms, total: 8s}}
  - {name: chat, rank: 2, repeatable: true, interruptible: true, deadlines: {first_token: 730ms, between_tokens: 71ms, total: 20s}}
limits: {queue: %d}
`,
	api: `service: halte-api
type: plain
data_centres: [midrand]
pools: [{data_centre: midrand, workers: 3}]
kinds:
  - {name: alert-acknowledgement, match: {method: POST}, rank: 1, repeatable: false, interruptible: false, deadlines: {total: 3s}}
  - {name: schedule-read, rank: 2, repeatable: true, interruptible: true, deadlines: {total: 2s}}
limits: {queue: %d}
`,
}

func body(service string, queue int) []byte { return fmt.Appendf(nil, documents[service], queue) }

// initial is the configuration with which engines start.
var initial = external.EngineConfig{Role: external.EngineRoleMixed, Models: []external.ModelVersion{{Name: model, Version: "1"}}}

// world is one deployment.
type world struct {
	t     *testing.T
	net   *memnet.Network
	store *kv.Store
	list  *instances.List
	log   logrus.FieldLogger
	// onStep is called at each step of the protocols.
	onStep func(event)
	// duplicateClaims repeats each claim, completion and release a little later.
	duplicateClaims atomic.Bool
	// replaying marks claims by callers that repeat a request that has been answered.
	replaying atomic.Bool
	// twoOperators lets two operators edit one document at the same time.
	twoOperators atomic.Bool
	caller       *http.Client

	mu      sync.Mutex
	starts  int
	insts   map[string]external.Instance
	entries []*entryProc
	workers []*workerProc
	all     []*process
	calls   []*observation
	// accepted holds the first arrival of each attempt at a worker.
	accepted map[string]arrival
	drains   []drainRecord
	// delivered holds the requests that arrived at each slot.
	delivered map[int][]*v1.ExecuteRequest
	// unbound holds the attempts that named no incarnation, which only repeatable requests may do.
	unbound map[string]bool
	// accepts holds the edits that operators were told are accepted, by revision.
	accepts   map[uint64][]int
	regressed []string
}

// event is a protocol step that is about to happen.
type event struct {
	step    string
	entry   *entryProc
	worker  *workerProc
	request string
	attempt uint32
	// sender is set at frame steps.
	sender *sender
}

// process is what entries and sidecars have in common.
type process struct {
	w       *world
	host    *memnet.Host
	inst    external.Instance
	inc     string
	docs    *dissemination.Store
	agent   *dissemination.Agent
	clients *rpc.Clients
	servers []*http.Server
	done    sync.WaitGroup
}

type entryProc struct {
	*process
	fleet  *entry.Fleet
	view   *membership.View
	commit *once.Committer
	caller *http.Server
	addr   string // of callers
	// unbalanced says that the balancer sends no callers, because the entry is stopping.
	unbalanced bool
}

type workerProc struct {
	*process
	slot   int
	sc     *sidecar.Sidecar
	engine *engine.Engine
	plain  *backend.Server
	mode   workerMode
}

type config struct{ entries, engines, plains int }

// newWorld starts a deployment and waits until it serves.
func newWorld(t *testing.T, c config) *world {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &world{
		t: t, net: memnet.New(), store: kv.NewStore(kv.Limits{}), list: instances.New(200 * time.Millisecond),
		log: log, onStep: func(event) {}, accepted: map[string]arrival{}, accepts: map[uint64][]int{}, delivered: map[int][]*v1.ExecuteRequest{}, unbound: map[string]bool{}, insts: map[string]external.Instance{},
	}
	callerHost := &memnet.Host{Name: "caller", Ctx: context.Background()}
	w.caller = &http.Client{Timeout: callerTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return w.net.Dial(ctx, callerHost, addr)
		},
	}}
	for s := range documents {
		_, err := registry.Apply(t.Context(), w.store, s, 0, body(s, 64), "test")
		require.NoError(t, err)
	}
	for i := range c.entries {
		w.entries = append(w.entries, nil)
		w.startEntry(i)
	}
	for i := range c.engines + c.plains {
		p := &workerProc{slot: i}
		if i < c.engines {
			// 2 ms per step, so that a request takes some tens of milliseconds.
			p.engine = engine.New(engine.Config{Name: fmt.Sprint("g", i), Seed: 1, Initial: initial, StepBase: 2 * time.Millisecond, OrderTime: time.Second})
		} else {
			p.plain = backend.New(backend.Config{})
		}
		w.workers = append(w.workers, p)
		w.startWorker(i)
	}
	time.Sleep(5 * time.Second)
	// The entries have served for a while and know the incarnations of all workers.
	for _, e := range w.entries {
		for _, p := range w.workers {
			e.view.Observe(time.Now(), membership.Evidence{
				ID: p.inst.ID, Kind: membership.Answered, Address: p.inst.Address, Incarnation: p.inc, Started: time.Now(),
			})
		}
	}
	return w
}

// stop ends all processes, so that the bubble has no goroutines left.
func (w *world) stop() {
	w.store.Faults().Set(kv.FaultState{})
	w.net.Heal()
	for _, p := range w.all {
		p.kill()
	}
	for _, p := range w.workers {
		if p.engine != nil {
			_ = p.engine.Close()
		}
	}
	for _, p := range w.all {
		p.done.Wait()
	}
	time.Sleep(time.Minute)
}

func (w *world) newProcess(id, role, service, addr string) *process {
	w.mu.Lock()
	w.starts++
	n := w.starts
	w.mu.Unlock()
	h := &memnet.Host{Name: id}
	h.Ctx, h.Cancel = context.WithCancel(context.Background())
	p := &process{
		w: w, host: h, inc: fmt.Sprintf("%04d", n), docs: dissemination.NewStore(),
		inst: external.Instance{ID: id, Role: role, Service: service, DataCentre: dataCentre, Address: addr, State: external.InstanceLive},
	}
	p.clients = rpc.NewClients(rpc.ClientConfig{Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
		return w.net.Dial(ctx, h, addr)
	}})
	p.agent = dissemination.NewAgent(dissemination.Config{
		Self: p.inst, Store: p.docs, KV: p.kv(), Seed: uint64(n),
		Dial: func(in external.Instance) dissemination.Fetcher {
			return &entry.DocumentFetcher{Clients: p.clients, Cluster: cluster, Address: in.Address}
		},
	})
	w.mu.Lock()
	w.all = append(w.all, p)
	w.mu.Unlock()
	p.background(p.agent.Run)
	p.background(p.watchRevisions)
	return p
}

func (p *process) background(f func(context.Context)) { p.done.Go(func() { f(p.host.Ctx) }) }

func (p *process) documents() *entry.ActiveDocuments {
	return &entry.ActiveDocuments{Store: p.docs, Agent: p.agent}
}

// watchRevisions records a document whose revision decreases.
func (p *process) watchRevisions(ctx context.Context) {
	seen := map[string]uint64{}
	for {
		changed := p.docs.Changed()
		for name, f := range p.docs.Snapshot() {
			if f.Revision < seen[name] {
				p.w.mu.Lock()
				p.w.regressed = append(p.w.regressed, fmt.Sprintf("%s: %s fell from revision %d to %d", p.inst.ID, name, seen[name], f.Revision))
				p.w.mu.Unlock()
			}
			seen[name] = f.Revision
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (p *process) serve(srv *http.Server, addr string) {
	l := p.w.net.Listen(p.host, addr)
	p.servers = append(p.servers, srv)
	p.done.Go(func() { _ = srv.Serve(l) })
}

func (p *process) kill() {
	p.w.net.Kill(p.host)
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.clients.Close()
}

// publish puts a process into the instance list and tells the agents.
func (w *world) publish(in external.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.insts[in.ID] = in
	var all []external.Instance
	for _, in := range w.insts {
		all = append(all, in)
	}
	w.list.Set(all...)
	for _, p := range w.all {
		p.agent.SetInstances(all)
	}
}

func (w *world) startEntry(i int) {
	peerAddr, callerAddr := fmt.Sprintf("10.0.0.%d:1", i), fmt.Sprintf("10.0.0.%d:2", i)
	p := &entryProc{process: w.newProcess(fmt.Sprint("entry-", i), external.RoleEntry, "", peerAddr), addr: callerAddr}
	var err error
	set := membership.DefaultSettings()
	set.ProbeTick = probeTick
	p.view, err = membership.NewView(set, rand.New(rand.NewPCG(1, uint64(i))))
	require.NoError(w.t, err)
	p.fleet = entry.NewFleet(cluster, dataCentre, p.view, p.clients, uint64(i))
	p.commit, err = once.NewCommitter(p.kv(), once.DefaultSettings(), w.log)
	require.NoError(w.t, err)
	router := once.NewRouter(p.inst.ID, func() []external.Instance { return p.view.Snapshot().Entries() },
		&entry.ClaimForwarder{Clients: p.clients, Cluster: cluster}, p.commit)
	cfg := entry.Config{
		Cluster: cluster, Instance: p.inst.ID, DataCentre: dataCentre, Incarnation: p.inc,
		MaxBodyBytes: 1 << 20, WriteTimeout: 5 * time.Second,
	}
	decisions := entry.NewDecisionLog(64)
	e := entry.New(cfg, entry.Options{
		Documents: p.documents(), Picker: &picker{Fleet: p.fleet, p: p}, Clients: p.clients,
		Admitter: &admitter{entry.NewAdmission(p.fleet), p}, Budget: retry.NewBudget(retry.Config{MinPerSecond: retriesPerSecond, Burst: retriesPerSecond}),
		Claims: &claimer{router, p}, Metrics: noMetrics{}, Log: w.log, Decisions: decisions,
	})
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewPeerServiceHandler(entry.NewPeer(cfg, entry.PeerOptions{
		Store: p.docs, Claims: p.commit, Workers: p.fleet.Status, Decisions: decisions,
		HeldPools: func() []string { return nil },
	}), rpc.PeerOptions()...))
	p.serve(rpc.NewServer(mux), peerAddr)
	p.caller = rpc.NewServer(e.Handler())
	p.serve(p.caller, callerAddr)
	p.background(membership.NewRunner(p.view, w.list, p.fleet, w.log).Run)
	p.background(p.fleet.Run)
	w.mu.Lock()
	w.entries[i] = p
	w.mu.Unlock()
	w.publish(p.inst)
}

// startWorker starts a sidecar beside the slot's engine or backend server, which goes on running
// while sidecars come and go.
func (w *world) startWorker(i int) {
	w.mu.Lock()
	old := w.workers[i]
	w.mu.Unlock()
	service := llm
	if old.plain != nil {
		service = api
	}
	addr := fmt.Sprintf("10.0.1.%d:1", i)
	p := &workerProc{process: w.newProcess(fmt.Sprint("worker-", i), external.RoleSidecar, service, addr), slot: i, engine: old.engine, plain: old.plain}
	var eng external.Engine
	var plain external.Backend
	if p.engine != nil {
		eng = &hostEngine{p.engine, p}
	} else {
		plain = &hostBackend{p.plain, p}
	}
	var err error
	p.sc, err = sidecar.New(sidecar.Config{
		Cluster: cluster, Instance: p.inst.ID, Service: service, Incarnation: p.inc, Peers: p.clients,
		MaxInFlight: 256, Attempts: once.DefaultAttemptTableSettings(),
	}, eng, plain, p.documents(), noMetrics{}, w.log)
	require.NoError(w.t, err)
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(
		&worker{sidecar.NewService(p.sc, nil, llm+"."+dataCentre, w.log), p}, rpc.WorkerOptions()...))
	p.serve(rpc.NewServer(mux), addr)
	p.background(func(ctx context.Context) {
		for ctx.Err() == nil {
			_ = p.sc.RefreshState(ctx)
			pause.For(ctx, statePoll)
		}
	})
	w.mu.Lock()
	w.workers[i] = p
	w.mu.Unlock()
	w.publish(p.inst)
}

func (w *world) setHook(f func(event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStep = f
}

// hook marks a step. A process that is frozen there stands still.
func (w *world) hook(e event) {
	w.mu.Lock()
	f := w.onStep
	w.mu.Unlock()
	f(e)
	self := e.worker
	switch {
	case e.entry != nil:
		w.net.WaitRunning(e.entry.host)
	case self != nil:
		w.net.WaitRunning(self.host)
	}
}

// allWorkers returns the present workers; faults replace them while a request runs.
func (w *world) allWorkers() []*workerProc {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.workers)
}

func (w *world) worker(id string) *workerProc {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.workers {
		if p.inst.ID == id {
			return p
		}
	}
	return nil
}
