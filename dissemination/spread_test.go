package dissemination

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/faultmatrix"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// maxPropagation is the time within which an accepted document must be active in every process.
const maxPropagation = 8 * time.Second

// scenarios are faults that occur at the moment when a document is accepted. The instance list does
// not change, as if it had not been updated yet.
var scenarios = map[string]func(f *fleet){
	"no fault":                   func(*fleet) {},
	"one relay killed":           func(f *fleet) { f.relays()[0].kill() },
	"one relay hung":             func(f *fleet) { f.relays()[0].hung.Store(true) },
	"both relays of one killed":  func(f *fleet) { forRelaysOfOneDataCentre(f, (*proc).kill) },
	"both relays of one hung":    func(f *fleet) { forRelaysOfOneDataCentre(f, func(p *proc) { p.hung.Store(true) }) },
	"one relay of each hung":     func(f *fleet) { forOneRelayPerDataCentre(f, func(p *proc) { p.hung.Store(true) }) },
	"both relays of one cut off": func(f *fleet) { forRelaysOfOneDataCentre(f, func(p *proc) { p.cutOff.Store(true) }) },
	"one relay of each cut off":  func(f *fleet) { forOneRelayPerDataCentre(f, func(p *proc) { p.cutOff.Store(true) }) },
	"key-value service restarts": func(f *fleet) {
		f.kv.Faults().Set(kv.FaultState{Down: true})
		time.AfterFunc(2*time.Second, func() { f.kv.Faults().Set(kv.FaultState{}) })
	},
	"key-value service slow":      func(f *fleet) { f.kv.Faults().Set(kv.FaultState{SlowMS: 800}) },
	"key-value service very slow": func(f *fleet) { f.kv.Faults().Set(kv.FaultState{SlowMS: 2500}) },
	"a third of the entries hung": func(f *fleet) {
		n := 0
		f.each(func(p *proc) {
			if n++; p.inst.Role == external.RoleEntry && n%3 == 0 {
				p.hung.Store(true)
			}
		})
	},
}

func forRelaysOfOneDataCentre(f *fleet, do func(*proc)) {
	for _, p := range f.relays() {
		if p.inst.DataCentre == "dc-0" {
			do(p)
		}
	}
}

func forOneRelayPerDataCentre(f *fleet, do func(*proc)) {
	for i, p := range f.relays() {
		if i%RelaysPerDataCentre == 0 {
			do(p)
		}
	}
}

// Guards against processes that get an accepted document late or never when relays, entries or the
// key-value service fail at that moment. The faults persist when a second document is accepted:
// processes must have detected them without a change of the documents.
func TestInForceWithinBound(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	for name, fault := range scenarios {
		c := faultmatrix.Cell{Protocol: "dissemination", Step: "spread", Faults: []string{name}, Invariant: "I9"}
		r.Declare(c)
		r.Run(t, c, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := runScenario(t, newFleet(t, 3, 20, 80), fault)
				t.Logf("%s: active in every process after %v, second change after %v", name, first, second)
			})
		})
	}
}

func runScenario(t *testing.T, f *fleet, fault func(*fleet)) (first, second time.Duration) {
	f.apply(0, testBody(1))
	f.startAll()
	_, behind := f.awaitRevision(1, maxPropagation)
	require.Empty(t, behind, "start")
	time.Sleep(time.Minute)
	require.Len(t, f.relays(), 6)
	f.apply(1, testBody(2))
	fault(f)
	first, behind = f.awaitRevision(2, maxPropagation)
	require.Empty(t, behind)
	time.Sleep(30 * time.Second)
	// If the service is slower than the health check's timeout, no process is in contact with it.
	reachable := time.Duration(f.kv.Faults().Get().SlowMS)*time.Millisecond < healthTimeout
	f.each(func(p *proc) {
		if reachable && p.ctx.Err() == nil && !p.hung.Load() && !p.cutOff.Load() {
			require.True(t, p.store.InContact(), "%s keeps polling a source that has no contact with the key-value service", p.inst.ID)
		}
	})
	f.apply(2, testBody(3))
	second, behind = f.awaitRevision(3, maxPropagation)
	require.Empty(t, behind, "second change")
	return first, second
}

// Guards against a load on the key-value service that grows with the number of processes: without
// changes, with changes, and after all processes start at once.
func TestKeyValueServiceLoad(t *testing.T) {
	idleCalls := map[int]kv.Calls{}
	for _, sidecars := range []int{10, 80} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3, 20, sidecars)
			f.apply(0, testBody(1))
			before := f.kv.Calls()
			f.startAll()
			took, behind := f.awaitRevision(1, maxPropagation)
			require.Empty(t, behind)
			time.Sleep(10 * time.Second)
			start := callsSince(f.kv.Calls(), before)
			t.Logf("%d processes: start: active after %v, calls in the first 10 s: %+v", len(f.list), took, start)

			before = f.kv.Calls()
			fetches := f.fetches()
			time.Sleep(time.Minute)
			idle := callsSince(f.kv.Calls(), before)
			total, most := f.fetchesSince(fetches)
			t.Logf("%d processes: 60 s without changes: %+v; fetches served: %d in total, %d by the busiest process", len(f.list), idle, total, most)

			before = f.kv.Calls()
			for i := range uint64(10) {
				f.apply(i+1, testBody(int(i)+2))
				_, behind := f.awaitRevision(i+2, maxPropagation)
				require.Empty(t, behind)
			}
			change := callsSince(f.kv.Calls(), before)
			t.Logf("%d processes: 10 changes in a row: %+v", len(f.list), change)
			require.LessOrEqual(t, change.Watches, uint64(10*6+6), "one watch per relay and change, and one more per relay")

			before = f.kv.Calls()
			f.kv.Faults().Set(kv.FaultState{Down: true})
			f.each((*proc).kill)
			f.startAll()
			time.Sleep(20 * time.Second)
			direct := uint64(0)
			f.each(func(p *proc) { direct += p.agent.direct.reads.Load() })
			t.Logf("%d processes: direct reads attempted in the 20 s of the outage: %d", len(f.list), direct)
			require.LessOrEqual(t, direct, uint64(len(f.list)+20*20), "one per process, then 20 per second in total")
			f.kv.Faults().Set(kv.FaultState{})
			took, behind = f.awaitRevision(11, maxPropagation)
			require.Empty(t, behind)
			time.Sleep(10 * time.Second)
			restart := callsSince(f.kv.Calls(), before)
			t.Logf("%d processes: restart of all during an outage of 20 s: active %v after its end; calls: %+v", len(f.list), took, restart)
			require.Zero(t, restart.Rejected)
			idleCalls[sidecars] = idle
		})
	}
	require.InDelta(t, idleCalls[10].Reads, idleCalls[80].Reads, 60, "reads without changes")
	require.InDelta(t, idleCalls[10].Watches, idleCalls[80].Watches, 12, "watches without changes")
}

func callsSince(now, before kv.Calls) kv.Calls {
	return kv.Calls{Reads: now.Reads - before.Reads, Writes: now.Writes - before.Writes, Watches: now.Watches - before.Watches, Rejected: now.Rejected - before.Rejected}
}

func (f *fleet) fetches() map[string]int64 {
	served := map[string]int64{}
	f.each(func(p *proc) { served[p.inst.ID] = p.served.Load() })
	return served
}

func (f *fleet) fetchesSince(before map[string]int64) (total, most int64) {
	for id, n := range f.fetches() {
		total += n - before[id]
		most = max(most, n-before[id])
	}
	return total, most
}

// Guards against processes that start during an outage of the key-value service and keep an old
// document although a peer has a newer one, and against processes that report themselves as confirmed
// without having read the key-value service or a peer in contact with it.
func TestStartDuringOutage(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	c := faultmatrix.Cell{Protocol: "dissemination", Step: "start", Faults: []string{"key-value service down"}, Invariant: "I9"}
	r.Declare(c)
	r.Run(t, c, func(t *testing.T) { synctest.Test(t, startDuringOutage) })
}

func startDuringOutage(t *testing.T) {
	f := newFleet(t, 3, 6, 6)
	f.apply(0, testBody(1))
	f.startAll()
	_, behind := f.awaitRevision(1, maxPropagation)
	require.Empty(t, behind)
	// Half of the entries are stopped and miss the second document.
	n := 0
	f.each(func(p *proc) {
		if n++; p.inst.Role == external.RoleEntry && n%2 == 0 {
			p.kill()
		}
	})
	f.apply(1, testBody(2))
	_, behind = f.awaitRevision(2, maxPropagation)
	require.Empty(t, behind)
	f.kv.Faults().Set(kv.FaultState{Down: true})
	n = 0
	var started []*proc
	f.each(func(p *proc) {
		if p.ctx.Err() != nil {
			started = append(started, f.start(p.inst, testDocument(1)))
		}
	})
	time.Sleep(time.Minute)
	for _, in := range f.list {
		p := f.proc(in.ID)
		if slices.Contains(started, p) {
			continue
		}
		p.kill()
		p = f.start(in)
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 2, p.revision(), in.ID)
		require.False(t, p.store.Confirmed(), in.ID)
		select {
		case <-p.store.Ready():
		default:
			t.Fatalf("%s is not ready", in.ID)
		}
	}
	f.kv.Faults().Set(kv.FaultState{})
	time.Sleep(maxPropagation)
	f.each(func(p *proc) {
		require.True(t, p.store.Confirmed(), p.inst.ID)
		require.EqualValues(t, 2, p.revision(), p.inst.ID)
	})
}
