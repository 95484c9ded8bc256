package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetPlay plays instances that share reports and entries with a delay, backend servers that crash under
// one part and now and then for other reasons, and requests.
type fleetPlay struct {
	rnd       *rand.Rand
	instances []*Tracker
	// upAt is when a backend server is up again; lives counts its runs.
	upAt    []time.Time
	lives   []int
	running [][]playedRequest
	// shared holds what is on its way to all instances.
	shared   []delivery
	entries  map[uint64]Write
	revision uint64
}

type playedRequest struct {
	instance int
	id       string
	parts    []Part
	endsAt   time.Time
}

type delivery struct {
	at    time.Time
	apply func(t *Tracker, now time.Time)
}

const (
	shareDelay   = 700 * time.Millisecond
	playTick     = 20 * time.Millisecond
	serverAway   = 4 * time.Second
	contactBound = 3 * time.Second
)

// crashServers crashes servers at the same moment. Each instance sees those that had its requests.
func (f *fleetPlay) crashServers(now time.Time, servers ...int) {
	seen := make(map[int][]string)
	name := func(s int) string { return fmt.Sprintf("i-%d/%d", s, f.lives[s]) }
	for _, s := range servers {
		for _, r := range f.running[s] {
			if !slices.Contains(seen[r.instance], name(s)) {
				seen[r.instance] = append(seen[r.instance], name(s))
			}
		}
	}
	for _, s := range servers {
		for _, r := range f.running[s] {
			record(f.instances[r.instance], Crash{Server: name(s), Request: r.id, Parts: r.parts, Beside: seen[r.instance]}, now)
		}
	}
	for _, s := range servers {
		f.running[s], f.upAt[s] = nil, now.Add(serverAway)
		f.lives[s]++
	}
}

// share writes what instances have to share and delivers what others wrote.
func (f *fleetPlay) share(now time.Time) {
	for i, t := range f.instances {
		if r, sequence, changed := t.Report(now); changed {
			t.ReportWritten(sequence)
			f.shared = append(f.shared, delivery{now.Add(shareDelay), func(t *Tracker, now time.Time) { t.MergeReport(fmt.Sprint("n", i), &r, false, now) }})
		}
		due, _ := t.Writes(now)
		for _, w := range due {
			if old := f.entries[w.Entry.ID]; old.Expected != w.Expected {
				t.MergeEntry(old.Entry, old.Expected, now)
				continue
			}
			f.revision++
			revision := f.revision
			f.entries[w.Entry.ID] = Write{w.Entry, revision}
			t.Written(&w, revision)
			f.shared = append(f.shared, delivery{now.Add(shareDelay), func(t *Tracker, now time.Time) { t.MergeEntry(w.Entry, revision, now) }})
		}
	}
	for len(f.shared) > 0 && !now.Before(f.shared[0].at) {
		for _, t := range f.instances {
			f.shared[0].apply(t, now)
		}
		f.shared = f.shared[1:]
	}
}

// Guards against fleets in which a crashing part goes on after the bound, or sound parts are refused.
func TestFleetsQuarantineOnlyTheCrashingPart(t *testing.T) {
	for _, instances := range []int{1, 4, 30, 100} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d instances, seed %d", instances, seed), func(t *testing.T) {
				playFleet(t, instances, seed)
			})
		}
	}
}

func playFleet(t *testing.T, instances int, seed uint64) {
	servers := 4 + instances/2
	f := &fleetPlay{
		rnd: rand.New(rand.NewPCG(seed, uint64(instances))), upAt: make([]time.Time, servers), lives: make([]int, servers),
		running: make([][]playedRequest, servers), entries: make(map[uint64]Write),
	}
	for i := range instances {
		f.instances = append(f.instances, New(fmt.Sprint("n", i), uint64(i)))
	}
	var crashes []time.Time
	badAfterBound, soundRefused, sound := 0, 0, 0
	for tick := range 3000 {
		now := start.Add(time.Duration(tick) * playTick)
		for s := range servers {
			kept := f.running[s][:0]
			crashed := false
			for _, r := range f.running[s] {
				switch {
				case now.Before(r.endsAt):
					kept = append(kept, r)
				case r.parts[1] == bad:
					crashed = true
					kept = append(kept, r)
				default:
					f.instances[r.instance].Answered(ids(r.parts...), now)
				}
			}
			f.running[s] = kept
			if crashed || f.rnd.IntN(2000) == 0 {
				if crashed {
					crashes = append(crashes, now)
				}
				f.crashServers(now, s)
			}
		}
		if tick%400 == 200 {
			f.crashServers(now, f.rnd.Perm(servers)[:max(1, servers/2)]...)
		}
		for range 2 + instances/2 {
			f.send(tick, now, &badAfterBound, &soundRefused, &sound, crashes)
		}
		f.share(now)
	}
	require.LessOrEqual(t, badAfterBound, 3, "sent later than the bound after the fifth crash")
	require.NotEmpty(t, crashes)
	require.Less(t, float64(soundRefused), 0.02*float64(sound))
	for _, tr := range f.instances {
		require.False(t, blocked(tr, Part{ID: 1000}, start.Add(3000*playTick)), "the most common part")
	}
}

// send sends one request, one in twelve with the crashing part.
func (f *fleetPlay) send(tick int, now time.Time, badAfterBound, soundRefused, sound *int, crashes []time.Time) {
	s, i := f.rnd.IntN(len(f.upAt)), f.rnd.IntN(len(f.instances))
	parts := []Part{{uint64(1000 + f.rnd.IntN(3)), "first"}, {uint64(2000 + f.rnd.IntN(150)), "middle"}}
	if tick > 250 && f.rnd.IntN(12) == 0 {
		parts[1] = bad
	} else {
		*sound++
	}
	v := f.instances[i].Check(ids(parts...), now)
	if len(v.Due) > 0 {
		w, ok := f.instances[i].ProbeWrite(v.Part.ID, now)
		if old := f.entries[v.Part.ID]; ok && old.Expected == w.Expected {
			f.revision++
			f.entries[v.Part.ID] = Write{w.Entry, f.revision}
			revision := f.revision
			f.instances[i].MergeEntry(w.Entry, revision, now)
			f.shared = append(f.shared, delivery{now.Add(shareDelay), func(t *Tracker, now time.Time) { t.MergeEntry(w.Entry, revision, now) }})
			v.Blocked = false
		}
	}
	switch {
	case v.Blocked && parts[1] != bad:
		*soundRefused++
		return
	case v.Blocked || now.Before(f.upAt[s]):
		return
	}
	if parts[1] == bad && len(crashes) >= 5 && now.Sub(crashes[4]) > contactBound {
		*badAfterBound++
	}
	f.running[s] = append(f.running[s], playedRequest{i, fmt.Sprint("r", tick, "-", f.rnd.Uint64()), parts, now.Add(time.Duration(20+f.rnd.IntN(100)) * time.Millisecond)})
}
