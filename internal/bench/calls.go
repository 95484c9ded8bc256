package bench

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/peerauth"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/internal/traffic"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/instanceshttp"
	"github.com/quetzallug/quetzallug/modules/kvhttp"
)

// CallCost is the mean cost of one control call.
type CallCost struct {
	Call string
	// Sent and Received are bytes at the caller, without TCP and IP headers.
	Sent, Received float64
	// ServerCPU and ClientCPU are in microseconds. ServerCPU is 0 where the server is a stand-in.
	ServerCPU, ClientCPU float64
	Machine              string
}

// measuredCall is one call to measure. server is the address whose metrics give the CPU time of the
// serving process; it is empty if that process is a stand-in. counter counts the bytes at the caller.
type measuredCall struct {
	name    string
	server  string
	counter *traffic.Counter
	call    func(ctx context.Context) error
}

// Calls measures the control calls to one entry, one sidecar and the stand-in services. Each call
// is repeated n times.
func Calls(ctx context.Context, bin, dir string, n int) ([]CallCost, error) {
	c, err := startCluster(ctx, clusterConfig{
		bin: bin, dir: dir, size: Size{Entries: 1, Sidecars: 1}, engineArgs: []string{"--order-time", "200ms"},
		// The calls are made back to back, which exceeds the service's default rate limits.
		kvArgs: []string{"--reads", "0", "--writes", "0"},
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Stop() }()
	calls, err := controlCalls(ctx, c)
	if err != nil {
		return nil, err
	}
	var costs []CallCost
	for _, call := range calls {
		cost, err := measureCall(ctx, call, n)
		if err != nil {
			return costs, fmt.Errorf("%s: %w", call.name, err)
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

func measureCall(ctx context.Context, measured measuredCall, n int) (CallCost, error) {
	cost := CallCost{Call: measured.name, Machine: Machine()}
	if err := measured.call(ctx); err != nil { // opens the connection outside the measurement
		return cost, err
	}
	receivedBefore, sentBefore := measured.counter.In.Load(), measured.counter.Out.Load()
	clientBefore, err := ownCPU()
	if err != nil {
		return cost, err
	}
	serverBefore, err := serverCPU(ctx, measured.server)
	if err != nil {
		return cost, err
	}
	for range n {
		if err := measured.call(ctx); err != nil {
			return cost, err
		}
	}
	clientAfter, err := ownCPU()
	if err != nil {
		return cost, err
	}
	serverAfter, err := serverCPU(ctx, measured.server)
	if err != nil {
		return cost, err
	}
	perCall := func(v float64) float64 { return v / float64(n) }
	cost.Received, cost.Sent = perCall(float64(measured.counter.In.Load()-receivedBefore)), perCall(float64(measured.counter.Out.Load()-sentBefore))
	cost.ClientCPU, cost.ServerCPU = perCall((clientAfter-clientBefore)*1e6), perCall((serverAfter-serverBefore)*1e6)
	return cost, nil
}

// serverCPU returns the CPU time in seconds that the process at address has used so far, or 0 if
// address is empty.
func serverCPU(ctx context.Context, address string) (float64, error) {
	if address == "" {
		return 0, nil
	}
	v, err := scrape(ctx, address)
	return v[metricCPU], err
}

// controlCalls returns the calls to measure: those that entries and sidecars make periodically while
// idle, and a compare-and-swap. The polls of documents and of the instance list are answered without a
// change.
func controlCalls(ctx context.Context, c *testcluster.Cluster) ([]measuredCall, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	counter := &traffic.Counter{}
	clients := rpc.NewClients(rpc.ClientConfig{ControlTraffic: counter, Interceptors: []connect.Interceptor{peerauth.NewInterceptor(peerauth.Credentials{Cluster: testcluster.Name, Key: testcluster.Key}, log)}})
	worker, peer := clients.Worker(c.Workers[0].Address), clients.Peer(c.Entries[0].PeerAddress)
	instances, err := kernel.Load[*instanceshttp.Client](ctx, instanceshttp.ID, kernel.Settings{"address": c.InstancesAddress()})
	if err != nil {
		return nil, err
	}
	instances.CountTraffic(counter)
	kv, err := kernel.Load[*kvhttp.Client](ctx, kvhttp.ID, kernel.Settings{"address": c.KVAddress()})
	if err != nil {
		return nil, err
	}
	kv.CountTraffic(counter)
	lease, err := kv.GrantLease(ctx, time.Hour)
	if err != nil {
		return nil, err
	}
	var version uint64
	have := map[string]uint64{service: 1}
	return []measuredCall{
		{"probe of a sidecar", c.Workers[0].Address, counter, func(ctx context.Context) error {
			_, err := worker.Probe(ctx, connect.NewRequest(&v1.ProbeRequest{Cluster: testcluster.Name}))
			return err
		}},
		{"document poll", c.Entries[0].Address, counter, func(ctx context.Context) error {
			_, err := peer.FetchDocuments(ctx, connect.NewRequest(&v1.FetchDocumentsRequest{Cluster: testcluster.Name, Have: have}))
			return err
		}},
		{"status of an entry", c.Entries[0].Address, counter, func(ctx context.Context) error {
			_, err := peer.Status(ctx, connect.NewRequest(&v1.StatusRequest{Cluster: testcluster.Name}))
			return err
		}},
		{"instance list poll", "", counter, func(ctx context.Context) error {
			s, err := instances.Instances(ctx, version)
			version = s.Version
			return err
		}},
		{"key-value get", "", counter, func(ctx context.Context) error {
			_, err := kv.Get(ctx, "pool/"+service+"."+dataCentres[0]+"/fence")
			return err
		}},
		{"key-value list of 1 order record", "", counter, func(ctx context.Context) error {
			_, _, err := kv.List(ctx, "order/")
			return err
		}},
		{"key-value list of 1 pool", "", counter, func(ctx context.Context) error {
			_, _, err := kv.List(ctx, "pool/")
			return err
		}},
		{"key-value keep-alive", "", counter, func(ctx context.Context) error { return kv.KeepAlive(ctx, lease) }},
		{"key-value compare-and-swap of 512 bytes", "", counter, recordWriter(kv)},
	}, nil
}

// recordWriter returns a function that replaces a record of 512 bytes with its next version.
func recordWriter(kv external.KV) func(ctx context.Context) error {
	value := make([]byte, 512)
	var version uint64
	return func(ctx context.Context) error {
		var err error
		version, err = kv.CompareAndSwap(ctx, "bench/record", version, value, 0)
		return err
	}
}

// WriteCalls writes the costs to a CSV file.
func WriteCalls(path string, costs []CallCost) error {
	rows := [][]string{{"call", "bytes sent", "bytes received", "server us", "client us", "machine"}}
	for _, c := range costs {
		rows = append(rows, []string{c.Call, formatNumber(c.Sent), formatNumber(c.Received), formatNumber(c.ServerCPU), formatNumber(c.ClientCPU), c.Machine})
	}
	return writeCSV(path, rows)
}

// PrintCalls prints the costs as a table.
func PrintCalls(out io.Writer, costs []CallCost) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "call\tbytes sent\tbytes received\tserver µs\tclient µs\tmachine")
	for _, c := range costs {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%s\t%.0f\t%s\n", c.Call, c.Sent, c.Received,
			strconv.FormatFloat(c.ServerCPU, 'f', 0, 64), c.ClientCPU, c.Machine)
	}
	return w.Flush()
}
