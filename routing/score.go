package routing

import (
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/load"
)

const (
	// latenessWeight is the cost, in seconds, of each second by which a latency target is exceeded,
	// so that a choice within its targets is preferred to one that is faster overall but misses a
	// target.
	latenessWeight = 20
	// fullWorkerPenaltySeconds is added to the cost of a worker without enough free KV cache
	// pieces, where the request would wait until others finish.
	fullWorkerPenaltySeconds = 5
	// homeCachedShare is the share of a prefix that is assumed to be cached at least on its home
	// worker.
	homeCachedShare = 0.25
	// minPrefillTokens is the number of prompt tokens that are prefilled even if all are cached.
	minPrefillTokens = 1
)

// candidate is a worker with the estimates for one request.
type candidate struct {
	worker        *Worker
	estimate      load.Estimate
	betweenTokens float64 // seconds between tokens of the answer
	cachedTokens  float64 // expected number of prompt tokens that the worker has cached
	decodeCost    float64 // cost in seconds of decoding the answer
}

// workerPair is a choice of prefill and decode worker, given by index, with the expected times in
// seconds to the first token and of the KV cache transfer.
type workerPair struct {
	prefill, decode      int
	firstToken, transfer float64
}

// scratch holds the buffers of one decision. They are reused to avoid allocations and grow to at
// most the size of the subset.
type scratch struct {
	candidates   []candidate
	workers      []*Worker
	cachedTokens []float64
	homeIndex    int // index of the prefix's home worker, or -1
	// Latency targets in seconds.
	firstTarget, betweenTarget float64
	// KV cache transfer times in seconds: [0] within a data centre, [1] between data centres.
	transferSeconds [2]float64
	chosen          workerPair
	// cheapestDecoder is the index of the cheapest worker for decoding in each data centre, or -1.
	cheapestDecoder [maxDataCentres]int
}

// prepare resets the buffers and collects the candidates from the subset, their load and their
// cached prefixes.
func (s *scratch) prepare(r *Router, q *Request, subset []*Worker, now time.Time) {
	s.candidates, s.workers = s.candidates[:0], s.workers[:0]
	s.firstTarget, s.betweenTarget = q.FirstToken.Seconds(), q.BetweenTokens.Seconds()
	bytes := float64(q.PromptTokens) * r.cfg.KVTokenBytes
	s.transferSeconds = [2]float64{
		bytes/r.cfg.Bandwidth + r.cfg.Latency.Seconds(),
		bytes/r.cfg.RemoteBandwidth + r.cfg.RemoteLatency.Seconds(),
	}
	for _, w := range subset {
		if len(q.Exclude) > 0 && slices.Contains(q.Exclude, w.ID) {
			continue
		}
		s.workers = append(s.workers, w)
		s.candidates = append(s.candidates, candidate{worker: w, estimate: w.Load.Estimate(now)})
	}
	s.homeIndex = -1
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
// the worker with the highest score among those whose prefill queue is at most bound times the
// mean queue that results when the prompt is added.
// Requests with the same prefix thus reach the same worker before any cache events are known.
func (s *scratch) findHomeWorker(q *Request, bound float64) {
	total, count := 0.0, 0
	for i := range s.candidates {
		if s.candidates[i].worker.Role != external.EngineRoleDecode {
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
		if c.worker.Role == external.EngineRoleDecode || c.estimate.PrefillTokens > limit {
			continue
		}
		if score := mix64(c.worker.idHash ^ firstBlock); score >= topScore {
			topScore, s.homeIndex = score, i
		}
	}
	if s.homeIndex >= 0 {
		c := &s.candidates[s.homeIndex]
		c.cachedTokens = max(c.cachedTokens, homeCachedShare*float64(min(len(q.Blocks)*BlockTokens, q.PromptTokens-minPrefillTokens)))
	}
}

// findCheapestDecoders computes the cost, in seconds, of decoding on each candidate and finds the
// cheapest worker for decoding in each data centre.
func (s *scratch) findCheapestDecoders(q *Request) {
	for i := range s.cheapestDecoder {
		s.cheapestDecoder[i] = -1
	}
	pieces := q.Pieces()
	for i := range s.candidates {
		c := &s.candidates[i]
		c.betweenTokens = c.estimate.BetweenTokens()
		c.decodeCost = float64(q.OutputTokens)*c.betweenTokens + latenessCost(c.betweenTokens, s.betweenTarget)*float64(max(q.OutputTokens, 1))
		if !c.estimate.Fits(pieces) {
			c.decodeCost += fullWorkerPenaltySeconds
		}
		if c.worker.Role == external.EngineRolePrefill {
			continue
		}
		if n := s.cheapestDecoder[c.worker.dcIndex]; n < 0 || c.decodeCost < s.candidates[n].decodeCost {
			s.cheapestDecoder[c.worker.dcIndex] = i
		}
	}
}

// latenessCost returns the additional cost, in seconds, of exceeding a latency target. A target of
// zero means none.
func latenessCost(seconds, target float64) float64 {
	if target <= 0 || seconds <= target {
		return 0
	}
	return latenessWeight * (seconds - target)
}

// evaluatePrefill evaluates the choices that prefill on candidate i, and keeps the cheapest so far
// in s.chosen: decoding on the same worker, and on the cheapest worker for decoding of each data
// centre.
func (s *scratch) evaluatePrefill(r *Router, q *Request, i int, bestCost *float64) {
	c := &s.candidates[i]
	tokens := float64(q.PromptTokens) - c.cachedTokens
	if c.worker.Role == external.EngineRoleDecode && tokens > float64(r.cfg.MaxShortPrefill) {
		return
	}
	firstToken := c.estimate.FirstToken(tokens)
	if q.DataCentre != "" && c.worker.DataCentre != q.DataCentre {
		firstToken += r.cfg.RemoteLatency.Seconds()
	}
	cost := firstToken + latenessCost(firstToken, s.firstTarget)
	prefillSeconds := tokens * c.estimate.Speed.PrefillSecondsPerToken
	if c.worker.Role != external.EngineRolePrefill {
		// The prefill delays each sequence that the worker decodes.
		cost += r.cfg.InterferenceWeight * prefillSeconds * float64(c.estimate.Sequences)
		s.evaluatePair(i, i, firstToken, cost, bestCost)
	}
	if c.worker.Role == external.EngineRoleDecode {
		return
	}
	for _, n := range s.cheapestDecoder {
		if n >= 0 && n != i {
			s.evaluatePair(i, n, firstToken, cost, bestCost)
		}
	}
}

// evaluatePair keeps a pair in s.chosen if it costs less than bestCost. The given cost is that of
// the prefill alone. Costs and firstToken are in seconds.
func (s *scratch) evaluatePair(prefillIndex, decodeIndex int, firstToken, cost float64, bestCost *float64) {
	prefill, decode := &s.candidates[prefillIndex], &s.candidates[decodeIndex]
	transfer := 0.0
	if prefillIndex != decodeIndex {
		transfer = s.transferSeconds[0]
		if prefill.worker.dcIndex != decode.worker.dcIndex {
			transfer = s.transferSeconds[1]
		}
	}
	cost += transfer + decode.decodeCost
	if cost >= *bestCost {
		return
	}
	*bestCost = cost
	s.chosen = workerPair{prefill: prefillIndex, decode: decodeIndex, firstToken: firstToken, transfer: transfer}
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
	case prefillIndex == decodeIndex && prefill.worker.Role == external.EngineRoleDecode:
		d.Reason = ReasonShortPrefill
	case prefillIndex == s.homeIndex && prefill.cachedTokens > 0:
		d.Reason = ReasonHomeWorker
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
