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
	// refreshInterval is the time between looks for workers to probe.
	refreshInterval = time.Second
	// refreshProbes bounds the probes of one look. A probe moves about 400 bytes, so that an
	// entry stays below its budget of 4 KB/s for control.
	maxRefreshProbes = 6
	// refreshUnready and refreshReady are the ages above which the report of a worker that
	// cannot take work, or that can, is refreshed.
	maxReportAgeUnready = time.Second
	maxReportAgeReady   = 10 * time.Second
	// learnAbove is the number of workers without a report above which an entry asks a peer. Probes
	// alone would take 107 s to go round 640 workers, while the first ones get all work.
	peerReportThreshold = 2 * maxRefreshProbes
	// learnEvery bounds the questions to peers. An answer about 640 workers has some 20 KB, which
	// keeps an entry that is learning near its budget of 4 KB/s.
	peerReportInterval = 5 * time.Second
	peerReportTimeout  = 2 * time.Second
)

// Run refreshes the reports of workers that traffic does not reach, such as those that are
// draining or have no model loaded. It returns when ctx ends.
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
		if peers := f.reportPeers(); len(peers) > 0 && time.Since(lastFetch) >= peerReportInterval {
			lastFetch = time.Now()
			f.fetchPeerReports(ctx, peers[rand.IntN(len(peers))]) //nolint:gosec // a choice between peers needs no secrecy
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

// refresh probes a member and takes the outcome as evidence about it, so that a worker that gets
// little traffic is also found to be dead or paused.
func (f *Fleet) refresh(ctx context.Context, m membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started := time.Now()
	res, err := f.Probe(ctx, m)
	f.view.ObserveProbe(m, started, res, err)
}

// due returns the members to probe now. The first ones are those whose report is oldest in relation
// to its limit, so that a worker that becomes ready is seen before the round of a large fleet ends.
func (f *Fleet) dueForRefresh(now time.Time) []membership.Member {
	type candidate struct {
		member membership.Member
		age    float64 // as a multiple of the limit
	}
	var all []candidate
	f.mu.RLock()
	for _, m := range f.view.Snapshot().Members {
		if m.Role != external.RoleSidecar || m.View == membership.StateEjected {
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

// reportSources returns the live entries if many workers have no report yet, otherwise none.
func (f *Fleet) reportPeers() []external.Instance {
	snapshot := f.view.Snapshot()
	unreported := 0
	f.mu.RLock()
	for _, m := range snapshot.Members {
		if m.Role == external.RoleSidecar && m.View == membership.StateLive && f.reports[m.ID] == nil {
			unreported++
		}
	}
	f.mu.RUnlock()
	if unreported <= peerReportThreshold {
		return nil
	}
	return snapshot.Entries()
}

// learn takes a peer's reports about workers that have none here. Their age is not known, so they
// count as due for a refresh: they tell what a worker serves, and hardly how loaded it is.
func (f *Fleet) fetchPeerReports(ctx context.Context, peer external.Instance) {
	ctx, cancel := context.WithTimeout(ctx, peerReportTimeout)
	defer cancel()
	resp, err := f.clients.Peer(peer.Address).Status(ctx, connect.NewRequest(&v1.StatusRequest{Cluster: f.cluster}))
	if err != nil {
		return // probes go on, and the next question goes to another peer
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
		f.Report(r, now)
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
