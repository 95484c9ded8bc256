package testcluster

import (
	"errors"
	"net"
	"sync"
)

// Forwarder passes TCP connections on to a target. Each direction can be held: bytes then wait
// in the forwarder, as in a partition that ends before the connections time out. New connections
// are accepted, but nothing passes on them.
type Forwarder struct {
	listener net.Listener
	address  string
	target   string

	mu     sync.Mutex
	passed *sync.Cond
	held   [2]bool
	closed bool
	conns  map[net.Conn]struct{}
}

type direction int

const (
	toTarget direction = iota
	fromTarget
)

// forwardBuffer is the size of one read.
const forwardBuffer = 32 << 10

// NewForwarder starts a forwarder on a free loopback address.
func NewForwarder(target string) (*Forwarder, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: l, address: address, target: target, conns: map[net.Conn]struct{}{}}
	f.passed = sync.NewCond(&f.mu)
	go f.serve(l)
	return f, nil
}

// Refuse makes the forwarder refuse new connections, as the host of a stopped process does, or
// accept them again. Present connections stay.
func (f *Forwarder) Refuse(refuse bool) error {
	if refuse {
		return f.listener.Close()
	}
	l, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	f.listener = l
	go f.serve(l)
	return nil
}

func (c *Cluster) forward(target string) (*Forwarder, error) {
	f, err := NewForwarder(target)
	if err == nil {
		c.forwarders = append(c.forwarders, f)
	}
	return f, err
}

// Address returns the address to connect to.
func (f *Forwarder) Address() string { return f.address }

// Hold sets which directions are held: towards the target and back from it.
func (f *Forwarder) Hold(to, from bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = [2]bool{to, from}
	f.passed.Broadcast()
}

// Reset breaks off all present connections with a reset. New ones are accepted.
func (f *Forwarder) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends all connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.conns {
		_ = c.Close()
	}
	f.passed.Broadcast()
}

func (f *Forwarder) serve(l net.Listener) {
	for {
		from, err := l.Accept()
		if err != nil {
			return
		}
		go f.join(from)
	}
}

// join connects one accepted connection to the target until either side ends.
func (f *Forwarder) join(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer to.Close()
	if !f.track(from, to) {
		return
	}
	defer f.untrack(from, to)
	var wg sync.WaitGroup
	wg.Go(func() { f.pump(toTarget, to, from) })
	wg.Go(func() { f.pump(fromTarget, from, to) })
	wg.Wait()
}

// pump copies one direction. An end of the source is passed on.
func (f *Forwarder) pump(d direction, dst, src net.Conn) {
	buf := make([]byte, forwardBuffer)
	for {
		n, err := src.Read(buf)
		if !f.await(d) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				_ = src.Close()
				return
			}
		}
		if err != nil {
			closeWrite(dst, err)
			return
		}
	}
}

func closeWrite(c net.Conn, cause error) {
	if tcp, ok := c.(*net.TCPConn); ok && !errors.Is(cause, net.ErrClosed) {
		_ = tcp.CloseWrite()
		return
	}
	_ = c.Close()
}

// await returns once the direction passes, or false if the forwarder is closed.
func (f *Forwarder) await(d direction) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.held[d] && !f.closed {
		f.passed.Wait()
	}
	return !f.closed
}

func (f *Forwarder) track(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		f.conns[c] = struct{}{}
	}
	return !f.closed
}

func (f *Forwarder) untrack(conns ...net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range conns {
		delete(f.conns, c)
	}
}
