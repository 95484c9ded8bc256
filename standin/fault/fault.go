// Package fault models processes that may be paused, killed or cut off at any call they make to
// another part of the system. Tests run the product's code with these calls. It is test equipment.
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
	// Op names the call: get, list, cas, delete, watch, grant, keepalive, revoke, or a name that
	// the test uses for other parts.
	Op    string
	Key   string
	Value []byte
}

// Action changes one call. The zero value lets it pass.
type Action struct {
	// Before runs before the call has its effect, After between the effect and the response.
	Before, After func()
	// Lose drops the response of a call that has taken effect.
	Lose bool
	// Twice delivers the call twice; the caller gets the second response.
	Twice bool
}

// Process is one process. It stops at its next call while it is paused.
type Process struct {
	Name string
	// Hook chooses the action for each call; nil lets all calls pass.
	Hook func(Call) Action

	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	resume chan struct{} // nil while the process runs
	dead   bool
}

// NewProcess returns a running process.
func NewProcess(ctx context.Context, name string, hook func(Call) Action) *Process {
	ctx, cancel := context.WithCancel(ctx)
	return &Process{Name: name, Hook: hook, ctx: ctx, cancel: cancel}
}

// Context ends when the process is killed or shut down.
func (p *Process) Context() context.Context { return p.ctx }

// Shutdown asks the process to stop gracefully.
func (p *Process) Shutdown() { p.cancel() }

// Kill ends the process. None of its later calls has an effect.
func (p *Process) Kill() {
	p.mu.Lock()
	p.dead = true
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
	p.mu.Unlock()
	p.cancel()
}

// Dead reports whether the process has been killed.
func (p *Process) Dead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// Pause stops the process for a time. Its timers and deadlines go on, as on a paused machine.
func (p *Process) Pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead || p.resume != nil {
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

// Gate blocks while the process is paused and reports whether it lives.
func (p *Process) Gate() bool {
	for {
		p.mu.Lock()
		resume, dead := p.resume, p.dead
		p.mu.Unlock()
		if resume == nil || dead {
			return !dead
		}
		<-resume
	}
}

// Do makes one call. lost is the error of a caller that cannot know whether the call had an effect.
func (p *Process) Do(c Call, lost error, effect func() error) error {
	if !p.Gate() {
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
	if !p.Gate() {
		return external.ErrUnavailable
	}
	err := effect()
	if a.Twice {
		err = effect()
	}
	if a.After != nil {
		a.After()
	}
	if !p.Gate() || (a.Lose && err == nil) {
		return lost
	}
	return err
}

// Network is the path to the key-value service, shared by all processes.
type Network struct {
	mu        sync.Mutex
	downUntil time.Time
	slowUntil time.Time
	delay     time.Duration
}

// Down cuts the path for a time.
func (n *Network) Down(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.downUntil = time.Now().Add(d)
}

// Slow delays each call for a time.
func (n *Network) Slow(d, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowUntil, n.delay = time.Now().Add(d), delay
}

func (n *Network) pass(ctx context.Context) error {
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
