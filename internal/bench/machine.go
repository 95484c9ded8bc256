package bench

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// Machine describes this machine by its number of cores and its load averages over 1, 5 and 15
// minutes.
func Machine() string {
	load := "unknown"
	if b, err := os.ReadFile("/proc/loadavg"); err == nil {
		if f := strings.Fields(string(b)); len(f) >= 3 {
			load = strings.Join(f[:3], " ")
		}
	}
	return fmt.Sprintf("%d cores, load averages %s", runtime.NumCPU(), load)
}

// ownCPU returns the user and system CPU time of this process in seconds.
func ownCPU() (float64, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds(), nil
}
