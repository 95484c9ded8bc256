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

	"github.com/quetzallug/quetzallug/standin/site"
)

// copyingWorker refuses the first request of each connection without an ID and sends the refusal once more
// a little later. It runs every later request.
type copyingWorker struct {
	mu   sync.Mutex
	runs map[string]int
}

const refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nQuetzallug-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func (w *copyingWorker) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.handle(c)
	}
}

func (w *copyingWorker) handle(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for first := true; ; first = false {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if first {
			_, _ = io.WriteString(c, refusalWithoutID)
			continue
		}
		// The copy arrives while the next request runs.
		_, _ = io.WriteString(c, refusalWithoutID)
		id := r.Header.Get("Quetzallug-Attempt-Id")
		w.mu.Lock()
		w.runs[id]++
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		body := site.Answer(id, r.URL.RequestURI())
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nQuetzallug-Attempt-Id: %s\r\nQuetzallug-Response-Signature: x.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	}
}

// Guards against a late copy of a refusal being taken for the answer to the next request on the connection:
// that request runs, is reported as refused and runs again on another worker.
func TestLateCopiesOfRefusalsAreNotBelieved(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		env.writeConfig()
		w := &copyingWorker{runs: make(map[string]int)}
		for i := range 2 {
			address := fmt.Sprintf("10.1.65.%d:8080", i+1)
			site.NewWorker(site.WorkerConfig{ID: fmt.Sprintf("i-copy-%d", i), Service: "api", Address: address, Slots: 8, Zone: "z"}).Register(env.store)
			l := env.net.Listen(env.newHost(address), address)
			env.cleanups = append(env.cleanups, func() { _ = l.Close() })
			go w.serve(l)
		}
		n := env.addGateway("edge-1")
		time.Sleep(settleTime)
		for range 6 {
			r := env.call(n, request{path: pathOnce + "x", body: "b"})
			time.Sleep(time.Second)
			w.mu.Lock()
			runs := w.runs[r.id]
			w.mu.Unlock()
			require.LessOrEqual(t, runs, 1, "ran more than once")
			if r.err == nil && r.status == http.StatusServiceUnavailable {
				require.Zero(t, runs, "refused although it ran")
			}
		}
	})
}
