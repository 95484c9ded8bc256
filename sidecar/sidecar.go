// Package sidecar is the role that runs beside one backend server. It is the only process
// that talks to that backend server and the exact admission point for its work: it knows
// what is in flight, refuses with "not run" before handing anything over, and only then.
package sidecar

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/once"
)

// Documents is what the sidecar needs from the documents in force.
type Documents interface {
	// Revision returns the revision of a service's document in force.
	Revision(service string) uint64
	// Observe reports a revision seen in traffic, so that a process that is behind catches up.
	Observe(service string, revision uint64)
}

// Config describes one sidecar.
type Config struct {
	Cluster  string
	Instance string
	Service  string
	// Incarnation is unique for each start of the process.
	Incarnation string
	// Peers calls other sidecars for KV cache.
	Peers *rpc.Clients
	// MaxInFlight bounds the attempts handed to the backend server or waiting in it.
	MaxInFlight int
	// Attempts bounds the memory of attempts seen.
	Attempts once.ExecutorSettings
}

// Sidecar serves one backend server. Exactly one of Engine and Backend is set.
type Sidecar struct {
	cfg     Config
	engine  external.Engine
	backend external.Backend
	docs    Documents
	log     logrus.FieldLogger
	metrics Metrics

	// seen refuses duplicates. Its lock may be taken while mu is held, not the other way round.
	seen *once.Executor

	sequence atomic.Uint64
	state    atomic.Pointer[engineView]

	// mu guards the fields below. No call is made while it is held.
	mu       sync.Mutex
	inFlight map[attemptKey]*attempt
	work     map[string]*v1.KindWork
	// cacheEvents is replaced, never changed, so that answers can share it.
	cacheEvents []*v1.CacheEvent
	leaving     bool // for good: by a signal, an operator or a lost slot
	listed      bool // as leaving in the platform's list
	ordered     bool // during an order
	idle        chan struct{}
}

type attemptKey struct {
	requestID string
	number    uint32
}

type attempt struct {
	cancel        context.CancelCauseFunc
	interruptible bool
	// prefillTokens are those still to prefill, decodeTokens those still to generate at most.
	prefillTokens int
	decodeTokens  int
	pieces        int
}

// engineView is the engine's configuration as last read.
type engineView struct {
	state       external.EngineState
	totalPieces int
}

// Metrics receives counts from the sidecar.
type Metrics interface {
	Attempt(outcome v1.Outcome, reason v1.Reason)
	InFlight(n int)
}

// New returns a sidecar beside an engine or a plain backend server.
func New(cfg Config, engine external.Engine, backend external.Backend, docs Documents, m Metrics, log logrus.FieldLogger) (*Sidecar, error) {
	if (engine == nil) == (backend == nil) {
		return nil, errors.New("a sidecar needs either an engine or a plain backend server")
	}
	return &Sidecar{
		cfg: cfg, engine: engine, backend: backend, docs: docs, metrics: m, log: log,
		inFlight: map[attemptKey]*attempt{},
		seen:     once.NewExecutor(cfg.Incarnation, cfg.Attempts),
		work:     map[string]*v1.KindWork{},
		idle:     make(chan struct{}),
	}, nil
}

// refusal is a reason not to hand an attempt to the backend server.
type refusal struct {
	outcome v1.Outcome
	reason  v1.Reason
	detail  string
}

func notRun(r v1.Reason, detail string) *refusal {
	return &refusal{outcome: v1.Outcome_OUTCOME_NOT_RUN, reason: r, detail: detail}
}

// admit registers an attempt and returns nil, or returns why it is refused. A refused attempt has had no
// effect on the backend server. A duplicate is unknown, because its first copy may have run.
func (s *Sidecar) admit(r *v1.ExecuteRequest, cancel context.CancelCauseFunc) *refusal {
	if ref := s.validate(r); ref != nil {
		return ref
	}
	key := attemptKey{r.GetRequestId(), r.GetAttempt()}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.seen.Begin(time.Now(), s.seenAttempt(r)) {
	case once.RefuseDuplicate:
		return &refusal{v1.Outcome_OUTCOME_UNKNOWN, v1.Reason_REASON_DUPLICATE_ATTEMPT, "attempt was received before"}
	case once.RefuseFull:
		return notRun(v1.Reason_REASON_QUEUE_FULL, "too many recent attempts")
	case once.RefuseIncarnation:
		return notRun(v1.Reason_REASON_WRONG_INCARNATION, "this sidecar's incarnation is "+s.cfg.Incarnation)
	}
	if ref := s.unavailableLocked(); ref != nil {
		s.seen.End(time.Now(), s.seenAttempt(r), false)
		return ref
	}
	s.countWork(r)
	prompt, answer := int(r.GetModel().GetPromptTokens()), int(r.GetModel().GetMaxTokens())
	s.inFlight[key] = &attempt{
		cancel: cancel, interruptible: r.GetInterruptible(), prefillTokens: prompt, decodeTokens: answer,
		pieces: (prompt + answer + external.PieceTokens - 1) / external.PieceTokens,
	}
	s.metrics.InFlight(len(s.inFlight))
	return nil
}

// unavailableLocked returns why no new work is accepted, nil if it is. The caller holds mu.
func (s *Sidecar) unavailableLocked() *refusal {
	if s.drainingLocked() {
		return notRun(v1.Reason_REASON_DRAINING, "backend server takes no new work")
	}
	if len(s.inFlight) >= s.cfg.MaxInFlight {
		return notRun(v1.Reason_REASON_QUEUE_FULL, "too many requests in flight")
	}
	return nil
}

// seenAttempt describes a valid request to the memory of attempts. A repeatable request may leave
// the incarnation open.
func (s *Sidecar) seenAttempt(r *v1.ExecuteRequest) once.Attempt {
	return once.Attempt{
		RequestID: r.GetRequestId(), Number: r.GetAttempt(), Incarnation: s.cfg.Incarnation, Repeatable: r.GetRepeatable(),
	}
}

func (s *Sidecar) validate(r *v1.ExecuteRequest) *refusal {
	switch {
	case r.GetCluster() != s.cfg.Cluster:
		return notRun(v1.Reason_REASON_INVALID, "request is for cluster "+r.GetCluster())
	case r.GetRequestId() == "" || r.GetAttempt() == 0:
		return notRun(v1.Reason_REASON_INVALID, "request ID and attempt are required")
	case r.GetService() != s.cfg.Service:
		return notRun(v1.Reason_REASON_WRONG_SERVICE, "this backend server belongs to service "+s.cfg.Service)
	case r.GetIncarnation() != "" && r.GetIncarnation() != s.cfg.Incarnation:
		return notRun(v1.Reason_REASON_WRONG_INCARNATION, "this sidecar's incarnation is "+s.cfg.Incarnation)
	case r.GetIncarnation() == "" && !r.GetRepeatable():
		return notRun(v1.Reason_REASON_WRONG_INCARNATION, "an unrepeatable request must name the incarnation")
	case r.GetRemainingMs() == 0:
		return notRun(v1.Reason_REASON_DEADLINE, "deadline has passed")
	case (s.engine != nil) != (r.GetModel() != nil) || (s.backend != nil) != (r.GetPlain() != nil):
		return notRun(v1.Reason_REASON_INVALID, "request does not fit the kind of backend server")
	case s.engine != nil && !s.serves(r.GetModel()):
		return notRun(v1.Reason_REASON_MODEL_NOT_LOADED, "model or adapter is not loaded")
	}
	return nil
}

// serves reports whether the engine has loaded the model and adapter, as far as is known.
func (s *Sidecar) serves(m *v1.ModelRequest) bool {
	v := s.state.Load()
	if v == nil {
		return false
	}
	return hasVersion(v.state.Config.Models, m.GetModel()) &&
		(m.GetAdapter() == "" || hasVersion(v.state.Config.Adapters, m.GetAdapter()))
}

func hasVersion(list []external.ModelVersion, name string) bool {
	for _, v := range list {
		if v.Name == name {
			return true
		}
	}
	return false
}

// countWork adds an admitted attempt to the work of its kind. Tokens of the answer are counted as
// they are generated, since most answers end before their limit. The caller holds mu.
func (s *Sidecar) countWork(r *v1.ExecuteRequest) {
	w := s.work[r.GetKind()]
	if w == nil {
		w = &v1.KindWork{Kind: r.GetKind()}
		s.work[r.GetKind()] = w
	}
	w.Requests++
	w.PromptTokens += uint64(r.GetModel().GetPromptTokens())
}

// Work returns the work admitted since the start, by kind.
func (s *Sidecar) Work() []*v1.KindWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*v1.KindWork
	for _, w := range s.work {
		all = append(all, proto.CloneOf(w))
	}
	return all
}

// progress records that an attempt has generated tokens, so that its prompt is prefilled.
func (s *Sidecar) progress(r *v1.ExecuteRequest, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.inFlight[attemptKey{r.GetRequestId(), r.GetAttempt()}]; a != nil {
		s.work[r.GetKind()].OutputTokens += uint64(tokens)
		a.prefillTokens = 0
		a.decodeTokens = max(0, a.decodeTokens-tokens)
	}
}

// release removes an attempt that has ended. If it was not handed to the backend server, a further
// attempt of an unrepeatable request may run.
func (s *Sidecar) release(r *v1.ExecuteRequest, handed bool) {
	s.seen.End(time.Now(), s.seenAttempt(r), handed)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, attemptKey{r.GetRequestId(), r.GetAttempt()})
	s.metrics.InFlight(len(s.inFlight))
	close(s.idle)
	s.idle = make(chan struct{})
}

// reportedCacheEvents is the number of cache events with an answer. 16 events are about 200 bytes; a
// router sees all of them unless an engine's cache changes more than 16 times between answers.
const reportedCacheEvents = 16

// RefreshCacheEvents reads the engine's cache events since the last read. They travel with the
// next answers.
func (s *Sidecar) RefreshCacheEvents(ctx context.Context) error {
	if s.engine == nil {
		return nil
	}
	s.mu.Lock()
	old := s.cacheEvents
	s.mu.Unlock()
	after := uint64(0)
	if len(old) > 0 {
		after = old[len(old)-1].GetSequence()
	}
	events, err := s.engine.CacheEvents(ctx, after)
	if err != nil || len(events) == 0 {
		return err
	}
	list := slices.Clone(old)
	for _, e := range events {
		list = append(list, &v1.CacheEvent{Sequence: e.Sequence, Prefix: e.Prefix, Evicted: e.Evicted})
	}
	list = list[max(0, len(list)-reportedCacheEvents):]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheEvents = list
	return nil
}

func (s *Sidecar) recentCacheEvents() []*v1.CacheEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cacheEvents
}

// RefreshState reads the engine's configuration. After a restart of the engine its cache is
// empty and its events are numbered anew.
func (s *Sidecar) RefreshState(ctx context.Context) error {
	if s.engine == nil {
		return nil
	}
	st, err := s.engine.State(ctx)
	if err != nil {
		// An engine that does not answer serves nothing until it is seen again.
		s.state.Store(nil)
		return err
	}
	// The engine's load lags; only its capacity is taken from it.
	l, err := s.engine.Load(ctx)
	if err != nil {
		s.state.Store(nil)
		return err
	}
	old := s.state.Swap(&engineView{state: st, totalPieces: l.TotalPieces})
	if old != nil && old.state.StartID != st.StartID {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cacheEvents = nil
	}
	return nil
}
