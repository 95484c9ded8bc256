package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/quarantine"
	"github.com/quetzallug/quetzallug/usage"
)

// Status is the state of one process for operators and metrics.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	// Reason says why the process is not ready.
	Reason string `json:"reason,omitempty"`
	// Config is the version of the current configuration; 0 if there is none.
	Config uint64 `json:"config"`
	Routes int    `json:"routes"`
	// StoreAgeMS is the age of the configuration and the registrations in milliseconds: the time
	// since the store last confirmed that all changes are known. It is negative if that never
	// happened. It reaches a few seconds while nothing changes.
	StoreAgeMS int64 `json:"store_age_ms"`
	// StoreEra rises each time the store comes back from an older copy; 0 if the store tells none.
	StoreEra uint64 `json:"store_era"`
	// StoreRewrites counts the records that this process had to write again because the store had lost them.
	StoreRewrites int `json:"store_rewrites"`
	// Orders is true if this process may currently give orders to engines.
	Orders   bool            `json:"orders"`
	Services []ServiceStatus `json:"services"`
	Servers  []ServerStatus  `json:"servers"`
	// Usage is the state of the usage reports; nil if this deployment has none.
	Usage *usage.Status `json:"usage,omitempty"`
	// Scaling holds the plans of the numbers of backend servers; empty unless this process holds the lease.
	Scaling []ScalingStatus `json:"scaling,omitempty"`
	// Accounts lists the client accounts with the most requests, at most 16.
	Accounts []AccountStatus `json:"accounts,omitempty"`
	// Quarantined lists the prompt parts under which backend servers crash.
	Quarantined []quarantine.Status `json:"quarantined,omitempty"`
}

// ServiceStatus is the state of a service as known to one process.
type ServiceStatus struct {
	Service string `json:"service"`
	// Servers counts the registered backend servers, Usable those that get new requests.
	Servers int `json:"servers"`
	Usable  int `json:"usable"`
	// InFlight counts the requests of this process on the service's backend servers.
	InFlight int `json:"in_flight"`
	// PendingTokens counts the prompt tokens that this process has sent and that are not prefilled
	// yet.
	PendingTokens int `json:"unread_tokens"`
	// RetryBudgetLeft is the number of retries that the budget currently allows.
	RetryBudgetLeft float64 `json:"retry_budget_left"`
}

// ServerStatus is the state of a backend server as known to one process.
type ServerStatus struct {
	Server     string `json:"server"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	// State is ready, draining or lapsed.
	State string `json:"state"`
	// Usable is true if the backend server gets new requests.
	Usable bool `json:"usable"`
	// InFlight counts the requests of this process, OtherRequests those of other gateway instances as
	// last reported.
	InFlight      int `json:"in_flight"`
	OtherRequests int `json:"others"`
	Slots         int `json:"slots"`
	// PendingTokens counts the prompt tokens that this process has sent and that are not prefilled
	// yet.
	PendingTokens int `json:"unread_tokens"`
	// FailureRate is the moving average of failed requests, from 0 to 1.
	FailureRate float64 `json:"failing_share"`
	// LoadAgeMS is the age of the last load report in milliseconds; negative if there was none.
	LoadAgeMS int64 `json:"load_age_ms"`
	// Connections counts the connections of this process, in use and idle.
	Connections int `json:"connections"`
}

// States of registrations.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	// stateLeaving means that the backend server said in an answer that it leaves.
	stateLeaving = "leaving"
	// stateResting means that the backend server wants no requests for a time.
	stateResting = "resting"
	// stateLapsed means that the registration disappeared during a store failure.
	stateLapsed = "lapsed"
)

// Status returns the current state of this process.
func (g *Gateway) Status(now time.Time) *Status {
	out := &Status{Instance: g.cfg.Instance, DataCentre: g.cfg.DataCentre}
	out.Ready, out.Reason = g.Ready()
	out.Accounts = g.accounts.largest()
	out.Quarantined = g.quarantine.tracker.Status(now)
	services := map[string]*ServiceStatus{}
	if t := g.tables.Table(); t != nil {
		out.Config, out.Routes = t.Version, t.Len()
		for name := range t.Services {
			services[name] = &ServiceStatus{Service: name}
		}
	}
	out.Servers, out.StoreAgeMS = g.roster.status(now)
	out.StoreEra, out.StoreRewrites = g.roster.Era(), g.quarantine.tracker.Rewrites()
	for i := range out.Servers {
		s := &out.Servers[i]
		s.Connections = g.pool.Connections(s.Address)
		v := services[s.Service]
		if v == nil {
			v = &ServiceStatus{Service: s.Service}
			services[s.Service] = v
		}
		v.Servers++
		if s.Usable {
			v.Usable++
		}
		v.InFlight += s.InFlight
		v.PendingTokens += s.PendingTokens
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
		s.RetryBudgetLeft = g.retryBudget(name).Remaining(now)
		out.Services = append(out.Services, *s)
	}
	return out
}

// ageNever is the age of an event that has not happened.
const ageNever = -1

// age returns the age of an event in milliseconds, or ageNever.
func age(at, now time.Time) int64 {
	if at.IsZero() {
		return ageNever
	}
	return now.Sub(at).Milliseconds()
}

// status returns the registered backend servers in sorted order, and the age of the registrations
// in milliseconds.
func (r *Roster) status(now time.Time) (servers []ServerStatus, storeAge int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers = make([]ServerStatus, 0, len(r.servers))
	for id, s := range r.servers {
		v := s.view(now)
		st := ServerStatus{
			Server: s.ID, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, Role: string(s.Role),
			State: stateReady, Usable: v.usableFor(0) && v.restsFor == 0 && !s.isLeaving(), InFlight: v.inFlight, OtherRequests: v.otherRequests, Slots: s.Slots,
			PendingTokens: int(v.pendingTokens), FailureRate: v.failureRate, LoadAgeMS: age(s.reportedAt(), now),
		}
		switch {
		case s.Draining:
			st.State = stateDraining
		case s.isLeaving():
			st.State = stateLeaving
		case v.restsFor > 0:
			st.State = stateResting
		case !r.lapsed[id].IsZero():
			st.State = stateLapsed
		}
		servers = append(servers, st)
	}
	slices.SortFunc(servers, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Server, b.Server))
	})
	return servers, age(r.confirmedAt, now)
}

func (s *Server) reportedAt() time.Time {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.loadReportedAt
}
