package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
)

// maxBodyBytes is the limit of request bodies in the configuration. It allows uploads that the operating system doesn't
// hold for a connection.
const maxBodyBytes = 8 << 20

const (
	gatewayCount     = 3
	plainWorkerCount = 3
	engineCount      = 5
	roleSwitchTime   = 500 * time.Millisecond
	// orderGuard is the minimum time between orders of two lease holders. The gateways get it as a flag.
	orderGuard = 3 * time.Second
	// resumeTolerance is the time around the end of a pause in which orders are not checked, because a
	// resumed process can still send an order that it had begun before the pause.
	resumeTolerance = 300 * time.Millisecond
	// readyTimeout limits the waits for readiness and for recovery. It is the longest recovery time that the
	// platform allows, plus a margin for a busy machine.
	readyTimeout = 60 * time.Second
	stopTimeout  = 20 * time.Second
)

// deployment consists of a store and workers in the test process and gateways in separate processes.
type deployment struct {
	t              *testing.T
	store          *site.Store
	storeForwarder *testcluster.Forwarder
	workers        []*worker
	gateways       []*gatewayProcess
	cleanups       []func()
	version        int
	// duties is the part of the platform that takes usage reports, behind a forwarder; nil without them.
	duties          *site.Duties
	usage           *site.Usage
	dutiesForwarder *testcluster.Forwarder
	// routeTimeout is the timeout of all routes in the next configuration.
	routeTimeout time.Duration

	mu        sync.Mutex
	resumedAt []time.Time
}

// worker is a simulated worker that is reached through a forwarder.
type worker struct {
	*site.Worker
	forwarder *testcluster.Forwarder
}

// gatewayProcess is one gateway process. mu is held during a fault, so that faults of one process do not
// overlap.
type gatewayProcess struct {
	*testcluster.Process
	mu           sync.Mutex
	address      string
	readyAddress string
}

// newDeploymentWithoutWorkers starts a store that holds a configuration without client accounts.
func newDeploymentWithoutWorkers(t *testing.T) *deployment {
	d := newStore(t)
	d.writeConfig()
	return d
}

// newStore starts an empty store.
func newStore(t *testing.T) *deployment {
	d := &deployment{t: t, store: site.NewStore(), routeTimeout: 2 * time.Second}
	d.storeForwarder = d.startForwarder(d.serve(d.store))
	return d
}

func newDeployment(t *testing.T, program, dir string) *deployment {
	d := newStore(t)
	d.addDuties()
	d.writeConfig()
	for i := range plainWorkerCount {
		d.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-api-%d", i), Service: "api", Slots: 16, ServiceTime: 5 * time.Millisecond})
	}
	for i := range engineCount {
		stage := "decode"
		if i == 0 {
			stage = "prefill"
		}
		d.addWorker(site.WorkerConfig{
			ID: fmt.Sprintf("i-llm-%d", i), Service: "llm", Slots: 16, Stage: stage, ServiceTime: 10 * time.Millisecond,
			PrefillTimePerToken: time.Microsecond, RoleSwitch: roleSwitchTime,
		})
	}
	for i := range gatewayCount {
		d.addGateway(program, dir, fmt.Sprintf("edge-%d", i))
	}
	return d
}

func (d *deployment) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	d.cleanups = append(d.cleanups, func() { _ = srv.Close() })
	return l.Addr().String()
}

func (d *deployment) startForwarder(target string) *testcluster.Forwarder {
	f, err := testcluster.NewForwarder(target)
	require.NoError(d.t, err)
	d.cleanups = append(d.cleanups, f.Close)
	return f
}

func (d *deployment) addWorker(cfg site.WorkerConfig) {
	w := &worker{}
	w.forwarder = d.startForwarder(d.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.ServeHTTP(rw, r) })))
	cfg.Address, cfg.Zone = w.forwarder.Address(), "z"
	w.Worker = site.NewWorker(cfg)
	w.Register(d.store)
	d.workers = append(d.workers, w)
}

// addGateway starts a gateway with the flags of all gateways and further ones.
func (d *deployment) addGateway(program, dir, name string, further ...string) {
	address, err := testcluster.FreeAddress()
	require.NoError(d.t, err)
	ready, err := testcluster.FreeAddress()
	require.NoError(d.t, err)
	if d.duties != nil {
		peer, err := testcluster.FreeAddress()
		require.NoError(d.t, err)
		further = append(further, d.usageFlags(peer)...)
	}
	p, err := testcluster.NewProcess(name, program, filepath.Join(dir, name+".log"), append([]string{
		"gateway", "--instance", name, "--data-centre", "z", "--listen", address, "--ready-listen", ready,
		"--adapter-address", d.storeForwarder.Address(), "--retry-share", "0.2", "--order-guard", orderGuard.String(),
		"--lame-duck", "300ms", "--grace", "6s",
	}, further...))
	require.NoError(d.t, err)
	d.gateways = append(d.gateways, &gatewayProcess{Process: p, address: address, readyAddress: ready})
}

// writeConfig writes the next version of the operator's configuration. Each version has another timeout.
func (d *deployment) writeConfig() {
	d.mu.Lock()
	d.version++
	version := d.version
	d.mu.Unlock()
	type m = map[string]any
	newRoute := func(name, kind, service string, overrides m) m {
		r := m{
			"name": name, "hostname": "a.example", "path-prefix": "/" + name + "/", "type": kind, "timeout-ms": int(d.routeTimeout.Milliseconds()) + version,
			"target-latency-ms": 1000, "priority": 0, "service": service, "max-attempts": 3,
		}
		for k, v := range overrides {
			r[k] = v
		}
		return r
	}
	config := m{
		"version": version,
		"routes": []m{
			newRoute("read", "idempotent", "api", nil), newRoute("once", "non_idempotent", "api", nil),
			newRoute("resume", "streaming", "llm", m{"sticky-sessions": true, "resumable": true, "gap-aim-ms": 200}),
			newRoute("stream", "streaming", "llm", m{"sticky-sessions": true, "gap-aim-ms": 200}),
		},
		"services": []m{
			{"name": "api", "health-path": "/health", "max-connections": 100},
			{"name": "llm", "health-path": "/health", "max-connections": 100, "engine": m{"slots": 16, "role-switch-s": roleSwitchTime.Seconds()}},
		},
		"limits": m{"max-body-bytes": maxBodyBytes},
	}
	if d.duties != nil {
		config["tenants"] = tenants
	}
	d.store.Put("op/config", config)
}

func (d *deployment) stop() {
	for _, g := range d.gateways {
		_ = g.Resume()
		if err := g.Stop(stopTimeout); err != nil {
			d.t.Errorf("%s: %v", g.Name, err)
		}
	}
	d.store.Close()
	for _, f := range slices.Backward(d.cleanups) {
		f()
	}
}

func (d *deployment) waitReady() {
	deadline := time.Now().Add(readyTimeout)
	for _, g := range d.gateways {
		for !g.ready() {
			require.True(d.t, time.Now().Before(deadline), "%s did not become ready in time", g.Name)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (g *gatewayProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// restoreRate is the rate of faults beside which the store comes back from an older copy.
const restoreRate = 0.1

// injectFaults starts a random fault every few hundred milliseconds. Faults may overlap. restores draws the restores of the
// store, so that the other faults of a seed stay the same.
func (d *deployment) injectFaults(rnd, restores *rand.Rand, total time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(total); time.Now().Before(end); {
		duration := time.Duration(100+rnd.IntN(2500)) * time.Millisecond
		w := d.workers[rnd.IntN(len(d.workers))]
		g := d.gateways[rnd.IntN(len(d.gateways))]
		// FaultUnframed is the last fault before FaultEarly, which sends a plain response even to a stream request.
		faultKind, n, workerFault := rnd.IntN(14), rnd.IntN(3)+2, site.Fault(1+rnd.IntN(int(site.FaultUnframed)))
		wg.Go(func() { d.injectFault(faultKind, n, workerFault, w, g, duration) })
		if age := time.Duration(restores.IntN(4000)) * time.Millisecond; restores.Float64() < restoreRate {
			wg.Go(func() { d.restoreStore(age) })
		}
		d.refreshRegistrations()
		time.Sleep(time.Duration(50+rnd.IntN(500)) * time.Millisecond)
	}
	wg.Wait()
}

// restoreStore lets the store come back from a copy that is age old then. The operator and the workers write again.
func (d *deployment) restoreStore(age time.Duration) {
	c := d.store.Copy()
	time.Sleep(age)
	d.store.Restore(c)
	d.storeForwarder.Reset()
	time.Sleep(age / 4)
	d.writeConfig()
	d.refreshRegistrations()
}

// refreshRegistrations writes the current registrations of all workers, which change with their roles.
func (d *deployment) refreshRegistrations() {
	for _, w := range d.workers {
		w.Register(d.store)
	}
}

// injectFault injects one fault and ends it after the duration. Depending on the kind, n is the interval
// between failing requests, selects the mode of the store, or is the number of lost responses.
func (d *deployment) injectFault(faultKind, n int, workerFault site.Fault, w *worker, g *gatewayProcess, duration time.Duration) {
	switch faultKind {
	case 0, 1, 2: // every n-th request to a worker meets workerFault
		count := 0
		w.SetFault(func(r *http.Request) site.Fault {
			if count++; count%n == 0 {
				return site.VaryCut(workerFault, r, count/n)
			}
			return site.FaultNone
		})
		time.Sleep(duration)
		w.SetFault(nil)
	case 3: // the connections to a worker transfer no data in either direction
		w.forwarder.Hold(true, true)
		time.Sleep(duration)
		w.forwarder.Hold(false, false)
	case 4: // no data from a worker arrives
		w.forwarder.Hold(false, true)
		time.Sleep(duration)
		w.forwarder.Hold(false, false)
	case 5: // the connections to a worker are reset
		w.forwarder.Reset()
	case 6: // the connections to the store transfer no data in either direction
		d.storeForwarder.Hold(true, true)
		time.Sleep(duration)
		d.storeForwarder.Hold(false, false)
	case 7: // the store responds with 503, never responds or closes connections
		d.store.SetMode(site.StoreMode(1 + n%3))
		time.Sleep(duration)
		d.store.SetMode(site.StoreUp)
	case 8: // the store loses responses to writes, applies the writes late and compacts its history
		d.store.LoseWrites(n, duration/4)
		d.store.Compact()
	case 9: // the configuration changes
		d.writeConfig()
	case 10: // a registration is missing for some time
		d.store.Remove("servers/" + w.ID())
		time.Sleep(duration)
		w.Register(d.store)
	case 11: // a gateway is killed and restarted
		d.runExclusively(g, func() {
			g.Kill()
			time.Sleep(duration / 4)
			require.NoError(d.t, g.Restart())
		})
	case 12: // a gateway is paused
		d.runExclusively(g, func() {
			_ = g.Pause()
			time.Sleep(duration)
			_ = g.Resume()
			d.duties.Excuse(g.Name)
			d.mu.Lock()
			d.resumedAt = append(d.resumedAt, time.Now())
			d.mu.Unlock()
		})
	case 13: // a gateway gets a SIGHUP, which it must ignore, and is then stopped and restarted
		d.runExclusively(g, func() {
			// A signal that arrives before the program has started ends the process. Nothing is lost by
			// that, so the result of Stop is only checked if the gateway was ready.
			wasReady := g.ready()
			if wasReady {
				_ = g.Signal(syscall.SIGHUP)
			}
			if err := g.Stop(stopTimeout); err != nil && wasReady {
				d.t.Errorf("%s: %v", g.Name, err)
			}
			require.NoError(d.t, g.Restart())
		})
	}
}

// runExclusively runs f while no other fault of the gateway process is in progress.
func (d *deployment) runExclusively(g *gatewayProcess, f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// clearFaults ends all faults and registers all workers.
func (d *deployment) clearFaults() {
	d.store.SetMode(site.StoreUp)
	d.store.LoseWrites(0, 0)
	d.storeForwarder.Hold(false, false)
	for _, w := range d.workers {
		w.SetFault(nil)
		w.forwarder.Hold(false, false)
		w.Register(d.store)
	}
}

// checkOrders verifies that each fence number has one lease holder, and that orders of a new holder have a
// higher fence number and come at least orderGuard after those of the previous one.
func (d *deployment) checkOrders() {
	var all []site.Order
	for _, w := range d.workers {
		all = append(all, w.Orders()...)
	}
	slices.SortFunc(all, func(a, b site.Order) int { return a.At.Compare(b.At) })
	holders := map[uint64]string{}
	var previous *site.Order
	for i := range all {
		o := &all[i]
		if slices.ContainsFunc(d.resumedAt, func(at time.Time) bool { return o.At.Sub(at).Abs() < resumeTolerance }) {
			continue
		}
		if h, ok := holders[o.Fence]; ok && h != o.Holder {
			d.t.Errorf("%s and %s gave orders with fence number %d", h, o.Holder, o.Fence)
		}
		holders[o.Fence] = o.Holder
		if previous != nil && previous.Holder != o.Holder && (o.At.Sub(previous.At) < orderGuard || o.Fence <= previous.Fence) {
			d.t.Errorf("order of %s (fence %d) %s after one of %s (fence %d)", o.Holder, o.Fence, o.At.Sub(previous.At), previous.Holder, previous.Fence)
		}
		previous = o
	}
}
