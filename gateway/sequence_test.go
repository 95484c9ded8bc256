package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against events of a resumed stream that come twice, go back or cannot be placed.
func TestEventsOfResumedStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		lastReceived string
		// runs holds the event IDs of each run; "-" stands for an event without an ID.
		runs      []string
		want      string
		broken    bool
		mayResume bool
	}{
		"one run":                          {runs: []string{"1 2 5"}, want: "1 2 5", mayResume: true},
		"number that goes back":            {runs: []string{"1 2 1 2 3"}, want: "1 2 3", mayResume: true},
		"run that begins anew":             {runs: []string{"1 2", "1 2 3"}, want: "1 2 3", mayResume: true},
		"no IDs":                           {runs: []string{"- - -"}, want: "- - -"},
		"no ID at the end":                 {runs: []string{"1 2 -"}, want: "1 2 -"},
		"resumed without IDs":              {runs: []string{"1 2", "- -"}, want: "1 2", broken: true, mayResume: true},
		"resumed with IDs of another kind": {runs: []string{"1 2", "x"}, want: "1 2", broken: true, mayResume: true},
		"number beyond the range":          {runs: []string{"1", "99999999999999999999"}, want: "1", broken: true, mayResume: true},
		"resumed by the caller":            {lastReceived: "12", runs: []string{"11 12 13"}, want: "13", mayResume: true},
		"first run without events":         {runs: []string{"", "- -"}, want: "- -"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEventSequence(tc.lastReceived)
			var got []string
			broken := false
			for _, run := range tc.runs {
				s.begin()
				for _, id := range strings.Fields(run) {
					forward, err := s.accept(strings.Trim(id, "-"))
					if broken = err != nil; broken {
						break
					}
					if forward {
						got = append(got, id)
					}
				}
			}
			require.Equal(t, tc.want, strings.Join(got, " "))
			if last := strings.Trim(got[len(got)-1], "-"); last != "" {
				require.Equal(t, last, s.lastID, "where another run goes on")
			}
			require.Equal(t, tc.broken, broken)
			require.Equal(t, tc.mayResume, s.mayResume())
		})
	}
}
