package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	callerCount = 24
	// prefixCount is the number of second parts of prompts in a deployment of usual size. Larger ones have more, so that
	// each engine is the affinity server of some.
	prefixCount = 20
	// callTimeout is how long after a caller's deadline its connection may still be open.
	callTimeout = 2 * time.Second
	// requiredSuccesses is the number of consecutive successes of each kind after which the deployment
	// counts as recovered.
	requiredSuccesses = 20
)

var kinds = []string{"read", "once", "resume", "stream"}

// loadGenerator sends requests on persistent connections until it is stopped, and checks the responses.
type loadGenerator struct {
	t        *testing.T
	gateways []*gatewayProcess
	// halfClose is the rate of requests after which the caller ends its own side of the connection and reads on.
	halfClose float64
	// errorBodies makes the callers check the bodies of the workers' error responses, too.
	errorBodies bool
	// uploadBytes is the size of some of the bodies; 0 if all are small.
	uploadBytes int
	// timeLeft is how long callers wait.
	timeLeft time.Duration

	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup

	mu      sync.Mutex
	lastID  int
	results []result
	errors  []string
	// consecutive is the number of successes of each kind since its last failure.
	consecutive map[string]int
	outcomes    map[string]int
}

// result is the result of one request as the caller saw it.
type result struct {
	id, kind string
	// gateway is the gateway that got the request.
	gateway   string
	refused   bool
	succeeded bool
}

func newLoadGenerator(t *testing.T, gateways []*gatewayProcess) *loadGenerator {
	l := &loadGenerator{t: t, gateways: gateways, timeLeft: 2 * time.Second, consecutive: map[string]int{}, outcomes: map[string]int{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *loadGenerator) start(callers int) {
	for i := range callers {
		l.wg.Go(func() { l.runCaller(i) })
	}
}

// stop ends the load and compares the results with the runs of each request.
func (l *loadGenerator) stop(runs func() map[string]int) {
	l.cancel()
	l.wg.Wait()
	l.checkRuns(runs())
}

// runCaller sends requests of one kind and reuses its connection for as long as the gateway allows.
func (l *loadGenerator) runCaller(n int) {
	var c net.Conn
	var reader *bufio.Reader
	gateway := ""
	for l.ctx.Err() == nil {
		if c == nil {
			g := l.gateways[rand.IntN(len(l.gateways))]
			var err error
			if c, err = net.DialTimeout("tcp", g.address, time.Second); err != nil {
				c = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
			reader, gateway = bufio.NewReader(c), g.Name
		}
		if !l.call(c, reader, gateway, kinds[n%len(kinds)]) {
			_ = c.Close()
			c = nil
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
	if c != nil {
		_ = c.Close()
	}
}

// call sends one request and reports whether its connection can be reused.
func (l *loadGenerator) call(c net.Conn, reader *bufio.Reader, gateway, kind string) bool {
	l.mu.Lock()
	l.lastID++
	id := fmt.Sprintf("%016x", l.lastID)
	l.mu.Unlock()
	target := fmt.Sprintf("/%s/%s", kind, id)
	events := 0
	body := strings.Repeat("b", rand.IntN(6000))
	if l.uploadBytes > 0 && rand.IntN(4) == 0 {
		body = strings.Repeat("b", l.uploadBytes)
	}
	r, err := http.NewRequest(http.MethodPost, "http://a.example"+target, strings.NewReader(body))
	require.NoError(l.t, err)
	r.Header.Set("Quetzallug-Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer "+keyOf(id))
	r.Header.Set("Quetzallug-Deadline-Ms", fmt.Sprint(l.timeLeft.Milliseconds()))
	if kind == "resume" || kind == "stream" {
		events = 1 + rand.IntN(8)
		uniqueTokens := 100 + rand.IntN(2000)
		r.Header.Set("Quetzallug-Model", "m")
		r.Header.Set("Quetzallug-Token-Count", fmt.Sprintf("%d,%d", 3000+uniqueTokens, events))
		r.Header.Set("Quetzallug-Prefix-Hash", fmt.Sprintf("a%d:1000,b%d:2000,c%s:%d", rand.IntN(3), rand.IntN(prefixCount**processScale), id, uniqueTokens))
	}
	_ = c.SetDeadline(time.Now().Add(l.timeLeft + callTimeout))
	if err := r.Write(c); err != nil {
		l.record(result{id: id, kind: kind, gateway: gateway}, "write failed")
		return false
	}
	halfClosed := rand.Float64() < l.halfClose
	if tcp, ok := c.(*net.TCPConn); ok && halfClosed {
		time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		_ = tcp.CloseWrite()
	}
	resp, err := http.ReadResponse(reader, r)
	if err != nil {
		l.record(result{id: id, kind: kind, gateway: gateway}, "failed before the response")
		return false
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		l.record(result{id: id, kind: kind, gateway: gateway}, "failed within the response")
		return false
	}
	refused := false
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		refused = true
	}
	l.record(result{id: id, kind: kind, gateway: gateway, refused: refused, succeeded: resp.StatusCode == http.StatusOK}, fmt.Sprint(resp.StatusCode))
	if resp.StatusCode == http.StatusOK {
		l.checkResponse(id, target, events, resp.Header, string(b))
	}
	if signed := resp.Header.Get("Quetzallug-Response-Signature") != ""; signed && resp.StatusCode == http.StatusInternalServerError {
		if want := site.Answer(id, target); l.errorBodies && string(b) != want {
			l.fail("MIXED: %s got a part of an error response: %.200q", target, b)
		}
	} else if signed && (resp.StatusCode < http.StatusOK || resp.StatusCode > 599) {
		l.fail("MIXED: %s got a worker's answer with status %d", target, resp.StatusCode)
	}
	for name := range resp.Header {
		if strings.Contains(name, " ") || strings.HasPrefix(name, "Odd") {
			l.fail("MIXED: %s got a line of an odd head: %q", target, name)
		}
	}
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusBadRequest {
		l.fail("%s %s got %d", kind, id, resp.StatusCode)
	}
	return !resp.Close && !halfClosed
}

func (l *loadGenerator) checkResponse(id, target string, events int, header http.Header, body string) {
	want := site.Answer(id, target)
	if events > 0 {
		want = ""
		for i := 1; i <= events; i++ {
			want += site.Event(id, i)
		}
	}
	if body != want {
		l.fail("ORDER or MIXED: %s got an unexpected response body: %.200q", target, body)
	}
	if !strings.HasSuffix(header.Get("Quetzallug-Response-Signature"), "."+id) {
		l.fail("MIXED: %s got an unexpected signature %q", target, header.Get("Quetzallug-Response-Signature"))
	}
}

func (l *loadGenerator) record(r result, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
	l.outcomes[r.kind+" "+outcome]++
	l.consecutive[r.kind]++
	if !r.succeeded {
		l.consecutive[r.kind] = 0
	}
}

func (l *loadGenerator) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors = append(l.errors, fmt.Sprintf(format, args...))
}

// expect records message as a failure if condition does not hold.
func (l *loadGenerator) expect(condition func() bool, message string) {
	if !condition() {
		l.fail("%s", message)
	}
}

func (l *loadGenerator) anySucceeded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.succeeded {
			return true
		}
	}
	return false
}

// waitForRecovery waits until each kind of request has succeeded requiredSuccesses times in a row.
// refresh is called meanwhile.
func (l *loadGenerator) waitForRecovery(refresh func()) {
	l.mu.Lock()
	clear(l.consecutive)
	l.mu.Unlock()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		refresh()
		l.mu.Lock()
		all := true
		for _, k := range kinds {
			all = all && l.consecutive[k] >= requiredSuccesses
		}
		l.mu.Unlock()
		if all {
			return
		}
	}
	l.fail("not every kind of request recovered after the faults; consecutive successes: %v", l.consecutive)
}

// runs returns how often each request was run, without prefills.
func (d *deployment) runs() map[string]int {
	runs := map[string]int{}
	for _, w := range d.workers {
		for _, r := range w.Runs() {
			if !r.Prefill {
				runs[r.ID]++
			}
		}
	}
	return runs
}

// checkRuns compares the results of the callers with the runs of the workers.
func (l *loadGenerator) checkRuns(runs map[string]int) {
	for _, r := range l.results {
		repeatable := r.kind == "read" || r.kind == "resume"
		if !repeatable && runs[r.id] > 1 {
			l.fail("TWICE: %s %s ran %d times", r.kind, r.id, runs[r.id])
		}
		if !repeatable && r.refused && runs[r.id] > 0 {
			l.fail("REFUSED: %s %s was refused although it ran", r.kind, r.id)
		}
		if r.succeeded && runs[r.id] == 0 {
			l.fail("%s %s succeeded although it did not run", r.kind, r.id)
		}
	}
}

// gatewayOf returns the gateway that got a request, or an empty string.
func (l *loadGenerator) gatewayOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.id == id {
			return r.gateway
		}
	}
	return ""
}

func (l *loadGenerator) failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.errors
}

func (l *loadGenerator) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d requests, %v", len(l.results), l.outcomes)
}
