package site

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

// everyKind holds one request of each kind. Long prompts of different rounds have nothing in common.
func everyKind(round int) []request {
	longPrompt := fmt.Sprintf("a%d:2000,b%d:3000,c%d:1000", round, round, round)
	return []request{
		{path: pathRead + "x", method: http.MethodGet},
		{path: pathOnce + "x", body: "b"},
		{path: pathResume + "x", prompt: longPrompt, events: 2},
		{path: pathStream + "x", prompt: "dd:50,ee:60", events: 2},
	}
}

// Guards against requests and prefills that reach a worker after it has said in an answer that it leaves, also while
// the store is away and when it registers as ready again.
func TestWorkersThatSayTheyLeaveGetNothing(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		env.addWorker(site.WorkerConfig{ID: "i-q", Service: "llm", Stage: "prefill", PrefillTimePerToken: 4 * time.Microsecond})
		time.Sleep(settleTime)
		leaving := []*site.Worker{env.workers[0], env.workers[2], env.workers[3]}
		for _, wk := range leaving {
			wk.SetLeaving(true)
		}
		// All servers answer at least once.
		round := 0
		for ; round < 20; round++ {
			for _, req := range everyKind(round) {
				env.call(n, req)
			}
		}
		before := map[string]int{}
		for _, wk := range leaving {
			before[wk.ID()] = len(wk.Arrivals())
			require.Positive(t, before[wk.ID()], wk.ID())
		}
		check := func() {
			for end := round + 5; round < end; round++ {
				for _, req := range everyKind(round) {
					r := env.call(n, req)
					require.True(t, r.succeeded(), "%s: %d %q", req.path, r.status, r.body)
				}
			}
			for _, wk := range leaving {
				require.Len(t, wk.Arrivals(), before[wk.ID()], wk.ID())
			}
		}
		check()
		env.store.SetMode(site.StoreReset)
		time.Sleep(settleTime)
		check()
		env.store.SetMode(site.StoreUp)
		for _, wk := range leaving {
			env.store.Remove("servers/" + wk.ID())
			time.Sleep(settleTime)
			wk.Register(env.store)
		}
		time.Sleep(settleTime)
		check()
		// A new lifetime under the ID and at the address is served.
		leaving[0].Restart()
		leaving[0].Register(env.store)
		time.Sleep(settleTime)
		// One of two idle workers is chosen by chance.
		for i := 0; len(leaving[0].Arrivals()) == before[leaving[0].ID()]; i++ {
			require.Less(t, i, 64)
			env.call(n, request{path: pathOnce + "x"})
		}
	})
}

// Guards against callers who wait in vain for the only worker of a service that leaves.
func TestOnlyWorkerThatLeavesIsRefusedAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		for _, wk := range env.workers[:2] {
			wk.SetLeaving(true)
		}
		for range 4 {
			env.call(n, request{path: pathOnce + "x"})
		}
		r := env.call(n, request{path: pathOnce + "x"})
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Contains(t, r.body, "servers_leaving")
		require.Less(t, r.elapsed, 100*time.Millisecond)
	})
}

// Guards against requests that reach a worker in the time for which it has asked for none, and a rush when it is over.
func TestWorkersThatRestGetNothing(t *testing.T) {
	const rest = 3 * time.Second
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		for _, wk := range env.workers {
			wk.SetRetryAfter(strconv.FormatFloat(rest.Seconds(), 'f', 1, 64))
		}
		resting := env.workers[0]
		resting.SetFault(func(*http.Request) site.Fault { return site.FaultRefuse })
		// One of two idle workers is chosen by chance.
		for i := 0; len(resting.Arrivals()) == 0; i++ {
			require.Less(t, i, 64)
			require.True(t, env.call(n, request{path: pathOnce + "x"}).succeeded())
		}
		for range 6 {
			require.True(t, env.call(n, request{path: pathOnce + "x"}).succeeded())
		}
		before := len(resting.Arrivals())
		require.Equal(t, 1, before)
		resting.SetFault(nil)
		for range 20 {
			require.True(t, env.call(n, request{path: pathOnce + "x"}).succeeded())
		}
		require.Len(t, resting.Arrivals(), before)
		time.Sleep(rest)
		for range 20 {
			require.True(t, env.call(n, request{path: pathOnce + "x"}).succeeded())
		}
		require.Greater(t, len(resting.Arrivals()), before)

		// All rest: callers are told when a place is likely.
		for _, wk := range env.workers[:2] {
			wk.SetFault(func(*http.Request) site.Fault { return site.FaultRefuse })
		}
		env.call(n, request{path: pathOnce + "x"})
		r := env.call(n, request{path: pathOnce + "x"})
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Contains(t, r.body, "servers_resting")
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 1.1*rest.Seconds(), after, 0.2*rest.Seconds())
		require.Less(t, r.elapsed, 100*time.Millisecond)
	})
}

// Guards against a request that is sent to a worker which drained while the prompt was prefilled elsewhere.
func TestWorkersThatDrainDuringAPrefillGetNothing(t *testing.T) {
	const decoders = 4
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		env.addWorker(site.WorkerConfig{ID: "i-p", Service: "llm", Stage: "prefill", PrefillTimePerToken: 500 * time.Microsecond})
		for i := range decoders {
			env.addWorker(site.WorkerConfig{ID: fmt.Sprint("i-d", i), Service: "llm", Stage: "decode", PrefillTimePerToken: 500 * time.Microsecond})
		}
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		late := 0
		for i := range 8 {
			prompt := "a" + strconv.Itoa(i) + ":1000,b:2000"
			done := make(chan *response)
			go func() {
				done <- env.call(n, request{path: pathStream + "x", prompt: prompt, events: 2, header: http.Header{"Quetzallug-Deadline-Ms": {"8000"}}})
			}()
			time.Sleep(100 * time.Millisecond)
			// All but one drain, so that the one that was chosen is nearly always among them.
			before := 0
			for k, wk := range env.workers[1:] {
				if k != i%decoders {
					before += len(wk.Arrivals())
					wk.Drain(env.store)
				}
			}
			r := <-done
			late -= before
			for k, wk := range env.workers[1:] {
				if k != i%decoders {
					late += len(wk.Arrivals())
				}
			}
			require.True(t, r.succeeded(), "%d %q", r.status, r.body)
			time.Sleep(time.Second)
			for k, wk := range env.workers[1:] {
				if k != i%decoders {
					wk.Restart()
					wk.Register(env.store)
				}
			}
			time.Sleep(settleTime)
		}
		require.Zero(t, late)
	})
}
