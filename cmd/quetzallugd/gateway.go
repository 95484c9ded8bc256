package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/quetzallug/quetzallug/internal/app"
	"github.com/quetzallug/quetzallug/internal/logging"
	"github.com/quetzallug/quetzallug/internal/settings"
	_ "github.com/quetzallug/quetzallug/platform" // registers adapter.platform
)

func gatewayCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Serve callers of an installation that speaks its own protocol, through an adapter",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.ReadGateway(cmd)
			if err != nil {
				return err
			}
			out := logging.NewAsync(os.Stdout)
			defer out.Close()
			log, err := logging.New(out, s.LogLevel, s.LogFormat)
			if err != nil {
				return err
			}
			log.WithFields(s.Values()).Info("starting")
			return run(app.Gateway(s, log, out.Dropped), log)
		},
	}
	settings.AddGatewayFlags(cmd.Flags())
	return cmd
}
