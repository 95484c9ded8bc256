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

// kind is a kind of request of a fleet.
type kind struct {
	name          string
	rank          int // index: 0 is rank 1
	prompt        int
	output        int
	prefixes      int // number of shared prompt prefixes; 0 means none
	firstToken    time.Duration
	betweenTokens time.Duration
	total         time.Duration
}

// fleet describes one pool and its traffic.
type fleet struct {
	name            string
	engines         int
	prefillToken    float64 // seconds
	stepBase        time.Duration
	stepPerSequence time.Duration
	long, chat      kind
	weights         placement.Weights
}

const (
	prefixTokens  = 1024
	kvTokenBytes  = 160 << 10
	kvBandwidth   = 10e9
	networkHop    = time.Millisecond
	betweenTarget = 71 * time.Millisecond
)

var fleets = []*fleet{
	{
		name: "transport", engines: 11, prefillToken: 1.0 / 10_000,
		stepBase: 18 * time.Millisecond, stepPerSequence: 600 * time.Microsecond,
		long: kind{
			name: "verdict", rank: 0, prompt: 3000, output: 24, prefixes: 60,
			firstToken: 730 * time.Millisecond, betweenTokens: betweenTarget, total: 5 * time.Second,
		},
		chat: kind{
			name: "chat", rank: 1, prompt: 200, output: 250,
			firstToken: 730 * time.Millisecond, betweenTokens: betweenTarget, total: time.Minute,
		},
		weights: placement.Weights{Goodput: 3, RoleChanges: 1},
	},
	{
		name: "irrigation", engines: 9, prefillToken: 1.0 / 8_000,
		stepBase: 20 * time.Millisecond, stepPerSequence: 700 * time.Microsecond,
		long: kind{
			name: "verdict", rank: 0, prompt: 4000, output: 40, prefixes: 40,
			firstToken: 1500 * time.Millisecond, betweenTokens: betweenTarget, total: 8 * time.Second,
		},
		chat: kind{
			name: "care", rank: 1, prompt: 150, output: 300,
			firstToken: time.Second, betweenTokens: betweenTarget, total: time.Minute,
		},
		weights: placement.Weights{Goodput: 1, RoleChanges: 3},
	},
}

// prefillWork and decodeWork are the nominal engine-seconds of one request on dedicated engines
// with a batch that just meets the target between tokens.
func (f *fleet) prefillWork(k *kind) float64 { return float64(k.prompt) * f.prefillToken }

func (f *fleet) decodeWork(k *kind) float64 {
	batch := float64((k.betweenTokens - f.stepBase) / f.stepPerSequence)
	return float64(k.output) * k.betweenTokens.Seconds() / batch
}

func (f *fleet) work(k *kind) float64 { return f.prefillWork(k) + f.decodeWork(k) }

// rates gives the arrival rates for a share of long prompts among the requests and a use of the
// pool's nominal capacity.
func (f *fleet) rates(share, use float64) (long, chat float64) {
	total := use * float64(f.engines) / (share*f.work(&f.long) + (1-share)*f.work(&f.chat))
	return share * total, (1 - share) * total
}

// split gives the prefill engines in proportion to the prefill work of a mix.
func (f *fleet) split(share float64) platformSplit {
	prefill := share*f.prefillWork(&f.long) + (1-share)*f.prefillWork(&f.chat)
	decode := share*f.decodeWork(&f.long) + (1-share)*f.decodeWork(&f.chat)
	n := int(math.Round(float64(f.engines) * prefill / (prefill + decode)))
	n = min(max(n, 1), f.engines-1)
	return platformSplit{prefill: n, decode: f.engines - n}
}

type platformSplit struct{ prefill, mixed, decode int }

func (s platformSplit) role(i int) external.Role {
	switch {
	case i < s.prefill:
		return external.RolePrefill
	case i < s.prefill+s.mixed:
		return external.RoleMixed
	default:
		return external.RoleDecode
	}
}

// workload is offered work over time.
type workload struct {
	name     string
	duration time.Duration
	// share is the share of long prompts, use the offered part of the nominal capacity.
	share func(t time.Duration) float64
	use   func(t time.Duration) float64
	// phase is the length of the phases for which hindsight picks its splits.
	phase time.Duration
	// loseAt is when two engines crash for good; zero means never.
	loseAt time.Duration
	// shifts is true if the mix changes.
	shifts bool
}

const (
	// normalUse leaves room for bursts and for engines in change. Pools that cannot grow for a
	// peak run at about this use in normal times.
	normalUse = 0.65
	mostLong  = 0.9
	mostChat  = 0.1
	warmUp    = 30 * time.Second
)

func constant(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

func swing(period time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		middle, height := (mostLong+mostChat)/2, (mostLong-mostChat)/2
		return middle + height*math.Cos(2*math.Pi*t.Seconds()/period.Seconds())
	}
}

var workloads = []workload{
	{name: "steady", duration: 600 * time.Second, share: constant(0.4), use: constant(normalUse), phase: 600 * time.Second},
	{
		name: "step", duration: 600 * time.Second, use: constant(normalUse), phase: 300 * time.Second, shifts: true,
		share: func(t time.Duration) float64 {
			if t < 300*time.Second {
				return mostLong
			}
			return mostChat
		},
	},
	{
		name: "ramp", duration: 720 * time.Second, use: constant(normalUse), phase: 30 * time.Second, shifts: true,
		share: func(t time.Duration) float64 {
			at := min(max((t.Seconds()-120)/480, 0), 1)
			return mostLong + at*(mostChat-mostLong)
		},
	},
	{name: "swing-3m", duration: 900 * time.Second, share: swing(3 * time.Minute), use: constant(normalUse), phase: 10 * time.Second, shifts: true},
	{name: "swing-20m", duration: 2400 * time.Second, share: swing(20 * time.Minute), use: constant(normalUse), phase: time.Minute, shifts: true},
	{
		name: "flash-2x", duration: 420 * time.Second, share: constant(0.4), phase: 60 * time.Second,
		use: func(t time.Duration) float64 {
			if t >= 180*time.Second && t < 240*time.Second {
				return 2
			}
			return normalUse
		},
	},
	{name: "swing-loss", duration: 900 * time.Second, share: swing(6 * time.Minute), use: constant(normalUse), phase: 15 * time.Second, loseAt: 460 * time.Second, shifts: true},
}

// overload is a constant mix at a multiple of the nominal capacity.
func overload(use float64) workload {
	return workload{name: "overload", duration: 240 * time.Second, share: constant(0.4), use: constant(use), phase: 240 * time.Second}
}

// meanShare is the mean share of long prompts, from which a fixed split is derived.
func (w *workload) meanShare() float64 {
	sum, n := 0.0, 0
	for t := time.Duration(0); t < w.duration; t += time.Second {
		sum += w.share(t)
		n++
	}
	return sum / float64(n)
}

// request is one request on its way.
type request struct {
	kind     *kind
	arrived  time.Duration
	prompt   int
	output   int
	prefix   int
	entry    int
	blocks   []uint64
	attempts int
	exclude  []string

	prefillLeft  int
	cacheChecked bool
	started      bool // the engine has begun to prefill
	prefill      *engine
	decode       *engine
	produced     int
	first, last  time.Duration
	hasFirst     bool
	route        any // what the policy remembers
}

func (r *request) pieces() int {
	return (r.prompt + r.output + external.PieceTokens - 1) / external.PieceTokens
}

// good tells whether the answer was useful: complete and within all targets.
func (r *request) good() bool {
	if r.first-r.arrived > r.kind.firstToken || r.last-r.arrived > r.kind.total {
		return false
	}
	return r.between() <= r.kind.betweenTokens
}

func (r *request) between() time.Duration {
	if r.output < 2 {
		return 0
	}
	return (r.last - r.first) / time.Duration(r.output-1)
}

// arrivals draws the requests of a workload. They depend on the seed only, so that all policies
// see the same.
func arrivals(f *fleet, w *workload, seed uint64) []*request {
	rnd := rand.New(rand.NewPCG(seed, 1))
	const slice = 50 * time.Millisecond
	var out []*request
	for t := time.Duration(0); t < w.duration; t += slice {
		long, chat := f.rates(w.share(t), w.use(t))
		for _, k := range []struct {
			kind *kind
			rate float64
		}{{&f.long, long}, {&f.chat, chat}} {
			for range poisson(rnd, k.rate*slice.Seconds()) {
				out = append(out, newRequest(rnd, k.kind, t+time.Duration(rnd.Int64N(int64(slice)))))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	return out
}

func newRequest(rnd *rand.Rand, k *kind, at time.Duration) *request {
	r := &request{
		kind: k, arrived: at, entry: rnd.IntN(entries), prefix: -1,
		prompt: int(float64(k.prompt) * (0.6 + 0.8*rnd.Float64())),
		output: int(float64(k.output) * (0.5 + rnd.Float64())),
	}
	if k.prefixes > 0 {
		// Squaring makes some prefixes much more frequent than others.
		r.prefix = int(math.Pow(rnd.Float64(), 2) * float64(k.prefixes))
		r.blocks = prefixBlocks(r.prefix)
	}
	r.prefillLeft = r.prompt
	return r
}

func poisson(rnd *rand.Rand, mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := rnd.Float64(); p > limit; p *= rnd.Float64() {
		n++
	}
	return n
}
