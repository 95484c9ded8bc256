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

// Guards against failed requests whose cause can't be found from the logs of the real program: one is
// refused, one breaks off in its stream, and one is late because its first backend server failed.
func TestCauseFromLogsAlone(t *testing.T) {
	bin, dir := t.TempDir(), t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	d := newDeployment(t, filepath.Join(bin, "quetzallugd"), dir)
	d.waitReady()
	l := newLoad(d)
	ask := func(kind string) string {
		c, err := net.Dial("tcp", d.gateways[0].address)
		require.NoError(t, err)
		defer c.Close()
		l.call(c, bufio.NewReader(c), kind)
		return l.results[len(l.results)-1].id
	}
	fault := func(f site.Fault) {
		for _, w := range d.workers {
			w.SetFault(func(*http.Request) site.Fault { return f })
		}
	}
	// The retry budget is a share of earlier requests.
	for range 30 {
		ask("read")
	}

	fault(site.FaultShed)
	refused := ask("once")
	fault(site.FaultTruncate)
	broken := ask("stream")
	first := true
	for _, w := range d.workers {
		w.SetFault(func(*http.Request) site.Fault {
			if !first {
				return site.FaultNone
			}
			first = false
			time.Sleep(300 * time.Millisecond)
			return site.FaultLost
		})
	}
	late := ask("read")
	d.stop()

	explain := func(id string) string {
		var out, errs bytes.Buffer
		code := cli.Run(t.Context(), []string{"explain", id, "--logs", filepath.Join(dir, "edge-0.log")}, cli.Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
		require.Equal(t, cli.ExitOK, code, errs.String())
		return out.String()
	}
	require.Contains(t, explain(refused), "server_full")
	require.Contains(t, explain(refused), "it did not run")
	require.Contains(t, explain(broken), "stream_broken")
	require.Contains(t, explain(late), "An attempt at")
	require.Contains(t, explain(late), "answered by")
}
