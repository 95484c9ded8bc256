package sidecar

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// Sender sends the frames of one attempt to the entry.
type Sender interface {
	// Send must not keep the frame: it and its data are reused for the next one.
	Send(f *v1.Frame) error
}

// Execute runs one attempt and sends its frames. The last frame is always a final frame,
// unless the entry cannot be reached any more.
func (s *Sidecar) Execute(ctx context.Context, r *v1.ExecuteRequest, out Sender) error {
	s.docs.Observe(r.GetService(), r.GetConfigRevision())
	ctx, stop := context.WithTimeout(ctx, time.Duration(r.GetRemainingMs())*time.Millisecond)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if ref := s.admit(r, cancel); ref != nil {
		return s.finish(ctx, r, out, &v1.Final{Outcome: ref.outcome, Reason: ref.reason, Detail: ref.detail})
	}
	handed := true
	defer func() { s.release(r, handed) }()
	f := s.serve(ctx, r, out)
	handed = f.GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN
	return s.finish(ctx, r, out, f)
}

// serve hands an admitted attempt to the backend server and returns the final frame's content.
func (s *Sidecar) serve(ctx context.Context, r *v1.ExecuteRequest, out Sender) *v1.Final {
	if s.engine != nil {
		return s.generate(ctx, r, out)
	}
	return s.call(ctx, r, out)
}

// generate streams an engine's answer and returns the final frame's content.
func (s *Sidecar) generate(ctx context.Context, r *v1.ExecuteRequest, out Sender) *v1.Final {
	q := generateRequest(r)
	q.KVHandle = s.importPrompt(ctx, r)
	ts, err := s.engine.Generate(ctx, q)
	if err != nil {
		f := s.failure(ctx, err)
		if r.GetPrefill() != nil {
			// The prefill engine may have run the prompt, whatever the engine here has done.
			f.Outcome = v1.Outcome_OUTCOME_UNKNOWN
		}
		return f
	}
	defer ts.Close()
	next := r.GetOffset()
	// Send encodes the frame before it returns, so that the frame and its data are reused.
	frame := &v1.Frame{RequestId: r.GetRequestId(), Attempt: r.GetAttempt()}
	for {
		c, err := ts.Next()
		if err != nil {
			return s.failure(ctx, err)
		}
		if c.Tokens > 0 {
			frame.Offset, frame.Tokens, frame.Data = uint64(c.Offset), uint32(c.Tokens), append(frame.Data[:0], c.Text...)
			if err := out.Send(frame); err != nil {
				return &v1.Final{Outcome: v1.Outcome_OUTCOME_UNKNOWN, Reason: v1.Reason_REASON_CANCELLED, Detail: err.Error()}
			}
			next = frame.Offset + uint64(frame.Tokens)
			s.progress(r, c.Tokens)
		}
		if c.FinishReason != "" {
			return &v1.Final{Outcome: v1.Outcome_OUTCOME_COMPLETE, Total: next, FinishReason: c.FinishReason}
		}
	}
}

// engineRequestID differs between attempts, so that the end of one attempt cannot affect
// another one at the same engine.
func engineRequestID(r *v1.ExecuteRequest) string {
	return r.GetRequestId() + "/" + strconv.FormatUint(uint64(r.GetAttempt()), 10)
}

// call runs a plain request and returns the final frame's content.
func (s *Sidecar) call(ctx context.Context, r *v1.ExecuteRequest, out Sender) *v1.Final {
	p := r.GetPlain()
	resp, err := s.backend.Do(ctx, &external.PlainRequest{
		RequestID: r.GetRequestId(), Method: p.GetMethod(), Path: p.GetPath(), ContentType: p.GetContentType(),
		IdempotencyKey: r.GetIdempotencyKey(), Body: p.GetBody(),
	})
	if err != nil {
		return s.failure(ctx, err)
	}
	var total uint64
	if len(resp.Body) > 0 {
		total = 1
		f := &v1.Frame{RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Tokens: 1, Data: resp.Body}
		if err := out.Send(f); err != nil {
			return &v1.Final{Outcome: v1.Outcome_OUTCOME_UNKNOWN, Reason: v1.Reason_REASON_CANCELLED, Detail: err.Error()}
		}
	}
	return &v1.Final{
		Outcome: v1.Outcome_OUTCOME_COMPLETE, Total: total,
		Status: uint32(resp.Status), ContentType: resp.ContentType,
	}
}

// failure converts an error of the backend server to a final frame. Only an explicit refusal
// by the backend server, or a request that was certainly not sent, is "not run".
func (s *Sidecar) failure(ctx context.Context, err error) *v1.Final {
	if errors.Is(err, external.ErrEngineRefused) {
		return &v1.Final{Outcome: v1.Outcome_OUTCOME_NOT_RUN, Reason: v1.Reason_REASON_BACKEND_FAILED, Detail: err.Error()}
	}
	f := &v1.Final{Outcome: v1.Outcome_OUTCOME_UNKNOWN, Reason: v1.Reason_REASON_BACKEND_FAILED, Detail: err.Error()}
	switch {
	case errors.Is(context.Cause(ctx), errInterrupted):
		f.Reason, f.Detail = v1.Reason_REASON_DRAINING, errInterrupted.Error()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Reason, f.Detail = v1.Reason_REASON_DEADLINE, "deadline passed while the request ran"
	case ctx.Err() != nil:
		f.Reason, f.Detail = v1.Reason_REASON_CANCELLED, "caller left"
	case errors.Is(err, io.EOF):
		f.Detail = "answer ended without a finish reason"
	}
	return f
}

// finish sends the final frame with a fresh load report.
func (s *Sidecar) finish(ctx context.Context, r *v1.ExecuteRequest, out Sender, f *v1.Final) error {
	f.ConfigRevision = s.docs.Revision(s.cfg.Service)
	f.Load = s.Report(ctx)
	f.Load.CacheEvents = s.recentCacheEvents()
	s.metrics.Attempt(f.GetOutcome(), f.GetReason())
	if f.GetOutcome() != v1.Outcome_OUTCOME_COMPLETE {
		s.log.WithFields(logrus.Fields{
			"request_id": r.GetRequestId(), "attempt": r.GetAttempt(),
			"outcome": f.GetOutcome(), "reason": f.GetReason(), "detail": f.GetDetail(),
		}).Info("attempt did not complete")
	}
	return out.Send(&v1.Frame{RequestId: r.GetRequestId(), Attempt: r.GetAttempt(), Offset: f.GetTotal(), Final: f})
}

// Report returns a fresh load report. Cache events travel with answers only: in probes they would
// take up to 2.5 KB/s of an entry's 4 KB/s for control.
func (s *Sidecar) Report(_ context.Context) *v1.LoadReport {
	r := &v1.LoadReport{
		Instance: s.cfg.Instance, Incarnation: s.cfg.Incarnation, Sequence: s.sequence.Add(1),
		Plain: s.backend != nil,
	}
	s.mu.Lock()
	r.Draining = s.drainingLocked()
	r.Running = uint32(len(s.inFlight))
	pieces := 0
	for _, a := range s.inFlight {
		r.PrefillTokens += uint64(a.prefillTokens)
		r.DecodeTokens += uint64(a.decodeTokens)
		pieces += a.pieces
	}
	s.mu.Unlock()
	if v := s.state.Load(); v != nil {
		r.TotalPieces = uint32(v.totalPieces)
		r.Role = string(v.state.Config.Role)
		for _, m := range v.state.Config.Models {
			r.Models = append(r.Models, m.Name)
		}
	}
	r.FreePieces = uint32(max(0, int(r.GetTotalPieces())-pieces))
	return r
}

// Cancel ends an attempt whose caller has left.
func (s *Sidecar) Cancel(requestID string, number uint32) {
	s.mu.Lock()
	a := s.inFlight[attemptKey{requestID, number}]
	s.mu.Unlock()
	if a != nil {
		a.cancel(context.Canceled)
	}
}
