package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/entry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/peerauth"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/telemetry"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/retry"
	"github.com/quetzallug/quetzallug/sidecar"
)

const (
	benchService = "halte-llm"
	benchModel   = "halte-verdict"
	// relayTokens is large enough that the allocations per request are negligible in the figure per
	// frame.
	relayTokens = 2000
)

// tokenEngine generates one token per chunk, without delay.
type tokenEngine struct{ external.Engine }

func (tokenEngine) State(context.Context) (external.EngineState, error) {
	return external.EngineState{Config: external.EngineConfig{
		Role: external.EngineRoleMixed, Models: []external.ModelVersion{{Name: benchModel}},
	}}, nil
}

func (tokenEngine) Generate(_ context.Context, r *external.GenerateRequest) (external.TokenStream, error) {
	return &tokenStream{max: r.MaxTokens}, nil
}

func (tokenEngine) Load(context.Context) (external.EngineLoad, error) {
	return external.EngineLoad{}, nil
}

type tokenStream struct{ next, max int }

func (s *tokenStream) Next() (external.TokenChunk, error) {
	c := external.TokenChunk{Offset: s.next, Tokens: 1, Text: "token "}
	if s.next++; s.next == s.max {
		c.FinishReason = "length"
	}
	return c, nil
}

func (*tokenStream) Close() error { return nil }

// fixedDocument implements entry.Documents and sidecar.Documents with a single document.
type fixedDocument struct{ service *document.Service }

func (d fixedDocument) Lookup(string) (*document.Service, uint64) { return d.service, 1 }
func (d fixedDocument) Services() []*document.Service             { return []*document.Service{d.service} }
func (fixedDocument) Observe(string, uint64)                      {}
func (fixedDocument) Revision(string) uint64                      { return 1 }

// fixedPicker always picks the same worker.
type fixedPicker struct{ address string }

func (p fixedPicker) Pick(entry.PickRequest) (entry.Worker, string, error) {
	return entry.Worker{Instance: "w0", Address: p.address}, "one worker", nil
}
func (fixedPicker) Sent(entry.Worker, entry.PickRequest)               {}
func (fixedPicker) Done(entry.Worker, entry.PickRequest, entry.Result) {}

// countingResponse is a response writer that counts writes and discards the data.
type countingResponse struct {
	header http.Header
	writes int
	status int
}

func (d *countingResponse) Header() http.Header  { return d.header }
func (d *countingResponse) WriteHeader(code int) { d.status = code }
func (d *countingResponse) Flush()               {}

// SetWriteDeadline does nothing. It exists because the response writers of the HTTP server support
// write deadlines, so the code path is the same.
func (d *countingResponse) SetWriteDeadline(time.Time) error { return nil }

func (d *countingResponse) Write(b []byte) (int, error) {
	d.writes++
	return len(b), nil
}

// serveWorker starts a sidecar with a tokenEngine and returns its address.
func serveWorker(b *testing.B, docs fixedDocument, m *telemetry.Metrics, log logrus.FieldLogger) string {
	sc, err := sidecar.New(sidecar.Config{
		Cluster: "bench", Instance: "w0", Service: benchService, Incarnation: "1", MaxInFlight: 256, Attempts: once.DefaultAttemptTableSettings(),
	}, tokenEngine{}, nil, docs, m, log)
	require.NoError(b, err)
	require.NoError(b, sc.RefreshState(b.Context()))
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(sidecar.NewService(sc, nil, "", log), rpc.WorkerOptions(benchAuth(log))...))
	srv := rpc.NewServer(mux)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// BenchmarkRelay measures the cost per frame of a streamed answer through an entry and a sidecar, which
// run in the same process and are connected by HTTP/2. The target of the metric allocs/frame is less
// than 10 for both together.
func BenchmarkRelay(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m, err := telemetry.New()
	require.NoError(b, err)
	docs := fixedDocument{&document.Service{
		Service: benchService, Type: document.TypeModel, Models: []document.Model{{Name: benchModel}},
		Kinds: []document.Kind{{
			Name: "chat", Rank: 1, Repeatable: true,
			Deadlines: document.Deadlines{Total: document.Duration(time.Minute)},
		}},
	}}
	address := serveWorker(b, docs, m, log)
	clients := rpc.NewClients(rpc.ClientConfig{Interceptors: []connect.Interceptor{benchAuth(log)}})
	defer clients.Close()
	h := entry.New(entry.Config{Cluster: "bench", Instance: "e0", MaxBodyBytes: 1 << 20, WriteTimeout: time.Minute}, entry.Options{
		Documents: docs, Picker: fixedPicker{address}, Clients: clients, Admitter: admitAll{},
		Budget: retry.NewBudget(retry.Config{}), Metrics: m, Log: log, Decisions: entry.NewDecisionLog(16),
	}).Handler()
	frames := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for b.Loop() {
		w := &countingResponse{header: http.Header{}, status: http.StatusOK}
		h.ServeHTTP(w, relayRequest(b))
		if w.status != http.StatusOK || w.writes < relayTokens {
			b.Fatalf("status %d, %d writes", w.status, w.writes)
		}
		frames += relayTokens
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(frames), "allocs/frame")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(frames), "B/frame")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(frames), "ns/frame")
}

func benchAuth(log logrus.FieldLogger) connect.Interceptor {
	return peerauth.NewInterceptor(peerauth.Credentials{Cluster: "bench", Key: "k"}, log)
}

// relayRequest returns a streaming request for relayTokens tokens of benchModel.
func relayRequest(b *testing.B) *http.Request {
	body := `{"model":"halte-verdict","prompt":"when does the next bus come","max_tokens":2000,"stream":true}`
	r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "/v1/completions", strings.NewReader(body))
	require.NoError(b, err)
	r.RemoteAddr = "127.0.0.1:1"
	return r
}
