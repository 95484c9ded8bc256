package once_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/standin/kv"
)

const (
	service   = "banco"
	kvLatency = 2 * time.Millisecond
)

// fault is a fault that is injected into one call at a protocol step.
type fault string

const (
	killBefore   fault = "kill before"   // the process dies before the call takes effect
	killAfter    fault = "kill after"    // the process dies after the call took effect
	pause        fault = "pause"         // the process is suspended past all deadlines, then the call proceeds
	lostResponse fault = "lost response" // the call takes effect, the response does not arrive
	lostRequest  fault = "lost request"  // the call has no effect, but the caller cannot tell
	late         fault = "late"          // the caller times out, and the call takes effect afterwards
	duplicate    fault = "duplicate"     // the call takes effect twice, the second time late
	slowResponse fault = "slow response" // the call takes effect, the response arrives late
	refused      fault = "refused"       // the call certainly has no effect
	outage       fault = "outage"        // the key-value service is down for five seconds
	slow         fault = "slow"          // the key-value service is slow for five seconds
)

const (
	pauseTime = 10 * time.Second
	// lateDelay exceeds CallTimeout and CommitTimeout together, but not ForwardTimeout.
	lateDelay = 1700 * time.Millisecond
)

var errLost = errors.New("response lost")

// cluster simulates entries, a sidecar and its backend server, and checks at-most-once execution and the
// outcomes that callers receive.
type cluster struct {
	settings once.Settings
	store    *kv.Store

	mu      sync.Mutex
	entries []*entry
	sidecar *sidecar
	// viewsDisagree means that each entry sees only itself as owner.
	viewsDisagree bool
	// refusalsLeft is the number of further attempts that the sidecar refuses as not run.
	refusalsLeft int

	lastID     int
	runsByKey  map[string][]string // IDs of the requests that the backend server ran, by key
	notRun     map[string]bool     // IDs of the requests whose caller was told "not run"
	injected   int
	violations []string
}

// entry is one entry process. The calls at a step consume the faults of this step in order.
type entry struct {
	c         *cluster
	id        string
	router    *once.Router
	committer *once.Committer

	mu     sync.Mutex
	dead   bool
	faults map[string][]fault
}

type sidecar struct {
	incarnation string
	exec        *once.AttemptTable
}

func newCluster(entries int, settings once.Settings) *cluster {
	c := &cluster{settings: settings, store: kv.NewStore(kv.Limits{}), runsByKey: map[string][]string{}, notRun: map[string]bool{}}
	c.replaceSidecar()
	for i := range entries {
		c.entries = append(c.entries, nil)
		c.replaceEntry(i)
	}
	return c
}

func (c *cluster) nextID(prefix string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("%s-%d", prefix, c.lastID)
}

func (c *cluster) replaceSidecar() {
	id := c.nextID("incarnation")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sidecar = &sidecar{id, once.NewAttemptTable(id, once.DefaultAttemptTableSettings())}
}

// replaceEntry kills the entry at position i, if there is one, and starts another one in its place.
func (c *cluster) replaceEntry(i int) {
	if c.entries[i] != nil {
		c.entries[i].kill()
	}
	e := &entry{c: c, id: c.nextID("entry"), faults: map[string][]fault{}}
	committer, err := once.NewCommitter(entryKV{c.store, e}, c.settings, discardLogger())
	if err != nil {
		panic(err)
	}
	e.committer = committer
	e.router = once.NewRouter(e.id, e.view, e, committer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[i] = e
}

// snapshot returns the current processes, and whether their ownership views disagree.
func (c *cluster) snapshot() (entries []*entry, s *sidecar, viewsDisagree bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.entries), c.sidecar, c.viewsDisagree
}

// setDisagree sets whether each entry sees only itself as owner, or all entries share one view.
func (c *cluster) setViewsDisagree(viewsDisagree bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.viewsDisagree = viewsDisagree
}

func (c *cluster) setRefusals(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusalsLeft = n
}

// view returns the instance list of an entry: all entries, or only itself if the views disagree.
func (e *entry) view() []external.Instance {
	var list []external.Instance
	all, _, viewsDisagree := e.c.snapshot()
	for _, o := range all {
		if !viewsDisagree || o == e {
			list = append(list, external.Instance{ID: o.id, Role: external.RoleEntry, State: external.InstanceLive})
		}
	}
	return list
}

func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
}

func (e *entry) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

func (e *entry) inject(step string, f ...fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults[step] = append(e.faults[step], f...)
}

func (e *entry) nextFault(step string) fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	fs := e.faults[step]
	if len(fs) == 0 {
		return ""
	}
	e.faults[step] = fs[1:]
	return fs[0]
}

// call runs effect with the next fault of its step. It returns errNoEffect if the effect certainly did not
// happen, and errUnknown if the caller cannot tell.
func (e *entry) call(ctx context.Context, step string, errNoEffect, errUnknown error, effect func(context.Context) error) error {
	f := e.nextFault(step)
	if f != "" {
		e.c.mu.Lock()
		e.c.injected++
		e.c.mu.Unlock()
	}
	switch f {
	case killBefore:
		e.kill()
	case pause:
		time.Sleep(pauseTime)
		ctx = context.WithoutCancel(ctx)
	case refused:
		return errNoEffect
	case lostRequest:
		return errUnknown
	case outage:
		e.c.degrade(kv.FaultState{Down: true})
	case slow:
		e.c.degrade(kv.FaultState{SlowMS: 900})
	case late, duplicate:
		go func() {
			time.Sleep(lateDelay)
			_ = effect(context.WithoutCancel(ctx))
		}()
		if f == late {
			return errUnknown
		}
	}
	if e.isDead() {
		return errNoEffect
	}
	err := effect(ctx)
	switch {
	case f == killAfter:
		e.kill()
		return errUnknown
	case f == lostResponse:
		return errUnknown
	case f == slowResponse:
		time.Sleep(lateDelay)
	case e.isDead():
		return errUnknown
	}
	return err
}

// degrade applies a fault to the key-value service for five seconds.
func (c *cluster) degrade(s kv.FaultState) {
	c.store.Faults().Set(s)
	time.AfterFunc(5*time.Second, func() { c.store.Faults().Set(kv.FaultState{}) })
}

// entryKV is one entry's client of the key-value service, with fault injection.
type entryKV struct {
	*kv.Store
	e *entry
}

// stepOf returns the name of the protocol step for a call with this key, for example "open.swap". The
// steps of sealed records are called "segment".
func stepOf(key, call string) string {
	switch parts := strings.Split(key, "/"); {
	case parts[2] == "layout":
		return "layout." + call
	case len(parts) == 3:
		return "open." + call
	}
	return "segment." + call
}

func (k entryKV) Get(ctx context.Context, key string) (e external.KVEntry, err error) {
	err = k.e.call(ctx, stepOf(key, "get"), external.ErrUnavailable, external.ErrUnavailable, func(ctx context.Context) error {
		time.Sleep(kvLatency)
		var err error
		e, err = k.Store.Get(ctx, key)
		return err
	})
	return e, err
}

func (k entryKV) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, l external.LeaseID) (v uint64, err error) {
	err = k.e.call(ctx, stepOf(key, "swap"), external.ErrUnavailable, external.ErrOutcomeUnknown, func(ctx context.Context) error {
		time.Sleep(kvLatency)
		n, err := k.Store.CompareAndSwap(ctx, key, expected, value, l)
		v = n
		return err
	})
	return v, err
}

func (k entryKV) Delete(ctx context.Context, key string, expected uint64) error {
	return k.e.call(ctx, "segment.delete", external.ErrUnavailable, external.ErrOutcomeUnknown, func(ctx context.Context) error {
		return k.Store.Delete(ctx, key, expected)
	})
}

// Forward implements once.Forwarder by direct calls of the other entry's committer.
func (e *entry) Forward(ctx context.Context, to external.Instance, r once.Request) (once.Result, error) {
	done := make(chan once.Result, 2)
	err := e.call(ctx, "forward", once.ErrNotSent, errLost, func(ctx context.Context) error {
		all, _, _ := e.c.snapshot()
		for _, o := range all {
			if o.id == to.ID && !o.isDead() {
				res := o.committer.Do(ctx, r)
				if o.isDead() {
					return errLost
				}
				done <- res
				return nil
			}
		}
		return once.ErrNotSent
	})
	if err != nil {
		return once.Result{}, err
	}
	return <-done, nil
}

// outcome is the outcome that a caller receives.
type outcome struct {
	state  string // "answer", "not run", "unknown"
	answer string
}

// serve handles a request with an idempotency key, as an entry does.
func (e *entry) serve(ctx context.Context, key string, fingerprint uint64) outcome {
	id := e.c.nextID("request")
	o := e.claimAndRun(ctx, key, id, fingerprint)
	if e.isDead() {
		return outcome{state: "unknown"}
	}
	if o.state == "not run" {
		e.c.mu.Lock()
		e.c.notRun[id] = true
		e.c.mu.Unlock()
	}
	return o
}

// claimAndRun claims the key, dispatches up to two attempts, and then completes or releases the claim.
func (e *entry) claimAndRun(ctx context.Context, key, id string, fingerprint uint64) outcome {
	r := once.Request{Service: service, Key: key, RequestID: id, Action: once.ActionClaim, Fingerprint: fingerprint}
	res := e.router.Do(ctx, r)
	switch res.State {
	case once.StateGranted:
	case once.StateComplete:
		return outcome{"answer", string(res.Answer.Body)}
	case once.StateUnavailable, once.StateExpired, once.StateMismatch:
		return outcome{state: "not run"}
	default:
		return outcome{state: "unknown"}
	}
	for attempt := uint32(1); attempt <= 2; attempt++ {
		switch o := e.dispatch(ctx, key, id, attempt); o.state {
		case "answer":
			r.Action, r.Answer = once.ActionComplete, once.Answer{Status: 200, Body: []byte(o.answer)}
			go e.router.Do(context.WithoutCancel(ctx), r)
			return o
		case "unknown":
			return o
		}
	}
	r.Action = once.ActionRelease
	e.router.Do(context.WithoutCancel(ctx), r)
	return outcome{state: "not run"}
}

var errNotRun = errors.New("not run")

// dispatch sends one attempt to the sidecar.
func (e *entry) dispatch(ctx context.Context, key, id string, attempt uint32) outcome {
	_, target, _ := e.c.snapshot()
	a := once.Attempt{RequestID: id, Number: attempt, Incarnation: target.incarnation}
	answer := make(chan string, 2)
	err := e.call(ctx, "dispatch", errNotRun, errLost, func(context.Context) error {
		_, s, _ := e.c.snapshot()
		if d := s.exec.Begin(time.Now(), a); d != once.Run {
			if d.NotRun() {
				return errNotRun
			}
			return errLost
		}
		if e.c.takeRefusal() {
			s.exec.End(time.Now(), a, false)
			return errNotRun
		}
		time.Sleep(5 * time.Millisecond)
		e.c.recordRun(key, id)
		s.exec.End(time.Now(), a, true)
		answer <- "answer of " + id
		return nil
	})
	switch {
	case errors.Is(err, errNotRun):
		return outcome{state: "not run"}
	case err != nil:
		return outcome{state: "unknown"}
	}
	return outcome{"answer", <-answer}
}

func (c *cluster) takeRefusal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusalsLeft == 0 {
		return false
	}
	c.refusalsLeft--
	return true
}

// recordRun records that the backend server ran a request.
func (c *cluster) recordRun(key, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runsByKey[key] = append(c.runsByKey[key], id)
}

// check returns the violations found so far: keys that ran more than once, requests that ran although
// their caller was told "not run", and wrong answers.
func (c *cluster) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.violations
	for key, ids := range c.runsByKey {
		if len(ids) > 1 {
			v = append(v, fmt.Sprintf("key %s ran %d times: %v", key, len(ids), ids))
		}
		for _, id := range ids {
			if c.notRun[id] {
				v = append(v, fmt.Sprintf("request %s ran although its caller was told not run", id))
			}
		}
	}
	return v
}

// checkAnswer checks that an answer comes from the first run of its key.
func (c *cluster) checkAnswer(key string, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.state != "answer" {
		return
	}
	if ids := c.runsByKey[key]; len(ids) == 0 || o.answer != "answer of "+ids[0] {
		c.violations = append(c.violations, fmt.Sprintf("key %s: caller got %q, runs %v", key, o.answer, ids))
	}
}

// settle waits until delayed calls and queued requests have ended.
func settle() { time.Sleep(30 * time.Second) }

// ctxFor returns a context that ends after d.
func ctxFor(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d, cancel)
	return ctx
}
