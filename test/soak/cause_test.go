package soak

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/cli"
	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
)

// Guards against failed requests whose cause cannot be found in the logs of the real program. One request
// is refused, the stream of another is interrupted, and a third is slow because its first attempt failed.
func TestCauseFromLogsAlone(t *testing.T) {
	bin, dir := t.TempDir(), t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	d := newDeployment(t, filepath.Join(bin, "quetzallugd"), dir)
	d.waitReady()
	l := newLoadGenerator(t, d.gateways)
	send := func(kind string) string {
		c, err := net.Dial("tcp", d.gateways[0].address)
		require.NoError(t, err)
		defer c.Close()
		l.call(c, bufio.NewReader(c), d.gateways[0].Name, kind)
		return l.results[len(l.results)-1].id
	}
	setFaults := func(f site.Fault) {
		for _, w := range d.workers {
			w.SetFault(func(*http.Request) site.Fault { return f })
		}
	}
	// These requests come first because retries are limited to a share of recent requests.
	for range 30 {
		send("read")
	}

	setFaults(site.FaultRefuse)
	refused := send("once")
	setFaults(site.FaultTruncate)
	broken := send("stream")
	firstAttempt := true
	for _, w := range d.workers {
		w.SetFault(func(*http.Request) site.Fault {
			if !firstAttempt {
				return site.FaultNone
			}
			firstAttempt = false
			time.Sleep(300 * time.Millisecond)
			return site.FaultLoseResponse
		})
	}
	slow := send("read")
	d.stop()

	explain := func(id string) string {
		var stdout, stderr bytes.Buffer
		code := cli.Run(t.Context(), []string{"explain", id, "--logs", filepath.Join(dir, "edge-0.log")}, cli.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
		require.Equal(t, cli.ExitOK, code, stderr.String())
		return stdout.String()
	}
	require.Contains(t, explain(refused), "server_full")
	require.Contains(t, explain(refused), "it did not run")
	require.Contains(t, explain(broken), "stream_broken")
	require.Contains(t, explain(slow), "An attempt at")
	require.Contains(t, explain(slow), "answered by")
}
