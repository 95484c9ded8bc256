package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

// startServer starts a server that runs handleConn for each connection until the test ends. It returns
// the server's address.
func startServer(t *testing.T, handleConn func(c *net.TCPConn, br *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handleConn(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request with its body and returns the Id header. It returns false if there is no
// valid request.
func readRequest(br *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id"), true
}

// response returns the bytes of a response with an Id header.
func response(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

// post sends a POST request with an Id header and returns the body of the response. Only responses with
// the same Id header match.
func post(p *upstream.Pool, addr, id, body string) (string, error) {
	return postRecorded(p, addr, id, body, nil)
}

// postRecorded is post for a request that may have been sent before.
func postRecorded(p *upstream.Pool, addr, id, body string, sends *upstream.Sends) (string, error) {
	resp, err := p.Do(context.Background(), addr, &upstream.Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body), Sends: sends,
	}, func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer resp.Close(p)
	b, err := io.ReadAll(resp)
	return string(b), err
}

// Successive requests must reuse one connection, with small and large bodies.
func TestConnectionsAreKept(t *testing.T) {
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(c, response(id, "text"))
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for i := range 5 {
		text, err := post(p, addr, fmt.Sprint(i), strings.Repeat("b", 5000*i))
		require.NoError(t, err)
		require.Equal(t, "text", text)
	}
	require.EqualValues(t, 1, p.OpenedTotal())
}

// A second copy of the response to a request must not be taken for the response to its next send.
func TestNoConnectionCarriesARequestTwice(t *testing.T) {
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		late := ""
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(c, late+response(id, "own"))
			late = response(id, "copy")
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	sends := &upstream.Sends{}
	for i := range 3 {
		text, err := postRecorded(p, addr, "same", "", sends)
		require.NoError(t, err)
		require.Equal(t, "own", text)
		require.EqualValues(t, i+1, p.OpenedTotal())
		require.Equal(t, upstream.Send{Connection: uint64(i + 1), Use: 1}, sends.Last())
	}
	text, err := post(p, addr, "other", "")
	require.NoError(t, err)
	require.Equal(t, "own", text)
	require.EqualValues(t, 3, p.OpenedTotal(), "other requests use the same connections")
}

// A request whose choice no longer holds once a connection is there must not be sent, and the connection is kept.
func TestCheckIsLastBeforeTheSend(t *testing.T) {
	requests := make(chan string, 4)
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			requests <- id
			_, _ = io.WriteString(c, response(id, "own"))
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	reason := errors.New("changed")
	_, err := p.Do(context.Background(), addr, &upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h", Check: func() error { return reason }}, nil)
	require.ErrorIs(t, err, upstream.ErrNotSent)
	require.ErrorIs(t, err, reason)
	_, err = post(p, addr, "next", "")
	require.NoError(t, err)
	require.Equal(t, "next", <-requests)
	require.EqualValues(t, 1, p.OpenedTotal())
}

// A connection with data after the response must be closed. If it were reused, that data would be read
// as the response to the next request.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	sent := make(chan struct{}, 8)
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(c, response(id, "own")+response(id, "extra"))
			sent <- struct{}{}
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for range 3 {
		text, err := post(p, addr, "same", "")
		require.NoError(t, err)
		require.Equal(t, "own", text)
		<-sent
	}
	require.EqualValues(t, 3, p.OpenedTotal())
}

// A late response to an earlier request and informational responses must be skipped, not returned as
// the response to the current request.
func TestLateAnswersAreSkipped(t *testing.T) {
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+response("earlier", "foreign")+response(id, "own "+id))
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for i := range 3 {
		text, err := post(p, addr, fmt.Sprint(i), "")
		require.NoError(t, err)
		require.Equal(t, "own "+fmt.Sprint(i), text)
	}
}

// An incomplete or invalid response must return an error other than ErrNotSent, because the request was
// sent. The pool must not retry the request.
func TestBrokenAnswers(t *testing.T) {
	for name, script := range map[string]func(c *net.TCPConn, id string){
		"nothing": func(*net.TCPConn, string) {},
		"garbage": func(c *net.TCPConn, _ string) { _, _ = io.WriteString(c, "\x00garbage\r\n\r\n") },
		// 47 bytes are the response without the last two bytes of its body.
		"truncated":       func(c *net.TCPConn, id string) { _, _ = io.WriteString(c, response(id, "text")[:47]) },
		"unframed, reset": resetAfter("HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart of the"),
		"chunk cut": func(c *net.TCPConn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n", id)
		},
		"foreign only": func(c *net.TCPConn, _ string) { _, _ = io.WriteString(c, response("other", "text")) },
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan string, 8)
			addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
				id, ok := readRequest(br)
				if !ok {
					return
				}
				received <- id
				script(c, id)
			})
			p := upstream.NewPool()
			defer p.Close()
			_, err := post(p, addr, "1", "body")
			require.Error(t, err)
			require.NotErrorIs(t, err, upstream.ErrNotSent)
			require.Len(t, received, 1)
		})
	}
}

// resetAfter returns a script that writes a response and resets the connection when it is closed.
func resetAfter(format string) func(c *net.TCPConn, id string) {
	return func(c *net.TCPConn, id string) {
		_, _ = fmt.Fprintf(c, format, id)
		_ = c.SetLinger(0)
	}
}

// A response without a Content-Length or chunked encoding is complete when the server closes the
// connection. It must not be reported as an error.
func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		id, _ := readRequest(br)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nthe whole", id)
	})
	p := upstream.NewPool()
	defer p.Close()
	text, err := post(p, addr, "1", "")
	require.NoError(t, err)
	require.Equal(t, "the whole", text)
}

// A connection must not be reused if the server responded before the whole request body was written.
// The server would read the next request as the rest of that body.
func TestEarlyAnswersToLongBodies(t *testing.T) {
	readBody := make(chan struct{})
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, response(r.Header.Get("Id"), "early")); err != nil {
				return
			}
			<-readBody
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if strings.Trim(string(b), "b") != "" {
				t.Errorf("the request body contains bytes of another request")
			}
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	// The body exceeds the socket buffers, so that it cannot be written completely before the response
	// arrives.
	body := strings.Repeat("b", 32<<20)
	for i := range 3 {
		text, err := post(p, addr, fmt.Sprint(i), body)
		require.NoError(t, err)
		require.Equal(t, "early", text)
	}
	require.EqualValues(t, 3, p.OpenedTotal())
	close(readBody)
}

// A refused connection must return ErrNotSent, because the server cannot have run the request.
func TestNoConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = post(upstream.NewPool(), addr, "1", "")
	require.ErrorIs(t, err, upstream.ErrNotSent)
}

// A request must not be sent on an idle connection that the server has closed in the meantime.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	closed := make(chan struct{}, 8)
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		id, _ := readRequest(br)
		_, _ = io.WriteString(c, response(id, "text"))
		_ = c.Close()
		closed <- struct{}{}
	})
	p := upstream.NewPool()
	defer p.Close()
	for i := range 5 {
		_, err := post(p, addr, fmt.Sprint(i), "")
		require.NoError(t, err)
		<-closed
	}
}

// PeerClosed must return true once the peer has closed the connection and all data has been read. It must not
// block while another goroutine reads from the connection. It must return false for an idle connection,
// for one with unread data and for one that is not a socket.
func TestEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	defer server.Close()
	require.False(t, upstream.PeerClosed(server))
	received := make(chan byte)
	go func() {
		b := make([]byte, 1)
		for {
			if _, err := server.Read(b); err != nil {
				close(received)
				return
			}
			received <- b[0]
		}
	}()
	require.False(t, upstream.PeerClosed(server), "idle")
	_, err = client.Write([]byte("ab"))
	require.NoError(t, err)
	require.Equal(t, byte('a'), <-received)
	require.False(t, upstream.PeerClosed(server), "a byte is unread")
	require.Equal(t, byte('b'), <-received)
	require.NoError(t, client.Close())
	_, open := <-received
	require.False(t, open)
	require.True(t, upstream.PeerClosed(server))
	local, remote := net.Pipe()
	defer local.Close()
	require.NoError(t, remote.Close())
	require.False(t, upstream.PeerClosed(local), "a connection that is not a socket counts as open")
}

// Guards against a backend server that sends a head without end: the process would read until its memory is
// full. Each connection must be closed after a bounded number of bytes, with an error at once.
func TestEndlessHeadsAreBounded(t *testing.T) {
	const maxRead = 256 << 10 // the limit of a head, and what the sockets buffer
	heads := map[string][2]string{
		"status line":    {"HTTP/1.1 200 ", "O"},
		"header line":    {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"header run":     {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		"informational":  {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"not HTTP":       {"", "\x00\xffnot an answer"},
		"blank lines":    {"", "\r\n"},
		"continued line": {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			counted, err := postToEndless(t, head[0], head[1])
			require.ErrorIs(t, err, upstream.ErrExchangeFailed)
			require.Less(t, counted, int64(maxRead))
		})
	}
}

// Guards against endless bytes behind a sound head: in what frames the body, or in a response that is skipped.
func TestEndlessFramingIsBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct {
		start, repeated string
		maxRead         int64
	}{
		"chunk size":      {chunked, "0", 256 << 10},
		"chunk extension": {chunked + "4;", "x", 256 << 10},
		"trailer line":    {chunked + "0\r\nA: ", "b", 256 << 10},
		"trailer run":     {chunked + "0\r\n", "Name: value\r\n", 256 << 10},
		"skipped body":    {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x", 2 << 20},
		"skipped chunks":  {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 16 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			counted, err := postToEndless(t, tc.start, tc.repeated)
			require.Error(t, err)
			require.Less(t, counted, tc.maxRead)
		})
	}
}

// postToEndless sends a request to a server that responds with start and then with repeated until the
// connection is closed. It returns the number of bytes that were read and the error of the request.
func postToEndless(t *testing.T, start, repeated string) (int64, error) {
	written := make(chan int64, 1)
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		_ = c.SetWriteBuffer(16 << 10)
		_, _ = readRequest(br)
		n, _ := io.WriteString(c, start)
		total, chunk := int64(n), strings.Repeat(repeated, 4096/len(repeated))
		for total < 64<<20 {
			n, err := io.WriteString(c, chunk)
			total += int64(n)
			if err != nil {
				break
			}
		}
		written <- total
	})
	counted := int64(0)
	p := upstream.NewPoolWithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &countingConn{Conn: c, read: &counted}, err
	})
	defer p.Close()
	_, err := post(p, addr, "1", "")
	require.Less(t, <-written, int64(64<<20), "the connection was not closed")
	return counted, err
}

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	*c.read += int64(n)
	return n, err
}

// Guards against a late second copy of a response being taken for the response to the next request on its
// connection: connections of responses that cannot be told from their copies are not used again.
func TestConnectionsOfUnidentifiedResponsesAreNotReused(t *testing.T) {
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(c, response(id, "text"))
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for range 3 {
		resp, err := p.Do(context.Background(), addr, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, func(*http.Response, bool) bool { return true })
		require.NoError(t, err)
		resp.DiscardConnection()
		_, _ = io.Copy(io.Discard, resp)
		resp.Close(p)
	}
	require.Equal(t, int64(3), p.OpenedTotal())
}
