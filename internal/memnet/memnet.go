// Package memnet is a network in memory for tests in virtual time. It connects hosts with a delay, and
// can cut, freeze and kill them.
package memnet

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	hopDelay = 500 * time.Microsecond
	// connectTimeout equals the dial timeout of the product's clients.
	connectTimeout = time.Second
	// linkBuffer is the number of writes in flight per direction before a writer blocks.
	linkBuffer = 1024
)

var (
	errRefused  = errors.New("connection refused")
	errNetReset = errors.New("connection reset")
)

// Host is one process as the network sees it. A frozen host's connections and backend calls stand
// still; its timers go on, because all hosts share one address space.
type Host struct {
	Name string
	// Ctx ends when the process is killed by Cancel.
	Ctx    context.Context
	Cancel context.CancelFunc
}

// Network connects hosts by address.
type Network struct {
	mu        sync.Mutex
	changed   chan struct{}
	listeners map[string]*listener
	frozen    map[*Host]bool
	cuts      map[[2]string]bool
	links     map[*link]bool
}

// New returns an empty network.
func New() *Network {
	return &Network{
		changed: make(chan struct{}), listeners: map[string]*listener{}, frozen: map[*Host]bool{},
		cuts: map[[2]string]bool{}, links: map[*link]bool{},
	}
}

func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut holds everything that one host sends to another one until it is healed.
func (n *Network) Cut(from, to string, on bool) {
	n.change(func() { n.cuts[[2]string{from, to}] = on })
}

// Freeze makes a host stand still, or lets it go on.
func (n *Network) Freeze(h *Host, on bool) { n.change(func() { n.frozen[h] = on }) }

// Kill closes the host's connections and listeners.
func (n *Network) Kill(h *Host) {
	h.Cancel()
	n.mu.Lock()
	var ends []*link
	for l := range n.links {
		if l.from == h || l.to == h {
			ends = append(ends, l)
		}
	}
	var ls []*listener
	for _, l := range n.listeners {
		if l.host == h {
			ls = append(ls, l)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		_ = l.Close()
	}
	for _, l := range ends {
		l.close()
	}
}

// Heal ends all cuts and freezes.
func (n *Network) Heal() {
	n.change(func() { n.frozen, n.cuts = map[*Host]bool{}, map[[2]string]bool{} })
}

// hold waits while the direction is blocked. It returns false if done ends first.
func (n *Network) hold(blocked func() bool, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		b, changed := blocked(), n.changed
		n.mu.Unlock()
		if !b {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Stand waits while a host is frozen, and returns false if it is killed.
func (n *Network) Stand(h *Host) bool {
	return n.hold(func() bool { return n.frozen[h] }, h.Ctx.Done()) && h.Ctx.Err() == nil
}

// Awake is Stand for a call with a context.
func (n *Network) Awake(ctx context.Context, h *Host) error {
	if !n.Stand(h) {
		return errNetReset
	}
	return ctx.Err()
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

// Dial connects a host to an address. A frozen peer accepts, as its kernel would.
func (n *Network) Dial(ctx context.Context, from *Host, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil || from.Ctx.Err() != nil {
		return nil, dialError(errRefused)
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	blocked := func() bool {
		return n.cuts[[2]string{from.Name, l.host.Name}] || n.cuts[[2]string{l.host.Name, from.Name}]
	}
	if !n.hold(blocked, ctx.Done()) {
		return nil, dialError(os.ErrDeadlineExceeded)
	}
	near, nearInner := net.Pipe()
	farInner, far := net.Pipe()
	k := &link{net: n, from: from, to: l.host, ends: [2]net.Conn{nearInner, farInner}, done: make(chan struct{})}
	n.mu.Lock()
	n.links[k] = true
	n.mu.Unlock()
	go k.pump(nearInner, farInner, from, l.host)
	go k.pump(farInner, nearInner, l.host, from)
	select {
	case l.conns <- &conn{far, "peer:1"}:
		return &conn{near, addr}, nil
	case <-l.closed:
		k.close()
		return nil, dialError(errRefused)
	}
}

// conn gives a pipe an address of the network.
type conn struct {
	net.Conn
	remote string
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }
func (c *conn) LocalAddr() net.Addr  { return address("local:1") }

// link is one connection: two pipes with a pump per direction between them.
type link struct {
	net      *Network
	from, to *Host
	ends     [2]net.Conn
	once     sync.Once
	done     chan struct{}
}

func (k *link) close() {
	k.once.Do(func() {
		close(k.done)
		_ = k.ends[0].Close()
		_ = k.ends[1].Close()
		k.net.mu.Lock()
		defer k.net.mu.Unlock()
		delete(k.net.links, k)
	})
}

type packet struct {
	data []byte
	due  time.Time
}

// pump moves data in one direction, delays it and holds it while the direction is blocked.
func (k *link) pump(in, out net.Conn, from, to *Host) {
	queue := make(chan packet, linkBuffer)
	go func() {
		defer close(queue)
		buf := make([]byte, 32<<10)
		for {
			n, err := in.Read(buf)
			if n > 0 {
				select {
				case queue <- packet{append([]byte(nil), buf[:n]...), time.Now().Add(hopDelay)}:
				case <-k.done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	blocked := func() bool {
		return k.net.frozen[from] || k.net.frozen[to] || k.net.cuts[[2]string{from.Name, to.Name}]
	}
	for p := range queue {
		time.Sleep(time.Until(p.due))
		if !k.net.hold(blocked, k.done) {
			break
		}
		if _, err := out.Write(p.data); err != nil {
			break
		}
	}
	// The end of a connection is held back as well.
	k.net.hold(blocked, k.done)
	k.close()
	for range queue {
		// Lets the reader end.
		continue
	}
}

type listener struct {
	net    *Network
	host   *Host
	addr   string
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// Listen accepts connections for a host.
func (n *Network) Listen(h *Host, addr string) net.Listener {
	l := &listener{net: n, host: h, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }
