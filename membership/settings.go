package membership

import (
	"fmt"
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
	// TimedOut.
	ResponseTimeout time.Duration
	// EjectAfterTimeouts is the number of timeouts since the last answer after which a member is
	// ejected. The first one makes it a suspect.
	EjectAfterTimeouts int
	// MaxEjectedFraction limits the fraction of a pool that is ejected for timeouts.
	MaxEjectedFraction float64
	// ProbeBackoffMin and ProbeBackoffMax limit the back-off between probes.
	ProbeBackoffMin, ProbeBackoffMax time.Duration
	// ProbeBackoffReset is the time since the last recovery after which the back-off of a live member
	// restarts from ProbeBackoffMin.
	ProbeBackoffReset time.Duration
	// ProbesPerSecond limits the probes of this process. A probe and its answer take about 300 bytes,
	// and the control traffic of an instance must stay below 4 KB/s.
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

// Validate returns an error if a setting is out of range.
func (s *Settings) Validate() error {
	switch {
	case s.PollInterval <= 0 || s.PollTimeout <= 0 || s.FullPollEvery < 1:
		return fmt.Errorf("membership: PollInterval %s and PollTimeout %s must be above 0, FullPollEvery %d at least 1",
			s.PollInterval, s.PollTimeout, s.FullPollEvery)
	case s.ListConfirmTime <= 0 || s.AbsentTimeout <= 0 || s.ResponseTimeout <= 0:
		return fmt.Errorf("membership: ListConfirmTime %s, AbsentTimeout %s and ResponseTimeout %s must be above 0",
			s.ListConfirmTime, s.AbsentTimeout, s.ResponseTimeout)
	case s.EjectAfterTimeouts < 1:
		return fmt.Errorf("membership: EjectAfterTimeouts is %d, must be at least 1", s.EjectAfterTimeouts)
	case s.MaxEjectedFraction < 0 || s.MaxEjectedFraction > 1:
		return fmt.Errorf("membership: MaxEjectedFraction is %g, must be between 0 and 1", s.MaxEjectedFraction)
	case s.ProbesPerSecond <= 0:
		return fmt.Errorf("membership: ProbesPerSecond is %g, must be above 0", s.ProbesPerSecond)
	case s.ProbeBackoffMin <= 0 || s.ProbeBackoffMax < s.ProbeBackoffMin || s.ProbeTick <= 0:
		return fmt.Errorf("membership: ProbeBackoffMin %s must be above 0, ProbeBackoffMax %s at least that, ProbeTick %s above 0",
			s.ProbeBackoffMin, s.ProbeBackoffMax, s.ProbeTick)
	}
	return nil
}
