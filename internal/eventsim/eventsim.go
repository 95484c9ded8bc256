// Package eventsim runs events in the order of virtual time.
package eventsim

import (
	"time"
)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a binary heap. container/heap would allocate for each event.
type eventQueue []event

func (q eventQueue) before(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q *eventQueue) push(e event) {
	h := append(*q, e)
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.before(i, parent) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
	*q = h
}

func (q *eventQueue) pop() event {
	h := *q
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h); c++ {
			if h.before(c, least) {
				least = c
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	*q = h
	return first
}

// Sim holds the events that are still to come. It is not safe for concurrent use.
type Sim struct {
	// At is the time since the start.
	At    time.Duration
	order uint64
	queue eventQueue
}

// Epoch is the time of day at the start.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Now is the time of day.
func (s *Sim) Now() time.Time { return Epoch.Add(s.At) }

// After runs a function when the time has passed.
func (s *Sim) After(d time.Duration, run func()) {
	s.order++
	s.queue.push(event{at: s.At + d, order: s.order, run: run})
}

// Every runs a function again and again.
func (s *Sim) Every(period time.Duration, run func()) {
	s.After(period, func() {
		run()
		s.Every(period, run)
	})
}

// RunUntil runs all events up to a time.
func (s *Sim) RunUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := s.queue.pop()
		s.At = e.at
		e.run()
	}
	s.At = end
}
