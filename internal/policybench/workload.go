package policybench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/placement"
)

// kind is a kind of request with its mean sizes and its targets.
type kind struct {
	name                string
	rank                int // rank in the service document minus 1
	promptTokens        int
	outputTokens        int
	sharedPrefixes      int // 0 means none
	firstTokenTarget    time.Duration
	betweenTokensTarget time.Duration
	totalTarget         time.Duration
}

// fleet describes one pool and its traffic.
type fleet struct {
	name                   string
	engines                int
	prefillSecondsPerToken float64
	stepBase               time.Duration
	stepPerSequence        time.Duration
	long, chat             kind
	weights                placement.Weights
}

const (
	prefixTokens     = 1024
	kvBytesPerToken  = 160 << 10
	kvBytesPerSecond = 10e9
	networkHop       = time.Millisecond
	maxTokenInterval = 71 * time.Millisecond
)

var fleets = []*fleet{
	{
		name: "transport", engines: 11, prefillSecondsPerToken: 1.0 / 10_000,
		stepBase: 18 * time.Millisecond, stepPerSequence: 600 * time.Microsecond,
		long: kind{
			name: "verdict", rank: 0, promptTokens: 3000, outputTokens: 24, sharedPrefixes: 60,
			firstTokenTarget: 730 * time.Millisecond, betweenTokensTarget: maxTokenInterval, totalTarget: 5 * time.Second,
		},
		chat: kind{
			name: "chat", rank: 1, promptTokens: 200, outputTokens: 250,
			firstTokenTarget: 730 * time.Millisecond, betweenTokensTarget: maxTokenInterval, totalTarget: time.Minute,
		},
		weights: placement.Weights{Goodput: 3, RoleChanges: 1},
	},
	{
		name: "irrigation", engines: 9, prefillSecondsPerToken: 1.0 / 8_000,
		stepBase: 20 * time.Millisecond, stepPerSequence: 700 * time.Microsecond,
		long: kind{
			name: "verdict", rank: 0, promptTokens: 4000, outputTokens: 40, sharedPrefixes: 40,
			firstTokenTarget: 1500 * time.Millisecond, betweenTokensTarget: maxTokenInterval, totalTarget: 8 * time.Second,
		},
		chat: kind{
			name: "care", rank: 1, promptTokens: 150, outputTokens: 300,
			firstTokenTarget: time.Second, betweenTokensTarget: maxTokenInterval, totalTarget: time.Minute,
		},
		weights: placement.Weights{Goodput: 1, RoleChanges: 3},
	},
}

// prefillWork and decodeWork return the nominal engine-seconds of one request on dedicated engines,
// with the largest batch that meets the target between tokens.
func (f *fleet) prefillWork(k *kind) float64 {
	return float64(k.promptTokens) * f.prefillSecondsPerToken
}

func (f *fleet) decodeWork(k *kind) float64 {
	batch := float64((k.betweenTokensTarget - f.stepBase) / f.stepPerSequence)
	return float64(k.outputTokens) * k.betweenTokensTarget.Seconds() / batch
}

func (f *fleet) totalWork(k *kind) float64 { return f.prefillWork(k) + f.decodeWork(k) }

// rates returns the arrival rates per second for a share of long prompts among the requests and a
// utilisation of the pool's nominal capacity.
func (f *fleet) rates(longShare, utilisation float64) (long, chat float64) {
	requestRate := utilisation * float64(f.engines) / (longShare*f.totalWork(&f.long) + (1-longShare)*f.totalWork(&f.chat))
	return longShare * requestRate, (1 - longShare) * requestRate
}

// split divides the engines into prefill and decode engines in proportion to the work of a mix.
func (f *fleet) split(longShare float64) roleSplit {
	prefill := longShare*f.prefillWork(&f.long) + (1-longShare)*f.prefillWork(&f.chat)
	decode := longShare*f.decodeWork(&f.long) + (1-longShare)*f.decodeWork(&f.chat)
	n := int(math.Round(float64(f.engines) * prefill / (prefill + decode)))
	n = min(max(n, 1), f.engines-1)
	return roleSplit{prefill: n, decode: f.engines - n}
}

type roleSplit struct{ prefill, mixed, decode int }

func (s roleSplit) role(i int) external.EngineRole {
	switch {
	case i < s.prefill:
		return external.EngineRolePrefill
	case i < s.prefill+s.mixed:
		return external.EngineRoleMixed
	default:
		return external.EngineRoleDecode
	}
}

// workload is the offered load over time.
type workload struct {
	name     string
	duration time.Duration
	// longShare is the share of long prompts among the requests, utilisation the offered load relative
	// to the nominal capacity.
	longShare   func(t time.Duration) float64
	utilisation func(t time.Duration) float64
	// phase is the length of the phases for which hindsight chooses its splits.
	phase time.Duration
	// crashAt is the time at which two engines crash for good; zero means never.
	crashAt time.Duration
	// mixShifts is true if longShare changes over time.
	mixShifts bool
}

const (
	// normalUtilisation leaves capacity for bursts and for engines that change roles. Pools that cannot
	// grow for a peak run at about this utilisation in normal times.
	normalUtilisation = 0.65
	maxLongShare      = 0.9
	minLongShare      = 0.1
	warmUp            = 30 * time.Second
)

func constant(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

func swing(period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		mean, amplitude := (maxLongShare+minLongShare)/2, (maxLongShare-minLongShare)/2
		return mean + amplitude*math.Cos(2*math.Pi*t.Seconds()/period.Seconds())
	}
}

var workloads = []workload{
	{name: "steady", duration: 600 * time.Second, longShare: constant(0.4), utilisation: constant(normalUtilisation), phase: 600 * time.Second},
	{
		name: "step", duration: 600 * time.Second, utilisation: constant(normalUtilisation), phase: 300 * time.Second, mixShifts: true,
		longShare: func(t time.Duration) float64 {
			if t < 300*time.Second {
				return maxLongShare
			}
			return minLongShare
		},
	},
	{
		name: "ramp", duration: 720 * time.Second, utilisation: constant(normalUtilisation), phase: 30 * time.Second, mixShifts: true,
		longShare: func(t time.Duration) float64 {
			progress := min(max((t.Seconds()-120)/480, 0), 1)
			return maxLongShare + progress*(minLongShare-maxLongShare)
		},
	},
	{name: "swing-3m", duration: 900 * time.Second, longShare: swing(3 * time.Minute), utilisation: constant(normalUtilisation), phase: 10 * time.Second, mixShifts: true},
	{name: "swing-20m", duration: 2400 * time.Second, longShare: swing(20 * time.Minute), utilisation: constant(normalUtilisation), phase: time.Minute, mixShifts: true},
	{
		name: "flash-2x", duration: 420 * time.Second, longShare: constant(0.4), phase: 60 * time.Second,
		utilisation: func(t time.Duration) float64 {
			if t >= 180*time.Second && t < 240*time.Second {
				return 2
			}
			return normalUtilisation
		},
	},
	{name: "swing-loss", duration: 900 * time.Second, longShare: swing(6 * time.Minute), utilisation: constant(normalUtilisation), phase: 15 * time.Second, crashAt: 460 * time.Second, mixShifts: true},
}

// overload returns a workload with a constant mix at a multiple of the nominal capacity.
func overload(utilisation float64) workload {
	return workload{name: "overload", duration: 240 * time.Second, longShare: constant(0.4), utilisation: constant(utilisation), phase: 240 * time.Second}
}

// meanShare returns the mean share of long prompts, from which the initial split is derived.
func (w *workload) meanShare() float64 {
	sum, n := 0.0, 0
	for t := time.Duration(0); t < w.duration; t += time.Second {
		sum += w.longShare(t)
		n++
	}
	return sum / float64(n)
}

// request is one request and its progress.
type request struct {
	kind            *kind
	arrived         time.Duration
	promptTokens    int
	outputTokens    int
	prefix          int
	entry           int
	blocks          []uint64
	failedAttempts  int
	excludedEngines []string

	prefillTokensLeft         int
	cacheChecked              bool
	started                   bool // an engine has started its prefill
	prefill                   *engine
	decode                    *engine
	producedTokens            int
	firstTokenAt, lastTokenAt time.Duration
	firstTokenDelivered       bool
	policyState               any // owned by the policy
}

func (r *request) pieces() int {
	return (r.promptTokens + r.outputTokens + external.PieceTokens - 1) / external.PieceTokens
}

// metTargets reports whether the completed answer was within all targets of its kind.
func (r *request) metTargets() bool {
	if r.firstTokenAt-r.arrived > r.kind.firstTokenTarget || r.lastTokenAt-r.arrived > r.kind.totalTarget {
		return false
	}
	return r.meanTokenInterval() <= r.kind.betweenTokensTarget
}

func (r *request) meanTokenInterval() time.Duration {
	if r.outputTokens < 2 {
		return 0
	}
	return (r.lastTokenAt - r.firstTokenAt) / time.Duration(r.outputTokens-1)
}

// arrivals generates the requests of a workload in the order of their arrival. For a given workload
// they depend only on the seed, so all policies get the same requests.
func arrivals(fleet *fleet, workload *workload, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 1))
	const slice = 50 * time.Millisecond
	var out []*request
	for t := time.Duration(0); t < workload.duration; t += slice {
		longRate, chatRate := fleet.rates(workload.longShare(t), workload.utilisation(t))
		for _, k := range []struct {
			kind *kind
			rate float64
		}{{&fleet.long, longRate}, {&fleet.chat, chatRate}} {
			for range poisson(rng, k.rate*slice.Seconds()) {
				out = append(out, newRequest(rng, k.kind, t+time.Duration(rng.Int64N(int64(slice)))))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	return out
}

func newRequest(rng *rand.Rand, k *kind, at time.Duration) *request {
	r := &request{
		kind: k, arrived: at, entry: rng.IntN(entryCount), prefix: -1,
		promptTokens: int(float64(k.promptTokens) * (0.6 + 0.8*rng.Float64())),
		outputTokens: int(float64(k.outputTokens) * (0.5 + rng.Float64())),
	}
	if k.sharedPrefixes > 0 {
		// Squaring makes some prefixes much more frequent than others.
		r.prefix = int(math.Pow(rng.Float64(), 2) * float64(k.sharedPrefixes))
		r.blocks = prefixBlocks(r.prefix)
	}
	r.prefillTokensLeft = r.promptTokens
	return r
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}
