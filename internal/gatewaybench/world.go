package gatewaybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/eventsim"
	"github.com/quetzallug/quetzallug/internal/splitmix"
	"github.com/quetzallug/quetzallug/route"
)

// service is the name of the one service of engines.
const service = "engines"

const (
	// followTime is how long an entry takes to learn of a change of an engine's registration: half of the
	// wait of a watch and of the pause after it.
	followTime = time.Second
	// callerPatience is the least time that a caller waits for the first event.
	callerPatience = 2 * time.Second
	// impatientReturns is how often impatient callers return, at once.
	impatientReturns = 4
	// refusalDelay is the way of a refusal from an engine back to the entry.
	refusalDelay = time.Millisecond
	// tailSlack is added to the day, so that the last requests can end.
	tailSlack = 16 * time.Second
)

// world is one run.
type world struct {
	sim        eventsim.Sim
	dep        *Deployment
	day        *Day
	policy     policy
	random     *rand.Rand
	engines    []*engine
	byID       map[string]*engine
	linkFactor float64
	routes     []*route.Route
	popular    map[int][]float64
	ids        uint64
	stats      *Result
}

// request is one request of a caller, with its returns.
type request struct {
	kind     int
	call     gateway.RequestMetadata
	keys     []uint64
	events   int
	value    float64
	arrived  time.Duration
	deadline time.Duration
	returns  int
	entry    int
	// impatient callers do not wait as they are told.
	impatient bool
	refusals  int

	firstAt   time.Duration
	lastAt    time.Duration
	longPause time.Duration
	ended     bool
	work      []*work
	// onEnd lets the entry count what it had sent as ended.
	onEnd []func()
}

func newWorld(dep *Deployment, day *Day, seed uint64) *world {
	w := &world{
		dep: dep, day: day, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*engine), linkFactor: 1, //nolint:gosec // simulation
		popular: make(map[int][]float64), stats: newResult(dep),
	}
	prefill := int(math.Round(dep.Engines.PrefillShare * float64(dep.Engines.Count)))
	for i := range dep.Engines.Count {
		e := &engine{
			w: w, id: fmt.Sprintf("i-%03d", i), dataCentre: dep.DataCentres[i%len(dep.DataCentres)], role: external.RoleDecode,
			memory: newMemory(dep.Engines.Memory),
		}
		if i < prefill {
			e.role = external.RolePrefill
		}
		w.engines = append(w.engines, e)
		w.byID[e.id] = e
	}
	for i := range dep.Kinds {
		k := &dep.Kinds[i]
		w.routes = append(w.routes, &route.Route{
			Name: k.Name, Stream: true, Prompt: true, Timeout: time.Duration(k.Deadline), Target: time.Duration(k.Target),
			Priority: k.Priority, MaxAttempts: 1, Shares: []route.Share{{Service: service, Weight: 1}},
		})
	}
	return w
}

func (w *world) registration(e *engine) gateway.Registration {
	return gateway.Registration{ID: e.id, Service: service, Address: e.id, DataCentre: e.dataCentre, Slots: w.dep.Engines.Slots, Role: e.role, Born: 1}
}

// register tells the entries about an engine's role, with the delay that they learn it with.
func (w *world) register(e *engine) {
	reg := w.registration(e)
	w.sim.After(followTime, func() { w.policy.registered(reg) })
}

func (w *world) run() {
	for i := range w.dep.Kinds {
		w.nextArrival(i)
	}
	for _, f := range w.day.Faults {
		w.sim.After(time.Duration(f.At)+w.lead(), func() { w.fault(&f) })
	}
	w.sim.RunUntil(w.lead() + time.Duration(w.day.Length) + tailSlack)
	for _, e := range w.engines {
		w.stats.away += e.away
	}
}

// lead is the time before the first requests, in which roles are given.
func (w *world) lead() time.Duration { return 10 * time.Second }

func (w *world) fault(f *Fault) {
	switch f.Kind {
	case FaultSlowLinks:
		w.linkFactor = max(1, f.Factor)
		w.sim.After(time.Duration(f.For), func() { w.linkFactor = 1 })
	case FaultDark:
		n := int(math.Round(f.Share * float64(len(w.engines))))
		for _, i := range w.random.Perm(len(w.engines))[:n] {
			e := w.engines[i]
			e.fail()
			w.sim.After(time.Duration(f.For), e.heal)
		}
	}
}

// rate is the requests of a kind per second now, and the share of impatient callers.
func (w *world) rate(kind int) (perSecond, impatient float64) {
	k := &w.dep.Kinds[kind]
	perSecond = k.PerSecond
	at := w.sim.At - w.lead()
	for _, l := range w.day.Loads {
		if !l.concerns(kind, k.Name) || at < time.Duration(l.At) || at >= time.Duration(l.At)+time.Duration(l.For) {
			continue
		}
		if l.Factor > 0 {
			perSecond *= l.Factor
		}
		impatient = max(impatient, l.Impatient)
	}
	return perSecond, impatient
}

func (w *world) nextArrival(kind int) {
	perSecond, _ := w.rate(kind)
	gap := time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	if w.sim.At < w.lead() {
		gap += w.lead() - w.sim.At
	}
	w.sim.After(gap, func() {
		if w.sim.At >= w.lead()+time.Duration(w.day.Length) {
			return
		}
		_, impatient := w.rate(kind)
		r := w.draw(kind)
		r.impatient = w.random.Float64() < impatient
		w.stats.offered(r)
		w.sim.After(r.deadline-w.sim.At, func() { w.end(r, endGaveUp) })
		w.arrive(r)
		w.nextArrival(kind)
	})
}

// lognormal draws around a mean; spread is that of the logarithm.
func (w *world) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*w.random.NormFloat64()-spread*spread/2)
}

// bounded applies a bound, 0 for none.
func bounded(v, most float64) float64 {
	if most > 0 {
		return min(v, most)
	}
	return v
}

const (
	// sizeSpread and sharedSpread are the spreads of own and of shared parts of prompts.
	sizeSpread   = 0.9
	sharedSpread = 0.5
)

func (w *world) draw(kind int) *request {
	k := &w.dep.Kinds[kind]
	w.ids++
	r := &request{
		kind: kind, arrived: w.sim.At, deadline: w.sim.At + time.Duration(k.Deadline), returns: k.Retries,
		entry: w.random.IntN(w.dep.Entries), events: max(1, int(math.Round(bounded(w.lognormal(k.Events, sizeSpread), k.MostEvents)))),
	}
	parent := uint64(kind + 1)
	for level, s := range k.Shared {
		thing := w.thing(kind, level, &s)
		parent = splitmix.Mix(parent*1_000_003 + uint64(level)<<32 + uint64(thing))
		// The size of a part follows from the part, not from the request.
		part := rand.New(rand.NewPCG(parent, 2)) //nolint:gosec // simulation
		tokens := s.Tokens * math.Exp(sharedSpread*part.NormFloat64()-sharedSpread*sharedSpread/2)
		r.part(parent, int(tokens)+1)
	}
	own := int(bounded(w.lognormal(k.Own, sizeSpread), k.MostOwn)) + 1
	r.part(splitmix.Mix(parent+w.ids), own)
	r.call.ID = fmt.Sprint(w.ids)
	r.call.OutputTokens = r.events
	// The worth of a request grows with its size; the users weigh an event like ten prompt tokens.
	mean := k.Own + 10*k.Events
	for _, s := range k.Shared {
		mean += s.Tokens
	}
	size := float64(r.call.PromptTokens) + 10*float64(r.events)
	r.value = min(4, 0.3+0.7*size/mean)
	return r
}

func (r *request) part(key uint64, tokens int) {
	r.keys = append(r.keys, key)
	r.call.Parts = append(r.call.Parts, gateway.PromptPart{ID: key, Tokens: tokens})
	r.call.PromptTokens += tokens
}

// thing draws one of the parts of a level, the first ones more often if they are skewed.
func (w *world) thing(kind, level int, s *Shared) int {
	id := kind*16 + level
	sums := w.popular[id]
	if sums == nil {
		total := 0.0
		for i := range s.Things {
			total += math.Pow(float64(i+1), -s.Skew)
			sums = append(sums, total)
		}
		w.popular[id] = sums
	}
	x := w.random.Float64() * sums[len(sums)-1]
	low, high := 0, len(sums)-1
	for low < high {
		if mid := (low + high) / 2; sums[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// arrive has the policy place the request. The caller gives up at its deadline, or if nothing came for
// too long.
func (w *world) arrive(r *request) {
	patience := min(r.deadline-w.sim.At, max(callerPatience, 4*time.Duration(w.dep.Kinds[r.kind].Target)))
	attempt := r.returns
	w.sim.After(patience, func() {
		if !r.ended && r.firstAt == 0 && r.returns == attempt {
			w.end(r, endGaveUp)
		}
	})
	w.policy.place(r)
}

// refuse tells the caller to come back after a time, and plays its return.
func (w *world) refuse(r *request, after time.Duration) {
	r.refusals++
	w.stats.kinds[r.kind].refusals++
	limit := r.returns
	if r.impatient {
		limit, after = impatientReturns-r.refusals+1, 0
	}
	if limit <= 0 || w.sim.At+after >= r.deadline {
		w.end(r, endRefused)
		return
	}
	r.returns--
	// Returns reach other entries, over a new connection.
	w.sim.After(after+2*time.Millisecond, func() {
		r.entry = w.random.IntN(w.dep.Entries)
		w.arrive(r)
	})
}

// How requests end.
type end int

const (
	endAnswered end = iota
	endRefused
	endGaveUp
)

func (w *world) end(r *request, how end) {
	if r.ended {
		return
	}
	r.ended = true
	for _, wk := range r.work {
		wk.cancelled = true
	}
	for _, f := range r.onEnd {
		f()
	}
	w.stats.ended(r, how, w.dep)
}

// event notes an event of the answer.
func (w *world) event(r *request) {
	now := w.sim.At
	if r.firstAt == 0 {
		r.firstAt = now
	} else {
		r.longPause = max(r.longPause, now-r.lastAt)
	}
	r.lastAt = now
}
