package dissemination

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/internal/pause"
)

// These times let a document reach every process (key-value service, relay, entry, sidecar) within the
// required 8 s although peers hang. The first hung peer of a process costs it
// PollWait + responseMargin, each further one probeTimeout.
const (
	// PollWait is the longest wait that a long poll requests.
	PollWait = 4 * time.Second
	// MaxWait limits the wait that a server grants to a long poll.
	MaxWait = 10 * time.Second
	// responseMargin is the time that a response may take beyond the requested wait.
	responseMargin = 500 * time.Millisecond
	// probeTimeout limits a poll without a wait.
	probeTimeout = 500 * time.Millisecond
	// preferredSourceRetry is the time after which a process tries its preferred source again.
	preferredSourceRetry = 60 * time.Second
	// olderDocumentInterval is the time between polls for an older document of a service whose
	// newest document this process cannot parse.
	olderDocumentInterval = 15 * time.Second

	// healthInterval and healthTimeout limit how long a relay takes to detect that it has lost
	// contact with the key-value service, which the watch alone does not show.
	healthInterval = 2 * time.Second
	healthTimeout  = 2 * time.Second
	// listTimeout limits one read of all documents.
	listTimeout = 3 * time.Second
	// watchTimeout limits one watch call, and thereby the delay of a change whose response is lost
	// while the health check still works. It is below the key-value service's own wait limit of
	// 20 s.
	watchTimeout = 5 * time.Second

	backoffMin = 100 * time.Millisecond
	backoffMax = time.Second

	// directReadInterval is the shortest interval between two direct reads by one process. The
	// interval is also at least directReadIntervalPerProcess times the number of processes, so
	// that the fleet as a whole makes at most 20 direct reads per second, whatever its size.
	directReadInterval           = 5 * time.Second
	directReadIntervalPerProcess = 50 * time.Millisecond

	// observeInterval is the shortest time between two early polls triggered by observed revisions,
	// because a peer can send any number of them.
	observeInterval = time.Second
	// observationTTL is the time after which an observed revision that no source has is
	// discarded.
	observationTTL = 10 * time.Second
)

var errConflictingDocuments = errors.New("two different documents have this revision; the key-value service has lost writes")

// lockedRand is a random source for concurrent use. Tests fix its seed.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{r: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // jitter needs no secrecy
}

// jitter returns a random duration between d/2 and d.
func (r *lockedRand) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.r.Int64N(int64(d/2)+1))
}

// backoff implements exponential back-off with jitter.
type backoff struct {
	rand *lockedRand
	next time.Duration
}

func (b *backoff) reset() { b.next = 0 }

// wait sleeps for the next interval. It returns false if ctx is done.
func (b *backoff) wait(ctx context.Context) bool {
	b.next = min(max(2*b.next, backoffMin), backoffMax)
	return pause.For(ctx, b.rand.jitter(b.next))
}
