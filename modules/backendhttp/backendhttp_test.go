package backendhttp_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/backendhttp"
	"github.com/quetzallug/quetzallug/standin/backend"
)

// newClient loads the module with the address of a server.
func newClient(t *testing.T, address string) external.Backend {
	t.Helper()
	c, err := kernel.Load[external.Backend](t.Context(), backendhttp.ID, kernel.Settings{"address": address})
	require.NoError(t, err)
	t.Cleanup(func() { _ = kernel.Cleanup(c) })
	return c
}

// startClosingServer starts a server that responds to the first request on each connection, and closes or
// resets the connection when it has read the second one. In this case net/http resends a request that
// it considers replayable. requests counts the requests that the server has read.
func startClosingServer(t *testing.T, reset bool) (address string, requests *atomic.Int64) {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				for i := range 2 {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					requests.Add(1)
					if i == 0 {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					} else if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String(), requests
}

// A request must not be sent again when a reused connection breaks, and must not be reported as refused
// if it was sent. In both cases, an action could run twice. By default, net/http resends GET requests and
// requests of any method with an Idempotency-Key header.
func TestReusedConnectionIsNotRetried(t *testing.T) {
	for _, r := range []external.PlainRequest{
		{Method: http.MethodGet, Path: "/board"},
		{Method: http.MethodPost, Path: "/pump"},
		{Method: http.MethodPost, Path: "/pump", IdempotencyKey: "k"},
		{Method: http.MethodPost, Path: "/pump", IdempotencyKey: "k", Body: []byte("x")},
		{Method: http.MethodDelete, Path: "/pump", IdempotencyKey: "k"},
	} {
		for _, reset := range []bool{false, true} {
			address, requests := startClosingServer(t, reset)
			c := newClient(t, address)
			_, err := c.Do(t.Context(), &r)
			require.NoError(t, err)
			_, err = c.Do(t.Context(), &r)
			require.ErrorIs(t, err, external.ErrEngineFailed, "%+v", r)
			require.NotErrorIs(t, err, external.ErrEngineRefused)
			require.Equal(t, int64(2), requests.Load(), "%+v", r)
		}
	}
}

// The adapter must transfer the request ID, idempotency key, path and response. It must report an action
// whose response was lost as failed, not as refused.
func TestActionsAgainstTheStandIn(t *testing.T) {
	s := backend.New(backend.Config{ServiceTime: -1})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c := newClient(t, srv.URL)
	r := &external.PlainRequest{
		RequestID: "r1", Method: http.MethodPost, Path: "/pumps/3?on=1", IdempotencyKey: "k1", Body: []byte("{}"),
	}
	resp, err := c.Do(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.Status)
	require.Equal(t, "application/json", resp.ContentType)
	var a backend.Answer
	require.NoError(t, json.Unmarshal(resp.Body, &a))
	require.Equal(t, backend.Answer{RequestID: "r1", IdempotencyKey: "k1", Path: "/pumps/3?on=1", Executions: 1}, a)

	s.SetFaults(backend.Faults{LoseResponse: 1})
	_, err = c.Do(t.Context(), r)
	require.ErrorIs(t, err, external.ErrEngineFailed)
	require.Equal(t, 2, s.Executions("k1"), "the stand-in must have run the action twice")
	s.SetFaults(backend.Faults{FailBeforeRun: 1})
	_, err = c.Do(t.Context(), r)
	require.ErrorIs(t, err, external.ErrEngineFailed)
	require.Len(t, s.Journal(), 2)

	s.SetFaults(backend.Faults{SlowMS: 60_000})
	slow := *r
	slow.Timeout = 20 * time.Millisecond
	_, err = c.Do(t.Context(), &slow)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.ErrorIs(t, err, external.ErrEngineFailed)
	l, err := c.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, backend.DefaultLimit, l.TotalPieces)

	// A new client has no idle connection, so it must open one, which fails.
	srv.Close()
	_, err = newClient(t, srv.URL).Do(t.Context(), r)
	require.ErrorIs(t, err, external.ErrEngineRefused)
	require.NotErrorIs(t, err, external.ErrEngineFailed)
}

// A path supplied by a caller must not direct the request to another host, and a redirect must not cause
// a second request.
func TestPathsAndRedirectsStayOnTheServer(t *testing.T) {
	var otherRequests atomic.Int64
	otherServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { otherRequests.Add(1) }))
	defer otherServer.Close()
	srv := httptest.NewServer(http.RedirectHandler(otherServer.URL, http.StatusFound))
	defer srv.Close()
	c := newClient(t, srv.URL)
	host := otherServer.Listener.Addr().String()
	for _, path := range []string{"@" + host, otherServer.URL, ""} {
		_, err := c.Do(t.Context(), &external.PlainRequest{Method: http.MethodGet, Path: path})
		require.ErrorIs(t, err, external.ErrEngineRefused, path)
	}
	for _, path := range []string{"//" + host + "/x", "/x"} {
		resp, err := c.Do(t.Context(), &external.PlainRequest{Method: http.MethodPost, Path: path})
		require.NoError(t, err)
		require.Equal(t, http.StatusFound, resp.Status)
	}
	require.Zero(t, otherRequests.Load())
}
