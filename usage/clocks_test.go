package usage

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against window clocks of all instances that are stepped although none is wrong, because messages were long on their
// way: a window then has runs of the next one.
func TestClocksIgnoreTheTimeOfMessages(t *testing.T) {
	// Longer than clockDisagreement, and answered within sendTimeout.
	const slow = sendTimeout - 50*time.Millisecond
	for name, latency := range map[string][2]time.Duration{"messages": {slow, 0}, "answers": {0, slow}} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3)
			w.processes[0].acquire()
			w.latency, w.answerLatency = latency[0], latency[1]
			for range 10 {
				for _, p := range w.processes {
					p.watch()
					p.run()
					p.send()
				}
				w.pass(time.Second)
			}
			for _, p := range w.processes {
				require.Zero(t, p.holder.cfg.Clock.Now().Sub(time.Now().Round(0)), "%s, slow %s", p.name, name)
			}
		})
	}
}

// Guards against a holder that does not step a wrong clock, or steps it more than once, and against instances that do not
// step theirs.
func TestClocksAgreeWithMost(t *testing.T) {
	for _, wrong := range []int{0, 1} { // the holder, another one
		for _, by := range []time.Duration{-3 * time.Second, 800 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4)
				w.processes[wrong].holder.cfg.Clock.Step(by)
				w.processes[0].acquire()
				for range 10 {
					for _, p := range w.processes {
						p.watch()
						p.run()
						p.send()
					}
					w.pass(time.Second)
				}
				for _, p := range w.processes {
					require.Zero(t, p.holder.cfg.Clock.Now().Sub(time.Now().Round(0)), "%s, %s wrong by %s", p.name, w.processes[wrong].name, by)
				}
			})
		}
	}
}
