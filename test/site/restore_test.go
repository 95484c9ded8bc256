package site

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	// restoreOutage is how long the store is away before it comes back from a copy.
	restoreOutage = 300 * time.Millisecond
	// rewriteDelay is how long after a restore the workers and the operator write again what they had written.
	rewriteDelay = 1200 * time.Millisecond
	// entryMemory is how long the entry of a worker that is gone stays after a restore: three heartbeats.
	entryMemory = 3600 * time.Millisecond
)

// restore lets the store come back from a copy, after an outage. Living workers and the operator write again what they had
// written.
func (env *testEnv) restore(c *site.Copy) {
	env.store.SetMode(site.StoreReset)
	time.Sleep(restoreOutage)
	env.store.Restore(c)
	env.store.SetMode(site.StoreUp)
	time.AfterFunc(rewriteDelay, func() {
		env.store.Put("op/config", env.config)
		env.mu.Lock()
		defer env.mu.Unlock()
		for _, wk := range env.workers {
			if !env.gone[wk.ID()] {
				wk.Heartbeat(env.store)
			}
		}
	})
	time.AfterFunc(entryMemory, func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		for id := range env.gone {
			env.store.Remove("servers/" + id)
		}
	})
}

// restoreAfter lets the store come back from a copy of an age.
func (env *testEnv) restoreAfter(age time.Duration) {
	c := env.store.Copy()
	time.Sleep(age)
	env.restore(c)
}

// leave removes the entry of a worker, which goes on serving.
func (env *testEnv) leave(wk *site.Worker) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.gone == nil {
		env.gone = map[string]bool{}
	}
	env.gone[wk.ID()] = true
	env.store.Remove("servers/" + wk.ID())
}

// startRestored starts two gateways before workers of two services.
func startRestored(env *testEnv) (n, other *gatewayNode) {
	env.writeConfig()
	for i := range 3 {
		env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-a%d", i), Service: "api"})
	}
	env.addWorker(site.WorkerConfig{ID: "i-b", Service: "api2"})
	n, other = env.addGateway("edge-1"), env.addGateway("edge-2")
	time.Sleep(settleTime)
	return n, other
}

// Guards against a configuration that goes back at an instance because the store has an older one for a while, and against an
// instance that starts meanwhile and stays there.
func TestConfigurationsOutlastARestore(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n, _ := startRestored(env)
		c := env.store.Copy()
		env.writeConfig(routeConfig("moved", "/moved/", "idempotent", "api2", nil))
		time.Sleep(settleTime)
		moved := func(n *gatewayNode) int { return env.call(n, request{path: "/moved/x", method: http.MethodGet}).status }
		require.Equal(t, http.StatusOK, moved(n))
		env.restore(c)
		late := env.addGateway("edge-3")
		for i := range 10 {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, http.StatusOK, moved(n))
			if i == 2 {
				require.True(t, env.call(late, request{path: pathRead + "x"}).succeeded(), "it serves by what the store has")
			}
		}
		time.Sleep(rewriteDelay + settleTime)
		require.Equal(t, http.StatusOK, moved(n))
		require.Equal(t, http.StatusOK, moved(late))
	})
}

// Guards against operators who cannot tell what a store that has come back lacks, and what instances do about it: each one
// logs a line.
func TestRestoresAreLogged(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		startRestored(env)
		older := env.version
		c := env.store.Copy()
		env.addWorker(site.WorkerConfig{ID: "i-lost", Service: "api"})
		env.leave(env.workers[0])
		env.writeConfig()
		time.Sleep(settleTime + lapsedTime)
		require.NotContains(t, env.seen.text(), restoredLine)
		env.restore(c)
		time.Sleep(settleTime)
		lines := regexp.MustCompile(".*"+restoredLine+".*").FindAllString(env.seen.text(), -1)
		require.Len(t, lines, 2)
		for _, line := range lines {
			for _, field := range []string{
				"era=2", "era_before=1", "revision=", "revision_before=", "ended_servers=1", "missing_servers=1", "records_written_again=0",
				fmt.Sprintf("config=%d", env.version), fmt.Sprintf("stored_config=%d", older),
			} {
				require.Contains(t, line, " "+field)
			}
		}
	})
}

const restoredLine = "the store has come back from an older copy"

// Guards against changes that are skipped because the store gives their revisions out a second time.
func TestChangesAfterARestoreAreSeen(t *testing.T) {
	for changes := range 12 {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				n, _ := startRestored(env)
				c := env.store.Copy()
				for i := range 6 {
					env.store.Put("other/x", jsonMap{"i": i})
				}
				time.Sleep(settleTime)
				// The store is back, and at about the same revision, before a gateway has looked at it again.
				env.store.Restore(c)
				for i := range changes {
					env.store.Put("other/y", jsonMap{"i": i})
				}
				env.leave(env.workers[0])
				env.writeConfig(routeConfig("moved", "/moved/", "idempotent", "api2", nil))
				time.Sleep(settleTime + lapsedTime)
				require.Len(t, n.roster.Servers("api"), 2)
				require.True(t, env.call(n, request{path: "/moved/x", method: http.MethodGet}).succeeded())
			})
		})
	}
}

// lapsedTime is the most for which a missing registration is kept after a failure of the store.
const lapsedTime = 3 * time.Second

// Guards against requests to a worker that had left before the store came back with its entry.
func TestWorkersThatLeftStayAwayAfterARestore(t *testing.T) {
	for name, leave := range map[string]func(env *testEnv, wk *site.Worker){
		"draining": func(env *testEnv, wk *site.Worker) { wk.Drain(env.store) },
		"gone":     func(env *testEnv, wk *site.Worker) { env.leave(wk) },
		"draining and gone": func(env *testEnv, wk *site.Worker) {
			wk.Drain(env.store)
			time.Sleep(time.Second)
			env.leave(wk)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				n, other := startRestored(env)
				c := env.store.Copy()
				wk := env.workers[0]
				leave(env, wk)
				time.Sleep(settleTime)
				before := len(wk.Arrivals())
				env.restore(c)
				for i := range 100 {
					for _, g := range []*gatewayNode{n, other} {
						require.True(t, env.call(g, request{path: pathOnce + "x"}).succeeded(), i)
					}
					time.Sleep(100 * time.Millisecond)
				}
				require.Len(t, wk.Arrivals(), before)
			})
		})
	}
}

// Guards against workers that get nothing because the store has lost their entries, which they write again.
func TestWorkersWhoseEntriesWereLostAreServed(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		c := env.store.Copy()
		for i := range 3 {
			env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-a%d", i), Service: "api"})
		}
		time.Sleep(settleTime)
		env.restore(c)
		for range 50 {
			require.Len(t, n.roster.Servers("api"), 3)
			require.True(t, env.call(n, request{path: pathOnce + "x"}).succeeded())
			time.Sleep(100 * time.Millisecond)
		}
		// One that does not come back is gone.
		c = env.store.Copy()
		env.addWorker(site.WorkerConfig{ID: "i-lost", Service: "api"})
		time.Sleep(settleTime)
		require.Len(t, n.roster.Servers("api"), 4)
		env.mu.Lock()
		env.gone = map[string]bool{"i-lost": true}
		env.mu.Unlock()
		env.restore(c)
		time.Sleep(lapsedTime + settleTime)
		require.Len(t, n.roster.Servers("api"), 3)
	})
}

// Guards against failures in drawn orders of restores, worker changes, configurations and kills: after the last one, every
// gateway serves by the present state, and no worker that has left gets a request.
func TestDrawnRestores(t *testing.T) {
	for seed := range uint64(*restoreSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				random := rand.New(rand.NewPCG(5, seed))
				pause := func(most time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(most)))) }
				n, other := startRestored(env)
				nodes := []*gatewayNode{n, other}
				c := env.store.Copy()
				left := map[*site.Worker]int{}
				for step := range 8 {
					pause(6 * time.Second)
					switch random.IntN(6) {
					case 0:
						c = env.store.Copy()
					case 1:
						env.restore(c)
					case 2:
						env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-n%d", step), Service: "api"})
					case 3:
						wk := env.workers[random.IntN(2)]
						if !env.gone[wk.ID()] {
							env.leave(wk)
							time.Sleep(settleTime + lapsedTime) // it may have lapsed with the store
							left[wk] = len(wk.Arrivals())
						}
					case 4:
						env.writeConfig(routeConfig("moved", "/moved/", "idempotent", "api2", nil), routeConfig("once", pathOnce, "non_idempotent", "api", nil))
					case 5:
						i := random.IntN(len(nodes))
						nodes[i].kill()
						nodes[i] = env.addGateway(fmt.Sprintf("edge-%d", i+1))
						clear(left) // it does not know who left, and may find their entries
						time.Sleep(settleTime)
					}
					for i := range 6 {
						env.call(nodes[i%2], request{path: pathOnce + "x"})
					}
					for wk, arrived := range left {
						require.Len(t, wk.Arrivals(), arrived, "%s has left", wk.ID())
					}
				}
				env.restore(c)
				time.Sleep(rewriteDelay + entryMemory + settleTime + lapsedTime)
				want := 0
				for _, wk := range env.workers {
					if !env.gone[wk.ID()] && wk.ID() != "i-b" {
						want++
					}
				}
				for _, g := range nodes {
					require.Len(t, g.roster.Servers("api"), want)
					for range 4 {
						require.True(t, env.call(g, request{path: pathOnce + "x"}).succeeded())
					}
				}
			})
		})
	}
}
