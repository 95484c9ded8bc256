package gatewaybench

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Result holds the outcome of one run.
type Result struct {
	Policy string
	// Split is the number of prefill engines under PolicyStatic, and -1 under other policies.
	Split int
	kinds []kindResult
	// roleChanges is the number of role changes, roleChangeTime the total engine time they took.
	roleChanges    int
	roleChangeTime time.Duration
	// Prompt tokens that were prefilled, found in a cache, and transferred between engines.
	prefilledTokens, cachedTokens, transferredTokens int
	// enginesRefused counts the sends that engines refused, and prefillsRefused the prefills among them.
	enginesRefused, prefillsRefused int
	// kindNames has the names of kinds, in the same order.
	kindNames []string
	// Requests that arrived before since are not counted in kinds, except in refusals.
	since time.Duration
	// accounts counts the requests of each account.
	accounts []accountResult
	// shareRefusals counts the requests refused because their account asked for more than its fair share.
	shareRefusals int
}

// kindResult holds the outcome of the requests of one kind.
type kindResult struct {
	offered, answered, onTime, refused, gaveUp int
	// refusals counts every refusal, retries included; refused counts requests that ended refused.
	refusals                  int
	worthOffered, worthEarned float64
	firstEventTimes           []time.Duration
	// requests has an element for each request, from which largestServed picks the largest.
	requests []sizedRequest
}

type sizedRequest struct {
	// sizeWeight is that of the request.
	sizeWeight float64
	served     bool
}

func newResult(dep *Deployment) *Result {
	r := &Result{Split: -1, kinds: make([]kindResult, len(dep.Kinds))}
	for _, k := range dep.Kinds {
		r.kindNames = append(r.kindNames, k.Name)
	}
	return r
}

func (s *Result) recordArrival(r *request) {
	if r.arrivedAt >= s.since {
		s.kinds[r.kind].offered++
		if len(s.accounts) > 0 {
			s.accounts[r.account].offered++
		}
	}
}

func (s *Result) recordOutcome(r *request, o outcome, dep *Deployment) {
	if r.arrivedAt < s.since {
		return
	}
	k, kind := &s.kinds[r.kind], &dep.Kinds[r.kind]
	k.worthOffered += kind.Worth * r.sizeWeight
	k.requests = append(k.requests, sizedRequest{r.sizeWeight, o == outcomeAnswered})
	switch o {
	case outcomeRefused:
		k.refused++
	case outcomeGaveUp:
		k.gaveUp++
	case outcomeAnswered:
		k.answered++
		if len(s.accounts) > 0 {
			s.accounts[r.account].answered++
		}
		first := r.firstEventAt - r.arrivedAt
		k.firstEventTimes = append(k.firstEventTimes, first)
		if first <= time.Duration(kind.Target) && (kind.MaxPause == 0 || r.longestPause <= time.Duration(kind.MaxPause)) {
			k.onTime++
			k.worthEarned += kind.Worth * r.sizeWeight
		} else {
			k.worthEarned += kind.LateWorth * r.sizeWeight
		}
	}
}

// Worth returns the earned share of the worth of all requests.
func (s *Result) Worth() float64 {
	var offered, earned float64
	for _, k := range s.kinds {
		offered, earned = offered+k.worthOffered, earned+k.worthEarned
	}
	return earned / max(offered, 1e-9)
}

// KindSummary summarises the outcome of the requests of one kind. Served, OnTime, Refused and GaveUp are shares
// of the offered requests; served requests are those that were answered. Worth is the earned share of the kind's
// offered worth. FirstP50 and FirstP99 are quantiles of the time from arrival to first event of answered requests.
type KindSummary struct {
	Kind     string        `json:"kind"`
	Offered  int           `json:"offered"`
	Served   float64       `json:"served"`
	OnTime   float64       `json:"on_time"`
	Refused  float64       `json:"refused"`
	GaveUp   float64       `json:"gave_up"`
	Worth    float64       `json:"worth"`
	FirstP50 time.Duration `json:"first_p50_ns"`
	FirstP99 time.Duration `json:"first_p99_ns"`
	// LargestServed is the served share of the largest tenth of the requests.
	LargestServed float64 `json:"largest_served"`
}

// Kinds returns a summary for each kind.
func (s *Result) Kinds() []KindSummary {
	var out []KindSummary
	for i := range s.kinds {
		k := &s.kinds[i]
		n := float64(max(1, k.offered))
		slices.Sort(k.firstEventTimes)
		out = append(out, KindSummary{
			Kind: s.kindNames[i], Offered: k.offered, Served: float64(k.answered) / n, OnTime: float64(k.onTime) / n,
			Refused: float64(k.refused) / n, GaveUp: float64(k.gaveUp) / n, Worth: k.worthEarned / max(k.worthOffered, 1e-9),
			FirstP50: quantile(k.firstEventTimes, 0.5), FirstP99: quantile(k.firstEventTimes, 0.99), LargestServed: k.largestServed(),
		})
	}
	return out
}

// largestServed returns the served share of the tenth of requests with the highest sizeWeight.
func (k *kindResult) largestServed() float64 {
	all := slices.Clone(k.requests)
	slices.SortFunc(all, func(a, b sizedRequest) int { return cmp.Compare(b.sizeWeight, a.sizeWeight) })
	n, served := len(all)/10, 0
	for _, s := range all[:n] {
		if s.served {
			served++
		}
	}
	return float64(served) / float64(max(1, n))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Policies lists the policies that Simulate runs, in table order.
var Policies = []string{PolicyGateway, PolicyStatic, PolicyLeastLoaded, PolicyRoundRobin}

// Simulate runs one policy on a day and returns the result.
func Simulate(dep *Deployment, day *Day, policy string, seed uint64) *Result {
	if policy == PolicyStatic {
		return simulateStaticSplits(dep, day, seed)
	}
	sim := newSimulation(dep, day, seed)
	switch policy {
	case PolicyLeastLoaded, PolicyRoundRobin:
		sim.policy = &baselinePolicy{sim: sim, leastLoaded: policy == PolicyLeastLoaded}
	default:
		sim.policy = newGatewayPolicy(sim, seed, true)
	}
	sim.run()
	sim.result.Policy = policy
	return sim.result
}

// simulateStaticSplits tries every number of prefill engines and returns the result with the highest worth.
func simulateStaticSplits(dep *Deployment, day *Day, seed uint64) *Result {
	var best *Result
	for prefill := range dep.Engines.Count {
		sim := newSimulation(dep, day, seed)
		for i, e := range sim.engines {
			e.role = external.EngineRoleDecode
			if i < prefill {
				e.role = external.EngineRolePrefill
			}
		}
		sim.policy = newGatewayPolicy(sim, seed, false)
		sim.run()
		sim.result.Policy, sim.result.Split = PolicyStatic, prefill
		if best == nil || sim.result.Worth() > best.Worth() {
			best = sim.result
		}
	}
	return best
}
