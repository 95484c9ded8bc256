package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/once"
)

// servePlainCall runs a plain request. A request that may not be repeated and carries an
// idempotency key is claimed first, so that retries by its caller meet the first run.
func (e *Entry) servePlainCall(ctx context.Context, call *call, out *bufferSink) (*v1.Final, *Error) {
	if call.key == "" || call.kind.Repeatable {
		return e.serve(ctx, call, out)
	}
	claim := e.claimRequest(call, once.ActionClaim)
	recorded, err := e.claim(ctx, call, claim)
	if err != nil {
		e.recordOutcome(call, err)
		return nil, err
	}
	if recorded != nil {
		out.buf.Write(recorded.Body)
		e.recordOutcome(call, nil)
		return &v1.Final{Status: recorded.Status, ContentType: recorded.ContentType}, nil
	}
	final, err := e.serve(ctx, call, out)
	e.settle(ctx, call, final, err, out.buf.Bytes())
	return final, err
}

func (e *Entry) claimRequest(call *call, action once.Action) once.Request {
	d := xxhash.New()
	// Credentials are part of the fingerprint, so that a caller never gets the recorded answer of
	// another one. An address is not, because it may change between a caller's retries.
	caller := ""
	if strings.HasPrefix(call.caller, credentialsPrefix) {
		caller = call.caller
	}
	for _, part := range []string{caller, call.plain.GetMethod(), call.plain.GetPath(), call.plain.GetContentType()} {
		_, _ = d.WriteString(part + "\x00")
	}
	_, _ = d.Write(call.plain.GetBody())
	return once.Request{
		Service: call.service.Service, Key: call.key, RequestID: call.id,
		Action: action, Fingerprint: d.Sum64(),
	}
}

// claim returns nil, nil if the request holds the claim, or the recorded answer of the run
// that does.
func (e *Entry) claim(ctx context.Context, call *call, r once.Request) (*once.Answer, *Error) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	res := e.claims.Do(ctx, r)
	switch res.State {
	case once.StateGranted:
		return nil, nil
	case once.StateComplete:
		if res.Answer.Omitted() {
			return nil, withStatus(http.StatusConflict, unknownError(ReasonKeyHeld, "the request with this key ran; its answer was too large to keep"))
		}
		return &res.Answer, nil
	case once.StateHeld:
		return nil, withStatus(http.StatusConflict, unknownError(ReasonKeyHeld, "an earlier request with this key has no recorded answer"))
	case once.StateMismatch:
		return nil, invalidError(http.StatusUnprocessableEntity, ReasonKeyMismatch, "the key was used for a different request")
	case once.StateExpired:
		return nil, withStatus(http.StatusConflict, unknownError(ReasonKeyExpired, "the key's time is outside the accepted period"))
	case once.StateUnavailable:
		return nil, notRunError(ReasonKeyStore, "the claim of the key could not be recorded: %v", res.Err)
	default:
		return nil, unknownError(ReasonKeyStore, "the outcome of the claim of the key is not known: %v", res.Err)
	}
}

func withStatus(status int, e *Error) *Error {
	e.Status = status
	return e
}

// settle records the answer of a keyed request, or releases its claim if it did not run. A
// claim that cannot be settled stays held, which refuses later requests with its key.
func (e *Entry) settle(ctx context.Context, call *call, final *v1.Final, runErr *Error, body []byte) {
	var r once.Request
	switch {
	case runErr == nil:
		r = e.claimRequest(call, once.ActionComplete)
		r.Answer = once.Answer{Status: final.GetStatus(), ContentType: final.GetContentType(), Body: body}
	case runErr.Outcome == OutcomeNotRun:
		r = e.claimRequest(call, once.ActionRelease)
	default:
		return
	}
	// The claim must be settled even if the caller has left meanwhile.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if res := e.claims.Do(ctx, r); res.Err != nil {
		e.log.WithField("request_id", call.id).WithError(res.Err).Warn("claim not settled")
	}
}
