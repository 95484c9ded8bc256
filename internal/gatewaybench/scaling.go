package gatewaybench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/scaling"
)

// Policies for the number of engines.
const (
	// ScaleFixed leaves the number as it is.
	ScaleFixed = "fixed"
	// ScaleReactive follows the utilisation, of which it sees the exact value of all engines.
	ScaleReactive = "reactive"
	// ScalePlanner uses the plan of this version of the gateway, with what one instance knows.
	ScalePlanner = "planner"
)

const (
	// registrationLease is the time after which the registration of a crashed engine disappears.
	registrationLease = 10 * time.Second
	// drainTime is the longest time for which a removed engine completes its requests.
	drainTime = 8 * time.Second
	// lateOrder is the delay of orders while the platform is late.
	lateOrder = 5 * time.Second
	// orderAnswer is the time after which an order is answered.
	orderAnswer = 5 * time.Millisecond
	// orderTimeout is the time after which an order without an answer is given up.
	orderTimeout = time.Second
)

// ScalingRun describes a run with a variable number of engines.
type ScalingRun struct {
	Policy string
	// Min and Max limit the engines of each data centre.
	Min, Max int
	BootTime time.Duration
}

// ScalingResult is the outcome of such a run.
type ScalingResult struct {
	// Offered counts the requests, Served those that were answered and OnTime those answered on time.
	Offered, Served, OnTime int
	// EngineSeconds is the time for which engines are billed, from the order to the end of each. Without the time
	// before the first request.
	EngineSeconds float64
	// Orders counts the orders for engines, Most is the largest number of engines at a time.
	Orders, Most int
}

// cloud models the part of the platform that runs engines.
type cloud struct {
	sim    *simulation
	policy *gatewayPolicy
	run    ScalingRun
	late   bool
	// desired is the number of engines by data centre, booting holds the engines that boot, by data centre.
	desired map[string]int
	booting map[string]int
	lastID  int
	result  ScalingResult
	// cancelled counts the boots that were cancelled, by data centre.
	cancelled map[string]int
}

// SimulateScaling runs a day with a variable number of engines. The deployment's engines are those at the start.
func SimulateScaling(dep *Deployment, day *Day, run ScalingRun, seed uint64) *ScalingResult {
	sim := newSimulation(dep, day, seed)
	p := newGatewayPolicy(sim, seed, true)
	c := &cloud{sim: sim, policy: p, run: run, desired: map[string]int{}, booting: map[string]int{}, cancelled: map[string]int{}, lastID: len(sim.engines)}
	sim.cloud, sim.policy = c, p
	for _, e := range sim.engines {
		c.desired[e.dataCentre]++
	}
	switch run.Policy {
	case ScaleReactive:
		r := &reactive{cloud: c, recent: map[string][]int{}}
		sim.clock.Every(reactiveSample, r.sample)
		sim.clock.Every(reactiveInterval, r.decide)
	case ScalePlanner:
		planner := &plannedScaling{cloud: c, planner: scaling.NewPlanner(), limits: scaling.Limits{Min: run.Min, Max: run.Max, BootTime: run.BootTime}}
		sim.clock.Every(gateway.PlanInterval, planner.round)
	}
	sim.clock.Every(time.Second, c.bill)
	sim.run()
	for _, k := range sim.result.kinds {
		c.result.Offered += k.offered
		c.result.Served += k.answered
		c.result.OnTime += k.onTime
	}
	return &c.result
}

// bill adds the cost of one second.
func (c *cloud) bill() {
	if at := c.sim.clock.At; at <= c.sim.warmUp() || at > c.sim.warmUp()+time.Duration(c.sim.day.Length) {
		return
	}
	n := 0
	for _, e := range c.sim.engines {
		if !e.unresponsive || !e.draining {
			n++
		}
	}
	for _, b := range c.booting {
		n += b
	}
	c.result.EngineSeconds += float64(n)
	c.result.Most = max(c.result.Most, n)
}

// order sets the number of engines in a data centre. answered is called with whether an answer came.
func (c *cloud) order(dataCentre string, count int, answered func(ok bool)) {
	c.result.Orders++
	if c.late {
		c.sim.clock.After(lateOrder, func() { c.set(dataCentre, count) })
		c.sim.clock.After(orderTimeout, func() { answered(false) })
		return
	}
	c.sim.clock.After(orderAnswer, func() {
		c.set(dataCentre, count)
		answered(true)
	})
}

// running returns the engines of a data centre that are not to be removed.
func (c *cloud) running(dataCentre string) []*engine {
	var out []*engine
	for _, e := range c.sim.engines {
		if e.dataCentre == dataCentre && !e.draining {
			out = append(out, e)
		}
	}
	return out
}

func (c *cloud) set(dataCentre string, count int) {
	c.desired[dataCentre] = count
	running := c.running(dataCentre)
	for len(running)+c.booting[dataCentre] < count {
		c.boot(dataCentre)
	}
	for len(running)+c.booting[dataCentre] > count && c.booting[dataCentre] > 0 {
		c.booting[dataCentre]--
		c.cancelled[dataCentre]++
	}
	for len(running) > count {
		i := c.sim.random.IntN(len(running))
		c.remove(running[i])
		running = slices.Delete(running, i, i+1)
	}
}

func (c *cloud) boot(dataCentre string) {
	c.booting[dataCentre]++
	c.sim.clock.After(c.run.BootTime, func() {
		if c.cancelled[dataCentre] > 0 {
			c.cancelled[dataCentre]--
			return
		}
		c.booting[dataCentre]--
		c.lastID++
		e := &engine{
			sim: c.sim, id: fmt.Sprintf("i-%03d", c.lastID), dataCentre: dataCentre, role: external.EngineRoleDecode,
			cache:    newPromptCache(c.sim.dep.Engines.MemoryTokens),
			workTime: newWorkTime(&c.sim.dep.Engines, slices.Index(c.sim.dep.DataCentres, dataCentre), c.sim.random),
		}
		c.sim.engines = append(c.sim.engines, e)
		c.sim.byID[e.id] = e
		c.sim.publishRegistration(e)
	})
}

// remove drains an engine, which ends after drainTime.
func (c *cloud) remove(e *engine) {
	e.draining = true
	c.sim.publishRegistration(e)
	c.sim.clock.After(drainTime, func() { c.end(e) })
}

// crash ends an engine. Its registration disappears later, and the platform starts another one.
func (c *cloud) crash(e *engine) {
	e.fail()
	e.draining = true
	c.sim.clock.After(registrationLease, func() { c.end(e) })
	c.set(e.dataCentre, c.desired[e.dataCentre])
}

func (c *cloud) end(e *engine) {
	e.fail()
	c.sim.engines = slices.DeleteFunc(c.sim.engines, func(x *engine) bool { return x == e })
	for _, r := range c.policy.rosters {
		r.Apply([]gateway.Change{{ID: e.id}}, c.sim.clock.Now())
	}
}

// plannedScaling runs the planner with what the first entry knows.
type plannedScaling struct {
	cloud   *cloud
	planner *scaling.Planner
	limits  scaling.Limits
}

func (p *plannedScaling) round() {
	sim, policy := p.cloud.sim, p.cloud.policy
	now := sim.clock.Now()
	o := gateway.ObserveScaling(policy.rosters[0].Servers(service), now)
	o.Limits, o.RolesChange = p.limits, policy.rolePlan.IsChanging(now)
	o.Offered, o.Refused = policy.offered, policy.refused
	policy.offered, policy.refused = 0, 0
	for _, order := range p.planner.Next(o, sim.clock.At >= sim.warmUp()/2, now) {
		p.cloud.order(order.DataCentre, order.Count, func(ok bool) {
			outcome := scaling.Unknown
			if ok {
				outcome = scaling.Accepted
			}
			p.planner.Record(order, outcome, sim.clock.Now())
		})
	}
	policy.rolePlan.SetLeaving(p.planner.Leaving(now))
}

const (
	reactiveSample   = 500 * time.Millisecond
	reactiveInterval = 5 * time.Second
	// reactiveTarget is the utilisation at which the number is right, and reactiveTolerance the relative difference
	// that is ignored.
	reactiveTarget    = 0.7
	reactiveTolerance = 0.1
	// reactiveDown is the number of decisions of which the highest counts, so that the number falls slowly.
	reactiveDown = 12
)

// reactive sets the number of engines of a data centre to the one at which the present work would use reactiveTarget
// of them.
type reactive struct {
	cloud   *cloud
	busy    map[string]float64
	engines map[string]int
	recent  map[string][]int
}

func (r *reactive) sample() {
	if r.busy == nil {
		r.busy, r.engines = map[string]float64{}, map[string]int{}
	}
	for _, e := range r.cloud.sim.engines {
		if e.draining || e.unresponsive {
			continue
		}
		r.engines[e.dataCentre]++
		switch {
		case e.role != external.EngineRolePrefill:
			r.busy[e.dataCentre] += float64(e.running) / float64(r.cloud.sim.dep.Engines.Slots)
		case e.prefilling:
			r.busy[e.dataCentre]++
		}
	}
}

func (r *reactive) decide() {
	if r.cloud.sim.clock.At < r.cloud.sim.warmUp() {
		r.busy = nil
		return
	}
	for _, dc := range r.cloud.sim.dep.DataCentres {
		current := r.cloud.desired[dc]
		ratio := r.busy[dc] / float64(max(r.engines[dc], 1)) / reactiveTarget
		wanted := current
		if math.Abs(ratio-1) > reactiveTolerance {
			wanted = int(math.Ceil(ratio * float64(len(r.cloud.running(dc)))))
		}
		wanted = min(max(wanted, r.cloud.run.Min), r.cloud.run.Max)
		r.recent[dc] = append(r.recent[dc], wanted)
		r.recent[dc] = r.recent[dc][max(0, len(r.recent[dc])-reactiveDown):]
		if wanted = slices.Max(r.recent[dc]); wanted != current {
			r.cloud.order(dc, wanted, func(bool) {})
		}
	}
	r.busy = nil
}

// add adds the result of another run.
func (r *ScalingResult) add(o *ScalingResult) {
	r.Offered += o.Offered
	r.Served += o.Served
	r.OnTime += o.OnTime
	r.EngineSeconds += o.EngineSeconds
	r.Orders += o.Orders
	r.Most = max(r.Most, o.Most)
}

// ServedShare returns the fraction of the requests that were answered.
func (r *ScalingResult) ServedShare() float64 { return float64(r.Served) / float64(max(r.Offered, 1)) }

func (r *ScalingResult) String() string {
	return fmt.Sprintf("served %.3f, on time %.3f of %d; %.0f engine seconds, at most %d engines, %d orders",
		r.ServedShare(), float64(r.OnTime)/float64(max(r.Offered, 1)), r.Offered, r.EngineSeconds, r.Most, r.Orders)
}
