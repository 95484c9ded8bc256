package faultmatrix_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/faultmatrix"
)

// Guards against counting cells as covered although their test did not run or was skipped.
func TestOnlyPassedCellsAreCovered(t *testing.T) {
	dir := t.TempDir()
	t.Setenv(faultmatrix.ReportDirEnv, dir)
	r := faultmatrix.NewRegistry()
	cell := func(step string) faultmatrix.Cell {
		return faultmatrix.Cell{Protocol: "p", Step: step, Faults: []string{"f"}, Covered: true}
	}
	r.Declare(cell("declared"), cell("passed"), cell("skipped"))
	t.Run("cells", func(t *testing.T) {
		r.Run(t, cell("passed"), func(*testing.T) {})
		r.Run(t, cell("skipped"), func(t *testing.T) { t.Skip("not covered") })
	})
	r.Report(t)
	cells, err := faultmatrix.Load(dir)
	require.NoError(t, err)
	covered := map[string]bool{}
	for _, c := range cells {
		covered[c.Step] = c.Covered
	}
	require.Equal(t, map[string]bool{"declared": false, "passed": true, "skipped": false}, covered)
}

// Guards against a report that overwrites the report of a test with the same name in another package.
func TestReportsOfOneNameAreKept(t *testing.T) {
	dir := t.TempDir()
	t.Setenv(faultmatrix.ReportDirEnv, dir)
	for _, protocol := range []string{"first", "second"} {
		r := faultmatrix.NewRegistry()
		r.Declare(faultmatrix.Cell{Protocol: protocol, Step: "s", Faults: []string{"f"}})
		r.Report(t)
	}
	cells, err := faultmatrix.Load(dir)
	require.NoError(t, err)
	require.Len(t, cells, 2)
}
