package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/internal/boottime"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
)

var (
	testWindows = Windows{Length: 5 * time.Second, Late: 10 * time.Second}
	// testStart is the start of a window.
	testStart = time.Unix(1_800_000_000, 0)
)

// Guards against windows that follow a wall clock that jumps and returns, against a wall clock that was wrong at the
// start for good, and against a clock that stands still while the machine is suspended.
func TestClockIgnoresJumps(t *testing.T) {
	var elapsed, wallError time.Duration
	c := NewClock(func() time.Time { return testStart.Add(elapsed + wallError) }, func() time.Duration { return elapsed })
	pass := func(d time.Duration) {
		for range int(d / time.Second) {
			elapsed += time.Second
			c.Now()
		}
	}
	pass(10 * time.Second)
	wallError = 7 * time.Second
	pass(50 * time.Second)
	require.Equal(t, testStart.Add(60*time.Second), c.Now(), "followed a jump")
	wallError = -4 * time.Second
	pass(50 * time.Second)
	require.Equal(t, testStart.Add(110*time.Second), c.Now(), "followed another jump")
	pass(11 * time.Second)
	require.Equal(t, testStart.Add(117*time.Second), c.Now(), "a lasting difference was not adopted")
	elapsed += time.Hour // suspended
	require.Equal(t, testStart.Add(117*time.Second+time.Hour), c.Now())
}

// sentRun is a run of the process of an instance in the test below.
type sentRun struct {
	counter *Counter
	message Message
}

// Guards against counts that change when messages are lost, repeated or reordered, or when an instance restarts.
func TestCountsDoNotDependOnDelivery(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		// Not on the edge of a window: the time between a run and its count would put it in the window before.
		now := testStart.Add(500 * time.Millisecond)
		truth := map[int64]map[string]int64{}
		var runs []*sentRun
		var inFlight []*Message
		collector := NewCollector(testWindows, now)
		start := func(instance string) *sentRun {
			return &sentRun{counter: NewCounter(testWindows, func() time.Time { return now }), message: Message{Instance: instance, Run: int64(len(runs))}}
		}
		for i := range 3 {
			runs = append(runs, start(fmt.Sprint("edge-", i)))
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			r := runs[rapid.IntRange(0, len(runs)-1).Draw(rt, "run")]
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				account := rapid.SampledFrom([]string{"huka", "puhu", "koru"}).Draw(rt, "account")
				r.counter.RunBegan(account, time.Now())
				w := testWindows.At(now)
				if truth[w] == nil {
					truth[w] = map[string]int64{}
				}
				truth[w][account]++
			case 2:
				m := r.message
				m.Windows, _ = r.counter.TakeChanged(rapid.IntRange(1, 3).Draw(rt, "limit"))
				if rapid.Bool().Draw(rt, "response lost") {
					r.counter.Untake(m.Windows)
				}
				inFlight = append(inFlight, &m)
			case 3:
				if len(inFlight) > 0 {
					collector.Add(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(rt, "message")], now)
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 4).Draw(rt, "seconds")) * time.Second)
			case 5:
				if len(runs) < 6 {
					runs = append(runs, start(r.message.Instance))
				}
			}
		}
		for _, m := range inFlight {
			collector.Add(m, now)
		}
		for _, r := range runs {
			m := r.message
			m.Windows, _ = r.counter.TakeChanged(maxAccounts)
			collector.Add(&m, now)
		}
		for w, counts := range truth {
			require.Equal(rt, counts, collector.Report(w).Counts, "window %d", w)
		}
	})
}

// Guards against a holder or an instance whose memory grows without limit with the names that it is sent.
func TestStateIsBounded(t *testing.T) {
	now := testStart
	collector := NewCollector(testWindows, now)
	for i := range 2 * maxInstances {
		collector.Add(&Message{Instance: fmt.Sprint("i", i), Windows: []WindowCounts{{Window: testWindows.At(now), Counts: map[string]int64{"a": 1}}}}, now)
	}
	members, leftOut := collector.Instances()
	require.Equal(t, maxInstances, members)
	require.EqualValues(t, maxInstances, leftOut)
	require.EqualValues(t, maxInstances, collector.Report(testWindows.At(now)).Counts["a"])

	counts := map[string]int64{}
	for i := range 2 * maxAccounts {
		counts[fmt.Sprint("a", i)] = 1
	}
	for i := range 20 {
		collector.Add(&Message{Instance: fmt.Sprint("i", i), Windows: []WindowCounts{{Window: testWindows.At(now), Counts: counts}}}, now)
	}
	require.LessOrEqual(t, len(collector.Report(testWindows.At(now)).Counts), maxAccounts)
	require.LessOrEqual(t, collector.entries, maxEntries)
	for i := range int64(2 * maxWindows) {
		collector.Add(&Message{Instance: "i1", Windows: []WindowCounts{{Window: testWindows.At(now) - i, Counts: counts}}}, now)
	}
	require.LessOrEqual(t, len(collector.totals), maxWindows)
	require.LessOrEqual(t, collector.entries, maxEntries)
	collector.Decide(testWindows.At(now))
	require.Zero(t, collector.entries)

	counter := NewCounter(testWindows, func() time.Time { return now })
	for i := range 2 * maxAccounts {
		counter.RunBegan(fmt.Sprint("a", i), time.Now())
	}
	require.EqualValues(t, maxAccounts, counter.LeftOut())
}

// Guards against a report that is sent although its record does not contain it whole, or was damaged.
func TestRecordsOfReports(t *testing.T) {
	for name, counts := range map[string]map[string]int64{"empty": {}, "small": {"huka": 3, "puhu": 4}} {
		rec, _ := newRecord(Report{Window: 7, Counts: counts}, "edge-1", 2, 0)
		rep, ok := rec.report()
		require.True(t, ok, name)
		require.Equal(t, Report{Window: 7, Counts: counts}, rep)
	}
	large := map[string]int64{}
	for i := range 1000 {
		large[fmt.Sprint("account", i)] = 1
	}
	rec, value := newRecord(Report{Window: 7, Counts: large}, "edge-1", 2, 0)
	require.LessOrEqual(t, len(value), maxRecordedBytes)
	_, ok := rec.report()
	require.False(t, ok, "a report without its counts was repeated")
	rec, _ = newRecord(Report{Window: 7, Counts: map[string]int64{"huka": 3}}, "edge-1", 2, 0)
	rec.Counts = map[string]int64{"huka": 4}
	_, ok = rec.report()
	require.False(t, ok, "a damaged report was repeated")
}

// Guards against a window that is recorded twice, out of order, before its end or after it is due, whatever the outcome
// of calls and the completeness of counts.
func TestWindowsAreRecordedOnceInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := testStart
		r := reporter{windows: testWindows}
		r.skipTo(testWindows.At(now))
		last := r.last
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			s, window, missed := r.next(now, testStart, func(int64) bool { return rapid.Bool().Draw(rt, "complete") })
			for _, w := range missed {
				require.False(rt, now.Before(testWindows.Due(w)), "window given up before it was due")
			}
			switch s {
			case stepRecord:
				require.Greater(rt, window, last)
				require.False(rt, now.Before(testWindows.End(window)), "recorded before the end")
				require.True(rt, now.Before(testWindows.Due(window)), "recorded too late")
				if rapid.Bool().Draw(rt, "written") {
					last = window
					r.recorded(Report{Window: window})
				}
			case stepCall:
				require.Equal(rt, last, window, "sent what was not recorded")
				r.called(duty.Outcome(rapid.IntRange(0, 4).Draw(rt, "outcome")), now, 0.5)
			case stepNone:
			}
		}
	})
}

// The cost of counting a run, which is part of each request.
func BenchmarkRunBegan(b *testing.B) {
	clock := NewClock(time.Now, boottime.Elapsed)
	c := NewCounter(testWindows, clock.Now)
	names := make([]string, 88)
	for i := range names {
		names[i] = fmt.Sprint("account", i)
	}
	for i := 0; b.Loop(); i++ {
		c.RunBegan(names[i%len(names)], time.Now())
	}
}

// The cost of one message at the holder: 340 instances send one a second.
func BenchmarkCollectorAdd(b *testing.B) {
	now := testStart
	c := NewCollector(testWindows, now)
	m := &Message{Instance: "edge-1", Windows: []WindowCounts{{Window: testWindows.At(now), Counts: map[string]int64{}}}}
	for i := range 20 {
		m.Windows[0].Counts[fmt.Sprint("account", i)] = 1
	}
	for i := 0; b.Loop(); i++ {
		m.Instance = fmt.Sprint("edge-", i%340)
		c.Add(m, now)
	}
}
