package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxClockGap is the time between the two reads of the monotonic clock from which a comparison with the clock that
// counts suspension is repeated, up to maxClockReads times: the process may have been descheduled in between.
const (
	maxClockGap   = time.Millisecond
	maxClockReads = 10
)

var (
	suspendedBeforeStart = readSuspendedTime()
	// suspendedTime is replaced in tests, because a test cannot suspend the machine.
	suspendedTime = readSuspendedTime
)

// now returns the current time, advanced by the time in which the machine was suspended since the process started.
// The monotonic clock, to which time.Now refers, stands still meanwhile, while leases expire in the key-value service.
func now() time.Time { return time.Now().Add(suspendedTime() - suspendedBeforeStart) }

// readSuspendedTime returns how long the machine has been suspended since its start; 0 if its clocks cannot be read.
func readSuspendedTime() time.Duration {
	suspended := time.Duration(0)
	for range maxClockReads {
		before, errBefore := readClock(unix.CLOCK_MONOTONIC)
		boot, errBoot := readClock(unix.CLOCK_BOOTTIME)
		after, errAfter := readClock(unix.CLOCK_MONOTONIC)
		if errBefore != nil || errBoot != nil || errAfter != nil {
			return 0
		}
		suspended = boot - after
		if after-before < maxClockGap {
			break
		}
	}
	return max(0, suspended)
}

func readClock(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
