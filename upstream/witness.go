package upstream

import (
	"context"
	"time"
)

// Witness is an open connection that carries nothing meanwhile. The operating system closes it when the process
// at the other end ends, so it tells the end of a process from the end of another connection to it, also where a
// new process listens at the address at once.
type Witness struct {
	pool *Pool
	conn *conn
}

// Witness returns a witness for the process at an address: an idle connection, or a new one.
func (p *Pool) Witness(ctx context.Context, addr string) (*Witness, error) {
	return p.openWitness(ctx, addr, &Request{})
}

// NewWitness returns a new connection to whatever listens at an address.
func (p *Pool) NewWitness(ctx context.Context, addr string) (*Witness, error) {
	return p.openWitness(ctx, addr, &Request{NewConnection: true})
}

func (p *Pool) openWitness(ctx context.Context, addr string, r *Request) (*Witness, error) {
	c, err := p.getConn(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	if c.idleUntil.IsZero() {
		c.idleUntil = time.Now().Add(maxIdleTime)
	}
	return &Witness{pool: p, conn: c}, nil
}

// Lost reports whether the connection was closed by the peer.
func (w *Witness) Lost() bool { return PeerClosed(w.conn.Conn) }

// Close ends the use of the connection as a witness. It can carry requests again.
func (w *Witness) Close() {
	if left := time.Until(w.conn.idleUntil); left > 0 && !w.Lost() {
		w.pool.putIdle(w.conn, left)
		return
	}
	_ = w.conn.Close()
}
