package gateway

import (
	"math"
	"sync"
	"time"
)

// sizeClass divides the requests of a route by size. The users judge the largest tenth and the fifth
// below it by themselves.
type sizeClass int

const (
	sizeOrdinary sizeClass = iota
	sizeUpper              // the fifth below the largest tenth
	sizeLargest            // the largest tenth
	sizeClasses
)

const (
	// largestFraction and upperFraction are the shares of the classes among all requests.
	largestFraction = 0.1
	upperFraction   = 0.2
	// outputTokenSize is the size of an output token in prompt tokens, as the users count it.
	outputTokenSize = 10
	// minServedRatio is the ratio of the served share of a class to that of its route below which
	// requests of the class are no longer refused for their own size. The users demand 0.5; the
	// distance covers the error of counts over fairnessMemory.
	minServedRatio = 0.6
	// spareWait is the fraction of the target up to which prompts wait for an engine that has time to
	// spare. Large requests are served there even if they are late for their own size.
	spareWait = 0.25
	// waitStep is the change of a class's allowed wait, as a fraction of the target, per request.
	waitStep = 0.05
	// fairnessMemory is the time in which the counts of a route decay to 1/e. A user's day is three
	// times as long.
	fairnessMemory = 12 * time.Second
	// minClassRequests is the number of recent requests of a class below which its share is unknown.
	minClassRequests = 3
	// quantileStep is the relative change of a size quantile per observation.
	quantileStep = 0.05
	// maxTrackedRoutes bounds the routes whose sizes are tracked. The operator's largest
	// configurations have a few hundred.
	maxTrackedRoutes = 2048
)

// sizeTracker learns which sizes of a route's requests are large, and counts how often requests of
// each class are admitted.
type sizeTracker struct {
	// largest and upper are the sizes above which a request belongs to the class.
	largest, upper float64
	// offered and admitted are exponentially decaying counts.
	offered, admitted [sizeClasses]float64
	updatedAt         time.Time
	// allowedWait is the wait, as a fraction of the target, up to which requests of a class are not
	// refused for their own size.
	allowedWait [sizeClasses]float64
}

func requestSize(m *RequestMetadata) float64 {
	return float64(m.PromptTokens) + outputTokenSize*float64(m.OutputTokens)
}

// classify returns the class of a request and updates the limits between the classes.
func (t *sizeTracker) classify(size float64) sizeClass {
	if t.largest == 0 {
		t.largest, t.upper = size, size
	}
	class := sizeOrdinary
	switch {
	case size > t.largest:
		class = sizeLargest
	case size > t.upper:
		class = sizeUpper
	}
	t.largest = moveQuantile(t.largest, size, 1-largestFraction)
	t.upper = moveQuantile(t.upper, size, 1-largestFraction-upperFraction)
	return class
}

// moveQuantile moves the estimate of a quantile after one observation.
func moveQuantile(estimate, observed, quantile float64) float64 {
	if observed > estimate {
		return estimate * (1 + quantileStep*quantile)
	}
	return estimate / (1 + quantileStep*(1-quantile))
}

func (t *sizeTracker) decay(now time.Time) {
	age := now.Sub(t.updatedAt)
	if age <= 0 {
		return
	}
	f := math.Exp(-age.Seconds() / fairnessMemory.Seconds())
	for c := range t.offered {
		t.offered[c] *= f
		t.admitted[c] *= f
	}
	t.updatedAt = now
}

// underserved reports whether requests of a class are admitted much less often than those of the
// route overall.
func (t *sizeTracker) underserved(class sizeClass) bool {
	if class == sizeOrdinary || t.offered[class] < minClassRequests {
		return false
	}
	var offered, admitted float64
	for c := range t.offered {
		offered += t.offered[c]
		admitted += t.admitted[c]
	}
	return t.admitted[class]*offered < minServedRatio*admitted*t.offered[class]
}

// record counts a request and adjusts the allowed wait of its class: a class that is served too rarely
// may wait longer, so that it gets the moments with the least load.
func (t *sizeTracker) record(class sizeClass, admitted bool) {
	t.offered[class]++
	if admitted {
		t.admitted[class]++
	}
	step := -waitStep
	if t.underserved(class) {
		step = waitStep
	}
	t.allowedWait[class] = min(max(t.allowedWait[class]+step, spareWait), 1)
}

// sizeTrackers holds the trackers by route.
type sizeTrackers struct {
	mu      sync.Mutex
	byRoute map[string]*sizeTracker
}

// decide classifies a request, asks admit for a decision and records it.
func (s *sizeTrackers) decide(routeName string, m *RequestMetadata, now time.Time, admit func(allowedWait float64) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byRoute[routeName]
	if t == nil {
		if s.byRoute == nil || len(s.byRoute) >= maxTrackedRoutes {
			s.byRoute = make(map[string]*sizeTracker)
		}
		t = &sizeTracker{updatedAt: now}
		s.byRoute[routeName] = t
	}
	t.decay(now)
	class := t.classify(requestSize(m))
	ok := admit(max(spareWait, t.allowedWait[class]))
	t.record(class, ok)
	return ok
}
