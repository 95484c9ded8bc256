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
	refreshProbes = 6
	// refreshUnready and refreshReady are the ages above which the report of a worker that
	// cannot take work, or that can, is refreshed.
	refreshUnready = time.Second
	refreshReady   = 10 * time.Second
	// learnAbove is the number of workers without a report above which an entry asks a peer. Probes
	// alone would take 107 s to go round 640 workers, while the first ones get all work.
	learnAbove = 2 * refreshProbes
	// learnEvery bounds the questions to peers. An answer about 640 workers has some 20 KB, which
	// keeps an entry that is learning near its budget of 4 KB/s.
	learnEvery   = 5 * time.Second
	learnTimeout = 2 * time.Second
)

// Run refreshes the reports of workers that traffic does not reach, such as those that are
// draining or have no model loaded. It returns when ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	var learned time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if peers := f.reportSources(); len(peers) > 0 && time.Since(learned) >= learnEvery {
			learned = time.Now()
			f.learn(ctx, peers[rand.IntN(len(peers))]) //nolint:gosec // a choice between peers needs no secrecy
		}
		var wg sync.WaitGroup
		for _, m := range f.due(time.Now()) {
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
func (f *Fleet) due(now time.Time) []membership.Member {
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
		limit := refreshReady
		if r == nil || r.GetDraining() || withoutModels(r) {
			limit = refreshUnready
		}
		if age := now.Sub(f.reported[m.ID]).Seconds() / limit.Seconds(); age >= 1 {
			all = append(all, candidate{m, age})
		}
	}
	f.mu.RUnlock()
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.age, a.age) })
	var due []membership.Member
	for _, c := range all[:min(len(all), refreshProbes)] {
		due = append(due, c.member)
	}
	return due
}

// reportSources returns the live entries if many workers have no report yet, otherwise none.
func (f *Fleet) reportSources() []external.Instance {
	snapshot := f.view.Snapshot()
	unknown := 0
	f.mu.RLock()
	for _, m := range snapshot.Members {
		if m.Role == external.RoleSidecar && m.View == membership.StateLive && f.reports[m.ID] == nil {
			unknown++
		}
	}
	f.mu.RUnlock()
	if unknown <= learnAbove {
		return nil
	}
	return snapshot.Entries()
}

// learn takes a peer's reports about workers that have none here. Their age is not known, so they
// count as due for a refresh: they tell what a worker serves, and hardly how loaded it is.
func (f *Fleet) learn(ctx context.Context, peer external.Instance) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
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
		r.AgeMs = max(r.GetAgeMs(), uint32(refreshReady.Milliseconds()))
		f.Report(r, now)
		f.mu.Lock()
		f.reported[m.ID] = now.Add(-refreshReady)
		f.mu.Unlock()
	}
}

func (f *Fleet) hasReport(id string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.reports[id] != nil
}
