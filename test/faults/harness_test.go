package faults_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/order"
)

const (
	root         = "../.."
	model        = "halte-verdict"
	modelService = "halte-llm"
	plainService = "halte-api"
	// baseVersion is the model version of the example document.
	baseVersion = "2026.11"
	stopBound   = 45 * time.Second
	// settleBound is far above the time in which the cluster recovers on a busy machine.
	settleBound = 45 * time.Second
	settleTick  = 100 * time.Millisecond
)

type (
	entry  = testcluster.Entry
	worker = testcluster.Worker
)

// harness is the running cluster with its load.
type harness struct {
	cluster   *testcluster.Cluster
	kv        external.KV
	random    *rand.Rand
	load      *callers
	revisions *revisions
	out       io.Writer

	document string
	version  int
	planned  []window
	left     []leaving
	// faulted is the end of the last cell that was not planned.
	faulted time.Time
}

// startHarness starts the cluster and applies the documents.
func startHarness(ctx context.Context, bin, dir string, seed uint64, out io.Writer) (*harness, error) {
	if err := testcluster.Build(root, bin); err != nil {
		return nil, err
	}
	c, err := testcluster.Start(ctx, testcluster.Config{
		Bin: bin, Dir: dir, Entries: 3, ForwardKV: true,
		Pools: []testcluster.Pool{
			{Service: modelService, DataCentre: "joburg-cbd", Workers: 2, CheckFence: true},
			{Service: modelService, DataCentre: "pta-east", Workers: 2, CheckFence: true},
			{Service: modelService, DataCentre: "midrand", Workers: 2, Forward: true},
			{Service: plainService, DataCentre: "joburg-cbd", Workers: 1, Plain: true},
			{Service: plainService, DataCentre: "pta-east", Workers: 1, Plain: true},
			{Service: plainService, DataCentre: "midrand", Workers: 1, Plain: true, Forward: true},
		},
		EntryArgs:   []string{"--lease-ttl", leaseTTL.String(), "--lame-duck", "2s"},
		SidecarArgs: []string{"--instances-poll", "500ms"},
		EngineArgs:  []string{"--order-time", "1s"},
	})
	if err != nil {
		return nil, err
	}
	w := &harness{
		cluster: c, random: rand.New(rand.NewPCG(seed, 1)), load: newCallers(ctx, c), revisions: newRevisions(c), out: out,
	}
	return w, w.prepare(ctx)
}

func (w *harness) prepare(ctx context.Context) error {
	body, err := os.ReadFile(filepath.Join(root, "examples", "transport", modelService+".yaml"))
	if err != nil {
		return err
	}
	w.document = string(body)
	if w.kv, err = w.cluster.KV(ctx); err != nil {
		return err
	}
	for _, s := range []string{modelService, plainService} {
		if err := w.cluster.Apply(ctx, filepath.Join(root, "examples", "transport", s+".yaml")); err != nil {
			return err
		}
		w.revisions.accept(s, 1)
	}
	return w.settled(ctx)
}

func (w *harness) note(format string, args ...any) {
	fmt.Fprintf(w.out, "%s   %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (*harness) pause(d time.Duration) { time.Sleep(d) }

// body renders the document with another version of the model.
func (w *harness) body(version int) []byte {
	return []byte(strings.Replace(w.document, `"`+baseVersion+`"`, fmt.Sprintf(`"%s.%d"`, baseVersion, version), 1))
}

// change applies a document with the next version of the model, which every engine has to load.
func (w *harness) change(ctx context.Context) error {
	w.version++
	r, err := registry.Get(ctx, w.kv, modelService)
	if err != nil {
		return err
	}
	r, err = registry.Apply(ctx, w.kv, modelService, r.Revision, w.body(w.version), "faults")
	if err != nil {
		return err
	}
	w.note("revision %d of %s accepted, model version %s.%d", r.Revision, modelService, baseVersion, w.version)
	w.revisions.accept(modelService, r.Revision)
	return nil
}

// twoOperators lets two operators apply different documents over the same base revision.
func twoOperators(ctx context.Context, w *harness) error {
	base, err := registry.Get(ctx, w.kv, modelService)
	if err != nil {
		return err
	}
	var (
		wg      sync.WaitGroup
		records [2]registry.Record
		errs    [2]error
	)
	for i := range errs {
		wg.Go(func() {
			records[i], errs[i] = registry.Apply(ctx, w.kv, modelService, base.Revision, w.body(w.version+1+i), fmt.Sprintf("operator-%d", i))
		})
	}
	wg.Wait()
	winner, loser := 0, 1
	if errs[0] != nil {
		winner, loser = 1, 0
	}
	var conflict *registry.ConflictError
	if errs[winner] != nil || !errors.As(errs[loser], &conflict) {
		return violation("I9: two operators: outcomes %v and %v, want one success and one conflict", errs[0], errs[1])
	}
	now, err := registry.Get(ctx, w.kv, modelService)
	if err != nil {
		return err
	}
	if now.Revision != base.Revision+1 || now.WriteID != records[winner].WriteID || conflict.Current.WriteID != now.WriteID {
		return violation("I9: two operators: revision %d by %s, want %d by %s", now.Revision, now.Author, base.Revision+1, records[winner].Author)
	}
	w.version += 1 + winner
	w.note("operator-%d won revision %d", winner, now.Revision)
	w.revisions.accept(modelService, now.Revision)
	return w.settled(ctx)
}

// violationError is a breach that a cell itself has seen.
type violationError struct{ text string }

func (e *violationError) Error() string { return e.text }

func violation(format string, args ...any) error {
	return &violationError{fmt.Sprintf(format, args...)}
}

func (w *harness) entry() *entry { return w.cluster.Entries[w.random.IntN(len(w.cluster.Entries))] }

func (w *harness) pick(ok func(*worker) bool) *worker {
	var all []*worker
	for _, at := range w.cluster.Workers {
		if ok(at) {
			all = append(all, at)
		}
	}
	return all[w.random.IntN(len(all))]
}

// modelWorker and plainWorker choose workers that the entries reach without a forwarder, since a
// sidecar knows itself in the list by its own address.
func (w *harness) modelWorker() *worker {
	return w.pick(func(at *worker) bool { return !at.Pool.Plain && at.Link == nil })
}

func (w *harness) plainWorker() *worker {
	return w.pick(func(at *worker) bool { return at.Pool.Plain && at.Link == nil })
}

func (w *harness) linkedWorker() *worker {
	return w.pick(func(at *worker) bool { return at.Link != nil })
}

// holder returns the entry that holds one of the pools, chosen by the seed, or any entry if the
// pool has no holder at present.
func (w *harness) holder(ctx context.Context) *entry {
	pool := w.modelWorker().PoolName()
	for range 50 {
		if e, err := w.cluster.Holder(ctx, w.kv, pool); err == nil {
			w.note("%s holds %s", e.ID, pool)
			return e
		}
		time.Sleep(settleTick)
	}
	return w.entry()
}

// changing waits for an order that is being prepared or executed.
func (w *harness) changing(ctx context.Context) (*worker, order.Phase, error) {
	end := time.Now().Add(settleBound)
	for time.Now().Before(end) {
		for _, at := range w.cluster.Workers {
			if at.Pool.Plain || at.Link != nil {
				continue
			}
			if r, err := at.OrderRecord(ctx, w.kv); err == nil && unsettled(r.Phase) {
				return at, r.Phase, nil
			}
		}
		time.Sleep(settleTick / 10)
	}
	return nil, "", violation("liveness: no order began within %s of a changed document", settleBound)
}

// serving waits until each entry is ready and answers.
func (w *harness) serving(ctx context.Context) error {
	if err := w.cluster.WaitServing(ctx, http.MethodGet, "/readyz", ""); err != nil {
		return violation("liveness: %v", err)
	}
	if err := w.cluster.WaitServing(ctx, http.MethodPost, "/v1/completions", `{"model":"`+model+`","prompt":"ready?","max_tokens":1}`); err != nil {
		return violation("liveness: %v", err)
	}
	return nil
}

// settled waits until each entry serves and each engine has the document's model.
func (w *harness) settled(ctx context.Context) error {
	if err := w.serving(ctx); err != nil {
		return err
	}
	want, err := w.wanted(ctx)
	if err != nil {
		return err
	}
	end := time.Now().Add(settleBound)
	for {
		var behind []string
		for _, at := range w.cluster.Workers {
			if why := w.behind(ctx, at, want); why != "" {
				behind = append(behind, at.ID+": "+why)
			}
		}
		if len(behind) == 0 {
			return nil
		}
		if time.Now().After(end) {
			return violation("liveness: not settled after %s: %s", settleBound, strings.Join(behind, "; "))
		}
		time.Sleep(settleTick)
	}
}

// wanted returns the model of the accepted document.
func (w *harness) wanted(ctx context.Context) (external.ModelVersion, error) {
	r, err := registry.Get(ctx, w.kv, modelService)
	if err != nil {
		return external.ModelVersion{}, err
	}
	s, err := document.Parse(r.Body)
	if err != nil {
		return external.ModelVersion{}, err
	}
	return external.ModelVersion{Name: s.Models[0].Name, Version: s.Models[0].Version}, nil
}

// behind says what a worker lacks to take work.
func (w *harness) behind(ctx context.Context, at *worker, want external.ModelVersion) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	p, err := at.Probe(ctx, w.revisions.clients)
	if err != nil {
		return err.Error()
	}
	if p.GetLoad().GetDraining() {
		return "draining"
	}
	if at.Pool.Plain {
		return ""
	}
	s, err := at.EngineState(ctx)
	if err != nil {
		return err.Error()
	}
	if s.Changing || len(s.Config.Models) != 1 || s.Config.Models[0] != want {
		return fmt.Sprintf("changing %t, models %v, want %v", s.Changing, s.Config.Models, want)
	}
	r, err := at.OrderRecord(ctx, w.kv)
	if err != nil {
		return err.Error()
	}
	if unsettled(r.Phase) {
		return "order is " + string(r.Phase)
	}
	return ""
}
