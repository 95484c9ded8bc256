package main

import (
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/quetzallug/quetzallug/internal/gatewaybench"
)

func mixCommand() *cobra.Command {
	var deployment, previous string
	var days, policies []string
	var seeds, parallel int
	cmd := &cobra.Command{
		Use:   "mix",
		Short: "Compare the gateway's routing decisions with other policies on simulated engines",
		Long: `mix simulates days of load on a deployment, once for each policy and seed, and prints the results
that callers see. With --data it also writes the results as JSON and a plot; --previous shows the results of
an earlier version beside those of this one.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := gatewaybench.ReadDeployment(deployment)
			if err != nil {
				return err
			}
			var loaded []*gatewaybench.Day
			for _, path := range days {
				day, err := gatewaybench.ReadDay(path, d)
				if err != nil {
					return err
				}
				loaded = append(loaded, day)
			}
			var previousRows []gatewaybench.Row
			if previous != "" {
				if previousRows, err = gatewaybench.ReadRows(previous); err != nil {
					return err
				}
			}
			rows, err := gatewaybench.Compare(cmd.Context(), d, loaded, policies, seeds, parallel)
			if err != nil {
				return err
			}
			rows = gatewaybench.Merge(rows, previousRows)
			if data, _ := cmd.Flags().GetString("data"); data != "" {
				if err := gatewaybench.WriteData(data, rows); err != nil {
					return err
				}
			}
			return gatewaybench.WriteTable(os.Stdout, rows)
		},
	}
	f := cmd.Flags()
	f.StringVar(&deployment, "deployment", "mix/board.yaml", "file that describes the deployment")
	f.StringSliceVar(&days, "days", []string{"mix/days/flood.yaml"}, "files that describe the days of load")
	f.StringSliceVar(&policies, "policies", gatewaybench.Policies, "policies to compare")
	f.StringVar(&previous, "previous", "", "JSON file that an earlier version wrote with --data; empty for none")
	f.IntVar(&seeds, "seeds", 3, "number of seeds")
	f.IntVar(&parallel, "parallel", max(1, runtime.NumCPU()/2), "number of simulations that run at once")
	return cmd
}
