package app

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stopping server that closes an idle connection while its caller sends a request, and
// against connections that are reused after the stop began.
func TestStoppingServerClosesConnectionsWithTheirResponses(t *testing.T) {
	h := &health{}
	var conns []string
	srv := httptest.NewServer(h.closeWhenStopping(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		conns = append(conns, r.RemoteAddr)
	})))
	defer srv.Close()
	send := func() bool {
		resp, err := srv.Client().Get(srv.URL)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.Close
	}
	require.False(t, send())
	h.stopping.Store(true)
	require.True(t, send())
	require.True(t, send())
	require.Equal(t, conns[0], conns[1], "the idle connection serves one more request")
	require.NotEqual(t, conns[1], conns[2])
}
