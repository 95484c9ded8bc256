package site

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

// Guards against a stream that ends inside an event, or before its first one, reaching the caller as a complete success.
func TestCutStreamsAreNotComplete(t *testing.T) {
	for name, fault := range map[string]site.Fault{
		"unframed":           site.FaultUnframedCut,
		"unframed, no event": site.FaultUnframedNoEvent,
		"framed":             site.FaultFramedCut,
		"reset":              site.FaultTruncate,
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				n := startDefaultDeployment(env)
				// These requests come first because retries are limited to a share of recent requests.
				for range 40 {
					require.True(t, env.call(n, request{path: pathStream + "warm", prompt: "dd:50", events: 1}).succeeded())
				}
				for _, wk := range env.workers {
					wk.SetFault(func(r *http.Request) site.Fault {
						if r.Header.Get("Last-Event-Id") != "" || r.Header.Get("Quetzallug-Stage") != "" {
							return site.FaultNone
						}
						return fault
					})
				}
				for _, req := range []request{
					{path: pathStream + "x", prompt: longPrompt, events: 4},
					{path: pathStream + "x", prompt: "dd:50,ee:60", events: 2},
					{path: pathResume + "x", prompt: "dd:50,ee:60", events: 1},
				} {
					r := env.call(n, req)
					require.False(t, r.succeeded(), "%s: %q", req.path, r.body)
				}
				// A resumable stream goes on after its last whole event.
				r := env.call(n, request{path: pathResume + "x", prompt: "ff:50,gg:50", events: 4})
				env.checkResponse(r, pathResume+"x", 4)
				require.Equal(t, fault != site.FaultUnframedNoEvent, r.succeeded(), "%d %v %q", r.status, r.err, r.body)
			})
		})
	}
}

// Guards against a whole stream that only its connection ends being taken for a broken one.
func TestUnframedStreamsAreComplete(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		for _, wk := range env.workers {
			wk.SetFault(func(*http.Request) site.Fault { return site.FaultUnframed })
		}
		for _, path := range []string{pathStream + "x", pathResume + "x"} {
			r := env.call(n, request{path: path, prompt: "dd:50,ee:60", events: 4})
			require.True(t, r.succeeded(), "%s: %d %v", path, r.status, r.err)
			env.checkResponse(r, path, 4)
		}
	})
}

// Guards against a request whose body was cut being forwarded as if it were whole.
func TestCutRequestBodiesAreNotForwarded(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		for name, text := range map[string]string{
			"length": "Content-Length: 60\r\n\r\nhalf",
			"chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		} {
			c, err := env.net.Dial(context.Background(), env.callerHost, n.address)
			require.NoError(t, err)
			_, err = fmt.Fprintf(c, "POST %sx HTTP/1.1\r\nHost: %s\r\nQuetzallug-Attempt-Id: %s\r\n%s", pathOnce, hostname, name, text)
			require.NoError(t, err)
			require.NoError(t, c.Close())
			time.Sleep(3 * time.Second)
			require.Empty(t, env.runsOf(name))
		}
	})
}
