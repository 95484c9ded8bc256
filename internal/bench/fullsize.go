package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/instanceshttp"
	"github.com/quetzallug/quetzallug/order"
)

// Target size of the design page.
const (
	fullEntries     = 340
	fullSidecars    = 640
	fullDataCentres = 5
	fullServices    = 8
	// realSidecars run beside the real entries.
	realSidecars = 2
	// fullSettle is above the 107 s in which an entry's probes go round all sidecars. Until then, each
	// probe makes a connection.
	fullSettle = 130 * time.Second
	registered = time.Hour
)

// peers answers for the processes of a full-size fleet that are not real: it listens on an address
// for each of them.
type peers struct {
	documents []*v1.Document
	servers   []*http.Server
}

// fakeWorker answers probes and seals as the sidecar of an engine that is loaded and idle.
type fakeWorker struct {
	quetzallugv1connect.UnimplementedWorkerServiceHandler
	id, model string
	sequence  atomic.Uint64
}

func (w *fakeWorker) report() *v1.LoadReport {
	return &v1.LoadReport{
		Instance: w.id, Incarnation: "01a23f41-d0c3-7b12-a1df-beb49b71f8af", Sequence: w.sequence.Add(1),
		TotalPieces: 256, FreePieces: 256, Role: string(external.RoleMixed), Models: []string{w.model},
	}
}

// Execute implements WorkerService.
func (w *fakeWorker) Execute(_ context.Context, r *connect.Request[v1.ExecuteRequest], out *connect.ServerStream[v1.Frame]) error {
	f := &v1.Frame{RequestId: r.Msg.GetRequestId(), Attempt: r.Msg.GetAttempt(), Tokens: 1, Data: []byte(" token")}
	for f.Offset = 0; f.GetOffset() < answerTokens; f.Offset++ {
		if err := out.Send(f); err != nil {
			return err
		}
	}
	return out.Send(&v1.Frame{RequestId: f.GetRequestId(), Attempt: f.GetAttempt(), Offset: answerTokens, Final: &v1.Final{
		Outcome: v1.Outcome_OUTCOME_COMPLETE, Total: answerTokens, FinishReason: "length", Load: w.report(),
	}})
}

// Probe implements WorkerService.
func (w *fakeWorker) Probe(context.Context, *connect.Request[v1.ProbeRequest]) (*connect.Response[v1.ProbeResponse], error) {
	return connect.NewResponse(&v1.ProbeResponse{Load: w.report(), Work: []*v1.KindWork{{Kind: "chat", Requests: 1000, PromptTokens: 100_000, OutputTokens: 100_000}}}), nil
}

// Seal implements WorkerService.
func (*fakeWorker) Seal(_ context.Context, r *connect.Request[v1.SealRequest]) (*connect.Response[v1.SealResponse], error) {
	return connect.NewResponse(&v1.SealResponse{Accepted: true, HighestFence: r.Msg.GetFence(), ExecutorIncarnation: 1}), nil
}

// fakePeer answers document polls as an entry that is up to date.
type fakePeer struct {
	quetzallugv1connect.UnimplementedPeerServiceHandler
	id    string
	peers *peers
}

// FetchDocuments implements PeerService.
func (p *fakePeer) FetchDocuments(ctx context.Context, r *connect.Request[v1.FetchDocumentsRequest]) (*connect.Response[v1.FetchDocumentsResponse], error) {
	resp := &v1.FetchDocumentsResponse{Confirmed: true}
	for _, d := range p.peers.documents {
		if r.Msg.GetHave()[d.GetService()] < d.GetRevision() {
			resp.Documents = append(resp.Documents, d)
		}
	}
	if len(resp.GetDocuments()) == 0 {
		_ = pause(ctx, time.Duration(r.Msg.GetWaitMs())*time.Millisecond)
	}
	return connect.NewResponse(resp), nil
}

// Status implements PeerService.
func (p *fakePeer) Status(context.Context, *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
	return connect.NewResponse(&v1.StatusResponse{Instance: p.id, Confirmed: true}), nil
}

func (p *peers) listen(h http.Handler, path string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.Handle(path, h)
	srv := rpc.NewServer(mux)
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

func (p *peers) close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}

func fullService(i int) string    { return fmt.Sprintf("model-%d", i%fullServices) }
func fullDataCentre(i int) string { return fmt.Sprintf("dc-%d", i/fullServices%fullDataCentres) }

// instances returns the instances that are not real.
func (p *peers) instances(realEntries int) ([]external.Instance, error) {
	var all []external.Instance
	for i := range fullSidecars - realSidecars {
		id := fmt.Sprintf("worker-%d", i)
		path, h := quetzallugv1connect.NewWorkerServiceHandler(&fakeWorker{id: id, model: fullService(i)}, rpc.WorkerOptions()...)
		addr, err := p.listen(h, path)
		if err != nil {
			return nil, err
		}
		all = append(all, external.Instance{
			ID: id, Role: external.RoleSidecar, Service: fullService(i), DataCentre: fullDataCentre(i), Address: addr, State: external.InstanceLive,
		})
	}
	for i := range fullEntries - realEntries {
		id := fmt.Sprintf("peer-%d", i)
		path, h := quetzallugv1connect.NewPeerServiceHandler(&fakePeer{id: id, peers: p}, rpc.PeerOptions()...)
		addr, err := p.listen(h, path)
		if err != nil {
			return nil, err
		}
		all = append(all, external.Instance{
			ID: id, Role: external.RoleEntry, DataCentre: fmt.Sprintf("dc-%d", i%fullDataCentres), Address: addr, State: external.InstanceLive,
		})
	}
	return all, nil
}

// fullDocument returns the document of a service with a pool in each data centre.
func fullDocument(service string) []byte {
	var dcs []string
	var pools strings.Builder
	for i := range fullDataCentres {
		dc := fmt.Sprintf("dc-%d", i)
		dcs = append(dcs, dc)
		fmt.Fprintf(&pools, "  - data_centre: %s\n    workers: 16\n    roles: {mixed: 16}\n    checks_fence: true\n", dc)
	}
	return fmt.Appendf(nil, `service: %s
type: model
data_centres: [%s]
models:
  - name: %s
    version: "1"
    weights_mib: 64
pools:
%skinds:
  - name: chat
    rank: 1
    deadlines: {first_token: 730ms, between_tokens: 71ms, total: 60s}
    repeatable: true
    interruptible: true
`, service, strings.Join(dcs, ", "), service, pools.String())
}

// prepare writes the documents and order records and registers the fleet.
func (p *peers) prepare(ctx context.Context, kv external.KV, list *instanceshttp.Client, realEntries int) error {
	all, err := p.instances(realEntries)
	if err != nil {
		return err
	}
	for i := range fullServices {
		body := fullDocument(fullService(i))
		if _, err := registry.Apply(ctx, kv, fullService(i), 0, body, "bench"); err != nil {
			return err
		}
		p.documents = append(p.documents, &v1.Document{Service: fullService(i), Revision: 1, Body: body})
	}
	for _, in := range all {
		if err := list.Register(ctx, in, registered); err != nil {
			return err
		}
		if in.Role != external.RoleSidecar {
			continue
		}
		b, err := json.Marshal(order.Record{Number: 1, Incarnation: 1, Phase: order.PhaseDone, Config: external.EngineConfig{
			Role: external.RoleMixed, Models: []external.ModelVersion{{Name: in.Service, Version: "1"}},
		}})
		if err != nil {
			return err
		}
		if _, err := kv.CompareAndSwap(ctx, order.Key(in.Service+"."+in.DataCentre, in.ID), 0, b, 0); err != nil {
			return err
		}
	}
	return nil
}

// FullSize measures real entries and sidecars in a list of the target size at rest. The rest of the
// fleet is listeners in this process that answer probes, polls and seals, but ask for nothing.
func FullSize(ctx context.Context, cfg CapacityConfig, realEntries int) (samples []Sample, err error) {
	tc := testcluster.Config{
		Bin: cfg.Bin, Dir: cfg.Dir, Entries: realEntries, DataCentres: []string{"dc-0", "dc-1"},
		EntryArgs:  []string{"--instances-poll", "2s", "--plan-interval", "5s"},
		EngineArgs: []string{"--model", fullService(0) + "@1"}, KVArgs: []string{"--writes", "0", "--reads", "0"},
	}
	for i := range realSidecars {
		tc.Pools = append(tc.Pools, testcluster.Pool{Service: fullService(0), DataCentre: fmt.Sprintf("dc-%d", i), Workers: 1, CheckFence: true})
	}
	c, err := testcluster.Start(ctx, tc)
	if err != nil {
		return nil, err
	}
	p := &peers{}
	defer p.close()
	defer func() { err = errors.Join(err, c.Stop()) }()
	kv, err := c.KV(ctx)
	if err != nil {
		return nil, err
	}
	list, err := kernel.Load[*instanceshttp.Client](ctx, instanceshttp.ID, kernel.Settings{"address": c.InstancesAddress()})
	if err != nil {
		return nil, err
	}
	if err := p.prepare(ctx, kv, list, realEntries); err != nil {
		return nil, err
	}
	// Entries that start with the whole list take the pools that are their share.
	for _, e := range c.Entries {
		e.Kill()
		if err := e.Restart(); err != nil {
			return nil, err
		}
	}
	r := &capacityRun{cfg: cfg, size: Size{Entries: realEntries, Sidecars: realSidecars}, cluster: c}
	for _, e := range c.Entries {
		r.add(e.Address, e.LogPath)
	}
	for _, w := range c.Workers {
		r.add(w.Address, w.Sidecar.LogPath)
	}
	if err := pause(ctx, fullSettle); err != nil {
		return nil, err
	}
	err = r.measure(ctx, PhaseRest, func() error { return pause(ctx, cfg.Phase) })
	if err == nil {
		err = r.fullLoad(ctx)
	}
	for i := range r.samples {
		r.samples[i].Size = TargetSize
	}
	return r.samples, err
}

// peakRate is the requests/s of one entry at the target size's peak: 12,000 over 340 entries.
const peakRate = 12_000.0 / fullEntries

// fullLoad sends each real entry its share of the peak, spread over all models.
func (r *capacityRun) fullLoad(ctx context.Context) error {
	cl := newClient()
	defer cl.close()
	entries := r.cluster.Entries
	l := Load{
		Rate: peakRate * float64(len(entries)), Duration: r.cfg.Phase, Seed: 1,
		Send: func(ctx context.Context, n int) error {
			return cl.complete(ctx, entries[n%len(entries)].Address, fullService(n/len(entries)), n)
		},
	}
	var res LoadResult
	err := r.measure(ctx, PhaseLoad, func() error {
		res = l.Run(ctx)
		return nil
	})
	r.sample(PhaseLoad, RoleEntry, "requests per second", []float64{float64(res.Sent) / res.Elapsed.Seconds() / float64(len(entries))})
	r.sample(PhaseLoad, RoleEntry, "failed requests", []float64{float64(res.Failed)})
	return err
}
