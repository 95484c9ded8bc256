package sidecar_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/telemetry"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/enginehttp"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/sidecar"
)

const (
	relayModel  = "halte-verdict"
	relayTokens = 2000
)

// frameCounter counts the frames of an attempt and records the outcome of the last one.
type frameCounter struct {
	frames  int
	outcome v1.Outcome
}

func (s *frameCounter) Send(f *v1.Frame) error {
	s.frames++
	s.outcome = f.GetFinal().GetOutcome()
	return nil
}

// serveTokens handles an engine's HTTP requests and writes all events of an answer at once.
func serveTokens(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == enginewire.PathState {
		_, _ = io.WriteString(w, `{"config":{"role":"mixed","models":[{"name":"halte-verdict"}]}}`)
		return
	}
	if r.URL.Path == enginewire.PathLoad {
		_, _ = io.WriteString(w, `{}`)
		return
	}
	var answer []byte
	for i := range relayTokens {
		c := external.TokenChunk{Offset: i, Tokens: 1, Text: "token "}
		if i == relayTokens-1 {
			c.FinishReason = "length"
		}
		answer = enginewire.AppendEvent(answer, &c)
	}
	_, _ = w.Write(answer)
}

// BenchmarkRelay measures the sidecar's part in streaming an answer: it reads the engine's events over
// HTTP and passes frames to the RPC layer.
func BenchmarkRelay(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m, err := telemetry.New()
	require.NoError(b, err)
	server := httptest.NewServer(http.HandlerFunc(serveTokens))
	defer server.Close()
	engine, err := kernel.Load[external.Engine](b.Context(), enginehttp.ID, kernel.Settings{"address": server.URL})
	require.NoError(b, err)
	sc, err := sidecar.New(sidecar.Config{
		Cluster: "bench", Instance: "w0", Service: "s", Incarnation: "1", MaxInFlight: 256, Attempts: once.DefaultAttemptTableSettings(),
	}, engine, nil, stubDocuments{}, m, log)
	require.NoError(b, err)
	require.NoError(b, sc.RefreshState(b.Context()))
	frames := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for b.Loop() {
		out := &frameCounter{}
		require.NoError(b, sc.Execute(context.Background(), &v1.ExecuteRequest{
			Cluster: "bench", RequestId: "r", Attempt: uint32(frames + 1), Service: "s", RemainingMs: 60_000, Repeatable: true,
			Request: &v1.ExecuteRequest_Model{Model: &v1.ModelRequest{Model: relayModel, Prompt: "p", MaxTokens: relayTokens}},
		}, out))
		if out.outcome != v1.Outcome_OUTCOME_COMPLETE {
			b.Fatalf("outcome %s", out.outcome)
		}
		frames += relayTokens
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(frames), "allocs/frame")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(frames), "B/frame")
}
