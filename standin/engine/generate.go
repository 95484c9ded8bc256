package engine

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
)

// sequence is the generation of one answer. It is guarded by Engine.mu, except for the fields that
// never change after Generate.
type sequence struct {
	engine           *Engine
	req              external.GenerateRequest
	answerKey        uint64 // hash of all that determines the answer
	arrival          uint64
	answerLength     int // tokens of the whole answer, including those before Offset
	finishReason     string
	reservedPieces   int
	promptTokens     int
	prefixHashes     []uint64        // of the prompt's blocks
	wake             chan struct{}   // signals Next
	ctxDone          <-chan struct{} // done channel of the caller's context
	stopContextWatch func() bool

	prefillLeft int // tokens left to prefill
	stepPrefill int // tokens that the current step prefills
	// generateOffset and deliverOffset are the offsets in the whole answer of the next token to generate
	// and to deliver.
	generateOffset int
	deliverOffset  int
	finalChunkRead bool // Next has returned the last chunk
	ended          bool // the generation is over
	err            error
}

// Generate implements external.Engine. MaxTokens limits the whole answer, including the tokens before
// Offset.
func (e *Engine) Generate(ctx context.Context, r *external.GenerateRequest) (external.TokenStream, error) {
	s := &sequence{engine: e, req: *r, answerKey: answerKey(r), wake: make(chan struct{}, 1), ctxDone: ctx.Done()}
	s.answerLength, s.finishReason = answerLength(s.answerKey, r.MaxTokens)
	s.promptTokens = r.PromptTokens
	if s.promptTokens <= 0 {
		s.promptTokens = enginewire.CountWords(r.Prompt)
	}
	s.reservedPieces = (s.promptTokens + r.MaxTokens + external.PieceTokens - 1) / external.PieceTokens
	s.generateOffset, s.deliverOffset = r.Offset, r.Offset
	if !e.cfg.Instant {
		s.prefixHashes = enginewire.AppendPrefixHashes(nil, r.Model, r.Adapter, r.Prompt, e.cfg.CacheBlocks)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusalReason(ctx, s); reason != "" {
		e.record(Record{Kind: RequestRefused, RequestID: r.RequestID, Model: r.Model, Detail: reason})
		return nil, fmt.Errorf("%w: %s", external.ErrEngineRefused, reason)
	}
	e.accept(s)
	// The callback needs the mutex, so it cannot run before Generate has returned, even if the context
	// ends at once.
	s.stopContextWatch = context.AfterFunc(ctx, func() { e.cancel(s, "context ended") })
	return s, nil
}

// refusalReason returns why a request is refused, or an empty string if it is accepted.
func (e *Engine) refusalReason(ctx context.Context, s *sequence) string {
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
	case r.Offset > s.answerLength:
		return fmt.Sprintf("offset %d is beyond the answer's %d tokens", r.Offset, s.answerLength)
	case e.cfg.Instant:
		return ""
	case s.reservedPieces > e.cfg.Pieces:
		return fmt.Sprintf("request needs %d pieces, the engine has %d", s.reservedPieces, e.cfg.Pieces)
	case len(e.queue) >= e.cfg.MaxQueued:
		return "queue is full"
	}
	return ""
}

func hasModel(list []external.ModelVersion, name string) bool {
	return slices.ContainsFunc(list, func(m external.ModelVersion) bool { return m.Name == name })
}

// accept queues a request and starts the step loop if it is not running. In instant mode the request
// starts at once.
func (e *Engine) accept(s *sequence) {
	if e.cfg.Instant {
		e.instantRequests[s] = struct{}{}
		e.kv.addExport(s)
		e.recordSequence(RequestStarted, s, "")
		return
	}
	e.arrivals++
	s.arrival = e.arrivals
	s.prefillLeft = s.promptTokens + s.req.Offset
	e.queue = insertOrdered(e.queue, s)
	e.recordSequence(RequestQueued, s, "")
	if !e.stepLoopRuns {
		// The first step is planned here instead of in the step loop, so that the set of requests in
		// it does not depend on goroutine scheduling.
		if d, ok := e.planStep(); ok {
			e.stepLoop.Add(1)
			go e.runSteps(d)
		}
	}
	e.recordLoad()
}

// insertOrdered inserts a sequence into a list ordered by priority, then arrival.
func insertOrdered(list []*sequence, s *sequence) []*sequence {
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
		chunk, ready, err := s.takeReady()
		if ready || err != nil {
			return chunk, err
		}
		select {
		case <-s.wake:
		case <-s.ctxDone:
			s.engine.cancel(s, "context ended")
		}
	}
}

// takeReady returns the tokens not yet delivered; in Instant mode it generates the next one first. ready
// is false if there are none and the sequence has not ended. After the last chunk it returns io.EOF.
func (s *sequence) takeReady() (chunk external.TokenChunk, ready bool, err error) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.finalChunkRead {
		return chunk, false, io.EOF
	}
	if s.err != nil {
		return chunk, false, s.err
	}
	if e.cfg.Instant && !s.ended {
		s.generateOffset = min(s.generateOffset+1, s.answerLength)
		if s.generateOffset == s.answerLength {
			e.endSequence(s, RequestFinished, "", nil)
		}
	}
	if s.generateOffset == s.deliverOffset && !s.ended {
		return chunk, false, nil
	}
	chunk = external.TokenChunk{Offset: s.deliverOffset, Tokens: s.generateOffset - s.deliverOffset}
	if chunk.Tokens > 0 {
		chunk.Text = joinTokens(s.answerKey, s.deliverOffset, s.generateOffset)
	}
	s.deliverOffset = s.generateOffset
	if s.ended {
		chunk.FinishReason = s.finishReason
		s.finalChunkRead = true
	}
	return chunk, true, nil
}

// Close implements external.TokenStream. It cancels an unfinished generation.
func (s *sequence) Close() error {
	s.engine.cancel(s, "stream closed")
	return nil
}

// Cancel implements external.Engine. Cancelling an unknown request is not an error.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAvailable(ctx); err != nil {
		return err
	}
	for _, s := range e.inFlight() {
		if s.req.RequestID == requestID {
			e.endSequence(s, RequestCancelled, "cancel call", errCancelled)
		}
	}
	return nil
}

var errCancelled = fmt.Errorf("%w: request cancelled", external.ErrEngineFailed)

func (e *Engine) cancel(s *sequence, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endSequence(s, RequestCancelled, reason, errCancelled)
}

func (e *Engine) inFlight() []*sequence {
	all := slices.Concat(e.running, e.queue)
	for s := range e.instantRequests {
		all = append(all, s)
	}
	return all
}

// abortAll ends all requests in flight with ErrEngineFailed and returns them.
func (e *Engine) abortAll(reason string) []*sequence {
	all := e.inFlight()
	for _, s := range all {
		e.endSequence(s, RequestAborted, reason, fmt.Errorf("%w: %s", external.ErrEngineFailed, reason))
	}
	return all
}

// endSequence removes a sequence from the engine and wakes its reader. It has no effect on a sequence
// that has ended.
func (e *Engine) endSequence(s *sequence, k Kind, detail string, err error) {
	if s.ended {
		return
	}
	s.ended, s.err = true, err
	if s.stopContextWatch != nil {
		s.stopContextWatch()
	}
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.freePieces += s.reservedPieces
	} else if i := slices.Index(e.queue, s); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
	delete(e.instantRequests, s)
	e.recordSequence(k, s, detail)
	if !e.cfg.Instant {
		e.recordLoad()
	}
	s.signal()
}

func (s *sequence) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
