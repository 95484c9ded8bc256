package path

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
)

const (
	callerTimeout = 60 * time.Second
	answerTokens  = 16
	// remotePrefillTokens is the shortest prompt that is prefilled on another engine.
	remotePrefillTokens = 100
)

// callerRequest is one request of a caller.
type callerRequest struct {
	kind   string // request kind, as the document declares it
	stream bool
	key    string
	// n makes the prompts and paths of different requests distinct.
	n int
	// remotePrefill makes the prompt long enough to be prefilled on another engine.
	remotePrefill bool
}

func (r callerRequest) isModel() bool {
	return r.kind == "arrival-verdict" || r.kind == "chat" || r.kind == "order"
}

func (r callerRequest) repeatable() bool {
	return r.kind != "order" && r.kind != "alert-acknowledgement"
}

func (r callerRequest) prompt() string {
	words := 10
	if r.remotePrefill {
		words = 2 * remotePrefillTokens
	}
	return strings.Repeat(fmt.Sprint("stop", r.n, " "), words)
}

func (r callerRequest) path() string {
	if r.kind == "schedule-read" {
		return fmt.Sprint("/stops/", r.n)
	}
	return fmt.Sprint("/alerts/", r.n)
}

// observation is what a caller received.
type observation struct {
	callerRequest
	entry  string
	id     string // request ID, empty if no response arrived
	status int
	// complete is true if the response was marked as complete.
	complete bool
	// outcome is the type of the error body, empty if none arrived.
	outcome, code string
	text          string
	err           error
	body          []byte
}

func (o *observation) String() string {
	return fmt.Sprintf("%s n=%d key=%q via %s: id %s, status %d, complete %t, outcome %q (%s), error %v", o.kind, o.n, o.key, o.entry, o.id, o.status, o.complete, o.outcome, o.code, o.err)
}

// send makes one call through an entry, or through the next one if it is out of rotation, and
// records the result.
func (dep *deployment) send(i int, r callerRequest) *observation {
	dep.mu.Lock()
	p := dep.entries[i]
	if p.outOfRotation {
		p = dep.entries[(i+1)%len(dep.entries)]
	}
	dep.mu.Unlock()
	o := &observation{callerRequest: r, entry: p.instance.ID}
	dep.exchange(o, "http://"+p.callerAddr)
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.calls = append(dep.calls, o)
	return o
}

// sendWithRetries sends a request up to four times until it gets a complete answer, each time
// through the next entry, as a caller behind a load balancer does. It repeats only requests that
// are repeatable, have an idempotency key or were answered with not_run.
func (dep *deployment) sendWithRetries(i int, r callerRequest) *observation {
	o := dep.send(i, r)
	for n := 1; n < 4 && !o.complete && (r.repeatable() || r.key != "" || o.outcome == "not_run"); n++ {
		time.Sleep(time.Second)
		o = dep.send((i+n)%len(dep.entries), r)
	}
	return o
}

func (dep *deployment) exchange(o *observation, base string) {
	method, url, body := http.MethodPost, base+"/svc/"+api+o.path(), fmt.Sprint("body ", o.n)
	if o.isModel() {
		b, _ := json.Marshal(map[string]any{"model": model, "prompt": o.prompt(), "max_tokens": answerTokens, "stream": o.stream, "seed": o.n})
		url, body = base+"/v1/completions", string(b)
	} else if o.kind == "schedule-read" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		o.err = err
		return
	}
	if o.isModel() {
		r.Header.Set("X-Quetzallug-Kind", o.kind)
	}
	if o.key != "" {
		r.Header.Set("Idempotency-Key", o.key)
	}
	resp, err := dep.callerClient.Do(r)
	if err != nil {
		o.err = err
		return
	}
	defer resp.Body.Close()
	o.id, o.status = resp.Header.Get("X-Request-Id"), resp.StatusCode
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		o.readEvents(resp.Body)
		return
	}
	o.body, o.err = io.ReadAll(resp.Body)
	if o.err != nil {
		return
	}
	if resp.StatusCode != http.StatusOK {
		o.readError(o.body)
		return
	}
	o.complete = true
	if o.isModel() {
		var c struct{ Choices []struct{ Text string } }
		if o.err = json.Unmarshal(o.body, &c); o.err == nil {
			o.text = c.Choices[0].Text
		}
	}
}

func (o *observation) readError(b []byte) {
	var e struct{ Error struct{ Type, Code string } }
	if o.err = json.Unmarshal(b, &e); o.err == nil {
		o.outcome, o.code = e.Error.Type, e.Error.Code
	}
}

func (o *observation) readEvents(r io.Reader) {
	s := bufio.NewScanner(r)
	isError := false
	for s.Scan() {
		line := s.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			isError = true
		case !ok:
		case isError:
			o.readError([]byte(data))
		case data == "[DONE]":
			o.complete = true
		default:
			var c struct{ Choices []struct{ Text string } }
			if err := json.Unmarshal([]byte(data), &c); err == nil && len(c.Choices) == 1 {
				o.text += c.Choices[0].Text
			}
		}
	}
	if !o.complete {
		o.err = s.Err()
	}
}

// arrival is the arrival of an attempt at one incarnation of a worker.
type arrival struct {
	at     time.Time
	worker string
}

// name identifies one incarnation of a worker.
func (p *workerProcess) name() string { return p.instance.ID + "#" + p.incarnation }

// drainPeriod is a period in which a worker must not begin new work. A zero end means that the
// drain goes on.
type drainPeriod struct {
	worker      string
	from, until time.Time
}

func (dep *deployment) recordArrival(p *workerProcess, r *v1.ExecuteRequest) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	key := fmt.Sprintf("%s/%d", r.GetRequestId(), r.GetAttempt())
	if _, ok := dep.firstArrivals[key]; !ok {
		dep.firstArrivals[key] = arrival{time.Now(), p.name()}
	}
	if r.GetRepeatable() && r.GetIncarnation() == "" {
		dep.withoutIncarnation[key] = true
	}
	dep.delivered[p.slot] = append(dep.delivered[p.slot], proto.CloneOf(r))
}

// run is one request that a backend server began.
type run struct {
	id, attempt, key string
	slot             int
	at               time.Time
	isGet            bool
}

// runs returns the requests in the journals of all backend servers.
func (dep *deployment) runs() []run {
	var all []run
	for _, p := range dep.workers {
		if p.engine != nil {
			for _, r := range p.engine.Journal() {
				if r.Kind == engine.RequestQueued {
					id, _, _ := strings.Cut(r.RequestID, "/")
					all = append(all, run{id: id, attempt: r.RequestID, slot: p.slot, at: r.At})
				}
			}
			continue
		}
		for _, r := range p.plain.Journal() {
			all = append(all, run{id: r.RequestID, key: r.IdempotencyKey, slot: p.slot, at: r.At, isGet: r.Method == http.MethodGet})
		}
	}
	return all
}

// check compares what callers received with what the backend servers ran, and returns the
// violated invariants.
func (dep *deployment) check() []string {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	violations := append([]string(nil), dep.regressions...)
	fail := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	byID, byKey, byAttempt := map[string]int{}, map[string]int{}, map[string]int{}
	for _, r := range dep.runs() {
		byID[r.id]++
		if r.key != "" && !r.isGet {
			byKey[r.key]++
		}
		if r.attempt != "" && !dep.withoutIncarnation[r.attempt] {
			byAttempt[fmt.Sprint(r.slot, " ", r.attempt)]++
		}
		for _, d := range dep.drains {
			a, ok := dep.firstArrivals[r.attempt]
			if ok && a.worker == d.worker && a.at.After(d.from) && (d.until.IsZero() || a.at.Before(d.until)) {
				fail("I7: %s began %s after its drain began", d.worker, r.attempt)
			}
		}
	}
	for k, n := range byKey {
		if n > 1 {
			fail("I6: key %s ran %d times", k, n)
		}
	}
	for a, n := range byAttempt {
		if n > 1 {
			fail("I4: engine %s ran %d times", a, n)
		}
	}
	answers := map[string]string{}
	for _, o := range dep.calls {
		violations = append(violations, o.check(byID)...)
		if o.complete && o.key != "" {
			if first, ok := answers[o.key]; ok && first != string(o.body) {
				fail("I4: key %s was answered %q, then %q", o.key, first, o.body)
			}
			answers[o.key] = string(o.body)
		}
	}
	for _, p := range dep.workers {
		if p.engine == nil {
			continue
		}
		for _, v := range p.engine.Violations() {
			fail("I2: engine of %s: %s %s", p.instance.ID, v.Kind, v.RequestID)
		}
	}
	return violations
}

func (o *observation) check(runs map[string]int) (violations []string) {
	fail := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf(format, args...)+": "+o.String())
	}
	if o.outcome == "not_run" && o.id != "" && runs[o.id] > 0 {
		fail("I5: reported as not_run, but ran")
	}
	if !o.repeatable() && runs[o.id] > 1 {
		fail("I6: ran %d times", runs[o.id])
	}
	if !o.complete {
		if o.isModel() && !strings.HasPrefix(o.expectedText(), o.text) {
			fail("I4: partial text %q is not a prefix of the expected answer", o.text)
		}
		return violations
	}
	if o.isModel() {
		if o.text != o.expectedText() {
			fail("I4: answer %q, want %q", o.text, o.expectedText())
		}
		return violations
	}
	var a backend.Answer
	switch err := json.Unmarshal(o.body, &a); {
	case err != nil:
		fail("I4: body is not an answer: %v", err)
	case a.Path != o.path() || a.IdempotencyKey != o.key:
		fail("I4: answer %s belongs to another request", o.body)
	case o.key == "" && a.RequestID != o.id:
		fail("I4: answer belongs to request %s", a.RequestID)
	case runs[a.RequestID] == 0:
		fail("I4: answer belongs to request %s, which never ran", a.RequestID)
	}
	return violations
}

func (o *observation) expectedText() string {
	text, _, _ := engine.Answer(&external.GenerateRequest{Model: model, Prompt: o.prompt(), MaxTokens: answerTokens, Seed: uint64(o.n)})
	return text
}
