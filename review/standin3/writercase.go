package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often a worker writes its entry.
const heartbeat = 1200 * time.Millisecond

// entryOfOtherWriter lets another writer write an entry under the ID of a model worker, with fields missing and with
// another service. The worker's own next heartbeat replaces it. The rule is broken if an order runs at the model worker.
func entryOfOtherWriter(p *play) (bool, error) {
	p.store.Put(name("configuration"), configuration)
	api, err := p.startWorker("api", "", workerOptions{id: "i-api", work: 30 * time.Millisecond})
	if err != nil {
		return false, err
	}
	model, err := p.startWorker("llm", "", workerOptions{id: "i-model", work: 30 * time.Millisecond, gap: 10 * time.Millisecond})
	if err != nil {
		return false, err
	}
	g, err := p.startGateway("edge-1")
	if err != nil {
		return false, err
	}
	if err := g.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if p.trouble {
		p.note("another writer writes an entry without version, cold-remaining-ms and seq under %s", model.id)
		p.store.Put(entryKey(model.id), map[string]any{"service": "api", "address": model.address, "zone": "z", "slots": 48, "state": "ready"})
	}
	var wait sync.WaitGroup
	began := time.Now()
	back := false
	served := 0
	var mu sync.Mutex
	for i := 0; time.Since(began) < 4*time.Second; i++ {
		if !back && time.Since(began) > heartbeat {
			back = true
			p.note("%s writes its entry", model.id)
			model.register(p)
		}
		wait.Go(func() {
			c := p.send(g.front, "/order/x", fmt.Sprintf("b%015x", i+1), 2500*time.Millisecond, "", "one order")
			mu.Lock()
			defer mu.Unlock()
			if c.status == http.StatusOK {
				served++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	broken := 0
	events, err := model.events()
	if err != nil {
		return false, err
	}
	for _, e := range events {
		if e.event == "runs" && strings.HasPrefix(e.path, "/order/") {
			broken++
			p.note("broken: the model worker %s runs the order %s", model.id, e.id)
		}
	}
	events, err = api.events()
	p.note("%d orders answered 200; %d runs of orders at the model worker, %d at the worker of their service", served, broken, len(events)/2)
	if err == nil && served == 0 {
		err = errors.New("no order was served")
	}
	return broken > 0, err
}
