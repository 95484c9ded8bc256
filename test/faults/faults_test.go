// Package faults_test tests the invariants of docs/design.md, which comments and messages call I1 to I9, with
// real processes. Under continuous
// load it kills, pauses, cuts off, stops and reconfigures them. An independent checker compares what
// the callers received with the journals of the engines and plain backend servers.
package faults_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seedFlag   = flag.Uint64("seed", 0, "seed of the schedule; 0 takes one from the clock")
	roundsFlag = flag.Int("rounds", 0, "number of rounds, one cell each, of TestMatrix; 0 skips it")
	cellsFlag  = flag.String("cells", "", "comma-separated cells to draw from; empty for all")
	logsFlag   = flag.String("logs", "", "folder that keeps the processes' logs; empty for a temporary one")
)

// ciSeed makes the run in continuous integration repeatable.
const ciSeed = 7

// postSettleDelay is how long the load still runs after the cluster has settled, so that delayed effects are
// seen.
const postSettleDelay = time.Second

// roundResult is the outcome of one round.
type roundResult struct {
	cell       string
	violations []string
	elapsed    time.Duration
}

// Guards against violations of the invariants in the cells that have found most faults.
func TestChiefCells(t *testing.T) {
	runRounds(t, ciSeed, cellsByName(ciCells))
}

// Guards against violations of the invariants in all cells, in an order given by the seed.
func TestMatrix(t *testing.T) {
	if *roundsFlag == 0 {
		t.Skip("the full matrix runs with -rounds (make e2e-faults)")
	}
	seed := *seedFlag
	if seed == 0 {
		seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	fmt.Printf("seed %d\n", seed)
	all := cells()
	if *cellsFlag != "" {
		all = cellsByName(strings.Split(*cellsFlag, ","))
	}
	runRounds(t, seed, schedule(seed, all, *roundsFlag))
}

// schedule returns a random sequence of cells in which every cell runs once before any repeats.
func schedule(seed uint64, all []cell, rounds int) []cell {
	r := rand.New(rand.NewPCG(seed, 0))
	var drawn []cell
	for len(drawn) < rounds {
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		drawn = append(drawn, all...)
	}
	return drawn[:rounds]
}

func cellsByName(names []string) []cell {
	var selected []cell
	for _, name := range names {
		i := slices.IndexFunc(cells(), func(c cell) bool { return c.name == name })
		if i < 0 {
			panic("unknown cell " + name)
		}
		selected = append(selected, cells()[i])
	}
	return selected
}

func runRounds(t *testing.T, seed uint64, rounds []cell) {
	t.Helper()
	logDir := *logsFlag
	if logDir == "" {
		logDir = t.TempDir()
	}
	h, err := startHarness(t.Context(), t.TempDir(), logDir, seed, os.Stdout)
	if h != nil {
		t.Cleanup(func() {
			if err := h.cluster.Stop(); err != nil {
				t.Errorf("stop the cluster: %v", err)
			}
			if t.Failed() {
				dumpLogs(t, logDir)
			}
		})
	}
	require.NoError(t, err)
	// The load runs across all rounds and ends before the cluster stops.
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { h.load.run(ctx, seed); done <- struct{}{} }()
	go func() { h.revisions.run(ctx, h.cluster); done <- struct{}{} }()
	var results []roundResult
	reported := map[string]bool{}
	for i, c := range rounds {
		fmt.Printf("%s round %d of %d: %s\n", time.Now().Format("15:04:05.000"), i+1, len(rounds), c.name)
		results = append(results, h.runRound(t.Context(), c, reported))
	}
	stop()
	<-done
	<-done
	final := h.check(t.Context(), reported)
	results = append(results, roundResult{cell: "after the last round", violations: final})
	printTable(os.Stdout, seed, results, h.load.snapshot())
	for _, r := range results {
		for _, v := range r.violations {
			t.Errorf("%s: %s", r.cell, v)
		}
	}
}

// runRound runs one cell, waits until the cluster has settled, and checks all records so far.
func (h *harness) runRound(ctx context.Context, c cell, reported map[string]bool) roundResult {
	start := time.Now()
	err := c.run(ctx, h)
	if err == nil {
		err = h.waitSettled(ctx)
	}
	time.Sleep(postSettleDelay)
	if c.planned {
		h.planned = append(h.planned, window{c.name, start, time.Now(), h.lastFaultEnd})
	} else {
		h.lastFaultEnd = time.Now()
	}
	res := roundResult{cell: c.name, violations: h.check(ctx, reported), elapsed: time.Since(start)}
	if err != nil {
		var v *violationError
		if !errors.As(err, &v) {
			err = fmt.Errorf("the cell failed: %w", err)
		}
		res.violations = append(res.violations, err.Error())
	}
	for _, v := range res.violations {
		h.logf("VIOLATION %s", v)
	}
	return res
}

// check returns the violations that are not in reported, and adds them to it.
func (h *harness) check(ctx context.Context, reported map[string]bool) []string {
	// The callers' records are read before the journals, so that the journals include everything
	// that a caller was told.
	records := h.load.snapshot()
	j, err := readJournals(ctx, h.cluster)
	if err != nil {
		return []string{err.Error()}
	}
	ch := &checker{records: records, journals: j, planned: h.planned, leaving: h.leaving}
	var newViolations []string
	for _, v := range append(ch.check(), h.revisions.check(time.Now())...) {
		if !reported[v] {
			reported[v] = true
			newViolations = append(newViolations, v)
		}
	}
	return newViolations
}

func printTable(out io.Writer, seed uint64, results []roundResult, records []record) {
	type row struct {
		rounds, violations int
		elapsed            time.Duration
	}
	rows := map[string]*row{}
	var names []string
	for _, r := range results {
		if rows[r.cell] == nil {
			rows[r.cell] = &row{}
			names = append(names, r.cell)
		}
		rows[r.cell].rounds++
		rows[r.cell].violations += len(r.violations)
		rows[r.cell].elapsed += r.elapsed
	}
	slices.Sort(names)
	fmt.Fprintf(out, "\nseed %d, %d rounds\n", seed, len(results)-1)
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "cell\trounds\tviolations\tseconds")
	for _, n := range names {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\n", n, rows[n].rounds, rows[n].violations, rows[n].elapsed.Seconds())
	}
	_ = t.Flush()
	counts := map[string]int{}
	for i := range records {
		counts[records[i].kind+"\t"+records[i].outcome]++
	}
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	t = tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\nkind\toutcome\trequests")
	for _, k := range keys {
		fmt.Fprintf(t, "%s\t%d\n", k, counts[k])
	}
	_ = t.Flush()
}

func dumpLogs(t *testing.T, dir string) {
	const tailBytes = 1500
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		b, _ := os.ReadFile(f)
		t.Logf("%s:\n%s", filepath.Base(f), b[max(0, len(b)-tailBytes):])
	}
}
