// Package faults_test proves the invariants of docs/design.md against real processes: under a
// steady load it kills, pauses, cuts off, stops and changes them, and an independent checker
// compares what callers received with the journals of the engines and plain backend servers.
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
	roundsFlag = flag.Int("rounds", 0, "rounds of the full matrix; 0 skips it")
	cellsFlag  = flag.String("cells", "", "comma-separated cells to draw from; empty for all")
	logsFlag   = flag.String("logs", "", "folder that keeps the processes' logs; empty for a temporary one")
)

// chiefSeed fixes the schedule of the part that runs in continuous integration.
const chiefSeed = 7

// roundTail keeps the load up after a cell has settled, so that late effects show.
const roundTail = time.Second

// result is one round.
type result struct {
	cell       string
	violations []string
	elapsed    time.Duration
}

// Guards the invariants in the cells that have found most faults.
func TestChiefCells(t *testing.T) {
	runRounds(t, chiefSeed, pick(chief))
}

// Guards the invariants in all cells, in an order that the seed sets.
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
		all = pick(strings.Split(*cellsFlag, ","))
	}
	runRounds(t, seed, schedule(seed, all, *roundsFlag))
}

// schedule draws rounds: each cell comes once before any comes again.
func schedule(seed uint64, all []cell, rounds int) []cell {
	r := rand.New(rand.NewPCG(seed, 0))
	var list []cell
	for len(list) < rounds {
		r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		list = append(list, all...)
	}
	return list[:rounds]
}

func pick(names []string) []cell {
	var list []cell
	for _, name := range names {
		i := slices.IndexFunc(cells(), func(c cell) bool { return c.name == name })
		if i < 0 {
			panic("unknown cell " + name)
		}
		list = append(list, cells()[i])
	}
	return list
}

func runRounds(t *testing.T, seed uint64, list []cell) {
	t.Helper()
	logs := *logsFlag
	if logs == "" {
		logs = t.TempDir()
	}
	w, err := startHarness(t.Context(), t.TempDir(), logs, seed, os.Stdout)
	if w != nil {
		t.Cleanup(func() {
			if err := w.cluster.Stop(); err != nil {
				t.Errorf("stop: %v", err)
			}
			if t.Failed() {
				dumpLogs(t, logs)
			}
		})
	}
	require.NoError(t, err)
	// The load outlives a round, and ends before the cluster stops.
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { w.load.run(ctx, seed); done <- struct{}{} }()
	go func() { w.revisions.run(ctx, w.cluster); done <- struct{}{} }()
	var results []result
	known := map[string]bool{}
	for i, c := range list {
		fmt.Printf("%s round %d of %d: %s\n", time.Now().Format("15:04:05.000"), i+1, len(list), c.name)
		results = append(results, w.round(t.Context(), c, known))
	}
	stop()
	<-done
	<-done
	last := w.check(t.Context(), known)
	results = append(results, result{cell: "after the last round", violations: last})
	printTable(os.Stdout, seed, results, w.load.snapshot())
	for _, r := range results {
		for _, v := range r.violations {
			t.Errorf("%s: %s", r.cell, v)
		}
	}
}

// round brings one cell about, waits until the cluster has settled, and checks everything so far.
func (w *harness) round(ctx context.Context, c cell, known map[string]bool) result {
	began := time.Now()
	err := c.run(ctx, w)
	if err == nil {
		err = w.settled(ctx)
	}
	time.Sleep(roundTail)
	if c.planned {
		w.planned = append(w.planned, window{c.name, began, time.Now(), w.faulted})
	} else {
		w.faulted = time.Now()
	}
	res := result{cell: c.name, violations: w.check(ctx, known), elapsed: time.Since(began)}
	if err != nil {
		var v *violationError
		if !errors.As(err, &v) {
			err = fmt.Errorf("the cell failed: %w", err)
		}
		res.violations = append(res.violations, err.Error())
	}
	for _, v := range res.violations {
		w.note("VIOLATION %s", v)
	}
	return res
}

// check returns the breaches that were not known before.
func (w *harness) check(ctx context.Context, known map[string]bool) []string {
	// Records are read before journals, so that whatever a caller was told is in the journal.
	records := w.load.snapshot()
	j, err := readJournals(ctx, w.cluster)
	if err != nil {
		return []string{err.Error()}
	}
	ch := &checker{records: records, journals: j, planned: w.planned, leaving: w.left}
	var fresh []string
	for _, v := range append(ch.check(), w.revisions.check(time.Now())...) {
		if !known[v] {
			known[v] = true
			fresh = append(fresh, v)
		}
	}
	return fresh
}

func printTable(out io.Writer, seed uint64, results []result, records []record) {
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
	const tail = 1500
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		b, _ := os.ReadFile(f)
		t.Logf("%s:\n%s", filepath.Base(f), b[max(0, len(b)-tail):])
	}
}
