package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"strings"
	"sync"
	"time"
)

// beats writes the entry of a worker about every heartbeat, as the worker does, with a number that grows.
type beats struct {
	w *worker

	mu    sync.Mutex
	seq   int
	state string
	ended bool
}

const heartbeat = 1200 * time.Millisecond

func (b *beats) entry() map[string]any {
	b.seq++
	return map[string]any{
		"service": b.w.service, "address": b.w.address, "zone": "z", "version": "v1", "slots": b.w.slots, "state": b.state,
		"cold-remaining-ms": 0, "seq": b.seq, "born": b.w.born,
	}
}

// write sends an entry to the store. If late is above 0, the store does it that much later, and the worker gets no answer.
func (b *beats) write(late time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	e := b.entry()
	key := path.Join("servers", b.w.id)
	if late <= 0 {
		b.w.s.store.Put(key, e)
		return
	}
	b.w.s.note("the store leaves the beat of worker %s unanswered: seq %d, %s", b.w.id, e["seq"], e["state"])
	time.AfterFunc(late, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.ended {
			b.w.s.note("the store does the beat of worker %s late: seq %d, %s; the newest one that it did had seq %d", b.w.id, e["seq"], e["state"], b.seq)
			b.w.s.store.Put(key, e)
		}
	})
}

// run beats until the worker has left.
func (b *beats) run() {
	for {
		time.Sleep(heartbeat)
		b.mu.Lock()
		ended := b.ended
		b.mu.Unlock()
		if ended {
			return
		}
		b.write(0)
	}
}

// drain reports that the worker leaves. It returns when the store has confirmed that.
func (b *beats) drain() time.Time {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.write(0)
	b.w.s.note("the store confirms that worker %s is draining", b.w.id)
	return time.Now()
}

// leave ends the worker and removes its entry.
func (b *beats) leave() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.w.leave()
	b.w.end()
}

// playLateBeat replaces workers one after the other. Some seconds before each leaves, the store leaves writes unanswered for
// a while, and does one of them late: a beat in which the worker was still ready. No request may reach a worker later than
// the drain bound after the store has confirmed that it leaves.
func playLateBeat(s *system) (bool, error) {
	const (
		workers    = 3
		gateways   = 2
		rounds     = 6
		roundTime  = 15 * time.Second
		drainBound = 2 * time.Second
		// The store loses answers for lostFor, and does a call lateBy after it came.
		lostFor = 4500 * time.Millisecond
		lateBy  = 5900 * time.Millisecond
		// contact is how long the store is without disruption before the worker reports that it leaves.
		contact = 3 * time.Second
		// linger is how much longer than the bound a draining worker serves.
		linger   = 1500 * time.Millisecond
		events   = 60
		interval = 20 * time.Millisecond
	)
	if err := s.putConfig(); err != nil {
		return false, err
	}
	ran := &runs{}
	var mu sync.Mutex
	drainedAt, reachedLate := map[string]time.Time{}, map[string]bool{}
	count := 0
	start := func() (*beats, error) {
		count++
		w := &worker{s: s, id: fmt.Sprintf("i-%d", count), service: "llm", address: s.address(100+count) + ":0", slots: 48, queue: 48, handle: func(w *worker, x *exchange) {
			ran.add(x.id, w.id)
			mu.Lock()
			if at, ok := drainedAt[w.id]; ok {
				since := time.Since(at)
				s.note("worker %s gets %s %d ms after the store has confirmed that it leaves", w.id, x.id, since.Milliseconds())
				if since > drainBound {
					reachedLate[x.id] = true
					s.note("DRAIN: %s reached worker %s later than the bound", x.id, w.id)
				}
			}
			mu.Unlock()
			w.stream(x, events, interval)
		}}
		b := &beats{w: w, state: "ready", seq: 1}
		if err := w.start(); err != nil {
			return nil, err
		}
		go b.run()
		return b, nil
	}
	var all []*beats
	for range workers {
		b, err := start()
		if err != nil {
			return false, err
		}
		all = append(all, b)
	}
	if err := s.startGateways(gateways); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	lost, whole, others := 0, 0, 0
	end := time.Now().Add(rounds * roundTime)
	for _, g := range s.gateways {
		c := &channels{address: g.front}
		wg.Go(func() {
			for time.Now().Before(end) {
				wg.Go(func() {
					a := c.do(&call{method: http.MethodPost, target: "/ask/a", limit: 5 * time.Second, header: prompt(79, 141, events), body: "b"})
					mu.Lock()
					defer mu.Unlock()
					s.note("client got %d for %s, %d bytes (%v)", a.status, a.id, len(a.body), a.err)
					switch {
					case a.err == nil && a.status == http.StatusOK && a.body == wholeStream(a.id, events):
						whole++
					case reachedLate[a.id]:
						lost++
						s.note("the answer to %s was cut: %s ended, and should not have had it", a.id, strings.Join(ran.of(a.id), " and "))
					default:
						others++
					}
				})
				time.Sleep(time.Duration(60+rand.IntN(80)) * time.Millisecond)
			}
		})
	}
	for range rounds {
		began := time.Now()
		old := all[0]
		if s.trouble {
			s.note("the store leaves some writes unanswered from now on, for %v", lostFor)
			time.Sleep(lostFor - 200*time.Millisecond)
			old.write(lateBy)
			time.Sleep(200 * time.Millisecond)
			s.note("the store answers all calls again")
		} else {
			time.Sleep(lostFor)
		}
		time.Sleep(contact + 100*time.Millisecond)
		// One worker is replaced: the new one starts first, the old one drains.
		added, err := start()
		if err != nil {
			return false, err
		}
		all = append(all[1:], added)
		at := old.drain()
		mu.Lock()
		drainedAt[old.w.id] = at
		mu.Unlock()
		time.Sleep(drainBound + linger)
		old.leave()
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	wg.Wait()
	s.note("%d requests reached a worker later than the bound, %d of them were cut; %d answers whole, %d others not", len(reachedLate), lost, whole, others)
	return len(reachedLate) > 0, nil
}
