package app

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/quetzallug/quetzallug/gateway"
)

// connTracker limits the number of caller connections and reports connections that end before a request
// was read.
//
// When a new connection exceeds the limit, connTracker closes the connection that has been idle longest,
// or the new one if none is idle. Without a limit, callers that open a new connection for each request and
// leave the old ones idle would use up the process's file descriptors. The process would then accept no
// connections for up to a second, and read requests only after their callers have disconnected.
//
// A caller may safely resend a request that it sent while its idle connection was being closed, because
// the request was not read.
type connTracker struct {
	limit int
	// onHeaderIncomplete is called for a connection that ended before the header of its request was read.
	onHeaderIncomplete func(from net.Addr)
	// onDropped is called for a connection that is closed because of the limit. idle is false if it is
	// the new one.
	onDropped func(idle bool)

	mu    sync.Mutex
	conns map[net.Conn]*trackedConn
	// idle holds the connections without a request. The one that has been idle longest is first.
	idle list.List
}

type trackedConn struct {
	net.Conn
	// readingHeader is true from the first byte of a request until its handler is called.
	readingHeader bool
	// idleElement is the element of connTracker.idle; nil if the connection is not idle.
	idleElement *list.Element
}

func newConnTracker(limit int) *connTracker {
	return &connTracker{limit: limit, onHeaderIncomplete: func(net.Addr) {}, onDropped: func(bool) {}, conns: make(map[net.Conn]*trackedConn)}
}

// trackedConnKey is the key of the *trackedConn in the context of a request.
type trackedConnKey struct{}

// attach installs the hooks of t in srv, whose handler must already be set. The hooks apply the limit,
// report connections that end before a request was read, and add the caller's connection to the context
// of each request.
func (t *connTracker) attach(srv *http.Server) {
	next := srv.Handler
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return gateway.WithCaller(context.WithValue(ctx, trackedConnKey{}, t.add(c)), c)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(trackedConnKey{}).(*trackedConn); ok {
			t.mu.Lock()
			c.readingHeader = false
			t.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
	srv.ConnState = t.stateChanged
}

// add registers a new connection. If the limit is exceeded, it closes one.
func (t *connTracker) add(c net.Conn) *trackedConn {
	t.mu.Lock()
	added := &trackedConn{Conn: c}
	t.conns[c] = added
	var dropped *trackedConn
	if len(t.conns) > t.limit {
		dropped = added
		if first := t.idle.Front(); first != nil {
			dropped = t.idle.Remove(first).(*trackedConn)
			dropped.idleElement = nil
		}
	}
	t.mu.Unlock()
	if dropped != nil {
		t.onDropped(dropped != added)
		_ = dropped.Close()
	}
	return added
}

// stateChanged is the ConnState hook of the server.
func (t *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	c := t.conns[conn]
	if c == nil {
		t.mu.Unlock()
		return
	}
	if c.idleElement != nil {
		t.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	headerIncomplete := false
	switch state {
	case http.StateActive:
		c.readingHeader = true
	case http.StateIdle:
		c.idleElement = t.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, conn)
		headerIncomplete = c.readingHeader
	case http.StateNew:
	}
	t.mu.Unlock()
	if headerIncomplete {
		t.onHeaderIncomplete(conn.RemoteAddr())
	}
}
