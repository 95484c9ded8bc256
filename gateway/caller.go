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

// callerDisconnected reports whether the caller has closed its connection. An overloaded process
// reads requests whose callers have already gone, and net/http detects a closed connection only
// some time after it has called the handler.
func callerDisconnected(r *http.Request) bool {
	ctx := r.Context()
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return ctx.Err() != nil || ok && upstream.PeerClosed(c)
}
