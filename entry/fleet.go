package entry

import (
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/routing"
)

// errNoWorker means that no usable worker serves a request.
var errNoWorker = errors.New("no usable worker serves the request")

const (
	// probeTimeout bounds a probe for a fresh load report.
	probeTimeout = time.Second
	// decisionProbes and decisionBurst bound the probes per second that decisions ask for. An entry
	// at 35 requests/s over subsets of 8 models would otherwise send up to 70 probes/s of 190 bytes,
	// three times its budget of 4 KB/s for control.
	decisionProbesPerSecond = 6
	decisionProbeBurst      = 12
)

// Fleet knows the workers of all services: who is usable, how loaded each is, and what each
// has loaded. It implements Picker.
//
// Lock order: Fleet.mu before the locks of the router, tracker and view. No call to another
// process is made while Fleet.mu is held.
type Fleet struct {
	cluster      string
	dataCentre   string
	view         *membership.View
	tracker      *load.Tracker
	clients      *rpc.Clients
	routerConfig routing.Config
	probeLimiter *rate.Limiter

	mu          sync.RWMutex
	viewVersion uint64
	reports     map[string]*v1.LoadReport
	reportedAt  map[string]time.Time
	// cacheSeen is the sequence of the last cache event taken, by worker.
	lastCacheEvent map[string]uint64
	services       map[string]*serviceFleet
	routers        map[string]*routing.Router
	probesInFlight map[string]bool
	tickets        map[ticketKey]load.Ticket
}

// ticketKey names an attempt in flight: a request goes to one worker at a time.
type ticketKey struct {
	worker  string
	request string
}

// serviceFleet is the workers of one service at one version of membership and reports. It is
// replaced, never changed.
type serviceFleet struct {
	router  *routing.Router
	fleet   *routing.Fleet
	members map[string]membership.Member
}

// NewFleet returns the fleet as seen from a data centre.
func NewFleet(cluster, dataCentre string, view *membership.View, clients *rpc.Clients, seed uint64) *Fleet {
	return &Fleet{
		cluster: cluster, dataCentre: dataCentre, view: view, clients: clients,
		tracker: load.NewTracker(load.Speed{}), routerConfig: routing.Config{Seed: seed},
		probeLimiter: rate.NewLimiter(decisionProbesPerSecond, decisionProbeBurst),
		reports:      map[string]*v1.LoadReport{}, reportedAt: map[string]time.Time{}, lastCacheEvent: map[string]uint64{}, services: map[string]*serviceFleet{}, routers: map[string]*routing.Router{},
		probesInFlight: map[string]bool{}, tickets: map[ticketKey]load.Ticket{},
	}
}

// service returns the present workers of a service, rebuilt if membership has changed.
func (f *Fleet) service(name string) *serviceFleet {
	snapshot := f.view.Snapshot()
	f.mu.RLock()
	s := f.services[name]
	current := f.viewVersion == snapshot.Version
	f.mu.RUnlock()
	if s != nil && current {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.viewVersion != snapshot.Version {
		f.viewVersion = snapshot.Version
		clear(f.services)
		f.tracker.SetRouters(entriesPerWorker(snapshot))
	}
	return f.buildLocked(name, snapshot)
}

// routersPerWorker estimates how many entries send to one worker. In a large fleet an entry uses a
// subset of the workers of each service.
func entriesPerWorker(s *membership.Snapshot) float64 {
	workers := map[string]int{}
	for _, m := range s.Members {
		if m.Role == external.RoleSidecar {
			workers[m.Service]++
		}
	}
	used, all := 0, 0
	for _, n := range workers {
		used += min(n, routing.DefaultSubset)
		all += n
	}
	if all == 0 {
		return 1
	}
	return float64(len(s.Entries())) * float64(used) / float64(all)
}

func (f *Fleet) buildLocked(name string, snapshot *membership.Snapshot) *serviceFleet {
	if s := f.services[name]; s != nil {
		return s
	}
	r := f.routers[name]
	if r == nil {
		r = routing.New(f.routerConfig)
		f.routers[name] = r
	}
	s := &serviceFleet{router: r, members: map[string]membership.Member{}}
	var workers []routing.Worker
	for _, m := range snapshot.Usable(name) {
		s.members[m.ID] = m
		workers = append(workers, f.routingWorker(m))
	}
	s.fleet = routing.NewFleet(workers)
	f.services[name] = s
	return s
}

// worker describes a member to the router. A worker that has not reported yet is not offered,
// since what it has loaded is not known; a probe of membership brings its first report.
func (f *Fleet) routingWorker(m membership.Member) routing.Worker {
	w := routing.Worker{ID: m.ID, DataCentre: m.DataCentre, Role: external.RoleMixed, Load: f.tracker.Worker(m.ID)}
	r := f.reports[m.ID]
	if r == nil {
		w.Draining = true
		return w
	}
	w.Draining = r.GetDraining() || hasNoModels(r)
	w.Models = r.GetModels()
	if r.GetRole() != "" {
		w.Role = external.Role(r.GetRole())
	}
	return w
}

// withoutModels reports whether a worker is an engine that has no model loaded, or that does not
// answer. To the router, no models mean a plain backend server, which takes any request.
func hasNoModels(r *v1.LoadReport) bool { return !r.GetPlain() && len(r.GetModels()) == 0 }
