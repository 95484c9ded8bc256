package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/route"
)

func promptSelection(outputTokens int) *SelectionRequest {
	r := &route.Route{Name: "r", DeclaresPrompt: true, TargetLatency: 150 * time.Millisecond}
	return &SelectionRequest{Route: r, Metadata: &RequestMetadata{PromptTokens: 4000, OutputTokens: outputTokens}, Deadline: start.Add(2 * time.Second)}
}

// Guards against large requests being refused for their own size alone, so that they are never
// served, and against long answers on engines so full that the longest cannot end before their
// deadlines.
func TestRefusalsAreFairToSize(t *testing.T) {
	const ms = time.Millisecond
	queued := choice{uncachedTokens: 4000, timeToFirst: 160 * ms, wait: 130 * ms}
	require.True(t, shouldRefuse(promptSelection(2), &queued, 1, start))
	large := choice{uncachedTokens: 40_000, timeToFirst: 260 * ms, excessPrefill: 200 * ms, wait: 30 * ms}
	require.False(t, shouldRefuse(promptSelection(2), &large, spareWait, start), "late for its own prefill only, on an engine with time to spare")
	large.wait = 60 * ms
	require.True(t, shouldRefuse(promptSelection(2), &large, spareWait, start), "it would delay others")
	require.False(t, shouldRefuse(promptSelection(2), &large, 1, start), "its class is served too rarely")
	behind := choice{uncachedTokens: 40_000, timeToFirst: 300 * ms, excessPrefill: 100 * ms, wait: 150 * ms}
	require.True(t, shouldRefuse(promptSelection(2), &behind, 1, start), "late because of queued requests")
	hopeless := choice{uncachedTokens: 100, timeToFirst: 3 * time.Second}
	require.True(t, shouldRefuse(promptSelection(2), &hopeless, 1, start), "later than its caller waits")
	full := choice{uncachedTokens: 100, timeToFirst: 20 * ms, utilisation: 0.96}
	require.True(t, shouldRefuse(promptSelection(90), &full, 0, start))
	require.False(t, shouldRefuse(promptSelection(2), &full, 0, start), "a short answer ends soon")
	full.utilisation = 0.85
	require.False(t, shouldRefuse(promptSelection(90), &full, 0, start))
}

// Guards against classes of size that do not follow the sizes that a route gets, and against large
// requests being served less than half as often as others however they are treated otherwise.
func TestLargestRequestsGetTheirShare(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for _, mean := range []float64{200, 20_000} {
		var trackers sizeTrackers
		now := start
		count := map[bool]int{}
		admitted := map[bool]int{}
		for i := range 6000 {
			now = now.Add(10 * time.Millisecond)
			// Under this load the wait is between 0 and 1 of the target, and requests above twice the
			// mean are late for their own size.
			wait := 0.3 + 0.7*random.Float64()
			size := mean * random.ExpFloat64()
			ok := trackers.decide("r", &RequestMetadata{PromptTokens: int(size)}, now, func(allowedWait float64) bool {
				if size < 2*mean {
					return wait < 0.8
				}
				return wait < min(0.8, allowedWait)
			})
			if i < 1000 {
				continue
			}
			large := size > mean*2.303 // the largest tenth of an exponential distribution
			count[large]++
			if ok {
				admitted[large]++
			}
		}
		all := float64(admitted[true]+admitted[false]) / float64(count[true]+count[false])
		require.GreaterOrEqual(t, float64(admitted[true])/float64(count[true]), 0.5*all)
		tracker := trackers.byRoute["r"]
		require.InEpsilon(t, 2.303*mean, tracker.largest, 0.25)
		require.InEpsilon(t, 1.204*mean, tracker.upper, 0.25)
	}
}

// Guards against trackers that pile up as the operator's configuration adds and drops routes.
func TestSizeTrackersAreBounded(t *testing.T) {
	var trackers sizeTrackers
	for i := range 3 * maxTrackedRoutes {
		trackers.decide(time.Duration(i).String(), &RequestMetadata{PromptTokens: 1}, start, func(float64) bool { return true })
	}
	require.LessOrEqual(t, len(trackers.byRoute), maxTrackedRoutes)
}

// Guards against fixed costs and the waiting time behind other instances' requests being taken for
// the time per token, which makes large prompts look three times as slow as they are.
func TestPrefillTimeIsALine(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []prefillModel{{fixed: 0.026, perToken: 1e-5}, {fixed: 0.001, perToken: 3e-6}} {
		p := newPrefillEstimator()
		now := start
		for range 2000 {
			now = now.Add(10 * time.Millisecond)
			tokens := 600 + 4000*random.ExpFloat64()
			elapsed := c.fixed + tokens*c.perToken
			if random.Float64() < 0.4 {
				elapsed += 0.1 * random.Float64() // behind a request of another instance
			}
			p.observe(external.EngineRolePrefill, tokens, Backlog{}, time.Duration(elapsed*float64(time.Second)), now)
		}
		e := p.estimates(now)
		require.InDelta(t, c.fixed, e.prefill.fixed, 0.02)
		require.InEpsilon(t, c.perToken, e.prefill.perToken, 0.35)
		require.InDelta(t, 0.4*0.05, e.prefill.unseenWait+e.prefill.fixed-c.fixed, 0.015)
		require.Less(t, p.estimates(now.Add(10*unseenWaitDecay)).prefill.unseenWait, 1e-3, "nothing was observed lately")
	}
}

// Guards against decode engines being taken for infinitely fast: their prefills that end in time are
// the fast ones, and a speed learned from them drew all prompts there.
func TestDecodeEnginesAreNotFasterThanPrefillEngines(t *testing.T) {
	p := newPrefillEstimator()
	now := start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		p.observe(external.EngineRolePrefill, 4000, Backlog{}, 66*time.Millisecond, now)
		p.observe(external.EngineRoleDecode, 4000, Backlog{PendingTokens: 100_000}, time.Millisecond, now)
	}
	e := p.estimates(now)
	require.Greater(t, e.decode.perToken, e.prefill.perToken)
}
