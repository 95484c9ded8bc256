// Package path tests the request path under injected faults in virtual time: entries, sidecars,
// stand-in engines and backend servers run in one synctest bubble, connected by an in-memory
// network.
//
// Violations name the invariants that they break:
//
//   - I2: no order cuts off a request, conflicts with another order or is stale when it starts, and
//     no drain without a disruptive fault makes an engine cut a request off.
//   - I4: an answer that is marked complete is whole and belongs to its request, a partial text is a
//     prefix of the answer, repeated requests with one idempotency key get the same answer, and an
//     engine runs an attempt that names an incarnation at most once.
//   - I5: a request that is reported as not run has not run.
//   - I6: a request that must not be repeated runs at most once, also under one idempotency key.
//   - I7: a worker begins no request that arrives while it drains.
//   - I8: a drain interrupts no request under the faults in nonDisruptiveFaults.
//   - I9: an accepted edit is kept, only one edit is accepted per revision, the accepted revision is
//     in force in every process within inForceBound, and no process goes back to an older revision.
//     Messages on a process that goes back carry no number.
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
	cluster      = "halte"
	dataCentre   = "midrand"
	modelService = "halte-llm"
	plainService = "halte-api"
	model        = "halte-verdict"
	// retriesPerSecond is high, so that the retry budget, which has its own tests, does not run out
	// while a fault lasts.
	retriesPerSecond = 50
	// statePollInterval is the interval at which a sidecar reads the state of its engine.
	statePollInterval = 500 * time.Millisecond
	// probeTick is the interval at which due probes are sent. It is longer than in the daemon: at
	// 100 ms, probes took a fifth of the tests' time.
	probeTick = 400 * time.Millisecond
)

var documents = map[string]string{
	modelService: `service: halte-llm
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
	plainService: `service: halte-api
type: plain
data_centres: [midrand]
pools: [{data_centre: midrand, workers: 3}]
kinds:
  - {name: alert-acknowledgement, match: {method: POST}, rank: 1, repeatable: false, interruptible: false, deadlines: {total: 3s}}
  - {name: schedule-read, rank: 2, repeatable: true, interruptible: true, deadlines: {total: 2s}}
limits: {queue: %d}
`,
}

func documentBody(service string, queue int) []byte {
	return fmt.Appendf(nil, documents[service], queue)
}

// initialConfig is the configuration with which engines start.
var initialConfig = external.EngineConfig{Role: external.EngineRoleMixed, Models: []external.ModelVersion{{Name: model, Version: "1"}}}

// deployment is a set of entries, workers and stand-ins of the platform on one in-memory network,
// with a record of what callers and workers saw.
type deployment struct {
	t     *testing.T
	net   *memnet.Network
	store *kv.Store
	list  *instances.List
	log   logrus.FieldLogger
	// onStep is called at each step of the protocols.
	onStep func(event)
	// duplicateCommands repeats each claim, completion and release 2 ms later, and each accepted edit
	// at once.
	duplicateCommands atomic.Bool
	// replaying is true while callers repeat requests that have been answered.
	replaying atomic.Bool
	// twoOperators lets two operators edit one document at the same time.
	twoOperators atomic.Bool
	callerClient *http.Client

	mu        sync.Mutex
	starts    int
	instances map[string]external.Instance
	entries   []*entryProcess
	workers   []*workerProcess
	processes []*process
	calls     []*observation
	// firstArrivals holds the first arrival at a worker, by request ID and attempt, joined by a
	// slash.
	firstArrivals map[string]arrival
	drains        []drainPeriod
	// delivered holds the requests that arrived at the worker in each slot.
	delivered map[int][]*v1.ExecuteRequest
	// withoutIncarnation holds the attempts that named no incarnation, by request ID and attempt,
	// joined by a slash. Only repeatable requests may do so. The same engine may run them more than
	// once.
	withoutIncarnation map[string]bool
	// acceptedEdits holds the edits whose acceptance was reported to an operator, by revision. An edit
	// is identified by its queue limit.
	acceptedEdits map[uint64][]int
	// revisionDecreases holds one message for each time that a process went back to an older revision.
	revisionDecreases []string
}

// event is the occurrence of a protocol step. Most steps are reported before they take effect;
// drain steps other than drainEntry are reported when the drain has begun.
type event struct {
	step    string
	entry   *entryProcess
	worker  *workerProcess
	request string
	attempt uint32
	// sender is set at the steps of frames only.
	sender *faultySender
}

// process is the common part of an entry and a sidecar.
type process struct {
	dep         *deployment
	host        *memnet.Host
	instance    external.Instance
	incarnation string
	docs        *dissemination.Store
	agent       *dissemination.Agent
	clients     *rpc.Clients
	servers     []*http.Server
	done        sync.WaitGroup
}

type entryProcess struct {
	*process
	fleet        *entry.Fleet
	view         *membership.View
	committer    *once.Committer
	callerServer *http.Server
	callerAddr   string
	// outOfRotation is true while the entry is stopping: the load balancer sends it no calls.
	outOfRotation bool
}

type workerProcess struct {
	*process
	slot    int
	sidecar *sidecar.Sidecar
	engine  *engine.Engine
	plain   *backend.Server
	faults  messageFaults
}

// processCounts holds how many processes of each kind a deployment has.
type processCounts struct{ entries, engines, backends int }

// newDeployment starts a deployment and gives it 5 s to become ready.
func newDeployment(t *testing.T, c processCounts) *deployment {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dep := &deployment{
		t: t, net: memnet.New(), store: kv.NewStore(kv.Limits{}), list: instances.New(200 * time.Millisecond),
		log: log, onStep: func(event) {}, firstArrivals: map[string]arrival{}, acceptedEdits: map[uint64][]int{}, delivered: map[int][]*v1.ExecuteRequest{}, withoutIncarnation: map[string]bool{}, instances: map[string]external.Instance{},
	}
	callerHost := &memnet.Host{Name: "caller", Ctx: context.Background()}
	dep.callerClient = &http.Client{Timeout: callerTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return dep.net.Dial(ctx, callerHost, addr)
		},
	}}
	for s := range documents {
		_, err := registry.Apply(t.Context(), dep.store, s, 0, documentBody(s, 64), "test")
		require.NoError(t, err)
	}
	for i := range c.entries {
		dep.entries = append(dep.entries, nil)
		dep.startEntry(i)
	}
	for i := range c.engines + c.backends {
		p := &workerProcess{slot: i}
		if i < c.engines {
			// At 2 ms per step a request takes some tens of milliseconds.
			p.engine = engine.New(engine.Config{Name: fmt.Sprint("g", i), Seed: 1, Initial: initialConfig, StepBase: 2 * time.Millisecond, OrderTime: time.Second})
		} else {
			p.plain = backend.New(backend.Config{})
		}
		dep.workers = append(dep.workers, p)
		dep.startWorker(i)
	}
	time.Sleep(5 * time.Second)
	// Lets the entries know the incarnations of all workers, as after some time of service.
	for _, e := range dep.entries {
		for _, p := range dep.workers {
			e.view.Observe(time.Now(), membership.Evidence{
				ID: p.instance.ID, Kind: membership.Answered, Address: p.instance.Address, Incarnation: p.incarnation, Started: time.Now(),
			})
		}
	}
	return dep
}

// stop ends the faults of the network and the key-value service, kills all processes, waits for
// their goroutines and gives the others a minute to end.
func (dep *deployment) stop() {
	dep.store.Faults().Set(kv.FaultState{})
	dep.net.Heal()
	for _, p := range dep.processes {
		p.kill()
	}
	for _, p := range dep.workers {
		if p.engine != nil {
			_ = p.engine.Close()
		}
	}
	for _, p := range dep.processes {
		p.done.Wait()
	}
	time.Sleep(time.Minute)
}

func (dep *deployment) newProcess(id, role, service, addr string) *process {
	dep.mu.Lock()
	dep.starts++
	n := dep.starts
	dep.mu.Unlock()
	h := &memnet.Host{Name: id}
	h.Ctx, h.Cancel = context.WithCancel(context.Background())
	p := &process{
		dep: dep, host: h, incarnation: fmt.Sprintf("%04d", n), docs: dissemination.NewStore(),
		instance: external.Instance{ID: id, Role: role, Service: service, DataCentre: dataCentre, Address: addr, State: external.InstanceLive},
	}
	p.clients = rpc.NewClients(rpc.ClientConfig{Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
		return dep.net.Dial(ctx, h, addr)
	}})
	p.agent = dissemination.NewAgent(dissemination.Config{
		Self: p.instance, Store: p.docs, KV: p.kv(), Seed: uint64(n),
		Dial: func(in external.Instance) dissemination.Fetcher {
			return &entry.DocumentFetcher{Clients: p.clients, Cluster: cluster, Address: in.Address}
		},
	})
	dep.mu.Lock()
	dep.processes = append(dep.processes, p)
	dep.mu.Unlock()
	p.background(p.agent.Run)
	p.background(p.watchRevisions)
	return p
}

func (p *process) background(f func(context.Context)) { p.done.Go(func() { f(p.host.Ctx) }) }

func (p *process) documents() *entry.ActiveDocuments {
	return &entry.ActiveDocuments{Store: p.docs, Agent: p.agent}
}

// watchRevisions records every decrease of a document's revision.
func (p *process) watchRevisions(ctx context.Context) {
	seen := map[string]uint64{}
	for {
		changed := p.docs.Changed()
		for name, f := range p.docs.Snapshot() {
			if f.Revision < seen[name] {
				p.dep.mu.Lock()
				p.dep.revisionDecreases = append(p.dep.revisionDecreases, fmt.Sprintf("%s: %s went back from revision %d to %d", p.instance.ID, name, seen[name], f.Revision))
				p.dep.mu.Unlock()
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
	l := p.dep.net.Listen(p.host, addr)
	p.servers = append(p.servers, srv)
	p.done.Go(func() { _ = srv.Serve(l) })
}

func (p *process) kill() {
	p.dep.net.Kill(p.host)
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.clients.Close()
}

// publish adds or updates an instance in the platform's list and passes the list to all
// dissemination agents.
func (dep *deployment) publish(in external.Instance) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.instances[in.ID] = in
	var all []external.Instance
	for _, in := range dep.instances {
		all = append(all, in)
	}
	dep.list.Set(all...)
	for _, p := range dep.processes {
		p.agent.SetInstances(all)
	}
}

func (dep *deployment) startEntry(i int) {
	peerAddr, callerAddr := fmt.Sprintf("10.0.0.%d:1", i), fmt.Sprintf("10.0.0.%d:2", i)
	p := &entryProcess{process: dep.newProcess(fmt.Sprint("entry-", i), external.RoleEntry, "", peerAddr), callerAddr: callerAddr}
	var err error
	settings := membership.DefaultSettings()
	settings.ProbeTick = probeTick
	p.view, err = membership.NewView(settings, rand.New(rand.NewPCG(1, uint64(i))))
	require.NoError(dep.t, err)
	p.fleet = entry.NewFleet(cluster, dataCentre, p.view, p.clients, uint64(i))
	p.committer, err = once.NewCommitter(p.kv(), once.DefaultSettings(), dep.log)
	require.NoError(dep.t, err)
	router := once.NewRouter(p.instance.ID, func() []external.Instance { return p.view.Snapshot().Entries() },
		&entry.ClaimForwarder{Clients: p.clients, Cluster: cluster}, p.committer)
	cfg := entry.Config{
		Cluster: cluster, Instance: p.instance.ID, DataCentre: dataCentre, Incarnation: p.incarnation,
		MaxBodyBytes: 1 << 20, WriteTimeout: 5 * time.Second,
	}
	decisions := entry.NewDecisionLog(64)
	e := entry.New(cfg, entry.Options{
		Documents: p.documents(), Picker: &picker{Fleet: p.fleet, p: p}, Clients: p.clients,
		Admitter: &admitter{entry.NewAdmission(p.fleet), p}, Budget: retry.NewBudget(retry.Config{MinPerSecond: retriesPerSecond, Burst: retriesPerSecond}),
		Claims: &claimer{router, p}, Metrics: noMetrics{}, Log: dep.log, Decisions: decisions,
	})
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewPeerServiceHandler(entry.NewPeer(cfg, entry.PeerOptions{
		Store: p.docs, Claims: p.committer, Workers: p.fleet.Status, Decisions: decisions,
		HeldPools: func() []string { return nil },
	}), rpc.PeerOptions()...))
	p.serve(rpc.NewServer(mux), peerAddr)
	p.callerServer = rpc.NewServer(e.Handler())
	p.serve(p.callerServer, callerAddr)
	p.background(membership.NewRunner(p.view, dep.list, p.fleet, dep.log).Run)
	p.background(p.fleet.Run)
	dep.mu.Lock()
	dep.entries[i] = p
	dep.mu.Unlock()
	dep.publish(p.instance)
}

// startWorker starts a new sidecar for the engine or backend server of slot i, which keeps running
// when its sidecar is replaced.
func (dep *deployment) startWorker(i int) {
	dep.mu.Lock()
	old := dep.workers[i]
	dep.mu.Unlock()
	service := modelService
	if old.plain != nil {
		service = plainService
	}
	addr := fmt.Sprintf("10.0.1.%d:1", i)
	p := &workerProcess{process: dep.newProcess(fmt.Sprint("worker-", i), external.RoleSidecar, service, addr), slot: i, engine: old.engine, plain: old.plain}
	var eng external.Engine
	var plain external.Backend
	if p.engine != nil {
		eng = &processEngine{p.engine, p}
	} else {
		plain = &processBackend{p.plain, p}
	}
	var err error
	p.sidecar, err = sidecar.New(sidecar.Config{
		Cluster: cluster, Instance: p.instance.ID, Service: service, Incarnation: p.incarnation, Peers: p.clients,
		MaxInFlight: 256, Attempts: once.DefaultAttemptTableSettings(),
	}, eng, plain, p.documents(), noMetrics{}, dep.log)
	require.NoError(dep.t, err)
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(
		&faultyService{sidecar.NewService(p.sidecar, nil, modelService+"."+dataCentre, dep.log), p}, rpc.WorkerOptions()...))
	p.serve(rpc.NewServer(mux), addr)
	p.background(func(ctx context.Context) {
		for ctx.Err() == nil {
			_ = p.sidecar.RefreshState(ctx)
			pause.For(ctx, statePollInterval)
		}
	})
	dep.mu.Lock()
	dep.workers[i] = p
	dep.mu.Unlock()
	dep.publish(p.instance)
}

func (dep *deployment) setOnStep(f func(event)) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.onStep = f
}

// reachStep reports a step to onStep, and then blocks while the reporting process (the entry if set,
// else the worker) is frozen.
func (dep *deployment) reachStep(e event) {
	dep.mu.Lock()
	f := dep.onStep
	dep.mu.Unlock()
	f(e)
	w := e.worker
	switch {
	case e.entry != nil:
		dep.net.WaitRunning(e.entry.host)
	case w != nil:
		dep.net.WaitRunning(w.host)
	}
}

// allWorkers returns a copy of the current workers. Faults can replace workers at any time.
func (dep *deployment) allWorkers() []*workerProcess {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return slices.Clone(dep.workers)
}

func (dep *deployment) workerByID(id string) *workerProcess {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for _, p := range dep.workers {
		if p.instance.ID == id {
			return p
		}
	}
	return nil
}
