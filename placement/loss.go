package placement

import "math"

// The share of requests that miss their latency targets is a softplus function of the utilisation
// of the engines: width * softplus((utilisation - knee) / width). The constants approximate the
// losses of pools with a fixed split in internal/policybench, for its transport and irrigation
// fleets and with load reports that are 1 s old.
const (
	// With decodeKnee and decodeWidth, 1.6% is lost at a utilisation of 0.94, 16% at 1.13 and
	// almost nothing at 0.81.
	decodeKnee  = 0.95
	decodeWidth = 0.03
	// The knee of prefill is lower if a prompt has less slack, which is the time that it can wait
	// relative to its own prefill time. The simulated pools lost 4.5% at a utilisation of 0.71 with
	// a slack of 2, and 4% at a utilisation of 0.84 with a slack of 2.6.
	prefillSlackCost = 0.45
	prefillWidth     = 0.06
	minPrefillKnee   = 0.4

	initialSlack      = 2.0
	smoothingPerRound = 0.05
	// maxMixedDecodeUtilisation is the decode utilisation above which mixed engines have no
	// capacity left for prefill.
	maxMixedDecodeUtilisation = 0.85
	// shortPrefillCost is the time that a decode engine needs for short prompts, relative to the
	// time of a prefill engine.
	shortPrefillCost = 1.25
)

// lossShare returns the share of the work that is lost at a utilisation.
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

// lossTables holds one table of expected losses for the forecast, one for each hedged mix and one
// for each sample of the history. The tables make the comparison of all splits fast.
type lossTables struct {
	samples []lossTable
}

// hedgeFactors are the changes of the long-prompt work against which a split is hedged. Its share
// is expected to vary by half of its value during a day.
var hedgeFactors = [...]float64{0.5, 1.5}

// scaleLong multiplies the work of long prompts by a factor and keeps the total: the difference is
// taken from the decode work or added to it.
func (d demand) scaleLong(factor float64) demand {
	moved := min(d.long*(factor-1), d.decode)
	return demand{long: d.long + moved, short: d.short, decode: d.decode - moved}
}

// maxPoolSize limits the size of the loss tables. Pools have at most a few dozen engines.
const maxPoolSize = 64

// lossTable is the work lost at one demand, weighted by rank, by number of engines. The first index
// of the rows is 0 if the prefill engines prefill short prompts, and 1 if the decode engines do.
type lossTable struct {
	weight            float64 // seconds
	work              demand
	mixedPrefillShare float64
	prefill           [2][maxPoolSize + 2]float64
	decode            [2][maxPoolSize + 2]float64
}

func (p *Planner) lossTables(expected demand, size int) *lossTables {
	l := &p.tables
	l.samples = l.samples[:0]
	l.add(p, expected, p.cfg.Horizon.Seconds(), size)
	for _, factor := range hedgeFactors {
		l.add(p, p.slow.scaleLong(factor), p.cfg.HedgeWeight.Seconds()/float64(len(hedgeFactors)), size)
	}
	for i := range p.history.count {
		l.add(p, p.history.samples[i], p.cfg.HistoryWeight.Seconds()/float64(p.history.count), size)
	}
	return l
}

func (l *lossTables) add(p *Planner, d demand, weight float64, size int) {
	t := lossTable{weight: weight, work: d, mixedPrefillShare: p.cfg.MixedPrefillShare}
	knee := max(minPrefillKnee, 1-prefillSlackCost/max(p.slack, 0.1))
	prefill := [2]float64{d.long + d.short, d.long}
	decode := [2]float64{d.decode, d.decode + shortPrefillCost*d.short}
	for n := range min(size+1, maxPoolSize) + 1 {
		for k := range prefill {
			t.prefill[k][n] = p.rankWeights.long * lostWork(prefill[k], n, knee, prefillWidth)
			t.decode[k][n] = p.rankWeights.decode * lostWork(decode[k], n, decodeKnee, decodeWidth)
		}
	}
	l.samples = append(l.samples, t)
}

// lostWork returns the part of the work, in engines, that a number of engines loses.
func lostWork(work float64, engines int, knee, width float64) float64 {
	if engines == 0 {
		return work
	}
	return work * lossShare(work/float64(engines), knee, width)
}

// expectedLoss returns the expected loss of a split in engine-seconds: the weighted sum over all
// tables.
func (l *lossTables) expectedLoss(s split) float64 {
	sum := 0.0
	for i := range l.samples {
		sum += l.samples[i].weight * l.samples[i].loss(s)
	}
	return sum
}

// loss returns the work that a split loses, in engines, if short prompts are prefilled where that
// loses less. Mixed engines decode first and use their remaining capacity to prefill.
func (t *lossTable) loss(s split) float64 {
	decoders := min(s.decode+s.mixed, maxPoolSize)
	spare := min(float64(s.mixed), max(0, maxMixedDecodeUtilisation*float64(decoders)-t.work.decode))
	best := math.Inf(1)
	for k := range t.prefill {
		best = min(best, interpolate(&t.prefill[k], float64(s.prefill)+spare*t.mixedPrefillShare)+t.decode[k][decoders])
	}
	return best
}

// interpolate returns the loss at a fractional number of engines.
func interpolate(row *[maxPoolSize + 2]float64, engines float64) float64 {
	n := min(int(engines), maxPoolSize)
	fraction := engines - float64(n)
	return row[n] + fraction*(row[n+1]-row[n])
}
