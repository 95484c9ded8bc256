package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/upstream"
)

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Server *Server
	Role   external.Role
	Holder string
	Fence  uint64
	// Sequence is the number of orders that the engine has accepted. It refuses the order if it has
	// accepted another one since, so that an order that is carried out late does not undo a newer one.
	Sequence int64
}

// OrderResult is an engine's answer to an order.
type OrderResult int

// Answers to orders.
const (
	OrderAccepted OrderResult = iota
	OrderHolds                // the engine has the role already
	OrderRefused
)

func (r OrderResult) String() string { return [...]string{"accepted", "holds", "refused"}[r] }

// EngineReport is what an engine says about itself when asked.
type EngineReport struct {
	Role     external.Role
	Busy     bool
	Sequence int64
}

// Orders spells orders to engines as the installation does.
type Orders interface {
	ReportRequest(s *Server) *upstream.Request
	Report(body []byte) (EngineReport, error)
	OrderRequest(o *RoleOrder) (*upstream.Request, error)
	OrderResult(status int) OrderResult
}

// Authority is the right to give orders. *lease.Manager provides it.
type Authority interface {
	Authority(pool string) (lease.Authority, bool)
}

const (
	// RolesPool is the pool whose holder gives orders to all engines of the installation.
	RolesPool = "roles"
	// planInterval is the time between two looks at the roles.
	planInterval = 500 * time.Millisecond
	// settleTime is how long the list of engines must be unchanged before roles are compared with it.
	settleTime = 1500 * time.Millisecond
	// persistTime is how long a wanted change must stay wanted under load.
	persistTime = time.Second
	// dwellTime is how long the split stays as it is after a change in the other direction. A role
	// change takes an engine away for seconds.
	dwellTime = 14 * time.Second
	// showTime is how long after a change the engine's new role may take to show in the list.
	showTime = 5 * time.Second
	// orderTimeout bounds one call to an engine. It is below the time for which the authority of a
	// new holder is held back.
	orderTimeout = 500 * time.Millisecond
	// unknownTime is how long an engine gets no further order after one whose answer was lost, which
	// may be carried out seconds later.
	unknownTime = 15 * time.Second
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
	// ampleFactor is how many times the engines that it needs each role must have for the split to be left
	// as it is: orders are paid for, and a fleet with little load gains nothing from them.
	ampleFactor = 2
	// idleEngines is the number of engines that each role gets before there is any load. It covers a whole
	// fleet of 44; a larger one changes by the load that comes.
	idleEngines = 32
	// ordersPerLook bounds the orders of one look, which are sent one after the other in about 5 ms each.
	ordersPerLook = 16
)

// Roles plans the roles of engines and gives orders while it holds the authority.
type Roles struct {
	instance string
	guard    time.Duration
	orders   Orders
	leases   Authority
	tables   *route.Holder
	roster   *Roster
	pool     *upstream.Pool
	metrics  Metrics
	log      logrus.FieldLogger

	services map[string]*roleState
	acquired time.Time
	fence    uint64
}

// roleState is what is remembered between two looks at one service.
type roleState struct {
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
}

// ordered is an order whose effect may not show in the list of engines yet.
type ordered struct {
	role external.Role
	// until is when the effect must show; the engine gets no further order before.
	until time.Time
}

// role is what an engine has, or will have after the last order to it.
func (st *roleState) role(s *Server, now time.Time) external.Role {
	if o, ok := st.ordered[s.live]; ok && now.Before(o.until) && o.role != "" {
		return o.role
	}
	return s.Role
}

// NewRoles returns a planner of roles. guard is how long a new authority is held back, so that the
// last orders of the holder before are over.
func NewRoles(instance string, guard time.Duration, o Orders, a Authority, t *route.Holder, r *Roster, p *upstream.Pool, m Metrics, log logrus.FieldLogger) *Roles {
	return &Roles{
		instance: instance, guard: guard, orders: o, leases: a, tables: t, roster: r, pool: p, metrics: m, log: log,
		services: make(map[string]*roleState),
	}
}

// Run plans until the context ends.
func (r *Roles) Run(ctx context.Context) {
	for pause.For(ctx, planInterval) {
		a, ok := r.leases.Authority(RolesPool)
		table := r.tables.Table()
		if !ok || table == nil || !r.mayOrder(a, time.Now()) {
			continue
		}
		for name, s := range table.Services {
			if s.Engine != nil {
				r.plan(ctx, a, name, s.Engine)
			}
		}
	}
}

// mayOrder holds a new authority back, unless nobody ever held one before.
func (r *Roles) mayOrder(a lease.Authority, now time.Time) bool {
	if a.Fence != r.fence {
		r.fence, r.acquired = a.Fence, now
	}
	return a.Fence == 1 || now.Sub(r.acquired) >= r.guard
}

func (r *Roles) state(service string) *roleState {
	s := r.services[service]
	if s == nil {
		s = &roleState{ordered: make(map[*live]ordered)}
		r.services[service] = s
	}
	return s
}

func (r *Roles) plan(ctx context.Context, a lease.Authority, service string, e *route.Engine) {
	now := time.Now()
	servers := r.roster.Servers(service)
	st := r.state(service)
	if !st.settled(servers, now) {
		return
	}
	split := newSplit(servers, st, now)
	st.smooth(split)
	changes := st.changes(split, now)
	if changes == 0 {
		return
	}
	to, from := external.RolePrefill, external.RoleDecode
	if changes < 0 {
		to, from, changes = from, to, -changes
	}
	for _, s := range split.candidates(from, changes, st, now) {
		if !a.Valid() {
			return
		}
		r.order(ctx, a, s, to, st, e)
	}
}

// settled tells whether the list of engines has been the same for a while.
func (st *roleState) settled(servers []*Server, now time.Time) bool {
	seen := uint64(0)
	for _, s := range servers {
		seen += mix(s.key)
	}
	if seen != st.seen {
		st.seen, st.seenAt = seen, now
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

func newSplit(servers []*Server, st *roleState, now time.Time) *split {
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

// ample tells whether both roles have several times the engines that they need.
func (p *split) ample() bool {
	decode, prefill := p.need()
	return ampleFactor*decode <= float64(p.decode) && ampleFactor*prefill <= float64(p.prefill)
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
func (st *roleState) smooth(p *split) {
	st.generating += smoothing * (p.generating - st.generating)
	st.reading += smoothing * (p.reading - st.reading)
	p.generating, p.reading = st.generating, st.reading
}

// changes returns how many engines should become prefill engines now, negative for decode engines.
func (st *roleState) changes(p *split, now time.Time) int {
	if p.decode+p.prefill < 3 || p.mixed > 0 {
		return 0
	}
	d := p.decode - p.wantedDecode()
	if d != st.wanted {
		if sign(d) != sign(st.wanted) {
			st.wantedAt = now
		}
		st.wanted = d
	}
	if sign(d)*d < max(1, int(minChangeShare*float64(p.decode+p.prefill))) {
		return 0
	}
	if p.idle {
		return p.idleChanges(d)
	}
	if p.ample() {
		return 0
	}
	if now.Sub(st.wantedAt) < persistTime || (sign(d) != st.direction && now.Sub(st.changedAt) < dwellTime) {
		return 0
	}
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
func (p *split) candidates(role external.Role, n int, st *roleState, now time.Time) []*Server {
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

// order reads the engine's state and orders the change under the condition that it has not accepted
// another order since.
func (r *Roles) order(ctx context.Context, a lease.Authority, s *Server, role external.Role, st *roleState, e *route.Engine) {
	log := r.log.WithFields(logrus.Fields{"server": s.ID, "from": s.Role, "to": role, "fence": a.Fence})
	st.ordered[s.live] = ordered{until: time.Now().Add(settleTime)}
	_, body, err := r.call(ctx, s, r.orders.ReportRequest(s))
	if err != nil {
		log.WithError(err).Warn("no order: the engine's state is unknown")
		return
	}
	report, err := r.orders.Report(body)
	if err != nil || report.Busy || report.Role != s.Role {
		log.WithError(err).WithFields(logrus.Fields{"busy": report.Busy, "role": report.Role}).Info("no order: the engine is changing or its state differs")
		return
	}
	req, err := r.orders.OrderRequest(&RoleOrder{Server: s, Role: role, Holder: r.instance, Fence: a.Fence, Sequence: report.Sequence})
	if err != nil {
		log.WithError(err).Error("order not encoded")
		return
	}
	if !a.Valid() {
		return
	}
	status, _, err := r.call(ctx, s, req)
	now := time.Now()
	st.changedAt, st.direction = now, 1
	if role == external.RoleDecode {
		st.direction = -1
	}
	if err != nil {
		// It may be carried out late. Counting it as carried out avoids an order to another engine that
		// would have to be taken back.
		st.ordered[s.live] = ordered{role: role, until: now.Add(unknownTime)}
		r.metrics.RoleOrder(s.Service, string(role), "unknown")
		log.WithError(err).Warn("order sent, outcome unknown")
		return
	}
	result := r.orders.OrderResult(status)
	r.metrics.RoleOrder(s.Service, string(role), result.String())
	if result == OrderAccepted {
		st.ordered[s.live] = ordered{role: role, until: now.Add(e.RoleChange + showTime)}
		s.changing(now.Add(e.RoleChange))
	}
	log.WithFields(logrus.Fields{"status": status, "accepted": result == OrderAccepted, "sequence": report.Sequence}).Info("role ordered")
}

func (r *Roles) call(ctx context.Context, s *Server, req *upstream.Request) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := r.pool.Do(ctx, s.Address, req, func(*http.Response, bool) bool { return true })
	if err != nil {
		return 0, nil, err
	}
	defer resp.Close(r.pool)
	body, err := io.ReadAll(io.LimitReader(resp, maxHandleAnswer))
	return resp.StatusCode, body, err
}
