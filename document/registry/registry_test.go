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

func documentWithRank(rank int) []byte {
	return fmt.Appendf(nil, `service: banco
type: plain
data_centres: [palermo]
pools: [{data_centre: palermo, workers: 1}]
kinds: [{name: other, rank: %d, deadlines: {total: 1s}, repeatable: false}]
`, rank)
}

// hookKV calls beforeSwap before each compare-and-swap of the service's record. If the hook returns an
// error, the call fails with it.
type hookKV struct {
	external.KV
	beforeSwap func(ctx context.Context, expected uint64, value []byte) error
}

func (h *hookKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	if h.beforeSwap != nil && key == registry.ConfigKey(service) {
		if err := h.beforeSwap(ctx, expected, value); err != nil {
			return 0, err
		}
	}
	return h.KV.CompareAndSwap(ctx, key, expected, value, lease)
}

func apply(t *testing.T, kv external.KV, base uint64, rank int) registry.Record {
	t.Helper()
	r, err := registry.Apply(t.Context(), kv, service, base, documentWithRank(rank), "ada")
	require.NoError(t, err)
	return r
}

// Apply must not write an invalid document or one of another service.
func TestApplyValidatesFirst(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	_, err := registry.Apply(t.Context(), s, service, 0, documentWithRank(0), "ada")
	require.NotEmpty(t, document.AsErrors(err))
	_, err = registry.Apply(t.Context(), s, "oracolo", 0, documentWithRank(1), "ada")
	require.NotEmpty(t, document.AsErrors(err))
	require.Zero(t, s.Calls().Writes)
}

// Apply must reject a stale base revision, and the error must contain the current record and the diff.
func TestConflictShowsWinner(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	require.EqualValues(t, 1, apply(t, s, 0, 1).Revision)
	require.EqualValues(t, 2, apply(t, s, 1, 2).Revision)
	_, err := registry.Apply(t.Context(), s, service, 1, documentWithRank(3), "eva")
	var c *registry.ConflictError
	require.ErrorAs(t, err, &c)
	require.EqualValues(t, 2, c.Current.Revision)
	require.Equal(t, "ada", c.Current.Author)
	require.Contains(t, c.Diff, "-kinds: [{name: other, rank: 2")
	require.Contains(t, c.Diff, "+kinds: [{name: other, rank: 3")
	require.EqualValues(t, 2, apply(t, s, 2, 2).Revision, "an equal body must not create a revision")
}

// Revisions must not restart after a deletion, because processes ignore lower revisions.
func TestRecreationContinuesRevision(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	apply(t, s, 0, 1)
	r, err := registry.Delete(t.Context(), s, service, 1, "ada")
	require.NoError(t, err)
	require.True(t, r.Deleted)
	require.EqualValues(t, 2, r.Revision)
	_, err = registry.Apply(t.Context(), s, service, 1, documentWithRank(1), "eva")
	require.ErrorAs(t, err, new(*registry.ConflictError))
	require.EqualValues(t, 3, apply(t, s, 0, 1).Revision)

	e, err := s.Get(t.Context(), registry.ConfigKey(service))
	require.NoError(t, err)
	require.NoError(t, s.Delete(t.Context(), e.Key, e.Version))
	require.EqualValues(t, 4, apply(t, s, 0, 2).Revision, "revisions must not restart after the key is removed")
	_, err = registry.Delete(t.Context(), s, "nothing", 0, "ada")
	require.ErrorIs(t, err, registry.ErrNotFound)
}

// An operator must be able to replace an invalid record, with a revision higher than those that the
// processes are using.
func TestInvalidRecordIsReplaced(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	apply(t, s, 0, 1)
	apply(t, s, 1, 2)
	_, err := s.CompareAndSwap(t.Context(), registry.ConfigKey(service), 2, []byte("{"), 0)
	require.NoError(t, err)
	_, err = registry.Get(t.Context(), s, service)
	require.ErrorAs(t, err, new(*registry.CorruptRecordError))
	for _, base := range []uint64{0, 1} {
		_, err = registry.Apply(t.Context(), s, service, base, documentWithRank(3), "ada")
		require.ErrorAs(t, err, new(*registry.ConflictError))
	}
	require.EqualValues(t, 8, apply(t, s, 7, 3).Revision)
}

// A write whose response was lost must not be reported as failed if it succeeded, and must not be
// applied twice. In each case the response to the first attempt is lost.
func TestLostResponse(t *testing.T) {
	cases := map[string]struct {
		// beforeRetry runs between the lost response and the second attempt.
		beforeRetry func(s *kv.Store, expected uint64, value []byte)
		// want is the revision that Apply returns; 0 means a ConflictError.
		want uint64
	}{
		"write took effect": {func(s *kv.Store, expected uint64, value []byte) {
			_, _ = s.CompareAndSwap(context.Background(), registry.ConfigKey(service), expected, value, 0)
		}, 2},
		"write had no effect": {func(*kv.Store, uint64, []byte) {}, 2},
		"another write won": {func(s *kv.Store, _ uint64, _ []byte) {
			_, _ = registry.Apply(context.Background(), s, service, 1, documentWithRank(9), "eva")
		}, 0},
		"another write followed": {func(s *kv.Store, expected uint64, value []byte) {
			_, _ = s.CompareAndSwap(context.Background(), registry.ConfigKey(service), expected, value, 0)
			_, _ = registry.Apply(context.Background(), s, service, 2, documentWithRank(9), "eva")
		}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := kv.NewStore(kv.Limits{})
			apply(t, s, 0, 1)
			h := &hookKV{KV: s}
			h.beforeSwap = func(_ context.Context, expected uint64, value []byte) error {
				h.beforeSwap = nil
				c.beforeRetry(s, expected, value)
				return external.ErrOutcomeUnknown
			}
			r, err := registry.Apply(t.Context(), h, service, 1, documentWithRank(2), "ada")
			if c.want == 0 {
				require.ErrorAs(t, err, new(*registry.ConflictError))
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.want, r.Revision)
			history, err := registry.History(t.Context(), s, service)
			require.NoError(t, err)
			count := 0
			for _, p := range history {
				if p.WriteID == r.WriteID {
					count++
				}
			}
			require.Equal(t, 1, count, "the write must create exactly one revision")
		})
	}
}

// A write whose outcome cannot be determined must not be reported as rejected.
func TestOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kv.NewStore(kv.Limits{})
		apply(t, s, 0, 1)
		h := &hookKV{KV: s, beforeSwap: func(context.Context, uint64, []byte) error { return external.ErrOutcomeUnknown }}
		_, err := registry.Apply(t.Context(), h, service, 1, documentWithRank(2), "ada")
		require.ErrorAs(t, err, new(*registry.OutcomeUnknownError))
		h.beforeSwap = func(context.Context, uint64, []byte) error { return external.ErrUnavailable }
		_, err = registry.Apply(t.Context(), h, service, 1, documentWithRank(2), "ada")
		require.ErrorIs(t, err, external.ErrUnavailable)
		require.NotErrorIs(t, err, external.ErrOutcomeUnknown)
	})
}

// The history must not exceed HistoryLength, and a missing entry must be repaired by the next write.
func TestHistory(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	for i := range uint64(registry.HistoryLength + 5) {
		apply(t, s, i, int(i)+1)
	}
	history, err := registry.History(t.Context(), s, service)
	require.NoError(t, err)
	require.Len(t, history, registry.HistoryLength)
	require.EqualValues(t, registry.HistoryLength+5, history[0].Revision)
	entries, _, err := s.List(t.Context(), registry.HistoryPrefix)
	require.NoError(t, err)
	require.Len(t, entries, registry.HistoryLength)

	require.NoError(t, s.Delete(t.Context(), registry.HistoryKey(service, 25), 1))
	apply(t, s, 25, 50)
	history, err = registry.History(t.Context(), s, service)
	require.NoError(t, err)
	require.EqualValues(t, 25, history[1].Revision, "the next write must repair the missing entry")
}

// Decode must reject damaged records and records stored under the key of another service.
func TestDecodeChecks(t *testing.T) {
	validRecord := `{"service":"banco","revision":1,"body":"YQ==","author":"a","write_id":"w"}`
	_, err := registry.Decode("config/banco", []byte(validRecord))
	require.NoError(t, err)
	for _, invalidRecord := range []string{
		`{`, `{}`, `{"service":"banco","revision":0,"body":"YQ==","write_id":"w"}`,
		`{"service":"banco","revision":1,"write_id":"w"}`, `{"service":"banco","revision":1,"body":"YQ=="}`,
		`{"service":"oracolo","revision":1,"body":"YQ==","write_id":"w"}`,
		`{"service":"banco","revision":1,"deleted":true,"body":"YQ==","write_id":"w"}`,
	} {
		_, err := registry.Decode("config/banco", []byte(invalidRecord))
		require.ErrorAs(t, err, new(*registry.CorruptRecordError), invalidRecord)
	}
}

// flakyKV randomly loses responses, delays writes and fails calls.
type flakyKV struct {
	external.KV
	mu sync.Mutex
	r  *rand.Rand
}

func (f *flakyKV) randomPercent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.r.IntN(100)
}

func (f *flakyKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	// Each call takes some time, so that the calls of several writers overlap.
	time.Sleep(time.Duration(len(key)) * time.Millisecond)
	switch p := f.randomPercent(); {
	case p < 10:
		return 0, external.ErrUnavailable
	case p < 20: // the write is applied after the response was lost
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

func (f *flakyKV) Get(ctx context.Context, key string) (external.KVEntry, error) {
	if f.randomPercent() < 10 {
		return external.KVEntry{}, external.ErrUnavailable
	}
	return f.KV.Get(ctx, key)
}

// With concurrent writers and lost, delayed and failed calls, two documents must not be accepted at the
// same revision, and an accepted document must not be replaced by one that is not based on it.
func TestConcurrentWritersProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		writers := rapid.IntRange(2, 5).Draw(rt, "writers")
		var violation error
		synctest.Test(t, func(t *testing.T) { violation = runWriters(t.Context(), seed, writers) })
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// runWriters runs concurrent writers and returns a violation that it found, or nil.
func runWriters(ctx context.Context, seed uint64, writers int) error {
	s := kv.NewStore(kv.Limits{})
	var mu sync.Mutex
	accepted := map[uint64]string{}
	rejectedAuthors := map[string]bool{}
	var wg sync.WaitGroup
	var violation error
	for w := range writers {
		f := &flakyKV{KV: s, r: rand.New(rand.NewPCG(seed, uint64(w)))}
		wg.Go(func() {
			base := uint64(0)
			for i := range 8 {
				r, err := registry.Apply(ctx, f, service, base, documentWithRank(1+(w*8+i)%100), fmt.Sprintf("w%d-%d", w, i))
				var c *registry.ConflictError
				mu.Lock()
				switch {
				case err == nil:
					if other, ok := accepted[r.Revision]; ok && other != r.WriteID || r.Revision != base+1 && base != 0 {
						violation = fmt.Errorf("revision %d accepted on base %d: accepted twice or not the next revision (writes %q and %q)", r.Revision, base, other, r.WriteID)
					}
					accepted[r.Revision], base = r.WriteID, r.Revision
				case errors.As(err, &c):
					rejectedAuthors[fmt.Sprintf("w%d-%d", w, i)] = true
					base = c.Current.Revision
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // wait for delayed writes
	last, err := registry.Get(ctx, s, service)
	if err != nil && !errors.Is(err, registry.ErrNotFound) {
		return err
	}
	if rejectedAuthors[last.Author] {
		return fmt.Errorf("revision %d by %s is stored although it was rejected", last.Revision, last.Author)
	}
	for _, w := range last.Recent {
		if id, ok := accepted[w.Revision]; ok && id != w.WriteID {
			return fmt.Errorf("revision %d: accepted %s, stored %s", w.Revision, id, w.WriteID)
		}
	}
	for revision := range accepted {
		if revision > last.Revision {
			return fmt.Errorf("accepted revision %d was lost; the stored revision is %d", revision, last.Revision)
		}
	}
	return violation
}
