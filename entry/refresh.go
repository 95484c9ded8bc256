package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/membership"
	"github.com/quetzallug/quetzallug/platform"
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
)

// Run refreshes the reports of workers that traffic does not reach, such as those that are
// draining or have no model loaded. It returns when ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var wg sync.WaitGroup
		for _, m := range f.due(time.Now()) {
			wg.Go(func() {
				call, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				f.refresh(call, m)
			})
		}
		wg.Wait()
	}
}

// refresh probes a member and tells membership of its answer. Membership's own probes back off up
// to 15 s, so an engine that has been changed a few times would stay unused for seconds after its
// change is done. Failures are left to membership.
func (f *Fleet) refresh(ctx context.Context, m membership.Member) {
	e := membership.Evidence{ID: m.ID, Kind: membership.Answered, Address: m.Address, Started: time.Now()}
	r, err := f.Probe(ctx, m)
	if err != nil {
		return
	}
	e.Incarnation = r.Incarnation
	if r.Draining {
		e.Kind = membership.Draining
	}
	f.view.Observe(time.Now(), e)
}

// due returns the members to probe now, the longest overdue first.
func (f *Fleet) due(now time.Time) []membership.Member {
	type candidate struct {
		member  membership.Member
		overdue time.Duration
	}
	var all []candidate
	f.mu.RLock()
	for _, m := range f.view.Snapshot().Members {
		if m.Role != platform.RoleSidecar || m.View == membership.StateEjected {
			continue
		}
		r := f.reports[m.ID]
		limit := refreshReady
		if r == nil || r.GetDraining() || withoutModels(r) {
			limit = refreshUnready
		}
		if over := now.Sub(f.reported[m.ID]) - limit; over >= 0 {
			all = append(all, candidate{m, over})
		}
	}
	f.mu.RUnlock()
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.overdue, a.overdue) })
	var due []membership.Member
	for _, c := range all[:min(len(all), refreshProbes)] {
		due = append(due, c.member)
	}
	return due
}
