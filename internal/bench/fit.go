package bench

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Fit is a least-squares fit of a metric as a linear function of the numbers of entries and sidecars.
type Fit struct {
	Phase, Role, Metric string
	// The fitted value is Constant + PerEntry × entries + PerSidecar × sidecars.
	Constant, PerEntry, PerSidecar float64
	// Residual is the largest absolute difference between a measured mean and its fitted value.
	Residual float64
	// Points is the number of samples fitted.
	Points int
}

// At returns the fitted value for a size.
func (f Fit) At(s Size) float64 {
	return f.Constant + f.PerEntry*float64(s.Entries) + f.PerSidecar*float64(s.Sidecars)
}

// fitParameters is the number of parameters of a fit.
const fitParameters = 3

// Fits returns a fit for each phase, role and metric whose samples determine one.
func Fits(samples []Sample) []Fit {
	type key struct{ phase, role, metric string }
	groups := map[key][]Sample{}
	for _, s := range samples {
		k := key{s.Phase, s.Role, s.Metric}
		groups[k] = append(groups[k], s)
	}
	var fits []Fit
	for k, group := range groups {
		f, err := fitSamples(group)
		if err != nil {
			continue // too few sizes, or collinear ones
		}
		f.Phase, f.Role, f.Metric = k.phase, k.role, k.metric
		fits = append(fits, f)
	}
	slices.SortFunc(fits, func(a, b Fit) int {
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(a.Role, b.Role), cmp.Compare(a.Metric, b.Metric))
	})
	return fits
}

func fitSamples(group []Sample) (Fit, error) {
	if len(group) < fitParameters {
		return Fit{}, fmt.Errorf("%d samples for %d parameters", len(group), fitParameters)
	}
	design, means := mat.NewDense(len(group), fitParameters, nil), mat.NewVecDense(len(group), nil)
	for i, s := range group {
		design.SetRow(i, []float64{1, float64(s.Entries), float64(s.Sidecars)})
		means.SetVec(i, s.Mean)
	}
	var solution mat.VecDense
	if err := solution.SolveVec(design, means); err != nil {
		return Fit{}, fmt.Errorf("solve least squares: %w", err)
	}
	f := Fit{Constant: solution.AtVec(0), PerEntry: solution.AtVec(1), PerSidecar: solution.AtVec(2), Points: len(group)}
	for _, s := range group {
		f.Residual = max(f.Residual, math.Abs(s.Mean-f.At(s.Size)))
	}
	return f, nil
}
