package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Status is what one process believes, for operators and metrics.
type Status struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	// Reason says why the process is not ready.
	Reason string `json:"reason,omitempty"`
	// Config is the version of the configuration in force; 0 if there is none.
	Config uint64 `json:"config"`
	Routes int    `json:"routes"`
	// StoreAgeMS is the age of the configuration and of the registrations: the time since the store last
	// told all changes. It is negative if it never did. A store without news is asked every few seconds.
	StoreAgeMS int64 `json:"store_age_ms"`
	// Orders tells whether this process may give orders to engines now.
	Orders   bool            `json:"orders"`
	Services []ServiceStatus `json:"services"`
	Servers  []ServerStatus  `json:"servers"`
}

// ServiceStatus is what one process believes of a service.
type ServiceStatus struct {
	Service string `json:"service"`
	// Servers are registered, Usable those of them that get new requests.
	Servers int `json:"servers"`
	Usable  int `json:"usable"`
	// InFlight are the requests of this process at its backend servers.
	InFlight int `json:"in_flight"`
	// UnreadTokens are the prompt tokens that this process has sent and that were not read yet.
	UnreadTokens int `json:"unread_tokens"`
	// RetryBudgetLeft is the number of requests that may be sent again now.
	RetryBudgetLeft float64 `json:"retry_budget_left"`
}

// ServerStatus is what one process believes of a backend server.
type ServerStatus struct {
	Server     string `json:"server"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	// State is ready, draining or lapsed.
	State string `json:"state"`
	// Usable backend servers get new requests.
	Usable bool `json:"usable"`
	// InFlight are the requests of this process, Others those of other entries by the last report.
	InFlight int `json:"in_flight"`
	Others   int `json:"others"`
	Slots    int `json:"slots"`
	// UnreadTokens are the prompt tokens that this process has sent and that were not read yet.
	UnreadTokens int `json:"unread_tokens"`
	// FailingShare is the moving average of failed requests, from 0 to 1.
	FailingShare float64 `json:"failing_share"`
	// LoadAgeMS is the age of the last report of the load; negative if there was none.
	LoadAgeMS int64 `json:"load_age_ms"`
	// Connections of this process, in use and kept.
	Connections int `json:"connections"`
}

// States of registrations.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	// stateLapsed means that the registration disappeared while the store was disturbed.
	stateLapsed = "lapsed"
)

// Status returns what this process believes now.
func (g *Gateway) Status(now time.Time) *Status {
	out := &Status{Instance: g.cfg.Instance, DataCentre: g.cfg.DataCentre}
	out.Ready, out.Reason = g.Ready()
	services := map[string]*ServiceStatus{}
	if t := g.tables.Table(); t != nil {
		out.Config, out.Routes = t.Version, t.Len()
		for name := range t.Services {
			services[name] = &ServiceStatus{Service: name}
		}
	}
	out.Servers, out.StoreAgeMS = g.roster.status(now)
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
		v.UnreadTokens += s.UnreadTokens
	}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
		s.RetryBudgetLeft = g.budget(name).Left(now)
		out.Services = append(out.Services, *s)
	}
	return out
}

// never is the age of something that has not happened.
const never = -1

func age(at, now time.Time) int64 {
	if at.IsZero() {
		return never
	}
	return now.Sub(at).Milliseconds()
}

// status returns the registered backend servers in a fixed order, and the age of the registrations.
func (r *Roster) status(now time.Time) (servers []ServerStatus, storeAge int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers = make([]ServerStatus, 0, len(r.servers))
	for id, s := range r.servers {
		v := s.view(now)
		st := ServerStatus{
			Server: s.ID, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, Role: string(s.Role),
			State: stateReady, Usable: v.usable && !s.Draining, InFlight: v.inFlight, Others: v.others, Slots: s.Slots,
			UnreadTokens: int(v.pending), FailingShare: v.failing, LoadAgeMS: age(s.reportedAt(), now),
		}
		switch {
		case s.Draining:
			st.State = stateDraining
		case r.lapsed[id]:
			st.State = stateLapsed
		}
		servers = append(servers, st)
	}
	slices.SortFunc(servers, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Server, b.Server))
	})
	return servers, age(r.confirmed, now)
}

func (s *Server) reportedAt() time.Time {
	s.live.mu.Lock()
	defer s.live.mu.Unlock()
	return s.live.othersAt
}
