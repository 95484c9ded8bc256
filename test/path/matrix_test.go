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

// protocol is one table of the matrix.
type protocol struct {
	name, invariant string
	steps           []string
	service         string
	config          config
	play            func(w *world, step string)
	first           func() func(*world, event)
	// after returns further violations.
	after func(w *world, s *script) []string
}

// together sends requests a little apart and waits for all.
func (w *world) together(asks ...ask) {
	var wg sync.WaitGroup
	for i, a := range asks {
		time.Sleep(100 * time.Microsecond)
		wg.Go(func() { w.retried(i%len(w.entries), a) })
	}
	wg.Wait()
}

func playStreams(pair bool) func(*world, string) {
	return func(w *world, _ string) {
		w.together(
			ask{kind: "arrival-verdict", stream: true, n: 1, pair: pair}, ask{kind: "chat", stream: true, n: 2, pair: pair},
			ask{kind: "arrival-verdict", n: 3, pair: pair}, ask{kind: "order", stream: true, n: 4},
			ask{kind: "schedule-read", n: 5}, ask{kind: "alert-acknowledgement", n: 6}, ask{kind: "alert-acknowledgement", n: 7, key: "k7"},
		)
	}
}

// refusals outlast the attempts of all callers, so that claims are released.
const refusals = 10_000

func playKeyed(w *world, step string) {
	a := ask{kind: "alert-acknowledgement", n: 1, key: "k1"}
	if step == "release" {
		for _, p := range w.allWorkers() {
			p.mode.refuse.Store(refusals)
		}
	}
	w.together(a, a, ask{kind: "alert-acknowledgement", n: 2, key: "k2"})
	for _, p := range w.allWorkers() {
		p.mode.refuse.Store(0)
	}
	time.Sleep(time.Second)
	w.replaying.Store(true)
	w.together(a, a)
	time.Sleep(pauseTime)
	w.together(a, a)
}

func playUnkeyed(w *world, _ string) {
	w.together(
		ask{kind: "alert-acknowledgement", n: 1}, ask{kind: "alert-acknowledgement", n: 2},
		ask{kind: "order", n: 3}, ask{kind: "schedule-read", n: 4},
	)
}

var standard = config{entries: 2, engines: 3, plains: 2}

var protocols = []protocol{
	{
		name: "streamed request", invariant: "I4, I5, I6", config: standard, play: playStreams(false),
		steps: []string{"admit", "route", "connect", "first frame", "middle of the stream", "final frame"},
	},
	{
		name: "resume", invariant: "I4, I5", config: standard, play: playStreams(false), first: crashOnce,
		steps: []string{"pick another engine", "prefill again", "continue at offset", "final after resume"},
	},
	{
		name: "prefill on another engine", invariant: "I4, I5", config: standard, play: playStreams(true),
		steps: []string{"fetch", "import", "decode"},
	},
	{
		name: "keyed request", invariant: "I5, I6", config: config{entries: 2, plains: 2, engines: 1}, play: playKeyed, service: api,
		steps: []string{"claim", "connect", "run", "complete", "replay", "release"},
	},
	{
		name: "unkeyed unrepeatable request", invariant: "I5, I6", config: config{entries: 2, plains: 2, engines: 1}, play: playUnkeyed, service: api,
		steps: []string{"route", "connect", "run", "answer"},
	},
	{
		name: "drain", invariant: "I2, I7, I8", config: config{entries: 2, engines: 3, plains: 2}, play: playDrain, after: drainCutNothing,
		steps: []string{drainOrder, drainLeaving, drainSidecar, drainEntry},
	},
	{
		name: "apply", invariant: "I9", config: config{entries: 3, engines: 1, plains: 1}, play: playApply, after: inForce,
		steps: []string{applyWrite, applySpread, applyRestart},
	},
}

// shown are the names in the matrix of steps that share an event with another protocol.
var shown = map[string]string{"keyed request/connect": "dispatch"}

// beforeFrames are the steps before the first frame of an attempt.
var beforeFrames = []string{"admit", "route", "connect", "claim", "pick another engine", "prefill again", "fetch", "import", "run"}

// uncovered returns why a cell makes no sense, or an empty string.
func uncovered(step, fault string) string {
	onFrames := fault == reordered || fault == gaps || fault == foreign
	switch {
	case isApply(step) && (onFrames || fault == crash || fault == noReports || fault == again):
		return "documents travel neither in frames nor through engines, load reports or requests"
	case onFrames && slices.Contains(beforeFrames, step):
		return "no frame has been sent yet; the fault begins with the first frame"
	case onFrames && (step == "complete" || step == "replay" || step == "release"):
		return "no frame is sent at this step"
	case fault == again && slices.Contains([]string{"admit", "claim", "pick another engine", "complete", "replay", "release"}, step):
		return "no request is on its way to a sidecar at this step"
	}
	return ""
}

func (p *protocol) cell(step string, faults ...string) faultmatrix.Cell {
	name := step
	if s, ok := shown[p.name+"/"+step]; ok {
		name = s
	}
	return faultmatrix.Cell{Protocol: p.name, Step: name, Faults: faults, Invariant: p.invariant}
}

// faults returns the faults of the protocol's cells.
func (p *protocol) faults() []string {
	if isApply(p.steps[0]) {
		return append(slices.Clone(allFaults), operators)
	}
	return allFaults
}

// delays returns the times after a step's begin at which a fault strikes. Faults that last longer
// than a step strike at its begin only.
func delays(fault string) []time.Duration {
	if slices.Contains([]string{killed, paused, cutTo, cutFrom, lost, crash}, fault) {
		return []time.Duration{0, time.Millisecond}
	}
	return []time.Duration{0}
}

// playCell runs one world and returns the violations.
func (p *protocol) playCell(t *testing.T, s *script) (bad []string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, p.config)
		defer w.stop()
		s.service = p.service
		if p.first != nil {
			s.first = p.first()
		}
		w.setHook(s.hook(w))
		p.play(w, s.step)
		time.Sleep(settleTime)
		bad = append(w.check(), w.usable(p)...)
		if p.after != nil {
			bad = append(bad, p.after(w, s)...)
		}
		if !s.fired {
			bad = append(bad, "the step did not occur")
		}
		if len(bad) > 0 {
			for _, o := range w.calls {
				bad = append(bad, "  saw "+o.String())
			}
			bad = append(bad, fmt.Sprintf("%s, %v on %s, delay %s", s.step, s.faults, s.on, s.delay))
		}
	})
	return bad
}

// usable guards against a deployment that does not serve after its faults have ended.
func (w *world) usable(p *protocol) (bad []string) {
	for i := range w.entries {
		for n, a := range []ask{{kind: "arrival-verdict", stream: true}, {kind: "schedule-read"}, {kind: "alert-acknowledgement", key: "after"}} {
			a.n = 100 + 10*i + n
			if a.key != "" {
				a.key = fmt.Sprint("after-", i)
			}
			if o := w.send(i, a); !o.complete {
				bad = append(bad, p.name+" leaves the deployment unusable: "+o.String())
			}
		}
	}
	return append(bad, w.check()...)
}

// Guards against an answer that is cut, mixed or shown as whole without its end, a false "not
// run", and a second run of a request that may not be repeated, under each fault at each step.
func TestFaultMatrix(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	for i := range protocols {
		p := &protocols[i]
		for _, step := range p.steps {
			for _, f := range p.faults() {
				c := p.cell(step, f)
				c.Reason = uncovered(step, f)
				r.Declare(c)
				if c.Reason != "" {
					continue
				}
				r.Run(t, c, func(t *testing.T) {
					for _, on := range targets(f) {
						for _, delay := range delays(f) {
							requireNone(t, p.playCell(t, &script{step: step, faults: []string{f}, on: on, delay: delay}))
						}
					}
				})
			}
		}
	}
}

func requireNone(t *testing.T, bad []string) {
	t.Helper()
	if len(bad) > 0 {
		t.Fatal(strings.Join(bad, "\n"))
	}
}

// pairFaults are the faults of the pairs, those that change what a keyed request meets.
var pairFaults = []string{killed, paused, cutTo, cutFrom, lost, duplicate, kvDown, kvSlow, crash}

// Guards against a second run under a key after two faults that are harmless alone.
func TestFaultPairs(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	p := &protocols[slices.IndexFunc(protocols, func(p protocol) bool { return p.name == "keyed request" })]
	for _, step := range p.steps {
		for i, first := range pairFaults {
			for j, second := range pairFaults {
				c := p.cell(step, first, second)
				r.Declare(c)
				on := []hits{hitsEntry, hitsWorker}[(i+j)%2]
				r.Run(t, c, func(t *testing.T) {
					requireNone(t, p.playCell(t, &script{step: step, faults: []string{first, second}, on: on}))
				})
			}
		}
	}
}
