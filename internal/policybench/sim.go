// Package policybench measures the decision packages against baselines in a small virtual-time
// model of one pool of engines. The model covers what the policies see and decide: batching steps,
// prefill and decode cost, pieces of KV cache, prefix caches, role changes that cost seconds, and
// load reports that lag. It does not model processes or networks.
package policybench

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

// simulation runs events in the order of virtual time.
type simulation struct {
	at    time.Duration
	order uint64
	queue eventQueue
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *simulation) now() time.Time { return epoch.Add(s.at) }

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	s.queue.push(event{at: s.at + d, order: s.order, run: run})
}

func (s *simulation) every(period time.Duration, run func()) {
	s.after(period, func() {
		run()
		s.every(period, run)
	})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := s.queue.pop()
		s.at = e.at
		e.run()
	}
	s.at = end
}
