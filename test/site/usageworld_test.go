package site

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/traffic"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/platform"
	"github.com/quetzallug/quetzallug/standin/site"
	"github.com/quetzallug/quetzallug/upstream"
	"github.com/quetzallug/quetzallug/usage"
	"github.com/quetzallug/quetzallug/usage/usagerpc"
)

const (
	usageWindow = 5 * time.Second
	usageLate   = 10 * time.Second
	usageTTL    = 2500 * time.Millisecond
	usageGuard  = usageTTL + duty.CallTimeout
	// usageTolerance is the share by which a reported count may differ from the runs of the workers, and usageSlack the
	// number of runs at the edges of a window that may count in the next one.
	usageTolerance = 0.05
	usageSlack     = 2
)

// usageEnv is the part of a testEnv whose gateways report usage windows.
type usageEnv struct {
	env      *testEnv
	duties   *site.Duties
	usage    *site.Usage
	platform string // host name of the platform's duties
	started  time.Time
	load     sync.WaitGroup

	mu sync.Mutex
	// wallError is what the wall clocks of gateways show too much.
	wallError map[string]time.Duration
	stopped   map[*gatewayNode]bool
	finished  bool
}

// usageNode is the part of a gateway that counts runs and reports them.
type usageNode struct {
	u       *usageEnv
	node    *gatewayNode
	clock   *usage.Clock
	counter *usage.Counter
	watch   *usage.HolderWatch
	sender  *usage.Sender
	holder  *usage.Holder
	peer    string
	traffic traffic.Counter
}

// newUsageEnv adds the platform's duties and two client accounts to a deployment without gateways.
func newUsageEnv(env *testEnv) *usageEnv {
	u := &usageEnv{env: env, duties: site.NewDuties(50), platform: "duties", started: time.Now(), wallError: map[string]time.Duration{}, stopped: map[*gatewayNode]bool{}}
	u.usage = u.duties.HandleUsage(usageWindow)
	env.serve(env.newHost(u.platform), dutyAddress, u.duties)
	env.usage = u
	env.accounts = []jsonMap{{"name": "huka", "api-keys": []string{"key-huka"}}, {"name": "puhu", "api-keys": []string{"key-puhu"}}}
	return u
}

type noopUsageMetrics struct{}

func (noopUsageMetrics) UsageReport(string, time.Duration) {}

// newNode creates the counter of a gateway and completes the settings of its other parts.
func (u *usageEnv) newNode(n *gatewayNode, cfg *gateway.Config, leaseCfg *lease.Config) *usageNode {
	wall := func() time.Time {
		u.mu.Lock()
		defer u.mu.Unlock()
		return time.Now().Add(u.wallError[n.host.Name])
	}
	x := &usageNode{u: u, node: n, peer: fmt.Sprintf("10.1.0.%d:9000", len(u.env.gateways)+1)}
	x.clock = usage.NewClock(wall, func() time.Duration { return time.Since(u.started) })
	w := usage.Windows{Length: usageWindow, Late: usageLate}
	x.counter = usage.NewCounter(w, x.clock.Now)
	x.watch = usage.NewHolderWatch(gateway.RolesPool, logrus.New())
	cfg.Usage = x.counter
	leaseCfg.TTL, leaseCfg.SafetyMargin, leaseCfg.Address = usageTTL, usageTTL/7, x.peer
	leaseCfg.PollSpacing = 8 * time.Second
	leaseCfg.StillVacant = func() bool {
		_, held := x.watch.Holder()
		return !held
	}
	return x
}

// start creates the parts that send counts and report, and returns their loops.
func (x *usageNode) start(adapter *platform.Adapter, leases *lease.Manager, watcher *gateway.StoreWatcher, dial upstream.DialFunc, log logrus.FieldLogger) []func(context.Context) {
	n, env := x.node, x.u.env
	w := usage.Windows{Length: usageWindow, Late: usageLate}
	client := duty.NewClient(dutyAddress, 50, dial)
	x.holder = usage.NewHolder(usage.HolderConfig{
		Instance: n.host.Name, Pool: gateway.RolesPool, Windows: w, Guard: usageGuard, Leases: leases, Current: x.watch.Holder, KV: adapter, Era: adapter.Era,
		Caller: client, Encoder: adapter, Clock: x.clock, Metrics: noopUsageMetrics{}, Log: log,
	})
	clients := rpc.NewClients(rpc.ClientConfig{ControlTraffic: &x.traffic, Dial: dial})
	x.sender = usage.NewSender(usage.SenderConfig{
		Instance: n.host.Name, Address: x.peer, Windows: w, Counter: x.counter, Clock: x.clock, Holder: x.watch.Holder, Local: x.holder,
		Peers: usagerpc.NewPeers(clients), KV: adapter, Log: log,
	})
	x.watch.OnVacant(leases.Wake)
	x.watch.OnChange(func(r lease.HolderRecord, ok bool) { leases.HolderWatched(gateway.RolesPool, r, ok) })
	watcher.Subscribe(x.watch)
	watcher.Subscribe(usage.NewStoredCounts(x.holder))
	watcher.Subscribe(usage.NewRecordWatch(x.holder))
	mux := http.NewServeMux()
	mux.Handle(usagerpc.NewHandler(x.holder))
	srv := rpc.NewServer(mux)
	l := env.net.Listen(n.host, x.peer)
	go func() { _ = srv.Serve(l) }()
	env.cleanups = append(env.cleanups, func() {
		_ = srv.Close()
		clients.Close()
	})
	return []func(context.Context){x.sender.Run, x.sender.RunStore, x.holder.Run}
}

// holderOf returns the gateway that holds the lease.
func (u *usageEnv) holderNode() *gatewayNode {
	for _, n := range u.env.gateways {
		if s := n.usage.sender.Status(); s.Holding && !u.isStopped(n) {
			return n
		}
	}
	return nil
}

func (u *usageEnv) isStopped(n *gatewayNode) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped[n] || u.finished
}

// sendLoad sends requests to a gateway until it is stopped: to both services, for both accounts, and for huka three
// times as many.
func (u *usageEnv) sendLoad(n *gatewayNode) {
	for _, l := range []struct {
		key      string
		request  request
		interval time.Duration
	}{
		{"key-huka", request{path: pathRead + "x"}, 120 * time.Millisecond},
		{"key-puhu", request{path: pathOnce + "x"}, 350 * time.Millisecond},
		{"key-huka", request{path: pathStream + "x", prompt: "aa:50,bb:60", events: 3}, 400 * time.Millisecond},
		{"key-puhu", request{path: pathResume + "x", prompt: "aa:50,cc:60", events: 3}, 600 * time.Millisecond},
	} {
		l.request.header = http.Header{"Authorization": {"Bearer " + l.key}}
		u.load.Go(func() {
			for !u.isStopped(n) {
				// Random, because gateways in step would put several runs at the edge of a window.
				time.Sleep(l.interval/2 + rand.N(l.interval))
				u.env.call(n, l.request)
			}
		})
	}
}

// stopLoad stops the load of a gateway.
func (u *usageEnv) stopLoad(n *gatewayNode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped[n] = true
}

// finish stops all load.
func (u *usageEnv) finish() {
	u.mu.Lock()
	u.finished = true
	u.mu.Unlock()
	u.load.Wait()
}

// startUsage starts workers and gateways that report usage, with load.
func startUsage(env *testEnv, gateways int) *usageEnv {
	if env.usage == nil {
		newUsageEnv(env)
	}
	u := env.usage
	env.writeConfig()
	for i := range 3 {
		env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-api-%d", i), Service: "api", Slots: 64})
	}
	for i := range 4 {
		stage := "decode"
		if i == 0 {
			stage = "prefill"
		}
		env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-%d", i), Service: "llm", Slots: 64, Stage: stage, PrefillTimePerToken: time.Microsecond, RoleSwitch: time.Second})
	}
	for i := range gateways {
		env.addGateway(fmt.Sprintf("edge-%d", i+1))
	}
	time.Sleep(settleTime)
	for _, n := range env.gateways {
		u.sendLoad(n)
	}
	return u
}

// runs returns the runs by account that began in a window on the workers.
func (u *usageEnv) runs(window int64) map[string]int64 {
	counts := map[string]int64{}
	for _, wk := range u.env.workers {
		for _, r := range wk.Runs() {
			if !r.Prefill && r.Account != "" && !r.Began.IsZero() && r.Began.UnixNano()/int64(usageWindow) == window {
				counts[r.Account]++
			}
		}
	}
	return counts
}

// outcome compares the reports with the runs of the workers. It returns the windows from first to last that were
// reported late or not at all, and those whose counts are wrong.
func (u *usageEnv) outcome(first, last int64) (missed, wrong []int64) {
	reports := map[int64]site.UsageReport{}
	for _, r := range u.usage.Reports() {
		reports[r.Window] = r
	}
	for w := first; w <= last; w++ {
		r, ok := reports[w]
		if !ok || u.usage.Lag(r) > usageLate {
			missed = append(missed, w)
			continue
		}
		runs := u.runs(w)
		for _, account := range []string{"huka", "puhu"} {
			if d := math.Abs(float64(runs[account] - r.Counts[account])); d > max(usageSlack, usageTolerance*float64(runs[account])) {
				wrong = append(wrong, w)
				u.env.t.Logf("window %d: account %s has %d runs, reported %d", w, account, runs[account], r.Counts[account])
				break
			}
		}
	}
	return missed, wrong
}

// check verifies that no rule was violated, and that each new holder has waited for the guard time.
func (u *usageEnv) check() {
	u.env.t.Helper()
	require.Empty(u.env.t, u.duties.Violations())
	calls := slices.DeleteFunc(u.duties.Calls(), func(c site.DutyCall) bool { return c.Excused })
	for i := 1; i < len(calls); i++ {
		if last, c := calls[i-1], calls[i]; c.Holder != last.Holder {
			require.GreaterOrEqual(u.env.t, c.At.Sub(last.At), usageGuard, "%s called too soon after %s", c.Holder, last.Holder)
		}
	}
}

// checkClocks verifies that no window clock differs from the time, which all wall clocks show.
func (u *usageEnv) checkClocks() {
	u.env.t.Helper()
	for _, n := range u.env.gateways {
		if !u.isStopped(n) {
			require.Zero(u.env.t, time.Until(n.usage.clock.Now()), "window clock of %s", n.host.Name)
		}
	}
}

// window returns the current window.
func window() int64 { return time.Now().UnixNano() / int64(usageWindow) }

// sleepIntoWindow sleeps until a time after the start of a later window.
func sleepIntoWindow(after time.Duration) {
	time.Sleep(time.Until(time.Unix(0, (window()+1)*int64(usageWindow)).Add(after)))
}
