package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Guards against a stand-in that does not start or stop, and against flags and environment variables
// that are ignored.
func TestEachStandInServesAndStops(t *testing.T) {
	t.Setenv("QUETZALLUG_STANDIN_MODEL", "m@7 n")
	t.Setenv("QUETZALLUG_STANDIN_LIMIT", "9")
	for name, check := range map[string]struct{ path, response string }{
		"kv":        {"/calls", `"waiting":0`},
		"instances": {"/instances", `"version":0`},
		"weights":   {"/granted", "{}"},
		"engine":    {"/state", `[{"name":"m","version":"7"},{"name":"n","version":""}]`},
		"backend":   {"/load", `"total_pieces":9`},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			address := ln.Addr().String()
			require.NoError(t, ln.Close())
			log := logrus.New()
			log.SetOutput(io.Discard)
			root := newRoot(log)
			root.SetArgs([]string{name, "--listen", address})
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- root.ExecuteContext(ctx) }()
			var body []byte
			require.Eventually(t, func() bool {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+check.path, http.NoBody)
				require.NoError(t, err)
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return false
				}
				defer resp.Body.Close()
				body, err = io.ReadAll(resp.Body)
				return err == nil
			}, 10*time.Second, 5*time.Millisecond)
			require.Contains(t, string(body), check.response)
			stop()
			require.NoError(t, <-done)
		})
	}
}
