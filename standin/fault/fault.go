// Package fault injects faults into the calls that a process makes to other parts of the system. In
// tests, a process can be paused, killed or disconnected at any call.
package fault

import (
	"context"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Call is one call that a process makes.
type Call struct {
	Process string
	// Op is the operation: get, list, cas, delete, watch, grant, keepalive, revoke, or a name that the
	// test defines for calls to other parts.
	Op    string
	Key   string
	Value []byte
}

// Action holds the faults injected into one call. The zero value injects none.
type Action struct {
	// Before runs before the call takes effect, After between the effect and the response.
	Before, After func()
	// LoseResponse drops the response of a call that has taken effect.
	LoseResponse bool
	// ExecuteTwice executes the call twice; the caller gets the second response.
	ExecuteTwice bool
}

// Process is a simulated process. While it is paused, it blocks at its next call.
type Process struct {
	Name string
	// Hook selects the faults for each call; nil injects none.
	Hook func(Call) Action

	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	resume chan struct{} // nil while the process runs
	killed bool
}

// NewProcess returns a running process.
func NewProcess(ctx context.Context, name string, hook func(Call) Action) *Process {
	ctx, cancel := context.WithCancel(ctx)
	return &Process{Name: name, Hook: hook, ctx: ctx, cancel: cancel}
}

// Context returns a context that ends when the process is killed or shut down.
func (p *Process) Context() context.Context { return p.ctx }

// Shutdown asks the process to stop gracefully.
func (p *Process) Shutdown() { p.cancel() }

// Kill ends the process. Its later calls have no effect.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
	p.mu.Unlock()
	p.cancel()
}

// Killed reports whether the process has been killed.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Pause pauses the process for a duration. Its timers and deadlines keep running, as when the machine
// is paused.
func (p *Process) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed || p.resume != nil {
		return
	}
	resume := make(chan struct{})
	p.resume = resume
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.resume == resume {
			close(resume)
			p.resume = nil
		}
	})
}

// WaitWhilePaused blocks while the process is paused and reports whether it is alive.
func (p *Process) WaitWhilePaused() bool {
	for {
		p.mu.Lock()
		resume, killed := p.resume, p.killed
		p.mu.Unlock()
		if resume == nil || killed {
			return !killed
		}
		<-resume
	}
}

// Do makes one call and injects its faults. It returns external.ErrUnavailable if the process was killed
// before the effect. It returns lostErr if the process was killed after the effect or the response is
// lost, so that the caller cannot know whether the call took effect.
func (p *Process) Do(c Call, lostErr error, effect func() error) error {
	if !p.WaitWhilePaused() {
		return external.ErrUnavailable
	}
	c.Process = p.Name
	var a Action
	if p.Hook != nil {
		a = p.Hook(c)
	}
	if a.Before != nil {
		a.Before()
	}
	if !p.WaitWhilePaused() {
		return external.ErrUnavailable
	}
	err := effect()
	if a.ExecuteTwice {
		err = effect()
	}
	if a.After != nil {
		a.After()
	}
	if !p.WaitWhilePaused() || (a.LoseResponse && err == nil) {
		return lostErr
	}
	return err
}

// Network is the network path to the key-value service, shared by all processes.
type Network struct {
	mu        sync.Mutex
	downUntil time.Time
	slowUntil time.Time
	delay     time.Duration
}

// Down makes all calls fail for the duration d.
func (n *Network) Down(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.downUntil = time.Now().Add(d)
}

// Slow adds a delay to each call for the duration d.
func (n *Network) Slow(d, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowUntil, n.delay = time.Now().Add(d), delay
}

// applyFaults waits for the injected delay and returns an error if the network is down.
func (n *Network) applyFaults(ctx context.Context) error {
	n.mu.Lock()
	now := time.Now()
	down, slow, delay := now.Before(n.downUntil), now.Before(n.slowUntil), n.delay
	n.mu.Unlock()
	if slow {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return external.ErrUnavailable
		case <-t.C:
		}
	}
	if down || ctx.Err() != nil {
		return external.ErrUnavailable
	}
	return nil
}
