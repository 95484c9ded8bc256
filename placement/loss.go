package placement

import "math"

// The share of requests that miss their targets rises smoothly with the use of the engines:
// softplus((use - knee) / width) * width. The constants were fitted to runs of
// internal/policybench with fixed splits (transport and irrigation fleets, reports 1 s old).
const (
	// decodeKnee and decodeWidth: 1.6% lost at a use of 0.94, 16% at 1.13, none at 0.81.
	decodeKnee  = 0.95
	decodeWidth = 0.03
	// The knee of prefill is lower the less a prompt can wait relative to its own prefill time:
	// 4.5% lost at a use of 0.71 and a slack of 2, 4% at a use of 0.84 and a slack of 2.6.
	prefillSlackCost = 0.45
	prefillWidth     = 0.06
	minPrefillKnee   = 0.4

	initialSlack = 2.0
	slackRate    = 0.05
	// decodeFull is the use up to which a mixed engine takes part in prefill.
	decodeFull = 0.85
	// shortCost is the decode engine time for a unit of short prefill.
	shortCost = 1.25
)

// lossShare is the share of the work that is lost at a use of the engines.
func lossShare(use, knee, width float64) float64 {
	x := (use - knee) / width
	switch {
	case x < -10:
		return 0
	case x > 10:
		return min(1, (use-knee)/max(use, 1))
	default:
		return min(1, width*math.Log1p(math.Exp(x))/max(use, 1))
	}
}

// losses has, for the forecast and for each remembered mix, the work lost per number of engines.
// Looking them up keeps the comparison of all splits fast.
type losses struct {
	samples []lossTable
}

// hedgeParts are the changes of the prefill share for which a split is hedged: the share is
// expected to move by half of its value in a day.
var hedgeParts = [...]float64{0.5, 1.5}

// shifted is the same amount of work with the share of long prompts multiplied by a factor.
func (d demand) shifted(factor float64) demand {
	move := min(d.long*(factor-1), d.decode)
	return demand{long: d.long + move, short: d.short, decode: d.decode - move}
}

// maxPool bounds the table; a pool is at most a few dozen engines.
const maxPool = 64

// lossTable is the loss of one mix. The first index of the rows says whether the prefill engines
// (0) or the decode engines (1) prefill short prompts.
type lossTable struct {
	weight  float64 // seconds
	work    demand
	mixed   float64 // Config.MixedUse
	prefill [2][maxPool + 2]float64
	decode  [2][maxPool + 2]float64
}

func (p *Planner) losses(f demand, size int) *losses {
	l := &p.tables
	l.samples = l.samples[:0]
	l.add(p, f, p.cfg.Horizon.Seconds(), size)
	for _, part := range hedgeParts {
		l.add(p, p.slow.shifted(part), p.cfg.Hedge.Seconds()/float64(len(hedgeParts)), size)
	}
	for i := range p.history.count {
		l.add(p, p.history.samples[i], p.cfg.Memory.Seconds()/float64(p.history.count), size)
	}
	return l
}

func (l *losses) add(p *Planner, d demand, weight float64, size int) {
	t := lossTable{weight: weight, work: d, mixed: p.cfg.MixedUse}
	knee := max(minPrefillKnee, 1-prefillSlackCost/max(p.slack, 0.1))
	prefill := [2]float64{d.long + d.short, d.long}
	decode := [2]float64{d.decode, d.decode + shortCost*d.short}
	for n := range min(size+1, maxPool) + 1 {
		for k := range prefill {
			t.prefill[k][n] = p.weights.long * lostWork(prefill[k], n, knee, prefillWidth)
			t.decode[k][n] = p.weights.decode * lostWork(decode[k], n, decodeKnee, decodeWidth)
		}
	}
	l.samples = append(l.samples, t)
}

func lostWork(work float64, engines int, knee, width float64) float64 {
	if engines == 0 {
		return work
	}
	return work * lossShare(work/float64(engines), knee, width)
}

// value is the expected loss of a split in engine-seconds.
func (l *losses) value(s split) float64 {
	sum := 0.0
	for i := range l.samples {
		sum += l.samples[i].weight * l.samples[i].lost(s)
	}
	return sum
}

// lost is the loss of a split in engines. Mixed engines decode, and prefill with what is left.
func (t *lossTable) lost(s split) float64 {
	decoders := min(s.decode+s.mixed, maxPool)
	spare := min(float64(s.mixed), max(0, decodeFull*float64(decoders)-t.work.decode))
	best := math.Inf(1)
	for k := range t.prefill {
		best = min(best, interpolate(&t.prefill[k], float64(s.prefill)+spare*t.mixed)+t.decode[k][decoders])
	}
	return best
}

func interpolate(row *[maxPool + 2]float64, engines float64) float64 {
	n := min(int(engines), maxPool)
	part := engines - float64(n)
	return row[n] + part*(row[n+1]-row[n])
}
