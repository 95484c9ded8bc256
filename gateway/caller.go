package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/quetzallug/quetzallug/upstream"
)

type callerKey struct{}

// WithCaller returns a context that knows the connection of the caller.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// callerLeft tells whether the caller has closed its connection. A process that is behind reads requests
// whose callers have given up; net/http notices the end of a connection only some time after the request
// was handed over.
func callerLeft(r *http.Request) bool {
	ctx := r.Context()
	c, ok := ctx.Value(callerKey{}).(net.Conn)
	return ctx.Err() != nil || ok && upstream.Ended(c)
}
