package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// playUnmarkedFailure lets one worker fail a part of its requests after it has run them, with a 503 that does
// not say that they were not executed. No request that has run may be answered with 503.
func playUnmarkedFailure(s *system) (bool, error) {
	const (
		workers   = 4
		gateways  = 2
		duration  = 15 * time.Second
		failShare = 0.4
		// greyFrom and greyTo is when the worker fails requests.
		greyFrom = 4 * time.Second
		greyTo   = 10500 * time.Millisecond
	)
	if err := s.putConfig(); err != nil {
		return false, err
	}
	ran := &runs{}
	began := time.Now()
	for i := range workers {
		grey := s.trouble && i == 0
		w := &worker{s: s, id: fmt.Sprintf("i-%d", i), service: "api", address: s.address(100+i) + ":0", slots: 30, handle: func(w *worker, x *exchange) {
			ran.add(x.id, w.id)
			time.Sleep(time.Duration(15+rand.IntN(30)) * time.Millisecond)
			if at := time.Since(began); grey && at > greyFrom && at < greyTo && rand.Float64() < failShare {
				s.note("worker %s ran %s and fails it with 503", w.id, x.id)
				x.reply(http.StatusServiceUnavailable, w.signed(x), "failed")
				return
			}
			s.note("worker %s ran %s", w.id, x.id)
			x.reply(http.StatusOK, w.signed(x), "done by "+w.id)
		}}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(gateways); err != nil {
		return false, err
	}
	sent, wait := s.sendOrders(duration)
	wait()
	refused, failed := 0, 0
	for _, a := range sent() {
		if by := ran.of(a.id); a.status == http.StatusServiceUnavailable && len(by) > 0 {
			refused++
			s.note("REFUSED: %s was answered 503 and had run on %v", a.id, by)
		}
		if a.status != http.StatusOK {
			failed++
		}
	}
	s.note("%d requests, %d not answered 200, %d answered 503 although they had run", len(sent()), failed, refused)
	return refused > 0, nil
}
