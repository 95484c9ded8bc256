package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/routing"
)

// ApplyReport applies a load report. A report that arrives out of order does not replace a newer one of
// the same incarnation. If the role, the models or the drain state of the worker has changed, the
// cached routing state of all services is discarded and built again when it is needed.
func (f *Fleet) ApplyReport(r *v1.LoadReport, now time.Time) {
	f.tracker.Worker(r.GetInstance()).Observe(load.Report{
		Sequence: r.GetSequence(), Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
		Load: external.EngineLoad{
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
	f.applyCacheEventsLocked(r, now)
	f.reports[r.GetInstance()] = r
	f.reportedAt[r.GetInstance()] = now
	if r.GetRole() != "" {
		f.tracker.Worker(r.GetInstance()).SetRole(external.EngineRole(r.GetRole()))
	}
	if old == nil || old.GetRole() != r.GetRole() || old.GetDraining() != r.GetDraining() || !slices.Equal(old.GetModels(), r.GetModels()) {
		clear(f.services)
	}
}

// applyCacheEventsLocked passes new cache events to the routers. The caller holds mu.
func (f *Fleet) applyCacheEventsLocked(r *v1.LoadReport, now time.Time) {
	all := r.GetCacheEvents()
	if len(all) == 0 {
		return
	}
	seen := f.lastCacheEvent[r.GetInstance()]
	last := all[len(all)-1].GetSequence()
	if last < seen {
		// The engine was restarted: its sequence numbers start again.
		seen = 0
	}
	var fresh []external.CacheEvent
	for _, e := range all {
		if e.GetSequence() > seen {
			fresh = append(fresh, external.CacheEvent{Sequence: e.GetSequence(), Prefix: e.GetPrefix(), Evicted: e.GetEvicted()})
		}
	}
	f.lastCacheEvent[r.GetInstance()] = last
	if len(fresh) == 0 {
		return
	}
	for _, s := range f.services {
		if w := s.candidates.Worker(r.GetInstance()); w != nil {
			s.router.ObserveCacheEvents(w, fresh, now)
		}
	}
}

// AllServicesReported returns true if every service in the membership list has a worker with a report. The
// router chooses no worker of a service without reports. It returns false while the list is empty.
func (f *Fleet) AllServicesReported() bool {
	snapshot := f.view.Snapshot()
	f.mu.RLock()
	defer f.mu.RUnlock()
	services := map[string]bool{}
	for _, m := range snapshot.Members {
		if m.Role == external.RoleSidecar {
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

// probeStale probes the workers of a decision whose reports are out of date, in the background.
func (f *Fleet) probeStale(s *serviceWorkers, d *routing.Decision) {
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
			delete(f.probesInFlight, m.ID)
		}()
	}
}

// startProbe marks a worker as being probed. It returns false if a probe of the worker is already in
// flight or the rate limit is reached.
func (f *Fleet) startProbe(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probesInFlight[id] || !f.probeLimiter.Allow() {
		return false
	}
	f.probesInFlight[id] = true
	return true
}

// Probe implements membership.Prober. It also applies the load report in the response.
func (f *Fleet) Probe(ctx context.Context, m membership.Member) (membership.ProbeResult, error) {
	if m.Role != external.RoleSidecar {
		return f.probeEntry(ctx, m)
	}
	resp, err := f.clients.Worker(m.Address).Probe(ctx, connect.NewRequest(&v1.ProbeRequest{Cluster: f.cluster}))
	if err != nil {
		return membership.ProbeResult{}, probeError(err)
	}
	r := resp.Msg.GetLoad()
	if r.GetInstance() != m.ID {
		return membership.ProbeResult{}, fmt.Errorf("probe of address %s was answered by instance %q", m.Address, r.GetInstance())
	}
	f.ApplyReport(r, time.Now())
	return membership.ProbeResult{Incarnation: r.GetIncarnation(), Draining: r.GetDraining()}, nil
}

// probeEntry probes an entry by a Status call.
func (f *Fleet) probeEntry(ctx context.Context, m membership.Member) (membership.ProbeResult, error) {
	resp, err := f.clients.Peer(m.Address).Status(ctx, connect.NewRequest(&v1.StatusRequest{Cluster: f.cluster}))
	if err != nil {
		return membership.ProbeResult{}, probeError(err)
	}
	return membership.ProbeResult{Incarnation: resp.Msg.GetIncarnation()}, nil
}

// probeError wraps all dial errors, including timeouts, with membership.ErrConnectionRefused.
func probeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", membership.ErrConnectionRefused, err)
	}
	return err
}

// MeanSpeed returns the mean of the estimated speeds of the given workers, or the default speed if
// there are none.
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

// Status returns the state and the last report of all workers.
func (f *Fleet) Status() []*v1.WorkerStatus {
	snapshot := f.view.Snapshot()
	f.mu.RLock()
	defer f.mu.RUnlock()
	var all []*v1.WorkerStatus
	for _, m := range snapshot.Members {
		if m.Role != external.RoleSidecar {
			continue
		}
		w := &v1.WorkerStatus{
			Instance: m.ID, Address: m.Address, Service: m.Service, DataCentre: m.DataCentre, State: string(m.DerivedState),
		}
		if r := f.reports[m.ID]; r != nil {
			w.Load = proto.CloneOf(r)
			w.Load.AgeMs += uint32(time.Since(f.reportedAt[m.ID]).Milliseconds())
		}
		all = append(all, w)
	}
	return all
}
