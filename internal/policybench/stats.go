package policybench

import (
	"slices"
	"time"
)

// stats are the figures of one run, counted for requests that arrive after the warm-up.
type stats struct {
	warmUp   time.Duration
	duration time.Duration
	offered  map[string]int
	good     map[string]int
	first    []time.Duration
	between  []time.Duration
	// refusals also counts answers that were complete but not on time, in parentheses.
	refusals  map[string]int
	changes   int
	lost      time.Duration
	completed int
}

func (s *stats) offer(r *request) {
	if s.offered == nil {
		s.offered, s.good = make(map[string]int), make(map[string]int)
	}
	if r.arrived >= s.warmUp {
		s.offered[r.kind.name]++
	}
}

func (s *stats) refuse(r *request, reason string) {
	if r.arrived >= s.warmUp {
		s.refusals[reason]++
	}
}

func (s *stats) finish(r *request) {
	if r.arrived < s.warmUp {
		return
	}
	s.completed++
	s.first = append(s.first, r.first-r.arrived)
	s.between = append(s.between, r.between())
	switch {
	case r.good():
		s.good[r.kind.name]++
	case r.first-r.arrived > r.kind.firstToken:
		s.refusals["(ran, first token late)"]++
	case r.between() > r.kind.betweenTokens:
		s.refusals["(ran, tokens slow)"]++
	default:
		s.refusals["(ran, total late)"]++
	}
}

// goodput is the share of the offered requests that were answered within all targets.
func (s *stats) goodput(kind string) float64 {
	good, offered := 0, 0
	for name, n := range s.offered {
		if kind == "" || name == kind {
			offered += n
			good += s.good[name]
		}
	}
	if offered == 0 {
		return 0
	}
	return float64(good) / float64(offered)
}

func percentile(v []time.Duration, p float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(len(s)-1, int(p*float64(len(s))))]
}
