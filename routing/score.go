package routing

import (
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/load"
)

const (
	// latenessWeight is the cost of each second by which a latency target is exceeded, so that a
	// choice within its targets is preferred to one that is faster overall but misses a target.
	latenessWeight = 20
	// fullEnginePenaltySeconds is added to the cost of an engine without enough free KV cache pieces,
	// where the request would wait until others finish.
	fullEnginePenaltySeconds = 5
	// homeCachedShare is the share of a prefix that is assumed to be cached on its home worker if
	// nothing else is known.
	homeCachedShare = 0.25
	// minPrefillTokens is the number of prompt tokens that are prefilled even if all are cached.
	minPrefillTokens = 1
)

// candidate is a worker with the estimates for one request.
type candidate struct {
	worker        *Worker
	estimate      load.Estimate
	betweenTokens float64
	cachedTokens  float64
	decodeCost    float64 // cost in seconds of decoding the answer
}

// enginePair is a choice of prefill and decode engine, given by index, with the expected times in
// seconds to the first token and of the KV cache transfer.
type enginePair struct {
	prefill, decode      int
	firstToken, transfer float64
}

// scratch holds the buffers of one decision. They are reused to avoid allocations and grow to at
// most the size of the subset.
type scratch struct {
	candidates   []candidate
	workers      []*Worker
	cachedTokens []float64
	home         int
	// Latency targets, and KV cache transfer times within and between data centres, in seconds.
	firstTarget, betweenTarget float64
	transferSeconds            [2]float64
	chosen                     enginePair
	// bestDecode is the index of the cheapest decode engine in each data centre, or -1.
	bestDecode [maxDataCentres]int
}

// prepare resets the buffers and collects the candidates, their load and their cached prefixes.
func (s *scratch) prepare(r *Router, q *Request, candidates []*Worker, now time.Time) {
	s.candidates, s.workers = s.candidates[:0], s.workers[:0]
	s.firstTarget, s.betweenTarget = q.FirstToken.Seconds(), q.BetweenTokens.Seconds()
	bytes := float64(q.PromptTokens) * r.cfg.KVTokenBytes
	s.transferSeconds = [2]float64{
		bytes/r.cfg.Bandwidth + r.cfg.Latency.Seconds(),
		bytes/r.cfg.RemoteBandwidth + r.cfg.RemoteLatency.Seconds(),
	}
	for _, w := range candidates {
		if len(q.Exclude) > 0 && slices.Contains(q.Exclude, w.ID) {
			continue
		}
		s.workers = append(s.workers, w)
		s.candidates = append(s.candidates, candidate{worker: w, estimate: w.Load.Estimate(now)})
	}
	s.home = -1
	if len(q.Blocks) == 0 {
		return
	}
	s.cachedTokens = append(s.cachedTokens[:0], make([]float64, len(s.workers))...)
	r.prefix.estimateCached(q.Blocks, s.workers, s.cachedTokens, now)
	for i, v := range s.cachedTokens {
		s.candidates[i].cachedTokens = min(v, float64(q.PromptTokens-minPrefillTokens))
	}
	s.findHomeWorker(q, r.cfg.HomeLoadBound)
}

// findHomeWorker determines the home worker of the prefix by rendezvous hashing with bounded loads:
// the worker with the highest score among those whose prefill queue is at most bound times the mean.
// Requests with the same prefix thus reach the same worker before any cache events are known.
func (s *scratch) findHomeWorker(q *Request, bound float64) {
	total, count := 0.0, 0
	for i := range s.candidates {
		if s.candidates[i].worker.Role != external.RoleDecode {
			total += s.candidates[i].estimate.PrefillTokens
			count++
		}
	}
	if count == 0 {
		return
	}
	limit := bound * (total + float64(q.PromptTokens)) / float64(count)
	firstBlock := q.Blocks[0]
	var topScore uint64
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.worker.Role == external.RoleDecode || c.estimate.PrefillTokens > limit {
			continue
		}
		if score := mix64(c.worker.idHash ^ firstBlock); score >= topScore {
			topScore, s.home = score, i
		}
	}
	if s.home >= 0 {
		c := &s.candidates[s.home]
		c.cachedTokens = max(c.cachedTokens, homeCachedShare*float64(min(len(q.Blocks)*BlockTokens, q.PromptTokens-minPrefillTokens)))
	}
}

// findBestDecodes computes the cost of decoding on each candidate and finds the cheapest decode engine
// in each data centre.
func (s *scratch) findBestDecodes(q *Request) {
	for i := range s.bestDecode {
		s.bestDecode[i] = -1
	}
	pieces := q.Pieces()
	for i := range s.candidates {
		c := &s.candidates[i]
		c.betweenTokens = c.estimate.BetweenTokens()
		c.decodeCost = float64(q.OutputTokens)*c.betweenTokens + latenessCost(c.betweenTokens, s.betweenTarget)*float64(max(q.OutputTokens, 1))
		if !c.estimate.Fits(pieces) {
			c.decodeCost += fullEnginePenaltySeconds
		}
		if c.worker.Role == external.RolePrefill {
			continue
		}
		if n := s.bestDecode[c.worker.dcIndex]; n < 0 || c.decodeCost < s.candidates[n].decodeCost {
			s.bestDecode[c.worker.dcIndex] = i
		}
	}
}

// latenessCost returns the additional cost of exceeding a latency target. A target of zero means none.
func latenessCost(seconds, target float64) float64 {
	if target <= 0 || seconds <= target {
		return 0
	}
	return latenessWeight * (seconds - target)
}

// evaluatePrefill compares the choices that prefill on candidate i with the best one so far: decoding
// on the same engine, and on the cheapest decode engine of each data centre.
func (s *scratch) evaluatePrefill(r *Router, q *Request, i int, best *float64) {
	c := &s.candidates[i]
	tokens := float64(q.PromptTokens) - c.cachedTokens
	if c.worker.Role == external.RoleDecode && tokens > float64(r.cfg.MaxShortPrefill) {
		return
	}
	firstToken := c.estimate.FirstToken(tokens)
	if q.DataCentre != "" && c.worker.DataCentre != q.DataCentre {
		firstToken += r.cfg.RemoteLatency.Seconds()
	}
	cost := firstToken + latenessCost(firstToken, s.firstTarget)
	prefillSeconds := tokens * c.estimate.Speed.PrefillSecondsPerToken
	if c.worker.Role != external.RolePrefill {
		// The prefill delays each sequence that the engine decodes.
		cost += r.cfg.Interference * prefillSeconds * float64(c.estimate.Sequences)
		s.evaluatePair(i, i, firstToken, cost, best)
	}
	if c.worker.Role == external.RoleDecode {
		return
	}
	for _, n := range s.bestDecode {
		if n >= 0 && n != i {
			s.evaluatePair(i, n, firstToken, cost, best)
		}
	}
}

// evaluatePair compares one pair with the best one so far, and keeps it if its cost is lower. The
// given cost covers the prefill.
func (s *scratch) evaluatePair(prefillIndex, decodeIndex int, firstToken, cost float64, best *float64) {
	prefill, decode := &s.candidates[prefillIndex], &s.candidates[decodeIndex]
	transfer := 0.0
	if prefillIndex != decodeIndex {
		transfer = s.transferSeconds[0]
		if prefill.worker.dcIndex != decode.worker.dcIndex {
			transfer = s.transferSeconds[1]
		}
	}
	cost += transfer + decode.decodeCost
	if cost >= *best {
		return
	}
	*best = cost
	s.chosen = enginePair{prefill: prefillIndex, decode: decodeIndex, firstToken: firstToken, transfer: transfer}
}

// fillDecision writes the chosen pair into the decision.
func (s *scratch) fillDecision(q *Request, d *Decision) {
	prefillIndex, decodeIndex, firstToken, transfer := s.chosen.prefill, s.chosen.decode, s.chosen.firstToken, s.chosen.transfer
	prefill, decode := &s.candidates[prefillIndex], &s.candidates[decodeIndex]
	d.Prefill, d.Decode = prefill.worker, decode.worker
	d.PrefillTokens = int(float64(q.PromptTokens) - prefill.cachedTokens)
	d.FirstToken, d.Transfer = seconds(firstToken), seconds(transfer)
	d.BetweenTokens = seconds(decode.betweenTokens)
	d.Total = seconds(firstToken + transfer + float64(q.OutputTokens)*decode.betweenTokens)
	switch {
	case prefillIndex == decodeIndex && prefill.worker.Role == external.RoleDecode:
		d.Reason = ReasonShortPrefill
	case prefillIndex == s.home && prefill.cachedTokens > 0:
		d.Reason = ReasonHomeEngine
	case prefill.cachedTokens > 0:
		d.Reason = ReasonPrefixCached
	case prefillIndex == decodeIndex:
		d.Reason = ReasonSingle
	default:
		d.Reason = ReasonPair
	}
}

// selectProbes returns the workers with the oldest load reports beyond maxAge, oldest first. Workers
// that haven't reported yet come first.
func (s *scratch) selectProbes(maxAge time.Duration) (out [maxProbes]*Worker) {
	var ages [maxProbes]time.Duration
	for i := range s.candidates {
		c := &s.candidates[i]
		age := c.estimate.Age
		if !c.estimate.Known {
			age = 1<<63 - 1
		}
		if age <= maxAge {
			continue
		}
		for k := range out {
			if out[k] == nil || age > ages[k] {
				copy(out[k+1:], out[k:])
				copy(ages[k+1:], ages[k:])
				out[k], ages[k] = c.worker, age
				break
			}
		}
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
