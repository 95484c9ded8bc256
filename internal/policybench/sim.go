// Package policybench measures the decision packages against baselines in a small virtual-time
// model of one pool of engines. The model covers what the policies see and decide: batching steps,
// prefill and decode cost, pieces of KV cache, prefix caches, role changes that cost seconds, and
// load reports that lag. It does not model processes or networks.
package policybench

import (
	"container/heap"
	"time"
)

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
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
	heap.Push(&s.queue, event{at: s.at + d, order: s.order, run: run})
}

func (s *simulation) every(period time.Duration, run func()) {
	s.after(period, func() {
		run()
		s.every(period, run)
	})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.at = e.at
		e.run()
	}
	s.at = end
}
