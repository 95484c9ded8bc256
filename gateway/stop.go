package gateway

import (
	"context"
	"errors"
	"math/bits"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/shutdown"
)

// errStopping is the reason why a request is not sent, or is ended, because the process stops before it completes.
var errStopping = errors.New("instance_stopping")

// stopState is the state of the process's planned stop.
type stopState struct {
	durations *shutdown.Durations
	plan      atomic.Pointer[shutdown.Plan]
	// begun ends when the stop begins, and ended when all responses must have been written.
	begun, ended         context.Context
	markBegun, markEnded context.CancelFunc
}

func newStopState() *stopState {
	s := &stopState{durations: shutdown.NewDurations()}
	s.begun, s.markBegun = context.WithCancel(context.Background())
	s.ended, s.markEnded = context.WithCancel(context.Background())
	return s
}

// whenEnded calls f once all responses must have been written, unless detach was called before.
func (s *stopState) whenEnded(f func()) (detach func() bool) { return context.AfterFunc(s.ended, f) }

// Stop prepares the end of the process. Requests are still served, but those that probably would not complete until
// respondBy are refused before they are sent, and those in progress at that time are ended.
func (g *Gateway) Stop(respondBy time.Time) {
	if !g.stop.plan.CompareAndSwap(nil, &shutdown.Plan{RespondBy: respondBy}) {
		return
	}
	time.AfterFunc(time.Until(respondBy), g.stop.markEnded)
	g.stop.markBegun()
}

// durationClass returns the class of requests with similar durations. lastSend selects the time from the last send on.
func (q *request) durationClass(lastSend bool) shutdown.Class {
	return shutdown.Class{
		Route: q.route.Name, PromptSize: bits.Len(uint(max(0, q.metadata.PromptTokens))), OutputSize: bits.Len(uint(max(0, q.metadata.OutputTokens))),
		LastSend: lastSend,
	}
}

// recordDuration records how long the request took, if that tells how long others take.
func (q *request) recordDuration(outcome string) {
	if q.servedAt.IsZero() || q.lastSentAt.IsZero() {
		return
	}
	switch outcome {
	case outcomeAnswered, outcomeFailed, outcomeTimeout:
		q.g.stop.durations.Record(q.durationClass(false), time.Since(q.servedAt))
		q.g.stop.durations.Record(q.durationClass(true), time.Since(q.lastSentAt))
	}
}

// latestStart returns the last moment at which the request, or only its last send, may start because of the stop. It
// is the request's deadline while the process doesn't stop.
func (q *request) latestStart(lastSend bool) time.Time {
	plan := q.g.stop.plan.Load()
	if plan == nil {
		return q.deadline
	}
	if q.reply.started {
		return plan.RespondBy // without another send, the response is certainly not complete
	}
	expected, known := q.g.stop.durations.Expected(q.durationClass(lastSend))
	return plan.LatestStart(q.deadline, expected, known)
}

// fitsStop reports whether the request, or only its last send, can start now and complete before the process ends.
func (q *request) fitsStop(lastSend bool, now time.Time) bool {
	return q.g.stop.plan.Load() == nil || !now.After(q.latestStart(lastSend))
}

// checkSend returns a function that tells directly before a send to a backend server why it must not happen, or nil.
func (q *request) checkSend(s *Server, lastSend bool) func() error {
	return func() error {
		now := time.Now()
		if !q.fitsStop(lastSend, now) {
			return errStopping
		}
		if err := q.checkKey(now); err != nil {
			return err
		}
		return s.admission(now)
	}
}

// refuseStopping refuses a request that would not complete before the process ends. Other instances serve it, so its
// caller may return at once.
func (q *request) refuseStopping() { q.refuse(errStopping.Error(), minRetryAfter) }

// closeWhileStopping makes the caller return on another connection, thus to another instance, while the process stops.
// The plan may have been set after the request's connection was looked at.
func (q *request) closeWhileStopping() {
	if q.g.stop.plan.Load() != nil {
		q.reply.w.Header().Set("Connection", "close")
	}
}

// bodyLimit limits the time for reading a request's body by the deadline and by the stop of the process, also if that
// begins meanwhile.
type bodyLimit struct {
	q      *request
	conn   *http.ResponseController
	detach func() bool

	mu    sync.Mutex
	ended bool
}

func (q *request) limitBody(conn *http.ResponseController) *bodyLimit {
	l := &bodyLimit{q: q, conn: conn}
	l.apply()
	l.detach = context.AfterFunc(q.g.stop.begun, q.g.guard.Func("body limit", l.apply))
	return l
}

func (l *bodyLimit) apply() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		_ = l.conn.SetReadDeadline(l.q.latestStart(false))
	}
}

// end ends the limit. After a body that was not read, the read deadline is kept, because the rest of it may still be in
// transit; otherwise net/http would take its end for the end of the connection.
func (l *bodyLimit) end(read bool) {
	l.detach()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if read {
		_ = l.conn.SetReadDeadline(time.Time{})
	}
}

// bodyTooLate reports whether reading the body failed because the process stops.
func (q *request) bodyTooLate(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(q.deadline)
}
