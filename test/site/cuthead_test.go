package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/memnet"
	"github.com/quetzallug/quetzallug/standin/site"
)

// serveCutHeads registers a backend server that answers each call with a part of a head, a longer one each time. It
// returns counters of the prefills and the resumed streams among them.
func serveCutHeads(env *testEnv, stage string) (prefills, resumed *atomic.Int64) {
	prefills, resumed = &atomic.Int64{}, &atomic.Int64{}
	var calls atomic.Int64
	serveConns(env, site.WorkerConfig{ID: "i-cut", Service: "llm", Stage: stage}, func(c net.Conn, r *http.Request, _ *memnet.Host) {
		switch {
		case r.Header.Get("Quetzallug-Stage") == "prefill":
			prefills.Add(1)
		case r.Header.Get("Last-Event-Id") != "":
			resumed.Add(1)
		}
		head := answerHead(r.Header.Get("Quetzallug-Attempt-Id")) + "Content-Length: 20\r\n"
		_, _ = io.WriteString(c, head[:int(calls.Add(7))%(len(head)+1)])
	})
	return prefills, resumed
}

// Guards against cut heads of prefills and resumed streams that reach a caller as a part of its answer, or that
// keep it from being served.
func TestCutHeadsOfFurtherCalls(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		prefills, _ := serveCutHeads(env, "prefill")
		for _, id := range []string{"i-d", "i-e"} {
			env.addWorker(site.WorkerConfig{ID: id, Service: "llm", Stage: "decode", PrefillTimePerToken: 4 * time.Microsecond, RoleSwitch: 3 * time.Second})
		}
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		served := 0
		for i := range 60 {
			req := request{path: pathStream + "x", prompt: fmt.Sprintf("a%d:2000,b%d:4000", i, i), events: 3}
			r := env.call(n, req)
			env.checkResponse(r, req.path, req.events)
			if r.succeeded() {
				served++
			}
			time.Sleep(200 * time.Millisecond)
		}
		require.Positive(t, prefills.Load())
		require.Greater(t, served, 50, "the other servers answer")
	})
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		_, resumed := serveCutHeads(env, "decode")
		env.addWorker(site.WorkerConfig{ID: "i-d", Service: "llm", Stage: "decode", PrefillTimePerToken: 4 * time.Microsecond})
		env.workers[0].SetFault(func(r *http.Request) site.Fault {
			if r.Header.Get("Last-Event-Id") == "" {
				return site.FaultTruncate
			}
			return site.FaultNone
		})
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		for i := range 60 {
			req := request{path: pathResume + "x", prompt: fmt.Sprintf("a%d:50,b%d:40", i, i), events: 4}
			r := env.call(n, req)
			require.False(t, r.succeeded(), "%d %q", r.status, r.body)
			time.Sleep(200 * time.Millisecond)
		}
		require.Positive(t, resumed.Load())
	})
}
