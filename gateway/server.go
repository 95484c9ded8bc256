package gateway

import (
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/splitmix"
)

// Registration is what the installation says about one start of a backend server.
type Registration struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Role       external.Role
	Draining   bool
	// Born tells the starts of a backend server apart that keeps its ID; zero if unknown.
	Born int64
}

// Server is a registered backend server with what this process knows of its load and health.
type Server struct {
	Registration
	live *live
	// key tells starts of backend servers apart in hashes; all entries compute the same.
	key uint64
}

func makeServer(r Registration, l *live) *Server {
	return &Server{Registration: r, live: l, key: xxhash.Sum64String(r.ID) ^ splitmix.Mix(uint64(r.Born))}
}

// live is shared by all registrations of one start of a backend server.
type live struct {
	mu       sync.Mutex
	inFlight int
	// pending are the prompt tokens that were sent and not yet read.
	pending float64
	// others are the requests of other entries, as of othersAt.
	others   int
	othersAt time.Time
	// waitingSince is when the backend server was last heard or, if later, got its first request.
	waitingSince time.Time
	// failing is a moving average of failures, from 0 to 1.
	failing   float64
	failingAt time.Time
	// ejected is the time until which the backend server gets no requests while others can.
	ejected time.Time
	row     int
	// move is a moving average of the time that a prompt took to move from or to this backend server, in
	// seconds beyond the expected handover.
	move   float64
	moveAt time.Time
	// refusals in a row, and the time until which they keep new requests away.
	refusals int
	full     time.Time
}

const (
	// silence is how long a backend server with requests may send nothing at all before others are
	// preferred. The slowest target of the known installations is 200 ms.
	silence = 600 * time.Millisecond
	// othersAge is the age at which a report about other entries' requests counts for nothing.
	othersAge = 2 * time.Second
	// failureWeight is the weight of one result in the average of failures.
	failureWeight = 0.15
	// failureMemory is the time in which the average falls by itself to 1/e.
	failureMemory = 4 * time.Second
	// ejectAfter is the number of failures in a row after which a backend server is left alone for
	// ejectBase, doubled with each further failure up to ejectMax.
	ejectAfter = 3
	ejectBase  = 300 * time.Millisecond
	ejectMax   = 3 * time.Second
)

// sent counts a request on its way.
func (s *Server) sent(tokens float64, now time.Time) {
	l := s.live
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight == 0 {
		l.waitingSince = now
	}
	l.inFlight++
	l.pending += tokens
}

// read counts prompt tokens as read.
func (s *Server) read(tokens float64) {
	s.live.mu.Lock()
	defer s.live.mu.Unlock()
	s.live.pending = max(0, s.live.pending-tokens)
}

// heard notes that the backend server sent something, with its own load if it told it.
func (s *Server) heard(load *Load, now time.Time) {
	l := s.live
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitingSince = now
	if load != nil {
		l.others, l.othersAt = max(0, load.Running+load.Waiting-l.inFlight), now
	}
}

// ended counts a request as ended.
func (s *Server) ended() {
	s.live.mu.Lock()
	defer s.live.mu.Unlock()
	s.live.inFlight--
}

// result takes the outcome of a request. weight is 0 for a success and up to 1 for a failure.
func (s *Server) result(weight float64, now time.Time) {
	l := s.live
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = l.failure(now)*(1-failureWeight) + weight*failureWeight
	l.failingAt = now
	l.refusals = 0
	if weight < 1 {
		l.row = 0
		return
	}
	if l.row++; l.row >= ejectAfter {
		l.ejected = now.Add(min(ejectMax, ejectBase<<min(l.row-ejectAfter, 4)))
	}
}

// unreachable ejects the backend server at once: no connection could be made to it, or another one
// has its address.
func (s *Server) unreachable(now time.Time) {
	l := s.live
	l.mu.Lock()
	defer l.mu.Unlock()
	l.row = max(l.row+1, ejectAfter)
	l.ejected = now.Add(min(ejectMax, ejectBase<<min(l.row-ejectAfter, 4)))
}

const (
	// moveWeight is the weight of one move in the average, and moveMemory the time in which the average
	// falls by itself to 1/e, so that links that were slow are tried again.
	moveWeight = 0.3
	moveMemory = 3 * time.Second
)

// moved notes how much longer than expected a prompt took to move from or to the backend server. Both
// ends of a move are blamed for it; the one whose other moves are fast is soon cleared.
func (s *Server) moved(extra time.Duration, now time.Time) {
	l := s.live
	l.mu.Lock()
	defer l.mu.Unlock()
	l.move = l.moving(now)*(1-moveWeight) + moveWeight*max(0, extra.Seconds())
	l.moveAt = now
}

// moveGivenUp notes that a move, which began at a time and is given up, took longer than expected so far. It
// counts only if the backend server that fetches was heard meanwhile: one that has gone dark would
// discredit all that it fetches from.
func moveGivenUp(from, to *Server, extra time.Duration, sentAt, now time.Time) {
	to.live.mu.Lock()
	heard := to.live.waitingSince.After(sentAt)
	to.live.mu.Unlock()
	if !heard {
		return
	}
	for _, s := range []*Server{from, to} {
		if extra.Seconds() > s.view(now).move {
			s.moved(extra, now)
		}
	}
}

func (l *live) moving(now time.Time) float64 {
	age := now.Sub(l.moveAt)
	if age <= 0 || l.move == 0 {
		return l.move
	}
	return l.move * math.Exp(-age.Seconds()/moveMemory.Seconds())
}

const (
	// fullBase is how long a backend server that refused a request gets no others while there are
	// some; it doubles with each refusal in a row up to fullMax. Longer refusals come from engines
	// that change their role, which takes seconds.
	fullBase = 50 * time.Millisecond
	fullMax  = 800 * time.Millisecond
)

// refused notes that the backend server took no request.
func (s *Server) refused(now time.Time) {
	l := s.live
	l.mu.Lock()
	defer l.mu.Unlock()
	l.full = now.Add(min(fullMax, fullBase<<min(l.refusals, 5)))
	l.refusals++
}

// changing keeps requests away until the backend server is back.
func (s *Server) changing(until time.Time) {
	s.live.mu.Lock()
	defer s.live.mu.Unlock()
	s.live.full = until
}

func (l *live) failure(now time.Time) float64 {
	age := now.Sub(l.failingAt)
	if age <= 0 || l.failing == 0 {
		return l.failing
	}
	return l.failing * math.Exp(-age.Seconds()/failureMemory.Seconds())
}

// view is a consistent copy of what a choice needs.
type view struct {
	inFlight int
	others   int
	pending  float64
	failing  float64
	// move is the expected time of moving a prompt beyond the usual, in seconds.
	move   float64
	usable bool
}

func (s *Server) view(now time.Time) view {
	l := s.live
	l.mu.Lock()
	defer l.mu.Unlock()
	v := view{inFlight: l.inFlight, pending: l.pending, failing: l.failure(now), move: l.moving(now), usable: true}
	if now.Sub(l.othersAt) < othersAge {
		v.others = l.others
	}
	quiet := l.inFlight > 0 && now.Sub(l.waitingSince) > silence
	v.usable = !quiet && !now.Before(l.ejected) && !now.Before(l.full)
	return v
}

// Roster keeps the registered backend servers by service. It is safe for concurrent use.
//
// A registration that disappears while the store is disturbed, or shortly after, may have lapsed
// although its backend server lives. It is kept until the grace after the last disturbance has
// passed. One that disappears in calm is removed at once.
type Roster struct {
	grace time.Duration

	mu        sync.Mutex
	servers   map[string]*Server
	lapsed    map[string]bool
	disturbed time.Time
	confirmed time.Time
	// published counts the lists that were made.
	published int
	services  atomic.Pointer[map[string][]*Server]
}

// Change is a change of one registration, as an answer of the store brings it.
type Change struct {
	ID string
	// Registration is nil if it is gone.
	Registration *Registration
}

// lapseGrace is how long after a disturbance of the store a lapsed registration is kept. Backend servers
// that live are registered again within about two seconds. Three seconds after a disturbance, those that
// left must get no requests.
const lapseGrace = 2700 * time.Millisecond

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	r := &Roster{grace: lapseGrace, servers: make(map[string]*Server), lapsed: make(map[string]bool)}
	r.services.Store(&map[string][]*Server{})
	return r
}

// Servers returns the backend servers of a service. The slice must not be changed.
func (r *Roster) Servers(service string) []*Server { return (*r.services.Load())[service] }

// Len returns the number of registered backend servers.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.servers)
}

// Disturbed notes that a call to the store failed that began at a time.
func (r *Roster) Disturbed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = now
}

// Confirmed notes that the store has told all changes up to now.
func (r *Roster) Confirmed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = now
}

// Apply takes the changes of one answer of the store and publishes them together: an answer can bring
// thousands. It tells for each change whether anything changed; a registration that lapsed is kept.
func (r *Roster) Apply(changes []Change, now time.Time) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := make([]bool, len(changes))
	any := false
	for i, c := range changes {
		if c.Registration != nil {
			done[i] = r.put(*c.Registration)
		} else {
			done[i] = r.remove(c.ID, now)
		}
		any = any || done[i]
	}
	if any {
		r.publish()
	}
	return done
}

func (r *Roster) put(reg Registration) bool {
	old := r.servers[reg.ID]
	delete(r.lapsed, reg.ID)
	if old != nil && old.Registration == reg {
		return false
	}
	l := &live{}
	if old != nil && old.Address == reg.Address && old.Born == reg.Born && old.Service == reg.Service {
		l = old.live
	}
	r.servers[reg.ID] = makeServer(reg, l)
	return true
}

// remove takes a registration away. It tells whether the backend server was dropped at once.
func (r *Roster) remove(id string, now time.Time) bool {
	s := r.servers[id]
	if s == nil {
		return false
	}
	if !s.Draining && now.Sub(r.disturbed) < r.grace {
		r.lapsed[id] = true
		return false
	}
	delete(r.servers, id)
	delete(r.lapsed, id)
	return true
}

// Replace takes the whole list of registrations.
func (r *Roster) Replace(regs []Registration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(regs))
	for _, reg := range regs {
		listed[reg.ID] = true
		r.put(reg)
	}
	for id := range r.servers {
		if !listed[id] {
			r.remove(id, now)
		}
	}
	r.publish()
}

// Expire drops lapsed registrations whose grace has passed and returns their IDs.
func (r *Roster) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lapsed) == 0 || now.Sub(r.disturbed) < r.grace {
		return nil
	}
	var gone []string
	for id := range r.lapsed {
		gone = append(gone, id)
		delete(r.servers, id)
	}
	clear(r.lapsed)
	r.publish()
	return gone
}

// publish makes a new snapshot. Draining backend servers get no new work and are left out.
func (r *Roster) publish() {
	m := make(map[string][]*Server, len(*r.services.Load()))
	for _, s := range r.servers {
		if !s.Draining {
			m[s.Service] = append(m[s.Service], s)
		}
	}
	for _, servers := range m {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	r.services.Store(&m)
	r.published++
}
