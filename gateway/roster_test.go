package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a backend server that is known to be gone and gets requests for as long as the store fails now and then,
// and against one that is removed although its registration may only have lapsed with the store.
func TestLapsedRegistrationsAreKeptForAFixedTime(t *testing.T) {
	const step = 100 * time.Millisecond
	for name, tc := range map[string]struct {
		// failsAt are the starts of calls that fail, and missingAt the times of lists and events without the registration.
		failsAt, missingAt []time.Duration
		// backAt is when it is registered again; 0 is never.
		backAt time.Duration
		// goneAt is when it is removed; 0 is never.
		goneAt time.Duration
	}{
		"store sound":                     {missingAt: []time.Duration{time.Second}, goneAt: time.Second},
		"failed long before":              {failsAt: []time.Duration{0}, missingAt: []time.Duration{5 * time.Second}, goneAt: 5 * time.Second},
		"failed lately":                   {failsAt: []time.Duration{0}, missingAt: []time.Duration{time.Second}, goneAt: lapseGrace},
		"failed lately, comes back":       {failsAt: []time.Duration{0}, missingAt: []time.Duration{time.Second}, backAt: 2 * time.Second},
		"fails again":                     {failsAt: []time.Duration{0, 2 * time.Second, 2500 * time.Millisecond}, missingAt: []time.Duration{time.Second}, goneAt: lapseGrace},
		"fails again, missing again":      {failsAt: []time.Duration{0, 2 * time.Second}, missingAt: []time.Duration{time.Second, 2200 * time.Millisecond}, goneAt: lapseGrace},
		"fails now and then":              {failsAt: every(400*time.Millisecond, 10*time.Second), missingAt: every(2*time.Second, 10*time.Second), goneAt: lapseGrace},
		"back, and missing after another": {failsAt: []time.Duration{0, 4 * time.Second}, missingAt: []time.Duration{time.Second, 5 * time.Second}, backAt: 2 * time.Second, goneAt: 4*time.Second + lapseGrace},
	} {
		for _, byList := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				r := NewRoster()
				apply := func(seq int64, at time.Time) {
					reg := registration(9, seq, false)
					r.Apply([]Change{{ID: "i", Registration: &reg}}, at)
				}
				apply(1, start)
				gone := time.Duration(0)
				for after := time.Duration(0); after < 10*time.Second; after += step {
					at := start.Add(after)
					for _, f := range tc.failsAt {
						if f == after {
							r.StoreFailed(at)
						}
					}
					for _, m := range tc.missingAt {
						switch {
						case m != after:
						case byList:
							r.Replace(nil, at)
						default:
							r.Apply([]Change{{ID: "i"}}, at)
						}
					}
					if tc.backAt == after && after > 0 {
						apply(2, at)
					}
					r.Expire(at)
					if len(r.Servers("s")) == 0 && gone == 0 {
						gone = after
					}
				}
				require.Equal(t, tc.goneAt, gone)
			})
		}
	}
}

// every returns times from 0 to an end.
func every(interval, end time.Duration) (out []time.Duration) {
	for at := time.Duration(0); at < end; at += interval {
		out = append(out, at)
	}
	return out
}
