package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/quetzallug/quetzallug/external"
	_ "github.com/quetzallug/quetzallug/internal/rapidseed"
	"github.com/quetzallug/quetzallug/membership"
)

const service = "halte-llm"

var start = time.UnixMilli(1e12)

func newView(t require.TestingT) *membership.View {
	v, err := membership.NewView(membership.DefaultSettings(), rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return v
}

// workers returns n workers in each data centre.
func workers(n int, dataCentres ...string) []external.Instance {
	var list []external.Instance
	for _, dc := range dataCentres {
		for i := range n {
			id := fmt.Sprintf("%s-%02d", dc, i)
			list = append(list, external.Instance{
				ID: id, Role: external.RoleSidecar, Service: service, DataCentre: dc, Address: id + ":1", State: external.InstanceLive,
			})
		}
	}
	return list
}

func snapshot(version uint64, list []external.Instance) external.InstanceSnapshot {
	return external.InstanceSnapshot{Version: version, Instances: list}
}

func state(v *membership.View, id string) membership.State {
	m, _ := v.Snapshot().Member(id)
	return m.View
}

func evidence(id string, k membership.Kind, incarnation string, at time.Time) membership.Evidence {
	return membership.Evidence{ID: id, Kind: k, Address: id + ":1", Incarnation: incarnation, Started: at}
}

// Guards against an empty, older or shrunk list that takes good members away, and against one that is
// never believed.
func TestDoubtfulLists(t *testing.T) {
	set := membership.DefaultSettings()
	for name, list := range map[string]external.InstanceSnapshot{
		"empty": snapshot(6, nil),
		"older": snapshot(4, workers(1, "a")),
	} {
		v := newView(t)
		require.True(t, v.ApplyList(start, snapshot(5, workers(4, "a"))))
		require.False(t, v.ApplyList(start.Add(time.Second), list), name)
		v.ConfirmUnchanged()
		require.False(t, v.ApplyList(start.Add(set.ConfirmList+time.Second), list), "%s: the doubt starts again", name)
		require.Len(t, v.Snapshot().Usable(service), 4)
		now := start.Add(2*set.ConfirmList + 2*time.Second)
		if name == "empty" {
			v.Observe(now, evidence("a-03", membership.Answered, "1", now))
			require.False(t, v.ApplyList(now, list), "a member answers")
			now = now.Add(set.KeepAbsent)
		}
		require.True(t, v.ApplyList(now, list), name)

		// A member that answers stays although the list no longer names it.
		now = now.Add(time.Second)
		v.Observe(now, evidence("a-03", membership.Answered, "1", now))
		v.Advance(now.Add(set.KeepAbsent - time.Second))
		require.Equal(t, membership.StateLive, state(v, "a-03"))
		require.Empty(t, state(v, "a-02"))
		require.NotEmpty(t, v.ProbesDue(now.Add(set.KeepAbsent/2)))
		v.Advance(now.Add(set.KeepAbsent))
		require.Empty(t, state(v, "a-03"))
	}
}

// Guards against new work for a leaving member, and against a drain notice that is undone by an
// answer to something sent before it.
func TestLeaving(t *testing.T) {
	v := newView(t)
	list := workers(3, "a")
	v.ApplyList(start, snapshot(1, list))
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	v.Observe(at(2), evidence("a-00", membership.Draining, "1", at(1)))
	require.Equal(t, membership.StateLeaving, state(v, "a-00"))
	require.Len(t, v.Snapshot().Usable(service), 2)
	v.Observe(at(3), evidence("a-00", membership.Answered, "1", at(1)))
	require.Equal(t, membership.StateLeaving, state(v, "a-00"), "an answer to an attempt from before the notice")
	v.Observe(at(4), evidence("a-00", membership.Answered, "1", at(3)))
	require.Equal(t, membership.StateLive, state(v, "a-00"), "the drain was undone")
	v.Observe(at(5), evidence("a-00", membership.Draining, "1", at(4)))
	v.Observe(at(6), evidence("a-00", membership.Answered, "2", at(4)))
	require.Equal(t, membership.StateLive, state(v, "a-00"), "a new incarnation is not draining")

	list[1].State = external.InstanceLeaving
	v.ApplyList(at(7), snapshot(2, list))
	v.Observe(at(8), evidence("a-01", membership.Answered, "1", at(8)))
	require.Equal(t, membership.StateLeaving, state(v, "a-01"), "only the list takes it back")
	require.Len(t, v.Snapshot().Usable(service), 2)
}

// Guards against evidence of a process that has lost its slot, in any order of arrival.
func TestTwoProcessesClaimOneSlot(t *testing.T) {
	for _, order := range [][]string{{"9", "10"}, {"10", "9"}} {
		v := newView(t)
		in := workers(1, "a")[0]
		other := in
		other.Address = "other:1"
		v.ApplyList(start, snapshot(1, []external.Instance{in, other}))
		address := map[string]string{"9": in.Address, "10": other.Address}
		for range 2 {
			for _, incarnation := range order {
				v.Observe(start, membership.Evidence{
					ID: in.ID, Kind: membership.Answered, Address: address[incarnation], Incarnation: incarnation, Started: start,
				})
			}
			m, _ := v.Snapshot().Member(in.ID)
			require.Equal(t, other.Address, m.Address)
			require.Equal(t, "10", m.Incarnation)
			// The list names the loser only.
			v.ApplyList(start, snapshot(2, []external.Instance{in}))
			m, _ = v.Snapshot().Member(in.ID)
			require.Equal(t, other.Address, m.Address)
		}
		v.Observe(start, membership.Evidence{ID: in.ID, Kind: membership.Draining, Address: in.Address, Incarnation: "9", Started: start})
		m, _ := v.Snapshot().Member(in.ID)
		require.Equal(t, membership.StateLive, m.View, "a drain notice of the loser")
		require.Equal(t, other.Address, m.Address)

		// The winner has ended, and a third process starts at the listed address.
		gone := start.Add(time.Second)
		v.Observe(gone, membership.Evidence{ID: in.ID, Kind: membership.Refused, Address: other.Address, Started: gone})
		m, _ = v.Snapshot().Member(in.ID)
		require.Equal(t, in.Address, m.Address)
		v.Observe(gone, evidence(in.ID, membership.Answered, "11", gone))
		m, _ = v.Snapshot().Member(in.ID)
		require.Equal(t, membership.StateLive, m.View)
		require.Equal(t, in.Address, m.Address)
	}
}

// Guards against an ejected member that never gets work again, and against probes without back-off.
func TestProbingBack(t *testing.T) {
	set := membership.DefaultSettings()
	v := newView(t)
	v.ApplyList(start, snapshot(1, workers(4, "a")))
	now := start
	v.Observe(now, evidence("a-00", membership.Refused, "", now))
	require.Equal(t, membership.StateEjected, state(v, "a-00"), "a refused connection counts at once")
	probes := 0
	for ; now.Before(start.Add(5 * time.Minute)); now = now.Add(set.ProbeTick) {
		for _, m := range v.ProbesDue(now) {
			require.Equal(t, "a-00", m.ID)
			probes++
			v.Observe(now, evidence(m.ID, membership.Refused, "", now))
		}
	}
	require.Greater(t, probes, 10)
	require.Less(t, probes, 50)
	v.Observe(now, evidence("a-00", membership.Answered, "2", now))
	require.Equal(t, membership.StateLive, state(v, "a-00"))
	v.Observe(now.Add(time.Second), evidence("a-00", membership.Refused, "", now.Add(-time.Second)))
	require.Equal(t, membership.StateLive, state(v, "a-00"), "a refusal from before the answer")
	require.Empty(t, v.ProbesDue(now.Add(time.Hour)))
}

// Guards against probes beyond the control traffic of a node when many members fail at once, and
// against members that wait without end for their probe.
func TestProbeRateIsBounded(t *testing.T) {
	set := membership.DefaultSettings()
	v := newView(t)
	list := workers(128, "a", "b")
	v.ApplyList(start, snapshot(1, list))
	for _, in := range list {
		v.Observe(start, evidence(in.ID, membership.Refused, "", start))
	}
	probed := map[string]int{}
	total := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(set.ProbeTick) {
		for _, m := range v.ProbesDue(now) {
			probed[m.ID]++
			total++
		}
	}
	require.LessOrEqual(t, float64(total), 61*set.ProbesPerSecond)
	require.Len(t, probed, len(list))
}

// Guards against silence that ejects more than the bound of a pool or spares more than the bound of
// a service, and against snapshots that contradict the evidence.
func TestBoundsHoldForAnyEvidence(t *testing.T) {
	set := membership.DefaultSettings()
	rapid.Check(t, func(t *rapid.T) {
		v := newView(t)
		n := rapid.IntRange(1, 12).Draw(t, "workers per pool")
		list := workers(n, "a", "b")
		v.ApplyList(start, snapshot(1, list))
		now := start
		draining, refused := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 120).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			id := list[rapid.IntRange(0, len(list)-1).Draw(t, "member")].ID
			kind := rapid.SampledFrom([]membership.Kind{
				membership.Answered, membership.Draining, membership.Refused, membership.Silent, membership.Silent, membership.Silent,
			}).Draw(t, "kind")
			v.Observe(now, evidence(id, kind, "", now))
			switch kind {
			case membership.Answered:
				draining[id], refused[id] = false, false
			case membership.Draining:
				draining[id], refused[id] = true, false
			case membership.Refused:
				refused[id] = true
			}
			v.ProbesDue(now)
			checkSnapshot(t, v.Snapshot(), set, n, draining, refused)
		}
	})
}

func checkSnapshot(t *rapid.T, s *membership.Snapshot, set membership.Settings, n int, draining, refused map[string]bool) {
	ejected := map[string]int{}
	spared, usable := 0, 0
	for _, m := range s.Members {
		switch {
		case draining[m.ID]:
			require.Equal(t, membership.StateLeaving, m.View)
		case refused[m.ID]:
			require.Equal(t, membership.StateEjected, m.View)
		case m.View == membership.StateEjected:
			ejected[m.DataCentre]++
			spared++
		case m.View == membership.StateSuspect && !m.Usable:
			spared++
		case m.View == membership.StateLive:
			require.True(t, m.Usable)
		}
		if m.Usable {
			usable++
			require.NotContains(t, []membership.State{membership.StateLeaving, membership.StateEjected}, m.View)
		}
	}
	require.Len(t, s.Usable(service), usable)
	for dc, k := range ejected {
		require.LessOrEqual(t, float64(k), set.MaxEjectedShare*float64(n), "ejected for silence in %s", dc)
	}
	require.LessOrEqual(t, float64(spared), max(1, set.MaxEjectedShare*float64(2*n)))
}
