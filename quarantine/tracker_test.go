package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Parts of the tests.
var (
	common = Part{1, "common"}
	bad    = Part{2, "bad"}
	rare   = Part{3, "rare"}
)

func crash(server int, request string, parts ...Part) Crash {
	return Crash{Server: fmt.Sprintf("i-%d/1", server), Request: request, Parts: parts}
}

func record(t *Tracker, c Crash, now time.Time) { t.RecordCrashes([]Crash{c}, now) }

func ids(parts ...Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = p.ID
	}
	return out
}

func blocked(t *Tracker, p Part, now time.Time) bool { return t.Check(ids(p), now).Blocked }

// Guards against parts that are quarantined on too little, or never.
func TestWhatIsQuarantined(t *testing.T) {
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	for name, tc := range map[string]struct {
		play       func(tr *Tracker)
		bad, other bool
	}{
		"three servers under one part": {func(tr *Tracker) {
			tr.Answered(ids(common), start)
			for i := range 3 {
				record(tr, crash(i, fmt.Sprint("r", i), common, bad), second(i))
			}
		}, true, false},
		"two servers": {func(tr *Tracker) {
			for i := range 2 {
				record(tr, crash(i, fmt.Sprint("r", i), bad), second(i))
			}
		}, false, false},
		"one request on three servers": {func(tr *Tracker) {
			for i := range 3 {
				record(tr, crash(i, "r", bad), second(i))
			}
		}, false, false},
		"three requests on one server": {func(tr *Tracker) {
			for i := range 3 {
				record(tr, crash(1, fmt.Sprint("r", i), bad), start)
			}
		}, false, false},
		"answered between the crashes": {func(tr *Tracker) {
			for i := range 5 {
				record(tr, crash(i, fmt.Sprint("r", i), bad), second(i))
				if i == 1 || i == 3 {
					tr.Answered(ids(bad), second(i))
				}
			}
		}, false, false},
		"answered shortly before the crashes": {func(tr *Tracker) {
			tr.Answered(ids(common), start)
			for i := range 6 {
				record(tr, crash(i, fmt.Sprint("r", i), common), second(1))
			}
		}, false, false},
		"answered long before, four servers": {func(tr *Tracker) {
			tr.Answered(ids(bad), start)
			for i := range 4 {
				record(tr, crash(i, fmt.Sprint("r", i), bad), second(20+i))
			}
		}, false, false},
		"answered long before, five servers": {func(tr *Tracker) {
			tr.Answered(ids(bad), start)
			for i := range 5 {
				record(tr, crash(i, fmt.Sprint("r", i), bad), second(20+i))
			}
		}, true, false},
		"crashes long ago": {func(tr *Tracker) {
			for i := range 3 {
				record(tr, crash(i, fmt.Sprint("r", i), bad), second(i*100))
			}
		}, false, false},
		"a part of all requests, nothing answered yet": {func(tr *Tracker) {
			for i := range 3 {
				record(tr, crash(i, fmt.Sprint("r", i), common, bad), second(i))
				record(tr, crash(i, fmt.Sprint("s", i), common), second(i))
			}
		}, true, false},
		"the common part on further servers": {func(tr *Tracker) {
			for i := range 6 {
				record(tr, crash(i, fmt.Sprint("r", i), common, bad), second(i))
				record(tr, crash(i, fmt.Sprint("s", i), common), second(i))
			}
		}, true, false},
		"one of two servers that crash together, five times": {func(tr *Tracker) {
			for i := range 5 {
				c := crash(i, fmt.Sprint("r", i), bad)
				c.Beside = []string{fmt.Sprintf("i-%d/1", 100+i)}
				record(tr, c, second(i))
			}
		}, false, false},
		"both servers that crash together, three times": {func(tr *Tracker) {
			for i := range 6 {
				c := crash(i, fmt.Sprint("r", i), bad)
				c.Beside = []string{fmt.Sprintf("i-%d/1", i^1)}
				record(tr, c, second(i/2))
			}
		}, true, false},
		"many servers that crash together, ten times": {func(tr *Tracker) {
			for i := range 10 {
				var beside []string
				for n := range maxTogether {
					beside = append(beside, fmt.Sprintf("i-%d/1", 100*(i+1)+n))
				}
				for n := range maxTogether {
					c := crash(100*(i+1)+n, fmt.Sprint("r", i, n), bad)
					c.Beside = beside
					record(tr, c, second(i))
				}
			}
		}, false, false},
		"servers that crash together, twice": {func(tr *Tracker) {
			for i := range 8 {
				c := crash(i, fmt.Sprint("r", i), bad)
				c.Beside = []string{"i-0/1", "i-1/1", "i-2/1", "i-3/1"}
				if i >= 4 {
					c.Beside = []string{"i-4/1", "i-5/1", "i-6/1", "i-7/1"}
				}
				record(tr, c, second(i/4))
			}
		}, false, false},
		"servers that crash together as two instances see it": {func(tr *Tracker) {
			for i, beside := range [][]string{{"i-1/1"}, {"i-0/1"}, {"i-3/1"}, {"i-2/1"}} {
				c := crash(i, fmt.Sprint("r", i), bad)
				c.Beside = beside
				record(tr, c, second(1))
			}
			c := crash(1, "other", rare)
			c.Beside = []string{"i-2/1"}
			tr.MergeReport("b", &Report{Session: 2, Crashes: []Crash{c}}, false, second(1))
			c.Sequence, c.Beside = 1, []string{"i-2/1"}
			tr.MergeReport("b", &Report{Session: 2, Crashes: []Crash{c}}, false, second(1))
			record(tr, crash(9, "r9", bad), second(2))
		}, false, false},
		"only requests with both parts": {func(tr *Tracker) {
			for i := range 3 {
				record(tr, crash(i, fmt.Sprint("r", i), common, bad), second(i))
			}
		}, true, false},
		"another part crashes other servers": {func(tr *Tracker) {
			for i := range 3 {
				record(tr, crash(i, fmt.Sprint("r", i), bad), second(i))
				record(tr, crash(10+i, fmt.Sprint("s", i), common), second(i))
			}
		}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			tr := New("a", 1)
			tc.play(tr)
			now := second(205)
			for _, e := range tr.entries {
				now = e.until.Add(-time.Second)
			}
			require.Equal(t, tc.bad, blocked(tr, bad, now))
			require.Equal(t, tc.other, blocked(tr, common, now))
			require.False(t, blocked(tr, rare, now))
		})
	}
}

func quarantined(t *testing.T) *Tracker {
	tr := New("a", 1)
	for i := range 3 {
		record(tr, crash(i, fmt.Sprint("r", i), bad), start)
	}
	require.True(t, blocked(tr, bad, start))
	return tr
}

// Guards against a quarantine that never ends, or that lets several requests through at its end.
func TestTermsAndProbes(t *testing.T) {
	tr := quarantined(t)
	writes, _ := tr.Writes(start)
	require.Len(t, writes, 1)
	tr.Written(&writes[0], 5)
	require.Equal(t, firstTerm-time.Second, tr.Check(ids(bad), start.Add(time.Second)).RetryAfter)
	_, ok := tr.ProbeWrite(bad.ID, start.Add(time.Second))
	require.False(t, ok, "within the term")

	now := start.Add(firstTerm)
	require.Equal(t, []Part{bad}, tr.Check(ids(bad), now).Due)
	w, ok := tr.ProbeWrite(bad.ID, now)
	require.True(t, ok)
	require.Equal(t, uint64(5), w.Expected)
	_, ok = tr.ProbeWrite(bad.ID, now)
	require.False(t, ok, "another request is about to become the probe")
	tr.MergeEntry(w.Entry, 6, now)
	require.Empty(t, tr.Check(ids(bad), now).Due)
	require.Equal(t, 2*firstTerm, tr.Check(ids(bad), now).RetryAfter)

	record(tr, crash(9, "probe", bad), now)
	require.True(t, blocked(tr, bad, now.Add(2*firstTerm-time.Second)))
	now = now.Add(2 * firstTerm)
	w, ok = tr.ProbeWrite(bad.ID, now)
	require.True(t, ok)
	tr.MergeEntry(w.Entry, 7, now)
	tr.Answered(ids(bad), now)
	require.False(t, blocked(tr, bad, now))
	writes, _ = tr.Writes(now)
	require.Len(t, writes, 1)
	require.True(t, writes[0].Entry.Lifted)

	tr = quarantined(t)
	tr.Expire(start.Add(firstTerm + linger + time.Second))
	require.False(t, tr.Active())
	require.False(t, blocked(tr, bad, start.Add(firstTerm+linger+time.Second)))
	require.LessOrEqual(t, (&Entry{Probes: 1000}).Lifetime(), 10*time.Minute, "the store's longest lease")
}

// Guards against requests with two quarantined parts that are never a probe, or are one within a term.
func TestProbesOfSeveralParts(t *testing.T) {
	tr := quarantined(t)
	for i := range 3 {
		record(tr, crash(20+i, fmt.Sprint("q", i), rare), start.Add(time.Second))
	}
	now := start.Add(firstTerm)
	require.Equal(t, []Part{bad}, tr.Check(ids(bad), now).Due)
	v := tr.Check(ids(bad, rare), now)
	require.True(t, v.Blocked)
	require.Empty(t, v.Due)
	require.Equal(t, []Part{bad, rare}, tr.Check(ids(bad, rare), now.Add(time.Second)).Due)
}

// Guards against instances that learn of a quarantine, its terms and its end late, or not at all.
func TestInstancesShareEntries(t *testing.T) {
	a := quarantined(t)
	w, _ := a.Writes(start)
	b, later := New("b", 2), start.Add(time.Second)
	b.MergeEntry(w[0].Entry, 5, later)
	require.True(t, blocked(b, bad, later))

	t.Run("an older revision changes nothing", func(t *testing.T) {
		lifted := w[0].Entry
		lifted.Lifted = true
		b.MergeEntry(lifted, 4, later)
		require.True(t, blocked(b, bad, later))
	})
	t.Run("an entry that lapses within its term is written again", func(t *testing.T) {
		b.RemoveEntry(bad.ID, later)
		require.True(t, blocked(b, bad, later))
		due, next := b.Writes(later)
		require.Empty(t, due)
		due, _ = b.Writes(next)
		require.Len(t, due, 1)
		require.Zero(t, due[0].Expected)
		b.Written(&due[0], 6)
	})
	t.Run("a list without it is the same", func(t *testing.T) {
		b.KeepEntries(map[uint64]bool{bad.ID: true}, later)
		due, _ := b.Writes(later.Add(time.Hour))
		require.Empty(t, due)
		b.KeepEntries(nil, later)
		due, _ = b.Writes(later.Add(adoptDelay))
		require.Len(t, due, 1)
		b.Written(&due[0], 7)
	})
	t.Run("an answer elsewhere lifts it", func(t *testing.T) {
		lifted := w[0].Entry
		lifted.Lifted = true
		b.MergeEntry(lifted, 8, later)
		require.False(t, blocked(b, bad, later))
		b.RemoveEntry(bad.ID, later)
		require.False(t, b.Active())
	})
	t.Run("an instance that has answered the part lifts it", func(t *testing.T) {
		c := New("c", 3)
		c.Answered(ids(bad), later)
		c.MergeEntry(w[0].Entry, 5, later)
		require.False(t, blocked(c, bad, later))
		due, _ := c.Writes(later)
		require.True(t, due[0].Entry.Lifted)
		require.Equal(t, uint64(5), due[0].Expected)
	})
	t.Run("a part is quarantined again after it was lifted", func(t *testing.T) {
		b.MergeEntry(Entry{Part: bad, Lifted: true}, 9, later)
		for i := range 3 {
			record(b, crash(30+i, fmt.Sprint("x", i), bad), later)
		}
		require.True(t, blocked(b, bad, later))
		due, _ := b.Writes(later)
		require.Equal(t, uint64(9), due[0].Expected)
	})
}

// Guards against crashes that instances saw apart not being counted together, or counted twice.
func TestInstancesShareReports(t *testing.T) {
	var reports []Report
	for i := range 3 {
		tr := New(fmt.Sprint("n", i), 1)
		record(tr, crash(i, fmt.Sprint("r", i), bad), start)
		r, sequence, changed := tr.Report(start)
		require.True(t, changed)
		tr.ReportWritten(sequence)
		_, _, changed = tr.Report(start)
		require.False(t, changed)
		reports = append(reports, r)
	}
	tr := New("z", 1)
	for range 4 {
		tr.MergeReport("n0", &reports[0], false, start)
		tr.MergeReport("n1", &reports[1], false, start)
	}
	require.False(t, blocked(tr, bad, start))
	tr.MergeReport("n2", &reports[2], false, start)
	require.True(t, blocked(tr, bad, start))
	due, next := tr.Writes(start)
	require.Empty(t, due, "those that saw the crashes write the entry")
	due, _ = tr.Writes(next)
	require.Len(t, due, 1)

	tr = New("y", 1)
	tr.MergeReport("n0", &reports[0], false, start)
	tr.Answered(ids(bad), start.Add(time.Second))
	tr.MergeReport("n0", &reports[0], false, start.Add(time.Minute))
	require.Empty(t, tr.suspects, "a crash before the answer")

	other := New("n0", 2)
	other.MergeReport("n0", &reports[0], false, start)
	require.Len(t, other.suspects, 1, "the report of the last run counts")
	tr = New("n0", 1)
	tr.MergeReport("n0", &reports[0], false, start)
	require.Empty(t, tr.suspects, "its own report")

	tr = New("n0", 1)
	record(tr, crash(1, "r", bad, rare), start)
	tr.Answered(ids(rare), start.Add(time.Second))
	r, _, _ := tr.Report(start.Add(time.Second))
	require.Equal(t, []Part{bad}, r.Crashes[0].Parts, "an answered part is no longer reported")
	r, _, _ = tr.Report(start.Add(2 * evidenceLifetime))
	require.Empty(t, r.Crashes)
}

// Guards against memory that grows with crashes, parts or instances.
func TestMemoryIsBounded(t *testing.T) {
	tr := New("a", 1)
	for i := range 5000 {
		p := Part{uint64(100 + i), strings.Repeat("n", 500)}
		record(tr, crash(i, "r", p), start)
		tr.MergeReport(fmt.Sprint("n", i), &Report{Session: 1, Crashes: []Crash{{Sequence: 1, Server: "s", Request: "r", Parts: []Part{p}}}}, false, start)
		tr.Answered([]uint64{uint64(1 << 40 * (i + 1))}, start)
	}
	for i := range 200 {
		tr.MergeEntry(Entry{Part: Part{uint64(1_000_000 + i), "x"}}, 1, start)
	}
	r, _, _ := tr.Report(start)
	require.NoError(t, r.Validate())
	require.LessOrEqual(t, len(tr.suspects), maxSuspects)
	require.LessOrEqual(t, len(tr.entries), maxEntries)
	require.LessOrEqual(t, len(tr.merged), maxReporters)
	require.LessOrEqual(t, len(tr.answered)+len(tr.answeredBefore), 2*answeredGenerationSize)
	require.LessOrEqual(t, len(tr.Events()), maxEvents)
	many := make([]Part, maxPartsPerCrash)
	for i := range many {
		many[i] = Part{uint64(5_000_000 + i), "m"}
	}
	for i := range 20 {
		record(tr, crash(i, "r", many...), start)
	}
	r, _, _ = tr.Report(start)
	require.Len(t, r.Crashes, maxPartsReported/maxPartsPerCrash)
	long := crash(1, strings.Repeat("r", 1000), many...)
	record(tr, long, start)
	r, _, _ = tr.Report(start)
	require.NoError(t, r.Validate())
	tr = quarantined(t)
	for i := range 100 {
		record(tr, crash(i, "r", bad), start)
	}
	due, _ := tr.Writes(start)
	require.NoError(t, due[0].Entry.Validate())
	// A part with several crashes is not dropped for new ones.
	tr = New("a", 1)
	record(tr, crash(1, "r1", bad), start)
	record(tr, crash(2, "r2", bad), start)
	for i := range 1000 {
		record(tr, crash(3, "r", Part{uint64(100 + i), "x"}), start.Add(time.Second))
	}
	record(tr, crash(4, "r3", bad), start.Add(2*time.Second))
	require.True(t, blocked(tr, bad, start.Add(2*time.Second)))
}

// Guards against records of other instances that are too large.
func TestRecordsAreValidated(t *testing.T) {
	long := strings.Repeat("x", 1000)
	for name, r := range map[string]Report{
		"crashes":      {Crashes: make([]Crash, maxCrashesReported+1)},
		"parts":        {Crashes: []Crash{{Parts: make([]Part, maxPartsPerCrash+1)}}},
		"server":       {Crashes: []Crash{{Server: long}}},
		"request":      {Crashes: []Crash{{Request: long}}},
		"name of part": {Crashes: []Crash{{Parts: []Part{{1, long}}}}},
	} {
		require.ErrorIs(t, r.Validate(), ErrInvalid, name)
	}
	for name, e := range map[string]Entry{
		"probes": {Probes: -1}, "name": {Part: Part{1, long}}, "servers": {Servers: make([]string, maxServersPerPart+1)}, "server": {Servers: []string{long}},
	} {
		require.ErrorIs(t, e.Validate(), ErrInvalid, name)
	}
}

// Guards against an instance that starts and quarantines a part by reports from before, of crashes that answers have long
// acquitted elsewhere. They count together with a crash that comes later.
func TestEarlierReportsAreNoEvidenceAlone(t *testing.T) {
	reports := make([]Report, 4)
	for i := range reports {
		reports[i] = Report{Session: 1, Crashes: []Crash{{Sequence: 1, Server: fmt.Sprintf("i-%d/1", i), Request: fmt.Sprint("r", i), Parts: []Part{common, bad}}}}
	}
	started := func() *Tracker {
		tr := New("z", 1)
		for i := range reports {
			tr.MergeReport(fmt.Sprint("n", i), &reports[i], true, start)
		}
		return tr
	}
	tr := started()
	require.False(t, blocked(tr, common, start))
	require.False(t, blocked(tr, bad, start))
	tr.Answered(ids(common), start.Add(time.Second))
	later := Report{Session: 1, Crashes: []Crash{{Sequence: 1, Server: "i-9/1", Request: "r9", Parts: []Part{common, bad}}}}
	tr.MergeReport("n9", &later, false, start.Add(2*time.Second))
	require.True(t, blocked(tr, bad, start.Add(2*time.Second)), "with a crash that came later")
	require.False(t, blocked(tr, common, start.Add(2*time.Second)))

	tr = started()
	record(tr, crash(9, "r9", bad), start.Add(time.Second))
	require.True(t, blocked(tr, bad, start.Add(time.Second)), "with a crash seen here")

	tr = started()
	tr.Answered(ids(common, bad), start.Add(time.Second))
	record(tr, crash(9, "r9", bad), start.Add(time.Minute))
	require.False(t, blocked(tr, bad, start.Add(time.Minute)), "answered meanwhile")
}

// Guards against a report that goes on accusing a part that was answered, and against a change that is lost because the
// report was being written.
func TestAnsweredPartsLeaveTheReport(t *testing.T) {
	tr := New("n0", 1)
	record(tr, crash(1, "r", bad, rare), start)
	r, first, changed := tr.Report(start)
	require.True(t, changed)
	require.Len(t, r.Crashes[0].Parts, 2)
	tr.Answered(ids(rare, common), start.Add(time.Second))
	tr.ReportWritten(first)
	r, second, changed := tr.Report(start.Add(time.Second))
	require.True(t, changed)
	require.Equal(t, []Part{bad}, r.Crashes[0].Parts)
	tr.ReportWritten(second)
	tr.Answered(ids(rare, common), start.Add(2*time.Second))
	_, _, changed = tr.Report(start.Add(2 * time.Second))
	require.False(t, changed, "it is written once")
	tr.Answered(ids(bad), start.Add(3*time.Second))
	r, _, changed = tr.Report(start.Add(3 * time.Second))
	require.True(t, changed)
	require.Empty(t, r.Crashes)
}
