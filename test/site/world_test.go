// Package site proves the gateway on the stand-in of the users' platform in virtual time: gateways,
// store, workers and callers run in one synctest bubble, connected by a network in memory. Checks use
// only what callers and workers saw.
package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/gateway"
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
	// settle is longer than a gateway takes to follow the store.
	settle   = time.Second
	leaseTTL = 3500 * time.Millisecond
	guard    = 3 * time.Second
)

// world is one deployment.
type world struct {
	t       *testing.T
	net     *memnet.Network
	store   *site.Store
	storeAt *memnet.Host
	callers *memnet.Host
	version int
	closers []func()

	mu       sync.Mutex
	workers  []*site.Worker
	gateways []*node
	ids      int
}

// node is one gateway process.
type node struct {
	w       *world
	host    *memnet.Host
	address string
	gateway *gateway.Gateway
	tables  *route.Holder
	roster  *gateway.Roster
	server  *http.Server
	done    sync.WaitGroup
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, net: memnet.New(), store: site.NewStore()}
	w.callers = w.host("callers")
	w.storeAt = w.host("store")
	w.serve(w.storeAt, storeAddress, w.store)
	return w
}

func (w *world) host(name string) *memnet.Host {
	h := &memnet.Host{Name: name}
	h.Ctx, h.Cancel = context.WithCancel(context.Background())
	return h
}

func (w *world) serve(h *memnet.Host, addr string, handler http.Handler) *http.Server {
	srv := &http.Server{Handler: handler, ErrorLog: nil}
	l := w.net.Listen(h, addr)
	go func() { _ = srv.Serve(l) }()
	w.closers = append(w.closers, func() { _ = srv.Close() })
	return srv
}

// worker starts and registers a worker.
func (w *world) worker(cfg site.WorkerConfig) {
	if cfg.Address == "" {
		cfg.Address = fmt.Sprintf("10.1.64.%d:8080", len(w.workers)+1)
	}
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	if cfg.Work == 0 {
		cfg.Work = 20 * time.Millisecond
	}
	cfg.Zone = "z"
	wk := site.NewWorker(cfg)
	w.workers = append(w.workers, wk)
	w.serve(w.host(cfg.ID), cfg.Address, wk)
	wk.Register(w.store)
}

// gateway starts a gateway process.
func (w *world) gateway(name string) *node {
	n := &node{w: w, host: w.host(name), address: fmt.Sprintf("10.1.0.%d:8144", len(w.gateways)+1), tables: &route.Holder{}, roster: gateway.NewRoster()}
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return w.net.Dial(ctx, n.host, addr) }
	a := &platform.Adapter{}
	require.NoError(w.t, a.Provision(context.Background(), kernel.Settings{"address": storeAddress, "watch-wait": "1.7s"}))
	a.SetDial(dial)
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := upstream.NewPoolWithDial(dial)
	n.gateway = gateway.New(gateway.Config{DataCentre: "z", RetryWindow: 10 * time.Second, RetryShare: 0.2, RetrySlack: 1}, a, n.tables, n.roster, pool, nothing{}, log)
	leases, err := lease.NewManager(a, lease.Config{Holder: name, Pools: []string{gateway.RolesPool}, TTL: leaseTTL, SafetyMargin: leaseTTL / 7, MaxPools: 1, Random: rand.New(rand.NewPCG(1, uint64(len(w.gateways)))).Float64})
	require.NoError(w.t, err)
	roles := gateway.NewRolePlanner(name, leaseTTL+guard, a, leases, n.tables, n.roster, pool, nothing{}, log)
	for _, run := range []func(context.Context){gateway.NewStoreWatcher(a, n.tables, n.roster, log).Run, leases.Run, roles.Run} {
		n.done.Go(func() { run(n.host.Ctx) })
	}
	n.server = w.serve(n.host, n.address, n.gateway)
	w.gateways = append(w.gateways, n)
	w.closers = append(w.closers, func() {
		n.kill()
		pool.Close()
		_ = a.Cleanup()
	})
	return n
}

func (n *node) kill() {
	n.w.net.Kill(n.host)
	_ = n.server.Close()
	n.done.Wait()
}

// stop ends everything, so that no goroutine of the bubble is left.
func (w *world) stop() {
	w.net.Heal()
	w.store.Close()
	for _, f := range w.closers {
		f()
	}
	time.Sleep(time.Minute)
}

type nothing struct{}

func (nothing) Request(string, string, string, time.Duration) {}
func (nothing) Refusal(string, string)                        {}
func (nothing) FirstEvent(string, string, time.Duration)      {}
func (nothing) EventGap(string, time.Duration)                {}
func (nothing) Attempt(string, string)                        {}
func (nothing) Prompt(string, gateway.PromptTokens)           {}
func (nothing) RoleOrder(string, string, string)              {}

// Routes of the world. Each names one kind of request.
const (
	pathRead   = "/read/"   // may be repeated, 3 attempts
	pathOnce   = "/once/"   // must not be repeated
	pathResume = "/resume/" // a stream that may resume
	pathStream = "/stream/" // a stream that must not be repeated
)

type jsonMap = map[string]any

func routeOf(name, prefix, kind, service string, more jsonMap) jsonMap {
	r := jsonMap{
		"name": name, "hostname": hostname, "path-prefix": prefix, "type": kind, "timeout-ms": 2000, "target-latency-ms": 150,
		"priority": 0, "service": service, "max-attempts": 3,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configure writes the next version of the operator's configuration.
func (w *world) configure(routes ...jsonMap) {
	w.version += 3
	if len(routes) == 0 {
		routes = []jsonMap{
			routeOf("read", pathRead, "idempotent", "api", nil),
			routeOf("once", pathOnce, "non_idempotent", "api", nil),
			routeOf("resume", pathResume, "streaming", "llm", jsonMap{"sticky-sessions": true, "resumable": true, "gap-aim-ms": 200}),
			routeOf("stream", pathStream, "streaming", "llm", jsonMap{"sticky-sessions": true, "gap-aim-ms": 200, "max-attempts": 1}),
		}
	}
	w.store.Put("op/config", jsonMap{
		"version": w.version, "routes": routes,
		"services": []jsonMap{
			{"name": "api", "health-path": "/health", "max-connections": 100},
			{"name": "api2", "health-path": "/health", "max-connections": 100},
			{"name": "llm", "health-path": "/health", "max-connections": 100, "engine": jsonMap{"slots": 8, "kv-capacity-tokens": 100000, "role-switch-s": 3.0}},
		},
		"limits": jsonMap{"max-header-bytes": 16384, "max-body-bytes": 65536, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// reply is what a caller got.
type reply struct {
	id      string
	status  int
	body    string
	header  http.Header
	err     error
	elapsed time.Duration
}

// whole tells whether the caller got a complete success.
func (r *reply) whole() bool { return r.err == nil && r.status == http.StatusOK }

// ask is one request of a caller.
type ask struct {
	path   string
	method string
	body   string
	events int
	prompt string
	header http.Header
	leave  time.Duration
}

// call sends one request on a new connection.
func (w *world) call(n *node, a ask) *reply {
	w.mu.Lock()
	w.ids++
	id := fmt.Sprintf("%016x", w.ids)
	w.mu.Unlock()
	if a.method == "" {
		a.method = http.MethodPost
	}
	out := &reply{id: id}
	started := time.Now()
	defer func() { out.elapsed = time.Since(started) }()
	c, err := w.net.Dial(context.Background(), w.callers, n.address)
	if err != nil {
		out.err = err
		return out
	}
	defer c.Close()
	if a.leave > 0 {
		t := time.AfterFunc(a.leave, func() { _ = c.Close() })
		defer t.Stop()
	}
	r, err := http.NewRequest(a.method, "http://"+hostname+a.path, strings.NewReader(a.body))
	require.NoError(w.t, err)
	r.Header.Set("Quetzallug-Attempt-Id", id)
	r.Header.Set("Quetzallug-Deadline-Ms", "2000")
	if a.prompt != "" {
		r.Header.Set("Quetzallug-Model", "m")
		r.Header.Set("Quetzallug-Token-Count", fmt.Sprintf("%d,%d", promptTokens(a.prompt), a.events))
		r.Header.Set("Quetzallug-Prefix-Hash", a.prompt)
	}
	for k, v := range a.header {
		r.Header[k] = v
	}
	if err := r.Write(c); err != nil {
		out.err = err
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	out.status, out.header, out.body, out.err = resp.StatusCode, resp.Header, string(b), err
	return out
}

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

// runsOf returns the runs of a request on all workers, readings of the prompt excluded.
func (w *world) runsOf(id string) []site.Run {
	var out []site.Run
	for _, wk := range w.workers {
		for _, r := range wk.Runs() {
			if r.ID == id && !r.Prefill {
				out = append(out, r)
			}
		}
	}
	return out
}

// check verifies what must hold for each answer.
func (w *world) check(r *reply, path string, events int) {
	w.t.Helper()
	runs := w.runsOf(r.id)
	repeatable := strings.HasPrefix(path, pathRead) || strings.HasPrefix(path, pathResume)
	if !repeatable {
		require.LessOrEqual(w.t, len(runs), 1, "%s ran more than once", path)
	}
	switch {
	case r.whole():
		require.NotEmpty(w.t, r.header.Get("Quetzallug-Response-Signature"), "success without signature")
		require.True(w.t, strings.HasSuffix(r.header.Get("Quetzallug-Response-Signature"), "."+r.id), "signature of another request")
		want := site.Answer(r.id, path)
		if events > 0 {
			want = ""
			for i := 1; i <= events; i++ {
				want += site.Event(r.id, i)
			}
		}
		require.Equal(w.t, want, r.body)
	case r.status == http.StatusServiceUnavailable && r.err == nil && !repeatable:
		require.Empty(w.t, runs, "%s refused though it ran", path)
	}
}
