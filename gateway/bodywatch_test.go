package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/upstream"
)

// watchedServer accepts connections and keeps them open. It stands for the process of a backend server, or for a proxy before
// it. It answers a request with body and no length.
type watchedServer struct {
	listener net.Listener
	body     string

	mu sync.Mutex
	// resting holds the connections without a request, and answering those with one.
	resting, answering []net.Conn
	// refuses makes it reset new connections, as a proxy does when its backend server is gone.
	refuses bool
}

func newWatchedServer(t *testing.T, body string) *watchedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &watchedServer{listener: l, body: body}
	t.Cleanup(func() {
		_ = l.Close()
		s.closeConns()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			if s.refuses {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			} else {
				s.resting = append(s.resting, c)
				go s.serve(c)
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *watchedServer) serve(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	s.mu.Lock()
	s.resting = without(s.resting, c)
	s.answering = append(s.answering, c)
	s.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+s.body)
}

func without(conns []net.Conn, c net.Conn) (rest []net.Conn) {
	for _, o := range conns {
		if o != c {
			rest = append(rest, o)
		}
	}
	return rest
}

// closeResting closes the connections without a request, and endAnswers those with one.
func (s *watchedServer) closeResting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeAll(&s.resting)
}

func (s *watchedServer) endAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeAll(&s.answering)
}

// closeConns closes all connections at the same moment, as the operating system does for a process that ends.
func (s *watchedServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeAll(&s.resting)
	closeAll(&s.answering)
}

func closeAll(conns *[]net.Conn) {
	for _, c := range *conns {
		_ = c.Close()
	}
	*conns = nil
}

func (s *watchedServer) restingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.resting)
}

// watch sends a request to a server and watches its answer, of which nothing was read.
func (s *watchedServer) watch(t *testing.T, pool *upstream.Pool) (*bodyWatch, *upstream.Response) {
	a := &attempt{
		q:      &request{g: &Gateway{pool: pool, guard: contain.New(logrus.New(), func(string) {})}, ctx: t.Context()},
		server: &Server{Registration: Registration{Address: s.listener.Addr().String()}}, sentAt: time.Now(), limit: time.Now().Add(time.Hour),
	}
	resp, err := pool.Do(t.Context(), a.server.Address, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, func(*http.Response, bool) bool { return true })
	require.NoError(t, err)
	t.Cleanup(func() { resp.Close(pool) })
	w := a.watchBody(a.q.ctx, resp)
	t.Cleanup(w.close)
	return w, resp
}

// Guards against a process that has ended being taken for one that goes on, by whatever else still answers at its address or
// doesn't tell of its end, and against one that goes on being taken for one that has ended because it closed idle
// connections.
func TestProofThatAProcessGoesOn(t *testing.T) {
	// replaced waits until a witness has been replaced and shown to belong to the process, if that is possible.
	replaced := func(t *testing.T, s *watchedServer) {
		require.Eventually(t, func() bool { return s.restingCount() > 0 }, 10*time.Second, time.Millisecond)
		time.Sleep(4 * socketCloseTime)
	}
	for name, tc := range map[string]struct {
		// body is sent before end plays what happens to the connections. With unread set, it is read only afterwards.
		body   string
		unread bool
		end    func(t *testing.T, s *watchedServer)
		lives  bool
	}{
		"goes on": {end: func(_ *testing.T, s *watchedServer) { s.endAnswers() }, lives: true},
		"killed": {end: func(_ *testing.T, s *watchedServer) {
			_ = s.listener.Close()
			s.closeConns()
		}},
		"started again at once": {end: func(_ *testing.T, s *watchedServer) { s.closeConns() }},
		"killed, idle connections were dropped": {end: func(_ *testing.T, s *watchedServer) {
			_ = s.listener.Close()
			s.endAnswers()
		}},
		"killed behind a proxy that forgets idle connections": {end: func(_ *testing.T, s *watchedServer) {
			s.mu.Lock()
			s.refuses = true
			s.mu.Unlock()
			s.endAnswers()
		}},
		"closed idle connections, goes on": {lives: true, end: func(t *testing.T, s *watchedServer) {
			s.closeResting()
			replaced(t, s)
			s.endAnswers()
		}},
		"closed idle connections twice, goes on": {lives: true, end: func(t *testing.T, s *watchedServer) {
			for range 2 {
				s.closeResting()
				replaced(t, s)
			}
			s.endAnswers()
		}},
		"closed idle connections, started again": {end: func(t *testing.T, s *watchedServer) {
			s.closeResting()
			replaced(t, s)
			s.closeConns()
		}},
		// The end of the answer is behind what was not read, so that the connection looks open while another process answers.
		"started again while the answer is read late": {body: strings.Repeat("x", 100), unread: true, end: func(t *testing.T, s *watchedServer) {
			s.closeConns()
			replaced(t, s)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newWatchedServer(t, tc.body)
			pool := upstream.NewPool()
			defer pool.Close()
			w, resp := s.watch(t, pool)
			require.Eventually(t, func() bool { return s.restingCount() > 0 }, 10*time.Second, time.Millisecond)
			read := make(chan error, 1)
			drain := func() {
				_, err := io.Copy(io.Discard, resp)
				read <- err
			}
			if !tc.unread {
				go drain()
			}
			tc.end(t, s)
			if tc.unread {
				go drain()
			}
			require.NoError(t, <-read)
			end := w.end(t.Context())
			require.Equal(t, bodyEnd{framing: byConnection, lives: tc.lives}, end)
			require.Equal(t, tc.lives, end.check() == nil)
		})
	}
}

// Guards against an answer without a proof of its end because no second connection could be opened.
func TestNoWitnessIsNoProof(t *testing.T) {
	s := newWatchedServer(t, "")
	pool := upstream.NewPool()
	defer pool.Close()
	pool.SetLimit(1)
	w, resp := s.watch(t, pool)
	s.endAnswers()
	_, err := io.Copy(io.Discard, resp)
	require.NoError(t, err)
	end := w.end(t.Context())
	require.ErrorIs(t, end.check(), errServerEnded)
}
