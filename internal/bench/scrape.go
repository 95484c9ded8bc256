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

// Metrics that are read from the processes. The series of a counter are summed over its labels.
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

// operationLabel precedes the operation in the labels of metricKVCalls.
const operationLabel = `operation="`

// scrapeTimeout is long enough for a scrape on a busy machine.
const scrapeTimeout = 20 * time.Second

// metricValues holds the metrics of one process by name. Calls to the key-value service are also
// kept per operation, under names such as quetzallug_kv_calls_total/get.
type metricValues map[string]float64

// scrape reads the metrics of one process.
func scrape(ctx context.Context, address string) (metricValues, error) {
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

// parseMetrics parses the Prometheus text format and returns the sum of the series of each metric; see
// metricValues.
func parseMetrics(r io.Reader) (metricValues, error) {
	v := metricValues{}
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
		if _, op, ok := strings.Cut(labels, operationLabel); ok {
			op, _, _ = strings.Cut(op, `"`)
			v[name+"/"+op] += n
		}
	}
	return v, lines.Err()
}

// scrapeAll reads the metrics of all processes concurrently and returns them in the order of the
// addresses.
func scrapeAll(ctx context.Context, addresses []string) ([]metricValues, error) {
	all := make([]metricValues, len(addresses))
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
