package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/route"
)

// Decider places requests on backend servers and says which of them are refused. It answers to the load
// that it was told and needs no network, so that loads can be played against it in simulated time. It is
// safe for concurrent use.
type Decider struct {
	dataCentre string
	roster     *Roster
	prefixes   *prefixes
	random     Random

	mu       sync.Mutex
	paces    map[string]*pace
	refusals map[string]*refusals
}

// NewDecider returns a decider of a process in a data centre.
func NewDecider(dataCentre string, r *Roster, random Random) *Decider {
	return &Decider{dataCentre: dataCentre, roster: r, prefixes: newPrefixes(), random: random, paces: make(map[string]*pace), refusals: make(map[string]*refusals)}
}

// Query is a request to be placed.
type Query struct {
	Route   *route.Route
	Service string
	Call    *Call
	// Deadline is the earlier of the caller's and the route's.
	Deadline time.Time
	// keys are those of the prompt's parts; Prepare sets them.
	keys []uint64
	// tried backend servers are not chosen again.
	tried []*live
	// reader has read the prompt, if it is not nil.
	reader *Server
}

// Prepare must be called once the route and the call are set.
func (q *Query) Prepare() {
	if q.Route.Prompt {
		q.keys = chain(q.Call.Parts)
	}
}

// Tried keeps the backend server from being chosen again for this request.
func (q *Query) Tried(s *Server) { q.tried = append(q.tried, s.live) }

// ReadBy tells which backend server has read the prompt.
func (q *Query) ReadBy(s *Server) { q.reader = s }

// Choice is where a request goes.
type Choice struct {
	// Reader reads the prompt for Server; nil if Server does both or nothing is left to read.
	Reader *Server
	// Server answers; nil if there is none.
	Server *Server
	// Unread are the prompt tokens that have to be read.
	Unread float64
	// First is the expected time to the first event.
	First time.Duration
	// Refuse asks to refuse the request, and to tell its caller to return after ComeBack.
	Refuse   bool
	ComeBack time.Duration
}

// Decide places a request that was not sent yet, or whose prompt was read, and says whether it should be
// refused instead.
func (d *Decider) Decide(q *Query, now time.Time) Choice {
	c := d.choose(q, now)
	out := Choice{Reader: c.reader, Server: c.server, Unread: c.unread, First: c.first}
	if q.reader == nil && !d.admit(q, &c, now) {
		out.Refuse, out.ComeBack = true, d.comeBack(q.Deadline, now)
	}
	return out
}

// Sent counts a request on its way to a backend server, with the prompt tokens that it will read there.
func (d *Decider) Sent(q *Query, s *Server, unread float64, now time.Time) {
	s.sent(unread, now)
	d.prefixes.note(q.keys, s.key, now)
}

// Dropped counts a prompt as no longer to be read.
func (d *Decider) Dropped(s *Server, unread float64) { s.read(unread) }

// Read counts the prompt as read. ahead is what had to be read before it when it was sent at sentAt.
func (d *Decider) Read(q *Query, s *Server, unread, ahead float64, sentAt, now time.Time) {
	s.read(unread)
	d.pace(q.Service).observe(s.Role, unread, ahead, now.Sub(sentAt))
}

// Ahead are the prompt tokens that this process has sent to a backend server and that were not read yet.
func (d *Decider) Ahead(s *Server, now time.Time) float64 { return s.view(now).pending }

// Heard notes that a backend server sent something. load is what it told, nil if nothing.
func (d *Decider) Heard(s *Server, load *Load, now time.Time) { s.heard(load, now) }

// Ended counts a request as ended, whatever its outcome.
func (d *Decider) Ended(s *Server) { s.ended() }

// Moved notes the time from sending a request, whose prompt another backend server had read, to its first
// event. delay is what Delay returned when it was sent.
func (d *Decider) Moved(from, to *Server, elapsed, delay time.Duration, now time.Time) {
	from.moved(elapsed-handover-delay, now)
	to.moved(elapsed-handover-delay, now)
}

// GivenUp notes that a request, whose prompt another backend server had read, was given up before its
// first event.
func (d *Decider) GivenUp(from, to *Server, sentAt time.Time, delay time.Duration, now time.Time) {
	moveGivenUp(from, to, now.Sub(sentAt)-handover-delay, sentAt, now)
}

// Delay is how long the first event is expected to wait at a backend server for requests that generate.
func (d *Decider) Delay(s *Server, now time.Time) time.Duration {
	return time.Duration(decodeDelay(s, s.view(now)) * float64(time.Second))
}

// Refused notes that a backend server took no request.
func (d *Decider) Refused(s *Server, now time.Time) { s.refused(now) }

// choose picks the backend servers for the next attempt.
func (d *Decider) choose(q *Query, now time.Time) choice {
	all := d.roster.Servers(q.Service)
	if c := d.chooseFrom(q, now, all, false); c.server != nil {
		return c
	}
	return d.chooseFrom(q, now, all, true)
}

// chooseFrom compares the backend servers that are usable, or all that were not tried.
func (d *Decider) chooseFrom(q *Query, now time.Time, all []*Server, avoided bool) choice {
	servers, views := candidates(all, q.tried, now, avoided)
	if !q.Route.Prompt || len(q.Call.Parts) == 0 {
		return choosePlain(servers, views, d.dataCentre, d.random)
	}
	decoders := newDecoders(servers, views, d.dataCentre, d.random)
	if q.reader != nil {
		return chooseDecoder(servers, q.reader, decoders)
	}
	keys := make([]uint64, len(servers))
	for i, s := range servers {
		keys[i] = s.key
	}
	perToken, unread := d.pace(q.Service).values()
	cached := d.prefixes.cached(q.keys, q.Call.Parts, keys, now)
	return choosePrompt(servers, views, cached, &prompt{call: q.Call, keys: q.keys, dataCentre: d.dataCentre, random: d.random}, perToken, unread, decoders)
}

func (d *Decider) pace(service string) *pace {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.paces[service]
	if p == nil {
		p = newPace()
		d.paces[service] = p
	}
	return p
}

// admit tells whether a request that was not offered yet should be served. Those with much to read are
// counted, because the share of them that is refused says how deep a flood is.
func (d *Decider) admit(q *Query, c *choice, now time.Time) bool {
	if c.server == nil {
		return true
	}
	r := d.refused(q.Service)
	late := tooLate(q, c, r.share(now), now)
	if q.Route.Prompt && c.unread >= shortPrompt {
		r.note(late, now)
	}
	return !late
}

func (d *Decider) refused(service string) *refusals {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.refusals[service]
	if r == nil {
		r = &refusals{}
		d.refusals[service] = r
	}
	return r
}

// refusals are decaying counts of requests.
type refusals struct {
	mu               sync.Mutex
	offered, refused float64
	at               time.Time
}

const (
	// refusalMemory is the time in which a request counts 1/e: the known floods last for seconds.
	refusalMemory = 2 * time.Second
	// fewOffers is the number of recent requests below which the share tells nothing.
	fewOffers = 5
)

func (r *refusals) decay(now time.Time) {
	if age := now.Sub(r.at); age > 0 {
		f := math.Exp(-age.Seconds() / refusalMemory.Seconds())
		r.offered, r.refused, r.at = r.offered*f, r.refused*f, now
	}
}

func (r *refusals) note(refused bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.offered++
	if refused {
		r.refused++
	}
}

// share is the part of the recent requests that was refused.
func (r *refusals) share(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	if r.offered < fewOffers {
		return 0
	}
	return r.refused / r.offered
}

// tooLate tells whether a request that was not offered yet should be refused, because its answer
// would begin so late that serving it takes time from requests which can still be on time.
func tooLate(q *Query, c *choice, refused float64, now time.Time) bool {
	if !q.Route.Prompt || q.Route.Target <= 0 {
		return false
	}
	if c.first > q.Deadline.Sub(now) {
		return true
	}
	if q.Call.OutputTokens >= longAnswer && c.crowding >= crowded {
		return true
	}
	// Refusing a request with little to read would free next to nothing.
	if c.unread < shortPrompt {
		return false
	}
	allowance := sizeAllowance * min(1, refused/deepFlood)
	return c.first-time.Duration(allowance*float64(c.excess)) > time.Duration(lateFactor*float64(q.Route.Target))
}

const (
	// longAnswer is the number of events from which an answer holds its place for a second or more.
	longAnswer = 25
	// crowded is the share of an engine's places from which it takes no further long answers. Steps get
	// longer with each request; in full engines of 64 places the longest answers of the known deployments,
	// 211 events, took longer than their callers wait, and a tenth of the answers was made in vain.
	crowded = 0.9
	// sizeAllowance is the part of a large prompt's longer reading that does not count against it in a deep
	// flood. Without it, the largest tenth was served less than half as often as all there. It grows with
	// the share of requests that are refused: in a lesser flood few large ones are refused anyway, and with
	// the whole allowance the requests behind them were late (0.12 of the worth of grown irt-verde quiet-1).
	sizeAllowance = 0.75
	deepFlood     = 0.7
)

// lateFactor is the expected time to the first event, as a multiple of the target, above which a
// request is refused. Beyond the target an answer is late; with twice the target as the limit, half of
// all answers in a flood were late for the same number served.
const lateFactor = 1.0

// comeBack is when a refused caller should return: late in the time that it has left, since a flood
// outlasts a short pause, but early enough for another try after that. Callers are spread, so that they
// do not return together.
func (d *Decider) comeBack(deadline, now time.Time) time.Duration {
	left := deadline.Sub(now) / 3
	return min(max(left*3/5+time.Duration(d.random()*float64(left)*2/5), minRetryAfter), maxRetryAfter)
}
