package faults_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
)

// Kinds of requests of the load.
const (
	kindVerdict = "arrival-verdict"
	kindChat    = "chat"
	kindRead    = "schedule-read"
	kindAck     = "ack"       // may not be repeated, sent once
	kindKeyed   = "keyed-ack" // may not be repeated, retried with its Idempotency-Key
)

// What a caller learned about a request.
const (
	complete = "complete"
	notRun   = "not_run"
	unknown  = "unknown"
	// broken means that the connection ended without a final event or a typed error.
	broken = "broken"
	// unsent means that no connection was made.
	unsent = "unsent"
)

const (
	callerTimeout = 20 * time.Second
	thinkTime     = 60 * time.Millisecond
	readyEvery    = 50 * time.Millisecond
	// keyedTries bounds the retries of one keyed operation.
	keyedTries = 8
	// repeatShare of the completed keyed operations are sent again to see the replay.
	repeatShare = 0.3
)

// record is one request as its caller saw it.
type record struct {
	kind, token, requestID, entry string
	outcome, reason, detail       string
	started, ended                time.Time
	// wrong describes a complete answer that is not the expected one.
	wrong string
	// answerID is the request ID in a plain answer, body the whole answer.
	answerID, body string
}

// callers is the load: closed-loop callers behind a balancer that follows readiness checks.
type callers struct {
	cluster *testcluster.Cluster
	client  *http.Client
	tokens  atomic.Uint64
	// departures computes the expected answer of a plain read.
	departures func(path string) string

	mu      sync.Mutex
	ready   []*testcluster.Entry
	records []record
}

func newCallers(ctx context.Context, c *testcluster.Cluster) *callers {
	return &callers{cluster: c, client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, departures: newDepartures(context.WithoutCancel(ctx))}
}

// run keeps the load up until ctx ends and waits for the requests in flight.
func (l *callers) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for _, e := range l.cluster.Entries {
		wg.Go(func() { l.follow(ctx, e) })
	}
	counts := []struct {
		n    int
		call func(*rand.Rand, int)
	}{
		// With shorter verdicts, all of them end while the weights are loaded, and a change that does
		// not wait for them is not seen.
		{6, func(r *rand.Rand, i int) { l.model(r, i, kindVerdict, 150) }},
		{5, func(r *rand.Rand, i int) { l.model(r, i, kindChat, 240) }},
		{3, l.read},
		{3, func(r *rand.Rand, i int) { l.plain(r, i, kindAck, http.MethodPost, l.token("ack", i), "") }},
		{4, l.keyed},
	}
	caller := 0
	for _, c := range counts {
		for range c.n {
			caller++
			id := caller
			r := rand.New(rand.NewPCG(seed, uint64(id)))
			wg.Go(func() { loop(ctx, r, id, c.call) })
		}
	}
	wg.Wait()
}

func loop(ctx context.Context, r *rand.Rand, caller int, call func(*rand.Rand, int)) {
	for ctx.Err() == nil {
		call(r, caller)
		time.Sleep(thinkTime/2 + time.Duration(r.Int64N(int64(thinkTime))))
	}
}

// follow keeps the list of ready entries as the platform's balancer does.
func (l *callers) follow(ctx context.Context, e *testcluster.Entry) {
	check := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		ok := e.Ready(ctx, check)
		l.mu.Lock()
		var ready []*testcluster.Entry
		for _, other := range l.ready {
			if other != e {
				ready = append(ready, other)
			}
		}
		if ok {
			ready = append(ready, e)
		}
		l.ready = ready
		l.mu.Unlock()
		time.Sleep(readyEvery)
	}
}

// balance chooses a ready entry other than the given one, if there is another.
func (l *callers) balance(r *rand.Rand, not *testcluster.Entry) *testcluster.Entry {
	for {
		l.mu.Lock()
		ready := l.ready
		l.mu.Unlock()
		if len(ready) > 0 {
			e := ready[r.IntN(len(ready))]
			if e != not || len(ready) == 1 {
				return e
			}
			continue
		}
		time.Sleep(readyEvery)
	}
}

func (l *callers) token(kind string, caller int) string {
	return fmt.Sprintf("%s-%d-%d", kind, caller, l.tokens.Add(1))
}

func (l *callers) add(rec record) {
	rec.ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, rec)
}

// snapshot returns the ended requests.
func (l *callers) snapshot() []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]record(nil), l.records...)
}

func newRequest(e *testcluster.Entry, caller int, method, path, body string) *http.Request {
	req, err := http.NewRequest(method, "http://"+e.Address+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the paths are constants and tokens
	}
	req.Header.Set("Authorization", fmt.Sprintf("Bearer caller-%d", caller))
	// A caller that may not repeat a request must not let its client resend it.
	req.GetBody = nil
	return req
}

// model sends one streamed completion.
func (l *callers) model(r *rand.Rand, caller int, kind string, maxTokens int) {
	token := l.token(kind, caller)
	prompt := "request " + token + strings.Repeat(" stop and line", 1+r.IntN(100))
	q := &external.GenerateRequest{Model: model, Prompt: prompt, MaxTokens: maxTokens, Seed: r.Uint64N(1 << 40)}
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true, "seed": q.Seed})
	e := l.balance(r, nil)
	rec := record{kind: kind, token: token, entry: e.ID, started: time.Now()}
	defer func() { l.add(rec) }()
	req := newRequest(e, caller, http.MethodPost, "/v1/completions", string(body))
	req.Header.Set("X-Quetzallug-Kind", kind)
	resp := l.send(req, &rec)
	if resp == nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		rec.typed(b)
		return
	}
	text, finish := rec.readEvents(resp.Body)
	if rec.outcome != complete {
		return
	}
	if want, _, reason := engine.Answer(q); text != want || finish != reason {
		rec.wrong = fmt.Sprintf("got %d bytes (%s), want %d bytes (%s)", len(text), finish, len(want), reason)
	}
}

// send returns nil if no response arrived.
func (l *callers) send(req *http.Request, rec *record) *http.Response {
	resp, err := l.client.Do(req)
	if err != nil {
		rec.outcome, rec.detail = broken, err.Error()
		if strings.Contains(err.Error(), "connect: connection refused") {
			rec.outcome = unsent
		}
		return nil
	}
	rec.requestID = resp.Header.Get("X-Request-Id")
	return resp
}

// typed reads the typed error of a response.
func (rec *record) typed(body []byte) {
	var b struct {
		Error struct {
			Type, Code, Message string
			RequestID           string `json:"request_id"`
		}
	}
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Type != notRun && b.Error.Type != unknown {
		rec.outcome, rec.detail = broken, "no typed error: "+string(body)
		return
	}
	rec.outcome, rec.reason, rec.detail = b.Error.Type, b.Error.Code, b.Error.Message
	if b.Error.RequestID != "" {
		rec.requestID = b.Error.RequestID
	}
}

// readEvents reads a stream. Only [DONE] after a finish reason makes it complete.
func (rec *record) readEvents(r io.Reader) (text, finish string) {
	rec.outcome = broken
	s := bufio.NewScanner(r)
	failed := false
	for s.Scan() {
		if s.Text() == "event: error" {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(s.Bytes(), []byte("data: "))
		switch {
		case !ok:
			continue
		case failed:
			rec.typed(data)
			return "", ""
		case string(data) == "[DONE]":
			if finish != "" {
				rec.outcome = complete
			}
			return text, finish
		}
		var event struct {
			Choices []struct {
				Text         string
				FinishReason *string `json:"finish_reason"`
			}
		}
		if err := json.Unmarshal(data, &event); err != nil || len(event.Choices) != 1 {
			rec.detail = "bad event: " + string(data)
			return "", ""
		}
		text += event.Choices[0].Text
		if f := event.Choices[0].FinishReason; f != nil {
			finish = *f
		}
	}
	rec.detail = fmt.Sprintf("stream ended without [DONE]: %v", s.Err())
	return "", ""
}

func (l *callers) read(r *rand.Rand, caller int) {
	token := l.token("read", caller)
	rec := l.plainOnce(r, caller, kindRead, http.MethodGet, "/schedules/"+token, token, "", nil)
	l.add(rec)
}

func (l *callers) plain(r *rand.Rand, caller int, kind, method, token, key string) {
	l.add(l.plainOnce(r, caller, kind, method, "/alerts/"+token, token, key, nil))
}

// keyed acknowledges one alert and retries through another entry after anything but an answer.
func (l *callers) keyed(r *rand.Rand, caller int) {
	token := l.token("keyed", caller)
	var last *testcluster.Entry
	for range keyedTries {
		e := l.balance(r, last)
		rec := l.plainOnce(r, caller, kindKeyed, http.MethodPost, "/alerts/"+token, token, token, e)
		l.add(rec)
		last = e
		if rec.outcome == complete && r.Float64() >= repeatShare {
			return
		}
		time.Sleep(thinkTime)
	}
}

// plainOnce sends one plain request to e, or to an entry that the balancer chooses.
func (l *callers) plainOnce(r *rand.Rand, caller int, kind, method, path, token, key string, e *testcluster.Entry) record {
	if e == nil {
		e = l.balance(r, nil)
	}
	rec := record{kind: kind, token: token, entry: e.ID, started: time.Now()}
	req := newRequest(e, caller, method, "/svc/"+plainService+path, "")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// Go's client may resend a keyed request without a body.
		req.Body = io.NopCloser(strings.NewReader("{}"))
		req.ContentLength = 2
	}
	resp := l.send(req, &rec)
	if resp == nil {
		return rec
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		rec.outcome, rec.detail = broken, err.Error()
	case resp.StatusCode != http.StatusOK:
		rec.typed(body)
	default:
		rec.outcome, rec.body = complete, string(body)
		rec.answerID, rec.wrong = l.checkPlain(&rec, path, key, body)
	}
	return rec
}

// checkPlain compares a plain answer with what the backend server computes for the path.
func (l *callers) checkPlain(rec *record, path, key string, body []byte) (answerID, wrong string) {
	var a backend.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return "", err.Error()
	}
	var errs []error
	if a.Path != path || a.IdempotencyKey != key {
		errs = append(errs, fmt.Errorf("answer for path %s key %q", a.Path, a.IdempotencyKey))
	}
	if key == "" && a.RequestID != rec.requestID {
		errs = append(errs, fmt.Errorf("answer of request %s", a.RequestID))
	}
	if rec.kind == kindRead {
		if want := l.departures(path); want != strings.Join(a.Departures, " ") {
			errs = append(errs, fmt.Errorf("departures %v, want %s", a.Departures, want))
		}
	} else if a.Executions != 1 {
		errs = append(errs, fmt.Errorf("%d executions", a.Executions))
	}
	if err := errors.Join(errs...); err != nil {
		return a.RequestID, err.Error()
	}
	return a.RequestID, ""
}

// newDepartures returns a function that computes, without a process, the departures with which
// every plain backend server answers a path.
func newDepartures(ctx context.Context) func(path string) string {
	reference := backend.New(backend.Config{ServiceTime: -1, JournalLimit: 1})
	return func(path string) string {
		resp, err := reference.Do(ctx, &external.PlainRequest{Method: http.MethodGet, Path: path})
		if err != nil {
			return err.Error()
		}
		var a backend.Answer
		if err := json.Unmarshal(resp.Body, &a); err != nil {
			return err.Error()
		}
		return strings.Join(a.Departures, " ")
	}
}
