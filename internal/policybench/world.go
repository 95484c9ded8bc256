// Package policybench measures the decision packages against baselines in a small virtual-time
// model of one pool of engines. The model covers what the policies see and decide: batching steps,
// prefill and decode cost, pieces of KV cache, prefix caches, role changes that cost seconds, and
// load reports that lag. It does not model processes or networks.
package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/eventsim"
	"github.com/quetzallug/quetzallug/routing"
)

const (
	// entries is the number of entries that route independently of each other.
	entries      = 3
	reportPeriod = 250 * time.Millisecond
	planPeriod   = time.Second
	// cacheLag and cacheLoss make cache events late and gappy.
	cacheLag  = 500 * time.Millisecond
	cacheLoss = 0.1
	// resumeDelay is the time until an entry notices a broken stream.
	resumeDelay = 50 * time.Millisecond
	maxAttempts = 3
)

// policy decides for the pool.
type policy interface {
	// choose picks the engines of a request, or refuses it with a reason.
	choose(r *request) (prefill, decode *engine, refusal string)
	// accept is the check at the engine; an empty reason accepts.
	accept(r *request, e *engine) string
	// hopeless tells whether a queued request should be dropped before the engine starts it.
	hopeless(r *request, e *engine) bool
	// retry tells whether a refused request may be tried elsewhere.
	retry(r *request) bool
	firstToken(r *request)
	finished(r *request)
	report(e *engine, sequence uint64, age time.Duration, l external.EngineLoad)
	cacheEvent(e *engine, c external.CacheEvent)
	restarted(e *engine)
	plan(o *offered)
}

// offered counts the offered requests between two planning rounds.
type offered struct {
	long, chat offeredKind
}

type offeredKind struct{ requests, prompt, output float64 }

func (k *offeredKind) add(r *request) {
	k.requests++
	k.prompt += float64(r.prompt)
	k.output += float64(r.kind.output)
}

// world is one run.
type world struct {
	eventsim.Sim

	fleet   *fleet
	load    *workload
	lag     time.Duration
	noise   *rand.Rand
	engines []*engine
	policy  policy
	version int
	stats   stats
	offered offered
	pending []offered // not yet visible to the planner
}

func newWorld(f *fleet, l *workload, lag time.Duration, seed uint64, s platformSplit) *world {
	w := &world{fleet: f, load: l, lag: lag, noise: rand.New(rand.NewPCG(seed, 2))}
	w.stats.refusals, w.stats.warmUp = make(map[string]int), warmUp
	speeds := rand.New(rand.NewPCG(seed, 3))
	for i := range f.engines {
		w.engines = append(w.engines, &engine{
			w: w, index: i, id: fmt.Sprintf("%s-%02d", f.name, i), role: s.role(i), free: enginePieces,
			since: -time.Hour, slowness: 0.95 + 0.1*speeds.Float64(),
		})
	}
	return w
}

// run plays the workload and returns the figures.
func (w *world) run(p policy, seed uint64) *stats {
	w.policy = p
	w.feed(arrivals(w.fleet, w.load, seed))
	for i, e := range w.engines {
		// Reports are spread over the period.
		w.After(reportPeriod*time.Duration(i)/time.Duration(len(w.engines)), func() {
			w.sendReport(e)
			w.Every(reportPeriod, func() { w.sendReport(e) })
		})
	}
	w.Every(planPeriod, w.planRound)
	if w.load.loseAt > 0 {
		w.After(w.load.loseAt, w.loseEngines)
	}
	const tail = 30 * time.Second
	w.RunUntil(w.load.duration + tail)
	w.stats.duration = w.load.duration - w.stats.warmUp
	return &w.stats
}

// feed schedules the next arrival only, which keeps the event queue short.
func (w *world) feed(rest []*request) {
	if len(rest) > 0 {
		w.After(rest[0].arrived-w.At, func() {
			w.arrive(rest[0])
			w.feed(rest[1:])
		})
	}
}

// loseEngines crashes one engine of each dedicated role, or any two if a role is absent.
func (w *world) loseEngines() {
	for _, role := range []external.Role{external.RolePrefill, external.RoleDecode} {
		i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.state != dead && e.role == role })
		if i < 0 {
			i = slices.IndexFunc(w.engines, func(e *engine) bool { return e.state != dead })
		}
		w.engines[i].crash()
	}
}

func (w *world) sendReport(e *engine) {
	if e.state == dead {
		return
	}
	e.reports++
	sequence, l, life := e.reports, e.report(), e.epoch
	w.After(w.lag, func() {
		if e.epoch == life {
			w.policy.report(e, sequence, w.lag, l)
		}
	})
}

func (w *world) planRound() {
	w.pending = append(w.pending, w.offered)
	w.offered = offered{}
	if len(w.pending) > int(w.lag/planPeriod) {
		o := w.pending[0]
		w.pending = w.pending[1:]
		w.policy.plan(&o)
	}
}

func (w *world) arrive(r *request) {
	if r.kind == &w.fleet.long {
		w.offered.long.add(r)
	} else {
		w.offered.chat.add(r)
	}
	w.stats.offer(r)
	w.dispatch(r)
}

func (w *world) dispatch(r *request) {
	p, d, refusal := w.policy.choose(r)
	if refusal != "" {
		w.stats.refuse(r, refusal)
		return
	}
	r.prefill, r.decode = p, d
	if d != p {
		d.incoming++
	}
	w.After(networkHop, func() { w.atPrefill(r) })
}

func (w *world) atPrefill(r *request) {
	e := r.prefill
	reason := ""
	if e.state != serving {
		reason = "draining"
	} else {
		reason = w.policy.accept(r, e)
	}
	if reason == "" {
		e.enqueue(r)
		return
	}
	w.release(r)
	w.policy.finished(r)
	r.attempts++
	r.exclude = append(r.exclude, e.id)
	if r.attempts >= maxAttempts || !w.policy.retry(r) {
		w.stats.refuse(r, reason)
		return
	}
	w.After(networkHop, func() { w.dispatch(r) })
}

// release undoes the reservation at the decode engine.
func (w *world) release(r *request) {
	if r.decode != r.prefill {
		r.decode.incoming--
		r.decode.drained()
	}
}

// prefilled delivers the first token and hands the request to its decode engine.
func (w *world) prefilled(e *engine, r *request) {
	if !r.hasFirst {
		r.first, r.hasFirst = w.At, true
		w.policy.firstToken(r)
	}
	r.produced++
	if r.produced >= r.output {
		w.release(r)
		w.finish(r)
		return
	}
	if r.decode == e {
		e.join(r)
		return
	}
	d := r.decode
	transfer := seconds(float64(r.prompt)*kvTokenBytes/kvBandwidth) + networkHop
	w.After(transfer, func() {
		d.incoming--
		if d.state == dead || d.state == changing {
			w.resume(r)
			return
		}
		d.join(r)
	})
}

// resume sends a request again whose engine failed: its prompt and what was delivered are
// prefilled on another engine.
func (w *world) resume(r *request) {
	w.policy.finished(r)
	r.attempts++
	if r.attempts >= maxAttempts {
		w.stats.refuse(r, "failed")
		return
	}
	r.prefillLeft, r.cacheChecked, r.started = r.prompt+r.produced, false, false
	w.After(resumeDelay, func() { w.dispatch(r) })
}

// drop refuses a queued request that the engine has not started.
func (w *world) drop(r *request) {
	w.release(r)
	w.policy.finished(r)
	w.stats.refuse(r, "late")
}

func (w *world) finish(r *request) {
	r.last = w.At
	w.policy.finished(r)
	w.stats.finish(r)
}

func (w *world) changed() { w.version++ }

// order starts a role change.
func (w *world) order(e *engine, role external.Role) {
	w.stats.changes++
	e.change(role)
}

func (w *world) cacheEvent(e *engine, prefix int, evicted bool) {
	for _, b := range prefixBlocks(prefix) {
		e.events++
		c := external.CacheEvent{Sequence: e.events, Prefix: b, Evicted: evicted}
		if w.noise.Float64() >= cacheLoss {
			w.After(cacheLag, func() { w.policy.cacheEvent(e, c) })
		}
	}
}

// maxPrefixes is the most shared prefixes of a kind.
const maxPrefixes = 64

var prefixHashes = func() (out [maxPrefixes][prefixTokens / routing.BlockTokens]uint64) {
	for p := range out {
		for b := range out[p] {
			out[p][b] = xxhash.Sum64String(fmt.Sprint("prefix-", p, "-", b))
		}
	}
	return out
}()

// prefixBlocks are the block hashes of a shared prefix.
func prefixBlocks(prefix int) []uint64 { return prefixHashes[prefix][:] }
