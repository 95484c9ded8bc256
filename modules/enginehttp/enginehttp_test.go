package enginehttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/enginehttp"
	"github.com/quetzallug/quetzallug/standin/engine"
)

var loaded = external.EngineConfig{
	Role: external.RoleMixed, Models: []external.ModelVersion{{Name: "m", Version: "1"}},
}

func serve(tb testing.TB, h http.Handler) (external.Engine, *httptest.Server) {
	tb.Helper()
	srv := httptest.NewServer(h)
	tb.Cleanup(srv.Close)
	c, err := kernel.Load[external.Engine](context.Background(), enginehttp.ID, kernel.Settings{"address": srv.URL})
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = kernel.Cleanup(c) })
	return c, srv
}

func newEngine(tb testing.TB, cfg engine.Config) *engine.Engine {
	cfg.Initial = loaded
	e := engine.New(cfg)
	tb.Cleanup(func() { _ = e.Close() })
	return e
}

func request(id string, maxTokens int) *external.GenerateRequest {
	return &external.GenerateRequest{RequestID: id, Model: "m", Prompt: "p " + id, MaxTokens: maxTokens}
}

func drain(s external.TokenStream) (text string, err error) {
	defer s.Close()
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += c.Text
	}
}

// Guards against fields that are lost between the interface and the wire.
func TestEveryCallOverHTTP(t *testing.T) {
	e := newEngine(t, engine.Config{Instant: true, CheckFence: true, OrderTime: time.Millisecond})
	c, _ := serve(t, e.Handler())
	ctx := t.Context()
	r := request("a", 200)
	want, _, _ := engine.Answer(r)
	for range 2 { // the second one uses the connection again
		s, err := c.Generate(ctx, r)
		require.NoError(t, err)
		got, err := drain(s)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	data, err := c.ExportKV(ctx, "a")
	require.NoError(t, err)
	handle, err := c.ImportKV(ctx, data)
	require.NoError(t, err)
	require.NotEmpty(t, handle)
	require.NoError(t, c.Cancel(ctx, "unknown"))
	o := external.EngineOrder{Fence: 3, Number: 2, Config: loaded}
	require.NoError(t, c.Apply(ctx, o))
	o.Fence = 2
	require.ErrorIs(t, c.Apply(ctx, o), external.ErrStaleFence)
	state, err := c.State(ctx)
	require.NoError(t, err)
	inProcess, err := e.State(ctx)
	require.NoError(t, err)
	require.Equal(t, inProcess, state)
	load, err := c.Load(ctx)
	require.NoError(t, err)
	require.Equal(t, engine.DefaultPieces, load.FreePieces)
	events, err := c.CacheEvents(ctx, 5)
	require.NoError(t, err)
	require.Empty(t, events)
}

// Guards against "not run" for a request that may have run, and against an answer that is cut
// and taken for whole.
func TestRefusedAndFailedAreDistinct(t *testing.T) {
	e := newEngine(t, engine.Config{})
	c, srv := serve(t, e.Handler())
	ctx := t.Context()
	r := request("a", 1000)
	r.Model = "not loaded"
	_, err := c.Generate(ctx, r)
	require.ErrorIs(t, err, external.ErrEngineRefused)

	s, err := c.Generate(ctx, request("a", 1000))
	require.NoError(t, err)
	_, err = s.Next()
	require.NoError(t, err)
	e.Crash()
	_, err = drain(s)
	require.ErrorIs(t, err, external.ErrEngineFailed)

	srv.Close()
	_, err = c.Generate(ctx, request("b", 10))
	require.ErrorIs(t, err, external.ErrEngineRefused, "a failed dial sends nothing")

	streams := map[string]string{
		"no finish reason": "data: {\"offset\":0,\"tokens\":1,\"text\":\" a\"}\n\n",
		"broken event":     "data: {\"offset\":\n\n",
		"late refusal":     "data: {\"error\":\"refused\"}\n\n",
		"empty":            "",
	}
	for name, body := range streams {
		c, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		s, err := c.Generate(ctx, request("c", 10))
		require.NoError(t, err, name)
		_, err = drain(s)
		require.ErrorIs(t, err, external.ErrEngineFailed, name)
		require.NotErrorIs(t, err, external.ErrEngineRefused, name)
	}
	c, _ = serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	_, err = c.Generate(ctx, request("d", 10))
	require.ErrorIs(t, err, external.ErrEngineFailed)
	require.NotErrorIs(t, err, external.ErrEngineRefused)
}

// Guards against generations that go on for callers that have left.
func TestContextEndCancelsOnTheEngine(t *testing.T) {
	e := newEngine(t, engine.Config{})
	c, _ := serve(t, e.Handler())
	ctx, cancel := context.WithCancel(t.Context())
	s, err := c.Generate(ctx, request("a", 100_000))
	require.NoError(t, err)
	defer s.Close()
	cancel()
	require.Eventually(t, func() bool {
		j := e.Journal()
		return j[len(j)-1].Kind == engine.RequestCancelled
	}, 10*time.Second, time.Millisecond)
	_, err = drain(s)
	require.ErrorIs(t, err, external.ErrEngineFailed)
}

// Guards against events that are lost, repeated, joined out of order or delayed when several have
// arrived at once.
func TestBufferedEventsAreMerged(t *testing.T) {
	event := func(offset, tokens int, text string) string {
		return fmt.Sprintf("data: {\"offset\":%d,\"tokens\":%d,\"text\":%q}\n\n", offset, tokens, text)
	}
	long := strings.Repeat("x", 9000)
	body := ": comment\n\n" + event(0, 1, "a") + event(1, 2, "bc") + ": comment\n\n" + event(7, 1, "gap") +
		event(8, 1, long) + event(9, 1, "") + "data: {\"offset\":10,\"tokens\":0,\"text\":\"\",\"finish_reason\":\"stop\"}\n\n"
	c, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	s, err := c.Generate(t.Context(), request("a", 10))
	require.NoError(t, err)
	defer s.Close()
	first, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, external.TokenChunk{Offset: 0, Tokens: 3, Text: "abc"}, first)
	rest := external.TokenChunk{Offset: 7}
	for rest.FinishReason == "" {
		next, err := s.Next()
		require.NoError(t, err)
		require.Equal(t, rest.Offset+rest.Tokens, next.Offset)
		rest.Tokens, rest.Text, rest.FinishReason = rest.Tokens+next.Tokens, rest.Text+next.Text, next.FinishReason
	}
	require.Equal(t, external.TokenChunk{Offset: 7, Tokens: 3, Text: "gap" + long, FinishReason: "stop"}, rest)
	_, err = s.Next()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a chunk that is held back until the next event comes.
func TestMergeDoesNotWait(t *testing.T) {
	release := make(chan struct{})
	c, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "data: {\"offset\":0,\"tokens\":1,\"text\":\"a\"}\n\ndata: {\"off")
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	s, err := c.Generate(t.Context(), request("a", 10))
	require.NoError(t, err)
	first, err := s.Next()
	require.NoError(t, err)
	require.Equal(t, "a", first.Text)
	close(release)
	_, err = s.Next()
	require.ErrorIs(t, err, external.ErrEngineFailed)
	require.NoError(t, s.Close())
}

// BenchmarkStream reports the cost of one token, engine and adapter together.
func BenchmarkStream(b *testing.B) {
	c, _ := serve(b, newEngine(b, engine.Config{Instant: true, JournalLimit: 100}).Handler())
	b.ReportAllocs()
	for n := 0; n < b.N; {
		s, err := c.Generate(b.Context(), request("bench", 1000))
		if err != nil {
			b.Fatal(err)
		}
		for {
			chunk, err := s.Next()
			if err != nil {
				break
			}
			n += chunk.Tokens
		}
		_ = s.Close()
	}
}
