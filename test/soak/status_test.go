package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/cli"
	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
	"github.com/quetzallug/quetzallug/usage"
)

// Guards against running gateways whose state operators cannot see: it checks the status and workers
// commands of the command line tool, and each metric that docs/OPERATIONS.md names.
func TestStatusAndMetricsOfTheRealProgram(t *testing.T) {
	bin, dir := t.TempDir(), t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	d := newDeployment(t, filepath.Join(bin, "quetzallugd"), dir)
	defer d.stop()
	d.waitReady()
	// A window that ends within 0.5 s after the first answer of the store may be withheld.
	time.Sleep(usageWindow)
	l := newLoadGenerator(t, d.gateways)
	send := func(kind string) {
		c, err := net.Dial("tcp", d.gateways[0].address)
		require.NoError(t, err)
		defer c.Close()
		l.call(c, bufio.NewReader(c), d.gateways[0].Name, kind)
	}
	for range 20 {
		for _, kind := range []string{"read", "once", "stream", "resume"} {
			send(kind)
		}
	}
	for _, w := range d.workers[:plainWorkerCount] {
		w.SetFault(func(*http.Request) site.Fault { return site.FaultRefuse })
	}
	send("once")
	window := currentWindow()
	c, err := net.Dial("tcp", d.gateways[0].address)
	require.NoError(t, err)
	_, err = io.WriteString(c, "no request\r\n\r\n")
	require.NoError(t, err)
	_, _ = io.ReadAll(c)

	runCLI := func(args ...string) string {
		var stdout, stderr bytes.Buffer
		code := cli.Run(t.Context(), append(args, "-o", "json", "--gateway", d.gateways[0].readyAddress, "--gateway", d.gateways[1].readyAddress),
			cli.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
		require.Equal(t, cli.ExitOK, code, stderr.String())
		return stdout.String()
	}
	var status []struct {
		Instance string `json:"instance"`
		Ready    bool   `json:"ready"`
		Config   uint64 `json:"config"`
		Servers  int    `json:"servers"`
		Usage    *struct {
			Holder  string               `json:"holder"`
			Holding bool                 `json:"holding"`
			Fence   uint64               `json:"fence"`
			Recent  []usage.WindowStatus `json:"recent"`
		} `json:"usage"`
	}
	d.waitForWindows(window, window)
	missed, wrong := d.checkWindows(window, window)
	require.Empty(t, missed, "missed windows")
	require.Empty(t, wrong, "wrong windows")
	// The holder has the platform's answer by then.
	time.Sleep(usageWindow)
	require.NoError(t, json.Unmarshal([]byte(runCLI("status")), &status))
	require.Len(t, status, 2)
	require.Equal(t, "edge-0", status[0].Instance)
	require.True(t, status[0].Ready)
	require.EqualValues(t, 1, status[0].Config)
	require.Equal(t, plainWorkerCount+engineCount, status[0].Servers)
	for _, s := range status {
		require.NotNil(t, s.Usage)
		require.Contains(t, s.Usage.Holder, "edge-")
		if s.Usage.Holding {
			require.NotZero(t, s.Usage.Fence)
			recent := s.Usage.Recent
			called := slices.IndexFunc(recent, func(w usage.WindowStatus) bool { return w.Window == window })
			require.GreaterOrEqual(t, called, 0, "%v", recent)
			for _, w := range recent[called:] {
				require.Equal(t, usage.OutcomeReported, w.Outcome, "%v", recent)
			}
		}
	}
	var workers []gateway.ServerStatus
	require.NoError(t, json.Unmarshal([]byte(runCLI("workers")), &workers))
	require.Len(t, workers, plainWorkerCount+engineCount)

	resp, err := http.Get("http://" + d.gateways[0].readyAddress + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for _, name := range []string{
		`requests_total{kind="once",`, `outcome="refused"`, `refusals_total{`, `reason="server_full,no_server"`, `request_duration_seconds_bucket{kind="stream"`,
		`first_event_seconds_bucket{kind="stream"`, `pause_seconds_bucket{`, `attempts_total{`, `prompt_tokens_total{`, `source="kept"`, `source="read"`,
		`store_calls_total{operation="list"`, `store_calls_total{operation="watch"`, `unread_requests_total`, `ready{`, `config_version{`, `store_age{`,
		`orders_held{`, `log_lines_left_out{`, `servers{`, `usable_servers{`, `in_flight{`, `unread_tokens{`, `retry_budget_left{`, `connections{`, `load_age{`,
		`peer_bytes_in_total`, `peer_bytes_out_total`,
	} {
		require.Contains(t, string(b), name)
	}
}
