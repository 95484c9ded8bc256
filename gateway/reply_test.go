package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// serveReply returns the status and body that a caller gets from a handler that uses a reply.
func serveReply(t *testing.T, handle func(*reply)) (int, string, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		p := reply{w: w}
		handle(&p)
		p.close()
	}))
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a response that was not completed, or not even started, reaching the caller as a whole one.
func TestPartialRepliesAreAborted(t *testing.T) {
	_, _, err := serveReply(t, func(*reply) {})
	require.Error(t, err)
	_, text, err := serveReply(t, func(p *reply) {
		p.start(http.StatusOK, nil, -1)
		_, _ = io.WriteString(p.w, "part")
		_ = http.NewResponseController(p.w).Flush()
	})
	require.Error(t, err, text)
	status, text, err := serveReply(t, func(p *reply) { p.whole(http.StatusOK, nil, []byte("all")) })
	require.NoError(t, err)
	require.Equal(t, "all", text)
	require.Equal(t, http.StatusOK, status)
}

// Guards against a refusal or the error of another backend server being written into a stream that has begun.
func TestNoReplyFollowsAStartedOne(t *testing.T) {
	for name, second := range map[string]func(*reply) bool{
		"error": func(p *reply) bool { return p.error(http.StatusServiceUnavailable, "refused") },
		"whole": func(p *reply) bool { return p.whole(http.StatusNotFound, nil, []byte("no such route")) },
	} {
		t.Run(name, func(t *testing.T) {
			_, text, err := serveReply(t, func(p *reply) {
				p.start(http.StatusOK, nil, -1)
				_, _ = io.WriteString(p.w, "event")
				_ = http.NewResponseController(p.w).Flush()
				require.False(t, second(p))
			})
			require.Error(t, err)
			require.Equal(t, "event", text)
		})
	}
}
