//nolint:misspell // names of the plot and image packages
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

// PolicyPrevious is the name under which the results of an earlier version are shown.
const PolicyPrevious = "previous version"

// Row is what callers got from one policy on one day, as the mean of the seeds.
type Row struct {
	Deployment string `json:"deployment"`
	Day        string `json:"day"`
	Policy     string `json:"policy"`
	// Splits are the numbers of prefill engines of the best static splits, by seed.
	Splits []int      `json:"splits,omitempty"`
	Worth  float64    `json:"worth"`
	Kinds  []KindView `json:"kinds"`
	// Orders are role changes, AwaySeconds the time that engines spent on them.
	Orders      float64 `json:"orders"`
	AwaySeconds float64 `json:"away_seconds"`
	// Read, Kept and Moved are prompt tokens in millions.
	Read  float64 `json:"read_millions"`
	Kept  float64 `json:"kept_millions"`
	Moved float64 `json:"moved_millions"`
}

// Compare plays all policies over all days with several seeds.
func Compare(ctx context.Context, dep *Deployment, days []*Day, policies []string, seeds, parallel int) ([]Row, error) {
	for _, p := range policies {
		if !slices.Contains(Policies, p) {
			return nil, fmt.Errorf("policy %q: allowed are %s", p, strings.Join(Policies, ", "))
		}
	}
	if seeds < 1 {
		return nil, fmt.Errorf("seeds: found %d, allowed are 1 and more", seeds)
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
					results[i][seed] = Play(dep, day, policy, uint64(seed)+1)
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
		rows[i] = meanRow(dep.Name, days[i/len(policies)].Name, r)
	}
	return rows, nil
}

func meanRow(deployment, day string, results []*Result) Row {
	row := Row{Deployment: deployment, Day: day, Policy: results[0].Policy}
	n := float64(len(results))
	for _, r := range results {
		row.Worth += r.Worth() / n
		row.Orders += float64(r.orders) / n
		row.AwaySeconds += r.away.Seconds() / n
		row.Read += float64(r.read) / 1e6 / n
		row.Kept += float64(r.kept) / 1e6 / n
		row.Moved += float64(r.moved) / 1e6 / n
		if r.Split >= 0 {
			row.Splits = append(row.Splits, r.Split)
		}
		for i, k := range r.Kinds() {
			if len(row.Kinds) <= i {
				row.Kinds = append(row.Kinds, KindView{Kind: k.Kind})
			}
			row.Kinds[i].add(&k, n)
		}
	}
	return row
}

// add adds one of n views to a mean.
func (k *KindView) add(v *KindView, n float64) {
	k.Offered += v.Offered
	k.Served += v.Served / n
	k.OnTime += v.OnTime / n
	k.Refused += v.Refused / n
	k.GaveUp += v.GaveUp / n
	k.Worth += v.Worth / n
	k.Largest += v.Largest / n
	k.FirstP50 += time.Duration(float64(v.FirstP50) / n)
	k.FirstP99 += time.Duration(float64(v.FirstP99) / n)
}

// ReadRows reads the results of an earlier version, to be shown beside those of this one.
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

// Merge puts the previous version's rows after this version's for the same deployment and day.
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

// WriteTable prints one line per policy and kind.
func WriteTable(out io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DEPLOYMENT\tDAY\tPOLICY\tWORTH %\tORDERS\tAWAY S\tREAD M\tKEPT M\tMOVED M\tKIND\tSERVED %\tON TIME %\tREFUSED %\tGAVE UP %\tLARGEST %\tFIRST P50\tFIRST P99")
	for _, r := range rows {
		policy := r.Policy
		if len(r.Splits) > 0 {
			policy += " " + strings.ReplaceAll(strings.Trim(fmt.Sprint(r.Splits), "[]"), " ", ",")
		}
		head := fmt.Sprintf("%s\t%s\t%s\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f", r.Deployment, r.Day, policy, 100*r.Worth, r.Orders, r.AwaySeconds, r.Read, r.Kept, r.Moved)
		for i, k := range r.Kinds {
			if i > 0 {
				head = strings.Repeat("\t", 8)
			}
			fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\t%s\n", head, k.Kind, 100*k.Served, 100*k.OnTime, 100*k.Refused, 100*k.GaveUp, 100*k.Largest,
				k.FirstP50.Round(time.Millisecond), k.FirstP99.Round(time.Millisecond))
		}
	}
	return t.Flush()
}

// WriteData writes mix-NAME.json and mix-NAME.png, with the deployment's name, into a directory.
func WriteData(dir string, rows []Row) error {
	if len(rows) == 0 {
		return errors.New("no results")
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
	PolicyStatic: color.RGBA{R: 230, G: 160, B: 60, A: 255}, PolicyLeast: color.Gray{Y: 120}, PolicyRobin: color.Gray{Y: 190},
}

// plotRows draws the share of the worth that callers got, by day and policy.
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
