package faults_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/testcluster"
)

const (
	// configApplyBound is the time within which every process must use an accepted configuration (I9).
	configApplyBound     = 8 * time.Second
	revisionPollInterval = 250 * time.Millisecond
	revisionCallTimeout  = time.Second
	// observationSlack allows for the delay of the poll that observes the revision on a busy machine.
	observationSlack = revisionPollInterval + revisionCallTimeout
)

// observation is a revision reported by a process.
type observation struct {
	at          time.Time
	incarnation string
	revision    uint64
}

// acceptedRevision is a revision that was accepted into the configuration store.
type acceptedRevision struct {
	service  string
	revision uint64
	at       time.Time
}

// revisionTracker checks that the revision that a process reports never decreases within an incarnation, and
// reaches each accepted revision within configApplyBound unless the process was disturbed (I9).
type revisionTracker struct {
	clients *rpc.Clients

	mu       sync.Mutex
	observed map[string][]observation // by entry or worker ID and service, separated by a space
	accepted []acceptedRevision
	// disturbances holds, by entry or worker ID, the periods in which a process was stopped, paused or cut
	// off. The empty ID stands for all processes, for example while the key-value service is down or slow.
	disturbances map[string][]window
	regressions  []string
}

func newRevisionTracker(c *testcluster.Cluster) *revisionTracker {
	return &revisionTracker{clients: c.Clients(), observed: map[string][]observation{}, disturbances: map[string][]window{}}
}

// run polls the revisions of all entries and workers until ctx ends.
func (r *revisionTracker) run(ctx context.Context, c *testcluster.Cluster) {
	var wg sync.WaitGroup
	startPoller := func(poll func(context.Context)) {
		wg.Go(func() {
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(ctx, revisionCallTimeout)
				poll(call)
				cancel()
				time.Sleep(revisionPollInterval)
			}
		})
	}
	for _, e := range c.Entries {
		startPoller(func(ctx context.Context) {
			s, err := e.Status(ctx, r.clients)
			if err != nil {
				return
			}
			for _, d := range s.GetDocuments() {
				r.observe(e.ID, d.GetService(), observation{time.Now(), s.GetIncarnation(), d.GetRevision()})
			}
		})
	}
	for _, w := range c.Workers {
		startPoller(func(ctx context.Context) {
			if p, err := w.Probe(ctx, r.clients); err == nil {
				r.observe(w.ID, w.Pool.Service, observation{time.Now(), p.GetLoad().GetIncarnation(), p.GetConfigRevision()})
			}
		})
	}
	wg.Wait()
}

// observe records an observation if its revision or incarnation differs from the previous one. A
// revision that decreases within one incarnation is a violation.
func (r *revisionTracker) observe(process, service string, s observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := process + " " + service
	observations := r.observed[key]
	if n := len(observations); n > 0 && observations[n-1].incarnation == s.incarnation {
		if s.revision < observations[n-1].revision {
			r.regressions = append(r.regressions, fmt.Sprintf("I9: %s went from revision %d back to %d", key, observations[n-1].revision, s.revision))
		}
		if s.revision == observations[n-1].revision {
			return
		}
	}
	r.observed[key] = append(observations, s)
}

func (r *revisionTracker) addAccepted(service string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = append(r.accepted, acceptedRevision{service, revision, time.Now()})
}

// addDisturbance records that a process, given by its entry or worker ID, was down, paused or cut off. An
// empty ID stands for all processes.
func (r *revisionTracker) addDisturbance(process, cause string, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances[process] = append(r.disturbances[process], window{name: cause, from: from, to: to})
}

// check returns the violations so far: decreasing revisions, and accepted revisions that an
// undisturbed process did not report in time.
func (r *revisionTracker) check(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations := append([]string(nil), r.regressions...)
	for _, a := range r.accepted {
		deadline := a.at.Add(configApplyBound + observationSlack)
		if now.Before(deadline) {
			continue
		}
		for key, observations := range r.observed {
			process, service, _ := strings.Cut(key, " ")
			if service != a.service || r.wasDisturbed(process, a.at, deadline) || reached(observations, a.revision, deadline) {
				continue
			}
			violations = append(violations, fmt.Sprintf("I9: %s did not have revision %d of %s within %s of %s",
				process, a.revision, service, configApplyBound, a.at.Format(time.RFC3339Nano)))
		}
	}
	return violations
}

func (r *revisionTracker) wasDisturbed(process string, from, to time.Time) bool {
	for _, name := range []string{"", process} {
		for _, w := range r.disturbances[name] {
			if w.from.Before(to) && w.to.After(from) {
				return true
			}
		}
	}
	return false
}

func reached(observations []observation, revision uint64, by time.Time) bool {
	for _, s := range observations {
		if s.revision >= revision && s.at.Before(by) {
			return true
		}
	}
	return false
}
