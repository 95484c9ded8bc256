package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/quetzallug/quetzallug/document"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/platform"
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
	decisionProbes = 6
	decisionBurst  = 12
)

// Fleet knows the workers of all services: who is usable, how loaded each is, and what each
// has loaded. It implements Picker.
//
// Lock order: Fleet.mu before the locks of the router, tracker and view. No call to another
// process is made while Fleet.mu is held.
type Fleet struct {
	cluster    string
	dataCentre string
	view       *membership.View
	tracker    *load.Tracker
	clients    *rpc.Clients
	router     routing.Config
	probes     *rate.Limiter

	mu       sync.RWMutex
	version  uint64
	reports  map[string]*v1.LoadReport
	reported map[string]time.Time
	// cacheSeen is the sequence of the last cache event taken, by worker.
	cacheSeen map[string]uint64
	services  map[string]*serviceFleet
	routers   map[string]*routing.Router
	probing   map[string]bool
	tickets   map[ticketKey]load.Ticket
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
		tracker: load.NewTracker(load.Speed{}), router: routing.Config{Seed: seed},
		probes:  rate.NewLimiter(decisionProbes, decisionBurst),
		reports: map[string]*v1.LoadReport{}, reported: map[string]time.Time{}, cacheSeen: map[string]uint64{}, services: map[string]*serviceFleet{}, routers: map[string]*routing.Router{},
		probing: map[string]bool{}, tickets: map[ticketKey]load.Ticket{},
	}
}

// service returns the present workers of a service, rebuilt if membership has changed.
func (f *Fleet) service(name string) *serviceFleet {
	snapshot := f.view.Snapshot()
	f.mu.RLock()
	s := f.services[name]
	current := f.version == snapshot.Version
	f.mu.RUnlock()
	if s != nil && current {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version != snapshot.Version {
		f.version = snapshot.Version
		clear(f.services)
		f.tracker.SetRouters(routersPerWorker(snapshot))
	}
	return f.buildLocked(name, snapshot)
}

// routersPerWorker estimates how many entries send to one worker. In a large fleet an entry uses a
// subset of the workers of each service.
func routersPerWorker(s *membership.Snapshot) float64 {
	workers := map[string]int{}
	for _, m := range s.Members {
		if m.Role == platform.RoleSidecar {
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
		r = routing.New(f.router)
		f.routers[name] = r
	}
	s := &serviceFleet{router: r, members: map[string]membership.Member{}}
	var workers []routing.Worker
	for _, m := range snapshot.Usable(name) {
		s.members[m.ID] = m
		workers = append(workers, f.worker(m))
	}
	s.fleet = routing.NewFleet(workers)
	f.services[name] = s
	return s
}

// worker describes a member to the router. A worker that has not reported yet is not offered,
// since what it has loaded is not known; a probe of membership brings its first report.
func (f *Fleet) worker(m membership.Member) routing.Worker {
	w := routing.Worker{ID: m.ID, DataCentre: m.DataCentre, Role: platform.RoleMixed, Load: f.tracker.Worker(m.ID)}
	r := f.reports[m.ID]
	if r == nil {
		w.Draining = true
		return w
	}
	w.Draining = r.GetDraining() || withoutModels(r)
	w.Models = r.GetModels()
	if r.GetRole() != "" {
		w.Role = platform.Role(r.GetRole())
	}
	return w
}

// withoutModels reports whether a worker is an engine that has no model loaded, or that does not
// answer. To the router, no models mean a plain backend server, which takes any request.
func withoutModels(r *v1.LoadReport) bool { return !r.GetPlain() && len(r.GetModels()) == 0 }

// Pick implements Picker.
func (f *Fleet) Pick(p PickRequest) (Worker, string, error) {
	s := f.service(p.Service)
	q := f.request(p)
	d := s.router.Choose(&q, s.fleet, time.Now())
	f.probeOld(s, &d)
	if d.Decode == nil {
		return Worker{}, "", fmt.Errorf("%w: %d considered", errNoWorker, d.Considered)
	}
	s.router.Sent(&q, &d, time.Now())
	w := s.worker(d.Decode)
	if !d.Single() && p.Repeatable {
		prefill := s.worker(d.Prefill)
		w.Prefill = &prefill
	}
	return w, fmt.Sprintf("%s; %d considered, expected first token %s, total %s",
		d.Reason, d.Considered, d.FirstToken.Round(time.Millisecond), d.Total.Round(time.Millisecond)), nil
}

func (s *serviceFleet) worker(w *routing.Worker) Worker {
	m := s.members[w.ID]
	return Worker{Instance: m.ID, Address: m.Address, Incarnation: m.Incarnation}
}

// Expect returns what the best worker would deliver, for admission.
func (f *Fleet) Expect(p PickRequest) routing.Decision {
	s := f.service(p.Service)
	q := f.request(p)
	return s.router.Choose(&q, s.fleet, time.Now())
}

func (f *Fleet) request(p PickRequest) routing.Request {
	return routing.Request{
		Model: p.Model, DataCentre: f.dataCentre, PromptTokens: p.PromptTokens, OutputTokens: p.MaxTokens,
		Blocks: p.Prefix, FirstToken: p.FirstToken, BetweenTokens: p.BetweenTokens, Exclude: p.Tried,
	}
}

// work returns what an attempt adds to the worker that decodes, and to the one that prefills if
// that is another one.
func work(w Worker, p PickRequest) (decode, prefill load.Work) {
	pieces := func(tokens int) int { return (tokens + platform.PieceTokens - 1) / platform.PieceTokens }
	decode = load.Work{PrefillTokens: p.PromptTokens, Decode: true, Pieces: pieces(p.PromptTokens + p.MaxTokens)}
	if w.Prefill != nil {
		prefill = load.Work{PrefillTokens: p.PromptTokens, Pieces: pieces(p.PromptTokens)}
		decode.PrefillTokens = 0
	}
	return decode, prefill
}

// Sent implements Picker.
func (f *Fleet) Sent(w Worker, p PickRequest) {
	now := time.Now()
	decode, prefill := work(w, p)
	t := f.tracker.Worker(w.Instance).Sent(decode, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tickets[ticketKey{w.Instance, p.RequestID}] = t
	if w.Prefill != nil {
		f.tickets[ticketKey{w.Prefill.Instance, p.RequestID}] = f.tracker.Worker(w.Prefill.Instance).Sent(prefill, now)
	}
}

// takeTicket returns and forgets the ticket of an attempt.
func (f *Fleet) takeTicket(worker, request string) load.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := ticketKey{worker, request}
	t := f.tickets[key]
	delete(f.tickets, key)
	return t
}

// Done implements Picker.
func (f *Fleet) Done(w Worker, p PickRequest, r Result) {
	now := time.Now()
	worker := f.tracker.Worker(w.Instance)
	ticket := f.takeTicket(w.Instance, p.RequestID)
	worker.Finished(ticket, now)
	if w.Prefill != nil {
		worker, ticket = f.tracker.Worker(w.Prefill.Instance), f.takeTicket(w.Prefill.Instance, p.RequestID)
		worker.Finished(ticket, now)
	}
	if r.Tokens > 0 {
		worker.FirstToken(ticket, now.Add(r.FirstToken-r.Elapsed))
	}
	if r.Tokens > 1 && r.FirstToken > 0 {
		f.tracker.Worker(w.Instance).BetweenTokens((r.Elapsed-r.FirstToken)/time.Duration(r.Tokens-1), now)
	}
	if r.Load != nil {
		f.Report(r.Load, now)
	}
	f.view.Observe(now, evidence(w, r, now))
}

// evidence converts the end of an attempt to an observation about the member.
func evidence(w Worker, r Result, now time.Time) membership.Evidence {
	e := membership.Evidence{
		ID: w.Instance, Address: w.Address, Incarnation: r.Load.GetIncarnation(),
		Kind: membership.Answered, Started: now.Add(-r.Elapsed),
	}
	switch {
	case r.Refused:
		e.Kind = membership.Refused
	case (r.Silent || r.Broken) && r.Tokens == 0:
		// A connection that breaks before any frame is no answer: something other than the worker may
		// accept connections at its address.
		e.Kind = membership.Silent
	case r.Load.GetDraining():
		e.Kind = membership.Draining
	}
	return e
}

// Report takes a load report. The workers of the service are rebuilt if the worker's role,
// models or drain state have changed.
func (f *Fleet) Report(r *v1.LoadReport, now time.Time) {
	f.tracker.Worker(r.GetInstance()).Observe(load.Report{
		Sequence: r.GetSequence(), Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
		Load: platform.EngineLoad{
			Running: int(r.GetRunning()), Queued: int(r.GetQueued()),
			PrefillTokens: int64(r.GetPrefillTokens()), DecodeTokens: int64(r.GetDecodeTokens()),
			FreePieces: int(r.GetFreePieces()), TotalPieces: int(r.GetTotalPieces()),
		},
	}, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.reports[r.GetInstance()]
	if old.GetIncarnation() == r.GetIncarnation() && r.GetSequence() < old.GetSequence() {
		return
	}
	f.takeCacheEvents(r, now)
	f.reports[r.GetInstance()] = r
	f.reported[r.GetInstance()] = now
	if r.GetRole() != "" {
		f.tracker.Worker(r.GetInstance()).SetRole(platform.Role(r.GetRole()))
	}
	if old == nil || old.GetRole() != r.GetRole() || old.GetDraining() != r.GetDraining() || !slices.Equal(old.GetModels(), r.GetModels()) {
		clear(f.services)
	}
}

// takeCacheEvents passes the cache events that are new to the routers. The caller holds mu.
func (f *Fleet) takeCacheEvents(r *v1.LoadReport, now time.Time) {
	all := r.GetCacheEvents()
	if len(all) == 0 {
		return
	}
	seen := f.cacheSeen[r.GetInstance()]
	last := all[len(all)-1].GetSequence()
	if last < seen {
		// A restarted engine numbers its events anew.
		seen = 0
	}
	var fresh []platform.CacheEvent
	for _, e := range all {
		if e.GetSequence() > seen {
			fresh = append(fresh, platform.CacheEvent{Sequence: e.GetSequence(), Prefix: e.GetPrefix(), Evicted: e.GetEvicted()})
		}
	}
	f.cacheSeen[r.GetInstance()] = last
	if len(fresh) == 0 {
		return
	}
	for _, s := range f.services {
		if w := s.fleet.Worker(r.GetInstance()); w != nil {
			s.router.CacheEvents(w, fresh, now)
		}
	}
}

// Reported reports whether a worker of each listed service has reported. Before that, the router
// offers no worker of the service.
func (f *Fleet) Reported() bool {
	snapshot := f.view.Snapshot()
	f.mu.RLock()
	defer f.mu.RUnlock()
	services := map[string]bool{}
	for _, m := range snapshot.Members {
		if m.Role == platform.RoleSidecar {
			services[m.Service] = services[m.Service] || f.reports[m.ID] != nil
		}
	}
	for _, reported := range services {
		if !reported {
			return false
		}
	}
	return len(services) > 0
}

// probeOld asks the workers whose reports are old for fresh ones, in the background.
func (f *Fleet) probeOld(s *serviceFleet, d *routing.Decision) {
	for _, w := range d.Probe {
		if w == nil {
			return
		}
		if !f.startProbe(w.ID) {
			continue
		}
		m := s.members[w.ID]
		go func() {
			f.refresh(context.Background(), m)
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.probing, m.ID)
		}()
	}
}

// startProbe reports whether a decision may probe a worker: no other probe of it is under way, and
// the rate allows it.
func (f *Fleet) startProbe(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probing[id] || !f.probes.Allow() {
		return false
	}
	f.probing[id] = true
	return true
}

// Probe implements membership.Prober. It also takes the load report of the answer.
func (f *Fleet) Probe(ctx context.Context, m membership.Member) (membership.ProbeResult, error) {
	if m.Role != platform.RoleSidecar {
		return f.probeEntry(ctx, m)
	}
	resp, err := f.clients.Worker(m.Address).Probe(ctx, connect.NewRequest(&v1.ProbeRequest{Cluster: f.cluster}))
	if err != nil {
		return membership.ProbeResult{}, probeError(err)
	}
	r := resp.Msg.GetLoad()
	if r.GetInstance() != m.ID {
		return membership.ProbeResult{}, fmt.Errorf("address %s belongs to instance %q", m.Address, r.GetInstance())
	}
	f.Report(r, time.Now())
	return membership.ProbeResult{Incarnation: r.GetIncarnation(), Draining: r.GetDraining()}, nil
}

func (f *Fleet) probeEntry(ctx context.Context, m membership.Member) (membership.ProbeResult, error) {
	resp, err := f.clients.Peer(m.Address).Status(ctx, connect.NewRequest(&v1.StatusRequest{Cluster: f.cluster}))
	if err != nil {
		return membership.ProbeResult{}, probeError(err)
	}
	return membership.ProbeResult{Incarnation: resp.Msg.GetIncarnation()}, nil
}

func probeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", membership.ErrConnectionRefused, err)
	}
	return err
}

// MeanSpeed returns the mean learned speed of the given workers.
func (f *Fleet) MeanSpeed(instances []string) load.Speed {
	if len(instances) == 0 {
		return load.DefaultSpeed()
	}
	var sum load.Speed
	now := time.Now()
	for _, id := range instances {
		s := f.tracker.Worker(id).Estimate(now).Speed
		sum.PrefillSecondsPerToken += s.PrefillSecondsPerToken
		sum.StepSeconds += s.StepSeconds
		sum.StepSecondsPerSequence += s.StepSecondsPerSequence
		sum.ChunkTokens += s.ChunkTokens
	}
	n := float64(len(instances))
	return load.Speed{
		PrefillSecondsPerToken: sum.PrefillSecondsPerToken / n, StepSeconds: sum.StepSeconds / n,
		StepSecondsPerSequence: sum.StepSecondsPerSequence / n, ChunkTokens: sum.ChunkTokens / n,
	}
}

// Status lists the workers for operators.
func (f *Fleet) Status() []*v1.WorkerStatus {
	snapshot := f.view.Snapshot()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var all []*v1.WorkerStatus
	for _, m := range snapshot.Members {
		if m.Role != platform.RoleSidecar {
			continue
		}
		w := &v1.WorkerStatus{
			Instance: m.ID, Address: m.Address, Service: m.Service, DataCentre: m.DataCentre, State: string(m.View),
		}
		if r := f.reports[m.ID]; r != nil {
			w.Load = proto.CloneOf(r)
			w.Load.AgeMs += uint32(time.Since(f.reported[m.ID]).Milliseconds())
		}
		all = append(all, w)
	}
	return all
}

// Pools returns the names of the pools of the model services, sorted.
func Pools(services []*document.Service) []string {
	var names []string
	for _, s := range services {
		if s.Type != document.TypeModel {
			continue
		}
		for _, p := range s.Pools {
			names = append(names, PoolName(s.Service, p.DataCentre))
		}
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}

// PoolName names the pool of a service in a data centre.
func PoolName(service, dataCentre string) string { return service + "." + dataCentre }
