// Package sidecar implements the process that runs next to one backend server. All requests to that
// backend server pass through its sidecar, so the sidecar knows exactly which attempts are in flight
// and decides their admission. Admission refuses an attempt as "not run" only before anything is sent
// to the backend server.
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

// Documents gives access to the configuration documents in force.
type Documents interface {
	// Revision returns the revision of the document in force for a service.
	Revision(service string) uint64
	// Observe reports a revision that a request carried. A newer one than the local revision makes
	// this process update its documents.
	Observe(service string, revision uint64)
}

// Config describes one sidecar.
type Config struct {
	Cluster  string
	Instance string
	Service  string
	// Incarnation identifies one run of the process: it differs after each start.
	Incarnation string
	// Peers holds the RPC clients for fetching KV caches from other sidecars.
	Peers *rpc.Clients
	// MaxInFlight is the maximum number of attempts that run or wait in the backend server.
	MaxInFlight int
	// Attempts limits the table of attempts for detecting duplicates.
	Attempts once.AttemptTableSettings
}

// Sidecar admits and runs the attempts of one backend server. Exactly one of engine and backend (a
// plain backend server) is set.
type Sidecar struct {
	cfg     Config
	engine  external.Engine
	backend external.Backend
	docs    Documents
	log     logrus.FieldLogger
	metrics Metrics

	// dedup detects duplicate attempts. Lock order: mu before the lock of dedup.
	dedup *once.AttemptTable

	// sequence numbers the load reports.
	sequence atomic.Uint64
	// snapshot is nil while the engine's state is unknown, and for a plain backend server.
	snapshot atomic.Pointer[engineSnapshot]

	// mu guards the fields below. It is not held during calls to the engine, the backend server or
	// other processes.
	mu         sync.Mutex
	inFlight   map[attemptKey]*attempt
	workByKind map[string]*v1.KindWork
	// cacheEvents is immutable once set, because answers share the slice. Updates replace it.
	cacheEvents []*v1.CacheEvent
	// New attempts are refused while any of these flags is set.
	leaving       bool // shutdown by a signal, an operator's drain, or another sidecar has claimed the engine
	listedLeaving bool // the platform's instance list marks this instance as leaving
	reconfiguring bool // a planned change: an order is being executed
	// attemptEnded is closed and replaced whenever an attempt ends.
	attemptEnded chan struct{}
}

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	requestID string
	number    uint32
}

// attempt is the state of one attempt in flight.
type attempt struct {
	cancel        context.CancelCauseFunc
	interruptible bool
	// prefillTokens is the number of prompt tokens still to prefill. decodeTokens is the maximum number
	// of tokens still to generate.
	prefillTokens int
	decodeTokens  int
	// pieces is the reserved engine capacity, in units of external.PieceTokens.
	pieces int
}

// engineSnapshot is the engine's configuration and capacity as last read.
type engineSnapshot struct {
	state       external.EngineState
	totalPieces int
}

// Metrics receives measurements from the sidecar.
type Metrics interface {
	Attempt(outcome v1.Outcome, reason v1.Reason)
	InFlight(n int)
}

// New returns a sidecar for an engine or a plain backend server. Exactly one of the two must be set.
func New(cfg Config, engine external.Engine, backend external.Backend, docs Documents, m Metrics, log logrus.FieldLogger) (*Sidecar, error) {
	if (engine == nil) == (backend == nil) {
		return nil, errors.New("sidecar requires either an engine or a plain backend server")
	}
	return &Sidecar{
		cfg: cfg, engine: engine, backend: backend, docs: docs, metrics: m, log: log,
		inFlight:     map[attemptKey]*attempt{},
		dedup:        once.NewAttemptTable(cfg.Incarnation, cfg.Attempts),
		workByKind:   map[string]*v1.KindWork{},
		attemptEnded: make(chan struct{}),
	}, nil
}

// refusal describes why an attempt is not sent to the backend server.
type refusal struct {
	outcome v1.Outcome
	reason  v1.Reason
	detail  string
}

// notRun returns a refusal with the outcome "not run".
func notRun(r v1.Reason, detail string) *refusal {
	return &refusal{outcome: v1.Outcome_OUTCOME_NOT_RUN, reason: r, detail: detail}
}

// admit registers an attempt as in flight and returns nil, or returns the reason for refusing it. A
// refused attempt has no effect on the backend server. The outcome of a duplicate, or of a
// further attempt of an unrepeatable request, is "unknown" rather than "not run", because the earlier
// one may have run.
func (s *Sidecar) admit(r *v1.ExecuteRequest, cancel context.CancelCauseFunc) *refusal {
	if refused := s.validate(r); refused != nil {
		return refused
	}
	key := attemptKey{r.GetRequestId(), r.GetAttempt()}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.dedup.Begin(time.Now(), s.onceAttempt(r)) {
	case once.RefuseDuplicate: // this attempt, or another one of an unrepeatable request, was received before
		return &refusal{v1.Outcome_OUTCOME_UNKNOWN, v1.Reason_REASON_DUPLICATE_ATTEMPT, "attempt was received before"}
	case once.RefuseFull: // the table of attempts is full
		return notRun(v1.Reason_REASON_QUEUE_FULL, "too many recent attempts")
	case once.RefuseWrongIncarnation:
		return notRun(v1.Reason_REASON_WRONG_INCARNATION, "this sidecar's incarnation is "+s.cfg.Incarnation)
	}
	if refused := s.unavailableLocked(); refused != nil {
		s.dedup.End(time.Now(), s.onceAttempt(r), false)
		return refused
	}
	s.countWorkLocked(r)
	promptTokens, maxTokens := int(r.GetModel().GetPromptTokens()), int(r.GetModel().GetMaxTokens())
	s.inFlight[key] = &attempt{
		cancel: cancel, interruptible: r.GetInterruptible(), prefillTokens: promptTokens, decodeTokens: maxTokens,
		pieces: (promptTokens + maxTokens + external.PieceTokens - 1) / external.PieceTokens,
	}
	s.metrics.InFlight(len(s.inFlight))
	return nil
}

// unavailableLocked returns a refusal if no new attempt is accepted now, and nil otherwise. The
// caller must hold mu.
func (s *Sidecar) unavailableLocked() *refusal {
	if s.drainingLocked() {
		return notRun(v1.Reason_REASON_DRAINING, "backend server takes no new work")
	}
	if len(s.inFlight) >= s.cfg.MaxInFlight {
		return notRun(v1.Reason_REASON_QUEUE_FULL, "too many requests in flight")
	}
	return nil
}

// onceAttempt returns the key of a valid request for detecting duplicates. It always carries this
// sidecar's incarnation, since a repeatable request may omit it.
func (s *Sidecar) onceAttempt(r *v1.ExecuteRequest) once.Attempt {
	return once.Attempt{
		RequestID: r.GetRequestId(), Number: r.GetAttempt(), Incarnation: s.cfg.Incarnation, Repeatable: r.GetRepeatable(),
	}
}

// validate refuses a request that is malformed, expired, or not meant for this sidecar.
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
	// A model request needs an engine, a plain request a plain backend server.
	case (s.engine != nil) != (r.GetModel() != nil) || (s.backend != nil) != (r.GetPlain() != nil):
		return notRun(v1.Reason_REASON_INVALID, "request does not fit the kind of backend server")
	case s.engine != nil && !s.modelLoaded(r.GetModel()):
		return notRun(v1.Reason_REASON_MODEL_NOT_LOADED, "model or adapter is not loaded")
	}
	return nil
}

// modelLoaded reports whether the engine had loaded the model and adapter when its state was last
// read.
func (s *Sidecar) modelLoaded(m *v1.ModelRequest) bool {
	v := s.snapshot.Load()
	if v == nil {
		return false
	}
	return containsName(v.state.Config.Models, m.GetModel()) &&
		(m.GetAdapter() == "" || containsName(v.state.Config.Adapters, m.GetAdapter()))
}

// containsName reports whether the list contains a version of the named model or adapter.
func containsName(list []external.ModelVersion, name string) bool {
	for _, v := range list {
		if v.Name == name {
			return true
		}
	}
	return false
}

// countWorkLocked adds an admitted attempt to the totals of its kind. Output tokens are counted when
// they are generated, since most answers end before their limit. The caller must hold mu.
func (s *Sidecar) countWorkLocked(r *v1.ExecuteRequest) {
	w := s.workByKind[r.GetKind()]
	if w == nil {
		w = &v1.KindWork{Kind: r.GetKind()}
		s.workByKind[r.GetKind()] = w
	}
	w.Requests++
	w.PromptTokens += uint64(r.GetModel().GetPromptTokens())
}

// Work returns the totals of admitted work by kind, since the start of the process.
func (s *Sidecar) Work() []*v1.KindWork {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*v1.KindWork
	for _, w := range s.workByKind {
		all = append(all, proto.CloneOf(w))
	}
	return all
}

// recordTokens records that an attempt has generated tokens, which also means that the prefill of its
// prompt is complete.
func (s *Sidecar) recordTokens(r *v1.ExecuteRequest, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.inFlight[attemptKey{r.GetRequestId(), r.GetAttempt()}]; a != nil {
		s.workByKind[r.GetKind()].OutputTokens += uint64(tokens)
		a.prefillTokens = 0
		a.decodeTokens = max(0, a.decodeTokens-tokens)
	}
}

// release removes an attempt that has ended and wakes the callers of Wait. Unless the attempt may
// have run on the backend server, a further attempt of an unrepeatable request is admitted.
func (s *Sidecar) release(r *v1.ExecuteRequest, mayHaveRun bool) {
	s.dedup.End(time.Now(), s.onceAttempt(r), mayHaveRun)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, attemptKey{r.GetRequestId(), r.GetAttempt()})
	s.metrics.InFlight(len(s.inFlight))
	close(s.attemptEnded)
	s.attemptEnded = make(chan struct{})
}

// maxReportedCacheEvents is the maximum number of cache events in a final frame. 16 events take about
// 200 bytes. A router misses events only if the engine's cache changes more than 16 times between two
// answers.
const maxReportedCacheEvents = 16

// RefreshCacheEvents reads the engine's cache events since the last read. The final frames of
// subsequent answers carry the latest ones.
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
	list = list[max(0, len(list)-maxReportedCacheEvents):]
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

// RefreshState reads the engine's configuration and capacity. It discards the cache events if the
// engine has restarted since the previous read, because its cache is then empty and it numbers its
// events from the start.
func (s *Sidecar) RefreshState(ctx context.Context) error {
	if s.engine == nil {
		return nil
	}
	state, err := s.engine.State(ctx)
	if err != nil {
		// An unreachable engine counts as having no models loaded until its state is read again.
		s.snapshot.Store(nil)
		return err
	}
	// Only the capacity is used: the engine reports its load with a delay, and the sidecar counts
	// the attempts in flight itself.
	load, err := s.engine.Load(ctx)
	if err != nil {
		s.snapshot.Store(nil)
		return err
	}
	previous := s.snapshot.Swap(&engineSnapshot{state: state, totalPieces: load.TotalPieces})
	if previous != nil && previous.state.StartID != state.StartID {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cacheEvents = nil
	}
	return nil
}
