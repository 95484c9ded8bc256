// Package bench measures Quetzallug, run as separate processes on loopback: the latency that entry
// and sidecar add, the resources that each role uses at several cluster sizes, and the cost of control
// calls. It sets no limits on what it measures.
package bench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quetzallug/quetzallug/internal/testcluster"
)

// LatencyConfig configures a latency run.
type LatencyConfig struct {
	// Bin is the folder of the built programs, Dir the folder for logs.
	Bin, Dir string
	// Rate is in requests per second. Each round sends load for Duration to the engine directly, and
	// then for as long through entry and sidecar.
	Rate     float64
	Duration time.Duration
	Rounds   int
	// Profiles, if set, is the folder for CPU profiles of entry and sidecar under load.
	Profiles string
}

// Quantiles holds the 50th, 95th and 99th percentile of latencies in microseconds.
type Quantiles struct{ P50, P95, P99 int64 }

// LatencyRound is the result of one round of a latency run. Direct was measured at the engine,
// Proxied through entry and sidecar.
type LatencyRound struct {
	Direct, Proxied Quantiles
	// EntryCPU and SidecarCPU are in cores per 100 requests/s.
	EntryCPU, SidecarCPU float64
	// Sent and Failed count the requests through entry and sidecar. A refusal counts as failed.
	Sent, Failed int64
	// FirstError is the error of one failed request through entry and sidecar, nil if there are none.
	FirstError error
	Machine    string
}

// Added returns the latency that entry and sidecar add, as the difference of each percentile.
func (r LatencyRound) Added() Quantiles {
	return Quantiles{r.Proxied.P50 - r.Direct.P50, r.Proxied.P95 - r.Direct.P95, r.Proxied.P99 - r.Direct.P99}
}

// Latency measures a cluster of one entry, one sidecar and one engine that generates without delay.
// With cfg.Profiles it writes CPU profiles instead and returns no rounds.
func Latency(ctx context.Context, cfg LatencyConfig) ([]LatencyRound, error) {
	c, err := startCluster(ctx, clusterConfig{
		bin: cfg.Bin, dir: cfg.Dir, size: Size{Entries: 1, Sidecars: 1}, engineArgs: []string{"--instant", "--order-time", "200ms"},
		enableProfiling: cfg.Profiles != "",
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Stop() }()
	client := newClient()
	defer client.close()
	warmUp := Load{Rate: cfg.Rate / 2, Duration: 2 * time.Second, Seed: 99, Send: func(ctx context.Context, n int) error {
		return client.complete(ctx, c.Entries[0].Address, model, n)
	}}
	warmUp.Run(ctx)
	if cfg.Profiles != "" {
		return nil, profileUnderLoad(ctx, cfg, c, warmUp)
	}
	var rounds []LatencyRound
	for i := range cfg.Rounds {
		r, err := latencyRound(ctx, cfg, c, client, uint64(i+1))
		if err != nil {
			return rounds, err
		}
		rounds = append(rounds, r)
	}
	return rounds, nil
}

func latencyRound(ctx context.Context, cfg LatencyConfig, c *testcluster.Cluster, client *client, seed uint64) (LatencyRound, error) {
	entry, worker := c.Entries[0], c.Workers[0]
	load := Load{Rate: cfg.Rate, Duration: cfg.Duration, Seed: seed}
	r := LatencyRound{Machine: Machine()}
	load.Send = func(ctx context.Context, n int) error { return client.generate(ctx, worker.BackendAddress, n) }
	direct := load.Run(ctx)
	addresses := []string{entry.Address, worker.Address}
	before, err := scrapeAll(ctx, addresses)
	if err != nil {
		return r, err
	}
	load.Send = func(ctx context.Context, n int) error { return client.complete(ctx, entry.Address, model, n) }
	proxied := load.Run(ctx)
	after, err := scrapeAll(ctx, addresses)
	if err != nil {
		return r, err
	}
	for _, res := range []LoadResult{direct, proxied} {
		if res.Failed == res.Sent {
			return r, fmt.Errorf("all %d requests failed: %w", res.Sent, res.LastError)
		}
	}
	r.Sent, r.Failed, r.FirstError = proxied.Sent, proxied.Failed, proxied.LastError
	coresPer100RPS := func(i int) float64 {
		return (after[i][metricCPU] - before[i][metricCPU]) / float64(proxied.Sent) * 100
	}
	r.Direct, r.Proxied = quantiles(direct.Latency), quantiles(proxied.Latency)
	r.EntryCPU, r.SidecarCPU = coresPer100RPS(0), coresPer100RPS(1)
	return r, nil
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99)}
}

// clusterConfig describes a cluster of one model service with default settings.
type clusterConfig struct {
	bin, dir   string
	size       Size
	engineArgs []string
	kvArgs     []string
	// enableProfiling makes entries and sidecars serve CPU profiles.
	enableProfiling bool
}

// startCluster starts a cluster, applies its document and waits until all entries answer requests.
func startCluster(ctx context.Context, cfg clusterConfig) (*testcluster.Cluster, error) {
	pools := poolSizes(cfg.size.Sidecars)
	tc := testcluster.Config{
		Bin: cfg.bin, Dir: cfg.dir, Entries: cfg.size.Entries, EngineArgs: cfg.engineArgs, KVArgs: cfg.kvArgs,
		// The test cluster shortens these intervals; restore the defaults for the measurement.
		EntryArgs: []string{"--instances-poll", "2s", "--plan-interval", "5s"},
	}
	if cfg.enableProfiling {
		tc.EntryArgs = append(tc.EntryArgs, "--profile")
		tc.SidecarArgs = append(tc.SidecarArgs, "--profile")
	}
	for i, n := range pools {
		tc.Pools = append(tc.Pools, testcluster.Pool{Service: service, DataCentre: dataCentres[i], Workers: n, CheckFence: true})
	}
	c, err := testcluster.Start(ctx, tc)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(cfg.dir, service+".yaml")
	err = os.WriteFile(file, []byte(documentText(pools, 0)), 0o600)
	if err == nil {
		err = c.Apply(ctx, file)
	}
	if err == nil {
		body := fmt.Sprintf(`{"model":%q,"prompt":"ready?","max_tokens":1}`, model)
		err = c.WaitServing(ctx, http.MethodPost, "/v1/completions", body)
	}
	if err != nil {
		_ = c.Stop()
		return nil, err
	}
	return c, nil
}

// Median returns the median of a value over the rounds, or 0 without any round.
func Median[T int64 | float64](rounds []LatencyRound, value func(LatencyRound) T) T {
	all := make([]T, 0, len(rounds))
	for _, r := range rounds {
		all = append(all, value(r))
	}
	slices.Sort(all)
	if len(all) == 0 {
		return 0
	}
	return all[len(all)/2]
}
