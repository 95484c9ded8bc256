package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/quetzallug/quetzallug/internal/dev"
	"github.com/quetzallug/quetzallug/internal/logging"
	"github.com/quetzallug/quetzallug/internal/settings"
)

func devCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run entry, sidecars and stand-ins of an example in one process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDev(cmd)
		},
	}
	settings.AddEntryFlags(cmd.Flags())
	cmd.Flags().String("example", "transport", "example deployment: transport or irrigation")
	return cmd
}

func runDev(cmd *cobra.Command) error {
	cfg, err := devConfig(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := dev.Start(ctx, *cfg)
	if err != nil {
		return err
	}
	defer func() {
		// ctx is already cancelled, so Stop gets a context that is not.
		if err := d.Stop(context.WithoutCancel(ctx)); err != nil {
			cfg.Log.WithError(err).Warn("shutdown of the development deployment was incomplete")
		}
	}()
	if err := d.StreamSample(ctx, cmd.OutOrStdout()); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	printInstructions(cmd.OutOrStdout(), d, cfg)
	<-ctx.Done()
	return nil
}

func devConfig(cmd *cobra.Command) (*dev.Config, error) {
	// Package dev replaces these settings, but validation requires a value.
	for _, name := range []string{"instance", "data-centre", "key"} {
		if err := cmd.Flags().Set(name, "dev"); err != nil {
			return nil, eris.Wrap(err, "set flag")
		}
	}
	entry, err := settings.ReadEntry(cmd)
	if err != nil {
		return nil, err
	}
	example, err := cmd.Flags().GetString("example")
	if err != nil {
		return nil, eris.Wrap(err, "read flag")
	}
	entry.LameDuck = 0
	sidecar, err := sidecarDefaults()
	if err != nil {
		return nil, err
	}
	sidecar.LameDuck = 0
	log, err := logging.New(cmd.ErrOrStderr(), entry.LogLevel, entry.LogFormat)
	if err != nil {
		return nil, err
	}
	// Sidecars log warnings only. Their messages about each document would bury the entry's messages
	// about routing.
	sidecarLog, err := logging.New(cmd.ErrOrStderr(), "warning", entry.LogFormat)
	if err != nil {
		return nil, err
	}
	return &dev.Config{Example: example, Entry: *entry, Sidecar: *sidecar, Log: log, SidecarLog: sidecarLog}, nil
}

// sidecarDefaults returns the default settings of a sidecar.
func sidecarDefaults() (*settings.Sidecar, error) {
	flags := pflag.NewFlagSet("sidecar", pflag.ContinueOnError)
	settings.AddSidecarFlags(flags)
	cmd := &cobra.Command{}
	cmd.Flags().AddFlagSet(flags)
	return settings.SidecarValues(cmd)
}

// printInstructions prints example commands for callers and operators of the running deployment.
func printInstructions(w io.Writer, d *dev.Deployment, cfg *dev.Config) {
	s := d.Service()
	_, _ = fmt.Fprintf(w, `
Serving on http://%[1]s. Try:

  curl -N http://%[1]s/v1/completions -H 'X-Quetzallug-Kind: %[2]s' \
    -d '{"model": "%[3]s", "prompt": "when is the next arrival?", "max_tokens": 20, "stream": true}'

Watch and edit it with the operators' tool:

  export QUETZALLUG_KEY=%[4]s QUETZALLUG_ENTRY=%[5]s QUETZALLUG_KV_ADDRESS=%[6]s
  bin/quetzallug status
  bin/quetzallug engines
  bin/quetzallug get %[7]s

Ctrl-C stops.
`, cfg.Entry.Listen, s.Kinds[0].Name, s.Models[0].Name, dev.Key, cfg.Entry.PeerListen, d.KVAddress(), s.Service)
}
