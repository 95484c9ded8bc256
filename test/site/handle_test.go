package site

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

// Guards against requests that are refused although engines are idle, because a prefilled prompt that is gone is offered to
// one engine after the other.
func TestLostPrefilledPromptsAreReadAgain(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		n := startDefaultDeployment(env)
		// These requests come first because retries are limited to a share of recent requests.
		for i := range 40 {
			env.call(n, request{path: pathStream + "x", prompt: fmt.Sprintf("p%d:50,q%d:40", i, i), events: 2})
		}
		for _, wk := range env.workers {
			wk.SetFault(func(r *http.Request) site.Fault {
				if r.Header.Get("Quetzallug-Kv-Source") != "" {
					return site.FaultRefuse
				}
				return site.FaultNone
			})
		}
		for i := range 3 {
			r := env.call(n, request{path: pathStream + "x", prompt: fmt.Sprintf("a%d:2000,b%d:3000,c%d:1000", i, i, i), events: 3})
			require.True(t, r.succeeded(), "%d %q", r.status, r.body)
			time.Sleep(time.Second)
		}
	})
}
