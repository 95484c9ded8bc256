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
	// maxAttempts is the largest number of attempts for one request.
	maxAttempts = 6
	// minStallTimeout is the smallest timeout between frames of a repeatable attempt.
	minStallTimeout = 500 * time.Millisecond
	// minFirstFrameTimeout is the smallest timeout for the first frame of a repeatable attempt.
	minFirstFrameTimeout = 2 * time.Second
	// stallFactor is the ratio of the timeout between frames to the latency target between tokens.
	stallFactor = 8
	// maxWorkerWait is how long a request that was refused or interrupted waits for a usable worker.
	// It allows for out-of-date load reports that still show a reconfigured engine as draining.
	maxWorkerWait = 3 * time.Second
	// workerPollInterval is the interval between checks for a usable worker.
	workerPollInterval = 50 * time.Millisecond
)

// errStalled is the cancellation cause of an attempt whose worker sent no frame in time.
var errStalled = errors.New("no frame within the stall timeout")

// sink receives the parts of an answer in order. A write error means that the caller has
// disconnected or reads too slowly.
type sink interface {
	write(data []byte) error
}

// run makes attempts until the request is answered or no further attempt is allowed.
func (e *Entry) run(ctx context.Context, c *call, out sink) (*v1.Final, *Error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	r := &runner{Entry: e, call: c, out: out, assembler: stream.NewAssembler(c.id)}
	e.budget.RecordFirstAttempt(time.Now())
	for {
		final, err := r.step(ctx)
		if final != nil || err != nil {
			return final, err
		}
	}
}

// runner holds the state of one request over its attempts.
type runner struct {
	*Entry
	call      *call
	out       sink
	assembler *stream.Assembler

	tried []string
	// mayHaveRun is true once any attempt may have run.
	mayHaveRun bool
	attempts   int
	// last is the result of the latest attempt. Nothing reads it.
	last Result
	// waited is the time spent waiting for a usable worker.
	waited time.Duration
}

// step makes one attempt, or waits for one poll interval if no worker is usable. It returns nil, nil
// if another step should follow.
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

// resetPlainAnswer discards the partial plain answer of a failed attempt. Plain answers cannot be
// resumed, because another run may have a different status, content type and body.
func (r *runner) resetPlainAnswer() {
	if out, ok := r.out.(*bufferSink); ok && r.call.plain != nil {
		out.buf.Reset()
		r.assembler.Restart()
	}
}

// prepareRetry returns an error if no other attempt may follow a failed one. Otherwise it waits for
// the backoff time, unless the attempt ended by a planned change, and returns nil.
func (r *runner) prepareRetry(ctx context.Context, res Result) *Error {
	detail := res.Reason.String()
	switch {
	case r.mayHaveRun && !r.call.kind.Repeatable:
		return r.requestError(callerReason(res.Reason), detail)
	case ctx.Err() != nil || !time.Now().Before(r.call.deadline):
		return r.requestError(ReasonDeadline, "deadline passed")
	case r.attempts >= maxAttempts:
		return r.requestError(callerReason(res.Reason), detail)
	case !plannedChange(res) && !r.budget.Take(time.Now()):
		return r.requestError(ReasonRetryBudget, "retry budget is spent after "+detail)
	}
	r.metrics.Retry(r.call.service.Service, res.Reason)
	if !plannedChange(res) {
		r.backOff(ctx)
	}
	return nil
}

// backOff waits for a random time before a retry, so that requests that failed at the same time do
// not retry at the same time. If the deadline passes meanwhile, the next step fails at once and
// returns the error.
func (r *runner) backOff(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter is not security-sensitive
	t := time.NewTimer(r.budget.Backoff(r.attempts, 0, rnd))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// plannedChange reports whether an attempt ended because its worker is being reconfigured, stopped or
// replaced. Such retries are not counted against the retry budget: their number is bounded by the
// number of changes, and an exhausted budget would fail requests that only have to move to another
// worker.
func plannedChange(res Result) bool {
	switch res.Reason {
	case v1.Reason_REASON_DRAINING:
		return true
	case v1.Reason_REASON_WRONG_INCARNATION, v1.Reason_REASON_MODEL_NOT_LOADED:
		return res.Outcome == v1.Outcome_OUTCOME_NOT_RUN
	}
	return false
}

// waitForWorker waits for one poll interval and clears the tried workers: several engines may be
// reconfigured at once, and one that is ready again may still be reported as draining. It returns an
// error if the request has already waited for maxWorkerWait, if its context ends, or if there was no
// attempt yet, because another entry may have a usable worker.
func (r *runner) waitForWorker(ctx context.Context, cause error) *Error {
	if r.attempts == 0 || r.waited >= maxWorkerWait {
		return r.requestError(ReasonNoWorker, cause.Error())
	}
	t := time.NewTimer(workerPollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return r.requestError(ReasonDeadline, cause.Error())
	case <-t.C:
	}
	r.waited += workerPollInterval
	r.tried = nil
	return nil
}

// requestError returns the error for the caller: "not run" only if no attempt can have run, otherwise
// "unknown".
func (r *runner) requestError(reason Reason, detail string) *Error {
	if r.mayHaveRun {
		return unknownError(reason, "%s", detail)
	}
	return notRunError(reason, "%s", detail)
}

// recordDecision logs the choice of a worker and adds it to the decision log.
func (r *runner) recordDecision(attempt uint32, offset uint64, w Worker, reason string) {
	prefill := ""
	if w.Prefill != nil {
		prefill = w.Prefill.Instance
	}
	r.log.WithFields(logrus.Fields{
		"request_id": r.call.id, "service": r.call.service.Service, "kind": r.call.kind.Name,
		"attempt": attempt, "offset": offset, "worker": w.Instance, "prefill": prefill, "reason": reason,
	}).Info("request routed")
	r.decisions.Add(r.call.id, w.Instance, reason, slices.Clone(r.tried))
}

// attempt sends the request to a worker and passes its frames to the sink until the final frame.
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
		action, err := r.assembler.Accept(f)
		if err != nil {
			r.log.WithField("request_id", r.call.id).WithError(err).Warn("invalid frame from worker; attempt failed")
			return nil, res
		}
		switch action {
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

// recordLatency updates the result and the latency metrics for a frame that was delivered.
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

// applyFinal completes the result of an attempt from its final frame, and reports the configuration
// revision that the frame carries.
func (r *runner) applyFinal(f *v1.Final, res Result, started time.Time) (*v1.Final, Result) {
	r.docs.Observe(r.call.service.Service, f.GetConfigRevision())
	res.Outcome, res.Reason, res.Load = f.GetOutcome(), f.GetReason(), f.GetLoad()
	res.Elapsed = time.Since(started)
	return f, res
}

// classifyFailure returns the result of an attempt that ended without a final frame. The outcome is
// "not run" if no connection was established or the worker rejected the credentials, and otherwise
// "unknown".
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

// stallTimeouts returns the timeouts of an attempt for its first frame and between frames. Both are at
// most one second longer than the time to the deadline, so that the deadline, not the stall timeout,
// ends the attempt. Non-repeatable requests wait that long because another attempt would not be
// allowed, and plain requests because they have no latency targets to derive timeouts from.
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
