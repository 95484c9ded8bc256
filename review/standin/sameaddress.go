package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playSameAddress lets workers go down and up, which come back at their address under another ID, while some answers of
// workers are followed by a late second copy. No request that may run once at most may run twice.
func playSameAddress(s *system) (bool, error) {
	const (
		hosts    = 3
		gateways = 5
		duration = 105 * time.Second
		// A worker goes down and up for a time, and after a pause another one does.
		flapFor  = 6500 * time.Millisecond
		period   = 1900 * time.Millisecond
		downFor  = 300 * time.Millisecond
		pauseFor = 2 * time.Second
		// faultyHosts is the number of hosts whose workers send copies.
		faultyHosts = 2
		copyShare   = 0.03
	)
	if err := s.putConfig(); err != nil {
		return false, err
	}
	ran := &runs{}
	starts := 0
	startWorker := func(host int, address string) (*worker, error) {
		starts++
		w := &worker{s: s, id: fmt.Sprintf("i-%d-%02d", host, starts), service: "api", address: address, slots: 6, queue: 24, handle: func(w *worker, x *exchange) {
			ran.add(x.id, w.id)
			s.note("worker %s runs %s", w.id, x.id)
			time.Sleep(time.Duration(15+rand.IntN(30)) * time.Millisecond)
			x.reply(http.StatusOK, w.signed(x)+w.load(), "done by "+w.id)
		}}
		if s.trouble && host < faultyHosts {
			w.repeat = func() bool { return rand.Float64() < copyShare }
		}
		return w, w.start()
	}
	workers := make([]*worker, hosts)
	for i := range workers {
		var err error
		if workers[i], err = startWorker(i, s.address(100+i)+":0"); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(gateways); err != nil {
		return false, err
	}
	sent, wait := s.sendOrders(duration)
	if s.trouble {
		for end := time.Now().Add(duration - flapFor - time.Second); time.Now().Before(end); time.Sleep(pauseFor) {
			host := rand.IntN(faultyHosts)
			s.note("the worker on host %d goes down and up", host)
			for until := time.Now().Add(flapFor); time.Now().Before(until); time.Sleep(period - downFor) {
				old := workers[host]
				old.end()
				// Three heartbeats after the last one, the entry is removed.
				time.AfterFunc(time.Duration(2400+rand.IntN(1200))*time.Millisecond, old.leave)
				time.Sleep(downFor)
				var err error
				if workers[host], err = startWorker(host, old.address); err != nil {
					return false, err
				}
			}
		}
	}
	wait()
	broken := false
	for _, a := range sent() {
		if by := ran.of(a.id); len(by) > 1 {
			broken = true
			s.note("TWICE: %s ran %d times, on %s; its client got %d", a.id, len(by), strings.Join(by, " and "), a.status)
		}
	}
	return broken, nil
}

// sendOrders sends requests that may run once at most, about 110 a second, for a time. sent returns the answers
// after wait has returned.
func (s *system) sendOrders(duration time.Duration) (sent func() []answer, wait func()) {
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for _, g := range s.gateways {
		c := &channels{address: g.front}
		wg.Go(func() {
			for time.Now().Before(end) {
				wg.Go(func() {
					a := c.do(&call{method: http.MethodPost, target: "/order/a", limit: 2500 * time.Millisecond, body: strings.Repeat("b", 600)})
					s.note("client got %d for %s from %s (%v)", a.status, a.id, g.name, a.err)
					mu.Lock()
					defer mu.Unlock()
					all = append(all, a)
				})
				time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
			}
		})
	}
	return func() []answer { return all }, wg.Wait
}
