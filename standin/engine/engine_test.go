package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/standin/engine"
)

var loadedConfig = external.EngineConfig{
	Role: external.EngineRoleMixed, Models: []external.ModelVersion{{Name: "m", Version: "1"}},
}

func request(id string, promptTokens, maxTokens int) *external.GenerateRequest {
	return &external.GenerateRequest{
		RequestID: id, Model: "m", Prompt: "prompt of " + id, PromptTokens: promptTokens, MaxTokens: maxTokens,
	}
}

func newEngine(t *testing.T, cfg engine.Config) *engine.Engine {
	if cfg.Initial.Role == "" {
		cfg.Initial = loadedConfig
	}
	e := engine.New(cfg)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// readStream reads a stream to its end, checks the chunk offsets, and returns the text and the finish
// reason.
func readStream(s external.TokenStream, offset int) (text, finish string, err error) {
	defer s.Close()
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, finish, nil
		}
		if err != nil {
			return text, "", err
		}
		if c.Offset != offset {
			return text, "", fmt.Errorf("chunk at offset %d, expected %d", c.Offset, offset)
		}
		offset += c.Tokens
		text += c.Text
		finish = c.FinishReason
	}
}

// generate runs a request and returns the generated text.
func generate(t *testing.T, e *engine.Engine, r *external.GenerateRequest) string {
	t.Helper()
	s, err := e.Generate(t.Context(), r)
	require.NoError(t, err)
	text, _, err := readStream(s, r.Offset)
	require.NoError(t, err)
	return text
}

// startedRequests returns the IDs of the started requests in order.
func startedRequests(e *engine.Engine) (ids []string) {
	for _, r := range e.Journal() {
		if r.Kind == engine.RequestStarted {
			ids = append(ids, r.RequestID)
		}
	}
	return ids
}

// Guards against a resumed answer that differs from the original. Tests could then not detect that
// the proxy loses or mixes up tokens.
func TestResumeYieldsTheSameAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &external.GenerateRequest{
			RequestID: "a", Model: "m", Prompt: rapid.String().Draw(rt, "prompt"),
			MaxTokens: rapid.IntRange(1, 300).Draw(rt, "max"), Seed: rapid.Uint64().Draw(rt, "seed"),
		}
		whole, length, finish := engine.Answer(r)
		require.Len(rt, strings.Fields(whole), length)
		r.Offset = rapid.IntRange(0, length).Draw(rt, "offset")
		instant := rapid.Bool().Draw(rt, "instant")
		synctest.Test(t, func(*testing.T) {
			e := engine.New(engine.Config{Seed: r.Seed, Initial: loadedConfig, Instant: instant})
			defer e.Close()
			s, err := e.Generate(context.Background(), r)
			require.NoError(rt, err)
			text, got, err := readStream(s, r.Offset)
			require.NoError(rt, err)
			require.Equal(rt, strings.Fields(whole)[r.Offset:], strings.Fields(text))
			require.Equal(rt, finish, got)
		})
	})
}

// Guards against answers in which a lost token, a repeated token or a token of another answer cannot
// be detected.
func TestAnswersTellOffsetsAndRequestsApart(t *testing.T) {
	r := request("a", 0, 1000)
	a, _, _ := engine.Answer(r)
	r.Seed++
	b, _, _ := engine.Answer(r)
	own, other := strings.Fields(a), strings.Fields(b)
	equal := 0
	for i := range min(len(own), len(other)) - 1 {
		if own[i] == own[i+1] || own[i] == other[i] {
			equal++
		}
	}
	require.Less(t, equal, 5)
}

// Guards against a prefill rate outside 60,000 to 100,000 tokens/s, and a decode step of the wrong
// duration.
func TestPrefillRateAndStepTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{})
		begin := time.Now()
		generate(t, e, request("prefill", 100_000, 1))
		rate := 100_000 / time.Since(begin).Seconds()
		require.InDelta(t, 80_000, rate, 20_000)

		first, err := e.Generate(t.Context(), request("decode", 1, 16))
		require.NoError(t, err)
		defer first.Close()
		_, err = first.Next()
		require.NoError(t, err)
		begin = time.Now()
		_, err = first.Next()
		require.NoError(t, err)
		require.Equal(t, engine.DefaultStepBase+engine.DefaultSequenceCost, time.Since(begin))
	})
}

// Guards against admission beyond the capacity or in the wrong order, and against finished or
// cancelled requests that do not release their pieces.
func TestAdmissionByPiecesAndPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{Pieces: 2})
		var streams []external.TokenStream
		for i, priority := range []int{5, 5, 1, 3} {
			r := request(fmt.Sprint(i), 1500, 40)
			r.Priority = priority
			s, err := e.Generate(t.Context(), r)
			require.NoError(t, err)
			streams = append(streams, s)
		}
		time.Sleep(10 * engine.DefaultStepBase)
		load, err := e.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, load.Running)
		require.Equal(t, 3, load.Queued)
		require.Zero(t, load.FreePieces)
		require.NoError(t, e.Cancel(t.Context(), "0"))
		for _, s := range streams[1:] {
			_, _, err := readStream(s, 0)
			require.NoError(t, err)
		}
		require.Equal(t, []string{"0", "2", "3", "1"}, startedRequests(e))
		load, err = e.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, external.EngineLoad{FreePieces: 2, TotalPieces: 2}, load)
		_, err = e.Generate(t.Context(), request("large", 3000, 1))
		require.ErrorIs(t, err, external.ErrEngineRefused)
	})
}

// Guards against a generation that continues after its caller's context has ended.
func TestCallerLeavesCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{})
		ctx, cancel := context.WithCancel(t.Context())
		s, err := e.Generate(ctx, request("a", 10, 1000))
		require.NoError(t, err)
		_, err = s.Next()
		require.NoError(t, err)
		cancel()
		synctest.Wait()
		journal := e.Journal()
		require.Equal(t, engine.RequestCancelled, journal[len(journal)-1].Kind)
		for err == nil {
			_, err = s.Next()
		}
		require.ErrorIs(t, err, external.ErrEngineFailed)
	})
}

// Guards against a prefix cache that saves no prefill or never evicts, and against cache events that
// are reported early, out of order or without gaps.
func TestPrefixCacheAndItsEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{CacheBlocks: 40, EventGap: 4})
		long := strings.Repeat("word ", 32*enginewire.BlockTokens)
		r := &external.GenerateRequest{Model: "m", Prompt: long + "one", MaxTokens: 1}
		elapsed := func(prompt string) time.Duration {
			begin := time.Now()
			r.Prompt = prompt
			generate(t, e, r)
			return time.Since(begin)
		}
		cold, warm := elapsed(long+"one"), elapsed(long+"two")
		require.Less(t, warm*10, cold)
		events, err := e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Empty(t, events, "events are reported before their delay has passed")
		elapsed("other " + long)
		require.Greater(t, elapsed(long+"three")*2, cold, "the other prompt did not evict most blocks")

		time.Sleep(engine.DefaultEventDelay)
		events, err = e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		last := events[len(events)-1].Sequence
		require.Greater(t, last, uint64(len(events)), "no events are lost")
		for i := range events[1:] {
			require.Less(t, events[i].Sequence, events[i+1].Sequence)
		}
		hashes := enginewire.AppendPrefixHashes(nil, "m", "", long, 100)
		require.Len(t, hashes, 32)
		var seen []uint64
		for _, ev := range events {
			seen = append(seen, ev.Prefix)
		}
		require.Subset(t, enginewire.AppendPrefixHashes(hashes, "m", "", "other "+long, 100), seen)
	})
}

// Guards against a KV cache transfer that is not faster than a prefill, and against an imported KV
// cache that is used for another prompt.
func TestImportedKVMakesPrefillFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prefill, decode := newEngine(t, engine.Config{}), newEngine(t, engine.Config{})
		r := request("a", 50_000, 40)
		whole, _, _ := engine.Answer(r)
		one := *r
		one.MaxTokens = 1
		head := generate(t, prefill, &one)
		data, err := prefill.ExportKV(t.Context(), "a")
		require.NoError(t, err)
		handle, err := decode.ImportKV(t.Context(), data)
		require.NoError(t, err)
		begin := time.Now()
		rest := *r
		rest.Offset, rest.KVHandle = 1, handle
		require.Equal(t, whole, head+generate(t, decode, &rest))
		require.Less(t, time.Since(begin), 250*time.Millisecond, "39 decode steps took 250 ms or more of virtual time: the prompt was prefilled again")

		begin = time.Now()
		other := request("b", 50_000, 1)
		other.KVHandle = handle
		generate(t, decode, other)
		require.Greater(t, time.Since(begin), 500*time.Millisecond, "the prefill of 50,000 tokens was skipped")
		_, err = decode.ImportKV(t.Context(), []byte("{"))
		require.ErrorIs(t, err, external.ErrEngineRefused)
	})
}

// Guards against load reports that are more recent than the configured lag.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t, engine.Config{LoadLag: time.Second})
		time.Sleep(2 * time.Second)
		s, err := e.Generate(t.Context(), request("a", 1, 2000))
		require.NoError(t, err)
		defer s.Close()
		inFlight := func() int {
			l, err := e.Load(t.Context())
			require.NoError(t, err)
			return l.Running + l.Queued
		}
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, 0, inFlight())
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, inFlight())
	})
}
