package scaling

import (
	"math"
	"time"
)

// Limits are the operator's limits for a service. They apply to each data centre.
type Limits struct {
	Min, Max int
	// BootTime is the time from an order for a server until it serves.
	BootTime time.Duration
}

// Server is a registered backend server that is not leaving.
type Server struct {
	// Prefill is true for engines that only prefill prompts; all others generate answers.
	Prefill bool
	Slots   int
	// Requests is the number of requests that run or wait there.
	Requests int
	// Known is true if the server told its load lately or has requests of this process. Without it, Requests says
	// nothing.
	Known bool
	// Usable is false while the server gets no requests because it failed.
	Usable bool
}

// DataCentre is the state of a service in a data centre.
type DataCentre struct {
	Name    string
	Servers []Server
}

// Observation is the state of a service at one time, as known to the process that plans.
type Observation struct {
	Limits Limits
	// Offered and Refused count the requests of this process since the previous observation: all, and those refused
	// because servers were too busy.
	Offered, Refused int
	// RolesChange is true while engines change their roles or have been ordered to.
	RolesChange bool
	DataCentres []DataCentre
}

const (
	// targetGenerating is the fraction of the slots that are in use with as many servers as needed. It is that of the
	// plan of roles.
	targetGenerating = 0.7
	// targetPrefill is the fraction of time in which prefill engines are busy with as many as needed. At 0.6 a prompt
	// waits for three quarters of a prefill on average.
	targetPrefill = 0.6
	// peakGenerating and peakPrefill are the same for the busiest second of the window, and the fractions from which
	// servers are added although no caller waits. At 0.75 a prompt waits for one and a half prefills on average.
	peakGenerating = 0.85
	peakPrefill    = 0.75
	// fullShare is the busy fraction from which a role cannot take the requests that are being refused, so that the
	// refusals add to its demand. The busiest role counts as that busy if many are refused: load reports are up to 2 s
	// old and, from servers that tell the load at the arrival of a request, too low.
	fullShare = 0.75
	// halfShare is the busy fraction from which the busiest role of a data centre may be the one that refuses. Below it,
	// the refusals come from another data centre.
	halfShare = 0.5
	// maxInflation limits the ratio of offered to served requests. Refused callers return, which counts them again.
	maxInflation = 3
	// minRefused is the fraction of refused requests from which callers count as waiting. Single requests are refused
	// for their size at any load.
	minRefused = 0.05
	// manyRefused is the fraction that no chance explains.
	manyRefused = 0.1
	// waitingGenerating and waitingPrefill are the busy fractions of a role from which callers wait.
	waitingGenerating = 1
	waitingPrefill    = 0.84
)

// demand is the work in a data centre, in servers that would be fully busy with it.
type demand struct {
	generate, prefill float64
}

func (d demand) max(other demand) demand {
	return demand{max(d.generate, other.generate), max(d.prefill, other.prefill)}
}

// servers returns the number of servers that the work needs.
func (d demand) servers() float64 { return d.generate/targetGenerating + d.prefill/targetPrefill }

// peakServers returns the number of servers that the work needs for a short time.
func (d demand) peakServers() float64 { return d.generate/peakGenerating + d.prefill/peakPrefill }

// measurement is what one observation tells of a data centre.
type measurement struct {
	demand
	usable, unusable int
	// known is true if at least one server told its load.
	known bool
	// waits is true if callers wait for a slot or behind other prompts, or are refused.
	waits bool
}

// measure returns the demand in a data centre. Servers whose load is unknown count as busy as the mean of the others
// of their role. inflation is the ratio of offered to served requests.
func measure(dc *DataCentre, inflation float64) measurement {
	var m measurement
	var generating, prefilling role
	for i := range dc.Servers {
		s := &dc.Servers[i]
		if !s.Usable {
			m.unusable++
			continue
		}
		m.usable++
		r := &generating
		if s.Prefill {
			r = &prefilling
		}
		r.usable++
		if s.Known {
			r.known++
			r.load += r.busy(s)
		}
	}
	m.known = generating.known+prefilling.known > 0
	generate, prefill := generating.mean(), busyOfQueue(prefilling.mean())
	m.waits = generate >= waitingGenerating || prefill >= waitingPrefill
	if refused := 1 - 1/inflation; refused >= minRefused && max(generate, prefill) >= halfShare {
		m.waits = true
		busiest := &generate
		if prefill > generate {
			busiest = &prefill
		}
		if refused >= manyRefused {
			*busiest = max(*busiest, fullShare)
		}
		generate, prefill = inflate(generate, inflation), inflate(prefill, inflation)
	}
	m.generate, m.prefill = generate*float64(generating.usable), prefill*float64(prefilling.usable)
	return m
}

// role sums up the servers of one role.
type role struct {
	usable, known int
	load          float64
}

// busy returns the load of a server: the prompts at a prefill engine, or the fraction of the slots in use.
func (r *role) busy(s *Server) float64 {
	if s.Prefill {
		return float64(s.Requests)
	}
	return float64(s.Requests) / float64(max(s.Slots, 1))
}

func (r *role) mean() float64 { return r.load / float64(max(r.known, 1)) }

// inflate adds the refused work to that of a role, if it is full.
func inflate(busy, inflation float64) float64 {
	if busy < fullShare {
		return busy
	}
	return busy * inflation
}

// busyOfQueue returns the fraction of time for which an engine is busy that prefills one prompt at a time and has n
// prompts on average: the inverse of n = b + b²/(2(1-b)), the mean number in a queue with random arrivals and equal
// service times.
func busyOfQueue(n float64) float64 { return 1 + n - math.Sqrt(1+n*n) }
