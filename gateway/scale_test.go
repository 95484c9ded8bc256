package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
)

// fleetOf returns engines in three data centres, a quarter of which read prompts.
func fleetOf(n int) []*Server {
	out := make([]*Server, n)
	for i := range out {
		role := external.RoleDecode
		if i%4 == 0 {
			role = external.RolePrefill
		}
		out[i] = newServer(fmt.Sprintf("i-%d", i), role)
		out[i].DataCentre = fmt.Sprintf("z%d", i%3)
	}
	return out
}

// Guards against a choice whose work grows with the square of the fleet: with 3,000 engines, a look at
// all decode engines for each prefill engine took an entry a second.
func TestChoiceLooksAtEachServerOncePerDataCentre(t *testing.T) {
	servers := fleetOf(300)
	vs := views(servers)
	p := promptOf(Part{1, 2500}, Part{2, 3500}, Part{3, 3000})
	p.dataCentre = "z1"
	d := newDecoders(servers, vs, p.dataCentre, rand.Float64)
	c := choosePrompt(servers, vs, make([]float64, len(servers)), p, perToken, 3000, d)
	require.NotNil(t, c.reader)
	require.LessOrEqual(t, d.scans, 3)
	require.Equal(t, c.reader.DataCentre, c.server.DataCentre, "prompts move within a data centre if they can")
}

// Guards against a list of backend servers that is made anew for each of the thousands of
// registrations that one answer of the store brings.
func TestRosterPublishesOncePerAnswer(t *testing.T) {
	r := NewRoster()
	var regs []Registration
	for i := range 100 {
		regs = append(regs, Registration{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	r.Replace(regs, start)
	require.Equal(t, 1, r.published)
	var changes []Change
	for i := range regs {
		regs[i].Draining = i%2 == 0
		changes = append(changes, Change{ID: regs[i].ID, Registration: &regs[i]})
	}
	changes = append(changes, Change{ID: "i-1"}, Change{ID: "unknown"})
	done := r.Apply(changes, start.Add(time.Minute))
	require.Equal(t, 2, r.published)
	require.Len(t, r.Servers("s"), 49)
	require.True(t, done[0], "drains now")
	require.False(t, done[1], "nothing new")
	require.True(t, done[100], "gone")
	require.False(t, done[101], "never known")
	r.Apply(changes[1:2], start.Add(time.Minute))
	require.Equal(t, 3, r.published, "i-1 is back")
	r.Apply(changes[1:2], start.Add(time.Minute))
	require.Equal(t, 3, r.published, "nothing changed")
}

// BenchmarkChoice is the processor time of one choice by the size of the fleet. The largest known target
// is 640 backend servers; the users' sweep plays 3,000.
func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{11, 44, 640, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := fleetOf(n)
			p := promptOf(Part{1, 2500}, Part{2, 3500}, Part{3, 3000})
			p.dataCentre = "z1"
			b.ResetTimer()
			for range b.N {
				left, vs := candidates(servers, nil, start, false)
				choosePrompt(left, vs, make([]float64, len(left)), p, perToken, 3000, newDecoders(left, vs, p.dataCentre, rand.Float64))
			}
		})
	}
}
