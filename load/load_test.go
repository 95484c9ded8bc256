package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/external"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/load"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func report(seq uint64, age time.Duration, prefill int64, running, free int) load.Report {
	return load.Report{Sequence: seq, Age: age, Load: external.EngineLoad{
		PrefillTokens: prefill, Running: running, FreePieces: free, TotalPieces: 100,
	}}
}

// Guards against counting a request both in the report and as a correction, or in neither.
func TestReportReplacesOnlyOlderCorrections(t *testing.T) {
	w := load.NewTracker(load.Speed{}).Worker("w")
	require.True(t, w.Observe(report(1, 0, 0, 5, 50), at(0)))
	first := w.RecordSent(load.Work{Decode: true, Pieces: 3}, at(100*time.Millisecond))
	w.RecordSent(load.Work{Decode: true, Pieces: 4}, at(900*time.Millisecond))
	e := w.Estimate(at(time.Second))
	assert.Equal(t, 7, e.Sequences)
	assert.Equal(t, 43, e.FreePieces)

	// This report was made at 500 ms, so it includes only the first request.
	require.True(t, w.Observe(report(2, 500*time.Millisecond, 0, 6, 47), at(time.Second)))
	e = w.Estimate(at(time.Second))
	assert.Equal(t, 7, e.Sequences)
	assert.Equal(t, 43, e.FreePieces)
	assert.Equal(t, 500*time.Millisecond, e.Age)

	w.RecordFinished(first, at(1100*time.Millisecond))
	e = w.Estimate(at(1200 * time.Millisecond))
	assert.Equal(t, 6, e.Sequences)
	assert.Equal(t, 46, e.FreePieces)
}

// Guards against a delayed report that overwrites a newer one, and against ignoring the reports of a
// restarted worker because its sequence numbers start again.
func TestOldReportsAreIgnored(t *testing.T) {
	w := load.NewTracker(load.Speed{}).Worker("w")
	require.True(t, w.Observe(report(7, 0, 0, 5, 50), at(0)))
	assert.False(t, w.Observe(report(6, 0, 0, 9, 50), at(time.Second)))
	assert.Equal(t, 5, w.Estimate(at(time.Second)).Sequences)
	assert.True(t, w.Observe(report(1, 0, 0, 1, 50), at(10*time.Second)))
	assert.Equal(t, 1, w.Estimate(at(10*time.Second)).Sequences)
}

// Guards against an estimated prefill queue that stays constant between reports although the worker
// processes it.
func TestPrefillDrains(t *testing.T) {
	w := load.NewTracker(load.Speed{PrefillSecondsPerToken: 1e-4}).Worker("w")
	w.SetRole(external.EngineRolePrefill)
	w.Observe(report(1, 0, 5000, 0, 50), at(0))
	assert.InDelta(t, 3000, w.Estimate(at(200*time.Millisecond)).PrefillTokens, 1)
	w.RecordSent(load.Work{PrefillTokens: 1000}, at(time.Second))
	e := w.Estimate(at(time.Second))
	assert.InDelta(t, 1000, e.PrefillTokens, 1)
	assert.InDelta(t, 0.318, e.FirstToken(2000), 0.001)
}

// Guards against overloading a worker: without scaling, each of several routers fills all of the
// capacity that an old report shows as free.
func TestOtherRoutersAreExpectedToAct(t *testing.T) {
	tracker := load.NewTracker(load.Speed{})
	tracker.SetRouterCount(3)
	w := tracker.Worker("w")
	w.Observe(report(1, 0, 0, 5, 50), at(0))
	ticket := w.RecordSent(load.Work{Decode: true, Pieces: 2}, at(0))
	assert.Equal(t, 6, w.Estimate(at(0)).Sequences, "right after a report, only this router's request counts")
	e := w.Estimate(at(2 * time.Second))
	assert.Equal(t, 8, e.Sequences)
	assert.Equal(t, 44, e.FreePieces)
	w.RecordFinished(ticket, at(2*time.Second))
	assert.Equal(t, 5, w.Estimate(at(2*time.Second)).Sequences)
}

// Guards against an estimated speed that doesn't converge to the observed one, or that a single
// outlier distorts.
func TestSpeedIsLearned(t *testing.T) {
	w := load.NewTracker(load.Speed{PrefillSecondsPerToken: 1e-4}).Worker("w")
	w.SetRole(external.EngineRolePrefill)
	for i := range 200 {
		now := at(time.Duration(i) * 10 * time.Second)
		w.Observe(report(uint64(i+1), 0, 0, 0, 50), now)
		ticket := w.RecordSent(load.Work{PrefillTokens: 1000}, now)
		w.ObserveFirstToken(ticket, now.Add(200*time.Millisecond))
		w.ObserveBetweenTokens(36*time.Millisecond, now)
	}
	e := w.Estimate(at(2000 * time.Second))
	assert.InEpsilon(t, 2e-4, e.Speed.PrefillSecondsPerToken, 0.02)
	assert.InEpsilon(t, 0.036, e.Speed.Step(0), 0.02)
	w.ObserveBetweenTokens(time.Hour, at(2000*time.Second))
	assert.Less(t, w.Estimate(at(2000*time.Second)).Speed.Step(0), 0.06)
}

// Guards against totals that become negative or don't return to the report once all requests have
// finished, also with more corrections than are kept one by one.
func TestEstimateReturnsToReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := load.NewTracker(load.Speed{}).Worker("w")
		w.Observe(report(1, 0, 0, 3, 60), at(0))
		var inFlight []load.Ticket
		now := time.Duration(0)
		for range rapid.IntRange(0, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "finish") {
				w.RecordFinished(inFlight[0], at(now))
				inFlight = inFlight[1:]
				continue
			}
			work := load.Work{PrefillTokens: rapid.IntRange(0, 4000).Draw(t, "tokens"), Decode: true, Pieces: 1}
			inFlight = append(inFlight, w.RecordSent(work, at(now)))
			e := w.Estimate(at(now))
			require.GreaterOrEqual(t, e.PrefillTokens, 0.0)
			require.GreaterOrEqual(t, e.FreePieces, 0)
		}
		for _, ticket := range inFlight {
			w.RecordFinished(ticket, at(now))
		}
		e := w.Estimate(at(now + time.Hour))
		require.Equal(t, 3, e.Sequences)
		require.Equal(t, 60, e.FreePieces)
		require.Zero(t, e.PrefillTokens)
	})
}
