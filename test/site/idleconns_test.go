package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/memnet"
	"github.com/quetzallug/quetzallug/standin/site"
)

// idleCloser is a backend server that answers without a length and closes its idle connections when it likes.
type idleCloser struct {
	env     *testEnv
	address string
	// answer writes the answer to a request. The connection is closed afterwards.
	answer func(c net.Conn, r *http.Request)
	host   *memnet.Host
	// maxConnections is the number of connections above which new ones are closed at once; 0 means no limit.
	maxConnections int

	mu       sync.Mutex
	listener net.Listener
	open     int
	// idle holds the connections without a request.
	idle map[net.Conn]bool
}

// start starts the process of the server, at the address of an earlier one.
func (s *idleCloser) start() {
	s.host = s.env.newHost(s.address)
	l := s.env.net.Listen(s.host, s.address)
	s.mu.Lock()
	s.idle, s.listener, s.open = map[net.Conn]bool{}, l, 0
	s.env.cleanups = append(s.env.cleanups, func() { _ = l.Close() })
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			full := s.maxConnections > 0 && s.open >= s.maxConnections
			if !full {
				s.open++
				s.idle[c] = true
			}
			s.mu.Unlock()
			if full {
				_ = c.Close()
				continue
			}
			go s.serve(c)
		}
	}()
}

func (s *idleCloser) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	r, err := http.ReadRequest(bufio.NewReader(c))
	s.mu.Lock()
	delete(s.idle, c)
	s.mu.Unlock()
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.answer(c, r)
}

// leave closes the listener. Open connections go on.
func (s *idleCloser) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

// closeIdle closes or resets the connections without a request.
func (s *idleCloser) closeIdle(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		if l, ok := c.(interface{ SetLinger(int) error }); ok && reset {
			_ = l.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(s.idle)
}

// newIdleCloser registers a server of a service.
func newIdleCloser(env *testEnv, cfg site.WorkerConfig) *idleCloser {
	cfg.ID, cfg.Address, cfg.Slots, cfg.Zone = "i-idle", "10.1.65.1:8080", 8, "z"
	site.NewWorker(cfg).Register(env.store)
	s := &idleCloser{env: env, address: cfg.Address}
	s.start()
	return s
}

// unframedKinds are the kinds of answers without a length: what they consist of, and the requests for them.
var unframedKinds = map[string]struct {
	service, stage, status string
	pieces                 func(id, target string) []string
	request                request
	want                   int
}{
	"not repeatable": {"api", "", "200 OK", wholeAnswer, request{path: pathOnce + "x", body: "b"}, http.StatusOK},
	"repeatable":     {"api", "", "200 OK", wholeAnswer, request{path: pathRead + "x"}, http.StatusOK},
	"failure":        {"api", "", "404 Not Found", wholeAnswer, request{path: pathOnce + "x", body: "b"}, http.StatusNotFound},
	"server failure": {"api", "", "500 Trouble", wholeAnswer, request{path: pathOnce + "x", body: "b"}, http.StatusInternalServerError},
	"stream":         {"llm", "decode", "200 OK", twoEvents, request{path: pathStream + "x", prompt: "a:50,b:60", events: 2}, http.StatusOK},
	"resumable":      {"llm", "decode", "200 OK", twoEvents, request{path: pathResume + "x", prompt: "a:50,b:60", events: 2}, http.StatusOK},
}

func wholeAnswer(id, target string) []string {
	text := site.Answer(id, target)
	return []string{text[:4], text[4:]}
}

func twoEvents(id, _ string) []string { return []string{site.Event(id, 1), site.Event(id, 2)} }

func writeUnframed(c net.Conn, id, status, piece string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nQuetzallug-Attempt-Id: %s\r\nQuetzallug-Response-Signature: x.%s\r\nConnection: close\r\n\r\n%s", status, id, id, piece)
}

// Guards against whole answers without a length that are broken off because their server has closed idle connections, as any
// server may, among them those that are to prove that it goes on.
func TestServersThatCloseIdleConnections(t *testing.T) {
	const pause, half = 300 * time.Millisecond, 150 * time.Millisecond
	for when, closes := range map[string][2]bool{"never": {}, "between two pieces": {true, false}, "before the end": {false, true}, "twice": {true, true}} {
		for kind, k := range unframedKinds {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset=%v", when, kind, reset), func(t *testing.T) {
					runInBubble(t, func(t *testing.T, env *testEnv) {
						env.writeConfig()
						s := newIdleCloser(env, site.WorkerConfig{Service: k.service, Stage: k.stage})
						s.answer = func(c net.Conn, r *http.Request) {
							id := r.Header.Get("Quetzallug-Attempt-Id")
							pieces := k.pieces(id, r.RequestURI)
							writeUnframed(c, id, k.status, pieces[0])
							for i, closes := range closes {
								time.Sleep(half)
								if closes {
									s.closeIdle(reset)
								}
								time.Sleep(pause - half)
								if i == 0 {
									_, _ = io.WriteString(c, pieces[1])
								}
							}
						}
						n := env.addGateway("edge-1")
						time.Sleep(settleTime)
						for range 2 {
							r := env.call(n, k.request)
							require.NoError(t, r.err)
							require.Equal(t, k.want, r.status, "%q", r.body)
						}
					})
				})
			}
		}
	}
}

// Guards against a part of an answer without a length that is taken for whole because its server was killed and started again
// at once, at the same address, after it had closed its idle connections.
func TestServersThatCloseIdleConnectionsAndAreKilled(t *testing.T) {
	for kind, k := range unframedKinds {
		// The time between the close of the idle connections and the kill.
		for _, after := range []time.Duration{0, 5 * time.Millisecond, 15 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%s", kind, after), func(t *testing.T) {
				runInBubble(t, func(t *testing.T, env *testEnv) {
					env.writeConfig()
					s := newIdleCloser(env, site.WorkerConfig{Service: k.service, Stage: k.stage})
					s.answer = func(c net.Conn, r *http.Request) {
						id := r.Header.Get("Quetzallug-Attempt-Id")
						writeUnframed(c, id, k.status, k.pieces(id, r.RequestURI)[0])
						time.Sleep(150 * time.Millisecond)
						s.closeIdle(false)
						time.Sleep(after)
						killed := s.host
						s.start()
						env.net.Kill(killed)
						time.Sleep(time.Minute)
					}
					n := env.addGateway("edge-1")
					time.Sleep(settleTime)
					r := env.call(n, k.request)
					require.False(t, r.err == nil && r.status == k.want, "%d %q", r.status, r.body)
				})
			})
		}
	}
}
