package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// pace is the time between two requests at each of the three gateways in quiet hours, and streamEvents the length of
	// an answer, with 100 ms between events.
	pace         = 12 * time.Second
	streamEvents = 15
	// crashRound is the round of requests in which workers crash, one for each gateway. At busyAt the busy hours begin,
	// with a request a second at each gateway, and at killAt all gateways are killed.
	crashRound = 2
	busyAt     = 36 * time.Second
	killAt     = 46 * time.Second
	backAfter  = time.Second
	// recovery is the bound recovery-s, and traffic how long requests are sent after the gateways are back.
	recovery = 12 * time.Second
	traffic  = 28 * time.Second
	// crashAfter is when a worker crashes in the middle of an answer, and down for how long it is.
	crashAfter = 700 * time.Millisecond
	down       = 2 * time.Second
	// commonPart is the first part of all prompts.
	commonPart = "5c1e07a2"
)

// restartAfterCrashes lets three workers of four crash in quiet hours, one after the other, each with a request of another
// gateway; another worker takes the place of each. All requests share the first part of their prompts, as requests with a
// common system prompt do; requests with it are answered before and after each crash. In busy hours all gateways answer
// them every second. Then all gateways are killed and start again. The rule is broken if less than a quarter of
// the requests is served that are sent later than recovery-s after they are back.
func restartAfterCrashes(p *play) (bool, error) {
	p.store.Put(name("configuration"), configuration)
	fleet := &fleet{play: p}
	for range 4 {
		if err := fleet.add(); err != nil {
			return false, err
		}
	}
	gateways := make([]*gateway, 3)
	for i := range gateways {
		var err error
		if gateways[i], err = p.startGateway(fmt.Sprintf("edge-%d", i+1)); err != nil {
			return false, err
		}
		if err := gateways[i].waitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	began := time.Now()
	end := killAt + backAfter + traffic
	back := began.Add(killAt + backAfter)
	var mu sync.Mutex
	var calls []*call
	var wait sync.WaitGroup
	for i, g := range gateways {
		at := time.Duration(i) * pace / 3
		for round := 0; at < end; round++ {
			id := fmt.Sprintf("d%07x%08x", i+1, round+1)
			sendAt := began.Add(at)
			wait.Go(func() {
				time.Sleep(time.Until(sendAt))
				c := p.send(g.front, "/ask/x", id, 15*time.Second, askHeader(commonPart, id, streamEvents), "question")
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, c)
			})
			if p.trouble && round == crashRound {
				wait.Go(func() {
					time.Sleep(time.Until(sendAt.Add(crashAfter)))
					fleet.crash(id)
				})
			}
			at = next(at)
		}
	}
	time.Sleep(time.Until(began.Add(killAt)))
	if p.trouble {
		p.note("all gateways are killed")
		for _, g := range gateways {
			kill(g.cmd)
		}
		time.Sleep(time.Until(back))
		for _, g := range gateways {
			if err := p.restart(g); err != nil {
				return false, err
			}
		}
		p.note("all gateways start again")
	}
	wait.Wait()
	if fleet.err != nil {
		return false, fleet.err
	}
	var before, after [2]int // sent, served
	for _, c := range calls {
		n := &before
		switch {
		case c.sent.After(back.Add(recovery)):
			n = &after
		case c.sent.After(began.Add(killAt)):
			continue
		}
		n[0]++
		if c.status == http.StatusOK && c.whole && c.events() == streamEvents {
			n[1]++
		}
	}
	p.note("served: %d of %d before the gateways were killed, %d of %d sent later than %d s after they were back", before[1], before[0], after[1], after[0], int(recovery.Seconds()))
	if 4*before[1] < before[0] || after[0] == 0 {
		return false, errors.New("too few requests were served before")
	}
	return 4*after[1] < after[0], nil
}

// next returns the time of the request that follows at a gateway.
func next(at time.Duration) time.Duration {
	if at < busyAt {
		return min(at+pace, max(busyAt, at+time.Second))
	}
	return at + time.Second
}

// fleet holds the model workers of a case. Workers that crash are replaced.
type fleet struct {
	play    *play
	mu      sync.Mutex
	workers []*workerProcess
	started int
	err     error
}

// add starts a worker.
func (f *fleet) add() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	w, err := f.play.startWorker("llm", "decode", workerOptions{id: fmt.Sprintf("i-llm-%d", f.started), gap: 100 * time.Millisecond})
	if err == nil {
		f.workers = append(f.workers, w)
	}
	return err
}

// crash kills the worker that runs a request. Its entry goes after three heartbeat intervals, and another worker comes.
func (f *fleet) crash(request string) {
	w := f.running(request)
	if w == nil {
		f.fail(fmt.Errorf("no worker runs %s", request))
		return
	}
	f.play.note("worker %s crashes with request %s", w.id, request)
	kill(w.cmd)
	time.Sleep(down)
	if err := f.add(); err != nil {
		f.fail(err)
	}
	time.Sleep(silence - down)
	f.play.store.Remove(entryKey(w.id))
}

func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fleet) running(request string) *workerProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		events, err := w.events()
		if err != nil {
			continue
		}
		for _, e := range events {
			if e.event == "runs" && e.id == request {
				return w
			}
		}
	}
	return nil
}
