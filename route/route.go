// Package route implements the operator's route table, which determines the service that a request goes
// to, whether the request may be repeated, and how long it may take. A Table is immutable. An ActiveTable
// holds the active table and never replaces it by an older version.
package route

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/account"
)

// Share assigns a weighted share of a route's requests to a service.
type Share struct {
	Service string
	Weight  int
}

// Route configures the requests of one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable means that a request may run more than once. Resumable streams are repeatable.
	Repeatable bool
	// Public means that requests need no API key.
	Public bool
	// Stream means that the answer is a series of events. Resumable means that the stream can continue
	// on another backend server after the last event that was delivered.
	Stream    bool
	Resumable bool
	// DeclaresPrompt means that a request declares the parts of its prompt, so that a backend server that has
	// processed some of them before is preferred.
	DeclaresPrompt bool
	// Timeout is the time limit for the whole answer.
	Timeout time.Duration
	// TargetLatency is the desired time to the answer, or to the first event of a stream. 0 means none.
	TargetLatency time.Duration
	// MaxPause is the desired longest pause between two events of a stream. Nothing reads it.
	MaxPause time.Duration
	// Priority is the rank of the route. 0 is the most urgent.
	Priority int
	// MaxAttempts limits the number of backend servers on which one request may run.
	MaxAttempts int
	Shares      []Share
}

// SelectService selects the service for one request by weight. Equal keys give the same service as long as
// the shares stay the same.
func (r *Route) SelectService(key string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	remainder := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range r.Shares {
		if remainder -= s.Weight; remainder < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// RoleChangeTime is the time for which an engine is unavailable while it changes its role.
	RoleChangeTime time.Duration
	// TokensPerEvent is the number of output tokens that one event of a stream contains at most; 1 if unknown.
	TokensPerEvent int
}

// Autoscaling limits the number of backend servers that a service may have in each data centre.
type Autoscaling struct {
	MinReplicas, MaxReplicas int
	// BootTime is the time from an order for a new backend server until it serves.
	BootTime time.Duration
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// HealthPath and MaxConnections are values of the operator's configuration that nothing reads.
	HealthPath     string
	MaxConnections int
	// Engine is nil for backend servers without a model engine.
	Engine *Engine
	// Autoscaling is nil for services whose number of backend servers is fixed.
	Autoscaling *Autoscaling
}

// Limits restrict the requests that callers may send.
type Limits struct {
	// MaxHeaderBytes, HeaderTimeout and IdleTimeout are values of the operator's configuration that
	// nothing reads: the gateway's server has constant limits.
	MaxHeaderBytes int
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes  int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is the operator's configuration at one version.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// Accounts are the client accounts and their API keys. It is nil if the configuration defines none, also no empty
	// list of them; then no request needs a key.
	Accounts *account.Directory
	// AccountFaults joins the errors of invalid client accounts, which don't keep the rest from taking effect.
	AccountFaults error
	// Faults are the errors of other parts that were left out and don't keep the rest from taking effect.
	Faults []error
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
	size  int
}

// ErrInvalid means that a route is malformed or names an unknown service.
var ErrInvalid = errors.New("invalid route table")

// NewTable validates and indexes a configuration. The error covers all invalid routes.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: make(map[string]*Service, len(services)), hosts: map[string][]*Route{}, size: len(routes)}
	for _, s := range services {
		t.Services[s.Name] = s
		if a := s.Autoscaling; a != nil && (a.MinReplicas < 0 || a.MaxReplicas < a.MinReplicas || a.BootTime < 0) {
			// The rest of the configuration doesn't depend on it.
			t.Faults = append(t.Faults, fmt.Errorf("%w: service %q: autoscaling from %d to %d replicas with a boot time of %s", ErrInvalid, s.Name, a.MinReplicas, a.MaxReplicas, a.BootTime))
			s.Autoscaling = nil
		}
	}
	var errs []error
	for _, r := range routes {
		errs = append(errs, t.validate(r))
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, hostRoutes := range t.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) validate(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("%w: route %q: prefix %q does not begin and end with a slash", ErrInvalid, r.Name, r.Prefix)
	}
	if len(r.Shares) == 0 {
		return fmt.Errorf("%w: route %q names no service", ErrInvalid, r.Name)
	}
	for _, s := range r.Shares {
		if t.Services[s.Service] == nil {
			return fmt.Errorf("%w: route %q names the unknown service %q", ErrInvalid, r.Name, s.Service)
		}
	}
	if r.Timeout <= 0 || r.MaxAttempts < 1 {
		return fmt.Errorf("%w: route %q: found timeout %s and %d attempts, both must be above 0", ErrInvalid, r.Name, r.Timeout, r.MaxAttempts)
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.size }

// Match returns the route with the longest prefix that matches a host and path, or nil. The host may
// include a port.
func (t *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ActiveTable holds the active table. It is safe for concurrent use.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Table returns the active table, or nil before the first one.
func (h *ActiveTable) Table() *Table { return h.table.Load() }

// Offer makes a table the active one, unless the active one has the same or a later version. It reports
// whether it did.
func (h *ActiveTable) Offer(t *Table) bool {
	for {
		current := h.table.Load()
		if current != nil && t.Version <= current.Version {
			return false
		}
		if h.table.CompareAndSwap(current, t) {
			return true
		}
	}
}
