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
	stopTimeout = 45 * time.Second
	// settleTimeout is far longer than the cluster takes to recover on a busy machine.
	settleTimeout      = 45 * time.Second
	settlePollInterval = 100 * time.Millisecond
)

type (
	entry  = testcluster.Entry
	worker = testcluster.Worker
)

// harness holds the running cluster, its load and the state of the test run.
type harness struct {
	cluster   *testcluster.Cluster
	kv        external.KV
	rng       *rand.Rand
	load      *loadGenerator
	revisions *revisionTracker
	out       io.Writer

	baseDocument string
	version      int
	planned      []window
	leaving      []leavingPeriod
	// lastFaultEnd is the end of the last unplanned cell.
	lastFaultEnd time.Time
}

// startHarness builds the programs, starts the cluster and applies the documents. The harness is not
// nil once the cluster has started, even if there is an error.
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
	h := &harness{
		cluster: c, rng: rand.New(rand.NewPCG(seed, 1)), load: newLoadGenerator(ctx, c), revisions: newRevisionTracker(c), out: out,
	}
	return h, h.applyDocuments(ctx)
}

func (h *harness) applyDocuments(ctx context.Context) error {
	body, err := os.ReadFile(filepath.Join(root, "examples", "transport", modelService+".yaml"))
	if err != nil {
		return err
	}
	h.baseDocument = string(body)
	if h.kv, err = h.cluster.KV(ctx); err != nil {
		return err
	}
	for _, s := range []string{modelService, plainService} {
		if err := h.cluster.Apply(ctx, filepath.Join(root, "examples", "transport", s+".yaml")); err != nil {
			return err
		}
		h.revisions.addAccepted(s, 1)
	}
	return h.waitSettled(ctx)
}

func (h *harness) logf(format string, args ...any) {
	fmt.Fprintf(h.out, "%s   %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (*harness) sleep(d time.Duration) { time.Sleep(d) }

// renderDocument returns the example document with the given model version.
func (h *harness) renderDocument(version int) []byte {
	return []byte(strings.Replace(h.baseDocument, `"`+baseVersion+`"`, fmt.Sprintf(`"%s.%d"`, baseVersion, version), 1))
}

// applyNewVersion applies a document with the next model version, which every engine has to load.
func (h *harness) applyNewVersion(ctx context.Context) error {
	h.version++
	r, err := registry.Get(ctx, h.kv, modelService)
	if err != nil {
		return err
	}
	r, err = registry.Apply(ctx, h.kv, modelService, r.Revision, h.renderDocument(h.version), "faults")
	if err != nil {
		return err
	}
	h.logf("revision %d of %s accepted, model version %s.%d", r.Revision, modelService, baseVersion, h.version)
	h.revisions.addAccepted(modelService, r.Revision)
	return nil
}

// twoOperators applies two different documents concurrently on the same base revision. One must
// succeed and the other must get a conflict.
func twoOperators(ctx context.Context, h *harness) error {
	base, err := registry.Get(ctx, h.kv, modelService)
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
			records[i], errs[i] = registry.Apply(ctx, h.kv, modelService, base.Revision, h.renderDocument(h.version+1+i), fmt.Sprintf("operator-%d", i))
		})
	}
	wg.Wait()
	winner, loser := 0, 1
	if errs[0] != nil {
		winner, loser = 1, 0
	}
	var conflict *registry.ConflictError
	if errs[winner] != nil || !errors.As(errs[loser], &conflict) {
		return newViolation("I9: two operators: outcomes %v and %v, want one success and one conflict", errs[0], errs[1])
	}
	current, err := registry.Get(ctx, h.kv, modelService)
	if err != nil {
		return err
	}
	if current.Revision != base.Revision+1 || current.WriteID != records[winner].WriteID || conflict.Current.WriteID != current.WriteID {
		return newViolation("I9: two operators: revision %d by %s, want %d by %s", current.Revision, current.Author, base.Revision+1, records[winner].Author)
	}
	h.version += 1 + winner
	h.logf("operator-%d won revision %d", winner, current.Revision)
	h.revisions.addAccepted(modelService, current.Revision)
	return h.waitSettled(ctx)
}

// violationError is a violation found by the harness itself rather than by the checker.
type violationError struct{ text string }

func (e *violationError) Error() string { return e.text }

func newViolation(format string, args ...any) error {
	return &violationError{fmt.Sprintf(format, args...)}
}

func (h *harness) randomEntry() *entry { return h.cluster.Entries[h.rng.IntN(len(h.cluster.Entries))] }

func (h *harness) pickWorker(accept func(*worker) bool) *worker {
	var matching []*worker
	for _, w := range h.cluster.Workers {
		if accept(w) {
			matching = append(matching, w)
		}
	}
	return matching[h.rng.IntN(len(matching))]
}

// randomModelWorker and randomPlainWorker return workers that the entries reach without a forwarder. The
// instance list shows a forwarded worker with the address of its forwarder. Its sidecar looks for its own
// address, so it would not notice that it is listed as leaving.
func (h *harness) randomModelWorker() *worker {
	return h.pickWorker(func(w *worker) bool { return !w.Pool.Plain && w.Link == nil })
}

func (h *harness) randomPlainWorker() *worker {
	return h.pickWorker(func(w *worker) bool { return w.Pool.Plain && w.Link == nil })
}

func (h *harness) randomForwardedWorker() *worker {
	return h.pickWorker(func(w *worker) bool { return w.Link != nil })
}

// leaseHolder returns the entry that holds the lease of a random pool, or a random entry if the pool
// has no holder after 50 polls.
func (h *harness) leaseHolder(ctx context.Context) *entry {
	pool := h.randomModelWorker().PoolName()
	for range 50 {
		if e, err := h.cluster.Holder(ctx, h.kv, pool); err == nil {
			h.logf("%s holds %s", e.ID, pool)
			return e
		}
		time.Sleep(settlePollInterval)
	}
	return h.randomEntry()
}

// waitForOrder waits until a worker has an order that is not settled, and returns the worker and the
// order's phase.
func (h *harness) waitForOrder(ctx context.Context) (*worker, order.Phase, error) {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		for _, w := range h.cluster.Workers {
			if w.Pool.Plain || w.Link != nil {
				continue
			}
			if r, err := w.OrderRecord(ctx, h.kv); err == nil && orderInProgress(r.Phase) {
				return w, r.Phase, nil
			}
		}
		time.Sleep(settlePollInterval / 10)
	}
	return nil, "", newViolation("liveness: no order began within %s of a changed document", settleTimeout)
}

// waitServing waits until each entry is ready and answers completions.
func (h *harness) waitServing(ctx context.Context) error {
	if err := h.cluster.WaitServing(ctx, http.MethodGet, "/readyz", ""); err != nil {
		return newViolation("liveness: %v", err)
	}
	if err := h.cluster.WaitServing(ctx, http.MethodPost, "/v1/completions", `{"model":"`+model+`","prompt":"ready?","max_tokens":1}`); err != nil {
		return newViolation("liveness: %v", err)
	}
	return nil
}

// waitSettled waits until each entry serves requests, each engine has the document's model, and no
// order is in progress.
func (h *harness) waitSettled(ctx context.Context) error {
	if err := h.waitServing(ctx); err != nil {
		return err
	}
	want, err := h.acceptedModel(ctx)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(settleTimeout)
	for {
		var notReady []string
		for _, w := range h.cluster.Workers {
			if reason := h.notReadyReason(ctx, w, want); reason != "" {
				notReady = append(notReady, w.ID+": "+reason)
			}
		}
		if len(notReady) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return newViolation("liveness: not settled after %s: %s", settleTimeout, strings.Join(notReady, "; "))
		}
		time.Sleep(settlePollInterval)
	}
}

// acceptedModel returns the model version of the accepted document.
func (h *harness) acceptedModel(ctx context.Context) (external.ModelVersion, error) {
	r, err := registry.Get(ctx, h.kv, modelService)
	if err != nil {
		return external.ModelVersion{}, err
	}
	s, err := document.Parse(r.Body)
	if err != nil {
		return external.ModelVersion{}, err
	}
	return external.ModelVersion{Name: s.Models[0].Name, Version: s.Models[0].Version}, nil
}

// notReadyReason returns why a worker is not ready for work, or an empty string if it is.
func (h *harness) notReadyReason(ctx context.Context, w *worker, want external.ModelVersion) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	p, err := w.Probe(ctx, h.revisions.clients)
	if err != nil {
		return err.Error()
	}
	if p.GetLoad().GetDraining() {
		return "draining"
	}
	if w.Pool.Plain {
		return ""
	}
	s, err := w.EngineState(ctx)
	if err != nil {
		return err.Error()
	}
	if s.Changing || len(s.Config.Models) != 1 || s.Config.Models[0] != want {
		return fmt.Sprintf("changing %t, models %v, want %v", s.Changing, s.Config.Models, want)
	}
	r, err := w.OrderRecord(ctx, h.kv)
	if err != nil {
		return err.Error()
	}
	if orderInProgress(r.Phase) {
		return "order is " + string(r.Phase)
	}
	return ""
}
