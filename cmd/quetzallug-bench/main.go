// Command quetzallug-bench measures quetzallug in separate processes on loopback, and its routing
// decisions in simulated time. See docs/performance.md and docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/quetzallug/quetzallug/internal/bench"
	"github.com/quetzallug/quetzallug/internal/testcluster"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	root := &cobra.Command{Use: "quetzallug-bench", Short: "Measure quetzallug on loopback, and its routing decisions in simulated time", SilenceUsage: true}
	root.PersistentFlags().String("data", "", "folder for CSV files; empty for none")
	root.PersistentFlags().String("bin", "", "folder of built programs; empty builds them")
	root.AddCommand(latencyCommand(), capacityCommand(), callsCommand(), fullSizeCommand(), mixCommand())
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		os.Exit(1)
	}
}

// workspace returns the directory of the programs, a temporary directory for log files and a function
// that removes the temporary directory. It builds the programs unless --bin names their directory.
func workspace(cmd *cobra.Command) (bin, dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "quetzallug-bench-")
	if err != nil {
		return "", "", nil, err
	}
	remove = func() { _ = os.RemoveAll(dir) }
	if bin, _ = cmd.Flags().GetString("bin"); bin != "" {
		return bin, dir, remove, nil
	}
	bin = filepath.Join(dir, "bin")
	if err := os.Mkdir(bin, 0o700); err != nil {
		return "", "", remove, err
	}
	return bin, dir, remove, testcluster.Build(".", bin)
}

func latencyCommand() *cobra.Command {
	cfg := bench.LatencyConfig{}
	var profiles string
	cmd := &cobra.Command{
		Use: "latency", Short: "Measure the latency and CPU that entry and sidecar add", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			bin, dir, remove, err := workspace(cmd)
			if remove != nil {
				defer remove()
			}
			if err != nil {
				return err
			}
			cfg.Bin, cfg.Dir, cfg.Profiles = bin, dir, profiles
			rounds, err := bench.Latency(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if data, _ := cmd.Flags().GetString("data"); data != "" {
				if err := bench.WriteLatency(filepath.Join(data, "latency.csv"), rounds); err != nil {
					return err
				}
			}
			return bench.PrintLatency(os.Stdout, rounds)
		},
	}
	f := cmd.Flags()
	f.Float64Var(&cfg.Rate, "rate", 1000, "requests per second")
	f.DurationVar(&cfg.Duration, "duration", 5*time.Second, "duration of the load on each path per round")
	f.IntVar(&cfg.Rounds, "rounds", 5, "number of rounds")
	f.StringVar(&profiles, "profiles", "", "folder for CPU profiles of entry and sidecar; empty for none")
	return cmd
}

func capacityCommand() *cobra.Command {
	cfg := bench.CapacityConfig{Log: func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }}
	var sizes string
	cmd := &cobra.Command{
		Use: "capacity", Short: "Measure the cost of each role at several sizes", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if cfg.Sizes, err = parseSizes(sizes); err != nil {
				return err
			}
			bin, dir, remove, err := workspace(cmd)
			if remove != nil {
				defer remove()
			}
			if err != nil {
				return err
			}
			cfg.Bin, cfg.Dir = bin, dir
			samples, err := bench.Capacity(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			return reportCapacity(cmd, samples)
		},
	}
	f := cmd.Flags()
	f.StringVar(&sizes, "sizes", "2x4,2x16,8x16,8x64,32x64", "comma-separated sizes: entries x sidecars")
	f.DurationVar(&cfg.Phase, "phase", 20*time.Second, "length of the phases at rest, under load and after a restart")
	f.StringSliceVar(&cfg.Phases, "phases", nil, "phases to run, such as rest; empty for all")
	f.IntVar(&cfg.Singles, "singles", 4, "number of changes made one at a time in the phase of single changes")
	return cmd
}

func callsCommand() *cobra.Command {
	var n int
	cmd := &cobra.Command{
		Use: "calls", Short: "Measure the bytes and CPU of single control calls", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			bin, dir, remove, err := workspace(cmd)
			if remove != nil {
				defer remove()
			}
			if err != nil {
				return err
			}
			costs, err := bench.Calls(cmd.Context(), bin, dir, n)
			if err != nil {
				return err
			}
			if data, _ := cmd.Flags().GetString("data"); data != "" {
				if err := bench.WriteCalls(filepath.Join(data, "calls.csv"), costs); err != nil {
					return err
				}
			}
			return bench.PrintCalls(os.Stdout, costs)
		},
	}
	cmd.Flags().IntVar(&n, "n", 2000, "number of calls of each kind")
	return cmd
}

func fullSizeCommand() *cobra.Command {
	cfg := bench.CapacityConfig{}
	var entries int
	cmd := &cobra.Command{
		Use: "fullsize", Short: "Measure real processes at rest in an instance list of the target size", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			bin, dir, remove, err := workspace(cmd)
			if remove != nil {
				defer remove()
			}
			if err != nil {
				return err
			}
			cfg.Bin, cfg.Dir = bin, dir
			samples, err := bench.FullSize(cmd.Context(), cfg, entries)
			if err != nil {
				return err
			}
			if data, _ := cmd.Flags().GetString("data"); data != "" {
				if err := bench.WriteSamples(filepath.Join(data, "fullsize.csv"), samples); err != nil {
					return err
				}
			}
			return bench.PrintSamples(os.Stdout, samples)
		},
	}
	cmd.Flags().DurationVar(&cfg.Phase, "phase", 60*time.Second, "length of the measurement")
	cmd.Flags().IntVar(&entries, "entries", 3, "number of real entries")
	return cmd
}

// reportCapacity prints linear fits of the samples by the numbers of entries and sidecars, and writes
// samples and fits to the --data directory.
func reportCapacity(cmd *cobra.Command, samples []bench.Sample) error {
	fits := bench.Fits(samples)
	if data, _ := cmd.Flags().GetString("data"); data != "" {
		if err := bench.WriteSamples(filepath.Join(data, "capacity.csv"), samples); err != nil {
			return err
		}
		if err := bench.WriteFits(filepath.Join(data, "capacity-fits.csv"), fits); err != nil {
			return err
		}
	}
	return bench.PrintFits(os.Stdout, fits)
}

// parseSizes parses a comma-separated list of sizes such as 2x4.
func parseSizes(list string) ([]bench.Size, error) {
	var sizes []bench.Size
	for s := range strings.SplitSeq(list, ",") {
		entriesText, sidecarsText, _ := strings.Cut(s, "x")
		entries, entriesErr := strconv.Atoi(entriesText)
		sidecars, sidecarsErr := strconv.Atoi(sidecarsText)
		if entriesErr != nil || sidecarsErr != nil || entries < 1 || sidecars < 1 {
			return nil, fmt.Errorf("size %q: want entries x sidecars, such as 8x64", s)
		}
		sizes = append(sizes, bench.Size{Entries: entries, Sidecars: sidecars})
	}
	return sizes, nil
}
