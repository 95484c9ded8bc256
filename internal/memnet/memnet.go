// Package memnet is an in-memory network for tests, which get virtual time by running in a
// testing/synctest bubble. It connects hosts with a fixed delay. A direction between two hosts can be cut,
// a host can be frozen like a suspended process, and a host can be killed. Data on a direction that is cut,
// or from or to a frozen host, are delayed and not lost.
package memnet

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// hopDelay is the network delay in each direction.
	hopDelay = 500 * time.Microsecond
	// connectTimeout equals the dial timeout of quetzallug's RPC clients.
	connectTimeout = time.Second
	// maxQueuedPackets is the number of packets in flight in each direction before a writer blocks.
	maxQueuedPackets = 1024
)

var (
	errRefused = syscall.ECONNREFUSED
	errReset   = errors.New("connection reset")
)

// Host represents one process in the network. While a host is frozen, its connections and backend
// calls make no progress. Its timers keep running, because all hosts run in the same process.
type Host struct {
	Name string
	// Ctx is cancelled when the host is killed. Cancel cancels it.
	Ctx    context.Context
	Cancel context.CancelFunc
}

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change of frozen or cuts
	listeners map[string]*listener
	frozen    map[*Host]bool
	cuts      map[[2]string]bool // by the names of sender and receiver
	delays    map[*Host]time.Duration
	links     map[*link]bool
}

// New returns an empty network.
func New() *Network {
	return &Network{
		changed: make(chan struct{}), listeners: map[string]*listener{}, frozen: map[*Host]bool{},
		cuts: map[[2]string]bool{}, delays: map[*Host]time.Duration{}, links: map[*link]bool{},
	}
}

// update changes the state of the network and wakes the goroutines that wait for a change.
func (n *Network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut sets whether the data that one host sends to another is held back.
func (n *Network) Cut(from, to string, on bool) {
	n.update(func() { n.cuts[[2]string{from, to}] = on })
}

// Slow sets by how much data from and to a host are delayed beyond the delay of the network.
func (n *Network) Slow(h *Host, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[h] = delay
}

func (n *Network) delay(from, to *Host) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return hopDelay + n.delays[from] + n.delays[to]
}

// Freeze sets whether a host is suspended.
func (n *Network) Freeze(h *Host, on bool) { n.update(func() { n.frozen[h] = on }) }

// Kill cancels the host's context and closes its connections and listeners.
func (n *Network) Kill(h *Host) {
	h.Cancel()
	n.mu.Lock()
	var hostLinks []*link
	for l := range n.links {
		if l.dialer == h || l.acceptor == h {
			hostLinks = append(hostLinks, l)
		}
	}
	var hostListeners []*listener
	for _, l := range n.listeners {
		if l.host == h {
			hostListeners = append(hostListeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range hostListeners {
		_ = l.Close()
	}
	for _, l := range hostLinks {
		if slow := n.delay(l.dialer, l.acceptor) - hopDelay; slow > 0 {
			time.AfterFunc(slow, l.close)
			continue
		}
		l.close()
	}
}

// Forget drops the connections that a host has accepted, but for one, without notice to their dialers, as a proxy does that
// loses its state. They stay open for these even when the host is killed.
func (n *Network) Forget(h *Host, but net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if c, ok := but.(*conn); l.acceptor == h && (!ok || c.link != l) {
			delete(n.links, l)
		}
	}
}

// Heal removes all cuts and delays and resumes all frozen hosts.
func (n *Network) Heal() {
	n.update(func() {
		n.frozen, n.cuts, n.delays = map[*Host]bool{}, map[[2]string]bool{}, map[*Host]time.Duration{}
	})
}

// waitWhile waits while blocked returns true. It returns false if done is closed first.
func (n *Network) waitWhile(blocked func() bool, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		isBlocked, changed := blocked(), n.changed
		n.mu.Unlock()
		if !isBlocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// WaitRunning waits while a host is frozen. It returns false if the host is killed.
func (n *Network) WaitRunning(h *Host) bool {
	return n.waitWhile(func() bool { return n.frozen[h] }, h.Ctx.Done()) && h.Ctx.Err() == nil
}

// CheckRunning waits while a host is frozen. It returns an error if the host is killed or ctx has ended.
func (n *Network) CheckRunning(ctx context.Context, h *Host) error {
	if !n.WaitRunning(h) {
		return errReset
	}
	return ctx.Err()
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

// Dial connects a host to an address. A frozen peer accepts connections, as a suspended process's
// kernel does.
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
	if !n.waitWhile(blocked, ctx.Done()) {
		return nil, dialError(os.ErrDeadlineExceeded)
	}
	// The handshake reaches the process that listens after the delay of a slow host, and is back as late again.
	slow := n.delay(from, l.host) - hopDelay
	if slow > 0 {
		if !sleepFor(ctx, slow) {
			return nil, dialError(os.ErrDeadlineExceeded)
		}
		n.mu.Lock()
		l = n.listeners[addr]
		n.mu.Unlock()
		if l == nil {
			return nil, dialError(errRefused)
		}
	}
	client, clientInner := net.Pipe()
	serverInner, server := net.Pipe()
	lk := &link{net: n, dialer: from, acceptor: l.host, ends: [2]net.Conn{clientInner, serverInner}, done: make(chan struct{})}
	n.mu.Lock()
	n.links[lk] = true
	n.mu.Unlock()
	go lk.forward(clientInner, serverInner, from, l.host)
	go lk.forward(serverInner, clientInner, l.host, from)
	select {
	case l.conns <- &conn{Conn: server, link: lk, remote: "peer:1"}:
		if slow > 0 && !sleepFor(ctx, slow) {
			lk.close()
			return nil, dialError(os.ErrDeadlineExceeded)
		}
		return &conn{Conn: client, link: lk, remote: addr}, nil
	case <-l.closed:
		lk.close()
		return nil, dialError(errRefused)
	}
}

// sleepFor waits and reports whether ctx has not ended meanwhile.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// conn is a pipe with network addresses.
type conn struct {
	net.Conn
	link   *link
	remote string
	// reset makes Close discard what has not arrived.
	reset atomic.Bool
}

// SetLinger makes Close reset the connection if seconds is 0, so that data on the way are lost and not delayed. Other
// values have no effect.
func (c *conn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.reset.Load() {
		c.link.close()
	}
	return c.Conn.Close()
}

// PeerClosed reports whether the connection has ended.
func (c *conn) PeerClosed() bool {
	select {
	case <-c.link.done:
		return true
	default:
		return false
	}
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }
func (c *conn) LocalAddr() net.Addr  { return address("local:1") }

// link is one connection. It consists of two pipes, with a goroutine per direction that copies between
// them.
type link struct {
	net              *Network
	dialer, acceptor *Host
	ends             [2]net.Conn // the inner ends of the pipes
	once             sync.Once
	done             chan struct{}
}

func (lk *link) close() {
	lk.once.Do(func() {
		close(lk.done)
		_ = lk.ends[0].Close()
		_ = lk.ends[1].Close()
		lk.net.mu.Lock()
		defer lk.net.mu.Unlock()
		delete(lk.net.links, lk)
	})
}

type packet struct {
	data []byte
	due  time.Time
}

// forward copies data in one direction with a delay. While the direction is cut or one of the hosts is
// frozen, it waits.
func (lk *link) forward(in, out net.Conn, from, to *Host) {
	queue := make(chan packet, maxQueuedPackets)
	go func() {
		defer close(queue)
		buf := make([]byte, 32<<10)
		for {
			n, err := in.Read(buf)
			if n > 0 {
				select {
				case queue <- packet{append([]byte(nil), buf[:n]...), time.Now().Add(lk.net.delay(from, to))}:
				case <-lk.done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	blocked := func() bool {
		return lk.net.frozen[from] || lk.net.frozen[to] || lk.net.cuts[[2]string{from.Name, to.Name}]
	}
	for p := range queue {
		time.Sleep(time.Until(p.due))
		if !lk.net.waitWhile(blocked, lk.done) {
			break
		}
		if _, err := out.Write(p.data); err != nil {
			break
		}
	}
	// The close of the connection is delayed in the same way as data.
	time.Sleep(lk.net.delay(from, to) - hopDelay)
	lk.net.waitWhile(blocked, lk.done)
	lk.close()
	for range queue {
		// Drains the queue so that the reading goroutine can exit.
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

// Listen returns a listener for connections to a host at an address.
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
