package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/memnet"
)

// serveInMemory serves on a network in memory and returns how callers connect. stop must be called before
// the bubble ends.
func serveInMemory(t *testing.T, srv *http.Server) (dial func() (net.Conn, error), stop func()) {
	t.Helper()
	const address = "10.0.0.1:1"
	network := memnet.New()
	host := func(name string) *memnet.Host {
		h := &memnet.Host{Name: name}
		h.Ctx, h.Cancel = context.WithCancel(t.Context())
		return h
	}
	server, caller := host("server"), host("caller")
	l := network.Listen(server, address)
	go func() { _ = srv.Serve(l) }()
	return func() (net.Conn, error) { return network.Dial(t.Context(), caller, address) }, func() {
		_ = srv.Close()
		network.Kill(caller)
		network.Kill(server)
		time.Sleep(time.Minute)
	}
}

// Guards against callers that hold a connection for ever with an unfinished header, or that fill the
// memory with one, and against such connections that nothing counts. Good requests beside them are
// answered.
func TestUnreadableRequests(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, tc := range map[string]struct {
		text string
		// pause is the time between two bytes.
		pause   time.Duration
		leave   bool
		counted int
		within  time.Duration
		answer  string
	}{
		"one byte a second":    {text: request, pause: time.Second, counted: 1, within: headerTimeout},
		"never ending header":  {text: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes), counted: 1, within: time.Second, answer: "431"},
		"no request":           {text: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n", counted: 1, within: time.Second, answer: "400"},
		"leaves in the header": {text: "GET / HTTP/1.1\r\nHo", leave: true, counted: 1, within: time.Second},
		"good, then leaves":    {text: request + request, leave: true, within: time.Second, answer: "200"},
		"nothing at all":       {leave: true, within: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				srv := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }), logrus.New())
				counted := 0
				conns := newCallerConns(100)
				conns.onUnread = func(net.Addr) { counted++ }
				conns.attach(srv)
				dial, stop := serveInMemory(t, srv)
				defer stop()

				started := time.Now()
				c, err := dial()
				require.NoError(t, err)
				answer := make(chan string, 1)
				go func() {
					b, _ := io.ReadAll(c)
					answer <- string(b)
				}()
				step := len(tc.text)
				if tc.pause > 0 {
					step = 1
				}
				for text := tc.text; text != ""; text = text[step:] {
					if _, err := io.WriteString(c, text[:step]); err != nil {
						break
					}
					time.Sleep(tc.pause)
				}
				if tc.leave {
					time.Sleep(100 * time.Millisecond)
					_ = c.Close()
				}
				text := <-answer
				require.LessOrEqual(t, time.Since(started), tc.within+tc.pause)
				require.Contains(t, text, tc.answer)
				good, err := dial()
				require.NoError(t, err)
				_, err = io.WriteString(good, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
				require.NoError(t, err)
				b, err := io.ReadAll(good)
				require.NoError(t, err)
				require.Contains(t, string(b), "ok")
				time.Sleep(2 * time.Second)
				require.Equal(t, tc.counted, counted)
			})
		})
	}
}

// Guards against a process that runs out of descriptors because callers leave idle connections behind:
// it accepted nothing for a second, and requests were sent on after their callers had left. Connections
// with a request are never closed.
func TestIdleConnectionsYieldToNewOnes(t *testing.T) {
	const limit = 5
	synctest.Test(t, func(t *testing.T) {
		srv := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				time.Sleep(10 * time.Second)
			}
			_, _ = io.WriteString(w, "ok")
		}), logrus.New())
		conns := newCallerConns(limit)
		dropped := map[bool]int{}
		conns.onDropped = func(idle bool) { dropped[idle]++ }
		conns.attach(srv)
		dial, stop := serveInMemory(t, srv)
		defer stop()
		send := func(c net.Conn, path string) string {
			_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
			if err != nil {
				return ""
			}
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
			b := make([]byte, 1024)
			n, _ := c.Read(b)
			return string(b[:n])
		}
		open := func() net.Conn {
			c, err := dial()
			require.NoError(t, err)
			time.Sleep(10 * time.Millisecond)
			return c
		}
		slow := make(chan string, limit)
		for range limit - 1 {
			c := open()
			go func() { slow <- send(c, "/slow") }()
		}
		var last net.Conn
		for range 20 {
			last = open()
			require.Contains(t, send(last, "/"), "ok", "a new caller is served")
			time.Sleep(time.Millisecond)
		}
		require.Contains(t, send(last, "/"), "ok", "the connection used last stays")
		require.Equal(t, map[bool]int{true: 19}, dropped)
		busy := open()
		go func() { slow <- send(busy, "/slow") }()
		time.Sleep(10 * time.Millisecond)
		require.Empty(t, send(open(), "/"), "all connections are in use")
		require.Equal(t, 1, dropped[false])
		for range limit {
			require.Contains(t, <-slow, "ok")
		}
		require.Contains(t, send(open(), "/"), "ok")
	})
}
