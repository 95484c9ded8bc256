package dissemination

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// bootstrapPeers is the number of peers that must answer before a process that starts during
// an outage counts as ready.
const bootstrapPeers = 3

var errInterrupted = errors.New("poll interrupted by news")

// poller long-polls one source at a time. It moves on to the next source when one fails, is out
// of contact with the key-value service, or lacks an observed revision.
type poller struct {
	agent *Agent
	store *Store

	// Only the running goroutine uses these.
	source      string // ID of the settled source
	index       int
	settled     bool
	settledAt   time.Time
	failures    int
	unconfirmed int
	catchUp     int
	askedOlder  time.Time

	mu        sync.Mutex
	interrupt context.CancelCauseFunc
	observed  map[string]observation
	nextEarly time.Time
	// planIsNew and newsPending end a poll that starts after the news has come in.
	planIsNew   bool
	newsPending bool
}

type observation struct {
	revision uint64
	at       time.Time
}

func newPoller(a *Agent) *poller {
	return &poller{agent: a, store: a.cfg.Store, observed: map[string]observation{}}
}

func (p *poller) planChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planIsNew = true
	p.interruptLocked()
}

func (p *poller) observe(service string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if o := p.observed[service]; revision <= o.revision || now.Before(p.nextEarly) {
		return
	}
	p.nextEarly = now.Add(observeEvery)
	p.observed[service] = observation{revision, now}
	p.newsPending = true
	p.interruptLocked()
}

func (p *poller) interruptLocked() {
	if p.interrupt != nil {
		p.interrupt(errInterrupted)
	}
}

// behind says whether ordinary traffic carried a revision that the store lacks.
func (p *poller) behind() bool {
	have := p.store.Have()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.observed, func(service string, o observation) bool {
		return have[service] >= o.revision || time.Since(o.at) > observeFor
	})
	return len(p.observed) > 0
}

func (p *poller) run(ctx context.Context) {
	p.settled, p.index, p.failures, p.unconfirmed = false, 0, 0, 0
	b := &backoff{rand: p.agent.rand}
	if !p.store.Confirmed() {
		p.askAll(ctx)
	}
	for ctx.Err() == nil {
		sources := p.choose()
		if len(sources) == 0 {
			p.agent.direct.read(ctx)
			b.wait(ctx)
			continue
		}
		if p.poll(ctx, sources) {
			b.reset()
		} else {
			b.wait(ctx)
		}
	}
}

// choose takes over a new plan and returns to the preferred source from time to time.
func (p *poller) choose() []external.Instance {
	sources := p.agent.Plan().Sources
	p.mu.Lock()
	planIsNew := p.planIsNew
	p.planIsNew, p.newsPending = false, false
	p.mu.Unlock()
	if len(sources) == 0 {
		return nil
	}
	p.index %= len(sources)
	stale := p.settled && p.index != 0 && time.Since(p.settledAt) > returnAfter
	if stale || planIsNew && sources[p.index].ID != p.source || planIsNew && p.index != 0 {
		p.index, p.settled = 0, false
	}
	return sources
}

// poll asks the current source once. It returns false if the poller should back off.
func (p *poller) poll(ctx context.Context, sources []external.Instance) bool {
	src := sources[p.index]
	wait := time.Duration(0)
	if p.settled && !p.behind() {
		wait = PollWait - p.agent.rand.around(PollWait/4) // spreads the polls of a fleet that started at once
	}
	confirmed, err := p.fetch(ctx, src, wait)
	switch {
	case ctx.Err() != nil || errors.Is(err, errInterrupted):
		return true
	case err != nil:
		p.agent.cfg.Log(fmt.Errorf("poll of %s at %s: %w", src.ID, src.Address, err))
		return p.failed(ctx, len(sources))
	case !confirmed:
		return p.outOfContact(ctx, len(sources))
	}
	p.failures, p.unconfirmed = 0, 0
	if !p.settled || p.source != src.ID {
		p.settled, p.source, p.settledAt = true, src.ID, time.Now()
	}
	if p.behind() {
		return p.pursue(ctx, len(sources))
	}
	p.catchUp = 0
	return true
}

// failed moves on to the next source. After a whole round of failures it reads directly.
func (p *poller) failed(ctx context.Context, n int) bool {
	p.settled = false
	p.index++
	p.failures++
	if p.failures < n {
		return true
	}
	p.store.setFresh(false)
	p.agent.direct.read(ctx)
	return false
}

// outOfContact moves on to the next source. After a whole round it waits at each source in
// turn, since the key-value service is down for all of them.
func (p *poller) outOfContact(ctx context.Context, n int) bool {
	p.index++
	p.unconfirmed++
	p.settled = p.unconfirmed >= n
	if !p.settled {
		return true
	}
	p.settledAt = time.Now()
	p.store.setFresh(false)
	p.agent.direct.read(ctx)
	return true
}

// pursue looks for an observed revision at the next source, and at last in the key-value
// service.
func (p *poller) pursue(ctx context.Context, n int) bool {
	p.index++
	p.catchUp++
	if p.catchUp >= n {
		p.agent.direct.read(ctx)
	}
	return false
}

func (p *poller) fetch(ctx context.Context, src external.Instance, wait time.Duration) (bool, error) {
	limit := wait + answerGrace
	if wait == 0 {
		limit = probeTimeout
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	p.mu.Lock()
	p.interrupt = cancel
	if p.planIsNew || p.newsPending {
		cancel(errInterrupted)
	}
	p.mu.Unlock()
	docs, confirmed, err := p.agent.cfg.Dial(src).Fetch(ctx, p.have(), wait)
	if err != nil {
		if errors.Is(context.Cause(ctx), errInterrupted) {
			return false, errInterrupted
		}
		return false, err
	}
	p.store.Offer(docs...)
	if confirmed {
		p.store.confirm()
	}
	return confirmed, nil
}

func (p *poller) have() map[string]uint64 {
	if p.wantsOlder() {
		return p.store.haveValid()
	}
	return p.store.Have()
}

// wantsOlder says, at most once in a while, whether a service has no document that can be
// parsed here.
func (p *poller) wantsOlder() bool {
	if len(p.store.haveValid()) == len(p.store.Snapshot()) || time.Since(p.askedOlder) < incompleteEvery {
		return false
	}
	p.askedOlder = time.Now()
	return true
}

// askAll asks all sources at once and takes the highest revisions.
func (p *poller) askAll(ctx context.Context) {
	sources := p.agent.Plan().Sources
	have := p.store.haveValid()
	var answered sync.WaitGroup
	var mu sync.Mutex
	answers, anyConfirmed := 0, false
	for _, src := range sources {
		answered.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			docs, confirmed, err := p.agent.cfg.Dial(src).Fetch(ctx, have, 0)
			if err != nil {
				return
			}
			p.store.Offer(docs...)
			mu.Lock()
			defer mu.Unlock()
			answers++
			anyConfirmed = anyConfirmed || confirmed
		})
	}
	answered.Wait()
	switch {
	case anyConfirmed && p.agent.Plan().Relay:
		// A relay is in contact with the key-value service only by its own watch.
		p.store.markConfirmed()
	case anyConfirmed:
		p.store.confirm()
	case answers > 0 && answers >= min(bootstrapPeers, len(sources)):
		p.store.markReady()
	}
}
