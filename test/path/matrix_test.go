package path

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quetzallug/quetzallug/internal/faultmatrix"
)

// protocol is one table of the fault matrix: the steps at which each fault is injected, and the
// traffic that makes them occur.
type protocol struct {
	name, invariant string
	steps           []string
	service         string
	config          config
	run             func(dep *deployment, step string)
	// newOnEvent, if set, returns the onEvent of a script.
	newOnEvent func() func(*deployment, event)
	// checkAfter, if set, returns further violations at the end of a run.
	checkAfter func(dep *deployment, s *script) []string
}

// sendConcurrently starts requests 100 µs apart and waits for all of them.
func (dep *deployment) sendConcurrently(requests ...callerRequest) {
	var wg sync.WaitGroup
	for i, r := range requests {
		time.Sleep(100 * time.Microsecond)
		wg.Go(func() { dep.sendWithRetries(i%len(dep.entries), r) })
	}
	wg.Wait()
}

func runStreams(remotePrefill bool) func(*deployment, string) {
	return func(dep *deployment, _ string) {
		dep.sendConcurrently(
			callerRequest{kind: "arrival-verdict", stream: true, n: 1, remotePrefill: remotePrefill}, callerRequest{kind: "chat", stream: true, n: 2, remotePrefill: remotePrefill},
			callerRequest{kind: "arrival-verdict", n: 3, remotePrefill: remotePrefill}, callerRequest{kind: "order", stream: true, n: 4},
			callerRequest{kind: "schedule-read", n: 5}, callerRequest{kind: "alert-acknowledgement", n: 6}, callerRequest{kind: "alert-acknowledgement", n: 7, key: "k7"},
		)
	}
}

// refusedAttempts exceeds the attempts of all callers, so that every attempt is refused and claims
// are released.
const refusedAttempts = 10_000

func runKeyed(dep *deployment, step string) {
	r := callerRequest{kind: "alert-acknowledgement", n: 1, key: "k1"}
	if step == "release" {
		for _, p := range dep.allWorkers() {
			p.faults.refuse.Store(refusedAttempts)
		}
	}
	dep.sendConcurrently(r, r, callerRequest{kind: "alert-acknowledgement", n: 2, key: "k2"})
	for _, p := range dep.allWorkers() {
		p.faults.refuse.Store(0)
	}
	time.Sleep(time.Second)
	dep.replaying.Store(true)
	dep.sendConcurrently(r, r)
	time.Sleep(pauseTime)
	dep.sendConcurrently(r, r)
}

func runUnkeyed(dep *deployment, _ string) {
	dep.sendConcurrently(
		callerRequest{kind: "alert-acknowledgement", n: 1}, callerRequest{kind: "alert-acknowledgement", n: 2},
		callerRequest{kind: "order", n: 3}, callerRequest{kind: "schedule-read", n: 4},
	)
}

var standardConfig = config{entries: 2, engines: 3, plains: 2}

var protocols = []protocol{
	{
		name: "streamed request", invariant: "I4, I5, I6", config: standardConfig, run: runStreams(false),
		steps: []string{"admit", "route", "connect", "first frame", "middle of the stream", "final frame"},
	},
	{
		name: "resume", invariant: "I4, I5", config: standardConfig, run: runStreams(false), newOnEvent: crashOnce,
		steps: []string{"pick another engine", "prefill again", "continue at offset", "final after resume"},
	},
	{
		name: "prefill on another engine", invariant: "I4, I5", config: standardConfig, run: runStreams(true),
		steps: []string{"fetch", "import", "decode"},
	},
	{
		name: "keyed request", invariant: "I5, I6", config: config{entries: 2, plains: 2, engines: 1}, run: runKeyed, service: api,
		steps: []string{"claim", "connect", "run", "complete", "replay", "release"},
	},
	{
		name: "unkeyed unrepeatable request", invariant: "I5, I6", config: config{entries: 2, plains: 2, engines: 1}, run: runUnkeyed, service: api,
		steps: []string{"route", "connect", "run", "answer"},
	},
	{
		name: "drain", invariant: "I2, I7, I8", config: config{entries: 2, engines: 3, plains: 2}, run: runDrain, checkAfter: checkDrain,
		steps: []string{drainOrder, drainLeaving, drainSidecar, drainEntry},
	},
	{
		name: "apply", invariant: "I9", config: config{entries: 3, engines: 1, plains: 1}, run: runApply, checkAfter: checkInForce,
		steps: []string{applyWrite, applySpread, applyRestart},
	},
}

// stepNames maps protocol/step to the step's name in the matrix where it differs from the event's
// step, which another protocol also uses.
var stepNames = map[string]string{"keyed request/connect": "dispatch"}

// stepsBeforeFrames are the steps before the first frame of an attempt.
var stepsBeforeFrames = []string{"admit", "route", "connect", "claim", "pick another engine", "prefill again", "fetch", "import", "run"}

// exclusionReason returns why a fault can't be tested at a step, or an empty string if it can.
func exclusionReason(step, fault string) string {
	onFrames := fault == framesReordered || fault == framesLost || fault == foreignFrame
	switch {
	case isApplyStep(step) && (onFrames || fault == engineCrash || fault == loadReportsLost || fault == restartedAndRedelivered):
		return "documents travel neither in frames nor through engines, load reports or requests"
	case onFrames && slices.Contains(stepsBeforeFrames, step):
		return "no frame has been sent yet; the fault begins with the first frame"
	case onFrames && (step == "complete" || step == "replay" || step == "release"):
		return "no frame is sent at this step"
	case fault == restartedAndRedelivered && slices.Contains([]string{"admit", "claim", "pick another engine", "complete", "replay", "release"}, step):
		return "no request is on its way to a sidecar at this step"
	}
	return ""
}

func (p *protocol) cell(step string, faults ...string) faultmatrix.Cell {
	name := step
	if s, ok := stepNames[p.name+"/"+step]; ok {
		name = s
	}
	return faultmatrix.Cell{Protocol: p.name, Step: name, Faults: faults, Invariant: p.invariant}
}

// faults returns the faults that are injected at each step of the protocol.
func (p *protocol) faults() []string {
	if isApplyStep(p.steps[0]) {
		return append(slices.Clone(allFaults), concurrentOperators)
	}
	return allFaults
}

// delays returns the times after the beginning of a step at which a fault is injected. Faults that
// last longer than a step are injected at its beginning only.
func delays(fault string) []time.Duration {
	if slices.Contains([]string{processKilled, processPaused, cutEntryToSidecar, cutSidecarToEntry, responseLost, engineCrash}, fault) {
		return []time.Duration{0, time.Millisecond}
	}
	return []time.Duration{0}
}

// runCell runs the protocol once in a new deployment, with the faults of a script, and returns the
// violations.
func (p *protocol) runCell(t *testing.T, s *script) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		dep := newDeployment(t, p.config)
		defer dep.stop()
		s.service = p.service
		if p.newOnEvent != nil {
			s.onEvent = p.newOnEvent()
		}
		dep.setStepHook(s.hook(dep))
		p.run(dep, s.step)
		time.Sleep(settleTime)
		violations = append(dep.check(), dep.checkServing(p)...)
		if p.checkAfter != nil {
			violations = append(violations, p.checkAfter(dep, s)...)
		}
		if !s.injected {
			violations = append(violations, "the step did not occur")
		}
		if len(violations) > 0 {
			for _, o := range dep.calls {
				violations = append(violations, "  call: "+o.String())
			}
			violations = append(violations, fmt.Sprintf("%s, %v on %s, delay %s", s.step, s.faults, s.on, s.delay))
		}
	})
	return violations
}

// checkServing checks that every entry serves requests after the faults have ended, and checks the
// invariants again.
func (dep *deployment) checkServing(p *protocol) (violations []string) {
	for i := range dep.entries {
		for n, r := range []callerRequest{{kind: "arrival-verdict", stream: true}, {kind: "schedule-read"}, {kind: "alert-acknowledgement", key: "after"}} {
			r.n = 100 + 10*i + n
			if r.key != "" {
				r.key = fmt.Sprint("after-", i)
			}
			if o := dep.send(i, r); !o.complete {
				violations = append(violations, p.name+": the deployment does not serve after the faults ended: "+o.String())
			}
		}
	}
	return append(violations, dep.check()...)
}

// Guards against truncated answers that are marked complete, answers mixed from several requests,
// requests that are reported as not run although they ran, and second runs of requests that must
// not be repeated, with each fault injected at each step.
func TestFaultMatrix(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	for i := range protocols {
		p := &protocols[i]
		for _, step := range p.steps {
			for _, f := range p.faults() {
				c := p.cell(step, f)
				c.Reason = exclusionReason(step, f)
				r.Declare(c)
				if c.Reason != "" {
					continue
				}
				r.Run(t, c, func(t *testing.T) {
					for _, on := range targets(f) {
						for _, delay := range delays(f) {
							requireNoViolations(t, p.runCell(t, &script{step: step, faults: []string{f}, on: on, delay: delay}))
						}
					}
				})
			}
		}
	}
}

func requireNoViolations(t *testing.T, violations []string) {
	t.Helper()
	if len(violations) > 0 {
		t.Fatal(strings.Join(violations, "\n"))
	}
}

// pairFaults are the faults that TestFaultPairs combines: those that affect a keyed request.
var pairFaults = []string{processKilled, processPaused, cutEntryToSidecar, cutSidecarToEntry, responseLost, duplicateDelivery, kvDown, kvSlow, engineCrash}

// Guards against a second run of a request under one idempotency key after two faults, each of
// which alone does not cause it.
func TestFaultPairs(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	p := &protocols[slices.IndexFunc(protocols, func(p protocol) bool { return p.name == "keyed request" })]
	for _, step := range p.steps {
		for i, first := range pairFaults {
			for j, second := range pairFaults {
				c := p.cell(step, first, second)
				r.Declare(c)
				on := []faultTarget{targetEntry, targetWorker}[(i+j)%2]
				r.Run(t, c, func(t *testing.T) {
					requireNoViolations(t, p.runCell(t, &script{step: step, faults: []string{first, second}, on: on}))
				})
			}
		}
	}
}
