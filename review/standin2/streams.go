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
	// forgetAfter is the time after which a worker drops an idle channel without notice.
	forgetAfter = 300 * time.Millisecond
)

// streamCase is a case with streams whose answers have no length and end with their channel.
type streamCase struct {
	// forgetAfter is the time after which workers forget a channel that rests; 0 if they don't.
	forgetAfter time.Duration
	// end ends a worker while streams run on it.
	end func(w *workerProcess)
}

// playSpot takes a worker away as a spot machine goes: it reports draining, and is gone 2 s later, while streams that it
// took before the notice are still running. Its answers have no length and end with their channel.
func playSpot(d *deployment, trouble bool) error {
	return playStreams(d, trouble, streamCase{end: func(w *workerProcess) {
		if os.Getenv("NOTICE") != "0" { // for comparison: the same without the notice
			w.drain(d)
		}
		time.Sleep(spotNotice)
		w.crash(d)
	}})
}

// playForget crashes a worker that drops idle channels without notice, while streams run on it.
func playForget(d *deployment, trouble bool) error {
	c := streamCase{forgetAfter: forgetAfter, end: func(w *workerProcess) { w.crash(d) }}
	if os.Getenv("FORGET") == "0" { // for comparison: the same with workers that keep idle channels
		c.forgetAfter = 0
	}
	return playStreams(d, trouble, c)
}

// playStreams lets clients ask for streams, ends a worker and checks the answers.
func playStreams(d *deployment, trouble bool, sc streamCase) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.configure(route{name: "ask", kind: "streaming", service: "llm", timeoutMS: 15000, attempts: 1, prompt: true})
	var decode []*workerProcess
	for _, stage := range []string{"prefill", "decode", "decode", "decode"} {
		forget := sc.forgetAfter
		if stage != "decode" || len(decode) == 2 {
			forget = 0 // at most half of the workers
		}
		w, err := d.addForgetfulWorker("llm", workerConfig{Stage: stage, Slots: 48, WorkMS: spotGapMS, Unframed: true}, forget)
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
		sc.end(decode[0])
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
