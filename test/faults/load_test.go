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

// Request kinds of the load.
const (
	kindVerdict = "arrival-verdict"
	kindChat    = "chat"
	kindRead    = "schedule-read"
	kindAck     = "ack"       // not idempotent, sent once
	kindKeyed   = "keyed-ack" // not idempotent, retried with its Idempotency-Key
)

// Outcomes of a request as its caller sees them.
const (
	outcomeComplete = "complete"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
	// outcomeBroken means that the connection failed, or that the response ended without a final event or a
	// typed error.
	outcomeBroken = "broken"
	// outcomeUnsent means that the connection was refused.
	outcomeUnsent = "unsent"
)

const (
	callerTimeout     = 20 * time.Second
	thinkTime         = 60 * time.Millisecond
	readyPollInterval = 50 * time.Millisecond
	// maxKeyedAttempts limits the requests for one keyed operation.
	maxKeyedAttempts = 8
	// replayProbability is the probability that a completed keyed operation is sent again, to check
	// that the stored answer is replayed.
	replayProbability = 0.3
)

// record describes one request as its caller saw it.
type record struct {
	kind, operationID, requestID, entry string
	outcome, reason, detail             string
	started, ended                      time.Time
	// mismatch describes how a complete answer differs from the expected one.
	mismatch string
	// answerID is the request ID in a plain answer, and body is the whole answer. A replayed answer has the
	// ID of the request that ran.
	answerID, body string
}

// loadGenerator runs closed-loop callers behind a simulated load balancer that follows the entries'
// readiness checks.
type loadGenerator struct {
	cluster       *testcluster.Cluster
	client        *http.Client
	lastOperation atomic.Uint64
	// expectedDepartures computes the expected answer to a plain read.
	expectedDepartures func(path string) string

	mu      sync.Mutex
	ready   []*testcluster.Entry
	records []record
}

func newLoadGenerator(ctx context.Context, c *testcluster.Cluster) *loadGenerator {
	return &loadGenerator{cluster: c, client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, expectedDepartures: newExpectedDepartures(context.WithoutCancel(ctx))}
}

// run generates load until ctx ends, and waits for the requests in flight.
func (l *loadGenerator) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for _, e := range l.cluster.Entries {
		wg.Go(func() { l.pollReadiness(ctx, e) })
	}
	groups := []struct {
		callers int
		call    func(*rand.Rand, int)
	}{
		// Verdicts have 150 tokens. Shorter ones would end while the weights are being loaded, and a
		// model change that does not wait for running verdicts would go undetected.
		{6, func(r *rand.Rand, i int) { l.sendCompletion(r, i, kindVerdict, 150) }},
		{5, func(r *rand.Rand, i int) { l.sendCompletion(r, i, kindChat, 240) }},
		{3, l.sendRead},
		{3, func(r *rand.Rand, i int) { l.sendPlain(r, i, kindAck, http.MethodPost, l.newOperationID("ack", i), "") }},
		{4, l.sendKeyed},
	}
	caller := 0
	for _, c := range groups {
		for range c.callers {
			caller++
			id := caller
			r := rand.New(rand.NewPCG(seed, uint64(id)))
			wg.Go(func() { callLoop(ctx, r, id, c.call) })
		}
	}
	wg.Wait()
}

func callLoop(ctx context.Context, r *rand.Rand, caller int, call func(*rand.Rand, int)) {
	for ctx.Err() == nil {
		call(r, caller)
		time.Sleep(thinkTime/2 + time.Duration(r.Int64N(int64(thinkTime))))
	}
}

// pollReadiness updates the list of ready entries as the platform's load balancer does.
func (l *loadGenerator) pollReadiness(ctx context.Context, e *testcluster.Entry) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		isReady := e.Ready(ctx, client)
		l.mu.Lock()
		var ready []*testcluster.Entry
		for _, other := range l.ready {
			if other != e {
				ready = append(ready, other)
			}
		}
		if isReady {
			ready = append(ready, e)
		}
		l.ready = ready
		l.mu.Unlock()
		time.Sleep(readyPollInterval)
	}
}

// pickEntry waits for a ready entry, and avoids exclude if another one is ready.
func (l *loadGenerator) pickEntry(r *rand.Rand, exclude *testcluster.Entry) *testcluster.Entry {
	for {
		l.mu.Lock()
		ready := l.ready
		l.mu.Unlock()
		if len(ready) > 0 {
			e := ready[r.IntN(len(ready))]
			if e != exclude || len(ready) == 1 {
				return e
			}
			continue
		}
		time.Sleep(readyPollInterval)
	}
}

func (l *loadGenerator) newOperationID(kind string, caller int) string {
	return fmt.Sprintf("%s-%d-%d", kind, caller, l.lastOperation.Add(1))
}

func (l *loadGenerator) addRecord(rec record) {
	rec.ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, rec)
}

// snapshot returns the records of the requests that have ended.
func (l *loadGenerator) snapshot() []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]record(nil), l.records...)
}

func newRequest(e *testcluster.Entry, caller int, method, path, body string) *http.Request {
	req, err := http.NewRequest(method, "http://"+e.Address+path, strings.NewReader(body))
	if err != nil {
		panic(err) // cannot happen: the paths consist of constants and operation IDs
	}
	req.Header.Set("Authorization", fmt.Sprintf("Bearer caller-%d", caller))
	// Without GetBody, the HTTP client does not resend a request that must not be repeated.
	req.GetBody = nil
	return req
}

// sendCompletion sends one streamed completion request and checks its answer.
func (l *loadGenerator) sendCompletion(r *rand.Rand, caller int, kind string, maxTokens int) {
	operationID := l.newOperationID(kind, caller)
	prompt := "request " + operationID + strings.Repeat(" stop and line", 1+r.IntN(100))
	genRequest := &external.GenerateRequest{Model: model, Prompt: prompt, MaxTokens: maxTokens, Seed: r.Uint64N(1 << 40)}
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true, "seed": genRequest.Seed})
	e := l.pickEntry(r, nil)
	rec := record{kind: kind, operationID: operationID, entry: e.ID, started: time.Now()}
	defer func() { l.addRecord(rec) }()
	req := newRequest(e, caller, http.MethodPost, "/v1/completions", string(body))
	req.Header.Set("X-Quetzallug-Kind", kind)
	resp := l.send(req, &rec)
	if resp == nil {
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		rec.readTypedError(b)
		return
	}
	text, finish := rec.readEvents(resp.Body)
	if rec.outcome != outcomeComplete {
		return
	}
	if want, _, reason := engine.Answer(genRequest); text != want || finish != reason {
		rec.mismatch = fmt.Sprintf("got %d bytes (%s), want %d bytes (%s)", len(text), finish, len(want), reason)
	}
}

// send returns the response, or nil if none arrived. It sets the request ID in rec or, if there is no
// response, the outcome.
func (l *loadGenerator) send(req *http.Request, rec *record) *http.Response {
	resp, err := l.client.Do(req)
	if err != nil {
		rec.outcome, rec.detail = outcomeBroken, err.Error()
		if strings.Contains(err.Error(), "connect: connection refused") {
			rec.outcome = outcomeUnsent
		}
		return nil
	}
	rec.requestID = resp.Header.Get("X-Request-Id")
	return resp
}

// readTypedError sets the outcome from the typed error in a response body or error event.
func (rec *record) readTypedError(body []byte) {
	var b struct {
		Error struct {
			Type, Code, Message string
			RequestID           string `json:"request_id"`
		}
	}
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Type != outcomeNotRun && b.Error.Type != outcomeUnknown {
		rec.outcome, rec.detail = outcomeBroken, "no typed error: "+string(body)
		return
	}
	rec.outcome, rec.reason, rec.detail = b.Error.Type, b.Error.Code, b.Error.Message
	if b.Error.RequestID != "" {
		rec.requestID = b.Error.RequestID
	}
}

// readEvents reads a stream of events. The stream is complete only if [DONE] follows a finish reason.
func (rec *record) readEvents(r io.Reader) (text, finish string) {
	rec.outcome = outcomeBroken
	s := bufio.NewScanner(r)
	errorEvent := false
	for s.Scan() {
		if s.Text() == "event: error" {
			errorEvent = true
			continue
		}
		data, ok := bytes.CutPrefix(s.Bytes(), []byte("data: "))
		switch {
		case !ok:
			continue
		case errorEvent:
			rec.readTypedError(data)
			return "", ""
		case string(data) == "[DONE]":
			if finish != "" {
				rec.outcome = outcomeComplete
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
	rec.detail = fmt.Sprintf("stream ended without [DONE] (read error: %v)", s.Err())
	return "", ""
}

func (l *loadGenerator) sendRead(r *rand.Rand, caller int) {
	operationID := l.newOperationID("read", caller)
	rec := l.doPlain(r, caller, kindRead, http.MethodGet, "/schedules/"+operationID, operationID, "", nil)
	l.addRecord(rec)
}

func (l *loadGenerator) sendPlain(r *rand.Rand, caller int, kind, method, operationID, key string) {
	l.addRecord(l.doPlain(r, caller, kind, method, "/alerts/"+operationID, operationID, key, nil))
}

// sendKeyed acknowledges one alert. It retries through another entry until it gets a complete answer,
// and sends some completed operations again.
func (l *loadGenerator) sendKeyed(r *rand.Rand, caller int) {
	operationID := l.newOperationID("keyed", caller)
	var last *testcluster.Entry
	for range maxKeyedAttempts {
		e := l.pickEntry(r, last)
		rec := l.doPlain(r, caller, kindKeyed, http.MethodPost, "/alerts/"+operationID, operationID, operationID, e)
		l.addRecord(rec)
		last = e
		if rec.outcome == outcomeComplete && r.Float64() >= replayProbability {
			return
		}
		time.Sleep(thinkTime)
	}
}

// doPlain sends one plain request to e, or to a random ready entry if e is nil.
func (l *loadGenerator) doPlain(r *rand.Rand, caller int, kind, method, path, operationID, key string, e *testcluster.Entry) record {
	if e == nil {
		e = l.pickEntry(r, nil)
	}
	rec := record{kind: kind, operationID: operationID, entry: e.ID, started: time.Now()}
	req := newRequest(e, caller, method, "/svc/"+plainService+path, "")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// Go's HTTP client may resend a request that has an Idempotency-Key unless its body cannot be
		// read again.
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
		rec.outcome, rec.detail = outcomeBroken, err.Error()
	case resp.StatusCode != http.StatusOK:
		rec.readTypedError(body)
	default:
		rec.outcome, rec.body = outcomeComplete, string(body)
		rec.answerID, rec.mismatch = l.checkPlain(&rec, path, key, body)
	}
	return rec
}

// checkPlain returns the request ID of a plain answer and how the answer differs from the expected
// one.
func (l *loadGenerator) checkPlain(rec *record, path, key string, body []byte) (answerID, mismatch string) {
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
		if want := l.expectedDepartures(path); want != strings.Join(a.Departures, " ") {
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

// newExpectedDepartures returns a function that computes the departures that every plain backend
// server returns for a path. It uses a backend in the same process.
func newExpectedDepartures(ctx context.Context) func(path string) string {
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
