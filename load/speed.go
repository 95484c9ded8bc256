package load

import "time"

// Defaults of the speed of an engine that was not observed yet. They are of the order of an
// eight-accelerator engine and are replaced by learned values within a few dozen requests.
const (
	DefaultPrefillTokensPerSecond = 10_000
	DefaultStepBase               = 18 * time.Millisecond
	DefaultStepPerSequence        = 600 * time.Microsecond
	DefaultChunkTokens            = 256
)

const (
	// learnRate is the weight of one observation in the averages; 0.05 remembers about 20.
	learnRate = 0.05
	// maxDrift bounds a learned value to this factor around its initial value, so that a few
	// absurd observations cannot make a worker look free or unusable.
	maxDrift = 8
	// minLearnTokens is the least prefill work from which the speed is learned. Below it, fixed
	// costs dominate.
	minLearnTokens = 256
)

// Speed describes how fast an engine works. Seconds are used instead of time.Duration because the
// values enter arithmetic on the routing path.
type Speed struct {
	// PrefillSecondsPerToken is the pure prefill cost of one prompt token.
	PrefillSecondsPerToken float64
	// StepSeconds is the time of a decode step of an empty batch.
	StepSeconds float64
	// StepSecondsPerSequence is added to a step per running sequence.
	StepSecondsPerSequence float64
	// ChunkTokens is the most prefill tokens in one step.
	ChunkTokens float64
}

func (s Speed) withDefaults() Speed {
	if s.PrefillSecondsPerToken <= 0 {
		s.PrefillSecondsPerToken = 1.0 / DefaultPrefillTokensPerSecond
	}
	if s.StepSeconds <= 0 {
		s.StepSeconds = DefaultStepBase.Seconds()
	}
	if s.StepSecondsPerSequence <= 0 {
		s.StepSecondsPerSequence = DefaultStepPerSequence.Seconds()
	}
	if s.ChunkTokens <= 0 {
		s.ChunkTokens = DefaultChunkTokens
	}
	return s
}

// Step returns the seconds of a decode step with the given number of sequences.
func (s Speed) Step(sequences int) float64 {
	return s.StepSeconds + s.StepSecondsPerSequence*float64(sequences)
}

// prefillTokenSeconds is the time per prefill token on an engine that decodes at the same time:
// each step takes one chunk in addition to the running sequences.
func (s Speed) prefillTokenSeconds(sequences int) float64 {
	if sequences == 0 {
		return s.PrefillSecondsPerToken
	}
	return s.PrefillSecondsPerToken + s.Step(sequences)/s.ChunkTokens
}

// Estimate is the load of a worker at one time.
type Estimate struct {
	PrefillTokens float64
	Sequences     int
	FreePieces    int
	TotalPieces   int
	Speed         Speed
	// Age is the age of the report behind the estimate. Known is false before the first report.
	Age   time.Duration
	Known bool
}

// FirstToken returns the expected seconds to the first token of one more request with the given
// number of prompt tokens to prefill.
func (e *Estimate) FirstToken(tokens float64) float64 {
	return (e.PrefillTokens+tokens)*e.Speed.prefillTokenSeconds(e.Sequences) + e.Speed.StepSeconds
}

// interferenceSteps spreads the queued prefill over the steps of a typical answer.
const interferenceSteps = 64

// BetweenTokens returns the expected seconds between tokens for one more sequence. Queued prefill
// on the same engine lengthens the steps.
func (e *Estimate) BetweenTokens() float64 {
	chunk := min(e.Speed.ChunkTokens, e.PrefillTokens/interferenceSteps)
	return e.Speed.Step(e.Sequences+1) + chunk*e.Speed.PrefillSecondsPerToken
}

// Fits tells whether the given number of pieces is free. An engine that never reported a
// total is taken to have room.
func (e *Estimate) Fits(pieces int) bool {
	return e.TotalPieces == 0 || e.FreePieces >= pieces
}

// learner keeps exponentially weighted averages of the observed speeds.
type learner struct {
	initial Speed
	speed   Speed
}

func newLearner(initial Speed) learner { return learner{initial: initial, speed: initial} }

func (l *learner) prefill(ahead float64, sequences int, elapsed float64) {
	if ahead < minLearnTokens || elapsed <= 0 {
		return
	}
	perToken := elapsed/ahead - (l.speed.prefillTokenSeconds(sequences) - l.speed.PrefillSecondsPerToken)
	l.speed.PrefillSecondsPerToken = average(l.speed.PrefillSecondsPerToken, perToken, l.initial.PrefillSecondsPerToken)
}

// step scales both parts of the step time by the same factor, because one observation cannot tell
// them apart.
func (l *learner) step(sequences int, seconds float64) {
	if seconds <= 0 {
		return
	}
	factor := seconds / l.speed.Step(sequences)
	l.speed.StepSeconds = average(l.speed.StepSeconds, factor*l.speed.StepSeconds, l.initial.StepSeconds)
	l.speed.StepSecondsPerSequence = average(l.speed.StepSecondsPerSequence, factor*l.speed.StepSecondsPerSequence, l.initial.StepSecondsPerSequence)
}

func average(old, observed, initial float64) float64 {
	observed = min(max(observed, initial/maxDrift), initial*maxDrift)
	return old + learnRate*(observed-old)
}

// DefaultSpeed is the speed assumed of a worker that has not been observed.
func DefaultSpeed() Speed { return Speed{}.withDefaults() }
