package load

import "time"

// Default speed of an engine that hasn't been observed yet. It is typical of an engine with eight
// accelerators, and observations replace it within a few dozen requests.
const (
	DefaultPrefillTokensPerSecond = 10_000
	DefaultStepBase               = 18 * time.Millisecond
	DefaultStepPerSequence        = 600 * time.Microsecond
	DefaultChunkTokens            = 256
)

const (
	// smoothingFactor is the weight of one observation in the moving averages; 0.05 averages over
	// about 20 observations.
	smoothingFactor = 0.05
	// maxDriftFactor is the largest ratio between an estimate and its initial value, in either
	// direction, so that a few outliers can't make a worker look idle or unusable.
	maxDriftFactor = 8
	// minObservedTokens is the minimum number of prefilled tokens for an observation to count. Below
	// it, fixed costs dominate the time.
	minObservedTokens = 256
)

// Speed describes how fast an engine prefills and decodes. Times are float64 seconds instead of
// time.Duration, because the routing path does floating-point arithmetic with them.
type Speed struct {
	// PrefillSecondsPerToken is the time to prefill one prompt token, without decode steps.
	PrefillSecondsPerToken float64
	// StepSeconds is the fixed part of the time of a decode step.
	StepSeconds float64
	// StepSecondsPerSequence is the additional time of a decode step per sequence in the batch.
	StepSecondsPerSequence float64
	// ChunkTokens is the maximum number of prefill tokens processed in one step.
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

// Step returns the duration in seconds of a decode step with the given number of sequences.
func (s Speed) Step(sequences int) float64 {
	return s.StepSeconds + s.StepSecondsPerSequence*float64(sequences)
}

// prefillSecondsPerTokenWhileDecoding returns the time in seconds to prefill one token on an engine
// that also decodes the given number of sequences. Each engine step prefills one chunk and decodes
// one token of each sequence.
func (s Speed) prefillSecondsPerTokenWhileDecoding(sequences int) float64 {
	if sequences == 0 {
		return s.PrefillSecondsPerToken
	}
	return s.PrefillSecondsPerToken + s.Step(sequences)/s.ChunkTokens
}

// Estimate is the estimated load of a worker at one point in time.
type Estimate struct {
	// PrefillTokens is the number of queued prompt tokens, Sequences the number of sequences that
	// are decoded or queued for decoding, and FreePieces the number of free KV cache pieces.
	PrefillTokens float64
	Sequences     int
	FreePieces    int
	TotalPieces   int
	Speed         Speed
	// Age is the age of the report that the estimate is based on. Known is false before the first
	// report.
	Age   time.Duration
	Known bool
}

// FirstToken returns the expected time in seconds to the first token of another request with the
// given number of prompt tokens to prefill.
func (e *Estimate) FirstToken(tokens float64) float64 {
	return (e.PrefillTokens+tokens)*e.Speed.prefillSecondsPerTokenWhileDecoding(e.Sequences) + e.Speed.StepSeconds
}

// prefillSpreadSteps is the number of decode steps over which queued prefill is assumed to be
// spread; it is the length of a typical answer.
const prefillSpreadSteps = 64

// BetweenTokens returns the expected time in seconds between the tokens of another sequence.
// Prefill queued on the same engine lengthens the steps.
func (e *Estimate) BetweenTokens() float64 {
	chunk := min(e.Speed.ChunkTokens, e.PrefillTokens/prefillSpreadSteps)
	return e.Speed.Step(e.Sequences+1) + chunk*e.Speed.PrefillSecondsPerToken
}

// Fits reports whether the given number of KV cache pieces is free. An engine that hasn't reported
// a total is assumed to have enough.
func (e *Estimate) Fits(pieces int) bool {
	return e.TotalPieces == 0 || e.FreePieces >= pieces
}

// estimator keeps exponentially weighted moving averages of the observed speeds.
type estimator struct {
	initial Speed
	speed   Speed
}

func newEstimator(initial Speed) estimator { return estimator{initial: initial, speed: initial} }

// observePrefill updates the prefill speed from the time in seconds in which an engine that decoded
// the given number of sequences prefilled the given number of tokens. The part that decode steps
// take is subtracted.
func (e *estimator) observePrefill(tokens float64, sequences int, elapsed float64) {
	if tokens < minObservedTokens || elapsed <= 0 {
		return
	}
	perToken := elapsed/tokens - (e.speed.prefillSecondsPerTokenWhileDecoding(sequences) - e.speed.PrefillSecondsPerToken)
	e.speed.PrefillSecondsPerToken = updateAverage(e.speed.PrefillSecondsPerToken, perToken, e.initial.PrefillSecondsPerToken)
}

// observeStep updates the step times from the duration in seconds of a decode step with the given
// number of sequences. It scales the fixed part and the part per sequence by the same factor,
// because one observation can't distinguish them.
func (e *estimator) observeStep(sequences int, seconds float64) {
	if seconds <= 0 {
		return
	}
	factor := seconds / e.speed.Step(sequences)
	e.speed.StepSeconds = updateAverage(e.speed.StepSeconds, factor*e.speed.StepSeconds, e.initial.StepSeconds)
	e.speed.StepSecondsPerSequence = updateAverage(e.speed.StepSecondsPerSequence, factor*e.speed.StepSecondsPerSequence, e.initial.StepSecondsPerSequence)
}

// updateAverage returns the moving average after an observation, which is first limited to
// maxDriftFactor around the initial value.
func updateAverage(old, observed, initial float64) float64 {
	observed = min(max(observed, initial/maxDriftFactor), initial*maxDriftFactor)
	return old + smoothingFactor*(observed-old)
}

// DefaultSpeed returns the Speed with all default values.
func DefaultSpeed() Speed { return Speed{}.withDefaults() }
