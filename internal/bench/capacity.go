package bench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// Phases of a capacity run.
const (
	PhaseRest    = "rest"
	PhaseLoad    = "load"
	PhaseSingle  = "single change"
	PhaseBurst   = "burst of 20"
	PhaseRestart = "restart of all"
)

const (
	burstChanges = 20
	// settleTime lets the traffic of the start-up end before the idle fleet is measured.
	settleTime = 10 * time.Second
	// maxLoad is the highest load in requests/s, low enough that the cores of the machine are not the
	// bottleneck.
	maxLoad = 300
	// loadPerSidecar is in requests/s.
	loadPerSidecar = 10
	// kvSampleInterval is the time between two reads of the call counts of the key-value service.
	kvSampleInterval = 250 * time.Millisecond
)

// CapacityConfig configures a capacity run.
type CapacityConfig struct {
	Bin, Dir string
	Sizes    []Size
	// Phase is the length of PhaseRest and PhaseLoad, and the least length of PhaseBurst.
	// PhaseRestart lasts this long after the document is in force again; PhaseSingle ignores it.
	Phase time.Duration
	// Phases lists the names of the phases to run; empty means all.
	Phases []string
	// Singles is the number of changes in PhaseSingle.
	Singles int
	Log     func(format string, args ...any)
}

// Sample is the mean and maximum of one metric of a phase over the processes of a role and, in
// PhaseSingle, over the changes. Some metrics have a single value per role.
type Sample struct {
	Size
	Phase, Role, Metric string
	Mean, Max           float64
	Machine             string
}

// Roles of the processes that samples refer to.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
	RoleKV      = "key-value service"
)

// capacityRun measures a cluster of one size.
type capacityRun struct {
	cfg     CapacityConfig
	size    Size
	cluster *testcluster.Cluster
	// addresses and logs hold the entries first, then the sidecars.
	addresses      []string
	logs           []*logReader
	kv             external.KV
	samples        []Sample
	appliedChanges int
}

// Capacity measures all sizes, one after the other. On an error it also returns the samples taken
// until then.
func Capacity(ctx context.Context, cfg CapacityConfig) ([]Sample, error) {
	var all []Sample
	for _, s := range cfg.Sizes {
		samples, err := capacityAt(ctx, cfg, s)
		all = append(all, samples...)
		if err != nil {
			return all, fmt.Errorf("%d entries, %d sidecars: %w", s.Entries, s.Sidecars, err)
		}
	}
	return all, nil
}

func capacityAt(ctx context.Context, cfg CapacityConfig, s Size) (samples []Sample, err error) {
	dir := filepath.Join(cfg.Dir, fmt.Sprintf("%d-%d", s.Entries, s.Sidecars))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	cfg.Log("%d entries, %d sidecars: start (%s)", s.Entries, s.Sidecars, Machine())
	c, err := startCluster(ctx, clusterConfig{bin: cfg.Bin, dir: dir, size: s, engineArgs: []string{"--order-time", "200ms"}})
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, c.Stop()) }()
	r := &capacityRun{cfg: cfg, size: s, cluster: c}
	for _, e := range c.Entries {
		r.addProcess(e.Address, e.LogPath)
	}
	for _, w := range c.Workers {
		r.addProcess(w.Address, w.Sidecar.LogPath)
	}
	if r.kv, err = c.KV(ctx); err != nil {
		return nil, err
	}
	for _, p := range []struct {
		name string
		run  func(context.Context) error
	}{{PhaseRest, r.runIdle}, {PhaseLoad, r.runLoad}, {PhaseSingle, r.runSingle}, {PhaseBurst, r.runBurst}, {PhaseRestart, r.runRestart}} {
		if len(cfg.Phases) > 0 && !slices.Contains(cfg.Phases, p.name) {
			continue
		}
		if err := p.run(ctx); err != nil {
			return r.samples, fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return r.samples, nil
}

func (r *capacityRun) addProcess(address, log string) {
	r.addresses = append(r.addresses, address)
	r.logs = append(r.logs, &logReader{path: log, inForceAt: map[uint64]time.Time{}})
}

func (r *capacityRun) runIdle(ctx context.Context) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	return r.measure(ctx, PhaseRest, func() error {
		return pause(ctx, r.cfg.Phase)
	})
}

func (r *capacityRun) runLoad(ctx context.Context) error {
	client := newClient()
	defer client.close()
	entries := r.cluster.Entries
	l := Load{
		Rate: min(maxLoad, float64(loadPerSidecar*r.size.Sidecars)), Duration: r.cfg.Phase, Seed: 1,
		Send: func(ctx context.Context, n int) error {
			return client.complete(ctx, entries[n%len(entries)].Address, model, n)
		},
	}
	var res LoadResult
	if err := r.measure(ctx, PhaseLoad, func() error {
		res = l.Run(ctx)
		return nil
	}); err != nil {
		return err
	}
	r.recordSample(PhaseLoad, RoleEntry, "requests per second", []float64{float64(res.Sent) / res.Elapsed.Seconds() / float64(len(entries))})
	r.recordSample(PhaseLoad, RoleSidecar, "requests per second", []float64{float64(res.Sent) / res.Elapsed.Seconds() / float64(r.size.Sidecars)})
	r.recordSample(PhaseLoad, RoleEntry, "failed requests", []float64{float64(res.Failed)})
	if res.Failed > 0 {
		r.cfg.Log("%d of %d requests failed: %v", res.Failed, res.Sent, res.LastError)
	}
	return nil
}

// applyChange applies the next version of the document on top of revision base and returns the new
// revision.
func (r *capacityRun) applyChange(ctx context.Context, base uint64) (uint64, error) {
	r.appliedChanges++
	_, err := registry.Apply(ctx, r.kv, service, base, []byte(documentText(poolSizes(r.size.Sidecars), r.appliedChanges)), "bench")
	return base + 1, err
}

func (r *capacityRun) currentRevision(ctx context.Context) (uint64, error) {
	rec, err := registry.Get(ctx, r.kv, service)
	return rec.Revision, err
}

func (r *capacityRun) runSingle(ctx context.Context) error {
	var entries, sidecars []float64
	for range r.cfg.Singles {
		base, err := r.currentRevision(ctx)
		if err != nil {
			return err
		}
		submitted := time.Now()
		revision, err := r.applyChange(ctx, base)
		if err != nil {
			return err
		}
		delays, err := waitInForce(ctx, r.logs, submitted, revision)
		if err != nil {
			return err
		}
		e, s := r.splitByRole(seconds(delays))
		entries, sidecars = append(entries, e...), append(sidecars, s...)
	}
	r.recordSample(PhaseSingle, RoleEntry, "seconds until in force", entries)
	r.recordSample(PhaseSingle, RoleSidecar, "seconds until in force", sidecars)
	return nil
}

// runBurst applies burstChanges changes back to back. The delays are those of the last change. The
// rates are means over the whole phase, which starts with the burst and lasts at least cfg.Phase.
func (r *capacityRun) runBurst(ctx context.Context) error {
	var delays []time.Duration
	err := r.measure(ctx, PhaseBurst, func() error {
		revision, err := r.currentRevision(ctx)
		if err != nil {
			return err
		}
		start := time.Now()
		var submitted time.Time
		for range burstChanges {
			submitted = time.Now()
			if revision, err = r.applyChange(ctx, revision); err != nil {
				return err
			}
		}
		delays, err = waitInForce(ctx, r.logs, submitted, revision)
		return errors.Join(err, pause(ctx, time.Until(start.Add(r.cfg.Phase))))
	})
	if err != nil {
		return err
	}
	e, s := r.splitByRole(seconds(delays))
	r.recordSample(PhaseBurst, RoleEntry, "seconds until in force", e)
	r.recordSample(PhaseBurst, RoleSidecar, "seconds until in force", s)
	return nil
}

// runRestart kills all entries and sidecars and then starts them again. Delays are counted from the
// time before the first start.
func (r *capacityRun) runRestart(ctx context.Context) error {
	revision, err := r.currentRevision(ctx)
	if err != nil {
		return err
	}
	var processes []*testcluster.Process
	for _, e := range r.cluster.Entries {
		processes = append(processes, e.Process)
	}
	for _, w := range r.cluster.Workers {
		processes = append(processes, w.Sidecar)
	}
	for _, p := range processes {
		p.Kill()
	}
	stopSampling := sampleKVCalls(ctx, r.cluster)
	before := time.Now()
	for _, p := range processes {
		if err := p.Restart(); err != nil {
			return err
		}
	}
	r.recordSample(PhaseRestart, RoleKV, "seconds to start the processes", []float64{time.Since(before).Seconds()})
	delays, err := waitInForce(ctx, r.logs, before, revision)
	if err != nil {
		return err
	}
	if err := pause(ctx, r.cfg.Phase); err != nil {
		return err
	}
	for name, v := range stopSampling() {
		r.recordSample(PhaseRestart, RoleKV, name, []float64{v})
	}
	e, s := r.splitByRole(seconds(delays))
	r.recordSample(PhaseRestart, RoleEntry, "seconds until in force", e)
	r.recordSample(PhaseRestart, RoleSidecar, "seconds until in force", s)
	return nil
}

// sampleKVCalls reads the call counts of the key-value service until the returned function is
// called. That function returns, by metric name, the totals, the highest rates over a second and the
// highest number of waiting watches.
func sampleKVCalls(ctx context.Context, c *testcluster.Cluster) func() map[string]float64 {
	stop, done := make(chan struct{}), make(chan struct{})
	var calls []kv.Calls
	go func() {
		defer close(done)
		for {
			var current kv.Calls
			if c.KVCalls(ctx, &current) == nil {
				calls = append(calls, current)
			}
			select {
			case <-stop:
				return
			case <-time.After(kvSampleInterval):
			}
		}
	}()
	return func() map[string]float64 {
		close(stop)
		<-done
		return totalsAndPeaks(calls, int(time.Second/kvSampleInterval))
	}
}

func totalsAndPeaks(calls []kv.Calls, samplesPerSecond int) map[string]float64 {
	out := map[string]float64{}
	if len(calls) == 0 {
		return out
	}
	first, last := calls[0], calls[len(calls)-1]
	out["reads in all"], out["writes in all"] = float64(last.Reads-first.Reads), float64(last.Writes-first.Writes)
	out["calls rejected in all"] = float64(last.Rejected - first.Rejected)
	for i, c := range calls {
		secondAgo := calls[max(0, i-samplesPerSecond)]
		out["largest reads per second"] = max(out["largest reads per second"], float64(c.Reads-secondAgo.Reads))
		out["largest writes per second"] = max(out["largest writes per second"], float64(c.Writes-secondAgo.Writes))
		out["waiting watches"] = max(out["waiting watches"], float64(c.Waiting))
	}
	return out
}

// splitByRole splits the values of all processes, in the order of addresses, by role.
func (r *capacityRun) splitByRole(all []float64) (entries, sidecars []float64) {
	return all[:r.size.Entries], all[r.size.Entries:]
}

// recordSample records the mean and the maximum of the values. It leaves out a metric whose maximum
// is 0.
func (r *capacityRun) recordSample(phase, role, metric string, values []float64) {
	s := Sample{Size: r.size, Phase: phase, Role: role, Metric: metric, Machine: Machine()}
	for _, v := range values {
		s.Mean += v / float64(len(values))
	}
	s.Max = slices.Max(values)
	if s.Max == 0 {
		return // the role does not have this metric, or nothing was counted
	}
	r.samples = append(r.samples, s)
}

func seconds(all []time.Duration) []float64 {
	out := make([]float64, len(all))
	for i, d := range all {
		out[i] = d.Seconds()
	}
	return out
}

// pause waits for d. It returns an error if the context ends earlier.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
