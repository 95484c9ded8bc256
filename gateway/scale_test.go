package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
)

// newFleet returns n engines in three data centres, a quarter of them prefill engines.
func newFleet(n int) []*Server {
	out := make([]*Server, n)
	for i := range out {
		role := external.EngineRoleDecode
		if i%4 == 0 {
			role = external.EngineRolePrefill
		}
		out[i] = newServer(fmt.Sprintf("i-%d", i), role)
		out[i].DataCentre = fmt.Sprintf("z%d", i%3)
	}
	return out
}

// Guards against a choice whose cost is quadratic in the number of engines: with 3,000 engines,
// scanning all decode engines for each prefill engine takes one gateway instance a second.
func TestChoiceLooksAtEachServerOncePerDataCentre(t *testing.T) {
	servers := newFleet(300)
	vs := views(servers)
	p := newPromptRequest(PromptPart{1, 2500}, PromptPart{2, 3500}, PromptPart{3, 3000})
	p.dataCentre = "z1"
	d := newDecodeSelector(servers, vs, p.dataCentre, rand.Float64)
	c := choosePrompt(servers, vs, make([]float64, len(servers)), p, testEstimates, d)
	require.NotNil(t, c.prefillServer)
	require.LessOrEqual(t, d.scans, 3)
	require.Equal(t, c.prefillServer.DataCentre, c.server.DataCentre, "prompts are transferred within a data centre if possible")
}

// Guards against a roster that publishes a new snapshot for each of the thousands of registrations
// in one response of the store.
func TestRosterPublishesOncePerAnswer(t *testing.T) {
	r := NewRoster()
	var regs []Registration
	for i := range 100 {
		regs = append(regs, Registration{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	r.Replace(regs, start)
	require.Equal(t, 1, r.publishCount)
	var changes []Change
	for i := range regs {
		regs[i].Draining = i%2 == 0
		changes = append(changes, Change{ID: regs[i].ID, Registration: &regs[i]})
	}
	changes = append(changes, Change{ID: "i-1"}, Change{ID: "unknown"})
	applied := r.Apply(changes, start.Add(time.Minute))
	require.Equal(t, 2, r.publishCount)
	require.Len(t, r.Servers("s"), 49)
	require.True(t, applied[0], "now draining")
	require.False(t, applied[1], "unchanged")
	require.True(t, applied[100], "removed")
	require.False(t, applied[101], "was not registered")
	r.Apply(changes[1:2], start.Add(time.Minute))
	require.Equal(t, 3, r.publishCount, "i-1 is registered again")
	r.Apply(changes[1:2], start.Add(time.Minute))
	require.Equal(t, 3, r.publishCount, "nothing changed")
}

// BenchmarkChoice measures the processor time of one choice by the size of the fleet. The largest
// known installation has 640 backend servers; the benchmark goes up to 3,000.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{11, 44, 640, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := newFleet(n)
			p := newPromptRequest(PromptPart{1, 2500}, PromptPart{2, 3500}, PromptPart{3, 3000})
			p.dataCentre = "z1"
			b.ResetTimer()
			for range b.N {
				usable, vs := candidates(servers, nil, 0, start, false)
				choosePrompt(usable, vs, make([]float64, len(usable)), p, testEstimates, newDecodeSelector(usable, vs, p.dataCentre, rand.Float64))
			}
		})
	}
}
