package once

import (
	"context"
	"errors"
	"fmt"
)

// State is the state of a key after a request. The values equal those of the protocol's ClaimState.
type State uint8

// States of a key.
const (
	// StateNone means that no claim is recorded for the key. Only completions and releases see it.
	StateNone State = iota
	// StateGranted means that the claim holds the ID of the asking request, which may be dispatched.
	StateGranted
	// StateHeld means that another request holds the claim and no answer is recorded.
	StateHeld
	// StateComplete means that the answer is recorded.
	StateComplete
	// StateMismatch means that the key was used for a different request.
	StateMismatch
	// StateUnavailable means that the request is certainly not recorded.
	StateUnavailable
	// StateUnknown means that a write was sent and its outcome could not be read back.
	StateUnknown
	// StateExpired means that the key's own time is outside the accepted period.
	StateExpired
)

var stateNames = [...]string{"none", "granted", "held", "complete", "mismatch", "unavailable", "unknown", "expired"}

// String implements fmt.Stringer.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Action is what a request asks for. The values equal those of the protocol's ClaimAction.
type Action uint8

// Actions.
const (
	// ActionClaim claims the key for the request ID.
	ActionClaim Action = iota + 1
	// ActionComplete records the answer of the request that holds the claim.
	ActionComplete
	// ActionRelease removes the claim of a request that certainly did not run. The request ID must
	// not be used for a claim again.
	ActionRelease
)

// Answer is a recorded answer. A status of 0 means that the answer was not kept, because it was
// larger than the bound.
type Answer struct {
	Status      uint32
	ContentType string
	Body        []byte
}

// Omitted reports whether the answer was too large to be kept.
func (a Answer) Omitted() bool { return a.Status == 0 }

// Request asks for a change of one key.
type Request struct {
	Service   string
	Key       string
	RequestID string
	Action    Action
	// Fingerprint is a hash of the caller's request, so that a key serves one request only.
	Fingerprint uint64
	// Answer is recorded by ActionComplete.
	Answer Answer
}

// Result is the outcome of a request.
type Result struct {
	State State
	// Answer is set with StateComplete.
	Answer Answer
	// Err gives the cause of StateUnavailable and StateUnknown, for the log.
	Err error
}

// Bounds of a request's fields, in bytes.
const (
	MaxKeyBytes       = 255
	MaxRequestIDBytes = 64
	maxContentType    = 128
)

// Errors of this package.
var (
	// ErrInvalid means that a request can never be accepted.
	ErrInvalid = errors.New("invalid claim request")
	// ErrRecordInvalid means that a stored record cannot be decoded.
	ErrRecordInvalid = errors.New("invalid claim record")
	// ErrRecordMissing means that a sealed record is listed but absent before its expiry.
	ErrRecordMissing = errors.New("sealed claim record is missing")
	// ErrRecordFull means that the record would exceed the largest value of the key-value service.
	ErrRecordFull = errors.New("claim record is full")
	// ErrNotSent means that a forwarded request certainly did not reach the shard owner.
	ErrNotSent = errors.New("claim was not sent to the shard owner")
	// errCallerGone means that the caller stopped waiting.
	errCallerGone = errors.New("caller stopped waiting for the claim")
)

// Claimer claims, completes and releases keys.
type Claimer interface {
	Do(ctx context.Context, r Request) Result
}

// Validate returns an error that wraps ErrInvalid if the request can never be accepted.
func (r *Request) Validate() error {
	switch {
	case r.Service == "":
		return fmt.Errorf("%w: service is empty", ErrInvalid)
	case r.Key == "" || len(r.Key) > MaxKeyBytes:
		return fmt.Errorf("%w: key has %d bytes, want 1 to %d", ErrInvalid, len(r.Key), MaxKeyBytes)
	case r.RequestID == "" || len(r.RequestID) > MaxRequestIDBytes:
		return fmt.Errorf("%w: request ID has %d bytes, want 1 to %d", ErrInvalid, len(r.RequestID), MaxRequestIDBytes)
	case r.Action < ActionClaim || r.Action > ActionRelease:
		return fmt.Errorf("%w: action %d", ErrInvalid, r.Action)
	}
	return nil
}
