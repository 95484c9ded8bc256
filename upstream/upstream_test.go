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

// serve answers each connection with a script until the test ends.
func serve(t *testing.T, script func(c *net.TCPConn, br *bufio.Reader)) string {
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
				script(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request with its body and returns its ID.
func readRequest(br *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Id"), true
}

func answer(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

func ask(p *upstream.Pool, addr, id, body string) (string, error) {
	resp, err := p.Do(context.Background(), addr, &upstream.Request{
		Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body),
	}, func(r *http.Response, _ bool) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer resp.Close(p)
	b, err := io.ReadAll(resp)
	return string(b), err
}

// Guards against a new connection for each request.
func TestConnectionsAreKept(t *testing.T) {
	addr := serve(t, func(c *net.TCPConn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(c, answer(id, "text"))
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for i := range 5 {
		text, err := ask(p, addr, fmt.Sprint(i), strings.Repeat("b", 5000*i))
		require.NoError(t, err)
		require.Equal(t, "text", text)
	}
	require.EqualValues(t, 1, p.Opened())
}

// Guards against bytes after an answer that are taken for the answer to the next request.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	sent := make(chan struct{}, 8)
	addr := serve(t, func(c *net.TCPConn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(c, answer(id, "own")+answer(id, "extra"))
			sent <- struct{}{}
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for range 3 {
		text, err := ask(p, addr, "same", "")
		require.NoError(t, err)
		require.Equal(t, "own", text)
		<-sent
	}
	require.EqualValues(t, 3, p.Opened())
}

// Guards against an answer that came late and is taken for the answer to the next request.
func TestLateAnswersAreSkipped(t *testing.T) {
	addr := serve(t, func(c *net.TCPConn, br *bufio.Reader) {
		for id, ok := readRequest(br); ok; id, ok = readRequest(br) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+answer("earlier", "foreign")+answer(id, "own "+id))
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for i := range 3 {
		text, err := ask(p, addr, fmt.Sprint(i), "")
		require.NoError(t, err)
		require.Equal(t, "own "+fmt.Sprint(i), text)
	}
}

// Guards against an answer that broke off and looks complete, and against a repeat by the connection
// pool itself.
func TestBrokenAnswers(t *testing.T) {
	for name, script := range map[string]func(c *net.TCPConn, id string){
		"nothing":         func(*net.TCPConn, string) {},
		"garbage":         func(c *net.TCPConn, _ string) { _, _ = io.WriteString(c, "\x00garbage\r\n\r\n") },
		"truncated":       func(c *net.TCPConn, id string) { _, _ = io.WriteString(c, answer(id, "text")[:47]) },
		"unframed, reset": resetAfter("HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart of the"),
		"chunk cut": func(c *net.TCPConn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n", id)
		},
		"foreign only": func(c *net.TCPConn, _ string) { _, _ = io.WriteString(c, answer("other", "text")) },
	} {
		t.Run(name, func(t *testing.T) {
			arrivals := make(chan string, 8)
			addr := serve(t, func(c *net.TCPConn, br *bufio.Reader) {
				id, ok := readRequest(br)
				if !ok {
					return
				}
				arrivals <- id
				script(c, id)
			})
			p := upstream.NewPool()
			defer p.Close()
			_, err := ask(p, addr, "1", "body")
			require.Error(t, err)
			require.NotErrorIs(t, err, upstream.ErrNotSent)
			require.Len(t, arrivals, 1)
		})
	}
}

func resetAfter(format string) func(c *net.TCPConn, id string) {
	return func(c *net.TCPConn, id string) {
		_, _ = fmt.Fprintf(c, format, id)
		_ = c.SetLinger(0)
	}
}

// Guards against a whole answer without a length that counts as broken.
func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	addr := serve(t, func(c *net.TCPConn, br *bufio.Reader) {
		id, _ := readRequest(br)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nthe whole", id)
	})
	p := upstream.NewPool()
	defer p.Close()
	text, err := ask(p, addr, "1", "")
	require.NoError(t, err)
	require.Equal(t, "the whole", text)
}

// Guards against a connection that is reused while its backend server still waits for the rest of an
// earlier body: the next request would be read as that rest.
func TestEarlyAnswersToLongBodies(t *testing.T) {
	read := make(chan struct{})
	addr := serve(t, func(c *net.TCPConn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, answer(r.Header.Get("Id"), "early")); err != nil {
				return
			}
			<-read
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if strings.Trim(string(b), "b") != "" {
				t.Errorf("the body holds other bytes")
			}
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	// Larger than what sockets buffer, so that it is not written before the answer comes.
	body := strings.Repeat("b", 32<<20)
	for i := range 3 {
		text, err := ask(p, addr, fmt.Sprint(i), body)
		require.NoError(t, err)
		require.Equal(t, "early", text)
	}
	require.EqualValues(t, 3, p.Opened())
	close(read)
}

// Guards against a refused connection that counts as a request which may have run.
func TestNoConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = ask(upstream.NewPool(), addr, "1", "")
	require.ErrorIs(t, err, upstream.ErrNotSent)
}

// Guards against a request on a connection that its backend server has closed meanwhile.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	closed := make(chan struct{}, 8)
	addr := serve(t, func(c *net.TCPConn, br *bufio.Reader) {
		id, _ := readRequest(br)
		_, _ = io.WriteString(c, answer(id, "text"))
		_ = c.Close()
		closed <- struct{}{}
	})
	p := upstream.NewPool()
	defer p.Close()
	for i := range 5 {
		_, err := ask(p, addr, fmt.Sprint(i), "")
		require.NoError(t, err)
		<-closed
	}
}

// Guards against a check that waits for another reader of the connection, and against one that takes
// bytes which wait, or a connection that is only idle, for an end.
func TestEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	defer server.Close()
	require.False(t, upstream.Ended(server))
	read := make(chan byte)
	go func() {
		b := make([]byte, 1)
		for {
			if _, err := server.Read(b); err != nil {
				close(read)
				return
			}
			read <- b[0]
		}
	}()
	require.False(t, upstream.Ended(server), "idle")
	_, err = client.Write([]byte("ab"))
	require.NoError(t, err)
	require.Equal(t, byte('a'), <-read)
	require.False(t, upstream.Ended(server), "a byte waits")
	require.Equal(t, byte('b'), <-read)
	require.NoError(t, client.Close())
	_, open := <-read
	require.False(t, open)
	require.True(t, upstream.Ended(server))
	here, there := net.Pipe()
	defer here.Close()
	require.NoError(t, there.Close())
	require.False(t, upstream.Ended(here), "unknown counts as open")
}
