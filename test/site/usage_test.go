package site

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

// Guards against windows that are reported late, not at all or with wrong counts although nothing fails.
func TestUsageWindowsAreReported(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		u := startUsage(env, 3)
		first := window()
		time.Sleep(60 * time.Second)
		last := window() - 1
		time.Sleep(usageLate)
		u.finish()
		missed, wrong := u.outcome(first, last)
		require.Empty(t, missed, "missed windows")
		require.Empty(t, wrong, "wrong windows")
		u.check()
		for _, r := range u.usage.Reports() {
			require.Less(t, u.usage.Lag(r), 4*time.Second, "reported late in a calm deployment")
		}
	})
}

// Guards against runs that are not counted because their answer was lost, damaged or an error, and against refusals that
// are counted.
func TestUsageCountsRunsOfFaultyWorkers(t *testing.T) {
	for name, fault := range map[string]site.Fault{
		"refuse": site.FaultRefuse, "error": site.FaultError, "lost": site.FaultLoseResponse, "hang": site.FaultHang,
		"truncate": site.FaultTruncate, "garbage": site.FaultGarbage, "unsigned": site.FaultUnsigned, "unframed": site.FaultUnframed,
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				u := startUsage(env, 1)
				for _, wk := range env.workers {
					count := 0
					wk.SetFault(func(*http.Request) site.Fault {
						if count++; count%3 == 0 {
							return fault
						}
						return site.FaultNone
					})
				}
				time.Sleep(6 * usageWindow)
				u.finish()
				time.Sleep(usageWindow + usageLate)
				u.check()
				reported, runs := map[string]int64{}, map[string]int64{}
				for _, r := range u.usage.Reports() {
					for account, n := range r.Counts {
						reported[account] += n
					}
					for account, n := range u.runs(r.Window) {
						runs[account] += n
					}
				}
				require.NotZero(t, runs["huka"])
				require.Equal(t, runs, reported)
			})
		})
	}
}

// Guards against runs that count in the window in which they are answered instead of that in which they began.
func TestUsageCountsPlainRunsWhereTheyBegan(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		// The answers come after all instances have closed the window.
		const serviceTime, untilEnd, count = 1500 * time.Millisecond, 500 * time.Millisecond, 20
		u := newUsageEnv(env)
		env.writeConfig()
		env.addWorker(site.WorkerConfig{ID: "i-api-0", Service: "api", Slots: count, ServiceTime: serviceTime})
		env.addGateway("edge-1")
		time.Sleep(settleTime)
		sleepIntoWindow(usageWindow - untilEnd)
		began := window()
		for range count {
			u.load.Go(func() {
				env.call(env.gateways[0], request{path: pathOnce + "x", header: http.Header{"Authorization": {"Bearer key-puhu"}}})
			})
		}
		u.finish()
		time.Sleep(usageWindow + usageLate)
		u.check()
		require.EqualValues(t, count, u.runs(began)["puhu"])
		for _, r := range u.usage.Reports() {
			require.Equal(t, u.runs(r.Window)["puhu"], r.Counts["puhu"], "window %d of %d", r.Window, began)
		}
	})
}

// Guards against a holder whose clock is wrong when it starts, and which therefore names windows of the future in its
// record: none would be reported until then.
func TestUsageOfHolderWithWrongClock(t *testing.T) {
	for _, wallError := range []time.Duration{-time.Hour, -7 * time.Second, 7 * time.Second, time.Hour} {
		t.Run(wallError.String(), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				u := newUsageEnv(env)
				u.setWallError("edge-1", wallError)
				startUsage(env, 4)
				time.Sleep(2 * time.Second)
				require.Equal(t, "edge-1", u.holderNode().host.Name)
				time.Sleep(2 * usageWindow)
				first := window()
				time.Sleep(15 * usageWindow) // longer than a lasting difference takes to be adopted
				last := window() - 1
				time.Sleep(usageLate)
				u.finish()
				u.check()
				missed, wrong := u.outcome(first, last)
				require.Empty(t, missed, "missed windows")
				require.Empty(t, wrong, "wrong windows")
			})
		})
	}
}

// Guards against calls of a new holder while calls of the former one may be on their way. It takes over in the middle of
// a window and has the last report to repeat.
func TestUsageGuardAfterTakeover(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		u := startUsage(env, 3)
		sleepIntoWindow(usageWindow + 2500*time.Millisecond)
		former := u.holderNode()
		u.cut(former.host.Name, "store", true)
		env.store.EndLeases()
		time.Sleep(12 * time.Second)
		u.duties.Excuse(former.host.Name)
		u.cut(former.host.Name, "store", false)
		require.NotEqual(t, former, u.holderNode())
		u.finish()
		u.check()
	})
}
