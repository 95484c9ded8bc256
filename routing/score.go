package routing

import (
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/load"
)

const (
	// lateFactor weighs each second beyond a latency target against a second within it, so that a
	// choice that is on time beats a faster one that misses a target.
	lateFactor = 20
	// noRoomSeconds is added for an engine without free pieces: the request would wait for others
	// to finish.
	noRoomSeconds = 5
	// homeShare is the part of the prefix that is expected to be cached on its home worker when
	// nothing is known about it.
	homeShare = 0.25
	// minKeptTokens is the least prefill that remains after cache hits.
	minKeptTokens = 1
)

type scored struct {
	worker   *Worker
	estimate load.Estimate
	between  float64
	saved    float64
	decode   float64 // cost of decoding here
}

type choice struct {
	prefill, decode int
	first, transfer float64
}

// scratch is the working memory of one decision. It is reused and grows with the subset at most.
type scratch struct {
	candidates []scored
	workers    []*Worker
	saved      []float64
	home       int
	// Per request: the targets in seconds and the transfer times within and between data centres.
	first, between float64
	transfer       [2]float64
	chosen         choice
	// near is the index of the best decode engine per data centre; -1 if there is none.
	near [maxCentres]int
}

func (s *scratch) prepare(r *Router, q *Request, candidates []*Worker, now time.Time) {
	s.candidates, s.workers = s.candidates[:0], s.workers[:0]
	s.first, s.between = q.FirstToken.Seconds(), q.BetweenTokens.Seconds()
	bytes := float64(q.PromptTokens) * r.cfg.KVTokenBytes
	s.transfer = [2]float64{
		bytes/r.cfg.Bandwidth + r.cfg.Latency.Seconds(),
		bytes/r.cfg.FarBandwidth + r.cfg.FarLatency.Seconds(),
	}
	for _, w := range candidates {
		if len(q.Exclude) > 0 && slices.Contains(q.Exclude, w.ID) {
			continue
		}
		s.workers = append(s.workers, w)
		s.candidates = append(s.candidates, scored{worker: w, estimate: w.Load.Estimate(now)})
	}
	s.home = -1
	if len(q.Blocks) == 0 {
		return
	}
	s.saved = append(s.saved[:0], make([]float64, len(s.workers))...)
	r.prefix.cached(q.Blocks, s.workers, s.saved, now)
	for i, v := range s.saved {
		s.candidates[i].saved = min(v, float64(q.PromptTokens-minKeptTokens))
	}
	s.findHome(q, r.cfg.LoadBound)
}

// findHome sets the home of the prefix by bounded-load rendezvous hashing: the highest score
// among the workers whose prefill queue is at most the bound times the mean.
func (s *scratch) findHome(q *Request, bound float64) {
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
	first := q.Blocks[0]
	var top uint64
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.worker.Role == external.RoleDecode || c.estimate.PrefillTokens > limit {
			continue
		}
		if score := mix(c.worker.hash ^ first); score >= top {
			top, s.home = score, i
		}
	}
	if s.home >= 0 {
		c := &s.candidates[s.home]
		c.saved = max(c.saved, homeShare*float64(min(len(q.Blocks)*BlockTokens, q.PromptTokens-minKeptTokens)))
	}
}

// bestDecodes finds the cheapest decode engine of each data centre.
func (s *scratch) bestDecodes(q *Request) {
	for i := range s.near {
		s.near[i] = -1
	}
	pieces := q.Pieces()
	for i := range s.candidates {
		c := &s.candidates[i]
		c.between = c.estimate.BetweenTokens()
		c.decode = float64(q.OutputTokens)*c.between + late(c.between, s.between)*float64(max(q.OutputTokens, 1))
		if !c.estimate.Fits(pieces) {
			c.decode += noRoomSeconds
		}
		if c.worker.Role == external.RolePrefill {
			continue
		}
		if n := s.near[c.worker.dc]; n < 0 || c.decode < s.candidates[n].decode {
			s.near[c.worker.dc] = i
		}
	}
}

// late is the cost of exceeding a target.
func late(seconds, target float64) float64 {
	if target <= 0 || seconds <= target {
		return 0
	}
	return lateFactor * (seconds - target)
}

// considerPrefill compares the pairs that prefill on candidate i with the best so far.
func (s *scratch) considerPrefill(r *Router, q *Request, i int, best *float64) {
	c := &s.candidates[i]
	tokens := float64(q.PromptTokens) - c.saved
	if c.worker.Role == external.RoleDecode && tokens > float64(r.cfg.ShortPrefill) {
		return
	}
	first := c.estimate.FirstToken(tokens)
	if q.DataCentre != "" && c.worker.DataCentre != q.DataCentre {
		first += r.cfg.FarLatency.Seconds()
	}
	cost := first + late(first, s.first)
	work := tokens * c.estimate.Speed.PrefillSecondsPerToken
	if c.worker.Role != external.RolePrefill {
		// Each running sequence is delayed by the time of the prefill.
		cost += r.cfg.Interference * work * float64(c.estimate.Sequences)
		s.consider(i, i, first, cost, best)
	}
	if c.worker.Role == external.RoleDecode {
		return
	}
	for _, n := range s.near {
		if n >= 0 && n != i {
			s.consider(i, n, first, cost, best)
		}
	}
}

func (s *scratch) consider(p, n int, first, cost float64, best *float64) {
	prefill, decode := &s.candidates[p], &s.candidates[n]
	transfer := 0.0
	if p != n {
		transfer = s.transfer[0]
		if prefill.worker.dc != decode.worker.dc {
			transfer = s.transfer[1]
		}
	}
	cost += transfer + decode.decode
	if cost >= *best {
		return
	}
	*best = cost
	s.chosen = choice{prefill: p, decode: n, first: first, transfer: transfer}
}

// fill writes the best choice into the decision.
func (s *scratch) fill(q *Request, d *Decision) {
	p, n, first, transfer := s.chosen.prefill, s.chosen.decode, s.chosen.first, s.chosen.transfer
	prefill, decode := &s.candidates[p], &s.candidates[n]
	d.Prefill, d.Decode = prefill.worker, decode.worker
	d.PrefillTokens = int(float64(q.PromptTokens) - prefill.saved)
	d.FirstToken, d.Transfer = seconds(first), seconds(transfer)
	d.BetweenTokens = seconds(decode.between)
	d.Total = seconds(first + transfer + float64(q.OutputTokens)*decode.between)
	switch {
	case p == n && prefill.worker.Role == external.RoleDecode:
		d.Reason = ReasonShort
	case p == s.home && prefill.saved > 0:
		d.Reason = ReasonHome
	case prefill.saved > 0:
		d.Reason = ReasonPrefix
	case p == n:
		d.Reason = ReasonSingle
	default:
		d.Reason = ReasonPair
	}
}

// probes returns the workers with the oldest views beyond the bound.
func (s *scratch) probes(bound time.Duration) (out [maxProbes]*Worker) {
	var ages [maxProbes]time.Duration
	for i := range s.candidates {
		c := &s.candidates[i]
		age := c.estimate.Age
		if !c.estimate.Known {
			age = 1<<63 - 1
		}
		if age <= bound {
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
