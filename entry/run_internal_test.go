package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/membership"
)

// finalsWorker ends each attempt with the next of its final frames, and cannot handle more attempts
// than it has frames. Unless the outcome is "not run", it sends one data frame first.
type finalsWorker struct {
	quetzallugv1connect.UnimplementedWorkerServiceHandler

	mu     sync.Mutex
	finals []*v1.Final
}

func (w *finalsWorker) Execute(_ context.Context, r *connect.Request[v1.ExecuteRequest], out *connect.ServerStream[v1.Frame]) error {
	w.mu.Lock()
	f := w.finals[0]
	w.finals = w.finals[1:]
	w.mu.Unlock()
	m := r.Msg
	offset := m.GetOffset()
	if f.GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN {
		if err := out.Send(&v1.Frame{RequestId: m.GetRequestId(), Attempt: m.GetAttempt(), Offset: offset, Tokens: 1, Data: []byte("x")}); err != nil {
			return err
		}
		offset++
	}
	f.Total = offset
	return out.Send(&v1.Frame{RequestId: m.GetRequestId(), Attempt: m.GetAttempt(), Offset: offset, Final: f})
}

// intermittentPicker has one worker, which becomes unavailable for some picks after each attempt. It
// never picks a worker for a request with excluded instances.
type intermittentPicker struct {
	worker Worker
	// failsPerAttempt is the number of picks without a worker after each attempt.
	failsPerAttempt int
	// failsLeft is the number of picks without a worker that are left.
	failsLeft int
	// picks is the number of picks that returned the worker.
	picks int
}

func (p *intermittentPicker) Pick(r PickRequest) (Worker, string, error) {
	if p.failsLeft > 0 || len(r.Tried) > 0 {
		p.failsLeft--
		return Worker{}, "", errNoWorker
	}
	p.picks++
	p.failsLeft = p.failsPerAttempt
	return p.worker, "", nil
}
func (*intermittentPicker) Sent(Worker, PickRequest)         {}
func (*intermittentPicker) Done(Worker, PickRequest, Result) {}

// exhaustedBudget allows no retries.
type exhaustedBudget struct{}

func (exhaustedBudget) RecordFirstAttempt(time.Time)                         {}
func (exhaustedBudget) Take(time.Time) bool                                  { return false }
func (exhaustedBudget) Backoff(int, time.Duration, *rand.Rand) time.Duration { return 0 }

type noMetrics struct{}

func (noMetrics) Request(string, string, string, Reason, bool, time.Duration) {}
func (noMetrics) FirstToken(string, string, time.Duration)                    {}
func (noMetrics) BetweenTokens(string, string, time.Duration)                 {}
func (noMetrics) Retry(string, v1.Reason)                                     {}

type noDocuments struct{}

func (noDocuments) Lookup(string) (*document.Service, uint64) { return nil, 0 }
func (noDocuments) Services() []*document.Service             { return nil }
func (noDocuments) Observe(string, uint64)                    {}

// runWithFinals runs a repeatable chat request on a worker with the given final frames. It returns the
// text and the error.
func runWithFinals(t *testing.T, p *intermittentPicker, finals ...*v1.Final) (string, *Error) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(&finalsWorker{finals: finals}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := rpc.NewServer(mux)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	clients := rpc.NewClients(rpc.ClientConfig{})
	t.Cleanup(clients.Close)
	p.worker = Worker{Instance: "w", Address: l.Addr().String()}
	log := logrus.New()
	log.SetOutput(t.Output())
	e := New(Config{}, Options{
		Documents: noDocuments{}, Picker: p, Clients: clients, Budget: exhaustedBudget{},
		Metrics: noMetrics{}, Log: log, Decisions: NewDecisionLog(16),
	})
	c := &call{
		id: "r", service: &document.Service{Service: "s"}, kind: &document.Kind{Name: "chat", Repeatable: true, Interruptible: true},
		model: &v1.ModelRequest{Model: "m"}, started: time.Now(), deadline: time.Now().Add(time.Minute),
	}
	out := &bufferSink{}
	_, runErr := e.run(t.Context(), c, out)
	return out.buf.String(), runErr
}

func finalOf(o v1.Outcome, r v1.Reason) *v1.Final { return &v1.Final{Outcome: o, Reason: r} }

// A planned change must not truncate an answer. The request has to move on although no worker is
// usable for a short time, the retry budget is exhausted and the only worker was tried before.
func TestPlannedChangeMovesAnAnswer(t *testing.T) {
	interrupted := func() *v1.Final { return finalOf(v1.Outcome_OUTCOME_UNKNOWN, v1.Reason_REASON_DRAINING) }
	p := &intermittentPicker{failsPerAttempt: 3}
	text, err := runWithFinals(t, p, interrupted(), interrupted(),
		finalOf(v1.Outcome_OUTCOME_NOT_RUN, v1.Reason_REASON_MODEL_NOT_LOADED),
		finalOf(v1.Outcome_OUTCOME_NOT_RUN, v1.Reason_REASON_WRONG_INCARNATION),
		finalOf(v1.Outcome_OUTCOME_COMPLETE, 0))
	require.Nil(t, err)
	require.Equal(t, "xxx", text)
	require.Equal(t, 5, p.picks)
}

// After failures and overload, a request must not be retried beyond the retry budget, and the wait for
// a usable worker must be bounded.
func TestRetryIsBounded(t *testing.T) {
	for _, f := range []*v1.Final{
		finalOf(v1.Outcome_OUTCOME_UNKNOWN, v1.Reason_REASON_BACKEND_FAILED),
		finalOf(v1.Outcome_OUTCOME_NOT_RUN, v1.Reason_REASON_QUEUE_FULL),
	} {
		_, err := runWithFinals(t, &intermittentPicker{}, f)
		require.Equal(t, ReasonRetryBudget, err.Reason)
	}
	_, err := runWithFinals(t, &intermittentPicker{failsPerAttempt: 1 << 20}, finalOf(v1.Outcome_OUTCOME_UNKNOWN, v1.Reason_REASON_DRAINING))
	require.Equal(t, ReasonNoWorker, err.Reason)
	require.Equal(t, OutcomeUnknown, err.Outcome)

	// Before the first attempt there is no wait, because another entry may have a usable worker.
	noWorker := &intermittentPicker{failsLeft: 1 << 20}
	_, err = runWithFinals(t, noWorker)
	require.Equal(t, OutcomeNotRun, err.Outcome)
	require.Equal(t, 1<<20-1, noWorker.failsLeft)
}

// An engine that has no models or does not answer must not be passed to the router as usable. The router
// would take it for a plain backend server without load and send it all requests.
func TestEngineWithoutModelsIsNotOffered(t *testing.T) {
	require.True(t, hasNoModels(&v1.LoadReport{Role: "mixed"}))
	require.False(t, hasNoModels(&v1.LoadReport{Role: "mixed", Models: []string{"m"}}))
	require.True(t, hasNoModels(&v1.LoadReport{}), "an engine that does not answer reports neither role nor models")
	require.False(t, hasNoModels(&v1.LoadReport{Plain: true}))
}

// AllServicesReported must be false until each service has a report. Otherwise an entry accepts requests right
// after its start and refuses them all, because no worker has reported yet.
func TestReportedNeedsEachService(t *testing.T) {
	view, err := membership.NewView(membership.DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	f := NewFleet("c", "d", view, rpc.NewClients(rpc.ClientConfig{}), 1)
	require.False(t, f.AllServicesReported(), "the membership list has not been read")
	sidecar := func(id, service string) external.Instance {
		return external.Instance{ID: id, Role: external.RoleSidecar, Service: service, Address: "127.0.0.1:1", State: external.InstanceLive}
	}
	now := time.Now()
	view.ApplyList(now, external.InstanceSnapshot{Version: 1, Instances: []external.Instance{sidecar("a", "s"), sidecar("b", "s"), sidecar("c", "t")}})
	f.ApplyReport(&v1.LoadReport{Instance: "a"}, now)
	require.False(t, f.AllServicesReported(), "service t has no report")
	f.ApplyReport(&v1.LoadReport{Instance: "c"}, now)
	require.True(t, f.AllServicesReported())
}

// A connection that breaks before the first frame must not count as an answer of the worker. If
// another process accepts connections at its address, the worker would stay in use and every
// non-repeatable request to it would end as unknown.
func TestBrokenConnectionIsNoAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	clients := rpc.NewClients(rpc.ClientConfig{})
	defer clients.Close()
	s, err := clients.Worker(l.Addr().String()).Execute(t.Context(), connect.NewRequest(&v1.ExecuteRequest{}))
	if err == nil {
		require.False(t, s.Receive())
		err = s.Err()
	}
	res := classifyFailure(t.Context(), err, time.Now())
	require.Equal(t, v1.Outcome_OUTCOME_UNKNOWN, res.Outcome)
	w := Worker{Instance: "w", Address: l.Addr().String()}
	require.Equal(t, membership.TimedOut, evidence(w, res, time.Now()).Kind)
	res.Tokens = 1
	require.Equal(t, membership.Answered, evidence(w, res, time.Now()).Kind, "a frame has arrived")
}

// Probe implements WorkerService. It reports a worker that is no longer draining.
func (*finalsWorker) Probe(context.Context, *connect.Request[v1.ProbeRequest]) (*connect.Response[v1.ProbeResponse], error) {
	return connect.NewResponse(&v1.ProbeResponse{Load: &v1.LoadReport{Instance: "a", Incarnation: "1", Models: []string{"m"}}}), nil
}

// A refresh must pass its result to membership. Otherwise an engine stays unused after a planned
// change, because the probes of membership itself have backed off.
func TestRefreshEndsADrainInMembership(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(&finalsWorker{}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := rpc.NewServer(mux)
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	view, err := membership.NewView(membership.DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	clients := rpc.NewClients(rpc.ClientConfig{})
	defer clients.Close()
	f := NewFleet("c", "d", view, clients, 1)
	now := time.Now()
	address := l.Addr().String()
	view.ApplyList(now, external.InstanceSnapshot{Version: 1, Instances: []external.Instance{
		{ID: "a", Role: external.RoleSidecar, Service: "s", Address: address, State: external.InstanceLive},
	}})
	view.Observe(now, membership.Evidence{ID: "a", Kind: membership.Draining, Address: address, Incarnation: "1", Started: now})
	m, ok := view.Snapshot().Member("a")
	require.True(t, ok)
	require.Equal(t, membership.StateLeaving, m.DerivedState)
	f.refresh(t.Context(), m)
	m, _ = view.Snapshot().Member("a")
	require.Equal(t, membership.StateLive, m.DerivedState)
}
