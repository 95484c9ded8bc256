// Package route holds the operator's table of routes: which service a request goes to, what may be
// repeated, and how long it may take. A Table is immutable. A Holder keeps the table in force and
// never goes back to an older version.
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
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeatable requests may run more than once. Resumable streams are repeatable.
	Repeatable bool
	// Stream answers are series of events. Resumable streams continue on another backend server
	// after the last event that was delivered.
	Stream    bool
	Resumable bool
	// Prompt requests declare the parts of a prompt, so that a backend server that has read some of
	// them before is preferred.
	Prompt bool
	// Timeout is the longest time that a caller is kept waiting for the whole answer.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, that callers want.
	Target time.Duration
	// MaxPause is the longest pause between two events that callers want.
	MaxPause time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of backend servers on which one request may run.
	MaxAttempts int
	Shares      []Share
}

// Service picks the service of one request. The same key always gives the same service.
func (r *Route) Service(key string) string {
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
	at := int(xxhash.Sum64String(key) % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// RoleChange is how long an engine is away while it changes its role.
	RoleChange time.Duration
}

// Service is a group of backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain backend servers.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is the operator's configuration at one version.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
	size  int
}

// ErrInvalid means that a table contradicts itself.
var ErrInvalid = errors.New("invalid route table")

// NewTable checks and indexes a configuration.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits) (*Table, error) {
	t := &Table{Version: version, Limits: limits, Services: make(map[string]*Service, len(services)), hosts: map[string][]*Route{}, size: len(routes)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	var errs []error
	for _, r := range routes {
		errs = append(errs, t.check(r))
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Table) check(r *Route) error {
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

// Match returns the route of a host and path with the longest prefix, or nil. The host may carry a
// port.
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

// Holder keeps the table in force. It is safe for concurrent use.
type Holder struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force, or nil before the first one.
func (h *Holder) Table() *Table { return h.table.Load() }

// Offer puts a table in force unless one of the same or a later version is. It tells whether it did.
func (h *Holder) Offer(t *Table) bool {
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
