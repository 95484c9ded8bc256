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

// Size of the target fleet given in the design document.
const (
	targetEntries     = 340
	targetSidecars    = 640
	targetDataCentres = 5
	targetServices    = 8
	// realSidecars is the number of sidecars that run as processes.
	realSidecars = 2
	// probeSettleTime lets entries open their connections to all sidecars before the measurement.
	// An entry takes 107 s to probe each sidecar of the target fleet once, and the first probe of
	// each opens a connection.
	probeSettleTime = 130 * time.Second
	registrationTTL = time.Hour
)

// fakeFleet answers for those entries and sidecars of the target-size fleet that are not started as
// processes. It listens on one address for each of them.
type fakeFleet struct {
	documents []*v1.Document
	servers   []*http.Server
}

// fakeWorker answers requests, probes and seals like the sidecar of an idle engine with a loaded
// model.
type fakeWorker struct {
	quetzallugv1connect.UnimplementedWorkerServiceHandler
	id, model string
	sequence  atomic.Uint64
}

func (w *fakeWorker) report() *v1.LoadReport {
	return &v1.LoadReport{
		Instance: w.id, Incarnation: "01a23f41-d0c3-7b12-a1df-beb49b71f8af", Sequence: w.sequence.Add(1),
		TotalPieces: 256, FreePieces: 256, Role: string(external.EngineRoleMixed), Models: []string{w.model},
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

// fakePeer answers document polls like an entry that has all documents.
type fakePeer struct {
	quetzallugv1connect.UnimplementedPeerServiceHandler
	id    string
	fleet *fakeFleet
}

// FetchDocuments implements PeerService.
func (p *fakePeer) FetchDocuments(ctx context.Context, r *connect.Request[v1.FetchDocumentsRequest]) (*connect.Response[v1.FetchDocumentsResponse], error) {
	resp := &v1.FetchDocumentsResponse{Confirmed: true}
	for _, d := range p.fleet.documents {
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

// serve starts a server for h under path, on a free port, and returns its address.
func (f *fakeFleet) serve(h http.Handler, path string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.Handle(path, h)
	srv := rpc.NewServer(mux)
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

func (f *fakeFleet) close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// serviceName and dataCentreName return the service and the data centre of sidecar i. Consecutive
// sidecars belong to different services; each group of targetServices sidecars is in one data centre.
func serviceName(i int) string { return fmt.Sprintf("model-%d", i%targetServices) }

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i/targetServices%targetDataCentres) }

// startServers starts a server for each simulated instance and returns the instances to register.
func (f *fakeFleet) startServers(realEntries int) ([]external.Instance, error) {
	var registrations []external.Instance
	for i := range targetSidecars - realSidecars {
		id := fmt.Sprintf("worker-%d", i)
		path, h := quetzallugv1connect.NewWorkerServiceHandler(&fakeWorker{id: id, model: serviceName(i)}, rpc.WorkerOptions()...)
		addr, err := f.serve(h, path)
		if err != nil {
			return nil, err
		}
		registrations = append(registrations, external.Instance{
			ID: id, Role: external.RoleSidecar, Service: serviceName(i), DataCentre: dataCentreName(i), Address: addr, State: external.InstanceLive,
		})
	}
	for i := range targetEntries - realEntries {
		id := fmt.Sprintf("peer-%d", i)
		path, h := quetzallugv1connect.NewPeerServiceHandler(&fakePeer{id: id, fleet: f}, rpc.PeerOptions()...)
		addr, err := f.serve(h, path)
		if err != nil {
			return nil, err
		}
		registrations = append(registrations, external.Instance{
			ID: id, Role: external.RoleEntry, DataCentre: fmt.Sprintf("dc-%d", i%targetDataCentres), Address: addr, State: external.InstanceLive,
		})
	}
	return registrations, nil
}

// serviceDocument returns the document of a service with a pool in each data centre.
func serviceDocument(service string) []byte {
	var dcs []string
	var pools strings.Builder
	for i := range targetDataCentres {
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

// populate stores the documents and order records, and starts and registers the simulated instances.
func (f *fakeFleet) populate(ctx context.Context, kv external.KV, instances *instanceshttp.Client, realEntries int) error {
	registrations, err := f.startServers(realEntries)
	if err != nil {
		return err
	}
	for i := range targetServices {
		body := serviceDocument(serviceName(i))
		if _, err := registry.Apply(ctx, kv, serviceName(i), 0, body, "bench"); err != nil {
			return err
		}
		f.documents = append(f.documents, &v1.Document{Service: serviceName(i), Revision: 1, Body: body})
	}
	for _, instance := range registrations {
		if err := instances.Register(ctx, instance, registrationTTL); err != nil {
			return err
		}
		if instance.Role != external.RoleSidecar {
			continue
		}
		b, err := json.Marshal(order.Record{Number: 1, Incarnation: 1, Phase: order.PhaseDone, Config: external.EngineConfig{
			Role: external.EngineRoleMixed, Models: []external.ModelVersion{{Name: instance.Service, Version: "1"}},
		}})
		if err != nil {
			return err
		}
		if _, err := kv.CompareAndSwap(ctx, order.Key(instance.Service+"."+instance.DataCentre, instance.ID), 0, b, 0); err != nil {
			return err
		}
	}
	return nil
}

// FullSize measures real entries and sidecars, idle and under load, with an instance list of the
// target size. realEntries is the number of entries that run as processes. The instances that do not
// are listeners in this process, which answer requests but make none. The returned samples carry
// TargetSize.
func FullSize(ctx context.Context, cfg CapacityConfig, realEntries int) (samples []Sample, err error) {
	tc := testcluster.Config{
		Bin: cfg.Bin, Dir: cfg.Dir, Entries: realEntries, DataCentres: []string{"dc-0", "dc-1"},
		EntryArgs:  []string{"--instances-poll", "2s", "--plan-interval", "5s"},
		EngineArgs: []string{"--model", serviceName(0) + "@1"}, KVArgs: []string{"--writes", "0", "--reads", "0"},
	}
	for i := range realSidecars {
		tc.Pools = append(tc.Pools, testcluster.Pool{Service: serviceName(0), DataCentre: fmt.Sprintf("dc-%d", i), Workers: 1, CheckFence: true})
	}
	c, err := testcluster.Start(ctx, tc)
	if err != nil {
		return nil, err
	}
	fleet := &fakeFleet{}
	defer fleet.close()
	defer func() { err = errors.Join(err, c.Stop()) }()
	kv, err := c.KV(ctx)
	if err != nil {
		return nil, err
	}
	instances, err := kernel.Load[*instanceshttp.Client](ctx, instanceshttp.ID, kernel.Settings{"address": c.InstancesAddress()})
	if err != nil {
		return nil, err
	}
	if err := fleet.populate(ctx, kv, instances, realEntries); err != nil {
		return nil, err
	}
	// Restart the entries, because an entry keeps the pools that it holds when its share falls: started
	// with the complete instance list, each acquires only its share of the pools.
	for _, e := range c.Entries {
		e.Kill()
		if err := e.Restart(); err != nil {
			return nil, err
		}
	}
	r := &capacityRun{cfg: cfg, size: Size{Entries: realEntries, Sidecars: realSidecars}, cluster: c}
	for _, e := range c.Entries {
		r.addProcess(e.Address, e.LogPath)
	}
	for _, w := range c.Workers {
		r.addProcess(w.Address, w.Sidecar.LogPath)
	}
	if err := pause(ctx, probeSettleTime); err != nil {
		return nil, err
	}
	err = r.measure(ctx, PhaseRest, func() error { return pause(ctx, cfg.Phase) })
	if err == nil {
		err = r.runTargetLoad(ctx)
	}
	for i := range r.samples {
		r.samples[i].Size = TargetSize
	}
	return r.samples, err
}

// peakRatePerEntry is the load of one entry in requests/s at the peak of the target size: 12,000
// requests/s over 340 entries.
const peakRatePerEntry = 12_000.0 / targetEntries

// runTargetLoad sends each real entry its share of the peak load, spread over all models.
func (r *capacityRun) runTargetLoad(ctx context.Context) error {
	client := newClient()
	defer client.close()
	entries := r.cluster.Entries
	l := Load{
		Rate: peakRatePerEntry * float64(len(entries)), Duration: r.cfg.Phase, Seed: 1,
		Send: func(ctx context.Context, n int) error {
			return client.complete(ctx, entries[n%len(entries)].Address, serviceName(n/len(entries)), n)
		},
	}
	var res LoadResult
	err := r.measure(ctx, PhaseLoad, func() error {
		res = l.Run(ctx)
		return nil
	})
	r.recordSample(PhaseLoad, RoleEntry, "requests per second", []float64{float64(res.Sent) / res.Elapsed.Seconds() / float64(len(entries))})
	r.recordSample(PhaseLoad, RoleEntry, "failed requests", []float64{float64(res.Failed)})
	return err
}
