package upstream

import (
	"slices"
	"time"
)

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseExpired closes the idle connections whose idle time has expired.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.After(c.idleUntil) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// takeIdle removes the most recently used idle connection to an address that has not carried the request
// from the pool and returns it, or returns nil if there is none. Connections that are no longer usable are
// closed and skipped.
func (p *Pool) takeIdle(addr string, sends *Sends, now time.Time) *conn {
	for {
		p.mu.Lock()
		conns := p.idle[addr]
		i := len(conns) - 1
		for i >= 0 && sends.carriedBy(conns[i]) {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[i]
		if p.idle[addr] = slices.Delete(conns, i, i+1); len(conns) == 1 {
			delete(p.idle, addr)
		}
		p.mu.Unlock()
		// Unread data on an idle connection belongs to no request, and an end of file means that the
		// backend server has closed the connection.
		if now.Before(c.idleUntil) && isOpenAndIdle(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// putIdle returns a connection to the pool for idleTime. If the pool has maxIdlePerAddress idle
// connections to the address, the connection is closed instead.
func (p *Pool) putIdle(c *conn, idleTime time.Duration) {
	c.restsSince = time.Now()
	c.idleUntil = c.restsSince.Add(idleTime)
	p.restore(c)
}

// restore is putIdle for a connection that has been idle meanwhile.
func (p *Pool) restore(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerAddress {
		go c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	p.wakeOne()
}
