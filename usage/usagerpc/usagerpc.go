// Package usagerpc carries the usage counts between instances.
package usagerpc

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	quetzallugv1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/usage"
)

// Peers sends counts. It implements usage.Peers.
type Peers struct{ clients *rpc.Clients }

// NewPeers returns a Peers.
func NewPeers(c *rpc.Clients) *Peers { return &Peers{clients: c} }

// Send implements usage.Peers.
func (p *Peers) Send(ctx context.Context, address string, m *usage.Message) (usage.Ack, error) {
	req := &quetzallugv1.SendCountsRequest{
		Instance: m.Instance, Run: m.Run, FinalThrough: m.FinalThrough, ClockUnixMs: m.Clock.UnixMilli(), Address: m.Address, Copy: m.Copy,
		DecidedThrough: m.DecidedThrough, CompleteEra: m.CompleteEra, RecordWindow: m.RecordWindow, HolderTag: m.HolderTag, NewFence: m.NewFence,
	}
	if m.Record != nil {
		req.Record = m.Record.Encode()
	}
	if m.ClockAhead != nil {
		req.ClockAheadMs = proto.Int64(m.ClockAhead.Milliseconds())
	}
	for _, w := range m.Windows {
		req.Windows = append(req.Windows, &quetzallugv1.WindowCounts{Window: w.Window, Counts: w.Counts})
	}
	resp, err := p.clients.Usage(address).SendCounts(ctx, connect.NewRequest(req))
	if err != nil {
		return usage.Ack{}, err
	}
	ack := usage.Ack{
		DecidedThrough: resp.Msg.GetDecidedThrough(), Instances: int(resp.Msg.GetInstances()), Clock: time.UnixMilli(resp.Msg.GetClockUnixMs()),
		WantRecord: resp.Msg.GetWantRecord(), Peers: resp.Msg.GetPeers(), NotHolder: resp.Msg.GetNotHolder(), HolderAddress: resp.Msg.GetHolderAddress(), HolderSession: resp.Msg.GetHolderSession(),
	}
	if resp.Msg.EndedMsAgo != nil {
		ago := time.Duration(resp.Msg.GetEndedMsAgo()) * time.Millisecond
		ack.EndedAgo = &ago
	}
	return ack, nil
}

// Reset implements usage.Peers. A connection on which a message got no answer may be dead.
func (p *Peers) Reset() { p.clients.Close() }

// Collector takes the counts of other instances.
type Collector interface {
	Add(m *usage.Message) usage.Ack
}

// maxMessageBytes limits one message.
const maxMessageBytes = 2 << 20

// NewHandler returns the path and the handler of the service.
func NewHandler(c Collector) (string, http.Handler) {
	return quetzallugv1connect.NewUsageServiceHandler(&handler{collector: c}, append(rpc.PeerOptions(), connect.WithReadMaxBytes(maxMessageBytes))...)
}

type handler struct{ collector Collector }

// SendCounts implements quetzallugv1connect.UsageServiceHandler.
func (h *handler) SendCounts(_ context.Context, req *connect.Request[quetzallugv1.SendCountsRequest]) (*connect.Response[quetzallugv1.SendCountsResponse], error) {
	m := &usage.Message{
		Instance: req.Msg.GetInstance(), Run: req.Msg.GetRun(), FinalThrough: req.Msg.GetFinalThrough(), Clock: time.UnixMilli(req.Msg.GetClockUnixMs()),
		Address: req.Msg.GetAddress(), Copy: req.Msg.GetCopy(),
		DecidedThrough: req.Msg.GetDecidedThrough(), CompleteEra: req.Msg.GetCompleteEra(), RecordWindow: req.Msg.GetRecordWindow(), HolderTag: req.Msg.GetHolderTag(), NewFence: req.Msg.GetNewFence(),
	}
	if m.Instance == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("instance is empty"))
	}
	if b := req.Msg.GetRecord(); len(b) > 0 {
		rec, err := usage.DecodeRecord(b)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		m.Record = rec
	}
	if req.Msg.ClockAheadMs != nil {
		ahead := time.Duration(req.Msg.GetClockAheadMs()) * time.Millisecond
		m.ClockAhead = &ahead
	}
	for _, w := range req.Msg.GetWindows() {
		m.Windows = append(m.Windows, usage.WindowCounts{Window: w.GetWindow(), Counts: w.GetCounts()})
	}
	ack := h.collector.Add(m)
	resp := &quetzallugv1.SendCountsResponse{
		DecidedThrough: ack.DecidedThrough, Instances: uint32(ack.Instances), ClockUnixMs: ack.Clock.UnixMilli(), //nolint:gosec // at most maxInstances
		WantRecord: ack.WantRecord, Peers: ack.Peers, NotHolder: ack.NotHolder, HolderAddress: ack.HolderAddress, HolderSession: ack.HolderSession,
	}
	if ack.EndedAgo != nil {
		resp.EndedMsAgo = proto.Int64(ack.EndedAgo.Milliseconds())
	}
	return connect.NewResponse(resp), nil
}
