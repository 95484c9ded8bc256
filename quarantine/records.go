package quarantine

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Part is a prompt part.
type Part struct {
	// ID is a hash of the name.
	ID uint64 `json:"id"`
	// Name is what callers call the part.
	Name string `json:"name"`
}

// Crash is a backend server that crashed while it processed a request.
type Crash struct {
	// Sequence numbers the crashes of one report.
	Sequence uint64 `json:"seq"`
	// Server identifies one run of the backend server.
	Server  string `json:"server"`
	Request string `json:"request"`
	// Beside lists other backend servers that crashed at the same moment: at most one of them because of
	// this request.
	Beside []string `json:"beside,omitempty"`
	// Parts are the parts of the request's prompt that may have caused the crash.
	Parts []Part `json:"parts"`
}

// Report holds the crashes that one instance has seen, oldest first.
type Report struct {
	// Session identifies one run of the instance; sequence numbers start anew with each.
	Session uint64  `json:"session"`
	Crashes []Crash `json:"crashes"`
}

// Entry is the quarantine of one part, as all instances share it.
type Entry struct {
	Part
	// Probes counts the requests that were let through since the part was quarantined. It determines the
	// length of the current term.
	Probes int `json:"probes"`
	// Lifted is true if the quarantine has ended because a request with the part was answered.
	Lifted bool `json:"lifted"`
	// Servers are the backend servers whose crashes led to the quarantine.
	Servers []string `json:"servers"`
	// By is the instance that wrote the entry.
	By string `json:"by"`
}

const (
	// firstTerm is how long requests with a quarantined part are refused before one is let through as a
	// probe. A crashed engine is back after some seconds, and a probe that crashes another one costs the
	// requests on it. Each further term is twice as long, up to maxTerm, the longest that a part stays
	// refused after it has become harmless.
	firstTerm = 30 * time.Second
	maxTerm   = 4 * time.Minute
	// linger is how long after a term a probe may still be made. After that the quarantine is forgotten.
	linger = time.Minute
)

// Term returns the length of the current term.
func (e *Entry) Term() time.Duration {
	return min(maxTerm, firstTerm<<min(max(0, e.Probes), 4))
}

// Lifetime returns how long the entry is kept in the store.
func (e *Entry) Lifetime() time.Duration {
	if e.Lifted {
		return linger
	}
	return e.Term() + linger
}

// ReportLifetime is how long a report is kept in the store after its last change.
const ReportLifetime = evidenceLifetime

const (
	maxNameBytes       = 64
	maxIDBytes         = 128
	maxPartsPerCrash   = 16
	maxCrashesReported = 32
	maxPartsReported   = 64
	maxServersPerPart  = 16
)

// ErrInvalid means that a record of another instance is not valid.
var ErrInvalid = errors.New("invalid quarantine record")

// Validate checks a report of another instance.
func (r *Report) Validate() error {
	if len(r.Crashes) > maxCrashesReported {
		return fmt.Errorf("%w: %d crashes in a report, at most %d", ErrInvalid, len(r.Crashes), maxCrashesReported)
	}
	for i := range r.Crashes {
		c := &r.Crashes[i]
		if len(c.Beside) > maxServersPerPart || slices.ContainsFunc(c.Beside, func(s string) bool { return len(s) > maxIDBytes }) {
			return fmt.Errorf("%w: crash %d beside %d others, or with names that are too long", ErrInvalid, c.Sequence, len(c.Beside))
		}
		if len(c.Parts) > maxPartsPerCrash || len(c.Server) > maxIDBytes || len(c.Request) > maxIDBytes {
			return fmt.Errorf("%w: crash %d has %d parts or names that are too long", ErrInvalid, c.Sequence, len(c.Parts))
		}
		for _, p := range c.Parts {
			if len(p.Name) > maxNameBytes {
				return fmt.Errorf("%w: name of a part has %d bytes", ErrInvalid, len(p.Name))
			}
		}
	}
	return nil
}

// Validate checks an entry of another instance.
func (e *Entry) Validate() error {
	if e.Probes < 0 || len(e.Name) > maxNameBytes || len(e.Servers) > maxServersPerPart {
		return fmt.Errorf("%w: entry of part %q with %d probes and %d servers", ErrInvalid, e.Name[:min(len(e.Name), maxNameBytes)], e.Probes, len(e.Servers))
	}
	for _, s := range e.Servers {
		if len(s) > maxIDBytes {
			return fmt.Errorf("%w: name of a server has %d bytes", ErrInvalid, len(s))
		}
	}
	return nil
}
