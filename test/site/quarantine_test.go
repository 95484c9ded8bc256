package site

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

const crashingPrompt = "f0:50,dead:60,u%d:100"

// settleRoles waits until the gateways have ordered the roles of idle engines.
func (f *fragileFleet) settleRoles() {
	for range 15 {
		time.Sleep(settleTime)
		f.refresh()
	}
}

// crashServers sends requests with crashingPart until a number of workers have crashed.
func (f *fragileFleet) crashServers(nodes []*gatewayNode, crashes int) {
	for i := range 1000 {
		f.mu.Lock()
		done := len(f.crashes) >= crashes
		f.mu.Unlock()
		if done {
			return
		}
		f.env.call(nodes[i%len(nodes)], request{path: pathStream + "x", prompt: fmt.Sprintf(crashingPrompt, i), events: 2})
		time.Sleep(200 * time.Millisecond)
		f.refresh()
	}
	f.env.t.Fatal("too few crashes")
}

func (env *testEnv) callCrashing(n *gatewayNode, i int) *response {
	return env.call(n, request{path: pathStream + "x", prompt: fmt.Sprintf(crashingPrompt, 5000+i), events: 2})
}

// Guards against a part that stays refused after it has become harmless, and against instances that do not learn so.
func TestHarmlessPartsAreServedAgain(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		f := newFragileFleet(env, 6, func(f *fragileFleet) { f.harmlessAfter = 3 })
		nodes := []*gatewayNode{env.addGateway("edge-1"), env.addGateway("edge-2"), env.addGateway("edge-3")}
		f.settleRoles()
		f.crashServers(nodes, 3)
		time.Sleep(contactTime)
		for i, n := range nodes {
			r := env.callCrashing(n, i)
			require.Equal(t, http.StatusServiceUnavailable, r.status, "edge-%d", i+1)
			require.Empty(t, env.runsOf(r.id))
			require.NotEmpty(t, r.header.Get("Retry-After"))
		}
		served := 0
		for i := range 60 {
			time.Sleep(time.Second)
			f.refresh()
			if r := env.callCrashing(nodes[i%3], 100+i); r.succeeded() {
				served++
			}
		}
		require.Greater(t, served, 20, "from the probe on")
		for i, n := range nodes {
			require.True(t, env.callCrashing(n, 200+i).succeeded(), "edge-%d", i+1)
		}
		f.stop()
	})
}

// Guards against broken responses of servers that live on, of all of them at once, being taken for crashes.
func TestBrokenResponsesAreNoCrashes(t *testing.T) {
	for name, fault := range map[string]site.Fault{"cut": site.FaultUnframedCut, "reset": site.FaultTruncate, "lost": site.FaultLoseResponse} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				n := startEngines(env, 1, nil)[0]
				env.runFor(15 * time.Second)
				for _, wk := range env.workers {
					wk.SetFault(func(r *http.Request) site.Fault {
						if strings.Contains(r.Header.Get("Quetzallug-Prefix-Hash"), crashingPart) && r.Header.Get("Quetzallug-Stage") == "" {
							return fault
						}
						return site.FaultNone
					})
				}
				for round := range 4 {
					responses := make([]*response, 24)
					var calls sync.WaitGroup
					for i := range responses {
						calls.Go(func() { responses[i] = env.callCrashing(n, 100*round+i) })
						// Far enough apart that crashes would not count as one moment.
						time.Sleep(60 * time.Millisecond)
					}
					calls.Wait()
					for _, r := range responses {
						require.False(t, r.succeeded())
						require.NotContains(t, r.body, "quarantined", "round %d", round)
					}
					env.runFor(4 * time.Second)
				}
			})
		})
	}
}

// Guards against sound parts being quarantined when all engines crash at once for another reason, again and again.
func TestCrashesOfTheFleetAccuseNobody(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		f := newFragileFleet(env, 6, nil)
		nodes := []*gatewayNode{env.addGateway("edge-1"), env.addGateway("edge-2")}
		f.settleRoles()
		var count atomic.Int64
		call := func() *response {
			n := count.Add(1)
			return env.call(nodes[n%2], request{path: pathStream + "x", prompt: fmt.Sprintf("f0:50,m%d:60,u%d:100", n%10, n), events: 8})
		}
		for range 4 {
			served := 0
			for range 30 {
				r := call()
				require.NotContains(t, r.body, "quarantined")
				if r.succeeded() {
					served++
				}
			}
			require.GreaterOrEqual(t, served, 15, "half of the requests")
			for range 12 {
				go call()
			}
			time.Sleep(15 * time.Millisecond)
			f.crashAll()
			for range 10 {
				time.Sleep(settleTime)
				f.refresh()
			}
		}
		f.stop()
	})
}

// Guards against crashes that are forgotten because the store is away while they happen.
func TestCrashesDuringAnOutageOfTheStoreCount(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		f := newFragileFleet(env, 6, nil)
		nodes := []*gatewayNode{env.addGateway("edge-1"), env.addGateway("edge-2"), env.addGateway("edge-3")}
		f.settleRoles()
		env.store.SetMode(site.StoreReset)
		f.crashServers(nodes, 3)
		env.store.SetMode(site.StoreUp)
		time.Sleep(contactTime)
		for i, n := range nodes {
			r := env.callCrashing(n, i)
			require.Equal(t, http.StatusServiceUnavailable, r.status, "edge-%d", i+1)
			require.Empty(t, env.runsOf(r.id))
		}
		// A new instance learns it from the store.
		n := env.addGateway("edge-4")
		time.Sleep(settleTime)
		require.Equal(t, http.StatusServiceUnavailable, env.callCrashing(n, 9).status)
		f.stop()
	})
}

// Guards against a malformed record of another instance that stops the watch or refuses sound requests.
func TestMalformedQuarantineRecordsAreIgnored(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		for key, value := range map[string]any{
			"quarantine/parts/zz": jsonMap{}, "quarantine/parts/0000000000000001": jsonMap{"id": 2, "name": "x"},
			"quarantine/parts/0000000000000003": "text", "quarantine/parts/0000000000000004": jsonMap{"id": 4, "probes": -1},
			"quarantine/parts/0000000000000005": jsonMap{"id": 5, "name": strings.Repeat("x", 100_000)},
			"quarantine/reports/edge-9":         jsonMap{"crashes": "many"}, "quarantine/reports/edge-8": nil,
			"quarantine/reports/edge-7": jsonMap{"crashes": make([]jsonMap, 1000)}, "quarantine/": 5, "quarantine/other/x": 5,
		} {
			env.store.Put(key, value)
		}
		time.Sleep(settleTime)
		require.True(t, env.call(n, request{path: pathStream + "x", prompt: "aa:50,bb:60", events: 2}).succeeded())
		env.writeConfig(routeConfig("new", "/new/", "idempotent", "api", nil))
		time.Sleep(settleTime)
		require.True(t, env.call(n, request{path: "/new/x"}).succeeded(), "the watch goes on")
	})
}

// Guards against instances that start together and refuse what was served before, because of reports of crashes that answers
// had acquitted before the instances ended.
func TestRestartAfterCrashesThatWereAnswered(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		f := newFragileFleet(env, 6, nil)
		names := []string{"edge-1", "edge-2", "edge-3"}
		start := func() (nodes []*gatewayNode) {
			for _, name := range names {
				nodes = append(nodes, env.addGateway(name))
			}
			return nodes
		}
		nodes := start()
		f.settleRoles()
		call := func(n *gatewayNode, i, events int) *response {
			f.refresh()
			return env.call(n, request{path: pathStream + "x", prompt: fmt.Sprintf("f0:50,u%d:100", i), events: events})
		}
		for i, n := range nodes {
			time.Sleep(12 * time.Second) // longer than an answer acquits a part of later crashes
			var wait sync.WaitGroup
			wait.Go(func() { call(n, i, 100) })
			time.Sleep(200 * time.Millisecond)
			f.crashBusy()
			wait.Wait()
		}
		require.Len(t, f.crashes, len(nodes))
		for i, n := range nodes {
			require.True(t, call(n, 100+i, 2).succeeded())
		}
		time.Sleep(settleTime)
		for _, n := range nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		nodes = start()
		time.Sleep(settleTime)
		for i := range 12 {
			r := call(nodes[i%len(nodes)], 200+i, 2)
			require.True(t, r.succeeded(), "%d %s", r.status, r.body)
			time.Sleep(time.Second)
		}
		f.stop()
	})
}

// crashBusy crashes the workers that run a request.
func (f *fragileFleet) crashBusy() {
	f.mu.Lock()
	var busy []*site.Worker
	for wk := range f.living {
		for _, r := range wk.Runs() {
			if !r.Prefill && r.Ended.IsZero() {
				busy = append(busy, wk)
				break
			}
		}
	}
	f.mu.Unlock()
	for _, wk := range busy {
		f.crashNow(wk)
	}
}
