package upstream

import (
	"context"
	"time"
)

// connWait is how long a request waits for a connection if the pool has as many as it may have. The requests whose
// connections it waits for take some milliseconds, or have been given up by their callers.
const connWait = 100 * time.Millisecond

// SetLimit limits the connections that are open at the same time, so that they leave descriptors to other uses. It must be
// called before the first request.
func (p *Pool) SetLimit(n int) { p.limit = n }

// reserve reserves a descriptor for a new connection. If none is left, it closes an idle connection, or waits for
// connWait at most.
func (p *Pool) reserve(ctx context.Context) error {
	if p.tryReserve(false) {
		return nil
	}
	timeout := time.NewTimer(connWait)
	defer timeout.Stop()
	defer p.endWait()
	for first := true; ; first = false {
		if p.tryReserve(first) {
			return nil
		}
		select {
		case <-p.freed:
		case <-timeout.C:
			return ErrTooManyConnections
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryReserve reserves a descriptor, if need be that of an idle connection. beginWait counts the caller among those that
// wait.
func (p *Pool) tryReserve(beginWait bool) bool {
	p.mu.Lock()
	if beginWait {
		p.waiting++
	}
	var yields *conn
	if p.limit > 0 && p.open >= p.limit {
		for addr, conns := range p.idle {
			// The first one has been idle longest of those to this address.
			yields = conns[0]
			if p.idle[addr] = conns[1:]; len(conns) == 1 {
				delete(p.idle, addr)
			}
			break
		}
		if yields == nil {
			p.mu.Unlock()
			return false
		}
	}
	p.open++
	p.mu.Unlock()
	if yields != nil {
		_ = yields.Close()
	}
	return true
}

func (p *Pool) endWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	p.wakeOne() // a connection may have become free for which this one was woken
}

// wakeOne wakes one of those that wait for a connection. The caller must hold mu.
func (p *Pool) wakeOne() {
	if p.waiting > 0 {
		select {
		case p.freed <- struct{}{}:
		default:
		}
	}
}

// unreserve gives back what reserve took.
func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeOne()
}
