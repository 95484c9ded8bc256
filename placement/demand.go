package placement

import (
	"math"
	"time"
)

// demand is the offered work of a pool, in engines: the number of engines that each part of the
// work would keep fully busy.
type demand struct {
	// long and short are the prefill work of long and short prompts. Decode engines may also
	// prefill short prompts.
	long, short float64
	decode      float64
}

// lerp interpolates linearly between d and other.
func (d demand) lerp(other demand, fraction float64) demand {
	return demand{
		long:   d.long + fraction*(other.long-d.long),
		short:  d.short + fraction*(other.short-d.short),
		decode: d.decode + fraction*(other.decode-d.decode),
	}
}

func (d demand) clamp() demand {
	return demand{long: max(0, d.long), short: max(0, d.short), decode: max(0, d.decode)}
}

// measureDemand converts the offered tokens to a demand. It also updates the moving averages of the
// slack and of the rank weights.
func (p *Planner) measureDemand(s *Snapshot) demand {
	var d, weighted demand
	seconds := s.Interval.Seconds()
	if seconds <= 0 {
		return d
	}
	perDecodeToken := decodeTokenSeconds(s)
	slack, weight := 0.0, 0.0
	for _, k := range s.Offered {
		prefill := k.PromptTokens / seconds * s.Speed.PrefillSecondsPerToken
		decode := k.OutputTokens / seconds * perDecodeToken
		d.decode += decode
		weighted.decode += decode * rankWeight(k.Rank)
		if k.PromptTokens <= k.Requests*float64(p.cfg.ShortPrefill) {
			d.short += prefill
			weighted.short += prefill * rankWeight(k.Rank)
			continue
		}
		d.long += prefill
		weighted.long += prefill * rankWeight(k.Rank)
		promptSeconds := k.PromptTokens / k.Requests * s.Speed.PrefillSecondsPerToken
		if target := k.FirstToken.Seconds(); target > promptSeconds {
			slack += prefill * (target - promptSeconds) / promptSeconds
			weight += prefill
		}
	}
	p.rankWeights = p.rankWeights.lerp(demand{
		long:   ratio(weighted.long, d.long, p.rankWeights.long),
		short:  ratio(weighted.short, d.short, p.rankWeights.short),
		decode: ratio(weighted.decode, d.decode, p.rankWeights.decode),
	}, smoothingPerRound)
	if weight > 0 {
		p.slack += smoothingPerRound * (slack/weight - p.slack)
	}
	return d
}

// rankWeight makes the lost work of important kinds count more. Otherwise, an overloaded pool would
// be planned for the kinds that are cheapest to serve, at the cost of the most important one.
func rankWeight(rank int) float64 { return 0.75 + 0.5/float64(max(rank, 1)) }

func ratio(part, total, fallback float64) float64 {
	if total <= 0 {
		return fallback
	}
	return part / total
}

// defaultBatchSize is the decode batch size, in sequences, if neither a latency target nor a limit
// by KV cache size is known.
const defaultBatchSize = 64

// decodeTokenSeconds returns the engine time per output token of a decode engine that runs the
// largest batch that its latency target and its KV cache allow.
func decodeTokenSeconds(s *Snapshot) float64 {
	batch := float64(defaultBatchSize)
	if target := s.BetweenTokens.Seconds(); target > 0 && s.Speed.StepSecondsPerSequence > 0 {
		batch = max(1, (target-s.Speed.StepSeconds)/s.Speed.StepSecondsPerSequence)
	}
	if s.SequencePieces > 0 && s.EnginePieces > 0 {
		batch = max(1, min(batch, s.EnginePieces/s.SequencePieces))
	}
	return s.Speed.Step(int(batch)) / batch
}

// update adds the demand of this round to the moving averages and to the history.
func (p *Planner) update(now time.Time, d demand) {
	if p.lastRound.IsZero() {
		p.fast, p.slow = d, d
	} else {
		elapsed := now.Sub(p.lastRound)
		// While a planner is younger than a time constant, its age is used instead. Otherwise, the
		// first sample would dominate the average for minutes.
		age := now.Sub(p.started)
		p.fast = p.fast.lerp(d, smoothingFactor(elapsed, min(p.cfg.FastTimeConstant, age)))
		p.slow = p.slow.lerp(d, smoothingFactor(elapsed, min(p.cfg.SlowTimeConstant, age)))
	}
	p.lastRound = now
	p.history.add(now, d)
}

func smoothingFactor(elapsed, timeConstant time.Duration) float64 {
	if timeConstant <= 0 {
		return 1
	}
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// forecast extrapolates the fast average to the time at which a change ordered now is complete. The
// slope is the difference between the two averages, divided by the difference between their lags.
func (p *Planner) forecast(lead time.Duration) demand {
	lag := (p.cfg.SlowTimeConstant - p.cfg.FastTimeConstant).Seconds()
	if lag <= 0 {
		return p.fast
	}
	extrapolation := p.cfg.TrendGain * (p.cfg.FastTimeConstant + lead).Seconds() / lag
	slope := demand{
		long:   p.fast.long - p.slow.long,
		short:  p.fast.short - p.slow.short,
		decode: p.fast.decode - p.slow.decode,
	}
	return demand{
		long:   p.fast.long + extrapolation*slope.long,
		short:  p.fast.short + extrapolation*slope.short,
		decode: p.fast.decode + extrapolation*slope.decode,
	}.clamp()
}

const (
	historySamples      = 30
	historySamplePeriod = 40 * time.Second
)

// history keeps the mean demand of each of the last historySamples periods.
type history struct {
	samples [historySamples]demand
	count   int
	next    int

	sum         demand
	sumCount    float64 // demands in sum
	periodStart time.Time
}

func (h *history) add(now time.Time, d demand) {
	if h.periodStart.IsZero() {
		h.periodStart = now
	}
	h.sum = demand{h.sum.long + d.long, h.sum.short + d.short, h.sum.decode + d.decode}
	h.sumCount++
	if now.Sub(h.periodStart) < historySamplePeriod {
		return
	}
	h.samples[h.next] = demand{h.sum.long / h.sumCount, h.sum.short / h.sumCount, h.sum.decode / h.sumCount}
	h.next = (h.next + 1) % historySamples
	h.count = min(h.count+1, historySamples)
	h.sum, h.sumCount, h.periodStart = demand{}, 0, now
}
