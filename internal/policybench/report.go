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

// spread is the median and the range over the seeds.
type spread struct{ median, least, most float64 }

func spreadOf(results []Result, value func(*Result) float64) spread {
	v := make([]float64, len(results))
	for i := range results {
		v[i] = value(&results[i])
	}
	slices.Sort(v)
	return spread{median: v[len(v)/2], least: v[0], most: v[len(v)-1]}
}

func (s spread) percent() string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", 100*s.median, 100*s.least, 100*s.most)
}

func (s spread) count() string { return fmt.Sprintf("%.0f (%.0f-%.0f)", s.median, s.least, s.most) }

// WriteTable prints one line per case.
func WriteTable(out io.Writer, cases []Case, results [][]Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "fleet\tworkload\treports\tpolicy\tweights\tgoodput %\tlong %\tchat %\tfirst p95 ms\tbetween p95 ms\tchanges\tengine-s lost\trefused or late per 1000")
	for i := range cases {
		c, r := &cases[i], results[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%.1f\t%.0f\t%.1f\t%s\t%s\t%s\n",
			c.Fleet, c.Workload, c.Lag, c.Policy, c.Weights,
			spreadOf(r, func(r *Result) float64 { return r.Goodput }).percent(),
			100*spreadOf(r, func(r *Result) float64 { return r.Long }).median,
			100*spreadOf(r, func(r *Result) float64 { return r.Chat }).median,
			spreadOf(r, func(r *Result) float64 { return milliseconds(r.FirstP95) }).median,
			spreadOf(r, func(r *Result) float64 { return milliseconds(r.BetweenP95) }).median,
			spreadOf(r, func(r *Result) float64 { return float64(r.Changes) }).count(),
			spreadOf(r, func(r *Result) float64 { return r.Lost.Seconds() }).count(),
			refusals(r))
	}
	return t.Flush()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// refusals gives, per 1,000 requests of all seeds, why they were not useful.
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

// WriteCSV writes one record per run.
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
				c.Fleet, c.Workload, number(c.Lag.Seconds(), 0), c.Policy, c.Weights, strconv.Itoa(r.Seed),
				number(r.Goodput, 4), number(r.Long, 4), number(r.Chat, 4), number(r.GoodPerSecond, 2),
				number(milliseconds(r.FirstP95), 0), number(milliseconds(r.BetweenP95), 1),
				strconv.Itoa(r.Changes), number(r.Lost.Seconds(), 0), strconv.Itoa(refused),
			})
		}
	}
	if err := w.WriteAll(rows); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}

func number(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
