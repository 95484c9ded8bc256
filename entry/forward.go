package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzallug/quetzallug/dissemination"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/once"
)

// ClaimForwarder forwards claims to the entry that owns the shard of their key.
type ClaimForwarder struct {
	Clients *rpc.Clients
	Cluster string
}

var _ once.Forwarder = (*ClaimForwarder)(nil)

// Forward implements once.Forwarder.
func (f *ClaimForwarder) Forward(ctx context.Context, to external.Instance, r once.Request) (once.Result, error) {
	resp, err := f.Clients.Peer(to.Address).Claim(ctx, connect.NewRequest(&v1.ClaimRequest{
		Cluster: f.Cluster, Service: r.Service, Key: r.Key, RequestId: r.RequestID,
		Action: v1.ClaimAction(r.Action), Fingerprint: r.Fingerprint,
		Status: r.Answer.Status, ContentType: r.Answer.ContentType, Body: r.Answer.Body,
	}))
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			err = fmt.Errorf("%w: %w", once.ErrNotSent, err)
		}
		return once.Result{}, err
	}
	m := resp.Msg
	return once.Result{
		State:  once.State(m.GetState()),
		Answer: once.Answer{Status: m.GetStatus(), ContentType: m.GetContentType(), Body: m.GetBody()},
	}, nil
}

// DocumentFetcher fetches configuration documents from one entry by long polling.
type DocumentFetcher struct {
	Clients *rpc.Clients
	Cluster string
	Address string
}

var _ dissemination.Fetcher = (*DocumentFetcher)(nil)

// longPollMargin is added to the wait time of a long poll to allow for network and processing time.
const longPollMargin = 2 * time.Second

// Fetch implements dissemination.Fetcher.
func (f *DocumentFetcher) Fetch(ctx context.Context, have map[string]uint64, wait time.Duration) ([]dissemination.Document, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
	defer cancel()
	resp, err := f.Clients.Peer(f.Address).FetchDocuments(ctx, connect.NewRequest(&v1.FetchDocumentsRequest{
		Cluster: f.Cluster, Have: have, WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return nil, false, err
	}
	var docs []dissemination.Document
	for _, d := range resp.Msg.GetDocuments() {
		docs = append(docs, dissemination.Document{
			Service: d.GetService(), Revision: d.GetRevision(), Body: d.GetBody(), Deleted: d.GetDeleted(),
		})
	}
	return docs, resp.Msg.GetConfirmed(), nil
}
