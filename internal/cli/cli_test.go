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

const exampleDocument = "../../examples/irrigation/banco.yaml"

type cliResult struct {
	code     int
	out, err string
}

func runCLI(t *testing.T, in string, args ...string) cliResult {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(t.Context(), args, Streams{In: strings.NewReader(in), Out: &out, Err: &errs})
	return cliResult{code, out.String(), errs.String()}
}

// startKV serves the key-value stand-in and sets the environment variables that point the tool to it.
func startKV(t *testing.T) *kv.Store {
	t.Helper()
	s := kv.NewStore(kv.Limits{})
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	t.Setenv("QUETZALLUG_KV_ADDRESS", srv.URL)
	t.Setenv("QUETZALLUG_AUTHOR", "ada")
	return s
}

// Guards against losing the base revision between get and apply, and against storing the revision comment in the
// document.
func TestEditingCycle(t *testing.T) {
	startKV(t)
	r := runCLI(t, "", "apply", exampleDocument)
	require.Equal(t, ExitUsage, r.code, r.err)
	r = runCLI(t, "", "apply", exampleDocument, "--base", "0")
	require.Equal(t, ExitOK, r.code, r.err)

	got := runCLI(t, "", "get", "banco")
	require.True(t, strings.HasPrefix(got.out, "# quetzallug: service banco revision 1 by \"ada\" at "), got.out)
	edited := strings.Replace(got.out, "queue: 64", "queue: 32", 1)
	r = runCLI(t, edited, "diff", "-")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Contains(t, r.out, "-  queue: 64\n+  queue: 32\n")
	require.NotContains(t, r.out, "# quetzallug: service")
	r = runCLI(t, edited, "apply", "-", "-o", "json")
	require.Equal(t, ExitOK, r.code, r.err)
	var v recordView
	require.NoError(t, json.Unmarshal([]byte(r.out), &v))
	require.EqualValues(t, 2, v.Revision)
	require.NotContains(t, v.Document, "# quetzallug: service")

	conflicting := strings.Replace(got.out, "queue: 64", "queue: 16", 1)
	r = runCLI(t, conflicting, "apply", "-")
	require.Equal(t, ExitConflict, r.code)
	require.Contains(t, r.out, "-  queue: 32\n+  queue: 16\n")
	require.Contains(t, r.err, `service "banco" is at revision 2 by "ada"`)

	r = runCLI(t, "", "history", "banco")
	require.Equal(t, 3, strings.Count(r.out, "\n"), r.out)
	r = runCLI(t, "", "get", "banco", "--revision", "1")
	require.Equal(t, got.out, r.out)
}

// Guards against a deletion without a base revision, and against showing a deleted service as present.
func TestDelete(t *testing.T) {
	startKV(t)
	require.Equal(t, ExitOK, runCLI(t, "", "apply", exampleDocument, "--base", "0").code)
	require.Equal(t, ExitUsage, runCLI(t, "", "apply", "--delete", "banco").code)
	require.Equal(t, ExitConflict, runCLI(t, "", "apply", "--delete", "banco", "--base", "7").code)
	require.Equal(t, ExitOK, runCLI(t, "", "apply", "--delete", "banco", "--base", "1").code)
	r := runCLI(t, "", "get", "banco")
	require.Equal(t, ExitOK, r.code)
	require.Empty(t, r.out)
	require.Contains(t, r.err, "deleted since revision 2")
	require.Equal(t, ExitUnexpected, runCLI(t, "", "get", "nothing").code)
}

// Guards against undocumented exit codes when the key-value service fails or is not configured.
func TestKeyValueServiceFaults(t *testing.T) {
	s := startKV(t)
	s.Faults().Set(kv.FaultState{LoseAnswers: 1})
	r := runCLI(t, "", "apply", exampleDocument, "--base", "0")
	require.Equal(t, ExitOK, r.code, "the tool must recover from a lost response: %s", r.err)
	s.Faults().Set(kv.FaultState{Down: true})
	r = runCLI(t, "", "apply", exampleDocument, "--base", "1")
	require.Equal(t, ExitUnavailable, r.code)
	require.Contains(t, r.err, "Nothing was changed")
	require.Equal(t, ExitUnavailable, runCLI(t, "", "get", "banco").code)
	t.Setenv("QUETZALLUG_KV_ADDRESS", "http://127.0.0.1:1")
	require.Equal(t, ExitUnavailable, runCLI(t, "", "history", "banco").code)
	t.Setenv("QUETZALLUG_KV_ADDRESS", "")
	require.Equal(t, ExitUsage, runCLI(t, "", "history", "banco").code)
}

// Guards against errors that are not on standard error, and against data that is not on standard output.
func TestValidate(t *testing.T) {
	require.Equal(t, ExitOK, runCLI(t, "", "validate", exampleDocument).code)
	name := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(name, []byte("service: a\ncolour: red\n"), 0o600))
	r := runCLI(t, "", "validate", exampleDocument, name, "-o", "json")
	require.Equal(t, ExitInvalid, r.code)
	require.Contains(t, r.err, name+`:2:1: colour: found unknown field "colour"; allowed service,`)
	var v []validationResult
	require.NoError(t, json.Unmarshal([]byte(r.out), &v))
	require.True(t, v[0].Valid)
	require.False(t, v[1].Valid)
	require.Equal(t, "colour", v[1].Errors[len(v[1].Errors)-1].Field)
}

// Guards against usage errors that are reported with another exit code.
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
		require.Equal(t, ExitUsage, runCLI(t, "", args...).code, args)
	}
	r := runCLI(t, "", "--help")
	require.Equal(t, ExitOK, r.code)
	require.Contains(t, r.out, "6  outcome unknown")
	require.Equal(t, ExitOK, runCLI(t, "", "version", "-o", "yaml").code)
	require.Equal(t, ExitOK, runCLI(t, "", "completion", "bash").code)
}

// fakePeer serves an entry and the sidecar of its only backend server. With hangDrain, Drain does not respond.
type fakePeer struct {
	quetzallugv1connect.UnimplementedPeerServiceHandler
	quetzallugv1connect.UnimplementedWorkerServiceHandler
	address     string
	reportAgeMS uint32
	inFlight    uint32
	hangDrain   bool
}

func startPeer(t *testing.T, p *fakePeer) *fakePeer {
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

func (p *fakePeer) Status(context.Context, *connect.Request[quetzallugv1.StatusRequest]) (*connect.Response[quetzallugv1.StatusResponse], error) {
	return connect.NewResponse(&quetzallugv1.StatusResponse{
		Instance: "entry-1", DataCentre: "palermo", Confirmed: true, PoolsHeld: []string{"oracolo/palermo"},
		Documents: []*quetzallugv1.DocumentStatus{{Service: "oracolo", Revision: 7, InForceSinceUnixMs: 1000}},
		Workers: []*quetzallugv1.WorkerStatus{{
			Instance: "oracolo-1", Address: p.address, Service: "oracolo", DataCentre: "palermo", State: "live",
			Load: &quetzallugv1.LoadReport{Role: "mixed", AgeMs: p.reportAgeMS, Models: []string{"oracolo"}},
		}},
	}), nil
}

func (p *fakePeer) Explain(_ context.Context, r *connect.Request[quetzallugv1.ExplainRequest]) (*connect.Response[quetzallugv1.ExplainResponse], error) {
	out := &quetzallugv1.ExplainResponse{}
	if r.Msg.GetSubject() == "r1" {
		out.Decisions = []*quetzallugv1.Decision{{AtUnixMs: int64(p.reportAgeMS), Subject: "r1", Choice: "oracolo-1", Reason: "prefix", Candidates: []string{"oracolo-1"}}}
	}
	return connect.NewResponse(out), nil
}

func (p *fakePeer) Drain(ctx context.Context, r *connect.Request[quetzallugv1.DrainRequest]) (*connect.Response[quetzallugv1.DrainResponse], error) {
	if p.hangDrain {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n := p.inFlight
	p.inFlight = 0
	return connect.NewResponse(&quetzallugv1.DrainResponse{Draining: !r.Msg.GetUndo(), InFlight: n}), nil
}

// Guards against a command that fails because one of several entries is down, and against showing an outdated
// load report of a backend server.
func TestPeers(t *testing.T) {
	recent, stale := startPeer(t, &fakePeer{reportAgeMS: 5}), startPeer(t, &fakePeer{reportAgeMS: 900})
	t.Setenv("QUETZALLUG_KEY", "secret")
	t.Setenv("QUETZALLUG_ENTRY", stale.address+","+recent.address+" 127.0.0.1:1")
	r := runCLI(t, "", "status")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Contains(t, r.out, "oracolo/palermo  oracolo  7         false    1970-01-01T00:00:01Z")
	require.Contains(t, r.err, "entry 127.0.0.1:1: ")

	r = runCLI(t, "", "engines", "-o", "json")
	var engines []engineView
	require.NoError(t, json.Unmarshal([]byte(r.out), &engines))
	require.Len(t, engines, 1)
	require.EqualValues(t, 5, engines[0].ReportAgeMS)

	r = runCLI(t, "", "explain", "r1")
	require.Less(t, strings.Index(r.out, recent.address), strings.Index(r.out, stale.address), "decisions must be in order of time")
	require.Equal(t, ExitUnexpected, runCLI(t, "", "explain", "r2").code)

	recent.inFlight, stale.inFlight = 2, 2
	r = runCLI(t, "", "drain", "oracolo-1", "--wait")
	require.Equal(t, ExitOK, r.code, r.err)
	require.Contains(t, r.err, "oracolo-1: 2 requests in flight")
	require.Contains(t, r.out, "true      0")
	require.Equal(t, ExitUnexpected, runCLI(t, "", "drain", "oracolo-2").code)
}

// Guards against reporting that nothing was changed after a drain that may have taken effect, and against
// printing the shared key in an error message.
func TestPeerFailures(t *testing.T) {
	p := startPeer(t, &fakePeer{hangDrain: true})
	t.Setenv("QUETZALLUG_ENTRY", p.address)
	r := runCLI(t, "", "status", "--key", "k3y-value")
	require.Equal(t, ExitUnexpected, r.code)
	require.NotContains(t, r.err, "k3y-value")
	t.Setenv("QUETZALLUG_KEY", "secret")
	require.Equal(t, ExitOutcomeUnknown, runCLI(t, "", "drain", "oracolo-1", "--timeout", "1s").code)
	t.Setenv("QUETZALLUG_ENTRY", "127.0.0.1:1")
	require.Equal(t, ExitUnavailable, runCLI(t, "", "status").code)
}
