// Package upstream is an HTTP/1.1 client for backend servers with a pool of persistent connections,
// each of which carries one request at a time. Unlike the transport of net/http, it never retries a
// request, never changes the encoding of a body, and its errors distinguish a request that was certainly
// not sent from one that the backend server may have run.
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

	"github.com/quetzallug/quetzallug/internal/httpcheck"
)

// Errors of Pool.Do. Their texts may be part of HTTP responses of the gateway.
var (
	// ErrNotSent means that no byte of the request was sent, so the backend server did not run it.
	ErrNotSent = errors.New("request not sent")
	// ErrExchangeFailed means that the exchange of a request and its response failed after sending began:
	// the connection failed, or no valid response to the request was received. The backend server may
	// have run the request.
	ErrExchangeFailed = errors.New("exchange broken")
	// ErrResponseMismatch means that no response to the request was found: all responses that were read
	// were informational or belonged to other requests, or reading had to stop at one of these. It is
	// wrapped in ErrExchangeFailed.
	ErrResponseMismatch = errors.New("answer to another request")
	// ErrTooManyConnections means that the pool has as many connections as it may have, and all are in use. It is
	// wrapped in ErrNotSent.
	ErrTooManyConnections = errors.New("too_many_connections")
)

const (
	// dialTimeout limits the time to open a connection. A round trip between the data centres of a
	// region takes a few milliseconds, and a lost SYN packet is retransmitted only after 1 s.
	dialTimeout = 500 * time.Millisecond
	// tcpUserTimeout is how long sent data may remain unacknowledged before the connection is closed.
	// It detects a backend server that has lost power or is behind a network partition, which sends
	// neither an acknowledgement nor a reset.
	tcpUserTimeout = 1500 * time.Millisecond
	// tcpKeepAliveIdle, tcpKeepAliveInterval and tcpKeepAliveProbes configure the TCP keep-alive, which
	// detects an unreachable backend server while the client waits for a response and has no data in flight.
	tcpKeepAliveIdle     = time.Second
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveProbes   = 2
	// maxIdlePerAddress limits the idle connections to one backend server. The smallest backend
	// servers accept 100 connections in total, from all gateway instances together.
	maxIdlePerAddress = 24
	// maxIdleTime is how long an idle connection is kept at most. A Keep-Alive header of the backend
	// server can only shorten it.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the timeout in a Keep-Alive header, so that the backend server does
	// not close the connection while a request is in transit.
	idleMargin = 500 * time.Millisecond
	// maxInlineBodyBytes is the maximum size in bytes of a body that is written before the response is
	// read. A larger body is written by a separate goroutine, because a backend server may respond before
	// it has read the whole body.
	maxInlineBodyBytes = 2 << 10
	// maxResponsesPerRequest limits the responses that are read for one request, including the
	// informational responses and the responses to other requests, which are skipped.
	maxResponsesPerRequest = 4
	// maxSkippedBytes limits the body size of a skipped response.
	maxSkippedBytes = 1 << 20
	readBufferSize  = 4 << 10
	writeBufferSize = 4 << 10
)

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// Target is the path and query. It is sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Sends, if not nil, records the connection that carries the request.
	Sends *Sends
	// NewConnection makes the request the first one of its connection. It is for requests whose response has
	// no ID: on a connection that was used, it could be a late copy of an earlier one.
	NewConnection bool
	// Memory, if not nil, accounts for a response's head that is larger than usual, until Response.Close.
	Memory Memory
	// Check, if not nil, is called once a connection is there, directly before the request is sent. If it returns
	// an error, the request is not sent.
	Check func() error
}

// Response is a response whose body is read with Read. The caller must call Close once.
type Response struct {
	*http.Response
	conn *conn
	// stopCancel detaches the exchange from the context, whose end then no longer interrupts it. It
	// returns false if the context has already ended.
	stopCancel func() bool
	// singleUse is true if the connection must not be reused.
	singleUse bool
	// complete is true once the whole body has been read.
	complete bool
}

// Pool is a pool of connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dial DialFunc

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
	// openedTotal is the number of connections opened since the pool was created. It also numbers them.
	openedTotal int64
	// openByAddr is the number of open connections by address, both idle and in use.
	openByAddr map[string]int
	// open is the number of connections that are open or being opened, and limit how many may be; 0 is no limit.
	open, limit int
	// freed gets an element when a connection becomes idle or is closed while others wait for one.
	freed   chan struct{}
	waiting int
}

// conn is a pooled connection.
type conn struct {
	net.Conn
	pool   *Pool
	closed atomic.Bool
	addr   string
	br     *bufio.Reader
	bw     *bufio.Writer
	// source is the source of br.
	source *headSource
	// number identifies the connection in the logs of this process.
	number uint64
	// openedAt is when the connection was established, and restsSince when it last became idle; zero if it never was.
	openedAt, restsSince time.Time
	// uses is the number of requests that the connection has carried.
	uses int
	// idleUntil is the time after which the idle connection is no longer used.
	idleUntil time.Time
	// writeResult receives the result of writing a large request body. It is nil if the request was
	// written before the response was read, or once its result is known to be a success.
	writeResult chan error
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewPool returns an empty pool that opens TCP connections with the timeouts of this package.
func NewPool() *Pool {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveProbes,
		},
		Control: UserTimeout(tcpUserTimeout),
	}
	return NewPoolWithDial(dialer.DialContext)
}

// NewPoolWithDial returns an empty pool that opens connections with dial.
func NewPoolWithDial(dial DialFunc) *Pool {
	return &Pool{dial: dial, idle: make(map[string][]*conn), openByAddr: make(map[string]int), freed: make(chan struct{}, 1)}
}

// OpenedTotal returns the number of connections opened since the pool was created.
func (p *Pool) OpenedTotal() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedTotal
}

// Connections returns the number of open connections to an address, both idle and in use.
func (p *Pool) Connections(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openByAddr[addr]
}

// recordOpened records a new connection to an address and returns its number.
func (p *Pool) recordOpened(addr string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedTotal++
	p.openByAddr[addr]++
	return uint64(p.openedTotal)
}

func (p *Pool) recordClosed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.wakeOne()
	if p.openByAddr[addr]--; p.openByAddr[addr] == 0 {
		delete(p.openByAddr, addr)
	}
}

// Close closes the connection. The caller must not hold Pool.mu.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	defer c.pool.recordClosed(c.addr)
	return c.Conn.Close()
}

// getConn returns a connection for a request: an idle one if the request may use it, or a new one.
func (p *Pool) getConn(ctx context.Context, addr string, r *Request) (*conn, error) {
	if !r.NewConnection {
		if c := p.takeIdle(addr, r.Sends, time.Now()); c != nil {
			return c, nil
		}
	}
	if err := p.reserve(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	nc, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		p.unreserve()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	source := &headSource{Conn: nc}
	return &conn{Conn: nc, pool: p, addr: addr, number: p.recordOpened(addr), openedAt: time.Now(), source: source, br: bufio.NewReaderSize(source, readBufferSize), bw: bufio.NewWriterSize(nc, writeBufferSize)}, nil
}

// Probe opens a connection to an address and closes it.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	if err := p.reserve(ctx); err != nil {
		return err
	}
	defer p.unreserve()
	c, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// ResponseMatcher reports whether a response belongs to the request. first is true if it is the first response
// on the connection, which has carried no earlier request.
type ResponseMatcher func(resp *http.Response, first bool) bool

// Do sends a request once and returns its response. Responses to other requests, which a backend server
// may send late, are skipped.
func (p *Pool) Do(ctx context.Context, addr string, r *Request, matches ResponseMatcher) (*Response, error) {
	r.Sends.reset()
	c, err := p.getConn(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.putIdle(c, maxIdleTime)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ctx.Err())
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			p.putIdle(c, maxIdleTime)
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	c.uses++
	c.source.memory = r.Memory
	r.Sends.add(c)
	// A deadline in the past interrupts reads and writes.
	stopCancel := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.exchange(r, matches) //nolint:bodyclose // Response.Close ends the exchange
	if err != nil {
		stopCancel()
		c.source.release()
		_ = c.Close()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", err, context.Cause(ctx))
		}
		return nil, err
	}
	out := &Response{Response: resp, conn: c, stopCancel: stopCancel}
	return out, nil
}

// exchange sends a request and reads responses until one matches it.
func (c *conn) exchange(r *Request, matches ResponseMatcher) (*http.Response, error) {
	if err := c.send(r); err != nil {
		return nil, err
	}
	req := &http.Request{Method: r.Method}
	first := c.uses == 1
	for range maxResponsesPerRequest {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrExchangeFailed, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if matches(resp, first) {
			return resp, nil
		}
		first = false
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: %w", ErrExchangeFailed, ErrResponseMismatch)
}

// send writes a request. A body larger than maxInlineBodyBytes is written in the background, and its
// result is sent to c.writeResult.
func (c *conn) send(r *Request) error {
	c.writeResult = nil
	c.writeHeader(r)
	if len(r.Body) <= maxInlineBodyBytes {
		if _, err := c.bw.Write(r.Body); err != nil {
			return fmt.Errorf("%w: %w", ErrExchangeFailed, err)
		}
		if err := c.bw.Flush(); err != nil {
			return fmt.Errorf("%w: %w", ErrExchangeFailed, err)
		}
		return nil
	}
	result := make(chan error, 1)
	c.writeResult = result
	go func() {
		_, err := c.bw.Write(r.Body)
		result <- errors.Join(err, c.bw.Flush())
	}()
	return nil
}

// writeHeader writes the request line and header to the buffer. Errors are ignored because a failed
// bufio.Writer returns its error again from later writes and from Flush.
func (c *conn) writeHeader(r *Request) {
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

// Framing tells where a response's body ends.
type Framing string

// Framings of a body. One that ends with its connection has no end of its own, so that the end of the connection tells
// nothing of whether it is whole.
const (
	FramingLength     Framing = "length"
	FramingChunks     Framing = "chunks"
	FramingConnection Framing = "connection"
)

// Framing returns the framing of the body.
func (r *Response) Framing() Framing {
	switch {
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	case len(r.TransferEncoding) > 0:
		return FramingChunks
	}
	return FramingConnection
}

// Read reads the body. A body without a Content-Length or chunked encoding ends when the backend server
// closes the connection; whether it is whole then is for the caller to decide. Read returns an error
// for one that ends before the request was written.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if errors.Is(err, io.EOF) {
		err = r.checkEnd()
	}
	if err != nil {
		r.complete = errors.Is(err, io.EOF)
	}
	return n, err
}

// Quiet reports whether the connection of the response is open, nothing has come on it for a time, and nothing that the
// backend server has sent can be on the way, also if not all that was received has been read. Had the process at the other
// end ended before that time, the end of the connection would have arrived.
func (r *Response) Quiet(d time.Duration) bool { return r.conn != nil && isQuiet(r.conn.Conn, d) }

// checkEnd returns io.EOF if the exchange was regular up to the end of the body.
func (r *Response) checkEnd() error {
	if err := httpcheck.FieldNames(r.Trailer); err != nil {
		return fmt.Errorf("%w: %w", ErrExchangeFailed, err)
	}
	// After a reset, the operating system reports the error to the goroutine that writes the request, and the end of the
	// data to the one that reads the response.
	if r.Framing() == FramingConnection && !r.conn.requestWritten() {
		return fmt.Errorf("%w: %w", ErrExchangeFailed, httpcheck.ErrRequestCut)
	}
	return io.EOF
}

// DiscardConnection keeps the connection from being reused. It must be called for responses that cannot be
// told from a late second copy of themselves.
func (r *Response) DiscardConnection() { r.singleUse = true }

// Close ends the exchange. It returns the connection to the pool only if the whole response was read,
// no data follows it and the whole request was written; otherwise it closes the connection.
func (r *Response) Close(p *Pool) {
	c := r.conn
	if c == nil {
		return
	}
	r.conn = nil
	c.source.release()
	cancelled := !r.stopCancel()
	// r.Response.Close is the field of http.Response. It is true if the backend server closes the connection.
	if cancelled || r.singleUse || !r.complete || r.Response.Close || c.br.Buffered() > 0 || !c.requestWritten() {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	if idleTime := idleTimeout(r.Header); idleTime > 0 {
		p.putIdle(c, idleTime)
		return
	}
	_ = c.Close()
}

// requestWritten reports whether the whole request was written. The response may be complete shortly
// before the goroutine that writes the body reports its result, so requestWritten waits for that result
// for up to httpcheck.RequestWriteWait.
func (c *conn) requestWritten() bool {
	if c.writeResult == nil {
		return true
	}
	t := time.NewTimer(httpcheck.RequestWriteWait)
	defer t.Stop()
	select {
	case err := <-c.writeResult:
		if err != nil {
			c.writeResult <- err
			return false
		}
		c.writeResult = nil
		return true
	case <-t.C:
		return false
	}
}

// idleTimeout returns how long a connection may remain idle after a response with header h. It is not
// positive if the connection must not be reused.
func idleTimeout(h http.Header) time.Duration {
	seconds, ok := parseKeepAliveTimeout(h.Get("Keep-Alive"))
	if !ok {
		return maxIdleTime
	}
	return min(maxIdleTime, time.Duration(seconds)*time.Second-idleMargin)
}
