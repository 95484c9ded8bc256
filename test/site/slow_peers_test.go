package site

import (
	"bufio"
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

// serveConns registers a backend server whose answers handle writes itself. It is called with the first request of each
// connection, whose body was read, and the connection is closed afterwards.
func serveConns(env *testEnv, cfg site.WorkerConfig, handle func(c net.Conn, r *http.Request, host *memnet.Host)) *site.Worker {
	cfg.Address, cfg.Slots, cfg.Zone = "10.1.65.1:8080", 8, "z"
	w := site.NewWorker(cfg)
	w.Register(env.store)
	host := env.newHost(cfg.Address)
	l := env.net.Listen(host, cfg.Address)
	env.cleanups = append(env.cleanups, func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		handle(c, r, host)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return w
}

// answerHead returns the status line of an answer to a request and the header that marks it, without the blank line.
func answerHead(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nQuetzallug-Attempt-Id: %s\r\nQuetzallug-Response-Signature: x.%s\r\n", id, id)
}

// serveBytes registers one backend server for all requests that answers with the lines of head and then with the pieces, each
// after a pause, for ever if repeat is set.
func serveBytes(env *testEnv, service, head string, pieces []string, pause time.Duration, repeat bool) {
	serveConns(env, site.WorkerConfig{ID: "i-slow", Service: service}, func(c net.Conn, r *http.Request, _ *memnet.Host) {
		_, err := io.WriteString(c, answerHead(r.Header.Get("Quetzallug-Attempt-Id"))+head)
		for first := true; err == nil && (first || repeat); first = false {
			for _, piece := range pieces {
				time.Sleep(pause)
				if _, err = io.WriteString(c, piece); err != nil {
					return
				}
			}
		}
	})
}

// Guards against a server that sends a byte now and then keeping its caller for ever, in a head, a body or a stream.
func TestStalledAnswersEndAtTheDeadline(t *testing.T) {
	for name, tc := range map[string]struct{ path, service, head, piece string }{
		"head":   {pathOnce + "x", "api", "X-Odd: ", "x"},
		"body":   {pathOnce + "x", "api", "Content-Length: 100000\r\n\r\n", "x"},
		"stream": {pathStream + "x", "llm", "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", "x"},
		"events": {pathStream + "x", "llm", "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", ": still here\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				env.writeConfig()
				serveBytes(env, tc.service, tc.head, []string{tc.piece}, 100*time.Millisecond, true)
				n := env.addGateway("edge-1")
				time.Sleep(settleTime)
				r := env.call(n, request{path: tc.path, prompt: "a:50,b:60", events: 4})
				require.False(t, r.succeeded(), "%d %q", r.status, r.body)
				require.InDelta(t, 2000, r.elapsed.Milliseconds(), 600)
			})
		})
	}
}

// Guards against a slow but sound stream being cut before its caller's time is over.
func TestSlowStreamsAreNotCut(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig(routeConfig("stream", pathStream, "streaming", "llm", jsonMap{"sticky-sessions": true, "timeout-ms": 15000}))
		var events []string
		want := ""
		for i := range 6 {
			events = append(events, site.Event("x", i+1))
			want += events[i]
		}
		serveBytes(env, "llm", "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", events, 1900*time.Millisecond, false)
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		r := env.call(n, request{path: pathStream + "x", prompt: "a:50,b:60", events: 6, header: http.Header{"Quetzallug-Deadline-Ms": {"15000"}}})
		require.True(t, r.succeeded(), "%d %v", r.status, r.err)
		require.Equal(t, want, r.body)
	})
}
