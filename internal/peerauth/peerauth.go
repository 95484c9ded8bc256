// Package peerauth authenticates the processes of a cluster to each other. Each call carries the
// cluster name and a shared key in its headers.
package peerauth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
)

// Headers that carry the credentials.
const (
	HeaderCluster = "X-Quetzallug-Cluster"
	HeaderKey     = "X-Quetzallug-Key"
)

// Errors of a call whose credentials are refused.
var (
	ErrWrongCluster = errors.New("peer belongs to another cluster")
	ErrWrongKey     = errors.New("peer key is missing or wrong")
)

// Credentials identify a process to its peers.
type Credentials struct {
	Cluster string
	Key     string
}

type interceptor struct {
	creds Credentials
	key   [sha256.Size]byte
	log   logrus.FieldLogger
}

// NewInterceptor returns an interceptor that adds the credentials to outgoing calls and checks those of
// incoming calls. A refused call is logged and does not reach a handler.
func NewInterceptor(c Credentials, log logrus.FieldLogger) connect.Interceptor {
	return &interceptor{creds: c, key: sha256.Sum256([]byte(c.Key)), log: log}
}

// authenticate verifies the credentials of an incoming call. It logs a refusal and returns it as a connect
// error with the code unauthenticated.
func (i *interceptor) authenticate(header interface{ Get(string) string }, peer, procedure string) error {
	err := i.verify(header)
	if err == nil {
		return nil
	}
	i.log.WithFields(logrus.Fields{"peer": peer, "procedure": procedure}).WithError(err).Warn("call from peer refused")
	return connect.NewError(connect.CodeUnauthenticated, err)
}

func (i *interceptor) verify(header interface{ Get(string) string }) error {
	// Digests are compared because they have a fixed length: the time of the comparison does not depend on
	// the length of the keys.
	got := sha256.Sum256([]byte(header.Get(HeaderKey)))
	if subtle.ConstantTimeCompare(got[:], i.key[:]) != 1 {
		return ErrWrongKey
	}
	if header.Get(HeaderCluster) != i.creds.Cluster {
		return ErrWrongCluster
	}
	return nil
}

// WrapUnary implements connect.Interceptor.
func (i *interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if req.Spec().IsClient {
			i.addCredentials(req.Header())
			return next(ctx, req)
		}
		if err := i.authenticate(req.Header(), req.Peer().Addr, req.Spec().Procedure); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (i *interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		i.addCredentials(conn.RequestHeader())
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (i *interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if err := i.authenticate(conn.RequestHeader(), conn.Peer().Addr, conn.Spec().Procedure); err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

func (i *interceptor) addCredentials(h interface{ Set(string, string) }) {
	h.Set(HeaderCluster, i.creds.Cluster)
	h.Set(HeaderKey, i.creds.Key)
}
