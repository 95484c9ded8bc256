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
	// pairTokens is the prompt length from which the world prefills on another engine.
	pairTokens = 100
)

// ask is one request of a caller.
type ask struct {
	kind   string // kind of the document
	stream bool
	key    string
	// n makes prompts and paths differ.
	n int
	// pair asks for prefill on another engine.
	pair bool
}

func (a ask) isModel() bool {
	return a.kind == "arrival-verdict" || a.kind == "chat" || a.kind == "order"
}

func (a ask) repeatable() bool { return a.kind != "order" && a.kind != "alert-acknowledgement" }

func (a ask) prompt() string {
	words := 10
	if a.pair {
		words = 2 * pairTokens
	}
	return strings.Repeat(fmt.Sprint("stop", a.n, " "), words)
}

func (a ask) path() string {
	if a.kind == "schedule-read" {
		return fmt.Sprint("/stops/", a.n)
	}
	return fmt.Sprint("/alerts/", a.n)
}

// observation is what a caller received.
type observation struct {
	ask
	entry  string
	id     string // request ID, empty if no response arrived
	status int
	// complete says that the answer was presented as whole.
	complete bool
	// outcome is the typed outcome of an error, empty if none arrived.
	outcome, code string
	text          string
	err           error
	body          []byte
}

func (o *observation) String() string {
	return fmt.Sprintf("%s n=%d key=%q via %s: id %s, status %d, complete %t, outcome %q (%s), error %v", o.kind, o.n, o.key, o.entry, o.id, o.status, o.complete, o.outcome, o.code, o.err)
}

// send makes one call through an entry and records what came back.
func (w *world) send(i int, a ask) *observation {
	w.mu.Lock()
	p := w.entries[i]
	if p.unbalanced {
		p = w.entries[(i+1)%len(w.entries)]
	}
	w.mu.Unlock()
	o := &observation{ask: a, entry: p.inst.ID}
	w.receive(o, "http://"+p.addr)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, o)
	return o
}

// retried sends again through the next entry, as a caller behind the balancer does, until an
// answer or a typed error arrives. Only requests that are safe to repeat are sent again.
func (w *world) retried(i int, a ask) *observation {
	o := w.send(i, a)
	for n := 1; n < 4 && !o.complete && (a.repeatable() || a.key != "" || o.outcome == "not_run"); n++ {
		time.Sleep(time.Second)
		o = w.send((i+n)%len(w.entries), a)
	}
	return o
}

func (w *world) receive(o *observation, base string) {
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
	resp, err := w.caller.Do(r)
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

// arrival is an attempt's arrival at one incarnation of a worker.
type arrival struct {
	at     time.Time
	worker string
}

// name tells the incarnations of a worker apart.
func (p *workerProc) name() string { return p.inst.ID + "#" + p.inc }

// drainRecord is a worker that took no new work in a period.
type drainRecord struct {
	worker     string
	from, till time.Time
}

func (w *world) noteAccepted(p *workerProc, r *v1.ExecuteRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s/%d", r.GetRequestId(), r.GetAttempt())
	if _, ok := w.accepted[key]; !ok {
		w.accepted[key] = arrival{time.Now(), p.name()}
	}
	if r.GetRepeatable() && r.GetIncarnation() == "" {
		w.unbound[key] = true
	}
	w.delivered[p.slot] = append(w.delivered[p.slot], proto.CloneOf(r))
}

// run is one request that a backend server began.
type run struct {
	id, attempt, key string
	slot             int
	at               time.Time
	isGet            bool
}

// runs reads the journals.
func (w *world) runs() []run {
	var all []run
	for _, p := range w.workers {
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

// check compares what callers received with what the backend servers did, and returns the
// violations.
func (w *world) check() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	bad := append([]string(nil), w.regressed...)
	fail := func(format string, args ...any) { bad = append(bad, fmt.Sprintf(format, args...)) }
	byID, byKey, byAttempt := map[string]int{}, map[string]int{}, map[string]int{}
	for _, r := range w.runs() {
		byID[r.id]++
		if r.key != "" && !r.isGet {
			byKey[r.key]++
		}
		if r.attempt != "" && !w.unbound[r.attempt] {
			byAttempt[fmt.Sprint(r.slot, " ", r.attempt)]++
		}
		for _, d := range w.drains {
			a, ok := w.accepted[r.attempt]
			if ok && a.worker == d.worker && a.at.After(d.from) && (d.till.IsZero() || a.at.Before(d.till)) {
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
	for _, o := range w.calls {
		bad = append(bad, o.check(byID)...)
		if o.complete && o.key != "" {
			if first, ok := answers[o.key]; ok && first != string(o.body) {
				fail("I4: key %s was answered %q, then %q", o.key, first, o.body)
			}
			answers[o.key] = string(o.body)
		}
	}
	for _, p := range w.workers {
		if p.engine == nil {
			continue
		}
		for _, v := range p.engine.Violations() {
			fail("I2: engine of %s: %s %s", p.inst.ID, v.Kind, v.RequestID)
		}
	}
	return bad
}

func (o *observation) check(runs map[string]int) (bad []string) {
	fail := func(format string, args ...any) {
		bad = append(bad, fmt.Sprintf(format, args...)+": "+o.String())
	}
	if o.outcome == "not_run" && o.id != "" && runs[o.id] > 0 {
		fail("I5: told not_run, but ran")
	}
	if !o.repeatable() && runs[o.id] > 1 {
		fail("I6: ran %d times", runs[o.id])
	}
	if !o.complete {
		if o.isModel() && !strings.HasPrefix(o.want(), o.text) {
			fail("I4: part %q is not of the answer", o.text)
		}
		return bad
	}
	if o.isModel() {
		if o.text != o.want() {
			fail("I4: answer %q, want %q", o.text, o.want())
		}
		return bad
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
		fail("I4: answer of request %s that never ran", a.RequestID)
	}
	return bad
}

func (o *observation) want() string {
	text, _, _ := engine.Answer(&external.GenerateRequest{Model: model, Prompt: o.prompt(), MaxTokens: answerTokens, Seed: uint64(o.n)})
	return text
}
