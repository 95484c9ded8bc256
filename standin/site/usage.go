package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// UsageReport is the report of a window that was carried out first.
type UsageReport struct {
	Window int64
	Counts map[string]int64
	Holder string
	At     time.Time
}

// Usage takes the reports of usage windows, and checks that the reports of one window are equal.
type Usage struct {
	length time.Duration
	mu     sync.Mutex
	first  map[int64]UsageReport
}

// HandleUsage registers POST /usage for windows of a length.
func (d *Duties) HandleUsage(length time.Duration) *Usage {
	u := &Usage{length: length, first: map[int64]UsageReport{}}
	d.Handle("/usage", func(body []byte) (string, func(*DutyCall) string, error) {
		var w struct {
			Window *int64           `json:"window-id"`
			Counts map[string]int64 `json:"counts"`
		}
		if err := json.Unmarshal(body, &w); err != nil {
			return "", nil, err
		}
		if w.Window == nil || w.Counts == nil {
			return "", nil, errors.New("window-id or counts is missing")
		}
		return "usage", func(c *DutyCall) string { return u.add(*w.Window, w.Counts, c) }, nil
	})
	return u
}

func (u *Usage) add(window int64, counts map[string]int64, c *DutyCall) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); now.Before(time.Unix(0, (window+1)*int64(u.length))) {
		return fmt.Sprintf("usage: window %d reported by %s before its end", window, c.Holder)
	}
	first, ok := u.first[window]
	if !ok {
		u.first[window] = UsageReport{Window: window, Counts: counts, Holder: c.Holder, At: time.Now()}
		return ""
	}
	if !maps.Equal(first.Counts, counts) {
		return fmt.Sprintf("usage: window %d reported by %s with %v and by %s with %v", window, first.Holder, first.Counts, c.Holder, counts)
	}
	return ""
}

// Reports returns the first report of each window, in the order of the windows.
func (u *Usage) Reports() []UsageReport {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.SortedFunc(maps.Values(u.first), func(a, b UsageReport) int { return int(a.Window - b.Window) })
}

// Lag returns the time from the end of a report's window to its arrival.
func (u *Usage) Lag(r UsageReport) time.Duration {
	return r.At.Sub(time.Unix(0, (r.Window+1)*int64(u.length)))
}
