package kv

import (
	"context"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// FaultState is the set of faults in force.
type FaultState struct {
	// Down makes each call fail without effect.
	Down bool `json:"down"`
	// SlowMS delays each call.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers makes that many writes take effect and lose their response.
	LoseAnswers int `json:"lose_answers"`
}

// Faults switches the faults of a store.
type Faults struct {
	mu    sync.Mutex
	state FaultState
}

// Set replaces the faults in force.
func (f *Faults) Set(s FaultState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
}

// Get returns the faults in force.
func (f *Faults) Get() FaultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *Faults) isDown() bool { return f.Get().Down }

// before runs ahead of the effect of a call.
func (f *Faults) before(ctx context.Context) error {
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

// after runs once a write has taken effect.
func (f *Faults) after(ctx context.Context) error {
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
