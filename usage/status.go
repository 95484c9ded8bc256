package usage

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/lease"
)

// Outcomes of windows.
const (
	OutcomeReported = "reported"
	OutcomeMissed   = "missed" // not reported in time
)

// maxRecent limits the windows in the status.
const maxRecent = 12

// WindowStatus is the result of a window.
type WindowStatus struct {
	Window  int64  `json:"window"`
	Outcome string `json:"outcome"`
	// LagMS is the time from the end of the window to the result in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// Status is the state of the usage reports as known to one process.
type Status struct {
	// Holder is the instance that holds the lease for duties, and Address where it takes counts; empty if not known.
	Holder  string `json:"holder"`
	Address string `json:"address"`
	// Holding is true if this process holds it, under the number Fence. The fields below are set only then.
	Holding bool   `json:"holding"`
	Fence   uint64 `json:"fence,omitempty"`
	// Instances is the number of instances that sent counts, and LeftOut the number of counts that were ignored because
	// of a limit.
	Instances int   `json:"instances,omitempty"`
	LeftOut   int64 `json:"left_out,omitempty"`
	// Recent lists the last windows, oldest first, and LagMS is the time since the end of the last reported one.
	Recent []WindowStatus `json:"recent,omitempty"`
	LagMS  int64          `json:"lag_ms,omitempty"`
	// UnsentMS is for how long the counts of this process could not be sent to the holder.
	UnsentMS int64 `json:"unsent_ms"`
	// NotCounted is the number of runs of this process that were not counted because of a limit.
	NotCounted int64 `json:"not_counted,omitempty"`
}

// finishMissed records windows that were not reported in time.
func (h *Holder) finishMissed(missed []int64, a lease.Authority, now time.Time) {
	if len(missed) == 0 {
		return
	}
	for _, w := range missed {
		h.finish(w, OutcomeMissed, now)
	}
	h.cfg.Log.WithFields(logrus.Fields{"first": missed[0], "last": missed[len(missed)-1], "fence": a.Fence}).Error("usage windows missed: they were not reported in time")
}

// finish records the result of a window.
func (h *Holder) finish(window int64, outcome string, now time.Time) {
	lag := now.Sub(h.cfg.Windows.End(window))
	h.cfg.Metrics.UsageReport(outcome, lag)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.recent) == maxRecent {
		h.recent = h.recent[1:]
	}
	h.recent = append(h.recent, WindowStatus{Window: window, Outcome: outcome, LagMS: lag.Milliseconds()})
}

// addStatus adds the state of a holder.
func (h *Holder) addStatus(s *Status) {
	a, ok := h.cfg.Leases.Authority(h.cfg.Pool)
	if !ok {
		return
	}
	now := h.cfg.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	s.Holding, s.Fence, s.Recent = true, a.Fence, append([]WindowStatus{}, h.recent...)
	if h.collector != nil {
		s.Instances, s.LeftOut = h.collector.Instances()
	}
	for _, w := range h.recent {
		if w.Outcome == OutcomeReported {
			s.LagMS = now.Sub(h.cfg.Windows.End(w.Window)).Milliseconds()
		}
	}
}
