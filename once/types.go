package once

import (
	"context"
	"errors"
	"fmt"
)

// State is the state of a key after a claim operation. The values equal those of ClaimState in the wire
// protocol.
type State uint8

// States of a key.
const (
	// StateNone means that no claim is recorded for the key. Only completions and releases return it.
	StateNone State = iota
	// StateGranted means that the claim holds the ID of this request, which may be dispatched.
	StateGranted
	// StateHeld means that another request holds the claim and its answer is not recorded yet.
	StateHeld
	// StateComplete means that the answer of the request that holds the claim is recorded.
	StateComplete
	// StateMismatch means that the key was used for a request with another fingerprint.
	StateMismatch
	// StateUnavailable means that the operation is certainly not recorded.
	StateUnavailable
	// StateUnknown means that the operation may or may not be recorded.
	StateUnknown
	// StateExpired means that the key's timestamp is outside the accepted period.
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

// Action is the kind of a claim operation. The values equal those of ClaimAction in the wire protocol.
type Action uint8

// Actions of a Request.
const (
	// ActionClaim claims the key for the request ID.
	ActionClaim Action = iota + 1
	// ActionComplete records the answer of the request that holds the claim.
	ActionComplete
	// ActionRelease removes the claim of a request that certainly did not run. The request ID must
	// not be used for another claim.
	ActionRelease
)

// Answer is the recorded answer to a client's request. Status is the HTTP status; 0 means that the answer
// was omitted, because its body or content type exceeds the limit or the record is full.
type Answer struct {
	Status      uint32
	ContentType string
	Body        []byte
}

// Omitted reports whether the answer was omitted, because its body or content type exceeds the limit or
// the record is full.
func (a Answer) Omitted() bool { return a.Status == 0 }

// Request is a claim operation: the claim, completion or release of one key.
type Request struct {
	Service   string
	Key       string
	RequestID string // ID of the client's request
	Action    Action
	// Fingerprint is a hash of the client's request. It detects the reuse of a key for another request.
	Fingerprint uint64
	// Answer is the answer to record with ActionComplete.
	Answer Answer
}

// Result is the result of a claim operation.
type Result struct {
	State State
	// Answer is set with StateComplete.
	Answer Answer
	// Err is the cause of StateUnavailable and StateUnknown.
	Err error
}

// Maximum sizes of the fields of a Request, in bytes.
const (
	MaxKeyBytes         = 255
	MaxRequestIDBytes   = 64
	maxContentTypeBytes = 128
)

// Errors of this package.
var (
	// ErrInvalid means that a Request is malformed.
	ErrInvalid = errors.New("invalid claim request")
	// ErrRecordInvalid means that a stored record cannot be decoded.
	ErrRecordInvalid = errors.New("invalid claim record")
	// ErrRecordMissing means that a listed sealed record does not exist although it has not expired.
	ErrRecordMissing = errors.New("sealed claim record is missing")
	// ErrRecordFull means that the record would exceed MaxRecordBytes.
	ErrRecordFull = errors.New("claim record is full")
	// ErrNotSent means that a forwarded operation certainly did not reach the other entry.
	ErrNotSent = errors.New("claim was not sent to the shard owner")
	// errCallEnded means that the context of the Do call ended before there was a result.
	errCallEnded = errors.New("caller stopped waiting for the claim")
)

// Claimer performs claims, completions and releases of keys.
type Claimer interface {
	// Do performs a claim operation and returns its result. If ctx ends first, the state is
	// StateUnavailable if the operation is certainly not recorded, otherwise StateUnknown.
	Do(ctx context.Context, r Request) Result
}

// Validate returns an error that wraps ErrInvalid if the operation is malformed.
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
