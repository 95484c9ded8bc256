package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const gatewayLog = `
  5.1 edge-1 {"cause":"overload","elapsed_ms":0,"expected_ms":189,"instance":"edge-1","msg":"request","outcome":"refused","reader":"i-p","request":"r1","server":"i-d","service":"llm","time":"2026-07-28T04:40:45.168Z","unread":15173}
no json about r2
{"attempt":1,"cause":"server_full","instance":"edge-2","msg":"attempt","request":"r2","result":"not_run","server":"i-d","service":"llm","time":"2026-07-28T04:40:46.100Z","took_ms":3}
{"elapsed_ms":1079,"expected_ms":59,"first_ms":1070,"instance":"edge-2","msg":"request","outcome":"answered","request":"r2","server":"i-e","service":"llm","time":"2026-07-28T04:40:47.000Z"}
{"instance":"edge-2","msg":"request","outcome":"answered","request":"r22","time":"2026-07-28T04:40:47.000Z"}
{"cause":"stream_broken: EOF","elapsed_ms":90,"events":3,"instance":"edge-1","msg":"request","outcome":"broken","request":"r3","runs":1,"server":"i-d","time":"2026-07-28T04:40:48.000Z"}
`

// Guards against a summary that does not show the outcome and the cause of a request. The log has lines that are
// not JSON, a line with a prefix, and a request ID that contains another one.
func TestExplainLogs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(file, []byte(gatewayLog), 0o600))
	for id, want := range map[string]string{
		"r1": "r1 refused after 0 ms because of overload: it did not run. Its first part was expected after 189 ms, with 15173 prompt tokens to read at i-p i-d.",
		"r2": "An attempt at i-d of service llm ended after 3 ms as not_run (server_full). r2 answered by i-e: the first part after 1070 ms (expected 59 ms), the whole after 1079 ms.",
		"r3": "r3 ended as broken after 90 ms and 3 events (stream_broken: EOF); it may have run on 1 backend servers.",
	} {
		r := runCLI(t, "", "explain", id, "--logs", file)
		require.Equal(t, ExitOK, r.code, r.err)
		require.Contains(t, r.out, want)
	}
	r := runCLI(t, gatewayLog, "explain", "r2", "--logs", "-", "-o", "json")
	require.Equal(t, ExitOK, r.code, r.err)
	require.NotContains(t, r.out, "r22")
	require.Contains(t, r.out, `"took_ms": 3`)

	require.Equal(t, ExitUnexpected, runCLI(t, "", "explain", "r9", "--logs", file).code)
	require.Equal(t, ExitUnexpected, runCLI(t, "", "explain", "r1", "--logs", file+"x").code)
}
