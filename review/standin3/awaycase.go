package main

import (
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	awayTime = 9 * time.Second
	// callInterval is the time between two reads of the gateway that the store serves.
	callInterval = 2 * time.Second
	// leaveAfter is the time from the beginning of the disruption until the worker leaves. A watch that waits ends before.
	leaveAfter = 1900 * time.Millisecond
	// returnTime is within what the entries of running workers come back.
	returnTime = 2 * time.Second
	// longer is how much longer than drain-ms the worker serves.
	longer = 4500 * time.Millisecond
	orders = 50 // a second
)

// watchedAfter returns the revision after which a watch begins; 0 for other calls.
func watchedAfter(r *http.Request) uint64 {
	if r.URL.Path != name("watch") {
		return 0
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	return after
}

// storeTurnsAway lets the store turn one of three gateways away for 9 s: it serves one of its
// reads in 2 s and answers 429 to its other calls. Meanwhile a worker that doesn't report that it drains leaves. The rule is
// broken if the gateway sends it requests later than drain-ms, and the 2 s in which entries come back, after it has read
// that the worker is gone.
func storeTurnsAway(p *play) (bool, error) {
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
	var mu sync.Mutex
	away, lastServed := false, time.Time{}
	p.turnAway = func(gateway string, r *http.Request) bool {
		know.call(gateway, r)
		mu.Lock()
		defer mu.Unlock()
		if !away || gateway != know.gateway {
			return false
		}
		reads := r.URL.Path == name("watch") || r.URL.Path == name("list")
		if !reads || time.Since(lastServed) < callInterval {
			return true
		}
		lastServed = time.Now()
		p.note("the store serves %s of %s", r.URL.Path, gateway)
		return false
	}
	var gateways []*gateway
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		g, err := p.startGateway(name)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.waitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	set := func(to bool) {
		mu.Lock()
		defer mu.Unlock()
		away, lastServed = to && p.trouble, time.Now()
		p.note("the store turns edge-1 away: %t", away)
	}
	load := p.startOrders(gateways[0].front)
	set(true)
	time.Sleep(leaveAfter)
	p.note("%s leaves: its entry is removed", leaver.id)
	left := time.Now()
	p.store.Remove(entryKey(leaver.id))
	know.expect(p.store.Put("other/mark", "m") - 1)
	time.Sleep(drainTime + longer)
	p.note("%s exits", leaver.id)
	_ = leaver.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(left.Add(awayTime - leaveAfter)))
	set(false)
	time.Sleep(2 * time.Second)
	return p.judgeLeaver(leaver, load.stop(), know.at(), drainTime+returnTime)
}
