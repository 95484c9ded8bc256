package engine

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
)

// sequence is one generation. The engine's mutex guards it, except for the fields that are set
// once.
type sequence struct {
	engine  *Engine
	req     external.GenerateRequest
	key     uint64
	arrival uint64
	length  int
	finish  string
	pieces  int
	prompt  int // prompt tokens
	hashes  []uint64
	wake    chan struct{}
	done    <-chan struct{} // of the caller's context
	unwatch func() bool

	prefill   int // tokens left to prefill
	prefilled int // tokens prefilled in the running step
	produced  int // absolute offset of the next token to generate
	delivered int // absolute offset of the next token to deliver
	last      bool
	ended     bool
	err       error
}

// Generate implements external.Engine. MaxTokens bounds the whole answer, including the tokens
// before Offset.
func (e *Engine) Generate(ctx context.Context, r *external.GenerateRequest) (external.TokenStream, error) {
	s := &sequence{engine: e, req: *r, key: answerKey(r), wake: make(chan struct{}, 1), done: ctx.Done()}
	s.length, s.finish = answerLength(s.key, r.MaxTokens)
	s.prompt = r.PromptTokens
	if s.prompt <= 0 {
		s.prompt = enginewire.CountWords(r.Prompt)
	}
	s.pieces = (s.prompt + r.MaxTokens + external.PieceTokens - 1) / external.PieceTokens
	s.produced, s.delivered = r.Offset, r.Offset
	if !e.cfg.Instant {
		s.hashes = enginewire.AppendPrefixHashes(nil, r.Model, r.Adapter, r.Prompt, e.cfg.CacheBlocks)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusal(ctx, s); reason != "" {
		e.record(Record{Kind: RequestRefused, RequestID: r.RequestID, Model: r.Model, Detail: reason})
		return nil, fmt.Errorf("%w: %s", external.ErrEngineRefused, reason)
	}
	e.accept(s)
	// The watch does not start before accept has set the sequence up, as it needs the mutex.
	s.unwatch = context.AfterFunc(ctx, func() { e.cancel(s, "context ended") })
	return s, nil
}

// refusal returns the reason for which a request is refused, or an empty string.
func (e *Engine) refusal(ctx context.Context, s *sequence) string {
	r := &s.req
	switch {
	case ctx.Err() != nil:
		return "context ended before the request was accepted"
	case e.down:
		return "engine is down"
	case e.state.Changing:
		return "engine executes an order"
	case r.MaxTokens <= 0 || r.Offset < 0 || r.PromptTokens < 0:
		return "max_tokens must be positive, offset and prompt_tokens not negative"
	case !hasModel(e.state.Config.Models, r.Model):
		return fmt.Sprintf("model %q is not loaded", r.Model)
	case r.Adapter != "" && !hasModel(e.state.Config.Adapters, r.Adapter):
		return fmt.Sprintf("adapter %q is not loaded", r.Adapter)
	case r.Offset > s.length:
		return fmt.Sprintf("offset %d is beyond the answer's %d tokens", r.Offset, s.length)
	case e.cfg.Instant:
		return ""
	case s.pieces > e.cfg.Pieces:
		return fmt.Sprintf("request needs %d pieces, the engine has %d", s.pieces, e.cfg.Pieces)
	case len(e.queue) >= e.cfg.MaxQueued:
		return "queue is full"
	}
	return ""
}

func hasModel(list []external.ModelVersion, name string) bool {
	return slices.ContainsFunc(list, func(m external.ModelVersion) bool { return m.Name == name })
}

func (e *Engine) accept(s *sequence) {
	if e.cfg.Instant {
		e.instant[s] = struct{}{}
		e.kv.keep(s)
		e.recordSequence(RequestStarted, s, "")
		return
	}
	e.arrivals++
	s.arrival = e.arrivals
	s.prefill = s.prompt + s.req.Offset
	e.queue = insert(e.queue, s)
	e.recordSequence(RequestQueued, s, "")
	if !e.stepping {
		// The first step is planned here and not in the loop, so that its requests do not depend
		// on how goroutines are scheduled.
		if d, ok := e.planStep(); ok {
			e.loop.Add(1)
			go e.run(d)
		}
	}
	e.noteLoad()
}

// insert keeps a list ordered by priority, then arrival.
func insert(list []*sequence, s *sequence) []*sequence {
	i, _ := slices.BinarySearchFunc(list, s, func(a, b *sequence) int {
		if a.req.Priority != b.req.Priority {
			return a.req.Priority - b.req.Priority
		}
		return int(int64(a.arrival) - int64(b.arrival))
	})
	return slices.Insert(list, i, s)
}

// Next implements external.TokenStream.
func (s *sequence) Next() (external.TokenChunk, error) {
	for {
		chunk, ready, err := s.take()
		if ready || err != nil {
			return chunk, err
		}
		select {
		case <-s.wake:
		case <-s.done:
			s.engine.cancel(s, "context ended")
		}
	}
}

// take returns the tokens that are ready.
func (s *sequence) take() (chunk external.TokenChunk, ready bool, err error) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.last {
		return chunk, false, io.EOF
	}
	if s.err != nil {
		return chunk, false, s.err
	}
	if e.cfg.Instant && !s.ended {
		s.produced = min(s.produced+1, s.length)
		if s.produced == s.length {
			e.end(s, RequestFinished, "", nil)
		}
	}
	if s.produced == s.delivered && !s.ended {
		return chunk, false, nil
	}
	chunk = external.TokenChunk{Offset: s.delivered, Tokens: s.produced - s.delivered}
	if chunk.Tokens > 0 {
		chunk.Text = tokens(s.key, s.delivered, s.produced)
	}
	s.delivered = s.produced
	if s.ended {
		chunk.FinishReason = s.finish
		s.last = true
	}
	return chunk, true, nil
}

// Close implements external.TokenStream. It cancels a generation that has not finished.
func (s *sequence) Close() error {
	s.engine.cancel(s, "stream closed")
	return nil
}

// Cancel implements external.Engine. An unknown request is no error.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.readable(ctx); err != nil {
		return err
	}
	for _, s := range e.inFlight() {
		if s.req.RequestID == requestID {
			e.end(s, RequestCancelled, "cancel call", errCancelled)
		}
	}
	return nil
}

var errCancelled = fmt.Errorf("%w: request cancelled", external.ErrEngineFailed)

func (e *Engine) cancel(s *sequence, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end(s, RequestCancelled, reason, errCancelled)
}

func (e *Engine) inFlight() []*sequence {
	all := slices.Concat(e.running, e.queue)
	for s := range e.instant {
		all = append(all, s)
	}
	return all
}

// cutAll ends every request in flight with ErrEngineFailed and returns them.
func (e *Engine) cutAll(reason string) []*sequence {
	all := e.inFlight()
	for _, s := range all {
		e.end(s, RequestCut, reason, fmt.Errorf("%w: %s", external.ErrEngineFailed, reason))
	}
	return all
}

// end takes a sequence out of the engine. Ending it again has no effect.
func (e *Engine) end(s *sequence, k Kind, detail string, err error) {
	if s.ended {
		return
	}
	s.ended, s.err = true, err
	if s.unwatch != nil {
		s.unwatch()
	}
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.free += s.pieces
	} else if i := slices.Index(e.queue, s); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
	delete(e.instant, s)
	e.recordSequence(k, s, detail)
	if !e.cfg.Instant {
		e.noteLoad()
	}
	s.signal()
}

func (s *sequence) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
