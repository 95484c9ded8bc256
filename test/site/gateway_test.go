package site

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

// longPrompt lists prefix hashes with their token counts, 6000 tokens in total.
const longPrompt = "aa:2000,bb:3000,cc:1000"

// startDefaultDeployment starts two plain workers, one prefill engine, two decode engines and a gateway,
// and waits until the gateway has read their registrations.
func startDefaultDeployment(env *testEnv) *gatewayNode {
	env.writeConfig()
	env.addWorker(site.WorkerConfig{ID: "i-a", Service: "api"})
	env.addWorker(site.WorkerConfig{ID: "i-b", Service: "api"})
	for _, e := range []struct{ id, stage string }{{"i-p", "prefill"}, {"i-d", "decode"}, {"i-e", "decode"}} {
		env.addWorker(site.WorkerConfig{ID: e.id, Service: "llm", Stage: e.stage, PrefillTimePerToken: 4 * time.Microsecond, RoleSwitch: 3 * time.Second})
	}
	n := env.addGateway("edge-1")
	time.Sleep(settleTime)
	return n
}

// runInBubble runs f with a new testEnv in a synctest bubble.
func runInBubble(t *testing.T, f func(*testing.T, *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		// Deferred, so that it also runs when a check fails: synctest panics if goroutines remain.
		defer env.stop()
		f(t, env)
	})
}

// Guards against a gateway that, without any faults, fails requests or changes them on the way.
func TestCalm(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		for _, req := range []request{
			{path: pathRead + "x?q=1%20", method: http.MethodGet},
			{path: pathOnce + "y", body: strings.Repeat("b", 5000)},
			{path: pathResume + "z", prompt: longPrompt, events: 3, body: "p"},
			{path: pathStream + "z", prompt: longPrompt, events: 5, body: "p"},
		} {
			r := env.call(n, req)
			require.True(t, r.succeeded(), "%s: %d %v %q", req.path, r.status, r.err, r.body)
			env.checkResponse(r, req.path, req.events)
			runs := env.runsOf(r.id)
			require.Len(t, runs, 1)
			require.Equal(t, req.body, runs[0].Body)
			require.Equal(t, req.path, runs[0].Target)
			require.InDelta(t, 2000, runs[0].TimeoutMS, 200)
		}
	})
}

// Guards against long prompts that are prefilled on decode engines, which take twice as long, although a
// prefill engine is free. Short prompts stay on the decode engine.
func TestLongPromptsAreReadOnPrefillEngines(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		r := env.call(n, request{path: pathStream + "z", prompt: longPrompt, events: 2})
		require.True(t, r.succeeded())
		require.NotEmpty(t, env.runsOf(r.id)[0].Source)
		r = env.call(n, request{path: pathStream + "z", prompt: "dd:50,ee:60", events: 2})
		require.True(t, r.succeeded())
		require.Empty(t, env.runsOf(r.id)[0].Source)
	})
}

// Guards against responses that are corrupt, duplicated, swapped between requests or wrongly refused
// when workers fail.
func TestWorkerFaults(t *testing.T) {
	faults := map[string]site.Fault{
		"shed": site.FaultRefuse, "error": site.FaultError, "reset early": site.FaultResetEarly, "lost": site.FaultLoseResponse,
		"hang": site.FaultHang, "truncate": site.FaultTruncate, "garbage": site.FaultGarbage, "extra": site.FaultExtra,
		"foreign": site.FaultWrongRequest, "unsigned": site.FaultUnsigned, "unframed": site.FaultUnframed, "early": site.FaultEarly,
		"unframed cut": site.FaultUnframedCut, "unframed no event": site.FaultUnframedNoEvent, "framed cut": site.FaultFramedCut,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				n := startDefaultDeployment(env)
				for _, wk := range env.workers {
					count := 0
					wk.SetFault(func(*http.Request) site.Fault {
						if count++; count%2 == 1 {
							return fault
						}
						return site.FaultNone
					})
				}
				successes := 0
				for range 6 {
					for _, req := range []request{
						{path: pathRead + "x", method: http.MethodGet},
						{path: pathOnce + "x", body: strings.Repeat("b", 30000)},
						{path: pathResume + "x", prompt: longPrompt, events: 4},
						{path: pathStream + "x", prompt: longPrompt, events: 4},
					} {
						// FaultEarly sends a plain response even to a stream request.
						if fault == site.FaultEarly && strings.HasPrefix(req.path, pathResume) {
							continue
						}
						if fault == site.FaultEarly && strings.HasPrefix(req.path, pathStream) {
							continue
						}
						r := env.call(n, req)
						env.checkResponse(r, req.path, req.events)
						if r.succeeded() {
							successes++
						}
					}
				}
				require.Positive(t, successes)
			})
		})
	}
}

// Guards against a repeatable request that fails because one worker failed, instead of being retried on
// another.
func TestRepeatableRequestsAreSentAgain(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		// These requests come first because retries are limited to a share of recent requests.
		for range 20 {
			require.True(t, env.call(n, request{path: pathRead + "warm"}).succeeded())
			require.True(t, env.call(n, request{path: pathStream + "warm", prompt: "dd:50", events: 1}).succeeded())
		}
		for _, req := range []request{{path: pathRead + "x"}, {path: pathResume + "x", prompt: "ff:50,gg:50", events: 4}} {
			var once sync.Once
			for _, wk := range env.workers {
				wk.SetFault(func(*http.Request) (f site.Fault) {
					once.Do(func() { f = site.FaultTruncate })
					return f
				})
			}
			r := env.call(n, req)
			require.True(t, r.succeeded(), "%s: %d %v %q", req.path, r.status, r.err, r.body)
			env.checkResponse(r, req.path, req.events)
			require.Len(t, env.runsOf(r.id), 2)
		}
	})
}

// Guards against a gateway that retries a larger share of requests than its retry budget allows when
// all workers fail.
func TestRetryBudgetHoldsUnderFailure(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		for _, wk := range env.workers {
			wk.SetFault(func(*http.Request) site.Fault { return site.FaultError })
		}
		const requests = 200
		for range requests {
			r := env.call(n, request{path: pathRead + "x", method: http.MethodGet})
			require.Equal(t, http.StatusInternalServerError, r.status)
			time.Sleep(10 * time.Millisecond)
		}
		arrivals := 0
		for _, wk := range env.workers {
			arrivals += len(wk.Arrivals())
		}
		// RetryShare is 0.2 and RetrySlack 1.
		require.LessOrEqual(t, arrivals-requests, requests/5+1)
		require.Greater(t, arrivals, requests, "no request was retried")
	})
}

// Guards against a worker that continues a request after the caller has disconnected.
func TestLeavingCallersEndTheRun(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		r := env.call(n, request{path: pathStream + "x", prompt: "dd:50,ee:60", events: 50, disconnectAfter: 200 * time.Millisecond})
		time.Sleep(300 * time.Millisecond)
		runs := env.runsOf(r.id)
		require.Len(t, runs, 1)
		require.False(t, runs[0].Ended.IsZero())
		require.Less(t, runs[0].Ended.Sub(runs[0].Started), 400*time.Millisecond)

		// While a worker sends nothing, no write to the caller fails, so the gateway has to watch the
		// connection of the caller.
		for _, wk := range env.workers {
			wk.SetFault(func(*http.Request) site.Fault { return site.FaultHang })
		}
		r = env.call(n, request{path: pathOnce + "x", disconnectAfter: 200 * time.Millisecond})
		time.Sleep(300 * time.Millisecond)
		runs = env.runsOf(r.id)
		require.Len(t, runs, 1)
		require.False(t, runs[0].Ended.IsZero())
		require.Less(t, runs[0].Ended.Sub(runs[0].Started), 400*time.Millisecond)
	})
}

// Guards against requests that are sent to a draining worker more than settleTime after its registration says so.
func TestDrainingWorkersGetNothing(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		env.workers[0].Drain(env.store)
		time.Sleep(settleTime)
		before := len(env.workers[0].Arrivals())
		for range 20 {
			require.True(t, env.call(n, request{path: pathOnce + "x"}).succeeded())
		}
		require.Len(t, env.workers[0].Arrivals(), before)
	})
}

// Guards against the removal of a running worker whose registration lapsed during an outage of the
// store, and against registrations that are kept although they were deleted while the store was available.
func TestLapsedRegistrations(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		env.store.Remove("servers/i-a")
		time.Sleep(settleTime)
		require.Len(t, n.roster.Servers("api"), 1, "a registration deleted while the store was available was kept")
		env.workers[0].Register(env.store)
		time.Sleep(settleTime)
		require.Len(t, n.roster.Servers("api"), 2)

		env.store.SetMode(site.StoreBusy)
		time.Sleep(3 * time.Second)
		env.store.Remove("servers/i-a")
		env.store.Remove("servers/i-b")
		env.store.SetMode(site.StoreUp)
		time.Sleep(settleTime)
		require.Len(t, n.roster.Servers("api"), 2, "registrations that lapsed while the store was unavailable were removed")
		env.workers[0].Register(env.store)
		time.Sleep(3 * time.Second)
		require.Len(t, n.roster.Servers("api"), 1, "the worker that did not register again was kept")
	})
}

// Guards against requests that are routed to invalid registrations written by other clients of the store.
func TestForgedRegistrations(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		entry := func(changes jsonMap) jsonMap {
			e := jsonMap{
				"service": "api", "address": "10.1.64.1:8080", "zone": "z", "version": "v1", "slots": 1, "state": "ready", "cold-remaining-ms": 0,
				"seq": 1, "born": 1,
			}
			for k, v := range changes {
				if e[k] = v; v == nil {
					delete(e, k)
				}
			}
			return e
		}
		for key, value := range map[string]any{
			"servers/x1": []byte("\xff\x00 not json"), "servers/x2": jsonMap{"service": "api"}, "servers/x3": entry(jsonMap{"address": 5}),
			"servers/x4": entry(jsonMap{"state": "resting"}), "servers/x5": entry(jsonMap{"address": "nowhere"}), "servers/x6": entry(jsonMap{"born": 1.5}),
			"servers/x7": entry(jsonMap{"version": nil}), "servers/x8": entry(jsonMap{"cold-remaining-ms": nil}), "servers/x9": entry(jsonMap{"seq": nil}),
		} {
			env.store.Put(key, value)
		}
		time.Sleep(settleTime)
		require.Len(t, n.roster.Servers("api"), 2)
	})
}

// Guards against orders that run at a model worker because another program has written an entry under its ID that names
// another service, with fields missing or whole. The worker is used again with its next entry.
func TestEntriesOfOtherProgramsUnderAWorkersID(t *testing.T) {
	for name, missing := range map[string][]string{
		"fields missing": {"version", "cold-remaining-ms", "seq", "born", "stage"}, "start missing": {"born"}, "whole": nil,
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				env.writeConfig()
				env.addWorker(site.WorkerConfig{ID: "i-model", Service: "llm"})
				env.addWorker(site.WorkerConfig{ID: "i-api", Service: "api"})
				n := env.addGateway("edge-1")
				time.Sleep(settleTime)
				entry := env.workers[0].Entry()
				entry["service"], entry["seq"] = "api", 7
				for _, field := range missing {
					delete(entry, field)
				}
				env.store.Put("servers/i-model", entry)
				time.Sleep(settleTime)
				require.Len(t, n.roster.Servers("api"), 1)
				for range 20 {
					env.checkResponse(env.call(n, request{path: pathOnce + "x"}), pathOnce+"x", 0)
				}
				require.Empty(t, env.workers[0].Runs())
				env.workers[0].Register(env.store)
				time.Sleep(settleTime)
				require.Len(t, n.roster.Servers("llm"), 1)
			})
		})
	}
}

// Guards against requests that run on a worker of another service because it reuses the address of a
// worker whose registration still exists.
func TestReusedAddress(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		env.addWorker(site.WorkerConfig{ID: "i-new", Service: "api2", Address: "10.1.64.9:8080"})
		env.addWorker(site.WorkerConfig{ID: "i-b", Service: "api"})
		env.store.Put("servers/i-old", jsonMap{
			"service": "api", "address": "10.1.64.9:8080", "zone": "z", "version": "v1", "slots": 6, "state": "ready", "cold-remaining-ms": 0, "seq": 1, "born": 1,
		})
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		for range 10 {
			r := env.call(n, request{path: pathOnce + "x"})
			env.checkResponse(r, pathOnce+"x", 0)
		}
		require.Empty(t, env.workers[0].Runs())
	})
}

// Guards against 404 responses before a configuration is known, and against configuration changes that
// are applied late or replaced by an older version.
func TestConfiguration(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.store.SetMode(site.StoreSilent)
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		require.Equal(t, http.StatusServiceUnavailable, env.call(n, request{path: pathRead + "x"}).status)
		env.writeConfig()
		env.addWorker(site.WorkerConfig{ID: "i-a", Service: "api"})
		env.store.SetMode(site.StoreUp)
		time.Sleep(2 * time.Second)
		require.True(t, env.call(n, request{path: pathRead + "x"}).succeeded())
		require.Equal(t, http.StatusNotFound, env.call(n, request{path: "/none/x"}).status)

		old := env.store.Value("op/config")
		env.writeConfig(routeConfig("other", "/other/", "idempotent", "api", nil))
		time.Sleep(200 * time.Millisecond)
		require.True(t, env.call(n, request{path: "/other/x"}).succeeded())
		require.Equal(t, http.StatusNotFound, env.call(n, request{path: pathRead + "x"}).status)
		env.store.Put("op/config", old)
		env.store.Put("op/config", []byte("{"))
		time.Sleep(settleTime)
		require.True(t, env.call(n, request{path: "/other/x"}).succeeded(), "an older or invalid configuration was applied")
	})
}

// Guards against changes that are missed because the store compacted its history.
func TestCompactedHistory(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		env.writeConfig(routeConfig("other", "/other/", "idempotent", "api", nil))
		env.workers[0].Drain(env.store)
		env.store.Compact()
		time.Sleep(settleTime)
		require.True(t, env.call(n, request{path: "/other/x"}).succeeded())
		require.Len(t, n.roster.Servers("api"), 1)
	})
}

// Guards against internal headers that a caller sets and the gateway passes on to a worker.
func TestCallersCannotSetTheSystemsHeaders(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		r := env.call(n, request{path: pathStream + "x", prompt: "dd:50,ee:60", events: 1, header: http.Header{
			"Quetzallug-Kv-Source": {"10.1.64.3:8080/h-other"}, "Quetzallug-Stage": {"prefill"},
			"Quetzallug-Expect-Instance": {"i-x"}, "Connection": {"Quetzallug-Expect-Version"}, "Quetzallug-Expect-Version": {"9"},
		}})
		require.True(t, r.succeeded())
		require.Empty(t, env.runsOf(r.id)[0].Source)
	})
}

// Guards against a delay before a request is refused when its service has no backend server.
func TestNoServerIsRefusedAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		r := env.call(n, request{path: pathOnce + "x"})
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		require.Less(t, r.elapsed, 50*time.Millisecond)
	})
}

// Guards against a request that outlasts the timeout of its route.
func TestTimeoutOfTheRoute(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		env.writeConfig(routeConfig("once", pathOnce, "non_idempotent", "api", jsonMap{"timeout-ms": 500}))
		time.Sleep(settleTime)
		for _, wk := range env.workers {
			wk.SetFault(func(*http.Request) site.Fault { return site.FaultHang })
		}
		r := env.call(n, request{path: pathOnce + "x"})
		require.Equal(t, http.StatusGatewayTimeout, r.status)
		require.InDelta(t, 500, r.elapsed.Milliseconds(), 50)
	})
}

// Guards against a worker that never receives requests again because its interrupted streams still count
// as in progress (soak seed 9115907571842290497).
func TestBrokenStreamsDoNotCountForEver(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		faulty := env.workers[3]
		require.Equal(t, "decode", faulty.Stage())
		faulty.SetFault(func(*http.Request) site.Fault { return site.FaultTruncate })
		// The prompts share no prefix, so that cache affinity does not route them to one engine.
		for i := range 12 {
			env.call(n, request{path: pathStream + "x", prompt: fmt.Sprintf("a%d:50,b%d:60", i, i), events: 4})
		}
		faulty.SetFault(nil)
		// Long enough for the failures to no longer count against the worker.
		time.Sleep(time.Minute)
		before := len(faulty.Runs())
		require.Positive(t, before)
		for i := range 30 {
			r := env.call(n, request{path: pathStream + "x", prompt: fmt.Sprintf("c%d:50,d%d:60", i, i), events: 4})
			require.True(t, r.succeeded(), "%d %s", r.status, r.body)
		}
		require.Greater(t, len(faulty.Runs()), before)
	})
}

// Guards against refusing a request for lack of a server when decode engines exist but are all avoided
// because of recent failures.
func TestAvoidedEnginesAreBetterThanNone(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		for _, wk := range env.workers {
			if wk.Stage() == "decode" {
				wk.SetFault(func(*http.Request) site.Fault { return site.FaultLoseResponse })
			}
		}
		for range 8 {
			env.call(n, request{path: pathStream + "x", prompt: "dd:50,ee:60", events: 1})
		}
		r := env.call(n, request{path: pathStream + "x", prompt: "dd:50,ee:60", events: 1})
		require.NotEqual(t, http.StatusServiceUnavailable, r.status, r.body)
	})
}

// Guards against a prefill engine that keeps the cache entry of a prefilled prompt that no decode
// engine fetched, and against needless calls that free the cache entries of fetched prompts.
func TestPromptsReadInVainAreFreed(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		prefillEngine := env.workers[2]
		require.Equal(t, "prefill", prefillEngine.Stage())
		require.True(t, env.call(n, request{path: pathStream + "x", prompt: longPrompt, events: 1}).succeeded())
		time.Sleep(time.Second)
		require.Zero(t, prefillEngine.FreedHandles())
		for _, wk := range env.workers {
			wk.SetFault(func(r *http.Request) site.Fault {
				if r.Header.Get("Quetzallug-Stage") == "" {
					return site.FaultRefuse
				}
				return site.FaultNone
			})
		}
		r := env.call(n, request{path: pathStream + "x", prompt: longPrompt, events: 1})
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		env.checkResponse(r, pathStream+"x", 1)
		time.Sleep(time.Second)
		require.Equal(t, 1, prefillEngine.FreedHandles())
	})
}

// Guards against requests to a worker that deregistered while the gateway could not reach the store, sent
// later than removalBound after the store is reachable again. The gateway keeps missing registrations for a
// while after the last failed call. When it kept them for 2.5 s, counted from a failure up to 1.2 s after the
// outage, a worker got a request 3.3 s after its shutdown had been acknowledged. The offsets vary the end of
// the outage against the gateway's calls to the store.
func TestWorkersThatLeftDuringACut(t *testing.T) {
	// removalBound is the time that the platform allows, after the connection is restored, for removing a
	// worker that deregistered during the outage.
	const removalBound = 3 * time.Second
	for offset := time.Duration(0); offset < 2*time.Second; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				n := startDefaultDeployment(env)
				env.store.SetMode(site.StoreSilent)
				time.Sleep(5*time.Second + offset)
				env.store.Remove("servers/i-a")
				time.Sleep(300 * time.Millisecond)
				env.store.SetMode(site.StoreUp)
				time.Sleep(removalBound)
				require.Len(t, n.roster.Servers("api"), 1)
			})
		})
	}
}
