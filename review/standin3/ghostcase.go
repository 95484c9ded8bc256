package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lateBy is how much later than its call a write of the store without an answer is done.
	lateBy = 2700 * time.Millisecond
	// silence is after what time without a heartbeat the store removes an entry: three heartbeat intervals.
	silence = 3 * heartbeat
	// serves is how long the worker serves after its entry was removed.
	serves = 8500 * time.Millisecond
	lead   = 3 * time.Second
)

// lateHeartbeat loses the answer of one heartbeat of a worker; the store does that write 2.7 s later. Meanwhile the worker
// has left without reporting that it drains. The late entry goes after three heartbeat intervals of silence. The rule is
// broken if a gateway sends the worker requests later than drain-ms after it has read that the entry is gone for good.
func lateHeartbeat(p *play) (bool, error) {
	p.store.Put(name("configuration"), configuration)
	var workers []*workerProcess
	for _, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		w, err := p.startWorker("api", "", workerOptions{id: id, work: 300 * time.Millisecond})
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	leaver := workers[0]
	know := &knowledge{play: p, gateway: "edge-1", worker: leaver.id}
	p.turnAway = know.call
	g, err := p.startGateway("edge-1")
	if err != nil {
		return false, err
	}
	if err := g.waitReady(); err != nil {
		return false, err
	}
	load := p.startOrders(g.front)
	time.Sleep(lead)
	// The store does this write late, or at once without the disruption. The worker's next heartbeat is stored.
	lost := leaver.entry()
	var late time.Time
	if p.trouble {
		late = time.Now().Add(lateBy)
		p.note("the answer to a heartbeat of %s is lost (seq %v)", leaver.id, lost["seq"])
	} else {
		p.store.Put(entryKey(leaver.id), lost)
	}
	time.Sleep(heartbeat)
	leaver.register(p)
	time.Sleep(heartbeat)
	p.note("%s leaves: its entry is removed", leaver.id)
	left := time.Now()
	p.store.Remove(entryKey(leaver.id))
	if p.trouble {
		time.Sleep(time.Until(late))
		p.note("the store does the write that it did not answer: the entry of %s is back", leaver.id)
		p.store.Put(entryKey(leaver.id), lost)
		time.Sleep(silence)
		p.note("the store removes the entry of %s after three heartbeat intervals of silence", leaver.id)
		p.store.Remove(entryKey(leaver.id))
	}
	know.expect(p.store.Put("other/mark", "m") - 1)
	time.Sleep(time.Until(left.Add(serves)))
	p.note("%s exits", leaver.id)
	_ = leaver.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	return p.judgeLeaver(leaver, load.stop(), know.at(), drainTime)
}

// knowledge tells when a gateway knows that an entry is gone: it then asks for what came after that revision.
type knowledge struct {
	play            *play
	gateway, worker string

	mu           sync.Mutex
	revision     uint64
	acknowledged time.Time
}

// expect sets the revision at which the entry was removed.
func (k *knowledge) expect(revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = revision
}

// at returns when the gateway knew.
func (k *knowledge) at() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.acknowledged
}

// call sees each call of a gateway before the store does, and turns none away.
func (k *knowledge) call(gateway string, r *http.Request) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if after := watchedAfter(r); gateway == k.gateway && k.revision > 0 && after >= k.revision && k.acknowledged.IsZero() {
		k.acknowledged = time.Now()
		k.play.note("%s asks for what came after revision %d: it knows that %s is gone", gateway, after, k.worker)
	}
	return false
}

// orderLoad sends orders to one gateway until it is stopped.
type orderLoad struct {
	wait sync.WaitGroup
	done chan struct{}
	mu   sync.Mutex
	sent []*call
}

func (p *play) startOrders(front string) *orderLoad {
	l := &orderLoad{done: make(chan struct{})}
	l.wait.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-l.done:
				return
			case <-time.After(time.Second / orders):
			}
			l.wait.Go(func() {
				c := p.send(front, "/order/x", fmt.Sprintf("c%015x", i+1), 2500*time.Millisecond, "", "one order")
				l.mu.Lock()
				defer l.mu.Unlock()
				l.sent = append(l.sent, c)
			})
		}
	})
	return l
}

func (l *orderLoad) stop() []*call {
	close(l.done)
	l.wait.Wait()
	return l.sent
}

// judgeLeaver reports whether requests reached a worker later than a bound after a gateway knew that it is gone.
func (p *play) judgeLeaver(leaver *workerProcess, calls []*call, acknowledged time.Time, bound time.Duration) (bool, error) {
	events, err := leaver.events()
	if err != nil {
		return false, err
	}
	ended := map[string]bool{}
	for _, e := range events {
		if e.event == "ends" {
			ended[e.id] = true
		}
	}
	late, last, cut := 0, time.Duration(0), 0
	for _, e := range events {
		if e.event != "runs" {
			continue
		}
		if !ended[e.id] {
			cut++
			p.note("the run of %s at %s was cut by its exit", e.id, leaver.id)
		}
		if !acknowledged.IsZero() && e.at.After(acknowledged) {
			last = max(last, e.at.Sub(acknowledged))
			if e.at.Sub(acknowledged) > bound {
				late++
				p.note("broken: %s reaches %s %d ms after the gateway knew that it is gone", e.id, leaver.id, e.at.Sub(acknowledged).Milliseconds())
			}
		}
	}
	outcomes := map[int]int{}
	for _, c := range calls {
		outcomes[c.status]++
	}
	p.note("statuses of %d orders: %v; last request at %s %d ms after the gateway knew that it is gone; %d later than %d ms; %d runs cut", len(calls), outcomes, leaver.id, last.Milliseconds(), late, bound.Milliseconds(), cut)
	if acknowledged.IsZero() || outcomes[http.StatusOK] == 0 {
		return false, errors.New("the gateway never knew that the worker is gone, or served nothing")
	}
	return late > 0, nil
}
