// Package cli implements the operators' tool. Commands write data to the standard output and
// everything else to the standard error.
package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"github.com/quetzallug/quetzallug/external"
)

// Streams are the standard streams of a run.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app is one run of the tool.
type app struct {
	streams Streams
	v       *viper.Viper
	// started is set once the command line has been accepted.
	started bool
	// openKV is replaced in tests.
	openKV func(ctx context.Context, module, address string) (external.KV, func(), error)
}

// Run runs the tool and returns its exit code.
func Run(ctx context.Context, args []string, s Streams) int {
	return newApp(s).run(ctx, args)
}

func newApp(s Streams) *app { return &app{streams: s, v: newViper(), openKV: loadKV} }

func (a *app) run(ctx context.Context, args []string) int {
	root := a.root() //nolint:contextcheck // cobra hands the context to each command
	root.SetArgs(args)
	root.SetIn(a.streams.In)
	root.SetOut(a.streams.Out)
	root.SetErr(a.streams.Err)
	err := root.ExecuteContext(ctx)
	if err != nil && !a.started {
		err = &usageError{err}
	}
	if err != nil {
		_, _ = fmt.Fprintln(a.streams.Err, message(err))
	}
	return exitCode(err)
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "quetzallug",
		Short: "Edit service documents and watch the serving system",
		Long: `quetzallug edits the documents of services and shows the state of the serving system.

` + exitCodesHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := a.checkSettings(); err != nil {
				return err
			}
			a.started = true
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

func (a *app) note(format string, args ...any) {
	_, _ = fmt.Fprintf(a.streams.Err, format+"\n", args...)
}
