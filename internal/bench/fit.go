package bench

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Fit is a straight-line fit of a figure over the numbers of entries and sidecars.
type Fit struct {
	Phase, Role, Metric string
	// The figure is Constant + PerEntry × entries + PerSidecar × sidecars.
	Constant, PerEntry, PerSidecar float64
	// Residual is the largest difference between a measured mean and the line.
	Residual float64
	Points   int
}

// At returns the line's value at a size.
func (f Fit) At(s Size) float64 {
	return f.Constant + f.PerEntry*float64(s.Entries) + f.PerSidecar*float64(s.Sidecars)
}

// unknowns of a fit.
const unknowns = 3

// Fits fits each figure that was measured at enough sizes.
func Fits(samples []Sample) []Fit {
	type key struct{ phase, role, metric string }
	groups := map[key][]Sample{}
	for _, s := range samples {
		k := key{s.Phase, s.Role, s.Metric}
		groups[k] = append(groups[k], s)
	}
	var fits []Fit
	for k, g := range groups {
		f, err := fit(g)
		if err != nil {
			continue // too few sizes, or sizes on one line
		}
		f.Phase, f.Role, f.Metric = k.phase, k.role, k.metric
		fits = append(fits, f)
	}
	slices.SortFunc(fits, func(a, b Fit) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Metric, b.Metric))
	})
	return fits
}

func fit(g []Sample) (Fit, error) {
	if len(g) < unknowns {
		return Fit{}, fmt.Errorf("%d points for %d unknowns", len(g), unknowns)
	}
	a, b := mat.NewDense(len(g), unknowns, nil), mat.NewVecDense(len(g), nil)
	for i, s := range g {
		a.SetRow(i, []float64{1, float64(s.Entries), float64(s.Sidecars)})
		b.SetVec(i, s.Mean)
	}
	var x mat.VecDense
	if err := x.SolveVec(a, b); err != nil {
		return Fit{}, fmt.Errorf("least squares: %w", err)
	}
	f := Fit{Constant: x.AtVec(0), PerEntry: x.AtVec(1), PerSidecar: x.AtVec(2), Points: len(g)}
	for _, s := range g {
		f.Residual = max(f.Residual, math.Abs(s.Mean-f.At(s.Size)))
	}
	return f, nil
}
