package usage

import (
	"time"

	"github.com/quetzallug/quetzallug/duty"
)

const (
	// settleFraction is the part of the lateness for which a report waits for instances that have not sent their final
	// counts. The rest is for the record, the call and its repetitions.
	settleFraction = 0.6
	// latestRecord is the time before a report is due at which it is recorded although a new holder has not heard from all
	// instances yet.
	latestRecord = 1500 * time.Millisecond
	// minRetryDelay is the delay before the first repetition of a call. It doubles up to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// step is what a reporter does next.
type step int

const (
	stepNone   step = iota
	stepRecord      // write the record of the report of a window
	stepCall        // send the recorded report
)

// reporter decides which report is recorded and sent next. It records each window at most once, in increasing order,
// and sends only what was recorded.
type reporter struct {
	windows Windows
	// last is the last window that was recorded or left out.
	last int64
	// pending is the recorded report that was not accepted yet; nil if there is none.
	pending *Report
	attempt int
	retryAt time.Time
}

// next returns the next step and its window. missed lists the windows that can no longer be reported in time. gathered is
// when a new holder has heard from all instances that can reach it.
func (r *reporter) next(now, gathered time.Time, complete func(window int64) bool) (s step, window int64, missed []int64) {
	if r.pending != nil && !now.Before(r.windows.Due(r.pending.Window)) {
		missed = append(missed, r.pending.Window)
		r.pending = nil
	}
	if r.pending != nil {
		if now.Before(r.retryAt) {
			return stepNone, 0, missed
		}
		return stepCall, r.pending.Window, missed
	}
	// After an outage, only the last windows are told one by one.
	r.last = max(r.last, r.windows.At(now.Add(-r.windows.Late))-1-maxWindows)
	for !now.Before(r.windows.Due(r.last + 1)) {
		r.last++
		missed = append(missed, r.last)
	}
	window = r.last + 1
	end := r.windows.End(window)
	limit := end.Add(time.Duration(settleFraction * float64(r.windows.Late)))
	if gathered.After(limit) {
		limit = gathered
	}
	if latest := r.windows.Due(window).Add(-latestRecord); limit.After(latest) {
		limit = latest
	}
	if now.Before(end) || !complete(window) && now.Before(limit) {
		return stepNone, 0, missed
	}
	return stepRecord, window, missed
}

// skipTo leaves out the windows before one, for which no report is expected.
func (r *reporter) skipTo(window int64) { r.last = max(r.last, window-1) }

// recorded adds a report whose record was written.
func (r *reporter) recorded(rep Report) {
	r.last, r.pending, r.attempt, r.retryAt = rep.Window, &rep, 0, time.Time{}
}

// called records the result of a call. random is in [0, 1).
func (r *reporter) called(o duty.Outcome, now time.Time, random float64) {
	if o == duty.Accepted {
		r.pending = nil
		return
	}
	delay := min(maxRetryDelay, minRetryDelay<<min(r.attempt, 8))
	r.attempt++
	r.retryAt = now.Add(delay/2 + time.Duration(random*float64(delay)))
}
