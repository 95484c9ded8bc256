package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/splitmix"
)

const (
	// PlanInterval is the time between two planning rounds.
	PlanInterval = 500 * time.Millisecond
	// settleTime is how long the list of engines must be unchanged before roles are planned.
	settleTime = 1500 * time.Millisecond
	// persistTime is how long a role change must remain necessary under load before it is ordered.
	persistTime = time.Second
	// dwellTime is the minimum time between changes in opposite directions. A role change makes an
	// engine unavailable for seconds.
	dwellTime = 14 * time.Second
	// listDelay is how long an engine's new role may take to appear in the list after the change.
	listDelay = 5 * time.Second
	// minDecodeShare and minPrefillShare are the minimum fractions of the engines in each role.
	// With fewer, a sudden shift of the load between the roles finds no engine ready.
	minDecodeShare  = 0.25
	minPrefillShare = 0.3
	// spareDecodeShare is the fraction of the spare engines that is assigned to decode.
	spareDecodeShare = 0.3
	// targetDecodeUtilisation is the targeted fraction of the slots in use on decode engines.
	targetDecodeUtilisation = 0.7
	// targetPrefillQueue is the number of prompts per prefill engine above which another engine is
	// needed. An engine processes prompts one at a time, in about 10 ms each.
	targetPrefillQueue = 3
	// loadWeight is the weight of one planning round in the moving average of the load, which
	// covers about two seconds.
	loadWeight = 0.25
	// minChangeShare is the smallest difference from the target, as a fraction of the engines, that
	// causes a change.
	minChangeShare = 0.1
	// maxChangeShare limits the fraction of the engines that change their role at the same time
	// under load.
	maxChangeShare = 0.2
	// amplePrefillQueue is the number of prompts per prefill engine, and ampleDecodeUtilisation the
	// fraction of slots in use on decode engines, up to which the split is left unchanged: orders
	// are billed, and a lightly loaded fleet gains nothing from them. Prompts queue noticeably once
	// engines are busy about half of the time.
	amplePrefillQueue      = 0.5
	ampleDecodeUtilisation = 0.35
	// maxRoleSizeWithoutLoad is the number of engines up to which a role may grow while the fleet
	// has no load. It lets a fleet of 44 engines reach its target split; in larger fleets, roles
	// change further only as load arrives.
	maxRoleSizeWithoutLoad = 32
	// maxOrdersPerPlan limits the orders per planning round. They are sent one after the other, in
	// about 5 ms each.
	maxOrdersPerPlan = 16
)

// RolePlan assigns roles to the engines of one service. It holds the state between planning rounds
// and does no I/O.
type RolePlan struct {
	// listHash is a hash of the list of engines.
	listHash      uint64
	listChangedAt time.Time
	// wantedChange is the number of engines that should change their role: positive if decode
	// engines should become prefill engines, negative for the other direction. wantedSince is when
	// its sign last changed.
	wantedChange int
	wantedSince  time.Time
	// lastDirection is the direction of the last order, 1 or -1 with the meaning of wantedChange's
	// sign; 0 if there was none. changedAt is the time of that order.
	lastDirection int
	changedAt     time.Time
	// decodeRequests and prefillRequests are moving averages of the fields of the same names in
	// split.
	decodeRequests, prefillRequests float64
	// pendingOrders holds the last order to each engine.
	pendingOrders map[*serverState]pendingOrder
	// leaving is the number of engines that were ordered away and are still listed.
	leaving int
	// Decision is the result of the last planning round.
	Decision RoleDecision
}

// RoleDecision is the result of one planning round.
type RoleDecision struct {
	// Decode and Prefill are the numbers of engines in each role; Wanted is the target for Decode.
	Decode, Prefill, Wanted int
	// DecodeRequests and PrefillRequests are the average numbers of requests on the engines of each
	// role.
	DecodeRequests, PrefillRequests float64
	// Reason says why the split is changed or left unchanged.
	Reason string
}

// Reasons for decisions, as logged.
const (
	planListChanges   = "list_changes"   // the list of engines has changed recently
	planEnginesLeave  = "engines_leave"  // engines are about to be removed, and it is not known which
	planNoSplit       = "no_split"       // too few engines, or some without a role
	planFits          = "fits"           // the split is close enough to the target
	planIdle          = "idle"           // there is no load
	planAmple         = "ample"          // both roles have ample capacity
	planWantedBriefly = "wanted_briefly" // a change is needed, but not for long enough yet
	planChangedLately = "changed_lately" // the last change was in the other direction
	planChanges       = "changes"
)

// pendingOrder is an order whose effect may not be visible in the list of engines yet.
type pendingOrder struct {
	// role is empty while no order was sent.
	role external.EngineRole
	// until is when the effect must be visible; the engine gets no other order before then.
	until time.Time
}

// NewRolePlan returns a RolePlan without history.
func NewRolePlan() *RolePlan { return &RolePlan{pendingOrders: make(map[*serverState]pendingOrder)} }

// effectiveRole returns the role of an engine after its pending order, if any.
func (rp *RolePlan) effectiveRole(s *Server, now time.Time) external.EngineRole {
	if o, ok := rp.pendingOrders[s.state]; ok && now.Before(o.until) && o.role != "" {
		return o.role
	}
	return s.Role
}

// Next returns the engines that should change their role now, and the new role. It must be called
// every PlanInterval with the registered engines of one service.
func (rp *RolePlan) Next(servers []*Server, now time.Time) (external.EngineRole, []*Server) {
	if !rp.settled(servers, now) {
		rp.Decision = RoleDecision{Reason: planListChanges}
		return "", nil
	}
	split := newSplit(servers, rp, now)
	rp.smooth(split)
	if rp.leaving > 0 {
		rp.Decision = RoleDecision{Decode: split.decode, Prefill: split.prefill, DecodeRequests: split.decodeRequests, PrefillRequests: split.prefillRequests, Reason: planEnginesLeave}
		return "", nil
	}
	change := rp.requiredChange(split, now)
	to, from := external.EngineRolePrefill, external.EngineRoleDecode
	if change < 0 {
		to, from, change = from, to, -change
	}
	return to, split.selectEngines(from, change, rp, now)
}

// SetLeaving sets the number of engines that were ordered away and are still listed. Meanwhile no roles are changed: it
// is not known which engines will go, and the split of the others follows when they have gone.
func (rp *RolePlan) SetLeaving(n int) { rp.leaving = n }

// IsChanging reports whether an engine may still be carrying out an order.
func (rp *RolePlan) IsChanging(now time.Time) bool {
	for _, o := range rp.pendingOrders {
		if o.role != "" && now.Before(o.until) {
			return true
		}
	}
	return false
}

// RecordAccepted records that an engine accepted an order that takes changeTime to carry out.
func (rp *RolePlan) RecordAccepted(s *Server, role external.EngineRole, changeTime time.Duration, now time.Time) {
	rp.recordDirection(role, now)
	rp.pendingOrders[s.state] = pendingOrder{role: role, until: now.Add(changeTime + listDelay)}
	s.pauseUntil(now.Add(changeTime))
}

// recordDirection records the time and direction of an order, whatever its outcome.
func (rp *RolePlan) recordDirection(role external.EngineRole, now time.Time) {
	rp.changedAt, rp.lastDirection = now, 1
	if role == external.EngineRoleDecode {
		rp.lastDirection = -1
	}
}

// settled reports whether the list of engines has been unchanged for settleTime.
func (rp *RolePlan) settled(servers []*Server, now time.Time) bool {
	hash := uint64(0)
	for _, s := range servers {
		hash += splitmix.Mix(s.key)
	}
	if hash != rp.listHash {
		rp.listHash, rp.listChangedAt = hash, now
		// New engines start with a role of their own, so the split is no longer the one that was
		// ordered and the dwell time does not apply.
		rp.changedAt = time.Time{}
	}
	return len(servers) > 0 && now.Sub(rp.listChangedAt) >= settleTime
}

// split is the current division of a service's engines between the roles, with their load.
type split struct {
	servers []*Server
	views   []view
	decode  int
	prefill int
	mixed   int
	// decodeRequests and prefillRequests count the requests on the engines of each role;
	// slotsPerEngine is the number of requests that one engine runs at a time.
	decodeRequests  float64
	prefillRequests float64
	slotsPerEngine  int
	idle            bool
}

func newSplit(servers []*Server, rp *RolePlan, now time.Time) *split {
	p := &split{servers: servers, idle: true}
	for _, s := range servers {
		v := s.view(now)
		p.views = append(p.views, v)
		p.slotsPerEngine = max(p.slotsPerEngine, s.Slots)
		p.idle = p.idle && v.inFlight+v.otherRequests == 0
		switch rp.effectiveRole(s, now) {
		case external.EngineRoleDecode:
			p.decode++
			p.decodeRequests += float64(v.inFlight + v.otherRequests)
		case external.EngineRolePrefill:
			p.prefill++
			p.prefillRequests += float64(v.inFlight + v.otherRequests)
		default:
			p.mixed++
		}
	}
	return p
}

// need returns the number of engines that the load requires, by role.
func (p *split) need() (decode, prefill float64) {
	return p.decodeRequests / (targetDecodeUtilisation * float64(max(p.slotsPerEngine, 1))), p.prefillRequests / targetPrefillQueue
}

// ample reports whether both roles have far more capacity than they need.
func (p *split) ample() bool {
	return p.decodeRequests <= ampleDecodeUtilisation*float64(p.slotsPerEngine*p.decode) && p.prefillRequests <= amplePrefillQueue*float64(p.prefill)
}

// targetDecode returns the target number of decode engines: those needed plus a fraction of the
// spare ones, or in proportion to the need if there are too few engines.
func (p *split) targetDecode() int {
	n := float64(p.decode + p.prefill)
	decode, prefill := p.need()
	if need := decode + prefill; need <= n {
		decode += (n - need) * spareDecodeShare
	} else {
		decode = n * decode / need
	}
	least, most := max(2, math.Ceil(minDecodeShare*n)), n-max(1, math.Ceil(minPrefillShare*n))
	return int(max(min(math.Round(decode), most), min(least, n-1)))
}

// smooth replaces the load by its moving average, so that bursts shorter than a role change do not
// cause one.
func (rp *RolePlan) smooth(p *split) {
	rp.decodeRequests += loadWeight * (p.decodeRequests - rp.decodeRequests)
	rp.prefillRequests += loadWeight * (p.prefillRequests - rp.prefillRequests)
	p.decodeRequests, p.prefillRequests = rp.decodeRequests, rp.prefillRequests
}

// requiredChange returns how many engines should become prefill engines now; it is negative if
// they should become decode engines.
func (rp *RolePlan) requiredChange(p *split, now time.Time) int {
	rp.Decision = RoleDecision{Decode: p.decode, Prefill: p.prefill, DecodeRequests: p.decodeRequests, PrefillRequests: p.prefillRequests}
	if p.decode+p.prefill < 3 || p.mixed > 0 {
		rp.Decision.Reason = planNoSplit
		return 0
	}
	change := p.decode - p.targetDecode()
	rp.Decision.Wanted = p.decode - change
	if change != rp.wantedChange {
		if sign(change) != sign(rp.wantedChange) {
			rp.wantedSince = now
		}
		rp.wantedChange = change
	}
	switch {
	case sign(change)*change < max(1, int(minChangeShare*float64(p.decode+p.prefill))):
		rp.Decision.Reason = planFits
		return 0
	case p.idle:
		rp.Decision.Reason = planIdle
		return p.idleChange(change)
	case p.ample():
		rp.Decision.Reason = planAmple
		return 0
	case now.Sub(rp.wantedSince) < persistTime:
		rp.Decision.Reason = planWantedBriefly
		return 0
	case sign(change) != rp.lastDirection && now.Sub(rp.changedAt) < dwellTime:
		rp.Decision.Reason = planChangedLately
		return 0
	}
	rp.Decision.Reason = planChanges
	changing := 0
	for _, o := range rp.pendingOrders {
		if now.Before(o.until) {
			changing++
		}
	}
	allowed := max(1, int(maxChangeShare*float64(len(p.servers)))) - changing
	return sign(change) * max(0, min(sign(change)*change, allowed, maxOrdersPerPlan))
}

// idleChange limits the change of a fleet without load.
func (p *split) idleChange(change int) int {
	have := p.prefill
	if change < 0 {
		have = p.decode
	}
	return sign(change) * max(0, min(sign(change)*change, maxRoleSizeWithoutLoad-have, maxOrdersPerPlan))
}

func sign(n int) int {
	switch {
	case n > 0:
		return 1
	case n < 0:
		return -1
	}
	return 0
}

// selectEngines returns up to n engines of a role, the least busy first, from the data centres with
// the most engines of that role.
func (p *split) selectEngines(role external.EngineRole, n int, rp *RolePlan, now time.Time) []*Server {
	count := map[string]int{}
	var eligible []int
	for i, s := range p.servers {
		if s.Role == role && rp.effectiveRole(s, now) == role && p.views[i].usableFor(0) {
			count[s.DataCentre]++
			if !now.Before(rp.pendingOrders[s.state].until) {
				eligible = append(eligible, i)
			}
		}
	}
	var out []*Server
	for range n {
		best := -1
		for _, i := range eligible {
			s := p.servers[i]
			if slices.Contains(out, s) {
				continue
			}
			if best < 0 || count[s.DataCentre] > count[p.servers[best].DataCentre] ||
				(count[s.DataCentre] == count[p.servers[best].DataCentre] && busier(p.views[best], p.views[i])) {
				best = i
			}
		}
		if best < 0 {
			return out
		}
		count[p.servers[best].DataCentre]--
		out = append(out, p.servers[best])
	}
	return out
}

func busier(a, b view) bool { return a.inFlight+a.otherRequests > b.inFlight+b.otherRequests }
