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
	faultKilled       = "killed"
	faultPaused       = "paused past the lease"
	faultKVDown       = "key-value service down"
	faultKVSlow       = "key-value service slow"
	faultLost         = "response lost"
	faultDuplicate    = "duplicate delivery"
	faultEngineCrash  = "engine crash"
	faultRestart      = "sidecar restarted"
	faultTwoHolders   = "two holders"
	faultTwoSidecars  = "two sidecars"
	outage            = 15 * time.Second // exceeds the lease's TTL of 10 s
	slowCall          = 800 * time.Millisecond
	respawnAfter      = 3 * time.Second
	sidecarSpawnAfter = 500 * time.Millisecond
	duringCall        = 300 * time.Millisecond
)

var allFaults = []string{
	faultKilled, faultPaused, faultKVDown, faultKVSlow, faultLost, faultDuplicate,
	faultEngineCrash, faultRestart, faultTwoHolders, faultTwoSidecars,
}

// moment places a fault relative to the effect of the call that it meets.
type moment string

const (
	before moment = "before"
	during moment = "during"
	after  moment = "after"
)

// strike performs a fault that is not tied to one call.
func (w *world) strike(name string, p *fault.Process) {
	switch name {
	case faultKilled:
		w.kill(p)
	case faultPaused:
		p.Pause(outage)
	case faultKVDown:
		w.network.Down(outage)
	case faultKVSlow:
		w.network.Slow(outage, slowCall)
	case faultEngineCrash:
		w.engine.crash()
	case faultRestart:
		if s := w.dial(); s != nil {
			w.kill(s.process)
		}
	case faultTwoHolders:
		// The service drops all leases early: the holder's clock still says that it is valid.
		for id := range 200 {
			_ = w.store.RevokeLease(w.ctx, leaseID(id+1))
		}
	case faultTwoSidecars:
		w.startSidecar()
		w.mu.Lock()
		w.dialOld = time.Now().Add(outage)
		w.mu.Unlock()
	}
}

// kill ends a process and starts a new one of its kind later.
func (w *world) kill(p *fault.Process) {
	if p.Dead() {
		return
	}
	p.Kill()
	if strings.HasPrefix(p.Name, "sidecar") {
		time.AfterFunc(sidecarSpawnAfter, func() { w.respawn(func() { w.startSidecar() }) })
		return
	}
	time.AfterFunc(respawnAfter, func() { w.respawn(w.startEntry) })
}

func (w *world) respawn(start func()) {
	if w.ctx.Err() == nil {
		start()
	}
}

// action is the fault at one call.
func (w *world) action(name string, at moment, p *fault.Process) fault.Action {
	switch name {
	case faultLost:
		return fault.Action{Lose: true}
	case faultDuplicate:
		return fault.Action{Twice: true}
	}
	do := func() { w.strike(name, p) }
	switch at {
	case before:
		return fault.Action{Before: do}
	case after:
		return fault.Action{After: do}
	}
	return fault.Action{Before: func() { time.AfterFunc(duringCall, do) }}
}

// step matches the calls of one protocol step.
type step struct {
	protocol, name string
	invariant      string
	match          func(call) bool
	// setup starts the situation in which the step occurs; nil if it occurs by itself.
	setup func(*world)
	// from is the earliest time of the fault.
	from time.Duration
}

// call is a call with what the matchers need to know about its process.
type call struct {
	fault.Call
	sidecar   bool
	record    order.Record // of a compare-and-swap of an order record
	executing bool         // the process's last record write began an execution
}

func isOp(op string) func(call) bool {
	return func(c call) bool { return c.Op == op }
}

func isSwap(key string) func(call) bool {
	return func(c call) bool { return c.Op == "cas" && c.Key == key }
}

func recordWrite(sidecar bool, phases ...order.Phase) func(call) bool {
	return func(c call) bool {
		for _, p := range phases {
			if c.record.Phase == p && c.sidecar == sidecar {
				return true
			}
		}
		return false
	}
}

func isAdopt(c call) bool {
	return !c.sidecar && c.record.Phase != "" && c.record.Phase != order.PhasePlanned
}

func steps() []step {
	const i13, i123 = "I1, I3", "I1, I2, I3"
	late := 8 * time.Second // some orders have been executed
	all := []step{
		{protocol: "lease", name: "grant", invariant: "I3", match: isOp("grant")},
		{protocol: "lease", name: "create holder", invariant: "I3", match: isSwap(lease.HolderKey(pool))},
		{protocol: "lease", name: "increment fence", invariant: "I3", match: isSwap(lease.FenceKey(pool))},
		{protocol: "lease", name: "keep alive", invariant: "I3", match: isOp("keepalive"), from: late},
		{protocol: "order", name: "claim", invariant: i13, match: recordWrite(true, order.PhaseDone), setup: restartSidecar, from: late},
		{protocol: "order", name: "plan", invariant: i13, match: recordWrite(false, order.PhasePlanned), from: late},
		{protocol: "order", name: "notify", invariant: i13, match: isOp("notify"), from: late},
		{protocol: "order", name: "drain", invariant: i123, match: isOp("drain"), from: late},
		{protocol: "order", name: "read before effect", invariant: i123, match: func(c call) bool {
			return c.sidecar && c.Op == "list" && c.executing
		}, from: late},
		{protocol: "order", name: "execute", invariant: i123, match: isOp("apply"), from: late},
		{protocol: "order", name: "write result", invariant: i13, match: recordWrite(true, order.PhaseDone, order.PhaseFailed), from: late},
	}
	for _, p := range []order.Phase{order.PhasePlanned, order.PhaseDraining, order.PhaseExecuting} {
		suffix := " (" + string(p) + " order)"
		all = append(all,
			step{protocol: "handover", name: "seal" + suffix, invariant: i13, match: isOp("seal"), setup: killHolderAt(p), from: late},
			step{protocol: "handover", name: "adopt" + suffix, invariant: i13, match: isAdopt, setup: killHolderAt(p), from: late})
	}
	return all
}

func restartSidecar(w *world) { w.strike(faultRestart, nil) }

// killHolderAt kills the pool's holder when its order reaches a phase.
func killHolderAt(p order.Phase) func(*world) {
	return func(w *world) {
		w.observe = func(c call) {
			if c.record.Phase != p {
				return
			}
			w.observe = nil
			state, err := lease.ReadPool(w.ctx, w.store, pool)
			if err != nil {
				return
			}
			w.mu.Lock()
			entries := slices.Clone(w.entries)
			w.mu.Unlock()
			for _, e := range entries {
				if e.Name == state.Holder.Holder {
					go w.kill(e)
				}
			}
		}
	}
}

// script plays faults in a world: the first at a step, the others one second apart after it.
type script struct {
	step   step
	at     moment
	faults []string

	mu        sync.Mutex
	fired     bool
	armed     bool
	pending   string // a fault that waits for the process's next write or message
	executing map[string]bool
}

const secondFaultAfter = time.Second

// describe needs the script's lock.
func (s *script) describe(p *fault.Process, c fault.Call) call {
	k := call{Call: c, sidecar: strings.HasPrefix(p.Name, "sidecar"), executing: s.executing[p.Name]}
	if c.Op == "cas" && c.Key == order.Key(pool, engineName) {
		_ = json.Unmarshal(c.Value, &k.record)
		s.executing[p.Name] = k.record.Phase == order.PhaseExecuting
	}
	return k
}

func (s *script) hook(w *world, p *fault.Process, c fault.Call) fault.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.describe(p, c)
	if w.observe != nil {
		w.observe(k)
	}
	if time.Since(w.began) < s.step.from {
		return fault.Action{}
	}
	if !s.armed {
		s.armed = true
		if s.step.setup != nil {
			s.step.setup(w)
		}
	}
	if s.fired {
		return s.next(w, p, c)
	}
	if w.observe != nil || !s.step.match(k) {
		return fault.Action{}
	}
	s.fired = true
	for i, name := range s.faults[1:] {
		time.AfterFunc(time.Duration(i+1)*secondFaultAfter, func() { s.later(w, name, p) })
	}
	return w.action(s.faults[0], s.at, p)
}

func (s *script) later(w *world, name string, p *fault.Process) {
	if name == faultLost || name == faultDuplicate {
		s.mu.Lock()
		s.pending = name
		s.mu.Unlock()
		return
	}
	w.strike(name, p)
}

// next applies a waiting fault to the next call that has an effect.
func (s *script) next(w *world, p *fault.Process, c fault.Call) fault.Action {
	switch c.Op {
	case "cas", "grant", "keepalive", "seal", "notify":
		name := s.pending
		s.pending = ""
		if name != "" {
			return w.action(name, after, p)
		}
	}
	return fault.Action{}
}
