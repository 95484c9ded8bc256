package gateway

import (
	"context"
	"errors"
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
	Role   external.EngineRole
	Holder string
	Fence  uint64
	// Sequence is the number of orders that the engine has accepted. The engine refuses the order
	// if it has accepted another one since, so that a delayed order does not undo a newer one.
	Sequence int64
}

// OrderResult is the result of an order.
type OrderResult int

// Results of orders.
const (
	OrderAccepted      OrderResult = iota
	OrderAlreadyInRole             // the engine already has the role
	OrderRefused
)

func (r OrderResult) String() string { return [...]string{"accepted", "holds", "refused"}[r] }

// EngineReport is the state reported by an engine.
type EngineReport struct {
	Role     external.EngineRole
	Busy     bool
	Sequence int64
}

// Orders encodes orders to engines and decodes their responses.
type Orders interface {
	ReportRequest(s *Server) *upstream.Request
	Report(body []byte) (EngineReport, error)
	OrderRequest(o *RoleOrder) (*upstream.Request, error)
	OrderResult(status int) OrderResult
	// AnswersCaller reports whether a response belongs to a request of a caller.
	AnswersCaller(h http.Header) bool
}

// Authority provides the right to give orders. It is implemented by *lease.Manager.
type Authority interface {
	Authority(pool string) (lease.Authority, bool)
}

const (
	// RolesPool is the lease pool whose holder gives orders to all engines of the installation.
	RolesPool = "roles"
	// orderTimeout limits one call to an engine. It is shorter than the guard time of a new lease
	// holder.
	orderTimeout = 500 * time.Millisecond
	// unknownOutcomeTime is how long an engine gets no further order after one whose response was
	// lost, which may still be carried out seconds later.
	unknownOutcomeTime = 15 * time.Second
)

// RolePlanner plans the roles of engines and orders role changes while this process holds the lease.
type RolePlanner struct {
	instance string
	guard    time.Duration
	orders   Orders
	leases   Authority
	tables   *route.ActiveTable
	roster   *Roster
	pool     *upstream.Pool
	metrics  Metrics
	log      logrus.FieldLogger

	// scaler plans the numbers of backend servers in the same rounds; nil if they are not planned.
	scaler *Scaler

	plans      map[string]*RolePlan
	acquiredAt time.Time
	fence      uint64
}

// NewRolePlanner returns a RolePlanner. guard is how long a new lease holder waits before it gives
// orders, so that the last orders of the previous holder have completed.
func NewRolePlanner(instance string, guard time.Duration, o Orders, a Authority, t *route.ActiveTable, r *Roster, p *upstream.Pool, m Metrics, log logrus.FieldLogger) *RolePlanner {
	return &RolePlanner{
		instance: instance, guard: guard, orders: o, leases: a, tables: t, roster: r, pool: p, metrics: m, log: log,
		plans: make(map[string]*RolePlan),
	}
}

// SetScaler adds the plan of the numbers of backend servers. It must be called before Run.
func (r *RolePlanner) SetScaler(s *Scaler) { r.scaler = s }

// Run plans roles until the context ends.
func (r *RolePlanner) Run(ctx context.Context) {
	for pause.For(ctx, PlanInterval) {
		a, ok := r.leases.Authority(RolesPool)
		table := r.tables.Table()
		if !ok || table == nil {
			continue
		}
		mayOrder := r.mayOrder(a, time.Now())
		r.planNumbers(a, table)
		for name, s := range table.Services {
			if s.Engine != nil {
				r.planService(ctx, a, mayOrder, name, s.Engine)
			}
		}
	}
}

// planNumbers plans the numbers of backend servers, and tells the plans of roles how many engines will be removed.
func (r *RolePlanner) planNumbers(a lease.Authority, table *route.Table) {
	if r.scaler == nil {
		return
	}
	now := time.Now()
	r.scaler.round(a, table, now)
	for name, s := range table.Services {
		if s.Autoscaling == nil {
			continue
		}
		rp := r.plan(name)
		rp.SetLeaving(r.scaler.plan(a, name, s.Autoscaling, rp.IsChanging(now), now))
	}
}

// mayOrder reports whether the guard time of a new lease has passed. The first lease ever needs
// none.
func (r *RolePlanner) mayOrder(a lease.Authority, now time.Time) bool {
	if a.Fence != r.fence {
		r.fence, r.acquiredAt = a.Fence, now
	}
	return a.Fence == 1 || now.Sub(r.acquiredAt) >= r.guard
}

func (r *RolePlanner) plan(service string) *RolePlan {
	p := r.plans[service]
	if p == nil {
		p = NewRolePlan()
		r.plans[service] = p
	}
	return p
}

// planService runs a planning round for one service. It also runs during the guard time, so that
// the load is known when orders are allowed.
func (r *RolePlanner) planService(ctx context.Context, a lease.Authority, mayOrder bool, service string, e *route.Engine) {
	now := time.Now()
	rp := r.plan(service)
	previousReason := rp.Decision.Reason
	to, servers := rp.Next(r.roster.Servers(service), now)
	if decision := rp.Decision; decision.Reason != previousReason {
		r.log.WithFields(logrus.Fields{
			"service": service, "decode": decision.Decode, "prefill": decision.Prefill, "wanted_decode": decision.Wanted, "generating": int(decision.DecodeRequests),
			"reading": int(decision.PrefillRequests), "choice": decision.Reason, "fence": a.Fence,
		}).Info("roles planned")
	}
	for _, s := range servers {
		if !mayOrder || !a.Valid() {
			return
		}
		r.order(ctx, a, s, to, rp, e)
	}
}

// order reads the engine's state and orders the role change, on condition that the engine has not
// accepted another order since.
func (r *RolePlanner) order(ctx context.Context, a lease.Authority, s *Server, role external.EngineRole, rp *RolePlan, e *route.Engine) {
	log := r.log.WithFields(logrus.Fields{"server": s.ID, "from": s.Role, "to": role, "fence": a.Fence})
	// The engine is not selected again for settleTime, even if no order can be sent.
	rp.pendingOrders[s.state] = pendingOrder{until: time.Now().Add(settleTime)}
	_, body, err := r.call(ctx, s, r.orders.ReportRequest(s))
	if err != nil {
		log.WithError(err).Warn("no order: cannot read the engine's state")
		return
	}
	report, err := r.orders.Report(body)
	if err != nil || report.Busy || report.Role != s.Role {
		log.WithError(err).WithFields(logrus.Fields{"busy": report.Busy, "role": report.Role}).Info("no order: the engine is busy, or its report cannot be decoded or does not match its registration")
		return
	}
	req, err := r.orders.OrderRequest(&RoleOrder{Server: s, Role: role, Holder: r.instance, Fence: a.Fence, Sequence: report.Sequence})
	if err != nil {
		log.WithError(err).Error("cannot encode role order")
		return
	}
	status, _, err := r.callUnder(ctx, a, s, req)
	if isHeld(err) || errors.Is(err, errNoAuthority) {
		log.WithError(err).Info("no order: the engine or the authority has changed")
		return
	}
	now := time.Now()
	rp.recordDirection(role, now)
	if err != nil {
		// The order may still be carried out. It counts as accepted, because otherwise another
		// engine would get an order that would have to be reverted.
		rp.pendingOrders[s.state] = pendingOrder{role: role, until: now.Add(unknownOutcomeTime)}
		r.metrics.RoleOrder(s.Service, string(role), "unknown")
		log.WithError(err).Warn("role order sent, outcome unknown")
		return
	}
	result := r.orders.OrderResult(status)
	r.metrics.RoleOrder(s.Service, string(role), result.String())
	if result == OrderAccepted {
		rp.RecordAccepted(s, role, e.RoleChangeTime, now)
	}
	log.WithFields(logrus.Fields{"status": status, "accepted": result == OrderAccepted, "sequence": report.Sequence}).Info("role ordered")
}

// errNoAuthority means that the authority to give orders has ended.
var errNoAuthority = errors.New("no authority")

// callUnder is call, unless the authority has ended when the connection is there.
func (r *RolePlanner) callUnder(ctx context.Context, a lease.Authority, s *Server, req *upstream.Request) (int, []byte, error) {
	return r.callChecked(ctx, s, req, func() error {
		if !a.Valid() {
			return errNoAuthority
		}
		return s.check()
	})
}

func (r *RolePlanner) call(ctx context.Context, s *Server, req *upstream.Request) (int, []byte, error) {
	return r.callChecked(ctx, s, req, s.check)
}

func (r *RolePlanner) callChecked(ctx context.Context, s *Server, req *upstream.Request, check func() error) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	// A late copy of a refusal on a kept connection would be taken for the answer to the order.
	req.NewConnection = true
	req.Check = check
	resp, err := r.pool.Do(ctx, s.Address, req, func(resp *http.Response, first bool) bool { return first && !r.orders.AnswersCaller(resp.Header) })
	if err != nil {
		return 0, nil, err
	}
	resp.DiscardConnection()
	defer resp.Close(r.pool)
	body, err := io.ReadAll(io.LimitReader(resp, maxControlBody))
	return resp.StatusCode, body, err
}
