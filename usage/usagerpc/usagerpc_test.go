package usagerpc_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/internal/memnet"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/traffic"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/standin/kv"
	"github.com/quetzallug/quetzallug/usage"
	"github.com/quetzallug/quetzallug/usage/usagerpc"
)

var windows = usage.Windows{Length: 5 * time.Second, Late: 10 * time.Second}

// held is the Authority of an instance that holds the lease, and vacant that of the others.
type held struct{ a lease.Authority }

func (h held) Authority(string) (lease.Authority, bool) { return h.a, true }

type vacant struct{}

func (vacant) Authority(string) (lease.Authority, bool) { return lease.Authority{}, false }

// acceptor takes all reports.
type acceptor struct {
	mu      sync.Mutex
	reports []duty.UsageReport
}

func (p *acceptor) UsageCall(r *duty.UsageReport, _ string, _ uint64) (*duty.Call, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, *r)
	return &duty.Call{}, nil
}

func (*acceptor) Do(context.Context, lease.Authority, *duty.Call) duty.Result {
	return duty.Result{Outcome: duty.Accepted, Status: http.StatusOK}
}

func (*acceptor) UsageReport(string, time.Duration) {}

const (
	// smallestLink is the bandwidth of the smallest machine in bytes per second. A holder may use a quarter of it for
	// counts, and any other instance a fortieth.
	smallestLink  = 10e6 / 8
	holderShare   = 0.25
	instanceShare = 0.025
)

// Guards against traffic between instances that takes too much of a machine's link, with accounts of skewed sizes, and
// against counts that get lost on the way. -v prints the traffic.
func TestTrafficOfCounts(t *testing.T) {
	for _, c := range []struct{ instances, accounts, runsPerSecond int }{{30, 88, 2000}, {32, 88, 2000}, {100, 88, 2000}, {300, 88, 2000}, {340, 88, 2000}, {340, 14000, 4000}} {
		t.Run(fmt.Sprintf("%d instances, %d accounts", c.instances, c.accounts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureTraffic(t, c.instances, c.accounts, c.runsPerSecond) })
		})
	}
}

const (
	holderAddress = "10.1.0.1:9000"
	measured      = 30 * time.Second
)

func measureTraffic(t *testing.T, instances, accounts, runsPerSecond int) {
	network := memnet.New()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	defer func() {
		cancel()
		done.Wait()
		network.Heal()
		time.Sleep(time.Minute)
	}()
	started := time.Now()
	clock := usage.NewClock(time.Now, func() time.Duration { return time.Since(started) })
	log := logrus.New()
	log.SetOutput(io.Discard)
	platform := &acceptor{}
	current := func() (lease.HolderRecord, bool) {
		return lease.HolderRecord{Holder: "edge-0", Session: "s", Address: holderAddress}, true
	}
	newHolder := func(leases usage.Authority) *usage.Holder {
		return usage.NewHolder(usage.HolderConfig{
			Instance: "edge-0", Pool: "roles", Windows: windows, Leases: leases, Current: current, KV: kv.NewStore(kv.Limits{}),
			Caller: platform, Encoder: platform, Clock: clock, Metrics: platform, Log: log,
		})
	}
	holder := newHolder(held{lease.NewAuthority("roles", "edge-0", 1, time.Now().Add(time.Hour))})
	mux := http.NewServeMux()
	mux.Handle(usagerpc.NewHandler(holder))
	srv := rpc.NewServer(mux)
	var holderTraffic traffic.Counter
	l := network.Listen(host(ctx, "edge-0"), holderAddress)
	go func() { _ = srv.Serve(traffic.Listener(l, &holderTraffic)) }()
	defer srv.Close()
	done.Go(func() { holder.Run(ctx) })
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 1, uint64(accounts-1)) //nolint:gosec // positive
	perInstance := max(1, runsPerSecond/instances)
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprintf("huka%d", 100+i)
	}
	var mu sync.Mutex
	total := 0
	for i := range instances {
		name := fmt.Sprint("edge-joburg-cbd-", i)
		h := host(ctx, name)
		clients := rpc.NewClients(rpc.ClientConfig{ControlTraffic: &traffic.Counter{}, Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, h, address)
		}})
		defer clients.Close()
		counter := usage.NewCounter(windows, clock.Now)
		sender := usage.NewSender(usage.SenderConfig{
			Instance: name, Address: fmt.Sprintf("10.1.%d.%d:9000", 1+i/250, i%250), Windows: windows, Counter: counter, Clock: clock,
			Holder: current, Local: newHolder(vacant{}), Peers: usagerpc.NewPeers(clients), KV: kv.NewStore(kv.Limits{}), Log: log,
		})
		done.Go(func() { sender.Run(ctx) })
		done.Go(func() {
			for ctx.Err() == nil && time.Since(started) < measured {
				time.Sleep(time.Second / time.Duration(perInstance))
				mu.Lock()
				account := names[zipf.Uint64()]
				total++
				mu.Unlock()
				counter.RunBegan(account, time.Now())
			}
		})
	}
	time.Sleep(measured)
	in, out := holderTraffic.In.Load(), holderTraffic.Out.Load()
	time.Sleep(windows.Late)
	sum, largest := int64(0), 0
	platform.mu.Lock()
	for _, r := range platform.reports {
		largest = max(largest, len(r.Counts))
		for _, n := range r.Counts {
			sum += n
		}
	}
	platform.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	require.EqualValues(t, total, sum, "runs reported")
	perSecond := func(n int64) float64 { return float64(n) / measured.Seconds() }
	t.Logf("%d instances, %d accounts, %.0f runs/s: the holder receives %.1f KB/s and sends %.1f KB/s; an instance sends %.0f B/s and receives %.0f B/s; %d accounts in the largest report",
		instances, accounts, perSecond(int64(total)), perSecond(in)/1e3, perSecond(out)/1e3, perSecond(in)/float64(instances), perSecond(out)/float64(instances), largest)
	require.Less(t, perSecond(in), holderShare*smallestLink, "the holder receives too much")
	require.Less(t, perSecond(in)/float64(instances), instanceShare*smallestLink, "an instance sends too much")
}

func host(ctx context.Context, name string) *memnet.Host {
	h := &memnet.Host{Name: name}
	h.Ctx, h.Cancel = context.WithCancel(ctx)
	return h
}

// taker takes all counts.
type taker struct{ c *usage.Collector }

func (h taker) Add(m *usage.Message) usage.Ack { return h.c.Add(m, time.Now()) }

// The cost of one message over TCP, for sender and holder together.
func BenchmarkSend(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(usagerpc.NewHandler(taker{usage.NewCollector(windows, time.Now())}))
	srv := rpc.NewServer(mux)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	clients := rpc.NewClients(rpc.ClientConfig{ControlTraffic: &traffic.Counter{}})
	defer clients.Close()
	peers := usagerpc.NewPeers(clients)
	m := &usage.Message{Instance: "edge-1", Windows: []usage.WindowCounts{{Window: windows.At(time.Now()), Counts: map[string]int64{}}}}
	for i := range 10 {
		m.Windows[0].Counts[fmt.Sprint("huka", i)] = 1
	}
	var before, after syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	for b.Loop() {
		_, err := peers.Send(b.Context(), l.Addr().String(), m)
		require.NoError(b, err)
	}
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(cpu)/float64(b.N), "cpu-ns/op")
}
