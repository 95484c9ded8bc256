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

// Fetcher is the client of one peer.
type Fetcher interface {
	// Fetch returns the documents above the revisions in have, after at most the given wait.
	// Confirmed is the flag of the response; see Store.Wait.
	Fetch(ctx context.Context, have map[string]uint64, wait time.Duration) (docs []Document, confirmed bool, err error)
}

// Config sets up an Agent.
type Config struct {
	Self  external.Instance
	Store *Store
	KV    external.KV
	// Dial returns the client of a peer. It must not block.
	Dial func(external.Instance) Fetcher
	// Seed fixes the jitter in tests; 0 chooses one at random.
	Seed uint64
	// Log receives the failures of sources and the records that cannot be read. It may be nil.
	Log func(error)
}

// Agent keeps a Store up to date: it watches the key-value service if this process is a relay
// and polls peers if it is not.
type Agent struct {
	cfg    Config
	rand   *random
	direct *directReader
	poller *poller

	mu      sync.Mutex
	plan    Plan
	changed chan struct{}
}

// NewAgent returns an agent that knows no instances yet.
func NewAgent(c Config) *Agent {
	if c.Log == nil {
		c.Log = func(error) {}
	}
	seed := c.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	a := &Agent{cfg: c, rand: newRandom(seed), changed: make(chan struct{})}
	a.direct = &directReader{store: c.Store, kv: c.KV, rand: a.rand, log: c.Log, fleet: func() int { return a.Plan().Fleet }}
	a.poller = newPoller(a)
	return a
}

// SetInstances replaces the instance list. An empty list is ignored, because it says only that
// the platform's list has failed.
func (a *Agent) SetInstances(instances []external.Instance) {
	if len(instances) == 0 {
		return
	}
	plan := Role(instances, a.cfg.Self)
	a.mu.Lock()
	roleChanged := plan.Relay != a.plan.Relay
	a.plan = plan
	if roleChanged {
		close(a.changed)
		a.changed = make(chan struct{})
	}
	a.mu.Unlock()
	a.poller.planChanged()
}

// Plan returns the present plan.
func (a *Agent) Plan() Plan {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.plan
}

// Observe tells the agent of a revision that ordinary traffic carried. A revision above the
// highest one seen triggers an early poll. It costs one map look-up if there is no news.
func (a *Agent) Observe(service string, revision uint64) {
	f := a.cfg.Store.Snapshot()[service]
	if f != nil && revision <= f.Highest() || f == nil && revision == 0 {
		return
	}
	a.poller.observe(service, revision)
}

// Run keeps the store up to date until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		relay, changed := a.plan.Relay, a.changed
		a.mu.Unlock()
		runCtx, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		if relay {
			w := &KVWatcher{store: a.cfg.Store, kv: a.cfg.KV, rand: a.rand, log: a.cfg.Log}
			wg.Go(func() { w.Run(runCtx) })
			wg.Go(func() { a.assist(runCtx) })
		} else {
			wg.Go(func() { a.poller.run(runCtx) })
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
		cancel()
		wg.Wait()
	}
}

// assist asks the peers of a relay while the relay is out of contact with the key-value
// service, so that relays that start during an outage receive what the fleet holds. It also
// asks them for an older document of a service whose newest one cannot be parsed here.
func (a *Agent) assist(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case !a.cfg.Store.Fresh() || a.poller.wantsOlder():
			a.poller.askAll(ctx)
		case a.poller.behind():
			a.direct.read(ctx)
		}
		if !pause.For(ctx, a.rand.around(healthEvery)) {
			return
		}
	}
}

// directReader reads the key-value service directly, limited in rate so that the whole fleet
// together stays below a fixed rate.
type directReader struct {
	store *Store
	kv    external.KV
	rand  *random
	log   func(error)
	fleet func() int
	reads atomic.Uint64

	mu   sync.Mutex
	next time.Time
}

// read does nothing if the last read was too short a time ago.
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
	interval := max(directEvery, time.Duration(d.fleet())*directPerProcess)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.next.IsZero() {
		// The first read is spread as well, for the case that the whole fleet starts at once.
		d.next = now.Add(d.rand.around(interval))
	}
	if now.Before(d.next) {
		return false
	}
	d.next = now.Add(interval/2 + d.rand.around(interval))
	return true
}
