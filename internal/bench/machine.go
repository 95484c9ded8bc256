package bench

import (
	"fmt"
	"os"
	"runtime"
	"strings"
)

// Machine describes the machine of a run: its cores and its load averages over 1, 5 and 15
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
