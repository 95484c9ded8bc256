// Package site tests the gateway against a simulation of the users' platform in virtual time: gateways,
// store, workers and callers run in one synctest bubble and are connected by an in-memory network. Most
// checks use only what callers and workers observed.
package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/internal/memnet"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/platform"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/standin/site"
	"github.com/quetzallug/quetzallug/upstream"
)

const (
	storeAddress = "10.200.1.7:1"
	hostname     = "a.example"
	// settleTime is longer than a gateway takes to apply a change of the store.
	settleTime = time.Second
	leaseTTL   = 3500 * time.Millisecond
	// orderGuard is the minimum time between role orders of two lease holders.
	orderGuard = 3 * time.Second
)

// testEnv is a deployment in one synctest bubble: a store, workers and gateways.
type testEnv struct {
	t          *testing.T
	net        *memnet.Network
	store      *site.Store
	storeHost  *memnet.Host
	callerHost *memnet.Host
	version    int
	// config is the newest configuration of the operator.
	config   jsonMap
	cleanups []func()
	// accounts are the client accounts of the configuration; nil leaves them out.
	accounts []jsonMap
	// revocationBound is that of the gateways.
	revocationBound time.Duration
	// seen holds everything that gateways send, log and count.
	seen recorder
	// usage is set if the gateways report usage windows.
	usage *usageEnv
	// duties is nil unless the gateways have duties. autoscaling holds the limits of services by name.
	duties      *site.Duties
	autoscaling map[string]jsonMap

	// silences counts how often the open connections to the store fell silent.
	silences atomic.Int32

	mu      sync.Mutex
	workers []*site.Worker
	// gone holds the IDs of the workers that have left, whose entries don't come back.
	gone     map[string]bool
	gateways []*gatewayNode
	lastID   int
	// gatewayCount counts all gateways that were started.
	gatewayCount int
}

// gatewayNode is one simulated gateway process.
type gatewayNode struct {
	env     *testEnv
	host    *memnet.Host
	address string
	gateway *gateway.Gateway
	tables  *route.ActiveTable
	roster  *gateway.Roster
	demand  *gateway.Demand
	scaler  *gateway.Scaler
	server  *http.Server
	usage   *usageNode // nil without usage reports
	// loops and usageLoops are the background work, which a planned stop ends one after the other.
	loops, usageLoops *loops
}

// loops is background work that ends together.
type loops struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func (l *loops) start(runs ...func(context.Context)) {
	for _, run := range runs {
		l.done.Go(func() { run(l.ctx) })
	}
}

func (l *loops) stop() {
	l.cancel()
	l.done.Wait()
}

func newLoops(ctx context.Context) *loops {
	l := &loops{}
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, net: memnet.New(), store: site.NewStore()}
	env.callerHost = env.newHost("callers")
	env.storeHost = env.newHost("store")
	env.serve(env.storeHost, storeAddress, env.store)
	return env
}

func (env *testEnv) newHost(name string) *memnet.Host {
	h := &memnet.Host{Name: name}
	h.Ctx, h.Cancel = context.WithCancel(context.Background())
	return h
}

func (env *testEnv) serve(h *memnet.Host, addr string, handler http.Handler) *http.Server {
	srv := &http.Server{Handler: handler, ErrorLog: nil}
	l := env.net.Listen(h, addr)
	go func() { _ = srv.Serve(l) }()
	env.mu.Lock()
	defer env.mu.Unlock()
	env.cleanups = append(env.cleanups, func() { _ = srv.Close() })
	return srv
}

// addWorker starts and registers a worker.
func (env *testEnv) addWorker(cfg site.WorkerConfig) {
	if cfg.Address == "" {
		cfg.Address = fmt.Sprintf("10.1.64.%d:8080", len(env.workers)+1)
	}
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	if cfg.ServiceTime == 0 {
		cfg.ServiceTime = 20 * time.Millisecond
	}
	cfg.Zone = "z"
	wk := site.NewWorker(cfg)
	env.workers = append(env.workers, wk)
	env.serve(env.newHost(cfg.ID), cfg.Address, wk)
	wk.Register(env.store)
}

// addGateway starts a gateway with its store watcher, lease manager and role planner.
func (env *testEnv) addGateway(name string) *gatewayNode {
	env.gatewayCount++
	n := &gatewayNode{env: env, host: env.newHost(name), address: fmt.Sprintf("10.1.0.%d:8144", env.gatewayCount), tables: &route.ActiveTable{}, roster: gateway.NewRoster(), demand: gateway.NewDemand(recordedMetrics{seen: &env.seen})}
	n.loops, n.usageLoops = newLoops(n.host.Ctx), newLoops(n.host.Ctx)
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		c, err := env.net.Dial(ctx, n.host, addr)
		if err != nil {
			return nil, err
		}
		if addr == storeAddress {
			c = &silenceableConn{Conn: c, silences: &env.silences, openedAt: env.silences.Load()}
		}
		return &recordedConn{Conn: c, seen: &env.seen}, nil
	}
	adapter := &platform.Adapter{}
	require.NoError(env.t, adapter.Provision(context.Background(), kernel.Settings{"address": storeAddress, "watch-wait": "1.7s"}))
	adapter.SetDial(dial)
	log := logrus.New()
	log.SetOutput(&env.seen)
	metrics := recordedMetrics{seen: &env.seen}
	pool := upstream.NewPoolWithDial(dial)
	quarantined := gateway.NewQuarantine(name, adapter, log)
	cfg := gateway.Config{DataCentre: "z", RetryWindow: 10 * time.Second, RetryShare: 0.2, RetrySlack: 1, MaxRest: 30 * time.Second, RevocationBound: env.revocationBound}
	leaseCfg := lease.Config{Holder: name, Epoch: adapter.Epoch, Era: adapter.Era, Pools: []string{gateway.RolesPool}, TTL: leaseTTL, SafetyMargin: leaseTTL / 7, MaxPools: 1, Random: lockedRandom(uint64(env.gatewayCount - 1))}
	if env.usage != nil {
		n.usage = env.usage.newNode(n, &cfg, &leaseCfg)
	}
	guard := contain.New(log, func(task string) { panic("panic contained in " + task) })
	n.gateway = gateway.New(cfg, adapter, n.tables, n.roster, pool, quarantined, n.demand, guard, log)
	leases, err := lease.NewManager(adapter, leaseCfg)
	require.NoError(env.t, err)
	watcher := gateway.NewStoreWatcher(adapter, n.tables, n.roster, quarantined, guard, log)
	roles := gateway.NewRolePlanner(name, leaseTTL+orderGuard, adapter, leases, n.tables, n.roster, pool, metrics, log)
	env.addScaler(n, adapter, roles, log)
	if n.usage != nil {
		n.usageLoops.start(n.usage.start(adapter, leases, watcher, dial, log)...)
	}
	n.loops.start(watcher.Run, quarantined.Run, leases.Run, roles.Run)
	n.server = env.serve(n.host, n.address, n.gateway)
	env.gateways = append(env.gateways, n)
	env.cleanups = append(env.cleanups, func() {
		n.kill()
		pool.Close()
		_ = adapter.Cleanup()
	})
	return n
}

// lockedRandom returns a source of random numbers for the goroutines of a lease manager.
func lockedRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(1, seed))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
}

func (n *gatewayNode) kill() {
	n.env.net.Kill(n.host)
	_ = n.server.Close()
	n.usageLoops.stop()
	n.loops.stop()
}

// stopAsPlanned ends a gateway that has no requests any more: the usage counts first, then the lease.
func (n *gatewayNode) stopAsPlanned() {
	n.usageLoops.stop()
	n.loops.stop()
	n.kill()
}

// stop shuts everything down. All goroutines must end before the bubble does.
func (env *testEnv) stop() {
	env.net.Heal()
	env.store.Close()
	for _, f := range env.cleanups {
		f()
	}
	time.Sleep(time.Minute)
}

type noopMetrics struct{}

func (noopMetrics) Request(string, string, string, time.Duration) {}
func (noopMetrics) Refusal(string, string)                        {}
func (noopMetrics) FirstEvent(string, string, time.Duration)      {}
func (noopMetrics) EventGap(string, time.Duration)                {}
func (noopMetrics) BrokenStream(string, string)                   {}
func (noopMetrics) Crash(string)                                  {}
func (noopMetrics) Hold(string, string)                           {}
func (noopMetrics) LostPrefill(string)                            {}
func (noopMetrics) Attempt(string, string)                        {}
func (noopMetrics) PromptTokens(string, gateway.PromptTokens)     {}
func (noopMetrics) RoleOrder(string, string, string)              {}

// Path prefixes of the default routes, one per kind of request.
const (
	pathRead   = "/read/"   // idempotent: at most 3 attempts
	pathOnce   = "/once/"   // not idempotent: must not run twice
	pathResume = "/resume/" // resumable stream
	pathStream = "/stream/" // stream that must not run twice
)

type jsonMap = map[string]any

func routeConfig(name, prefix, kind, service string, overrides jsonMap) jsonMap {
	r := jsonMap{
		"name": name, "hostname": hostname, "path-prefix": prefix, "type": kind, "timeout-ms": 2000, "target-latency-ms": 150,
		"priority": 0, "service": service, "max-attempts": 3,
	}
	for k, v := range overrides {
		r[k] = v
	}
	return r
}

// writeConfig writes a later version of the operator's configuration, with the default routes if none are
// given. Versions must increase, but need not be consecutive.
func (env *testEnv) writeConfig(routes ...jsonMap) {
	env.version += 3
	if len(routes) == 0 {
		routes = []jsonMap{
			routeConfig("read", pathRead, "idempotent", "api", nil),
			routeConfig("once", pathOnce, "non_idempotent", "api", nil),
			routeConfig("resume", pathResume, "streaming", "llm", jsonMap{"sticky-sessions": true, "resumable": true, "gap-aim-ms": 200}),
			routeConfig("stream", pathStream, "streaming", "llm", jsonMap{"sticky-sessions": true, "gap-aim-ms": 200, "max-attempts": 1}),
		}
	}
	services := []jsonMap{
		{"name": "api", "health-path": "/health", "max-connections": 100},
		{"name": "api2", "health-path": "/health", "max-connections": 100},
		{"name": "llm", "health-path": "/health", "max-connections": 100, "engine": jsonMap{"slots": 8, "kv-capacity-tokens": 100000, "role-switch-s": 3.0}},
	}
	for _, s := range services {
		if limits := env.autoscaling[s["name"].(string)]; limits != nil {
			s["autoscaling"] = limits
		}
	}
	config := jsonMap{
		"version": env.version, "routes": routes, "services": services,
		"limits": jsonMap{"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if env.accounts != nil {
		config["tenants"] = env.accounts
	}
	env.config = config
	env.store.Put("op/config", config)
}

// response is the result of one request as the caller sees it.
type response struct {
	id     string
	status int
	body   string
	header http.Header
	// close is true if the response closes its connection.
	close   bool
	err     error
	elapsed time.Duration
}

// succeeded reports whether the caller received a complete response with status 200.
func (r *response) succeeded() bool { return r.err == nil && r.status == http.StatusOK }

// request describes one request of a caller.
type request struct {
	path   string
	method string
	body   string
	// events is the number of events of the stream, or 0 for a plain response.
	events int
	// prompt is a comma-separated list of prefix hashes with their token counts, each as HASH:TOKENS.
	prompt string
	header http.Header
	// disconnectAfter, if above 0, is the time after which the caller closes the connection.
	disconnectAfter time.Duration
}

// call sends one request on a new connection and waits for the response.
func (env *testEnv) call(n *gatewayNode, req request) *response {
	env.mu.Lock()
	env.lastID++
	id := fmt.Sprintf("%016x", env.lastID)
	env.mu.Unlock()
	if req.method == "" {
		req.method = http.MethodPost
	}
	resp := &response{id: id}
	started := time.Now()
	defer func() { resp.elapsed = time.Since(started) }()
	c, err := env.net.Dial(context.Background(), env.callerHost, n.address)
	if err != nil {
		resp.err = err
		return resp
	}
	defer c.Close()
	if req.disconnectAfter > 0 {
		timer := time.AfterFunc(req.disconnectAfter, func() { _ = c.Close() })
		defer timer.Stop()
	}
	r, err := http.NewRequest(req.method, "http://"+hostname+req.path, strings.NewReader(req.body))
	require.NoError(env.t, err)
	r.Header.Set("Quetzallug-Attempt-Id", id)
	r.Header.Set("Quetzallug-Deadline-Ms", "2000")
	if req.prompt != "" {
		r.Header.Set("Quetzallug-Model", "m")
		r.Header.Set("Quetzallug-Token-Count", fmt.Sprintf("%d,%d", promptTokens(req.prompt), req.events))
		r.Header.Set("Quetzallug-Prefix-Hash", req.prompt)
	}
	for k, v := range req.header {
		r.Header[k] = v
	}
	if err := r.Write(c); err != nil {
		resp.err = err
		return resp
	}
	httpResp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		resp.err = err
		return resp
	}
	defer httpResp.Body.Close()
	b, err := io.ReadAll(httpResp.Body)
	resp.status, resp.header, resp.close, resp.body, resp.err = httpResp.StatusCode, httpResp.Header, httpResp.Close, string(b), err
	return resp
}

// promptTokens returns the sum of the token counts of a prompt.
func promptTokens(prompt string) int {
	total := 0
	for part := range strings.SplitSeq(prompt, ",") {
		var n int
		_, count, _ := strings.Cut(part, ":")
		_, _ = fmt.Sscan(count, &n)
		total += n
	}
	return total
}

// runsOf returns the runs of a request on all workers, without prefills.
func (env *testEnv) runsOf(id string) []site.Run {
	env.mu.Lock()
	workers := slices.Clone(env.workers)
	env.mu.Unlock()
	var out []site.Run
	for _, wk := range workers {
		for _, r := range wk.Runs() {
			if r.ID == id && !r.Prefill {
				out = append(out, r)
			}
		}
	}
	return out
}

// checkResponse verifies that a success is complete, unchanged and signed for this request, and that a
// request which must not be repeated ran at most once, or not at all if it was refused with 503.
func (env *testEnv) checkResponse(r *response, path string, events int) {
	env.t.Helper()
	runs := env.runsOf(r.id)
	repeatable := strings.HasPrefix(path, pathRead) || strings.HasPrefix(path, pathResume)
	if !repeatable {
		require.LessOrEqual(env.t, len(runs), 1, "%s ran more than once", path)
	}
	switch {
	case r.succeeded():
		require.NotEmpty(env.t, r.header.Get("Quetzallug-Response-Signature"), "successful response without a signature")
		require.True(env.t, strings.HasSuffix(r.header.Get("Quetzallug-Response-Signature"), "."+r.id), "response has the signature of another request")
		want := site.Answer(r.id, path)
		if events > 0 {
			want = ""
			for i := 1; i <= events; i++ {
				want += site.Event(r.id, i)
			}
		}
		require.Equal(env.t, want, r.body)
	case r.status == http.StatusServiceUnavailable && r.err == nil && !repeatable:
		require.Empty(env.t, runs, "%s was refused although it ran", path)
	}
}
