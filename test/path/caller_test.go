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
	// remotePrefillTokens is the length, in tokens, from which a repeatable request's prompt is
	// prefilled on another engine.
	remotePrefillTokens = 100
)

// callerRequest is one request of a caller.
type callerRequest struct {
	kind   string // request kind, as the document declares it
	stream bool
	key    string
	// number tells requests apart: it is part of the prompt or path, and the seed. checkServing uses
	// numbers from 100.
	number int
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
	return strings.Repeat(fmt.Sprint("stop", r.number, " "), words)
}

func (r callerRequest) path() string {
	if r.kind == "schedule-read" {
		return fmt.Sprint("/stops/", r.number)
	}
	return fmt.Sprint("/alerts/", r.number)
}

// observation is what a caller received.
type observation struct {
	callerRequest
	entry     string
	requestID string // empty if no response arrived
	status    int
	// complete is true if the response was marked as complete.
	complete bool
	// errorType and errorCode are the type and code in the error body, empty if none arrived.
	errorType, errorCode string
	text                 string
	err                  error
	body                 []byte
}

func (o *observation) String() string {
	return fmt.Sprintf("%s n=%d key=%q via %s: id %s, status %d, complete %t, outcome %q (%s), error %v", o.kind, o.number, o.key, o.entry, o.requestID, o.status, o.complete, o.errorType, o.errorCode, o.err)
}

// send makes one call through the entry with the given index, or through the next one if that is
// out of rotation, and records and returns the observation.
func (dep *deployment) send(entryIndex int, r callerRequest) *observation {
	dep.mu.Lock()
	p := dep.entries[entryIndex]
	if p.outOfRotation {
		p = dep.entries[(entryIndex+1)%len(dep.entries)]
	}
	dep.mu.Unlock()
	o := &observation{callerRequest: r, entry: p.instance.ID}
	dep.exchange(o, "http://"+p.callerAddr)
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.calls = append(dep.calls, o)
	return o
}

// sendWithRetries sends a request up to four times until it gets a complete answer, first through
// the entry with the given index and then through the next ones, as a caller behind a load balancer
// does. It repeats only requests that are repeatable, have an idempotency key or were answered with
// not_run.
func (dep *deployment) sendWithRetries(entryIndex int, r callerRequest) *observation {
	o := dep.send(entryIndex, r)
	for n := 1; n < 4 && !o.complete && (r.repeatable() || r.key != "" || o.errorType == "not_run"); n++ {
		time.Sleep(time.Second)
		o = dep.send((entryIndex+n)%len(dep.entries), r)
	}
	return o
}

func (dep *deployment) exchange(o *observation, base string) {
	method, url, body := http.MethodPost, base+"/svc/"+plainService+o.path(), fmt.Sprint("body ", o.number)
	if o.isModel() {
		b, _ := json.Marshal(map[string]any{"model": model, "prompt": o.prompt(), "max_tokens": answerTokens, "stream": o.stream, "seed": o.number})
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
	o.requestID, o.status = resp.Header.Get("X-Request-Id"), resp.StatusCode
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
		o.errorType, o.errorCode = e.Error.Type, e.Error.Code
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

// incarnationName returns the instance ID and the incarnation, joined by #.
func (p *workerProcess) incarnationName() string { return p.instance.ID + "#" + p.incarnation }

// drainPeriod is a period in which a worker must not begin new work. A zero until means that
// the drain goes on.
type drainPeriod struct {
	worker      string
	from, until time.Time
}

func (dep *deployment) recordArrival(p *workerProcess, r *v1.ExecuteRequest) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	key := fmt.Sprintf("%s/%d", r.GetRequestId(), r.GetAttempt())
	if _, ok := dep.firstArrivals[key]; !ok {
		dep.firstArrivals[key] = arrival{time.Now(), p.incarnationName()}
	}
	if r.GetRepeatable() && r.GetIncarnation() == "" {
		dep.withoutIncarnation[key] = true
	}
	dep.delivered[p.slot] = append(dep.delivered[p.slot], proto.CloneOf(r))
}

// run is one request that an engine accepted or a backend server executed.
type run struct {
	// attempt is the request ID and the attempt number, joined by a slash; empty for a backend server.
	requestID, attempt, key string
	slot                    int
	at                      time.Time
	isGet                   bool
}

// runs returns the requests in the journals of all engines and backend servers.
func (dep *deployment) runs() []run {
	var all []run
	for _, p := range dep.workers {
		if p.engine != nil {
			for _, r := range p.engine.Journal() {
				if r.Kind == engine.RequestQueued {
					id, _, _ := strings.Cut(r.RequestID, "/")
					all = append(all, run{requestID: id, attempt: r.RequestID, slot: p.slot, at: r.At})
				}
			}
			continue
		}
		for _, r := range p.plain.Journal() {
			all = append(all, run{requestID: r.RequestID, key: r.IdempotencyKey, slot: p.slot, at: r.At, isGet: r.Method == http.MethodGet})
		}
	}
	return all
}

// check compares what callers received with what the engines and backend servers ran, and
// returns the violated invariants.
func (dep *deployment) check() []string {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	violations := append([]string(nil), dep.revisionDecreases...)
	fail := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	byID, byKey, byAttempt := map[string]int{}, map[string]int{}, map[string]int{}
	for _, r := range dep.runs() {
		byID[r.requestID]++
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

// check returns the invariants that the observation violates, given the number of runs by request
// ID.
func (o *observation) check(runCounts map[string]int) (violations []string) {
	fail := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf(format, args...)+": "+o.String())
	}
	if o.errorType == "not_run" && o.requestID != "" && runCounts[o.requestID] > 0 {
		fail("I5: reported as not_run, but ran")
	}
	if !o.repeatable() && runCounts[o.requestID] > 1 {
		fail("I6: ran %d times", runCounts[o.requestID])
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
	case o.key == "" && a.RequestID != o.requestID:
		fail("I4: answer belongs to request %s", a.RequestID)
	case runCounts[a.RequestID] == 0:
		fail("I4: answer belongs to request %s, which never ran", a.RequestID)
	}
	return violations
}

func (o *observation) expectedText() string {
	text, _, _ := engine.Answer(&external.GenerateRequest{Model: model, Prompt: o.prompt(), MaxTokens: answerTokens, Seed: uint64(o.number)})
	return text
}
