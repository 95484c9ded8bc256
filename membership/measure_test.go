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

// measureAll measures the whole table of docs/membership.md:
//
//	go test ./membership -run Measure -v -measure
var measureAll = flag.Bool("measure", false, "run the whole table of docs/membership.md")

const (
	workersPerPool = 10
	faultyWorker   = "a-00"
	warmUp         = 10 * time.Second
	measureTime    = 60 * time.Second
	listLag        = 5 * time.Second
	pauseTime      = 3 * time.Second
)

// simulation models two pools of workers, and the instance list that describes them.
type simulation struct {
	mu sync.Mutex
	// event is what happens at eventAt. "leaving", "dead" and "paused" are conditions of the faulty
	// worker; during "pool silent 3 s" all workers of its pool are paused for pauseTime.
	event string
	// listCondition is how the list shows the event: "right", "lagging 5 s", "wrong", "empty" or
	// "unreachable".
	listCondition string
	eventAt       time.Time
	view          *membership.View
	// lastWork is the time at which the last attempt after the event was sent to the faulty worker. A
	// leaving worker refuses such attempts.
	lastWork time.Time
	attempts int
	probes   int
}

// condition returns the present condition of a worker: "" (healthy), "leaving", "dead" or "paused".
func (s *simulation) condition(id string) string {
	since := time.Since(s.eventAt)
	switch {
	case since < 0:
		return ""
	case s.event == "pool silent 3 s":
		if id[0] == 'a' && since < pauseTime {
			return "paused"
		}
		return ""
	case id == faultyWorker:
		return s.event
	}
	return ""
}

// Instances implements external.InstanceList.
func (s *simulation) Instances(_ context.Context, after uint64) (external.InstanceSnapshot, error) {
	since := time.Since(s.eventAt)
	if s.listCondition == "lagging 5 s" {
		since -= listLag
	}
	instances := workers(workersPerPool, "a", "b")
	if since < 0 {
		return newerThan(snapshot(1, instances), after)
	}
	switch s.listCondition {
	case "unreachable":
		return external.InstanceSnapshot{}, errors.New("instance list is down")
	case "empty":
		return newerThan(snapshot(2, nil), after)
	case "wrong":
		// The faulty worker stays live in the list and two healthy ones are missing.
		return newerThan(snapshot(2, slices.DeleteFunc(instances, func(in external.Instance) bool {
			return in.ID == "a-05" || in.ID == "b-05"
		})), after)
	}
	switch s.event {
	case "leaving":
		instances[0].State = external.InstanceLeaving
	case "dead":
		instances = instances[1:]
	}
	return newerThan(snapshot(2, instances), after)
}

// newerThan returns s, or an empty list of version after if s is not newer: the list service answers
// a request for later versions this way.
func newerThan(s external.InstanceSnapshot, after uint64) (external.InstanceSnapshot, error) {
	if s.Version <= after {
		return snapshot(after, nil), nil
	}
	return s, nil
}

// Probe implements membership.Prober.
func (s *simulation) Probe(ctx context.Context, m membership.Member) (membership.ProbeResult, error) {
	s.mu.Lock()
	s.probes++
	s.mu.Unlock()
	switch s.condition(m.ID) {
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

// attempt sends work to a worker and reports the outcome to the view, as an entry does.
func (s *simulation) attempt(m membership.Member) {
	started := time.Now()
	s.mu.Lock()
	s.attempts++
	if m.ID == faultyWorker && started.After(s.eventAt) {
		s.lastWork = started
	}
	s.mu.Unlock()
	e := membership.Evidence{ID: m.ID, Kind: membership.Answered, Address: m.Address, Incarnation: "1", Started: started}
	switch s.condition(m.ID) {
	case "paused":
		time.Sleep(membership.DefaultSettings().ResponseTimeout)
		e.Kind, e.Incarnation = membership.TimedOut, ""
	case "dead":
		time.Sleep(time.Millisecond)
		e.Kind, e.Incarnation = membership.ConnectionRefused, ""
	case "leaving":
		time.Sleep(time.Millisecond)
		e.Kind = membership.Draining
	default:
		time.Sleep(20 * time.Millisecond)
	}
	s.view.Observe(time.Now(), e)
}

// countUsable returns the number of healthy workers that may get work, and that of all healthy workers.
// During "pool silent 3 s" all workers count as healthy.
func (s *simulation) countUsable() (usable, healthy int) {
	for _, in := range workers(workersPerPool, "a", "b") {
		if s.event != "pool silent 3 s" && s.condition(in.ID) != "" {
			continue
		}
		healthy++
		if m, ok := s.view.Snapshot().Member(in.ID); ok && m.Usable {
			usable++
		}
	}
	return usable, healthy
}

// result holds the figures of one run.
type result struct {
	event string
	// lastWorkDelay is the time from the event to the last attempt that was sent to the faulty worker.
	lastWorkDelay time.Duration
	// lostFraction is the fraction of the healthy worker-seconds that got no work, lostMax the largest
	// such fraction at any moment.
	lostFraction, lostMax float64
	probes                int
}

// measure runs the workers, the list and the load for one event, and returns the figures.
func measure(t *testing.T, event, listCondition string, attemptsPerSecond float64, seed uint64) result {
	ctx, cancel := context.WithCancel(t.Context())
	s := &simulation{event: event, listCondition: listCondition, eventAt: time.Now().Add(warmUp), view: seededView(t, seed)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var wg sync.WaitGroup
	wg.Go(func() { membership.NewRunner(s.view, s, s, log).Run(ctx) })
	wg.Go(func() {
		rng := rand.New(rand.NewPCG(5, seed))
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rng.ExpFloat64() / attemptsPerSecond * float64(time.Second)))
			if candidates := s.view.Snapshot().Usable(service); len(candidates) > 0 && ctx.Err() == nil {
				m := candidates[rng.IntN(len(candidates))]
				wg.Go(func() { s.attempt(m) })
			}
		}
	})
	time.Sleep(warmUp)
	r := result{event: event}
	ticks := 0
	for end := time.Now().Add(measureTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		usable, healthy := s.countUsable()
		lost := float64(healthy-usable) / float64(healthy)
		r.lostFraction += lost
		r.lostMax = max(r.lostMax, lost)
		ticks++
	}
	cancel()
	wg.Wait()
	r.lostFraction /= float64(ticks)
	r.probes = s.probes
	if s.lastWork.After(s.eventAt) {
		r.lastWorkDelay = s.lastWork.Sub(s.eventAt)
	}
	return r
}

// Guards against new work for a leaving, dead or paused worker after 3 s, and against healthy
// workers that get no work, for each condition of the list. Prints the figures of docs/membership.md.
func TestMeasureMembership(t *testing.T) {
	rates, seeds := []float64{100}, uint64(2)
	if *measureAll {
		rates, seeds = []float64{1, 10, 100}, 40
	}
	for _, attemptsPerSecond := range rates {
		for _, event := range []string{"leaving", "dead", "paused", "pool silent 3 s"} {
			for _, listCondition := range []string{"right", "lagging 5 s", "wrong", "empty", "unreachable"} {
				name := fmt.Sprintf("%3.0f attempts/s, %-15s, list %-11s", attemptsPerSecond, event, listCondition)
				var all []result
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) { all = append(all, measure(t, event, listCondition, attemptsPerSecond, seed)) })
				}
				for _, r := range all {
					require.LessOrEqual(t, r.lostMax, membership.DefaultSettings().MaxEjectedFraction, name)
					if attemptsPerSecond >= 100 && event != "pool silent 3 s" {
						require.Less(t, r.lastWorkDelay, 3*time.Second, name)
						require.Zero(t, r.lostFraction, name)
					}
				}
				t.Logf("%s: %s", name, summary(all))
			}
		}
	}
}

// summary formats the mean and the largest value over the seeds.
func summary(all []result) string {
	var sum, most result
	for _, r := range all {
		sum.lastWorkDelay += r.lastWorkDelay
		sum.lostFraction += r.lostFraction
		sum.probes += r.probes
		most.lastWorkDelay = max(most.lastWorkDelay, r.lastWorkDelay)
		most.lostMax = max(most.lostMax, r.lostMax)
	}
	n := float64(len(all))
	lost := fmt.Sprintf("good capacity without work %.2f%% (at most %.0f%%), %.0f probes",
		100*sum.lostFraction/n, 100*most.lostMax, float64(sum.probes)/n)
	if all[0].event == "pool silent 3 s" {
		return lost
	}
	return fmt.Sprintf("last new work %.2f s (at most %.2f s), ", sum.lastWorkDelay.Seconds()/n, most.lastWorkDelay.Seconds()) + lost
}

func seededView(t *testing.T, seed uint64) *membership.View {
	v, err := membership.NewView(membership.DefaultSettings(), rand.New(rand.NewPCG(7, seed)))
	require.NoError(t, err)
	return v
}
