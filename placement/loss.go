package placement

import "math"

// The share of the work that misses its latency targets is
// width * softplus((utilisation - knee) / width) / max(utilisation, 1), at most 1. The constants
// describe simulations of pools with a fixed split: the transport and irrigation fleets of
// internal/policybench with load reports that are 1 s old.
const (
	// The loss of decode work starts to rise near a utilisation of decodeKnee: it is almost nothing at
	// 0.81, 1.6% at 0.94 and 16% at 1.13.
	decodeKnee  = 0.95
	decodeWidth = 0.03
	// The prefill knee is 1 - prefillKneeFactor/slack, at least minPrefillKnee. Slack is the time
	// that a prompt can wait, divided by its prefill time. At a utilisation of 0.71 with a slack of 2
	// the formula gives 1.7% (simulated: 4.5%), at 0.84 with a slack of 2.6 it gives 4.8% (4%).
	prefillKneeFactor = 0.45
	prefillWidth      = 0.06
	minPrefillKnee    = 0.4

	// initialSlack is the slack before any long prompt was measured.
	initialSlack = 2.0
	// smoothingPerRound is the weight of a new round in the averages of slack and rank weights.
	smoothingPerRound = 0.05
	// maxMixedDecodeUtilisation is the decode utilisation above which mixed engines have no
	// capacity left for prefill.
	maxMixedDecodeUtilisation = 0.85
	// shortPrefillTimeRatio is the time that a decode engine needs to prefill short prompts,
	// divided by the time that a prefill engine needs.
	shortPrefillTimeRatio = 1.25
)

// lossShare returns the share of the work that is lost, which means that it misses its latency
// targets. The loss starts to rise near the knee, over a range of utilisations given by the width.
func lossShare(utilisation, knee, width float64) float64 {
	x := (utilisation - knee) / width
	switch {
	case x < -10:
		return 0
	case x > 10:
		return min(1, (utilisation-knee)/max(utilisation, 1))
	default:
		return min(1, width*math.Log1p(math.Exp(x))/max(utilisation, 1))
	}
}

// lossTables holds one table of expected losses for the forecast, one for each variation of the mix (see
// hedgeFactors) and one for each sample of the history. The tables make the comparison of all splits fast.
type lossTables struct {
	tables []lossTable
}

// hedgeFactors multiply the work of long prompts in the variations of the mix. The share of that work in the
// total is expected to vary by half of its value during a day.
var hedgeFactors = [...]float64{0.5, 1.5}

// scaleLong multiplies the work of long prompts by a factor and keeps the total: the difference is
// taken from the decode work or added to it.
func (d workParts) scaleLong(factor float64) workParts {
	moved := min(d.long*(factor-1), d.decode)
	return workParts{long: d.long + moved, short: d.short, decode: d.decode - moved}
}

// maxTableEngines is the largest number of engines in a loss table. Pools have at most a few dozen
// engines. More decode engines are counted as maxTableEngines; the prefill loss is not valid for
// more engines.
const maxTableEngines = 64

// lossTable holds the lost work at one demand, in engines, weighted by rank. prefillLoss[k][n] is
// the loss of prefill with n engines, decodeLoss[k][n] that of decoding. k is 1 if decode engines
// prefill short prompts, else 0.
type lossTable struct {
	seconds           float64 // time for which the demand counts in the expected loss
	demand            workParts
	mixedPrefillShare float64
	prefillLoss       [2][maxTableEngines + 2]float64
	decodeLoss        [2][maxTableEngines + 2]float64
}

// fillLossTables fills the planner's loss tables for the forecast demand, the variations of the mix and the
// history, for a pool of the given size. The result is valid until the next round.
func (p *Planner) fillLossTables(expected workParts, size int) *lossTables {
	l := &p.tables
	l.tables = l.tables[:0]
	l.add(p, expected, p.cfg.Horizon.Seconds(), size)
	for _, factor := range hedgeFactors {
		l.add(p, p.slowDemand.scaleLong(factor), p.cfg.HedgeWeight.Seconds()/float64(len(hedgeFactors)), size)
	}
	for i := range p.history.count {
		l.add(p, p.history.samples[i], p.cfg.HistoryWeight.Seconds()/float64(p.history.count), size)
	}
	return l
}

func (l *lossTables) add(p *Planner, d workParts, seconds float64, size int) {
	t := lossTable{seconds: seconds, demand: d, mixedPrefillShare: p.cfg.MixedPrefillShare}
	knee := max(minPrefillKnee, 1-prefillKneeFactor/max(p.slack, 0.1))
	prefill := [2]float64{d.long + d.short, d.long}
	decode := [2]float64{d.decode, d.decode + shortPrefillTimeRatio*d.short}
	for n := range min(size+1, maxTableEngines) + 1 {
		for k := range prefill {
			t.prefillLoss[k][n] = p.rankWeights.long * lostWork(prefill[k], n, knee, prefillWidth)
			t.decodeLoss[k][n] = p.rankWeights.decode * lostWork(decode[k], n, decodeKnee, decodeWidth)
		}
	}
	l.tables = append(l.tables, t)
}

// lostWork returns the part of the work that is lost if it is shared by that many engines. Both are
// in engines.
func lostWork(work float64, engines int, knee, width float64) float64 {
	if engines == 0 {
		return work
	}
	return work * lossShare(work/float64(engines), knee, width)
}

// expectedLoss returns the expected loss of a split in engine-seconds: the sum over all tables of
// the loss times the table's seconds.
func (l *lossTables) expectedLoss(s split) float64 {
	sum := 0.0
	for i := range l.tables {
		sum += l.tables[i].seconds * l.tables[i].loss(s)
	}
	return sum
}

// loss returns the work that a split loses, in engines, weighted by rank. Short prompts are
// prefilled by the role with the smaller total loss. Mixed engines decode first and use their
// remaining capacity to prefill.
func (t *lossTable) loss(s split) float64 {
	decoders := min(s.decode+s.mixed, maxTableEngines)
	spare := min(float64(s.mixed), max(0, maxMixedDecodeUtilisation*float64(decoders)-t.demand.decode))
	best := math.Inf(1)
	for k := range t.prefillLoss {
		best = min(best, interpolate(&t.prefillLoss[k], float64(s.prefill)+spare*t.mixedPrefillShare)+t.decodeLoss[k][decoders])
	}
	return best
}

// interpolate returns the loss at a fractional number of engines.
func interpolate(row *[maxTableEngines + 2]float64, engines float64) float64 {
	n := min(int(engines), maxTableEngines)
	fraction := engines - float64(n)
	return row[n] + fraction*(row[n+1]-row[n])
}
