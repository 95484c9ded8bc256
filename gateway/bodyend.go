package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/upstream"
)

// errServerEnded means that a body that only its connection ends was cut by the end of the backend server's
// process.
var errServerEnded = errors.New("backend server ended")

// socketCloseTime is how long the operating system takes to close all sockets of a process that was killed. They
// are closed one after the other, within a few milliseconds on a busy machine.
const socketCloseTime = 20 * time.Millisecond

// endEvidence is what is known when the connection of a body without a length or chunks has ended.
type endEvidence struct {
	// leaving is true if the backend server is draining or no longer listed, so that its process may end
	// regularly after its last answer.
	leaving bool
	// witnessed is true if another connection to the process was open while the body was received, and lost
	// if that one was closed at the same time.
	witnessed, lost bool
	// refuses is true if nothing listens at the address.
	refuses bool
}

// isCut reports whether the body was cut by the end of the process.
func (e endEvidence) isCut() bool {
	switch {
	case e.leaving:
		return false
	case e.witnessed:
		return e.lost
	}
	return e.refuses
}

// bodyWatch collects the evidence for one body. The zero value, for bodies with an end of their own, collects none.
type bodyWatch struct {
	g       *Gateway
	server  *Server
	witness *upstream.Witness
	refuses bool
}

// watchBody begins to watch the process that sends a body.
func (a *attempt) watchBody(resp *upstream.Response) *bodyWatch {
	w := &bodyWatch{}
	if resp.Framing() == upstream.FramingConnection {
		w.g, w.server = a.q.g, a.server
		w.refresh(a.q.ctx)
	}
	return w
}

// refresh replaces a witness that was closed before the body ended, such as an idle connection that the backend
// server gave up.
func (w *bodyWatch) refresh(ctx context.Context) {
	if w.g == nil || w.refuses || w.witness != nil && !w.witness.Lost() {
		return
	}
	w.close()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	witness, err := w.g.pool.Witness(ctx, w.server.Address)
	if err != nil {
		w.refuses = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		return
	}
	w.witness = witness
}

// checkEnd returns errServerEnded if the body, whose connection has ended, was cut by the end of the process.
func (w *bodyWatch) checkEnd(ctx context.Context) error {
	if w.g == nil {
		return nil
	}
	e := endEvidence{leaving: !w.g.roster.IsServing(w.server), witnessed: w.witness != nil, refuses: w.refuses}
	if e.witnessed {
		pause.For(ctx, socketCloseTime)
		e.lost = w.witness.Lost()
	}
	if e.isCut() {
		return errServerEnded
	}
	return nil
}

func (w *bodyWatch) close() {
	if w.witness != nil {
		w.witness.Close()
		w.witness = nil
	}
}
