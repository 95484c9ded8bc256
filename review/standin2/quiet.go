package main

import (
	"context"
	"fmt"
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
	quietRounds   = 8
	quietGateways = 4
	quietRound    = 11 * time.Second
	quietCallGap  = 25 * time.Millisecond
)

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
	p, err := d.startBehindProxy(ctx)
	if err != nil {
		return err
	}
	go d.beat(ctx)
	callers := d.startAcks()
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
		// The gateways are at another point of their watch each time.
		time.Sleep(quietRound + time.Duration(n%4)*gonePhase)
		changes = append(changes, change{silentAt, confirmed, time.Now()})
	}
	calls := callers.finish()
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

// startBehindProxy starts gateways that reach the store through a proxy and waits until they are ready.
func (d *deployment) startBehindProxy(ctx context.Context) (*proxy, error) {
	p, address, err := newProxy(d.storeAddress, 0)
	if err != nil {
		return nil, err
	}
	for range quietGateways {
		if err := d.addGateway(address); err != nil {
			return nil, err
		}
	}
	return p, d.waitReady(ctx)
}

// ackCallers are clients that send a request to each gateway every quietCallGap, on a channel that they keep.
type ackCallers struct {
	stop    chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	calls   []*call
}

func (d *deployment) startAcks() *ackCallers {
	a := &ackCallers{stop: make(chan struct{})}
	for _, g := range d.gateways {
		a.callers.Go(func() {
			c := &caller{address: g.front}
			defer c.close()
			for {
				select {
				case <-a.stop:
					return
				case <-time.After(quietCallGap):
				}
				q := &call{id: newID(), method: http.MethodPost, path: "/ack/2f", body: g.Name, deadlineMS: 2500}
				c.do(q)
				a.mu.Lock()
				a.calls = append(a.calls, q)
				a.mu.Unlock()
			}
		})
	}
	return a
}

// finish ends the clients and returns what they have sent.
func (a *ackCallers) finish() []*call {
	close(a.stop)
	a.callers.Wait()
	return a.calls
}
