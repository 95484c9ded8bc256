package soak

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
)

var (
	processScale  = flag.Int("scale", 1, "multiplies the gateways, workers and callers of the tests with worker processes")
	processLength = flag.Duration("process-length", 4*time.Second, "duration of the load of each test with worker processes")
)

const (
	processGateways = 3
	// processWorkers is the number of workers of each of the two services.
	processWorkers     = 4
	defaultServiceTime = 15 * time.Millisecond
	processCallers     = 24
	// entryLifetime is how long the entry of a crashed worker stays in the store: three heartbeat intervals.
	entryLifetime = 3 * time.Second
	// crashInterval is the time between two crashes in a whole deployment.
	crashInterval = 250 * time.Millisecond
	// maxLogGrowth limits the log of a gateway in a short run, in bytes. Each request has one or two lines of less
	// than 1 KiB.
	maxLogGrowth = 4 << 20
)

// processDeployment is a deployment whose workers are processes of their own.
type processDeployment struct {
	*deployment
	bin, dir string
	// faults is what all workers do wrong, and first what the first worker of each service does.
	faults site.ProcessConfig
	first  *site.ProcessConfig

	mu      sync.Mutex
	starts  int
	workers []*processWorker
	// logs holds the paths of the logs of all workers, also of those that ended.
	logs []string
}

// processWorker is one lifetime of a worker.
type processWorker struct {
	*testcluster.Process
	id, service, address string
	entry                map[string]any
}

// newProcessDeployment starts a deployment. The gateways get further flags.
func newProcessDeployment(t *testing.T, bin string, faults site.ProcessConfig, first *site.ProcessConfig, flags ...string) *processDeployment {
	d := &processDeployment{deployment: newDeploymentWithoutWorkers(t), bin: bin, dir: t.TempDir(), faults: faults, first: first}
	if *logs != "" {
		d.dir = filepath.Join(*logs, strings.ReplaceAll(t.Name(), "/", "-"))
		require.NoError(t, os.MkdirAll(d.dir, 0o700))
	}
	for range processWorkers * *processScale {
		for _, service := range []string{"api", "llm"} {
			address, err := testcluster.FreeAddress()
			require.NoError(t, err)
			d.startWorker(service, address)
		}
	}
	for i := range processGateways * *processScale {
		// The stand-ins obey no orders. Without slack, a refusal among the very first requests can't be sent again.
		d.addGateway(filepath.Join(bin, "quetzallugd"), d.dir, fmt.Sprintf("edge-%d", i), append([]string{"--lease-ttl", "0s", "--retry-slack", "20", "--instances", "1"}, flags...)...)
	}
	d.waitReady()
	return d
}

// startWorker starts a lifetime of a worker and registers it.
func (d *processDeployment) startWorker(service, address string) {
	d.mu.Lock()
	d.starts++
	id := fmt.Sprintf("i-%s-%03d", service, d.starts)
	d.mu.Unlock()
	cfg := d.faults
	if d.first != nil && d.starts <= 2 {
		cfg = *d.first
	}
	cfg.ID = id
	if cfg.ServiceTime == 0 {
		cfg.ServiceTime = defaultServiceTime
	}
	w := &processWorker{id: id, service: service, address: address, entry: map[string]any{
		"service": service, "address": address, "zone": "z", "version": "v1", "slots": 16, "state": "ready", "cold-remaining-ms": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	}}
	if service == "llm" {
		cfg.Stage = "decode"
		w.entry["stage"] = "decode"
	}
	config, err := json.Marshal(cfg)
	require.NoError(d.t, err)
	log := filepath.Join(d.dir, id+".log")
	w.Process, err = testcluster.NewProcess(id, filepath.Join(d.bin, "quetzallug-standin"), log, []string{"site-worker", "--listen", address, "--config", string(config)})
	require.NoError(d.t, err)
	d.store.Put("servers/"+id, w.entry)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers = append(d.workers, w)
	d.logs = append(d.logs, log)
}

// crashWorkers kills a worker now and then and starts one at its address under another ID, until the duration has
// passed. The entry of the killed one stays for a while.
func (d *processDeployment) crashWorkers(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(crashInterval / time.Duration(*processScale)) {
		d.mu.Lock()
		i := rand.IntN(len(d.workers))
		old := d.workers[i]
		d.workers = append(d.workers[:i], d.workers[i+1:]...)
		d.mu.Unlock()
		old.Kill()
		time.AfterFunc(entryLifetime, func() { d.store.Remove("servers/" + old.id) })
		d.startWorker(old.service, old.address)
	}
}

// killGateways kills a gateway now and then and starts it again, until the duration has passed.
func (d *processDeployment) killGateways(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(crashInterval) {
		g := d.gateways[rand.IntN(len(d.gateways))]
		g.Kill()
		require.NoError(d.t, g.Restart())
	}
}

// runs returns how often each request was run.
func (d *processDeployment) runs() map[string]int {
	counts := map[string]int{}
	d.eachLogLine(func(event, id string, _ time.Time) {
		if event == "runs" {
			counts[id]++
		}
	})
	return counts
}

// eachLogLine calls f for each line of the logs of the workers.
func (d *processDeployment) eachLogLine(f func(event, id string, at time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, path := range d.logs {
		d.readLog(path, f)
	}
}

func (d *processDeployment) readLog(path string, f func(event, id string, at time.Time)) {
	b, err := os.ReadFile(path)
	require.NoError(d.t, err)
	for line := range strings.Lines(string(b)) {
		fields := strings.Fields(line)
		if len(fields) != 4 {
			continue
		}
		ms, err := strconv.ParseInt(fields[3], 10, 64)
		require.NoError(d.t, err)
		f(fields[0], fields[1], time.UnixMilli(ms))
	}
}

func (d *processDeployment) stop() {
	d.deployment.stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.workers {
		w.Kill()
	}
}

// oddEntries returns entries that name no worker. "#" stands for the address of a sound one.
func oddEntries() map[string]string {
	entry := func(fields string) string {
		return `{"service":"api","address":"#","zone":"z","version":"v1","slots":16,"state":"ready","cold-remaining-ms":0,"seq":1,"born":1,` + fields + "}"
	}
	return map[string]string{
		"servers/odd-nested":                  strings.Repeat("[", 200_000),
		"servers/odd-nested-field":            entry(`"x":` + strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000)),
		"servers/odd-slots":                   entry(`"slots":1e400`),
		"servers/odd-many-slots":              entry(`"slots":9000000000000000000`),
		"servers/odd-born":                    entry(`"born":123456789012345678901234567890`),
		"servers/odd-port":                    entry(`"address":"127.0.0.1:99999"`),
		"servers/odd-negative-port":           entry(`"address":"127.0.0.1:-1"`),
		"servers/odd-port-text":               entry(`"address":"127.0.0.1:http"`),
		"servers/odd-long-address":            entry(`"address":"` + strings.Repeat("1", 500_000) + `"`),
		"servers/odd-long-number":             entry(`"slots":` + strings.Repeat("1", 500_000)),
		"servers/odd-bytes":                   "\xff\x00",
		"servers/odd\r\nId":                   entry(`"x":1`),
		"servers/":                            entry(`"x":1`),
		"servers/" + strings.Repeat("x", 190): entry(`"zone":"` + strings.Repeat("z", 500_000) + `"`),
	}
}

// writeOddEntries writes entries again and again. In between, the workers leave and come back one after the other,
// which the gateways must follow.
func (d *processDeployment) writeOddEntries(entries map[string]string, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		d.mu.Lock()
		w := d.workers[rand.IntN(len(d.workers))]
		d.mu.Unlock()
		for key, value := range entries {
			d.store.Put(key, []byte(strings.ReplaceAll(value, "#", w.address)))
		}
		d.store.Put("servers/"+w.id, w.entry)
	}
	for _, g := range d.gateways {
		if g.Exited() {
			d.t.Errorf("%s ended by itself", g.Name)
		}
		info, err := os.Stat(g.LogPath)
		require.NoError(d.t, err)
		if size := info.Size(); size > maxLogGrowth {
			d.t.Errorf("the log of %s has %d bytes", g.Name, size)
		}
	}
}

// TestFaultyProcesses plays what sound HTTP servers and clients don't do, with workers that are processes: no request
// that may run once runs twice, none that was refused runs, and no answer looks whole that is not.
func TestFaultyProcesses(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	for name, tc := range map[string]struct {
		faults site.ProcessConfig
		// crash kills workers, which come back at their address.
		crash bool
		// kill kills gateways, which start again.
		kill      bool
		halfClose float64
		// uploadBytes is the size of some of the bodies of requests.
		uploadBytes int
		// entries are written among those of the workers, again and again.
		entries map[string]string
	}{
		"sound":                                           {},
		"crashes":                                         {crash: true},
		"late copies of refusals with their ID":           {crash: true, faults: site.ProcessConfig{Copy: 0.5, CopyID: true, Refuse: 0.05}},
		"late copies of refusals without an ID":           {faults: site.ProcessConfig{Copy: 0.5, Refuse: 0.1}},
		"crashes within answers without a length":         {crash: true, faults: site.ProcessConfig{Unframed: 1}},
		"gateways killed within answers without a length": {kill: true, faults: site.ProcessConfig{Unframed: 1}},
		"crashes within errors without a length":          {crash: true, faults: site.ProcessConfig{Unframed: 1, Error: 0.5}},
		"answers without a length that stop at the limit": {faults: site.ProcessConfig{Unframed: 1, StopAtLimit: true, ServiceTime: 400 * time.Millisecond}},
		"heads that are cut":                              {faults: site.ProcessConfig{CutHead: 0.2, BreakOff: 0.3}},
		"heads that are none of HTTP":                     {faults: site.ProcessConfig{OddHead: 0.2}},
		"answers reset during uploads":                    {faults: site.ProcessConfig{EarlyReset: 0.5}, uploadBytes: 7 << 20},
		"callers that end their own side":                 {halfClose: 0.3},
		"errors in answer to resumed streams":             {faults: site.ProcessConfig{BreakOff: 0.3, FailResumed: 0.5}},
		"resumed streams without event IDs":               {faults: site.ProcessConfig{BreakOff: 0.3, RestartEvents: 0.5}},
		"busy answers of requests that ran":               {faults: site.ProcessConfig{Busy: 0.1}},
		"odd entries among those of workers":              {entries: oddEntries()},
	} {
		t.Run(name, func(t *testing.T) {
			d := newProcessDeployment(t, bin, tc.faults, nil)
			defer d.stop()
			load := newLoadGenerator(t, d.gateways)
			load.halfClose, load.errorBodies, load.uploadBytes = tc.halfClose, true, tc.uploadBytes
			load.start(processCallers * *processScale)
			switch {
			case tc.crash:
				d.crashWorkers(*processLength)
			case tc.kill:
				d.killGateways(*processLength)
			case tc.entries != nil:
				d.writeOddEntries(tc.entries, *processLength)
			default:
				time.Sleep(*processLength)
			}
			load.expect(load.anySucceeded, "no request succeeded")
			load.stop(d.runs)
			for i, failure := range load.failures() {
				if i == 20 {
					t.Errorf("%d further failures", len(load.failures())-i)
					break
				}
				t.Error(failure)
			}
			t.Log(load.summary())
		})
	}
}

// arrival is a request that reached a worker.
type arrival struct {
	id string
	at time.Time
}

// arrivals returns the requests that reached the first worker of each service, in order.
func (d *processDeployment) arrivals() (out [][]arrival) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, path := range d.logs[:2] {
		var arrived []arrival
		d.readLog(path, func(event, id string, at time.Time) {
			if event == "arrives" {
				arrived = append(arrived, arrival{id, at})
			}
		})
		out = append(out, arrived)
	}
	return out
}

// TestWorkersThatWantNoRequests plays workers that leave, and workers that refuse all requests and ask for rest, among
// sound ones: gateways send them nothing further, and callers are served.
func TestWorkersThatWantNoRequests(t *testing.T) {
	const (
		// drainBound is the drain bound of the gateways, within which requests may still reach a worker that leaves.
		drainBound = 2 * time.Second
		rest       = 2 * time.Second
		// refusalSlack is the time after a refusal in which requests that were on their way may arrive.
		refusalSlack = 500 * time.Millisecond
	)
	bin := t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	play := func(t *testing.T, first site.ProcessConfig) (*processDeployment, *loadGenerator) {
		d := newProcessDeployment(t, bin, site.ProcessConfig{}, &first)
		load := newLoadGenerator(t, d.gateways)
		load.start(processCallers * *processScale)
		time.Sleep(*processLength)
		load.stop(d.runs)
		require.Empty(t, load.failures())
		t.Log(load.summary())
		return d, load
	}
	t.Run("leaving", func(t *testing.T) {
		d, load := play(t, site.ProcessConfig{Leaving: true})
		defer d.stop()
		for _, arrived := range d.arrivals() {
			require.NotEmpty(t, arrived)
			// A gateway learns of the leaving by the answer to its own first request.
			first := map[string]time.Time{}
			for _, a := range arrived {
				gateway := load.gatewayOf(a.id)
				require.NotEmpty(t, gateway)
				if _, ok := first[gateway]; !ok {
					first[gateway] = a.at
				}
				require.Less(t, a.at.Sub(first[gateway]), drainBound, "a request of %s reached a worker that leaves", gateway)
			}
		}
	})
	t.Run("resting", func(t *testing.T) {
		d, load := play(t, site.ProcessConfig{Refuse: 1, RetryAfter: fmt.Sprint(rest.Seconds())})
		defer d.stop()
		for _, arrived := range d.arrivals() {
			require.NotEmpty(t, arrived)
			within := 0
			for _, a := range arrived {
				if after := a.at.Sub(arrived[0].at); after > refusalSlack && after < rest {
					within++
				}
			}
			require.LessOrEqual(t, within, 2*len(d.gateways), "requests reached a worker that rests")
		}
		require.Zero(t, load.outcomes["once 503"], "callers are served by the others")
	})
}

// TestPlannedStopsLoseNothing stops and starts gateways in turn under load, on kept and on new connections: no request
// that a worker ran may end without a whole answer.
func TestPlannedStopsLoseNothing(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	d := newProcessDeployment(t, bin, site.ProcessConfig{}, nil)
	defer d.stop()
	load := newLoadGenerator(t, d.gateways)
	load.start(processCallers * *processScale)
	stops := 0
	for end := time.Now().Add(2 * *processLength); time.Now().Before(end); stops++ {
		g := d.gateways[stops%len(d.gateways)]
		require.NoError(t, g.Stop(stopTimeout))
		require.NoError(t, g.Restart())
		time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
	}
	load.stop(d.runs)
	require.Empty(t, load.failures())
	runs := d.runs()
	for _, r := range load.results {
		if !r.succeeded && runs[r.id] > 0 {
			t.Errorf("LOST: %s %s ran and its caller got no whole answer", r.kind, r.id)
		}
	}
	t.Log(stops, "stops,", load.summary())
}
