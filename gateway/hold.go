package gateway

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/upstream"
)

// Reasons why a backend server that was chosen gets no request after all.
var (
	errLeaving = errors.New("server_leaving")
	errResting = errors.New("server_resting")
	errGone    = errors.New("server_gone")
)

// admission returns why the backend server must get no request now, or nil. It is asked again directly before each
// send, because a choice may have waited for a prefill, a connection or the retry budget.
func (s *Server) admission(now time.Time) error {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	switch {
	case st.leaving:
		return errLeaving
	case now.Before(st.restUntil):
		return errResting
	case !st.listed:
		return errGone
	}
	return nil
}

// check is admission at the time of the call.
func (s *Server) check() error { return s.admission(time.Now()) }

// heldCause returns the reason of checkSend that an error of a send wraps, or that there was no connection for it. Neither
// tells anything of the backend server.
func heldCause(err error) string {
	for _, reason := range []error{errLeaving, errResting, errGone, errStopping, errKeyUnknown, errAccountChanged, errKeysUnconfirmed, upstream.ErrTooManyConnections} {
		if errors.Is(err, reason) {
			return reason.Error()
		}
	}
	return ""
}

// isHeld reports whether an error of a send is a reason of checkSend.
func isHeld(err error) bool { return heldCause(err) != "" }

// observe records what a response to the request tells of its backend server.
func (q *request) observe(s *Server, resp *upstream.Response, m ResponseMetadata) {
	q.recordStatus(resp, m)
	if m.AddressReused {
		return // from another process, or about the role only
	}
	now := time.Now()
	log := q.g.log.WithFields(logrus.Fields{"server": s.ID, "service": s.Service, "address": s.Address, "born": s.Born, "request": q.metadata.ID})
	if m.Leaving && q.g.roster.MarkLeaving(s) {
		q.g.metrics.Hold(s.Service, errLeaving.Error())
		log.Info("backend server says that it leaves; it gets no further requests")
	}
	if rest := min(m.Rest, q.g.cfg.MaxRest); rest > 0 && s.recordRest(rest, now) {
		q.g.metrics.Hold(s.Service, errResting.Error())
		log.WithFields(logrus.Fields{"rest_ms": rest.Milliseconds(), "wanted_ms": m.Rest.Milliseconds()}).Info("backend server wants no requests for a time")
	}
	if m.OddRest != "" && s.mayLogOdd(&s.state.oddRestLoggedAt, now) {
		log.WithField("value", m.OddRest).Warn("backend server wants no requests for a time that can't be read; ignored")
	}
	if m.OddLoad != "" && s.mayLogOdd(&s.state.oddLoadLoggedAt, now) {
		log.WithField("value", m.OddLoad).Warn("backend server reports a load that can't be read; ignored")
	}
}

func (s *Server) isLeaving() bool { return s.state.isLeaving() }

func (st *serverState) isLeaving() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.leaving
}

// markLeaving reports whether it was unknown that the backend server leaves.
func (st *serverState) markLeaving() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	was := st.leaving
	st.leaving = true
	return !was
}

func (st *serverState) setListed(listed bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.listed = listed
}

// recordRest records that the backend server wants no requests for a time. It reports whether the rest begins or
// becomes longer.
func (s *Server) recordRest(d time.Duration, now time.Time) bool {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	until := now.Add(d)
	if !until.After(st.restUntil) {
		return false
	}
	began := !now.Before(st.restUntil)
	st.restUntil, st.trial = until, true
	return began
}

// oddInterval is the least time between two log lines about unreadable values of one kind from one backend server.
const oddInterval = time.Minute

// mayLogOdd reports whether an unreadable value is to be logged. loggedAt is the field of the server's state that holds
// when one of the same kind was last logged.
func (s *Server) mayLogOdd(loggedAt *time.Time, now time.Time) bool {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if !loggedAt.IsZero() && now.Sub(*loggedAt) < oddInterval {
		return false
	}
	*loggedAt = now
	return true
}
