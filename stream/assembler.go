// Package stream reassembles an answer from frames. A frame carries its request ID, attempt
// and offset; the assembler lets through only frames of the current attempt at the next
// offset, so an answer reaches its caller whole, once and in order.
package stream

import (
	"errors"
	"fmt"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// Errors of an attempt whose frames cannot be part of the answer.
var (
	// ErrForeignFrame means that a frame belongs to another request.
	ErrForeignFrame = errors.New("frame belongs to another request")
	// ErrGap means that frames are missing before this one.
	ErrGap = errors.New("frame is beyond the next offset")
	// ErrOverlap means that a frame repeats a part of the answer and adds to it.
	ErrOverlap = errors.New("frame overlaps the delivered answer")
	// ErrLength means that a final frame's total does not match the delivered length.
	ErrLength = errors.New("final length does not match the delivered answer")
)

// Verdict says what to do with a frame.
type Verdict int

// Verdicts.
const (
	// Drop means that the frame is late or repeated and must not be delivered.
	Drop Verdict = iota
	// Deliver means that the frame's data is the next part of the answer.
	Deliver
	// End means that the frame ends the attempt with its outcome.
	End
)

// Assembler holds the state of one answer. It is not safe for concurrent use.
//
// Invariants: next decreases only by Restart, and data is delivered only at offset next.
type Assembler struct {
	requestID string
	attempt   uint32
	next      uint64
	complete  bool
}

// NewAssembler returns an assembler for one request.
func NewAssembler(requestID string) *Assembler {
	return &Assembler{requestID: requestID}
}

// Begin starts the next attempt and returns its number and the offset from which it resumes.
// Frames of earlier attempts are dropped from now on.
func (a *Assembler) Begin() (attempt uint32, offset uint64) {
	a.attempt++
	return a.attempt, a.next
}

// Restart forgets the delivered part of an answer that its caller has discarded. Frames of the
// attempts so far are dropped from the next Begin on.
func (a *Assembler) Restart() { a.next = 0 }

// Offset returns the number of tokens delivered so far.
func (a *Assembler) Offset() uint64 { return a.next }

// Complete reports whether the whole answer has been delivered.
func (a *Assembler) Complete() bool { return a.complete }

// Accept decides about one frame. An error means that the attempt has failed; the tokens
// delivered so far stay valid.
func (a *Assembler) Accept(f *v1.Frame) (Verdict, error) {
	if f.GetRequestId() != a.requestID {
		return Drop, fmt.Errorf("%w: got %q, want %q", ErrForeignFrame, f.GetRequestId(), a.requestID)
	}
	if f.GetAttempt() != a.attempt || a.complete {
		return Drop, nil
	}
	if f.GetFinal() != nil {
		return a.acceptFinal(f.GetFinal())
	}
	return a.acceptData(f)
}

func (a *Assembler) acceptData(f *v1.Frame) (Verdict, error) {
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

func (a *Assembler) acceptFinal(f *v1.Final) (Verdict, error) {
	if f.GetOutcome() != v1.Outcome_OUTCOME_COMPLETE {
		return End, nil
	}
	if f.GetTotal() != a.next {
		return Drop, fmt.Errorf("%w: total %d, delivered %d", ErrLength, f.GetTotal(), a.next)
	}
	a.complete = true
	return End, nil
}
