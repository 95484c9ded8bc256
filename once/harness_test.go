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

// fault is what happens to one call at one step.
type fault string

const (
	killBefore   fault = "kill before"
	killAfter    fault = "kill after"
	pause        fault = "pause"         // the process sleeps past every deadline, then the call proceeds
	lostResponse fault = "lost response" // the call takes effect, the response does not arrive
	lostRequest  fault = "lost request"  // the call has no effect, which the caller cannot know
	late         fault = "late"          // the caller gives up, the call takes effect afterwards
	duplicate    fault = "duplicate"     // the call takes effect twice, the second time late
	slowResponse fault = "slow response" // the call takes effect, the response arrives late
	refused      fault = "refused"       // the call certainly has no effect
	outage       fault = "outage"        // the key-value service is down for five seconds
	slow         fault = "slow"          // the key-value service is slow for five seconds
)

const (
	pauseTime = 10 * time.Second
	lateTime  = 1700 * time.Millisecond
)

var errLost = errors.New("response lost")

// cluster is a fleet of entries, sidecars and one backend server, with the model that checks them.
type cluster struct {
	set   once.Settings
	store *kv.Store

	mu       sync.Mutex
	entries  []*entry
	sidecar  *sidecar
	disagree bool
	// refuseAttempts makes the sidecar refuse that many attempts as not run.
	refuseAttempts int

	ids        int
	runsByKey  map[string][]string
	notRun     map[string]bool
	fired      int
	violations []string
}

// entry is one entry process. Its faults are taken in order by the calls at their step.
type entry struct {
	c      *cluster
	id     string
	router *once.Router
	commit *once.Committer

	mu     sync.Mutex
	dead   bool
	faults map[string][]fault
}

type sidecar struct {
	incarnation string
	exec        *once.Executor
}

func newCluster(entries int, set once.Settings) *cluster {
	c := &cluster{set: set, store: kv.NewStore(kv.Limits{}), runsByKey: map[string][]string{}, notRun: map[string]bool{}}
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
	c.ids++
	return fmt.Sprintf("%s-%d", prefix, c.ids)
}

func (c *cluster) replaceSidecar() {
	id := c.nextID("incarnation")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sidecar = &sidecar{id, once.NewExecutor(id, once.DefaultExecutorSettings())}
}

// replaceEntry kills an entry and starts another one in its slot.
func (c *cluster) replaceEntry(i int) {
	if c.entries[i] != nil {
		c.entries[i].kill()
	}
	e := &entry{c: c, id: c.nextID("entry"), faults: map[string][]fault{}}
	commit, err := once.NewCommitter(entryKV{c.store, e}, c.set, silentLog())
	if err != nil {
		panic(err)
	}
	e.commit = commit
	e.router = once.NewRouter(e.id, e.view, e, commit)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[i] = e
}

// present returns the processes that are in place.
func (c *cluster) present() (entries []*entry, s *sidecar, disagree bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.entries), c.sidecar, c.disagree
}

// setDisagree switches between ownership views that agree and views that name only oneself.
func (c *cluster) setDisagree(disagree bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disagree = disagree
}

func (c *cluster) setRefusals(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseAttempts = n
}

// view is the instance list of an entry. With disagreement each entry sees only itself.
func (e *entry) view() []external.Instance {
	var list []external.Instance
	all, _, disagree := e.c.present()
	for _, o := range all {
		if !disagree || o == e {
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

// call performs an effect under the next fault of its step. errBefore is what the caller gets when
// the effect certainly did not happen, errUnknown when it cannot know.
func (e *entry) call(ctx context.Context, step string, errBefore, errUnknown error, effect func(context.Context) error) error {
	f := e.nextFault(step)
	if f != "" {
		e.c.mu.Lock()
		e.c.fired++
		e.c.mu.Unlock()
	}
	switch f {
	case killBefore:
		e.kill()
	case pause:
		time.Sleep(pauseTime)
		ctx = context.WithoutCancel(ctx)
	case refused:
		return errBefore
	case lostRequest:
		return errUnknown
	case outage:
		e.c.degrade(kv.FaultState{Down: true})
	case slow:
		e.c.degrade(kv.FaultState{SlowMS: 900})
	case late, duplicate:
		go func() {
			time.Sleep(lateTime)
			_ = effect(context.WithoutCancel(ctx))
		}()
		if f == late {
			return errUnknown
		}
	}
	if e.isDead() {
		return errBefore
	}
	err := effect(ctx)
	switch {
	case f == killAfter:
		e.kill()
		return errUnknown
	case f == lostResponse:
		return errUnknown
	case f == slowResponse:
		time.Sleep(lateTime)
	case e.isDead():
		return errUnknown
	}
	return err
}

// degrade puts a fault of the key-value service in force for five seconds.
func (c *cluster) degrade(s kv.FaultState) {
	c.store.Faults().Set(s)
	time.AfterFunc(5*time.Second, func() { c.store.Faults().Set(kv.FaultState{}) })
}

// entryKV is the key-value service as one entry reaches it.
type entryKV struct {
	*kv.Store
	e *entry
}

// stepOf names the protocol step of a key, for example "open.swap".
func stepOf(key, call string) string {
	switch parts := strings.Split(key, "/"); {
	case parts[2] == "layout":
		return "layout." + call
	case len(parts) == 3:
		return "open." + call
	}
	return "segment." + call
}

func (k entryKV) Get(ctx context.Context, key string) (e external.Entry, err error) {
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

// Forward implements once.Forwarder over direct calls.
func (e *entry) Forward(ctx context.Context, to external.Instance, r once.Request) (once.Result, error) {
	done := make(chan once.Result, 2)
	err := e.call(ctx, "forward", once.ErrNotSent, errLost, func(ctx context.Context) error {
		all, _, _ := e.c.present()
		for _, o := range all {
			if o.id == to.ID && !o.isDead() {
				res := o.commit.Do(ctx, r)
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

// outcome is what a caller is told.
type outcome struct {
	state  string // "answer", "not run", "unknown"
	answer string
}

// serve is an entry's handling of a keyed request.
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
	_, meant, _ := e.c.present()
	a := once.Attempt{RequestID: id, Number: attempt, Incarnation: meant.incarnation}
	answer := make(chan string, 2)
	err := e.call(ctx, "dispatch", errNotRun, errLost, func(context.Context) error {
		_, s, _ := e.c.present()
		if d := s.exec.Begin(time.Now(), a); d != once.Run {
			if d.NotRun() {
				return errNotRun
			}
			return errLost
		}
		if e.c.refuse() {
			s.exec.End(time.Now(), a, false)
			return errNotRun
		}
		time.Sleep(5 * time.Millisecond)
		e.c.ran(key, id)
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

func (c *cluster) refuse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuseAttempts == 0 {
		return false
	}
	c.refuseAttempts--
	return true
}

// ran is called by the backend server.
func (c *cluster) ran(key, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runsByKey[key] = append(c.runsByKey[key], id)
}

// check returns the violations of at-most-once and of "not run".
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

// observe checks an answer against what ran for its key.
func (c *cluster) observe(key string, o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.state != "answer" {
		return
	}
	if ids := c.runsByKey[key]; len(ids) == 0 || o.answer != "answer of "+ids[0] {
		c.violations = append(c.violations, fmt.Sprintf("key %s: caller got %q, runs %v", key, o.answer, ids))
	}
}

// settle waits until late calls and queued requests have ended.
func settle() { time.Sleep(30 * time.Second) }

// ctxFor returns a context that ends after d.
func ctxFor(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d, cancel)
	return ctx
}
