package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	quetzallugv1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/peerauth"
	"github.com/quetzallug/quetzallug/internal/rpc"
	_ "github.com/quetzallug/quetzallug/modules/kvhttp"
	"github.com/quetzallug/quetzallug/standin/kv"
)

const example = "../../examples/irrigation/banco.yaml"

type result struct {
	code     int
	out, err string
}

func runTool(t *testing.T, in string, args ...string) result {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(t.Context(), args, Streams{In: strings.NewReader(in), Out: &out, Err: &errs})
	return result{code, out.String(), errs.String()}
}

// startKV serves the stand-in and points the tool to it by the environment.
func startKV(t *testing.T) *kv.Store {
	t.Helper()
	s := kv.NewStore(kv.Limits{})
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	t.Setenv("QUETZALLUG_KV_ADDRESS", srv.URL)
	t.Setenv("QUETZALLUG_AUTHOR", "ada")
	return s
}

// Guards against an editing cycle that loses the base revision, or that stores its comment.
func TestEditingCycle(t *testing.T) {
	startKV(t)
	r := runTool(t, "", "apply", example)
	require.Equal(t, ExitUsage, r.code, r.err)
	r = runTool(t, "", "apply", example, "--base", "0")
	require.Equal(t, ExitOK, r.code, r.err)

	got := runTool(t, "", "get", "banco")
	require.True(t, strings.HasPrefix(got.out, "# quetzallug: service banco revision 1 by \"ada\" at "), got.out)
	edited := strings.Replace(got.out, "queue: 64", "queue: 32", 1)
	r = runTool(t, edited, "diff", "-")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Contains(t, r.out, "-  queue: 64\n+  queue: 32\n")
	require.NotContains(t, r.out, "# quetzallug: service")
	r = runTool(t, edited, "apply", "-", "-o", "json")
	require.Equal(t, ExitOK, r.code, r.err)
	var v recordView
	require.NoError(t, json.Unmarshal([]byte(r.out), &v))
	require.EqualValues(t, 2, v.Revision)
	require.NotContains(t, v.Document, "# quetzallug: service")

	late := strings.Replace(got.out, "queue: 64", "queue: 16", 1)
	r = runTool(t, late, "apply", "-")
	require.Equal(t, ExitConflict, r.code)
	require.Contains(t, r.out, "-  queue: 32\n+  queue: 16\n")
	require.Contains(t, r.err, `service "banco" is at revision 2 by "ada"`)

	r = runTool(t, "", "history", "banco")
	require.Equal(t, 3, strings.Count(r.out, "\n"), r.out)
	r = runTool(t, "", "get", "banco", "--revision", "1")
	require.Equal(t, got.out, r.out)
}

// Guards against a deletion without a base, and against a deleted service that looks present.
func TestDelete(t *testing.T) {
	startKV(t)
	require.Equal(t, ExitOK, runTool(t, "", "apply", example, "--base", "0").code)
	require.Equal(t, ExitUsage, runTool(t, "", "apply", "--delete", "banco").code)
	require.Equal(t, ExitConflict, runTool(t, "", "apply", "--delete", "banco", "--base", "7").code)
	require.Equal(t, ExitOK, runTool(t, "", "apply", "--delete", "banco", "--base", "1").code)
	r := runTool(t, "", "get", "banco")
	require.Equal(t, ExitOK, r.code)
	require.Empty(t, r.out)
	require.Contains(t, r.err, "deleted since revision 2")
	require.Equal(t, ExitUnexpected, runTool(t, "", "get", "nothing").code)
}

// Guards against exit codes other than the documented ones when the key-value service fails.
func TestKeyValueServiceFaults(t *testing.T) {
	s := startKV(t)
	s.Faults().Set(kv.FaultState{LoseAnswers: 1})
	r := runTool(t, "", "apply", example, "--base", "0")
	require.Equal(t, ExitOK, r.code, "a lost response is read back: %s", r.err)
	s.Faults().Set(kv.FaultState{Down: true})
	r = runTool(t, "", "apply", example, "--base", "1")
	require.Equal(t, ExitUnavailable, r.code)
	require.Contains(t, r.err, "Nothing was changed")
	require.Equal(t, ExitUnavailable, runTool(t, "", "get", "banco").code)
	t.Setenv("QUETZALLUG_KV_ADDRESS", "http://127.0.0.1:1")
	require.Equal(t, ExitUnavailable, runTool(t, "", "history", "banco").code)
	t.Setenv("QUETZALLUG_KV_ADDRESS", "")
	require.Equal(t, ExitUsage, runTool(t, "", "history", "banco").code)
}

// Guards against faults that are not on the standard error, or data that is not on the
// standard output.
func TestValidate(t *testing.T) {
	require.Equal(t, ExitOK, runTool(t, "", "validate", example).code)
	name := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(name, []byte("service: a\ncolour: red\n"), 0o600))
	r := runTool(t, "", "validate", example, name, "-o", "json")
	require.Equal(t, ExitInvalid, r.code)
	require.Contains(t, r.err, name+`:2:1: colour: found unknown field "colour"; allowed service,`)
	var v []validation
	require.NoError(t, json.Unmarshal([]byte(r.out), &v))
	require.True(t, v[0].Valid)
	require.False(t, v[1].Valid)
	require.Equal(t, "colour", v[1].Errors[len(v[1].Errors)-1].Field)
}

// Guards against wrong usage that is reported as another kind of failure.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{"frobnicate"},
		{"validate"},
		{"apply"},
		{"apply", "x", "--base", "-1"},
		{"version", "-o", "xml"},
		{"status"},
		{"status", "--timeout", "0s"},
		{"validate", "/nonexistent"},
		{"drain", "x", "--undo", "--wait"},
	} {
		require.Equal(t, ExitUsage, runTool(t, "", args...).code, args)
	}
	r := runTool(t, "", "--help")
	require.Equal(t, ExitOK, r.code)
	require.Contains(t, r.out, "6  outcome unknown")
	require.Equal(t, ExitOK, runTool(t, "", "version", "-o", "yaml").code)
	require.Equal(t, ExitOK, runTool(t, "", "completion", "bash").code)
}

// peerServer is an entry and the sidecar of its worker.
type peerServer struct {
	quetzallugv1connect.UnimplementedPeerServiceHandler
	quetzallugv1connect.UnimplementedWorkerServiceHandler
	address  string
	ageMS    uint32
	inFlight uint32
	hang     bool
}

func startPeer(t *testing.T, p *peerServer) *peerServer {
	t.Helper()
	mux := http.NewServeMux()
	log := logrus.New()
	log.SetOutput(io.Discard)
	auth := connect.WithInterceptors(peerauth.NewInterceptor(peerauth.Credentials{Cluster: defaultCluster, Key: "secret"}, log))
	mux.Handle(quetzallugv1connect.NewPeerServiceHandler(p, auth))
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(p, auth))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := rpc.NewServer(mux)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	p.address = l.Addr().String()
	return p
}

func (p *peerServer) Status(context.Context, *connect.Request[quetzallugv1.StatusRequest]) (*connect.Response[quetzallugv1.StatusResponse], error) {
	return connect.NewResponse(&quetzallugv1.StatusResponse{
		Instance: "entry-1", DataCentre: "palermo", Confirmed: true, PoolsHeld: []string{"oracolo/palermo"},
		Documents: []*quetzallugv1.DocumentStatus{{Service: "oracolo", Revision: 7, InForceSinceUnixMs: 1000}},
		Workers: []*quetzallugv1.WorkerStatus{{
			Instance: "oracolo-1", Address: p.address, Service: "oracolo", DataCentre: "palermo", State: "live",
			Load: &quetzallugv1.LoadReport{Role: "mixed", AgeMs: p.ageMS, Models: []string{"oracolo"}},
		}},
	}), nil
}

func (p *peerServer) Explain(_ context.Context, r *connect.Request[quetzallugv1.ExplainRequest]) (*connect.Response[quetzallugv1.ExplainResponse], error) {
	out := &quetzallugv1.ExplainResponse{}
	if r.Msg.GetSubject() == "r1" {
		out.Decisions = []*quetzallugv1.Decision{{AtUnixMs: int64(p.ageMS), Subject: "r1", Choice: "oracolo-1", Reason: "prefix", Candidates: []string{"oracolo-1"}}}
	}
	return connect.NewResponse(out), nil
}

func (p *peerServer) Drain(ctx context.Context, r *connect.Request[quetzallugv1.DrainRequest]) (*connect.Response[quetzallugv1.DrainResponse], error) {
	if p.hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n := p.inFlight
	p.inFlight = 0
	return connect.NewResponse(&quetzallugv1.DrainResponse{Draining: !r.Msg.GetUndo(), InFlight: n}), nil
}

// Guards against a tool that depends on a single entry, and against a stale view of workers.
func TestPeers(t *testing.T) {
	young, old := startPeer(t, &peerServer{ageMS: 5}), startPeer(t, &peerServer{ageMS: 900})
	t.Setenv("QUETZALLUG_KEY", "secret")
	t.Setenv("QUETZALLUG_ENTRY", old.address+","+young.address+" 127.0.0.1:1")
	r := runTool(t, "", "status")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Contains(t, r.out, "oracolo/palermo  oracolo  7         false    1970-01-01T00:00:01Z")
	require.Contains(t, r.err, "entry 127.0.0.1:1: ")

	r = runTool(t, "", "engines", "-o", "json")
	var engines []engineView
	require.NoError(t, json.Unmarshal([]byte(r.out), &engines))
	require.Len(t, engines, 1)
	require.EqualValues(t, 5, engines[0].ReportAgeMS)

	r = runTool(t, "", "explain", "r1")
	require.Less(t, strings.Index(r.out, young.address), strings.Index(r.out, old.address), "in order of time")
	require.Equal(t, ExitUnexpected, runTool(t, "", "explain", "r2").code)

	young.inFlight, old.inFlight = 2, 2
	r = runTool(t, "", "drain", "oracolo-1", "--wait")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Contains(t, r.err, "oracolo-1: 2 requests in flight")
	require.Contains(t, r.out, "true      0")
	require.Equal(t, ExitUnexpected, runTool(t, "", "drain", "oracolo-2").code)
}

// Guards against "nothing was changed" for a drain that may have started.
func TestPeerFailures(t *testing.T) {
	p := startPeer(t, &peerServer{hang: true})
	t.Setenv("QUETZALLUG_ENTRY", p.address)
	r := runTool(t, "", "status", "--key", "k3y-value")
	require.Equal(t, ExitUnexpected, r.code)
	require.NotContains(t, r.err, "k3y-value")
	t.Setenv("QUETZALLUG_KEY", "secret")
	require.Equal(t, ExitUnknown, runTool(t, "", "drain", "oracolo-1", "--timeout", "1s").code)
	t.Setenv("QUETZALLUG_ENTRY", "127.0.0.1:1")
	require.Equal(t, ExitUnavailable, runTool(t, "", "status").code)
}
