package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	limitCallers = 36
	limitWorkers = 7
	// limitEvents and limitGapMS make a stream of 1 s, and one of 4 s on a slow worker.
	limitEvents = 40
	limitGapMS  = 25
	// limitRouteMS is the route's timeout, and limitClientMS how long its clients wait.
	limitRouteMS  = 2000
	limitClientMS = 2500
	limitSlowX    = 4
	limitSlowFrom = 6 * time.Second
	limitSlowFor  = 5 * time.Second
)

// playLimit lets one worker of seven turn slow, so that its streams reach the timeout of their route. The worker stops then.
func playLimit(d *deployment, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.configure(route{name: "ask", kind: "streaming", service: "llm", timeoutMS: limitRouteMS, attempts: 1, prompt: true})
	for n := range limitWorkers {
		cfg := workerConfig{Stage: "decode", Slots: 48, WorkMS: limitGapMS, Unframed: true}
		switch {
		case n == 0:
			cfg.Stage = "prefill"
		case n == 1 && trouble:
			cfg.SlowX, cfg.SlowFromMS, cfg.SlowForMS = limitSlowX, int(limitSlowFrom.Milliseconds()), int(limitSlowFor.Milliseconds())
		}
		if _, err := d.addWorker("llm", cfg); err != nil {
			return err
		}
	}
	for range 2 {
		if err := d.addGateway(d.storeAddress); err != nil {
			return err
		}
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	go d.beat(ctx)
	calls := make(chan *call, 2000)
	var callers sync.WaitGroup
	stopAt := time.Now().Add(limitSlowFrom + limitSlowFor + 3*time.Second)
	for n := range limitCallers {
		callers.Go(func() {
			c := &caller{address: d.gateways[n%len(d.gateways)].front}
			defer c.close()
			time.Sleep(time.Duration(n) * 30 * time.Millisecond)
			for time.Now().Before(stopAt) {
				prompt := fmt.Sprintf("5c1e07%02x:50,91bd3f%02x:31,%s:60", n, n, newID()[:8])
				q := &call{id: newID(), method: http.MethodPost, path: "/ask/2f", body: "ask", events: limitEvents, prompt: prompt, deadlineMS: limitClientMS}
				c.do(q)
				calls <- q
			}
		})
	}
	callers.Wait()
	close(calls)
	return judgeStreams(d, calls)
}
