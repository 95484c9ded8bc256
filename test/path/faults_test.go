package path

import (
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// Faults of the matrix.
const (
	processKilled           = "killed"
	processPaused           = "paused past its timeouts"
	cutEntryToSidecar       = "cut entry to sidecar"
	cutSidecarToEntry       = "cut sidecar to entry"
	responseLost            = "response lost"
	duplicateDelivery       = "duplicate delivery"
	framesReordered         = "frames reordered"
	framesLost              = "frames lost"
	foreignFrame            = "frame of another request"
	restartedAndRedelivered = "restarted, request delivered again"
	kvDown                  = "key-value service down"
	kvSlow                  = "key-value service slow"
	engineCrash             = "engine crash"
	staleList               = "stale instance list"
	loadReportsLost         = "load reports lost"
	concurrentOperators     = "two operators"
)

var allFaults = []string{processKilled, processPaused, cutEntryToSidecar, cutSidecarToEntry, responseLost, duplicateDelivery, framesReordered, framesLost, foreignFrame, restartedAndRedelivered, kvDown, kvSlow, engineCrash, staleList, loadReportsLost}

const (
	restartTime = 2 * time.Second
	// pauseTime exceeds the deadlines of all kinds except chat, and every timeout between processes.
	pauseTime   = 12 * time.Second
	cutTime     = 10 * time.Second
	outageTime  = 6 * time.Second
	messageTime = 5 * time.Second
	// settleTime covers the longest fault, a second fault and the back-off of health probes.
	settleTime = 30 * time.Second
)

// faultTarget selects the process that a process fault is injected into.
type faultTarget string

const (
	targetEntry  faultTarget = "entry"
	targetWorker faultTarget = "worker"
)

// targets returns the targets with which a fault is tested. Only process faults have more than one.
func targets(fault string) []faultTarget {
	if fault == processKilled || fault == processPaused {
		return []faultTarget{targetEntry, targetWorker}
	}
	return []faultTarget{targetWorker}
}

// runAfter runs f after d, in most cases to end a fault.
func (dep *deployment) runAfter(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		f()
	}()
}

// inject applies a fault to the processes of an event.
func (dep *deployment) inject(fault string, on faultTarget, e event) {
	e = dep.resolve(e, "")
	en, wk := e.entry, e.worker
	dep.mu.Lock()
	if en == nil {
		en = dep.entries[0]
	}
	workers := append([]*workerProcess(nil), dep.workers...)
	dep.mu.Unlock()
	switch fault {
	case processKilled:
		dep.injectKill(on, en, wk)
	case processPaused:
		h := wk.host
		if on == targetEntry {
			h = en.host
		}
		dep.net.Freeze(h, true)
		dep.runAfter(pauseTime, func() { dep.net.Freeze(h, false) })
	case cutEntryToSidecar, cutSidecarToEntry:
		from, to := en.instance.ID, wk.instance.ID
		if fault == cutSidecarToEntry {
			from, to = to, from
		}
		dep.net.Cut(from, to, true)
		dep.runAfter(cutTime, func() { dep.net.Cut(from, to, false) })
	case kvDown:
		dep.store.Faults().Set(kv.FaultState{Down: true})
		dep.runAfter(outageTime, func() { dep.store.Faults().Set(kv.FaultState{}) })
	case kvSlow:
		dep.store.Faults().Set(kv.FaultState{SlowMS: 800})
		dep.runAfter(outageTime, func() { dep.store.Faults().Set(kv.FaultState{}) })
	case engineCrash:
		dep.injectCrash(wk)
	case restartedAndRedelivered:
		dep.injectRedelivery(wk, workers)
	case concurrentOperators:
		dep.twoOperators.Store(true)
	case staleList:
		dep.injectStaleList(wk)
	default:
		dep.injectMessages(fault, wk, workers)
	}
}

func (dep *deployment) injectKill(on faultTarget, en *entryProcess, wk *workerProcess) {
	if on == targetEntry {
		en.kill()
		dep.runAfter(restartTime, func() { dep.startEntry(int(en.instance.ID[len(en.instance.ID)-1] - '0')) })
		return
	}
	wk.kill()
	dep.runAfter(restartTime, func() { dep.startWorker(wk.slot) })
}

// injectRedelivery restarts all sidecars of a service after the request has run, and delivers the
// requests that each of them had received to its new incarnation.
func (dep *deployment) injectRedelivery(wk *workerProcess, workers []*workerProcess) {
	for _, p := range workers {
		if p.instance.Service != wk.instance.Service {
			continue
		}
		dep.runAfter(20*time.Millisecond, func() {
			p.kill()
			dep.startWorker(p.slot)
			time.Sleep(restartTime)
			dep.mu.Lock()
			next, requests := dep.workers[p.slot], dep.delivered[p.slot]
			dep.mu.Unlock()
			for _, r := range requests {
				_ = next.sidecar.Execute(next.host.Ctx, r, discard{})
			}
		})
	}
}

func (dep *deployment) injectCrash(wk *workerProcess) {
	if wk.engine == nil {
		wk.plain.SetFaults(backend.Faults{LoseResponse: 1})
		dep.runAfter(messageTime, func() { wk.plain.SetFaults(backend.Faults{}) })
		return
	}
	wk.engine.Crash()
	dep.runAfter(restartTime, func() { wk.engine.Restart(initialConfig) })
}

// injectStaleList replaces a sidecar while the instance list still names the old one as live: its
// process is gone and its address belongs to a new incarnation.
func (dep *deployment) injectStaleList(wk *workerProcess) {
	dep.list.SetLag(cutTime)
	wk.kill()
	dep.startWorker(wk.slot)
	dep.runAfter(cutTime, func() { dep.list.SetLag(200 * time.Millisecond) })
}

// injectMessages applies a fault to the messages of a sidecar, to its key-value service calls or to
// claims.
func (dep *deployment) injectMessages(fault string, wk *workerProcess, workers []*workerProcess) {
	m := &wk.faults
	switch fault {
	case responseLost:
		m.loseAnswers.Store(true)
		dep.store.Faults().Set(kv.FaultState{LoseAnswers: 1})
	case duplicateDelivery:
		m.duplicateRequest.Store(true)
		m.duplicateFrames.Store(true)
		dep.duplicateClaims.Store(true)
	case framesReordered:
		m.reorder.Store(true)
	case framesLost:
		m.loseFrames.Store(true)
	case foreignFrame:
		m.foreignFrames.Store(true)
	case loadReportsLost:
		for _, p := range workers {
			p.faults.loseReports.Store(true)
		}
	}
	dep.runAfter(messageTime, func() {
		m.loseAnswers.Store(false)
		m.duplicateRequest.Store(false)
		m.duplicateFrames.Store(false)
		m.reorder.Store(false)
		m.loseFrames.Store(false)
		m.foreignFrames.Store(false)
		dep.duplicateClaims.Store(false)
		for _, p := range workers {
			p.faults.loseReports.Store(false)
		}
	})
}

// script injects its faults once: the first one when a step occurs, each further one a second after
// the previous one.
type script struct {
	step   string
	faults []string
	on     faultTarget
	// delay is the time from the beginning of the step to the first fault.
	delay time.Duration
	// service, if set, restricts the step to the workers of one service.
	service string
	// onEvent, if set, is called for each event, whether or not its step matches.
	onEvent func(dep *deployment, e event)

	once     sync.Once
	injected bool
}

func (s *script) hook(dep *deployment) func(event) {
	return func(e event) {
		if s.onEvent != nil {
			s.onEvent(dep, e)
		}
		if e.step != s.step || s.service != "" && e.worker != nil && e.worker.instance.Service != s.service {
			return
		}
		s.once.Do(func() {
			s.injected = true
			e := dep.resolve(e, s.service)
			for i, f := range s.faults {
				if i == 0 && s.delay == 0 {
					dep.inject(f, s.on, e)
					continue
				}
				dep.runAfter(s.delay+time.Duration(i)*time.Second, func() {
					dep.inject(f, s.on, dep.resolve(e, s.service))
				})
			}
		})
	}
}

// resolve returns the event with its processes replaced by those that now run in their slots. An
// event without a worker gets the first worker of the service.
func (dep *deployment) resolve(e event, service string) event {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	for _, p := range dep.entries {
		if e.entry != nil && e.entry.instance.ID == p.instance.ID {
			e.entry = p
		}
	}
	for _, p := range dep.workers {
		if e.worker == nil && (service == "" || p.instance.Service == service) || e.worker != nil && e.worker.slot == p.slot {
			e.worker = p
			break
		}
	}
	return e
}

// crashOnce crashes the engine in the middle of the first streamed answer, so that the answer must
// be resumed on another engine.
func crashOnce() func(dep *deployment, e event) {
	var once sync.Once
	return func(dep *deployment, e event) {
		if e.step == "middle of the stream" && e.attempt == 1 {
			once.Do(func() { dep.injectCrash(e.worker) })
		}
	}
}
