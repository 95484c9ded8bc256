package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	// heartbeat is how often workers write their registrations.
	heartbeat = 1200 * time.Millisecond
	// silentBeats is the number of heartbeats after which the registration of a silent worker is removed.
	silentBeats = 3
	hostname    = "ficu95.example"
	startWait   = 15 * time.Second
	zone        = "joburg-cbd"
	storeWait   = 20 * time.Millisecond
)

// deployment is a small deployment: gateways, workers and the platform's store.
type deployment struct {
	program, dir string
	store        *site.Store
	storeAddress string
	version      int
	gateways     []*gateway
	workers      []*workerProcess

	mu      sync.Mutex
	record  *os.File
	started time.Time
	closers []func()
}

// gateway is one gateway process.
type gateway struct {
	*testcluster.Process
	front, ready string
}

// workerProcess is one worker process and its registration.
type workerProcess struct {
	*testcluster.Process
	cfg     workerConfig
	service string
	// listed is the address in the registration: that of a proxy if there is one.
	listed string
	born   int64

	mu       sync.Mutex
	state    string
	stage    string
	seq      int
	silent   bool // writes no registration any more
	removed  bool
	lastBeat time.Time
}

func newDeployment(program, recordPath string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, dir: dir, store: site.NewStore(), record: record, started: time.Now()}
	if d.storeAddress, err = d.serve(d.store); err != nil {
		return nil, err
	}
	return d, nil
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.started).Seconds()}, args...)...)
}

// serve serves a handler on a free loopback address.
func (d *deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	d.closers = append(d.closers, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, g := range d.gateways {
		_ = g.Resume()
		g.Kill()
	}
	for _, w := range d.workers {
		_ = w.Resume()
		w.Kill()
	}
	d.store.Close()
	for _, f := range slices.Backward(d.closers) {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// addGateway starts a gateway with the command of the deploy file. Its store is at storeAddress.
func (d *deployment) addGateway(storeAddress string) error {
	instance := fmt.Sprintf("edge-%s-%d", zone, len(d.gateways)+1)
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = testcluster.FreeAddress(); err != nil {
			return err
		}
	}
	p, err := testcluster.NewProcess(instance, d.program, filepath.Join(d.dir, instance+".log"), []string{
		"gateway", "--instance", instance, "--data-centre", zone, "--listen", addresses[0], "--ready-listen", addresses[1],
		"--metrics-listen", addresses[2], "--adapter-address", storeAddress, "--retry-share", "0.2", "--retry-slack", "54",
		"--retry-window", "10s", "--config-bound", "2000ms", "--drain-bound", "2000ms", "--grace", "8s", "--max-files", "4100",
		"--machine-memory", "284", "--order-guard", "3000ms",
	})
	if err != nil {
		return err
	}
	d.gateways = append(d.gateways, &gateway{p, addresses[0], addresses[1]})
	return nil
}

// addWorker starts a worker of a service and registers it.
func (d *deployment) addWorker(service string, cfg workerConfig) (*workerProcess, error) {
	return d.addForgetfulWorker(service, cfg, 0)
}

// addForgetfulWorker is addWorker for a worker that forgets channels which have rested for a time, unless that is 0.
func (d *deployment) addForgetfulWorker(service string, cfg workerConfig, forgetAfter time.Duration) (*workerProcess, error) {
	address, err := testcluster.FreeAddress()
	if err != nil {
		return nil, err
	}
	cfg.ID, cfg.Listen = fmt.Sprintf("i-%s-%d", service, len(d.workers)+1), address
	config, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := testcluster.NewProcess(cfg.ID, self, logWorker(d.dir, cfg.ID), []string{"worker", string(config)})
	if err != nil {
		return nil, err
	}
	listed := address
	if forgetAfter > 0 {
		if _, listed, err = newProxy(address, forgetAfter); err != nil {
			return nil, err
		}
	}
	w := &workerProcess{Process: p, cfg: cfg, service: service, listed: listed, born: time.Now().UnixMilli(), state: "ready", stage: cfg.Stage}
	d.workers = append(d.workers, w)
	w.register(d)
	return w, nil
}

// register writes the worker's registration.
func (w *workerProcess) register(d *deployment) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return
	}
	w.seq++
	w.lastBeat = time.Now()
	entry := map[string]any{
		"service": w.service, "address": w.listed, "zone": zone, "version": "v1", "slots": w.cfg.Slots, "state": w.state,
		"cold-remaining-ms": 0, "seq": w.seq, "born": w.born,
	}
	if w.stage != "" {
		entry["stage"], entry["models"] = w.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	d.store.Put(name("servers")+w.cfg.ID, entry)
}

// drain registers the worker as draining.
func (w *workerProcess) drain(d *deployment) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.register(d)
	d.note("%s reports draining", w.cfg.ID)
}

// crash kills the worker. Its registration goes after three heartbeats.
func (w *workerProcess) crash(d *deployment) {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	w.Kill()
	d.note("%s is gone", w.cfg.ID)
}

// beat registers the workers whose stage has changed and removes the registrations of silent ones, until the context ends.
func (d *deployment) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, w := range d.workers {
			w.mu.Lock()
			remove := w.silent && !w.removed && time.Since(w.lastBeat) > silentBeats*heartbeat
			w.removed = w.removed || remove
			silent, stage := w.silent, w.stage
			if !silent {
				w.lastBeat = time.Now()
			}
			w.mu.Unlock()
			if remove {
				d.store.Remove(name("servers") + w.cfg.ID)
				d.note("the registration of %s is removed", w.cfg.ID)
			}
			if now := stageOf(ctx, w.cfg.Listen); !silent && stage != "" && now != "" && now != stage {
				w.mu.Lock()
				w.stage = now
				w.mu.Unlock()
				w.register(d)
				d.note("%s is now in stage %s", w.cfg.ID, now)
			}
		}
	}
}

// stageOf returns the stage that a worker reports; empty if it does not answer.
func stageOf(ctx context.Context, address string) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+name("report"), http.NoBody)
	if err != nil {
		return ""
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var report struct {
		Stage string `json:"stage"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&report)
	return report.Stage
}

// route describes a route of the configuration.
type route struct {
	name, kind, service string
	timeoutMS, attempts int
	prompt, resumable   bool
}

// configure writes the next version of the configuration and returns when the store has confirmed it.
func (d *deployment) configure(routes ...route) time.Time {
	d.version += 3
	type m = map[string]any
	var list []m
	for _, r := range routes {
		e := m{
			"name": "r-" + r.name, "hostname": hostname, name("path prefix"): "/" + r.name + "/", "type": r.kind, "timeout-ms": r.timeoutMS,
			"target-latency-ms": 150, "priority": 0, "service": r.service, "max-attempts": r.attempts,
		}
		if r.prompt {
			e[name("prompt")], e["resumable"], e[name("gap")] = true, r.resumable, 200
		}
		list = append(list, e)
	}
	d.store.Put(name("config"), m{
		"version": d.version, "routes": list,
		"services": []m{
			{"name": "llm", "health-path": "/health", "max-connections": 300, "protocol": "h1", "tls": false, "engine": m{"slots": 48, "kv-capacity-tokens": 1466667, "kv-token-bytes": 18432, "stride": 1, "kv-hold-s": 5.0, "role-switch-s": roleSwitch.Seconds()}},
			{"name": "api", "health-path": "/health", "max-connections": 100, "protocol": "h1", "tls": false},
			{"name": "api2", "health-path": "/health", "max-connections": 100, "protocol": "h1", "tls": false},
		},
		"limits": m{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 60000},
	})
	confirmed := time.Now()
	d.note("the store confirms configuration %d", d.version)
	return confirmed
}

// waitReady waits until all gateways say that they are ready.
func (d *deployment) waitReady(ctx context.Context) error {
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(storeWait) {
		ready := 0
		for _, g := range d.gateways {
			if g.isReady(ctx) {
				ready++
			}
		}
		if ready == len(d.gateways) {
			d.note("%d gateways are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("gateways are not ready after %s", startWait)
}

func (g *gateway) isReady(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// workerEvent is a line of a worker's log.
type workerEvent struct {
	worker, event, id string
	at                time.Time
}

// workerEvents returns what the workers have logged.
func (d *deployment) workerEvents() ([]workerEvent, error) {
	var out []workerEvent
	for _, w := range d.workers {
		f, err := os.Open(logWorker(d.dir, w.cfg.ID))
		if err != nil {
			return nil, err
		}
		s := bufio.NewScanner(f)
		for s.Scan() {
			e := workerEvent{worker: w.cfg.ID}
			var ms int64
			if n, _ := fmt.Sscan(s.Text(), &e.event, &e.id, &ms); n == 3 {
				e.at = time.UnixMilli(ms)
				out = append(out, e)
			}
		}
		_ = f.Close()
	}
	return out, nil
}
