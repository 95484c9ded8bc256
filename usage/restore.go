package usage

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
)

// OutcomeWithheld is the outcome of a window that is not reported because an earlier holder may have reported it: the store
// has lost the records since then, and nobody is known who can tell.
const OutcomeWithheld = "withheld"

// priorReports is what a process knows of the reports that were recorded before the store came back from an older copy. Such
// a store may lack the last records, and with the silence of other instances goes no proof that there were none.
type priorReports struct {
	// era is the latest era of the store that was seen, and seenAt when it was first seen. Records of earlier eras were
	// written before.
	era    uint64
	seenAt time.Time
	// completeEra is the era before which no window above the decided ones was recorded; 0 if none is known. A holder knows
	// this of the era that ended its authority.
	completeEra uint64
	// uncertainThrough is the last window that may have been recorded in an earlier era, for the lease under which records
	// were last read.
	uncertainThrough int64
	// readUnder is the number of that lease if they were read after its guard. Before, the former holder may still record one.
	readUnder uint64
}

// observeEra records when an era of the store was first seen. The caller must hold mu.
func (h *Holder) observeEra() {
	if era := h.cfg.Era(); era != h.prior.era {
		h.prior.era, h.prior.seenAt = era, time.Now()
	}
}

// endAuthority keeps what is known at the end of an authority. The caller must hold mu.
func (h *Holder) endAuthority() {
	if h.fence == 0 {
		return
	}
	era, lost := h.authority.LostTo()
	if !lost || h.prior.readUnder != h.fence {
		return
	}
	h.floor = max(h.floor, h.uncertain())
	h.prior.completeEra = era
}

// uncertain returns the last window that an earlier holder may have reported although no record tells so. The caller must
// hold mu.
func (h *Holder) uncertain() int64 {
	if h.prior.completeEra == h.prior.era {
		return math.MinInt64
	}
	return h.prior.uncertainThrough
}

// mayBeReported reports whether an earlier holder may have reported a window although no record tells so.
func (h *Holder) mayBeReported(window int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return window <= h.uncertain()
}

// recordsRead records that the record in the store was read under a lease. Windows that ended before the era of the store
// began may have been reported, unless the record was written in this era: then it follows on all earlier ones.
func (h *Holder) recordsRead(stored *Record, fence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observeEra()
	h.prior.uncertainThrough = math.MinInt64
	if !time.Now().Before(h.mayCallAt) {
		h.prior.readUnder = fence
	}
	if h.prior.era == 0 || stored != nil && stored.Era == h.prior.era {
		return
	}
	// Windows are recorded after their end by the clock of the holder.
	seen := h.cfg.Clock.Now().Add(clockDisagreement - time.Since(h.prior.seenAt))
	h.prior.uncertainThrough = h.cfg.Windows.At(seen) - 1
	h.cfg.Log.WithFields(logrus.Fields{
		"era": h.prior.era, "complete_era": h.prior.completeEra, "decided": h.floor, "uncertain": h.uncertain(),
	}).Warn("the store may have lost records of usage reports; windows that may have been reported are not reported again")
}

// era returns the latest era of the store that was seen.
func (h *Holder) era() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.prior.era
}

// recordsMissing reports whether the records have to be read under a lease: at its begin, for the collection of counts, and
// after its guard, because the former holder may have recorded one meanwhile.
func (h *Holder) recordsMissing(fence uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reload {
		h.reload = false
		return true
	}
	return h.loaded != fence || h.prior.readUnder != fence && !time.Now().Before(h.mayCallAt)
}

// tell adds what this process knows of earlier reports to a message.
func (h *Holder) tell(m *Message) {
	if _, ok := h.cfg.Leases.Authority(h.cfg.Pool); !ok {
		h.release()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m.DecidedThrough, m.CompleteEra = h.floor, h.prior.completeEra
	if rec := h.newest; rec != nil {
		m.DecidedThrough = max(m.DecidedThrough, rec.Window)
		if _, ok := rec.report(); ok && h.cfg.Clock.Now().Before(h.cfg.Windows.Due(rec.Window)) {
			m.RecordWindow = rec.Window
		}
	}
}

// learn takes over what another instance knows of earlier reports. The caller must hold mu.
func (h *Holder) learn(m *Message, now time.Time) {
	ended := h.cfg.Windows.At(now.Add(clockDisagreement)) - 1
	if m.DecidedThrough > ended || m.Record != nil && m.Record.Window > ended {
		h.cfg.Log.WithFields(logrus.Fields{"instance": m.Instance, "decided": m.DecidedThrough, "ended": ended}).Warn("an instance names a usage window that has not ended as decided; ignored")
		return
	}
	h.observeEra()
	if m.DecidedThrough > h.floor {
		h.raiseFloor(m.DecidedThrough)
	}
	if m.CompleteEra != 0 && m.CompleteEra == h.prior.era && h.prior.completeEra != m.CompleteEra {
		h.prior.completeEra = m.CompleteEra
		h.cfg.Log.WithFields(logrus.Fields{"instance": m.Instance, "era": m.CompleteEra, "decided": m.DecidedThrough}).Info("the former holder has told which usage windows were reported")
	}
	if rec := m.Record; rec != nil && (h.newest == nil || rec.Window > h.newest.Window) {
		h.newest, h.reload = rec, true
		h.cfg.Log.WithFields(logrus.Fields{"instance": m.Instance, "window": rec.Window}).Info("an instance has told the record of a usage report that the store has lost")
	}
}

// wantsRecord reports whether the record of a window that another instance has would be sent to the platform again.
func (h *Holder) wantsRecord(window int64, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return window != 0 && window >= h.floor && (h.newest == nil || window > h.newest.Window) && now.Before(h.cfg.Windows.Due(window))
}

// lastRecord returns the record with the last window that this process has seen, or nil.
func (h *Holder) lastRecord() *Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newest
}

// withhold leaves out a window that may have been reported.
func (h *Holder) withhold(window int64, now time.Time) {
	h.reporter.skipTo(window + 1)
	h.decide(window)
	h.finish(window, OutcomeWithheld, now)
	h.cfg.Log.WithField("window", window).Error("usage window not reported: an earlier holder may have reported it, and the store has lost its records")
}
