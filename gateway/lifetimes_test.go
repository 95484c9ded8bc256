package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func registration(born, seq int64, draining bool) Registration {
	return Registration{ID: "i", Service: "s", Address: "10.0.0.1:1", Slots: 1, Born: born, Seq: seq, Draining: draining}
}

// Guards against an entry that the store did late bringing a backend server back that drains or has left.
func TestOlderRegistrationsChangeNothing(t *testing.T) {
	for name, tc := range map[string]struct {
		seen, late Registration
		// removed removes the registration between the two.
		removed bool
		// serves is whether the backend server gets requests at once, and later once the older one has stayed.
		serves, later bool
	}{
		"late beat of a draining server":       {seen: registration(9, 5, true), late: registration(9, 4, false)},
		"newer beat of a draining server":      {seen: registration(9, 5, true), late: registration(9, 6, false)},
		"late beat of a server that has left":  {seen: registration(9, 5, true), late: registration(9, 4, false), removed: true},
		"lapsed and back":                      {seen: registration(9, 5, false), late: registration(9, 6, false), removed: true, serves: true, later: true},
		"lapsed and back with an older entry":  {seen: registration(9, 5, false), late: registration(9, 4, false), removed: true, later: true},
		"late entry of an earlier run":         {seen: registration(9, 5, true), late: registration(8, 7, false), later: true},
		"new run under the ID":                 {seen: registration(9, 5, true), late: registration(10, 1, false), serves: true, later: true},
		"entry without a number":               {seen: registration(9, 5, false), late: registration(9, -1, false), serves: true, later: true},
		"draining entry without a number":      {seen: registration(9, 5, true), late: registration(9, -1, false)},
		"ready again, entries without a start": {seen: registration(0, 5, true), late: registration(0, 6, false), serves: true, later: true},
	} {
		for _, byList := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				r := NewRoster()
				apply := func(reg Registration, at time.Time) {
					if byList {
						r.Replace([]Registration{reg}, at)
					} else {
						r.Apply([]Change{{ID: "i", Registration: &reg}}, at)
					}
				}
				apply(tc.seen, start)
				if tc.removed {
					r.Apply([]Change{{ID: "i"}}, start.Add(time.Second))
				}
				apply(tc.late, start.Add(2*time.Second))
				require.Equal(t, tc.serves, len(r.Servers("s")) == 1)
				r.Expire(start.Add(2*time.Second + olderEntryHold))
				require.Equal(t, tc.later, len(r.Servers("s")) == 1)
			})
		}
	}
}

// Guards against an entry of another program under the ID of a run: one that names another service than the run has is never
// applied, and one without a start only if it stays.
func TestEntriesThatAreNotOfTheRun(t *testing.T) {
	r := NewRoster()
	apply := func(reg Registration, at time.Time) { r.Apply([]Change{{ID: "i", Registration: &reg}}, at) }
	expire := func(until time.Time) {
		for at := start; at.Before(until); at = at.Add(expiryInterval) {
			r.Expire(at)
		}
	}
	apply(registration(9, 5, false), start)
	other := registration(9, 6, false)
	other.Service = "other"
	apply(other, start)
	require.Equal(t, 1, r.HeldBack())
	expire(start.Add(3 * olderEntryHold))
	require.Empty(t, r.Servers("other"))
	require.Len(t, r.Servers("s"), 1)
	apply(registration(9, 6, false), start.Add(3*olderEntryHold))
	require.Zero(t, r.HeldBack())
	other.Born = 10
	apply(other, start.Add(3*olderEntryHold))
	require.Len(t, r.Servers("other"), 1, "a new run may have another service")

	without := registration(0, 9, false)
	apply(without, start.Add(4*olderEntryHold))
	require.Empty(t, r.Servers("s"))
	expire(start.Add(6 * olderEntryHold))
	require.Len(t, r.Servers("s"), 1)
}

// Guards against an older entry that ends the process because its run is forgotten while the entry is held back. One that
// stays is applied, as its run may be newer on a clock that was set back.
func TestRunsOfOlderEntriesAreRemembered(t *testing.T) {
	r := NewRoster()
	apply := func(reg Registration, at time.Time) { r.Apply([]Change{{ID: "i", Registration: &reg}}, at) }
	apply(registration(9, 5, false), start)
	r.Apply([]Change{{ID: "i"}}, start)
	heldAt := start.Add(lifetimeMemory - time.Second)
	apply(registration(9, 4, false), heldAt)
	for at := heldAt; at.Before(heldAt.Add(olderEntryHold)); at = at.Add(expiryInterval) {
		r.Expire(at)
		require.Empty(t, r.Servers("s"))
	}
	r.Expire(heldAt.Add(olderEntryHold))
	require.Len(t, r.Servers("s"), 1)
}

// Guards against requests to a backend server without an entry: an older entry that was held back and is removed, while or
// after the store fails or not, is not applied later.
func TestOlderEntriesThatAreRemovedAreNotApplied(t *testing.T) {
	for name, tc := range map[string]struct{ byList, listed, storeFails bool }{
		"event":                         {},
		"list":                          {byList: true},
		"event, the newer one is there": {listed: true},
		"list, the newer one lapses":    {byList: true, listed: true, storeFails: true},
		"event, the newer one lapses":   {listed: true, storeFails: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRoster()
			apply := func(reg Registration, at time.Time) { r.Apply([]Change{{ID: "i", Registration: &reg}}, at) }
			apply(registration(9, 5, false), start)
			if !tc.listed {
				r.Apply([]Change{{ID: "i"}}, start)
			}
			apply(registration(9, 4, false), start.Add(time.Second))
			if tc.storeFails {
				r.StoreFailed(start.Add(time.Second))
			}
			if tc.byList {
				r.Replace(nil, start.Add(2*time.Second))
			} else {
				r.Apply([]Change{{ID: "i"}}, start.Add(2*time.Second))
			}
			require.Zero(t, r.HeldBack())
			for at := start; at.Before(start.Add(3 * olderEntryHold)); at = at.Add(expiryInterval) {
				r.Expire(at)
			}
			require.Empty(t, r.Servers("s"))
		})
	}
}

// Guards against memory that grows with the backend servers that came and went.
func TestEndedRunsAreForgotten(t *testing.T) {
	r := NewRoster()
	for i := range 2 * maxEndedLifetimes {
		reg := registration(1, 1, false)
		reg.ID = string(rune('a'+i%26)) + time.Duration(i).String()
		r.Apply([]Change{{ID: reg.ID, Registration: &reg}}, start)
		r.Apply([]Change{{ID: reg.ID}}, start)
	}
	r.Expire(start.Add(time.Second))
	require.LessOrEqual(t, len(r.lifetimes.byID), maxEndedLifetimes)
	r.Expire(start.Add(lifetimeMemory))
	require.Empty(t, r.lifetimes.byID)
}

// Guards against a late entry that brings a draining backend server back because many others have ended meanwhile.
func TestRecentRunsOutlastEarlierOnes(t *testing.T) {
	r := NewRoster()
	end := func(id string, draining bool, at time.Time) {
		reg := registration(9, 5, draining)
		reg.ID = id
		r.Apply([]Change{{ID: id, Registration: &reg}}, at)
		r.Apply([]Change{{ID: id}}, at)
	}
	for i := range 2 * maxEndedLifetimes {
		end(strconv.Itoa(i), false, start)
	}
	const recent = 64
	for i := range recent {
		end("draining-"+strconv.Itoa(i), true, start.Add(time.Second))
	}
	r.Expire(start.Add(2 * time.Second))
	for i := range recent {
		late := registration(9, 4, false)
		late.ID = "draining-" + strconv.Itoa(i)
		r.Apply([]Change{{ID: late.ID, Registration: &late}}, start.Add(3*time.Second))
	}
	require.Empty(t, r.Servers("s"))
}

// Guards against requests to a backend server that leaves and whose entry was gone for minutes, as in a long outage of the
// store. A new run under its ID is served.
func TestLeavingOutlastsALapsedEntry(t *testing.T) {
	r := NewRoster()
	apply := func(reg Registration, at time.Time) { r.Apply([]Change{{ID: "i", Registration: &reg}}, at) }
	apply(registration(9, 5, false), start)
	require.True(t, r.MarkLeaving(r.Servers("s")[0]))
	r.Apply([]Change{{ID: "i"}}, start.Add(time.Second))
	back := start.Add(10 * time.Minute)
	for at := start; at.Before(back); at = at.Add(time.Second) {
		r.Expire(at)
	}
	apply(registration(9, 6, false), back)
	require.Empty(t, r.Servers("s"))
	apply(registration(10, 1, false), back)
	require.Len(t, r.Servers("s"), 1)
	r.Apply([]Change{{ID: "i"}}, back)
	r.Expire(back.Add(leavingMemory))
	require.Empty(t, r.lifetimes.byID)
}

// Guards against a request that is sent to a backend server whose state has changed since the choice.
func TestAdmission(t *testing.T) {
	r := NewRoster()
	apply := func(reg Registration) { r.Apply([]Change{{ID: "i", Registration: &reg}}, start) }
	apply(registration(9, 1, false))
	s := r.Servers("s")[0]
	require.NoError(t, s.admission(start))
	s.recordRest(time.Second, start)
	require.ErrorIs(t, s.admission(start), errResting)
	require.NoError(t, s.admission(start.Add(time.Second)))
	require.True(t, r.MarkLeaving(s))
	require.False(t, r.MarkLeaving(s))
	require.ErrorIs(t, s.admission(start.Add(time.Second)), errLeaving)
	require.Empty(t, r.Servers("s"))
	apply(registration(10, 1, false))
	s = r.Servers("s")[0]
	require.NoError(t, s.admission(start))
	r.Apply([]Change{{ID: "i"}}, start)
	require.ErrorIs(t, s.admission(start), errGone)
}

// Guards against a backend server that is used again because the store came back from an older copy that has its entry, and
// against one that is not used although it goes on writing its own.
func TestRegistrationsAfterARestore(t *testing.T) {
	for name, tc := range map[string]struct {
		seen, restored Registration
		removed        bool
		// at once and after the hold time
		serves, later bool
	}{
		"gone, same entry":           {seen: registration(9, 5, false), restored: registration(9, 5, false), removed: true, later: true},
		"gone, older entry":          {seen: registration(9, 5, false), restored: registration(9, 3, false), removed: true, later: true},
		"gone, written again":        {seen: registration(9, 5, false), restored: registration(9, 6, false), removed: true, serves: true, later: true},
		"gone, draining":             {seen: registration(9, 5, true), restored: registration(9, 4, false), removed: true},
		"draining, older entry":      {seen: registration(9, 5, true), restored: registration(9, 4, false)},
		"there, older entry":         {seen: registration(9, 5, false), restored: registration(9, 4, false), serves: true, later: true},
		"there, same entry":          {seen: registration(9, 5, false), restored: registration(9, 5, false), serves: true, later: true},
		"there, entry of former run": {seen: registration(9, 5, false), restored: registration(8, 7, false), serves: true, later: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRoster()
			r.Replace([]Registration{tc.seen}, start)
			if tc.removed {
				r.Replace(nil, start)
			}
			r.BeginEpoch(start.Add(time.Second))
			r.Replace([]Registration{tc.restored}, start.Add(time.Second))
			require.Equal(t, tc.serves, len(r.Servers("s")) == 1)
			r.Expire(start.Add(time.Second + olderEntryHold))
			require.Equal(t, tc.later, len(r.Servers("s")) == 1)
		})
	}
	// An entry that the store has lost is missed only after a time.
	r := NewRoster()
	r.Replace([]Registration{registration(9, 5, false)}, start)
	r.StoreConfirmed(start)
	r.BeginEpoch(start.Add(time.Second))
	r.Replace(nil, start.Add(time.Second))
	r.Expire(start.Add(time.Second + lapseGrace - time.Millisecond))
	require.Len(t, r.Servers("s"), 1)
	r.Expire(start.Add(time.Second + lapseGrace))
	require.Empty(t, r.Servers("s"))
}
