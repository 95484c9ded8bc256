// Package upstream sends requests to backend servers over kept HTTP/1.1 connections, one request at
// a time per connection. Unlike the transport of net/http it never sends a request a second time by
// itself, never changes an encoding, and tells apart what certainly did not reach the backend server
// from what may have run.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent, so that it did not run.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken means that the connection failed or carried something that is no answer. The
	// request may have run.
	ErrBroken = errors.New("exchange broken")
	// ErrForeign means that the answer belongs to another request.
	ErrForeign = errors.New("answer to another request")
)

const (
	// dialTimeout bounds a new connection. Data centres of one region answer within a few
	// milliseconds, and a lost opening packet is sent again after a second.
	dialTimeout = 500 * time.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before the connection is given
	// up: a backend server without power or behind a partition sends nothing.
	unacknowledged = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find a silent backend server while its answer is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxIdlePerAddress bounds the kept connections to one backend server, below the 100 that the
	// smallest of them accept from all entries together.
	maxIdlePerAddress = 24
	// maxIdle is how long an unused connection is kept if the backend server names no time.
	maxIdle = 4 * time.Second
	// idleMargin is subtracted from the idle time that a backend server names, so that it does not
	// close the connection while a request is on its way.
	idleMargin = 500 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is read. Larger bodies are
	// written at the same time, because a backend server may answer before it has read all.
	inlineBody = 2 << 10
	// maxForeign bounds the answers to other requests that are skipped on one connection.
	maxForeign = 4
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBytes = 1 << 20
	// writerGrace is how long a writer may take to say that it has written all.
	writerGrace = 20 * time.Millisecond
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as received.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Response is an answer whose body is still to be read. Close must be called once.
type Response struct {
	*http.Response
	conn *conn
	stop func() bool
	done bool
	err  error
}

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dial Dial

	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts the connections made.
	opened int64
	// open counts the connections that are open, by address.
	open map[string]int
}

type conn struct {
	net.Conn
	pool    *Pool
	closed  atomic.Bool
	addr    string
	br      *bufio.Reader
	bw      *bufio.Writer
	reused  bool
	until   time.Time
	writing chan error
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewPool returns an empty pool.
func NewPool() *Pool {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: UserTimeout(unacknowledged),
	}
	return NewPoolWithDial(dialer.DialContext)
}

// NewPoolWithDial returns an empty pool whose connections are opened by dial.
func NewPoolWithDial(dial Dial) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// Opened returns the number of connections made so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Connections returns the number of open connections to an address.
func (p *Pool) Connections(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[addr]
}

// count notes n connections more to an address, or fewer if n is negative.
func (p *Pool) count(addr string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened += int64(max(0, n))
	if p.open[addr] += n; p.open[addr] == 0 {
		delete(p.open, addr)
	}
}

// Close closes the connection. It must not be called with Pool.mu held.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.pool.count(c.addr, -1)
	return c.Conn.Close()
}

// Close closes the kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, cs := range idle {
		for _, c := range cs {
			_ = c.Close()
		}
	}
}

// Forget closes the kept connections to an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	cs := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

// Sweep closes the kept connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for addr, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now.After(c.until) {
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

// take returns a kept connection that is still usable, the most recently used first.
func (p *Pool) take(addr string, now time.Time) *conn {
	for {
		p.mu.Lock()
		cs := p.idle[addr]
		if len(cs) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := cs[len(cs)-1]
		p.idle[addr] = cs[:len(cs)-1]
		p.mu.Unlock()
		// Bytes that wait on an idle connection belong to no request, and the end of the stream
		// means that the backend server has left.
		if now.Before(c.until) && silent(c.Conn) {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) put(c *conn, keep time.Duration) {
	c.until = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= maxIdlePerAddress {
		go c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

func (p *Pool) connect(ctx context.Context, addr string) (*conn, error) {
	if c := p.take(addr, time.Now()); c != nil {
		return c, nil
	}
	nc, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	p.count(addr, 1)
	return &conn{Conn: nc, pool: p, addr: addr, br: bufio.NewReaderSize(nc, readBuffer), bw: bufio.NewWriterSize(nc, writeBuffer)}, nil
}

// Belongs tells whether an answer belongs to the request. fresh is true on a connection that carries
// its first request.
type Belongs func(resp *http.Response, fresh bool) bool

// Do sends a request once and returns the answer to it. Answers to other requests, which a backend
// server may send late, are skipped.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, belongs Belongs) (*Response, error) {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.put(c, maxIdle)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.exchange(r, belongs) //nolint:bodyclose // Response.Close ends the exchange
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", err, context.Cause(ctx))
		}
		return nil, err
	}
	out := &Response{Response: resp, conn: c, stop: stop}
	return out, nil
}

func (c *conn) exchange(r *Request, belongs Belongs) (*http.Response, error) {
	if err := c.send(r); err != nil {
		return nil, err
	}
	req := &http.Request{Method: r.Method}
	for range maxForeign {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if belongs(resp, !c.reused) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrBroken, ErrForeign)
}

func (c *conn) send(r *Request) error {
	c.writing = nil
	c.head(r)
	if len(r.Body) <= inlineBody {
		if _, err := c.bw.Write(r.Body); err != nil {
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if err := c.bw.Flush(); err != nil {
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
		return nil
	}
	done := make(chan error, 1)
	c.writing = done
	go func() {
		_, err := c.bw.Write(r.Body)
		done <- errors.Join(err, c.bw.Flush())
	}()
	return nil
}

func (c *conn) head(r *Request) {
	w := c.bw
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.Target)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	_ = r.Header.Write(w)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.Itoa(len(r.Body)))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// Read reads the body. An answer without a length ends with its connection.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if err != nil {
		r.done = err == io.EOF
		r.err = err
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the whole answer was read, nothing follows
// it and the whole request was written.
func (r *Response) Close(p *Pool) {
	c := r.conn
	if c == nil {
		return
	}
	r.conn = nil
	cancelled := !r.stop()
	if cancelled || !r.done || r.Response.Close || c.br.Buffered() > 0 || !c.written() {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	if keep := keepTime(r.Header); keep > 0 {
		p.put(c, keep)
		return
	}
	_ = c.Close()
}

// written tells whether the whole request was written. After an answer to all of it, the writer needs a
// moment to say so.
func (c *conn) written() bool {
	if c.writing == nil {
		return true
	}
	t := time.NewTimer(writerGrace)
	defer t.Stop()
	select {
	case err := <-c.writing:
		return err == nil
	case <-t.C:
		return false
	}
}

// keepTime is how long a connection may stay idle. The header names whole seconds.
func keepTime(h http.Header) time.Duration {
	seconds, ok := keepAliveTimeout(h.Get("Keep-Alive"))
	if !ok {
		return maxIdle
	}
	return min(maxIdle, time.Duration(seconds)*time.Second-idleMargin)
}
