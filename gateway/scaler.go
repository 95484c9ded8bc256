package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/scaling"
)

// ScaleMetrics records the orders for backend servers.
type ScaleMetrics interface {
	// ScaleOrder records the outcome of an order that sets the number of a service's backend servers.
	ScaleOrder(service, outcome string)
}

// DutyClient sends the calls that one instance at a time may make. It is implemented by *duty.Client.
type DutyClient interface {
	Do(ctx context.Context, a lease.Authority, c *duty.Call) duty.Result
}

// Scaler plans the numbers of backend servers and orders them while this process holds the lease. RolePlanner calls it
// in its rounds, so that both plans use the same state. Orders are sent by Run, because a call may take longer than
// a round. It is safe for concurrent use.
type Scaler struct {
	guard   time.Duration
	encoder duty.Encoder
	client  DutyClient
	roster  *Roster
	demand  *Demand
	metrics ScaleMetrics
	log     logrus.FieldLogger
	wake    chan struct{}

	mu         sync.Mutex
	fence      uint64
	acquiredAt time.Time
	services   map[string]*scaledService
	// pending holds the orders to send, in the order in which they were planned; at most one per service and data
	// centre.
	pending []pendingScale
}

// scaledService is the state of one service.
type scaledService struct {
	planner *scaling.Planner
	limits  scaling.Limits
	// logged holds the reason that was last logged, by data centre.
	logged map[string]string
	// outcomes holds the outcome of the last order, by data centre.
	outcomes map[string]string
	planned  time.Time
}

type pendingScale struct {
	service   string
	order     scaling.Order
	authority lease.Authority
}

// NewScaler returns a Scaler. guard is how long a new lease holder waits before its first call: the lease's time to
// live and the longest call of the previous holder.
func NewScaler(guard time.Duration, e duty.Encoder, c DutyClient, r *Roster, d *Demand, m ScaleMetrics, log logrus.FieldLogger) *Scaler {
	return &Scaler{guard: guard, encoder: e, client: c, roster: r, demand: d, metrics: m, log: log, wake: make(chan struct{}, 1), services: make(map[string]*scaledService)}
}

// round begins a planning round of all services in the table.
func (s *Scaler) round(a lease.Authority, t *route.Table, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Fence != s.fence {
		s.fence, s.acquiredAt, s.pending = a.Fence, now, nil
		s.demand.reset()
		for _, v := range s.services {
			v.planner.Forget()
		}
	}
	for name := range s.services {
		if v := t.Services[name]; v == nil || v.Autoscaling == nil {
			delete(s.services, name)
		}
	}
}

// plan plans one service and queues the orders. rolesChange tells whether its engines are changing roles. The result is
// the number of servers that were ordered away and are still there.
func (s *Scaler) plan(a lease.Authority, name string, limits *route.Autoscaling, rolesChange bool, now time.Time) (leaving int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		v = &scaledService{planner: scaling.NewPlanner(), logged: make(map[string]string), outcomes: make(map[string]string)}
		s.services[name] = v
	}
	v.limits = scaling.Limits{Min: limits.MinReplicas, Max: limits.MaxReplicas, BootTime: limits.BootTime}
	v.planned = now
	o := ObserveScaling(s.roster.Servers(name), now)
	o.Limits, o.RolesChange = v.limits, rolesChange
	o.Offered, o.Refused = s.demand.take(name)
	// A data centre whose servers have all gone is still planned.
	for _, d := range v.planner.Decisions {
		if !slices.ContainsFunc(o.DataCentres, func(dc scaling.DataCentre) bool { return dc.Name == d.DataCentre }) {
			o.DataCentres = append(o.DataCentres, scaling.DataCentre{Name: d.DataCentre})
		}
	}
	scaling.Sort(o.DataCentres)
	// As for orders to engines, the first lease ever needs no guard.
	mayOrder := a.Fence == 1 || now.Sub(s.acquiredAt) >= s.guard
	orders := v.planner.Next(o, mayOrder, now)
	v.logDecisions(s.log.WithField("service", name))
	for _, order := range orders {
		s.pending = append(s.pending, pendingScale{service: name, order: order, authority: a})
	}
	if len(s.pending) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return v.planner.Leaving(now)
}

func (v *scaledService) logDecisions(log logrus.FieldLogger) {
	for _, d := range v.planner.Decisions {
		if v.logged[d.DataCentre] == d.Reason {
			continue
		}
		v.logged[d.DataCentre] = d.Reason
		log.WithFields(logrus.Fields{
			"data_centre": d.DataCentre, "present": d.Present, "unusable": d.Unusable, "ordered": d.Ordered, "wanted": d.Wanted,
			"needed": round2(d.Needed), "peak_needed": round2(d.PeakNeeded), "callers_wait": d.Waits, "reason": d.Reason,
		}).Info("backend servers planned")
	}
}

// ObserveScaling returns what this process knows of the load of a service's backend servers.
func ObserveScaling(servers []*Server, now time.Time) *scaling.Observation {
	byName := map[string]*scaling.DataCentre{}
	for _, srv := range servers {
		dc := byName[srv.DataCentre]
		if dc == nil {
			dc = &scaling.DataCentre{Name: srv.DataCentre}
			byName[srv.DataCentre] = dc
		}
		v := srv.view(now)
		dc.Servers = append(dc.Servers, scaling.Server{
			Prefill: srv.Role == external.EngineRolePrefill, Slots: srv.Slots, Requests: v.inFlight + v.reportedRequests,
			Known: v.inFlight > 0 || now.Sub(srv.reportedAt()) < loadReportLifetime, Usable: srv.alive(now),
		})
	}
	o := &scaling.Observation{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		o.DataCentres = append(o.DataCentres, *byName[name])
	}
	return o
}

// alive reports whether the backend server answers requests. One that refuses them because it is full, or changes its
// role, is alive.
func (s *Server) alive(now time.Time) bool {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	silent := st.inFlight > 0 && now.Sub(st.lastActivity) > deadSilence
	return !now.Before(st.ejectedUntil) && !silent
}

// deadSilence is how long a backend server with requests may send nothing before it counts as failed. It is longer than
// an engine prefills the largest prompts.
const deadSilence = 3 * time.Second

// Run sends orders until the context ends.
func (s *Scaler) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for ctx.Err() == nil {
			p, ok := s.take()
			if !ok {
				break
			}
			s.send(ctx, &p)
		}
	}
}

func (s *Scaler) take() (pendingScale, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return pendingScale{}, false
	}
	p := s.pending[0]
	s.pending = s.pending[1:]
	return p, true
}

func (s *Scaler) send(ctx context.Context, p *pendingScale) {
	log := s.log.WithFields(logrus.Fields{"service": p.service, "data_centre": p.order.DataCentre, "count": p.order.Count, "repeat": p.order.Repeat, "fence": p.authority.Fence})
	call, err := s.encoder.ScaleCall(&duty.ScaleOrder{Service: p.service, DataCentre: p.order.DataCentre, Count: p.order.Count}, p.authority.Holder, p.authority.Fence)
	if err != nil {
		log.WithError(err).Error("order for backend servers cannot be encoded")
		s.record(p, duty.Result{Err: err})
		return
	}
	r := s.client.Do(ctx, p.authority, call)
	s.record(p, r)
	s.metrics.ScaleOrder(p.service, r.Outcome.String())
	log = log.WithFields(logrus.Fields{"outcome": r.Outcome.String(), "status": r.Status})
	if r.Outcome == duty.Accepted {
		log.Info("backend servers ordered")
		return
	}
	log.WithError(r.Err).Warn("order for backend servers not confirmed")
}

func (s *Scaler) record(p *pendingScale, r duty.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[p.service]
	if v == nil || p.authority.Fence != s.fence {
		return
	}
	outcome := scaling.NotDone
	switch r.Outcome {
	case duty.Accepted:
		outcome = scaling.Accepted
	case duty.Unknown, duty.Refused:
		// The answer of a platform that fails after it has carried out an order is also an error.
		outcome = scaling.Unknown
	case duty.Busy, duty.NotSent:
	}
	v.planner.Record(p.order, outcome, time.Now())
	v.outcomes[p.order.DataCentre] = r.Outcome.String()
}

// ScalingStatus is the plan for a service in a data centre, at the instance that holds the lease.
type ScalingStatus struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Present counts the registered servers that are not leaving, Unusable those that have failed.
	Present  int `json:"present"`
	Unusable int `json:"unusable"`
	// Ordered is the number last ordered by this process, -1 if none, with the outcome of the last attempt. Wanted is
	// the number of the plan, and Reason says why.
	Ordered int    `json:"ordered"`
	Outcome string `json:"outcome,omitempty"`
	Wanted  int    `json:"wanted"`
	Reason  string `json:"reason"`
	// Needed is the number of servers that the present demand needs, PeakNeeded the number that the peaks of the last
	// half minute or longer need.
	Needed     float64 `json:"needed"`
	PeakNeeded float64 `json:"peak_needed"`
	// Waits is true if callers wait or are refused.
	Waits bool `json:"callers_wait"`
	// Min and Max are the operator's limits.
	Min int `json:"min"`
	Max int `json:"max"`
}

// statusLifetime is the age from which a plan is not shown. A process that loses the lease makes no further ones.
const statusLifetime = 5 * time.Second

// Status returns the current plans in sorted order.
func (s *Scaler) Status(now time.Time) []ScalingStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ScalingStatus
	for name, v := range s.services {
		if now.Sub(v.planned) > statusLifetime {
			continue
		}
		for _, d := range v.planner.Decisions {
			out = append(out, ScalingStatus{
				Service: name, DataCentre: d.DataCentre, Present: d.Present, Unusable: d.Unusable, Ordered: d.Ordered, Outcome: v.outcomes[d.DataCentre],
				Wanted: d.Wanted, Reason: d.Reason, Needed: round2(d.Needed), PeakNeeded: round2(d.PeakNeeded), Waits: d.Waits, Min: v.limits.Min, Max: v.limits.Max,
			})
		}
	}
	slices.SortFunc(out, func(a, b ScalingStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

// round2 rounds to two decimal places.
func round2(x float64) float64 { return float64(int(x*100+0.5)) / 100 }
