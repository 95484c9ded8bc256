package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

// Guards against an answer whose head is cut, at any byte, by a close or a reset, on a new or a kept connection, being
// taken for a whole one.
func TestCutHeadsAreNoAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"length":           "HTTP/1.1 200 OK\r\nId: cut\r\nContent-Length: 120\r\n\r\n",
		"no length":        "HTTP/1.1 200 OK\r\nId: cut\r\nContent-Type: text/event-stream\r\n\r\n",
		"chunks":           "HTTP/1.1 200 OK\r\nId: cut\r\nTransfer-Encoding: chunked\r\n\r\n1a0\r\n",
		"connection close": "HTTP/1.1 200 OK\r\nConnection: close\r\nId: cut\r\n\r\n",
		"older version":    "HTTP/1.0 200 OK\r\nId: cut\r\n\r\n",
		"no content":       "HTTP/1.1 204 No Content\r\nId: cut\r\n\r\n",
		"not modified":     "HTTP/1.1 304 Not Modified\r\nId: cut\r\n\r\n",
		"after another":    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: cut\r\n\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\nId: cut\nContent-Length: 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			// At the last byte of the head, only what ends the blank line is missing.
			headEnd := len(head) - 1
			if i := strings.LastIndex(head, "\r\n1a0"); i >= 0 {
				headEnd = i + 1
			}
			for _, reset := range []bool{false, true} {
				for _, kept := range []bool{false, true} {
					for at := range headEnd + 1 {
						requireNoAnswer(t, head[:at], reset, kept)
					}
				}
			}
			if headEnd < len(head)-1 {
				requireNoWholeAnswer(t, head[:len(head)-3])
			}
		})
	}
}

// serveCut starts a server that answers the first request of a kept connection whole and the next one with text, and then
// closes or resets the connection.
func serveCut(t *testing.T, text string, reset, kept bool) (addr string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		if kept {
			id, _ := readRequest(br)
			_, _ = io.WriteString(c, response(id, "first"))
		}
		_, _ = readRequest(br)
		_, _ = io.WriteString(c, text)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }
}

func requireNoAnswer(t *testing.T, text string, reset, kept bool) {
	t.Helper()
	addr, stop := serveCut(t, text, reset, kept)
	defer stop()
	p := upstream.NewPool()
	defer p.Close()
	if kept {
		first, err := post(p, addr, "first", "")
		require.NoError(t, err)
		require.Equal(t, "first", first)
	}
	resp, err := p.Do(context.Background(), addr, &upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"cut"}}, Body: []byte("b")},
		func(*http.Response, bool) bool { return true })
	if err == nil {
		resp.Close(p)
	}
	require.Error(t, err, fmt.Sprintf("%q, reset %v, kept %v", text, reset, kept))
	require.NotErrorIs(t, err, upstream.ErrNotSent, "the request may have run")
}

// requireNoWholeAnswer requires that an answer that is cut within the size of a chunk has no regular end.
func requireNoWholeAnswer(t *testing.T, text string) {
	t.Helper()
	addr, stop := serveCut(t, text, false, false)
	defer stop()
	p := upstream.NewPool()
	defer p.Close()
	_, err := post(p, addr, "cut", "")
	require.Error(t, err, "%q", text)
}
