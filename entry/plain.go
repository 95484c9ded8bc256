package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/once"
)

// servePlainCall runs a plain request. A non-repeatable request with an idempotency key first claims
// its key, so that a retry by the caller gets the answer of the first run instead of running again.
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

// claimRequest builds a request to the claimer. Its fingerprint detects that a key is reused for a
// different request.
func (e *Entry) claimRequest(call *call, action once.Action) once.Request {
	d := xxhash.New()
	// The fingerprint includes the credentials, so that a caller never gets the recorded answer of
	// another one. It excludes the address, which may change between retries.
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

// claim claims the key of a request. It returns nil, nil if the claim was granted, and the recorded
// answer if an earlier request with this key has completed.
func (e *Entry) claim(ctx context.Context, call *call, r once.Request) (*once.Answer, *Error) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	res := e.claims.Do(ctx, r)
	switch res.State {
	case once.StateGranted:
		return nil, nil
	case once.StateComplete:
		if res.Answer.Omitted() {
			return nil, withStatus(http.StatusConflict, unknownError(ReasonKeyInUse, "the request with this key ran; its answer was too large to keep"))
		}
		return &res.Answer, nil
	case once.StateHeld:
		return nil, withStatus(http.StatusConflict, unknownError(ReasonKeyInUse, "an earlier request with this key has no recorded answer"))
	case once.StateMismatch:
		return nil, invalidError(http.StatusUnprocessableEntity, ReasonKeyMismatch, "the key was used for a different request")
	case once.StateExpired:
		return nil, withStatus(http.StatusConflict, unknownError(ReasonKeyExpired, "the key's time is outside the accepted period"))
	case once.StateUnavailable:
		return nil, notRunError(ReasonKeyStoreUnavailable, "the claim of the key could not be recorded: %v", res.Err)
	default:
		return nil, unknownError(ReasonKeyStoreUnavailable, "the outcome of the claim of the key is not known: %v", res.Err)
	}
}

// withStatus replaces the HTTP status of an error.
func withStatus(status int, e *Error) *Error {
	e.Status = status
	return e
}

// settle records the answer of a request with a claimed key, or releases the claim if the request did
// not run. A claim stays held if it cannot be settled or if the request may have run; later requests
// with its key are then refused.
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
	// The claim must be settled even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if res := e.claims.Do(ctx, r); res.Err != nil {
		e.log.WithField("request_id", call.id).WithError(res.Err).Warn("claim of idempotency key not settled")
	}
}
