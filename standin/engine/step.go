package engine

import (
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
)

// runSteps is the step loop. The caller has planned the first step, which takes d. The loop returns
// when there is no work left.
func (e *Engine) runSteps(d time.Duration) {
	defer e.stepLoop.Done()
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-e.closing:
		}
		var ok bool
		if d, ok = e.step(); !ok {
			return
		}
		timer.Reset(d)
	}
}

// step completes the current step and plans the next one. It returns the next step's duration, or false
// if there is no work.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeStep()
	return e.planStep()
}

// planStep admits queued requests, distributes the prefill budget and returns the duration of the
// step. It returns false if there is no work.
func (e *Engine) planStep() (time.Duration, bool) {
	e.admitQueued()
	if e.stepLoopRuns = len(e.running) > 0; !e.stepLoopRuns {
		return 0, false
	}
	budget := e.prefillBudget()
	planned := 0
	for _, s := range e.running {
		s.stepPrefill = min(s.prefillLeft, budget-planned)
		planned += s.stepPrefill
	}
	d := e.cfg.StepBase + time.Duration(planned)*e.cfg.PrefillCost
	return d + time.Duration(len(e.running))*e.cfg.SequenceCost, true
}

// prefillBudget returns the maximum number of tokens that one step prefills.
func (e *Engine) prefillBudget() int {
	switch e.state.Config.Role {
	case external.EngineRolePrefill:
		return e.cfg.PrefillChunk * prefillBudgetFactor
	case external.EngineRoleDecode:
		return max(1, e.cfg.PrefillChunk/decodeBudgetDivisor)
	default:
		return e.cfg.PrefillChunk
	}
}

// admitQueued starts queued requests in order while pieces are free and fewer than MaxRunning requests
// run. A request that does not fit blocks those behind it, so that large requests do not starve.
func (e *Engine) admitQueued() {
	for len(e.queue) > 0 && len(e.running) < e.cfg.MaxRunning && e.queue[0].reservedPieces <= e.freePieces {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.freePieces -= s.reservedPieces
		e.running = insertOrdered(e.running, s)
		s.prefillLeft = e.prefillNeeded(s)
		e.recordSequence(RequestStarted, s, "")
	}
}

// prefillNeeded returns the number of tokens to prefill: the prompt and the part of the answer that
// the caller already has, minus what the prefix cache or an imported KV cache holds. At least one
// token is prefilled, because the prefill produces the first answer token.
func (e *Engine) prefillNeeded(s *sequence) int {
	total := s.promptTokens + s.req.Offset
	available := e.kv.importedTokens(s.req.KVHandle, s.answerKey)
	if words := enginewire.CountWords(s.req.Prompt); words > 0 {
		// Cached blocks are counted in words; the count is scaled to the request's prompt tokens, which may
		// be declared as another number.
		cached := e.cache.match(s.prefixHashes) * enginewire.BlockTokens
		available = max(available, cached*s.promptTokens/words)
	}
	return max(1, total-available)
}

// completeStep advances each running sequence by its planned prefill or by one token. A sequence
// that completes its prefill produces its first token in the same step.
func (e *Engine) completeStep() {
	finished := false
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			s.prefillLeft -= s.stepPrefill
			s.stepPrefill = 0
			if s.prefillLeft > 0 {
				continue
			}
			e.cache.store(s.prefixHashes)
			e.kv.addExport(s)
		}
		s.generateOffset = min(s.generateOffset+1, s.answerLength)
		finished = finished || s.generateOffset == s.answerLength
		s.signal()
	}
	for finished {
		finished = e.finishNext()
	}
	e.recordLoad()
}

// finishNext ends the first complete sequence and reports whether there was one.
func (e *Engine) finishNext() bool {
	for _, s := range e.running {
		if s.prefillLeft == 0 && s.generateOffset == s.answerLength {
			e.endSequence(s, RequestFinished, "", nil)
			return true
		}
	}
	return false
}
