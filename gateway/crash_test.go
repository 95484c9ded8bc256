package gateway

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/contain"
)

type crashMetrics struct{ Metrics }

func (crashMetrics) Crash(string) {}

// Guards against broken responses of living servers being taken for crashes, and crashes for broken responses.
func TestCrashesAreTold(t *testing.T) {
	for name, tc := range map[string]struct {
		// probes are the results of the connections, in order; the last one repeats.
		probes []error
		// gone is true if another request is refused by the server.
		gone    bool
		crashed bool
	}{
		"refused at once":         {probes: []error{syscall.ECONNREFUSED}, crashed: true},
		"accepted":                {probes: []error{nil}},
		"accepted, refused later": {probes: []error{nil, syscall.ECONNREFUSED}, crashed: true},
		"accepted, others gone":   {probes: []error{nil}, gone: true, crashed: true},
		"silent":                  {probes: []error{os.ErrDeadlineExceeded}},
		"reset":                   {probes: []error{syscall.ECONNRESET}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var moments [][]*brokenServer
				log := logrus.New()
				log.SetOutput(io.Discard)
				var mu sync.Mutex
				calls := map[string]int{}
				w := newCrashWatch(func(_ context.Context, addr string) error {
					mu.Lock()
					defer mu.Unlock()
					n := calls[addr]
					calls[addr]++
					return tc.probes[min(n, len(tc.probes)-1)]
				}, func(crashed []*brokenServer) { moments = append(moments, crashed) }, crashMetrics{}, contain.New(log, func(string) {}), log)
				servers := []*Server{newServer("a", external.EngineRoleDecode), newServer("b", external.EngineRoleDecode)}
				for i := range 6 {
					w.recordBroken(t.Context(), servers[i%2], brokenRequest{id: fmt.Sprint(i)})
				}
				if tc.gone {
					time.Sleep(100 * time.Millisecond)
					w.recordGone(servers[0])
					w.recordGone(servers[1])
				}
				time.Sleep(2 * crashMemory)
				synctest.Wait()
				require.Empty(t, w.broken)
				if !tc.crashed {
					require.Empty(t, moments)
					return
				}
				require.Len(t, moments, 1, "both servers crashed together")
				require.Len(t, moments[0], 2)
				for _, b := range moments[0] {
					require.Len(t, b.requests, 3)
				}
			})
		})
	}
}
