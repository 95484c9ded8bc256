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

// service is the name of the only service, to which all engines belong.
const service = "engines"

const (
	// registrationDelay is the mean time until an entry learns of a changed registration: half the duration of a
	// watch call plus half the pause between two.
	registrationDelay = time.Second
	// minFirstEventWait is the shortest time that a caller waits for the first event.
	minFirstEventWait = 2 * time.Second
	// impatientRetries is the number of immediate retries of an impatient caller.
	impatientRetries = 4
	// refusalDelay is the time a refusal takes from an engine back to the entry.
	refusalDelay = time.Millisecond
	// cooldown is simulated after the end of the day so that the last requests can complete.
	cooldown = 16 * time.Second
)

// simulation is the state of one run.
type simulation struct {
	clock   eventsim.Sim
	dep     *Deployment
	day     *Day
	policy  policy
	random  *rand.Rand
	engines []*engine
	byID    map[string]*engine
	// linkSlowdown is the factor, at least 1, by which prompt transfers are slower than normal.
	linkSlowdown float64
	routes       []*route.Route
	// cumulativeWeights holds the sums from which drawVariant draws; the key is kind*16+level.
	cumulativeWeights map[int][]float64
	callers           callers
	lastRequestID     uint64
	result            *Result
	// cloud adds and removes engines; nil if their number is fixed.
	cloud *cloud
}

// request is one request of a caller, retries included.
type request struct {
	kind       int
	metadata   gateway.RequestMetadata
	partKeys   []uint64
	eventCount int
	// sizeWeight is the factor, from 0.3 to 4, by which the worth of the answer depends on the size of
	// the request. It is 1 at mean size.
	sizeWeight float64
	// arrivedAt and deadline are simulated times since the start of the run, unlike Kind.Deadline.
	arrivedAt   time.Duration
	deadline    time.Duration
	retriesLeft int
	entry       int
	// account is the index of the account; it means nothing if the deployment has none.
	account int
	// An impatient caller ignores the retry delay it is given.
	impatient bool
	refusals  int

	firstEventAt time.Duration
	lastEventAt  time.Duration
	longestPause time.Duration
	ended        bool
	tasks        []*task
	// onEnd callbacks close the accounting of the entries that sent the request.
	onEnd []func()
}

func newSimulation(dep *Deployment, day *Day, seed uint64) *simulation {
	sim := &simulation{
		dep: dep, day: day, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*engine), linkSlowdown: 1, //nolint:gosec // simulation
		cumulativeWeights: make(map[int][]float64), result: newResult(dep),
	}
	prefill := int(math.Round(dep.Engines.PrefillShare * float64(dep.Engines.Count)))
	for i := range dep.Engines.Count {
		e := &engine{
			sim: sim, id: fmt.Sprintf("i-%03d", i), dataCentre: dep.DataCentres[i%len(dep.DataCentres)], role: external.EngineRoleDecode,
			cache:    newPromptCache(dep.Engines.MemoryTokens),
			workTime: newWorkTime(&dep.Engines, i%len(dep.DataCentres), rand.New(rand.NewPCG(seed, uint64(i)+1000))), //nolint:gosec // simulation
		}
		if i < prefill {
			e.role = external.EngineRolePrefill
		}
		sim.engines = append(sim.engines, e)
		sim.byID[e.id] = e
	}
	sim.callers = newCallers(sim)
	sim.result.accounts = make([]accountResult, dep.Accounts.Count)
	for i := range dep.Kinds {
		k := &dep.Kinds[i]
		sim.routes = append(sim.routes, &route.Route{
			Name: k.Name, Stream: true, DeclaresPrompt: true, Timeout: time.Duration(k.Deadline), TargetLatency: time.Duration(k.Target),
			Priority: k.Priority, MaxAttempts: 1, Shares: []route.Share{{Service: service, Weight: 1}},
		})
	}
	return sim
}

func (sim *simulation) registration(e *engine) gateway.Registration {
	return gateway.Registration{ID: e.id, Service: service, Address: e.id, DataCentre: e.dataCentre, Slots: sim.dep.Engines.Slots, Role: e.role, Draining: e.draining, Born: 1}
}

// publishRegistration makes the current registration of an engine known to the entries after registrationDelay.
func (sim *simulation) publishRegistration(e *engine) {
	reg := sim.registration(e)
	sim.clock.After(registrationDelay, func() { sim.policy.updateRegistration(reg) })
}

func (sim *simulation) run() {
	for i := range sim.dep.Kinds {
		sim.scheduleArrival(i)
	}
	for _, f := range sim.day.Faults {
		sim.clock.After(time.Duration(f.At)+sim.warmUp(), func() { sim.injectFault(&f) })
	}
	sim.clock.RunUntil(sim.warmUp() + time.Duration(sim.day.Length) + cooldown)
	for _, e := range sim.engines {
		sim.result.roleChangeTime += e.roleChangeTime
	}
}

// warmUp returns the time before the first request, in which the policy can assign roles.
func (sim *simulation) warmUp() time.Duration { return 10 * time.Second }

func (sim *simulation) injectFault(f *Fault) {
	switch f.Kind {
	case FaultSlowLinks:
		sim.linkSlowdown = max(1, f.Factor)
		sim.clock.After(time.Duration(f.Duration), func() { sim.linkSlowdown = 1 })
	case FaultCrash:
		n := int(math.Round(f.Share * float64(len(sim.engines))))
		for _, i := range sim.random.Perm(len(sim.engines))[:n] {
			sim.cloud.crash(sim.engines[i])
		}
	case FaultLatePlatform:
		sim.cloud.late = true
		sim.clock.After(time.Duration(f.Duration), func() { sim.cloud.late = false })
	case FaultUnresponsive:
		n := int(math.Round(f.Share * float64(len(sim.engines))))
		for _, i := range sim.random.Perm(len(sim.engines))[:n] {
			e := sim.engines[i]
			e.fail()
			sim.clock.After(time.Duration(f.Duration), e.restore)
		}
	}
}

// rate returns the current request rate of a kind and the current share of impatient callers.
func (sim *simulation) rate(kind int) (perSecond, impatient float64) {
	k := &sim.dep.Kinds[kind]
	perSecond = k.PerSecond
	at := sim.clock.At - sim.warmUp()
	for _, l := range sim.day.Loads {
		if l.Account > 0 || !l.appliesTo(kind, k.Name) || !l.active(at) {
			continue
		}
		if l.Factor > 0 {
			perSecond *= l.Factor
		}
		impatient = max(impatient, l.ImpatientShare)
	}
	if len(sim.callers.shares) > 0 {
		_, total, _ := sim.accountWeights(kind)
		perSecond *= total
	}
	return perSecond, impatient
}

func (sim *simulation) scheduleArrival(kind int) {
	perSecond, _ := sim.rate(kind)
	gap := time.Duration(sim.random.ExpFloat64() / perSecond * float64(time.Second))
	if sim.clock.At < sim.warmUp() {
		gap += sim.warmUp() - sim.clock.At
	}
	sim.clock.After(gap, func() {
		if sim.clock.At >= sim.warmUp()+time.Duration(sim.day.Length) {
			return
		}
		_, impatient := sim.rate(kind)
		r := sim.drawRequest(kind)
		r.impatient = sim.random.Float64() < impatient
		sim.result.recordArrival(r)
		sim.clock.After(r.deadline-sim.clock.At, func() { sim.finish(r, outcomeGaveUp) })
		sim.submit(r)
		sim.scheduleArrival(kind)
	})
}

// lognormal draws from a lognormal distribution with the given mean; spread is the standard deviation of the
// logarithm.
func (sim *simulation) lognormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*sim.random.NormFloat64()-spread*spread/2)
}

// bounded caps v at limit; a limit of 0 means no cap.
func bounded(v, limit float64) float64 {
	if limit > 0 {
		return min(v, limit)
	}
	return v
}

const (
	// Spreads of the lognormal distributions: sizeSpread of a request's own prompt part and number of events,
	// sharedSpread of shared prompt parts.
	sizeSpread   = 0.9
	sharedSpread = 0.5
)

func (sim *simulation) drawRequest(kind int) *request {
	k := &sim.dep.Kinds[kind]
	sim.lastRequestID++
	r := &request{
		kind: kind, arrivedAt: sim.clock.At, deadline: sim.clock.At + time.Duration(k.Deadline), retriesLeft: k.Retries,
		entry: sim.random.IntN(sim.dep.Entries), eventCount: max(1, int(math.Round(bounded(sim.lognormal(k.MeanEvents, sizeSpread), k.MaxEvents)))),
	}
	if len(sim.callers.shares) > 0 {
		sim.drawAccount(r)
	}
	partKey := uint64(kind + 1)
	for level, s := range k.Shared {
		variant := sim.drawVariant(kind, level, &s)
		partKey = splitmix.Mix(partKey*1_000_003 + uint64(level)<<32 + uint64(variant))
		// Seeded by the part, so that every request with this part sees the same size.
		partRandom := rand.New(rand.NewPCG(partKey, 2)) //nolint:gosec // simulation
		tokens := s.Tokens * math.Exp(sharedSpread*partRandom.NormFloat64()-sharedSpread*sharedSpread/2)
		r.addPart(partKey, int(tokens)+1)
	}
	own := int(bounded(sim.lognormal(k.OwnTokens, sizeSpread), k.MaxOwnTokens)) + 1
	r.addPart(splitmix.Mix(partKey+sim.lastRequestID), own)
	r.metadata.ID = fmt.Sprint(sim.lastRequestID)
	r.metadata.OutputTokens = r.eventCount
	// An event counts as ten prompt tokens.
	mean := k.OwnTokens + 10*k.MeanEvents
	for _, s := range k.Shared {
		mean += s.Tokens
	}
	size := float64(r.metadata.PromptTokens) + 10*float64(r.eventCount)
	r.sizeWeight = min(4, 0.3+0.7*size/mean)
	return r
}

func (r *request) addPart(key uint64, tokens int) {
	r.partKeys = append(r.partKeys, key)
	r.metadata.Parts = append(r.metadata.Parts, gateway.PromptPart{ID: key, Tokens: tokens})
	r.metadata.PromptTokens += tokens
}

// drawVariant draws the index of a shared part of a level with probability proportional to
// 1/(index+1)^Skew.
func (sim *simulation) drawVariant(kind, level int, s *SharedParts) int {
	id := kind*16 + level
	sums := sim.cumulativeWeights[id]
	if sums == nil {
		total := 0.0
		for i := range s.Variants {
			total += math.Pow(float64(i+1), -s.Skew)
			sums = append(sums, total)
		}
		sim.cumulativeWeights[id] = sums
	}
	x := sim.random.Float64() * sums[len(sums)-1]
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

// submit hands the request to the policy. The caller gives up at its deadline, or earlier if it has waited too
// long for the first event.
func (sim *simulation) submit(r *request) {
	patience := min(r.deadline-sim.clock.At, max(minFirstEventWait, 4*time.Duration(sim.dep.Kinds[r.kind].Target)))
	retriesLeft := r.retriesLeft
	sim.clock.After(patience, func() {
		if !r.ended && r.firstEventAt == 0 && r.retriesLeft == retriesLeft {
			sim.finish(r, outcomeGaveUp)
		}
	})
	sim.policy.dispatch(r)
}

// refuse refuses a request with a retry delay, and schedules the caller's retry if it makes one.
func (sim *simulation) refuse(r *request, retryAfter time.Duration) {
	r.refusals++
	sim.result.kinds[r.kind].refusals++
	retriesLeft := r.retriesLeft
	if r.impatient {
		retriesLeft, retryAfter = impatientRetries-r.refusals+1, 0
	}
	if retriesLeft <= 0 || sim.clock.At+retryAfter >= r.deadline {
		sim.finish(r, outcomeRefused)
		return
	}
	r.retriesLeft--
	// A retry uses a new connection, which reaches any entry and takes 2 ms.
	sim.clock.After(retryAfter+2*time.Millisecond, func() {
		r.entry = sim.random.IntN(sim.dep.Entries)
		sim.submit(r)
	})
}

// outcome is how a request ended for its caller.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeGaveUp
)

func (sim *simulation) finish(r *request, o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	for _, t := range r.tasks {
		t.cancelled = true
	}
	for _, onEnd := range r.onEnd {
		onEnd()
	}
	sim.result.recordOutcome(r, o, sim.dep)
}

// recordEvent records the time of an event of the answer.
func (sim *simulation) recordEvent(r *request) {
	now := sim.clock.At
	if r.firstEventAt == 0 {
		r.firstEventAt = now
	} else {
		r.longestPause = max(r.longestPause, now-r.lastEventAt)
	}
	r.lastEventAt = now
}
