package site

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/memnet"
	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	// contactTime is the users' bound for what all instances must know.
	contactTime = 3 * time.Second
	// crashDelay is the time from the arrival of a request to the crash that it causes.
	crashDelay = 60 * time.Millisecond
	// restartTime is how long a crashed worker is away, and lapseTime when its registration ends.
	restartTime = 4 * time.Second
	lapseTime   = 1600 * time.Millisecond
	// crashingPart is the prompt part under which workers crash.
	crashingPart = "dead"
	// maxArrivalsAfterCrashes is the users' bound for requests with a crashing part that reach workers later
	// than contactTime after the crash number countedCrashes.
	maxArrivalsAfterCrashes = 3
	countedCrashes          = 5
)

// fragileFleet is a set of model workers that crash when they begin to answer a prompt with crashingPart,
// and start again at the same address under another ID.
type fragileFleet struct {
	env *testEnv

	mu    sync.Mutex
	lives int
	// living holds the living workers, and what crashes each.
	living map[*site.Worker]func()
	// crashOnPrefill makes workers crash when they prefill crashingPart, too.
	crashOnPrefill bool
	// harmlessAfter is the number of crashes after which crashingPart is answered; 0 means never.
	harmlessAfter int
	crashes       []time.Time
	arrivals      []time.Time // of requests with crashingPart, prefills included
	stopped       bool
}

func newFragileFleet(env *testEnv, decode int, configure func(f *fragileFleet)) *fragileFleet {
	f := &fragileFleet{env: env, living: map[*site.Worker]func(){}}
	if configure != nil {
		configure(f)
	}
	for i := range 3 {
		f.start(fmt.Sprintf("10.1.65.%d:8080", i+1), "prefill")
	}
	for i := range decode {
		f.start(fmt.Sprintf("10.1.66.%d:8080", i+1), "decode")
	}
	return f
}

// start starts a worker at an address.
func (f *fragileFleet) start(address, stage string) {
	f.mu.Lock()
	f.lives++
	id := fmt.Sprintf("i-%d", f.lives)
	stopped := f.stopped
	f.mu.Unlock()
	if stopped {
		return
	}
	host := f.env.newHost(id)
	var once sync.Once
	var wk *site.Worker
	wk = site.NewWorker(site.WorkerConfig{
		ID: id, Service: "llm", Address: address, Zone: "z", Slots: 48, Stage: stage, ServiceTime: 5 * time.Millisecond,
		PrefillTimePerToken: 4 * time.Microsecond, RoleSwitch: 3 * time.Second,
		Fault: f.fault(func() {
			once.Do(func() { time.AfterFunc(crashDelay, func() { f.crashNow(wk) }) })
		}),
	})
	srv := f.env.serve(host, address, wk)
	f.env.mu.Lock()
	f.env.workers = append(f.env.workers, wk)
	f.env.mu.Unlock()
	f.mu.Lock()
	f.living[wk] = func() { f.crash(wk, host, srv, address, stage) }
	f.mu.Unlock()
	wk.Register(f.env.store)
}

// refresh writes the registrations of the living workers, as they do when their role changes.
func (f *fragileFleet) refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for wk := range f.living {
		wk.Register(f.env.store)
	}
}

// fault returns the fault function of a worker, which calls onCrash when the worker begins to answer a
// prompt with crashingPart.
func (f *fragileFleet) fault(onCrash func()) func(*http.Request) site.Fault {
	return func(r *http.Request) site.Fault {
		if !strings.Contains(r.Header.Get("Quetzallug-Prefix-Hash"), crashingPart+":") {
			return site.FaultNone
		}
		f.mu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.mu.Unlock()
		if r.Header.Get("Quetzallug-Stage") != "" && !f.crashOnPrefill || f.isHarmless() {
			return site.FaultNone
		}
		onCrash()
		if r.Header.Get("Quetzallug-Stage") != "" {
			return site.FaultResetEarly
		}
		return site.FaultHang
	}
}

func (f *fragileFleet) isHarmless() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.harmlessAfter > 0 && len(f.crashes) >= f.harmlessAfter
}

// crashNow crashes a worker, unless it has crashed before.
func (f *fragileFleet) crashNow(wk *site.Worker) {
	f.mu.Lock()
	crash := f.living[wk]
	f.mu.Unlock()
	if crash != nil {
		crash()
	}
}

func (f *fragileFleet) crash(wk *site.Worker, host *memnet.Host, srv *http.Server, address, stage string) {
	f.mu.Lock()
	delete(f.living, wk)
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	f.env.net.Kill(host)
	_ = srv.Close()
	time.AfterFunc(lapseTime, func() { f.env.store.Remove("servers/" + wk.ID()) })
	time.AfterFunc(restartTime, func() { f.start(address, stage) })
}

// crashAll crashes all living workers.
func (f *fragileFleet) crashAll() {
	f.mu.Lock()
	var crashes []func()
	for _, crash := range f.living {
		crashes = append(crashes, crash)
	}
	f.mu.Unlock()
	for _, crash := range crashes {
		crash()
	}
}

// stop keeps crashed workers from starting again.
func (f *fragileFleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}

// arrivalsAfterCrashes returns the number of arrivals of requests with crashingPart later than contactTime
// after the crash number countedCrashes.
func (f *fragileFleet) arrivalsAfterCrashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < countedCrashes {
		return 0
	}
	n := 0
	for _, at := range f.arrivals {
		if at.Sub(f.crashes[countedCrashes-1]) > contactTime {
			n++
		}
	}
	return n
}

// recovery returns when sound requests must be served again: twice contactTime after the last counted crash.
func (f *fragileFleet) recovery() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.crashes[min(len(f.crashes), countedCrashes)-1]
	return last.Add(2 * contactTime)
}

// servedCounter counts requests by second.
type servedCounter struct {
	mu           sync.Mutex
	sent, served map[int64]int
}

func (c *servedCounter) record(at time.Time, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[at.Unix()]++
	if served {
		c.served[at.Unix()]++
	}
}

// share returns the share that was served of the requests sent from a time until another, and their number.
func (c *servedCounter) share(from, to time.Time) (share float64, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for second, n := range c.sent {
		if second >= from.Unix() && second < to.Unix() {
			sent, served = sent+n, served+c.served[second]
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}

// Guards against a prompt part that crashes each engine that answers it being sent to engine after engine (second1).
func TestCrashingPartsAreNotSentOn(t *testing.T) {
	for name, tc := range map[string]struct {
		gateways, decode int
		// restart kills and replaces all gateways while requests with crashingPart still come.
		restart bool
		path    string
		prefill bool
	}{
		"one instance":    {gateways: 1, decode: 4, path: pathResume},
		"three instances": {gateways: 3, decode: 4, path: pathResume},
		"many instances":  {gateways: 12, decode: 8, path: pathResume},
		"sent only once":  {gateways: 3, decode: 4, path: pathStream},
		"while prefilled": {gateways: 3, decode: 4, path: pathResume, prefill: true},
		"all restart":     {gateways: 3, decode: 4, path: pathResume, restart: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				env.writeConfig()
				f := newFragileFleet(env, tc.decode, func(f *fragileFleet) { f.crashOnPrefill = tc.prefill })
				var nodes []*gatewayNode
				for i := range tc.gateways {
					nodes = append(nodes, env.addGateway(fmt.Sprintf("edge-%d", i)))
				}
				// The gateways order roles first, and engines take seconds to change them.
				for range 20 {
					time.Sleep(settleTime)
					f.refresh()
				}
				counter := &servedCounter{sent: map[int64]int{}, served: map[int64]int{}}
				var calls sync.WaitGroup
				rnd := rand.New(rand.NewPCG(1, uint64(tc.gateways)))
				started := time.Now()
				const calm, crashing = 5 * time.Second, 50 * time.Second
				restarted := false
				for i := 0; time.Since(started) < calm+crashing; i++ {
					time.Sleep(12 * time.Millisecond)
					if i%40 == 0 {
						f.refresh()
					}
					since := time.Since(started)
					if tc.restart && !restarted && since > calm+10*time.Second {
						restarted = true
						for j, n := range nodes {
							n.kill()
							nodes[j] = env.addGateway(fmt.Sprintf("edge-%d", j))
						}
						time.Sleep(settleTime)
					}
					n, middle, at := nodes[rnd.IntN(len(nodes))], fmt.Sprintf("m%d", rnd.IntN(40)), time.Now()
					poisoned := since > calm && i%15 == 0
					if poisoned {
						middle = crashingPart
					}
					prompt := fmt.Sprintf("f0:2000,%s:300,u%d:100", middle, i)
					calls.Go(func() {
						r := env.call(n, request{path: tc.path + "x", prompt: prompt, events: 2})
						if !poisoned {
							env.checkResponse(r, tc.path+"x", 2)
							counter.record(at, r.succeeded())
						}
					})
				}
				end := time.Now()
				f.stop()
				calls.Wait()
				f.mu.Lock()
				crashes := len(f.crashes)
				f.mu.Unlock()
				require.Positive(t, crashes)
				t.Logf("%d crashes, %d arrivals after the bound", crashes, f.arrivalsAfterCrashes())
				require.LessOrEqual(t, f.arrivalsAfterCrashes(), maxArrivalsAfterCrashes)
				before, _ := counter.share(started, started.Add(calm))
				during, sent := counter.share(f.recovery(), end)
				t.Logf("served before %.3f, during %.3f of %d", before, during, sent)
				require.GreaterOrEqual(t, sent, 20, "too few sound requests to judge")
				require.GreaterOrEqual(t, during, before/2, "sound requests with the same first part")
			})
		})
	}
}
