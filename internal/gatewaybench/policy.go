package gatewaybench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/gateway"
)

// policy routes requests to engines and may assign roles to engines.
type policy interface {
	// dispatch sends r to an engine or refuses it. A request to an unresponsive engine gets no response.
	dispatch(r *request)
	// updateRegistration tells the policy about a changed registration of an engine.
	updateRegistration(reg gateway.Registration)
}

// Names of the policies.
const (
	// PolicyGateway uses the decisions of this version of the gateway.
	PolicyGateway = "this version"
	// PolicyStatic uses the gateway's routing with a fixed number of prefill engines: the number with which the
	// run earns most, which is known only afterwards.
	PolicyStatic = "best static split"
	// PolicyLeastLoaded picks the engine with the fewest requests from all entries, PolicyRoundRobin the next
	// engine in turn. Both leave roles unchanged and refuse only what the engines refuse.
	PolicyLeastLoaded = "least loaded"
	PolicyRoundRobin  = "round robin"
)

// gatewayPolicy uses the gateway's decisions. Each entry has its own roster and decider, and sees only its own
// requests.
type gatewayPolicy struct {
	sim      *simulation
	rosters  []*gateway.Roster
	deciders []*gateway.Decider
	rolePlan *gateway.RolePlan
	// offered and refused count the requests of the first entry that ended or were refused for overload.
	offered, refused int
	// withoutAccounts hides the accounts from the decisions.
	withoutAccounts bool
}

// maxAttempts limits the attempts at placing a request each time its caller tries, as in the gateway. A refusal by
// an engine ends an attempt.
const maxAttempts = 4

// newGatewayPolicy returns the gateway's policy. Without assignRoles, engines keep their initial roles.
func newGatewayPolicy(sim *simulation, seed uint64, assignRoles bool) *gatewayPolicy {
	p := &gatewayPolicy{sim: sim}
	for i := range sim.dep.Entries {
		r := gateway.NewRoster()
		var regs []gateway.Registration
		for _, e := range sim.engines {
			regs = append(regs, sim.registration(e))
		}
		r.Replace(regs, sim.clock.Now())
		random := rand.New(rand.NewPCG(seed, uint64(i)+100)) //nolint:gosec // simulation
		p.rosters = append(p.rosters, r)
		p.deciders = append(p.deciders, gateway.NewDecider(sim.dep.DataCentres[i%len(sim.dep.DataCentres)], r, random.Float64))
	}
	if assignRoles {
		p.rolePlan = gateway.NewRolePlan()
		sim.clock.Every(gateway.PlanInterval, p.assignRoles)
	}
	return p
}

func (p *gatewayPolicy) updateRegistration(reg gateway.Registration) {
	for _, r := range p.rosters {
		r.Apply([]gateway.Change{{ID: reg.ID, Registration: &reg}}, p.sim.clock.Now())
	}
}

// assignRoles runs the role plan on the roster of the first entry, which acts as the gateway instance that may
// currently order role changes.
func (p *gatewayPolicy) assignRoles() {
	now := p.sim.clock.Now()
	role, servers := p.rolePlan.Next(p.rosters[0].Servers(service), now)
	for _, s := range servers {
		e := p.sim.byID[s.ID]
		if e.changingRole || e.unresponsive || e.role == role {
			continue
		}
		p.sim.result.roleChanges++
		p.rolePlan.RecordAccepted(s, role, time.Duration(p.sim.dep.Engines.RoleChange), now)
		e.changeRole(role)
	}
}

func (p *gatewayPolicy) dispatch(r *request) {
	if r.entry == 0 {
		p.offered++
	}
	query := &gateway.SelectionRequest{
		Route: p.sim.routes[r.kind], Service: service, Metadata: &r.metadata, Deadline: p.sim.clock.Now().Add(r.deadline - p.sim.clock.At),
	}
	if len(p.sim.callers.names) > 0 && !p.withoutAccounts {
		query.Account = p.sim.callers.names[r.account]
	}
	query.ComputePrefixKeys()
	p.send(r, query, 0)
}

// send routes the request by the entry's decision. After a refusal by an engine it decides again, up to maxAttempts
// times. An overload refusal by the decider counts only before the first attempt.
func (p *gatewayPolicy) send(r *request, query *gateway.SelectionRequest, attempts int) {
	sim := p.sim
	if r.ended {
		return
	}
	c := p.deciders[r.entry].Decide(query, sim.clock.Now())
	switch {
	case c.Server == nil || attempts >= maxAttempts:
		p.countRefusal(r)
		p.deciders[r.entry].RecordNotServed(query, sim.clock.Now())
		sim.refuse(r, 100*time.Millisecond)
		return
	case c.Refuse && attempts == 0:
		if c.Refusal == gateway.RefusalShare {
			sim.result.shareRefusals++
		} else {
			p.countRefusal(r)
		}
		sim.refuse(r, c.RetryAfter)
		return
	}
	decodeEngine := sim.byID[c.Server.ID]
	if c.PrefillServer == nil {
		p.generate(r, query, c.Server, decodeEngine, nil, nil, c.UncachedTokens, attempts)
		return
	}
	prefillEngine := sim.byID[c.PrefillServer.ID]
	sent := p.recordSent(r, query, c.PrefillServer, c.UncachedTokens)
	if prefillEngine.unresponsive {
		return // no response reaches the entry, and the caller times out
	}
	if prefillEngine.rejects(true) {
		load := prefillEngine.reportedLoad()
		sim.clock.After(refusalDelay, func() {
			sent.recordRefusal(load)
			query.Exclude(c.PrefillServer)
			p.send(r, query, attempts+1)
		})
		return
	}
	prefill := &task{request: r}
	r.tasks = append(r.tasks, prefill)
	prefill.done = func(bool) {
		sent.recordPrefilled()
		sent.recordEnded(prefillEngine.reportedLoad())
		query.SetPrefillServer(c.PrefillServer)
		p.generate(r, query, c.Server, decodeEngine, c.PrefillServer, prefillEngine, 0, attempts)
	}
	prefillEngine.prefill(prefill)
}

func (p *gatewayPolicy) countRefusal(r *request) {
	if r.entry == 0 {
		p.refused++
	}
}

// sentRequest is an entry's accounting for one request sent to one backend server.
type sentRequest struct {
	decider        *gateway.Decider
	sim            *simulation
	query          *gateway.SelectionRequest
	server         *gateway.Server
	uncachedTokens float64
	// backlog is the known work of the server when the request was sent.
	backlog   gateway.Backlog
	sentAt    time.Time
	prefilled bool
	closed    bool
	// prefillServer holds the prefilled prompt until its transfer to server is recorded; nil if there is none.
	prefillServer *gateway.Server
	// decodeDelay is what DecodeDelay returned when the request was sent.
	decodeDelay time.Duration
}

// recordSent records a request in the entry's decider and returns its accounting, which is closed at the latest
// when the request ends.
func (p *gatewayPolicy) recordSent(r *request, query *gateway.SelectionRequest, server *gateway.Server, uncachedTokens float64) *sentRequest {
	d, now := p.deciders[r.entry], p.sim.clock.Now()
	sent := &sentRequest{decider: d, sim: p.sim, query: query, server: server, uncachedTokens: uncachedTokens, backlog: d.Backlog(server, now), sentAt: now}
	d.RecordSent(query, server, uncachedTokens, now)
	r.onEnd = append(r.onEnd, sent.close)
	return sent
}

// recordPrefilled records once that the prompt has been prefilled.
func (s *sentRequest) recordPrefilled() {
	if !s.prefilled {
		s.prefilled = true
		s.decider.RecordPrefilled(s.query, s.server, s.uncachedTokens, s.backlog, s.sentAt, s.sim.clock.Now())
	}
}

// recordTransferred records, at the first call, the time from sending the request to its first event. It includes
// the transfer of the prompt.
func (s *sentRequest) recordTransferred() {
	if s.prefillServer != nil {
		now := s.sim.clock.Now()
		s.decider.RecordTransfer(s.prefillServer, s.server, now.Sub(s.sentAt), s.decodeDelay, now)
		s.prefillServer = nil
	}
}

// close ends the accounting. A prefill that was not recorded is recorded as dropped, a transfer as abandoned.
func (s *sentRequest) close() {
	if s.closed {
		return
	}
	s.closed = true
	if s.prefillServer != nil {
		s.decider.RecordAbandonedTransfer(s.prefillServer, s.server, s.sentAt, s.decodeDelay, s.sim.clock.Now())
	}
	if !s.prefilled {
		s.prefilled = true
		s.decider.RecordPrefillDropped(s.server, s.uncachedTokens)
	}
	s.decider.RecordEnded(s.server)
}

func (s *sentRequest) recordEnded(load *gateway.Load) {
	s.decider.RecordActivity(s.server, load, s.sim.clock.Now())
	s.close()
}

func (s *sentRequest) recordRefusal(load *gateway.Load) {
	s.sim.result.enginesRefused++
	if s.server.Role == external.EngineRolePrefill {
		s.sim.result.prefillsRefused++
	}
	s.prefillServer = nil
	s.decider.RecordRefusal(s.server, s.sim.clock.Now())
	s.recordEnded(load)
}

// generate has decodeEngine answer the request. The engine first fetches the prompt from prefillEngine, or prefills
// it itself if prefillEngine is nil. server and decodeEngine are the entry's view and the model of the same engine,
// likewise prefillServer and prefillEngine.
func (p *gatewayPolicy) generate(r *request, query *gateway.SelectionRequest, server *gateway.Server, decodeEngine *engine, prefillServer *gateway.Server, prefillEngine *engine, uncachedTokens float64, attempts int) {
	sim := p.sim
	decodeDelay := p.deciders[r.entry].DecodeDelay(server, sim.clock.Now())
	sent := p.recordSent(r, query, server, uncachedTokens)
	if prefillEngine != nil {
		sent.prefillServer, sent.decodeDelay = prefillServer, decodeDelay
	}
	query.Exclude(server)
	if decodeEngine.unresponsive {
		return
	}
	if decodeEngine.rejects(false) {
		load := decodeEngine.reportedLoad()
		sim.clock.After(refusalDelay, func() {
			sent.recordRefusal(load)
			p.send(r, query, attempts+1)
		})
		return
	}
	decode := &task{request: r}
	r.tasks = append(r.tasks, decode)
	decode.onEvent = func() {
		sent.recordPrefilled()
		sent.recordTransferred()
		var load *gateway.Load
		if r.firstEventAt == 0 {
			load = decodeEngine.reportedLoad() // in the header of the response
		}
		sent.decider.RecordActivity(server, load, sim.clock.Now())
		sim.recordEvent(r)
	}
	decode.done = func(bool) {
		sent.recordEnded(nil)
		sim.finish(r, outcomeAnswered)
	}
	start := func() { decodeEngine.decode(decode) }
	if prefillEngine != nil {
		decodeEngine.transfer(prefillEngine, decode, start)
		return
	}
	decodeEngine.prefill(&task{request: r, done: func(bool) {
		if !decode.cancelled {
			start()
		}
	}})
}

// reportedLoad returns the load that an engine reports with a response.
func (e *engine) reportedLoad() *gateway.Load {
	l := &gateway.Load{Running: e.running, Waiting: len(e.decodeQueue) + len(e.prefillQueue), Slots: e.sim.dep.Engines.Slots}
	if len(e.sim.dep.Engines.WorkTime) > 0 || e.workTime.varies() {
		l.WorkTimePercent = math.Round(100 * e.workTime.at(e.sim.clock.At))
	}
	return l
}

// baselinePolicy routes requests in turn or to the engine with the fewest requests, by the exact state of the
// engines.
type baselinePolicy struct {
	sim *simulation
	// choices counts the choices of a decode engine and of a prefill engine.
	choices [2]int
	// leastLoaded selects the engine with the fewest requests instead of the next one in turn.
	leastLoaded bool
}

func (p *baselinePolicy) updateRegistration(gateway.Registration) {}

// pick returns an engine of a role, or nil if there is none.
func (p *baselinePolicy) pick(role external.EngineRole) *engine {
	var candidates []*engine
	for _, e := range p.sim.engines {
		if e.role == role {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	next := &p.choices[0]
	if role == external.EngineRolePrefill {
		next = &p.choices[1]
	}
	*next++
	if !p.leastLoaded {
		return candidates[*next%len(candidates)]
	}
	best := candidates[*next%len(candidates)]
	for _, e := range candidates {
		if e.running+len(e.decodeQueue)+len(e.prefillQueue) < best.running+len(best.decodeQueue)+len(best.prefillQueue) {
			best = e
		}
	}
	return best
}

func (p *baselinePolicy) dispatch(r *request) {
	prefillEngine, decodeEngine := p.pick(external.EngineRolePrefill), p.pick(external.EngineRoleDecode)
	switch {
	case decodeEngine == nil, decodeEngine.rejects(false), prefillEngine != nil && prefillEngine.rejects(true):
		p.sim.refuse(r, 100*time.Millisecond)
		return
	case decodeEngine.unresponsive, prefillEngine != nil && prefillEngine.unresponsive:
		return
	}
	decode := &task{request: r, onEvent: func() { p.sim.recordEvent(r) }, done: func(bool) { p.sim.finish(r, outcomeAnswered) }}
	r.tasks = append(r.tasks, decode)
	if prefillEngine == nil {
		decodeEngine.prefill(&task{request: r, done: func(bool) {
			if !decode.cancelled {
				decodeEngine.decode(decode)
			}
		}})
		return
	}
	prefill := &task{request: r, done: func(bool) { decodeEngine.transfer(prefillEngine, decode, func() { decodeEngine.decode(decode) }) }}
	r.tasks = append(r.tasks, prefill)
	prefillEngine.prefill(prefill)
}
