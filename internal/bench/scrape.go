package bench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the metrics that a scrape reads. A counter's series are summed over its labels.
const (
	metricCPU          = "process_cpu_seconds_total"
	metricRSS          = "process_resident_memory_bytes"
	metricControlIn    = "quetzallug_control_bytes_in_total"
	metricControlOut   = "quetzallug_control_bytes_out_total"
	metricKVIn         = "quetzallug_kv_bytes_in_total"
	metricKVOut        = "quetzallug_kv_bytes_out_total"
	metricInstancesIn  = "quetzallug_instances_bytes_in_total"
	metricInstancesOut = "quetzallug_instances_bytes_out_total"
	metricKVCalls      = "quetzallug_kv_calls_total"
)

// labelOperation is the label of the calls to the key-value service.
const labelOperation = `operation="`

// scrapeTimeout bounds one scrape on a busy machine.
const scrapeTimeout = 20 * time.Second

// values are the metrics of one process by name, with the calls to the key-value service also by
// operation as quetzallug_kv_calls_total/get.
type values map[string]float64

// scrape reads the metrics of one process.
func scrape(ctx context.Context, address string) (values, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %d", address, resp.StatusCode)
	}
	return parseMetrics(resp.Body)
}

// parseMetrics reads the Prometheus text format.
func parseMetrics(r io.Reader) (values, error) {
	v := values{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		end := strings.LastIndexByte(line, ' ')
		if end < 0 || line[0] == '#' {
			continue
		}
		n, err := strconv.ParseFloat(line[end+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("metric %q: %w", line, err)
		}
		name, labels, _ := strings.Cut(line[:end], "{")
		v[name] += n
		if name != metricKVCalls {
			continue
		}
		if _, op, ok := strings.Cut(labels, labelOperation); ok {
			op, _, _ = strings.Cut(op, `"`)
			v[name+"/"+op] += n
		}
	}
	return v, lines.Err()
}

// scrapeAll reads the metrics of all processes at the same time. Its result is in their order.
func scrapeAll(ctx context.Context, addresses []string) ([]values, error) {
	all := make([]values, len(addresses))
	errs := make([]error, len(addresses))
	var wg sync.WaitGroup
	for i, a := range addresses {
		wg.Go(func() { all[i], errs[i] = scrape(ctx, a) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}
