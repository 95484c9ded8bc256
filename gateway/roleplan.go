package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/splitmix"
)

const (
	// PlanInterval is the time between two looks at the roles.
	PlanInterval = 500 * time.Millisecond
	// settleTime is how long the list of engines must be unchanged before roles are compared with it.
	settleTime = 1500 * time.Millisecond
	// persistTime is how long a wanted change must stay wanted under load.
	persistTime = time.Second
	// dwellTime is how long the split stays as it is after a change in the other direction. A role
	// change takes an engine away for seconds.
	dwellTime = 14 * time.Second
	// showTime is how long after a change the engine's new role may take to show in the list.
	showTime = 5 * time.Second
	// decodeShare is the least share of engines that generate answers, and prefillShare the least that
	// read prompts. Below them, a sudden turn of the mix finds no engine that is ready.
	decodeShare  = 0.25
	prefillShare = 0.3
	// spareShare is the part of the engines beyond the need that generates answers.
	spareShare = 0.3
	// decodeFill is the share of their places up to which decode engines are meant to be used.
	decodeFill = 0.7
	// readDepth is the number of prompts at one prefill engine above which another one is needed. An
	// engine reads one prompt after the other, in about 10 ms each.
	readDepth = 3
	// smoothing is the weight of one look in the average load: it remembers about two seconds.
	smoothing = 0.25
	// minChangeShare is the least difference, as a share of the engines, that is worth a change.
	minChangeShare = 0.1
	// changeShare bounds the engines that change at the same time under load.
	changeShare = 0.2
	// ampleDepth is the number of prompts at one prefill engine, and ampleFill the share of the places of a
	// decode engine, up to which a split is left as it is: orders are paid for, and a fleet with little load
	// gains nothing from them. Prompts wait noticeably from about half an engine's time.
	ampleDepth = 0.5
	ampleFill  = 0.35
	// idleEngines is the number of engines that each role gets before there is any load. It covers a whole
	// fleet of 44; a larger one changes by the load that comes.
	idleEngines = 32
	// ordersPerLook bounds the orders of one look, which are sent one after the other in about 5 ms each.
	ordersPerLook = 16
)

// RolePlan divides the engines of one service between the roles. It holds what is remembered between
// two looks and needs no network.
type RolePlan struct {
	// seen is a sum over the engines' keys.
	seen      uint64
	seenAt    time.Time
	wanted    int
	wantedAt  time.Time
	direction int
	changedAt time.Time
	// generating and reading are moving averages of the same fields of split.
	generating, reading float64
	// ordered holds the last order to each engine.
	ordered map[*live]ordered
	// Look is what the last look found.
	Look Look
}

// Look is one look at the split of a service's engines.
type Look struct {
	// Decode and Prefill are the engines of each role, Wanted those that should generate answers.
	Decode, Prefill, Wanted int
	// Generating and Reading are the average requests on decode and on prefill engines.
	Generating, Reading float64
	// Reason says why the split is changed or left as it is.
	Reason string
}

// Reasons of looks.
const (
	lookUnsettled = "list_changes"   // the list of engines has just changed
	lookNoSplit   = "no_split"       // too few engines, or some without a role
	lookFits      = "fits"           // the split is the wanted one
	lookIdle      = "idle"           // there is no load
	lookAmple     = "ample"          // both roles have far more than they need
	lookNew       = "wanted_briefly" // another split is wanted, but not for long
	lookDwell     = "changed_lately" // the last change was in the other direction
	lookChange    = "changes"
)

// ordered is an order whose effect may not show in the list of engines yet.
type ordered struct {
	role external.Role
	// until is when the effect must show; the engine gets no further order before.
	until time.Time
}

// NewRolePlan returns a plan that remembers nothing.
func NewRolePlan() *RolePlan { return &RolePlan{ordered: make(map[*live]ordered)} }

// role is what an engine has, or will have after the last order to it.
func (st *RolePlan) role(s *Server, now time.Time) external.Role {
	if o, ok := st.ordered[s.live]; ok && now.Before(o.until) && o.role != "" {
		return o.role
	}
	return s.Role
}

// Next returns the role that some engines should get now, and those engines. It is to be called every
// PlanInterval with the registered engines of one service.
func (st *RolePlan) Next(servers []*Server, now time.Time) (external.Role, []*Server) {
	if !st.settled(servers, now) {
		st.Look = Look{Reason: lookUnsettled}
		return "", nil
	}
	split := newSplit(servers, st, now)
	st.smooth(split)
	changes := st.changes(split, now)
	to, from := external.RolePrefill, external.RoleDecode
	if changes < 0 {
		to, from, changes = from, to, -changes
	}
	return to, split.candidates(from, changes, st, now)
}

// Ordered notes that an engine accepted an order and takes change to carry it out.
func (st *RolePlan) Ordered(s *Server, role external.Role, change time.Duration, now time.Time) {
	st.changed(role, now)
	st.ordered[s.live] = ordered{role: role, until: now.Add(change + showTime)}
	s.changing(now.Add(change))
}

// changed notes when and in which direction the split was changed.
func (st *RolePlan) changed(role external.Role, now time.Time) {
	st.changedAt, st.direction = now, 1
	if role == external.RoleDecode {
		st.direction = -1
	}
}

// settled tells whether the list of engines has been the same for a while.
func (st *RolePlan) settled(servers []*Server, now time.Time) bool {
	seen := uint64(0)
	for _, s := range servers {
		seen += splitmix.Mix(s.key)
	}
	if seen != st.seen {
		st.seen, st.seenAt = seen, now
		// Engines that come bring their roles with them: the split is no longer the one that was ordered.
		st.changedAt = time.Time{}
	}
	return len(servers) > 0 && now.Sub(st.seenAt) >= settleTime
}

// split is how the engines of a service are divided between the roles now.
type split struct {
	servers []*Server
	views   []view
	decode  int
	prefill int
	mixed   int
	// generating are the requests on decode engines and reading those on prefill engines. places is
	// the number that one engine takes.
	generating float64
	reading    float64
	places     int
	idle       bool
}

func newSplit(servers []*Server, st *RolePlan, now time.Time) *split {
	p := &split{servers: servers, idle: true}
	for _, s := range servers {
		v := s.view(now)
		p.views = append(p.views, v)
		p.places = max(p.places, s.Slots)
		p.idle = p.idle && v.inFlight+v.others == 0
		switch st.role(s, now) {
		case external.RoleDecode:
			p.decode++
			p.generating += float64(v.inFlight + v.others)
		case external.RolePrefill:
			p.prefill++
			p.reading += float64(v.inFlight + v.others)
		default:
			p.mixed++
		}
	}
	return p
}

// need is the number of engines that the load takes, by role.
func (p *split) need() (decode, prefill float64) {
	return p.generating / (decodeFill * float64(max(p.places, 1))), p.reading / readDepth
}

// ample tells whether both roles have far more engines than they need.
func (p *split) ample() bool {
	return p.generating <= ampleFill*float64(p.places*p.decode) && p.reading <= ampleDepth*float64(p.prefill)
}

// wantedDecode is the number of engines that should generate answers: what is needed and a part of what
// is left, or the share of the need if there are too few engines.
func (p *split) wantedDecode() int {
	n := float64(p.decode + p.prefill)
	decode, prefill := p.need()
	if need := decode + prefill; need <= n {
		decode += (n - need) * spareShare
	} else {
		decode = n * decode / need
	}
	least, most := max(2, math.Ceil(decodeShare*n)), n-max(1, math.Ceil(prefillShare*n))
	return int(max(min(math.Round(decode), most), min(least, n-1)))
}

// smooth replaces the load of a look by its moving average: bursts that are shorter than a role change
// are no reason for one.
func (st *RolePlan) smooth(p *split) {
	st.generating += smoothing * (p.generating - st.generating)
	st.reading += smoothing * (p.reading - st.reading)
	p.generating, p.reading = st.generating, st.reading
}

// changes returns how many engines should become prefill engines now, negative for decode engines.
func (st *RolePlan) changes(p *split, now time.Time) int {
	st.Look = Look{Decode: p.decode, Prefill: p.prefill, Generating: p.generating, Reading: p.reading}
	if p.decode+p.prefill < 3 || p.mixed > 0 {
		st.Look.Reason = lookNoSplit
		return 0
	}
	d := p.decode - p.wantedDecode()
	st.Look.Wanted = p.decode - d
	if d != st.wanted {
		if sign(d) != sign(st.wanted) {
			st.wantedAt = now
		}
		st.wanted = d
	}
	switch {
	case sign(d)*d < max(1, int(minChangeShare*float64(p.decode+p.prefill))):
		st.Look.Reason = lookFits
		return 0
	case p.idle:
		st.Look.Reason = lookIdle
		return p.idleChanges(d)
	case p.ample():
		st.Look.Reason = lookAmple
		return 0
	case now.Sub(st.wantedAt) < persistTime:
		st.Look.Reason = lookNew
		return 0
	case sign(d) != st.direction && now.Sub(st.changedAt) < dwellTime:
		st.Look.Reason = lookDwell
		return 0
	}
	st.Look.Reason = lookChange
	changing := 0
	for _, o := range st.ordered {
		if now.Before(o.until) {
			changing++
		}
	}
	room := max(1, int(changeShare*float64(len(p.servers)))) - changing
	return sign(d) * max(0, min(sign(d)*d, room, ordersPerLook))
}

// idleChanges bounds the changes of a fleet without load.
func (p *split) idleChanges(d int) int {
	have := p.prefill
	if d < 0 {
		have = p.decode
	}
	return sign(d) * max(0, min(sign(d)*d, idleEngines-have, ordersPerLook))
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

// candidates returns up to n engines of a role, the least busy first, from the data centres that have
// most of them.
func (p *split) candidates(role external.Role, n int, st *RolePlan, now time.Time) []*Server {
	count := map[string]int{}
	var all []int
	for i, s := range p.servers {
		if s.Role == role && st.role(s, now) == role && p.views[i].usable {
			count[s.DataCentre]++
			if !now.Before(st.ordered[s.live].until) {
				all = append(all, i)
			}
		}
	}
	var out []*Server
	for range n {
		best := -1
		for _, i := range all {
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

func busier(a, b view) bool { return a.inFlight+a.others > b.inFlight+b.others }
