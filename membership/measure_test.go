package membership_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/membership"
)

// measureAll runs the whole table of docs/membership.md: go test ./membership -run Measure -v -measure
var measureAll = flag.Bool("measure", false, "run the whole table of docs/membership.md")

const (
	perPool   = 10
	bad       = "a-00"
	warmUp    = 10 * time.Second
	observed  = 60 * time.Second
	listDelay = 5 * time.Second
	blipTime  = 3 * time.Second
)

// fleet is the truth about two pools of workers, and what the list says about them.
type fleet struct {
	mu      sync.Mutex
	event   string
	list    string
	eventAt time.Time
	view    *membership.View
	// lastWork is the time of the last attempt that was sent to the bad worker. A leaving worker has
	// refused it.
	lastWork time.Time
	attempts int
	probes   int
}

// condition is what happens to a worker now: "", "leaving", "dead" or "paused".
func (f *fleet) condition(id string) string {
	since := time.Since(f.eventAt)
	switch {
	case since < 0:
		return ""
	case f.event == "pool silent 3 s":
		if id[0] == 'a' && since < blipTime {
			return "paused"
		}
		return ""
	case id == bad:
		return f.event
	}
	return ""
}

// Instances implements external.InstanceList.
func (f *fleet) Instances(_ context.Context, after uint64) (external.InstanceSnapshot, error) {
	since := time.Since(f.eventAt)
	if f.list == "lagging 5 s" {
		since -= listDelay
	}
	instances := workers(perPool, "a", "b")
	if since < 0 {
		return news(snapshot(1, instances), after)
	}
	switch f.list {
	case "unreachable":
		return external.InstanceSnapshot{}, errors.New("instance list is down")
	case "empty":
		return news(snapshot(2, nil), after)
	case "wrong":
		// The bad worker stays live and two good ones are missing.
		return news(snapshot(2, slices.DeleteFunc(instances, func(in external.Instance) bool {
			return in.ID == "a-05" || in.ID == "b-05"
		})), after)
	}
	switch f.event {
	case "leaving":
		instances[0].State = external.InstanceLeaving
	case "dead":
		instances = instances[1:]
	}
	return news(snapshot(2, instances), after)
}

func news(s external.InstanceSnapshot, after uint64) (external.InstanceSnapshot, error) {
	if s.Version <= after {
		return snapshot(after, nil), nil
	}
	return s, nil
}

// Probe implements membership.Prober.
func (f *fleet) Probe(ctx context.Context, m membership.Member) (membership.ProbeResult, error) {
	f.mu.Lock()
	f.probes++
	f.mu.Unlock()
	switch f.condition(m.ID) {
	case "paused":
		<-ctx.Done()
		return membership.ProbeResult{}, ctx.Err()
	case "dead":
		return membership.ProbeResult{}, membership.ErrConnectionRefused
	case "leaving":
		return membership.ProbeResult{Incarnation: "1", Draining: true}, nil
	}
	return membership.ProbeResult{Incarnation: "1"}, nil
}

// attempt sends work to a worker and reports what came back, as an entry does.
func (f *fleet) attempt(m membership.Member) {
	started := time.Now()
	f.mu.Lock()
	f.attempts++
	if m.ID == bad && started.After(f.eventAt) {
		f.lastWork = started
	}
	f.mu.Unlock()
	e := membership.Evidence{ID: m.ID, Kind: membership.Answered, Address: m.Address, Incarnation: "1", Started: started}
	switch f.condition(m.ID) {
	case "paused":
		time.Sleep(membership.DefaultSettings().SilenceAfter)
		e.Kind, e.Incarnation = membership.Silent, ""
	case "dead":
		time.Sleep(time.Millisecond)
		e.Kind, e.Incarnation = membership.Refused, ""
	case "leaving":
		time.Sleep(time.Millisecond)
		e.Kind = membership.Draining
	default:
		time.Sleep(20 * time.Millisecond)
	}
	f.view.Observe(time.Now(), e)
}

// usableGood counts the workers that could serve and that may get work.
func (f *fleet) usableGood() (usable, good int) {
	for _, in := range workers(perPool, "a", "b") {
		if f.event != "pool silent 3 s" && f.condition(in.ID) != "" {
			continue
		}
		good++
		if m, ok := f.view.Snapshot().Member(in.ID); ok && m.Usable {
			usable++
		}
	}
	return usable, good
}

// result is one cell of the table.
type result struct {
	event     string
	noNewWork time.Duration
	// lostShare is the part of the good worker-seconds that got no work, lostMost the largest part at
	// any moment.
	lostShare, lostMost float64
	probes              int
}

func measure(t *testing.T, event, list string, perSecond float64, seed uint64) result {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{event: event, list: list, eventAt: time.Now().Add(warmUp), view: seededView(t, seed)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var wg sync.WaitGroup
	wg.Go(func() { membership.NewRunner(f.view, f, f, log).Run(ctx) })
	wg.Go(func() {
		rng := rand.New(rand.NewPCG(5, seed))
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			if candidates := f.view.Snapshot().Usable(service); len(candidates) > 0 && ctx.Err() == nil {
				m := candidates[rng.IntN(len(candidates))]
				wg.Go(func() { f.attempt(m) })
			}
		}
	})
	time.Sleep(warmUp)
	r := result{event: event}
	ticks := 0
	for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		usable, good := f.usableGood()
		lost := float64(good-usable) / float64(good)
		r.lostShare += lost
		r.lostMost = max(r.lostMost, lost)
		ticks++
	}
	cancel()
	wg.Wait()
	r.lostShare /= float64(ticks)
	r.probes = f.probes
	if f.lastWork.After(f.eventAt) {
		r.noNewWork = f.lastWork.Sub(f.eventAt)
	}
	return r
}

// Guards against new work for a leaving, dead or paused worker after 3 s (I7), and against good
// capacity that is taken away, for each condition of the list; prints docs/membership.md's figures.
func TestMeasureMembership(t *testing.T) {
	rates, seeds := []float64{100}, uint64(2)
	if *measureAll {
		rates, seeds = []float64{1, 10, 100}, 40
	}
	for _, perSecond := range rates {
		for _, event := range []string{"leaving", "dead", "paused", "pool silent 3 s"} {
			for _, list := range []string{"right", "lagging 5 s", "wrong", "empty", "unreachable"} {
				name := fmt.Sprintf("%3.0f attempts/s, %-15s, list %-11s", perSecond, event, list)
				var all []result
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) { all = append(all, measure(t, event, list, perSecond, seed)) })
				}
				for _, r := range all {
					require.LessOrEqual(t, r.lostMost, membership.DefaultSettings().MaxEjectedShare, name)
					if perSecond >= 100 && event != "pool silent 3 s" {
						require.Less(t, r.noNewWork, 3*time.Second, name)
						require.Zero(t, r.lostShare, name)
					}
				}
				t.Logf("%s: %s", name, summary(all))
			}
		}
	}
}

// summary gives the mean over the seeds, and the largest value.
func summary(all []result) string {
	var sum, most result
	for _, r := range all {
		sum.noNewWork += r.noNewWork
		sum.lostShare += r.lostShare
		sum.probes += r.probes
		most.noNewWork = max(most.noNewWork, r.noNewWork)
		most.lostMost = max(most.lostMost, r.lostMost)
	}
	n := float64(len(all))
	lost := fmt.Sprintf("good capacity without work %.2f%% (at most %.0f%%), %.0f probes",
		100*sum.lostShare/n, 100*most.lostMost, float64(sum.probes)/n)
	if all[0].event == "pool silent 3 s" {
		return lost
	}
	return fmt.Sprintf("last new work %.2f s (at most %.2f s), ", sum.noNewWork.Seconds()/n, most.noNewWork.Seconds()) + lost
}

func seededView(t *testing.T, seed uint64) *membership.View {
	v, err := membership.NewView(membership.DefaultSettings(), rand.New(rand.NewPCG(7, seed)))
	require.NoError(t, err)
	return v
}
