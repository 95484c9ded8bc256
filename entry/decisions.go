package entry

import (
	"sync"
	"time"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// DecisionLog is a ring buffer of the most recent routing and placement decisions. Operators query
// it through PeerService.Explain.
type DecisionLog struct {
	mu   sync.Mutex
	ring []*v1.Decision
	next int
}

// NewDecisionLog returns a log that holds up to size decisions.
func NewDecisionLog(size int) *DecisionLog {
	return &DecisionLog{ring: make([]*v1.Decision, size)}
}

// Add records a decision about a request or a pool, which subject names. choice is the chosen worker,
// or empty. tried lists the workers of earlier attempts of the request, which were excluded. The oldest
// decision is overwritten if the log is full.
func (l *DecisionLog) Add(subject, choice, reason string, tried []string) {
	d := &v1.Decision{
		AtUnixMs: time.Now().UnixMilli(), Subject: subject, Choice: choice, Reason: reason, Candidates: tried,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next] = d
	l.next = (l.next + 1) % len(l.ring)
}

// Find returns the decisions with the given subject or choice, oldest first.
func (l *DecisionLog) Find(name string) []*v1.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*v1.Decision
	for i := range l.ring {
		d := l.ring[(l.next+i)%len(l.ring)]
		if d != nil && (d.GetSubject() == name || d.GetChoice() == name) {
			found = append(found, d)
		}
	}
	return found
}
