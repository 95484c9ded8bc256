package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/quetzallug/quetzallug/upstream"
)

type callerConnKey struct{}

// WithCaller returns a context that carries the connection of the caller.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConn returns the connection of the caller, or nil if the context has none.
func callerConn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(callerConnKey{}).(net.Conn)
	return c
}

// callerDisconnected reports whether the caller has closed its connection. An overloaded process
// reads requests whose callers have already gone, and net/http detects a closed connection only
// some time after it has called the handler.
func callerDisconnected(r *http.Request) bool {
	c := callerConn(r.Context())
	return r.Context().Err() != nil || c != nil && upstream.PeerClosed(c)
}
