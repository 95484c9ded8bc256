package app

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/quetzallug/quetzallug/gateway"
)

// callerConns bounds the connections of callers and watches how they end.
//
// Callers that return on a new connection each time leave their old ones idle. Once a process has no
// descriptors left, it accepts nothing for up to a second, and requests wait unread until their callers
// are gone. Above the limit, the connection that has been idle for longest is closed for each new one; a
// request that crosses the close was not read and may be sent again. If none is idle, the new one is
// closed.
type callerConns struct {
	limit     int
	onUnread  func(from net.Addr)
	onDropped func(idle bool)

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
	// idle holds the connections without a request, the one that has been idle for longest first.
	idle list.List
}

type callerConn struct {
	net.Conn
	// reading is true while bytes of a request were read and its handler has not begun.
	reading bool
	idle    *list.Element
}

func newCallerConns(limit int) *callerConns {
	return &callerConns{limit: limit, onUnread: func(net.Addr) {}, onDropped: func(bool) {}, conns: make(map[net.Conn]*callerConn)}
}

type callerKey struct{}

// attach makes the server use the limit. Its handler must be set.
func (t *callerConns) attach(srv *http.Server) {
	next := srv.Handler
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return gateway.WithCaller(context.WithValue(ctx, callerKey{}, t.add(c)), c)
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerKey{}).(*callerConn); ok {
			t.mu.Lock()
			c.reading = false
			t.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
	srv.ConnState = t.changed
}

// add counts a new connection and closes another one if there are too many.
func (t *callerConns) add(c net.Conn) *callerConn {
	t.mu.Lock()
	added := &callerConn{Conn: c}
	t.conns[c] = added
	var drop *callerConn
	if len(t.conns) > t.limit {
		drop = added
		if first := t.idle.Front(); first != nil {
			drop = t.idle.Remove(first).(*callerConn)
			drop.idle = nil
		}
	}
	t.mu.Unlock()
	if drop != nil {
		t.onDropped(drop != added)
		_ = drop.Close()
	}
	return added
}

func (t *callerConns) changed(conn net.Conn, to http.ConnState) {
	t.mu.Lock()
	c := t.conns[conn]
	if c == nil {
		t.mu.Unlock()
		return
	}
	if c.idle != nil {
		t.idle.Remove(c.idle)
		c.idle = nil
	}
	unread := false
	switch to {
	case http.StateActive:
		c.reading = true
	case http.StateIdle:
		c.idle = t.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, conn)
		unread = c.reading
	case http.StateNew:
	}
	t.mu.Unlock()
	if unread {
		t.onUnread(conn.RemoteAddr())
	}
}
