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
	return m.DerivedState
}

func evidence(id string, k membership.EvidenceKind, incarnation string, at time.Time) membership.Evidence {
	return membership.Evidence{ID: id, Kind: k, Address: id + ":1", Incarnation: incarnation, Started: at}
}

// Guards against an empty, older or shorter list that removes healthy members, and against one that is
// never accepted.
func TestDoubtfulLists(t *testing.T) {
	settings := membership.DefaultSettings()
	for name, list := range map[string]external.InstanceSnapshot{
		"empty": snapshot(6, nil),
		"older": snapshot(4, workers(1, "a")),
	} {
		v := newView(t)
		require.True(t, v.ApplyList(start, snapshot(5, workers(4, "a"))))
		require.False(t, v.ApplyList(start.Add(time.Second), list), name)
		v.RecordListUnchanged()
		require.False(t, v.ApplyList(start.Add(settings.ListConfirmTime+time.Second), list), "%s: an unchanged list restarts the confirmation time", name)
		require.Len(t, v.Snapshot().Usable(service), 4)
		now := start.Add(2*settings.ListConfirmTime + 2*time.Second)
		if name == "empty" {
			v.Observe(now, evidence("a-03", membership.Answered, "1", now))
			require.False(t, v.ApplyList(now, list), "a member answers")
			now = now.Add(settings.AbsentTimeout)
		}
		require.True(t, v.ApplyList(now, list), name)

		// A member that answers stays although it is absent from the list.
		now = now.Add(time.Second)
		v.Observe(now, evidence("a-03", membership.Answered, "1", now))
		v.RemoveExpired(now.Add(settings.AbsentTimeout - time.Second))
		require.Equal(t, membership.StateLive, state(v, "a-03"))
		require.Empty(t, state(v, "a-02"))
		require.NotEmpty(t, v.ProbesDue(now.Add(settings.AbsentTimeout/2)))
		v.RemoveExpired(now.Add(settings.AbsentTimeout))
		require.Empty(t, state(v, "a-03"))
	}
}

// Guards against new work for a leaving member, and against a drain notice that is cancelled by an
// answer to an attempt sent before the notice.
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
	require.Equal(t, membership.StateLive, state(v, "a-00"), "an answer to a later attempt cancels the notice")
	v.Observe(at(5), evidence("a-00", membership.Draining, "1", at(4)))
	v.Observe(at(6), evidence("a-00", membership.Answered, "2", at(4)))
	require.Equal(t, membership.StateLive, state(v, "a-00"), "a new incarnation is not draining")

	list[1].State = external.InstanceLeaving
	v.ApplyList(at(7), snapshot(2, list))
	v.Observe(at(8), evidence("a-01", membership.Answered, "1", at(8)))
	require.Equal(t, membership.StateLeaving, state(v, "a-01"), "an answer does not override the list")
	require.Len(t, v.Snapshot().Usable(service), 2)
}

// Guards against evidence from a process whose ID has been taken over by a higher incarnation, in any
// order of arrival.
func TestTwoProcessesClaimOneSlot(t *testing.T) {
	for _, order := range [][]string{{"9", "10"}, {"10", "9"}} {
		v := newView(t)
		in := workers(1, "a")[0]
		duplicate := in
		duplicate.Address = "other:1"
		v.ApplyList(start, snapshot(1, []external.Instance{in, duplicate}))
		address := map[string]string{"9": in.Address, "10": duplicate.Address}
		for range 2 {
			for _, incarnation := range order {
				v.Observe(start, membership.Evidence{
					ID: in.ID, Kind: membership.Answered, Address: address[incarnation], Incarnation: incarnation, Started: start,
				})
			}
			m, _ := v.Snapshot().Member(in.ID)
			require.Equal(t, duplicate.Address, m.Address)
			require.Equal(t, "10", m.Incarnation)
			// The list contains only the superseded process.
			v.ApplyList(start, snapshot(2, []external.Instance{in}))
			m, _ = v.Snapshot().Member(in.ID)
			require.Equal(t, duplicate.Address, m.Address)
		}
		v.Observe(start, membership.Evidence{ID: in.ID, Kind: membership.Draining, Address: in.Address, Incarnation: "9", Started: start})
		m, _ := v.Snapshot().Member(in.ID)
		require.Equal(t, membership.StateLive, m.DerivedState, "a drain notice from the superseded process")
		require.Equal(t, duplicate.Address, m.Address)

		// The current process has ended, and a third one starts at the listed address.
		afterEnd := start.Add(time.Second)
		v.Observe(afterEnd, membership.Evidence{ID: in.ID, Kind: membership.ConnectionRefused, Address: duplicate.Address, Started: afterEnd})
		m, _ = v.Snapshot().Member(in.ID)
		require.Equal(t, in.Address, m.Address)
		v.Observe(afterEnd, evidence(in.ID, membership.Answered, "11", afterEnd))
		m, _ = v.Snapshot().Member(in.ID)
		require.Equal(t, membership.StateLive, m.DerivedState)
		require.Equal(t, in.Address, m.Address)
	}
}

// Guards against an ejected member that never gets work again, and against probing without back-off.
func TestProbingBack(t *testing.T) {
	settings := membership.DefaultSettings()
	v := newView(t)
	v.ApplyList(start, snapshot(1, workers(4, "a")))
	now := start
	v.Observe(now, evidence("a-00", membership.ConnectionRefused, "", now))
	require.Equal(t, membership.StateEjected, state(v, "a-00"), "a refused connection ejects at once")
	probes := 0
	for ; now.Before(start.Add(5 * time.Minute)); now = now.Add(settings.ProbeTick) {
		for _, m := range v.ProbesDue(now) {
			require.Equal(t, "a-00", m.ID)
			probes++
			v.Observe(now, evidence(m.ID, membership.ConnectionRefused, "", now))
		}
	}
	require.Greater(t, probes, 10)
	require.Less(t, probes, 50)
	v.Observe(now, evidence("a-00", membership.Answered, "2", now))
	require.Equal(t, membership.StateLive, state(v, "a-00"))
	v.Observe(now.Add(time.Second), evidence("a-00", membership.ConnectionRefused, "", now.Add(-time.Second)))
	require.Equal(t, membership.StateLive, state(v, "a-00"), "a refusal of an attempt sent before the answer")
	require.Empty(t, v.ProbesDue(now.Add(time.Hour)))
}

// Guards against probes that exceed the control traffic allowed for a node when many members fail at
// once, and against members that are never probed.
func TestProbeRateIsBounded(t *testing.T) {
	settings := membership.DefaultSettings()
	v := newView(t)
	list := workers(128, "a", "b")
	v.ApplyList(start, snapshot(1, list))
	for _, in := range list {
		v.Observe(start, evidence(in.ID, membership.ConnectionRefused, "", start))
	}
	probed := map[string]int{}
	total := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(settings.ProbeTick) {
		for _, m := range v.ProbesDue(now) {
			probed[m.ID]++
			total++
		}
	}
	require.LessOrEqual(t, float64(total), 61*settings.ProbesPerSecond)
	require.Len(t, probed, len(list))
}

// Guards against timeouts that eject more members than the limit of a pool or withhold work
// from more than the limit of a service, and against snapshots that contradict the evidence.
func TestBoundsHoldForAnyEvidence(t *testing.T) {
	settings := membership.DefaultSettings()
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
			kind := rapid.SampledFrom([]membership.EvidenceKind{
				membership.Answered, membership.Draining, membership.ConnectionRefused, membership.TimedOut, membership.TimedOut, membership.TimedOut,
			}).Draw(t, "kind")
			v.Observe(now, evidence(id, kind, "", now))
			switch kind {
			case membership.Answered:
				draining[id], refused[id] = false, false
			case membership.Draining:
				draining[id], refused[id] = true, false
			case membership.ConnectionRefused:
				refused[id] = true
			}
			v.ProbesDue(now)
			requireConsistentSnapshot(t, v.Snapshot(), settings, n, draining, refused)
		}
	})
}

func requireConsistentSnapshot(t *rapid.T, s *membership.Snapshot, settings membership.Settings, n int, draining, refused map[string]bool) {
	ejected := map[string]int{}
	withheld, usable := 0, 0
	for _, m := range s.Members {
		switch {
		case draining[m.ID]:
			require.Equal(t, membership.StateLeaving, m.DerivedState)
		case refused[m.ID]:
			require.Equal(t, membership.StateEjected, m.DerivedState)
		case m.DerivedState == membership.StateEjected:
			ejected[m.DataCentre]++
			withheld++
		case m.DerivedState == membership.StateSuspect && !m.Usable:
			withheld++
		case m.DerivedState == membership.StateLive:
			require.True(t, m.Usable)
		}
		if m.Usable {
			usable++
			require.NotContains(t, []membership.State{membership.StateLeaving, membership.StateEjected}, m.DerivedState)
		}
	}
	require.Len(t, s.Usable(service), usable)
	for dc, k := range ejected {
		require.LessOrEqual(t, float64(k), settings.MaxEjectedFraction*float64(n), "ejected for timeouts in %s", dc)
	}
	require.LessOrEqual(t, float64(withheld), max(1, settings.MaxEjectedFraction*float64(2*n)))
}
