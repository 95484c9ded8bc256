package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/load"
)

// LoadSource returns the estimated load of a worker at the given time. *load.Worker implements it.
type LoadSource interface {
	Estimate(now time.Time) load.Estimate
}

// FixedLoad is a LoadSource with a constant load.
type FixedLoad load.Estimate

// Estimate returns the constant load.
func (f FixedLoad) Estimate(time.Time) load.Estimate { return load.Estimate(f) }

// Worker holds the properties of a worker that routing depends on.
type Worker struct {
	ID         string
	DataCentre string
	Role       external.EngineRole
	// Models are the names of the models that the worker has loaded. If empty, the worker serves any
	// model.
	Models []string
	Load   LoadSource
	// Draining and ejected workers receive no new requests.
	Draining bool
	Ejected  bool

	idHash  uint64
	dcIndex uint8
}

// serves reports whether the worker can be sent requests for the model.
func (w *Worker) serves(model string) bool {
	return !w.Draining && !w.Ejected && (len(w.Models) == 0 || slices.Contains(w.Models, model))
}

// Fleet is an immutable snapshot of the workers of one service. A new one is built when workers are
// added, removed or change. Loads aren't part of the snapshot; they are read from each worker's
// LoadSource.
type Fleet struct {
	workers     []Worker
	dataCentres []string
}

// maxDataCentres is the number of data centre indices. If there are more data centres, the last ones
// share an index, and transfers between them are estimated as within one data centre.
const maxDataCentres = 8

// NewFleet returns a snapshot of the workers, which are copied.
func NewFleet(workers []Worker) *Fleet {
	f := &Fleet{workers: slices.Clone(workers)}
	for i := range f.workers {
		w := &f.workers[i]
		w.idHash = xxhash.Sum64String(w.ID)
		index := slices.Index(f.dataCentres, w.DataCentre)
		if index < 0 {
			index = len(f.dataCentres)
			f.dataCentres = append(f.dataCentres, w.DataCentre)
		}
		w.dcIndex = uint8(min(index, maxDataCentres-1))
	}
	return f
}

// Worker returns the worker with the given ID, or nil.
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

// minPerRole is the minimum number of workers of each role in a subset, if the fleet has as many,
// so that requests find workers to prefill and workers to decode.
const minPerRole = 6

// subset returns the workers that this router uses for a model. If more than limit workers serve the
// model, it selects those with the highest rendezvous hashing scores, so that adding or removing a
// worker changes only a few members. Then it exchanges workers until each role has minPerRole
// workers or no other role can spare one.
func (f *Fleet) subset(model string, limit int, seed uint64) []*Worker {
	var eligible []*Worker
	for i := range f.workers {
		if f.workers[i].serves(model) {
			eligible = append(eligible, &f.workers[i])
		}
	}
	if len(eligible) <= limit {
		return eligible
	}
	key := xxhash.Sum64String(model) ^ seed
	slices.SortFunc(eligible, func(a, b *Worker) int {
		scoreA, scoreB := mix64(a.idHash^key), mix64(b.idHash^key)
		switch {
		case scoreA > scoreB:
			return -1
		case scoreA < scoreB:
			return 1
		default:
			return 0
		}
	})
	chosen := slices.Clone(eligible[:limit])
	count := make(map[external.EngineRole]int)
	for _, w := range chosen {
		count[w.Role]++
	}
	for _, w := range eligible[limit:] {
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

// mix64 is the finalizer of splitmix64. It turns combined hashes into rendezvous hashing scores.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
