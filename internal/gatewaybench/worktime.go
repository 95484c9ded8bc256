package gatewaybench

import (
	"math"
	"math/rand/v2"
	"time"
)

// workTime is how long work takes on an engine's machine over time, as a factor of the usual time. The factor is constant
// between changes, whose distances are exponentially distributed.
type workTime struct {
	// usual is the factor by which the machine differs for good.
	usual  float64
	spread float64
	change time.Duration
	random *rand.Rand
	// segments holds the factors from the current time on. They are drawn ahead, because the end of a task is scheduled
	// when it starts.
	segments []workTimeSegment
}

type workTimeSegment struct {
	until  time.Duration
	factor float64
}

func newWorkTime(e *Engines, dataCentre int, random *rand.Rand) *workTime {
	w := &workTime{usual: 1, spread: e.WorkTimeSpread, change: time.Duration(e.WorkTimeChange), random: random}
	if n := len(e.WorkTime); n > 0 {
		w.usual = e.WorkTime[dataCentre%n]
	}
	return w
}

// varies reports whether the factor changes.
func (w *workTime) varies() bool { return w.spread > 0 && w.change > 0 }

// at returns the factor at a time, which must not be before that of an earlier call.
func (w *workTime) at(t time.Duration) float64 {
	if !w.varies() {
		return w.usual
	}
	for len(w.segments) > 0 && w.segments[0].until <= t {
		w.segments = w.segments[1:]
	}
	return w.segment(0, t).factor
}

// segment returns the segment with an index. from is the time at which the first segment begins if there is none yet.
func (w *workTime) segment(i int, from time.Duration) workTimeSegment {
	for len(w.segments) <= i {
		if n := len(w.segments); n > 0 {
			from = w.segments[n-1].until
		}
		w.segments = append(w.segments, workTimeSegment{
			until:  from + 1 + time.Duration(w.random.ExpFloat64()*float64(w.change)),
			factor: w.usual * math.Exp(w.spread*w.random.NormFloat64()-w.spread*w.spread/2),
		})
	}
	return w.segments[i]
}

// elapsed returns how long work takes that starts at a time, which must not be before that of an earlier call, and that
// takes the given time as usual.
func (w *workTime) elapsed(t, work time.Duration) time.Duration {
	if !w.varies() {
		return time.Duration(float64(work) * w.usual)
	}
	w.at(t)
	left, at := float64(work), t
	for i := 0; ; i++ {
		s := w.segment(i, t)
		need := left * s.factor
		if at+time.Duration(need) <= s.until {
			return at + time.Duration(need) - t
		}
		left -= float64(s.until-at) / s.factor
		at = s.until
	}
}
