package app

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/connlimit"
	"github.com/quetzallug/quetzallug/upstream"
)

const (
	// fieldMemory is what one line of a header takes at most besides its text: its entry in the parsed header and in
	// the copy for a backend server, 155 bytes as measured, and what the growth of the maps leaves behind.
	fieldMemory = 192
	// textMemory is how often the text of a header is held: as read, as parsed, and in the growth of the reader's line.
	textMemory = 3
	// freeHeaderMemory is the part of a header's memory that is not accounted for each connection, because
	// connlimit.ConnectionMemory includes it. Headers of up to 1 KiB in 24 lines take less.
	freeHeaderMemory = 8 << 10
	// headerStep is the least number of bytes by which the memory of a header grows.
	headerStep = 16 << 10
	// readBuffer is the size of the buffer through which net/http reads headers.
	readBuffer = 4 << 10
)

var errConnectionClosed = errors.New("connection closed by the connection limit")

// connMemory accounts for the memory that connections hold.
type connMemory interface {
	answerMemory
	// ReserveHeader and ReleaseHeader account for the headers of requests.
	ReserveHeader(size int64) bool
	ReleaseHeader(size int64)
}

// connTracker applies the limits of connections to one listener, accounts for the memory of headers and reports
// connections that end before a request was read. Which connection is closed first is decided by connlimit.Set.
//
// A caller may safely resend a request that it sent while its idle connection was being closed, because the request was
// not read.
type connTracker struct {
	set    *connlimit.Set
	memory connMemory
	// withoutBodies closes connections whose requests have a body. net/http would wait for the body, and for half a second
	// after an answer without it.
	withoutBodies bool
	// onHeaderIncomplete is called for a connection that ended before the header of its request was read.
	onHeaderIncomplete func(from net.Addr)
	// onClosed is called for a connection that is closed because of a limit.
	onClosed func(cause connlimit.Cause, from net.Addr)
}

func newConnTracker(l connlimit.Limits, m connMemory) *connTracker {
	return &connTracker{set: connlimit.NewSet(l), memory: m, onHeaderIncomplete: func(net.Addr) {}, onClosed: func(connlimit.Cause, net.Addr) {}}
}

// attach installs the hooks of t in srv, whose handler must already be set, and returns the listener that srv must serve.
func (t *connTracker) attach(srv *http.Server, l net.Listener) net.Listener {
	next := srv.Handler
	srv.ConnContext = gateway.WithCaller
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := gateway.Caller(r.Context()).(*trackedConn); ok {
			c.headerRead(r)
			if t.withoutBodies && r.ContentLength != 0 {
				t.onClosed(connlimit.CauseBody, c.RemoteAddr())
				_ = c.Close()
				panic(http.ErrAbortHandler)
			}
		}
		next.ServeHTTP(w, r)
	})
	srv.ConnState = t.stateChanged
	return &trackedListener{l, t}
}

// stateChanged is the ConnState hook of the server.
func (t *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.requestEnded()
	case http.StateClosed, http.StateHijacked:
		t.set.Remove(c.entry)
		c.release()
		if c.readingHeader.Load() && c.headerBegun {
			t.onHeaderIncomplete(conn.RemoteAddr())
		}
	case http.StateNew, http.StateActive:
	}
}

// trackedListener accepts connections within the limit of a connTracker.
type trackedListener struct {
	net.Listener
	tracker *connTracker
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		l.tracker.waitForClosing()
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &trackedConn{Conn: conn, tracker: l.tracker}
		c.readingHeader.Store(true)
		entry, victim, cause := l.tracker.set.Add(host(conn.RemoteAddr()), c, time.Now())
		c.entry = entry
		if victim == nil {
			return c, nil
		}
		l.tracker.abort(victim, cause)
		if victim != entry {
			return c, nil
		}
		l.tracker.set.Remove(entry)
	}
}

const (
	// closingPoll and maxClosingPolls limit the wait for connections that are being closed. net/http needs half a second
	// for one. Meanwhile new connections wait in the listener's queue, where they take no descriptor.
	closingPoll     = 5 * time.Millisecond
	maxClosingPolls = 200
)

// waitForClosing waits while too many connections are being closed.
func (t *connTracker) waitForClosing() {
	for i := 0; i < maxClosingPolls && t.set.Full(); i++ {
		time.Sleep(closingPoll)
	}
}

// host returns the address of a client without its port.
func host(a net.Addr) string {
	if tcp, ok := a.(*net.TCPAddr); ok {
		b := tcp.IP.To4()
		if b == nil {
			b = tcp.IP
		}
		return string(b)
	}
	name, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return name
}

// abort closes a connection that was chosen because of a limit.
func (t *connTracker) abort(victim *connlimit.Conn, cause connlimit.Cause) {
	c := victim.Value.(*trackedConn)
	t.onClosed(cause, c.RemoteAddr())
	_ = c.Close()
}

// closeReceiving closes the connection of a body that is not complete, because another request needs its memory.
func (t *connTracker) closeReceiving() {
	if victim, cause := t.set.CloseReceiving(time.Now()); victim != nil {
		t.abort(victim, cause)
	}
}

// trackedConn is a connection of a client.
type trackedConn struct {
	net.Conn
	tracker *connTracker
	entry   *connlimit.Conn
	// readingHeader is true from the end of a request, or the beginning of the connection, until the handler of the
	// next request is called. The fields below are used by one goroutine at a time: by reads while readingHeader is
	// true, and by the hooks of the server, which don't run at the same time.
	readingHeader atomic.Bool
	// headerBegun is true once a byte of the header was read.
	headerBegun bool
	// headerCost is the memory of the header so far, and held the part of it that is accounted.
	headerCost, held int64
	// lastLines is the number of lines in what was read last into the buffer. They may belong to the next header already.
	lastLines int64
	// readAhead is the number of bytes that were read with the end of the header.
	readAhead int64
	// answer holds what the client has not taken of an answer; nil before the first stream.
	answer *answerBuffer
}

// Read implements net.Conn. It accounts for the memory of headers before net/http parses them.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n <= 0 {
		return n, err
	}
	if len(b) > readBuffer || len(b) == 1 {
		// A body that is read past the buffer, or the byte that net/http reads to notice the end of a connection.
		return n, err
	}
	if !c.readingHeader.Load() {
		c.lastLines = countLines(b[:n])
		return n, err
	}
	end, complete := headerEnd(b[:n])
	header := b[:end]
	if !c.headerBegun {
		c.headerBegun = true
		if !complete {
			// Usually the whole header comes at once, and the connection remains idle until its handler is called.
			c.tracker.set.Change(c.entry, connlimit.Unread, time.Now())
		}
		// What the buffer holds already came with the last request.
		if buffered := int64(readBuffer - len(b)); buffered > 0 {
			c.headerCost += textMemory*buffered + fieldMemory*min(buffered, c.lastLines)
		}
	}
	c.readAhead = int64(n - len(header))
	c.lastLines = countLines(b[len(header):n])
	c.headerCost += textMemory*int64(len(header)) + fieldMemory*countLines(header)
	if !c.reserve() {
		return 0, errConnectionClosed
	}
	return n, err
}

func countLines(b []byte) int64 { return int64(bytes.Count(b, []byte{'\n'})) }

// headerEnd returns the number of bytes of b up to the blank line that ends a header and whether there is one. What follows
// is a body or the next header.
func headerEnd(b []byte) (end int, complete bool) {
	end = len(b)
	for _, blank := range [...]string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(b[:end], []byte(blank)); i >= 0 {
			end, complete = i+len(blank), true
		}
	}
	return end, complete
}

// reserve accounts for the memory of the header. If there is none, it closes the connection whose header takes some for
// longest. It returns false if there is still none or if that is this connection; then it is closed.
func (c *trackedConn) reserve() bool {
	missing := c.headerCost - freeHeaderMemory - c.held
	if missing <= 0 {
		return true
	}
	missing = max(missing, headerStep)
	t := c.tracker
	for range maxHeaderWaits {
		if t.set.IsClosing(c.entry) {
			return false
		}
		if t.memory.ReserveHeader(missing) {
			if c.held += missing; c.held == missing {
				t.set.SetHeavy(c.entry, true)
			}
			return true
		}
		if victim, cause := t.set.CloseHeavy(); victim != nil {
			t.abort(victim, cause)
		}
		time.Sleep(headerWait)
	}
	t.onClosed(connlimit.CauseMemory, c.RemoteAddr())
	_ = c.Close()
	return false
}

const (
	// headerWait is the time between two attempts to get memory for a header, and maxHeaderWaits the number of attempts.
	// On a busy machine a connection that was closed gives its memory back only after some 10 ms.
	headerWait     = 10 * time.Millisecond
	maxHeaderWaits = 50
)

// release gives the memory of the header back.
func (c *trackedConn) release() {
	if c.held > 0 {
		c.tracker.set.SetHeavy(c.entry, false)
		c.tracker.memory.ReleaseHeader(c.held)
	}
	c.held, c.headerCost = 0, 0
}

// headerRead is called when the header of a request was read, before its handler.
func (c *trackedConn) headerRead(r *http.Request) {
	if !c.headerBegun {
		// All of it came with the last request.
		for _, values := range r.Header {
			c.headerCost += fieldMemory * int64(len(values))
		}
		c.headerCost += textMemory * readBuffer
		c.reserve()
	}
	c.readingHeader.Store(false)
	c.headerBegun = false
	state := connlimit.Receiving
	if r.ContentLength >= 0 && r.ContentLength <= c.readAhead {
		state = connlimit.Busy
	}
	c.readAhead = 0
	c.tracker.set.Change(c.entry, state, time.Now())
}

// RequestReceived tells that the whole request was read. It returns false if the connection was closed before because of
// a limit; then the request must not run, because its caller gets no answer.
func (c *trackedConn) RequestReceived() bool {
	return c.tracker.set.Change(c.entry, connlimit.Busy, time.Now())
}

// requestEnded is called when the answer was written and the connection waits for the next request.
func (c *trackedConn) requestEnded() {
	c.release()
	c.readingHeader.Store(true)
	c.tracker.set.Change(c.entry, connlimit.Idle, time.Now())
}

// CloseWrite ends the answers to the client. net/http calls it before it waits for the client's end of the connection.
func (c *trackedConn) CloseWrite() error {
	c.tracker.set.Change(c.entry, connlimit.Answered, time.Now())
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// PeerClosed reports whether the client has closed the connection.
func (c *trackedConn) PeerClosed() bool { return upstream.PeerClosed(c.Conn) }

// clientGone reports whether the client of a trackedConn can get no answer any more.
func clientGone(c any) bool { return upstream.PeerReset(c.(*trackedConn).Conn) }

// SyscallConn implements syscall.Conn.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
