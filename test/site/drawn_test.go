package site

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

var (
	drawn     = flag.Int("drawn", 0, "number of deployments drawn with fresh seeds; 0 draws the fixed ones")
	drawnSeed = flag.Uint64("drawn-seed", 0, "the only deployment to draw")
)

const (
	fixedDrawn  = 25
	drawnLength = 20 * time.Second
	drawnCalls  = 150
)

// Guards against code that leans on the deployments it was written for: services, counts, slots, stages,
// kinds and time-outs are drawn, and so are the faults. Checks are what callers and workers saw.
func TestDrawnDeployments(t *testing.T) {
	var seeds []uint64
	switch {
	case *drawnSeed != 0:
		seeds = []uint64{*drawnSeed}
	case *drawn > 0:
		for range *drawn {
			seeds = append(seeds, rand.Uint64())
		}
	default:
		for i := range uint64(fixedDrawn) {
			seeds = append(seeds, i+1)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble(t, func(_ *testing.T, w *world) { playDrawn(w, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

// deployment is what was drawn.
type deployment struct {
	*world
	rnd     *rand.Rand
	routes  []jsonMap
	nodes   []*node
	plain   int
	engines int
}

func between(rnd *rand.Rand, least, most int) int { return least + rnd.IntN(most-least+1) }

func playDrawn(w *world, rnd *rand.Rand) {
	d := &deployment{world: w, rnd: rnd}
	d.draw()
	time.Sleep(settle)
	var calls sync.WaitGroup
	var mu sync.Mutex
	replies := map[*reply]ask{}
	for range drawnCalls {
		a, n := d.ask(), d.nodes[rnd.IntN(len(d.nodes))]
		after := time.Duration(rnd.IntN(int(drawnLength)))
		calls.Go(func() {
			time.Sleep(after)
			r := w.call(n, a)
			mu.Lock()
			replies[r] = a
			mu.Unlock()
		})
	}
	calls.Go(d.faults)
	calls.Wait()
	for r, a := range replies {
		w.check(r, a.path, a.events)
	}
	d.checkBudget(len(replies))
	w.checkOrders()

	w.store.SetMode(site.StoreUp)
	w.net.Heal()
	for _, wk := range w.workers {
		wk.SetFault(nil)
	}
	n := w.gateway("edge-last")
	for _, a := range []ask{{path: pathRead + "x"}, {path: pathStream + "x", prompt: "zz:50", events: 1}} {
		if _, decode := w.stages(); a.events == 0 || decode > 0 {
			d.recovers(n, a)
		}
	}
}

// recoveryTime is the users' bound.
const recoveryTime = 12 * time.Second

// recovers asks again, as callers do, until it is served.
func (d *deployment) recovers(n *node, a ask) {
	var r *reply
	for end := time.Now().Add(recoveryTime); time.Now().Before(end); d.play(500 * time.Millisecond) {
		if r = d.call(n, a); r.whole() {
			return
		}
	}
	d.t.Errorf("%s is not served after the faults: %d %v %s", a.path, r.status, r.err, r.body)
}

func (d *deployment) draw() {
	rnd := d.rnd
	d.plain, d.engines = between(rnd, 1, 4), between(rnd, 0, 8)
	for i := range d.plain {
		d.worker(site.WorkerConfig{ID: fmt.Sprintf("i-api-%d", i), Service: "api", Slots: between(rnd, 2, 16), Work: time.Duration(between(rnd, 1, 60)) * time.Millisecond})
	}
	second := between(rnd, 0, 2)
	for i := range second {
		d.worker(site.WorkerConfig{ID: fmt.Sprintf("i-api2-%d", i), Service: "api2", Slots: between(rnd, 2, 16)})
	}
	for i := range d.engines {
		stage := "decode"
		if rnd.IntN(3) == 0 {
			stage = "prefill"
		}
		d.worker(site.WorkerConfig{
			ID: fmt.Sprintf("i-llm-%d", i), Service: "llm", Slots: between(rnd, 2, 48), Stage: stage, RoleSwitch: 3 * time.Second,
			Work: time.Duration(between(rnd, 1, 50)) * time.Millisecond, PerToken: time.Duration(between(rnd, 1, 20)) * time.Microsecond,
		})
	}
	read := routeOf("read", pathRead, "idempotent", "api", d.limits())
	if second > 0 && rnd.IntN(2) == 0 {
		delete(read, "service")
		read["traffic-split"] = []jsonMap{{"service": "api", "weight": between(rnd, 1, 99)}, {"service": "api2", "weight": between(rnd, 0, 50)}}
	}
	stream := func(resumable bool) jsonMap {
		m := d.limits()
		m["sticky-sessions"], m["resumable"], m["gap-aim-ms"] = rnd.IntN(4) > 0, resumable, 200
		return m
	}
	d.routes = []jsonMap{
		read, routeOf("once", pathOnce, "non_idempotent", "api", d.limits()),
		routeOf("resume", pathResume, "streaming", "llm", stream(true)), routeOf("stream", pathStream, "streaming", "llm", stream(false)),
	}
	d.configure(d.routes...)
	for i := range between(rnd, 1, 4) {
		d.nodes = append(d.nodes, d.gateway(fmt.Sprintf("edge-%d", i)))
	}
}

func (d *deployment) limits() jsonMap {
	return jsonMap{"timeout-ms": between(d.rnd, 500, 3000), "max-attempts": between(d.rnd, 1, 3), "priority": d.rnd.IntN(4), "target-latency-ms": between(d.rnd, 50, 500)}
}

func (d *deployment) ask() ask {
	rnd := d.rnd
	a := ask{path: []string{pathRead, pathOnce, pathResume, pathStream}[rnd.IntN(4)] + fmt.Sprint(rnd.IntN(1000)), body: strings.Repeat("b", rnd.IntN(5000))}
	if strings.HasPrefix(a.path, pathResume) || strings.HasPrefix(a.path, pathStream) {
		a.events = between(rnd, 1, 9)
		a.prompt = fmt.Sprintf("a%d:%d,b%d:%d,c%d:%d", rnd.IntN(3), 1000, rnd.IntN(9), 2000, rnd.IntN(1e9), between(rnd, 10, 4000))
	}
	if rnd.IntN(10) == 0 {
		a.leave = time.Duration(between(rnd, 5, 400)) * time.Millisecond
	}
	return a
}

// faults come one after the other, each for a while; many overlap.
func (d *deployment) faults() {
	var running sync.WaitGroup
	for end := time.Now().Add(drawnLength); time.Now().Before(end); {
		rnd := rand.New(rand.NewPCG(d.rnd.Uint64(), 1))
		running.Go(func() { d.fault(rnd) })
		d.show()
		time.Sleep(time.Duration(between(d.rnd, 100, 1500)) * time.Millisecond)
	}
	running.Wait()
}

func (d *deployment) fault(rnd *rand.Rand) {
	lasts := time.Duration(between(rnd, 100, 4000)) * time.Millisecond
	wk, n := d.workers[rnd.IntN(len(d.workers))], d.nodes[rnd.IntN(len(d.nodes))]
	switch rnd.IntN(9) {
	case 0, 1, 2:
		kind, share, count := site.Fault(between(rnd, 1, int(site.FaultUnframed))), between(rnd, 1, 4), 0
		wk.SetFault(func(*http.Request) site.Fault {
			if count++; count%share == 0 {
				return kind
			}
			return site.FaultNone
		})
		time.Sleep(lasts)
		wk.SetFault(nil)
	case 3:
		d.store.SetMode(site.StoreMode(between(rnd, 1, 3)))
		time.Sleep(lasts)
		d.store.SetMode(site.StoreUp)
	case 4:
		d.net.Cut(n.host.Name, wk.ID(), true)
		time.Sleep(lasts)
		d.net.Cut(n.host.Name, wk.ID(), false)
	case 5:
		d.net.Cut("store", n.host.Name, true)
		time.Sleep(lasts)
		d.net.Cut("store", n.host.Name, false)
	case 6:
		d.store.Remove("servers/" + wk.ID())
		time.Sleep(lasts)
		wk.Register(d.store)
	case 7:
		d.configure(d.routes...)
		d.store.Compact()
	case 8:
		d.store.LoseWrites(between(rnd, 1, 3), lasts)
		d.store.EndLeases()
	}
}

// checkBudget counts the arrivals beyond the first of each request. The first reading of its prompt that
// an engine accepts is not one.
func (d *deployment) checkBudget(requests int) {
	arrivals, read := map[string]int{}, map[string]bool{}
	for _, wk := range d.workers {
		for _, id := range wk.Arrivals() {
			arrivals[id]++
		}
		for _, r := range wk.Runs() {
			read[r.ID] = read[r.ID] || (r.Prefill && r.Finished)
		}
	}
	extra := 0
	for id, n := range arrivals {
		if extra += n - 1; read[id] {
			extra--
		}
	}
	require.LessOrEqual(d.t, float64(extra), 0.2*float64(requests)+float64(len(d.nodes)), "arrivals beyond the first of %d requests", requests)
}
