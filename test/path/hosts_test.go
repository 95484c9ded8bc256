package path

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/sidecar"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
)

// kv returns the key-value service as the process sees it: calls that read or write keys fail
// if the process was killed, and block while it is frozen. Lease calls are passed on unchanged.
func (p *process) kv() external.KV { return &processKV{p.dep.store, p} }

type processKV struct {
	external.KV
	p *process
}

// callAs runs f as a call that the process makes. It blocks while the process is frozen, and returns
// ErrUnavailable if the process was killed or ctx ended before f ran, and ErrOutcomeUnknown if the
// process was killed during f.
func callAs[T any](ctx context.Context, p *process, f func(ctx context.Context) (T, error)) (T, error) {
	var zero T
	if err := p.dep.net.CheckRunning(ctx, p.host); err != nil {
		return zero, external.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.host.Ctx, cancel)() //nolint:contextcheck // the call also ends with the process
	v, err := f(ctx)
	if !p.dep.net.WaitRunning(p.host) {
		return zero, external.ErrOutcomeUnknown
	}
	return v, err
}

func (k *processKV) Get(ctx context.Context, key string) (external.KVEntry, error) {
	return callAs(ctx, k.p, func(ctx context.Context) (external.KVEntry, error) { return k.KV.Get(ctx, key) })
}

func (k *processKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, l external.LeaseID) (uint64, error) {
	return callAs(ctx, k.p, func(ctx context.Context) (uint64, error) { return k.KV.CompareAndSwap(ctx, key, expected, value, l) })
}

func (k *processKV) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := callAs(ctx, k.p, func(ctx context.Context) (int, error) { return 0, k.KV.Delete(ctx, key, expected) })
	return err
}

func (k *processKV) List(ctx context.Context, prefix string) (all []external.KVEntry, rev uint64, err error) {
	rev, err = callAs(ctx, k.p, func(ctx context.Context) (uint64, error) {
		all, rev, err = k.KV.List(ctx, prefix)
		return rev, err
	})
	return all, rev, err
}

func (k *processKV) Watch(ctx context.Context, prefix string, after uint64) (all []external.KVEvent, rev uint64, err error) {
	rev, err = callAs(ctx, k.p, func(ctx context.Context) (uint64, error) {
		all, rev, err = k.KV.Watch(ctx, prefix, after)
		return rev, err
	})
	return all, rev, err
}

// processEngine is an engine as its sidecar sees it. Its streams end with the sidecar.
type processEngine struct {
	*engine.Engine
	p *workerProcess
}

func (e *processEngine) Generate(ctx context.Context, r *external.GenerateRequest) (external.TokenStream, error) {
	if r.Offset > 0 {
		e.p.dep.reachStep(event{step: "prefill again", worker: e.p, request: r.RequestID})
	}
	if r.KVHandle != "" {
		e.p.dep.reachStep(event{step: "decode", worker: e.p, request: r.RequestID})
	}
	if err := e.p.dep.net.CheckRunning(ctx, e.p.host); err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrEngineFailed, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.p.host.Ctx, cancel) //nolint:contextcheck // the call also ends with the process
	s, err := e.Engine.Generate(ctx, r)
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	return &processStream{s, e.p, func() { stop(); cancel() }}, nil
}

func (e *processEngine) ImportKV(ctx context.Context, data []byte) (string, error) {
	e.p.dep.reachStep(event{step: "import", worker: e.p})
	if err := e.p.dep.net.CheckRunning(ctx, e.p.host); err != nil {
		return "", err
	}
	return e.Engine.ImportKV(ctx, data)
}

type processStream struct {
	external.TokenStream
	p    *workerProcess
	stop func()
}

func (s *processStream) Next() (external.TokenChunk, error) {
	c, err := s.TokenStream.Next()
	if !s.p.dep.net.WaitRunning(s.p.host) {
		return external.TokenChunk{}, external.ErrEngineFailed
	}
	return c, err
}

func (s *processStream) Close() error {
	defer s.stop()
	return s.TokenStream.Close()
}

type processBackend struct {
	*backend.Server
	p *workerProcess
}

func (b *processBackend) Do(ctx context.Context, r *external.PlainRequest) (*external.PlainResponse, error) {
	b.p.dep.reachStep(event{step: "run", worker: b.p, request: r.RequestID})
	return callAs(ctx, b.p.process, func(ctx context.Context) (*external.PlainResponse, error) { return b.Server.Do(ctx, r) })
}

// messageFaults holds the active faults of a sidecar's messages.
type messageFaults struct {
	duplicateRequest, duplicateFrames, reorder, foreignFrames, loseFrames, loseAnswers, loseReports atomic.Bool
	// refuse is the number of attempts that are still to be refused as not run.
	refuse atomic.Int32
}

// faultyService passes requests to a sidecar and applies the active message faults.
type faultyService struct {
	*sidecar.Service
	p *workerProcess
}

var errLost = connect.NewError(connect.CodeUnavailable, errors.New("message lost"))

func (s *faultyService) Execute(ctx context.Context, r *connect.Request[v1.ExecuteRequest], out *connect.ServerStream[v1.Frame]) error {
	s.p.dep.recordArrival(s.p, r.Msg)
	s.p.dep.reachStep(event{step: "accept", worker: s.p, request: r.Msg.GetRequestId(), attempt: r.Msg.GetAttempt()})
	if n := s.p.faults.refuse.Add(-1); n >= 0 {
		return out.Send(&v1.Frame{RequestId: r.Msg.GetRequestId(), Attempt: r.Msg.GetAttempt(), Final: &v1.Final{
			Outcome: v1.Outcome_OUTCOME_NOT_RUN, Reason: v1.Reason_REASON_QUEUE_FULL, Load: s.p.sidecar.Report(ctx),
		}})
	}
	if s.p.faults.duplicateRequest.Load() {
		// The first copy runs and its response is dropped; the second one is answered.
		s.p.done.Go(func() { _ = s.p.sidecar.Execute(s.p.host.Ctx, proto.CloneOf(r.Msg), discardFrames{}) })
		time.Sleep(time.Millisecond)
	}
	return s.p.sidecar.Execute(ctx, r.Msg, &faultySender{out: out, p: s.p})
}

func (s *faultyService) Prefill(ctx context.Context, r *connect.Request[v1.PrefillRequest], out *connect.ServerStream[v1.PrefillChunk]) error {
	s.p.dep.reachStep(event{step: "fetch", worker: s.p, request: r.Msg.GetAttempt().GetRequestId()})
	if s.p.faults.duplicateRequest.Load() {
		s.p.done.Go(func() { _ = s.p.sidecar.Prefill(s.p.host.Ctx, proto.CloneOf(r.Msg.GetAttempt()), discardChunks{}) })
		time.Sleep(time.Millisecond)
	}
	if s.p.faults.loseAnswers.Load() {
		_ = s.p.sidecar.Prefill(ctx, r.Msg.GetAttempt(), discardChunks{})
		return errLost
	}
	return s.Service.Prefill(ctx, r, out)
}

func (s *faultyService) Probe(ctx context.Context, r *connect.Request[v1.ProbeRequest]) (*connect.Response[v1.ProbeResponse], error) {
	if s.p.faults.loseReports.Load() {
		return nil, errLost
	}
	return s.Service.Probe(ctx, r)
}

type discardFrames struct{}

func (discardFrames) Send(*v1.Frame) error { return nil }

type discardChunks struct{}

func (discardChunks) Send(*v1.PrefillChunk) error { return nil }

// faultySender passes on the frames of an attempt and applies the active message faults.
type faultySender struct {
	out  sidecar.Sender
	p    *workerProcess
	sent int
	held *v1.Frame
}

// middleFrame is the index of a frame in the middle of an answer of answerTokens tokens.
const middleFrame = 6

func (s *faultySender) Send(f *v1.Frame) error {
	s.reportSteps(f)
	m := &s.p.faults
	if m.loseAnswers.Load() {
		if f.GetFinal() != nil {
			return errLost
		}
		return nil
	}
	f = proto.CloneOf(f)
	if m.loseReports.Load() && f.GetFinal() != nil {
		f.Final.Load = nil
	}
	if m.reorder.Load() {
		// Swaps each pair of frames, so the final frame can overtake the last data frame.
		if s.held == nil && f.GetFinal() == nil {
			s.held = f
			return nil
		}
		held := s.held
		s.held = nil
		if err := s.out.Send(f); err != nil || held == nil {
			return err
		}
		return s.out.Send(held)
	}
	if m.loseFrames.Load() && f.GetFinal() == nil {
		return nil
	}
	if m.foreignFrames.Load() && f.GetFinal() == nil {
		other := proto.CloneOf(f)
		other.RequestId, other.Data = "other", []byte(" other")
		if err := s.out.Send(other); err != nil {
			return err
		}
	}
	if m.duplicateFrames.Load() {
		if f.GetFinal() == nil {
			// Sends a frame of the next attempt first.
			otherAttempt := proto.CloneOf(f)
			otherAttempt.Attempt, otherAttempt.Data = f.GetAttempt()+1, []byte(" late")
			if err := s.out.Send(otherAttempt); err != nil {
				return err
			}
		}
		if err := s.out.Send(f); err != nil {
			return err
		}
	}
	return s.out.Send(f)
}

func (s *faultySender) reportSteps(f *v1.Frame) {
	steps := []string{}
	switch {
	case f.GetFinal() != nil && f.GetFinal().GetOutcome() == v1.Outcome_OUTCOME_COMPLETE:
		steps = []string{"final frame", "answer"}
		if f.GetAttempt() > 1 {
			steps = append(steps, "final after resume")
		}
	case f.GetFinal() != nil:
	case s.sent == 0:
		steps = []string{"first frame"}
		if f.GetOffset() > 0 {
			steps = append(steps, "continue at offset")
		}
	case s.sent == middleFrame:
		steps = []string{"middle of the stream"}
	}
	s.sent++
	for _, n := range steps {
		s.p.dep.reachStep(event{step: n, worker: s.p, request: f.GetRequestId(), attempt: f.GetAttempt(), sender: s})
	}
}
