// Package boottime reads a clock that only moves forward and continues while the machine is suspended. The monotonic
// clock of package time stops there, and the wall clock may be set.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Elapsed returns the time since the machine started.
func Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// All supported kernels have the clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
