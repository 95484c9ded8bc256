package routing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/external"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/load"
	"github.com/quetzallug/quetzallug/routing"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func fixedLoad(prefill float64, sequences int) routing.FixedLoad {
	return routing.FixedLoad{
		PrefillTokens: prefill, Sequences: sequences, Known: true,
		Speed: load.Speed{PrefillSecondsPerToken: 1e-4, StepSeconds: 0.018, StepSecondsPerSequence: 6e-4, ChunkTokens: 1024},
	}
}

func worker(id, dc string, role external.EngineRole, l routing.LoadSource) routing.Worker {
	return routing.Worker{ID: id, DataCentre: dc, Role: role, Load: l}
}

func newWorkers(n int) []routing.Worker {
	roles := []external.EngineRole{external.EngineRolePrefill, external.EngineRoleDecode, external.EngineRoleDecode, external.EngineRoleMixed}
	ws := make([]routing.Worker, n)
	for i := range ws {
		ws[i] = worker(fmt.Sprint("w", i), fmt.Sprint("dc", i%5), roles[i%4], fixedLoad(float64(i%7)*300, i%40))
	}
	return ws
}

var longRequest = routing.Request{Model: "m", PromptTokens: 3000, OutputTokens: 30, FirstToken: 730 * time.Millisecond, BetweenTokens: 71 * time.Millisecond}

// Guards against a choice that ignores roles, data centres, load, models, draining workers or workers
// on which the request has already failed.
func TestChoose(t *testing.T) {
	shortRequest := longRequest
	shortRequest.PromptTokens, shortRequest.OutputTokens = 200, 300
	retried := longRequest
	retried.Exclude = []string{"p1"}
	draining := worker("p1", "a", external.EngineRolePrefill, fixedLoad(0, 0))
	draining.Draining = true
	otherModel := worker("p1", "a", external.EngineRolePrefill, fixedLoad(0, 0))
	otherModel.Models = []string{"x"}
	p := external.EngineRolePrefill
	d := external.EngineRoleDecode
	for _, c := range []struct {
		name    string
		request routing.Request
		workers []routing.Worker
		prefill string
		decode  string
	}{
		{"pair by role", longRequest, []routing.Worker{worker("p1", "a", p, fixedLoad(0, 0)), worker("d1", "a", d, fixedLoad(0, 5))}, "p1", "d1"},
		{"short prefill on the decode engine", shortRequest, []routing.Worker{worker("p1", "a", p, fixedLoad(9000, 0)), worker("d1", "a", d, fixedLoad(0, 5))}, "d1", "d1"},
		{"less loaded pair", longRequest, []routing.Worker{worker("p1", "a", p, fixedLoad(4000, 0)), worker("p2", "a", p, fixedLoad(0, 0)), worker("d1", "a", d, fixedLoad(0, 50)), worker("d2", "a", d, fixedLoad(0, 5))}, "p2", "d2"},
		{"no transfer between data centres", longRequest, []routing.Worker{worker("p1", "a", p, fixedLoad(0, 0)), worker("d1", "b", d, fixedLoad(0, 0)), worker("d2", "a", d, fixedLoad(0, 3))}, "p1", "d2"},
		{"one engine when cheaper", longRequest, []routing.Worker{worker("m1", "a", external.EngineRoleMixed, fixedLoad(0, 0)), worker("d1", "b", d, fixedLoad(0, 0))}, "m1", "m1"},
		{"draining engine", longRequest, []routing.Worker{draining, worker("p2", "a", p, fixedLoad(900, 0)), worker("d1", "a", d, fixedLoad(0, 0))}, "p2", "d1"},
		{"other model", longRequest, []routing.Worker{otherModel, worker("p2", "a", p, fixedLoad(900, 0)), worker("d1", "a", d, fixedLoad(0, 0))}, "p2", "d1"},
		{"failed engine excluded", retried, []routing.Worker{worker("p1", "a", p, fixedLoad(0, 0)), worker("p2", "a", p, fixedLoad(900, 0)), worker("d1", "a", d, fixedLoad(0, 0))}, "p2", "d1"},
		{"no worker", longRequest, []routing.Worker{draining}, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := routing.New(routing.Config{}).Choose(&c.request, routing.NewFleet(c.workers), start)
			if c.prefill == "" {
				assert.Nil(t, got.Prefill)
				assert.Equal(t, routing.ReasonNoWorker, got.Reason)
				return
			}
			require.NotNil(t, got.Prefill)
			assert.Equal(t, c.prefill, got.Prefill.ID)
			assert.Equal(t, c.decode, got.Decode.ID)
		})
	}
}

// Guards against a subset of the wrong size or without one of the roles, and against one that changes
// more than necessary when a worker leaves.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(33, 300).Draw(t, "workers")
		ws := newWorkers(n)
		r := routing.New(routing.Config{Seed: rapid.Uint64().Draw(t, "seed")})
		subsetIDs := func(ws []routing.Worker) map[string]bool {
			out, roles := map[string]bool{}, map[external.EngineRole]int{}
			for _, w := range r.Subset("m", routing.NewFleet(ws)) {
				out[w.ID] = true
				roles[w.Role]++
			}
			require.Len(t, out, 32)
			require.Len(t, roles, 3)
			return out
		}
		before := subsetIDs(ws)
		ejected := rapid.IntRange(0, n-1).Draw(t, "gone")
		ws[ejected].Ejected = true
		after := subsetIDs(ws)
		dropped := 0
		for id := range before {
			if !after[id] {
				dropped++
			}
		}
		// The ejected worker and at most two that are exchanged to keep minPerRole workers per role.
		require.LessOrEqual(t, dropped, 3)
	})
}

// Guards against prefix affinity that outweighs a long queue, and against full confidence in cached
// prefixes after cache events were lost.
func TestPrefixAffinity(t *testing.T) {
	prompt := strings.Repeat("timetable of the line ", 600)
	blocks := routing.BlockHashes(nil, prompt)
	require.Len(t, blocks, 12)
	require.Equal(t, blocks[:5], routing.BlockHashes(nil, prompt[:5*1024+10]))

	q := longRequest
	q.Blocks = blocks
	newFleet := func(queue float64) *routing.Fleet {
		ws := []routing.Worker{worker("d1", "a", external.EngineRoleDecode, fixedLoad(0, 0))}
		for i := range 4 {
			ws = append(ws, worker(fmt.Sprint("p", i), "a", external.EngineRolePrefill, fixedLoad(0, 0)))
		}
		ws[2].Load = fixedLoad(queue, 0)
		return routing.NewFleet(ws)
	}
	r := routing.New(routing.Config{})
	f := newFleet(0)
	home := r.Choose(&q, f, start)
	require.Equal(t, routing.ReasonHomeWorker, home.Reason)
	cachedWorker := r.Subset("m", f)[2]
	events := func(first uint64) (out []external.CacheEvent) {
		for i, b := range blocks {
			out = append(out, external.CacheEvent{Sequence: first + uint64(i), Prefix: b})
		}
		return out
	}
	r.ObserveCacheEvents(cachedWorker, events(1), start)
	got := r.Choose(&q, f, start)
	assert.Equal(t, cachedWorker.ID, got.Prefill.ID)
	assert.Less(t, got.PrefillTokens, 100)
	r.ObserveCacheEvents(cachedWorker, []external.CacheEvent{{Sequence: 100, Prefix: 1}}, start)
	assert.Greater(t, r.Choose(&q, f, start).PrefillTokens, 1000, "lost events may be evictions")
	r.ObserveCacheEvents(cachedWorker, events(101), start)
	assert.NotEqual(t, cachedWorker.ID, r.Choose(&q, newFleet(50_000), start).Prefill.ID, "a long queue outweighs the cache")
}

// Guards against routing on old load reports without requesting probes of the workers concerned.
func TestProbes(t *testing.T) {
	ws := newWorkers(4)
	for i, age := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second, 4 * time.Second} {
		l := fixedLoad(0, 0)
		l.Age = age
		ws[i].Load = l
	}
	d := routing.New(routing.Config{}).Choose(&longRequest, routing.NewFleet(ws), start)
	require.NotNil(t, d.Probe[1])
	assert.Equal(t, "w2", d.Probe[0].ID)
	assert.Equal(t, "w3", d.Probe[1].ID)
}

// The target is under 5 microseconds with 640 workers, without allocations.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{11, 64, 640} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now() // as in production, with a monotonic clock reading, which is cheaper to subtract
			tracker := load.NewTracker(load.Speed{})
			ws := newWorkers(n)
			for i := range ws {
				w := tracker.Worker(ws[i].ID)
				w.Observe(load.Report{Sequence: 1, Load: external.EngineLoad{Running: i % 40, PrefillTokens: int64(i%7) * 300, FreePieces: 50, TotalPieces: 100}}, now)
				ws[i].Load = w
			}
			f, r := routing.NewFleet(ws), routing.New(routing.Config{})
			q := longRequest
			q.Blocks = routing.BlockHashes(nil, strings.Repeat("timetable of the line ", 600))
			d := r.Choose(&q, f, now)
			r.RecordSent(&q, &d, now)
			now = now.Add(10 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				d = r.Choose(&q, f, now)
			}
		})
	}
}
