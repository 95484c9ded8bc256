package dissemination

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/pause"
	"github.com/quetzallug/quetzallug/standin/kv"
)

const (
	testService = "oracolo"
	linkDelay   = 1500 * time.Microsecond
)

func testBody(n int) []byte {
	return fmt.Appendf(nil, `service: %s
type: plain
data_centres: [palermo]
pools: [{data_centre: palermo, workers: 1}]
kinds: [{name: other, rank: 1, deadlines: {total: 1s}, repeatable: false}]
limits: {queue: %d}
`, testService, n)
}

func testDocument(revision uint64) Document {
	return Document{Service: testService, Revision: revision, Body: testBody(int(revision))}
}

var errDown = errors.New("connection refused")

// fleet is a set of simulated processes around one key-value service. They communicate by function
// calls that are delayed by linkDelay.
type fleet struct {
	t   *testing.T
	ctx context.Context
	kv  *kv.Store

	mu    sync.Mutex
	procs map[string]*proc
	list  []external.Instance
	// revisionErr is the last error reported by watchRevisions.
	revisionErr error
	starts      uint64
}

// proc is one run of a process.
type proc struct {
	fleet  *fleet
	inst   external.Instance
	store  *Store
	agent  *Agent
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	// hung means that the process accepts fetches and never answers them.
	hung atomic.Bool
	// cutOff means that the process cannot reach the key-value service.
	cutOff atomic.Bool
	// served counts the fetches that this process has answered.
	served atomic.Int64
}

func newFleet(t *testing.T, dcs, entries, sidecars int) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx, kv: kv.NewStore(kv.Limits{Writes: 400, Reads: 2000}), procs: map[string]*proc{}}
	t.Cleanup(func() {
		cancel()
		f.each(func(p *proc) { p.done.Wait() })
		require.NoError(t, f.revisionErr)
	})
	for d := range dcs {
		dc := fmt.Sprintf("dc-%d", d)
		for i := range entries {
			f.list = append(f.list, external.Instance{ID: fmt.Sprintf("entry-%d-%d", d, i), Role: external.RoleEntry, DataCentre: dc, State: external.InstanceLive})
		}
		for i := range sidecars {
			f.list = append(f.list, external.Instance{ID: fmt.Sprintf("sidecar-%d-%d", d, i), Role: external.RoleSidecar, DataCentre: dc, State: external.InstanceLive})
		}
	}
	return f
}

func (f *fleet) startAll() {
	for _, in := range f.list {
		f.start(in)
	}
}

// start starts a process whose store already holds the given documents.
func (f *fleet) start(in external.Instance, docs ...Document) *proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	p := &proc{fleet: f, inst: in, store: NewStore()}
	p.store.Offer(docs...)
	p.ctx, p.cancel = context.WithCancel(f.ctx)
	p.agent = NewAgent(Config{
		Self: in, Store: p.store, KV: &procKV{f.kv, p}, Seed: f.starts,
		Dial: func(to external.Instance) Fetcher { return &link{from: p, to: to.ID} },
	})
	p.agent.SetInstances(f.list)
	f.procs[in.ID] = p
	p.done.Go(func() { p.agent.Run(p.ctx) })
	p.done.Go(p.watchRevisions)
	return p
}

// watchRevisions records an error in fleet.revisionErr when a revision of the process decreases.
func (p *proc) watchRevisions() {
	var active, highest uint64
	for {
		changed := p.store.Changed()
		if s := p.store.Snapshot()[testService]; s != nil {
			if s.Revision < active || s.HighestRevision() < highest || s.HighestRevision() < s.Revision {
				p.fleet.mu.Lock()
				p.fleet.revisionErr = fmt.Errorf("%s went from %d (highest %d) to %d (highest %d)", p.inst.ID, active, highest, s.Revision, s.HighestRevision())
				p.fleet.mu.Unlock()
			}
			active, highest = s.Revision, s.HighestRevision()
		}
		select {
		case <-p.ctx.Done():
			return
		case <-changed:
		}
	}
}

func (p *proc) revision() uint64 {
	if s := p.store.Snapshot()[testService]; s != nil {
		return s.Revision
	}
	return 0
}

func (f *fleet) proc(id string) *proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[id]
}

func (f *fleet) each(do func(*proc)) {
	f.mu.Lock()
	procs := make([]*proc, 0, len(f.procs))
	for _, in := range f.list {
		if p := f.procs[in.ID]; p != nil {
			procs = append(procs, p)
		}
	}
	f.mu.Unlock()
	for _, p := range procs {
		do(p)
	}
}

// publish sends an instance list to all processes.
func (f *fleet) publish(list []external.Instance) {
	f.each(func(p *proc) { p.agent.SetInstances(list) })
}

func (f *fleet) relays() []*proc {
	var out []*proc
	f.each(func(p *proc) {
		if p.agent.Plan().Relay {
			out = append(out, p)
		}
	})
	return out
}

func (p *proc) kill() {
	p.cancel()
	p.done.Wait()
}

func (f *fleet) apply(base uint64, body []byte) {
	f.t.Helper()
	_, err := registry.Apply(f.ctx, f.kv, testService, base, body, "ada")
	require.NoError(f.t, err)
}

// awaitRevision waits until a revision is active in all running processes, and returns the time
// taken. After the limit it gives up and returns the IDs of the processes that are behind.
func (f *fleet) awaitRevision(revision uint64, limit time.Duration) (time.Duration, []string) {
	start := time.Now()
	for {
		var behind []string
		f.each(func(p *proc) {
			if p.ctx.Err() == nil && !p.hung.Load() && p.revision() < revision {
				behind = append(behind, p.inst.ID)
			}
		})
		if len(behind) == 0 || time.Since(start) > limit {
			return time.Since(start), behind
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// link is the connection from one process to another.
type link struct {
	from *proc
	to   string
}

func (l *link) Fetch(ctx context.Context, have map[string]uint64, wait time.Duration) ([]Document, bool, error) {
	if !pause.For(ctx, linkDelay) {
		return nil, false, ctx.Err()
	}
	to := l.from.fleet.proc(l.to)
	if to == nil || to.ctx.Err() != nil {
		return nil, false, errDown
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(to.ctx, cancel)() //nolint:contextcheck // cancels the call when the server stops
	if !to.hung.Load() {
		to.served.Add(1)
		docs, inContact, err := to.store.Wait(callCtx, have, wait)
		if to.ctx.Err() != nil {
			return nil, false, errDown
		}
		if !to.hung.Load() {
			if !pause.For(ctx, linkDelay) {
				return nil, false, ctx.Err()
			}
			return docs, inContact, err
		}
	}
	<-ctx.Done()
	return nil, false, ctx.Err()
}

// procKV is one process's connection to the key-value service.
type procKV struct {
	*kv.Store
	p *proc
}

func (k *procKV) reach(ctx context.Context) error {
	time.Sleep(linkDelay)
	if k.p.cutOff.Load() {
		<-ctx.Done()
		return external.ErrUnavailable
	}
	return nil
}

func (k *procKV) Get(ctx context.Context, key string) (external.KVEntry, error) {
	if err := k.reach(ctx); err != nil {
		return external.KVEntry{}, err
	}
	return k.Store.Get(ctx, key)
}

func (k *procKV) List(ctx context.Context, prefix string) ([]external.KVEntry, uint64, error) {
	if err := k.reach(ctx); err != nil {
		return nil, 0, err
	}
	return k.Store.List(ctx, prefix)
}

func (k *procKV) Watch(ctx context.Context, prefix string, after uint64) ([]external.KVEvent, uint64, error) {
	if err := k.reach(ctx); err != nil {
		return nil, 0, err
	}
	events, next, err := k.Store.Watch(ctx, prefix, after)
	time.Sleep(linkDelay) // link delay of the response; a fault set just after the change still stops it
	if k.p.cutOff.Load() {
		<-ctx.Done()
		return nil, 0, external.ErrUnavailable
	}
	return events, next, err
}
