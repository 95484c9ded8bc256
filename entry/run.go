package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/stream"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// minStall is the shortest silence of a stream that ends a repeatable attempt.
	minStallTimeout = 500 * time.Millisecond
	// minFirstStall is the shortest wait for the first frame of a repeatable attempt.
	minFirstFrameTimeout = 2 * time.Second
	// stallFactor times a latency target is the silence that ends a repeatable attempt.
	stallFactor = 8
	// workerWait is how long a request that was refused or interrupted waits for a usable worker.
	// It covers the age of a load report by which a changed engine still counts as draining.
	maxWorkerWait = 3 * time.Second
	// workerWaitTick is the time between looks for a usable worker.
	workerPollInterval = 50 * time.Millisecond
)

var errStalled = errors.New("no frame within the stall time")

// sink takes the parts of an answer in order. An error means that the caller has left.
type sink interface {
	write(data []byte) error
}

// run answers one request with as many attempts as are needed and allowed.
func (e *Entry) run(ctx context.Context, c *call, out sink) (*v1.Final, *Error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	r := &runner{Entry: e, call: c, out: out, assembler: stream.NewAssembler(c.id)}
	e.budget.Fresh(time.Now())
	for {
		final, err := r.step(ctx)
		if final != nil || err != nil {
			return final, err
		}
	}
}

// runner holds the state of one request's attempts.
type runner struct {
	*Entry
	call      *call
	out       sink
	assembler *stream.Assembler

	tried []string
	// ran is true once an attempt may have run.
	mayHaveRun bool
	attempts   int
	last       Result
	// waited is the time spent without a usable worker.
	waited time.Duration
}

// step makes one attempt. It returns nil, nil if another attempt should follow.
func (r *runner) step(ctx context.Context) (*v1.Final, *Error) {
	p := r.call.pickRequest()
	p.Tried = r.tried
	w, reason, err := r.picker.Pick(p)
	if err != nil {
		return nil, r.waitForWorker(ctx, err)
	}
	attempt, offset := r.assembler.Begin()
	r.attempts++
	r.recordDecision(attempt, offset, w, reason)
	r.picker.Sent(w, p)
	final, res := r.attempt(ctx, w, attempt, offset)
	r.picker.Done(w, p, res)
	r.last = res
	if res.Outcome == v1.Outcome_OUTCOME_COMPLETE {
		return final, nil
	}
	if res.Outcome != v1.Outcome_OUTCOME_NOT_RUN {
		r.mayHaveRun = true
		r.resetPlainAnswer()
	}
	r.tried = append(r.tried, w.Instance)
	return nil, r.prepareRetry(ctx, res)
}

// discardPlain drops the part of a plain answer that a failed attempt has left. A plain answer does
// not resume: another run may have another status, content type and body.
func (r *runner) resetPlainAnswer() {
	if out, ok := r.out.(*bufferSink); ok && r.call.plain != nil {
		out.buf.Reset()
		r.assembler.Restart()
	}
}

// next decides whether another attempt may follow a failed one.
func (r *runner) prepareRetry(ctx context.Context, res Result) *Error {
	detail := res.Reason.String()
	switch {
	case r.mayHaveRun && !r.call.kind.Repeatable:
		return r.finalError(callerReason(res.Reason), detail)
	case ctx.Err() != nil || !time.Now().Before(r.call.deadline):
		return r.finalError(ReasonDeadline, "deadline passed")
	case r.attempts >= maxAttempts:
		return r.finalError(callerReason(res.Reason), detail)
	case !plannedChange(res) && !r.budget.Take(time.Now()):
		return r.finalError(ReasonRetryBudget, "retry budget is spent after "+detail)
	}
	r.metrics.Retry(r.call.service.Service, res.Reason)
	if !plannedChange(res) {
		r.backOff(ctx)
	}
	return nil
}

// backOff waits before a retry, so that requests that failed together do not return together. The
// deadline is checked by the next attempt.
func (r *runner) backOff(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter needs no secrecy
	t := time.NewTimer(r.budget.Backoff(r.attempts, 0, rnd))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// movedOn reports whether an attempt ended because its worker is being changed, stopped or
// replaced. The retry budget does not count these: they are bounded by the changes themselves,
// and a budget that is spent would cut answers that a planned change only moves elsewhere.
func plannedChange(res Result) bool {
	switch res.Reason {
	case v1.Reason_REASON_DRAINING:
		return true
	case v1.Reason_REASON_WRONG_INCARNATION, v1.Reason_REASON_MODEL_NOT_LOADED:
		return res.Outcome == v1.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// noWorker waits a little for a worker, if one has already refused or interrupted the request:
// several engines may change at once, and one that has just changed may not be known to be ready.
// The workers tried so far are then considered again.
func (r *runner) waitForWorker(ctx context.Context, cause error) *Error {
	if r.attempts == 0 || r.waited >= maxWorkerWait {
		return r.finalError(ReasonNoWorker, cause.Error())
	}
	t := time.NewTimer(workerPollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return r.finalError(ReasonDeadline, cause.Error())
	case <-t.C:
	}
	r.waited += workerPollInterval
	r.tried = nil
	return nil
}

// giveUp returns "not run" only if no attempt can have run.
func (r *runner) finalError(reason Reason, detail string) *Error {
	if r.mayHaveRun {
		return unknownError(reason, "%s", detail)
	}
	return notRunError(reason, "%s", detail)
}

func (r *runner) recordDecision(attempt uint32, offset uint64, w Worker, reason string) {
	prefill := ""
	if w.Prefill != nil {
		prefill = w.Prefill.Instance
	}
	r.log.WithFields(logrus.Fields{
		"request_id": r.call.id, "service": r.call.service.Service, "kind": r.call.kind.Name,
		"attempt": attempt, "offset": offset, "worker": w.Instance, "prefill": prefill, "reason": reason,
	}).Info("routed")
	r.decisions.Add(r.call.id, w.Instance, reason, slices.Clone(r.tried))
}

// attempt sends one attempt and relays its frames until its final frame.
func (r *runner) attempt(ctx context.Context, w Worker, attempt uint32, offset uint64) (*v1.Final, Result) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	started := time.Now()
	first, between := r.stallTimeouts()
	timer := time.AfterFunc(first, func() { cancel(errStalled) })
	defer timer.Stop()
	req := r.call.request(r.cfg.Cluster, w, attempt, offset, started)
	s, err := r.clients.Worker(w.Address).Execute(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, classifyFailure(ctx, err, started)
	}
	defer s.Close()
	res := Result{Outcome: v1.Outcome_OUTCOME_UNKNOWN, Reason: v1.Reason_REASON_BACKEND_FAILED}
	previous := started
	for s.Receive() {
		timer.Reset(between)
		f := s.Msg()
		verdict, err := r.assembler.Accept(f)
		if err != nil {
			r.log.WithField("request_id", r.call.id).WithError(err).Warn("frame refused")
			return nil, res
		}
		switch verdict {
		case stream.Drop:
		case stream.Deliver:
			now := time.Now()
			r.recordLatency(&res, f, started, previous, now)
			previous = now
			if err := r.out.write(f.GetData()); err != nil {
				res.Reason = v1.Reason_REASON_CANCELLED
				return nil, res
			}
		case stream.End:
			return r.applyFinal(f.GetFinal(), res, started)
		}
	}
	return nil, classifyFailure(ctx, s.Err(), started)
}

func (r *runner) recordLatency(res *Result, f *v1.Frame, started, previous, now time.Time) {
	c := r.call
	if res.Tokens == 0 {
		res.FirstToken = now.Sub(started)
		if f.GetOffset() == 0 {
			r.metrics.FirstToken(c.service.Service, c.kind.Name, now.Sub(c.started))
		}
	} else {
		r.metrics.BetweenTokens(c.service.Service, c.kind.Name, now.Sub(previous)/time.Duration(max(1, f.GetTokens())))
	}
	res.Tokens += uint64(f.GetTokens())
}

func (r *runner) applyFinal(f *v1.Final, res Result, started time.Time) (*v1.Final, Result) {
	r.docs.Observe(r.call.service.Service, f.GetConfigRevision())
	res.Outcome, res.Reason, res.Load = f.GetOutcome(), f.GetReason(), f.GetLoad()
	res.Elapsed = time.Since(started)
	return f, res
}

// failed classifies an attempt that ended without a final frame. Only a connection that was
// never made proves that the request did not run.
func classifyFailure(ctx context.Context, err error, started time.Time) Result {
	res := Result{Outcome: v1.Outcome_OUTCOME_UNKNOWN, Reason: v1.Reason_REASON_BACKEND_FAILED, Elapsed: time.Since(started)}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		res.Outcome, res.ConnectionRefused = v1.Outcome_OUTCOME_NOT_RUN, true
	case errors.Is(context.Cause(ctx), errStalled):
		res.TimedOut = true
	case connect.CodeOf(err) == connect.CodeUnauthenticated:
		res.Outcome, res.Reason = v1.Outcome_OUTCOME_NOT_RUN, v1.Reason_REASON_INVALID
	case ctx.Err() != nil:
		res.Reason = v1.Reason_REASON_DEADLINE
		res.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
	default:
		res.ConnectionBroken = true
	}
	return res
}

// stallTimes returns how long an attempt may be silent before its first frame and between
// frames. An unrepeatable request waits for its deadline, since another attempt is not allowed.
func (r *runner) stallTimeouts() (first, between time.Duration) {
	remaining := time.Until(r.call.deadline) + time.Second
	if !r.call.kind.Repeatable || r.call.model == nil {
		return remaining, remaining
	}
	d := r.call.kind.Deadlines
	first = max(minFirstFrameTimeout, 4*d.FirstToken.Std())
	between = max(minStallTimeout, stallFactor*d.BetweenTokens.Std())
	return min(first, remaining), min(between, remaining)
}
