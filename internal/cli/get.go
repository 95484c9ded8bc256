package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
)

// recordView is the JSON and YAML form of a record.
type recordView struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
	Author   string `json:"author"`
	Time     string `json:"time"`
	WriteID  string `json:"write_id"`
	Document string `json:"document,omitempty"`
}

func newRecordView(r *registry.Record) recordView {
	return recordView{r.Service, r.Revision, r.Deleted, r.Author, formatTime(r.Time), r.WriteID, string(r.Body)}
}

func (a *app) getCommand() *cobra.Command {
	var revision uint64
	cmd := &cobra.Command{
		Use:   "get SERVICE",
		Short: "Print the accepted document of a service",
		Long: `get prints the accepted document. The first line is a comment with the revision, from which
'apply' takes the base revision. With --revision it prints one of the last 20 revisions. The comment
then names that old revision, so 'apply' needs --base for such a file.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.withKV(cmd, func(ctx context.Context, kv external.KV) error {
				return a.get(ctx, kv, args[0], revision)
			})
		},
	}
	cmd.Flags().Uint64Var(&revision, "revision", 0, "print this revision from the history instead of the accepted one")
	return cmd
}

func (a *app) get(ctx context.Context, kv external.KV, service string, revision uint64) error {
	r, err := findRevision(ctx, kv, service, revision)
	if err != nil {
		return err
	}
	if a.output() != "table" {
		return a.emit(newRecordView(&r), nil)
	}
	if r.Deleted {
		a.noticef("service %s has been deleted since revision %d, by %s", r.Service, r.Revision, r.Author)
		return nil
	}
	return a.print(revisionComment(&r) + string(r.Body))
}

// findRevision returns a revision from the history, or the current record if revision is 0.
func findRevision(ctx context.Context, kv external.KV, service string, revision uint64) (registry.Record, error) {
	if revision == 0 {
		return registry.Get(ctx, kv, service)
	}
	records, err := registry.History(ctx, kv, service)
	if err != nil {
		return registry.Record{}, err
	}
	for _, r := range records {
		if r.Revision == revision {
			return r, nil
		}
	}
	return registry.Record{}, fmt.Errorf("%w: revision %d of %q is not in the history", registry.ErrNotFound, revision, service)
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history SERVICE",
		Short: "List the latest revisions of a service, newest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.withKV(cmd, func(ctx context.Context, kv external.KV) error {
				return a.history(ctx, kv, args[0])
			})
		},
	}
}

func (a *app) history(ctx context.Context, kv external.KV, service string) error {
	records, err := registry.History(ctx, kv, service)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return fmt.Errorf("%w: %q has no history", registry.ErrNotFound, service)
	}
	views := make([]recordView, len(records))
	for i := range records {
		views[i] = newRecordView(&records[i])
	}
	return a.emit(views, recordTable(records...))
}
