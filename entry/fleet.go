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

// errNoWorker means that no usable worker can serve a request.
var errNoWorker = errors.New("no usable worker serves the request")

const (
	// probeTimeout bounds a probe of a worker for its current load.
	probeTimeout = time.Second
	// decisionProbesPerSecond and decisionProbeBurst limit the probes that routing decisions start.
	// Each decision may start two. Without the limit, 35 requests/s for 8 models would start up to 70
	// probes/s, each of 190 bytes, three times the entry's budget of 4 KB/s for control traffic.
	decisionProbesPerSecond = 6
	decisionProbeBurst      = 12
)

// Fleet tracks the workers of all services: which are usable, their load, and the models that they
// have loaded. It implements Picker.
//
// Lock order: Fleet.mu is acquired before the locks of the router, tracker and view. Fleet.mu is
// never held during a call to another process.
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
	// reports holds the last load report of each worker, by worker ID. reportedAt holds the time at which
	// it arrived, or an earlier time if it came from another entry.
	reports    map[string]*v1.LoadReport
	reportedAt map[string]time.Time
	// lastCacheEvent is the sequence number of the last cache event that was applied, by worker ID.
	lastCacheEvent map[string]uint64
	// services and routers are keyed by service name.
	services map[string]*serviceWorkers
	routers  map[string]*routing.Router
	// probesInFlight holds the IDs of the workers that are being probed.
	probesInFlight map[string]bool
	// tickets holds what the tracker returned for each attempt in flight, to report its end.
	tickets map[ticketKey]load.Ticket
}

// ticketKey identifies an attempt in flight. It is unique because a request has at most one attempt
// at a time on a worker.
type ticketKey struct {
	worker  string
	request string
}

// serviceWorkers holds the workers of one service. It is immutable: changes of membership or of
// reports replace it.
type serviceWorkers struct {
	router     *routing.Router
	candidates *routing.Fleet
	// members holds the members of the service by ID.
	members map[string]membership.Member
}

// NewFleet returns a Fleet for an entry in the given data centre. The seed selects the subset of the
// workers that the entry uses.
func NewFleet(cluster, dataCentre string, view *membership.View, clients *rpc.Clients, seed uint64) *Fleet {
	return &Fleet{
		cluster: cluster, dataCentre: dataCentre, view: view, clients: clients,
		tracker: load.NewTracker(load.Speed{}), routerConfig: routing.Config{Seed: seed},
		probeLimiter: rate.NewLimiter(decisionProbesPerSecond, decisionProbeBurst),
		reports:      map[string]*v1.LoadReport{}, reportedAt: map[string]time.Time{}, lastCacheEvent: map[string]uint64{}, services: map[string]*serviceWorkers{}, routers: map[string]*routing.Router{},
		probesInFlight: map[string]bool{}, tickets: map[ticketKey]load.Ticket{},
	}
}

// service returns the current workers of a service. A change of membership discards the workers of
// all services, which are then built again when they are needed.
func (f *Fleet) service(name string) *serviceWorkers {
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
		f.tracker.SetRouterCount(entriesPerWorker(snapshot))
	}
	return f.buildLocked(name, snapshot)
}

// entriesPerWorker estimates how many entries send requests to the same worker. In a large fleet,
// each entry uses only a subset of the workers of a service.
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

// buildLocked returns the workers of a service and builds them if there are none. The caller holds mu.
func (f *Fleet) buildLocked(name string, snapshot *membership.Snapshot) *serviceWorkers {
	if s := f.services[name]; s != nil {
		return s
	}
	r := f.routers[name]
	if r == nil {
		r = routing.New(f.routerConfig)
		f.routers[name] = r
	}
	s := &serviceWorkers{router: r, members: map[string]membership.Member{}}
	var workers []routing.Worker
	for _, m := range snapshot.Usable(name) {
		s.members[m.ID] = m
		workers = append(workers, f.routingWorker(m))
	}
	s.candidates = routing.NewFleet(workers)
	f.services[name] = s
	return s
}

// routingWorker converts a member to a worker of the router. A worker without a report is marked as
// draining, because its models are unknown. It becomes usable with its first report, which comes from
// a refresh or from another entry.
func (f *Fleet) routingWorker(m membership.Member) routing.Worker {
	w := routing.Worker{ID: m.ID, DataCentre: m.DataCentre, Role: external.EngineRoleMixed, Load: f.tracker.Worker(m.ID)}
	r := f.reports[m.ID]
	if r == nil {
		w.Draining = true
		return w
	}
	w.Draining = r.GetDraining() || hasNoModels(r)
	w.Models = r.GetModels()
	if r.GetRole() != "" {
		w.Role = external.EngineRole(r.GetRole())
	}
	return w
}

// hasNoModels reports whether a worker is an engine that has no model loaded or that does not answer.
// Such a worker must not be passed to the router as usable: the router takes a worker without models
// for a plain backend server, which accepts any request.
func hasNoModels(r *v1.LoadReport) bool { return !r.GetPlain() && len(r.GetModels()) == 0 }
