package cli

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
)

type applyFlags struct {
	base   uint64
	delete bool
}

func (a *app) applyCommand() *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Write a document as the next revision of its service",
		Long: `apply validates a document and writes it to the key-value service if the service that it describes is
still at the base revision. The base revision comes from --base or from the comment in the first line of a
document from 'get'; it is 0 for a service that does not exist or is deleted. Once apply reports the
new revision, the document is accepted and takes effect everywhere within 8 s.

If another change was accepted in the meantime, nothing is written: apply prints the difference from
the accepted document to this one on standard output and exits with 4.

With --delete, the argument is the name of a service, which is deleted.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			hasBase := cmd.Flags().Changed("base")
			return a.withKV(cmd, func(ctx context.Context, kv external.KV) error {
				if f.delete {
					return a.deleteService(ctx, kv, args[0], f.base, hasBase)
				}
				return a.apply(ctx, kv, args[0], f.base, hasBase)
			})
		},
	}
	cmd.Flags().Uint64Var(&f.base, "base", 0, "revision on which the change is based")
	cmd.Flags().BoolVar(&f.delete, "delete", false, "delete the service named by the argument")
	return cmd
}

func (a *app) apply(ctx context.Context, kv external.KV, name string, base uint64, hasBase bool) error {
	f, err := a.readDocument(name)
	if err != nil {
		return err
	}
	if !hasBase {
		if !f.hasBase {
			return usagef("%s has no revision comment for service %s: set --base, or apply a file from 'quetzallug get'", name, f.service.Service)
		}
		base = f.base
	}
	r, err := registry.Apply(ctx, kv, f.service.Service, base, f.body, a.settings.GetString(settingAuthor))
	return a.reportWrite(&r, err)
}

func (a *app) deleteService(ctx context.Context, kv external.KV, service string, base uint64, hasBase bool) error {
	if !hasBase {
		return usagef("--delete needs --base with the revision to delete")
	}
	r, err := registry.Delete(ctx, kv, service, base, a.settings.GetString(settingAuthor))
	return a.reportWrite(&r, err)
}

// reportWrite prints the record of an accepted write, or the difference to the accepted document after a
// conflict.
func (a *app) reportWrite(r *registry.Record, err error) error {
	var conflict *registry.ConflictError
	if errors.As(err, &conflict) {
		if conflict.Diff == "" {
			a.noticef("The accepted document has the same content.")
		}
		return errors.Join(err, a.print(conflict.Diff))
	}
	if err != nil {
		return err
	}
	return a.emit(newRecordView(r), recordTable(*r))
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Compare a document with the accepted one",
		Long: `diff prints a unified diff from the accepted document to FILE, or nothing if they are equal. The
exit code is 0 in both cases.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.withKV(cmd, func(ctx context.Context, kv external.KV) error {
				return a.diff(ctx, kv, args[0])
			})
		},
	}
}

func (a *app) diff(ctx context.Context, kv external.KV, name string) error {
	f, err := a.readDocument(name)
	if err != nil {
		return err
	}
	r, err := registry.Get(ctx, kv, f.service.Service)
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		return err
	}
	from := fmt.Sprintf("%s revision %d", f.service.Service, r.Revision)
	text, err := document.Diff(from, name, r.Body, f.body)
	if err != nil {
		return err
	}
	if a.output() == "table" {
		return a.print(text)
	}
	return a.emit(map[string]any{"service": f.service.Service, "revision": r.Revision, "diff": text}, nil)
}

func recordTable(records ...registry.Record) *table {
	t := &table{header: []string{"SERVICE", "REVISION", "DELETED", "AUTHOR", "TIME", "BYTES"}}
	for _, r := range records {
		t.add(r.Service, strconv.FormatUint(r.Revision, 10), strconv.FormatBool(r.Deleted), r.Author, formatTime(r.Time), strconv.Itoa(len(r.Body)))
	}
	return t
}
