package dissemination

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// step is one event of a random history. The pause follows the event.
type step struct {
	action string
	target int
	pause  time.Duration
}

var actions = []string{"apply", "apply", "kill", "restart", "restart", "hang", "wake", "cut off", "reconnect", "down", "up", "slow", "publish", "old peer"}

// Guards against a revision that decreases in any process, and against processes that do not converge
// after any sequence of kills, restarts, pauses, partitions and outages.
func TestRevisionsNeverGoBackProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				rapid.SampledFrom(actions).Draw(rt, "action"),
				rapid.IntRange(0, 17).Draw(rt, "target"),
				time.Duration(rapid.IntRange(0, 5000).Draw(rt, "pause")) * time.Millisecond,
			}
		}), 5, 40).Draw(rt, "steps")
		var failure error
		synctest.Test(t, func(t *testing.T) { failure = runHistory(t, steps) })
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func runHistory(t *testing.T, steps []step) error {
	f := newFleet(t, 2, 4, 5)
	revision := uint64(1)
	f.apply(0, testBody(1))
	f.startAll()
	for _, s := range steps {
		f.applyStep(s, &revision)
		time.Sleep(s.pause)
	}
	f.heal()
	// A process that has just lost all its sources may need a direct read, which is rate-limited.
	if _, behind := f.awaitRevision(revision, 2*maxPropagation); len(behind) > 0 {
		return fmt.Errorf("revision %d: behind after the faults ended: %v", revision, behind)
	}
	revision++
	f.apply(revision-1, testBody(int(revision)))
	if _, behind := f.awaitRevision(revision, maxPropagation); len(behind) > 0 {
		return fmt.Errorf("revision %d: behind after a change without faults: %v", revision, behind)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revisionErr
}

func (f *fleet) applyStep(s step, revision *uint64) {
	in := f.list[s.target%len(f.list)]
	p := f.proc(in.ID)
	switch s.action {
	case "apply":
		if f.kv.Faults().Get() == (kv.FaultState{}) {
			*revision++
			f.apply(*revision-1, testBody(int(*revision)))
		}
	case "kill":
		p.kill()
	case "restart":
		p.kill()
		f.start(in)
	case "hang":
		p.hung.Store(true)
	case "wake":
		p.hung.Store(false)
	case "cut off":
		p.cutOff.Store(true)
	case "reconnect":
		p.cutOff.Store(false)
	case "down":
		f.kv.Faults().Set(kv.FaultState{Down: true})
	case "slow":
		f.kv.Faults().Set(kv.FaultState{SlowMS: 500})
	case "up":
		f.kv.Faults().Set(kv.FaultState{})
	case "publish":
		var live []external.Instance
		for _, in := range f.list {
			if f.proc(in.ID).ctx.Err() == nil {
				live = append(live, in)
			}
		}
		f.publish(live)
	case "old peer": // as from a peer that is behind, or a malicious one
		p.store.Offer(testDocument(max(*revision, 2)-1), testDocument(1))
	}
}

func (f *fleet) heal() {
	f.kv.Faults().Set(kv.FaultState{})
	f.each(func(p *proc) {
		p.hung.Store(false)
		p.cutOff.Store(false)
		if p.ctx.Err() != nil {
			f.start(p.inst)
		}
	})
	f.publish(f.list)
}

// Guards against offers that lower a revision, whatever their order, and against an invalid document
// that replaces a valid one or whose revision is not recorded.
func TestStoreProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewStore()
		seen, valid := uint64(0), uint64(0)
		for range rapid.IntRange(1, 30).Draw(rt, "offers") {
			d := testDocument(rapid.Uint64Range(1, 20).Draw(rt, "revision"))
			switch d.Revision % 3 {
			case 0:
				d.Body = []byte("colour: red")
			case 1:
				d.Body, d.Deleted = nil, true
			}
			s.Offer(d)
			seen = max(seen, d.Revision)
			if d.Revision%3 != 0 {
				valid = max(valid, d.Revision)
			}
			got := s.Snapshot()[testService]
			if got.Revision != valid || got.HighestRevision() != seen || s.Revisions()[testService] != seen {
				rt.Fatalf("active %d, highest %d; want %d and %d", got.Revision, got.HighestRevision(), valid, seen)
			}
			if got.Revision != 0 && got.Deleted == (got.Parsed != nil) {
				rt.Fatal("a deleted service has a parsed document, or an existing one has none")
			}
		}
	})
}

// Guards against a document that only newer versions can parse and that stops a process of an older
// version from serving, also after that process restarts.
func TestInvalidDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rejections []Rejection
		s := NewStore(func(r Rejection) { rejections = append(rejections, r) })
		unparsable := Document{Service: testService, Revision: 5, Body: []byte("colour: red")}
		s.Offer(unparsable, testDocument(4))
		got := s.Snapshot().Service(testService)
		require.NotNil(t, got, "the valid document stays active")
		require.EqualValues(t, 4, got.Revision)
		require.NotNil(t, got.Parsed)
		require.NotEmpty(t, document.AsErrors(got.RefusedError))
		require.Len(t, rejections, 1)
		require.Equal(t, []Document{testDocument(4), unparsable}, s.NewerThan(nil), "both are sent to peers")
		require.Empty(t, s.NewerThan(s.Revisions()))

		f := newFleet(t, 1, 3, 2)
		f.apply(0, testBody(1))
		f.startAll()
		_, behind := f.awaitRevision(1, maxPropagation)
		require.Empty(t, behind)
		record, err := json.Marshal(registry.Record{Service: testService, Revision: 5, Body: unparsable.Body, WriteID: "newer"})
		require.NoError(t, err)
		_, err = f.kv.CompareAndSwap(f.ctx, registry.ConfigKey(testService), 1, record, 0)
		require.NoError(t, err)
		time.Sleep(maxPropagation)
		for i, in := range f.list {
			f.proc(in.ID).kill()
			f.each(func(p *proc) { p.hung.Store(i%2 == 0) })
			p := f.start(in, unparsable)
			time.Sleep(maxPropagation)
			f.each(func(p *proc) { p.hung.Store(false) })
			time.Sleep(2 * olderDocumentInterval)
			require.EqualValues(t, 1, p.revision(), in.ID)
			require.EqualValues(t, 5, p.store.Revisions()[testService])
		}
	})
}

// Guards against long polls that miss a document, or that do not return at once when their server loses
// contact with the key-value service.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore()
		s.confirmInContact()
		start := time.Now()
		wait := func() ([]Document, bool, time.Duration) {
			start = time.Now()
			docs, inContact, err := s.Wait(t.Context(), s.Revisions(), 3*time.Second)
			require.NoError(t, err)
			return docs, inContact, time.Since(start)
		}
		_, inContact, took := wait()
		require.True(t, inContact)
		require.Equal(t, 3*time.Second, took)
		time.AfterFunc(time.Second, func() { s.Offer(testDocument(1)) })
		docs, _, took := wait()
		require.Equal(t, []Document{testDocument(1)}, docs)
		require.Equal(t, time.Second, took)
		time.AfterFunc(time.Second, func() { s.setInContact(false) })
		_, inContact, took = wait()
		require.False(t, inContact)
		require.Equal(t, time.Second, took)
		require.True(t, s.Confirmed(), "lost contact does not undo the confirmation")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := s.Wait(ctx, s.Revisions(), time.Second)
		require.ErrorIs(t, err, context.Canceled)
	})
}

// Guards against two different documents with the same revision that are not reported.
func TestDivergentDocumentsAreReported(t *testing.T) {
	var rejections []Rejection
	s := NewStore(func(r Rejection) { rejections = append(rejections, r) })
	other := testDocument(1)
	other.Body = testBody(99)
	s.Offer(testDocument(1))
	s.Offer(testDocument(1))
	require.Empty(t, rejections)
	s.Offer(other)
	require.ErrorIs(t, rejections[0].Err, errConflictingDocuments)
	require.Equal(t, testDocument(1).Body, s.Snapshot()[testService].Body)
}

// Guards against a process that keeps an old document because its source receives no changes, although
// a newer revision has been observed, and against an unlimited number of polls triggered by
// forged revisions.
func TestObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4, 2)
		f.apply(0, testBody(1))
		f.startAll()
		time.Sleep(20 * time.Second)
		p := f.proc("sidecar-0-0")
		// The preferred source reports that it is in contact, but its agent no longer runs.
		src := f.proc(p.agent.Plan().Sources[0].ID)
		src.kill()
		src = f.start(src.inst)
		src.kill()
		src.store.Offer(testDocument(1))
		src.store.confirmInContact()
		var cancel func()
		src.ctx, cancel = f.ctx, func() {}
		src.cancel = cancel
		time.Sleep(2 * time.Minute) // p returns to its preferred source
		f.apply(1, testBody(2))
		time.Sleep(2 * PollWait)
		require.EqualValues(t, 1, p.revision())
		p.agent.Observe(testService, 2)
		time.Sleep(time.Second)
		require.EqualValues(t, 2, p.revision())

		before := f.fetches()
		reads := f.kv.Calls().Reads
		for i := range uint64(10_000) {
			p.agent.Observe(testService, 1<<40+i)
			p.agent.Observe("forged", i+1)
			time.Sleep(3 * time.Millisecond)
			if i == 5000 {
				f.apply(2, testBody(3))
			}
		}
		require.EqualValues(t, 3, p.revision(), "forged revisions must not delay a real one")
		total, _ := f.fetchesSince(before)
		require.Less(t, total, int64(600))
		t.Logf("20,000 forged revisions in 30 s: %d fetches in all processes, %d reads of the key-value service", total, f.kv.Calls().Reads-reads)
	})
}

// Guards against processes that choose different relays from the same list, and against processes
// without sources after the loss of one data centre.
func TestRole(t *testing.T) {
	var list []external.Instance
	for i := range 340 {
		list = append(list, external.Instance{ID: fmt.Sprintf("e%d", i), Role: external.RoleEntry, DataCentre: fmt.Sprint(i % 5)})
	}
	for i := range 640 {
		list = append(list, external.Instance{ID: fmt.Sprintf("s%d", i), Role: external.RoleSidecar, DataCentre: fmt.Sprint(i % 5)})
	}
	relays, pollers := map[string]bool{}, map[string]int{}
	for _, in := range list {
		if plan := NewPlan(list, in); plan.Relay {
			relays[in.ID] = true
		} else {
			pollers[plan.Sources[0].ID]++
			require.Equal(t, in.DataCentre, plan.Sources[0].DataCentre)
			require.NotEqual(t, in.DataCentre, plan.Sources[len(plan.Sources)-1].DataCentre)
			require.LessOrEqual(t, len(plan.Sources), maxSources)
		}
	}
	require.Len(t, relays, 5*RelaysPerDataCentre)
	maxPollers := slices.Max(slices.Collect(maps.Values(pollers)))
	t.Logf("most processes with the same preferred source: %d", maxPollers)
	require.Less(t, maxPollers, 60)
	for i := range list {
		if relays[list[i].ID] {
			list[i].State = external.InstanceLeaving
		}
	}
	for id := range relays {
		self := list[slices.IndexFunc(list, func(in external.Instance) bool { return in.ID == id })]
		require.False(t, NewPlan(list, self).Relay, "a leaving entry is no relay while others are live")
	}
	require.Empty(t, NewPlan(nil, list[0]).Sources)
}
