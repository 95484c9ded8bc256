package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playLeavingCallers lets a part of the clients leave before their time limit: each ends its side of the channel and
// reads what is still on the way until the gateway ends the other side. No client may get a success that no
// worker has signed, or a stream that ends as complete before its last event.
func playLeavingCallers(s *system) (bool, error) {
	const (
		workers    = 3
		gateways   = 2
		duration   = 12 * time.Second
		leaveShare = 0.2
		leaveFrom  = 3 * time.Second
		leaveTo    = 8500 * time.Millisecond
		events     = 20
		interval   = 20 * time.Millisecond
		// Clients leave within half the objective of the route.
		leaveOrderWithin  = 75 * time.Millisecond
		leaveStreamWithin = 150 * time.Millisecond
	)
	if err := s.putConfig(); err != nil {
		return false, err
	}
	ran := &runs{}
	for i := range workers {
		w := &worker{s: s, id: fmt.Sprintf("i-%d", i), service: "api", address: s.address(100+i) + ":0", slots: 30, handle: func(w *worker, x *exchange) {
			ran.add(x.id, w.id)
			s.note("worker %s runs %s", w.id, x.id)
			time.Sleep(time.Duration(15+rand.IntN(60)) * time.Millisecond)
			x.reply(http.StatusOK, w.signed(x), "done by "+w.id)
		}}
		if err := w.start(); err != nil {
			return false, err
		}
		e := &worker{s: s, id: fmt.Sprintf("i-engine-%d", i), service: "llm", stage: "decode", address: s.address(120+i) + ":0", slots: 48, handle: func(w *worker, x *exchange) {
			ran.add(x.id, w.id)
			s.note("worker %s runs %s", w.id, x.id)
			w.stream(x, events, interval)
		}}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(gateways); err != nil {
		return false, err
	}
	var unsigned, cut, left, stayed atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for _, g := range s.gateways {
		wg.Go(func() {
			for time.Since(began) < duration {
				r := &call{method: http.MethodPost, target: "/order/a", limit: 2500 * time.Millisecond, body: strings.Repeat("b", 600)}
				within := leaveOrderWithin
				stream := rand.IntN(2) == 0
				if stream {
					r = &call{method: http.MethodPost, target: "/ask/a", limit: 5 * time.Second, header: prompt(200, 100, events), body: "b"}
					within = leaveStreamWithin
				}
				leaves := s.trouble && time.Since(began) > leaveFrom && time.Since(began) < leaveTo && rand.Float64() < leaveShare
				wg.Go(func() {
					leaveAfter := time.Duration(-1)
					if leaves {
						left.Add(1)
						leaveAfter = time.Duration(rand.Int64N(int64(within)))
					} else {
						stayed.Add(1)
					}
					a := callOnce(g.front, r, leaveAfter)
					s.note("client of %s got %d for %s, %d bytes, signed: %v (%v); left: %v", g.name, a.status, a.id, len(a.body), isSigned(&a), a.err, leaves)
					if a.err == nil && a.status/100 == 2 && !isSigned(&a) {
						unsigned.Add(1)
						s.note("MIXED: %s got %d without a signature; it ran on %v", a.id, a.status, ran.of(a.id))
					}
					if stream && a.err == nil && a.status == http.StatusOK && isSigned(&a) && a.body != wholeStream(a.id, events) {
						cut.Add(1)
						s.note("MIXED: the stream %s ended as complete after %d bytes of %d", a.id, len(a.body), len(wholeStream(a.id, events)))
					}
				})
				time.Sleep(time.Duration(20+rand.IntN(30)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	s.note("%d clients stayed, %d left; %d got a success without a signature, %d a stream that ended as complete too early", stayed.Load(), left.Load(), unsigned.Load(), cut.Load())
	return unsigned.Load()+cut.Load() > 0, nil
}

func isSigned(a *answer) bool { return a.header.Get(header("Response-Signature")) != "" }

// callOnce sends one attempt on a channel of its own. If leaveAfter is not negative, the client leaves after that time.
func callOnce(address string, r *call, leaveAfter time.Duration) answer {
	a := answer{id: newID()}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.limit + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: %s\r\n", r.method, r.target, header("Attempt-Id"), a.id,
		header("Deadline-Ms"), strconv.FormatInt(r.limit.Milliseconds(), 10))
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		a.err = err
		return a
	}
	if leaveAfter >= 0 {
		time.AfterFunc(leaveAfter, func() { _ = conn.(*net.TCPConn).CloseWrite() })
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}
