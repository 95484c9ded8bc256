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

// minBootstrapPeers is the number of peers that must answer before a process that starts during an
// outage is ready.
const minBootstrapPeers = 3

var errInterrupted = errors.New("poll interrupted by a new plan or an observed revision")

// poller long-polls one source at a time. It switches to the next source when one fails, has no
// contact with the key-value service, or lacks an observed revision.
type poller struct {
	agent *Agent
	store *Store

	// The fields up to mu are used only by the goroutine that runs the poller.

	// source is the ID of the source that was last established while it was in contact.
	source string
	// index is the position of the current source in the plan, modulo the number of sources.
	index int
	// established means that polls of the current source wait for changes. The first poll of a
	// source does not wait.
	established   bool
	establishedAt time.Time
	// failures, noContactPolls and behindPolls count the polls with these outcomes since the last
	// successful one.
	failures       int
	noContactPolls int
	behindPolls    int
	olderFetchedAt time.Time

	mu            sync.Mutex
	interrupt     context.CancelCauseFunc
	observed      map[string]observation
	nextEarlyPoll time.Time
	// planPending and observationPending interrupt a poll that starts after planChanged or observe
	// was called.
	planPending        bool
	observationPending bool
}

// observation is a revision seen in ordinary traffic.
type observation struct {
	revision uint64
	at       time.Time
}

func newPoller(a *Agent) *poller {
	return &poller{agent: a, store: a.cfg.Store, observed: map[string]observation{}}
}

// planChanged interrupts the current poll, so that the next one uses the new plan.
func (p *poller) planChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planPending = true
	p.interruptLocked()
}

// observe records a revision seen in ordinary traffic and interrupts the current poll to look for it.
func (p *poller) observe(service string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if o := p.observed[service]; revision <= o.revision || now.Before(p.nextEarlyPoll) {
		return
	}
	p.nextEarlyPoll = now.Add(observeInterval)
	p.observed[service] = observation{revision, now}
	p.observationPending = true
	p.interruptLocked()
}

func (p *poller) interruptLocked() {
	if p.interrupt != nil {
		p.interrupt(errInterrupted)
	}
}

// behind reports whether the store lacks a revision that was seen in ordinary traffic.
func (p *poller) behind() bool {
	have := p.store.Revisions()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.observed, func(service string, o observation) bool {
		return have[service] >= o.revision || time.Since(o.at) > observationTTL
	})
	return len(p.observed) > 0
}

func (p *poller) run(ctx context.Context) {
	p.established, p.index, p.failures, p.noContactPolls = false, 0, 0, 0
	b := &backoff{rand: p.agent.rand}
	if !p.store.Confirmed() {
		p.fetchFromAll(ctx)
	}
	for ctx.Err() == nil {
		sources := p.currentSources()
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

// currentSources returns the sources of the current plan. It switches to the preferred source after a
// change of the plan and at intervals of preferredSourceRetry.
func (p *poller) currentSources() []external.Instance {
	sources := p.agent.Plan().Sources
	p.mu.Lock()
	planPending := p.planPending
	p.planPending, p.observationPending = false, false
	p.mu.Unlock()
	if len(sources) == 0 {
		return nil
	}
	p.index %= len(sources)
	stale := p.established && p.index != 0 && time.Since(p.establishedAt) > preferredSourceRetry
	if stale || planPending && sources[p.index].ID != p.source || planPending && p.index != 0 {
		p.index, p.established = 0, false
	}
	return sources
}

// poll polls the current source once. It returns false if the poller should back off.
func (p *poller) poll(ctx context.Context, sources []external.Instance) bool {
	src := sources[p.index]
	wait := time.Duration(0)
	if p.established && !p.behind() {
		wait = PollWait - p.agent.rand.jitter(PollWait/4) // spreads the polls of processes that started together
	}
	confirmed, err := p.fetch(ctx, src, wait)
	switch {
	case ctx.Err() != nil || errors.Is(err, errInterrupted):
		return true
	case err != nil:
		p.agent.cfg.Log(fmt.Errorf("poll of %s at %s: %w", src.ID, src.Address, err))
		return p.handleFailure(ctx, len(sources))
	case !confirmed:
		return p.handleNoContact(ctx, len(sources))
	}
	p.failures, p.noContactPolls = 0, 0
	if !p.established || p.source != src.ID {
		p.established, p.source, p.establishedAt = true, src.ID, time.Now()
	}
	if p.behind() {
		return p.handleBehind(ctx, len(sources))
	}
	p.behindPolls = 0
	return true
}

// handleFailure switches to the next source. After every source has failed in turn, it reads the
// key-value service directly.
func (p *poller) handleFailure(ctx context.Context, n int) bool {
	p.established = false
	p.index++
	p.failures++
	if p.failures < n {
		return true
	}
	p.store.setInContact(false)
	p.agent.direct.read(ctx)
	return false
}

// handleNoContact switches to the next source. After every source in turn had no contact, it
// long-polls each of them in turn, since the key-value service is down for all of them.
func (p *poller) handleNoContact(ctx context.Context, n int) bool {
	p.index++
	p.noContactPolls++
	p.established = p.noContactPolls >= n
	if !p.established {
		return true
	}
	p.establishedAt = time.Now()
	p.store.setInContact(false)
	p.agent.direct.read(ctx)
	return true
}

// handleBehind switches to the next source to look for an observed revision. After all sources it
// reads the key-value service directly.
func (p *poller) handleBehind(ctx context.Context, n int) bool {
	p.index++
	p.behindPolls++
	if p.behindPolls >= n {
		p.agent.direct.read(ctx)
	}
	return false
}

// fetch polls one source and offers its documents to the store. It returns the confirmed flag of the
// response, or errInterrupted if planChanged or observe interrupted the poll.
func (p *poller) fetch(ctx context.Context, src external.Instance, wait time.Duration) (bool, error) {
	limit := wait + responseMargin
	if wait == 0 {
		limit = probeTimeout
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	p.mu.Lock()
	p.interrupt = cancel
	if p.planPending || p.observationPending {
		cancel(errInterrupted)
	}
	p.mu.Unlock()
	docs, confirmed, err := p.agent.cfg.Dial(src).Fetch(ctx, p.knownRevisions(), wait)
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

// knownRevisions returns the revisions to send with a poll.
func (p *poller) knownRevisions() map[string]uint64 {
	if p.shouldFetchOlder() {
		return p.store.revisionsOfActive()
	}
	return p.store.Revisions()
}

// shouldFetchOlder reports whether to fetch older documents because a service has no active one. It
// returns true at most once per olderDocumentInterval.
func (p *poller) shouldFetchOlder() bool {
	if len(p.store.revisionsOfActive()) == len(p.store.Snapshot()) || time.Since(p.olderFetchedAt) < olderDocumentInterval {
		return false
	}
	p.olderFetchedAt = time.Now()
	return true
}

// fetchFromAll fetches from all sources at once and offers all documents to the store. It marks the
// store as confirmed if any source is in contact with the key-value service, and otherwise as ready if
// enough sources answered.
func (p *poller) fetchFromAll(ctx context.Context) {
	sources := p.agent.Plan().Sources
	have := p.store.revisionsOfActive()
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
		// A relay is in contact with the key-value service only through its own watch.
		p.store.markConfirmed()
	case anyConfirmed:
		p.store.confirm()
	case answers > 0 && answers >= min(minBootstrapPeers, len(sources)):
		p.store.markReady()
	}
}
