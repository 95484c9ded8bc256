package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/splitmix"
)

// Registration describes one run of a backend server, from start to exit.
type Registration struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Role       external.EngineRole
	Draining   bool
	// Born is the start of the run and orders successive runs of a backend server with the same ID; zero if
	// unknown.
	Born int64
	// Seq orders the registrations of one run; negative if unknown.
	Seq int64
}

// Server is a registered backend server with its load and health as known to this process.
type Server struct {
	Registration
	state *serverState
	// key is a hash that identifies one run of a backend server; all gateway instances compute the
	// same.
	key uint64
}

func makeServer(r Registration, st *serverState) *Server {
	return &Server{Registration: r, state: st, key: xxhash.Sum64String(r.ID) ^ splitmix.Mix(uint64(r.Born))}
}

// serverState is shared by all registrations of one run of a backend server.
type serverState struct {
	mu       sync.Mutex
	inFlight int
	// pendingTokens is the number of prompt tokens that were sent and not prefilled yet.
	pendingTokens float64
	// otherRequests is the number of requests from other gateway instances, as reported at
	// loadReportedAt.
	otherRequests  int
	loadReportedAt time.Time
	// reportDecay is the time in which otherRequests decays to 1/e.
	reportDecay time.Duration
	// lastActivity is when the backend server last sent data or, if later, when its first request
	// in flight was sent.
	lastActivity time.Time
	// failureRate is a moving average of failures, from 0 to 1.
	failureRate   float64
	failureRateAt time.Time
	// ejectedUntil is the time until which the backend server is used only if there is no other.
	ejectedUntil        time.Time
	consecutiveFailures int
	// transferExcess is a moving average of the time that prompt transfers from or to this backend
	// server took beyond the expected transferTime, in seconds.
	transferExcess   float64
	transferExcessAt time.Time
	// consecutiveRefusals is the number of refusals in a row; after a refusal the backend server
	// gets no requests until refusedUntil.
	consecutiveRefusals int
	refusedUntil        time.Time

	// listed is true while the run is registered.
	listed bool
	// leaving is true once the backend server was known to leave. It holds for the rest of the run.
	leaving bool
	// restUntil is the time until which the backend server wants no requests of this process. Afterwards it
	// gets one at a time while trial is set, until it accepts one.
	restUntil time.Time
	trial     bool
	// fetchRefusals counts the refusals in a row of prompts that this server has prefilled.
	fetchRefusals int
	// oddRestLoggedAt and oddLoadLoggedAt are when an unreadable wish for rest or load was last logged.
	oddRestLoggedAt, oddLoadLoggedAt time.Time
}

const (
	// silenceTimeout is how long a backend server with requests in flight may send nothing before it
	// counts as unusable. It is longer than an ordinary server takes for any answer.
	silenceTimeout = 600 * time.Millisecond
	// silenceTargets is the same as a multiple of a route's target, where that is longer: an engine says
	// nothing while it prefills a prompt, and the largest take about twice the target.
	silenceTargets = 3
	// loadReportLifetime is the age from which a load report is ignored.
	loadReportLifetime = 2 * time.Second
	// reportedPrompts is the number of typical prompts in whose reading time the requests that a report counts are expected
	// to decay to 1/e, within the limits minReportDecay and maxReportDecay. Engines read a prompt in 8 to 60 ms. Used at
	// their full number for 2 s, reports made instances refuse for work that had been done long before, and split the
	// engines' roles by it; with 50 ms everywhere, slow engines counted as idle.
	reportedPrompts = 3
	minReportDecay  = 50 * time.Millisecond
	maxReportDecay  = 500 * time.Millisecond
	// failureWeight is the weight of one result in the failure rate.
	failureWeight = 0.15
	// failureDecayTime is the time in which the failure rate decays to 1/e.
	failureDecayTime = 4 * time.Second
	// ejectAfter is the number of consecutive failures after which a backend server is ejected for
	// ejectBase. The time doubles with each further failure up to ejectMax.
	ejectAfter = 3
	ejectBase  = 300 * time.Millisecond
	ejectMax   = 3 * time.Second
)

// recordSent records that a request was sent, with the given number of prompt tokens to prefill.
func (s *Server) recordSent(tokens float64, now time.Time) {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.inFlight == 0 {
		st.lastActivity = now
	}
	st.inFlight++
	st.pendingTokens += tokens
}

// subtractPendingTokens subtracts tokens that were prefilled, or will not be, from the pending ones.
func (s *Server) subtractPendingTokens(tokens float64) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.pendingTokens = max(0, s.state.pendingTokens-tokens)
}

// recordLoad is recordActivity for a response that may report a load. decay is the time in which its requests decay.
func (s *Server) recordLoad(load *Load, decay time.Duration, now time.Time) {
	s.recordActivity(load, now)
	if load != nil {
		s.state.mu.Lock()
		defer s.state.mu.Unlock()
		s.state.reportDecay = decay
	}
}

// recordActivity records that the backend server sent data, and the load that it reported, if any.
func (s *Server) recordActivity(load *Load, now time.Time) {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastActivity = now
	if load != nil {
		st.otherRequests, st.loadReportedAt = max(0, load.Running+load.Waiting-st.inFlight), now
	}
}

// recordEnded records the end of a request.
func (s *Server) recordEnded() {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.inFlight--
}

// recordResult records the result of a request. weight is 0 for a success and up to 1 for a failure.
// Only a weight of 1 counts as a consecutive failure; any other ends the series.
func (s *Server) recordResult(weight float64, now time.Time) {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.failureRate = st.decayedFailureRate(now)*(1-failureWeight) + weight*failureWeight
	st.failureRateAt = now
	st.consecutiveRefusals = 0
	st.trial = false
	if weight < 1 {
		st.consecutiveFailures = 0
		return
	}
	if st.consecutiveFailures++; st.consecutiveFailures >= ejectAfter {
		st.ejectedUntil = now.Add(min(ejectMax, ejectBase<<min(st.consecutiveFailures-ejectAfter, 4)))
	}
}

// recordUnreachable ejects the backend server immediately, because no connection could be made or
// its address belongs to another backend server.
func (s *Server) recordUnreachable(now time.Time) {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.consecutiveFailures = max(st.consecutiveFailures+1, ejectAfter)
	st.ejectedUntil = now.Add(min(ejectMax, ejectBase<<min(st.consecutiveFailures-ejectAfter, 4)))
}

const (
	// transferWeight is the weight of one transfer in the average, and transferDecayTime the time
	// in which the average decays to 1/e, so that links that were slow are tried again.
	transferWeight    = 0.3
	transferDecayTime = 3 * time.Second
)

// recordTransfer records how much longer than expected a prompt transfer from or to the backend
// server took. It is recorded for both ends; the average of a healthy end recovers with its other
// transfers.
func (s *Server) recordTransfer(extra time.Duration, now time.Time) {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.transferExcess = st.decayedTransferExcess(now)*(1-transferWeight) + transferWeight*max(0, extra.Seconds())
	st.transferExcessAt = now
}

// recordAbandonedTransfer records by how much an unfinished transfer has exceeded the expected
// time. It counts only if the receiving backend server has sent data since the request was sent: an
// unresponsive one would otherwise lower the rating of every server that it fetches from.
func recordAbandonedTransfer(from, to *Server, extra time.Duration, sentAt, now time.Time) {
	to.state.mu.Lock()
	active := to.state.lastActivity.After(sentAt)
	to.state.mu.Unlock()
	if !active {
		return
	}
	for _, s := range []*Server{from, to} {
		if extra.Seconds() > s.view(now).transferExcess {
			s.recordTransfer(extra, now)
		}
	}
}

func (st *serverState) decayedTransferExcess(now time.Time) float64 {
	age := now.Sub(st.transferExcessAt)
	if age <= 0 || st.transferExcess == 0 {
		return st.transferExcess
	}
	return st.transferExcess * math.Exp(-age.Seconds()/transferDecayTime.Seconds())
}

const (
	// refusalPauseBase is how long a backend server gets no further requests after a refusal while
	// there are others. It doubles with each consecutive refusal up to refusalPauseMax. Longer
	// series of refusals come from engines that are changing their role, which takes seconds.
	refusalPauseBase = 50 * time.Millisecond
	refusalPauseMax  = 800 * time.Millisecond
)

// recordRefusal records that the backend server refused a request.
func (s *Server) recordRefusal(now time.Time) {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refusedUntil = now.Add(min(refusalPauseMax, refusalPauseBase<<min(st.consecutiveRefusals, 5)))
	st.consecutiveRefusals++
}

// pauseUntil keeps requests away until the backend server has changed its role.
func (s *Server) pauseUntil(until time.Time) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.refusedUntil = until
}

func (st *serverState) decayedFailureRate(now time.Time) float64 {
	age := now.Sub(st.failureRateAt)
	if age <= 0 || st.failureRate == 0 {
		return st.failureRate
	}
	return st.failureRate * math.Exp(-age.Seconds()/failureDecayTime.Seconds())
}

// view is a consistent copy of the state that a choice needs.
type view struct {
	inFlight      int
	otherRequests int
	// reportedRequests is their number when it was reported.
	reportedRequests int
	// otherTokens is the number of prompt tokens that other gateway instances have sent and that are not
	// prefilled yet; set by addOtherTokens.
	otherTokens   float64
	pendingTokens float64
	failureRate   float64
	// transferExcess is the expected transfer time of a prompt beyond transferTime, in seconds.
	transferExcess float64
	// silentFor is how long the server has sent nothing although it has requests.
	silentFor time.Duration
	usable    bool
	// restsFor is how much longer the backend server wants no requests.
	restsFor time.Duration
}

// usableFor reports whether a request with a target may be sent to the server.
func (v *view) usableFor(target time.Duration) bool {
	return v.usable && v.silentFor <= max(silenceTimeout, silenceTargets*target)
}

func (v view) backlog() Backlog {
	return Backlog{PendingTokens: v.pendingTokens, OtherTokens: v.otherTokens}
}

func (s *Server) view(now time.Time) view {
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	v := view{inFlight: st.inFlight, pendingTokens: st.pendingTokens, failureRate: st.decayedFailureRate(now), transferExcess: st.decayedTransferExcess(now), usable: true}
	if age := now.Sub(st.loadReportedAt); age < loadReportLifetime {
		v.reportedRequests = st.otherRequests
		v.otherRequests = int(math.Round(float64(st.otherRequests) * math.Exp(-age.Seconds()/max(st.reportDecay, minReportDecay).Seconds())))
	}
	if st.inFlight > 0 {
		v.silentFor = now.Sub(st.lastActivity)
	}
	v.restsFor = max(0, st.restUntil.Sub(now))
	onTrial := st.trial && st.inFlight > 0
	v.usable = !now.Before(st.ejectedUntil) && !now.Before(st.refusedUntil) && !onTrial
	return v
}
