package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	askEvents = 60
	askers    = 24
)

// exitOfDrainedWorker takes one of four workers away as planned: it reports that it drains, serves on for drain-ms and a
// little longer, and exits. Its streams have no length. The rule is broken if a client gets a stream that ends as
// complete before its last piece.
func exitOfDrainedWorker(p *play) (bool, error) {
	p.store.Put("op/config", configuration())
	var workers []*workerProcess
	for _, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		w, err := p.startWorker("llm", "decode", workerOptions{id: id, gap: 100 * time.Millisecond, unframed: true})
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	g, err := p.startGateway("edge-1")
	if err != nil {
		return false, err
	}
	if err := g.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	calls := make([]*call, askers)
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			id := fmt.Sprintf("a%015x", i+1)
			calls[i] = p.send(g.front, "/ask/x", id, 15*time.Second, askHeader(fmt.Sprintf("5c1%05x", i), fmt.Sprintf("e44%05x", i), askEvents), "question")
		})
		time.Sleep(20 * time.Millisecond)
	}
	if p.trouble {
		time.Sleep(500 * time.Millisecond)
		p.note("worker %s reports that it drains", workers[0].id)
		workers[0].register(p, "draining")
		time.Sleep(drainTime + 500*time.Millisecond)
		p.note("worker %s exits", workers[0].id)
		if err := workers[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		p.store.Remove("servers/" + workers[0].id)
	}
	wait.Wait()
	broken, served := 0, 0
	for _, c := range calls {
		switch {
		case c.status == http.StatusOK && c.whole && c.events() < askEvents:
			broken++
			p.note("broken: the stream of %s by %q ended as complete after %d of %d events", c.id, c.signature, c.events(), askEvents)
		case c.status == http.StatusOK && c.whole:
			served++
		}
	}
	p.note("%d streams were complete, %d were cut and ended as complete, of %d", served, broken, len(calls))
	if served == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return broken > 0, nil
}
