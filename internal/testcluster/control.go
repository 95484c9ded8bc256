package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/peerauth"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
	"github.com/quetzallug/quetzallug/standin/instances"
)

// RestartEntry starts a terminated entry again with the same arguments and registers it again.
func (c *Cluster) RestartEntry(ctx context.Context, e *Entry) error {
	if err := e.Restart(); err != nil {
		return err
	}
	return c.register(ctx, e.instance)
}

// RestartSidecar starts a terminated sidecar again with the same arguments and registers it again.
func (c *Cluster) RestartSidecar(ctx context.Context, w *Worker) error {
	if err := w.Sidecar.Restart(); err != nil {
		return err
	}
	return c.register(ctx, w.instance)
}

// SetInstanceListFaults sets the faults that the instance list injects.
func (c *Cluster) SetInstanceListFaults(ctx context.Context, f instances.FaultRequest) error {
	return post(ctx, c.instancesURL+"/faults", f)
}

// Clients returns RPC clients that authenticate as members of the cluster.
func (*Cluster) Clients() *rpc.Clients {
	log := logrus.New()
	return rpc.NewClients(rpc.ClientConfig{Interceptors: []connect.Interceptor{peerauth.NewInterceptor(peerauth.Credentials{Cluster: Name, Key: Key}, log)}})
}

// Status returns the status that the entry reports.
func (e *Entry) Status(ctx context.Context, clients *rpc.Clients) (*v1.StatusResponse, error) {
	resp, err := clients.Peer(e.PeerAddress).Status(ctx, connect.NewRequest(&v1.StatusRequest{Cluster: Name}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Probe returns the load and configuration revision that the sidecar reports.
func (w *Worker) Probe(ctx context.Context, clients *rpc.Clients) (*v1.ProbeResponse, error) {
	resp, err := clients.Worker(w.Address).Probe(ctx, connect.NewRequest(&v1.ProbeRequest{Cluster: Name}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// SetEngineFaults sets the faults that the engine injects.
func (w *Worker) SetEngineFaults(ctx context.Context, f engine.FaultRequest) error {
	return post(ctx, w.BackendAddress+"/faults", f)
}

// SetBackendFaults sets the faults that the plain backend server injects.
func (w *Worker) SetBackendFaults(ctx context.Context, f backend.Faults) error {
	return post(ctx, w.BackendAddress+backend.PathFaults, f)
}

// EngineState returns the state of the engine.
func (w *Worker) EngineState(ctx context.Context) (s external.EngineState, err error) {
	err = get(ctx, w.BackendAddress+enginewire.PathState, &s)
	return s, err
}

// EngineReport returns the journal of the engine and the protocol violations it has seen.
func (w *Worker) EngineReport(ctx context.Context) (r engine.Report, err error) {
	err = get(ctx, w.BackendAddress+"/journal", &r)
	return r, err
}

// BackendJournal returns the journal of the plain backend server.
func (w *Worker) BackendJournal(ctx context.Context) (r []backend.Record, err error) {
	err = get(ctx, w.BackendAddress+backend.PathJournal, &r)
	return r, err
}

// OrderRecord reads the record of the engine's latest order from the key-value service.
func (w *Worker) OrderRecord(ctx context.Context, kv external.KV) (r order.Record, err error) {
	e, err := kv.Get(ctx, order.Key(w.PoolName(), w.ID))
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(e.Value, &r)
}

// PoolName returns the name of the worker's pool.
func (w *Worker) PoolName() string { return w.Pool.Service + "." + w.Pool.DataCentre }

// Holder returns the entry that holds the lease of a pool. The holder in the pool's fence record is the
// entry's ID, a slash and its incarnation.
func (c *Cluster) Holder(ctx context.Context, kv external.KV, pool string) (*Entry, error) {
	p, err := lease.ReadPool(ctx, kv, pool)
	if err != nil {
		return nil, err
	}
	for _, e := range c.Entries {
		if p.HasHolder && len(p.FenceRecord.Holder) > len(e.ID) && p.FenceRecord.Holder[:len(e.ID)+1] == e.ID+"/" {
			return e, nil
		}
	}
	return nil, fmt.Errorf("no entry of the cluster holds the lease of pool %s", pool)
}

// ApplyBody applies a document as the revision that follows base. Unlike Apply, it writes to the registry
// without the command line tool.
func (c *Cluster) ApplyBody(ctx context.Context, service string, base uint64, body []byte, author string) (registry.Record, error) {
	kv, err := c.KV(ctx)
	if err != nil {
		return registry.Record{}, err
	}
	return registry.Apply(ctx, kv, service, base, body, author)
}

// Ready reports whether an entry passes its readiness check.
func (e *Entry) Ready(ctx context.Context, client *http.Client) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
