package entry

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/dissemination"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/membership"
)

const fleetSize = 40

// fleetOf returns a fleet of one entry and some workers.
func newTestFleet(t *testing.T, peer string) *Fleet {
	view, err := membership.NewView(membership.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	list := external.InstanceSnapshot{Version: 1, Instances: []external.Instance{
		{ID: "entry-0", Role: external.RoleEntry, Address: peer, State: external.InstanceLive},
	}}
	for i := range fleetSize {
		list.Instances = append(list.Instances, external.Instance{
			ID: fmt.Sprintf("w%d", i), Role: external.RoleSidecar, Service: "s", Address: workerAddress(i), State: external.InstanceLive,
		})
	}
	require.True(t, view.ApplyList(time.Now(), list))
	clients := rpc.NewClients(rpc.ClientConfig{})
	t.Cleanup(clients.Close)
	return NewFleet("c", "dc", view, clients, 1)
}

func workerAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func workerStatus(i int, sequence uint64) *v1.WorkerStatus {
	return &v1.WorkerStatus{Instance: fmt.Sprintf("w%d", i), Address: workerAddress(i), Load: &v1.LoadReport{
		Instance: fmt.Sprintf("w%d", i), Incarnation: "1", Sequence: sequence, Models: []string{"m"}, Role: "mixed",
	}}
}

// Guards against an entry that knows few workers for minutes after its start, and against a peer's
// report that replaces a worker's own or that belongs to another process.
func TestLearnFromPeer(t *testing.T) {
	var workers []*v1.WorkerStatus
	for i := range fleetSize {
		workers = append(workers, workerStatus(i, 9))
	}
	workers[3].Address = "10.9.9.9:1"
	workers = append(workers, &v1.WorkerStatus{Instance: "unknown"})
	peer := NewPeer(Config{}, PeerOptions{
		Store: dissemination.NewStore(nil), Workers: func() []*v1.WorkerStatus { return workers }, Pools: func() []string { return nil },
	})
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewPeerServiceHandler(peer, rpc.PeerOptions()...))
	srv := rpc.NewServer(mux)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()

	f := newTestFleet(t, l.Addr().String())
	own := workerStatus(5, 4).GetLoad()
	f.Report(own, time.Now())
	peers := f.reportPeers()
	require.Len(t, peers, 1)
	f.fetchPeerReports(t.Context(), peers[0])
	assert.Empty(t, f.reportPeers())
	assert.Same(t, own, f.reports["w5"])
	assert.Nil(t, f.reports["w3"])
	assert.Len(t, f.reports, fleetSize-1)
	assert.GreaterOrEqual(t, f.reports["w7"].GetAgeMs(), uint32(maxReportAgeReady.Milliseconds()))
	assert.Len(t, f.dueForRefresh(time.Now()), maxRefreshProbes, "learned reports are due for a refresh")
}

// Guards against a worker that has become ready and is probed only when the round of the whole
// fleet comes to it.
func TestUnreadyWorkersAreProbedFirst(t *testing.T) {
	f := newTestFleet(t, "127.0.0.1:1")
	now := time.Now()
	for i := range fleetSize {
		f.Report(workerStatus(i, 1).GetLoad(), now.Add(-time.Duration(90+i)*time.Second))
	}
	draining := workerStatus(8, 2).GetLoad()
	draining.Draining = true
	f.Report(draining, now.Add(-20*time.Second))
	due := f.dueForRefresh(now)
	require.Len(t, due, maxRefreshProbes)
	assert.Equal(t, "w8", due[0].ID)
}

// Guards against probes that grow with the number of requests.
func TestDecisionProbesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, "127.0.0.1:1")
		probes := func() (started int) {
			for i := range 10_000 {
				if id := fmt.Sprintf("w%d", i%fleetSize); f.startProbe(id) {
					started++
					delete(f.probesInFlight, id)
				}
			}
			return started
		}
		require.Equal(t, decisionProbeBurst, probes())
		time.Sleep(time.Second)
		require.Equal(t, decisionProbesPerSecond, probes())
	})
}
