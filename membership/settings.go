package membership

import (
	"errors"
	"time"
)

// Settings are the settings of membership.
type Settings struct {
	// PollInterval is the mean time between two reads of the instance list.
	PollInterval time.Duration
	// PollTimeout bounds one read of the instance list.
	PollTimeout time.Duration
	// FullEvery is the number of reads after which the whole list is asked for again, so that a list
	// whose version was reset is noticed.
	FullEvery int
	// ConfirmList is the time for which an empty list after a non-empty one, or a list with a lower
	// version, must be seen before it is believed. An empty list is also not believed while any member
	// answers.
	ConfirmList time.Duration
	// KeepAbsent is the time for which a member that is absent from the list stays after its last
	// answer.
	KeepAbsent time.Duration
	// SilenceAfter is the time without any frame after which the sender of an attempt or probe
	// reports silence.
	SilenceAfter time.Duration
	// EjectAttempts is the number of successive silent attempts that eject a member. The first one
	// makes it suspect.
	EjectAttempts int
	// MaxEjectedShare bounds the part of a pool that is ejected for silence.
	MaxEjectedShare float64
	// ProbeMin and ProbeMax bound the back-off between probes.
	ProbeMin, ProbeMax time.Duration
	// ProbeReset is the time of good health after which the back-off starts from ProbeMin again.
	ProbeReset time.Duration
	// ProbesPerSecond bounds the probes of this process. A probe and its answer take about 300 bytes,
	// and control traffic is to stay under 4 KB/s per node.
	ProbesPerSecond float64
	// ProbeTick is the time between two looks at the probes that are due.
	ProbeTick time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:    time.Second,
		PollTimeout:     2 * time.Second,
		FullEvery:       30,
		ConfirmList:     30 * time.Second,
		KeepAbsent:      10 * time.Second,
		SilenceAfter:    500 * time.Millisecond,
		EjectAttempts:   3,
		MaxEjectedShare: 0.3,
		ProbeMin:        250 * time.Millisecond,
		ProbeMax:        15 * time.Second,
		ProbeReset:      30 * time.Second,
		ProbesPerSecond: 10,
		ProbeTick:       100 * time.Millisecond,
	}
}

// Validate reports the first setting that is out of range.
func (s *Settings) Validate() error {
	switch {
	case s.PollInterval <= 0 || s.PollTimeout <= 0 || s.FullEvery < 1:
		return errors.New("membership: poll interval, poll timeout and full every must be positive")
	case s.ConfirmList <= 0 || s.KeepAbsent <= 0 || s.SilenceAfter <= 0:
		return errors.New("membership: confirm list, keep absent and silence after must be positive")
	case s.EjectAttempts < 1:
		return errors.New("membership: eject attempts must be at least 1")
	case s.MaxEjectedShare < 0 || s.MaxEjectedShare > 1:
		return errors.New("membership: max ejected share must be between 0 and 1")
	case s.ProbesPerSecond <= 0:
		return errors.New("membership: probes per second must be positive")
	case s.ProbeMin <= 0 || s.ProbeMax < s.ProbeMin || s.ProbeTick <= 0:
		return errors.New("membership: want 0 < probe min <= probe max and probe tick above 0")
	}
	return nil
}
