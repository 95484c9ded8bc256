// Package bench measures the product as separate processes on loopback: the latency that entry
// and sidecar add, and what each role costs at several sizes. It runs no timed checks; it
// reports figures.
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
	// Bin holds the built programs, Dir the logs.
	Bin, Dir string
	// Rate is in requests per second. Each round sends Duration of load to the engine directly
	// and then as much through the product.
	Rate     float64
	Duration time.Duration
	Rounds   int
	// Profiles, if set, is the folder for CPU profiles of entry and sidecar under load.
	Profiles string
}

// Quantiles are latencies in microseconds.
type Quantiles struct{ P50, P95, P99 int64 }

// LatencyRound is one round of a latency run.
type LatencyRound struct {
	Direct, Product Quantiles
	// EntryCPU and SidecarCPU are cores per 100 requests/s.
	EntryCPU, SidecarCPU float64
	// Sent and Failed count the requests through the product. A refusal counts as failed.
	Sent, Failed int64
	FirstError   error
	Machine      string
}

// Added returns the latency that the product adds at the three quantiles.
func (r LatencyRound) Added() Quantiles {
	return Quantiles{r.Product.P50 - r.Direct.P50, r.Product.P95 - r.Direct.P95, r.Product.P99 - r.Direct.P99}
}

// Latency measures one entry, one sidecar and one engine without step time.
func Latency(ctx context.Context, cfg LatencyConfig) ([]LatencyRound, error) {
	c, err := startCluster(ctx, clusterConfig{
		bin: cfg.Bin, dir: cfg.Dir, size: Size{Entries: 1, Sidecars: 1}, engineArgs: []string{"--instant", "--order-time", "200ms"},
		profile: cfg.Profiles != "",
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Stop() }()
	cl := newClient()
	defer cl.close()
	warm := Load{Rate: cfg.Rate / 2, Duration: 2 * time.Second, Seed: 99, Send: func(ctx context.Context, n int) error {
		return cl.complete(ctx, c.Entries[0].Address, model, n)
	}}
	warm.Run(ctx)
	if cfg.Profiles != "" {
		return nil, profileBoth(ctx, cfg, c, warm)
	}
	var rounds []LatencyRound
	for i := range cfg.Rounds {
		r, err := latencyRound(ctx, cfg, c, cl, uint64(i+1))
		if err != nil {
			return rounds, err
		}
		rounds = append(rounds, r)
	}
	return rounds, nil
}

func latencyRound(ctx context.Context, cfg LatencyConfig, c *testcluster.Cluster, cl *client, seed uint64) (LatencyRound, error) {
	entry, worker := c.Entries[0], c.Workers[0]
	load := Load{Rate: cfg.Rate, Duration: cfg.Duration, Seed: seed}
	r := LatencyRound{Machine: Machine()}
	load.Send = func(ctx context.Context, n int) error { return cl.generate(ctx, worker.BackendAddress, n) }
	direct := load.Run(ctx)
	addresses := []string{entry.Address, worker.Address}
	before, err := scrapeAll(ctx, addresses)
	if err != nil {
		return r, err
	}
	load.Send = func(ctx context.Context, n int) error { return cl.complete(ctx, entry.Address, model, n) }
	product := load.Run(ctx)
	after, err := scrapeAll(ctx, addresses)
	if err != nil {
		return r, err
	}
	for _, res := range []LoadResult{direct, product} {
		if res.Failed == res.Sent {
			return r, fmt.Errorf("all %d requests failed: %w", res.Sent, res.FirstError)
		}
	}
	r.Sent, r.Failed, r.FirstError = product.Sent, product.Failed, product.FirstError
	per100 := func(i int) float64 {
		return (after[i][metricCPU] - before[i][metricCPU]) / float64(product.Sent) * 100
	}
	r.Direct, r.Product = quantiles(direct.Latency), quantiles(product.Latency)
	r.EntryCPU, r.SidecarCPU = per100(0), per100(1)
	return r, nil
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99)}
}

// clusterConfig describes a cluster of one model service with default settings of the product.
type clusterConfig struct {
	bin, dir   string
	size       Size
	engineArgs []string
	kvArgs     []string
	// profile makes entries and sidecars serve CPU profiles.
	profile bool
}

// startCluster starts a cluster, applies its document and waits until all entries serve.
func startCluster(ctx context.Context, cfg clusterConfig) (*testcluster.Cluster, error) {
	pools := poolSizes(cfg.size.Sidecars)
	tc := testcluster.Config{
		Bin: cfg.bin, Dir: cfg.dir, Entries: cfg.size.Entries, EngineArgs: cfg.engineArgs, KVArgs: cfg.kvArgs,
		// The test cluster shortens these times; the figures must be those of the defaults.
		EntryArgs: []string{"--instances-poll", "2s", "--plan-interval", "5s"},
	}
	if cfg.profile {
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

// Median returns the median of a value over the rounds.
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
