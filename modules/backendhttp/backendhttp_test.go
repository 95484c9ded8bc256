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

func load(t *testing.T, address string) external.Backend {
	t.Helper()
	c, err := kernel.Load[external.Backend](t.Context(), backendhttp.ID, kernel.Settings{"address": address})
	require.NoError(t, err)
	t.Cleanup(func() { _ = kernel.Cleanup(c) })
	return c
}

// closeReused answers the first request of each connection and closes or resets the connection
// upon the second one, which net/http then likes to resend. It counts the requests.
func closeReused(t *testing.T, reset bool) (address string, requests *atomic.Int64) {
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
				in := bufio.NewReader(conn)
				for i := range 2 {
					r, err := http.ReadRequest(in)
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

// Guards against net/http resending a request on a broken reused connection, which it does for
// GET and for any method with an Idempotency-Key header, and against "not run" for a request
// that was sent. Both would run an action twice.
func TestReusedConnectionIsNotRetried(t *testing.T) {
	for _, r := range []external.PlainRequest{
		{Method: http.MethodGet, Path: "/board"},
		{Method: http.MethodPost, Path: "/pump"},
		{Method: http.MethodPost, Path: "/pump", IdempotencyKey: "k"},
		{Method: http.MethodPost, Path: "/pump", IdempotencyKey: "k", Body: []byte("x")},
		{Method: http.MethodDelete, Path: "/pump", IdempotencyKey: "k"},
	} {
		for _, reset := range []bool{false, true} {
			address, requests := closeReused(t, reset)
			c := load(t, address)
			_, err := c.Do(t.Context(), &r)
			require.NoError(t, err)
			_, err = c.Do(t.Context(), &r)
			require.ErrorIs(t, err, external.ErrEngineFailed, "%+v", r)
			require.NotErrorIs(t, err, external.ErrEngineRefused)
			require.Equal(t, int64(2), requests.Load(), "%+v", r)
		}
	}
}

// Guards against headers, bodies or answers that are lost, and against an action whose response
// was lost being reported as not run.
func TestActionsAgainstTheStandIn(t *testing.T) {
	s := backend.New(backend.Config{ServiceTime: -1})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c := load(t, srv.URL)
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
	require.Equal(t, 2, s.Executions("k1"), "the action ran twice and the journal shows it")
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

	// A new client has no open connection, so its dial fails.
	srv.Close()
	_, err = load(t, srv.URL).Do(t.Context(), r)
	require.ErrorIs(t, err, external.ErrEngineRefused)
	require.NotErrorIs(t, err, external.ErrEngineFailed)
}

// Guards against a caller's path that reaches another host, and against redirects that send the
// request a second time.
func TestPathsAndRedirectsStayOnTheServer(t *testing.T) {
	var other atomic.Int64
	elsewhere := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { other.Add(1) }))
	defer elsewhere.Close()
	srv := httptest.NewServer(http.RedirectHandler(elsewhere.URL, http.StatusFound))
	defer srv.Close()
	c := load(t, srv.URL)
	host := elsewhere.Listener.Addr().String()
	for _, path := range []string{"@" + host, elsewhere.URL, ""} {
		_, err := c.Do(t.Context(), &external.PlainRequest{Method: http.MethodGet, Path: path})
		require.ErrorIs(t, err, external.ErrEngineRefused, path)
	}
	for _, path := range []string{"//" + host + "/x", "/x"} {
		resp, err := c.Do(t.Context(), &external.PlainRequest{Method: http.MethodPost, Path: path})
		require.NoError(t, err)
		require.Equal(t, http.StatusFound, resp.Status)
	}
	require.Zero(t, other.Load())
}
