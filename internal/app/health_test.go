package app

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that closes an idle connection on which a caller is just sending, and
// against connections that are kept for requests after the stop.
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
	require.Equal(t, conns[0], conns[1], "the idle connection still serves")
	require.NotEqual(t, conns[1], conns[2])
}
