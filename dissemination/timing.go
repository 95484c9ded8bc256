package dissemination

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/internal/pause"
)

// The times below keep the chain key-value service, relay, entry, sidecar under the bound of
// 8 s when one part of it hangs: a hung peer costs PollWait + answerGrace, each further one
// only probeTimeout.
const (
	// PollWait is the longest wait that a long poll asks for.
	PollWait = 4 * time.Second
	// MaxWait bounds the wait that a server grants.
	MaxWait = 10 * time.Second
	// answerGrace is the time that an answer may take beyond its wait.
	answerGrace = 500 * time.Millisecond
	// probeTimeout bounds a poll without a wait.
	probeTimeout = 500 * time.Millisecond
	// returnAfter is the time after which a process tries its preferred source again.
	returnAfter = 60 * time.Second
	// incompleteEvery is the time between polls for an older document of a service whose
	// newest document cannot be parsed here.
	incompleteEvery = 15 * time.Second

	// healthEvery and healthTimeout bound the time for which a relay that has lost contact with
	// the key-value service believes that its watch works.
	healthEvery   = 2 * time.Second
	healthTimeout = 2 * time.Second
	listTimeout   = 3 * time.Second
	// watchWait bounds the delay of a change whose watch response is lost while the health check
	// still works. It is below the key-value service's own wait limit of 20 s.
	watchWait = 5 * time.Second

	backoffFirst = 100 * time.Millisecond
	backoffLast  = time.Second

	// directEvery is the shortest time between two direct reads of one process. With
	// directPerProcess, the fleet as a whole makes at most 20 direct reads per second,
	// whatever its size.
	directEvery      = 5 * time.Second
	directPerProcess = 50 * time.Millisecond

	// observeEvery bounds the early polls that revisions in ordinary traffic trigger, because a
	// peer can send any number.
	observeEvery = time.Second
	// observeFor is the time after which an observed revision that no source has is dropped.
	observeFor = 10 * time.Second
)

var errDivergent = errors.New("two different documents have this revision; the key-value service has lost writes")

// random is a locked source, so that tests can fix the seed.
type random struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{r: rand.New(rand.NewPCG(seed, seed))} //nolint:gosec // jitter needs no secrecy
}

// around returns a time between half of d and d.
func (r *random) around(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d/2 + time.Duration(r.r.Int64N(int64(d/2)+1))
}

// backoff is a jittered exponential back-off.
type backoff struct {
	rand *random
	next time.Duration
}

func (b *backoff) reset() { b.next = 0 }

// wait sleeps. It returns false if ctx ended.
func (b *backoff) wait(ctx context.Context) bool {
	b.next = min(max(2*b.next, backoffFirst), backoffLast)
	return pause.For(ctx, b.rand.around(b.next))
}
