// Package shutdown decides which requests a process that is stopping can still complete. It does no I/O and
// takes the current time as an argument.
package shutdown

import "time"

// Plan is the schedule of a planned stop.
type Plan struct {
	// RespondBy is when the last response must have been written. Connections are closed soon afterwards.
	RespondBy time.Time
}

// never is a moment in the past for requests that must not be started. It is not zero, because a zero read deadline
// stands for none.
var never = time.Unix(1, 0)

// LatestStart returns the last moment at which a request with a deadline can be started so that its response is
// complete in time. expected is its expected duration; known is false if there is none, so that only the deadline
// limits it. A request whose deadline comes first may be started until then, because it ends by its deadline.
func (p Plan) LatestStart(deadline time.Time, expected time.Duration, known bool) time.Time {
	switch {
	case !deadline.After(p.RespondBy):
		return deadline
	case !known:
		return never
	}
	return p.RespondBy.Add(-expected)
}

// Fits reports whether a request that is started now completes in time.
func (p Plan) Fits(now, deadline time.Time, expected time.Duration, known bool) bool {
	return !now.After(p.LatestStart(deadline, expected, known))
}
