// Package backend simulates a plain backend server for tests. GET returns a schedule; every other
// method executes an action. A journal records all requests, which makes duplicate executions visible.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

// Defaults of Config.
const (
	DefaultServiceTime = 5 * time.Millisecond
	DefaultLimit       = 64
)

// Config sets a server's capacity and speed. Zero values select the defaults.
type Config struct {
	// ServiceTime is the duration of one request; a negative value means none.
	ServiceTime time.Duration
	// Limit is the maximum number of requests executed at the same time; further ones wait.
	Limit int
	// JournalLimit bounds the journal, which keeps at least this many of the latest records and fewer
	// than twice as many. 0 keeps all.
	JournalLimit int
}

// Faults are the faults to inject.
type Faults struct {
	// FailBeforeRun is n if the next n requests fail before execution.
	FailBeforeRun int `json:"fail_before_run"`
	// LoseResponse is n if the next n requests are executed but their responses are lost.
	LoseResponse int `json:"lose_response"`
	// SlowMS is added to the service time, in milliseconds.
	SlowMS int `json:"slow_ms"`
}

// Record is the journal entry of one executed request.
type Record struct {
	At             time.Time `json:"at"`
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Body           uint64    `json:"body"` // xxhash64 of the body
	// Lost reports that the response was dropped by an injected fault.
	Lost bool `json:"lost,omitempty"`
}

// Answer is the JSON body of a response.
type Answer struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Path           string `json:"path"`
	// Executions is the number of executions so far with this idempotency key, or with this request
	// ID if the request has no key.
	Executions int `json:"executions,omitempty"`
	// Departures holds the departure times (HH:MM) returned by a GET. They depend only on the path.
	Departures []string `json:"departures,omitempty"`
}

// Server is a simulated plain backend server. It is safe for concurrent use.
type Server struct {
	cfg   Config
	slots chan struct{}

	mu         sync.Mutex
	faults     Faults
	waiting    int
	journal    []Record
	executions map[string]int
}

var _ external.Backend = (*Server)(nil)

// New returns a server without faults.
func New(cfg Config) *Server {
	if cfg.ServiceTime == 0 {
		cfg.ServiceTime = DefaultServiceTime
	}
	if cfg.Limit <= 0 {
		cfg.Limit = DefaultLimit
	}
	return &Server{cfg: cfg, slots: make(chan struct{}, cfg.Limit), executions: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Journal returns the records of the executed requests, oldest first.
func (s *Server) Journal() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.journal...)
}

// Executions returns the number of actions executed with an idempotency key, or with a request ID
// for requests without a key. GETs are not counted.
func (s *Server) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Do implements external.Backend. Every request in the journal has been executed, whether or not its
// response reached the caller.
func (s *Server) Do(ctx context.Context, r *external.PlainRequest) (*external.PlainResponse, error) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	extraTime, fail := s.consumeFaults()
	if fail {
		return nil, fmt.Errorf("%w: injected failure before execution", external.ErrEngineFailed)
	}
	if err := sleep(ctx, s.cfg.ServiceTime+extraTime); err != nil {
		return nil, fmt.Errorf("%w: executing: %w", external.ErrEngineFailed, err)
	}
	n, lost := s.execute(r)
	if lost {
		return nil, fmt.Errorf("%w: response lost", external.ErrEngineFailed)
	}
	answer := Answer{RequestID: r.RequestID, IdempotencyKey: r.IdempotencyKey, Path: r.Path, Executions: n}
	if r.Method == http.MethodGet {
		answer.Departures = departures(r.Path)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrEngineFailed, err)
	}
	return &external.PlainResponse{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}

func (s *Server) acquireSlot(ctx context.Context) (release func(), err error) {
	s.addWaiting(1)
	defer s.addWaiting(-1)
	select {
	case s.slots <- struct{}{}:
		return func() { <-s.slots }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: waiting for a slot: %w", external.ErrEngineFailed, ctx.Err())
	}
}

func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// consumeFaults returns the extra service time of the next request and whether it fails before
// execution. It counts down FailBeforeRun.
func (s *Server) consumeFaults() (extraTime time.Duration, fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FailBeforeRun > 0 {
		s.faults.FailBeforeRun--
		fail = true
	}
	return time.Duration(s.faults.SlowMS) * time.Millisecond, fail
}

// execute records the request and returns the number of executions with its key, which is 0 for a
// GET. lost reports that the response is to be dropped; it counts down LoseResponse.
func (s *Server) execute(r *external.PlainRequest) (n int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponse > 0 {
		s.faults.LoseResponse--
		lost = true
	}
	s.journal = append(s.journal, Record{
		At: time.Now(), RequestID: r.RequestID, IdempotencyKey: r.IdempotencyKey,
		Method: r.Method, Path: r.Path, Body: xxhash.Sum64(r.Body), Lost: lost,
	})
	if limit := s.cfg.JournalLimit; limit > 0 && len(s.journal) >= 2*limit {
		s.journal = append(s.journal[:0], s.journal[len(s.journal)-limit:]...)
	}
	if r.Method == http.MethodGet {
		return 0, lost
	}
	key := r.IdempotencyKey
	if key == "" {
		key = r.RequestID
	}
	s.executions[key]++
	return s.executions[key], lost
}

// Load implements external.Backend. One piece is one request slot.
func (s *Server) Load(context.Context) (external.EngineLoad, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := len(s.slots)
	return external.EngineLoad{
		Running: running, Queued: s.waiting,
		FreePieces: s.cfg.Limit - running, TotalPieces: s.cfg.Limit,
	}, nil
}

// departures returns four departure times (HH:MM) derived from the path.
func departures(path string) []string {
	h := xxhash.Sum64String(path)
	out := make([]string, 0, 4)
	for i := range 4 {
		minute := (h>>(8*i))%15 + uint64(15*i)
		out = append(out, fmt.Sprintf("%02d:%02d", h>>32%24, minute))
	}
	return out
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
