package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	quetzallugv1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
)

type decisionView struct {
	Time       string   `json:"time"`
	Entry      string   `json:"entry"`
	Subject    string   `json:"subject"`
	Choice     string   `json:"choice"`
	Reason     string   `json:"reason"`
	Candidates []string `json:"candidates"`
	at         time.Time
}

func (a *app) explainCommand() *cobra.Command {
	var logs []string
	cmd := &cobra.Command{
		Use:   "explain SUBJECT",
		Short: "Show the decisions about a request or an engine",
		Long: `explain queries all given entries for their recent routing and placement decisions about a request
ID or an engine, and lists them in order of time. Entries keep decisions in memory, and only for a
short time.

With --logs it reads gateway logs instead, from files or, for -, from standard input. It lists the log
lines of one request in order of time and summarises what happened.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return a.explainLogs(logs, args[0])
			}
			ctx, cancel := a.withTimeout(cmd.Context())
			defer cancel()
			return a.explain(ctx, args[0])
		},
	}
	cmd.Flags().StringSliceVar(&logs, "logs", nil, "gateway log files, - for standard input")
	return cmd
}

func (a *app) explain(ctx context.Context, subject string) error {
	responses, err := queryEntries(a, ctx, func(ctx context.Context, c quetzallugv1connect.PeerServiceClient) (*quetzallugv1.ExplainResponse, error) {
		r, err := c.Explain(ctx, connect.NewRequest(&quetzallugv1.ExplainRequest{Cluster: a.cluster(), Subject: subject}))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	})
	if err != nil {
		return err
	}
	var views []decisionView
	for _, r := range responses {
		for _, d := range r.value.GetDecisions() {
			at := fromUnixMS(d.GetAtUnixMs())
			views = append(views, decisionView{
				at.Format(time.RFC3339Nano), r.address, d.GetSubject(), d.GetChoice(), d.GetReason(),
				append([]string{}, d.GetCandidates()...), at,
			})
		}
	}
	if len(views) == 0 {
		return fmt.Errorf("no entry has a recent decision about %q", subject)
	}
	slices.SortStableFunc(views, func(x, y decisionView) int { return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.Entry, y.Entry)) })
	t := &table{header: []string{"TIME", "ENTRY", "SUBJECT", "CHOICE", "REASON", "CANDIDATES"}}
	for _, v := range views {
		t.add(v.Time, v.Entry, v.Subject, v.Choice, v.Reason, strings.Join(v.Candidates, ","))
	}
	return a.emit(views, t)
}
