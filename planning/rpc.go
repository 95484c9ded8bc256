package planning

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/order"
)

// DialRPC returns a function that looks up the sidecar of an engine in the membership and returns
// an RPC client for it.
func DialRPC(clients *rpc.Clients, cluster string, find func(instance string) (membership.Member, bool)) func(pool, engine string) (Sidecar, error) {
	return func(_, engine string) (Sidecar, error) {
		m, ok := find(engine)
		if !ok {
			return nil, fmt.Errorf("engine %q is not in the instance list", engine)
		}
		return &sidecar{client: clients.Worker(m.Address), cluster: cluster}, nil
	}
}

type sidecar struct {
	client  quetzallugv1connect.WorkerServiceClient
	cluster string
}

// Seal implements order.Sidecar.
func (s *sidecar) Seal(ctx context.Context, r order.SealRequest) (order.SealResult, error) {
	resp, err := s.client.Seal(ctx, connect.NewRequest(&v1.SealRequest{
		Cluster: s.cluster, Pool: r.Pool, Engine: r.Engine, Fence: r.Fence, Holder: r.Holder,
	}))
	if err != nil {
		return order.SealResult{}, err
	}
	return order.SealResult{
		HighestFence: resp.Msg.GetHighestFence(), Incarnation: resp.Msg.GetExecutorIncarnation(),
		Executing: resp.Msg.GetExecutingOrder(),
	}, nil
}

// NotifyOrder implements order.Sidecar.
func (s *sidecar) NotifyOrder(ctx context.Context, n order.Notice) error {
	resp, err := s.client.NotifyOrder(ctx, connect.NewRequest(&v1.NotifyOrderRequest{
		Cluster: s.cluster, Pool: n.Pool, Engine: n.Engine, Fence: n.Fence, OrderNumber: n.Number,
	}))
	if err != nil {
		return err
	}
	if !resp.Msg.GetAccepted() {
		return fmt.Errorf("sidecar refused the order notice: %s", resp.Msg.GetReason())
	}
	return nil
}

// Probe implements Sidecar.
func (s *sidecar) Probe(ctx context.Context) (*v1.ProbeResponse, error) {
	resp, err := s.client.Probe(ctx, connect.NewRequest(&v1.ProbeRequest{Cluster: s.cluster}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
