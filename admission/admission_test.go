package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/admission"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against admitting a request that would miss its deadline or a latency target, and against
// a refusal with the wrong reason.
func TestReasons(t *testing.T) {
	onTime := admission.Expectation{FirstToken: ms(100), BetweenTokens: ms(30), Total: ms(900)}
	for _, c := range []struct {
		name string
		edit func(*admission.Request, *admission.Expectation)
		want admission.Reason
	}{
		{"on time", func(*admission.Request, *admission.Expectation) {}, admission.Admitted},
		{"deadline passed", func(r *admission.Request, _ *admission.Expectation) { r.Deadline = start }, admission.Expired},
		{"no worker", func(_ *admission.Request, e *admission.Expectation) { e.NoWorker = true }, admission.NoWorker},
		{"first token late", func(_ *admission.Request, e *admission.Expectation) { e.FirstToken = ms(800) }, admission.Late},
		{"waited too long", func(r *admission.Request, _ *admission.Expectation) { r.Waited = ms(700) }, admission.Late},
		{"tokens too slow", func(_ *admission.Request, e *admission.Expectation) { e.BetweenTokens = ms(72) }, admission.Late},
		{"total late", func(_ *admission.Request, e *admission.Expectation) { e.Total = ms(3100) }, admission.Late},
		{"queue full", func(_ *admission.Request, e *admission.Expectation) { e.Queued = 64 }, admission.QueueFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := admission.Request{Rank: 1, Deadline: start.Add(ms(3000)), FirstToken: ms(730), BetweenTokens: ms(71)}
			e := onTime
			c.edit(&r, &e)
			d := admission.New(admission.Config{}).Admit(&r, &e, start)
			assert.Equal(t, c.want, d.Reason)
			again := admission.New(admission.Config{}).Recheck(&r, &e, start).Reason
			if c.want == admission.Late || c.want == admission.Expired {
				assert.Equal(t, c.want, again)
			} else {
				assert.Equal(t, admission.Admitted, again)
			}
			if c.want != admission.Admitted && c.want != admission.Expired {
				assert.Positive(t, d.RetryAfter)
			}
		})
	}
}

// Guards against callers that exceed their limits, and against a refused request that stays counted
// and so reduces the caller's limit.
func TestCallerLimits(t *testing.T) {
	c := admission.New(admission.Config{Callers: admission.CallerLimits{RequestsPerSecond: 10, Burst: 3, Concurrent: 2}})
	r := &admission.Request{Caller: "a", Rank: 1}
	e := &admission.Expectation{}
	first := c.Admit(r, e, start)
	require.True(t, first.Admitted())
	require.True(t, c.Admit(r, e, start).Admitted())
	assert.Equal(t, admission.CallerConcurrent, c.Admit(r, e, start).Reason)
	assert.True(t, c.Admit(&admission.Request{Caller: "b", Rank: 1}, e, start).Admitted())
	c.Release("a", first)
	require.True(t, c.Admit(r, e, start).Admitted())
	c.Release("a", first)
	d := c.Admit(r, e, start)
	assert.Equal(t, admission.CallerRate, d.Reason)
	assert.InDelta(t, ms(100), d.RetryAfter, float64(ms(1)))
	assert.True(t, c.Admit(r, e, start.Add(ms(101))).Admitted())
}

// Guards against memory that grows with the number of callers, and against a full caller table
// that refuses new callers even after its requests have ended.
func TestCallerTableIsBounded(t *testing.T) {
	c := admission.New(admission.Config{MaxCallers: 64, Callers: admission.CallerLimits{Concurrent: 1}})
	e := &admission.Expectation{}
	admitted := map[string]admission.Decision{}
	for i := range 5000 {
		name := fmt.Sprint("caller-", i)
		if d := c.Admit(&admission.Request{Caller: name, Rank: 1}, e, start); d.Admitted() {
			admitted[name] = d
		}
	}
	assert.LessOrEqual(t, len(admitted), 128, "one request per entry and one per overflow entry")
	for name, d := range admitted {
		c.Release(name, d)
	}
	assert.True(t, c.Admit(&admission.Request{Caller: "late", Rank: 1}, e, start.Add(time.Minute)).Admitted())
}

// Guards against lower ranks that take capacity from higher ones under load, against starving a
// rank that isn't starvable, and against reserving capacity for ranks without requests.
func TestRanksYield(t *testing.T) {
	admittedLow := func(starvable, withHigher bool) (admitted int) {
		c := admission.New(admission.Config{})
		e := &admission.Expectation{FirstToken: ms(700)}
		for i := range 1000 {
			now := start.Add(ms(i))
			if withHigher {
				require.True(t, c.Admit(&admission.Request{Rank: 1, FirstToken: ms(730)}, e, now).Admitted())
			}
			d := c.Admit(&admission.Request{Rank: 3, FirstToken: ms(730), Starvable: starvable}, e, now)
			if d.Admitted() {
				admitted++
			} else {
				require.Equal(t, admission.RankYields, d.Reason)
			}
		}
		return admitted
	}
	assert.InDelta(t, 50, admittedLow(false, true), 2, "the guaranteed share")
	assert.Zero(t, admittedLow(true, true))
	assert.Equal(t, 1000, admittedLow(true, false))
	assert.Greater(t, admission.Priority(1), admission.Priority(3))
}

// The target is under 1 microsecond per decision with 14,000 callers.
func BenchmarkAdmit(b *testing.B) {
	c := admission.New(admission.Config{Callers: admission.CallerLimits{RequestsPerSecond: 100, Burst: 100, Concurrent: 64}})
	names := make([]string, 14_000)
	for i := range names {
		names[i] = fmt.Sprint("caller-", i)
	}
	e := &admission.Expectation{FirstToken: ms(100), BetweenTokens: ms(30), Total: ms(900)}
	r := admission.Request{Rank: 2, Deadline: start.Add(time.Hour), FirstToken: ms(730), BetweenTokens: ms(71)}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.Caller = names[i%len(names)]
		d := c.Admit(&r, e, start.Add(time.Duration(i)*time.Microsecond))
		if d.Admitted() {
			c.Release(r.Caller, d)
		}
		i++
	}
}
