// Package backend is a stand-in for a plain backend server: GET reads a schedule, any other
// method runs an action that a journal counts, so that a double execution shows. It is test
// equipment.
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

// Config sets a server's size and speed. Zero values take the defaults.
type Config struct {
	// ServiceTime is the time of one request; a negative value means none.
	ServiceTime time.Duration
	// Limit bounds the requests that run at once; others wait.
	Limit int
	// JournalLimit bounds the journal to the latest records; 0 means no bound.
	JournalLimit int
}

// Faults are the failures in force.
type Faults struct {
	// FailBeforeRun makes that many requests fail without effect.
	FailBeforeRun int `json:"fail_before_run"`
	// LoseResponse makes that many requests run and lose their response.
	LoseResponse int `json:"lose_response"`
	// SlowMS is added to the service time.
	SlowMS int `json:"slow_ms"`
}

// Record is one execution.
type Record struct {
	At             time.Time `json:"at"`
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Body           uint64    `json:"body"` // xxhash64 of the body
	// Lost means that the response did not reach the caller.
	Lost bool `json:"lost,omitempty"`
}

// Answer is the body of each response.
type Answer struct {
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Path           string `json:"path"`
	// Executions counts the executions under the idempotency key, or the request ID without one.
	Executions int `json:"executions,omitempty"`
	// Departures is the schedule that a GET reads; it is a function of the path.
	Departures []string `json:"departures,omitempty"`
}

// Server is a plain backend server. All methods are safe for concurrent use.
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

// New returns a server.
func New(cfg Config) *Server {
	if cfg.ServiceTime == 0 {
		cfg.ServiceTime = DefaultServiceTime
	}
	if cfg.Limit <= 0 {
		cfg.Limit = DefaultLimit
	}
	return &Server{cfg: cfg, slots: make(chan struct{}, cfg.Limit), executions: map[string]int{}}
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Journal returns the executions, oldest first.
func (s *Server) Journal() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Record(nil), s.journal...)
}

// Executions returns the number of actions that ran under an idempotency key, or under a request
// ID for requests without a key.
func (s *Server) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Do implements external.Backend. Once an action is in the journal it has run, whether or not
// its response arrives.
func (s *Server) Do(ctx context.Context, r *external.PlainRequest) (*external.PlainResponse, error) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	release, err := s.acquire(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	slow, fail := s.nextFaults()
	if fail {
		return nil, fmt.Errorf("%w: switched to fail before the run", external.ErrEngineFailed)
	}
	if err := sleep(ctx, s.cfg.ServiceTime+slow); err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrEngineFailed, err)
	}
	n, lost := s.execute(r)
	if lost {
		return nil, fmt.Errorf("%w: response lost", external.ErrEngineFailed)
	}
	a := Answer{RequestID: r.RequestID, IdempotencyKey: r.IdempotencyKey, Path: r.Path, Executions: n}
	if r.Method == http.MethodGet {
		a.Departures = schedule(r.Path)
	}
	body, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrEngineFailed, err)
	}
	return &external.PlainResponse{Status: http.StatusOK, ContentType: "application/json", Body: body}, nil
}

func (s *Server) acquire(ctx context.Context) (release func(), err error) {
	s.addWaiting(1)
	defer s.addWaiting(-1)
	select {
	case s.slots <- struct{}{}:
		return func() { <-s.slots }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", external.ErrEngineFailed, ctx.Err())
	}
}

func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

func (s *Server) nextFaults() (slow time.Duration, fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FailBeforeRun > 0 {
		s.faults.FailBeforeRun--
		fail = true
	}
	return time.Duration(s.faults.SlowMS) * time.Millisecond, fail
}

// execute runs the request. It returns the executions under its key, 0 for a GET.
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
	if l := s.cfg.JournalLimit; l > 0 && len(s.journal) >= 2*l {
		s.journal = append(s.journal[:0], s.journal[len(s.journal)-l:]...)
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

// Load implements external.Backend. Pieces are request slots.
func (s *Server) Load(context.Context) (external.EngineLoad, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := len(s.slots)
	return external.EngineLoad{
		Running: running, Queued: s.waiting,
		FreePieces: s.cfg.Limit - running, TotalPieces: s.cfg.Limit,
	}, nil
}

func schedule(path string) []string {
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
