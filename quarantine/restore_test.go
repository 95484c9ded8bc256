package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
)

// Guards against a quarantine that comes back, or ends, because the store has an older copy of its entry, and against
// instances that don't write again what the store has lost.
func TestEntriesOutlastARestore(t *testing.T) {
	first := func(n uint64) uint64 { return external.InEpoch(1, n) }
	second := func(n uint64) uint64 { return external.InEpoch(2, n) }
	held := Entry{Part: bad, Servers: []string{"i-1/1"}, By: "n1"}
	lifted := held
	lifted.Lifted = true
	t.Run("lifted, the store has it held", func(t *testing.T) {
		tr := New("n0", 1)
		tr.MergeEntry(held, first(5), start)
		tr.MergeEntry(lifted, first(9), start.Add(time.Second))
		tr.MergeEntry(held, second(5), start.Add(20*time.Second))
		require.False(t, blocked(tr, bad, start.Add(20*time.Second)))
		due, _ := tr.Writes(start.Add(20*time.Second + adoptDelay))
		require.Len(t, due, 1)
		require.True(t, due[0].Entry.Lifted)
		require.Equal(t, second(5), due[0].Expected)
	})
	t.Run("held, the store has an earlier term", func(t *testing.T) {
		tr, later := New("n0", 1), held
		later.Probes = 2
		tr.MergeEntry(later, first(9), start)
		tr.MergeEntry(held, second(5), start.Add(time.Second))
		require.True(t, blocked(tr, bad, start.Add(time.Second)))
		due, _ := tr.Writes(start.Add(time.Second + adoptDelay))
		require.Len(t, due, 1)
		require.Equal(t, 2, due[0].Entry.Probes)
	})
	t.Run("held, the store has lost it", func(t *testing.T) {
		tr := New("n0", 1)
		tr.MergeEntry(held, first(9), start)
		tr.KeepEntries(nil, start.Add(time.Second))
		require.True(t, blocked(tr, bad, start.Add(time.Second)))
		due, _ := tr.Writes(start.Add(time.Second + adoptDelay))
		require.Len(t, due, 1)
		require.Zero(t, due[0].Expected)
	})
	t.Run("the same", func(t *testing.T) {
		tr := New("n0", 1)
		tr.MergeEntry(held, first(9), start)
		tr.MergeEntry(held, second(9), start.Add(time.Second))
		due, next := tr.Writes(start.Add(time.Minute))
		require.Empty(t, due)
		require.Zero(t, next)
	})
	t.Run("decided after the restore", func(t *testing.T) {
		tr := New("n0", 1)
		tr.MergeEntry(lifted, first(9), start)
		tr.MergeEntry(held, second(10), start.Add(time.Second))
		require.True(t, blocked(tr, bad, start.Add(time.Second)))
	})
	t.Run("report", func(t *testing.T) {
		tr := New("n0", 1)
		record(tr, crash(1, "r", bad), start)
		_, version, _ := tr.Report(start)
		tr.ReportWritten(version)
		tr.BeginEpoch()
		r, _, changed := tr.Report(start.Add(time.Second))
		require.True(t, changed)
		require.Len(t, r.Crashes, 1)
	})
}
