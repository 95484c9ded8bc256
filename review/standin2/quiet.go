package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// contact and applyBound are contact-ms and config-apply-ms of the site.
	contact    = 3 * time.Second
	applyBound = 2 * time.Second
	// judgeSlack is left out of both, in favour of the gateways.
	judgeSlack    = 50 * time.Millisecond
	quietRounds   = 6
	quietGateways = 4
	quietRound    = 11 * time.Second
	quietCallGap  = 25 * time.Millisecond
)

// proxy passes channels on to an address. Silence stops those that are open for good: they stay open and carry nothing more.
type proxy struct {
	target string
	mu     sync.Mutex
	silent chan struct{} // closed when the channels that are open now fall silent
}

// newProxy returns a proxy and its address.
func newProxy(target string) (*proxy, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := &proxy{target: target, silent: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, l.Addr().String(), nil
}

func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *proxy) pass(c net.Conn) {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	go pump(c, s, silent)
	go pump(s, c, silent)
}

// pump copies from one channel to another until one of them ends. Once they are silent, it takes and drops what comes.
func pump(from, to net.Conn, silent <-chan struct{}) {
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// playQuiet lets the channels between the gateways and the store fall silent, without a reset, while new ones work. A route
// moves to another service 0.3 s later.
func playQuiet(d *deployment, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	services := []string{"api", "api2"}
	move := func(n int) time.Time {
		return d.configure(route{name: "ack", kind: "non_idempotent", service: services[n%2], timeoutMS: 1200, attempts: 1})
	}
	move(0)
	serviceOf := map[string]string{}
	for _, service := range services {
		for range 3 {
			w, err := d.addWorker(service, workerConfig{Slots: 6, WorkMS: 20})
			if err != nil {
				return err
			}
			serviceOf[w.cfg.ID] = service
		}
	}
	p, address, err := newProxy(d.storeAddress)
	if err != nil {
		return err
	}
	for range quietGateways {
		if err := d.addGateway(address); err != nil {
			return err
		}
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	go d.beat(ctx)
	var mu sync.Mutex
	var calls []*call
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, g := range d.gateways {
		callers.Go(func() {
			c := &caller{address: g.front}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(quietCallGap):
				}
				q := &call{id: newID(), method: http.MethodPost, path: "/ack/2f", body: g.Name, deadlineMS: 2500}
				c.do(q)
				mu.Lock()
				calls = append(calls, q)
				mu.Unlock()
			}
		})
	}
	type change struct{ silentAt, confirmedAt, endAt time.Time }
	var changes []change
	time.Sleep(9 * time.Second) // each gateway has looked once for a vacant lease
	for n := range quietRounds {
		silentAt := time.Now()
		if trouble {
			p.silence()
			d.note("the open channels to the store are silent from now on")
		}
		time.Sleep(300 * time.Millisecond)
		confirmed := move(n + 1)
		time.Sleep(quietRound)
		changes = append(changes, change{silentAt, confirmed, time.Now()})
	}
	close(stop)
	callers.Wait()
	events, err := d.workerEvents()
	if err != nil {
		return err
	}
	ranBy := map[string]string{}
	for _, e := range events {
		if e.event == "runs" {
			ranBy[e.id] = serviceOf[e.worker]
		}
	}
	stale, good := 0, 0
	for n, c := range changes {
		bound := c.confirmedAt.Add(applyBound)
		if inTouch := c.silentAt.Add(contact); inTouch.After(bound) {
			bound = inTouch
		}
		bound = bound.Add(judgeSlack)
		want := services[(n+1)%2]
		lates := map[string]time.Duration{}
		for _, q := range calls {
			if q.sentAt.Before(bound) || q.sentAt.After(c.endAt) || ranBy[q.id] == "" {
				continue
			}
			if ranBy[q.id] == want {
				good++
				continue
			}
			stale++
			lates[q.body] = max(lates[q.body], q.sentAt.Sub(c.confirmedAt))
		}
		d.note("change %d: %d gateways sent requests to the old service after the bound; latest after the confirmation, by gateway: %v", n+1, len(lates), lates)
	}
	d.note("%d requests after the bounds ran by the new service, %d by the old one", good, stale)
	switch {
	case stale > 0:
		return fmt.Errorf("%w: %d requests ran by the old service after the bound", errBroken, stale)
	case good == 0:
		return fmt.Errorf("no request was run")
	}
	return nil
}
