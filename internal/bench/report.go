package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
)

// TargetSize is the size of the fleet in the design document.
var TargetSize = Size{Entries: 340, Sidecars: 640}

// WriteSamples writes the samples to a CSV file.
func WriteSamples(path string, samples []Sample) error {
	rows := [][]string{{"entries", "sidecars", "phase", "role", "metric", "mean", "max", "machine"}}
	for _, s := range samples {
		rows = append(rows, []string{
			strconv.Itoa(s.Entries), strconv.Itoa(s.Sidecars), s.Phase, s.Role, s.Metric, formatNumber(s.Mean), formatNumber(s.Max), s.Machine,
		})
	}
	return writeCSV(path, rows)
}

// WriteFits writes the fits to a CSV file, with the fitted values at the target size.
func WriteFits(path string, fits []Fit) error {
	rows := [][]string{{"phase", "role", "metric", "constant", "per entry", "per sidecar", "largest residual", "points", "at 340 entries and 640 sidecars"}}
	for _, f := range fits {
		rows = append(rows, []string{
			f.Phase, f.Role, f.Metric, formatNumber(f.Constant), formatNumber(f.PerEntry), formatNumber(f.PerSidecar),
			formatNumber(f.Residual), strconv.Itoa(f.Points), formatNumber(f.At(TargetSize)),
		})
	}
	return writeCSV(path, rows)
}

// WriteLatency writes the rounds of a latency run to a CSV file.
func WriteLatency(path string, rounds []LatencyRound) error {
	rows := [][]string{{
		"round", "direct p50 us", "direct p95 us", "direct p99 us", "product p50 us", "product p95 us", "product p99 us",
		"added p99 us", "entry cores per 100 requests/s", "sidecar cores per 100 requests/s", "sent", "failed", "machine",
	}}
	for i, r := range rounds {
		row := []string{strconv.Itoa(i + 1)}
		for _, v := range []int64{r.Direct.P50, r.Direct.P95, r.Direct.P99, r.Proxied.P50, r.Proxied.P95, r.Proxied.P99, r.Added().P99} {
			row = append(row, strconv.FormatInt(v, 10))
		}
		rows = append(rows, append(row, formatNumber(r.EntryCPU), formatNumber(r.SidecarCPU),
			strconv.FormatInt(r.Sent, 10), strconv.FormatInt(r.Failed, 10), r.Machine))
	}
	return writeCSV(path, rows)
}

func writeCSV(path string, rows [][]string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	if err := w.WriteAll(rows); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// PrintFits prints the fits as a table.
func PrintFits(out io.Writer, fits []Fit) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "phase\trole\tfigure\tconstant\tper entry\tper sidecar\tresidual\tat 340+640")
	for _, f := range fits {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f.Phase, f.Role, f.Metric,
			formatNumber(f.Constant), formatNumber(f.PerEntry), formatNumber(f.PerSidecar), formatNumber(f.Residual), formatNumber(f.At(TargetSize)))
	}
	return w.Flush()
}

// PrintSamples prints samples as a table.
func PrintSamples(out io.Writer, samples []Sample) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "phase\trole\tfigure\tmean\tmax\tmachine")
	for _, s := range samples {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", s.Phase, s.Role, s.Metric, formatNumber(s.Mean), formatNumber(s.Max), s.Machine)
	}
	return w.Flush()
}

// PrintLatency prints the rounds and their medians as a table.
func PrintLatency(out io.Writer, rounds []LatencyRound) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "round\tdirect p50/p95/p99 µs\tproduct p50/p95/p99 µs\tadded p99 µs\tentry cores per 100/s\tsidecar cores per 100/s\tfailed\tmachine")
	for i, r := range rounds {
		fmt.Fprintf(w, "%d\t%d/%d/%d\t%d/%d/%d\t%d\t%.4f\t%.4f\t%d/%d\t%s\n", i+1, r.Direct.P50, r.Direct.P95, r.Direct.P99,
			r.Proxied.P50, r.Proxied.P95, r.Proxied.P99, r.Added().P99, r.EntryCPU, r.SidecarCPU, r.Failed, r.Sent, r.Machine)
	}
	fmt.Fprintf(w, "median\t\t\t%d\t%.4f\t%.4f\t\n",
		Median(rounds, func(r LatencyRound) int64 { return r.Added().P99 }),
		Median(rounds, func(r LatencyRound) float64 { return r.EntryCPU }),
		Median(rounds, func(r LatencyRound) float64 { return r.SidecarCPU }))
	return w.Flush()
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }
