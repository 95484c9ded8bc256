package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// keptChannels is the number of kept channels to each gateway, each with one order after the other.
	keptChannels = 8
	// staleAfter is how long after the removal of a worker's entry another writer writes an old one.
	staleAfter = 57 * time.Second
	// watched is how long the gateways are watched afterwards.
	watched = 9 * time.Second
	// mostCut is the number of requests that a machine may leave without an answer.
	mostCut = 3
)

// staleEntry lets another writer write an old entry, with fields missing, under the ID of a worker that left 57 s before.
// The rule is broken if a gateway passes more than three requests from kept channels on to a sound worker and closes the
// channels without an answer.
func staleEntry(p *play) (bool, error) {
	p.store.Put(name("configuration"), configuration)
	var workers []*workerProcess
	for _, id := range []string{"i-one", "i-two", "i-three", "i-four"} {
		w, err := p.startWorker("api", "", workerOptions{id: id, work: 800 * time.Millisecond})
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	leaver := workers[0]
	gateways := make([]*gateway, 2)
	ends := make([]time.Time, len(gateways))
	var mu sync.Mutex
	for i := range gateways {
		g, err := p.startGateway(fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			return false, err
		}
		if err := g.waitReady(); err != nil {
			return false, err
		}
		gateways[i] = g
		go func() {
			state, _ := g.cmd.Process.Wait()
			mu.Lock()
			defer mu.Unlock()
			ends[i] = time.Now()
			p.note("the process of %s has ended: %v", g.name, state)
		}()
	}
	time.Sleep(time.Second)
	old := leaver.entry()
	leaver.register(p)
	time.Sleep(heartbeat)
	p.note("%s leaves: its entry is removed", leaver.id)
	left := time.Now()
	p.store.Remove(entryKey(leaver.id))
	time.Sleep(drainTime + time.Second)
	p.note("%s exits", leaver.id)
	_ = leaver.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Until(left.Add(staleAfter - 3*time.Second)))
	loads := make([]*keptLoad, len(gateways))
	for i, g := range gateways {
		loads[i] = p.startKept(g, i)
	}
	time.Sleep(time.Until(left.Add(staleAfter)))
	if p.trouble {
		p.note("another writer writes an old entry of %s without version and cold-remaining-ms", leaver.id)
		delete(old, "version")
		delete(old, "cold-remaining-ms")
		p.store.Put(entryKey(leaver.id), old)
	}
	time.Sleep(watched)
	mu.Lock()
	ended := append([]time.Time(nil), ends...)
	mu.Unlock()
	broken, served := false, 0
	for i, l := range loads {
		cut, answered, err := l.stop(workers)
		if err != nil {
			return false, err
		}
		served += answered
		p.note("%s: ended by itself: %t; %d orders answered; %d orders that ran at a worker got no answer, and their kept channels were closed", gateways[i].name, !ended[i].IsZero(), answered, cut)
		broken = broken || cut > mostCut
	}
	if served == 0 {
		return false, errors.New("no order was served")
	}
	return broken, nil
}

// keptLoad sends orders on kept channels to one gateway.
type keptLoad struct {
	play *play
	wait sync.WaitGroup
	done chan struct{}

	mu       sync.Mutex
	answered int
	// cut are the requests whose channels were closed without an answer, after earlier ones on the same channel.
	cut []string
}

func (p *play) startKept(g *gateway, number int) *keptLoad {
	l := &keptLoad{play: p, done: make(chan struct{})}
	for n := range keptChannels {
		l.wait.Go(func() {
			if err := l.channel(g.front, fmt.Sprintf("f%03x%04x", number, n)); err != nil {
				p.note("channel %d of %s: %v", n, g.name, err)
			}
		})
	}
	return l
}

// channel sends one order after the other on one channel until it is closed or the load is stopped.
func (l *keptLoad) channel(front, prefix string) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", front)
	if err != nil {
		return err
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	for i := 0; ; i++ {
		select {
		case <-l.done:
			return nil
		default:
		}
		id := fmt.Sprintf("%s%08x", prefix, i+1)
		status, err := order(conn, br, id)
		l.play.note("client %s on a kept channel: status %d, error %v", id, status, err)
		l.mu.Lock()
		switch {
		case err == nil && status == http.StatusOK:
			l.answered++
		case err != nil && i > 0:
			l.cut = append(l.cut, id)
		}
		l.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// order sends one order on a channel and reads its answer.
func order(conn net.Conn, br *bufio.Reader, id string) (int, error) {
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(conn, post("/order/x", id, 2500*time.Millisecond, "", "one order")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// stop ends the load. It returns how many of the orders without an answer ran at a worker, and how many were answered.
func (l *keptLoad) stop(workers []*workerProcess) (cut, answered int, err error) {
	close(l.done)
	l.wait.Wait()
	ran := map[string]bool{}
	for _, w := range workers {
		events, err := w.events()
		if err != nil {
			return 0, 0, err
		}
		for _, e := range events {
			ran[e.id] = ran[e.id] || e.event == "runs"
		}
	}
	for _, id := range l.cut {
		if ran[id] {
			cut++
		}
	}
	return cut, l.answered, nil
}
