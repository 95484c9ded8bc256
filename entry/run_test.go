package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/entry"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/rpc"
)

// script handles one attempt on a worker.
type script func(r *v1.ExecuteRequest, send func(*v1.Frame))

// scriptedWorker handles each attempt with the next script, and repeats the last one. It records the
// requests.
type scriptedWorker struct {
	quetzallugv1connect.UnimplementedWorkerServiceHandler

	mu       sync.Mutex
	scripts  []script
	requests []*v1.ExecuteRequest
}

func (s *scriptedWorker) Execute(_ context.Context, r *connect.Request[v1.ExecuteRequest], out *connect.ServerStream[v1.Frame]) error {
	s.mu.Lock()
	next := s.scripts[min(len(s.requests), len(s.scripts)-1)]
	s.requests = append(s.requests, r.Msg)
	s.mu.Unlock()
	next(r.Msg, func(f *v1.Frame) { _ = out.Send(f) })
	return nil
}

func dataFrame(r *v1.ExecuteRequest, offset uint64, text string) *v1.Frame {
	return &v1.Frame{RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Offset: offset, Tokens: 1, Data: []byte(text)}
}

func finalFrame(r *v1.ExecuteRequest, o v1.Outcome, total uint64) *v1.Frame {
	return &v1.Frame{RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Final: &v1.Final{
		Outcome: o, Total: total, Status: http.StatusOK, ContentType: "text/plain", FinishReason: "stop",
	}}
}

// completeAnswer sends the frames "a", "b" and "c" from the offset on, and the final frame.
func completeAnswer(r *v1.ExecuteRequest, send func(*v1.Frame)) {
	for i, text := range []string{"a", "b", "c"}[r.GetOffset():] {
		send(dataFrame(r, r.GetOffset()+uint64(i), text))
	}
	send(finalFrame(r, v1.Outcome_OUTCOME_COMPLETE, 3))
}

// partial sends the first frame of the answer and no final frame.
func partial(r *v1.ExecuteRequest, send func(*v1.Frame)) { send(dataFrame(r, r.GetOffset(), "a")) }

// refuseAttempt ends the attempt with the outcome "not run".
func refuseAttempt(r *v1.ExecuteRequest, send func(*v1.Frame)) {
	send(finalFrame(r, v1.Outcome_OUTCOME_NOT_RUN, 0))
}

// otherRequestFrame sends a frame of another request before the answer.
func otherRequestFrame(r *v1.ExecuteRequest, send func(*v1.Frame)) {
	f := dataFrame(r, 0, "x")
	f.RequestId = "other"
	send(f)
	completeAnswer(r, send)
}

// otherAttemptFrame sends a frame of another attempt before the answer.
func otherAttemptFrame(r *v1.ExecuteRequest, send func(*v1.Frame)) {
	f := dataFrame(r, 0, "x")
	f.Attempt = r.GetAttempt() + 1
	send(f)
	completeAnswer(r, send)
}

// earlyFinal sends a final frame whose total is larger than what was sent.
func earlyFinal(r *v1.ExecuteRequest, send func(*v1.Frame)) {
	send(dataFrame(r, r.GetOffset(), "a"))
	send(finalFrame(r, v1.Outcome_OUTCOME_COMPLETE, 3))
}

// picker always picks the same worker, or fails if it has no address.
type picker struct{ worker entry.Worker }

func (p *picker) Pick(entry.PickRequest) (entry.Worker, string, error) {
	if p.worker.Address == "" {
		return entry.Worker{}, "", errors.New("no worker")
	}
	return p.worker, "only one", nil
}
func (p *picker) Sent(entry.Worker, entry.PickRequest)               {}
func (p *picker) Done(entry.Worker, entry.PickRequest, entry.Result) {}

type documents struct{ services []*document.Service }

func (d documents) Lookup(name string) (*document.Service, uint64) {
	for _, s := range d.services {
		if s.Service == name {
			return s, 1
		}
	}
	return nil, 0
}
func (d documents) Services() []*document.Service { return d.services }
func (d documents) Observe(string, uint64)        {}

type admitAll struct{}

func (admitAll) Admit(entry.AdmitRequest) (func(), int, *entry.Error) { return func() {}, 1, nil }

// unlimitedBudget allows all retries, so that tests reach the limit of attempts.
type unlimitedBudget struct{}

func (unlimitedBudget) RecordFirstAttempt(time.Time)                         {}
func (unlimitedBudget) Take(time.Time) bool                                  { return true }
func (unlimitedBudget) Backoff(int, time.Duration, *rand.Rand) time.Duration { return 0 }

type noMetrics struct{}

func (noMetrics) Request(string, string, string, entry.Reason, bool, time.Duration) {}
func (noMetrics) FirstToken(string, string, time.Duration)                          {}
func (noMetrics) BetweenTokens(string, string, time.Duration)                       {}
func (noMetrics) Retry(string, v1.Reason)                                           {}

// newHandler returns the handler of an entry with one model service and one plain service, both served
// by the scripted worker.
func newHandler(t testing.TB, s *scriptedWorker) http.Handler {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(s))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := rpc.NewServer(mux)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	kind := func(name string, repeatable bool) document.Kind {
		return document.Kind{
			Name: name, Rank: 1, Repeatable: repeatable, Match: document.Match{Kind: name},
			Deadlines: document.Deadlines{Total: document.Duration(20 * time.Second)},
		}
	}
	// Requests of kind "again" are repeatable, those of kind "once" are not.
	kinds := []document.Kind{kind("again", true), kind("once", false)}
	e := entry.New(entry.Config{Cluster: "c", MaxBodyBytes: 1 << 10, WriteTimeout: time.Second}, entry.Options{
		Documents: documents{[]*document.Service{
			{Service: "m", Type: document.TypeModel, Models: []document.Model{{Name: "m"}}, Kinds: kinds},
			{Service: "p", Type: document.TypePlain, Kinds: kinds},
		}},
		Picker:  &picker{entry.Worker{Instance: "w", Address: l.Addr().String(), Incarnation: "i"}},
		Clients: rpc.NewClients(rpc.ClientConfig{}), Admitter: admitAll{}, Metrics: noMetrics{}, Log: log,
		Budget: unlimitedBudget{}, Decisions: entry.NewDecisionLog(8),
	})
	return e.Handler()
}

// An answer must not be presented as complete if parts of it are missing or repeated, or belong to
// another request or attempt. A non-repeatable request that may have run must not be retried, and a
// request that may have run must not be reported as "not run". In the names of the cases, "whole" is a
// complete answer and "cut" is one without a final frame.
func TestAttempts(t *testing.T) {
	tests := []struct {
		name     string
		kind     string
		scripts  []script
		attempts int
		outcome  string // empty for a complete answer
	}{
		{"whole", "once", []script{completeAnswer}, 1, ""},
		{"resumed at the offset", "again", []script{partial, completeAnswer}, 2, ""},
		{"cut, not repeatable", "once", []script{partial, completeAnswer}, 1, "unknown"},
		{"not run, then whole", "once", []script{refuseAttempt, completeAnswer}, 2, ""},
		{"never run", "once", []script{refuseAttempt}, 6, "not_run"},
		{"cut, then never run", "again", []script{partial, refuseAttempt}, 6, "unknown"},
		{"frame of another request", "once", []script{otherRequestFrame}, 1, "unknown"},
		{"frame of another request, repeated", "again", []script{otherRequestFrame, completeAnswer}, 2, ""},
		{"frame of another attempt", "once", []script{otherAttemptFrame}, 1, ""},
		{"final frame before the end", "once", []script{earlyFinal}, 1, "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedWorker{scripts: tt.scripts}
			h := newHandler(t, s)
			status, body := request(h, tt.kind, false)
			require.Len(t, s.requests, tt.attempts)
			if tt.outcome == "" {
				require.Equal(t, http.StatusOK, status, body)
				require.Contains(t, body, `"text":"abc"`)
				return
			}
			var e struct {
				Error struct{ Type string } `json:"error"`
			}
			require.NoError(t, json.Unmarshal([]byte(body), &e))
			require.Equal(t, tt.outcome, e.Error.Type)
		})
	}
}

// A stream whose answer is incomplete must end with an error event, not with [DONE].
func TestStreamEndsWithError(t *testing.T) {
	status, body := request(newHandler(t, &scriptedWorker{scripts: []script{partial}}), "once", true)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, "event: error")
	require.Contains(t, body, `"type":"unknown"`)
	require.NotContains(t, body, "[DONE]")
}

// request sends a completion request and returns the status and the body of the response.
func request(h http.Handler, kind string, stream bool) (int, string) {
	body := `{"model": "m", "prompt": "next arrival", "max_tokens": 3, "stream": ` + map[bool]string{true: "true", false: "false"}[stream] + `}`
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	r.Header.Set("X-Quetzallug-Kind", kind)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// After a retry, the answer of a plain backend server must not combine the body of one run with the
// status of another.
func TestPlainAnswerIsOfOneRun(t *testing.T) {
	s := &scriptedWorker{scripts: []script{
		partial,
		func(r *v1.ExecuteRequest, send func(*v1.Frame)) {
			send(dataFrame(r, 0, "second"))
			send(finalFrame(r, v1.Outcome_OUTCOME_COMPLETE, 1))
		},
	}}
	r := httptest.NewRequest(http.MethodGet, "/svc/p/schedule", nil)
	r.Header.Set("X-Quetzallug-Kind", "again")
	w := httptest.NewRecorder()
	newHandler(t, s).ServeHTTP(w, r)
	require.Len(t, s.requests, 2)
	require.Equal(t, "second", w.Body.String())
}

// Invalid input must be refused with a typed error, and must not reach a worker.
func TestBadInput(t *testing.T) {
	tests := []struct {
		name, path, kind, body string
		status                 int
		code                   string
	}{
		{"not JSON", "/v1/completions", "once", "{", http.StatusBadRequest, "invalid_request"},
		{"no model", "/v1/completions", "once", `{"prompt": "a"}`, http.StatusBadRequest, "invalid_request"},
		{"no prompt", "/v1/completions", "once", `{"model": "m"}`, http.StatusBadRequest, "invalid_request"},
		{"negative tokens", "/v1/completions", "once", `{"model": "m", "prompt": "a", "max_tokens": -1}`, http.StatusBadRequest, "invalid_request"},
		{"unknown model", "/v1/completions", "once", `{"model": "x", "prompt": "a"}`, http.StatusNotFound, "unknown_model"},
		{"unknown kind", "/v1/completions", "x", `{"model": "m", "prompt": "a"}`, http.StatusBadRequest, "unknown_kind"},
		{"unknown service", "/svc/x/a", "once", "", http.StatusNotFound, "unknown_service"},
		{"too large", "/svc/p/a", "once", strings.Repeat("x", 2<<10), http.StatusRequestEntityTooLarge, "request_too_large"},
		{"unknown path", "/x", "once", "", http.StatusNotFound, "invalid_request"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedWorker{scripts: []script{completeAnswer}}
			r := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(tt.body))
			r.Header.Set("X-Quetzallug-Kind", tt.kind)
			w := httptest.NewRecorder()
			newHandler(t, s).ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code)
			require.Contains(t, w.Body.String(), `"code":"`+tt.code+`"`)
			require.Contains(t, w.Body.String(), `"type":"not_run"`)
			require.Empty(t, s.requests)
		})
	}
}
