package path

import (
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// Faults of the matrix.
const (
	killed    = "killed"
	paused    = "paused past its timeouts"
	cutTo     = "cut entry to sidecar"
	cutFrom   = "cut sidecar to entry"
	lost      = "response lost"
	duplicate = "duplicate delivery"
	reordered = "frames reordered"
	gaps      = "frames lost"
	foreign   = "frame of another request"
	again     = "restarted, request delivered again"
	kvDown    = "key-value service down"
	kvSlow    = "key-value service slow"
	crash     = "engine crash"
	staleList = "stale instance list"
	noReports = "load reports lost"
	operators = "two operators"
)

var allFaults = []string{killed, paused, cutTo, cutFrom, lost, duplicate, reordered, gaps, foreign, again, kvDown, kvSlow, crash, staleList, noReports}

const (
	restartTime = 2 * time.Second
	// pauseTime exceeds the deadlines of all kinds but chat, and every timeout between processes.
	pauseTime   = 12 * time.Second
	cutTime     = 10 * time.Second
	outageTime  = 6 * time.Second
	messageTime = 5 * time.Second
	// settleTime covers the longest fault, a second one and the back-off of probes.
	settleTime = 30 * time.Second
)

// hits says which process a fault of a process meets.
type hits string

const (
	hitsEntry  hits = "entry"
	hitsWorker hits = "worker"
)

// targets returns the processes that a fault can meet; other faults have one variant.
func targets(fault string) []hits {
	if fault == killed || fault == paused {
		return []hits{hitsEntry, hitsWorker}
	}
	return []hits{hitsWorker}
}

// later undoes a fault after a time.
func (w *world) later(d time.Duration, f func()) {
	go func() {
		time.Sleep(d)
		f()
	}()
}

// inject applies a fault around an event.
func (w *world) inject(fault string, on hits, e event) {
	e = w.present(e, "")
	en, wk := e.entry, e.worker
	w.mu.Lock()
	if en == nil {
		en = w.entries[0]
	}
	workers := append([]*workerProc(nil), w.workers...)
	w.mu.Unlock()
	switch fault {
	case killed:
		w.injectKill(on, en, wk)
	case paused:
		h := wk.host
		if on == hitsEntry {
			h = en.host
		}
		w.net.Freeze(h, true)
		w.later(pauseTime, func() { w.net.Freeze(h, false) })
	case cutTo, cutFrom:
		from, to := en.inst.ID, wk.inst.ID
		if fault == cutFrom {
			from, to = to, from
		}
		w.net.Cut(from, to, true)
		w.later(cutTime, func() { w.net.Cut(from, to, false) })
	case kvDown:
		w.store.Faults().Set(kv.FaultState{Down: true})
		w.later(outageTime, func() { w.store.Faults().Set(kv.FaultState{}) })
	case kvSlow:
		w.store.Faults().Set(kv.FaultState{SlowMS: 800})
		w.later(outageTime, func() { w.store.Faults().Set(kv.FaultState{}) })
	case crash:
		w.injectCrash(wk)
	case again:
		w.injectAgain(wk, workers)
	case operators:
		w.twoOperators.Store(true)
	case staleList:
		w.injectStaleList(wk)
	default:
		w.injectMessages(fault, wk, workers)
	}
}

func (w *world) injectKill(on hits, en *entryProc, wk *workerProc) {
	if on == hitsEntry {
		en.kill()
		w.later(restartTime, func() { w.startEntry(int(en.inst.ID[len(en.inst.ID)-1] - '0')) })
		return
	}
	wk.kill()
	w.later(restartTime, func() { w.startWorker(wk.slot) })
}

// injectAgain restarts the sidecars of a service after the request has run, and delivers all of
// their requests to the new incarnations.
func (w *world) injectAgain(wk *workerProc, workers []*workerProc) {
	for _, p := range workers {
		if p.inst.Service != wk.inst.Service {
			continue
		}
		w.later(20*time.Millisecond, func() {
			p.kill()
			w.startWorker(p.slot)
			time.Sleep(restartTime)
			w.mu.Lock()
			next, requests := w.workers[p.slot], w.delivered[p.slot]
			w.mu.Unlock()
			for _, r := range requests {
				_ = next.sc.Execute(next.host.Ctx, r, discard{})
			}
		})
	}
}

func (w *world) injectCrash(wk *workerProc) {
	if wk.engine == nil {
		wk.plain.SetFaults(backend.Faults{LoseResponse: 1})
		w.later(messageTime, func() { wk.plain.SetFaults(backend.Faults{}) })
		return
	}
	wk.engine.Crash()
	w.later(restartTime, func() { wk.engine.Restart(initial) })
}

// injectStaleList replaces a sidecar while the list still names the first one as live: the old
// process is gone, the address belongs to a new incarnation.
func (w *world) injectStaleList(wk *workerProc) {
	w.list.SetLag(cutTime)
	wk.kill()
	w.startWorker(wk.slot)
	w.later(cutTime, func() { w.list.SetLag(200 * time.Millisecond) })
}

// injectMessages applies a fault to the messages of a sidecar, and to claims.
func (w *world) injectMessages(fault string, wk *workerProc, workers []*workerProc) {
	m := &wk.mode
	switch fault {
	case lost:
		m.loseAnswers.Store(true)
		w.store.Faults().Set(kv.FaultState{LoseAnswers: 1})
	case duplicate:
		m.duplicateRequest.Store(true)
		m.duplicateFrames.Store(true)
		w.duplicateClaims.Store(true)
	case reordered:
		m.reorder.Store(true)
	case gaps:
		m.loseFrames.Store(true)
	case foreign:
		m.foreign.Store(true)
	case noReports:
		for _, p := range workers {
			p.mode.loseReports.Store(true)
		}
	}
	w.later(messageTime, func() {
		m.loseAnswers.Store(false)
		m.duplicateRequest.Store(false)
		m.duplicateFrames.Store(false)
		m.reorder.Store(false)
		m.loseFrames.Store(false)
		m.foreign.Store(false)
		w.duplicateClaims.Store(false)
		for _, p := range workers {
			p.mode.loseReports.Store(false)
		}
	})
}

// script injects its faults once: the first one at a step, each further one a second after the one
// before it.
type script struct {
	step   string
	faults []string
	on     hits
	// delay lets the step begin before the fault strikes.
	delay time.Duration
	// service restricts the step to the workers of one service, if it is set.
	service string
	// first is called for each event before the step is compared.
	first func(w *world, e event)

	once  sync.Once
	fired bool
}

func (s *script) hook(w *world) func(event) {
	return func(e event) {
		if s.first != nil {
			s.first(w, e)
		}
		if e.step != s.step || s.service != "" && e.worker != nil && e.worker.inst.Service != s.service {
			return
		}
		s.once.Do(func() {
			s.fired = true
			e := w.present(e, s.service)
			for i, f := range s.faults {
				if i == 0 && s.delay == 0 {
					w.inject(f, s.on, e)
					continue
				}
				w.later(s.delay+time.Duration(i)*time.Second, func() {
					w.inject(f, s.on, w.present(e, s.service))
				})
			}
		})
	}
}

// present returns an event with the processes that hold its slots now.
func (w *world) present(e event, service string) event {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.entries {
		if e.entry != nil && e.entry.inst.ID == p.inst.ID {
			e.entry = p
		}
	}
	for _, p := range w.workers {
		if e.worker == nil && (service == "" || p.inst.Service == service) || e.worker != nil && e.worker.slot == p.slot {
			e.worker = p
			break
		}
	}
	return e
}

// crashOnce crashes the engine of the first answer in its middle, so that the answer resumes.
func crashOnce() func(w *world, e event) {
	var once sync.Once
	return func(w *world, e event) {
		if e.step == "middle of the stream" && e.attempt == 1 {
			once.Do(func() { w.injectCrash(e.worker) })
		}
	}
}
