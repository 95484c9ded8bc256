package gateway

import (
	"context"
	"io"
	"net/http"
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
	// orderTimeout bounds one call to an engine. It is below the time for which the authority of a
	// new holder is held back.
	orderTimeout = 500 * time.Millisecond
	// unknownTime is how long an engine gets no further order after one whose answer was lost, which
	// may be carried out seconds later.
	unknownTime = 15 * time.Second
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

	services map[string]*RolePlan
	acquired time.Time
	fence    uint64
}

// NewRoles returns a planner of roles. guard is how long a new authority is held back, so that the
// last orders of the holder before are over.
func NewRoles(instance string, guard time.Duration, o Orders, a Authority, t *route.Holder, r *Roster, p *upstream.Pool, m Metrics, log logrus.FieldLogger) *Roles {
	return &Roles{
		instance: instance, guard: guard, orders: o, leases: a, tables: t, roster: r, pool: p, metrics: m, log: log,
		services: make(map[string]*RolePlan),
	}
}

// Run plans until the context ends.
func (r *Roles) Run(ctx context.Context) {
	for pause.For(ctx, PlanInterval) {
		a, ok := r.leases.Authority(RolesPool)
		table := r.tables.Table()
		if !ok || table == nil {
			continue
		}
		may := r.mayOrder(a, time.Now())
		for name, s := range table.Services {
			if s.Engine != nil {
				r.plan(ctx, a, may, name, s.Engine)
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

func (r *Roles) state(service string) *RolePlan {
	s := r.services[service]
	if s == nil {
		s = NewRolePlan()
		r.services[service] = s
	}
	return s
}

// plan looks at the split of a service's engines. A holder that may not order yet looks as well, so that
// it knows the load when it may.
func (r *Roles) plan(ctx context.Context, a lease.Authority, may bool, service string, e *route.Engine) {
	now := time.Now()
	st := r.state(service)
	before := st.Look.Reason
	to, servers := st.Next(r.roster.Servers(service), now)
	if l := st.Look; l.Reason != before {
		r.log.WithFields(logrus.Fields{
			"service": service, "decode": l.Decode, "prefill": l.Prefill, "wanted_decode": l.Wanted, "generating": int(l.Generating),
			"reading": int(l.Reading), "choice": l.Reason, "fence": a.Fence,
		}).Info("roles planned")
	}
	for _, s := range servers {
		if !may || !a.Valid() {
			return
		}
		r.order(ctx, a, s, to, st, e)
	}
}

// order reads the engine's state and orders the change under the condition that it has not accepted
// another order since.
func (r *Roles) order(ctx context.Context, a lease.Authority, s *Server, role external.Role, st *RolePlan, e *route.Engine) {
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
	st.changed(role, now)
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
		st.Ordered(s, role, e.RoleChange, now)
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
