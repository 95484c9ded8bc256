// Package weights is a stand-in for the platform's rate-limited weight store. It is test
// equipment.
package weights

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/weightwire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
)

// DefaultBytesPerSecond is the default rate.
const DefaultBytesPerSecond = 2 << 30

// grantsPerSecond splits a load into parts, so that concurrent loads share the rate.
const grantsPerSecond = 20

// Store is the weight store. All methods are safe for concurrent use.
type Store struct {
	limiter *rate.Limiter
	part    int64

	mu      sync.Mutex
	granted map[string]int64
}

var _ external.WeightStore = (*Store)(nil)

// New returns a store with a rate in bytes per second; 0 means the default.
func New(bytesPerSecond int64) *Store {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultBytesPerSecond
	}
	part := max(1, bytesPerSecond/grantsPerSecond)
	return &Store{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), int(part)),
		part:    part,
		granted: map[string]int64{},
	}
}

// Acquire implements external.WeightStore.
func (s *Store) Acquire(ctx context.Context, model string, bytes int64) error {
	if bytes < 0 {
		return fmt.Errorf("weights of model %q: %d bytes requested", model, bytes)
	}
	for left := bytes; left > 0; {
		n := min(left, s.part)
		if err := s.wait(ctx, int(n)); err != nil {
			return fmt.Errorf("weights of model %q: %w", model, err)
		}
		left -= n
		s.mu.Lock()
		s.granted[model] += n
		s.mu.Unlock()
	}
	return nil
}

// wait differs from rate.Limiter.WaitN in that it waits until the context ends even if its
// deadline is known to be too early, as a caller of a remote store does.
func (s *Store) wait(ctx context.Context, n int) error {
	r := s.limiter.ReserveN(time.Now(), n)
	t := time.NewTimer(r.Delay())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		r.Cancel()
		return ctx.Err()
	}
}

// Granted returns the bytes granted so far by model.
func (s *Store) Granted() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.granted)
}

// Handler serves the store over HTTP, with GET /granted for tests.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	httpjson.Handle(mux, "POST "+weightwire.PathAcquire, func(ctx context.Context, r weightwire.Request) (struct{}, error) {
		return struct{}{}, s.Acquire(ctx, r.Model, r.Bytes)
	}, func(w http.ResponseWriter, err error) {
		httpjson.WriteError(w, http.StatusServiceUnavailable, "unavailable", err)
	})
	mux.HandleFunc("GET /granted", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Granted())
	})
	return mux
}
