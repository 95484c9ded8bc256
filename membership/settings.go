package membership

import (
	"errors"
	"time"
)

// Settings configures a View and its Runner.
type Settings struct {
	// PollInterval is the mean time between two reads of the instance list.
	PollInterval time.Duration
	// PollTimeout bounds one read of the instance list.
	PollTimeout time.Duration
	// FullPollEvery is the number of reads after which the whole list is requested again, so that a
	// reset of the list's version is detected.
	FullPollEvery int
	// ListConfirmTime is the time for which an empty list after a non-empty one, or a list with a lower
	// version, must be returned before it is accepted. An empty list is never accepted while any member
	// answers.
	ListConfirmTime time.Duration
	// AbsentTimeout is the time after which a member that is absent from the list is removed, counted
	// from its last answer or from its removal from the list, whichever is later.
	AbsentTimeout time.Duration
	// ResponseTimeout is the time without a response after which an attempt or probe is reported as
	// Silent.
	ResponseTimeout time.Duration
	// EjectAfterTimeouts is the number of successive attempts without a response after which a member
	// is ejected. The first one makes it a suspect.
	EjectAfterTimeouts int
	// MaxEjectedFraction limits the fraction of a pool that is ejected for missing responses.
	MaxEjectedFraction float64
	// ProbeBackoffMin and ProbeBackoffMax limit the back-off between probes.
	ProbeBackoffMin, ProbeBackoffMax time.Duration
	// ProbeBackoffReset is the time since the last recovery after which the back-off of a live member
	// restarts from ProbeBackoffMin.
	ProbeBackoffReset time.Duration
	// ProbesPerSecond limits the probes of this process. A probe and its answer take about 300 bytes,
	// and the control traffic of a node must stay below 4 KB/s.
	ProbesPerSecond float64
	// ProbeTick is the interval at which due probes are sent.
	ProbeTick time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:       time.Second,
		PollTimeout:        2 * time.Second,
		FullPollEvery:      30,
		ListConfirmTime:    30 * time.Second,
		AbsentTimeout:      10 * time.Second,
		ResponseTimeout:    500 * time.Millisecond,
		EjectAfterTimeouts: 3,
		MaxEjectedFraction: 0.3,
		ProbeBackoffMin:    250 * time.Millisecond,
		ProbeBackoffMax:    15 * time.Second,
		ProbeBackoffReset:  30 * time.Second,
		ProbesPerSecond:    10,
		ProbeTick:          100 * time.Millisecond,
	}
}

// Validate reports the first setting that is out of range.
func (s *Settings) Validate() error {
	switch {
	case s.PollInterval <= 0 || s.PollTimeout <= 0 || s.FullPollEvery < 1:
		return errors.New("membership: poll interval, poll timeout and full poll interval must be positive")
	case s.ListConfirmTime <= 0 || s.AbsentTimeout <= 0 || s.ResponseTimeout <= 0:
		return errors.New("membership: list confirm time, absent timeout and response timeout must be positive")
	case s.EjectAfterTimeouts < 1:
		return errors.New("membership: timeouts before ejection must be at least 1")
	case s.MaxEjectedFraction < 0 || s.MaxEjectedFraction > 1:
		return errors.New("membership: max ejected fraction must be between 0 and 1")
	case s.ProbesPerSecond <= 0:
		return errors.New("membership: probes per second must be positive")
	case s.ProbeBackoffMin <= 0 || s.ProbeBackoffMax < s.ProbeBackoffMin || s.ProbeTick <= 0:
		return errors.New("membership: probe back-off must satisfy 0 < min <= max, and probe tick must be positive")
	}
	return nil
}
