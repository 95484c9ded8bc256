package site

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/platform"
	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	dutyAddress  = "10.200.1.8:1"
	dutyHost     = "platform"
	dutyRate     = 50
	scaleBoot    = 4 * time.Second
	scaleMin     = 2
	scaleMax     = 8
	scaleService = "api"
	// faultTime is how long a fault lasts.
	faultTime = 12 * time.Second
)

// startDuties starts the platform's part that takes the calls of duties. Gateways that are added later have them.
func (env *testEnv) startDuties() {
	env.duties = site.NewDuties(dutyRate)
	env.serve(env.newHost(dutyHost), dutyAddress, env.duties)
}

// addScaler gives a gateway the plan of the number of backend servers, if the environment has duties.
func (env *testEnv) addScaler(n *gatewayNode, adapter *platform.Adapter, roles *gateway.RolePlanner, log *logrus.Logger) {
	if env.duties == nil {
		return
	}
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return env.net.Dial(ctx, n.host, addr) }
	client := duty.NewClient(dutyAddress, dutyRate, dial)
	n.scaler = gateway.NewScaler(leaseTTL+duty.CallTimeout, adapter, client, n.roster, n.demand, noopMetrics{}, log)
	roles.SetScaler(n.scaler)
	n.loops.start(n.scaler.Run)
}

func (noopMetrics) ScaleOrder(string, string) {}

// scaledFleet is a service whose number of workers follows the orders that the platform has carried out.
type scaledFleet struct {
	env     *testEnv
	scaling *site.Scaling
	workers []*site.Worker
	booting []time.Time
	// count counts the workers that were started, sent the requests.
	count, sent int
	// perSecond is the rate of requests; served and failed count their results.
	perSecond      float64
	served, failed atomic.Int64
	requests       float64
}

// startScaledFleet starts gateways, and a service of scaleMin workers that serves 20 requests per second.
func startScaledFleet(env *testEnv, gateways int) *scaledFleet {
	env.startDuties()
	f := &scaledFleet{env: env, scaling: env.duties.HandleScale(nil)}
	env.autoscaling = map[string]jsonMap{scaleService: {"min-replicas": scaleMin, "max-replicas": scaleMax, "boot-s": scaleBoot.Seconds()}}
	env.writeConfig()
	for range scaleMin {
		f.addWorker()
	}
	for i := range gateways {
		env.addGateway(fmt.Sprintf("edge-%d", i+1))
	}
	return f
}

func (f *scaledFleet) addWorker() {
	f.count++
	f.env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-scaled-%d", f.count), Service: scaleService, Slots: 4, ServiceTime: 400 * time.Millisecond, Address: fmt.Sprintf("10.1.65.%d:8080", f.count)})
	f.workers = append(f.workers, f.env.workers[len(f.env.workers)-1])
}

// follow starts and drains workers as ordered.
func (f *scaledFleet) follow() {
	wanted, ok := f.scaling.Count(scaleService, "z")
	if !ok {
		return
	}
	for len(f.booting) > 0 && !time.Now().Before(f.booting[0]) {
		f.booting = f.booting[1:]
		f.addWorker()
	}
	for len(f.workers)+len(f.booting) < wanted {
		f.booting = append(f.booting, time.Now().Add(scaleBoot))
	}
	for len(f.workers)+len(f.booting) > wanted && len(f.booting) > 0 {
		f.booting = f.booting[:len(f.booting)-1]
	}
	for len(f.workers) > wanted {
		f.workers[0].Drain(f.env.store)
		f.workers = f.workers[1:]
	}
}

// run lets time pass with the present rate of requests.
func (f *scaledFleet) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		f.follow()
		for f.requests += f.perSecond * step.Seconds(); f.requests >= 1; f.requests-- {
			n := f.env.gateways[f.sent%len(f.env.gateways)]
			f.sent++
			go func() {
				if r := f.env.call(n, request{path: pathRead + "x"}); r.succeeded() {
					f.served.Add(1)
				} else {
					f.failed.Add(1)
				}
			}()
		}
	}
}

// holder returns the gateway that made the last call to the platform, or nil.
func (f *scaledFleet) holder() *gatewayNode {
	calls := f.env.duties.Calls()
	for _, n := range f.env.gateways {
		if len(calls) > 0 && n.host.Name == calls[len(calls)-1].Holder {
			return n
		}
	}
	return nil
}

// checkHandovers verifies that no call of a holder can be on its way when the next holder makes its first one.
func (env *testEnv) checkHandovers() {
	env.t.Helper()
	calls := env.duties.Calls()
	for i := range calls {
		if i > 0 && calls[i].Holder != calls[i-1].Holder && !calls[i].Excused && !calls[i-1].Excused {
			require.GreaterOrEqual(env.t, calls[i].At.Sub(calls[i-1].At), duty.CallTimeout, "call of %s too soon after one of %s", calls[i].Holder, calls[i-1].Holder)
		}
	}
}

// Guards against a service that gets no servers although callers wait, and against servers that stay when nobody needs
// them.
func TestServersFollowTheLoad(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		f := startScaledFleet(env, 3)
		f.perSecond = 5
		f.run(15 * time.Second)
		require.Empty(t, env.duties.Calls())
		f.perSecond = 50
		f.run(40 * time.Second)
		require.GreaterOrEqual(t, len(f.workers), 6)
		f.failed.Store(0)
		f.served.Store(0)
		f.run(10 * time.Second)
		// A request may find all servers that it tries full for a moment, because instances learn of each other's
		// requests late.
		require.LessOrEqual(t, f.failed.Load(), f.served.Load()/100, "requests failed although there are enough servers")
		f.perSecond = 5
		f.run(4 * time.Minute)
		t.Logf("%d workers, orders %v", len(f.workers), env.duties.Calls())
		require.Len(t, f.workers, scaleMin)
		require.Empty(t, env.duties.Violations())
	})
}

// Guards against orders of two holders of the lease at a time, and against a holder that is lost and not replaced. The
// holder fails while servers are needed.
func TestScaleOrdersOfOneHolder(t *testing.T) {
	restore := func(env *testEnv, n *gatewayNode, undo func()) {
		time.AfterFunc(faultTime, func() {
			undo()
			env.duties.Excuse(n.host.Name)
		})
	}
	for name, fail := range map[string]func(env *testEnv, n *gatewayNode){
		"killed": func(_ *testEnv, n *gatewayNode) { n.kill() },
		"frozen": func(env *testEnv, n *gatewayNode) {
			env.net.Freeze(n.host, true)
			restore(env, n, func() { env.net.Freeze(n.host, false) })
		},
		"cut from the store": func(env *testEnv, n *gatewayNode) {
			env.net.Cut(n.host.Name, "store", true)
			restore(env, n, func() { env.net.Cut(n.host.Name, "store", false) })
		},
		"cut from the platform": func(env *testEnv, n *gatewayNode) {
			env.net.Cut(n.host.Name, dutyHost, true)
			restore(env, n, func() { env.net.Cut(n.host.Name, dutyHost, false) })
		},
		"answers cut": func(env *testEnv, n *gatewayNode) {
			env.net.Cut(dutyHost, n.host.Name, true)
			restore(env, n, func() { env.net.Cut(dutyHost, n.host.Name, false) })
		},
		"lease revoked": func(env *testEnv, _ *gatewayNode) { env.store.EndLeases() },
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				f := startScaledFleet(env, 3)
				f.perSecond = 5
				f.run(10 * time.Second)
				f.perSecond = 30
				for f.holder() == nil {
					f.run(50 * time.Millisecond)
				}
				n := f.holder()
				fail(env, n)
				if name == "killed" {
					env.gateways = deleteNode(env.gateways, n)
				}
				f.perSecond = 50
				f.run(time.Minute)
				require.Empty(t, env.duties.Violations())
				env.checkHandovers()
				require.GreaterOrEqual(t, len(f.workers), 6)
				if name == "killed" || name == "frozen" || name == "cut from the store" {
					require.NotEqual(t, n, f.holder(), "nobody took over")
				}
			})
		})
	}
}

func deleteNode(nodes []*gatewayNode, n *gatewayNode) []*gatewayNode {
	return slices.DeleteFunc(slices.Clone(nodes), func(x *gatewayNode) bool { return x == n })
}

// Guards against orders that are lost or given without end while the platform is late, busy or down, or loses answers,
// and against the order of such a time that undoes a newer one.
func TestScaleOrdersOfATroubledPlatform(t *testing.T) {
	for name, mode := range map[string]site.DutyMode{
		"busy": site.DutiesBusy, "down": site.DutiesDown, "silent": site.DutiesSilent, "lossy": site.DutiesLossy, "late": site.DutiesLate, "error": site.DutiesError,
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				f := startScaledFleet(env, 2)
				f.perSecond = 5
				f.run(12 * time.Second)
				env.duties.SetMode(mode)
				f.perSecond = 35
				f.run(20 * time.Second)
				calls := len(env.duties.Calls())
				require.NotZero(t, calls)
				require.LessOrEqual(t, calls, 20)
				env.duties.SetMode(site.DutiesUp)
				f.perSecond = 50
				f.run(40 * time.Second)
				require.GreaterOrEqual(t, len(f.workers), 6)
				require.Empty(t, env.duties.Violations())
				wanted, _ := f.scaling.Count(scaleService, "z")
				last := env.duties.Calls()[len(env.duties.Calls())-1]
				require.Contains(t, last.Body, fmt.Sprintf(`"desired-count":%d`, wanted), "an earlier order was carried out last")
			})
		})
	}
}

// Guards against two plans that work against each other: roles of engines that are about to be removed, and engines that
// are removed while others change their roles, leave a service without one of its roles.
func TestEnginesAreScaledWithTheirRoles(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.startDuties()
		scaling := env.duties.HandleScale(nil)
		env.autoscaling = map[string]jsonMap{"llm": {"min-replicas": 4, "max-replicas": 12, "boot-s": scaleBoot.Seconds()}}
		startEngines(env, 2, nil)
		// Few requests, so that engines are removed down to the minimum.
		for range 240 {
			go func() { env.call(env.gateways[0], request{path: pathResume + "x", events: 2, prompt: "aa:500"}) }()
			env.runFor(500 * time.Millisecond)
			engines := env.workers[1:]
			if wanted, ok := scaling.Count("llm", "z"); ok && len(engines) > wanted {
				// The platform picks any engine.
				leaving := engines[len(engines)/2]
				env.workers = slices.DeleteFunc(env.workers, func(w *site.Worker) bool { return w == leaving })
				leaving.Drain(env.store)
				time.AfterFunc(2*time.Second, func() { env.store.Remove("servers/" + leaving.ID()) })
			}
			prefill, decode := env.countStages()
			require.GreaterOrEqual(t, prefill, 1)
			require.GreaterOrEqual(t, decode, 1)
		}
		require.Len(t, env.workers, 1+4)
		prefill, decode := env.countStages()
		require.GreaterOrEqual(t, decode, 2)
		require.GreaterOrEqual(t, prefill, 1)
		require.Empty(t, env.duties.Violations())
		env.checkOrders()
	})
}
