package gateway

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// causeHandleLost is the cause of attempts whose prefilled prompt is gone.
const causeHandleLost = "handle_lost"

const (
	// A refusal after a send with a prefilled prompt means that the backend server is full or that it can't fetch the
	// prompt. These are the numbers of refusals of one prompt from which the prompt is taken for lost, by what the last
	// backend server said of its load. A full one proves little: on the largest known deployment a fifth of the sends meet
	// full engines, so that two in a row are common. The last of maxServersTried sends must be left for reading again.
	lostAfterFree    = 2
	lostAfterUnknown = 2
	lostAfterFull    = maxServersTried - 1
	// lostAfterFetches is the number of refusals in a row, by backend servers with free slots and while no prompt of the one
	// that prefilled was fetched, from which a single refusal means that its prompt is gone. A single refusal otherwise
	// mostly comes from an engine that changes its role.
	lostAfterFetches = 3
	// readAgainUtilisation is the fraction of the slots in use of the chosen engine from which lost prompts are not read
	// again: under load, that would delay requests whose prompts are read once.
	readAgainUtilisation = 0.9
	// lostPrefillWeight is the failure weight of a lost prompt for the backend server that prefilled it, so that others
	// are preferred while prompts get lost there.
	lostPrefillWeight = 0.75
)

// recordPrefillRefusal records that a backend server refused the request that was to fetch its prefilled prompt. If the
// prompt is probably gone, the request is no longer offered with it.
func (q *request) recordPrefillRefusal(s *Server, load *Load, now time.Time) {
	if q.prefillSource == "" {
		return
	}
	q.prefillRefusals++
	limit := lostAfterUnknown
	switch {
	case q.prefillServer.isUnreachable(now):
		limit = 1
	case load.hasFreeSlots():
		limit = lostAfterFree
		if q.prefillServer.countFetchRefusal() >= lostAfterFetches {
			limit = 1
		}
	case load != nil && load.Slots > 0:
		limit = lostAfterFull
	}
	if q.prefillRefusals < limit {
		return
	}
	// The backend server would take the request without the prompt.
	if n := len(q.tried); n > 0 && q.tried[n-1] == s.state {
		q.tried = q.tried[:n-1]
	}
	q.losePrefill(s, now)
}

// dropGonePrefill gives the prefilled prompt up if the backend server that holds it has ended.
func (q *request) dropGonePrefill(now time.Time) {
	if q.prefillSource != "" && errors.Is(q.prefillServer.admission(now), errGone) {
		q.losePrefill(nil, now)
	}
}

// losePrefill gives the prefilled prompt up. It is read again by the backend server that generates the answer, because
// that is one more arrival for the retry budget, and a second prefill with its send two.
func (q *request) losePrefill(refusedBy *Server, now time.Time) {
	f := logrus.Fields{"request": q.metadata.ID, "service": q.service, "reader": q.prefillServer.ID, "refusals": q.prefillRefusals}
	if refusedBy != nil {
		f["server"] = refusedBy.ID
	}
	q.g.log.WithFields(f).Info("prefilled prompt is gone; it is read again")
	q.g.metrics.LostPrefill(q.service)
	q.prefillServer.recordResult(lostPrefillWeight, now)
	q.discardPrefill()
	q.prefillLost, q.cause = true, causeHandleLost
}

// mayReadAgain reports whether a lost prompt should be read again: not if that would take longer than the caller waits,
// and not by an engine that is nearly full.
func (q *request) mayReadAgain(c *choice, now time.Time) bool {
	return !q.prefillLost || c.timeToFirst <= q.deadline.Sub(now) && c.utilisation < readAgainUtilisation
}

// recordFetched records that a prompt which the backend server has prefilled was fetched.
func (s *Server) recordFetched() {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.fetchRefusals = 0
}

// countFetchRefusal counts a refusal of a prompt that the backend server has prefilled, and returns how many there were
// in a row.
func (s *Server) countFetchRefusal() int {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.fetchRefusals++
	return s.state.fetchRefusals
}

// isUnreachable reports whether the backend server doesn't work now as far as is known: it has ended, it has refused a
// connection, or its last requests have failed.
func (s *Server) isUnreachable(now time.Time) bool {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	return !st.listed || now.Before(st.ejectedUntil)
}

// hasFreeSlots reports whether a load is known and has free slots.
func (l *Load) hasFreeSlots() bool { return l != nil && l.Running+l.Waiting < l.Slots }
