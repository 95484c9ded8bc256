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
	// settleTime lets the start's own traffic end before the fleet counts as at rest.
	settleTime = 10 * time.Second
	// maxLoad bounds the load in requests/s, so that the machine's cores are not the limit.
	maxLoad = 300
	// perSidecar is the load in requests/s for each sidecar.
	perSidecar = 10
	// kvTick is the time between looks at the accounting of the key-value service.
	kvTick = 250 * time.Millisecond
)

// CapacityConfig configures a capacity run.
type CapacityConfig struct {
	Bin, Dir string
	Sizes    []Size
	// Phase is the length of the phases at rest, under load and after a restart.
	Phase time.Duration
	// Phases are the phases to run, all if empty.
	Phases []string
	// Singles is the number of single changes.
	Singles int
	Log     func(format string, args ...any)
}

// Sample is one measured figure: its mean and maximum over the processes of a role.
type Sample struct {
	Size
	Phase, Role, Metric string
	Mean, Max           float64
	Machine             string
}

// Roles of samples.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
	RoleKV      = "key-value service"
)

// capacityRun is the run at one size.
type capacityRun struct {
	cfg     CapacityConfig
	size    Size
	cluster *testcluster.Cluster
	// addresses and logs hold the entries first, then the sidecars.
	addresses []string
	logs      []*logReader
	kv        external.KV
	samples   []Sample
	changes   int
}

// Capacity measures all sizes, one after the other.
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
		r.add(e.Address, e.LogPath)
	}
	for _, w := range c.Workers {
		r.add(w.Address, w.Sidecar.LogPath)
	}
	if r.kv, err = c.KV(ctx); err != nil {
		return nil, err
	}
	for _, p := range []struct {
		name string
		run  func(context.Context) error
	}{{PhaseRest, r.rest}, {PhaseLoad, r.load}, {PhaseSingle, r.single}, {PhaseBurst, r.burst}, {PhaseRestart, r.restart}} {
		if len(cfg.Phases) > 0 && !slices.Contains(cfg.Phases, p.name) {
			continue
		}
		if err := p.run(ctx); err != nil {
			return r.samples, fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return r.samples, nil
}

func (r *capacityRun) add(address, log string) {
	r.addresses = append(r.addresses, address)
	r.logs = append(r.logs, &logReader{path: log, at: map[uint64]time.Time{}})
}

func (r *capacityRun) rest(ctx context.Context) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	return r.measure(ctx, PhaseRest, func() error {
		return pause(ctx, r.cfg.Phase)
	})
}

func (r *capacityRun) load(ctx context.Context) error {
	cl := newClient()
	defer cl.close()
	entries := r.cluster.Entries
	l := Load{
		Rate: min(maxLoad, float64(perSidecar*r.size.Sidecars)), Duration: r.cfg.Phase, Seed: 1,
		Send: func(ctx context.Context, n int) error {
			return cl.complete(ctx, entries[n%len(entries)].Address, model, n)
		},
	}
	var res LoadResult
	if err := r.measure(ctx, PhaseLoad, func() error {
		res = l.Run(ctx)
		return nil
	}); err != nil {
		return err
	}
	r.sample(PhaseLoad, RoleEntry, "requests per second", []float64{float64(res.Sent) / res.Elapsed.Seconds() / float64(len(entries))})
	r.sample(PhaseLoad, RoleSidecar, "requests per second", []float64{float64(res.Sent) / res.Elapsed.Seconds() / float64(r.size.Sidecars)})
	r.sample(PhaseLoad, RoleEntry, "failed requests", []float64{float64(res.Failed)})
	if res.Failed > 0 {
		r.cfg.Log("%d of %d requests failed: %v", res.Failed, res.Sent, res.FirstError)
	}
	return nil
}

// apply accepts one more change and returns its revision.
func (r *capacityRun) apply(ctx context.Context, base uint64) (uint64, error) {
	r.changes++
	_, err := registry.Apply(ctx, r.kv, service, base, []byte(documentText(poolSizes(r.size.Sidecars), r.changes)), "bench")
	return base + 1, err
}

func (r *capacityRun) revision(ctx context.Context) (uint64, error) {
	rec, err := registry.Get(ctx, r.kv, service)
	return rec.Revision, err
}

func (r *capacityRun) single(ctx context.Context) error {
	var entries, sidecars []float64
	for range r.cfg.Singles {
		base, err := r.revision(ctx)
		if err != nil {
			return err
		}
		accepted := time.Now()
		revision, err := r.apply(ctx, base)
		if err != nil {
			return err
		}
		delays, err := waitInForce(ctx, r.logs, accepted, revision)
		if err != nil {
			return err
		}
		e, s := r.split(seconds(delays))
		entries, sidecars = append(entries, e...), append(sidecars, s...)
	}
	r.sample(PhaseSingle, RoleEntry, "seconds until in force", entries)
	r.sample(PhaseSingle, RoleSidecar, "seconds until in force", sidecars)
	return nil
}

// burst accepts changes without a pause. The delay is that of the last one; the rates are those of
// a phase that starts with the burst.
func (r *capacityRun) burst(ctx context.Context) error {
	var delays []time.Duration
	err := r.measure(ctx, PhaseBurst, func() error {
		revision, err := r.revision(ctx)
		if err != nil {
			return err
		}
		start := time.Now()
		var accepted time.Time
		for range burstChanges {
			accepted = time.Now()
			if revision, err = r.apply(ctx, revision); err != nil {
				return err
			}
		}
		delays, err = waitInForce(ctx, r.logs, accepted, revision)
		return errors.Join(err, pause(ctx, time.Until(start.Add(r.cfg.Phase))))
	})
	if err != nil {
		return err
	}
	e, s := r.split(seconds(delays))
	r.sample(PhaseBurst, RoleEntry, "seconds until in force", e)
	r.sample(PhaseBurst, RoleSidecar, "seconds until in force", s)
	return nil
}

// restart kills and starts all entries and sidecars at the same time. Delays run from the start
// of the last process.
func (r *capacityRun) restart(ctx context.Context) error {
	revision, err := r.revision(ctx)
	if err != nil {
		return err
	}
	var all []*testcluster.Process
	for _, e := range r.cluster.Entries {
		all = append(all, e.Process)
	}
	for _, w := range r.cluster.Workers {
		all = append(all, w.Sidecar)
	}
	for _, p := range all {
		p.Kill()
	}
	peak := watchKV(ctx, r.cluster)
	before := time.Now()
	for _, p := range all {
		if err := p.Restart(); err != nil {
			return err
		}
	}
	r.sample(PhaseRestart, RoleKV, "seconds to start the processes", []float64{time.Since(before).Seconds()})
	delays, err := waitInForce(ctx, r.logs, before, revision)
	if err != nil {
		return err
	}
	if err := pause(ctx, r.cfg.Phase); err != nil {
		return err
	}
	for name, v := range peak() {
		r.sample(PhaseRestart, RoleKV, name, []float64{v})
	}
	e, s := r.split(seconds(delays))
	r.sample(PhaseRestart, RoleEntry, "seconds until in force", e)
	r.sample(PhaseRestart, RoleSidecar, "seconds until in force", s)
	return nil
}

// watchKV samples the accounting of the key-value service until the returned function is called,
// which returns the totals and the largest rates over a second.
func watchKV(ctx context.Context, c *testcluster.Cluster) func() map[string]float64 {
	stop, done := make(chan struct{}), make(chan struct{})
	var calls []kv.Calls
	go func() {
		defer close(done)
		for {
			var now kv.Calls
			if c.KVCalls(ctx, &now) == nil {
				calls = append(calls, now)
			}
			select {
			case <-stop:
				return
			case <-time.After(kvTick):
			}
		}
	}()
	return func() map[string]float64 {
		close(stop)
		<-done
		return peaks(calls, int(time.Second/kvTick))
	}
}

func peaks(calls []kv.Calls, perSecond int) map[string]float64 {
	out := map[string]float64{}
	if len(calls) == 0 {
		return out
	}
	first, last := calls[0], calls[len(calls)-1]
	out["reads in all"], out["writes in all"] = float64(last.Reads-first.Reads), float64(last.Writes-first.Writes)
	out["calls rejected in all"] = float64(last.Rejected - first.Rejected)
	for i, c := range calls {
		past := calls[max(0, i-perSecond)]
		out["largest reads per second"] = max(out["largest reads per second"], float64(c.Reads-past.Reads))
		out["largest writes per second"] = max(out["largest writes per second"], float64(c.Writes-past.Writes))
		out["waiting watches"] = max(out["waiting watches"], float64(c.Waiting))
	}
	return out
}

// split parts the values of all processes by role.
func (r *capacityRun) split(all []float64) (entries, sidecars []float64) {
	return all[:r.size.Entries], all[r.size.Entries:]
}

func (r *capacityRun) sample(phase, role, metric string, all []float64) {
	s := Sample{Size: r.size, Phase: phase, Role: role, Metric: metric, Machine: Machine()}
	for _, v := range all {
		s.Mean += v / float64(len(all))
	}
	s.Max = slices.Max(all)
	if s.Max == 0 {
		return // a figure that the role does not have
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

// pause waits for d, or returns the error of a context that ends earlier.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
