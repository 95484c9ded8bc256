//nolint:misspell // American spelling in the plot and image packages
package gatewaybench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// PolicyPrevious labels the results of an earlier version of the gateway.
const PolicyPrevious = "previous version"

// Row holds the results of one policy on one day, averaged over the seeds, except that Offered of Kinds is summed
// and Splits has one element per seed.
type Row struct {
	Deployment string `json:"deployment"`
	Day        string `json:"day"`
	Policy     string `json:"policy"`
	// Splits holds, for each seed, the number of prefill engines in the best static split.
	Splits []int `json:"splits,omitempty"`
	// Worth is the earned fraction of the offered worth.
	Worth float64       `json:"worth"`
	Kinds []KindSummary `json:"kinds"`
	// RoleChanges is the number of role changes, RoleChangeSeconds the engine time they took.
	RoleChanges       float64 `json:"orders"`
	RoleChangeSeconds float64 `json:"away_seconds"`
	// Prompt tokens that were prefilled, found in a cache, and transferred between engines, in millions.
	PrefilledMillions   float64 `json:"read_millions"`
	CachedMillions      float64 `json:"kept_millions"`
	TransferredMillions float64 `json:"moved_millions"`
}

// Compare simulates every policy on every day, with the seeds 1 to seeds and up to parallel runs at once. It
// returns one row per day and policy, ordered by day, then by policy.
func Compare(ctx context.Context, dep *Deployment, days []*Day, policies []string, seeds, parallel int) ([]Row, error) {
	for _, p := range policies {
		if !slices.Contains(Policies, p) {
			return nil, fmt.Errorf("policy %q: must be one of %s", p, strings.Join(Policies, ", "))
		}
	}
	if seeds < 1 {
		return nil, fmt.Errorf("seeds: found %d, must be at least 1", seeds)
	}
	results := make([][]*Result, len(days)*len(policies))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, parallel))
	for i := range results {
		results[i] = make([]*Result, seeds)
		day, policy := days[i/len(policies)], policies[i%len(policies)]
		for seed := range seeds {
			g.Go(func() error {
				if ctx.Err() == nil {
					results[i][seed] = Simulate(dep, day, policy, uint64(seed)+1)
				}
				return ctx.Err()
			})
		}
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	rows := make([]Row, len(results))
	for i, r := range results {
		rows[i] = averageRow(dep.Name, days[i/len(policies)].Name, r)
	}
	return rows, nil
}

func averageRow(deployment, day string, results []*Result) Row {
	row := Row{Deployment: deployment, Day: day, Policy: results[0].Policy}
	n := float64(len(results))
	for _, r := range results {
		row.Worth += r.Worth() / n
		row.RoleChanges += float64(r.roleChanges) / n
		row.RoleChangeSeconds += r.roleChangeTime.Seconds() / n
		row.PrefilledMillions += float64(r.prefilledTokens) / 1e6 / n
		row.CachedMillions += float64(r.cachedTokens) / 1e6 / n
		row.TransferredMillions += float64(r.transferredTokens) / 1e6 / n
		if r.Split >= 0 {
			row.Splits = append(row.Splits, r.Split)
		}
		for i, k := range r.Kinds() {
			if len(row.Kinds) <= i {
				row.Kinds = append(row.Kinds, KindSummary{Kind: k.Kind})
			}
			row.Kinds[i].accumulate(&k, n)
		}
	}
	return row
}

// accumulate adds one of n results to a mean. Offered is summed.
func (k *KindSummary) accumulate(v *KindSummary, n float64) {
	k.Offered += v.Offered
	k.Served += v.Served / n
	k.OnTime += v.OnTime / n
	k.Refused += v.Refused / n
	k.GaveUp += v.GaveUp / n
	k.Worth += v.Worth / n
	k.LargestServed += v.LargestServed / n
	k.FirstP50 += time.Duration(float64(v.FirstP50) / n)
	k.FirstP99 += time.Duration(float64(v.FirstP99) / n)
}

// ReadRows reads the results that an earlier version wrote and labels its gateway rows PolicyPrevious. It
// drops the rows of other policies.
func ReadRows(path string) ([]Row, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	var rows []Row
	if err := json.Unmarshal(b, &rows); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	out := rows[:0]
	for _, r := range rows {
		if r.Policy == PolicyGateway {
			r.Policy = PolicyPrevious
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no results of policy %q", path, PolicyGateway)
	}
	return out, nil
}

// Merge inserts each row of the previous version after this version's row for the same deployment and day.
func Merge(rows, previous []Row) []Row {
	var out []Row
	for _, r := range rows {
		out = append(out, r)
		if r.Policy != PolicyGateway {
			continue
		}
		for _, p := range previous {
			if p.Deployment == r.Deployment && p.Day == r.Day {
				out = append(out, p)
			}
		}
	}
	return out
}

// WriteTable writes a table with one line per policy and kind.
func WriteTable(out io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DEPLOYMENT\tDAY\tPOLICY\tWORTH %\tORDERS\tAWAY S\tREAD M\tKEPT M\tMOVED M\tKIND\tSERVED %\tON TIME %\tREFUSED %\tGAVE UP %\tLARGEST %\tFIRST P50\tFIRST P99")
	for _, r := range rows {
		policy := r.Policy
		if len(r.Splits) > 0 {
			policy += " " + strings.ReplaceAll(strings.Trim(fmt.Sprint(r.Splits), "[]"), " ", ",")
		}
		head := fmt.Sprintf("%s\t%s\t%s\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f", r.Deployment, r.Day, policy, 100*r.Worth, r.RoleChanges, r.RoleChangeSeconds, r.PrefilledMillions, r.CachedMillions, r.TransferredMillions)
		for i, k := range r.Kinds {
			if i > 0 {
				head = strings.Repeat("\t", 8)
			}
			fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t%s\n", head, k.Kind, 100*k.Served, 100*k.OnTime, 100*k.Refused, 100*k.GaveUp, 100*k.LargestServed,
				k.FirstP50.Round(time.Millisecond), k.FirstP99.Round(time.Millisecond))
		}
	}
	return t.Flush()
}

// WriteData writes the rows to mix-NAME.json and a plot of them to mix-NAME.png in dir, where NAME is the name
// of the deployment, which must be the same in all rows. It creates the directory if necessary.
func WriteData(dir string, rows []Row) error {
	if len(rows) == 0 {
		return errors.New("no results to write")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create data directory: %w", err)
	}
	b, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	base := filepath.Join(dir, "mix-"+rows[0].Deployment)
	if err := os.WriteFile(base+".json", append(b, '\n'), 0o644); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return plotRows(base+".png", rows)
}

var colours = map[string]color.Color{
	PolicyGateway: color.RGBA{R: 20, G: 110, B: 80, A: 255}, PolicyPrevious: color.RGBA{R: 130, G: 190, B: 160, A: 255},
	PolicyStatic: color.RGBA{R: 230, G: 160, B: 60, A: 255}, PolicyLeastLoaded: color.Gray{Y: 120}, PolicyRoundRobin: color.Gray{Y: 190},
}

// plotRows draws the earned share of the offered worth, by day and policy.
func plotRows(path string, rows []Row) error {
	var days, policies []string
	values := map[[2]string]float64{}
	for _, r := range rows {
		if !slices.Contains(days, r.Day) {
			days = append(days, r.Day)
		}
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
		values[[2]string{r.Day, r.Policy}] = 100 * r.Worth
	}
	p := plot.New()
	p.Title.Text = rows[0].Deployment + ": worth that callers got, mean of the seeds"
	p.Y.Label.Text = "% of the requests' worth"
	p.Y.Min, p.Y.Max = 0, 150 // room for the legend
	p.Legend.Top = true
	const width = 8
	for i, policy := range policies {
		v := make(plotter.Values, len(days))
		for k, day := range days {
			v[k] = values[[2]string{day, policy}]
		}
		bars, err := plotter.NewBarChart(v, vg.Points(width))
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		bars.Color, bars.LineStyle.Width = colours[policy], 0
		bars.Offset = vg.Points(width * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(days...)
	if err := p.Save(vg.Length(len(days))*3*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
