package faults_test

import (
	"context"
	"errors"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
	"github.com/quetzallug/quetzallug/standin/instances"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// cell is one scenario of the fault matrix. A planned cell consists only of planned changes and
// graceful stops, which must not interrupt any request.
type cell struct {
	name    string
	planned bool
	run     func(ctx context.Context, h *harness) error
}

const (
	leaseTTL = 4 * time.Second
	// outageDuration exceeds leaseTTL, so that a lease holder cut off from the key-value service
	// loses its lease.
	outageDuration = 5 * time.Second
	// downtime is how long a killed or crashed process stays down.
	downtime = time.Second
	// listLag is the delay of the instance list in the list-lag cell.
	listLag = 4 * time.Second
)

// ciCells are the cells that run in continuous integration.
var ciCells = []string{"stop-sidecar", "order", "kill-holder", "kv-lost-responses-in-order", "backend-lost-responses"}

func cells() []cell {
	return []cell{
		{"kill-entry", false, killEntry},
		{"kill-sidecar", false, func(ctx context.Context, h *harness) error { return h.killSidecar(ctx, h.randomModelWorker()) }},
		{"kill-plain-sidecar", false, func(ctx context.Context, h *harness) error { return h.killSidecar(ctx, h.randomPlainWorker()) }},
		{"kill-sidecar-in-order", false, func(ctx context.Context, h *harness) error {
			return h.duringOrder(ctx, func(w *worker) error { return h.killSidecar(ctx, w) })
		}},
		{"crash-engine", false, func(ctx context.Context, h *harness) error { return h.crashEngine(ctx, h.randomModelWorker()) }},
		{"crash-engine-in-order", false, func(ctx context.Context, h *harness) error {
			return h.duringOrder(ctx, func(w *worker) error { return h.crashEngine(ctx, w) })
		}},
		{"kill-holder", false, killHolder},
		{"kill-holder-twice", false, func(ctx context.Context, h *harness) error {
			if err := killHolder(ctx, h); err != nil {
				return err
			}
			return killHolder(ctx, h)
		}},
		{"pause-holder", false, func(ctx context.Context, h *harness) error { return h.pauseEntry(ctx, h.leaseHolder(ctx), true) }},
		{"pause-sidecar-in-order", false, func(ctx context.Context, h *harness) error {
			return h.duringOrder(ctx, func(w *worker) error { return h.pauseSidecar(ctx, w) })
		}},
		{"cut-holder-to-kv", false, func(ctx context.Context, h *harness) error { return h.cutHolder(ctx, true, false) }},
		{"cut-kv-to-holder", false, func(ctx context.Context, h *harness) error { return h.cutHolder(ctx, false, true) }},
		{"cut-entry-to-sidecar", false, func(ctx context.Context, h *harness) error { return h.cutSidecar(ctx, true, false) }},
		{"cut-sidecar-to-entry", false, func(ctx context.Context, h *harness) error { return h.cutSidecar(ctx, false, true) }},
		{"kv-down", false, func(ctx context.Context, h *harness) error { return h.kvFault(ctx, kv.FaultState{Down: true}) }},
		{"kv-slow", false, func(ctx context.Context, h *harness) error { return h.kvFault(ctx, kv.FaultState{SlowMS: 400}) }},
		{"kv-lost-responses", false, kvLostResponses},
		{"kv-down-kill-entry", false, kvDownKillEntry},
		{"kv-down-in-order", false, func(ctx context.Context, h *harness) error {
			return h.duringOrder(ctx, func(*worker) error { return h.kvFault(ctx, kv.FaultState{Down: true}) })
		}},
		{"kv-lost-responses-in-order", false, func(ctx context.Context, h *harness) error {
			return h.duringOrder(ctx, func(*worker) error { return h.kvFault(ctx, kv.FaultState{LoseAnswers: 30}) })
		}},
		{"backend-lost-responses", false, backendLostResponses},
		{"pause-entry", false, func(ctx context.Context, h *harness) error { return h.pauseEntry(ctx, h.randomEntry(), false) }},
		{"list-lag", true, lagInstanceList},
		{"leave-sidecar", true, func(ctx context.Context, h *harness) error { return h.leaveAndRestart(ctx, h.randomModelWorker(), 0) }},
		{"leave-plain-sidecar", true, func(ctx context.Context, h *harness) error { return h.leaveAndRestart(ctx, h.randomPlainWorker(), 0) }},
		{"stop-entry", true, func(ctx context.Context, h *harness) error { return h.stopEntry(ctx, h.randomEntry()) }},
		{"stop-holder", true, func(ctx context.Context, h *harness) error { return h.stopEntry(ctx, h.leaseHolder(ctx)) }},
		{"stop-sidecar", true, func(ctx context.Context, h *harness) error { return h.stopSidecar(ctx, h.randomModelWorker()) }},
		{"stop-plain-sidecar", true, func(ctx context.Context, h *harness) error { return h.stopSidecar(ctx, h.randomPlainWorker()) }},
		{"stop-sidecar-in-order", true, func(ctx context.Context, h *harness) error {
			return h.duringOrder(ctx, func(w *worker) error { return h.stopSidecar(ctx, w) })
		}},
		{"order", true, func(ctx context.Context, h *harness) error {
			return h.duringOrder(ctx, func(*worker) error { return nil })
		}},
		{"replace-all", true, replaceAll},
		{"two-operators", true, twoOperators},
	}
}

func killEntry(ctx context.Context, h *harness) error { return h.killEntry(ctx, h.randomEntry()) }

func killHolder(ctx context.Context, h *harness) error { return h.killEntry(ctx, h.leaseHolder(ctx)) }

func (h *harness) killEntry(ctx context.Context, e *entry) error {
	h.logf("SIGKILL %s", e.ID)
	start := time.Now()
	e.Kill()
	h.sleep(downtime)
	defer func() { h.revisions.addDisturbance(e.ID, "kill", start, time.Now().Add(configApplyBound)) }()
	return h.cluster.RestartEntry(ctx, e)
}

func (h *harness) killSidecar(ctx context.Context, w *worker) error {
	h.logf("SIGKILL sidecar %s", w.ID)
	start := time.Now()
	w.Sidecar.Kill()
	h.sleep(downtime)
	defer func() { h.revisions.addDisturbance(w.ID, "kill", start, time.Now().Add(configApplyBound)) }()
	return h.cluster.RestartSidecar(ctx, w)
}

// crashEngine crashes an engine and restarts it with either no model or a wrong model version loaded.
func (h *harness) crashEngine(ctx context.Context, w *worker) error {
	h.logf("crash engine %s", w.ID)
	if err := w.SetEngineFaults(ctx, engine.FaultRequest{Crash: true}); err != nil {
		return err
	}
	h.sleep(downtime)
	restartConfig := external.EngineConfig{Role: external.EngineRoleMixed}
	if h.rng.IntN(2) == 0 {
		restartConfig.Models = []external.ModelVersion{{Name: model, Version: "wrong"}}
	}
	return w.SetEngineFaults(ctx, engine.FaultRequest{Restart: true, Config: restartConfig})
}

// pauseEntry suspends an entry for longer than the lease TTL. If applyDuring is set, it applies a
// changed document meanwhile.
func (h *harness) pauseEntry(ctx context.Context, e *entry, applyDuring bool) error {
	h.logf("SIGSTOP %s", e.ID)
	start := time.Now()
	if err := e.Pause(); err != nil {
		return err
	}
	var err error
	if applyDuring {
		err = h.applyNewVersion(ctx)
	}
	h.sleep(leaseTTL + 2*time.Second)
	h.logf("SIGCONT %s", e.ID)
	defer func() { h.revisions.addDisturbance(e.ID, "pause", start, time.Now().Add(configApplyBound)) }()
	return errors.Join(err, e.Resume())
}

func (h *harness) pauseSidecar(_ context.Context, w *worker) error {
	h.logf("SIGSTOP sidecar %s", w.ID)
	start := time.Now()
	if err := w.Sidecar.Pause(); err != nil {
		return err
	}
	h.sleep(leaseTTL + 2*time.Second)
	h.logf("SIGCONT sidecar %s", w.ID)
	h.revisions.addDisturbance(w.ID, "pause", start, time.Now().Add(configApplyBound))
	return w.Sidecar.Resume()
}

// cutHolder blocks the chosen directions of traffic between a lease holder and the key-value service
// and applies a changed document meanwhile.
func (h *harness) cutHolder(ctx context.Context, toKV, fromKV bool) error {
	e := h.leaseHolder(ctx)
	h.logf("hold traffic of %s to the key-value service: %t, from it: %t", e.ID, toKV, fromKV)
	start := time.Now()
	e.KVLink.Hold(toKV, fromKV)
	err := h.applyNewVersion(ctx)
	h.sleep(outageDuration)
	e.KVLink.Hold(false, false)
	// The holder may relay documents to every other process, so the cut may delay all of them.
	h.revisions.addDisturbance("", "cut", start, time.Now())
	return err
}

func (h *harness) cutSidecar(_ context.Context, toSidecar, fromSidecar bool) error {
	w := h.randomForwardedWorker()
	h.logf("hold traffic of the entries to sidecar %s: %t, from it: %t", w.ID, toSidecar, fromSidecar)
	start := time.Now()
	w.Link.Hold(toSidecar, fromSidecar)
	h.sleep(outageDuration)
	w.Link.Hold(false, false)
	h.revisions.addDisturbance(w.ID, "cut", start, time.Now())
	return nil
}

func (h *harness) kvFault(ctx context.Context, f kv.FaultState) error {
	h.logf("key-value service: down %t, slow %d ms, %d lost responses", f.Down, f.SlowMS, f.LoseAnswers)
	start := time.Now()
	if err := h.cluster.SetKVFaults(ctx, f); err != nil {
		return err
	}
	h.sleep(outageDuration)
	h.revisions.addDisturbance("", "kv", start, time.Now())
	return h.cluster.SetKVFaults(ctx, kv.FaultState{})
}

// kvLostResponses makes the key-value service lose responses to writes that took effect, such as claims of
// idempotency keys, for five seconds, and then applies a changed document.
func kvLostResponses(ctx context.Context, h *harness) error {
	h.logf("key-value service loses responses")
	start := time.Now()
	for range 5 {
		if err := h.cluster.SetKVFaults(ctx, kv.FaultState{LoseAnswers: 1 + h.rng.IntN(12)}); err != nil {
			return err
		}
		h.sleep(time.Second)
	}
	err := h.applyNewVersion(ctx)
	h.revisions.addDisturbance("", "kv", start, time.Now())
	if resetErr := h.cluster.SetKVFaults(ctx, kv.FaultState{}); resetErr != nil {
		return resetErr
	}
	return err
}

// kvDownKillEntry kills and restarts an entry while the key-value service is down, so that the entry
// has to fetch its documents from its peers.
func kvDownKillEntry(ctx context.Context, h *harness) error {
	h.logf("key-value service down")
	start := time.Now()
	if err := h.cluster.SetKVFaults(ctx, kv.FaultState{Down: true}); err != nil {
		return err
	}
	err := h.killEntry(ctx, h.randomEntry())
	h.sleep(outageDuration)
	h.revisions.addDisturbance("", "kv", start, time.Now())
	if resetErr := h.cluster.SetKVFaults(ctx, kv.FaultState{}); resetErr != nil {
		return resetErr
	}
	return err
}

// backendLostResponses makes a plain backend server drop the responses to requests that it ran, and
// fail other requests before running them.
func backendLostResponses(ctx context.Context, h *harness) error {
	w := h.randomPlainWorker()
	h.logf("plain backend server of %s loses responses", w.ID)
	for range 5 {
		f := backend.Faults{LoseResponse: 1 + h.rng.IntN(4), FailBeforeRun: h.rng.IntN(4), SlowMS: h.rng.IntN(200)}
		if err := w.SetBackendFaults(ctx, f); err != nil {
			return err
		}
		h.sleep(time.Second)
	}
	return w.SetBackendFaults(ctx, backend.Faults{})
}

func lagInstanceList(ctx context.Context, h *harness) error {
	h.logf("the instance list lags by %s", listLag)
	if err := h.cluster.SetInstanceListFaults(ctx, instances.FaultRequest{LagMS: listLag.Milliseconds()}); err != nil {
		return err
	}
	err := h.leaveAndRestart(ctx, h.randomPlainWorker(), listLag)
	if resetErr := h.cluster.SetInstanceListFaults(ctx, instances.FaultRequest{}); resetErr != nil {
		return resetErr
	}
	return err
}

// leaveAndRestart lists a worker as leaving, waits until leaveBound (I7) has passed, and restarts its sidecar.
// lag is the delay of the instance list.
func (h *harness) leaveAndRestart(ctx context.Context, w *worker, lag time.Duration) error {
	h.logf("%s is listed as leaving", w.ID)
	if err := h.cluster.Leave(ctx, w.ID); err != nil {
		return err
	}
	period := leavingPeriod{worker: w.ID, since: time.Now().Add(lag)}
	h.sleep(lag + leaveBound + time.Second)
	period.restarted = time.Now()
	h.leaving = append(h.leaving, period)
	return h.stopSidecar(ctx, w)
}

func (h *harness) stopEntry(ctx context.Context, e *entry) error {
	h.logf("SIGTERM %s", e.ID)
	start := time.Now()
	if err := e.Stop(stopTimeout); err != nil {
		return err
	}
	h.sleep(downtime / 2)
	defer func() { h.revisions.addDisturbance(e.ID, "stop", start, time.Now().Add(configApplyBound)) }()
	return h.cluster.RestartEntry(ctx, e)
}

func (h *harness) stopSidecar(ctx context.Context, w *worker) error {
	h.logf("SIGTERM sidecar %s", w.ID)
	start := time.Now()
	if w.Link != nil {
		if err := w.Link.Refuse(true); err != nil {
			return err
		}
	}
	if err := w.Sidecar.Stop(stopTimeout); err != nil {
		return err
	}
	h.sleep(downtime / 2)
	defer func() { h.revisions.addDisturbance(w.ID, "stop", start, time.Now().Add(configApplyBound)) }()
	if w.Link != nil {
		if err := w.Link.Refuse(false); err != nil {
			return err
		}
	}
	return h.cluster.RestartSidecar(ctx, w)
}

// replaceAll performs a rolling restart of all entries and then all sidecars.
func replaceAll(ctx context.Context, h *harness) error {
	for _, e := range h.cluster.Entries {
		if err := h.stopEntry(ctx, e); err != nil {
			return err
		}
		if err := h.waitServing(ctx); err != nil {
			return err
		}
	}
	for _, w := range h.cluster.Workers {
		if err := h.stopSidecar(ctx, w); err != nil {
			return err
		}
		if err := h.waitSettled(ctx); err != nil {
			return err
		}
	}
	return nil
}

// duringOrder applies a changed document and calls do with a worker whose engine is being drained or
// reconfigured.
func (h *harness) duringOrder(ctx context.Context, do func(w *worker) error) error {
	if err := h.applyNewVersion(ctx); err != nil {
		return err
	}
	w, phase, err := h.waitForOrder(ctx)
	if err != nil {
		return err
	}
	h.logf("order at %s is %s", w.ID, phase)
	return do(w)
}

func orderInProgress(p order.Phase) bool { return p != "" && !p.Settled() }
