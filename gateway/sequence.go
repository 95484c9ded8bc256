package gateway

import (
	"errors"
	"strconv"
)

// errUnplacedEvent means that an event of a resumed run has no number that places it after the earlier ones.
var errUnplacedEvent = errors.New("event of a resumed stream without a number")

// eventSequence decides which events of the runs of one stream reach the caller, so that none comes twice or
// out of order.
type eventSequence struct {
	// lastID is the ID of the last event that was forwarded; empty if none had one.
	lastID string
	// last is the number of the last event that was forwarded, or that the caller had when it called. It is
	// negative if there is none.
	last int64
	// resumed is true while the run is not the first one of which events were forwarded.
	resumed bool
	// forwarded is true once an event was forwarded.
	forwarded bool
	// unplaced is true once an event without a number was forwarded: another run could repeat it.
	unplaced bool
}

// newEventSequence returns the sequence of a caller that has received the event with ID lastReceived, or none if
// it is empty.
func newEventSequence(lastReceived string) eventSequence {
	s := eventSequence{last: -1}
	if n, ok := eventNumber(lastReceived); ok {
		s.last = n
	}
	return s
}

// begin begins the events of another run.
func (s *eventSequence) begin() { s.resumed = s.forwarded }

// mayResume reports whether another run can go on after the events that were forwarded.
func (s *eventSequence) mayResume() bool { return !s.unplaced }

// accept reports whether an event is to be forwarded. It returns an error if the event cannot be placed; the
// run is then of no use.
func (s *eventSequence) accept(id string) (bool, error) {
	n, numbered := eventNumber(id)
	switch {
	case numbered && n <= s.last:
		return false, nil
	case !numbered && s.resumed:
		return false, errUnplacedEvent
	case numbered:
		s.last = n
	default:
		s.unplaced = true
	}
	if id != "" {
		s.lastID = id
	}
	s.forwarded = true
	return true, nil
}

func eventNumber(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}
