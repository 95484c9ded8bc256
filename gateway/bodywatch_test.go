package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

// watchedServer accepts connections and keeps them open. It stands for the process of a backend server, or for a proxy before
// it.
type watchedServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	// refuses makes it reset new connections, as a proxy does when its backend server is gone.
	refuses bool
}

func newWatchedServer(t *testing.T) *watchedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &watchedServer{listener: l}
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
				s.conns = append(s.conns, c)
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *watchedServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}

// Guards against a process that has ended being taken for one that goes on, by whatever else still answers at its address or
// doesn't tell of its end.
func TestProofThatAProcessGoesOn(t *testing.T) {
	for name, tc := range map[string]struct {
		end   func(*watchedServer)
		lives bool
	}{
		"goes on": {end: func(*watchedServer) {}, lives: true},
		"killed": {end: func(s *watchedServer) {
			_ = s.listener.Close()
			s.closeConns()
		}},
		"started again at once":                 {end: (*watchedServer).closeConns},
		"killed, idle connections were dropped": {end: func(s *watchedServer) { _ = s.listener.Close() }},
		"killed behind a proxy that forgets idle connections": {end: func(s *watchedServer) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.refuses = true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newWatchedServer(t)
			pool := upstream.NewPool()
			defer pool.Close()
			a := &attempt{q: &request{g: &Gateway{pool: pool}, ctx: t.Context()}, server: &Server{Registration: Registration{Address: s.listener.Addr().String()}}, limit: time.Now().Add(time.Hour)}
			w := a.watchBody(&upstream.Response{Response: unframedResponse()}) //nolint:bodyclose // the body holds nothing
			defer w.close()
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.conns) == 1
			}, 10*time.Second, time.Millisecond)
			tc.end(s)
			end := w.end(t.Context())
			require.Equal(t, bodyEnd{framing: byConnection, lives: tc.lives}, end)
			require.Equal(t, tc.lives, end.check() == nil)
		})
	}
}

// Guards against an answer without a proof of its end because no second connection could be opened.
func TestNoWitnessIsNoProof(t *testing.T) {
	s := newWatchedServer(t)
	pool := upstream.NewPool()
	defer pool.Close()
	pool.SetLimit(1)
	first, err := pool.NewWitness(t.Context(), s.listener.Addr().String())
	require.NoError(t, err)
	defer first.Close()
	a := &attempt{q: &request{g: &Gateway{pool: pool}, ctx: t.Context()}, server: &Server{Registration: Registration{Address: s.listener.Addr().String()}}, limit: time.Now().Add(time.Hour)}
	w := a.watchBody(&upstream.Response{Response: unframedResponse()}) //nolint:bodyclose // the body holds nothing
	defer w.close()
	end := w.end(t.Context())
	require.ErrorIs(t, end.check(), errServerEnded)
}

func unframedResponse() *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(strings.NewReader(""))}
}
