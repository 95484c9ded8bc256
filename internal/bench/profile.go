package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/quetzallug/quetzallug/internal/testcluster"
)

// profileUnderLoad writes CPU profiles of entry and sidecar, taken while load runs.
func profileUnderLoad(ctx context.Context, cfg LatencyConfig, c *testcluster.Cluster, load Load) error {
	load.Rate, load.Duration = cfg.Rate, cfg.Duration+2*time.Second
	errs := make(chan error, 2)
	go func() {
		errs <- writeCPUProfile(ctx, c.Entries[0].Address, cfg.Duration, filepath.Join(cfg.Profiles, "entry.pprof"))
	}()
	go func() {
		errs <- writeCPUProfile(ctx, c.Workers[0].Address, cfg.Duration, filepath.Join(cfg.Profiles, "sidecar.pprof"))
	}()
	load.Run(ctx)
	return errors.Join(<-errs, <-errs)
}

// writeCPUProfile fetches a CPU profile of the process at address, taken for d, and writes it to a file.
func writeCPUProfile(ctx context.Context, address string, d time.Duration, path string) error {
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", address, int(d.Seconds()))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("CPU profile of %s: status %d", address, resp.StatusCode)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = io.Copy(f, resp.Body)
	return errors.Join(err, f.Close())
}
