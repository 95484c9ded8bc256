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

// fleetSize is the number of workers of a test fleet. It is above peerReportThreshold.
const fleetSize = 40

// newTestFleet returns a fleet with fleetSize workers and one other entry at address peer.
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

// An entry that has just started must fetch the reports of a peer, or it knows only a few workers for
// minutes. A peer's report must not replace one that came from the worker itself, and must not be
// taken if it belongs to another process or to an unknown instance.
func TestLearnFromPeer(t *testing.T) {
	var workers []*v1.WorkerStatus
	for i := range fleetSize {
		workers = append(workers, workerStatus(i, 9))
	}
	workers[3].Address = "10.9.9.9:1"
	workers = append(workers, &v1.WorkerStatus{Instance: "unknown"})
	peer := NewPeer(Config{}, PeerOptions{
		Store: dissemination.NewStore(nil), Workers: func() []*v1.WorkerStatus { return workers }, HeldPools: func() []string { return nil },
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
	f.ApplyReport(own, time.Now())
	peers := f.reportSources()
	require.Len(t, peers, 1)
	f.fetchPeerReports(t.Context(), peers[0])
	assert.Empty(t, f.reportSources())
	assert.Same(t, own, f.reports["w5"])
	assert.Nil(t, f.reports["w3"])
	assert.Len(t, f.reports, fleetSize-1)
	assert.GreaterOrEqual(t, f.reports["w7"].GetAgeMs(), uint32(maxReportAgeReady.Milliseconds()))
	assert.Len(t, f.dueForRefresh(time.Now()), maxRefreshProbes, "reports from the peer are due for a refresh")
}

// A worker that was unready must be probed before ready workers with older reports, or an entry
// notices only after a probe round of the whole fleet that the worker has become ready.
func TestUnreadyWorkersAreProbedFirst(t *testing.T) {
	f := newTestFleet(t, "127.0.0.1:1")
	now := time.Now()
	for i := range fleetSize {
		f.ApplyReport(workerStatus(i, 1).GetLoad(), now.Add(-time.Duration(90+i)*time.Second))
	}
	draining := workerStatus(8, 2).GetLoad()
	draining.Draining = true
	f.ApplyReport(draining, now.Add(-20*time.Second))
	due := f.dueForRefresh(now)
	require.Len(t, due, maxRefreshProbes)
	assert.Equal(t, "w8", due[0].ID)
}

// The rate of probes that routing decisions start must not grow with the request rate.
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
