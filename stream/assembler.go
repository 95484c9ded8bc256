// Package stream reassembles an answer from the frames of one or more attempts. Each frame carries
// its request ID, attempt number and token offset. The assembler accepts only frames of the current
// attempt at the next offset, so each token is delivered exactly once and in order, and an answer is
// reported as complete only if no token is missing.
package stream

import (
	"errors"
	"fmt"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// Errors for frames that cannot be part of the answer. Each of them fails the attempt.
var (
	// ErrWrongRequest means that a frame belongs to another request.
	ErrWrongRequest = errors.New("frame belongs to another request")
	// ErrGap means that one or more frames before this one are missing.
	ErrGap = errors.New("frame is beyond the next offset")
	// ErrOverlap means that a frame starts within the delivered part of the answer and ends beyond it.
	ErrOverlap = errors.New("frame overlaps the delivered answer")
	// ErrLengthMismatch means that the total of a final frame differs from the number of tokens delivered.
	ErrLengthMismatch = errors.New("final length does not match the delivered answer")
)

// Action tells the caller of Accept what to do with a frame.
type Action int

// Actions for a frame.
const (
	// Drop means that the frame is stale, repeated or invalid and must not be delivered.
	Drop Action = iota
	// Deliver means that the frame's data is the next part of the answer.
	Deliver
	// End means that the frame is final and carries the outcome of the attempt.
	End
)

// Assembler tracks the delivery of one answer across attempts. It is not safe for concurrent use.
//
// Invariants: next decreases only by Restart, and data is delivered only at offset next.
type Assembler struct {
	requestID string
	attempt   uint32
	// next is the number of tokens delivered, which is the offset of the next token.
	next     uint64
	complete bool
}

// NewAssembler returns an assembler for the answer to one request. Begin must be called before the
// first Accept.
func NewAssembler(requestID string) *Assembler {
	return &Assembler{requestID: requestID}
}

// Begin starts the next attempt and returns its number and the offset at which it resumes. From then
// on, frames of earlier attempts are dropped.
func (a *Assembler) Begin() (attempt uint32, offset uint64) {
	a.attempt++
	return a.attempt, a.next
}

// Restart resets the offset to zero after the caller has discarded the delivered part of the answer.
// Begin must be called before the next Accept, because frames of the current attempt would still be
// accepted.
func (a *Assembler) Restart() { a.next = 0 }

// Offset returns the number of tokens delivered so far, which is the next expected offset.
func (a *Assembler) Offset() uint64 { return a.next }

// Complete reports whether the whole answer has been delivered.
func (a *Assembler) Complete() bool { return a.complete }

// Accept checks one frame and returns what to do with it. An error means that the attempt has failed;
// the tokens delivered so far remain valid.
func (a *Assembler) Accept(f *v1.Frame) (Action, error) {
	if f.GetRequestId() != a.requestID {
		return Drop, fmt.Errorf("%w: got %q, want %q", ErrWrongRequest, f.GetRequestId(), a.requestID)
	}
	if f.GetAttempt() != a.attempt || a.complete {
		return Drop, nil
	}
	if f.GetFinal() != nil {
		return a.acceptFinal(f.GetFinal())
	}
	return a.acceptData(f)
}

// acceptData checks a frame that carries tokens.
func (a *Assembler) acceptData(f *v1.Frame) (Action, error) {
	end := f.GetOffset() + uint64(f.GetTokens())
	switch {
	case f.GetOffset() == a.next:
		a.next = end
		return Deliver, nil
	case end <= a.next:
		return Drop, nil
	case f.GetOffset() > a.next:
		return Drop, fmt.Errorf("%w: offset %d, next is %d", ErrGap, f.GetOffset(), a.next)
	default:
		return Drop, fmt.Errorf("%w: offset %d with %d tokens, next is %d", ErrOverlap, f.GetOffset(), f.GetTokens(), a.next)
	}
}

// acceptFinal checks a final frame. An incomplete outcome ends the attempt but not the answer.
func (a *Assembler) acceptFinal(f *v1.Final) (Action, error) {
	if f.GetOutcome() != v1.Outcome_OUTCOME_COMPLETE {
		return End, nil
	}
	if f.GetTotal() != a.next {
		return Drop, fmt.Errorf("%w: total %d, delivered %d", ErrLengthMismatch, f.GetTotal(), a.next)
	}
	a.complete = true
	return End, nil
}
