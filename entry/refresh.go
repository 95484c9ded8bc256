package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/membership"
)

const (
	// refreshInterval is the interval between rounds of refresh probes.
	refreshInterval = time.Second
	// maxRefreshProbes limits the probes of one round. A probe transfers about 400 bytes, so an entry
	// stays below its budget of 4 KB/s for control traffic.
	maxRefreshProbes = 6
	// maxReportAgeUnready and maxReportAgeReady are the ages at which the report of a worker is
	// refreshed. A worker is unready if it is draining or has no models or no report.
	maxReportAgeUnready = time.Second
	maxReportAgeReady   = 10 * time.Second
	// peerReportThreshold is the number of workers without a report above which an entry fetches the
	// reports of a peer. With probes alone, an entry would need 107 s to learn the models of 640
	// workers, and until then would send all requests to those that it probed first.
	peerReportThreshold = 2 * maxRefreshProbes
	// peerReportInterval is the shortest interval between such fetches. A response for 640 workers has
	// about 20 KB, so the interval limits fetches to about 4 KB/s, the budget for control traffic.
	peerReportInterval = 5 * time.Second
	peerReportTimeout  = 2 * time.Second
)

// Run refreshes the reports of workers that receive no requests, such as those that are draining or
// have no model loaded. While many workers have no report, it also fetches reports from another entry.
// It returns when ctx is done.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	var lastFetch time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if peers := f.reportSources(); len(peers) > 0 && time.Since(lastFetch) >= peerReportInterval {
			lastFetch = time.Now()
			f.fetchPeerReports(ctx, peers[rand.IntN(len(peers))]) //nolint:gosec // not security-sensitive
		}
		var wg sync.WaitGroup
		for _, m := range f.dueForRefresh(time.Now()) {
			wg.Go(func() {
				f.refresh(ctx, m)
			})
		}
		wg.Wait()
	}
}

// refresh probes a member and passes the result to membership, so that a dead or paused worker is
// detected even if it gets few requests.
func (f *Fleet) refresh(ctx context.Context, m membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started := time.Now()
	res, err := f.Probe(ctx, m)
	f.view.ObserveProbe(m, started, res, err)
}

// dueForRefresh returns the members to probe now. Members are ordered by the age of their report
// relative to its limit, so that in a large fleet a worker that becomes ready is noticed before all
// others have been probed.
func (f *Fleet) dueForRefresh(now time.Time) []membership.Member {
	type candidate struct {
		member membership.Member
		age    float64 // as a multiple of the limit
	}
	var all []candidate
	f.mu.RLock()
	for _, m := range f.view.Snapshot().Members {
		if m.Role != external.RoleSidecar || m.DerivedState == membership.StateEjected {
			continue
		}
		r := f.reports[m.ID]
		limit := maxReportAgeReady
		if r == nil || r.GetDraining() || hasNoModels(r) {
			limit = maxReportAgeUnready
		}
		if age := now.Sub(f.reportedAt[m.ID]).Seconds() / limit.Seconds(); age >= 1 {
			all = append(all, candidate{m, age})
		}
	}
	f.mu.RUnlock()
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.age, a.age) })
	var due []membership.Member
	for _, c := range all[:min(len(all), maxRefreshProbes)] {
		due = append(due, c.member)
	}
	return due
}

// reportSources returns the entries to fetch reports from. It returns none unless many workers have no
// report yet.
func (f *Fleet) reportSources() []external.Instance {
	snapshot := f.view.Snapshot()
	unreported := 0
	f.mu.RLock()
	for _, m := range snapshot.Members {
		if m.Role == external.RoleSidecar && m.DerivedState == membership.StateLive && f.reports[m.ID] == nil {
			unreported++
		}
	}
	f.mu.RUnlock()
	if unreported <= peerReportThreshold {
		return nil
	}
	return snapshot.Entries()
}

// fetchPeerReports fetches the reports of a peer and applies those of workers without a report. They
// show which models a worker serves, but their load may be out of date, so they are marked as due
// for a refresh.
func (f *Fleet) fetchPeerReports(ctx context.Context, peer external.Instance) {
	ctx, cancel := context.WithTimeout(ctx, peerReportTimeout)
	defer cancel()
	resp, err := f.clients.Peer(peer.Address).Status(ctx, connect.NewRequest(&v1.StatusRequest{Cluster: f.cluster}))
	if err != nil {
		return // probes continue, and the next fetch may choose another peer
	}
	now := time.Now()
	snapshot := f.view.Snapshot()
	for _, w := range resp.Msg.GetWorkers() {
		r := w.GetLoad()
		m, ok := snapshot.Member(r.GetInstance())
		if !ok || m.Address != w.GetAddress() || f.hasReport(m.ID) {
			continue
		}
		r.AgeMs = max(r.GetAgeMs(), uint32(maxReportAgeReady.Milliseconds()))
		f.ApplyReport(r, now)
		f.mu.Lock()
		f.reportedAt[m.ID] = now.Add(-maxReportAgeReady)
		f.mu.Unlock()
	}
}

func (f *Fleet) hasReport(id string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.reports[id] != nil
}
