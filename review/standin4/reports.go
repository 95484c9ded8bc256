package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	reportGateways = 8
	reportWorkers  = 12
	usageWindow    = 5 * time.Second
	// releaseGap is the mean time between two workers of a release, and released how many are replaced.
	releaseGap = 900 * time.Millisecond
	released   = 5
	// releaseLead is the time before the end of a window at which a release begins.
	releaseLead = 1500 * time.Millisecond
	// drainTime is how long a worker serves after it has said that it leaves.
	drainTime = 3500 * time.Millisecond
	// drillDelay is the time between a report and the drill, and copyAge the age of the store's copy.
	drillDelay = 120 * time.Millisecond
	copyAge    = 3 * time.Second
	// shortestAway, awayStep and awaySteps give how long the store is away, which differs from drill to drill.
	shortestAway, awayStep, awaySteps = 400 * time.Millisecond, 100 * time.Millisecond, 4
	// rewriteDelay is the time after which the operator and the workers write again.
	rewriteDelay = 200 * time.Millisecond
)

// reportsCase plays drills of the store beside the usage reports.
type reportsCase struct {
	*world
	config object
	// accepted gets each report that the platform accepts first.
	accepted chan usageReport

	mu         sync.Mutex
	reports    map[int64]usageReport
	broken     []string
	workers    []*site.Worker
	nextWorker int
	copies     []storeCopy
	answers    map[int]int
}

type usageReport struct {
	window int64
	counts map[string]int64
	holder string
	fence  string
}

type storeCopy struct {
	at   time.Time
	copy *site.Copy
}

// playReports lets the store come back from an older copy shortly after a usage report, while workers are released.
func playReports(w *world) error {
	c := &reportsCase{world: w, accepted: make(chan usageReport, 100), reports: map[int64]usageReport{}, answers: map[int]int{}}
	w.bounds = boundsOfAgram
	c.writeConfig()
	for range reportWorkers {
		if err := c.addWorker(); err != nil {
			return err
		}
	}
	platform, err := w.serve(http.HandlerFunc(c.serveUsage))
	if err != nil {
		return err
	}
	for i := range reportGateways {
		err := w.startGateway(fmt.Sprintf("edge-z-%d", i+1), "z", "QUETZALLUG_DUTY_ADDRESS="+platform, `QUETZALLUG_DUTIES=["usage_report"]`, "QUETZALLUG_DUTY_RATE=50",
			"QUETZALLUG_PEER_LISTEN="+freePort, "QUETZALLUG_USAGE_WINDOW=5s", "QUETZALLUG_USAGE_LATE=10s", "QUETZALLUG_LEASE_TTL=2500ms")
		if err != nil {
			return err
		}
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	for i, g := range w.gateways {
		for n := range 2 {
			wg.Go(func() { c.client(g.address, 2*i+n, stop) })
		}
	}
	wg.Go(func() { c.takeCopies(stop) })
	wg.Go(func() { c.release(stop) })
	return c.drills()
}

func (c *reportsCase) writeConfig() {
	var tenants []object
	for i := range 5 {
		tenants = append(tenants, object{"name": fmt.Sprintf("huka%d", i), "api-keys": []string{fmt.Sprintf("key-%d", i)}})
	}
	c.config = object{
		"version": 3,
		"routes": []object{{
			"name": "registro-firma", "hostname": "ficu95.example", name("path prefix"): "/pule252/", "type": "non_idempotent", "timeout-ms": 1500,
			"target-latency-ms": 300, "priority": 2, "service": "banco", "max-attempts": 1,
		}},
		"services": []object{{"name": "banco", "health-path": "/health", "max-connections": 250}},
		"tenants":  tenants,
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 30000},
	}
	c.store.Put(name("config"), c.config)
}

// addWorker starts a worker and registers it.
func (c *reportsCase) addWorker() error {
	var worker *site.Worker
	address, err := c.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { worker.ServeHTTP(rw, r) }))
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextWorker++
	worker = site.NewWorker(site.WorkerConfig{ID: fmt.Sprintf("i-banco-%03d", c.nextWorker), Service: "banco", Address: address, Zone: "z", Slots: 6, ServiceTime: 20 * time.Millisecond})
	worker.Register(c.store)
	c.workers = append(c.workers, worker)
	return nil
}

// serveUsage is the platform's API.
func (c *reportsCase) serveUsage(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Window int64            `json:"window-id"`
		Counts map[string]int64 `json:"counts"`
	}
	if err := decode(r.Body, &body); err != nil || r.Method != http.MethodPost || r.URL.Path != "/usage" {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rep := usageReport{body.Window, body.Counts, r.Header.Get(name("duty holder")), r.Header.Get(name("fence"))}
	c.mu.Lock()
	first, known := c.reports[rep.window]
	if !known {
		c.reports[rep.window] = rep
	}
	different := known && !maps.Equal(first.counts, rep.counts)
	if different {
		c.broken = append(c.broken, fmt.Sprintf("window %d: %s (fence %s) reported %v and then %s (fence %s) %v", rep.window, first.holder, first.fence, first.counts, rep.holder, rep.fence, rep.counts))
	}
	c.mu.Unlock()
	switch {
	case !known:
		c.note("usage of window %d from %s, fence %s: %v", rep.window, rep.holder, rep.fence, rep.counts)
		c.accepted <- rep
	case different:
		c.note("SECOND usage of window %d from %s, fence %s: %v", rep.window, rep.holder, rep.fence, rep.counts)
	default:
		c.note("usage of window %d again from %s, fence %s, the same counts", rep.window, rep.holder, rep.fence)
	}
	rw.WriteHeader(http.StatusOK)
}

// client sends requests on a kept connection.
func (c *reportsCase) client(address string, n int, stop <-chan struct{}) {
	client := http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/pule252/2f", strings.NewReader("body"))
		if err != nil {
			return
		}
		r.Host = "ficu95.example"
		r.Header.Set(name("attempt"), c.newID())
		r.Header.Set(name("deadline"), "1500")
		r.Header.Set("Authorization", fmt.Sprintf("Bearer key-%d", (n+i)%5))
		status := 0
		if resp, err := client.Do(r); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		c.mu.Lock()
		c.answers[status]++
		c.mu.Unlock()
	}
}

// takeCopies takes copies of the store as its operators do.
func (c *reportsCase) takeCopies(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(250 * time.Millisecond):
		}
		now := time.Now()
		c.mu.Lock()
		c.copies = append(c.copies, storeCopy{now, c.store.Copy()})
		for len(c.copies) > 1 && now.Sub(c.copies[1].at) > copyAge {
			c.copies = c.copies[1:]
		}
		c.mu.Unlock()
	}
}

// release replaces some workers, one after the other, about the end of each window.
func (c *reportsCase) release(stop <-chan struct{}) {
	for {
		end := time.Unix(0, (time.Now().Add(releaseLead).UnixNano()/int64(usageWindow)+1)*int64(usageWindow))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(end.Add(-releaseLead))):
		}
		for range released {
			if err := c.addWorker(); err != nil {
				return
			}
			time.Sleep(releaseGap/4 + rand.N(releaseGap/2))
			c.mu.Lock()
			old := c.workers[0]
			c.workers = c.workers[1:]
			c.mu.Unlock()
			old.Drain(c.store)
			time.AfterFunc(drainTime, func() { c.store.Remove(name("servers") + old.ID()) })
			time.Sleep(releaseGap/4 + rand.N(releaseGap/2))
		}
	}
}

// drills lets the store come back from an older copy after a report, again and again.
func (c *reportsCase) drills() error {
	ready := time.Now()
	for n := 0; c.left() > 0 && !c.isBroken(); {
		var rep usageReport
		select {
		case rep = <-c.accepted:
		case <-time.After(min(c.left(), time.Second)):
			continue
		}
		// The next drill comes when the next holder has reported for a window.
		if !c.trouble || time.Since(ready) < usageWindow+usageWindow/2 || c.left() < 2*usageWindow {
			continue
		}
		time.Sleep(drillDelay)
		n++
		c.drill(n, rep)
		ready = time.Now()
		for len(c.accepted) > 0 {
			<-c.accepted
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordOnly("answers by status (0: none): %v; windows reported: %d", c.answers, len(c.reports))
	if len(c.broken) > 0 {
		return fmt.Errorf("%w: ONE: %s", errBroken, strings.Join(c.broken, "; "))
	}
	if len(c.reports) < 3 {
		return fmt.Errorf("only %d windows were reported", len(c.reports))
	}
	return nil
}

func (c *reportsCase) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.broken) > 0
}

// drill plays one drill.
func (c *reportsCase) drill(n int, rep usageReport) {
	c.mu.Lock()
	from := c.copies[0]
	c.mu.Unlock()
	away := shortestAway + time.Duration(n%awaySteps)*awayStep
	c.note("drill %d: the store is away for %s, after the report of window %d, and comes back from a copy that is %.1f s old", n, away, rep.window, time.Since(from.at).Seconds())
	c.store.SetMode(site.StoreReset)
	time.Sleep(away)
	c.store.Restore(from.copy)
	c.store.SetMode(site.StoreUp)
	time.Sleep(rewriteDelay)
	c.store.Put(name("config"), c.config)
	c.mu.Lock()
	workers := append([]*site.Worker(nil), c.workers...)
	c.mu.Unlock()
	for _, w := range workers {
		w.Register(c.store)
	}
}
