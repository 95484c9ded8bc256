package once_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// measureAll measures all rows of the table in docs/at-most-once.md: go test ./once -run Measure -v -measure
var measureAll = flag.Bool("measure", false, "run the whole table of docs/at-most-once.md")

const (
	simEntries   = 40
	simRTT       = time.Millisecond      // between entries in neighbouring data centres
	simWriteRate = 300                   // limit of the key-value service, in writes per second
	simRunTime   = 50 * time.Millisecond // run time of a request
)

// meteredKV adds latency to a store, and counts the bytes of its writes.
type meteredKV struct {
	*kv.Store
	mu      sync.Mutex
	bytes   int
	largest int
}

func (m *meteredKV) Get(ctx context.Context, key string) (external.KVEntry, error) {
	time.Sleep(kvLatency)
	return m.Store.Get(ctx, key)
}

func (m *meteredKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, l external.LeaseID) (uint64, error) {
	time.Sleep(kvLatency)
	m.mu.Lock()
	m.bytes += len(value)
	m.largest = max(m.largest, len(value))
	m.mu.Unlock()
	return m.Store.CompareAndSwap(ctx, key, expected, value, l)
}

// simulation is the load and settings of one measurement.
type simulation struct {
	perSecond         float64 // requests per second
	unrepeatableShare float64 // fraction of requests that must not be repeated
	duration          time.Duration
	settings          once.Settings
	// fault applies to the key-value service from faultFrom to faultUntil.
	fault kv.FaultState
}

// Times since the start of the measurement: the fault lasts from faultFrom to faultUntil, and its effects
// must have ended by recoveredBy.
const (
	faultFrom   = 5 * time.Second
	faultUntil  = 10 * time.Second
	recoveredBy = 12 * time.Second
)

type measurements struct {
	claims, notGranted int
	// notGrantedAfter counts the claims that started after recoveredBy and were not granted.
	notGrantedAfter  int
	overLimit, reads uint64  // calls over the limits of the key-value service, and reads
	writes, bytes    float64 // per second
	opsPerWrite      float64
	largest          int
	p50, p99         time.Duration
}

func (m measurements) String() string {
	return fmt.Sprintf("claims %d, refused %.1f%%, %.1f writes/s, %.2f MB/s, %.1f ops/write, largest record %d KiB, p50 %.1f ms, p99 %.1f ms",
		m.claims, 100*float64(m.notGranted)/float64(max(1, m.claims)), m.writes, m.bytes/1e6, m.opsPerWrite, m.largest>>10,
		float64(m.p50.Microseconds())/1000, float64(m.p99.Microseconds())/1000)
}

// run starts claims as a Poisson process and measures their results and latencies.
func (s simulation) run(kvs *meteredKV, do func(entry int, r once.Request) once.State) measurements {
	rng := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var latencies []time.Duration
	var m measurements
	var wg sync.WaitGroup
	start := time.Now()
	if s.fault != (kv.FaultState{}) {
		time.AfterFunc(faultFrom, func() { kvs.Faults().Set(s.fault) })
		time.AfterFunc(faultUntil, func() { kvs.Faults().Set(kv.FaultState{}) })
	}
	for time.Since(start) < s.duration {
		time.Sleep(time.Duration(rng.ExpFloat64() / (s.perSecond * s.unrepeatableShare) * float64(time.Second)))
		id, err := uuid.NewRandomFromReader(randReader{rng})
		if err != nil {
			panic(err)
		}
		r := once.Request{Service: service, Key: uuidKey(rng), RequestID: id.String(), Action: once.ActionClaim}
		entry := rng.IntN(simEntries)
		wg.Go(func() {
			begin := time.Now()
			state := do(entry, r)
			d := time.Since(begin)
			mu.Lock()
			m.claims++
			latencies = append(latencies, d)
			if state != once.StateGranted {
				m.notGranted++
				if begin.Sub(start) > recoveredBy {
					m.notGrantedAfter++
				}
			}
			mu.Unlock()
			if state == once.StateGranted {
				time.Sleep(simRunTime)
				r.Action, r.Answer = once.ActionComplete, once.Answer{Status: 200, ContentType: "application/json", Body: []byte(`{"ok":true}`)}
				do(entry, r)
			}
		})
	}
	wg.Wait()
	seconds := time.Since(start).Seconds()
	slices.Sort(latencies)
	m.writes = float64(kvs.Calls().Writes) / seconds
	m.bytes = float64(kvs.bytes) / seconds
	m.largest = kvs.largest
	m.overLimit, m.reads = kvs.Calls().Rejected, kvs.Calls().Reads
	m.opsPerWrite = float64(2*m.claims) / float64(max(1, kvs.Calls().Writes))
	m.p50, m.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return m
}

type randReader struct{ rng *rand.Rand }

func (r randReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(r.rng.Uint32())
	}
	return len(b), nil
}

// uuidKey returns a random UUIDv7 with the current time as timestamp.
func uuidKey(rng *rand.Rand) string {
	id := uuid.MustParse(uuidAt(time.Now(), 0))
	for i := 9; i < len(id); i++ {
		id[i] = byte(rng.Uint32())
	}
	return id.String()
}

// simCluster forwards requests between entries with a fixed latency.
type simCluster struct {
	committers map[string]*once.Committer
	routers    []*once.Router
}

func (sim *simCluster) Forward(ctx context.Context, to external.Instance, r once.Request) (once.Result, error) {
	time.Sleep(simRTT / 2)
	res := sim.committers[to.ID].Do(ctx, r)
	time.Sleep(simRTT / 2)
	return res, nil
}

// batched simulates this package: claims are batched by the owners of their shards.
func (s simulation) batched(t *testing.T) measurements {
	store := &meteredKV{Store: kv.NewStore(kv.Limits{Writes: simWriteRate})}
	sim := &simCluster{committers: map[string]*once.Committer{}}
	var list []external.Instance
	for i := range simEntries {
		list = append(list, external.Instance{ID: fmt.Sprint("entry-", i), Role: external.RoleEntry, State: external.InstanceLive})
	}
	for _, in := range list {
		c, err := once.NewCommitter(store, s.settings, discardLogger())
		require.NoError(t, err)
		sim.committers[in.ID] = c
		sim.routers = append(sim.routers, once.NewRouter(in.ID, func() []external.Instance { return list }, sim, c))
		// Reads the layout before the measurement, as in a running cluster.
		c.Do(t.Context(), once.Request{Service: service, Key: "warm", RequestID: "w", Action: once.ActionRelease})
	}
	return s.run(store, func(entry int, r once.Request) once.State {
		return sim.routers[entry].Do(ctxFor(2*time.Second), r).State
	})
}

// oneWritePerClaim simulates an alternative that stores each claim under its own key.
func (s simulation) oneWritePerClaim() measurements {
	store := &meteredKV{Store: kv.NewStore(kv.Limits{Writes: simWriteRate})}
	return s.run(store, func(_ int, r once.Request) once.State {
		version := uint64(0)
		if r.Action == once.ActionComplete {
			version = 1
		}
		end := time.Now().Add(2 * time.Second)
		for wait := 5 * time.Millisecond; ; wait = min(2*wait, 250*time.Millisecond) {
			_, err := store.CompareAndSwap(context.Background(), "once/"+service+"/"+r.Key, version, make([]byte, 60+len(r.Answer.Body)), 0)
			if err == nil {
				return once.StateGranted
			}
			if time.Now().Add(wait).After(end) {
				return once.StateUnavailable
			}
			time.Sleep(wait/2 + rand.N(wait))
		}
	})
}

// sidecarMemory simulates an alternative that keeps claims only in the memory of the sidecar that owns
// the key. It needs no writes, but a repeated request runs again if the owner was replaced between the
// request and its repetition. One request in a hundred is repeated, after a mean delay of 30 s; 275
// replacements are spread over 640 sidecars each day. It returns the number of repeated requests in a
// day, and how many of them ran again.
func sidecarMemory(perSecond float64) (repeated, ranAgain int) {
	const (
		sidecars     = 640
		replacements = 275
		repeatShare  = 0.01
		meanDelay    = 30.0
		day          = 86400.0
	)
	rng := rand.New(rand.NewPCG(3, 4))
	replacedAt := make([][]float64, sidecars)
	for range replacements {
		i := rng.IntN(sidecars)
		replacedAt[i] = append(replacedAt[i], rng.Float64()*day)
	}
	for at := 0.0; at < day; at += rng.ExpFloat64() / (perSecond * repeatShare) {
		repeated++
		again := at + rng.ExpFloat64()*meanDelay
		if slices.ContainsFunc(replacedAt[rng.IntN(sidecars)], func(r float64) bool { return at < r && r <= again }) {
			ranAgain++
		}
	}
	return repeated, ranAgain
}

// Guards against claims that exceed the write rate of the key-value service at the target load, and
// prints the measurements of docs/at-most-once.md.
func TestMeasureAlternatives(t *testing.T) {
	type load struct {
		perSecond         float64
		unrepeatableShare float64
		duration          time.Duration
	}
	loads := []load{{12000, 0.05, 5 * time.Second}}
	if *measureAll {
		loads = nil
		for _, unrepeatableShare := range []float64{0.001, 0.01, 0.05, 0.1} {
			loads = append(loads, load{5, unrepeatableShare, 4 * time.Hour}, load{12000, unrepeatableShare, 20 * time.Second})
		}
	}
	for _, l := range loads {
		s := simulation{perSecond: l.perSecond, unrepeatableShare: l.unrepeatableShare, duration: l.duration, settings: once.DefaultSettings()}
		name := fmt.Sprintf("%5.0f requests/s, %4.1f%% unrepeatable", l.perSecond, 100*l.unrepeatableShare)
		synctest.Test(t, func(t *testing.T) {
			m := s.batched(t)
			t.Logf("%s, batched: %s", name, m)
			require.Zero(t, m.notGranted)
			require.Less(t, m.writes, float64(simWriteRate))
		})
		synctest.Test(t, func(t *testing.T) { t.Logf("%s, one write per claim: %s", name, s.oneWritePerClaim()) })
	}
	if !*measureAll {
		return
	}
	for _, perSecond := range []float64{0.5, 12, 120, 600, 1200} {
		repeated, ranAgain := sidecarMemory(perSecond)
		t.Logf("sidecar memory, %.1f unrepeatable requests/s: in a day %d repeated, %d of them ran again", perSecond, repeated, ranAgain)
	}
	for _, fault := range []kv.FaultState{{Down: true}, {SlowMS: 100}, {SlowMS: 300}, {SlowMS: 900}} {
		for _, unrepeatableShare := range []float64{0.01, 0.1} {
			s := simulation{perSecond: 12000, unrepeatableShare: unrepeatableShare, duration: 20 * time.Second, settings: once.DefaultSettings(), fault: fault}
			synctest.Test(t, func(t *testing.T) {
				m := s.batched(t)
				t.Logf("%.0f%%, key-value service %+v for 5 s: %s; %d reads, %d calls over its limit, %d refused from 2 s after the fault",
					100*unrepeatableShare, fault, m, m.reads, m.overLimit, m.notGrantedAfter)
				require.Zero(t, m.notGrantedAfter)
			})
		}
	}
	for _, shards := range []int{1, 2, 4, 8, 16, 32} {
		s := simulation{perSecond: 12000, unrepeatableShare: 0.1, duration: 20 * time.Second, settings: once.DefaultSettings()}
		s.settings.Shards = shards
		synctest.Test(t, func(t *testing.T) { t.Logf("10%%, %d shards: %s", shards, s.batched(t)) })
	}
	for _, rotate := range []int{32, 64, 128, 256} {
		s := simulation{perSecond: 12000, unrepeatableShare: 0.1, duration: 120 * time.Second, settings: once.DefaultSettings()}
		s.settings.RotateBytes = rotate << 10
		synctest.Test(t, func(t *testing.T) { t.Logf("10%%, sealed at %d KiB: %s", rotate, s.batched(t)) })
	}
}
