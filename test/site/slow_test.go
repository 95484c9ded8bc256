package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that hold a request for ever by sending its body a byte a second, or that send
// a body beyond the operator's limit, and against others that are served worse meanwhile. The
// operator's limit for bodies is 64 KB here, and the route's time-out 2 s.
func TestBodiesThatCannotBeRead(t *testing.T) {
	for name, tc := range map[string]struct {
		head   string
		body   string
		pause  time.Duration
		status int
		within time.Duration
	}{
		"a byte at a time":   {"Content-Length: 60\r\n", strings.Repeat("b", 60), 900 * time.Millisecond, http.StatusRequestTimeout, 4 * time.Second},
		"no more bytes":      {"Content-Length: 60\r\n", "b", time.Hour, http.StatusRequestTimeout, 4 * time.Second},
		"length over limit":  {"Content-Length: 70000\r\n", "b", 0, http.StatusRequestEntityTooLarge, time.Second},
		"chunks over limit":  {"Transfer-Encoding: chunked\r\n", "11170\r\n" + strings.Repeat("b", 70000) + "\r\n0\r\n\r\n", 0, http.StatusRequestEntityTooLarge, time.Second},
		"chunks unreadable":  {"Transfer-Encoding: chunked\r\n", "zz\r\nbb\r\n", 0, http.StatusBadRequest, time.Second},
		"length contradicts": {"Content-Length: 5\r\nContent-Length: 6\r\n", "", 0, http.StatusBadRequest, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, w *world) {
				n := calm(w)
				started := time.Now()
				c, err := w.net.Dial(context.Background(), w.callers, n.address)
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
					for text := tc.body; text != ""; text = text[step:] {
						if _, err := io.WriteString(c, text[:step]); err != nil {
							return
						}
						select {
						case <-w.callers.Ctx.Done():
							return
						case <-time.After(tc.pause):
						}
					}
				}()
				for range 10 {
					r := w.call(n, ask{path: pathOnce + "y", body: "b"})
					require.True(t, r.whole())
					require.Less(t, r.elapsed, 100*time.Millisecond)
				}
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				defer resp.Body.Close()
				require.Equal(t, tc.status, resp.StatusCode)
				require.True(t, resp.Close)
				require.LessOrEqual(t, time.Since(started), tc.within)
				require.Empty(t, w.runsOf("slow"))
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				one, err := c.Read(make([]byte, 1))
				require.Zero(t, one)
				require.Error(t, err, "the connection stays open after %s", name)
				w.callers.Cancel()
			})
		})
	}
}

// Guards against a status that hides what operators look for: readiness, version, backend servers that
// get nothing, connections.
func TestStatusOfAGateway(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		n := calm(w)
		// Enough for both of two equal servers to get some.
		for range 40 {
			require.True(t, w.call(n, ask{path: pathRead + "x", method: http.MethodGet}).whole())
		}
		w.workers[1].Drain(w.store)
		time.Sleep(settle)
		s := n.gateway.Status(time.Now())
		require.True(t, s.Ready)
		require.EqualValues(t, w.version, s.Config)
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
		require.EqualValues(t, -1, s.Servers[2].LoadAgeMS, "no request went there")
		require.Equal(t, "api", s.Services[0].Service)
		require.Equal(t, 2, s.Services[0].Servers)
		require.Equal(t, 1, s.Services[0].Usable)
		require.Positive(t, s.Services[0].RetryBudgetLeft)
		require.Equal(t, "api2", s.Services[1].Service, "a service of the configuration without backend servers is shown")
	})
}
