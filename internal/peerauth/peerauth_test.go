package peerauth_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/gen/quetzallug/v1/quetzallugv1connect"
	"github.com/quetzallug/quetzallug/internal/peerauth"
)

type worker struct {
	quetzallugv1connect.UnimplementedWorkerServiceHandler
	calls int
}

func (w *worker) Probe(context.Context, *connect.Request[v1.ProbeRequest]) (*connect.Response[v1.ProbeResponse], error) {
	w.calls++
	return connect.NewResponse(&v1.ProbeResponse{}), nil
}

func (w *worker) Execute(context.Context, *connect.Request[v1.ExecuteRequest], *connect.ServerStream[v1.Frame]) error {
	w.calls++
	return nil
}

// Guards against a call with the wrong cluster or key that reaches a handler.
func TestRefusedCallsReachNoHandler(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	valid := peerauth.Credentials{Cluster: "a", Key: "k"}
	tests := []struct {
		name  string
		creds peerauth.Credentials
		ok    bool
	}{
		{"right", valid, true},
		{"wrong cluster", peerauth.Credentials{Cluster: "b", Key: "k"}, false},
		{"wrong key", peerauth.Credentials{Cluster: "a", Key: "other"}, false},
		{"longer key", peerauth.Credentials{Cluster: "a", Key: "kk"}, false},
		{"no key", peerauth.Credentials{Cluster: "a"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &worker{}
			mux := http.NewServeMux()
			mux.Handle(quetzallugv1connect.NewWorkerServiceHandler(w, connect.WithInterceptors(peerauth.NewInterceptor(valid, log))))
			srv := httptest.NewServer(mux)
			defer srv.Close()
			c := quetzallugv1connect.NewWorkerServiceClient(srv.Client(), srv.URL, connect.WithInterceptors(peerauth.NewInterceptor(test.creds, log)))
			_, err := c.Probe(t.Context(), connect.NewRequest(&v1.ProbeRequest{}))
			s, streamErr := c.Execute(t.Context(), connect.NewRequest(&v1.ExecuteRequest{}))
			if streamErr == nil {
				s.Receive()
				streamErr = s.Err()
				require.NoError(t, s.Close())
			}
			if test.ok {
				require.NoError(t, err)
				require.NoError(t, streamErr)
				require.Equal(t, 2, w.calls)
				return
			}
			require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
			require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(streamErr))
			require.Zero(t, w.calls)
		})
	}
}
