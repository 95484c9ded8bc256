package policybench

import (
	"slices"
	"time"
)

// stats holds the measurements of one run. Requests that arrive during the warm-up are not counted.
type stats struct {
	warmUp              time.Duration
	duration            time.Duration
	offeredByKind       map[string]int
	goodByKind          map[string]int
	firstTokenLatencies []time.Duration
	meanTokenIntervals  []time.Duration
	// unmetByReason counts refused requests by reason. Keys in parentheses count complete answers that
	// missed a target.
	unmetByReason  map[string]int
	roleChanges    int
	engineTimeLost time.Duration
	completed      int
}

func (s *stats) recordOffered(r *request) {
	if s.offeredByKind == nil {
		s.offeredByKind, s.goodByKind = make(map[string]int), make(map[string]int)
	}
	if r.arrived >= s.warmUp {
		s.offeredByKind[r.kind.name]++
	}
}

func (s *stats) recordRefused(r *request, reason string) {
	if r.arrived >= s.warmUp {
		s.unmetByReason[reason]++
	}
}

func (s *stats) recordCompleted(r *request) {
	if r.arrived < s.warmUp {
		return
	}
	s.completed++
	s.firstTokenLatencies = append(s.firstTokenLatencies, r.firstTokenAt-r.arrived)
	s.meanTokenIntervals = append(s.meanTokenIntervals, r.meanTokenInterval())
	switch {
	case r.metTargets():
		s.goodByKind[r.kind.name]++
	case r.firstTokenAt-r.arrived > r.kind.firstTokenTarget:
		s.unmetByReason["(ran, first token late)"]++
	case r.meanTokenInterval() > r.kind.betweenTokensTarget:
		s.unmetByReason["(ran, tokens slow)"]++
	default:
		s.unmetByReason["(ran, total late)"]++
	}
}

// goodput returns the share of the offered requests of a kind, or of all kinds if it is empty, that
// were answered within all targets.
func (s *stats) goodput(kind string) float64 {
	good, offered := 0, 0
	for name, n := range s.offeredByKind {
		if kind == "" || name == kind {
			offered += n
			good += s.goodByKind[name]
		}
	}
	if offered == 0 {
		return 0
	}
	return float64(good) / float64(offered)
}

// quantile returns the p-quantile of v, with p from 0 to 1.
func quantile(v []time.Duration, p float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(len(s)-1, int(p*float64(len(s))))]
}
