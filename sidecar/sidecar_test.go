package sidecar_test

import (
	"bytes"
	"context"
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

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/sidecar"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
)

const (
	cluster     = "c"
	service     = "halte-llm"
	incarnation = "i1"
	model       = "m"
)

// stubDocuments reports revision 1 for every service.
type stubDocuments struct{}

func (stubDocuments) Revision(string) uint64 { return 1 }
func (stubDocuments) Observe(string, uint64) {}

// discardMetrics discards all measurements.
type discardMetrics struct{}

func (discardMetrics) Attempt(v1.Outcome, v1.Reason) {}
func (discardMetrics) InFlight(int)                  {}

// frameRecorder records copies of the frames that a sidecar sends.
type frameRecorder struct {
	mu   sync.Mutex
	list []*v1.Frame
}

func (f *frameRecorder) Send(m *v1.Frame) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, &v1.Frame{Offset: m.GetOffset(), Tokens: m.GetTokens(), Data: bytes.Clone(m.GetData()), Final: m.GetFinal()})
	return nil
}

// final returns the content of the last frame.
func (f *frameRecorder) final() *v1.Final { return f.list[len(f.list)-1].GetFinal() }

// text returns the data of all frames.
func (f *frameRecorder) text() string {
	var b strings.Builder
	for _, m := range f.list {
		b.Write(m.GetData())
	}
	return b.String()
}

// newSidecar returns a sidecar for the engine or the plain backend server, whichever is set.
func newSidecar(t *testing.T, e external.Engine, b external.Backend) *sidecar.Sidecar {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := sidecar.New(sidecar.Config{
		Cluster: cluster, Instance: "w", Service: service, Incarnation: incarnation, MaxInFlight: 2, Attempts: once.DefaultAttemptTableSettings(),
		Peers: rpc.NewClients(rpc.ClientConfig{}),
	}, e, b, stubDocuments{}, discardMetrics{}, log)
	require.NoError(t, err)
	require.NoError(t, s.RefreshState(t.Context()))
	return s
}

// newEngine returns an engine that has loaded the test model.
func newEngine(t *testing.T) *engine.Engine {
	t.Helper()
	e := engine.New(engine.Config{Initial: external.EngineConfig{
		Role: external.EngineRoleMixed, Models: []external.ModelVersion{{Name: model, Version: "1"}},
	}})
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// modelRequest returns the first attempt of a repeatable model request.
func modelRequest(id string) *v1.ExecuteRequest {
	return &v1.ExecuteRequest{
		Cluster: cluster, RequestId: id, Attempt: 1, Service: service, Incarnation: incarnation, RemainingMs: 60_000,
		Repeatable: true, Request: &v1.ExecuteRequest_Model{Model: &v1.ModelRequest{Model: model, Prompt: "next arrival", MaxTokens: 12}},
	}
}

// plainRequest returns the first attempt of an unrepeatable plain request.
func plainRequest() *v1.ExecuteRequest {
	r := modelRequest("r")
	r.Repeatable = false
	r.Request = &v1.ExecuteRequest_Plain{Plain: &v1.PlainRequest{Method: http.MethodPost, Path: "/pumps/1"}}
	return r
}

// Guards against reporting a refused request with an outcome other than "not run", and against
// sending it to the backend server.
func TestRefusalsDoNotRun(t *testing.T) {
	tests := []struct {
		name   string
		modify func(*v1.ExecuteRequest)
		reason v1.Reason
	}{
		{"other cluster", func(r *v1.ExecuteRequest) { r.Cluster = "other" }, v1.Reason_REASON_INVALID},
		{"no request ID", func(r *v1.ExecuteRequest) { r.RequestId = "" }, v1.Reason_REASON_INVALID},
		{"no attempt", func(r *v1.ExecuteRequest) { r.Attempt = 0 }, v1.Reason_REASON_INVALID},
		{"other service", func(r *v1.ExecuteRequest) { r.Service = "banco" }, v1.Reason_REASON_WRONG_SERVICE},
		{"other incarnation", func(r *v1.ExecuteRequest) { r.Incarnation = "i0" }, v1.Reason_REASON_WRONG_INCARNATION},
		{"unrepeatable without incarnation", func(r *v1.ExecuteRequest) { r.Incarnation = "" }, v1.Reason_REASON_WRONG_INCARNATION},
		{"no time left", func(r *v1.ExecuteRequest) { r.RemainingMs = 0 }, v1.Reason_REASON_DEADLINE},
		{"model request", func(r *v1.ExecuteRequest) { r.Request = modelRequest("x").Request }, v1.Reason_REASON_INVALID},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := backend.New(backend.Config{})
			s := newSidecar(t, nil, b)
			r := plainRequest()
			tt.modify(r)
			out := &frameRecorder{}
			require.NoError(t, s.Execute(t.Context(), r, out))
			require.Equal(t, v1.Outcome_OUTCOME_NOT_RUN, out.final().GetOutcome())
			require.Equal(t, tt.reason, out.final().GetReason())
			require.Empty(t, b.Journal())
		})
	}
}

// Guards against executing an unrepeatable request again when its attempt is delivered twice or a
// second attempt follows, and against reporting either as "not run" although the first copy ran.
func TestDuplicateDoesNotRunAgain(t *testing.T) {
	b := backend.New(backend.Config{})
	s := newSidecar(t, nil, b)
	first, second := &frameRecorder{}, &frameRecorder{}
	require.NoError(t, s.Execute(t.Context(), plainRequest(), first))
	require.NoError(t, s.Execute(t.Context(), plainRequest(), second))
	require.Equal(t, v1.Outcome_OUTCOME_COMPLETE, first.final().GetOutcome())
	require.Equal(t, v1.Outcome_OUTCOME_UNKNOWN, second.final().GetOutcome())
	again, third := plainRequest(), &frameRecorder{}
	again.Attempt = 2
	require.NoError(t, s.Execute(t.Context(), again, third))
	require.Equal(t, v1.Outcome_OUTCOME_UNKNOWN, third.final().GetOutcome(), "another attempt of an unrepeatable request that ran")
	require.Equal(t, 1, b.Executions("r"))
}

// Guards against a drain that cuts off an answer in flight or accepts new attempts.
func TestDrainWaitsForAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSidecar(t, newEngine(t), nil)
		out := &frameRecorder{}
		done := make(chan error, 1)
		go func() { done <- s.Execute(t.Context(), modelRequest("r1"), out) }()
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, 1, s.InFlight())
		require.NoError(t, s.BeginDrain(t.Context()))
		refused := &frameRecorder{}
		require.NoError(t, s.Execute(t.Context(), modelRequest("r2"), refused))
		require.Equal(t, v1.Reason_REASON_DRAINING, refused.final().GetReason())
		require.NoError(t, s.Wait(t.Context()))
		require.NoError(t, <-done)
		require.Equal(t, v1.Outcome_OUTCOME_COMPLETE, out.final().GetOutcome())
		s.EndDrain()
		again := &frameRecorder{}
		require.NoError(t, s.Execute(t.Context(), modelRequest("r3"), again))
		require.Equal(t, v1.Outcome_OUTCOME_COMPLETE, again.final().GetOutcome())
	})
}

// serveWorker serves the RPC service of a sidecar on a loopback port and returns its address.
func serveWorker(t *testing.T, s *sidecar.Sidecar) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(sidecar.NewService(s, nil, "p", log)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := rpc.NewServer(mux)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// Guards against a different answer when another engine prefills the prompt, and against failing the
// request when the prefill engine is unreachable.
func TestPrefillOnAnotherEngine(t *testing.T) {
	prefill, decode := newEngine(t), newEngine(t)
	address := serveWorker(t, newSidecar(t, prefill, nil))
	s := newSidecar(t, decode, nil)
	want, _, _ := engine.Answer(&external.GenerateRequest{Model: model, Prompt: "next arrival", MaxTokens: 12})
	for _, tt := range []struct{ id, address string }{{"r1", address}, {"r2", "127.0.0.1:1"}} {
		r := modelRequest(tt.id)
		r.Prefill = &v1.PrefillSource{Instance: "p", Address: tt.address}
		out := &frameRecorder{}
		require.NoError(t, s.Execute(context.Background(), r, out))
		require.Equal(t, v1.Outcome_OUTCOME_COMPLETE, out.final().GetOutcome())
		require.Equal(t, want, out.text())
	}
	var runs []string
	for _, r := range prefill.Journal() {
		if r.Kind == engine.RequestFinished {
			runs = append(runs, r.RequestID)
		}
	}
	require.Equal(t, []string{"r1/1"}, runs)
}

// Guards against reporting "not run" for a request whose prompt may have run on the prefill engine.
func TestRefusalAfterPrefillElsewhereIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t)
		s := newSidecar(t, e, nil)
		e.Crash()
		r := modelRequest("r")
		out := &frameRecorder{}
		require.NoError(t, s.Execute(t.Context(), r, out))
		require.Equal(t, v1.Outcome_OUTCOME_NOT_RUN, out.final().GetOutcome())
		r.Attempt, r.Prefill = 2, &v1.PrefillSource{Instance: "p", Address: "127.0.0.1:0"}
		require.NoError(t, s.Execute(t.Context(), r, out))
		require.Equal(t, v1.Outcome_OUTCOME_UNKNOWN, out.final().GetOutcome())
	})
}
