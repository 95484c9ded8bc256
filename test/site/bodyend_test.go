package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/memnet"
	"github.com/quetzallug/quetzallug/standin/site"
)

// serveUntilKilled registers a backend server that sends a half of an answer without a length. Its machine is then killed,
// so that all its connections end at the same moment. With drain, it reports that it leaves before.
func serveUntilKilled(env *testEnv, service, stage string, drain bool, half func(id, target string) string) {
	var w *site.Worker
	w = serveConns(env, site.WorkerConfig{ID: "i-killed", Service: service, Stage: stage}, func(c net.Conn, r *http.Request, host *memnet.Host) {
		id := r.Header.Get("Quetzallug-Attempt-Id")
		_, _ = io.WriteString(c, answerHead(id)+"Connection: close\r\n\r\n"+half(id, r.RequestURI))
		if drain {
			w.Drain(env.store)
			time.Sleep(settleTime)
		}
		time.Sleep(200 * time.Millisecond)
		env.net.Kill(host)
	})
}

// Guards against a half of an answer without a length that looks whole because its backend server was killed with all its
// connections.
func TestKilledServersCutAnswersWithoutALength(t *testing.T) {
	event := func(id, _ string) string { return site.Event(id, 1) }
	for name, tc := range map[string]struct {
		service, stage string
		half           func(id, target string) string
		request        request
	}{
		"once":   {"api", "", func(id, target string) string { return site.Answer(id, target)[:4] }, request{path: pathOnce + "x", body: "b"}},
		"stream": {"llm", "decode", event, request{path: pathStream + "x", prompt: "a:50,b:60", events: 3}},
		"resume": {"llm", "decode", event, request{path: pathResume + "x", prompt: "a:50,b:60", events: 3}},
	} {
		for _, drain := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/draining=%v", name, drain), func(t *testing.T) {
				runInBubble(t, func(t *testing.T, env *testEnv) {
					env.writeConfig()
					serveUntilKilled(env, tc.service, tc.stage, drain, tc.half)
					n := env.addGateway("edge-1")
					time.Sleep(settleTime)
					r := env.call(n, tc.request)
					require.False(t, r.succeeded(), "%d %q", r.status, r.body)
				})
			})
		}
	}
}
