package kv

import (
	"context"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// FaultState says which faults to inject.
type FaultState struct {
	// Down makes all calls fail without effect.
	Down bool `json:"down"`
	// SlowMS is the delay of each call in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is n if the next n writes take effect but their responses are lost.
	LoseAnswers int `json:"lose_answers"`
}

// Faults injects faults into the calls to a store. It is safe for concurrent use.
type Faults struct {
	mu    sync.Mutex
	state FaultState
}

// Set replaces the injected faults.
func (f *Faults) Set(s FaultState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
}

// Get returns the injected faults.
func (f *Faults) Get() FaultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *Faults) isDown() bool { return f.Get().Down }

// beforeCall waits for the injected delay. It returns external.ErrUnavailable if the service is down or
// the context has ended.
func (f *Faults) beforeCall(ctx context.Context) error {
	s := f.Get()
	if s.SlowMS > 0 {
		if err := sleep(ctx, time.Duration(s.SlowMS)*time.Millisecond); err != nil {
			return external.ErrUnavailable
		}
	}
	if s.Down || ctx.Err() != nil {
		return external.ErrUnavailable
	}
	return nil
}

// afterWrite injects the loss of the response after a write has taken effect, as
// external.ErrOutcomeUnknown. The response is also lost if the caller's context has ended.
func (f *Faults) afterWrite(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.LoseAnswers > 0 {
		f.state.LoseAnswers--
		return external.ErrOutcomeUnknown
	}
	if ctx.Err() != nil {
		return external.ErrOutcomeUnknown
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
