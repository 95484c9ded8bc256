package registry_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/standin/kv"
)

const service = "banco"

func body(rank int) []byte {
	return fmt.Appendf(nil, `service: banco
type: plain
data_centres: [palermo]
pools: [{data_centre: palermo, workers: 1}]
kinds: [{name: other, rank: %d, deadlines: {total: 1s}, repeatable: false}]
`, rank)
}

// hookKV runs a hook in place of a compare-and-swap of a service's record.
type hookKV struct {
	external.KV
	swap func(ctx context.Context, expected uint64, value []byte) error
}

func (h *hookKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	if h.swap != nil && key == registry.ConfigKey(service) {
		if err := h.swap(ctx, expected, value); err != nil {
			return 0, err
		}
	}
	return h.KV.CompareAndSwap(ctx, key, expected, value, lease)
}

func apply(t *testing.T, kv external.KV, base uint64, rank int) registry.Record {
	t.Helper()
	r, err := registry.Apply(t.Context(), kv, service, base, body(rank), "ada")
	require.NoError(t, err)
	return r
}

// Guards against invalid documents in the key-value service.
func TestApplyValidatesFirst(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	_, err := registry.Apply(t.Context(), s, service, 0, body(0), "ada")
	require.NotEmpty(t, document.Faults(err))
	_, err = registry.Apply(t.Context(), s, "oracolo", 0, body(1), "ada")
	require.NotEmpty(t, document.Faults(err))
	require.Zero(t, s.Calls().Writes)
}

// Guards against a lost update, and against a conflict that does not show the winner.
func TestConflictShowsWinner(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	require.EqualValues(t, 1, apply(t, s, 0, 1).Revision)
	require.EqualValues(t, 2, apply(t, s, 1, 2).Revision)
	_, err := registry.Apply(t.Context(), s, service, 1, body(3), "eva")
	var c *registry.ConflictError
	require.ErrorAs(t, err, &c)
	require.EqualValues(t, 2, c.Winner.Revision)
	require.Equal(t, "ada", c.Winner.Author)
	require.Contains(t, c.Diff, "-kinds: [{name: other, rank: 2")
	require.Contains(t, c.Diff, "+kinds: [{name: other, rank: 3")
	require.EqualValues(t, 2, apply(t, s, 2, 2).Revision, "an equal body needs no new revision")
}

// Guards against revisions that start again after a deletion, which processes would ignore.
func TestRecreationContinuesRevision(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	apply(t, s, 0, 1)
	r, err := registry.Delete(t.Context(), s, service, 1, "ada")
	require.NoError(t, err)
	require.True(t, r.Deleted)
	require.EqualValues(t, 2, r.Revision)
	_, err = registry.Apply(t.Context(), s, service, 1, body(1), "eva")
	require.ErrorAs(t, err, new(*registry.ConflictError))
	require.EqualValues(t, 3, apply(t, s, 0, 1).Revision)

	e, err := s.Get(t.Context(), registry.ConfigKey(service))
	require.NoError(t, err)
	require.NoError(t, s.Delete(t.Context(), e.Key, e.Version))
	require.EqualValues(t, 4, apply(t, s, 0, 2).Revision, "a removed key must not restart the revision")
	_, err = registry.Delete(t.Context(), s, "nothing", 0, "ada")
	require.ErrorIs(t, err, registry.ErrNotFound)
}

// Guards against an invalid record that no operator can replace, and against a replacement
// whose revision the processes ignore.
func TestInvalidRecordIsReplaced(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	apply(t, s, 0, 1)
	apply(t, s, 1, 2)
	_, err := s.CompareAndSwap(t.Context(), registry.ConfigKey(service), 2, []byte("{"), 0)
	require.NoError(t, err)
	_, err = registry.Get(t.Context(), s, service)
	require.ErrorAs(t, err, new(*registry.CorruptRecordError))
	for _, base := range []uint64{0, 1} {
		_, err = registry.Apply(t.Context(), s, service, base, body(3), "ada")
		require.ErrorAs(t, err, new(*registry.ConflictError))
	}
	require.EqualValues(t, 8, apply(t, s, 7, 3).Revision)
}

// Guards against a lost response that is reported as a failure or applied twice. In each case
// the response to the first write is lost.
func TestLostResponse(t *testing.T) {
	cases := map[string]struct {
		// late acts between the lost response and the second attempt.
		late func(s *kv.Store, expected uint64, value []byte)
		want uint64
	}{
		"write took effect": {func(s *kv.Store, expected uint64, value []byte) {
			_, _ = s.CompareAndSwap(context.Background(), registry.ConfigKey(service), expected, value, 0)
		}, 2},
		"write had no effect": {func(*kv.Store, uint64, []byte) {}, 2},
		"another write won": {func(s *kv.Store, _ uint64, _ []byte) {
			_, _ = registry.Apply(context.Background(), s, service, 1, body(9), "eva")
		}, 0},
		"another write followed": {func(s *kv.Store, expected uint64, value []byte) {
			_, _ = s.CompareAndSwap(context.Background(), registry.ConfigKey(service), expected, value, 0)
			_, _ = registry.Apply(context.Background(), s, service, 2, body(9), "eva")
		}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := kv.NewStore(kv.Limits{})
			apply(t, s, 0, 1)
			h := &hookKV{KV: s}
			h.swap = func(_ context.Context, expected uint64, value []byte) error {
				h.swap = nil
				c.late(s, expected, value)
				return external.ErrOutcomeUnknown
			}
			r, err := registry.Apply(t.Context(), h, service, 1, body(2), "ada")
			if c.want == 0 {
				require.ErrorAs(t, err, new(*registry.ConflictError))
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.want, r.Revision)
			past, err := registry.History(t.Context(), s, service)
			require.NoError(t, err)
			count := 0
			for _, p := range past {
				if p.WriteID == r.WriteID {
					count++
				}
			}
			require.Equal(t, 1, count, "one revision for one write")
		})
	}
}

// Guards against "not accepted" for a write whose outcome cannot be read back.
func TestOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kv.NewStore(kv.Limits{})
		apply(t, s, 0, 1)
		h := &hookKV{KV: s, swap: func(context.Context, uint64, []byte) error { return external.ErrOutcomeUnknown }}
		_, err := registry.Apply(t.Context(), h, service, 1, body(2), "ada")
		require.ErrorAs(t, err, new(*registry.OutcomeUnknownError))
		h.swap = func(context.Context, uint64, []byte) error { return external.ErrUnavailable }
		_, err = registry.Apply(t.Context(), h, service, 1, body(2), "ada")
		require.ErrorIs(t, err, external.ErrUnavailable)
		require.NotErrorIs(t, err, external.ErrOutcomeUnknown)
	})
}

// Guards against a history that grows, or that misses a revision for good after one failure.
func TestHistory(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	for i := range uint64(registry.HistoryLength + 5) {
		apply(t, s, i, int(i)+1)
	}
	past, err := registry.History(t.Context(), s, service)
	require.NoError(t, err)
	require.Len(t, past, registry.HistoryLength)
	require.EqualValues(t, registry.HistoryLength+5, past[0].Revision)
	entries, _, err := s.List(t.Context(), registry.HistoryPrefix)
	require.NoError(t, err)
	require.Len(t, entries, registry.HistoryLength)

	require.NoError(t, s.Delete(t.Context(), registry.HistoryKey(service, 25), 1))
	apply(t, s, 25, 50)
	past, err = registry.History(t.Context(), s, service)
	require.NoError(t, err)
	require.EqualValues(t, 25, past[1].Revision, "the next writer repairs the missing entry")
}

// Guards against records that were damaged, or written under a wrong key, being taken over.
func TestDecodeChecks(t *testing.T) {
	good := `{"service":"banco","revision":1,"body":"YQ==","author":"a","write_id":"w"}`
	_, err := registry.Decode("config/banco", []byte(good))
	require.NoError(t, err)
	for _, bad := range []string{
		`{`, `{}`, `{"service":"banco","revision":0,"body":"YQ==","write_id":"w"}`,
		`{"service":"banco","revision":1,"write_id":"w"}`, `{"service":"banco","revision":1,"body":"YQ=="}`,
		`{"service":"oracolo","revision":1,"body":"YQ==","write_id":"w"}`,
		`{"service":"banco","revision":1,"deleted":true,"body":"YQ==","write_id":"w"}`,
	} {
		_, err := registry.Decode("config/banco", []byte(bad))
		require.ErrorAs(t, err, new(*registry.CorruptRecordError), bad)
	}
}

// flakyKV loses responses, delays and fails calls at random.
type flakyKV struct {
	external.KV
	mu sync.Mutex
	r  *rand.Rand
}

func (f *flakyKV) percent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.r.IntN(100)
}

func (f *flakyKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	time.Sleep(time.Duration(len(key)) * time.Millisecond)
	switch p := f.percent(); {
	case p < 10:
		return 0, external.ErrUnavailable
	case p < 20: // the write arrives late
		go func() {
			time.Sleep(300 * time.Millisecond)
			_, _ = f.KV.CompareAndSwap(context.WithoutCancel(ctx), key, expected, value, lease)
		}()
		return 0, external.ErrOutcomeUnknown
	case p < 40:
		_, _ = f.KV.CompareAndSwap(ctx, key, expected, value, lease)
		return 0, external.ErrOutcomeUnknown
	}
	return f.KV.CompareAndSwap(ctx, key, expected, value, lease)
}

func (f *flakyKV) Get(ctx context.Context, key string) (external.Entry, error) {
	if f.percent() < 10 {
		return external.Entry{}, external.ErrUnavailable
	}
	return f.KV.Get(ctx, key)
}

// Guards against two accepted documents with one revision, and against an accepted document
// that another one replaced without having been based on it, under lost, late and failed calls.
func TestConcurrentWritersProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		writers := rapid.IntRange(2, 5).Draw(rt, "writers")
		var failure error
		synctest.Test(t, func(t *testing.T) { failure = runWriters(t.Context(), seed, writers) })
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func runWriters(ctx context.Context, seed uint64, writers int) error {
	s := kv.NewStore(kv.Limits{})
	var mu sync.Mutex
	accepted := map[uint64]string{}
	refused := map[string]bool{}
	var wg sync.WaitGroup
	var fault error
	for w := range writers {
		f := &flakyKV{KV: s, r: rand.New(rand.NewPCG(seed, uint64(w)))}
		wg.Go(func() {
			base := uint64(0)
			for i := range 8 {
				r, err := registry.Apply(ctx, f, service, base, body(1+(w*8+i)%100), fmt.Sprintf("w%d-%d", w, i))
				var c *registry.ConflictError
				mu.Lock()
				switch {
				case err == nil:
					if other, ok := accepted[r.Revision]; ok && other != r.WriteID || r.Revision != base+1 && base != 0 {
						fault = fmt.Errorf("revision %d on base %d accepted twice: %s and %s", r.Revision, base, other, r.WriteID)
					}
					accepted[r.Revision], base = r.WriteID, r.Revision
				case errors.As(err, &c):
					refused[fmt.Sprintf("w%d-%d", w, i)] = true
					base = c.Winner.Revision
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // late writes
	last, err := registry.Get(ctx, s, service)
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		return err
	}
	if refused[last.Author] {
		return fmt.Errorf("revision %d of %s is stored, but was refused", last.Revision, last.Author)
	}
	for _, w := range last.Recent {
		if id, ok := accepted[w.Revision]; ok && id != w.WriteID {
			return fmt.Errorf("revision %d: accepted %s, stored %s", w.Revision, id, w.WriteID)
		}
	}
	for revision := range accepted {
		if revision > last.Revision {
			return fmt.Errorf("revision %d was accepted and is gone; stored is %d", revision, last.Revision)
		}
	}
	return fault
}
