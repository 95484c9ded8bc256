package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	goneRounds  = 5
	goneWorkers = 4
	gonePhase   = 350 * time.Millisecond
	// drainBound is drain-ms of the site.
	drainBound = 2 * time.Second
	// goneServes is how long a worker whose registration was removed goes on serving: drain-ms "and a little longer (at times
	// many seconds)".
	goneServes = 7 * time.Second
)

// playGone lets the channels between the gateways and the store fall silent, without a reset, while new ones work. A worker
// leaves 0.3 s later: its registration is removed, and it serves for some seconds more.
func playGone(d *deployment, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.configure(route{name: "ack", kind: "non_idempotent", service: "api", timeoutMS: 1200, attempts: 1})
	var workers []*workerProcess
	add := func() error {
		w, err := d.addWorker("api", workerConfig{Slots: 6, WorkMS: 20})
		workers = append(workers, w)
		return err
	}
	for range goneWorkers {
		if err := add(); err != nil {
			return err
		}
	}
	p, err := d.startBehindProxy(ctx)
	if err != nil {
		return err
	}
	callers := d.startAcks()
	type leave struct {
		worker                         string
		silentAt, removedAt, exitingAt time.Time
	}
	var leaves []leave
	time.Sleep(9 * time.Second) // each gateway has looked once for a vacant lease
	for n := range goneRounds {
		if err := add(); err != nil {
			return err
		}
		// The gateways are at another point of their watch each time.
		time.Sleep(2*time.Second + time.Duration(n)*gonePhase)
		l := leave{worker: workers[n].cfg.ID, silentAt: time.Now()}
		if trouble {
			p.silence()
			d.note("the open channels to the store are silent from now on")
		}
		time.Sleep(300 * time.Millisecond)
		d.store.Remove(name("servers") + l.worker)
		l.removedAt = time.Now()
		d.note("the registration of %s is removed", l.worker)
		time.Sleep(goneServes)
		l.exitingAt = time.Now()
		leaves = append(leaves, l)
		time.Sleep(time.Second)
		workers[n].Kill()
	}
	calls := callers.finish()
	events, err := d.workerEvents()
	if err != nil {
		return err
	}
	gatewayOf := map[string]string{}
	good := 0
	for _, q := range calls {
		gatewayOf[q.id] = q.body
		if q.status == http.StatusOK && q.answer == q.expected() {
			good++
		}
	}
	late := 0
	for n, l := range leaves {
		bound := l.removedAt.Add(drainBound)
		if inTouch := l.silentAt.Add(contact); trouble && inTouch.After(bound) {
			bound = inTouch
		}
		bound = bound.Add(judgeSlack)
		count, latest := map[string]int{}, map[string]time.Duration{}
		for _, e := range events {
			if e.worker == l.worker && e.event == "arrives" && e.at.After(bound) && e.at.Before(l.exitingAt) {
				late++
				count[gatewayOf[e.id]]++
				latest[gatewayOf[e.id]] = max(latest[gatewayOf[e.id]], e.at.Sub(l.removedAt))
			}
		}
		d.note("worker %d: requests that reached it after the bound, by gateway: %v; the latest after its registration was removed: %v", n+1, count, latest)
	}
	d.note("%d requests were answered, %d reached a worker that had left after the bound", good, late)
	switch {
	case late > 0:
		return fmt.Errorf("%w: %d requests reached a worker that had left after the bound", errBroken, late)
	case good == 0:
		return fmt.Errorf("no request was answered")
	}
	return nil
}
