package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/upstream"
)

const (
	// witnessSpacing is the least time between the begins of the idle times of two witnesses, so that a backend server that
	// closes idle connections after a time doesn't close both before one has been replaced. Opening a connection in a region
	// and the proof that it belongs to the same process take about 25 ms.
	witnessSpacing = 100 * time.Millisecond
	// witnessRetryTime is how long no other witness is opened after one could not be.
	witnessRetryTime = time.Second
	// restartTime is the least time in which another process listens at the address of one that was killed.
	restartTime = 100 * time.Millisecond
	// maxWitnesses is the number of witnesses of one body.
	maxWitnesses = 2
)

// bodyWatch watches the process that sends a body which ends with its connection, by connections to it that rest meanwhile
// (witnesses). A backend server may close them at any time because they are idle. They are replaced then, so that one from
// before the end of the body is open after it. bodyWatch does nothing for other bodies.
type bodyWatch struct {
	a       *attempt
	resp    *upstream.Response
	framing upstream.Framing
	// stop ends the goroutine that keeps the witnesses, and stopped is closed when it has ended; nil if there is none.
	stop    context.CancelFunc
	stopped chan struct{}

	mu        sync.Mutex
	witnesses []*witness
}

// witness is a connection to the address of a backend server.
type witness struct {
	*upstream.Witness
	// proven is true if it is known to be one to the process that sends the body.
	proven bool
}

// watchBody begins to watch the process that sends a body.
func (a *attempt) watchBody(ctx context.Context, resp *upstream.Response) *bodyWatch {
	w := &bodyWatch{a: a, resp: resp, framing: resp.Framing()}
	a.q.framing = string(w.framing)
	if w.framing != upstream.FramingConnection {
		return w
	}
	ctx, cancel := context.WithCancel(ctx)
	w.stop, w.stopped = cancel, make(chan struct{})
	w.open(ctx, true)
	a.q.g.guard.Go("watch of an answer without a length", func() {
		defer close(w.stopped)
		w.keep(ctx)
	})
	return w
}

// open opens a witness and reports whether it could. answering is true if the process has begun to answer just now. Then it is
// the one that the witness reaches, unless the connection takes as long as another process needs to listen in its place.
func (w *bodyWatch) open(ctx context.Context, answering bool) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	w.mu.Lock()
	others := make([]*upstream.Witness, 0, maxWitnesses)
	for _, o := range w.witnesses {
		others = append(others, o.Witness)
	}
	w.mu.Unlock()
	opened, err := w.a.q.g.pool.Witness(ctx, w.a.server.Address, witnessSpacing, others...)
	if err != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// A process that answers a request that was sent later has been there since.
	proven := opened.OpenedAt().Before(w.a.sentAt) || answering && opened.OpenedAt().Sub(began) < restartTime
	w.witnesses = append(w.witnesses, &witness{opened, proven})
	return true
}

// keep replaces witnesses that were closed, until the context ends.
func (w *bodyWatch) keep(ctx context.Context) {
	openAt := time.Now().Add(witnessSpacing)
	for {
		var ended [maxWitnesses]<-chan struct{}
		now := time.Now()
		wait := time.Hour // without an end
		provenLost, unproven := false, false
		w.mu.Lock()
		w.witnesses = slices.DeleteFunc(w.witnesses, func(o *witness) bool {
			if !o.Lost() {
				return false
			}
			provenLost = provenLost || o.proven
			o.Close()
			return true
		})
		// A backend server that closes new connections at once loses none that was proven.
		if provenLost && len(w.witnesses) == 0 {
			openAt = now
		}
		for i, o := range w.witnesses {
			ended[i] = o.Ended()
			if !o.proven && !w.prove(o, now) {
				wait, unproven = socketCloseTime, true
			}
		}
		missing := len(w.witnesses) < maxWitnesses
		w.mu.Unlock()
		// The next one waits for the proof of the last one, which the time of its connection would delay.
		if missing && !unproven && !now.Before(openAt) {
			if openAt = now.Add(witnessSpacing); !w.open(ctx, false) {
				openAt = now.Add(witnessRetryTime)
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		if missing && now.Before(openAt) {
			wait = min(wait, openAt.Sub(now))
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-ended[0]:
		case <-ended[1]:
		}
		timer.Stop()
	}
}

// prove records whether a witness is known to be a connection to the process that sends the body: the body's connection is
// open, with nothing on the way on it, longer after the witness was opened than the operating system takes to close the
// connections of a process that ended. The caller must hold mu.
func (w *bodyWatch) prove(o *witness, now time.Time) bool {
	o.proven = now.Sub(o.OpenedAt()) >= socketCloseTime && w.resp.Quiet(socketCloseTime)
	return o.proven
}

// end returns what is known of the body, of which no more comes.
func (w *bodyWatch) end(ctx context.Context) bodyEnd {
	e := bodyEnd{framing: w.framing}
	if w.framing == upstream.FramingConnection {
		e.pastLimit = !time.Now().Before(w.a.limit)
		w.stopKeeping()
		e.lives = !e.pastLimit && w.lives(ctx)
	}
	return e
}

// lives reports whether the process was seen to go on after the end of the body.
func (w *bodyWatch) lives(ctx context.Context) bool {
	if !w.anyOpen() {
		return false
	}
	dialCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	later, err := w.a.q.g.pool.NewWitness(dialCtx, w.a.server.Address)
	if err != nil {
		return false
	}
	defer later.Close()
	return pause.For(ctx, socketCloseTime) && w.anyOpen() && !later.Lost()
}

// anyOpen reports whether a witness of the process that sent the body is open.
func (w *bodyWatch) anyOpen() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.witnesses, func(o *witness) bool { return o.proven && !o.Lost() })
}

// stopKeeping ends the replacement of witnesses.
func (w *bodyWatch) stopKeeping() {
	if w.stop != nil {
		w.stop()
		<-w.stopped
	}
}

// close ends the watch. It must be called before the response is closed.
func (w *bodyWatch) close() {
	w.stopKeeping()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.witnesses {
		o.Close()
	}
	w.witnesses = nil
}
