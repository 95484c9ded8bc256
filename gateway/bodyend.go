package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/quetzallug/quetzallug/internal/pause"
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

// witnessRetryTime is how long no other witness is opened after one could not be, because events wait meanwhile for
// probeTimeout at most.
const witnessRetryTime = time.Second

// bodyWatch watches the process that sends a body which ends with its connection. It does nothing for other bodies.
type bodyWatch struct {
	a       *attempt
	framing upstream.Framing
	// witness is a connection that rests meanwhile; nil if there is none.
	witness *upstream.Witness
	// retryAt is when another witness may be opened after one could not be.
	retryAt time.Time
}

// watchBody begins to watch the process that sends a body.
func (a *attempt) watchBody(resp *upstream.Response) *bodyWatch {
	w := &bodyWatch{a: a, framing: resp.Framing()}
	a.q.framing = string(w.framing)
	w.refresh(a.q.ctx)
	return w
}

// refresh replaces a witness that was closed before the body ended, such as an idle connection that the backend
// server gave up.
func (w *bodyWatch) refresh(ctx context.Context) {
	if w.framing != upstream.FramingConnection || time.Now().Before(w.retryAt) || w.witness != nil && !w.witness.Lost() {
		return
	}
	w.close()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	witness, err := w.a.q.g.pool.Witness(ctx, w.a.server.Address)
	if err != nil {
		w.retryAt = time.Now().Add(witnessRetryTime)
		return
	}
	w.witness = witness
}

// end returns what is known of the body, of which no more comes.
func (w *bodyWatch) end(ctx context.Context) bodyEnd {
	e := bodyEnd{framing: w.framing}
	if w.framing == upstream.FramingConnection {
		e.pastLimit = !time.Now().Before(w.a.limit)
		e.lives = !e.pastLimit && w.lives(ctx)
	}
	return e
}

// lives reports whether the process was seen to go on after the end of the body.
func (w *bodyWatch) lives(ctx context.Context) bool {
	if w.witness == nil || w.witness.Lost() {
		return false
	}
	dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	later, err := w.a.q.g.pool.NewWitness(dialCtx, w.a.server.Address)
	if err != nil {
		return false
	}
	defer later.Close()
	return pause.For(ctx, socketCloseTime) && !w.witness.Lost() && !later.Lost()
}

func (w *bodyWatch) close() {
	if w.witness != nil {
		w.witness.Close()
		w.witness = nil
	}
}
