// Command policybench compares the routing, admission and placement packages with baseline policies in
// a simulation. See docs/placement.md.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/quetzallug/quetzallug/internal/policybench"
)

// maxRunTime is long enough for a full run on a busy machine.
const maxRunTime = 4 * time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}

func run() error {
	seeds := flag.Int("seeds", 5, "number of seeds")
	workers := flag.Int("workers", 8, "number of runs at a time")
	workloads := flag.String("workloads", "", "comma-separated workloads; empty for all")
	fleets := flag.String("fleets", "", "comma-separated fleets; empty for all")
	policies := flag.String("policies", "", "comma-separated policies; empty for all")
	ages := flag.String("ages", "0s,1s,5s", "ages of the load reports")
	overload := flag.Bool("overload", true, "also run multiples of the capacity")
	data := flag.String("data", "", "directory for the CSV file and the plots; empty for none")
	all := flag.Bool("all-targets", false, "also print the targets that are reached")
	flag.Parse()

	o := policybench.Options{
		Seeds: *seeds, Parallel: *workers, Overload: *overload,
		Workloads: list(*workloads), Fleets: list(*fleets), Policies: list(*policies),
	}
	for _, v := range list(*ages) {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("parse -ages: %w", err)
		}
		o.ReportAges = append(o.ReportAges, d)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	start := time.Now()
	cases, results, err := policybench.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := policybench.WriteTable(os.Stdout, cases, results); err != nil {
		return err
	}
	fmt.Println()
	if err := policybench.WriteTargets(os.Stdout, policybench.Targets(cases, results), *all); err != nil {
		return err
	}
	fmt.Printf("%d cases, %d seeds, %s\n", len(cases), *seeds, time.Since(start).Round(time.Second))
	if *data == "" {
		return nil
	}
	return policybench.WriteData(*data, cases, results)
}

func list(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
