package dissemination

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/pause"
)

// Fetcher fetches documents from one peer.
type Fetcher interface {
	// Fetch returns the documents with higher revisions than those in have, after at most the
	// given wait. have maps each service to the highest revision known. inContact reports whether the
	// peer is in contact with the key-value service.
	Fetch(ctx context.Context, have map[string]uint64, wait time.Duration) (docs []Document, inContact bool, err error)
}

// Config configures an Agent.
type Config struct {
	Self  external.Instance
	Store *Store
	KV    external.KV
	// Dial returns the client of a peer. It must not block.
	Dial func(external.Instance) Fetcher
	// Seed seeds the jitter. 0 seeds it from the time.
	Seed uint64
	// Log receives failures of sources and errors of invalid records. It may be nil.
	Log func(error)
}

// Agent keeps a Store up to date: it watches the key-value service if this process is a relay, and
// polls peers if it is not.
type Agent struct {
	cfg    Config
	rand   *lockedRand
	direct *directReader
	poller *poller

	mu   sync.Mutex
	plan Plan
	// roleChanged is closed when Plan.Relay changes.
	roleChanged chan struct{}
}

// NewAgent returns an Agent without instances; see SetInstances.
func NewAgent(c Config) *Agent {
	if c.Log == nil {
		c.Log = func(error) {}
	}
	seed := c.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	a := &Agent{cfg: c, rand: newLockedRand(seed), roleChanged: make(chan struct{})}
	a.direct = &directReader{store: c.Store, kv: c.KV, rand: a.rand, log: c.Log, processCount: func() int { return a.Plan().ProcessCount }}
	a.poller = newPoller(a)
	return a
}

// SetInstances replaces the instance list. An empty list is ignored, because it means that the
// platform's list has failed.
func (a *Agent) SetInstances(instances []external.Instance) {
	if len(instances) == 0 {
		return
	}
	plan := NewPlan(instances, a.cfg.Self)
	a.mu.Lock()
	relayChanged := plan.Relay != a.plan.Relay
	a.plan = plan
	if relayChanged {
		close(a.roleChanged)
		a.roleChanged = make(chan struct{})
	}
	a.mu.Unlock()
	a.poller.planChanged()
}

// Plan returns the current plan.
func (a *Agent) Plan() Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.plan
}

// Observe reports a revision carried by a message other than the response to a poll. One above the
// highest in the store triggers an early poll, at most one per observeInterval, or on a relay a direct
// read. For a known revision it costs one map look-up.
func (a *Agent) Observe(service string, revision uint64) {
	state := a.cfg.Store.Snapshot()[service]
	if state != nil && revision <= state.HighestRevision() || state == nil && revision == 0 {
		return
	}
	a.poller.observe(service, revision)
}

// Run keeps the store up to date until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		relay, roleChanged := a.plan.Relay, a.roleChanged
		a.mu.Unlock()
		runCtx, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		if relay {
			w := &KVWatcher{store: a.cfg.Store, kv: a.cfg.KV, rand: a.rand, log: a.cfg.Log}
			wg.Go(func() { w.Run(runCtx) })
			wg.Go(func() { a.backfill(runCtx) })
		} else {
			wg.Go(func() { a.poller.run(runCtx) })
		}
		select {
		case <-ctx.Done():
		case <-roleChanged:
		}
		cancel()
		wg.Wait()
	}
}

// backfill fetches documents from the peers of a relay while the relay has no contact with the
// key-value service, so that a relay that starts during an outage gets the documents that other
// processes have. It also fetches older documents of services whose newest one this process cannot
// parse, and reads the key-value service directly if the store lacks an observed revision.
func (a *Agent) backfill(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case !a.cfg.Store.InContact() || a.poller.takeOlderFetchTurn():
			a.poller.fetchFromAll(ctx)
		case a.poller.behind():
			a.direct.read(ctx)
		}
		if !pause.For(ctx, a.rand.jitter(healthInterval)) {
			return
		}
	}
}

// directReader reads all documents from the key-value service, outside a relay's list and watch, when
// peers or the watch don't supply them. Its rate depends on the number of processes, so that the fleet
// as a whole stays below a fixed rate.
type directReader struct {
	store        *Store
	kv           external.KV
	rand         *lockedRand
	log          func(error)
	processCount func() int
	reads        atomic.Uint64

	mu          sync.Mutex
	nextAllowed time.Time
}

// read reads all documents, or does nothing if the rate limit does not allow a read yet.
func (d *directReader) read(ctx context.Context) {
	if !d.allow() {
		return
	}
	d.reads.Add(1)
	if _, err := readAll(ctx, d.kv, d.store, d.log); err != nil {
		d.log(fmt.Errorf("direct read: %w", err))
	}
}

func (d *directReader) allow() bool {
	interval := max(directReadInterval, time.Duration(d.processCount())*directReadIntervalPerProcess)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.nextAllowed.IsZero() {
		// The first read is delayed as well, in case the whole fleet starts at once.
		d.nextAllowed = now.Add(d.rand.jitter(interval))
	}
	if now.Before(d.nextAllowed) {
		return false
	}
	d.nextAllowed = now.Add(interval/2 + d.rand.jitter(interval))
	return true
}
