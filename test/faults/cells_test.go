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

// cell is one kind of disturbance. A planned cell brings about only planned changes and graceful
// stops, which may interrupt no request.
type cell struct {
	name    string
	planned bool
	run     func(ctx context.Context, w *harness) error
}

const (
	leaseTTL = 4 * time.Second
	// outage is longer than the lease TTL.
	outage = 5 * time.Second
	// down is how long a killed process stays away.
	down = time.Second
	// listLag is the lag of the instance list in the cell that sets it.
	listLag = 4 * time.Second
)

// chief cells run in continuous integration.
var chief = []string{"stop-sidecar", "order", "kill-holder", "kv-lost-responses-in-order", "backend-lost-responses"}

func cells() []cell {
	return []cell{
		{"kill-entry", false, killEntry},
		{"kill-sidecar", false, func(ctx context.Context, w *harness) error { return w.killSidecar(ctx, w.modelWorker()) }},
		{"kill-plain-sidecar", false, func(ctx context.Context, w *harness) error { return w.killSidecar(ctx, w.plainWorker()) }},
		{"kill-sidecar-in-order", false, func(ctx context.Context, w *harness) error {
			return w.inOrder(ctx, func(at *worker) error { return w.killSidecar(ctx, at) })
		}},
		{"crash-engine", false, func(ctx context.Context, w *harness) error { return w.crash(ctx, w.modelWorker()) }},
		{"crash-engine-in-order", false, func(ctx context.Context, w *harness) error {
			return w.inOrder(ctx, func(at *worker) error { return w.crash(ctx, at) })
		}},
		{"kill-holder", false, killHolder},
		{"kill-holder-twice", false, func(ctx context.Context, w *harness) error {
			if err := killHolder(ctx, w); err != nil {
				return err
			}
			return killHolder(ctx, w)
		}},
		{"pause-holder", false, func(ctx context.Context, w *harness) error { return w.pauseEntry(ctx, w.holder(ctx), true) }},
		{"pause-sidecar-in-order", false, func(ctx context.Context, w *harness) error {
			return w.inOrder(ctx, func(at *worker) error { return w.pauseSidecar(ctx, at) })
		}},
		{"cut-holder-to-kv", false, func(ctx context.Context, w *harness) error { return w.cutHolder(ctx, true, false) }},
		{"cut-kv-to-holder", false, func(ctx context.Context, w *harness) error { return w.cutHolder(ctx, false, true) }},
		{"cut-entry-to-sidecar", false, func(ctx context.Context, w *harness) error { return w.cutSidecar(ctx, true, false) }},
		{"cut-sidecar-to-entry", false, func(ctx context.Context, w *harness) error { return w.cutSidecar(ctx, false, true) }},
		{"kv-down", false, func(ctx context.Context, w *harness) error { return w.kvFault(ctx, kv.FaultState{Down: true}) }},
		{"kv-slow", false, func(ctx context.Context, w *harness) error { return w.kvFault(ctx, kv.FaultState{SlowMS: 400}) }},
		{"kv-lost-responses", false, kvLostResponses},
		{"kv-down-kill-entry", false, kvDownKillEntry},
		{"kv-down-in-order", false, func(ctx context.Context, w *harness) error {
			return w.inOrder(ctx, func(*worker) error { return w.kvFault(ctx, kv.FaultState{Down: true}) })
		}},
		{"kv-lost-responses-in-order", false, func(ctx context.Context, w *harness) error {
			return w.inOrder(ctx, func(*worker) error { return w.kvFault(ctx, kv.FaultState{LoseAnswers: 30}) })
		}},
		{"backend-lost-responses", false, backendLostResponses},
		{"pause-entry", false, func(ctx context.Context, w *harness) error { return w.pauseEntry(ctx, w.entry(), false) }},
		{"list-lag", true, listLags},
		{"leave-sidecar", true, func(ctx context.Context, w *harness) error { return w.leave(ctx, w.modelWorker(), 0) }},
		{"leave-plain-sidecar", true, func(ctx context.Context, w *harness) error { return w.leave(ctx, w.plainWorker(), 0) }},
		{"stop-entry", true, func(ctx context.Context, w *harness) error { return w.stopEntry(ctx, w.entry()) }},
		{"stop-holder", true, func(ctx context.Context, w *harness) error { return w.stopEntry(ctx, w.holder(ctx)) }},
		{"stop-sidecar", true, func(ctx context.Context, w *harness) error { return w.stopSidecar(ctx, w.modelWorker()) }},
		{"stop-plain-sidecar", true, func(ctx context.Context, w *harness) error { return w.stopSidecar(ctx, w.plainWorker()) }},
		{"stop-sidecar-in-order", true, func(ctx context.Context, w *harness) error {
			return w.inOrder(ctx, func(at *worker) error { return w.stopSidecar(ctx, at) })
		}},
		{"order", true, func(ctx context.Context, w *harness) error { return w.inOrder(ctx, func(*worker) error { return nil }) }},
		{"replace-all", true, replaceAll},
		{"two-operators", true, twoOperators},
	}
}

func killEntry(ctx context.Context, w *harness) error { return w.killEntry(ctx, w.entry()) }

func killHolder(ctx context.Context, w *harness) error { return w.killEntry(ctx, w.holder(ctx)) }

func (w *harness) killEntry(ctx context.Context, e *entry) error {
	w.note("SIGKILL %s", e.ID)
	from := time.Now()
	e.Kill()
	w.pause(down)
	defer func() { w.revisions.disturb(e.ID, "kill", from, time.Now().Add(inForceBound)) }()
	return w.cluster.RestartEntry(ctx, e)
}

func (w *harness) killSidecar(ctx context.Context, at *worker) error {
	w.note("SIGKILL sidecar %s", at.ID)
	from := time.Now()
	at.Sidecar.Kill()
	w.pause(down)
	defer func() { w.revisions.disturb(at.ID, "kill", from, time.Now().Add(inForceBound)) }()
	return w.cluster.RestartSidecar(ctx, at)
}

// crash crashes an engine. It comes back with no model loaded, or with a wrong version.
func (w *harness) crash(ctx context.Context, at *worker) error {
	w.note("crash engine %s", at.ID)
	if err := at.EngineFaults(ctx, engine.FaultRequest{Crash: true}); err != nil {
		return err
	}
	w.pause(down)
	back := external.EngineConfig{Role: external.EngineRoleMixed}
	if w.random.IntN(2) == 0 {
		back.Models = []external.ModelVersion{{Name: model, Version: "wrong"}}
	}
	return at.EngineFaults(ctx, engine.FaultRequest{Restart: true, Config: back})
}

// pauseEntry pauses an entry for longer than the lease TTL, with a changed document if change is set.
func (w *harness) pauseEntry(ctx context.Context, e *entry, change bool) error {
	w.note("SIGSTOP %s", e.ID)
	from := time.Now()
	if err := e.Pause(); err != nil {
		return err
	}
	var err error
	if change {
		err = w.change(ctx)
	}
	w.pause(leaseTTL + 2*time.Second)
	w.note("SIGCONT %s", e.ID)
	defer func() { w.revisions.disturb(e.ID, "pause", from, time.Now().Add(inForceBound)) }()
	return errors.Join(err, e.Resume())
}

func (w *harness) pauseSidecar(_ context.Context, at *worker) error {
	w.note("SIGSTOP sidecar %s", at.ID)
	from := time.Now()
	if err := at.Sidecar.Pause(); err != nil {
		return err
	}
	w.pause(leaseTTL + 2*time.Second)
	w.note("SIGCONT sidecar %s", at.ID)
	w.revisions.disturb(at.ID, "pause", from, time.Now().Add(inForceBound))
	return at.Sidecar.Resume()
}

// cutHolder holds one direction between the lease holder and the key-value service.
func (w *harness) cutHolder(ctx context.Context, to, from bool) error {
	e := w.holder(ctx)
	w.note("cut %s from the key-value service: to %t, from %t", e.ID, to, from)
	began := time.Now()
	e.KVLink.Hold(to, from)
	err := w.change(ctx)
	w.pause(outage)
	e.KVLink.Hold(false, false)
	// The holder may relay documents to every other process.
	w.revisions.disturb("", "cut", began, time.Now())
	return err
}

func (w *harness) cutSidecar(_ context.Context, to, from bool) error {
	at := w.linkedWorker()
	w.note("cut sidecar %s from the entries: to %t, from %t", at.ID, to, from)
	began := time.Now()
	at.Link.Hold(to, from)
	w.pause(outage)
	at.Link.Hold(false, false)
	w.revisions.disturb(at.ID, "cut", began, time.Now())
	return nil
}

func (w *harness) kvFault(ctx context.Context, f kv.FaultState) error {
	w.note("key-value service: down %t, slow %d ms, %d lost responses", f.Down, f.SlowMS, f.LoseAnswers)
	began := time.Now()
	if err := w.cluster.KVFaults(ctx, f); err != nil {
		return err
	}
	w.pause(outage)
	w.revisions.disturb("", "kv", began, time.Now())
	return w.cluster.KVFaults(ctx, kv.FaultState{})
}

// kvLostResponses loses the responses of writes that took effect, while a document is applied
// and keys are claimed.
func kvLostResponses(ctx context.Context, w *harness) error {
	w.note("key-value service loses responses")
	began := time.Now()
	for range 5 {
		if err := w.cluster.KVFaults(ctx, kv.FaultState{LoseAnswers: 1 + w.random.IntN(12)}); err != nil {
			return err
		}
		w.pause(time.Second)
	}
	err := w.change(ctx)
	w.revisions.disturb("", "kv", began, time.Now())
	if e := w.cluster.KVFaults(ctx, kv.FaultState{}); e != nil {
		return e
	}
	return err
}

// kvDownKillEntry starts an entry while the key-value service is down: it takes its documents
// from its peers.
func kvDownKillEntry(ctx context.Context, w *harness) error {
	w.note("key-value service down")
	began := time.Now()
	if err := w.cluster.KVFaults(ctx, kv.FaultState{Down: true}); err != nil {
		return err
	}
	err := w.killEntry(ctx, w.entry())
	w.pause(outage)
	w.revisions.disturb("", "kv", began, time.Now())
	if e := w.cluster.KVFaults(ctx, kv.FaultState{}); e != nil {
		return e
	}
	return err
}

// backendLostResponses makes plain requests run without a response, or fail before they run.
func backendLostResponses(ctx context.Context, w *harness) error {
	at := w.plainWorker()
	w.note("plain backend server of %s loses responses", at.ID)
	for range 5 {
		f := backend.Faults{LoseResponse: 1 + w.random.IntN(4), FailBeforeRun: w.random.IntN(4), SlowMS: w.random.IntN(200)}
		if err := at.BackendFaults(ctx, f); err != nil {
			return err
		}
		w.pause(time.Second)
	}
	return at.BackendFaults(ctx, backend.Faults{})
}

func listLags(ctx context.Context, w *harness) error {
	w.note("the instance list lags by %s", listLag)
	if err := w.cluster.ListFaults(ctx, instances.FaultRequest{LagMS: listLag.Milliseconds()}); err != nil {
		return err
	}
	err := w.leave(ctx, w.plainWorker(), listLag)
	if e := w.cluster.ListFaults(ctx, instances.FaultRequest{}); e != nil {
		return e
	}
	return err
}

// leave lists a worker as leaving, and stops and replaces its sidecar after the bound of I7.
func (w *harness) leave(ctx context.Context, at *worker, lag time.Duration) error {
	w.note("%s is listed as leaving", at.ID)
	if err := w.cluster.Leave(ctx, at.ID); err != nil {
		return err
	}
	l := leaving{worker: at.ID, since: time.Now().Add(lag)}
	w.pause(lag + leaveBound + time.Second)
	l.back = time.Now()
	w.left = append(w.left, l)
	return w.stopSidecar(ctx, at)
}

func (w *harness) stopEntry(ctx context.Context, e *entry) error {
	w.note("SIGTERM %s", e.ID)
	from := time.Now()
	if err := e.Stop(stopBound); err != nil {
		return err
	}
	w.pause(down / 2)
	defer func() { w.revisions.disturb(e.ID, "stop", from, time.Now().Add(inForceBound)) }()
	return w.cluster.RestartEntry(ctx, e)
}

func (w *harness) stopSidecar(ctx context.Context, at *worker) error {
	w.note("SIGTERM sidecar %s", at.ID)
	from := time.Now()
	if at.Link != nil {
		if err := at.Link.Refuse(true); err != nil {
			return err
		}
	}
	if err := at.Sidecar.Stop(stopBound); err != nil {
		return err
	}
	w.pause(down / 2)
	defer func() { w.revisions.disturb(at.ID, "stop", from, time.Now().Add(inForceBound)) }()
	if at.Link != nil {
		if err := at.Link.Refuse(false); err != nil {
			return err
		}
	}
	return w.cluster.RestartSidecar(ctx, at)
}

// replaceAll replaces all entries and sidecars one after the other.
func replaceAll(ctx context.Context, w *harness) error {
	for _, e := range w.cluster.Entries {
		if err := w.stopEntry(ctx, e); err != nil {
			return err
		}
		if err := w.serving(ctx); err != nil {
			return err
		}
	}
	for _, at := range w.cluster.Workers {
		if err := w.stopSidecar(ctx, at); err != nil {
			return err
		}
		if err := w.settled(ctx); err != nil {
			return err
		}
	}
	return nil
}

// inOrder applies a changed document and calls do while an engine is being drained or changed.
func (w *harness) inOrder(ctx context.Context, do func(at *worker) error) error {
	if err := w.change(ctx); err != nil {
		return err
	}
	at, phase, err := w.changing(ctx)
	if err != nil {
		return err
	}
	w.note("order at %s is %s", at.ID, phase)
	return do(at)
}

func unsettled(p order.Phase) bool { return p != "" && !p.Settled() }
