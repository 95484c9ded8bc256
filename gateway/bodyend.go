package gateway

import (
	"errors"
	"time"

	"github.com/quetzallug/quetzallug/upstream"
)

// Why a body is not whole although no more of it comes and no read failed.
var (
	errEventCut    = errors.New("stream ended inside an event")
	errNoEvent     = errors.New("connection ended before the first event")
	errTimeLimit   = errors.New("connection ended at the time limit")
	errServerEnded = errors.New("no proof that the backend server goes on")
)

// bodyEnd is what is known of a body when no more of it comes. A body with a length or in chunks has an end of its own. Of
// one that ends with its connection, the end may as well be that of the process, or of the time that it was given; it is
// whole only with proof of the opposite, in whatever state the backend server is said to be. A reset, and an end before the
// request was written, are errors of the read.
type bodyEnd struct {
	framing upstream.Framing
	// events is true if the body consists of events; anyEvent if there was one, and tail is what follows the last one.
	events, anyEvent bool
	tail             []byte
	// pastLimit is true if the time has passed that the backend server was given. It stops its work then.
	pastLimit bool
	// lives is true if the process was seen to go on after the end: a connection from before and one that was opened
	// afterwards were both open for longer than the operating system takes to close those of a process that ended. One of
	// them is not enough: an idle one may have been dropped without notice, and a new one reaches any process that
	// listens at the address, or none behind a proxy.
	lives bool
}

// check returns why the body is not whole, or nil if it is.
func (e *bodyEnd) check() error {
	if e.events && holdsEvent(e.tail) {
		return errEventCut
	}
	if e.framing != upstream.FramingConnection {
		return nil
	}
	switch {
	case e.events && !e.anyEvent:
		return errNoEvent
	case e.pastLimit:
		return errTimeLimit
	case !e.lives:
		return errServerEnded
	}
	return nil
}

// socketCloseTime is how long the operating system takes to close all sockets of a process that was killed. They
// are closed one after the other, within a few milliseconds on a busy machine.
const socketCloseTime = 20 * time.Millisecond
