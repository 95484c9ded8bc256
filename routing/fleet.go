package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/load"
)

// LoadSource gives a worker's load at a time. *load.Worker implements it.
type LoadSource interface {
	Estimate(now time.Time) load.Estimate
}

// FixedLoad is a LoadSource that never changes.
type FixedLoad load.Estimate

// Estimate implements LoadSource.
func (f FixedLoad) Estimate(time.Time) load.Estimate { return load.Estimate(f) }

// Worker is one worker as the router sees it.
type Worker struct {
	ID         string
	DataCentre string
	Role       external.Role
	// Models are the models that the worker has loaded. Empty means any.
	Models []string
	Load   LoadSource
	// Draining and Ejected workers get no new work.
	Draining bool
	Ejected  bool

	hash uint64
	dc   uint8
}

func (w *Worker) serves(model string) bool {
	return !w.Draining && !w.Ejected && (len(w.Models) == 0 || slices.Contains(w.Models, model))
}

// Fleet is an immutable snapshot of the workers of one service. Callers build a new one when
// membership or roles change; loads are read live through each worker's LoadSource.
type Fleet struct {
	workers []Worker
	centres []string
}

// maxCentres bounds the data centres that are told apart; any further ones share the last index.
const maxCentres = 8

// NewFleet builds a snapshot. The workers are copied.
func NewFleet(workers []Worker) *Fleet {
	f := &Fleet{workers: slices.Clone(workers)}
	for i := range f.workers {
		w := &f.workers[i]
		w.hash = xxhash.Sum64String(w.ID)
		at := slices.Index(f.centres, w.DataCentre)
		if at < 0 {
			at = len(f.centres)
			f.centres = append(f.centres, w.DataCentre)
		}
		w.dc = uint8(min(at, maxCentres-1))
	}
	return f
}

// Worker returns the worker with an ID, or nil.
func (f *Fleet) Worker(id string) *Worker {
	for i := range f.workers {
		if f.workers[i].ID == id {
			return &f.workers[i]
		}
	}
	return nil
}

// Len returns the number of workers in the snapshot.
func (f *Fleet) Len() int { return len(f.workers) }

// minPerRole is the least number of workers of each role in a subset, so that a request finds
// both a prefill and a decode engine.
const minPerRole = 6

// subset returns the workers of a model that this router uses. With more than limit workers it
// takes those with the highest rendezvous scores, so that a change of the fleet moves only the
// workers concerned.
func (f *Fleet) subset(model string, limit int, seed uint64) []*Worker {
	var all []*Worker
	for i := range f.workers {
		if f.workers[i].serves(model) {
			all = append(all, &f.workers[i])
		}
	}
	if len(all) <= limit {
		return all
	}
	key := xxhash.Sum64String(model) ^ seed
	slices.SortFunc(all, func(a, b *Worker) int {
		sa, sb := mix(a.hash^key), mix(b.hash^key)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return 0
		}
	})
	chosen := slices.Clone(all[:limit])
	count := make(map[external.Role]int)
	for _, w := range chosen {
		count[w.Role]++
	}
	for _, w := range all[limit:] {
		if count[w.Role] >= minPerRole {
			continue
		}
		for i, c := range slices.Backward(chosen) {
			if count[c.Role] > minPerRole {
				count[c.Role]--
				count[w.Role]++
				chosen[i] = w
				break
			}
		}
	}
	return chosen
}

// mix is the finalizer of splitmix64. It makes rendezvous scores from combined hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
