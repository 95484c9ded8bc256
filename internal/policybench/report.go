package policybench

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// spread is the median and the range of a value over the seeds.
type spread struct{ median, lowest, highest float64 }

func spreadOf(results []Result, value func(*Result) float64) spread {
	v := make([]float64, len(results))
	for i := range results {
		v[i] = value(&results[i])
	}
	slices.Sort(v)
	return spread{median: v[len(v)/2], lowest: v[0], highest: v[len(v)-1]}
}

func (s spread) percent() string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", 100*s.median, 100*s.lowest, 100*s.highest)
}

func (s spread) count() string { return fmt.Sprintf("%.0f (%.0f-%.0f)", s.median, s.lowest, s.highest) }

// WriteTable prints a table with one line per case.
func WriteTable(out io.Writer, cases []Case, results [][]Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fleet\tworkload\treports\tpolicy\tweights\tgoodput %\tlong %\tchat %\tfirst p95 ms\tbetween p95 ms\tchanges\tengine-s lost\trefused or late per 1000")
	for i := range cases {
		c, r := &cases[i], results[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.0f\t%.1f\t%s\t%s\t%s\n",
			c.Fleet, c.Workload, c.ReportAge, c.Policy, c.Weights,
			spreadOf(r, func(r *Result) float64 { return r.Goodput }).percent(),
			100*spreadOf(r, func(r *Result) float64 { return r.LongGoodput }).median,
			100*spreadOf(r, func(r *Result) float64 { return r.ChatGoodput }).median,
			spreadOf(r, func(r *Result) float64 { return milliseconds(r.FirstTokenP95) }).median,
			spreadOf(r, func(r *Result) float64 { return milliseconds(r.BetweenTokensP95) }).median,
			spreadOf(r, func(r *Result) float64 { return float64(r.RoleChanges) }).count(),
			spreadOf(r, func(r *Result) float64 { return r.EngineTimeLost.Seconds() }).count(),
			refusals(r))
	}
	return t.Flush()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// refusals lists the reasons for which requests were refused or missed a target, each with its number
// per 1,000 requests over all seeds.
func refusals(results []Result) string {
	sum, offered := map[string]int{}, 0
	for i := range results {
		offered += results[i].Offered
		for reason, n := range results[i].Refusals {
			sum[reason] += n
		}
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(sum)) {
		parts = append(parts, fmt.Sprintf("%s %.1f", reason, 1000*float64(sum[reason])/float64(max(offered, 1))))
	}
	return cmp.Or(strings.Join(parts, ", "), "-")
}

// WriteCSV writes the results as CSV, with one record per run.
func WriteCSV(out io.Writer, cases []Case, results [][]Result) error {
	w := csv.NewWriter(out)
	rows := [][]string{{
		"fleet", "workload", "report_age_s", "policy", "weights", "seed", "goodput", "goodput_long", "goodput_chat",
		"good_per_second", "first_token_p95_ms", "between_tokens_p95_ms", "role_changes", "engine_seconds_lost", "refused",
	}}
	for i := range cases {
		c := &cases[i]
		for k := range results[i] {
			r := &results[i][k]
			refused := 0
			for reason, n := range r.Refusals {
				if !strings.HasPrefix(reason, "(") {
					refused += n
				}
			}
			rows = append(rows, []string{
				c.Fleet, c.Workload, formatNumber(c.ReportAge.Seconds(), 0), c.Policy, c.Weights, strconv.Itoa(r.Seed),
				formatNumber(r.Goodput, 4), formatNumber(r.LongGoodput, 4), formatNumber(r.ChatGoodput, 4), formatNumber(r.GoodPerSecond, 2),
				formatNumber(milliseconds(r.FirstTokenP95), 0), formatNumber(milliseconds(r.BetweenTokensP95), 1),
				strconv.Itoa(r.RoleChanges), formatNumber(r.EngineTimeLost.Seconds(), 0), strconv.Itoa(refused),
			})
		}
	}
	if err := w.WriteAll(rows); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}

func formatNumber(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
