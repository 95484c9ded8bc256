package usage

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/explore"
)

var (
	exploreDepth   = flag.Int("explore-depth", 3, "number of events of the histories of TestHandOversInEveryOrder that are all played")
	exploreTime    = flag.Duration("explore-time", 30*time.Second, "time limit of TestHandOversInEveryOrder")
	exploreHistory = flag.String("explore-history", "", "a history for TestHandOversInEveryOrder to play again, as a failure prints it")
	exploreDrawn   = flag.Int("explore-drawn", 300, "number of histories that TestHandOversInDrawnOrder plays")
	exploreSeed    = flag.Uint64("explore-seed", 1, "seed of TestHandOversInDrawnOrder")
)

// handOverWorld is a world in which instances take over the usage reports from each other. At its beginning edge-1 holds the
// lease, a window has just ended for which all have sent their counts, and the next one has runs that were not sent yet.
type handOverWorld struct {
	*world
	window int64
	// copy is the store as it was at the beginning of the last pass of time.
	copy worldStore
	// killed, restored and cut tell whether a process was killed, the store restored, or messages were lost. Windows may be
	// incomplete or left out then.
	killed, restored, cut bool
	// large offers events that only drawn histories have.
	large bool
}

// slowLatency is longer than clockDisagreement and shorter than sendTimeout.
const slowLatency = 650 * time.Millisecond

var handOverNames = []string{"edge-1", "edge-2", "edge-3"}

func newHandOverWorld(t *testing.T, large bool) *handOverWorld {
	w := &handOverWorld{world: newWorld(t, len(handOverNames)), large: large}
	time.Sleep(time.Until(testWindows.End(testWindows.At(time.Now()))))
	w.window = testWindows.At(time.Now())
	w.processes[0].acquire()
	w.tell()
	for _, p := range w.processes {
		p.run()
	}
	w.tell()
	// The holder has been waiting for longer than a new one has to.
	w.pass(time.Until(testWindows.End(w.window)))
	time.Sleep(finalDelay)
	w.tell()
	for _, p := range w.processes {
		p.run()
	}
	w.copy = w.store
	return w
}

// tell lets all processes see the store and send their counts.
func (w *handOverWorld) tell() {
	for _, p := range w.processes {
		if p.alive() {
			p.watch()
			p.send()
		}
	}
}

// Events implements explore.World.
func (w *handOverWorld) Events() []string {
	out := []string{"pass 1s", "pass 4s", "restore"}
	if w.store.held {
		out = append(out, "end lease")
	}
	for _, name := range handOverNames {
		p := w.byAddress[name]
		if p == nil {
			out = append(out, "start "+name)
			continue
		}
		out = append(out, "send "+name, "watch "+name, "kill "+name, "stop "+name)
		if !w.store.held && !p.authority.Valid() {
			out = append(out, "acquire "+name)
		}
		if w.large {
			out = append(out, "cut "+name, "lose answers "+name, "freeze "+name)
		}
	}
	if w.large {
		out = append(out, "platform answers lost", "slow messages")
	}
	return out
}

// Apply implements explore.World.
func (w *handOverWorld) Apply(event string) {
	verb, name, _ := strings.Cut(event, " ")
	p := w.byAddress[name]
	switch verb {
	case "pass":
		d, err := time.ParseDuration(name)
		require.NoError(w.t, err)
		before := w.store
		w.pass(d)
		w.copy = before
	case "restore":
		w.restored = true
		era := w.store.era
		w.store = w.copy
		w.store.era = era + 1
		if w.store.held && w.byAddress[w.store.holder.Holder] == nil {
			w.store.endsAt = time.Now().Add(worldTTL)
		}
	case "end":
		w.store.held = false
	case "start":
		w.start(name)
	case "send":
		p.send()
	case "watch":
		p.watch()
	case "kill":
		w.killed = true
		p.kill()
	case "stop":
		w.cut = !p.stop() || w.cut
	case "acquire":
		p.acquire()
	case "cut":
		w.cut = true
		p.unreachable = !p.unreachable
	case "lose":
		q := w.byAddress[strings.TrimPrefix(name, "answers ")]
		w.cut = true
		q.answerLost = !q.answerLost
	case "freeze":
		p.renewing = false
	case "platform":
		w.answersLost = !w.answersLost
	case "slow":
		w.latency = slowLatency - w.latency
	default:
		require.Fail(w.t, "unknown event", event)
	}
}

// State implements explore.World.
func (w *handOverWorld) State() string {
	var b strings.Builder
	store := func(s *worldStore) {
		rec := decodeWorldRecord(s.record)
		if rec != nil {
			fmt.Fprint(&b, rec.Window, rec.Era, rec.Counts)
		}
		fmt.Fprint(&b, " ", s.era, s.held, s.holder.Holder, s.fence, s.endsAt.UnixMilli(), ";")
	}
	fmt.Fprint(&b, time.Now().UnixMilli(), w.killed, w.restored, w.cut, w.answersLost, w.latency, ";")
	store(&w.store)
	store(&w.copy)
	for _, c := range w.calls {
		fmt.Fprint(&b, c.at.UnixMilli(), c.holder, c.window, c.counts, ";")
	}
	for _, name := range handOverNames {
		p := w.byAddress[name]
		if p == nil {
			b.WriteString("gone;")
			continue
		}
		store(&p.seen)
		p.counter.mu.Lock()
		for _, window := range slices.Sorted(mapKeys(p.counter.counts)) {
			own := p.counter.counts[window]
			fmt.Fprint(&b, window, own.counts, own.changed, ";")
		}
		p.counter.mu.Unlock()
		h := p.holder
		h.mu.Lock()
		fmt.Fprint(&b, p.unreachable, p.answerLost, p.renewing, h.fence, h.floor, h.prior.era, h.prior.seenAt.UnixMilli(), h.prior.completeEra, h.prior.uncertainThrough, h.prior.readUnder, h.loaded, h.reload, h.mayCallAt.UnixMilli(), h.reporter.last, h.reporter.pending != nil)
		if h.newest != nil {
			fmt.Fprint(&b, h.newest.Window, h.newest.Era)
		}
		var kept []string
		for from, c := range h.copies {
			kept = append(kept, fmt.Sprint(from, c.passedTo, c.message.Windows))
		}
		if h.collector != nil {
			for window, t := range h.collector.totals {
				for from, counts := range t.bySource {
					kept = append(kept, fmt.Sprint(window, from, counts))
				}
			}
			for name, m := range h.collector.members {
				kept = append(kept, fmt.Sprint(name, m.run, m.finalThrough))
			}
		}
		slices.Sort(kept)
		fmt.Fprint(&b, kept, p.sender.session, p.sender.finalSent, p.sender.told, ";")
		h.mu.Unlock()
	}
	return b.String()
}

func mapKeys[K comparable, V any](m map[K]V) func(func(K) bool) {
	return func(yield func(K) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Check implements explore.World. It lets all processes that are left go on undisturbed until both windows are due.
func (w *handOverWorld) Check() error {
	w.answersLost, w.latency = false, 0
	for time.Now().Before(testWindows.Due(w.window + 1)) {
		for _, name := range handOverNames {
			if p := w.byAddress[name]; p != nil {
				p.unreachable, p.answerLost = false, false
				p.acquire() // unless another one holds it
			}
		}
		w.pass(500 * time.Millisecond)
		w.tell()
	}
	for _, p := range w.byAddress {
		if d := p.holder.cfg.Clock.Now().Sub(time.Now().Round(0)); d != 0 {
			return fmt.Errorf("the window clock of %s is wrong by %s", p.name, d)
		}
	}
	switch {
	case w.violation != nil:
		return w.violation
	case w.killed || w.cut || len(w.byAddress) == 0:
		return nil
	}
	for _, window := range []int64{w.window, w.window + 1} {
		n, ok := w.reported(window)
		if ok && n != w.truth[window] && !w.late[window] {
			return fmt.Errorf("window %d: %d runs reported, %d began", window, n, w.truth[window])
		}
	}
	return nil
}

// Close implements explore.World.
func (*handOverWorld) Close() {}

func playHandOvers(t *testing.T, large bool) explore.Player {
	return func(f func(explore.World)) {
		synctest.Test(t, func(t *testing.T) { f(newHandOverWorld(t, large)) })
	}
}

// failedHandOvers are the histories that broke a promise once, with the cause.
var failedHandOvers = map[string]string{
	"restore; stop edge-2":                                                        "a holder that lost its lease discarded counts of instances that had stopped",
	"stop edge-1; acquire edge-2; stop edge-2":                                    "a new holder forgot the instances that the former one had named",
	"end lease; watch edge-2; stop edge-2":                                        "a copy that reached a holder whose lease had been ended was not passed on",
	"stop edge-1; start edge-1; acquire edge-1; stop edge-2; stop edge-3":         "counts for the session of an earlier process were taken by the next one at the address",
	"restore; end lease; acquire edge-3; pass 1s; restore; stop edge-1":           "an older copy of a run replaced a newer one",
	"pass 1s; restore; stop edge-1":                                               "the next holder built a window anew whose record the store had lost (review/11)",
	"stop edge-2; stop edge-1":                                                    "a holder that was stopped handed over only its own counts",
	"end lease; kill edge-2; acquire edge-3; pass 1s; restore; kill edge-1":       "a holder in its guard took the records that it had read for all, while the former one still recorded",
	"end lease; acquire edge-2; end lease; watch edge-2; acquire edge-2; pass 1s": "a holder that got the lease again left out the rest of its guard",
	"pass 4s; pass 4s; pass 1s; end lease":                                        "a former holder reported by the counts that it had while all others followed the new one",
}

// Guards against the orders of events that broke a promise once.
func TestHandOversThatFailed(t *testing.T) {
	for history, cause := range failedHandOvers {
		require.NoError(t, explore.Replay(playHandOvers(t, true), explore.Parse(history)), "%s: %s", history, cause)
	}
}

// Guards against two reports of a window with different counts, holders that act in turns, fences that come twice or fall, and
// counts that are lost without a kill, in every order of the events of a hand-over of the usage reports.
func TestHandOversInEveryOrder(t *testing.T) {
	if *exploreHistory != "" {
		require.NoError(t, explore.Replay(playHandOvers(t, true), explore.Parse(*exploreHistory)))
		return
	}
	r := explore.All(playHandOvers(t, false), *exploreDepth, *exploreTime)
	t.Log(r)
	if r.Failure != nil {
		require.NoError(t, r.Failure)
	}
}

// Guards against the same in longer histories, with lost messages, lost answers and suspended holders.
func TestHandOversInDrawnOrder(t *testing.T) {
	r := explore.Drawn(playHandOvers(t, true), *exploreDrawn, 14, rand.New(rand.NewPCG(*exploreSeed, 1)).IntN)
	t.Log(r)
	if r.Failure != nil {
		require.NoError(t, r.Failure)
	}
}
