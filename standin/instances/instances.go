// Package instances simulates the platform's instance list for tests. Changes become visible after a
// lag.
package instances

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/instancewire"
)

// ErrDown is returned by reads while the list is down.
var ErrDown = errors.New("instance list is down")

// change is an update or removal that becomes visible at the time due.
type change struct {
	due    time.Time
	id     string
	update *external.Instance // nil removes the instance
}

// List is a simulated instance list. It is safe for concurrent use. It has no goroutine: changes and
// expiries take effect when the list is read or written.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	actual  map[string]external.Instance
	expires map[string]time.Time // expiry times of instances with a time to live
	pending []change
	visible map[string]external.Instance
	version uint64

	// epoch identifies this start of the list. changed maps each instance that changed after version
	// changesSince, including removed ones, to the version of its last change.
	epoch        string
	changed      map[string]uint64
	changesSince uint64
}

// maxTrackedChanges limits the size of List.changed, which also holds removed instances.
const maxTrackedChanges = 1 << 14

var _ external.InstanceList = (*List)(nil)

// New returns an empty list on which changes become visible after the given lag.
func New(lag time.Duration) *List {
	return &List{
		lag:     lag,
		actual:  map[string]external.Instance{},
		expires: map[string]time.Time{},
		visible: map[string]external.Instance{},
		epoch:   rand.Text(),
		changed: map[string]uint64{},
	}
}

// SetLag sets the lag of subsequent changes.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetDown makes reads fail with ErrDown. Registrations and other writes still take effect.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set replaces the whole list. The instances do not expire.
func (l *List) Set(all ...external.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	keep := map[string]bool{}
	for _, in := range all {
		keep[in.ID] = true
		delete(l.expires, in.ID)
		l.put(in)
	}
	for _, id := range slices.Sorted(maps.Keys(l.actual)) {
		if !keep[id] {
			l.remove(id, time.Now())
		}
	}
}

// Register adds or replaces an instance. With a time to live above 0, the instance is removed when
// this time has passed without another registration. An empty state means live.
func (l *List) Register(in external.Instance, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	if ttl > 0 {
		l.expires[in.ID] = time.Now().Add(ttl)
	} else {
		delete(l.expires, in.ID)
	}
	l.put(in)
}

// Leave marks an instance as leaving.
func (l *List) Leave(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	if in, ok := l.actual[id]; ok {
		in.State = external.InstanceLeaving
		l.put(in)
	}
}

// Remove removes an instance.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	l.remove(id, time.Now())
}

// Instances implements external.InstanceList.
func (l *List) Instances(ctx context.Context, after uint64) (external.InstanceSnapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.refresh(ctx); err != nil {
		return external.InstanceSnapshot{}, err
	}
	if l.version <= after {
		return external.InstanceSnapshot{Version: after}, nil
	}
	return external.InstanceSnapshot{Version: l.version, Instances: l.sortedVisible()}, nil
}

// Changes returns the changes after a version of an epoch. It returns the whole list if the epoch is not
// the current one, if after is 0 or beyond the current version, or if the changes after it are not known.
func (l *List) Changes(ctx context.Context, epoch string, after uint64) (instancewire.List, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.refresh(ctx); err != nil {
		return instancewire.List{}, err
	}
	out := instancewire.List{Epoch: l.epoch, Version: l.version}
	if epoch != l.epoch || after == 0 || after < l.changesSince || after > l.version {
		out.Instances = l.sortedVisible()
		return out, nil
	}
	out.Since = after
	for _, id := range slices.Sorted(maps.Keys(l.changed)) {
		if l.changed[id] <= after {
			continue
		}
		if in, ok := l.visible[id]; ok {
			out.Instances = append(out.Instances, in)
		} else {
			out.Removed = append(out.Removed, id)
		}
	}
	return out, nil
}

// refresh brings the visible list up to date, or returns an error if the list is down.
func (l *List) refresh(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if l.down {
		return ErrDown
	}
	l.removeExpired()
	l.applyDueChanges()
	return nil
}

// sortedVisible returns the visible instances, ordered by ID.
func (l *List) sortedVisible() []external.Instance {
	return slices.SortedFunc(maps.Values(l.visible), func(a, b external.Instance) int { return cmp.Compare(a.ID, b.ID) })
}

func (l *List) put(in external.Instance) {
	if in.State == "" {
		in.State = external.InstanceLive
	}
	if l.actual[in.ID] == in {
		return
	}
	l.actual[in.ID] = in
	l.pending = append(l.pending, change{time.Now().Add(l.lag), in.ID, &in})
}

func (l *List) remove(id string, at time.Time) {
	delete(l.expires, id)
	if _, ok := l.actual[id]; ok {
		delete(l.actual, id)
		l.pending = append(l.pending, change{at.Add(l.lag), id, nil})
	}
}

// removeExpired removes the instances whose time to live has passed.
func (l *List) removeExpired() {
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(l.expires)) {
		if at := l.expires[id]; !now.Before(at) {
			l.remove(id, at)
		}
	}
}

// applyDueChanges makes the due changes visible, ordered by due time.
func (l *List) applyDueChanges() {
	slices.SortStableFunc(l.pending, func(a, b change) int { return a.due.Compare(b.due) })
	now := time.Now()
	n := 0
	for ; n < len(l.pending) && !now.Before(l.pending[n].due); n++ {
		if c := l.pending[n]; c.update == nil {
			delete(l.visible, c.id)
		} else {
			l.visible[c.id] = *c.update
		}
		l.version++
		l.changed[l.pending[n].id] = l.version
	}
	if len(l.changed) > maxTrackedChanges {
		clear(l.changed)
		l.changesSince = l.version
	}
	l.pending = slices.Delete(l.pending, 0, n)
}
