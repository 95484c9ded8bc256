package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/memnet"
	"github.com/quetzallug/quetzallug/standin/site"
)

// brokenHead returns what a faulty backend server sends in answer to its nth call.
type brokenHead func(id string, n int) string

// cutHead returns a part of a head, a longer one each time.
func cutHead(id string, n int) string {
	head := answerHead(id) + "Content-Length: 20\r\n"
	return head[:7*n%(len(head)+1)]
}

// oddHead returns an answer with a handle and an event, whose head is none of HTTP.
func oddHead(id string, n int) string {
	const body = `{"handle":"odd"}` + "\n\nid: 2\ndata: odd\n\n"
	end := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	heads := []string{
		strings.Replace(answerHead(id), "200", "000", 1) + end, strings.Replace(answerHead(id), "200", "600", 1) + end,
		answerHead(id) + "Odd name: x\r\n" + end, answerHead(id) + "Odd\x01name: x\r\n" + end,
		answerHead(id) + strings.Replace(end, ":", " :", 1),
	}
	return heads[n%len(heads)]
}

// serveBrokenHeads registers a backend server that answers all calls with broken heads. It returns counters of the prefills
// and the resumed streams among them.
func serveBrokenHeads(env *testEnv, stage string, broken brokenHead) (prefills, resumed *atomic.Int64) {
	prefills, resumed = &atomic.Int64{}, &atomic.Int64{}
	var calls atomic.Int64
	serveConns(env, site.WorkerConfig{ID: "i-cut", Service: "llm", Stage: stage}, func(c net.Conn, r *http.Request, _ *memnet.Host) {
		switch {
		case r.Header.Get("Quetzallug-Stage") == "prefill":
			prefills.Add(1)
		case r.Header.Get("Last-Event-Id") != "":
			resumed.Add(1)
		}
		_, _ = io.WriteString(c, broken(r.Header.Get("Quetzallug-Attempt-Id"), int(calls.Add(1))))
	})
	return prefills, resumed
}

// Guards against heads of prefills and resumed streams that are cut, or none of HTTP, and reach a caller as a part of its
// answer, or keep it from being served.
func TestCutHeadsOfFurtherCalls(t *testing.T) {
	for name, broken := range map[string]brokenHead{"cut": cutHead, "odd": oddHead} {
		t.Run(name, func(t *testing.T) { testBrokenHeads(t, broken) })
	}
}

func testBrokenHeads(t *testing.T, broken brokenHead) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		prefills, _ := serveBrokenHeads(env, "prefill", broken)
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
		_, resumed := serveBrokenHeads(env, "decode", broken)
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
