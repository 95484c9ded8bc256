package site

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that hold a request open by sending its body slowly, or that send an invalid
// body or one above the size limit, and against slower responses to other callers meanwhile. The body
// limit is 64 KiB here, and the timeout of the route 2 s.
func TestBodiesThatCannotBeRead(t *testing.T) {
	for name, tc := range map[string]struct {
		head        string
		body        string
		pause       time.Duration
		status      int
		maxDuration time.Duration
	}{
		"a byte at a time":   {"Content-Length: 60\r\n", strings.Repeat("b", 60), 900 * time.Millisecond, http.StatusRequestTimeout, 4 * time.Second},
		"no more bytes":      {"Content-Length: 60\r\n", "b", time.Hour, http.StatusRequestTimeout, 4 * time.Second},
		"length over limit":  {"Content-Length: 70000\r\n", "b", 0, http.StatusRequestEntityTooLarge, time.Second},
		"chunks over limit":  {"Transfer-Encoding: chunked\r\n", "11170\r\n" + strings.Repeat("b", 70000) + "\r\n0\r\n\r\n", 0, http.StatusRequestEntityTooLarge, time.Second},
		"chunks unreadable":  {"Transfer-Encoding: chunked\r\n", "zz\r\nbb\r\n", 0, http.StatusBadRequest, time.Second},
		"length contradicts": {"Content-Length: 5\r\nContent-Length: 6\r\n", "", 0, http.StatusBadRequest, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				n := startDefaultDeployment(env)
				started := time.Now()
				c, err := env.net.Dial(context.Background(), env.callerHost, n.address)
				require.NoError(t, err)
				defer c.Close()
				require.NoError(t, c.SetReadDeadline(started.Add(time.Minute)))
				_, err = fmt.Fprintf(c, "POST %sx HTTP/1.1\r\nHost: %s\r\nQuetzallug-Attempt-Id: slow\r\n%s\r\n", pathOnce, hostname, tc.head)
				require.NoError(t, err)
				go func() {
					step := len(tc.body)
					if tc.pause > 0 {
						step = 1
					}
					for remaining := tc.body; remaining != ""; remaining = remaining[step:] {
						if _, err := io.WriteString(c, remaining[:step]); err != nil {
							return
						}
						select {
						case <-env.callerHost.Ctx.Done():
							return
						case <-time.After(tc.pause):
						}
					}
				}()
				for range 10 {
					r := env.call(n, request{path: pathOnce + "y", body: "b"})
					require.True(t, r.succeeded())
					require.Less(t, r.elapsed, 100*time.Millisecond)
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				defer resp.Body.Close()
				require.Equal(t, tc.status, resp.StatusCode)
				require.True(t, resp.Close)
				require.LessOrEqual(t, time.Since(started), tc.maxDuration)
				require.Empty(t, env.runsOf("slow"))
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				count, err := c.Read(make([]byte, 1))
				require.Zero(t, count)
				require.Error(t, err, "connection is still open after %s", name)
				env.callerHost.Cancel()
			})
		})
	}
}

// Guards against a gateway status without the facts that operators need: readiness, configuration version,
// which backend servers are usable, and connection counts.
func TestStatusOfAGateway(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		// Enough requests for both of two equal servers to receive some.
		for range 40 {
			require.True(t, env.call(n, request{path: pathRead + "x", method: http.MethodGet}).succeeded())
		}
		env.workers[1].Drain(env.store)
		time.Sleep(settleTime)
		s := n.gateway.Status(time.Now())
		require.True(t, s.Ready)
		require.EqualValues(t, env.version, s.Config)
		require.Equal(t, 4, s.Routes)
		require.GreaterOrEqual(t, s.StoreAgeMS, int64(0))
		require.Less(t, s.StoreAgeMS, int64(2000))
		require.Len(t, s.Servers, 5)
		require.Equal(t, "i-a", s.Servers[0].Server)
		require.Equal(t, "ready", s.Servers[0].State)
		require.Equal(t, 1, s.Servers[0].Connections)
		require.GreaterOrEqual(t, s.Servers[0].LoadAgeMS, int64(0))
		require.Equal(t, "draining", s.Servers[1].State)
		require.False(t, s.Servers[1].Usable)
		require.EqualValues(t, -1, s.Servers[2].LoadAgeMS, "load age of a server without requests")
		require.Equal(t, "api", s.Services[0].Service)
		require.Equal(t, 2, s.Services[0].Servers)
		require.Equal(t, 1, s.Services[0].Usable)
		require.Positive(t, s.Services[0].RetryBudgetLeft)
		require.Equal(t, "api2", s.Services[1].Service, "a configured service without backend servers is missing")
	})
}

// Guards against callers that hold a connection, or wait for their answer, because the body of a request that is refused
// without it never comes.
func TestBodiesOfRefusedRequestsAreNotWaitedFor(t *testing.T) {
	const limit = time.Second
	for name, tc := range map[string]struct {
		path, host, body string
		stopping         bool
		status           int
	}{
		"no route":              {path: "/nowhere/x", status: http.StatusNotFound},
		"no route, other host":  {path: pathOnce + "x", host: "b.example", status: http.StatusNotFound},
		"no route, whole body":  {path: "/nowhere/x", body: "body", status: http.StatusNotFound},
		"stopping":              {path: pathOnce + "x", stopping: true, status: http.StatusServiceUnavailable},
		"too large":             {path: pathOnce + "y", status: http.StatusRequestEntityTooLarge},
		"too large, other body": {path: pathOnce + "y", body: "body", status: http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				n := startDefaultDeployment(env)
				if tc.stopping {
					n.gateway.Stop(time.Now().Add(-time.Second))
				}
				length := 4
				if tc.status == http.StatusRequestEntityTooLarge {
					length = 1 << 20
				}
				c, err := env.net.Dial(context.Background(), env.callerHost, n.address)
				require.NoError(t, err)
				defer c.Close()
				require.NoError(t, c.SetReadDeadline(time.Now().Add(10*limit)))
				_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nQuetzallug-Attempt-Id: a\r\nContent-Length: %d\r\n\r\n%s", tc.path, cmp.Or(tc.host, hostname), length, tc.body)
				require.NoError(t, err)
				started := time.Now()
				br := bufio.NewReader(c)
				resp, err := http.ReadResponse(br, nil)
				require.NoError(t, err)
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.Equal(t, tc.status, resp.StatusCode)
				require.Less(t, time.Since(started), limit, "the answer comes without the body")
				if len(tc.body) == length {
					require.False(t, resp.Close, "the connection stays in use after a whole body")
					return
				}
				_, err = br.ReadByte()
				require.Error(t, err)
				require.Less(t, time.Since(started), 2*limit, "the connection ends")
			})
		})
	}
}
