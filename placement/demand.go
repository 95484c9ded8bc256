package placement

import (
	"math"
	"time"
)

// demand is offered work in engines: how many engines each part would keep fully in use.
type demand struct {
	// long and short are prefill work; short prompts may be prefilled by decode engines.
	long, short float64
	decode      float64
}

func (d demand) blend(o demand, w float64) demand {
	return demand{
		long:   d.long + w*(o.long-d.long),
		short:  d.short + w*(o.short-d.short),
		decode: d.decode + w*(o.decode-d.decode),
	}
}

func (d demand) clamp() demand {
	return demand{long: max(0, d.long), short: max(0, d.short), decode: max(0, d.decode)}
}

// measure converts the offered tokens to engines.
func (p *Planner) measure(s *Snapshot) demand {
	var d, ranked demand
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
		ranked.decode += decode * rankWeight(k.Rank)
		if k.PromptTokens <= k.Requests*float64(p.cfg.ShortPrefill) {
			d.short += prefill
			ranked.short += prefill * rankWeight(k.Rank)
			continue
		}
		d.long += prefill
		ranked.long += prefill * rankWeight(k.Rank)
		own := k.PromptTokens / k.Requests * s.Speed.PrefillSecondsPerToken
		if target := k.FirstToken.Seconds(); target > own {
			slack += prefill * (target - own) / own
			weight += prefill
		}
	}
	p.weights = p.weights.blend(demand{
		long:   ratio(ranked.long, d.long, p.weights.long),
		short:  ratio(ranked.short, d.short, p.weights.short),
		decode: ratio(ranked.decode, d.decode, p.weights.decode),
	}, slackRate)
	if weight > 0 {
		p.slack += slackRate * (slack/weight - p.slack)
	}
	return d
}

// rankWeight makes lost work of higher ranks count more, so that an overloaded pool does not give
// up its most important kind because another one is cheaper to serve.
func rankWeight(rank int) float64 { return 0.75 + 0.5/float64(max(rank, 1)) }

func ratio(a, b, otherwise float64) float64 {
	if b <= 0 {
		return otherwise
	}
	return a / b
}

// unboundedBatch is the batch size assumed if no latency target and no KV bound is known.
const unboundedBatch = 64

// decodeTokenSeconds is the engine time per output token of a decode engine that holds as many
// sequences as its latency target and its KV cache allow.
func decodeTokenSeconds(s *Snapshot) float64 {
	batch := float64(unboundedBatch)
	if target := s.BetweenTokens.Seconds(); target > 0 && s.Speed.StepSecondsPerSequence > 0 {
		batch = max(1, (target-s.Speed.StepSeconds)/s.Speed.StepSecondsPerSequence)
	}
	if s.SequencePieces > 0 && s.EnginePieces > 0 {
		batch = max(1, min(batch, s.EnginePieces/s.SequencePieces))
	}
	return s.Speed.Step(int(batch)) / batch
}

// follow updates the averages and the history.
func (p *Planner) follow(now time.Time, d demand) {
	if p.last.IsZero() {
		p.fast, p.slow = d, d
	} else {
		elapsed := now.Sub(p.last)
		// Both averages start as plain means, so that the first sample does not weigh for minutes.
		age := now.Sub(p.started)
		p.fast = p.fast.blend(d, weight(elapsed, min(p.cfg.Fast, age)))
		p.slow = p.slow.blend(d, weight(elapsed, min(p.cfg.Slow, age)))
	}
	p.last = now
	p.history.add(now, d)
}

func weight(elapsed, constant time.Duration) float64 {
	if constant <= 0 {
		return 1
	}
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// forecast extrapolates the fast average to the time at which a change is done. The difference of
// the averages over the difference of their lags is the slope of the work.
func (p *Planner) forecast(lead time.Duration) demand {
	lag := (p.cfg.Slow - p.cfg.Fast).Seconds()
	if lag <= 0 {
		return p.fast
	}
	ahead := p.cfg.Trend * (p.cfg.Fast + lead).Seconds() / lag
	slope := demand{
		long:   p.fast.long - p.slow.long,
		short:  p.fast.short - p.slow.short,
		decode: p.fast.decode - p.slow.decode,
	}
	return demand{
		long:   p.fast.long + ahead*slope.long,
		short:  p.fast.short + ahead*slope.short,
		decode: p.fast.decode + ahead*slope.decode,
	}.clamp()
}

const (
	historySamples = 30
	historyPeriod  = 40 * time.Second
)

// history keeps the mean work of the last 30 periods of 40 s.
type history struct {
	samples [historySamples]demand
	count   int
	next    int

	sum   demand
	n     float64
	began time.Time
}

func (h *history) add(now time.Time, d demand) {
	if h.began.IsZero() {
		h.began = now
	}
	h.sum = demand{h.sum.long + d.long, h.sum.short + d.short, h.sum.decode + d.decode}
	h.n++
	if now.Sub(h.began) < historyPeriod {
		return
	}
	h.samples[h.next] = demand{h.sum.long / h.n, h.sum.short / h.n, h.sum.decode / h.n}
	h.next = (h.next + 1) % historySamples
	h.count = min(h.count+1, historySamples)
	h.sum, h.n, h.began = demand{}, 0, now
}
