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
	// inForceBound is the time after which an accepted configuration is in force everywhere (I9).
	inForceBound = 8 * time.Second
	revisionPoll = 250 * time.Millisecond
	revisionCall = time.Second
	// forwardSlack covers the poll that sees the revision and a busy machine's scheduling of it.
	forwardSlack = revisionPoll + revisionCall
)

// sighting is a revision that a process reported.
type sighting struct {
	at          time.Time
	incarnation string
	revision    uint64
}

// accepted is a revision that an operator's tool reported as accepted.
type accepted struct {
	service  string
	revision uint64
	at       time.Time
}

// revisions watches the revisions that all processes report (I9).
type revisions struct {
	clients *rpc.Clients

	mu       sync.Mutex
	seen     map[string][]sighting // by process and service
	accepted []accepted
	// disturbed holds the periods in which a process or its platform was not up.
	disturbed map[string][]window
	missed    []string
}

func newRevisions(c *testcluster.Cluster) *revisions {
	return &revisions{clients: c.Clients(), seen: map[string][]sighting{}, disturbed: map[string][]window{}}
}

func (r *revisions) run(ctx context.Context, c *testcluster.Cluster) {
	var wg sync.WaitGroup
	follow := func(look func(context.Context)) {
		wg.Go(func() {
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(ctx, revisionCall)
				look(call)
				cancel()
				time.Sleep(revisionPoll)
			}
		})
	}
	for _, e := range c.Entries {
		follow(func(ctx context.Context) {
			s, err := e.Status(ctx, r.clients)
			if err != nil {
				return
			}
			for _, d := range s.GetDocuments() {
				r.saw(e.ID, d.GetService(), sighting{time.Now(), s.GetIncarnation(), d.GetRevision()})
			}
		})
	}
	for _, w := range c.Workers {
		follow(func(ctx context.Context) {
			if p, err := w.Probe(ctx, r.clients); err == nil {
				r.saw(w.ID, w.Pool.Service, sighting{time.Now(), p.GetLoad().GetIncarnation(), p.GetConfigRevision()})
			}
		})
	}
	wg.Wait()
}

// saw keeps a sighting that differs from the last one.
func (r *revisions) saw(process, service string, s sighting) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := process + " " + service
	list := r.seen[key]
	if n := len(list); n > 0 && list[n-1].incarnation == s.incarnation {
		if s.revision < list[n-1].revision {
			r.missed = append(r.missed, fmt.Sprintf("I9: %s went from revision %d back to %d", key, list[n-1].revision, s.revision))
		}
		if s.revision == list[n-1].revision {
			return
		}
	}
	r.seen[key] = append(list, s)
}

func (r *revisions) accept(service string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = append(r.accepted, accepted{service, revision, time.Now()})
}

// disturb notes that a process, or all with an empty name, was not up or had no platform.
func (r *revisions) disturb(process, cell string, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[process] = append(r.disturbed[process], window{cell: cell, from: from, to: to})
}

// check reports each revision that was not in force in time at a process that was up.
func (r *revisions) check(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := append([]string(nil), r.missed...)
	for _, a := range r.accepted {
		due := a.at.Add(inForceBound + forwardSlack)
		if now.Before(due) {
			continue
		}
		for key, list := range r.seen {
			process, service, _ := strings.Cut(key, " ")
			if service != a.service || r.wasDisturbed(process, a.at, due) || reached(list, a.revision, due) {
				continue
			}
			found = append(found, fmt.Sprintf("I9: %s did not have revision %d of %s within %s of %s",
				process, a.revision, service, inForceBound, a.at.Format(time.RFC3339Nano)))
		}
	}
	return found
}

func (r *revisions) wasDisturbed(process string, from, to time.Time) bool {
	for _, name := range []string{"", process} {
		for _, w := range r.disturbed[name] {
			if w.from.Before(to) && w.to.After(from) {
				return true
			}
		}
	}
	return false
}

func reached(list []sighting, revision uint64, by time.Time) bool {
	for _, s := range list {
		if s.revision >= revision && s.at.Before(by) {
			return true
		}
	}
	return false
}
