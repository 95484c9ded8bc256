package scaling

import "time"

// Outcome is what is known of an order that was sent.
type Outcome int

// Outcomes of orders.
const (
	// Accepted means that the platform confirmed the order.
	Accepted Outcome = iota
	// Unknown means that the order may be carried out, also late.
	Unknown
	// NotDone means that the order will not be carried out.
	NotDone
)

const (
	// minRepeat and maxRepeat limit the time after which an order without confirmation is given again. It doubles with
	// each attempt, so that a platform that is busy or away gets few calls.
	minRepeat = time.Second
	maxRepeat = 8 * time.Second
	// lateTime is how long an order without an answer may still be carried out. In that time, and once after it, a
	// different order that followed is repeated every lateRepeat.
	lateTime   = 15 * time.Second
	lateRepeat = 5 * time.Second
	// maxPending is how long an outcome is awaited. Orders are sent one after the other, in up to 1 s each and at the
	// permitted rate; an outcome that is missing for longer was lost with a failure of the loop that sends them.
	maxPending = 30 * time.Second
)

// order is the last order for a data centre.
type order struct {
	// given is false before the first order.
	given bool
	count int
	// changedAt is when count was ordered for the first time, sentAt when it was last sent.
	changedAt, sentAt time.Time
	// confirmed is true once the platform has accepted it.
	confirmed bool
	// pending is true until the outcome of the last attempt is recorded.
	pending bool
	repeat  time.Duration
	// bootBy and leaveBy are when the servers must be there or gone; otherwise the order is repeated.
	bootBy, leaveBy time.Time
	// up is true if the order added servers.
	up bool
	// unknownAt is when the last attempt without an answer ended; zero if there was none.
	unknownAt time.Time
	// lateBy is until when an earlier order for another number may be carried out.
	lateBy time.Time
}

// shown returns the ordered number, or -1.
func (o *order) shown() int {
	if !o.given {
		return -1
	}
	return o.count
}

// next returns the number to order now. An order is repeated until it is confirmed, while an earlier one may be carried
// out after it, and if the servers don't come or go in time.
func (o *order) next(wanted, current, present int, boot time.Duration, now time.Time) (count int, ok bool) {
	if o.pending && now.Sub(o.sentAt) < maxPending || !o.given && wanted == current {
		return 0, false
	}
	if !o.given || wanted != o.count {
		if o.given && !o.confirmed && now.Sub(o.sentAt) < o.repeat {
			return 0, false
		}
		lateBy := o.lateBy
		if !o.unknownAt.IsZero() {
			lateBy = o.unknownAt.Add(lateTime + lateRepeat)
		}
		*o = order{given: true, count: wanted, changedAt: now, repeat: max(o.repeat, minRepeat), up: wanted > current, lateBy: lateBy}
		o.send(boot, now)
		return o.count, true
	}
	sentFor := now.Sub(o.sentAt)
	overdue := present < o.count && !now.Before(o.bootBy) || present > o.count && !now.Before(o.leaveBy)
	if !o.confirmed && sentFor >= o.repeat || o.confirmed && (overdue || now.Before(o.lateBy) && sentFor >= lateRepeat) {
		o.send(boot, now)
		return o.count, true
	}
	return 0, false
}

func (o *order) send(boot time.Duration, now time.Time) {
	o.sentAt, o.pending, o.confirmed = now, true, false
	o.bootBy = now.Add(time.Duration(bootSlack*float64(boot)) + listDelay)
	o.leaveBy = now.Add(leaveTime)
}

// Record records the outcome of an order.
func (p *Planner) Record(given Order, outcome Outcome, now time.Time) {
	o := &p.site(given.DataCentre).order
	if !o.given || o.count != given.Count {
		return
	}
	o.pending = false
	if outcome == Accepted {
		o.confirmed, o.repeat = true, minRepeat
		return
	}
	if outcome == Unknown {
		o.unknownAt = now
	}
	o.repeat = min(2*o.repeat, maxRepeat)
}
