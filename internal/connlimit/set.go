package connlimit

import (
	"sync"
	"sync/atomic"
	"time"
)

// State is what a connection is doing. Lower states are closed before higher ones.
type State int

// States of a connection.
const (
	// Answered is a connection whose last answer was written and that only waits for the client to close it, or whose
	// client can get no answer any more.
	Answered State = iota
	// Idle is a connection between two requests.
	Idle
	// Unread is a connection whose first bytes, or whose next header, are not complete.
	Unread
	// Receiving is a connection with a request whose body is not complete.
	Receiving
	// Busy is a connection with a request that was read and is not answered.
	Busy
	states
)

// Cause is why a connection is closed.
type Cause string

// Causes of closed connections. Each is a label value of a metric.
const (
	CauseNone     Cause = ""
	CauseAnswered Cause = "answered"
	CauseIdle     Cause = "idle"
	CauseUnread   Cause = "slow_header"
	CauseBody     Cause = "slow_body"
	CauseReader   Cause = "slow_reader"
	CauseBusy     Cause = "busy"
	CauseNew      Cause = "new"
	CauseMemory   Cause = "header_memory"
	// CauseBodyMemory is a body that is not complete and whose memory another request needs.
	CauseBodyMemory Cause = "body_memory"
	// CauseAnswerMemory is a client that does not read its answer, for which there is no memory to hold it.
	CauseAnswerMemory Cause = "answer_memory"
)

var stateCauses = [states]Cause{CauseAnswered, CauseIdle, CauseUnread, CauseBody, CauseBusy}

const (
	// StallTime is how long a client must have taken no part of its answer before it counts as a slow reader, which may
	// be closed for a new connection. Backend servers abort an answer that stays unread for some seconds.
	StallTime = time.Second
	// stallScanInterval is the shortest time between two searches for slow readers and clients that are gone, which look
	// at all connections.
	stallScanInterval = 100 * time.Millisecond
	// receivingTime is how long a body must have been incomplete before it counts as slow, and may be given up for the
	// memory of another request. A body of 4 MiB takes as long at 170 Mbit/s; smaller ones are usually there at once.
	receivingTime = 200 * time.Millisecond
)

// Limits are the limits of one listener.
type Limits struct {
	// Connections is the largest number of connections.
	Connections int
	// Closing is the largest number of connections that were closed because of the limit and whose goroutines have not
	// ended. net/http lets some of them wait for half a second, with their buffers.
	Closing int
	// AnyState allows to close connections in any state, the oldest one of the address with the most connections. It is
	// for listeners whose requests change nothing, so that no number of clients keeps a further one out.
	AnyState bool
	// Gone, if not nil, reports whether the client of a connection can get no answer any more. It must not block.
	Gone func(value any) bool
}

// Set holds the connections of one listener. It is safe for concurrent use, and its size is bounded by the limits.
type Set struct {
	limits Limits

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	addresses map[string]*address
	// byCount holds the addresses with connections in a state by the number of these.
	byCount [states]ranking
	// heavy holds the connections that hold memory for a header, by state, by the time at which the state began.
	heavy [states]list[Conn]
	// closingHeavy is the number of those that were chosen to be closed for their memory and not removed yet.
	closingHeavy int
	// closing is the number of connections that were chosen to be closed and not removed yet.
	closing  int
	nextScan time.Time
}

// Conn is a connection in a Set.
type Conn struct {
	// Value is the connection of the caller of this package.
	Value any
	// WritingSince is the time in Unix nanoseconds since which a write to the client has been waiting; 0 if none does.
	WritingSince atomic.Int64

	address *address
	state   State
	// since is when the state began.
	since time.Time
	// node and heavyNode are the places in address.conns and Set.heavy.
	node, heavyNode node[Conn]
	// closing is true once the connection was chosen to be closed, and removed once it has ended.
	closing, removed bool
	// forMemory is true if it was chosen for the memory of its header.
	forMemory bool
}

type address struct {
	name  string
	conns [states]list[Conn]
	// ranked holds the places in Set.byCount.
	ranked [states]node[address]
	total  int
}

// NewSet returns an empty set.
func NewSet(l Limits) *Set {
	return &Set{limits: l, conns: make(map[*Conn]struct{}), addresses: make(map[string]*address)}
}

// Len returns the number of connections, without those that were chosen to be closed.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Full reports whether so many connections are being closed that a listener should not accept any for the moment.
func (s *Set) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing >= s.limits.Closing
}

// Add registers a new connection. If there are too many, it returns the one that must be closed at once, and why; that
// may be the new one.
func (s *Set) Add(from string, value any, now time.Time) (added, victim *Conn, cause Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.addresses[from]
	if a == nil {
		a = &address{name: from}
		s.addresses[from] = a
	}
	added = &Conn{Value: value, address: a, state: Unread, since: now}
	a.total++
	s.conns[added] = struct{}{}
	if len(s.conns) <= s.limits.Connections {
		s.insert(added)
		return added, nil, CauseNone
	}
	// The new one is not yet in the lists, so it is not chosen before the others.
	victim, cause = s.choose(now)
	s.insert(added)
	if victim == nil {
		victim, cause = added, CauseNew
	}
	s.beginClose(victim)
	return added, victim, cause
}

// choose returns the connection to close first, or nil.
func (s *Set) choose(now time.Time) (*Conn, Cause) {
	last := Receiving
	if s.limits.AnyState {
		last = Answered // all are in this list
	}
	for state := Answered; state <= last; state++ {
		if a := s.byCount[state].largest(); a != nil {
			c := a.conns[state].first.value
			return c, stateCauses[c.state]
		}
	}
	if now.Before(s.nextScan) {
		return nil, CauseNone
	}
	s.nextScan = now.Add(stallScanInterval)
	var slowest, gone *Conn
	since := now.Add(-StallTime).UnixNano()
	for c := range s.conns {
		if c.node.in == nil {
			continue
		}
		if at := c.WritingSince.Load(); at != 0 && at <= since {
			slowest, since = c, at
		}
		if s.limits.Gone != nil && s.limits.Gone(c.Value) {
			// The others yield to the next connections, without another search.
			gone = c
			s.move(c, Answered)
		}
	}
	if gone != nil {
		return gone, CauseAnswered
	}
	return slowest, CauseReader
}

// listOf returns the state whose list holds connections in a state.
func (s *Set) listOf(state State) State {
	if s.limits.AnyState {
		return Answered
	}
	return state
}

// insert adds a connection to the lists of its state.
func (s *Set) insert(c *Conn) {
	state := s.listOf(c.state)
	c.address.conns[state].pushBack(&c.node, c)
	s.byCount[state].moved(c.address, state)
}

// withdraw removes a connection from the lists of its state.
func (s *Set) withdraw(c *Conn) {
	if c.node.in == nil {
		return
	}
	state := s.listOf(c.state)
	c.node.remove()
	s.byCount[state].moved(c.address, state)
}

// beginClose marks a connection as chosen to be closed.
func (s *Set) beginClose(c *Conn) {
	s.withdraw(c)
	c.heavyNode.remove()
	c.closing = true
	s.closing++
	delete(s.conns, c)
}

// Change sets the state of a connection. It returns false if the connection was chosen to be closed.
func (s *Set) Change(c *Conn, state State, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closing || c.removed {
		return false
	}
	if c.state == state {
		return true
	}
	c.since = now
	s.move(c, state)
	return true
}

// move moves a connection to the lists of another state.
func (s *Set) move(c *Conn, state State) {
	heavy := c.heavyNode.in != nil
	c.heavyNode.remove()
	if s.limits.AnyState {
		c.state = state
	} else {
		s.withdraw(c)
		c.state = state
		s.insert(c)
	}
	if heavy {
		s.burden(c)
	}
}

// Remove removes a connection that has ended.
func (s *Set) Remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	s.withdraw(c)
	c.heavyNode.remove()
	delete(s.conns, c)
	if c.closing {
		s.closing--
	}
	if c.forMemory {
		s.closingHeavy--
	}
	if c.address.total--; c.address.total == 0 {
		delete(s.addresses, c.address.name)
	}
}

// SetHeavy sets whether a connection holds memory for a header.
func (s *Set) SetHeavy(c *Conn, heavy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.heavyNode.remove()
	if heavy && !c.closing && !c.removed {
		s.burden(c)
	}
}

// burden adds a connection to those that hold memory.
func (s *Set) burden(c *Conn) {
	l := &s.heavy[c.state]
	prev := l.last
	for prev != nil && c.since.Before(prev.value.since) {
		prev = prev.prev
	}
	l.insertAfter(prev, &c.heavyNode, c)
}

// CloseHeavy chooses the connection that must be closed because there is no memory for a header, and returns why, or nil:
// the one whose header has been incomplete for longest, which may be the one that asks, and then incomplete bodies. None
// is chosen while the memory of another one has not been given back.
func (s *Set) CloseHeavy() (*Conn, Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closingHeavy > 0 {
		return nil, CauseNone
	}
	for state := Unread; state <= Receiving; state++ {
		if n := s.heavy[state].first; n != nil {
			c := n.value
			s.beginClose(c)
			c.forMemory = true
			s.closingHeavy++
			return c, CauseMemory
		}
	}
	return nil, CauseNone
}

// IsClosing reports whether a connection was chosen to be closed.
func (s *Set) IsClosing(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.closing
}

// CloseReceiving chooses the connection that must be closed because there is no memory for another request, and returns
// why, or nil: the oldest incomplete body of the address with the most of them.
func (s *Set) CloseReceiving(now time.Time) (*Conn, Cause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byCount[Receiving].largest()
	if a == nil {
		return nil, CauseNone
	}
	c := a.conns[Receiving].first.value
	if now.Sub(c.since) < receivingTime {
		return nil, CauseNone
	}
	s.beginClose(c)
	return c, CauseBodyMemory
}

// ranking holds addresses by the number of their connections in one state.
type ranking struct {
	byCount []*list[address]
	// most is an upper bound of the largest number.
	most int
}

// moved moves an address after the number of its connections has changed.
func (r *ranking) moved(a *address, state State) {
	a.ranked[state].remove()
	count := a.conns[state].len
	if count == 0 {
		return
	}
	for len(r.byCount) <= count {
		r.byCount = append(r.byCount, &list[address]{})
	}
	r.byCount[count].pushBack(&a.ranked[state], a)
	r.most = max(r.most, count)
}

// largest returns an address with the most connections; nil if there is none.
func (r *ranking) largest() *address {
	for ; r.most > 0; r.most-- {
		if n := r.byCount[r.most].first; n != nil {
			return n.value
		}
	}
	return nil
}
