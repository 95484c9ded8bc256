package upstream

import (
	"context"
	"errors"
	"os"
	"time"
)

// Witness is an open connection that carries nothing meanwhile. The operating system closes it when the process
// at the other end ends, so it tells the end of a process from the end of another connection to it, also where a
// new process listens at the address at once.
type Witness struct {
	pool *Pool
	conn *conn
	// ended is closed once the connection has ended, or the use of it; err is the reason then.
	ended chan struct{}
	err   error
}

// Witness returns a witness for the process at an address: an idle connection, or a new one. Unless apart is zero, an idle
// connection is taken only if it has rested for longer or shorter than others by that time, so that a backend server that
// gives up idle connections doesn't close them at the same moment.
func (p *Pool) Witness(ctx context.Context, addr string, apart time.Duration, others ...*Witness) (*Witness, error) {
	c := p.takeIdle(addr, nil, time.Now())
	if c != nil {
		for _, o := range others {
			if c.restsSince.Sub(o.RestsSince()).Abs() < apart {
				p.restore(c)
				c = nil
				break
			}
		}
	}
	if c == nil {
		return p.NewWitness(ctx, addr)
	}
	return p.startWitness(c), nil
}

// NewWitness returns a new connection to whatever listens at an address.
func (p *Pool) NewWitness(ctx context.Context, addr string) (*Witness, error) {
	c, err := p.getConn(ctx, addr, &Request{NewConnection: true})
	if err != nil {
		return nil, err
	}
	c.restsSince = c.openedAt
	c.idleUntil = c.openedAt.Add(maxIdleTime)
	return p.startWitness(c), nil
}

func (p *Pool) startWitness(c *conn) *Witness {
	w := &Witness{pool: p, conn: c, ended: make(chan struct{})}
	_ = c.SetReadDeadline(time.Time{})
	go func() {
		defer close(w.ended)
		// Bytes that nothing was asked for end the use of the connection like its end.
		_, w.err = c.br.Peek(1)
	}()
	return w
}

// OpenedAt returns when the connection was established.
func (w *Witness) OpenedAt() time.Time { return w.conn.openedAt }

// RestsSince returns since when the connection carries nothing.
func (w *Witness) RestsSince() time.Time { return w.conn.restsSince }

// Ended returns a channel that is closed once the peer has closed the connection, or Close was called.
func (w *Witness) Ended() <-chan struct{} { return w.ended }

// Lost reports whether the connection was closed by the peer.
func (w *Witness) Lost() bool {
	select {
	case <-w.ended:
		return true
	default:
		return PeerClosed(w.conn.Conn)
	}
}

// Close ends the use of the connection as a witness. It can carry requests again.
func (w *Witness) Close() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // interrupts the read
	<-w.ended
	if !errors.Is(w.err, os.ErrDeadlineExceeded) || PeerClosed(w.conn.Conn) || !time.Now().Before(w.conn.idleUntil) {
		_ = w.conn.Close()
		return
	}
	_ = w.conn.SetReadDeadline(time.Time{})
	w.pool.restore(w.conn)
}
