package soak

import (
	"io"
	"maps"
	"math"
	"net/http"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	// usageWindow and usageLate are shorter than those of real deployments, so that a test has several windows. usageLate
	// allows the takeover of a killed holder.
	usageWindow = time.Second
	usageLate   = 10 * time.Second
	usageTTL    = 2500 * time.Millisecond
)

// tenants are the client accounts of deployments with duties.
var tenants = []map[string]any{
	{"name": "huka", "api-keys": []string{"key-huka"}}, {"name": "puhu", "api-keys": []string{"key-puhu"}},
}

// keyOf returns the API key with which a request is sent.
func keyOf(id string) string {
	if id[len(id)-1]%3 == 0 {
		return "key-puhu"
	}
	return "key-huka"
}

// addDuties adds the part of the platform that takes usage reports. It must be called before gateways are added.
func (d *deployment) addDuties() {
	d.duties = site.NewDuties(50)
	d.usage = d.duties.HandleUsage(usageWindow)
	d.dutiesForwarder = d.startForwarder(d.serve(d.duties))
}

func (d *deployment) usageFlags(peer string) []string {
	return []string{
		"--duty-address", d.dutiesForwarder.Address(), "--duties=usage_report,", "--peer-listen", peer, "--lease-ttl", usageTTL.String(),
		"--usage-window", usageWindow.String(), "--usage-late", usageLate.String(),
	}
}

// checkWindows compares the reports of windows with the runs of the workers. It returns the windows that were not
// reported in time, and those with wrong counts.
func (d *deployment) checkWindows(first, last int64) (missed, wrong []int64) {
	runs := map[int64]map[string]int64{}
	for _, w := range d.workers {
		for _, r := range w.Runs() {
			if r.Prefill || r.Account == "" || r.Began.IsZero() {
				continue
			}
			window := r.Began.UnixNano() / int64(usageWindow)
			if runs[window] == nil {
				runs[window] = map[string]int64{}
			}
			runs[window][r.Account]++
		}
	}
	reports := map[int64]site.UsageReport{}
	for _, r := range d.usage.Reports() {
		reports[r.Window] = r
	}
	for w := first; w <= last; w++ {
		r, ok := reports[w]
		if !ok || d.usage.Lag(r) > usageLate {
			missed = append(missed, w)
			continue
		}
		for account := range maps.Keys(runs[w]) {
			// A run at the edge of a window may count in the next one; the windows are short.
			if want := float64(runs[w][account]); math.Abs(want-float64(r.Counts[account])) > max(10, 0.05*want) {
				wrong = append(wrong, w)
				d.t.Logf("window %d: account %s has %v runs, reported %d", w, account, want, r.Counts[account])
				break
			}
		}
	}
	return missed, wrong
}

// waitForWindows waits until windows are reported, or the last one is overdue.
func (d *deployment) waitForWindows(first, last int64) {
	due := time.Unix(0, (last+1)*int64(usageWindow)).Add(usageLate)
	for ; time.Now().Before(due); time.Sleep(50 * time.Millisecond) {
		reported := map[int64]bool{}
		for _, r := range d.usage.Reports() {
			reported[r.Window] = true
		}
		missing := false
		for w := first; w <= last; w++ {
			missing = missing || !reported[w]
		}
		if !missing {
			return
		}
	}
}

func currentWindow() int64 { return time.Now().UnixNano() / int64(usageWindow) }

// Guards against usage windows that the real program does not report, or reports with wrong counts, and against windows
// that are lost when the holder is killed. Its successor reports them.
func TestUsageWindowsOfTheRealProgram(t *testing.T) {
	bin, dir := t.TempDir(), t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	d := newDeployment(t, filepath.Join(bin, "quetzallugd"), dir)
	defer d.stop()
	d.waitReady()
	load := newLoadGenerator(t, d.gateways)
	load.start(callerCount)
	time.Sleep(usageWindow)
	first := currentWindow()
	time.Sleep(8 * usageWindow)
	last := currentWindow() - 3
	d.waitForWindows(first, last)
	missed, wrong := d.checkWindows(first, last)
	require.Empty(t, missed, "missed windows")
	require.Empty(t, wrong, "wrong windows")

	g := d.holder()
	resp, err := http.Get("http://" + g.readyAddress + "/metrics")
	require.NoError(t, err)
	metrics, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	require.NoError(t, err)
	require.Regexp(t, `usage_reports_total\{.*outcome="reported"`, string(metrics))
	require.Contains(t, string(metrics), "usage_lag_seconds_bucket{")
	g.Kill()
	require.NoError(t, g.Restart())
	killed := currentWindow()
	time.Sleep(usageLate + 2*usageWindow)
	load.stop(d.runs)
	// The counts since the last messages of the killed instance are lost, so the windows about the kill may be wrong.
	d.waitForWindows(last+1, killed)
	missed, _ = d.checkWindows(last+1, killed)
	require.Empty(t, missed, "windows missed after the holder was killed")
	d.waitForWindows(killed+2, killed+7)
	missed, wrong = d.checkWindows(killed+2, killed+7)
	require.Empty(t, missed, "windows missed under the next holder")
	require.Empty(t, wrong, "wrong windows under the next holder")
	require.Empty(t, d.duties.Violations())
	for _, f := range load.failures() {
		t.Errorf("%s", f)
	}
}

// holder returns the gateway that sent the last report.
func (d *deployment) holder() *gatewayProcess {
	reports := d.usage.Reports()
	for _, g := range d.gateways {
		if g.Name == reports[len(reports)-1].Holder {
			return g
		}
	}
	return nil
}

// lastCall returns the last call to the platform.
func (d *deployment) lastCall() site.DutyCall {
	calls := d.duties.Calls()
	return calls[len(calls)-1]
}

// Guards against runs that are not counted, and windows that are missed, because the holder and then another gateway are
// stopped as planned and started again.
func TestUsageWindowsInPlannedStops(t *testing.T) {
	testPlannedStops(t, func(g, former *gatewayProcess, holder string) bool { return g != former && g.Name != holder })
}

// Guards against counts that are lost because the holder, and then the next one after its first report, are stopped as
// planned and started again.
func TestUsageWindowsInPlannedStopsOfTwoHolders(t *testing.T) {
	testPlannedStops(t, func(g, _ *gatewayProcess, holder string) bool { return g.Name == holder })
}

// testPlannedStops stops the holder as planned and, after the first report of the next holder, the gateway that isNext
// selects.
func testPlannedStops(t *testing.T, isNext func(g, former *gatewayProcess, holder string) bool) {
	bin, dir := t.TempDir(), t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	d := newDeployment(t, filepath.Join(bin, "quetzallugd"), dir)
	defer d.stop()
	d.waitReady()
	load := newLoadGenerator(t, d.gateways)
	load.start(callerCount)
	require.Eventually(t, func() bool { return len(d.usage.Reports()) > 3 }, 3*usageLate, 50*time.Millisecond)
	first := currentWindow() - 1
	former := d.holder()
	stop := func(g *gatewayProcess) {
		require.NoError(t, g.Stop(stopTimeout))
		require.NoError(t, g.Restart())
	}
	fence := d.lastCall().Fence
	stop(former)
	// The next holder, which may be the same gateway after its restart, reports after its guard time.
	require.Eventually(t, func() bool { return d.lastCall().Fence > fence }, usageLate, 50*time.Millisecond)
	holder := d.lastCall().Holder
	i := slices.IndexFunc(d.gateways, func(g *gatewayProcess) bool { return isNext(g, former, holder) })
	stop(d.gateways[i])
	last := currentWindow() - 1
	time.Sleep(usageLate)
	load.stop(d.runs)
	missed, wrong := d.checkWindows(first, last)
	require.Empty(t, missed, "missed windows")
	require.Empty(t, wrong, "wrong windows")
	require.Empty(t, d.duties.Violations())
}
