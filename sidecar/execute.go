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

// Sender sends the frames of one attempt to the entry that requested it.
type Sender interface {
	// Send must not retain the frame: the frame and its data are reused for the next one.
	Send(f *v1.Frame) error
}

// Execute runs one attempt and sends its frames. The last frame is always a final frame, unless
// sending fails.
func (s *Sidecar) Execute(ctx context.Context, r *v1.ExecuteRequest, out Sender) error {
	s.docs.Observe(r.GetService(), r.GetConfigRevision())
	ctx, stop := context.WithTimeout(ctx, time.Duration(r.GetRemainingMs())*time.Millisecond)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if refused := s.admit(r, cancel); refused != nil {
		return s.sendFinal(ctx, r, out, &v1.Final{Outcome: refused.outcome, Reason: refused.reason, Detail: refused.detail})
	}
	mayHaveRun := true
	defer func() { s.release(r, mayHaveRun) }()
	f := s.dispatch(ctx, r, out)
	mayHaveRun = f.GetOutcome() != v1.Outcome_OUTCOME_NOT_RUN
	return s.sendFinal(ctx, r, out, f)
}

// dispatch runs an admitted attempt on the backend server and returns the content of its final
// frame.
func (s *Sidecar) dispatch(ctx context.Context, r *v1.ExecuteRequest, out Sender) *v1.Final {
	if s.engine != nil {
		return s.runModel(ctx, r, out)
	}
	return s.runPlain(ctx, r, out)
}

// runModel streams the engine's answer to out and returns the content of the final frame.
func (s *Sidecar) runModel(ctx context.Context, r *v1.ExecuteRequest, out Sender) *v1.Final {
	req := generateRequest(r)
	req.KVHandle = s.tryImportPromptKV(ctx, r)
	tokens, err := s.engine.Generate(ctx, req)
	if err != nil {
		f := s.finalForError(ctx, err)
		if r.GetPrefill() != nil {
			// The prefill engine may have run the prompt, even if the local engine refused the request.
			f.Outcome = v1.Outcome_OUTCOME_UNKNOWN
		}
		return f
	}
	defer tokens.Close()
	next := r.GetOffset()
	// Send encodes the frame before it returns, so one frame and its buffer serve all chunks.
	frame := &v1.Frame{RequestId: r.GetRequestId(), Attempt: r.GetAttempt()}
	for {
		c, err := tokens.Next()
		if err != nil {
			return s.finalForError(ctx, err)
		}
		if c.Tokens > 0 {
			frame.Offset, frame.Tokens, frame.Data = uint64(c.Offset), uint32(c.Tokens), append(frame.Data[:0], c.Text...)
			if err := out.Send(frame); err != nil {
				return &v1.Final{Outcome: v1.Outcome_OUTCOME_UNKNOWN, Reason: v1.Reason_REASON_CANCELLED, Detail: err.Error()}
			}
			next = frame.Offset + uint64(frame.Tokens)
			s.recordTokens(r, c.Tokens)
		}
		if c.FinishReason != "" {
			return &v1.Final{Outcome: v1.Outcome_OUTCOME_COMPLETE, Total: next, FinishReason: c.FinishReason}
		}
	}
}

// engineRequestID returns a request ID that is unique for each attempt, so that cancelling or ending
// one attempt cannot affect another attempt of the same request on the same engine.
func engineRequestID(r *v1.ExecuteRequest) string {
	return r.GetRequestId() + "/" + strconv.FormatUint(uint64(r.GetAttempt()), 10)
}

// runPlain sends a plain request to the backend server, sends a non-empty body of the answer as a
// single frame that counts as one token, and returns the content of the final frame.
func (s *Sidecar) runPlain(ctx context.Context, r *v1.ExecuteRequest, out Sender) *v1.Final {
	p := r.GetPlain()
	resp, err := s.backend.Do(ctx, &external.PlainRequest{
		RequestID: r.GetRequestId(), Method: p.GetMethod(), Path: p.GetPath(), ContentType: p.GetContentType(),
		IdempotencyKey: r.GetIdempotencyKey(), Body: p.GetBody(),
	})
	if err != nil {
		return s.finalForError(ctx, err)
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

// finalForError converts an error of the backend server to the content of a final frame. The outcome
// is "not run" only if the backend server explicitly refused the request or the request was
// certainly not sent; otherwise it is "unknown".
func (s *Sidecar) finalForError(ctx context.Context, err error) *v1.Final {
	if errors.Is(err, external.ErrEngineRefused) {
		return &v1.Final{Outcome: v1.Outcome_OUTCOME_NOT_RUN, Reason: v1.Reason_REASON_BACKEND_FAILED, Detail: err.Error()}
	}
	f := &v1.Final{Outcome: v1.Outcome_OUTCOME_UNKNOWN, Reason: v1.Reason_REASON_BACKEND_FAILED, Detail: err.Error()}
	switch {
	case errors.Is(context.Cause(ctx), errInterrupted):
		f.Reason, f.Detail = v1.Reason_REASON_DRAINING, errInterrupted.Error()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Reason, f.Detail = v1.Reason_REASON_DEADLINE, "deadline passed while the request ran"
	case ctx.Err() != nil: // any other cancellation, by a Cancel call or a closed connection
		f.Reason, f.Detail = v1.Reason_REASON_CANCELLED, "caller left"
	case errors.Is(err, io.EOF):
		f.Detail = "answer ended without a finish reason"
	}
	return f
}

// sendFinal sends the final frame with a current load report and the latest cache events.
func (s *Sidecar) sendFinal(ctx context.Context, r *v1.ExecuteRequest, out Sender, f *v1.Final) error {
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

// Report returns a current load report without cache events. Only final frames carry cache events:
// in probe responses they would take up to 2.5 KB/s of the 4 KB/s to which an entry limits its control
// traffic.
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
	if v := s.snapshot.Load(); v != nil {
		r.TotalPieces = uint32(v.totalPieces)
		r.Role = string(v.state.Config.Role)
		for _, m := range v.state.Config.Models {
			r.Models = append(r.Models, m.Name)
		}
	}
	r.FreePieces = uint32(max(0, int(r.GetTotalPieces())-pieces))
	return r
}

// Cancel cancels an attempt whose caller has disconnected. It does nothing if the attempt is not in
// flight.
func (s *Sidecar) Cancel(requestID string, attempt uint32) {
	s.mu.Lock()
	a := s.inFlight[attemptKey{requestID, attempt}]
	s.mu.Unlock()
	if a != nil {
		a.cancel(context.Canceled)
	}
}
