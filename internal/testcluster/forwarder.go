package testcluster

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// Forwarder is a TCP proxy that simulates network faults. Either direction can be held: its data is
// then buffered instead of delivered, as in a network partition that heals before connections time
// out. While a direction is held, new connections are accepted, but their data is held as well.
type Forwarder struct {
	listener net.Listener
	address  string
	target   string

	mu       sync.Mutex
	released *sync.Cond
	held     [2]bool // indexed by direction
	closed   bool
	conns    map[net.Conn]struct{}
}

type direction int

const (
	toTarget direction = iota
	fromTarget
)

// readBufferBytes limits the data of one read.
const readBufferBytes = 32 << 10

// NewForwarder starts a forwarder to target on a free loopback address.
func NewForwarder(target string) (*Forwarder, error) {
	l, address, err := listenOnFreeAddress()
	if err != nil {
		return nil, err
	}
	f := &Forwarder{listener: l, address: address, target: target, conns: map[net.Conn]struct{}{}}
	f.released = sync.NewCond(&f.mu)
	go f.serve(l)
	return f, nil
}

// listenOnFreeAddress listens on a free loopback address. Another process may take it between the choice and the call;
// then another one is chosen.
func listenOnFreeAddress() (l net.Listener, address string, err error) {
	for range maxPortAttempts {
		if address, err = freeAddress(); err != nil {
			return nil, "", err
		}
		if l, err = net.Listen("tcp", address); !errors.Is(err, syscall.EADDRINUSE) {
			return l, address, err
		}
	}
	return nil, "", err
}

// Refuse sets whether new connections are refused, as they are by the host of a stopped process.
// Established connections are not affected.
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

// startForwarder starts a forwarder that Stop closes.
func (c *Cluster) startForwarder(target string) (*Forwarder, error) {
	f, err := NewForwarder(target)
	if err == nil {
		c.forwarders = append(c.forwarders, f)
	}
	return f, err
}

// Address returns the address that the forwarder listens on.
func (f *Forwarder) Address() string { return f.address }

// Hold sets whether data is held on its way to the target and on its way from the target.
func (f *Forwarder) Hold(to, from bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = [2]bool{to, from}
	f.released.Broadcast()
}

// Reset closes all established connections with a TCP reset. New connections are accepted.
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

// Close closes the listener and all connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.conns {
		_ = c.Close()
	}
	f.released.Broadcast()
}

func (f *Forwarder) serve(l net.Listener) {
	for {
		from, err := l.Accept()
		if err != nil {
			return
		}
		go f.proxy(from)
	}
}

// proxy copies data between an accepted connection and the target until both directions have ended.
func (f *Forwarder) proxy(from net.Conn) {
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
	wg.Go(func() { f.copyDirection(toTarget, to, from) })
	wg.Go(func() { f.copyDirection(fromTarget, from, to) })
	wg.Wait()
}

// copyDirection copies data from src to dst, except while the direction is held. The end of src is
// passed on to dst.
func (f *Forwarder) copyDirection(d direction, dst, src net.Conn) {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := src.Read(buf)
		if !f.waitReleased(d) {
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

// closeWrite closes the sending side of c, or all of c if cause shows that the source was closed locally.
func closeWrite(c net.Conn, cause error) {
	if tcp, ok := c.(*net.TCPConn); ok && !errors.Is(cause, net.ErrClosed) {
		_ = tcp.CloseWrite()
		return
	}
	_ = c.Close()
}

// waitReleased waits until the direction is not held. It returns false if the forwarder is closed.
func (f *Forwarder) waitReleased(d direction) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.held[d] && !f.closed {
		f.released.Wait()
	}
	return !f.closed
}

// track adds connections to those that Reset and Close end. If the forwarder is
// closed, track returns false, and the caller must close the connections.
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
