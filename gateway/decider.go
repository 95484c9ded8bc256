package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/route"
)

// Decider selects backend servers for requests and decides which requests to refuse. It does no I/O
// and takes the current time as an argument, so that it also runs in simulations. It is safe for
// concurrent use.
type Decider struct {
	dataCentre string
	roster     *Roster
	prefixes   *prefixTable
	random     Random

	mu                sync.Mutex
	prefillEstimators map[string]*prefillEstimator

	sizes  sizeTrackers
	shares accountShares
}

// NewDecider returns a Decider for a process in a data centre.
func NewDecider(dataCentre string, r *Roster, random Random) *Decider {
	return &Decider{dataCentre: dataCentre, roster: r, prefixes: newPrefixTable(), random: random, prefillEstimators: make(map[string]*prefillEstimator)}
}

// SelectionRequest is a request for which backend servers are to be selected.
type SelectionRequest struct {
	Route    *route.Route
	Service  string
	Metadata *RequestMetadata
	// Deadline is the earlier of the caller's and the route's deadline.
	Deadline time.Time
	// TokensPerEvent is the number of output tokens in one event of the service's engines; 0 stands for 1.
	TokensPerEvent int
	// Account is the name of the client account; empty for callers without one, who count as one account.
	Account string
	// prefixKeys holds the keys of the prompt's prefixes; set by ComputePrefixKeys.
	prefixKeys []uint64
	// tried lists the backend servers that must not be chosen again.
	tried []*serverState
	// prefillServer has prefilled the prompt; nil if none has.
	prefillServer *Server
	// oneServer is true if the prompt must not be prefilled on another backend server, because the request is a probe, and
	// noTransfer if it must not because prefilled prompts can't be fetched.
	oneServer, noTransfer bool
	// admittedWork is the amount of work as which the request counts since it was admitted.
	admittedWork float64
}

// outputEvents returns the largest number of events of the answer.
func (q *SelectionRequest) outputEvents() int {
	return q.Metadata.OutputTokens / max(1, q.TokensPerEvent)
}

// ComputePrefixKeys computes the prefix keys. It must be called after Route and Metadata are set.
func (q *SelectionRequest) ComputePrefixKeys() {
	if q.Route.DeclaresPrompt {
		q.prefixKeys = prefixKeys(q.Metadata.Parts)
	}
}

// Exclude excludes a backend server from further choices for this request.
func (q *SelectionRequest) Exclude(s *Server) { q.tried = append(q.tried, s.state) }

// SetPrefillServer sets the backend server that has prefilled the prompt.
func (q *SelectionRequest) SetPrefillServer(s *Server) { q.prefillServer = s }

// Choice is the result of Decide.
type Choice struct {
	// PrefillServer prefills the prompt for Server; nil if Server does both or the prompt is already
	// prefilled.
	PrefillServer *Server
	// Server generates the answer; nil if there is none.
	Server *Server
	// UncachedTokens is the number of prompt tokens to be prefilled.
	UncachedTokens float64
	// TimeToFirst is the expected time to the first event.
	TimeToFirst time.Duration
	// Refuse is true if the request should be refused, with the advice to retry after RetryAfter.
	Refuse     bool
	RetryAfter time.Duration
	// Refusal is the reason for it.
	Refusal string
}

// Decide selects the backend servers for a request that was not sent yet or whose prompt is
// prefilled. It may advise refusing a request that was not sent yet.
func (d *Decider) Decide(q *SelectionRequest, now time.Time) Choice {
	c := d.choose(q, now)
	out := Choice{PrefillServer: c.prefillServer, Server: c.server, UncachedTokens: c.uncachedTokens, TimeToFirst: c.timeToFirst}
	if q.prefillServer == nil {
		if out.Refusal = d.admit(q, &c, now); out.Refusal != "" {
			out.Refuse, out.RetryAfter = true, d.retryAfter(q.Deadline, now)
		}
	}
	return out
}

// RecordNotServed records that a request which was admitted did not run.
func (d *Decider) RecordNotServed(q *SelectionRequest, now time.Time) {
	d.shares.admit(q.Service, -q.admittedWork, now)
	q.admittedWork = 0
}

// RecordSent records that a request was sent to a backend server, which has to prefill uncachedTokens
// tokens of its prompt.
func (d *Decider) RecordSent(q *SelectionRequest, s *Server, uncachedTokens float64, now time.Time) {
	s.recordSent(uncachedTokens, now)
	d.prefixes.record(q.prefixKeys, s.key, now)
}

// RecordPrefillDropped removes a prompt that will not be prefilled from the pending tokens of a
// backend server.
func (d *Decider) RecordPrefillDropped(s *Server, tokens float64) { s.subtractPendingTokens(tokens) }

// RecordPrefilled records that a prompt was prefilled. ahead is the backlog of the backend server
// before the request was sent at sentAt.
func (d *Decider) RecordPrefilled(q *SelectionRequest, s *Server, uncachedTokens float64, ahead Backlog, sentAt, now time.Time) {
	s.subtractPendingTokens(uncachedTokens)
	d.prefillEstimator(q.Service).observe(s.Role, uncachedTokens, ahead, now.Sub(sentAt), now)
}

// Backlog is the known work of a backend server that a new request waits for.
type Backlog struct {
	// PendingTokens is the number of prompt tokens that this process has sent and that are not
	// prefilled yet.
	PendingTokens float64
	// OtherTokens is an estimate of the same for the other gateway instances.
	OtherTokens float64
}

// Backlog returns the known work of a backend server.
func (d *Decider) Backlog(s *Server, now time.Time) Backlog {
	views := []view{s.view(now)}
	addOtherTokens(views, d.prefillEstimator(s.Service).estimates(now).meanUncached)
	return views[0].backlog()
}

// RecordActivity records that a backend server sent data. load is the load it reported, or nil.
func (d *Decider) RecordActivity(s *Server, load *Load, now time.Time) {
	if load == nil {
		s.recordActivity(nil, now)
		return
	}
	e := d.prefillEstimator(s.Service).estimates(now)
	read := time.Duration((e.prefill.fixed + e.meanUncached*e.prefill.perToken) * float64(time.Second))
	s.recordLoad(load, min(max(reportedPrompts*read, minReportDecay), maxReportDecay), now)
}

// RecordEnded records the end of a request, whatever its outcome.
func (d *Decider) RecordEnded(s *Server) { s.recordEnded() }

// RecordTransfer records the time from sending a request with a prompt prefilled elsewhere to its
// first event. delay is the value that DecodeDelay returned when the request was sent.
func (d *Decider) RecordTransfer(from, to *Server, elapsed, delay time.Duration, now time.Time) {
	from.recordTransfer(elapsed-transferTime-delay, now)
	to.recordTransfer(elapsed-transferTime-delay, now)
}

// RecordAbandonedTransfer records that a request with a prompt prefilled elsewhere was abandoned
// before its first event.
func (d *Decider) RecordAbandonedTransfer(from, to *Server, sentAt time.Time, delay time.Duration, now time.Time) {
	recordAbandonedTransfer(from, to, now.Sub(sentAt)-transferTime-delay, sentAt, now)
}

// DecodeDelay returns the expected delay of the first event from other requests that generate on the
// server.
func (d *Decider) DecodeDelay(s *Server, now time.Time) time.Duration {
	return time.Duration(decodeDelay(s, s.view(now)) * float64(time.Second))
}

// RecordRefusal records that a backend server refused a request.
func (d *Decider) RecordRefusal(s *Server, now time.Time) { s.recordRefusal(now) }

// choose selects the backend servers for the next attempt.
func (d *Decider) choose(q *SelectionRequest, now time.Time) choice {
	all := d.roster.Servers(q.Service)
	if c := d.chooseFrom(q, now, all, false); c.server != nil {
		return c
	}
	c := d.chooseFrom(q, now, all, true)
	if c.server == nil {
		if rest := shortestRest(all, q.tried, now); rest > 0 {
			c.reason, c.restsFor = reasonAllRest, rest
		} else if len(all) == 0 && d.roster.hasLeaving(q.Service) {
			c.reason = reasonAllLeave
		}
	}
	return c
}

// shortestRest returns how long until the first of the servers that rest and were not tried takes requests again;
// zero if none rests.
func shortestRest(servers []*Server, tried []*serverState, now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, s := range servers {
		if slices.Contains(tried, s.state) {
			continue
		}
		if v := s.view(now); v.restsFor > 0 && (shortest == 0 || v.restsFor < shortest) {
			shortest = v.restsFor
		}
	}
	return shortest
}

// chooseFrom selects among the usable backend servers that were not tried, or among all that were
// not tried if includeUnusable is set.
func (d *Decider) chooseFrom(q *SelectionRequest, now time.Time, all []*Server, includeUnusable bool) choice {
	servers, views := candidates(all, q.tried, q.Route.TargetLatency, now, includeUnusable)
	if !q.Route.DeclaresPrompt || len(q.Metadata.Parts) == 0 {
		c := chooseLeastLoaded(servers, views, d.dataCentre, d.random)
		if len(servers) < len(all) {
			c.slotsInUse = slotsInUse(all, now)
		}
		return c
	}
	if q.oneServer {
		return chooseLeastLoaded(servers, views, d.dataCentre, d.random)
	}
	estimates := d.prefillEstimator(q.Service).estimates(now)
	addOtherTokens(views, estimates.meanUncached)
	selector := newDecodeSelector(servers, views, d.dataCentre, d.random)
	if q.prefillServer != nil {
		return chooseDecodeServer(servers, q.prefillServer, selector)
	}
	serverKeys := make([]uint64, len(servers))
	for i, s := range servers {
		serverKeys[i] = s.key
	}
	cachedTokens := d.prefixes.cachedTokens(q.prefixKeys, q.Metadata.Parts, serverKeys, now)
	return choosePrompt(servers, views, cachedTokens, &promptRequest{metadata: q.Metadata, prefixKeys: q.prefixKeys, dataCentre: d.dataCentre, random: d.random, noTransfer: q.noTransfer}, estimates, selector)
}

// slotsInUse returns the fraction of the slots in use of servers, whether they are usable or not: those that refused a
// request lately get none for longer than they are full.
func slotsInUse(servers []*Server, now time.Time) float64 {
	slots, used := 0, 0
	for _, s := range servers {
		v := s.view(now)
		slots += max(s.Slots, 0)
		used += min(v.inFlight+v.reportedRequests, max(s.Slots, 0))
	}
	return float64(used) / float64(max(slots, 1))
}

// addOtherTokens estimates the work of other gateway instances from the requests that backend servers
// reported.
func addOtherTokens(views []view, meanUncached float64) {
	for i := range views {
		views[i].otherTokens = float64(views[i].otherRequests) * meanUncached
	}
}

func (d *Decider) prefillEstimator(service string) *prefillEstimator {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.prefillEstimators[service]
	if p == nil {
		p = newPrefillEstimator()
		d.prefillEstimators[service] = p
	}
	return p
}

// Reasons why requests are refused before they are sent.
const (
	refusalOverload = "overload"
	// RefusalShare means that the account asks for more than its fair share of a service that is under pressure.
	RefusalShare = "account_share"
)

// admit decides whether a request that was not sent yet should be served. It returns why not, or an empty string.
func (d *Decider) admit(q *SelectionRequest, c *choice, now time.Time) string {
	if c.server == nil {
		return ""
	}
	hasTarget := q.Route.DeclaresPrompt && q.Route.TargetLatency > 0
	work := 1.0
	if hasTarget {
		work = c.uncachedTokens + outputTokenSize*float64(q.Metadata.OutputTokens)
	}
	found, pressed := slotPressure(c)
	if hasTarget {
		found, pressed = promptPressure(q, c)
	}
	if share := d.shares.offer(q.Service, q.Account, work, found, pressed, now); share < 1 && d.random() > share {
		return RefusalShare
	}
	if hasTarget && !d.sizes.decide(q.Route.Name, q.Metadata, now, func(allowedWait float64) bool {
		return !shouldRefuse(q, c, allowedWait, now)
	}) {
		return refusalOverload
	}
	q.admittedWork = work
	d.shares.admit(q.Service, work, now)
	return ""
}

const (
	// pressureWait is the expected wait, as a fraction of the target, from which accounts above their fair share are
	// refused, and pressureUtilisation the fraction of an engine's slots in use. Engines have time to spare below.
	pressureWait        = spareWait
	pressureUtilisation = queueingUtilisation
	// slotReserve is the fraction of the slots of a service without prompts that is left to accounts within their share
	// after all slots were in use.
	slotReserve = 0.15
	// allSlots is the fraction of the slots from which all count as in use. Reports of servers are some milliseconds old,
	// so that full servers are rarely all known as such: at 1, a flood of the servers' capacity left the other accounts
	// 0.82 to 0.98 of what they ask for, at 0.95 it left them 0.94 to 0.99.
	allSlots = 0.95
)

// promptPressure returns the pressure on the engine that was chosen for a prompt.
func promptPressure(q *SelectionRequest, c *choice) (found pressure, pressed bool) {
	found = max(pressureAbove(c.wait.Seconds()/q.Route.TargetLatency.Seconds(), pressureWait), pressureAbove(c.utilisation, pressureUtilisation))
	return found, found > 1
}

// slotPressure returns the pressure on a service without prompts. It only begins when all slots are in use, as far as it
// is known.
func slotPressure(c *choice) (found pressure, pressed bool) {
	return pressureAbove(c.slotsInUse, 1-slotReserve), c.slotsInUse >= allSlots
}

// pressureAbove returns the pressure of a load that accounts above their share are refused for from a threshold, and
// all from 1.
func pressureAbove(load, threshold float64) pressure {
	if load <= threshold {
		return pressure(load / threshold)
	}
	return pressure(min(2, 1+(load-threshold)/(1-threshold)))
}

// shouldRefuse reports whether a request that was not sent yet should be refused: because its answer
// would start so late that serving it delays requests that can still meet their target, or because
// its answer would be long and the engine is nearly full. allowedWait is the wait, as a fraction
// of the target, up to which it is not refused for its own size.
func shouldRefuse(q *SelectionRequest, c *choice, allowedWait float64, now time.Time) bool {
	if c.timeToFirst > q.Deadline.Sub(now) {
		return true
	}
	if q.outputEvents() >= longOutputEvents && c.utilisation >= longOutputUtilisation {
		return true
	}
	// Refusing a request with few uncached tokens saves almost nothing.
	if c.uncachedTokens < shortPromptTokens {
		return false
	}
	limit := time.Duration(lateFactor * float64(q.Route.TargetLatency))
	if c.timeToFirst <= limit {
		return false
	}
	if c.timeToFirst-c.excessPrefill > limit {
		return true
	}
	// The answer is late only because the prompt is large.
	return c.wait > time.Duration(allowedWait*float64(q.Route.TargetLatency))
}

const (
	// longOutputEvents is the number of events from which an answer occupies
	// its slot for a second or more.
	longOutputEvents = 25
	// longOutputUtilisation is the fraction of an engine's slots in use from which it gets no
	// further long answers. Decode steps get longer with each request, so that long answers on full
	// engines exceed their callers' deadlines. With 64 slots this applies to answers of 211 events,
	// the longest of the known deployments, and a tenth of all answers is generated for nothing.
	longOutputUtilisation = 0.9
)

// lateFactor is the multiple of the target for the time to the first event above which a request is
// refused. A higher limit admits requests whose answers are late: at twice the target, half of all
// answers under overload are late and no more are served.
const lateFactor = 1.0

// retryAfter returns how long a refused caller should wait before it retries: between a fifth and a
// third of its remaining time, but at least minRetryAfter and at most maxRetryAfter. An overload
// outlasts a shorter pause, and a longer one would leave no room for another attempt. The jitter keeps
// callers from returning together.
func (d *Decider) retryAfter(deadline, now time.Time) time.Duration {
	window := deadline.Sub(now) / 3
	return min(max(window*3/5+time.Duration(d.random()*float64(window)*2/5), minRetryAfter), maxRetryAfter)
}

// retryAfterRest returns how long a caller should wait that was refused without overload: until a backend server
// that rests takes requests again, if it was refused for that, with up to a fifth more, so that callers don't
// return together.
func (d *Decider) retryAfterRest(rest time.Duration) time.Duration {
	return max(minRetryAfter, rest+time.Duration(d.random()*float64(rest)/5))
}
