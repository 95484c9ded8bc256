package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// prefillModel is the expected time to prefill n prompt tokens: fixed + n*perToken + unseenWait, in
// seconds. Only the part that grows with the tokens occupies the engine for the prompts behind.
type prefillModel struct {
	fixed, perToken float64
	// unseenWait is how much longer prompts took recently: they waited for requests of other gateway
	// instances that this one did not know of.
	unseenWait float64
}

// wait returns the expected time until an engine begins to prefill a new prompt, in seconds.
func (m *prefillModel) wait(v *view) float64 {
	return max(0, (v.pendingTokens+v.otherTokens)*m.perToken+m.unseenWait)
}

// prefillEstimates are the current estimates for the engines of one service.
type prefillEstimates struct {
	// decode is the model of decode engines, prefill that of all others.
	prefill, decode prefillModel
	// meanUncached is the mean number of uncached prompt tokens per request.
	meanUncached float64
}

func (e *prefillEstimates) forRole(r external.EngineRole) *prefillModel {
	if r == external.EngineRoleDecode {
		return &e.decode
	}
	return &e.prefill
}

// prefillEstimator estimates, from observed requests, the prefill times of a service's engines and
// the number of uncached tokens per request.
type prefillEstimator struct {
	mu sync.Mutex
	// fit is the time to prefill on an engine that generates no answers.
	fit             lineFit
	prefill, decode unseenWait
	meanUncached    float64
}

const (
	// initialFixed and initialPerToken are the estimates before the first observation: 100 tokens per
	// millisecond, typical of an engine with eight accelerators.
	initialFixed        = 5e-3
	initialPerToken     = 1e-5
	initialMeanUncached = 1000
	// estimateWeight is the weight of one observation in the mean number of tokens.
	estimateWeight = 0.05
	// unseenWaitWeight is the weight of one observation in the unseen wait, and unseenWaitDecay the
	// time in which it decays to 1/e without observations, about that of a burst.
	unseenWaitWeight = 0.1
	unseenWaitDecay  = time.Second
	// maxUnseenWait limits one observation, in seconds: longer waits come from failures.
	maxUnseenWait = 1.0
	// decodeSlowdown is the ratio of the prefill times per token of decode and prefill engines: decode
	// engines prefill at half the speed, in chunks of a quarter of the size. It is not learned from
	// their prefills, which share the engine with a changing number of answers.
	decodeSlowdown = 2.5
	// maxObservationRatio limits the ratio between one observation and its expected value: a prompt
	// that waited behind those of other gateway instances says little about the engine's speed.
	maxObservationRatio = 4
)

// unseenWait is a moving average of the time that prompts took beyond the expected one.
type unseenWait struct {
	seconds   float64
	updatedAt time.Time
}

func newPrefillEstimator() *prefillEstimator {
	return &prefillEstimator{fit: newLineFit(), meanUncached: initialMeanUncached}
}

func (p *prefillEstimator) estimates(now time.Time) prefillEstimates {
	p.mu.Lock()
	defer p.mu.Unlock()
	return prefillEstimates{prefill: p.model(external.EngineRolePrefill, now), decode: p.model(external.EngineRoleDecode, now), meanUncached: p.meanUncached}
}

// wait returns the unseen wait of the engines of a role.
func (p *prefillEstimator) wait(r external.EngineRole) *unseenWait {
	if r == external.EngineRoleDecode {
		return &p.decode
	}
	return &p.prefill
}

// model returns the current model of a role. The caller must hold p.mu.
func (p *prefillEstimator) model(r external.EngineRole, now time.Time) prefillModel {
	m := p.fit.model
	if r == external.EngineRoleDecode {
		m.perToken *= decodeSlowdown
	}
	m.unseenWait = p.wait(r).decayed(now)
	return m
}

// observe updates the estimates with a prompt of which the given number of uncached tokens was
// prefilled behind a backlog.
func (p *prefillEstimator) observe(r external.EngineRole, tokens float64, ahead Backlog, elapsed time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanUncached += estimateWeight * (tokens - p.meanUncached)
	m := p.model(r, now)
	own := tokens + ahead.PendingTokens
	expected := m.fixed + own*m.perToken
	p.wait(r).add(elapsed.Seconds()-expected-ahead.OtherTokens*m.perToken, now)
	if r != external.EngineRoleDecode {
		limit := maxObservationRatio * max(expected, initialFixed+own*initialPerToken)
		p.fit.add(own, min(elapsed.Seconds(), limit))
	}
}

func (w *unseenWait) decayed(now time.Time) float64 {
	age := now.Sub(w.updatedAt)
	if age <= 0 || w.seconds == 0 {
		return w.seconds
	}
	return w.seconds * math.Exp(-age.Seconds()/unseenWaitDecay.Seconds())
}

// add updates the average with the time that one prompt took beyond the expected one.
func (w *unseenWait) add(extra float64, now time.Time) {
	old := w.decayed(now)
	extra = min(max(-maxUnseenWait, extra), maxUnseenWait)
	w.seconds, w.updatedAt = old+unseenWaitWeight*(extra-old), now
}

// lineFit fits a line to observations by least squares, in which older observations weigh less.
type lineFit struct {
	model prefillModel
	// n is the sum of the weights. meanX and meanY are weighted means, xx and xy the weighted sums of
	// products of the differences from them.
	n, meanX, meanY, xx, xy float64
}

const (
	// fitMemory is the number of observations after which the weight of an older one has decayed to 1/e.
	fitMemory = 100
	// fitLateWeight is the weight of an observation above the line, relative to one below it. Prompts
	// that waited for other gateway instances' requests lie above the time of an idle engine.
	fitLateWeight = 0.15
	// fitPriorWeight is the weight of the initial estimate, in observations.
	fitPriorWeight = 4
	// fitMinSpread is the standard deviation of the tokens, below which a slope cannot be told from
	// noise. The previous slope counts as much as observations with this spread.
	fitMinSpread = 200
	// minPerToken keeps the estimates positive: 1,000 tokens per millisecond are three times as many as
	// the fastest known engine prefills.
	minPerToken = 1e-6
)

func newLineFit() lineFit {
	f := lineFit{model: prefillModel{fixed: initialFixed, perToken: initialPerToken}, n: fitPriorWeight, meanX: initialMeanUncached}
	f.meanY = initialFixed + initialMeanUncached*initialPerToken
	f.xx = fitPriorWeight * initialMeanUncached * initialMeanUncached
	f.xy = f.xx * initialPerToken
	return f
}

func (f *lineFit) add(x, y float64) {
	w := 1.0
	if y > f.model.fixed+x*f.model.perToken {
		w = fitLateWeight
	}
	keep := 1 - w/fitMemory
	f.n, f.xx, f.xy = f.n*keep, f.xx*keep, f.xy*keep
	f.n += w
	dx := x - f.meanX
	f.meanX += w * dx / f.n
	f.meanY += w * (y - f.meanY) / f.n
	f.xx += w * dx * (x - f.meanX)
	f.xy += w * dx * (y - f.meanY)
	ridge := f.n * fitMinSpread * fitMinSpread
	perToken := max(minPerToken, (f.xy+ridge*f.model.perToken)/(f.xx+ridge))
	fixed := f.meanY - perToken*f.meanX
	if fixed < 0 && f.meanX > 0 {
		fixed, perToken = 0, max(minPerToken, f.meanY/f.meanX)
	}
	f.model = prefillModel{fixed: fixed, perToken: perToken}
}
