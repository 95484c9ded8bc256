// Package weights simulates the platform's rate-limited weight store for tests.
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

// DefaultBytesPerSecond is the default rate limit.
const DefaultBytesPerSecond = 2 << 30

// grantsPerSecond is the number of grants per second at the full rate. Loads are granted in parts, so
// that concurrent loads share the rate.
const grantsPerSecond = 20

// Store is a simulated weight store. It is safe for concurrent use.
type Store struct {
	limiter    *rate.Limiter
	grantBytes int64

	mu      sync.Mutex
	granted map[string]int64
}

var _ external.WeightStore = (*Store)(nil)

// New returns a store with a rate limit in bytes per second; 0 means the default.
func New(bytesPerSecond int64) *Store {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultBytesPerSecond
	}
	grantBytes := max(1, bytesPerSecond/grantsPerSecond)
	return &Store{
		limiter:    rate.NewLimiter(rate.Limit(bytesPerSecond), int(grantBytes)),
		grantBytes: grantBytes,
		granted:    map[string]int64{},
	}
}

// Acquire implements external.WeightStore.
func (s *Store) Acquire(ctx context.Context, model string, bytes int64) error {
	if bytes < 0 {
		return fmt.Errorf("weights of model %q: %d bytes requested", model, bytes)
	}
	for remaining := bytes; remaining > 0; {
		n := min(remaining, s.grantBytes)
		if err := s.waitForBytes(ctx, int(n)); err != nil {
			return fmt.Errorf("weights of model %q: %w", model, err)
		}
		remaining -= n
		s.mu.Lock()
		s.granted[model] += n
		s.mu.Unlock()
	}
	return nil
}

// waitForBytes waits until n bytes are granted or the context ends. Unlike rate.Limiter.WaitN, it does
// not fail at once if the context's deadline is too early, because a remote store would not know it.
func (s *Store) waitForBytes(ctx context.Context, n int) error {
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

// Granted returns the number of bytes granted so far for each model.
func (s *Store) Granted() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.granted)
}

// Handler serves the store over HTTP, and GET /granted for tests.
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
