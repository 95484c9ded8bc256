// Package traffic counts the bytes that are received and sent on network connections.
package traffic

import (
	"net"
	"sync/atomic"
)

// Counter counts received (In) and sent (Out) bytes. It is safe for concurrent use.
type Counter struct {
	In, Out atomic.Int64
}

// Conn returns c with its bytes counted in t. If t is nil, it returns c unchanged.
func Conn(c net.Conn, t *Counter) net.Conn {
	if t == nil {
		return c
	}
	return &conn{Conn: c, counter: t}
}

type conn struct {
	net.Conn
	counter *Counter
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.In.Add(int64(n))
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Out.Add(int64(n))
	return n, err
}

// Listener returns l with the bytes of its accepted connections counted in t.
func Listener(l net.Listener, t *Counter) net.Listener {
	return &listener{Listener: l, counter: t}
}

type listener struct {
	net.Listener
	counter *Counter
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Conn(c, l.counter), nil
}
