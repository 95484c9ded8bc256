// Package instances is a stand-in for the platform's lagging instance list. It is test equipment.
package instances

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/platform"
)

// ErrDown means that the list cannot be read.
var ErrDown = errors.New("instance list is down")

// change becomes visible when it is due.
type change struct {
	due    time.Time
	id     string
	update *platform.Instance // nil removes the instance
}

// List is the instance list. All methods are safe for concurrent use. It has no goroutine:
// changes and expiries take effect when the list is read or written.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	actual  map[string]platform.Instance
	expires map[string]time.Time // of instances registered with a time to live
	pending []change
	visible map[string]platform.Instance
	version uint64
}

var _ platform.InstanceList = (*List)(nil)

// New returns an empty list on which a change shows after the given lag.
func New(lag time.Duration) *List {
	return &List{
		lag:     lag,
		actual:  map[string]platform.Instance{},
		expires: map[string]time.Time{},
		visible: map[string]platform.Instance{},
	}
}

// SetLag sets the lag of later changes.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetDown makes reads fail with ErrDown. Registrations still count.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Set replaces the whole list.
func (l *List) Set(all ...platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
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

// Register adds or replaces an instance. A time to live above 0 removes it unless it is
// registered again in time. An empty state means live.
func (l *List) Register(in platform.Instance, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
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
	l.expire()
	if in, ok := l.actual[id]; ok {
		in.State = platform.InstanceLeaving
		l.put(in)
	}
}

// Remove removes an instance.
func (l *List) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	l.remove(id, time.Now())
}

// Instances implements platform.InstanceList.
func (l *List) Instances(ctx context.Context, after uint64) (platform.InstanceSnapshot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return platform.InstanceSnapshot{}, err
	}
	if l.down {
		return platform.InstanceSnapshot{}, ErrDown
	}
	l.expire()
	l.settle()
	if l.version <= after {
		return platform.InstanceSnapshot{Version: after}, nil
	}
	all := slices.SortedFunc(maps.Values(l.visible), func(a, b platform.Instance) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return platform.InstanceSnapshot{Version: l.version, Instances: all}, nil
}

func (l *List) put(in platform.Instance) {
	if in.State == "" {
		in.State = platform.InstanceLive
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

// expire removes the instances whose time to live is over.
func (l *List) expire() {
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(l.expires)) {
		if at := l.expires[id]; !now.Before(at) {
			l.remove(id, at)
		}
	}
}

// settle makes the due changes visible, in the order in which they are due.
func (l *List) settle() {
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
	}
	l.pending = slices.Delete(l.pending, 0, n)
}
