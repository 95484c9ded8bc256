//nolint:misspell // names of the plot and image packages
package policybench

import (
	"bytes"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WriteData writes policybench.csv and one plot per fleet to a directory.
func WriteData(dir string, cases []Case, results [][]Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create data directory: %w", err)
	}
	var b bytes.Buffer
	if err := WriteCSV(&b, cases, results); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "policybench.csv"), b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write CSV file: %w", err)
	}
	for _, f := range fleets {
		if err := plotFleet(filepath.Join(dir, "policybench-"+f.name+".png"), f, &resultTable{cases, results}); err != nil {
			return err
		}
	}
	return nil
}

var colours = []color.Color{
	color.Gray{Y: 190}, color.Gray{Y: 120}, color.RGBA{R: 20, G: 110, B: 80, A: 255}, color.RGBA{R: 230, G: 160, B: 60, A: 255},
}

// plotFleet plots the median goodput of each policy per workload, for load reports that are 1 s old.
func plotFleet(path string, f *fleet, t *resultTable) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: goodput, reports 1 s old, median of the seeds", f.name)
	p.Y.Label.Text = "% of offered requests"
	p.Y.Min, p.Y.Max = 0, 150 // space for the legend above the bars
	p.Legend.Top, p.Legend.Left = true, false
	const width = 9
	names := make([]string, len(workloads))
	for i, policy := range Policies {
		values := make(plotter.Values, len(workloads))
		for k := range workloads {
			names[k] = workloads[k].name
			v, _ := t.median(f, names[k], policy, f.name, time.Second, goodput)
			values[k] = 100 * v
		}
		bars, err := plotter.NewBarChart(values, vg.Points(width))
		if err != nil {
			return fmt.Errorf("plot %s: %w", policy, err)
		}
		bars.Color, bars.LineStyle.Width = colours[i], 0
		bars.Offset = vg.Points(width * (float64(i) - 1.5))
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(names...)
	if err := p.Save(16*vg.Centimeter, 8*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
