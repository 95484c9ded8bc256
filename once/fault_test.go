package once_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/faultmatrix"
	"github.com/quetzallug/quetzallug/once"
)

// faultCase is one case of the fault matrix: a protocol step and the faults of the calls at this step.
type faultCase struct {
	protocol string
	step     string
	faults   []fault
	// invariant names the invariants that the case checks. I5: a request whose caller is told "not run"
	// did not run. I6: a request that must not be repeated runs at most once.
	invariant string
	// replaceFleet restarts all entries and the sidecar after the first calls.
	replaceFleet bool
}

// faultCases combines each step of the claim protocol with each fault that applies to it: once, twice in
// succession, before and after a lost response, and followed by a restart of all processes.
func faultCases() []faultCase {
	kvFaults := []fault{killBefore, killAfter, pause, lostResponse, lostRequest, late, duplicate, slowResponse, refused, outage, slow}
	steps := map[string][]fault{
		"layout.get":   {killBefore, pause, refused, outage, slow},
		"layout.swap":  kvFaults,
		"open.get":     {killBefore, pause, refused, outage, slow},
		"open.swap":    kvFaults,
		"segment.get":  {killBefore, pause, refused, outage, slow},
		"segment.swap": kvFaults,
		"forward":      {killBefore, killAfter, pause, lostResponse, lostRequest, late, duplicate, slowResponse, refused},
		"dispatch":     {killBefore, killAfter, pause, lostResponse, late, duplicate, slowResponse, refused},
	}
	order := []string{"layout.get", "layout.swap", "open.get", "open.swap", "segment.get", "segment.swap", "forward", "dispatch"}
	var cases []faultCase
	for _, step := range order {
		for _, f := range steps[step] {
			cases = append(cases,
				faultCase{protocol: "once", step: step, faults: []fault{f}, invariant: "I5, I6"},
				faultCase{protocol: "once", step: step, faults: []fault{f, f}, invariant: "I5, I6"},
				faultCase{protocol: "once", step: step, faults: []fault{f, lostResponse}, invariant: "I5, I6"},
				faultCase{protocol: "once", step: step, faults: []fault{lostResponse, f}, invariant: "I5, I6"},
				faultCase{protocol: "once", step: step, faults: []fault{f}, invariant: "I5, I6", replaceFleet: true},
			)
		}
	}
	return cases
}

func testSettings() once.Settings {
	settings := once.DefaultSettings()
	settings.Shards = 1
	// The open record is sealed after three to six small claims, so that each scenario includes a
	// rotation.
	settings.RotateBytes = 200
	return settings
}

// cell returns the case's cell of the fault matrix. The second fault of a pair applies to the next call
// at the step.
func (fc *faultCase) cell() faultmatrix.Cell {
	c := faultmatrix.Cell{Protocol: fc.protocol, Step: fc.step, Invariant: fc.invariant}
	for _, f := range fc.faults {
		c.Faults = append(c.Faults, string(f))
	}
	if fc.replaceFleet {
		c.Faults = append(c.Faults, "fleet replaced")
	}
	return c
}

// Guards against a request that runs twice, or runs although its caller was told "not run", under every
// fault at every step.
func TestFaultMatrix(t *testing.T) {
	r := faultmatrix.NewRegistry()
	t.Cleanup(func() { r.Report(t) })
	seen := map[string]bool{}
	for _, fc := range faultCases() {
		c := fc.cell()
		if seen[c.Name()] {
			continue // the pair of two lost responses is generated more than once
		}
		seen[c.Name()] = true
		r.Declare(c)
		r.Run(t, c, func(t *testing.T) { runCase(t, fc) })
	}
}

func runCase(t *testing.T, fc faultCase) {
	keys := map[string]func() string{
		"plain key":        func() string { return "pump-7-open" },
		"time-ordered key": func() string { return uuidAt(time.Now(), 1) },
	}
	injected := 0
	for _, entries := range []int{2, 3} {
		for _, viewsDisagree := range []bool{false, true} {
			for kind, key := range keys {
				name := fmt.Sprintf("%s/%v/fleet %v/%d entries/disagree %v/%s", fc.step, fc.faults, fc.replaceFleet, entries, viewsDisagree, kind)
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(entries, testSettings())
					c.setViewsDisagree(viewsDisagree)
					runScenario(c, fc, key())
					require.Empty(t, c.check(), "%s: invariant %s", name, fc.invariant)
					injected += c.injected
					requireUsable(t, c, name)
				})
			}
		}
	}
	require.Positive(t, injected, "%s/%v: the fault was never injected", fc.step, fc.faults)
}

// runScenario sends one key through all entries concurrently while faults are injected into the first
// entry (into all entries at the steps forward and dispatch), adds claims until the record rotates, and
// then repeats the calls as a retrying caller would.
func runScenario(c *cluster, fc faultCase, key string) {
	// Not for the layout steps: an entry makes their calls only until it has read the layout.
	if fc.step[:2] != "la" {
		for i, e := range c.entries {
			e.serve(ctxFor(5*time.Second), fmt.Sprintf("filler-%d", i), 1)
		}
	}
	for _, e := range c.entries {
		e.inject(fc.step, fc.faults...)
		if fc.step == "forward" || fc.step == "dispatch" {
			continue
		}
		break
	}
	c.setRefusals(1)
	c.serveAll(key)
	if fc.replaceFleet {
		for i := range c.entries {
			c.replaceEntry(i)
		}
		c.replaceSidecar()
		c.serveAll(key)
	}
	for i := range 8 {
		c.entries[i%len(c.entries)].serve(ctxFor(5*time.Second), fmt.Sprintf("more-%d", i), 1)
	}
	c.serveAll(key)
	settle()
	c.serveAll(key)
	settle()
}

// serveAll sends the key through all entries concurrently. Each entry starts 1 ms after the previous one,
// so that the write of the first one, into which faults are injected, is in progress when the others
// read the record.
func (c *cluster) serveAll(key string) {
	var wg sync.WaitGroup
	all, _, _ := c.snapshot()
	for _, e := range all {
		time.Sleep(time.Millisecond)
		wg.Go(func() { c.checkAnswer(key, e.serve(ctxFor(5*time.Second), key, 7)) })
	}
	wg.Wait()
}

// requireUsable checks that the shard accepts claims and replays answers after the faults have ended.
func requireUsable(t *testing.T, c *cluster, name string) {
	t.Helper()
	c.setRefusals(0)
	for i, e := range c.entries {
		e.mu.Lock()
		e.faults = map[string][]fault{}
		e.mu.Unlock()
		if e.isDead() {
			continue
		}
		key := fmt.Sprintf("after-%d", i)
		o := e.serve(ctxFor(10*time.Second), key, 1)
		require.Equal(t, "answer", o.state, "%s: %s", name, e.id)
		settle()
		require.Equal(t, o, e.serve(ctxFor(10*time.Second), key, 1), "%s: replay", name)
	}
}

// uuidAt returns a UUIDv7 with the given timestamp and last byte.
func uuidAt(at time.Time, n byte) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}
