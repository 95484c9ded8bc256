package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// DutyLease is the shortest time in which holders of a duty may act in the order A, B, A.
	DutyLease = 3 * time.Second
	// ThawSlack is the time after a holder was resumed or its link was restored in which its calls are excused.
	ThawSlack = 300 * time.Millisecond
	// dutyHang is how long an unanswered call is kept open.
	dutyHang = 30 * time.Second
)

// DutyMode is how the platform treats the calls of duties.
type DutyMode int

// Modes of duties.
const (
	DutiesUp     DutyMode = iota
	DutiesBusy            // answers 429 and carries out nothing
	DutiesDown            // closes connections without carrying out anything
	DutiesSilent          // carries out nothing and does not answer
	DutiesLossy           // carries out each call and closes its connection without an answer
	DutiesLate            // carries out each call 5 s later and does not answer
	DutiesError           // answers 500 and carries out nothing
)

// lateDuty is the delay of DutiesLate.
const lateDuty = 5 * time.Second

// DutyCall is one call that reached the platform.
type DutyCall struct {
	Holder  string
	Fence   uint64
	Subject string
	Body    string
	At      time.Time
	// Excused is true if the call came within ThawSlack after its holder was resumed or its link was restored.
	Excused bool
	// Done is true if the call was carried out.
	Done bool
}

// Duties is the part of the platform that takes the calls of duties, and checks the rules on holders and fences for
// each subject. It is safe for concurrent use.
type Duties struct {
	mux *http.ServeMux
	// perSecond is the number of calls per second that are accepted; further ones get 429.
	perSecond int

	mu         sync.Mutex
	mode       DutyMode
	calls      []*DutyCall
	excusedTo  map[string]time.Time
	violations []string
	second     int64
	inSecond   int
}

// NewDuties returns a platform that accepts a number of calls per second.
func NewDuties(perSecond int) *Duties {
	return &Duties{mux: http.NewServeMux(), perSecond: perSecond, excusedTo: map[string]time.Time{}}
}

// Handle registers a kind of call. parse returns the subject of a call, and a function that carries it out, or an error
// if the body is malformed. Carrying out a call may return a violation of the rules of that kind, or an empty string.
func (d *Duties) Handle(path string, parse func(body []byte) (subject string, carryOut func(c *DutyCall) (violation string), err error)) {
	d.mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
		at := time.Now()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		fence, fenceErr := strconv.ParseUint(r.Header.Get("Quetzallug-Fencing-Token"), 10, 64)
		subject, carryOut, err := parse(body)
		holder := r.Header.Get("Quetzallug-Duty-Holder")
		if err != nil || fenceErr != nil || holder == "" {
			d.violate("malformed call %s: %q: %v, %v", path, body, err, fenceErr)
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		c := &DutyCall{Holder: holder, Fence: fence, Subject: subject, Body: string(body), At: at}
		mode, ok := d.arrive(c)
		if !ok {
			rw.WriteHeader(http.StatusTooManyRequests)
			return
		}
		d.answer(rw, r, c, mode, carryOut)
	})
}

func (d *Duties) answer(rw http.ResponseWriter, r *http.Request, c *DutyCall, mode DutyMode, carryOut func(*DutyCall) string) {
	run := func() {
		if v := carryOut(c); v != "" && !c.Excused {
			d.violate("%s", v)
		}
		d.mu.Lock()
		c.Done = true
		d.mu.Unlock()
	}
	hang := func() {
		select {
		case <-r.Context().Done():
		case <-time.After(dutyHang):
		}
	}
	switch mode {
	case DutiesUp:
		run()
		rw.WriteHeader(http.StatusOK)
	case DutiesBusy:
		rw.WriteHeader(http.StatusTooManyRequests)
	case DutiesError:
		rw.WriteHeader(http.StatusInternalServerError)
	case DutiesDown:
		panic(http.ErrAbortHandler)
	case DutiesSilent:
		hang()
	case DutiesLossy:
		run()
		panic(http.ErrAbortHandler)
	case DutiesLate:
		time.AfterFunc(lateDuty, run)
		hang()
	}
}

// arrive records a call and checks the rules. ok is false if it exceeds the rate.
func (d *Duties) arrive(c *DutyCall) (mode DutyMode, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := c.At.Unix(); s != d.second {
		d.second, d.inSecond = s, 0
	}
	if d.inSecond++; d.inSecond > d.perSecond {
		return d.mode, false
	}
	c.Excused = c.At.Before(d.excusedTo[c.Holder])
	d.violations = append(d.violations, d.check(c)...)
	d.calls = append(d.calls, c)
	return d.mode, true
}

// check returns the rules that a call violates: each fencing token has one holder, tokens never decrease, and holders
// do not act in the order A, B, A within DutyLease. The caller holds mu.
func (d *Duties) check(c *DutyCall) []string {
	if c.Excused {
		return nil
	}
	var found []string
	var other *DutyCall
	for _, earlier := range slices.Backward(d.calls) {
		if earlier.Subject != c.Subject || earlier.Excused {
			continue
		}
		if earlier.Fence == c.Fence && earlier.Holder != c.Holder {
			found = append(found, fmt.Sprintf("%s: fencing token %d of %s and %s", c.Subject, c.Fence, earlier.Holder, c.Holder))
		}
		if earlier.Fence > c.Fence {
			found = append(found, fmt.Sprintf("%s: fencing token %d of %s after %d of %s", c.Subject, c.Fence, c.Holder, earlier.Fence, earlier.Holder))
		}
		if other == nil && earlier.Holder != c.Holder {
			other = earlier
		}
		if other != nil && earlier.Holder == c.Holder && c.At.Sub(earlier.At) < DutyLease {
			found = append(found, fmt.Sprintf("%s: %s acts after %s, %s after its last call", c.Subject, c.Holder, other.Holder, c.At.Sub(earlier.At)))
		}
	}
	return found
}

func (d *Duties) violate(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// ServeHTTP implements http.Handler.
func (d *Duties) ServeHTTP(rw http.ResponseWriter, r *http.Request) { d.mux.ServeHTTP(rw, r) }

// SetMode sets how calls are treated.
func (d *Duties) SetMode(m DutyMode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = m
}

// Excuse excuses the calls of a holder for ThawSlack, because it was resumed or its link was restored.
func (d *Duties) Excuse(holder string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.excusedTo[holder] = time.Now().Add(ThawSlack)
}

// Violations returns the violations of the rules.
func (d *Duties) Violations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.violations)
}

// Calls returns copies of the calls in the order in which they arrived, without those above the rate.
func (d *Duties) Calls() []DutyCall {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]DutyCall, len(d.calls))
	for i, c := range d.calls {
		out[i] = *c
	}
	return out
}

// Scaling carries out the orders that set numbers of workers.
type Scaling struct {
	mu     sync.Mutex
	counts map[[2]string]int
	// onCount is called with each number that was ordered, also if it is not new.
	onCount func(service, zone string, count int)
}

// HandleScale registers POST /scale. onCount is called with each number that was ordered; it may be nil.
func (d *Duties) HandleScale(onCount func(service, zone string, count int)) *Scaling {
	s := &Scaling{counts: map[[2]string]int{}, onCount: onCount}
	d.Handle("/scale", func(body []byte) (string, func(*DutyCall) string, error) {
		var w struct {
			Service string `json:"service"`
			Zone    string `json:"zone"`
			Count   *int   `json:"desired-count"`
		}
		if err := json.Unmarshal(body, &w); err != nil {
			return "", nil, err
		}
		if w.Service == "" || w.Zone == "" || w.Count == nil || *w.Count < 0 {
			return "", nil, fmt.Errorf("service, zone or desired-count is missing")
		}
		return "scale " + w.Service + " " + w.Zone, func(*DutyCall) string {
			s.set(w.Service, w.Zone, *w.Count)
			return ""
		}, nil
	})
	return s
}

func (s *Scaling) set(service, zone string, count int) {
	s.mu.Lock()
	s.counts[[2]string{service, zone}] = count
	s.mu.Unlock()
	if s.onCount != nil {
		s.onCount(service, zone, count)
	}
}

// Count returns the number last ordered for a service in a zone. ok is false if there was no order.
func (s *Scaling) Count(service, zone string) (count int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, ok = s.counts[[2]string{service, zone}]
	return count, ok
}
