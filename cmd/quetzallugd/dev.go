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
	settings.AddEntry(cmd.Flags())
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
		// The signal's context is over; the stop has its own bound.
		if err := d.Stop(context.WithoutCancel(ctx)); err != nil {
			cfg.Log.WithError(err).Warn("not everything stopped gracefully")
		}
	}()
	if err := d.ShowVerdict(ctx, cmd.OutOrStdout()); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	howToCall(cmd.OutOrStdout(), d, cfg)
	<-ctx.Done()
	return nil
}

func devConfig(cmd *cobra.Command) (*dev.Config, error) {
	// Settings that dev chooses itself need a value to pass the checks.
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
	// The sidecars' lines about each document would hide the entry's routing lines.
	sidecarLog, err := logging.New(cmd.ErrOrStderr(), "warning", entry.LogFormat)
	if err != nil {
		return nil, err
	}
	return &dev.Config{Example: example, Entry: *entry, Sidecar: *sidecar, Log: log, SidecarLog: sidecarLog}, nil
}

// sidecarDefaults returns the default settings of a sidecar.
func sidecarDefaults() (*settings.Sidecar, error) {
	f := pflag.NewFlagSet("sidecar", pflag.ContinueOnError)
	settings.AddSidecar(f)
	cmd := &cobra.Command{}
	cmd.Flags().AddFlagSet(f)
	return settings.SidecarValues(cmd)
}

func howToCall(w io.Writer, d *dev.Deployment, cfg *dev.Config) {
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
