package usage

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against copies without a bound, in their number, their sizes and all together, and against copies that stay after
// their windows were decided.
func TestCopiesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		h := w.processes[0].holder
		window := testWindows.At(time.Now())
		send := func(run int64, accounts int) {
			counts := make(map[string]int64, accounts)
			for i := range accounts {
				counts[fmt.Sprint("account-", i)] = 1
			}
			h.Add(&Message{Instance: "edge-2", Run: run, Copy: true, Windows: []WindowCounts{{Window: window, Counts: counts}}})
		}
		total := func() (n int) {
			for _, c := range h.copies {
				n += c.message.counts()
			}
			return n
		}

		send(1, maxCopiedAccounts+1)
		require.Empty(t, h.copies, "a copy that is too large")
		for run := range int64(2 * maxCopies) {
			send(run, 1)
		}
		require.Len(t, h.copies, maxCopies)
		for run := range int64(maxCopies) {
			send(run, maxCopiedAccounts)
		}
		require.LessOrEqual(t, total(), maxCopiedTotal)
		require.Greater(t, total(), maxCopiedTotal-maxCopiedAccounts)
		h.noteDecided(window)
		require.Empty(t, h.copiesFor("next"))
		require.Empty(t, h.copies)
	})
}
