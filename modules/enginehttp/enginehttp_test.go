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

// loaded is a configuration in which model m is loaded.
var loaded = external.EngineConfig{
	Role: external.EngineRoleMixed, Models: []external.ModelVersion{{Name: "m", Version: "1"}},
}

// newClient starts a server with a handler and returns a client of it.
func newClient(tb testing.TB, h http.Handler) (external.Engine, *httptest.Server) {
	tb.Helper()
	srv := httptest.NewServer(h)
	tb.Cleanup(srv.Close)
	c, err := kernel.Load[external.Engine](context.Background(), enginehttp.ID, kernel.Settings{"address": srv.URL})
	require.NoError(tb, err)
	tb.Cleanup(func() { _ = kernel.Cleanup(c) })
	return c, srv
}

// newEngine returns a stand-in engine that has loaded model m.
func newEngine(tb testing.TB, cfg engine.Config) *engine.Engine {
	cfg.Initial = loaded
	e := engine.New(cfg)
	tb.Cleanup(func() { _ = e.Close() })
	return e
}

func request(id string, maxTokens int) *external.GenerateRequest {
	return &external.GenerateRequest{RequestID: id, Model: "m", Prompt: "p " + id, MaxTokens: maxTokens}
}

// readText reads a stream to its end and returns the received text, also if the stream ends with an
// error.
func readText(s external.TokenStream) (text string, err error) {
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

// Each call must transfer all fields of its arguments and results over HTTP.
func TestEveryCallOverHTTP(t *testing.T) {
	e := newEngine(t, engine.Config{Instant: true, CheckFence: true, OrderTime: time.Millisecond})
	c, _ := newClient(t, e.Handler())
	ctx := t.Context()
	r := request("a", 200)
	want, _, _ := engine.Answer(r)
	for range 2 { // the second request reuses the connection
		s, err := c.Generate(ctx, r)
		require.NoError(t, err)
		got, err := readText(s)
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

// A request that may have run must not be reported as refused, and a truncated answer must return an
// error instead of io.EOF.
func TestRefusedAndFailedAreDistinct(t *testing.T) {
	e := newEngine(t, engine.Config{})
	c, srv := newClient(t, e.Handler())
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
	_, err = readText(s)
	require.ErrorIs(t, err, external.ErrEngineFailed)

	srv.Close()
	_, err = c.Generate(ctx, request("b", 10))
	require.ErrorIs(t, err, external.ErrEngineRefused, "no request is sent if the connection cannot be opened")

	streams := map[string]string{
		"no finish reason": "data: {\"offset\":0,\"tokens\":1,\"text\":\" a\"}\n\n",
		"broken event":     "data: {\"offset\":\n\n",
		"late refusal":     "data: {\"error\":\"refused\"}\n\n",
		"empty":            "",
	}
	for name, body := range streams {
		c, _ := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		s, err := c.Generate(ctx, request("c", 10))
		require.NoError(t, err, name)
		_, err = readText(s)
		require.ErrorIs(t, err, external.ErrEngineFailed, name)
		require.NotErrorIs(t, err, external.ErrEngineRefused, name)
	}
	c, _ = newClient(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	_, err = c.Generate(ctx, request("d", 10))
	require.ErrorIs(t, err, external.ErrEngineFailed)
	require.NotErrorIs(t, err, external.ErrEngineRefused)
}

// When the caller's context ends, the engine must cancel the generation. Otherwise it continues to
// generate tokens for a caller that has disconnected.
func TestContextEndCancelsOnTheEngine(t *testing.T) {
	e := newEngine(t, engine.Config{})
	c, _ := newClient(t, e.Handler())
	ctx, cancel := context.WithCancel(t.Context())
	s, err := c.Generate(ctx, request("a", 100_000))
	require.NoError(t, err)
	defer s.Close()
	cancel()
	require.Eventually(t, func() bool {
		j := e.Journal()
		return j[len(j)-1].Kind == engine.RequestCancelled
	}, 10*time.Second, time.Millisecond)
	_, err = readText(s)
	require.ErrorIs(t, err, external.ErrEngineFailed)
}

// Events that arrive together must be merged without loss, duplication or reordering. Events that do not
// directly follow each other must not be merged.
func TestBufferedEventsAreMerged(t *testing.T) {
	event := func(offset, tokens int, text string) string {
		return fmt.Sprintf("data: {\"offset\":%d,\"tokens\":%d,\"text\":%q}\n\n", offset, tokens, text)
	}
	long := strings.Repeat("x", 9000)
	body := ": comment\n\n" + event(0, 1, "a") + event(1, 2, "bc") + ": comment\n\n" + event(7, 1, "gap") +
		event(8, 1, long) + event(9, 1, "") + "data: {\"offset\":10,\"tokens\":0,\"text\":\"\",\"finish_reason\":\"stop\"}\n\n"
	c, _ := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
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

// Next must return an event that has arrived without waiting for the next event, of which only a part
// has arrived.
func TestMergeDoesNotWait(t *testing.T) {
	release := make(chan struct{})
	c, _ := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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

// BenchmarkStream measures the cost per token of the stand-in engine and the adapter together.
func BenchmarkStream(b *testing.B) {
	c, _ := newClient(b, newEngine(b, engine.Config{Instant: true, JournalLimit: 100}).Handler())
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
