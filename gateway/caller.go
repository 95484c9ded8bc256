package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/quetzallug/quetzallug/upstream"
)

type callerConnKey struct{}

// WithCaller returns a context that carries the connection of the caller.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// Caller returns the connection that WithCaller has added, or nil.
func Caller(ctx context.Context) net.Conn {
	c, _ := ctx.Value(callerConnKey{}).(net.Conn)
	return c
}

// callerDisconnected reports whether the caller has closed its connection. An overloaded process
// reads requests whose callers have already gone, and net/http detects a closed connection only
// some time after it has called the handler.
func callerDisconnected(r *http.Request) bool {
	ctx := r.Context()
	c, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return ctx.Err() != nil || ok && upstream.PeerClosed(c)
}

// receivedConn is a connection of a caller that wants to know when a whole request was read. RequestReceived returns false
// if the connection was closed before, so that the caller can get no answer.
type receivedConn interface{ RequestReceived() bool }

// callerClosedWhileSending reports whether the caller's connection was closed by this process while its request was read.
// Such a request must not be sent.
func callerClosedWhileSending(r *http.Request) bool {
	c, ok := r.Context().Value(callerConnKey{}).(receivedConn)
	return ok && !c.RequestReceived()
}

// ErrSlowReader is the error of writes to a caller that does not read its answer, once there is no memory to hold it.
var ErrSlowReader = errors.New("slow_reader")

// bufferedConn is a connection of a caller that can hold what the caller has not taken of an answer, so that a slow caller
// does not keep the answer from being read. FlushAnswer waits until the caller has taken it.
type bufferedConn interface {
	BufferAnswer()
	FlushAnswer() error
}
