// Package faultmatrix records which combinations of protocol steps and faults are tested. A test
// declares the cells of the matrix that belong to it, runs those it covers and reports the result.
// internal/tools/faultmatrix runs the tests, merges the reports and writes docs/fault-matrix.md.
package faultmatrix

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
)

// ReportDirEnv is the environment variable that names the directory for reports. If it is not set,
// tests write no reports.
const ReportDirEnv = "QUETZALLUG_FAULTMATRIX_DIR"

// Cell is the combination of a protocol step with one or more faults.
type Cell struct {
	Protocol string   `json:"protocol"`
	Step     string   `json:"step"`
	Faults   []string `json:"faults"`
	// Invariant names the invariants that the test checks.
	Invariant string `json:"invariant"`
	// Covered reports whether the test of the cell has run and passed.
	Covered bool `json:"covered"`
	// Test is the name of the top-level test that covers the cell.
	Test string `json:"test,omitempty"`
	// Reason explains why a declared cell is not covered.
	Reason string `json:"reason,omitempty"`
}

// Name returns a name that is unique among the cells of all protocols.
func (c Cell) Name() string {
	return c.Protocol + "/" + c.Step + "/" + strings.Join(c.Faults, "+")
}

// Registry collects the cells of one test. It is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	cells map[string]Cell
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{cells: map[string]Cell{}} }

// Declare adds cells and marks them as not covered.
func (r *Registry) Declare(cells ...Cell) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range cells {
		c.Covered, c.Test = false, ""
		r.cells[c.Name()] = c
	}
}

// Run runs the test of a declared cell as a parallel subtest. The cell is covered if the subtest
// passes and is not skipped.
func (r *Registry) Run(t *testing.T, c Cell, test func(t *testing.T)) {
	t.Helper()
	r.mu.Lock()
	declared, ok := r.cells[c.Name()]
	r.mu.Unlock()
	if !ok {
		t.Errorf("cell %q is not declared", c.Name())
		return
	}
	t.Run(strings.ReplaceAll(c.Name(), " ", "_"), func(t *testing.T) {
		t.Parallel()
		t.Cleanup(func() {
			declared.Covered, declared.Test = !t.Failed() && !t.Skipped(), strings.Split(t.Name(), "/")[0]
			r.mu.Lock()
			defer r.mu.Unlock()
			r.cells[c.Name()] = declared
		})
		test(t)
	})
}

// Cells returns the cells sorted by name.
func (r *Registry) Cells() []Cell {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Cell
	for _, c := range r.cells {
		all = append(all, c)
	}
	Sort(all)
	return all
}

// Sort sorts cells by name.
func Sort(cells []Cell) {
	slices.SortFunc(cells, func(a, b Cell) int { return strings.Compare(a.Name(), b.Name()) })
}

// Report writes the registry's cells to the directory that ReportDirEnv names, if it is set.
func (r *Registry) Report(t *testing.T) {
	t.Helper()
	dir := os.Getenv(ReportDirEnv)
	if dir == "" {
		return
	}
	data, err := json.Marshal(r.Cells())
	if err == nil {
		err = writeReport(dir, strings.ReplaceAll(t.Name(), "/", "_"), data)
	}
	if err != nil {
		t.Errorf("write fault matrix report: %v", err)
	}
}

// writeReport writes a report to a file with a unique name, because tests of several packages may have
// the same name.
func writeReport(dir, name string, data []byte) error {
	f, err := os.CreateTemp(dir, name+"-*.json")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Close())
}

// Load merges all reports in a directory. A cell is covered if it is covered in any report.
func Load(dir string) ([]Cell, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list reports: %w", err)
	}
	merged := map[string]Cell{}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, fmt.Errorf("read report: %w", err)
		}
		var cells []Cell
		if err := json.Unmarshal(data, &cells); err != nil {
			return nil, fmt.Errorf("report %q: %w", f, err)
		}
		for _, c := range cells {
			if earlier, ok := merged[c.Name()]; !ok || !earlier.Covered {
				merged[c.Name()] = c
			}
		}
	}
	var all []Cell
	for _, c := range merged {
		all = append(all, c)
	}
	Sort(all)
	return all, nil
}
