package site

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

// silenceableConn is a connection that carries nothing more, in either direction, once silences has risen since it was
// opened. It is not closed then.
type silenceableConn struct {
	net.Conn
	silences *atomic.Int32
	openedAt int32
}

func (c *silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || c.silences.Load() == c.openedAt {
			return n, err
		}
	}
}

func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.silences.Load() != c.openedAt {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Guards against gateways that take silent connections to the store for a failure of the store, or find out too late: a worker
// that left gets nothing, and a route that moved leads to its new service, from the time at which they are back in touch.
func TestSilentConnectionsToTheStore(t *testing.T) {
	const phases = 12
	for phase := range 2 * phases {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				env.writeConfig()
				for i := range 3 {
					env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-a%d", i), Service: "api"})
				}
				env.addWorker(site.WorkerConfig{ID: "i-b", Service: "api2"})
				// One of them holds the lease. The other one looks for it now and then, which leaves an idle connection.
				gateways := []*gatewayNode{env.addGateway("edge-1"), env.addGateway("edge-2")}
				// The watch is at another point each time. A change shortly before makes the next watch begin after a pause.
				time.Sleep(9*time.Second + time.Duration(phase%phases)*150*time.Millisecond)
				if phase >= phases {
					env.store.Put("other/x", jsonMap{})
					time.Sleep(100 * time.Millisecond)
				}
				silentAt := time.Now()
				env.silences.Add(1)
				time.Sleep(300 * time.Millisecond)
				env.store.Remove("servers/i-a0")
				env.writeConfig(routeConfig("moved", "/moved/", "idempotent", "api2", nil))
				time.Sleep(time.Until(silentAt.Add(contactTime)))
				for _, n := range gateways {
					require.Len(t, n.roster.Servers("api"), 2)
					r := env.call(n, request{path: "/moved/x", method: http.MethodGet})
					require.True(t, r.succeeded(), "%d %s", r.status, r.body)
				}
			})
		})
	}
}
