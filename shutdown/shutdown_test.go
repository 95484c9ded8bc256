package shutdown_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/shutdown"
)

// Guards against requests that are started although they can't complete before the process ends, and against
// refusals of those that can.
func TestPlanStartsOnlyWhatCompletes(t *testing.T) {
	respondBy := time.Unix(1000, 0)
	plan := shutdown.Plan{RespondBy: respondBy}
	for name, tc := range map[string]struct {
		now, deadline time.Duration // before RespondBy
		expected      time.Duration
		unknown       bool
		fits          bool
	}{
		"completes in time":                  {now: 3 * time.Second, deadline: -time.Minute, expected: 2 * time.Second, fits: true},
		"completes just in time":             {now: 2 * time.Second, deadline: -time.Minute, expected: 2 * time.Second, fits: true},
		"takes too long":                     {now: 2 * time.Second, deadline: -time.Minute, expected: 2001 * time.Millisecond},
		"unknown duration":                   {now: 30 * time.Second, deadline: -time.Millisecond, unknown: true},
		"unknown duration, ends by deadline": {now: time.Second, deadline: 0, unknown: true, fits: true},
		"long, ends by deadline":             {now: time.Second, deadline: 500 * time.Millisecond, expected: time.Minute, fits: true},
		"after its deadline":                 {now: time.Second, deadline: 2 * time.Second, expected: time.Millisecond},
		"after the end":                      {now: -time.Second, deadline: -time.Minute, expected: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.fits, plan.Fits(respondBy.Add(-tc.now), respondBy.Add(-tc.deadline), tc.expected, !tc.unknown))
		})
	}
}

func TestExpectedDurations(t *testing.T) {
	d := shutdown.NewDurations()
	c := shutdown.Class{Route: "a"}
	d.Record(c, time.Second)
	d.Record(c, time.Second)
	_, known := d.Expected(c)
	require.False(t, known, "two durations are too few")
	d.Record(c, time.Second)
	expected, known := d.Expected(c)
	require.True(t, known)
	require.Equal(t, 1050*time.Millisecond, expected, "constant durations have a small margin")
	d.Record(c, 3*time.Second)
	expected, _ = d.Expected(c)
	require.Equal(t, 5*time.Second, expected, "the margin is the distance from the median")
	for range 32 {
		d.Record(c, time.Second)
	}
	expected, _ = d.Expected(c)
	require.Equal(t, 1050*time.Millisecond, expected, "old durations are forgotten")
	_, known = d.Expected(shutdown.Class{Route: "a", LastSend: true})
	require.False(t, known)
	d.Record(c, -time.Second)
	d.Record(c, 1000*time.Hour)
	expected, _ = d.Expected(c)
	require.Less(t, expected, 3*time.Hour)
}

// Guards against memory that grows with the routes of a configuration.
func TestDurationsAreBounded(t *testing.T) {
	d := shutdown.NewDurations()
	for i := range 10_000 {
		d.Record(shutdown.Class{Route: strconv.Itoa(i)}, time.Second)
	}
	require.Equal(t, 4096, d.Len())
}
