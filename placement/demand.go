package placement

import (
	"math"
	"time"
)

// workParts holds one value for each part of a pool's work. A demand holds the offered work in
// engines: the number of engines that each part would keep fully busy.
type workParts struct {
	// long and short are the prefill of long and of short prompts. Decode engines may also prefill
	// short prompts.
	long, short float64
	decode      float64
}

// lerp interpolates linearly between d and other.
func (d workParts) lerp(other workParts, fraction float64) workParts {
	return workParts{
		long:   d.long + fraction*(other.long-d.long),
		short:  d.short + fraction*(other.short-d.short),
		decode: d.decode + fraction*(other.decode-d.decode),
	}
}

func (d workParts) clamp() workParts {
	return workParts{long: max(0, d.long), short: max(0, d.short), decode: max(0, d.decode)}
}

// measureDemand converts the offered tokens to a demand, which is zero if the snapshot's Interval is
// zero. A kind counts as short if its mean prompt has at most MaxShortPrefill tokens. It also updates
// the moving averages of the slack (the time a prompt can wait, divided by its prefill time) and of
// the rank weights.
func (p *Planner) measureDemand(s *Snapshot) workParts {
	var d, weighted workParts
	seconds := s.Interval.Seconds()
	if seconds <= 0 {
		return d
	}
	perDecodeToken := decodeTokenSeconds(s)
	slackSum, slackWork := 0.0, 0.0
	for _, k := range s.Offered {
		prefill := k.PromptTokens / seconds * s.Speed.PrefillSecondsPerToken
		decode := k.OutputTokens / seconds * perDecodeToken
		d.decode += decode
		weighted.decode += decode * rankWeight(k.Rank)
		if k.PromptTokens <= k.Requests*float64(p.cfg.MaxShortPrefill) {
			d.short += prefill
			weighted.short += prefill * rankWeight(k.Rank)
			continue
		}
		d.long += prefill
		weighted.long += prefill * rankWeight(k.Rank)
		promptSeconds := k.PromptTokens / k.Requests * s.Speed.PrefillSecondsPerToken
		if target := k.FirstToken.Seconds(); target > promptSeconds {
			slackSum += prefill * (target - promptSeconds) / promptSeconds
			slackWork += prefill
		}
	}
	p.rankWeights = p.rankWeights.lerp(workParts{
		long:   ratio(weighted.long, d.long, p.rankWeights.long),
		short:  ratio(weighted.short, d.short, p.rankWeights.short),
		decode: ratio(weighted.decode, d.decode, p.rankWeights.decode),
	}, smoothingPerRound)
	if slackWork > 0 {
		p.slack += smoothingPerRound * (slackSum/slackWork - p.slack)
	}
	return d
}

// rankWeight returns the factor by which lost work of a rank counts: 1.25 for rank 1, falling
// towards 0.75. With equal factors, an overloaded pool would be planned for the kinds that are
// cheapest to serve, at the cost of the most important one.
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

// updateAverages adds the demand of this round to the moving averages and to the history.
func (p *Planner) updateAverages(now time.Time, d workParts) {
	if p.lastRound.IsZero() {
		p.fastDemand, p.slowDemand = d, d
	} else {
		elapsed := now.Sub(p.lastRound)
		// While a planner is younger than a time constant, its age is used instead. Otherwise, the
		// first sample would dominate the average for minutes.
		age := now.Sub(p.started)
		p.fastDemand = p.fastDemand.lerp(d, smoothingFactor(elapsed, min(p.cfg.FastTimeConstant, age)))
		p.slowDemand = p.slowDemand.lerp(d, smoothingFactor(elapsed, min(p.cfg.SlowTimeConstant, age)))
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

// forecast extrapolates the fast average to the time at which a change ordered now is complete; lead
// is the duration of the change without draining. The slope is the difference between the two
// averages, divided by the difference between their lags. An average lags by its time constant.
func (p *Planner) forecast(lead time.Duration) workParts {
	lagDifference := (p.cfg.SlowTimeConstant - p.cfg.FastTimeConstant).Seconds()
	if lagDifference <= 0 {
		return p.fastDemand
	}
	factor := p.cfg.TrendGain * (p.cfg.FastTimeConstant + lead).Seconds() / lagDifference
	difference := workParts{
		long:   p.fastDemand.long - p.slowDemand.long,
		short:  p.fastDemand.short - p.slowDemand.short,
		decode: p.fastDemand.decode - p.slowDemand.decode,
	}
	return workParts{
		long:   p.fastDemand.long + factor*difference.long,
		short:  p.fastDemand.short + factor*difference.short,
		decode: p.fastDemand.decode + factor*difference.decode,
	}.clamp()
}

const (
	historySamples      = 30
	historySamplePeriod = 40 * time.Second
)

// history keeps the mean demand of each of the last historySamples periods.
type history struct {
	samples [historySamples]workParts
	count   int
	next    int

	sum         workParts
	sumCount    float64 // demands in sum
	periodStart time.Time
}

func (h *history) add(now time.Time, d workParts) {
	if h.periodStart.IsZero() {
		h.periodStart = now
	}
	h.sum = workParts{h.sum.long + d.long, h.sum.short + d.short, h.sum.decode + d.decode}
	h.sumCount++
	if now.Sub(h.periodStart) < historySamplePeriod {
		return
	}
	h.samples[h.next] = workParts{h.sum.long / h.sumCount, h.sum.short / h.sumCount, h.sum.decode / h.sumCount}
	h.next = (h.next + 1) % historySamples
	h.count = min(h.count+1, historySamples)
	h.sum, h.sumCount, h.periodStart = workParts{}, 0, now
}
