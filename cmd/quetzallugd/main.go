// Command quetzallugd is the daemon. Its roles are gateway, which serves callers of an installation
// through an adapter for the installation's protocol; entry, which serves callers through the API of
// quetzallug; sidecar, which runs beside one backend server; and dev, which runs an example deployment
// in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/quetzallug/quetzallug/internal/app"
	"github.com/quetzallug/quetzallug/internal/logging"
	"github.com/quetzallug/quetzallug/internal/settings"
)

// stopSignals receives termination signals, including those that arrive while a role is being set up.
var stopSignals = make(chan os.Signal, 1)

func main() {
	// Signals are handled from the start, because the default action would terminate a process that may
	// already be serving. SIGHUP is ignored: no role reloads its settings.
	signal.Ignore(syscall.SIGHUP)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	root := &cobra.Command{
		Use:           "quetzallugd",
		Short:         "Serve a fixed fleet of model engines and plain backend servers",
		Long:          "quetzallugd is the daemon of quetzallug. Each flag can also be set by the environment variable\nQUETZALLUG_ followed by the flag's name in upper case, with _ for -.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(gatewayCommand(), entryCommand(), sidecarCommand(), devCommand(), settingsCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "quetzallugd:", err)
		os.Exit(1)
	}
}

func entryCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Serve callers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.ReadEntry(cmd)
			if err != nil {
				return err
			}
			log, err := logging.New(os.Stderr, s.LogLevel, s.LogFormat)
			if err != nil {
				return err
			}
			return run(app.Entry(s, log), log)
		},
	}
	settings.AddEntryFlags(cmd.Flags())
	return cmd
}

func sidecarCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "sidecar",
		Short: "Run beside one backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.ReadSidecar(cmd)
			if err != nil {
				return err
			}
			log, err := logging.New(os.Stderr, s.LogLevel, s.LogFormat)
			if err != nil {
				return err
			}
			return run(app.Sidecar(s, log), log)
		},
	}
	settings.AddSidecarFlags(cmd.Flags())
	return cmd
}

// run starts a role, waits for a termination signal or for the role to request shutdown, and stops the
// role gracefully.
func run(a *fx.App, log *logrus.Logger) error {
	if err := a.Err(); err != nil {
		return eris.Wrap(err, "set up the role")
	}
	startCtx, cancel := context.WithTimeout(context.Background(), a.StartTimeout())
	defer cancel()
	if err := a.Start(startCtx); err != nil {
		return eris.Wrap(err, "start the role")
	}
	var exitCode int
	select {
	case sig := <-stopSignals:
		log.WithField("signal", fmt.Sprint(sig)).Info("stopping")
	case shutdown := <-a.Wait():
		exitCode = shutdown.ExitCode
		log.WithField("signal", fmt.Sprint(shutdown.Signal)).Info("stopping")
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), a.StopTimeout())
	defer cancel()
	if err := a.Stop(stopCtx); err != nil {
		return eris.Wrap(err, "stop the role")
	}
	if exitCode != 0 {
		return eris.Errorf("stopped with exit code %d", exitCode)
	}
	log.Info("stopped")
	return nil
}
