// Package cli implements the quetzallug command line tool for operators. Commands write data to standard output
// and everything else to standard error.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"github.com/quetzallug/quetzallug/external"
)

// Streams holds the standard streams of a run.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app is the state of one run of the tool.
type app struct {
	streams  Streams
	settings *viper.Viper
	// settingsValid is set once the command line and the settings are known to be valid. Errors before that are
	// usage errors.
	settingsValid bool
	// openKV opens the key-value service. Tests may replace it.
	openKV func(ctx context.Context, module, address string) (external.KV, func(), error)
	// checkGatewayConfig reports the faults of a gateway's configuration; nil if the tool was built without a platform.
	checkGatewayConfig func(value []byte) error
}

// Option adds to what the tool can do.
type Option func(*app)

// WithGatewayConfigCheck lets validate check gateways' configurations in the format of a platform. The texts of errors
// must contain no secrets.
func WithGatewayConfigCheck(check func(value []byte) error) Option {
	return func(a *app) { a.checkGatewayConfig = check }
}

// Run runs the tool with the given arguments and returns its exit code.
func Run(ctx context.Context, args []string, s Streams, options ...Option) int {
	a := newApp(s)
	for _, o := range options {
		o(a)
	}
	return a.run(ctx, args)
}

func newApp(s Streams) *app { return &app{streams: s, settings: newViper(), openKV: openKV} }

func (a *app) run(ctx context.Context, args []string) int {
	root := a.rootCommand() //nolint:contextcheck // cobra passes the context to each command
	root.SetArgs(args)
	root.SetIn(a.streams.In)
	root.SetOut(a.streams.Out)
	root.SetErr(a.streams.Err)
	err := root.ExecuteContext(ctx)
	if err != nil && !a.settingsValid {
		err = &usageError{err}
	}
	if err != nil {
		_, _ = fmt.Fprintln(a.streams.Err, errorMessage(err))
	}
	return exitCode(err)
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "quetzallug",
		Short: "Manage service documents and inspect the serving system",
		Long: `quetzallug manages service documents and shows the state of the serving system.

` + exitCodesHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := a.checkSettings(); err != nil {
				return err
			}
			a.settingsValid = true
			return nil
		},
	}
	a.addFlags(root.PersistentFlags())
	root.AddCommand(
		a.validateCommand(), a.applyCommand(), a.diffCommand(), a.getCommand(), a.historyCommand(),
		a.statusCommand(), a.enginesCommand(), a.explainCommand(), a.drainCommand(), a.versionCommand(),
	)
	return root
}

// noticef prints a message for the operator to standard error.
func (a *app) noticef(format string, args ...any) {
	_, _ = fmt.Fprintf(a.streams.Err, format+"\n", args...)
}
