package gatewaybench

import (
	"math/rand/v2"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/gateway"
)

// policy places requests and gives roles to engines.
type policy interface {
	place(r *request)
	// registered brings a change of an engine's registration.
	registered(reg gateway.Registration)
}

// Names of the policies.
const (
	// PolicyGateway is this version of the gateway.
	PolicyGateway = "this version"
	// PolicyStatic are the gateway's decisions with the best fixed split of the engines in hindsight.
	PolicyStatic = "best static split"
	// PolicyLeast takes the engine with the fewest requests of all entries, PolicyRobin the next one. Both
	// leave the roles as they are and refuse nothing that the engines take.
	PolicyLeast = "least loaded"
	PolicyRobin = "round robin"
)

// decided are the decisions of the gateway, each entry with its own view.
type decided struct {
	w       *world
	rosters []*gateway.Roster
	entries []*gateway.Decider
	plan    *gateway.RolePlan
}

// maxSends bounds the engines that one request is offered to, as in the gateway.
const maxSends = 4

// newDecided returns the decisions of the gateway. Without roles, the split stays as it is.
func newDecided(w *world, seed uint64, roles bool) *decided {
	p := &decided{w: w}
	for i := range w.dep.Entries {
		r := gateway.NewRoster()
		var regs []gateway.Registration
		for _, e := range w.engines {
			regs = append(regs, w.registration(e))
		}
		r.Replace(regs, w.sim.Now())
		random := rand.New(rand.NewPCG(seed, uint64(i)+100)) //nolint:gosec // simulation
		p.rosters = append(p.rosters, r)
		p.entries = append(p.entries, gateway.NewDecider(w.dep.DataCentres[i%len(w.dep.DataCentres)], r, random.Float64))
	}
	if roles {
		p.plan = gateway.NewRolePlan()
		w.sim.Every(gateway.PlanInterval, p.giveRoles)
	}
	return p
}

func (p *decided) registered(reg gateway.Registration) {
	for _, r := range p.rosters {
		r.Apply([]gateway.Change{{ID: reg.ID, Registration: &reg}}, p.w.sim.Now())
	}
}

// giveRoles plans with the view of the first entry, which holds the orders.
func (p *decided) giveRoles() {
	now := p.w.sim.Now()
	role, servers := p.plan.Next(p.rosters[0].Servers(service), now)
	for _, s := range servers {
		e := p.w.byID[s.ID]
		if e.changing || e.dark || e.role == role {
			continue
		}
		p.w.stats.orders++
		p.plan.RecordOrder(s, role, time.Duration(p.w.dep.Engines.RoleChange), now)
		e.change(role)
	}
}

func (p *decided) place(r *request) {
	q := &gateway.Query{
		Route: p.w.routes[r.kind], Service: service, Metadata: &r.call, Deadline: p.w.sim.Now().Add(r.deadline - p.w.sim.At),
	}
	q.Prepare()
	p.send(r, q, 0)
}

func (p *decided) send(r *request, q *gateway.Query, sends int) {
	w := p.w
	if r.ended {
		return
	}
	c := p.entries[r.entry].Decide(q, w.sim.Now())
	switch {
	case c.Server == nil || sends >= maxSends:
		w.refuse(r, 100*time.Millisecond)
		return
	case c.Refuse && sends == 0:
		w.refuse(r, c.RetryAfter)
		return
	}
	server := w.byID[c.Server.ID]
	if c.PrefillServer == nil {
		p.generate(r, q, c.Server, server, nil, nil, c.UncachedTokens, sends)
		return
	}
	reader := w.byID[c.PrefillServer.ID]
	t := p.track(r, q, c.PrefillServer, c.UncachedTokens)
	if reader.dark {
		return // the caller gives up; the entry hears nothing
	}
	if reader.refuses(true) {
		w.sim.After(refusalDelay, func() {
			t.refused()
			q.Exclude(c.PrefillServer)
			p.send(r, q, sends+1)
		})
		return
	}
	wk := &work{request: r}
	r.work = append(r.work, wk)
	wk.then = func(bool) {
		t.read()
		t.ended(reader.load())
		q.SetPrefillServer(c.PrefillServer)
		p.generate(r, q, c.Server, server, c.PrefillServer, reader, 0, sends)
	}
	reader.read(wk)
}

// track is what an entry counts for one request at one backend server.
type track struct {
	d      *gateway.Decider
	w      *world
	q      *gateway.Query
	s      *gateway.Server
	unread float64
	ahead  float64
	sentAt time.Time
	isRead bool
	over   bool
	// from has read the prompt, which moves to s.
	from  *gateway.Server
	delay time.Duration
}

func (p *decided) track(r *request, q *gateway.Query, s *gateway.Server, unread float64) *track {
	d, now := p.entries[r.entry], p.w.sim.Now()
	t := &track{d: d, w: p.w, q: q, s: s, unread: unread, ahead: d.PendingTokens(s, now), sentAt: now}
	d.RecordSent(q, s, unread, now)
	r.onEnd = append(r.onEnd, t.drop)
	return t
}

// read notes that the prompt was read.
func (t *track) read() {
	if !t.isRead {
		t.isRead = true
		t.d.RecordPrefilled(t.q, t.s, t.unread, t.ahead, t.sentAt, t.w.sim.Now())
	}
}

// moved notes how long the move of the prompt took, once.
func (t *track) moved() {
	if t.from != nil {
		now := t.w.sim.Now()
		t.d.RecordTransfer(t.from, t.s, now.Sub(t.sentAt), t.delay, now)
		t.from = nil
	}
}

// drop counts the request as ended without news from the backend server.
func (t *track) drop() {
	if t.over {
		return
	}
	t.over = true
	if t.from != nil {
		t.d.RecordAbandonedTransfer(t.from, t.s, t.sentAt, t.delay, t.w.sim.Now())
	}
	if !t.isRead {
		t.isRead = true
		t.d.RecordPrefillDropped(t.s, t.unread)
	}
	t.d.RecordEnded(t.s)
}

func (t *track) ended(load *gateway.Load) {
	t.d.RecordActivity(t.s, load, t.w.sim.Now())
	t.drop()
}

func (t *track) refused() {
	t.from = nil
	t.d.RecordRefusal(t.s, t.w.sim.Now())
	t.ended(nil)
}

// generate has an engine answer, after it has fetched the prompt from the reader or read it itself.
func (p *decided) generate(r *request, q *gateway.Query, s *gateway.Server, e *engine, from *gateway.Server, reader *engine, unread float64, sends int) {
	w := p.w
	delay := p.entries[r.entry].DecodeDelay(s, w.sim.Now())
	t := p.track(r, q, s, unread)
	if reader != nil {
		t.from, t.delay = from, delay
	}
	q.Exclude(s)
	if e.dark {
		return
	}
	if e.refuses(false) {
		w.sim.After(refusalDelay, func() {
			t.refused()
			p.send(r, q, sends+1)
		})
		return
	}
	wk := &work{request: r}
	r.work = append(r.work, wk)
	wk.onEvent = func() {
		t.read()
		t.moved()
		t.d.RecordActivity(s, nil, w.sim.Now())
		w.event(r)
	}
	wk.then = func(bool) {
		t.ended(e.load())
		w.end(r, endAnswered)
	}
	start := func() { e.generate(wk) }
	if reader != nil {
		e.fetch(reader, wk, start)
		return
	}
	e.read(&work{request: r, then: func(bool) {
		if !wk.cancelled {
			start()
		}
	}})
}

// load is what an engine tells with an answer.
func (e *engine) load() *gateway.Load {
	return &gateway.Load{Running: e.running, Waiting: len(e.waiting) + len(e.reads), Slots: e.w.dep.Engines.Slots}
}

// simple places requests by the engines' own numbers: the next one, or the one with the fewest requests.
type simple struct {
	w    *world
	next [2]int
	// least takes the one with the fewest requests.
	least bool
}

func (p *simple) registered(gateway.Registration) {}

// pick returns an engine of a role, or nil.
func (p *simple) pick(role external.Role) *engine {
	var all []*engine
	for _, e := range p.w.engines {
		if e.role == role {
			all = append(all, e)
		}
	}
	if len(all) == 0 {
		return nil
	}
	turn := &p.next[0]
	if role == external.RolePrefill {
		turn = &p.next[1]
	}
	*turn++
	if !p.least {
		return all[*turn%len(all)]
	}
	best := all[*turn%len(all)]
	for _, e := range all {
		if e.running+len(e.waiting)+len(e.reads) < best.running+len(best.waiting)+len(best.reads) {
			best = e
		}
	}
	return best
}

func (p *simple) place(r *request) {
	reader, server := p.pick(external.RolePrefill), p.pick(external.RoleDecode)
	switch {
	case server == nil, server.refuses(false), reader != nil && reader.refuses(true):
		p.w.refuse(r, 100*time.Millisecond)
		return
	case server.dark, reader != nil && reader.dark:
		return
	}
	wk := &work{request: r, onEvent: func() { p.w.event(r) }, then: func(bool) { p.w.end(r, endAnswered) }}
	r.work = append(r.work, wk)
	if reader == nil {
		server.read(&work{request: r, then: func(bool) {
			if !wk.cancelled {
				server.generate(wk)
			}
		}})
		return
	}
	read := &work{request: r, then: func(bool) { server.fetch(reader, wk, func() { server.generate(wk) }) }}
	r.work = append(r.work, read)
	reader.read(read)
}
