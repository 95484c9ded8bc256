package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzallug/quetzallug/dissemination"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/once"
)

// maxFetchWait is the longest wait of a long poll for documents.
const maxFetchWait = 30 * time.Second

// Peer implements PeerService, which serves documents, claims, status and decisions to the other
// processes of the cluster.
type Peer struct {
	cfg       Config
	store     *dissemination.Store
	claims    once.Claimer
	workers   func() []*v1.WorkerStatus
	heldPools func() []string
	decisions *DecisionLog
}

var _ quetzallugv1connect.PeerServiceHandler = (*Peer)(nil)

// PeerOptions holds the dependencies of a Peer.
type PeerOptions struct {
	Store *dissemination.Store
	// Claims commits claims in this process. It must not forward them again.
	Claims once.Claimer
	// Workers returns the status of all workers that this process knows.
	Workers func() []*v1.WorkerStatus
	// HeldPools returns the names of the pools whose lease this process holds.
	HeldPools func() []string
	Decisions *DecisionLog
}

// NewPeer returns the peer service of an entry with the given dependencies.
func NewPeer(cfg Config, o PeerOptions) *Peer {
	return &Peer{cfg: cfg, store: o.Store, claims: o.Claims, workers: o.Workers, heldPools: o.HeldPools, decisions: o.Decisions}
}

// FetchDocuments implements PeerService.
func (p *Peer) FetchDocuments(ctx context.Context, r *connect.Request[v1.FetchDocumentsRequest]) (*connect.Response[v1.FetchDocumentsResponse], error) {
	wait := min(time.Duration(r.Msg.GetWaitMs())*time.Millisecond, maxFetchWait)
	docs, confirmed, err := p.store.Wait(ctx, r.Msg.GetHave(), wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeCanceled, err)
	}
	resp := &v1.FetchDocumentsResponse{Confirmed: confirmed}
	for _, d := range docs {
		resp.Documents = append(resp.Documents, &v1.Document{
			Service: d.Service, Revision: d.Revision, Body: d.Body, Deleted: d.Deleted,
		})
	}
	return connect.NewResponse(resp), nil
}

// Claim implements PeerService.
func (p *Peer) Claim(ctx context.Context, r *connect.Request[v1.ClaimRequest]) (*connect.Response[v1.ClaimResponse], error) {
	res := p.claims.Do(ctx, claimFromProto(r.Msg))
	return connect.NewResponse(claimToProto(res)), nil
}

// Status implements PeerService.
func (p *Peer) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	resp := &v1.StatusResponse{
		Instance: p.cfg.Instance, DataCentre: p.cfg.DataCentre, Incarnation: p.cfg.Incarnation,
		Confirmed: p.store.Confirmed(), Workers: p.workers(), PoolsHeld: p.heldPools(),
	}
	for name, state := range p.store.Snapshot() {
		resp.Documents = append(resp.Documents, &v1.DocumentStatus{
			Service: name, Revision: state.Revision, InForceSinceUnixMs: state.Since.UnixMilli(), Deleted: state.Deleted,
		})
	}
	return connect.NewResponse(resp), nil
}

// Explain implements PeerService.
func (p *Peer) Explain(_ context.Context, r *connect.Request[v1.ExplainRequest]) (*connect.Response[v1.ExplainResponse], error) {
	return connect.NewResponse(&v1.ExplainResponse{Decisions: p.decisions.Find(r.Msg.GetSubject())}), nil
}

func claimFromProto(m *v1.ClaimRequest) once.Request {
	return once.Request{
		Service: m.GetService(), Key: m.GetKey(), RequestID: m.GetRequestId(),
		Action: once.Action(m.GetAction()), Fingerprint: m.GetFingerprint(),
		Answer: once.Answer{Status: m.GetStatus(), ContentType: m.GetContentType(), Body: m.GetBody()},
	}
}

func claimToProto(r once.Result) *v1.ClaimResponse {
	return &v1.ClaimResponse{
		State: v1.ClaimState(r.State), Status: r.Answer.Status,
		ContentType: r.Answer.ContentType, Body: r.Answer.Body,
	}
}
