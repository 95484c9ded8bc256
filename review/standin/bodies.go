package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playLargeBodies sends requests with bodies of the largest size that the configuration allows, and then twice as
// many for a few seconds. Like the platform, it kills a gateway whose memory exceeds the machine's.
func playLargeBodies(s *system) (bool, error) {
	const (
		memoryLimit = 284 << 20
		bodyBytes   = 4 << 20
		workers     = 4
		events      = 125
		interval    = 40 * time.Millisecond
		usualEvery  = 133 * time.Millisecond
		burstTenths = 19
		burstFrom   = 12 * time.Second
		burstTo     = 26 * time.Second
		duration    = 30 * time.Second
	)
	if err := s.putConfig(); err != nil {
		return false, err
	}
	ran := &runs{}
	for i := range workers {
		w := &worker{s: s, id: fmt.Sprintf("i-%d", i), service: "llm", stage: "decode", address: s.address(100+i) + ":0", slots: 48, handle: func(w *worker, x *exchange) {
			ran.add(x.id, w.id)
			w.stream(x, events, interval)
		}}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(1); err != nil {
		return false, err
	}
	g := s.gateways[0]
	var killed atomic.Bool
	go func() {
		for most := 0; ; time.Sleep(20 * time.Millisecond) {
			used, err := memoryOf(g.cmd.Process.Pid)
			if err != nil {
				return
			}
			if used > most+(8<<20) {
				most = used
				s.note("%s uses %d MiB", g.name, used>>20)
			}
			if used > memoryLimit && !killed.Swap(true) {
				s.note("%s exceeds the memory of its machine and is killed", g.name)
				_ = g.cmd.Process.Signal(syscall.SIGKILL)
			}
		}
	}()
	body := strings.Repeat("b", bodyBytes)
	var wg sync.WaitGroup
	var lost, whole, others, open atomic.Int64
	c := &channels{address: g.front}
	for start := time.Now(); time.Since(start) < duration; {
		if killed.Load() {
			break
		}
		every := usualEvery
		if at := time.Since(start); s.trouble && at > burstFrom && at < burstTo {
			every = usualEvery * 10 / burstTenths
		}
		wg.Go(func() {
			open.Add(1)
			a := c.do(&call{method: http.MethodPost, target: "/ask/a", limit: 15 * time.Second, header: prompt(79, 141, events), body: body})
			n := open.Add(-1)
			s.note("client got %d for %s, %d bytes (%v); %d others open", a.status, a.id, len(a.body), a.err, n)
			switch {
			case a.err == nil && a.status == http.StatusOK:
				whole.Add(1)
			case a.err != nil && len(ran.of(a.id)) > 0:
				lost.Add(1)
				s.note("LOST: %s was passed on to a worker, and its channel was closed without a whole answer", a.id)
			default:
				others.Add(1)
			}
		})
		time.Sleep(time.Duration(float64(every) * (0.8 + 0.4*rand.Float64())))
	}
	wg.Wait()
	s.note("%d whole, %d lost, %d others", whole.Load(), lost.Load(), others.Load())
	return lost.Load() > 3, nil
}

// memoryOf returns the resident memory of a process in bytes.
func memoryOf(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.Atoi(strings.Fields(string(b))[1])
	return pages * os.Getpagesize(), err
}
