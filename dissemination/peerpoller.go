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

// minBootstrapPeers is the number of peers, or all of them if there are fewer, that must answer before
// a process that starts during an outage is ready.
const minBootstrapPeers = 3

var errInterrupted = errors.New("poll interrupted by a new plan or an observed revision")

// poller long-polls one source at a time. It switches to the next source when one fails, has no
// contact with the key-value service, or lacks an observed revision.
type poller struct {
	agent *Agent
	store *Store

	// The fields up to mu are used only by the goroutine that runs the poller.

	// lastContactSource is the ID of the source that last reported contact with the key-value
	// service.
	lastContactSource string
	// index is the position of the current source in the plan, modulo the number of sources.
	index int
	// longPolling means that polls wait for changes unless the store lacks an observed revision.
	// The first poll of a source usually does not wait; see handleNoContact for the exception.
	longPolling      bool
	longPollingSince time.Time
	// failures counts the failed polls and noContactPolls those of sources without contact with the
	// key-value service, both since a source last reported contact. behindPolls counts the polls of
	// sources in contact that left an observed revision missing, since the last one that left none
	// missing.
	failures       int
	noContactPolls int
	behindPolls    int
	olderFetchedAt time.Time

	mu            sync.Mutex
	interrupt     context.CancelCauseFunc
	observed      map[string]observation
	nextEarlyPoll time.Time
	// planPending and observationPending are set by planChanged and observe until selectSource
	// clears them. A poll that starts meanwhile is interrupted at once.
	planPending        bool
	observationPending bool
}

// observation is a revision reported to Agent.Observe.
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

// observe records an observed revision and interrupts the current poll to look for it, unless a
// revision at least as high is recorded or the last early poll was less than observeInterval ago.
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

// behind reports whether the store lacks an observed revision.
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
	p.longPolling, p.index, p.failures, p.noContactPolls = false, 0, 0, 0
	b := &backoff{rand: p.agent.rand}
	if !p.store.Confirmed() {
		p.fetchFromAll(ctx)
	}
	for ctx.Err() == nil {
		sources := p.selectSource()
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

// selectSource sets index to the source to poll next and returns the sources of the current plan. It
// clears the pending flags, and switches to the preferred source after a change of the plan and at
// intervals of preferredSourceRetry.
func (p *poller) selectSource() []external.Instance {
	sources := p.agent.Plan().Sources
	p.mu.Lock()
	planPending := p.planPending
	p.planPending, p.observationPending = false, false
	p.mu.Unlock()
	if len(sources) == 0 {
		return nil
	}
	p.index %= len(sources)
	retryPreferred := p.longPolling && p.index != 0 && time.Since(p.longPollingSince) > preferredSourceRetry
	if retryPreferred || planPending && sources[p.index].ID != p.lastContactSource || planPending && p.index != 0 {
		p.index, p.longPolling = 0, false
	}
	return sources
}

// poll polls the current source once. It returns false if the poller should back off.
func (p *poller) poll(ctx context.Context, sources []external.Instance) bool {
	src := sources[p.index]
	wait := time.Duration(0)
	if p.longPolling && !p.behind() {
		wait = PollWait - p.agent.rand.jitter(PollWait/4) // spreads the polls of processes that started together
	}
	inContact, err := p.fetch(ctx, src, wait)
	switch {
	case ctx.Err() != nil || errors.Is(err, errInterrupted):
		return true
	case err != nil:
		p.agent.cfg.Log(fmt.Errorf("poll of %s at %s: %w", src.ID, src.Address, err))
		return p.handleFailure(ctx, len(sources))
	case !inContact:
		return p.handleNoContact(ctx, len(sources))
	}
	p.failures, p.noContactPolls = 0, 0
	if !p.longPolling || p.lastContactSource != src.ID {
		p.longPolling, p.lastContactSource, p.longPollingSince = true, src.ID, time.Now()
	}
	if p.behind() {
		return p.handleBehind(ctx, len(sources))
	}
	p.behindPolls = 0
	return true
}

// handleFailure switches to the next source. Once as many polls have failed as there are sources, it
// marks the store as not in contact and reads the key-value service directly. Like poll, it returns
// false if the poller should back off.
func (p *poller) handleFailure(ctx context.Context, sourceCount int) bool {
	p.longPolling = false
	p.index++
	p.failures++
	if p.failures < sourceCount {
		return true
	}
	p.store.setInContact(false)
	p.agent.direct.read(ctx)
	return false
}

// handleNoContact switches to the next source. Once as many polls as there are sources have found no
// contact, it marks the store as not in contact, reads the key-value service directly, and lets the
// next polls wait, since the other sources have no contact either. It always returns true, so that the
// poller does not back off.
func (p *poller) handleNoContact(ctx context.Context, sourceCount int) bool {
	p.index++
	p.noContactPolls++
	p.longPolling = p.noContactPolls >= sourceCount
	if !p.longPolling {
		return true
	}
	p.longPollingSince = time.Now()
	p.store.setInContact(false)
	p.agent.direct.read(ctx)
	return true
}

// handleBehind switches to the next source to look for an observed revision. After all sources it
// reads the key-value service directly. It always returns false, so that the poller backs off.
func (p *poller) handleBehind(ctx context.Context, sourceCount int) bool {
	p.index++
	p.behindPolls++
	if p.behindPolls >= sourceCount {
		p.agent.direct.read(ctx)
	}
	return false
}

// fetch polls one source and offers its documents to the store. It reports whether the source is in
// contact with the key-value service, or returns errInterrupted if planChanged or observe interrupted
// the poll.
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
	docs, inContact, err := p.agent.cfg.Dial(src).Fetch(ctx, p.knownRevisions(), wait)
	if err != nil {
		if errors.Is(context.Cause(ctx), errInterrupted) {
			return false, errInterrupted
		}
		return false, err
	}
	p.store.Offer(docs...)
	if inContact {
		p.store.confirmInContact()
	}
	return inContact, nil
}

// knownRevisions returns the revisions to send with a poll.
func (p *poller) knownRevisions() map[string]uint64 {
	if p.takeOlderFetchTurn() {
		return p.store.highestOfActiveServices()
	}
	return p.store.Revisions()
}

// takeOlderFetchTurn returns true if some service has no active document and olderDocumentInterval has
// passed since it last returned true. The caller then fetches older documents.
func (p *poller) takeOlderFetchTurn() bool {
	if len(p.store.highestOfActiveServices()) == len(p.store.Snapshot()) || time.Since(p.olderFetchedAt) < olderDocumentInterval {
		return false
	}
	p.olderFetchedAt = time.Now()
	return true
}

// fetchFromAll fetches from all sources at once and offers all documents to the store. It marks the
// store as confirmed if any source is in contact with the key-value service, and otherwise as ready if
// minBootstrapPeers is reached.
func (p *poller) fetchFromAll(ctx context.Context) {
	sources := p.agent.Plan().Sources
	have := p.store.highestOfActiveServices()
	var fetches sync.WaitGroup
	var mu sync.Mutex
	answers, anyInContact := 0, false
	for _, src := range sources {
		fetches.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			docs, inContact, err := p.agent.cfg.Dial(src).Fetch(ctx, have, 0)
			if err != nil {
				return
			}
			p.store.Offer(docs...)
			mu.Lock()
			defer mu.Unlock()
			answers++
			anyInContact = anyInContact || inContact
		})
	}
	fetches.Wait()
	switch {
	case anyInContact && p.agent.Plan().Relay:
		// A relay is in contact with the key-value service only through its own watch.
		p.store.markConfirmed()
	case anyInContact:
		p.store.confirmInContact()
	case answers > 0 && answers >= min(minBootstrapPeers, len(sources)):
		p.store.markReady()
	}
}
