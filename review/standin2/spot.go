package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	spotCallers = 36
	// spotEvents and spotGapMS make a stream of 4 s, with pauses of half of what the sheet allows.
	spotEvents = 40
	spotGapMS  = 100
	// spotNotice is how long after its notice a worker is gone.
	spotNotice = 2 * time.Second
)

// playSpot takes a worker away as a spot machine goes: it reports draining, and is gone 2 s later, while streams that it
// took before the notice are still running. Its answers have no length and end with their channel.
func playSpot(d *deployment, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.configure(route{name: "ask", kind: "streaming", service: "llm", timeoutMS: 15000, attempts: 1, prompt: true})
	var decode []*workerProcess
	for _, stage := range []string{"prefill", "decode", "decode", "decode"} {
		w, err := d.addWorker("llm", workerConfig{Stage: stage, Slots: 48, WorkMS: spotGapMS, Unframed: true})
		if err != nil {
			return err
		}
		if stage == "decode" {
			decode = append(decode, w)
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
	calls := make(chan *call, 1000)
	var callers sync.WaitGroup
	stopAt := time.Now().Add(12 * time.Second)
	for n := range spotCallers {
		callers.Go(func() {
			c := &caller{address: d.gateways[n%len(d.gateways)].front}
			defer c.close()
			time.Sleep(time.Duration(n) * 110 * time.Millisecond)
			for time.Now().Before(stopAt) {
				q := &call{id: newID(), method: http.MethodPost, path: "/ask/2f", body: "ask", events: spotEvents, prompt: fmt.Sprintf("5c1e07%02x:50,91bd3f%02x:31,%s:60", n, n, newID()[:8]), deadlineMS: 15000}
				c.do(q)
				calls <- q
			}
		})
	}
	if trouble {
		time.Sleep(6 * time.Second)
		if os.Getenv("NOTICE") != "0" { // for comparison: the same without the notice
			decode[0].drain(d)
		}
		time.Sleep(spotNotice)
		decode[0].crash(d)
	}
	callers.Wait()
	close(calls)
	return judgeStreams(d, calls)
}

// judgeStreams checks that no stream ended as complete before its last piece.
func judgeStreams(d *deployment, calls <-chan *call) error {
	broken, good := 0, 0
	for q := range calls {
		d.note("%s", q.summary())
		if q.status != http.StatusOK || !q.whole {
			continue
		}
		if q.answer == q.expected() {
			good++
			continue
		}
		broken++
		d.note("BROKEN: %s ends as complete after %d of %d pieces", q.id, strings.Count(q.answer, "\n\n"), q.events)
	}
	d.note("%d whole streams, %d that end as complete too early", good, broken)
	switch {
	case broken > 0:
		return fmt.Errorf("%w: %d streams end as complete before their last piece", errBroken, broken)
	case good == 0:
		return fmt.Errorf("no stream was answered")
	}
	return nil
}
