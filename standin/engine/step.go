package engine

import (
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
)

// run is the step loop. The first step has been planned and takes d. The loop ends when there is
// no work.
func (e *Engine) run(d time.Duration) {
	defer e.loop.Done()
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-e.closed:
		}
		var ok bool
		if d, ok = e.step(); !ok {
			return
		}
		timer.Reset(d)
	}
}

// step completes the running step and plans the next one.
func (e *Engine) step() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeStep()
	return e.planStep()
}

// planStep admits requests, plans the prefill and returns the step time. It returns false if
// there is no work.
func (e *Engine) planStep() (time.Duration, bool) {
	e.admit()
	if e.stepping = len(e.running) > 0; !e.stepping {
		return 0, false
	}
	budget := e.prefillBudget()
	planned := 0
	for _, s := range e.running {
		s.prefilled = min(s.prefill, budget-planned)
		planned += s.prefilled
	}
	d := e.cfg.StepBase + time.Duration(planned)*e.cfg.PrefillCost
	return d + time.Duration(len(e.running))*e.cfg.SequenceCost, true
}

func (e *Engine) prefillBudget() int {
	switch e.state.Config.Role {
	case external.RolePrefill:
		return e.cfg.PrefillChunk * prefillRoleFactor
	case external.RoleDecode:
		return max(1, e.cfg.PrefillChunk/decodeRoleDivisor)
	default:
		return e.cfg.PrefillChunk
	}
}

// admit starts queued requests in order while pieces are free. A request that does not fit
// blocks those behind it, so that large requests are not starved.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.cfg.MaxRunning && e.queue[0].pieces <= e.free {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.free -= s.pieces
		e.running = insert(e.running, s)
		s.prefill = e.prefillNeeded(s)
		e.recordSequence(RequestStarted, s, "")
	}
}

// prefillNeeded returns the tokens to prefill: the prompt and the delivered part of the answer,
// less what the prefix cache or imported KV cache holds. At least one token is prefilled, which
// yields the first answer token.
func (e *Engine) prefillNeeded(s *sequence) int {
	all := s.prompt + s.req.Offset
	have := e.kv.imported(s.req.KVHandle, s.key)
	if words := enginewire.CountWords(s.req.Prompt); words > 0 {
		cached := e.cache.match(s.hashes) * enginewire.BlockTokens
		have = max(have, cached*s.prompt/words)
	}
	return max(1, all-have)
}

// completeStep advances each running sequence by the planned prefill or by one token. A sequence
// whose prefill completes gets its first token in the same step.
func (e *Engine) completeStep() {
	finished := false
	for _, s := range e.running {
		if s.prefill > 0 {
			s.prefill -= s.prefilled
			s.prefilled = 0
			if s.prefill > 0 {
				continue
			}
			e.cache.store(s.hashes)
			e.kv.keep(s)
		}
		s.produced = min(s.produced+1, s.length)
		finished = finished || s.produced == s.length
		s.signal()
	}
	for finished {
		finished = e.finishOne()
	}
	e.noteLoad()
}

// finishOne ends one sequence that is complete and reports whether there was one.
func (e *Engine) finishOne() bool {
	for _, s := range e.running {
		if s.prefill == 0 && s.produced == s.length {
			e.end(s, RequestFinished, "", nil)
			return true
		}
	}
	return false
}
