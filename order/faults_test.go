package order_test

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/standin/fault"
)

const (
	faultKilled         = "killed"
	faultPaused         = "paused past the lease"
	faultKVDown         = "key-value service down"
	faultKVSlow         = "key-value service slow"
	faultLost           = "response lost"
	faultDuplicate      = "duplicate delivery"
	faultEngineCrash    = "engine crash"
	faultRestart        = "sidecar restarted"
	faultTwoHolders     = "two holders"
	faultTwoSidecars    = "two sidecars"
	faultDuration       = 15 * time.Second // longer than the lease's TTL of 10 s
	slowCallDelay       = 800 * time.Millisecond
	entryRestartDelay   = 3 * time.Second
	sidecarRestartDelay = 500 * time.Millisecond
	midCallDelay        = 300 * time.Millisecond
)

var allFaults = []string{
	faultKilled, faultPaused, faultKVDown, faultKVSlow, faultLost, faultDuplicate,
	faultEngineCrash, faultRestart, faultTwoHolders, faultTwoSidecars,
}

// faultTiming is the time of a fault relative to the call at which it is injected.
type faultTiming string

const (
	timingBefore faultTiming = "before"
	timingDuring faultTiming = "during"
	timingAfter  faultTiming = "after"
)

// injectFault injects a fault that does not apply to a single call.
func (sim *simulation) injectFault(name string, p *fault.Process) {
	switch name {
	case faultKilled:
		sim.kill(p)
	case faultPaused:
		p.Pause(faultDuration)
	case faultKVDown:
		sim.network.Down(faultDuration)
	case faultKVSlow:
		sim.network.Slow(faultDuration, slowCallDelay)
	case faultEngineCrash:
		sim.engine.crash()
	case faultRestart:
		if s := sim.reachableSidecar(); s != nil {
			sim.kill(s.process)
		}
	case faultTwoHolders:
		// The service revokes all leases early: the holder still considers its authority valid.
		for id := range 200 {
			_ = sim.store.RevokeLease(sim.ctx, leaseID(id+1))
		}
	case faultTwoSidecars:
		sim.startSidecar()
		sim.mu.Lock()
		sim.dialOldestUntil = time.Now().Add(faultDuration)
		sim.mu.Unlock()
	}
}

// kill ends a process and later starts a new one of the same kind.
func (sim *simulation) kill(p *fault.Process) {
	if p.Killed() {
		return
	}
	p.Kill()
	if strings.HasPrefix(p.Name, "sidecar") {
		time.AfterFunc(sidecarRestartDelay, func() { sim.respawn(func() { sim.startSidecar() }) })
		return
	}
	time.AfterFunc(entryRestartDelay, func() { sim.respawn(sim.startEntry) })
}

func (sim *simulation) respawn(start func()) {
	if sim.ctx.Err() == nil {
		start()
	}
}

// faultAction returns the action that injects a fault at one call.
func (sim *simulation) faultAction(name string, at faultTiming, p *fault.Process) fault.Action {
	switch name {
	case faultLost:
		return fault.Action{LoseResponse: true}
	case faultDuplicate:
		return fault.Action{ExecuteTwice: true}
	}
	inject := func() { sim.injectFault(name, p) }
	switch at {
	case timingBefore:
		return fault.Action{Before: inject}
	case timingAfter:
		return fault.Action{After: inject}
	}
	return fault.Action{Before: func() { time.AfterFunc(midCallDelay, inject) }}
}

// protocolStep is a step of a protocol, recognised by the call that it makes.
type protocolStep struct {
	protocol, name string
	invariant      string // invariants that the step must keep; see findViolations
	match          func(observedCall) bool
	// setup brings about the situation in which the step occurs; nil if it needs none.
	setup func(*simulation)
	// notBefore is the earliest time of the fault since the start of the simulation.
	notBefore time.Duration
}

// observedCall is a call with the details of its process that the match functions need.
type observedCall struct {
	fault.Call
	sidecar   bool
	record    order.Record // of a compare-and-swap of an order record
	executing bool         // the process's last record write set PhaseExecuting
}

func isOp(op string) func(observedCall) bool {
	return func(c observedCall) bool { return c.Op == op }
}

func isSwap(key string) func(observedCall) bool {
	return func(c observedCall) bool { return c.Op == "cas" && c.Key == key }
}

func recordWrite(sidecar bool, phases ...order.Phase) func(observedCall) bool {
	return func(c observedCall) bool {
		for _, p := range phases {
			if c.record.Phase == p && c.sidecar == sidecar {
				return true
			}
		}
		return false
	}
}

func isAdopt(c observedCall) bool {
	return !c.sidecar && c.record.Phase != "" && c.record.Phase != order.PhasePlanned
}

func steps() []protocolStep {
	const i13, i123 = "I1, I3", "I1, I2, I3"
	afterFirstOrders := 8 * time.Second // at least one order has been executed
	all := []protocolStep{
		{protocol: "lease", name: "grant", invariant: "I3", match: isOp("grant")},
		{protocol: "lease", name: "create holder", invariant: "I3", match: isSwap(lease.HolderKey(pool))},
		{protocol: "lease", name: "increment fence", invariant: "I3", match: isSwap(lease.FenceKey(pool))},
		{protocol: "lease", name: "keep alive", invariant: "I3", match: isOp("keepalive"), notBefore: afterFirstOrders},
		{protocol: "order", name: "claim", invariant: i13, match: recordWrite(true, order.PhaseDone), setup: restartSidecar, notBefore: afterFirstOrders},
		{protocol: "order", name: "plan", invariant: i13, match: recordWrite(false, order.PhasePlanned), notBefore: afterFirstOrders},
		{protocol: "order", name: "notify", invariant: i13, match: isOp("notify"), notBefore: afterFirstOrders},
		{protocol: "order", name: "drain", invariant: i123, match: isOp("drain"), notBefore: afterFirstOrders},
		{protocol: "order", name: "read before effect", invariant: i123, match: func(c observedCall) bool {
			return c.sidecar && c.Op == "list" && c.executing
		}, notBefore: afterFirstOrders},
		{protocol: "order", name: "execute", invariant: i123, match: isOp("apply"), notBefore: afterFirstOrders},
		{protocol: "order", name: "write result", invariant: i13, match: recordWrite(true, order.PhaseDone, order.PhaseFailed), notBefore: afterFirstOrders},
	}
	for _, p := range []order.Phase{order.PhasePlanned, order.PhaseDraining, order.PhaseExecuting} {
		suffix := " (" + string(p) + " order)"
		all = append(all,
			protocolStep{protocol: "handover", name: "seal" + suffix, invariant: i13, match: isOp("seal"), setup: killHolderAt(p), notBefore: afterFirstOrders},
			protocolStep{protocol: "handover", name: "adopt" + suffix, invariant: i13, match: isAdopt, setup: killHolderAt(p), notBefore: afterFirstOrders})
	}
	return all
}

func restartSidecar(sim *simulation) { sim.injectFault(faultRestart, nil) }

// killHolderAt kills the pool's holder when its order reaches a phase.
func killHolderAt(p order.Phase) func(*simulation) {
	return func(sim *simulation) {
		sim.observe = func(c observedCall) {
			if c.record.Phase != p {
				return
			}
			sim.observe = nil
			state, err := lease.ReadPool(sim.ctx, sim.store, pool)
			if err != nil {
				return
			}
			sim.mu.Lock()
			entries := slices.Clone(sim.entries)
			sim.mu.Unlock()
			for _, e := range entries {
				if e.Name == state.HolderRecord.Holder {
					go sim.kill(e)
				}
			}
		}
	}
}

// faultInjector injects faults into a simulation: the first at a protocol step, the others after
// it at intervals of faultSpacing.
type faultInjector struct {
	step   protocolStep
	at     faultTiming
	faults []string

	mu            sync.Mutex
	firstInjected bool
	setupDone     bool
	pending       string          // a fault for the next call that injectPending accepts
	executing     map[string]bool // by process name: its last record write set PhaseExecuting
}

const faultSpacing = time.Second

// classify adds the details to a call. The caller holds mu.
func (inj *faultInjector) classify(p *fault.Process, c fault.Call) observedCall {
	k := observedCall{Call: c, sidecar: strings.HasPrefix(p.Name, "sidecar"), executing: inj.executing[p.Name]}
	if c.Op == "cas" && c.Key == order.Key(pool, engineName) {
		_ = json.Unmarshal(c.Value, &k.record)
		inj.executing[p.Name] = k.record.Phase == order.PhaseExecuting
	}
	return k
}

func (inj *faultInjector) hook(sim *simulation, p *fault.Process, c fault.Call) fault.Action {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	k := inj.classify(p, c)
	if sim.observe != nil {
		sim.observe(k)
	}
	if time.Since(sim.began) < inj.step.notBefore {
		return fault.Action{}
	}
	if !inj.setupDone {
		inj.setupDone = true
		if inj.step.setup != nil {
			inj.step.setup(sim)
		}
	}
	if inj.firstInjected {
		return inj.injectPending(sim, p, c)
	}
	if sim.observe != nil || !inj.step.match(k) {
		return fault.Action{}
	}
	inj.firstInjected = true
	for i, name := range inj.faults[1:] {
		time.AfterFunc(time.Duration(i+1)*faultSpacing, func() { inj.injectOrDefer(sim, name, p) })
	}
	return sim.faultAction(inj.faults[0], inj.at, p)
}

// injectOrDefer injects a fault now, or at the next call that injectPending accepts if the fault
// applies to a single call.
func (inj *faultInjector) injectOrDefer(sim *simulation, name string, p *fault.Process) {
	if name == faultLost || name == faultDuplicate {
		inj.mu.Lock()
		inj.pending = name
		inj.mu.Unlock()
		return
	}
	sim.injectFault(name, p)
}

// injectPending injects the pending fault, if any, at a write to the key-value service or a call of
// a sidecar.
func (inj *faultInjector) injectPending(sim *simulation, p *fault.Process, c fault.Call) fault.Action {
	switch c.Op {
	case "cas", "grant", "keepalive", "seal", "notify":
		name := inj.pending
		inj.pending = ""
		if name != "" {
			return sim.faultAction(name, timingAfter, p)
		}
	}
	return fault.Action{}
}
