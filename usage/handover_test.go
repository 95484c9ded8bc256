package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against counts that are lost in planned stops: those that an instance has passed on before its stop, its own and
// those that it held for others, have to reach each next holder until their window is reported.
func TestCountsOutlastPlannedStopsOfHolders(t *testing.T) {
	for name, tc := range map[string]struct {
		// stops are the processes that hold the lease and are stopped one after the other.
		stops []int
		// restarts is true if each is started again.
		restarts bool
	}{
		"one holder":                          {stops: []int{0}},
		"two holders":                         {stops: []int{0, 1}},
		"three holders":                       {stops: []int{0, 1, 2}},
		"two holders, each started again":     {stops: []int{0, 1}, restarts: true},
		"the first one again after the other": {stops: []int{0, 1, 0}, restarts: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4)
				time.Sleep(time.Until(testWindows.End(testWindows.At(time.Now()))))
				window := testWindows.At(time.Now())
				names := map[int]string{0: "edge-1", 1: "edge-2", 2: "edge-3"}
				tell := func() {
					for _, p := range w.processes {
						if p.alive() {
							p.watch()
							p.send()
						}
					}
				}
				w.processes[0].acquire()
				tell()
				for _, p := range w.processes {
					p.run()
				}
				tell()
				// The holders are stopped before the window ends, so that none of them reports it.
				for _, i := range tc.stops {
					p := w.byAddress[names[i]]
					if !p.authority.Valid() {
						p.acquire()
					}
					tell()
					p.run()
					p.stop()
					tell()
					if tc.restarts {
						w.start(names[i])
					}
				}
				last := w.byAddress["edge-4"]
				last.acquire()
				for time.Now().Before(testWindows.Due(window)) {
					w.pass(500 * time.Millisecond)
					tell()
				}
				require.NoError(t, w.violation)
				n, ok := w.reported(window)
				require.True(t, ok)
				require.Equal(t, w.truth[window], n, "runs of the window")
			})
		})
	}
}
