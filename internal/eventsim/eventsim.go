// Package eventsim is a discrete-event simulator with a virtual clock.
package eventsim

import (
	"time"
)

type event struct {
	at       time.Duration
	sequence uint64 // breaks ties: events of the same time run in the order in which they were added
	run      func()
}

// eventQueue is a binary heap with the next event first. container/heap would allocate for each event.
type eventQueue []event

func (q eventQueue) before(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q *eventQueue) push(e event) {
	heap := append(*q, e)
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !heap.before(i, parent) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
	*q = heap
}

func (q *eventQueue) pop() event {
	heap := *q
	first, last := heap[0], len(heap)-1
	heap[0], heap[last] = heap[last], event{}
	heap = heap[:last]
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if heap.before(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			break
		}
		heap[i], heap[smallest] = heap[smallest], heap[i]
		i = smallest
	}
	*q = heap
	return first
}

// Sim is a simulation with its clock and pending events. It is not safe for concurrent use.
type Sim struct {
	// At is the virtual time that has passed since the start.
	At       time.Duration
	sequence uint64
	queue    eventQueue
}

// Epoch is the virtual date and time at the start of every simulation.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Now returns the virtual date and time.
func (s *Sim) Now() time.Time { return Epoch.Add(s.At) }

// After schedules a function to run after a delay.
func (s *Sim) After(d time.Duration, run func()) {
	s.sequence++
	s.queue.push(event{at: s.At + d, sequence: s.sequence, run: run})
}

// Every schedules a function to run repeatedly, for the first time after one period.
func (s *Sim) Every(period time.Duration, run func()) {
	s.After(period, func() {
		run()
		s.Every(period, run)
	})
}

// RunUntil runs all events due up to and including end, a virtual time since the start, and sets the
// clock to it.
func (s *Sim) RunUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := s.queue.pop()
		s.At = e.at
		e.run()
	}
	s.At = end
}
