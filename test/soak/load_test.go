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
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	callers     = 24
	callTimeout = 4 * time.Second
	// servedInARow is the number of good answers of each kind that show recovery.
	servedInARow = 20
)

var kinds = []string{"read", "once", "resume", "stream"}

// load sends requests on kept connections until it is stopped, and checks what comes back.
type load struct {
	d      *deployment
	cancel context.CancelFunc
	ctx    context.Context
	done   sync.WaitGroup

	mu       sync.Mutex
	next     int
	results  []result
	errors   []string
	row      map[string]int
	outcomes map[string]int
}

// result is what one caller got.
type result struct {
	id, kind string
	refused  bool
	whole    bool
}

func newLoad(d *deployment) *load {
	l := &load{d: d, row: map[string]int{}, outcomes: map[string]int{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func (l *load) start() {
	for i := range callers {
		l.done.Go(func() { l.caller(i) })
	}
}

func (l *load) stop() {
	l.cancel()
	l.done.Wait()
	l.checkRuns()
}

// caller keeps one connection for as long as it may.
func (l *load) caller(n int) {
	var c net.Conn
	var br *bufio.Reader
	for l.ctx.Err() == nil {
		if c == nil {
			g := l.d.gateways[rand.IntN(len(l.d.gateways))]
			var err error
			if c, err = net.DialTimeout("tcp", g.address, time.Second); err != nil {
				c = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(c)
		}
		if !l.call(c, br, kinds[n%len(kinds)]) {
			_ = c.Close()
			c = nil
		}
		time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
	if c != nil {
		_ = c.Close()
	}
}

// call sends one request and tells whether its connection may be used again.
func (l *load) call(c net.Conn, br *bufio.Reader, kind string) bool {
	l.mu.Lock()
	l.next++
	id := fmt.Sprintf("%016x", l.next)
	l.mu.Unlock()
	target := fmt.Sprintf("/%s/%s", kind, id)
	events := 0
	body := strings.Repeat("b", rand.IntN(6000))
	r, err := http.NewRequest(http.MethodPost, "http://a.example"+target, strings.NewReader(body))
	require.NoError(l.d.t, err)
	r.Header.Set("Quetzallug-Attempt-Id", id)
	r.Header.Set("Quetzallug-Deadline-Ms", "2000")
	if kind == "resume" || kind == "stream" {
		events = 1 + rand.IntN(8)
		own := 100 + rand.IntN(2000)
		r.Header.Set("Quetzallug-Model", "m")
		r.Header.Set("Quetzallug-Token-Count", fmt.Sprintf("%d,%d", 3000+own, events))
		r.Header.Set("Quetzallug-Prefix-Hash", fmt.Sprintf("a%d:1000,b%d:2000,c%s:%d", rand.IntN(3), rand.IntN(20), id, own))
	}
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	if err := r.Write(c); err != nil {
		l.note(result{id: id, kind: kind}, "write failed")
		return false
	}
	resp, err := http.ReadResponse(br, r)
	if err != nil {
		l.note(result{id: id, kind: kind}, "no answer")
		return false
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		l.note(result{id: id, kind: kind}, "cut in the answer")
		return false
	}
	refused := resp.StatusCode == http.StatusServiceUnavailable
	l.note(result{id: id, kind: kind, refused: refused, whole: resp.StatusCode == http.StatusOK}, fmt.Sprint(resp.StatusCode))
	if resp.StatusCode == http.StatusOK {
		l.checkAnswer(id, target, events, resp.Header, string(b))
	}
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusBadRequest {
		l.fail("%s %s got %d", kind, id, resp.StatusCode)
	}
	return !resp.Close
}

func (l *load) checkAnswer(id, target string, events int, h http.Header, body string) {
	want := site.Answer(id, target)
	if events > 0 {
		want = ""
		for i := 1; i <= events; i++ {
			want += site.Event(id, i)
		}
	}
	if body != want {
		l.fail("%s got another answer: %.200q", target, body)
	}
	if !strings.HasSuffix(h.Get("Quetzallug-Response-Signature"), "."+id) {
		l.fail("%s got the signature %q", target, h.Get("Quetzallug-Response-Signature"))
	}
}

func (l *load) note(r result, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
	l.outcomes[r.kind+" "+outcome]++
	l.row[r.kind]++
	if !r.whole {
		l.row[r.kind] = 0
	}
}

func (l *load) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.errors = append(l.errors, fmt.Sprintf(format, args...))
}

func (l *load) check(ok func() bool, what string) {
	if !ok() {
		l.fail("%s", what)
	}
}

func (l *load) served() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.results {
		if r.whole {
			return true
		}
	}
	return false
}

// waitServed waits until each kind of request is served many times in a row.
func (l *load) waitServed() {
	l.mu.Lock()
	clear(l.row)
	l.mu.Unlock()
	for end := time.Now().Add(readyBound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		l.d.show()
		l.mu.Lock()
		all := true
		for _, k := range kinds {
			all = all && l.row[k] >= servedInARow
		}
		l.mu.Unlock()
		if all {
			return
		}
	}
	l.fail("not every kind of request is served after the faults: %v", l.row)
}

// checkRuns compares what callers were told with what workers ran.
func (l *load) checkRuns() {
	runs := map[string]int{}
	for _, w := range l.d.workers {
		for _, r := range w.Runs() {
			if !r.Prefill {
				runs[r.ID]++
			}
		}
	}
	for _, r := range l.results {
		repeatable := r.kind == "read" || r.kind == "resume"
		if !repeatable && runs[r.id] > 1 {
			l.fail("%s %s ran %d times", r.kind, r.id, runs[r.id])
		}
		if !repeatable && r.refused && runs[r.id] > 0 {
			l.fail("%s %s was refused and ran", r.kind, r.id)
		}
		if r.whole && runs[r.id] == 0 {
			l.fail("%s %s was answered and did not run", r.kind, r.id)
		}
	}
}

func (l *load) failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.errors
}

func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d requests, %v", len(l.results), l.outcomes)
}
