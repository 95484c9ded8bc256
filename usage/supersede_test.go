package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a guard that is counted from the grant of a lease while the former holder, whose lease was ended without
// notice, still calls.
func TestGuardCountsFromTheEndOfTheFormerAuthority(t *testing.T) {
	for name, tc := range map[string]struct {
		// before is what happens to the former holder, 300 ms after the grant and 200 ms before it is told.
		before func(former *process)
		// after is how long after the grant its authority ends.
		after time.Duration
	}{
		"told":               {before: func(*process) {}, after: 500 * time.Millisecond},
		"seen in its watch":  {before: func(p *process) { p.watch() }, after: 300 * time.Millisecond},
		"killed":             {before: func(p *process) { p.kill() }},
		"out of reach":       {before: func(p *process) { p.unreachable = true }},
		"ended in the grant": {before: func(p *process) { p.authority.Supersede(p.w.store.fence) }, after: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 2)
				former, next := w.processes[0], w.processes[1]
				former.acquire()
				w.pass(worldGuard + time.Second) // its last read of the record
				next.watch()
				next.send()
				w.store.held = false
				next.acquire()
				granted := time.Now()
				w.pass(300 * time.Millisecond)
				tc.before(former)
				w.pass(200 * time.Millisecond)
				next.send()
				require.Equal(t, worldGuard+tc.after, next.holder.mayCallAt.Sub(granted))
				if tc.after > 0 {
					require.False(t, former.authority.Valid())
				}
			})
		})
	}
}

// Guards against a holder that is told late of an earlier lease, and gives up its own.
func TestLaterHoldersKeepTheirAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		p := w.processes[0]
		p.acquire()
		for _, fence := range []uint64{1, p.authority.Fence - 1} {
			p.holder.Add(&Message{Instance: "edge-2", NewFence: fence})
		}
		require.True(t, p.authority.Valid())
	})
}
