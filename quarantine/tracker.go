// Package quarantine finds prompt parts under which backend servers crash, and decides how long requests
// with them are refused. It does no I/O and takes the current time as an argument; callers share its reports
// and entries between instances.
//
// A part is quarantined after several backend servers have crashed while they processed requests with it,
// and no request with it has been answered since. At least one of the crashes must have been reported while the
// process ran: it does not know what was answered before. The quarantine ends when a request with it is answered
// anywhere. After each term one request of the whole installation is let through as a probe.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashWeight is the weight of a backend server that crashes alone; most numbers of servers that crash
	// together divide it.
	crashWeight = 5040
	// minCrashes is how often backend servers must have crashed alone under a part that was never answered.
	// The users' bound counts from the fifth crash; three tell a part from coincidence, because a part that
	// is in use is answered between two crashes.
	minCrashes = 3
	// minCrashesIfAnswered is the same for a part that was answered before.
	minCrashesIfAnswered = 5
	// minRequests is how many different requests must have been on these servers. One request that is sent
	// again may meet several crashes by itself.
	minRequests = 2
	// answeredMemory is how long before a crash an answer still acquits a part: it is longer than the time
	// between two answers with a part that many requests share.
	answeredMemory = 10 * time.Second
	// maxTogether is the number of servers from which crashes at one moment are no evidence: no request is
	// sent to so many in a moment.
	maxTogether = 8
	// evidenceLifetime is how long a crash counts.
	evidenceLifetime = 3 * time.Minute
	// adoptDelay is how long an instance that has not seen the crashes itself leaves it to others to
	// write an entry.
	adoptDelay = time.Second
	// maxSuspects, maxEntries and maxReporters limit the memory.
	maxSuspects  = 256
	maxEntries   = 64
	maxReporters = 1024
	// answeredGenerationSize limits the parts of one generation of answered parts, about 150 KB.
	answeredGenerationSize = 4096
)

// observation is one crash as evidence against a part.
type observation struct {
	request string
	at      time.Time
	own     bool
	// earlier is true if the crash was in the store when the process began to read it. Answers may have acquitted the part
	// since.
	earlier  bool
	position int
}

// suspect holds the crashes under a part since it was last answered, by backend server.
type suspect struct {
	part    Part
	crashes map[string]observation
	// position is where the part stood in the last of these prompts.
	position int
	// sightings counts the requests with the part that were on these servers.
	sightings int
}

// unexplained returns the weight of the crashes that no quarantined part explains, and the number of requests on
// them. Servers that crash at the same moment have one cause, so that together they weigh as much as one that
// crashes alone, and a part that was on a few of them only is hardly that cause.
func (s *suspect) unexplained(explained map[string]bool, m *moments, sizes map[string]int) (weight, requests int) {
	seen := make(map[string]bool, len(s.crashes))
	for server, o := range s.crashes {
		if !explained[server] {
			seen[o.request] = true
			weight += crashWeight / max(1, sizes[m.of(server)])
		}
	}
	return weight, len(seen)
}

// onlyEarlier reports whether all crashes were in the store when the process began to read it.
func (s *suspect) onlyEarlier() bool {
	for _, o := range s.crashes {
		if !o.earlier {
			return false
		}
	}
	return true
}

func (s *suspect) hasOwn() bool {
	for _, o := range s.crashes {
		if o.own {
			return true
		}
	}
	return false
}

// held is a quarantined part.
type held struct {
	Entry
	// revision is that of the entry in the store; 0 if it is not there.
	revision uint64
	// until is the end of the current term.
	until time.Time
	// claimedAt is when a request here last tried to become the probe.
	claimedAt time.Time
	// writeAt is when the entry is to be written; zero if it need not be.
	writeAt time.Time
}

func (h *held) expired(now time.Time) bool { return now.After(h.until.Add(linger)) }

// Tracker decides which parts are quarantined. It is safe for concurrent use.
type Tracker struct {
	instance string
	changed  chan struct{}
	// entryCount is the number of entries that are not lifted, so that most requests take no lock.
	entryCount atomic.Int32

	mu       sync.Mutex
	suspects map[uint64]*suspect
	entries  map[uint64]*held
	moments  moments
	// answered holds when a request with a part was last answered here, in two generations: parts that are
	// not answered while a generation is filled are dropped.
	answered, answeredBefore map[uint64]time.Time
	// report holds the crashes seen here, with their times, and reported the parts of these that were not answered since.
	report   []ownCrash
	reported map[uint64]bool
	session  uint64
	sequence uint64
	// reportVersion counts the changes of the report, and reportWritten is the last one that was written to the store.
	reportVersion, reportWritten uint64
	// merged holds the last crash taken from each reporter.
	merged map[string]mergedReport
	events []Event
	// rewrites counts the records that are written again because the store had lost them.
	rewrites int
}

type ownCrash struct {
	Crash
	at time.Time
}

type mergedReport struct{ session, sequence uint64 }

// Event is a decision for the log.
type Event struct {
	Kind  string
	Entry Entry
}

// Kinds of events.
const (
	EventQuarantined = "quarantined" // decided here
	EventLearned     = "learned"     // decided by another instance, or a new term
	EventLifted      = "lifted"
	EventForgotten   = "forgotten" // no request with the part came after its term
	EventIgnored     = "ignored"   // too many parts are quarantined
)

// New returns a Tracker. session differs between runs of an instance.
func New(instance string, session uint64) *Tracker {
	return &Tracker{
		instance: instance, changed: make(chan struct{}, 1), suspects: make(map[uint64]*suspect), entries: make(map[uint64]*held),
		answered: make(map[uint64]time.Time), reported: make(map[uint64]bool), session: session, merged: make(map[string]mergedReport),
	}
}

// Changed is signalled when there is something to write or to log.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

func (t *Tracker) signal() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

// Verdict tells what to do with a request.
type Verdict struct {
	// Part is a quarantined part; meaningful if Blocked.
	Part    Part
	Blocked bool
	// Due lists the quarantined parts if all their terms are over, so that this request may become the
	// probe for them.
	Due []Part
	// RetryAfter is the rest of the term.
	RetryAfter time.Duration
}

// Check decides on a request with parts.
func (t *Tracker) Check(parts []uint64, now time.Time) Verdict {
	if t.entryCount.Load() == 0 {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var v Verdict
	for _, id := range parts {
		h := t.entries[id]
		if h == nil || h.Lifted || h.expired(now) {
			continue
		}
		if left := h.until.Sub(now); left > 0 {
			return Verdict{Part: h.Part, Blocked: true, RetryAfter: left}
		}
		v = Verdict{Part: h.Part, Blocked: true, Due: append(v.Due, h.Part), RetryAfter: minRetryAfter}
	}
	return v
}

// minRetryAfter is told to requests that come while a probe is decided.
const minRetryAfter = time.Second

// Answered records that a request with parts was answered.
func (t *Tracker) Answered(parts []uint64, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.answered) >= answeredGenerationSize {
		t.answeredBefore, t.answered = t.answered, make(map[uint64]time.Time)
	}
	for _, id := range parts {
		t.answered[id] = now
		delete(t.suspects, id)
		if t.reported[id] {
			// The report in the store must not accuse the part any longer, as instances that start read it.
			delete(t.reported, id)
			t.changeReport()
		}
		if h := t.entries[id]; h != nil && !h.Lifted {
			t.lift(h, now)
		}
	}
}

func (t *Tracker) lastAnswer(id uint64) (time.Time, bool) {
	if at, ok := t.answered[id]; ok {
		return at, true
	}
	at, ok := t.answeredBefore[id]
	return at, ok
}

// answeredSince reports whether a request with a part was answered here after a time.
func (t *Tracker) answeredSince(id uint64, at time.Time) bool {
	last, ok := t.lastAnswer(id)
	return ok && last.After(at)
}

func (t *Tracker) answeredLately(id uint64, now time.Time) bool {
	at, ok := t.lastAnswer(id)
	return ok && now.Sub(at) < answeredMemory
}

// lift ends the quarantine of a part here and has it written for the others.
func (t *Tracker) lift(h *held, now time.Time) {
	h.Lifted, h.By, h.writeAt = true, t.instance, now
	delete(t.suspects, h.ID)
	t.logEvent(EventLifted, h.Entry)
}

// RecordCrashes records crashes that this instance has seen at one moment, one for each request that was on a
// crashed server. Their parts must not contain the last part of a prompt, which belongs to the request alone.
func (t *Tracker) RecordCrashes(crashes []Crash, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range crashes {
		if len(c.Beside) < maxTogether {
			t.recordCrash(c, now)
		}
	}
	if t.reportVersion != t.reportWritten {
		t.evaluate(now)
	}
}

// changeReport has the report written.
func (t *Tracker) changeReport() {
	t.reportVersion++
	t.signal()
}

func (t *Tracker) recordCrash(c Crash, now time.Time) {
	t.moments.join(c.Server, c.Beside, now)
	c.Request = c.Request[:min(len(c.Request), maxIDBytes)]
	var parts []Part
	for _, p := range c.Parts {
		p.Name = p.Name[:min(len(p.Name), maxNameBytes)]
		if !t.answeredLately(p.ID, now) {
			parts = append(parts, p)
		}
	}
	if len(parts) == 0 {
		return
	}
	c.Parts = parts[max(0, len(parts)-maxPartsPerCrash):]
	for i, p := range c.Parts {
		t.addEvidence(p, c.Server, observation{request: c.Request, at: now, own: true, position: i}, now)
	}
	t.sequence++
	c.Sequence = t.sequence
	t.report = append(t.report, ownCrash{c, now})
	t.trimReport()
	t.changeReport()
}

// trimReport keeps the newest crashes of the report.
func (t *Tracker) trimReport() {
	first, parts := len(t.report), 0
	for first > 0 && len(t.report)-first < maxCrashesReported {
		if parts += len(t.report[first-1].Parts); parts > maxPartsReported {
			break
		}
		first--
	}
	t.report = slices.Delete(t.report, 0, first)
	clear(t.reported)
	for _, c := range t.report {
		for _, p := range c.Parts {
			if !t.answeredSince(p.ID, c.at) {
				t.reported[p.ID] = true
			}
		}
	}
}

// addEvidence records a crash under a part.
func (t *Tracker) addEvidence(p Part, server string, o observation, now time.Time) {
	if h := t.entries[p.ID]; h != nil && !h.Lifted {
		// The crash is explained by the part from now on, also against other parts.
		if !slices.Contains(h.Servers, server) {
			h.Servers = append(h.Servers[max(0, len(h.Servers)+1-maxServersPerPart):], server)
		}
		return
	}
	s := t.suspects[p.ID]
	if s == nil {
		if len(t.suspects) >= maxSuspects && !t.dropWeakest(now) {
			return
		}
		s = &suspect{part: p, crashes: make(map[string]observation)}
		t.suspects[p.ID] = s
	}
	s.sightings++
	s.position = o.position
	if old, ok := s.crashes[server]; ok && (old.own || !o.own) {
		return
	}
	if len(s.crashes) < maxServersPerPart {
		s.crashes[server] = o
	}
}

// dropWeakest makes room for a suspect. It drops the one with the fewest crashes, and of these the oldest.
func (t *Tracker) dropWeakest(now time.Time) bool {
	t.expireEvidence(now)
	if len(t.suspects) < maxSuspects {
		return true
	}
	var weakest *suspect
	var latest time.Time
	for _, s := range t.suspects {
		last := s.lastCrash()
		if weakest == nil || len(s.crashes) < len(weakest.crashes) || len(s.crashes) == len(weakest.crashes) && last.Before(latest) {
			weakest, latest = s, last
		}
	}
	if len(weakest.crashes) > 1 {
		return false
	}
	delete(t.suspects, weakest.part.ID)
	return true
}

func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, o := range s.crashes {
		if o.at.After(last) {
			last = o.at
		}
	}
	return last
}

func (t *Tracker) expireEvidence(now time.Time) {
	t.moments.expire(now)
	for id, s := range t.suspects {
		maps.DeleteFunc(s.crashes, func(_ string, o observation) bool { return now.Sub(o.at) > evidenceLifetime })
		if len(s.crashes) == 0 {
			delete(t.suspects, id)
		}
	}
}

// evaluate quarantines the parts that explain enough crashes, those with the most first. A crash that a
// quarantined part explains does not count against the parts that were beside it.
func (t *Tracker) evaluate(now time.Time) {
	t.expireEvidence(now)
	sizes := t.moments.sizes()
	for {
		explained := make(map[string]bool)
		for _, h := range t.entries {
			if !h.Lifted {
				for _, s := range h.Servers {
					explained[s] = true
				}
			}
		}
		var most []*suspect
		weight := 0
		for _, s := range t.suspects {
			need := minCrashes
			if _, ok := t.lastAnswer(s.part.ID); ok {
				need = minCrashesIfAnswered
			}
			n, requests := s.unexplained(explained, &t.moments, sizes)
			if n < max(need*crashWeight, weight) || requests < minRequests || s.onlyEarlier() {
				continue
			}
			if n > weight {
				most, weight = nil, n
			}
			most = append(most, s)
		}
		if len(most) == 0 {
			return
		}
		if !t.quarantine(mostSuspicious(most, t.lastAnswer), now) {
			return
		}
	}
}

// mostSuspicious selects among suspects with equally many crashes: one that was never answered, if there is
// any, and of these one that fewest requests had, because a part that all requests share is on each crashed
// server, too. A later part of a prompt is shared by fewer requests than those before it.
func mostSuspicious(suspects []*suspect, lastAnswer func(uint64) (time.Time, bool)) *suspect {
	return slices.MinFunc(suspects, func(a, b *suspect) int {
		_, aAnswered := lastAnswer(a.part.ID)
		_, bAnswered := lastAnswer(b.part.ID)
		if aAnswered != bAnswered {
			if aAnswered {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.sightings, b.sightings), cmp.Compare(b.position, a.position), cmp.Compare(a.part.ID, b.part.ID))
	})
}

// quarantine quarantines a part. It returns false if there are too many.
func (t *Tracker) quarantine(s *suspect, now time.Time) bool {
	delete(t.suspects, s.part.ID)
	e := Entry{Part: s.part, Servers: slices.Sorted(maps.Keys(s.crashes)), By: t.instance}
	old := t.entries[s.part.ID]
	if old == nil && len(t.entries) >= maxEntries {
		t.logEvent(EventIgnored, e)
		return false
	}
	h := &held{Entry: e, until: now.Add(e.Term()), writeAt: now}
	if old != nil {
		h.revision = old.revision
	}
	if !s.hasOwn() {
		h.writeAt = now.Add(adoptDelay)
	}
	t.entries[s.part.ID] = h
	t.countEntries()
	t.logEvent(EventQuarantined, e)
	return true
}

func (t *Tracker) countEntries() {
	n := int32(0)
	for _, h := range t.entries {
		if !h.Lifted {
			n++
		}
	}
	t.entryCount.Store(n)
}

// maxEvents limits the events that wait to be logged.
const maxEvents = 64

func (t *Tracker) logEvent(kind string, e Entry) {
	t.countEntries()
	if len(t.events) < maxEvents {
		t.events = append(t.events, Event{kind, e})
	}
	t.signal()
}

// Events returns the decisions since the last call.
func (t *Tracker) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.events
	t.events = nil
	return out
}
