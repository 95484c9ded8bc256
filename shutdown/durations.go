package shutdown

import (
	"slices"
	"sync"
	"time"
)

const (
	// recentDurations is the number of durations that are kept for each class. With it, a duration that one
	// request in ten exceeds is missed about once in thirty times.
	recentDurations = 32
	// minDurations is the number of durations from which the next one is predicted.
	minDurations = 3
	// minMargin is the least difference between the longest known duration and the predicted one. It covers the
	// scheduling of a busy machine.
	minMargin = 50 * time.Millisecond
	// maxClasses limits the memory of Durations to less than 1 MiB.
	maxClasses = 4096
)

// Class is a set of requests that take similar times.
type Class struct {
	Route string
	// PromptSize and OutputSize are orders of magnitude of what the request declares.
	PromptSize, OutputSize int
	// LastSend is true for the time from the last send to a backend server on, without the attempts and prefills
	// before it.
	LastSend bool
}

// Durations records how long requests take, by class. It is safe for concurrent use.
type Durations struct {
	mu      sync.Mutex
	classes map[Class]*recent
}

// recent is a ring of durations in milliseconds.
type recent struct {
	ms    [recentDurations]uint32
	count int
}

// NewDurations returns an empty Durations.
func NewDurations() *Durations { return &Durations{classes: make(map[Class]*recent)} }

// Record records the duration of a request. If there are too many classes, an arbitrary one is forgotten.
func (d *Durations) Record(c Class, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.classes[c]
	if r == nil {
		if len(d.classes) >= maxClasses {
			for other := range d.classes {
				delete(d.classes, other)
				break
			}
		}
		r = &recent{}
		d.classes[c] = r
	}
	r.ms[r.count%recentDurations] = uint32(min(max(took, 0), time.Hour).Milliseconds()) //nolint:gosec // at most an hour
	r.count++
}

// Expected returns the duration that a request of a class probably doesn't exceed, and whether enough is known. It
// is above the longest recent one by as much as that is above the median.
func (d *Durations) Expected(c Class) (time.Duration, bool) {
	d.mu.Lock()
	r := d.classes[c]
	if r == nil || r.count < minDurations {
		d.mu.Unlock()
		return 0, false
	}
	sorted := slices.Clone(r.ms[:min(r.count, recentDurations)])
	d.mu.Unlock()
	slices.Sort(sorted)
	longest := time.Duration(sorted[len(sorted)-1]) * time.Millisecond
	median := time.Duration(sorted[len(sorted)/2]) * time.Millisecond
	return longest + max(longest-median, minMargin), true
}

// Len returns the number of classes.
func (d *Durations) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.classes)
}
