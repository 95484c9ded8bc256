// Package scaling plans the number of backend servers of a service in each data centre. It uses neither network nor
// clock.
//
// Servers are added as soon as callers wait, up to what the demand needs, and removed slowly: only after the demand of
// a window that covers two turns of the load, and twice the boot time, has not needed them.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// upInterval is the shortest time between two orders that add servers. Refusals that an order will end are still
	// seen for about two rounds.
	upInterval = 2 * time.Second
	// maxUpFactor limits one order to this multiple of the servers that are there or booting, so that a wrong
	// measurement costs little before it is corrected.
	maxUpFactor = 2
	// persistTime is how long the demand must exceed the servers before some are added although no caller waits.
	persistTime = 3 * time.Second
	// downInterval is the time in which a service loses at most maxDownShare of its servers in all data centres, but at
	// least one. The plan of roles needs several seconds after each change of the list.
	downInterval = 15 * time.Second
	maxDownShare = 0.1
	// bootsPerHold is the time in boot times for which servers must have been unneeded before they are removed. A
	// server that is needed again costs callers a boot time.
	bootsPerHold = 2
	// listDelay is the time from the start or end of a server until its registration is seen here.
	listDelay = 5 * time.Second
	// bootSlack is the factor by which boots may take longer than the operator says.
	bootSlack = 1.5
	// leaveTime is how long a server that was ordered away may stay registered before the order is repeated.
	leaveTime = 15 * time.Second
	// failedTime is how long a server must have been unusable before another one is ordered in its place. It is longer
	// than a server is left out after failures.
	failedTime = 5 * time.Second
	// minEngines is the smallest number of engines of a service with roles: two that generate answers and one that
	// prefills.
	minEngines = 3
	// inflationWeight is the weight of a round in the moving averages of offered and refused requests, which cover
	// about two seconds.
	inflationWeight = 0.25
	// minOffered is the average number of offered requests per round from which refusals count. Fewer say little.
	minOffered = 0.5
)

// Reasons of decisions, as logged and shown.
const (
	reasonFits     = "fits"          // as many servers as needed
	reasonWaits    = "waits"         // callers wait: servers are added
	reasonDemand   = "demand"        // the demand has exceeded the servers for persistTime: servers are added
	reasonBooting  = "booting"       // ordered servers are not there yet
	reasonStepLate = "step_lately"   // the last order was given too recently
	reasonLeaving  = "leaving"       // servers that were ordered away are still there
	reasonHistory  = "short_history" // the demand is known for too short a time to remove servers
	reasonUnknown  = "unknown_load"  // too few load reports to remove servers
	reasonWaited   = "waited_lately" // callers waited within the window
	reasonRoles    = "roles_change"  // engines are changing roles
	reasonSurplus  = "surplus"       // servers are removed
	reasonLimit    = "limit"         // more servers are needed than the operator permits
	reasonLimits   = "limits"        // the number is outside the operator's limits
)

// Order sets the number of servers in a data centre.
type Order struct {
	DataCentre string
	Count      int
	// Repeat is true if the same number was ordered before.
	Repeat bool
}

// Decision is the result of one round for a data centre.
type Decision struct {
	DataCentre string
	// Present counts the registered servers that are not leaving, Unusable those of them that have failed.
	Present, Unusable int
	// Ordered is the number that this process last ordered; -1 if none. Wanted is the number it wants now.
	Ordered, Wanted int
	// Needed is the number of servers that the present demand needs, PeakNeeded the number that the peaks of the
	// window need.
	Needed, PeakNeeded float64
	Waits              bool
	Reason             string
}

// Planner plans one service. It holds the state between rounds.
type Planner struct {
	offered, refused float64
	sites            map[string]*site
	// downSince is when the current downInterval began, removed the number of servers removed since, and total the
	// number of usable servers that stay.
	downSince      time.Time
	removed, total int
	// Decisions are the results of the last round, by data centre.
	Decisions []Decision
}

// site is the state of a data centre.
type site struct {
	name    string
	history history
	order   order
	// wantSince is when the demand began to exceed the servers; zero while it does not.
	wantSince time.Time
	// failedSince is when servers began to be unusable, and failed the smallest number of them since.
	failedSince time.Time
	failed      int
	m           measurement
}

// NewPlanner returns a Planner without history.
func NewPlanner() *Planner { return &Planner{sites: make(map[string]*site)} }

// Forget forgets the orders, because another process may have given some. The history of the demand is kept.
func (p *Planner) Forget() {
	for _, s := range p.sites {
		s.order = order{}
	}
	p.downSince, p.removed = time.Time{}, 0
}

// Next returns the orders to give now. It is called every half second. Without mayOrder it only observes.
func (p *Planner) Next(o *Observation, mayOrder bool, now time.Time) []Order {
	inflation := p.inflation(o)
	window := max(turnWindow, time.Duration(bootsPerHold*float64(o.Limits.BootTime)))
	p.Decisions = p.Decisions[:0]
	engines := false
	p.total = 0
	for i := range o.DataCentres {
		dc := &o.DataCentres[i]
		s := p.site(dc.Name)
		s.m = measure(dc, inflation)
		s.history.add(s.m, window, now)
		s.observeFailed(now)
		p.total += min(s.m.usable, s.current())
		engines = engines || slices.ContainsFunc(dc.Servers, func(x Server) bool { return x.Prefill })
	}
	var orders []Order
	for i := range o.DataCentres {
		s := p.site(o.DataCentres[i].Name)
		d := Decision{
			DataCentre: s.name, Present: s.present(), Unusable: s.m.unusable, Ordered: s.order.shown(),
			Needed: s.history.latest().servers(), PeakNeeded: s.history.peak().peakServers(), Waits: s.m.waits,
		}
		d.Wanted, d.Reason = p.want(s, o, window, now)
		if d.Reason == reasonSurplus && engines {
			d.Wanted = max(d.Wanted, d.Present-max(0, p.total-minEngines))
		}
		p.Decisions = append(p.Decisions, d)
		if !mayOrder {
			continue
		}
		previous := s.order.shown()
		if count, ok := s.order.next(d.Wanted, s.current(), s.present(), o.Limits.BootTime, now); ok {
			if d.Reason == reasonSurplus && count != previous {
				if now.Sub(p.downSince) >= downInterval {
					p.downSince, p.removed = now, 0
				}
				p.removed += d.Present - count
				p.total -= d.Present - count
			}
			orders = append(orders, Order{DataCentre: s.name, Count: count, Repeat: count == previous})
		}
	}
	return orders
}

func (p *Planner) site(name string) *site {
	s := p.sites[name]
	if s == nil {
		s = &site{name: name}
		p.sites[name] = s
	}
	return s
}

// inflation returns the ratio of offered to served requests.
func (p *Planner) inflation(o *Observation) float64 {
	p.offered += inflationWeight * (float64(o.Offered) - p.offered)
	p.refused += inflationWeight * (float64(o.Refused) - p.refused)
	if p.offered < minOffered {
		return 1
	}
	return min(maxInflation, p.offered/max(p.offered-p.refused, p.offered/maxInflation))
}

// present returns the number of registered servers that are not leaving.
func (s *site) present() int { return s.m.usable + s.m.unusable }

// current returns the number of servers to reckon with: the number ordered or, if this process has ordered none, the
// highest number within the window. Servers that are missing from it restart or boot.
func (s *site) current() int {
	if s.order.given {
		return s.order.count
	}
	return s.history.present()
}

// observeFailed finds the number of servers that have been unusable for failedTime.
func (s *site) observeFailed(now time.Time) {
	switch {
	case s.m.unusable == 0:
		s.failedSince, s.failed = time.Time{}, 0
	case s.failedSince.IsZero():
		s.failedSince, s.failed = now, s.m.unusable
	default:
		s.failed = min(s.failed, s.m.unusable)
	}
}

// lost returns the number of servers that are registered but have failed for long.
func (s *site) lost(now time.Time) int {
	if s.failedSince.IsZero() || now.Sub(s.failedSince) < failedTime {
		return 0
	}
	return s.failed
}

// want returns the number of servers wanted in a data centre, and the reason.
func (p *Planner) want(s *site, o *Observation, window time.Duration, now time.Time) (int, string) {
	limits := o.Limits
	current := s.current()
	bounded := min(max(current, limits.Min), limits.Max)
	lost := s.lost(now)
	// Both roles are to be served at their peaks only if callers wait; otherwise engines can change their roles first.
	needed := int(math.Ceil(s.history.latest().servers())) + lost
	if !s.m.waits && s.history.latest().peakServers()+float64(lost) <= float64(current) {
		needed = min(needed, current)
	}
	if s.m.waits {
		needed = max(needed, int(math.Ceil(s.history.peak().peakServers()))+lost, s.present()+1)
		if current > s.present() {
			// The servers that are booting may be enough.
			needed = max(int(math.Ceil(s.history.latest().servers()))+lost, current)
		}
	}
	if needed <= current {
		s.wantSince = time.Time{}
	} else if s.wantSince.IsZero() {
		s.wantSince = now
	}
	switch {
	case bounded != current:
		return bounded, reasonLimits
	case needed > current && current >= limits.Max:
		return current, reasonLimit
	case needed > current && !s.m.waits && now.Sub(s.wantSince) < persistTime:
		return current, reasonFits
	case needed > current && s.order.given && now.Sub(s.order.changedAt) < upInterval:
		return current, reasonStepLate
	case needed > current:
		reason := reasonDemand
		if s.m.waits {
			reason = reasonWaits
		}
		return min(needed, max(current+1, maxUpFactor*current), limits.Max), reason
	}
	return p.surplus(s, o, current, lost, window, now)
}

// surplus returns the number of servers after those that are not needed are removed.
func (p *Planner) surplus(s *site, o *Observation, current, lost int, window time.Duration, now time.Time) (int, string) {
	least := max(o.Limits.Min, int(math.Ceil(max(s.history.peak().peakServers(), s.history.mean().servers())))+lost)
	switch {
	case current > s.present():
		return current, reasonBooting
	case current < s.present():
		return current, reasonLeaving
	case least >= current:
		return current, reasonFits
	case !s.history.covers(window, now):
		return current, reasonHistory
	case s.history.waited():
		return current, reasonWaited
	case !s.history.isKnown():
		return current, reasonUnknown
	case o.RolesChange:
		return current, reasonRoles
	case s.order.up && now.Sub(s.order.changedAt) < window:
		return current, reasonStepLate
	}
	step := max(1, int(maxDownShare*float64(p.total)))
	if now.Sub(p.downSince) < downInterval {
		step -= p.removed
	}
	if step <= 0 {
		return current, reasonStepLate
	}
	return max(least, current-step), reasonSurplus
}

// Leaving returns the number of servers that were ordered away and are still registered. Which ones they are, the
// platform decides.
func (p *Planner) Leaving(now time.Time) int {
	n := 0
	for _, s := range p.sites {
		if s.order.given && now.Sub(s.order.changedAt) < leaveTime {
			n += max(0, s.present()-s.order.count)
		}
	}
	return n
}

// Sort sorts data centres by name, which makes rounds reproducible.
func Sort(dcs []DataCentre) {
	slices.SortFunc(dcs, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
}
