package sidecar

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/order"
)

// errWrongTarget refuses a message that is addressed to another engine, pool or instance. It also
// refuses a message that needs an engine if this sidecar's backend server is a plain one.
var errWrongTarget = errors.New("message is for another target")

// Service implements WorkerService for a sidecar.
type Service struct {
	sidecar *Sidecar
	// orders is nil for a plain backend server.
	orders order.Sidecar
	pool   string
	log    logrus.FieldLogger
}

var _ quetzallugv1connect.WorkerServiceHandler = (*Service)(nil)

// NewService returns the RPC service of a sidecar whose engine belongs to the given pool. For a plain
// backend server, orders must be nil.
func NewService(s *Sidecar, orders order.Sidecar, pool string, log logrus.FieldLogger) *Service {
	return &Service{sidecar: s, orders: orders, pool: pool, log: log}
}

// Execute implements WorkerService.
func (s *Service) Execute(ctx context.Context, r *connect.Request[v1.ExecuteRequest], out *connect.ServerStream[v1.Frame]) error {
	return s.sidecar.Execute(ctx, r.Msg, out)
}

// Prefill implements WorkerService.
func (s *Service) Prefill(ctx context.Context, r *connect.Request[v1.PrefillRequest], out *connect.ServerStream[v1.PrefillChunk]) error {
	return s.sidecar.Prefill(ctx, r.Msg.GetAttempt(), out)
}

// Cancel implements WorkerService.
func (s *Service) Cancel(_ context.Context, r *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelResponse], error) {
	s.sidecar.Cancel(r.Msg.GetRequestId(), r.Msg.GetAttempt())
	return connect.NewResponse(&v1.CancelResponse{}), nil
}

// Seal implements WorkerService.
func (s *Service) Seal(ctx context.Context, r *connect.Request[v1.SealRequest]) (*connect.Response[v1.SealResponse], error) {
	m := r.Msg
	if err := s.checkTarget(m.GetPool(), m.GetEngine()); err != nil {
		return nil, err
	}
	res, err := s.orders.Seal(ctx, order.SealRequest{
		Pool: m.GetPool(), Engine: m.GetEngine(), Fence: m.GetFence(), Holder: m.GetHolder(),
	})
	if err != nil {
		s.log.WithFields(logrus.Fields{"fence": m.GetFence(), "holder": m.GetHolder()}).WithError(err).Warn("seal refused")
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&v1.SealResponse{
		Accepted: true, HighestFence: res.HighestFence,
		ExecutingOrder: res.Executing, ExecutorIncarnation: res.Incarnation,
	}), nil
}

// NotifyOrder implements WorkerService.
func (s *Service) NotifyOrder(ctx context.Context, r *connect.Request[v1.NotifyOrderRequest]) (*connect.Response[v1.NotifyOrderResponse], error) {
	m := r.Msg
	if err := s.checkTarget(m.GetPool(), m.GetEngine()); err != nil {
		return nil, err
	}
	resp := &v1.NotifyOrderResponse{Accepted: true}
	err := s.orders.NotifyOrder(ctx, order.Notice{
		Pool: m.GetPool(), Engine: m.GetEngine(), Fence: m.GetFence(), Number: m.GetOrderNumber(),
	})
	if err != nil {
		resp.Accepted, resp.Reason = false, err.Error()
	}
	return connect.NewResponse(resp), nil
}

// checkTarget returns an error if an order message is not addressed to this sidecar's engine.
func (s *Service) checkTarget(pool, engine string) error {
	if s.orders != nil && pool == s.pool && engine == s.sidecar.cfg.Instance {
		return nil
	}
	s.log.WithFields(logrus.Fields{"pool": pool, "engine": engine}).Warn("order message refused: it is for another engine, or this sidecar has no engine")
	return connect.NewError(connect.CodeInvalidArgument, errWrongTarget)
}

// Drain implements WorkerService.
func (s *Service) Drain(_ context.Context, r *connect.Request[v1.DrainRequest]) (*connect.Response[v1.DrainResponse], error) {
	if r.Msg.GetInstance() != s.sidecar.cfg.Instance {
		return nil, connect.NewError(connect.CodeInvalidArgument, errWrongTarget)
	}
	if r.Msg.GetUndo() {
		s.sidecar.ResumeAccepting()
	} else {
		s.sidecar.StopAccepting()
	}
	return connect.NewResponse(&v1.DrainResponse{
		InFlight: uint32(s.sidecar.InFlight()), Draining: s.sidecar.Draining(),
	}), nil
}

// Probe implements WorkerService.
func (s *Service) Probe(ctx context.Context, _ *connect.Request[v1.ProbeRequest]) (*connect.Response[v1.ProbeResponse], error) {
	return connect.NewResponse(&v1.ProbeResponse{
		Load: s.sidecar.Report(ctx), ConfigRevision: s.sidecar.docs.Revision(s.sidecar.cfg.Service),
		Work: s.sidecar.Work(),
	}), nil
}
