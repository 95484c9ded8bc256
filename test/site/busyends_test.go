package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

// Guards against whole answers without a length that are broken off because of the state of their server or of its link, and
// against a page (docs/design/answers-without-length.md) that doesn't say which ones are.
func TestEndsOfAnswersOfBusyServers(t *testing.T) {
	const pause = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		begin func(env *testEnv, s *idleCloser)
		// beforeEnd is called in the middle of the time between the last piece and the end.
		beforeEnd func(s *idleCloser)
		whole     bool
	}{
		"idle connections closed, 10 ms away":             {slowBy(10 * time.Millisecond), closeIdle, true},
		"idle connections closed, 50 ms away":             {slowBy(50 * time.Millisecond), closeIdle, true},
		"100 ms away":                                     {slowBy(100 * time.Millisecond), noEvent, true},
		"200 ms away":                                     {slowBy(200 * time.Millisecond), noEvent, false},
		"room for two more connections, idle ones closed": {limitTo(3), closeIdle, true},
		"room for one more connection":                    {limitTo(2), noEvent, true},
		"at its limit of connections":                     {limitTo(1), noEvent, false},
		"leaves, with its listener closed before the end": {noBegin, func(s *idleCloser) { s.leave() }, false},
	} {
		for kind, k := range unframedKinds {
			t.Run(fmt.Sprintf("%s/%s", name, kind), func(t *testing.T) {
				runInBubble(t, func(t *testing.T, env *testEnv) {
					env.writeConfig()
					s := newIdleCloser(env, site.WorkerConfig{Service: k.service, Stage: k.stage})
					s.answer = func(c net.Conn, r *http.Request) {
						id := r.Header.Get("Quetzallug-Attempt-Id")
						pieces := k.pieces(id, r.RequestURI)
						writeUnframed(c, id, k.status, pieces[0])
						time.Sleep(pause)
						_, _ = io.WriteString(c, pieces[1])
						time.Sleep(pause / 2)
						tc.beforeEnd(s)
						time.Sleep(pause / 2)
					}
					n := env.addGateway("edge-1")
					time.Sleep(settleTime)
					tc.begin(env, s)
					r := env.call(n, k.request)
					require.Equal(t, tc.whole, r.err == nil && r.status == k.want, "%d %v %q", r.status, r.err, r.body)
				})
			})
		}
	}
}

// Guards against parts of answers that are taken for whole because the link of their killed server is slow.
func TestPartsOfAnswersBehindSlowLinks(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		for kind, k := range unframedKinds {
			for _, after := range []time.Duration{0, 15 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%s/%s", delay, kind, after), func(t *testing.T) {
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
							env.net.Slow(s.host, delay)
							env.net.Kill(killed)
							time.Sleep(time.Minute)
						}
						n := env.addGateway("edge-1")
						time.Sleep(settleTime)
						slowBy(delay)(env, s)
						r := env.call(n, k.request)
						require.False(t, r.err == nil && r.status == k.want, "%d %q", r.status, r.body)
					})
				})
			}
		}
	}
}

// Guards against whole answers that end at once and are broken off because the first witness, whose connection takes a while,
// is taken for no proof. Those of a server so far away that another process can listen in its place meanwhile are.
func TestShortAnswersOfFarServers(t *testing.T) {
	for delay, want := range map[time.Duration]int{
		5 * time.Millisecond: http.StatusOK, 45 * time.Millisecond: http.StatusOK, 55 * time.Millisecond: http.StatusBadGateway,
	} {
		runInBubble(t, func(t *testing.T, env *testEnv) {
			env.writeConfig()
			k := unframedKinds["not repeatable"]
			s := newIdleCloser(env, site.WorkerConfig{Service: k.service})
			s.answer = func(c net.Conn, r *http.Request) {
				id := r.Header.Get("Quetzallug-Attempt-Id")
				writeUnframed(c, id, k.status, site.Answer(id, r.RequestURI))
			}
			n := env.addGateway("edge-1")
			time.Sleep(settleTime)
			slowBy(delay)(env, s)
			for range 3 {
				require.Equal(t, want, env.call(n, k.request).status, delay)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// slowBy delays the data from and to a server.
func slowBy(delay time.Duration) func(*testEnv, *idleCloser) {
	return func(env *testEnv, s *idleCloser) { env.net.Slow(s.host, delay) }
}

// limitTo limits the connections of a server. The idle ones count.
func limitTo(n int) func(*testEnv, *idleCloser) {
	return func(_ *testEnv, s *idleCloser) {
		s.closeIdle(false)
		time.Sleep(settleTime)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.maxConnections = n
	}
}

func noBegin(*testEnv, *idleCloser) {}
func noEvent(*idleCloser)           {}
func closeIdle(s *idleCloser)       { s.closeIdle(false) }
