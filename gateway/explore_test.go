package gateway

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/internal/explore"
	"github.com/quetzallug/quetzallug/internal/memnet"
	"github.com/quetzallug/quetzallug/upstream"
)

var (
	exploreDepth   = flag.Int("explore-depth", 4, "number of events of the histories of TestEndsOfAnswersInEveryOrder that are all played")
	exploreTime    = flag.Duration("explore-time", 30*time.Second, "time limit of TestEndsOfAnswersInEveryOrder")
	exploreHistory = flag.String("explore-history", "", "a history for TestEndsOfAnswersInEveryOrder to play again, as a failure prints it")
)

const (
	answerAddress = "10.1.64.1:8080"
	// provenAfter is how long it takes to replace witnesses: a new connection, and the proof that it reaches the same process.
	provenAfter = socketCloseTime + 10*time.Millisecond
)

// answerWorld is a backend server in the middle of an answer without a length, and a gateway that reads it.
type answerWorld struct {
	t     *testing.T
	net   *memnet.Network
	pool  *upstream.Pool
	watch *bodyWatch
	resp  *upstream.Response
	read  chan error

	host *memnet.Host
	// body is the connection of the answer, and idle holds the others of the process that are open. mu guards both, and host.
	mu   sync.Mutex
	body net.Conn
	idle []net.Conn

	history []string
	// provenFrom is from when on the end of the answer must be proven: the last time that idle connections were closed, and how
	// long it takes to replace them. closedIdle is that time, and forgot is true if some were dropped without notice.
	provenFrom, closedIdle time.Time
	forgot                 bool
	// endedAt is when the answer ended whole, and killed is true if its process was killed before.
	endedAt time.Time
	killed  bool
	// reading is true once the gateway reads the body.
	reading bool
}

func newAnswerWorld(t *testing.T) *answerWorld {
	w := &answerWorld{t: t, net: memnet.New(), read: make(chan error, 1)}
	client := &memnet.Host{Name: "gateway"}
	client.Ctx, client.Cancel = t.Context(), func() {}
	w.pool = upstream.NewPoolWithDial(func(ctx context.Context, _, addr string) (net.Conn, error) { return w.net.Dial(ctx, client, addr) })
	w.start()
	a := &attempt{
		q:      &request{g: &Gateway{pool: w.pool, guard: contain.New(logrus.New(), func(string) {})}, ctx: t.Context()},
		server: &Server{Registration: Registration{Address: answerAddress}}, sentAt: time.Now(), limit: time.Now().Add(time.Hour),
	}
	var err error
	w.resp, err = w.pool.Do(t.Context(), answerAddress, &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, func(*http.Response, bool) bool { return true })
	require.NoError(t, err)
	w.watch = a.watchBody(t.Context(), w.resp)
	synctest.Wait()
	return w
}

// start starts a process of the server. The first one begins to answer the first request.
func (w *answerWorld) start() {
	host := &memnet.Host{Name: fmt.Sprintf("server %d", len(w.history))}
	host.Ctx, host.Cancel = context.WithCancel(context.Background())
	w.mu.Lock()
	w.host, w.idle = host, nil
	w.mu.Unlock()
	l := w.net.Listen(host, answerAddress)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			first := w.body == nil
			switch {
			case first:
				w.body = c
			case host == w.host:
				w.idle = append(w.idle, c)
			default:
				_ = c.Close()
			}
			w.mu.Unlock()
			if !first {
				continue
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
				}
			}()
		}
	}()
}

// Events implements explore.World.
func (w *answerWorld) Events() []string {
	if w.killed || !w.endedAt.IsZero() {
		return nil
	}
	var out []string
	last := ""
	if len(w.history) > 0 {
		last = w.history[len(w.history)-1]
	}
	if !strings.HasPrefix(last, "wait") {
		out = append(out, "wait 5ms", "wait 40ms", "wait 150ms")
	}
	out = append(out, "end", "kill")
	if !strings.HasPrefix(last, "close") && !strings.HasPrefix(last, "reset") {
		out = append(out, "close idle", "reset idle")
	}
	if last != "piece" {
		out = append(out, "piece")
	}
	if !w.reading {
		out = append(out, "read")
	}
	// A process that takes the place of one that has dropped connections without notice can't be told from it.
	if !w.forgot {
		out = append(out, "kill and start", "kill, wait 30ms and start", "forget idle")
	}
	return out
}

// Apply implements explore.World.
func (w *answerWorld) Apply(event string) {
	w.history = append(w.history, event)
	switch event {
	case "wait 5ms", "wait 40ms", "wait 150ms":
		d, err := time.ParseDuration(strings.TrimPrefix(event, "wait "))
		require.NoError(w.t, err)
		time.Sleep(d)
	case "piece":
		_, _ = io.WriteString(w.body, "piece")
	case "read":
		w.reading = true
		go func() {
			_, err := io.Copy(io.Discard, w.resp)
			w.read <- err
		}()
	case "close idle", "reset idle":
		now := time.Now()
		w.provenFrom = now.Add(provenAfter)
		if now.Sub(w.closedIdle) < provenAfter {
			// Connections that are closed so soon are not replaced at once.
			w.provenFrom = w.provenFrom.Add(witnessSpacing)
		}
		w.closedIdle = now
		w.mu.Lock()
		for _, c := range w.idle {
			if l, ok := c.(interface{ SetLinger(int) error }); ok && event == "reset idle" {
				_ = l.SetLinger(0)
			}
			_ = c.Close()
		}
		w.idle = nil
		w.mu.Unlock()
	case "forget idle":
		w.forgot = true
		w.net.Forget(w.host, w.body)
	case "end":
		w.endedAt = time.Now()
		_ = w.body.Close()
	case "kill":
		w.killed = true
		w.net.Kill(w.host)
	case "kill and start":
		w.killed = true
		w.net.Kill(w.host)
		w.start()
	case "kill, wait 30ms and start":
		w.killed = true
		w.net.Kill(w.host)
		time.Sleep(30 * time.Millisecond)
		w.start()
	default:
		require.Fail(w.t, "unknown event", event)
	}
	synctest.Wait()
}

// State implements explore.World. Histories are not cut off: what the operating system holds of the connections is not known.
func (w *answerWorld) State() string { return explore.Format(w.history) }

// Check implements explore.World.
func (w *answerWorld) Check() error {
	if !w.killed && w.endedAt.IsZero() {
		w.Apply("wait 150ms")
		w.Apply("end")
	}
	if !w.reading {
		time.Sleep(150 * time.Millisecond) // another process has long been started
		w.Apply("read")
	}
	readErr := <-w.read
	whole := false
	if readErr == nil {
		end := w.watch.end(w.t.Context())
		whole = end.check() == nil
	}
	switch {
	case whole && w.killed:
		return errors.New("a part was taken for a whole answer")
	case !whole && !w.killed && !w.forgot && !w.endedAt.Before(w.provenFrom):
		return errors.New("a whole answer was taken for a part")
	}
	return nil
}

// Close implements explore.World.
func (w *answerWorld) Close() {
	w.watch.close()
	w.resp.Close(w.pool)
	w.pool.Close()
	w.net.Kill(w.host)
	time.Sleep(time.Second) // what is on the way in the network ends
}

// Guards against a part of an answer without a length that is taken for whole, and a whole one that is taken for a part, in
// every order of its pieces, its end, closed, reset and forgotten idle connections, and a process that is killed and started
// again, read at once or late.
func TestEndsOfAnswersInEveryOrder(t *testing.T) {
	play := func(f func(explore.World)) {
		synctest.Test(t, func(t *testing.T) { f(newAnswerWorld(t)) })
	}
	if *exploreHistory != "" {
		require.NoError(t, explore.Replay(play, explore.Parse(*exploreHistory)))
		return
	}
	r := explore.All(play, *exploreDepth, *exploreTime)
	t.Log(r)
	if r.Failure != nil {
		require.NoError(t, r.Failure)
	}
}
