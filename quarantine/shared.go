package quarantine

import (
	"slices"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// Report returns the crashes that this instance has seen and that still count, without the parts that were answered since,
// the version of the report, and whether it has changed since the last ReportWritten.
func (t *Tracker) Report(now time.Time) (r Report, version uint64, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Session = t.session
	for _, c := range t.report {
		parts := slices.DeleteFunc(slices.Clone(c.Parts), func(p Part) bool { return t.answeredSince(p.ID, c.at) })
		if len(parts) > 0 && now.Sub(c.at) <= evidenceLifetime {
			c.Parts = parts
			r.Crashes = append(r.Crashes, c.Crash)
		}
	}
	return r, t.reportVersion, t.reportVersion != t.reportWritten
}

// ReportWritten records that a version of the report was written to the store.
func (t *Tracker) ReportWritten(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportWritten = max(t.reportWritten, version)
}

// Active reports whether there is anything that expires.
func (t *Tracker) Active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects) > 0 || len(t.entries) > 0
}

// MergeReport adds the crashes of another instance's report that were not merged before. earlier is true for a report that
// was in the store when this process began to read it.
func (t *Tracker) MergeReport(reporter string, r *Report, earlier bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reporter == t.instance && r.Session == t.session {
		return
	}
	last, known := t.merged[reporter]
	if !known && len(t.merged) >= maxReporters {
		return
	}
	if last.session != r.Session {
		last = mergedReport{session: r.Session}
	}
	for i := range r.Crashes {
		c := &r.Crashes[i]
		if c.Sequence <= last.sequence {
			continue
		}
		last.sequence = c.Sequence
		t.moments.join(c.Server, c.Beside, now)
		for i, p := range c.Parts {
			if !t.answeredLately(p.ID, now) {
				t.addEvidence(p, c.Server, observation{request: c.Request, at: now, earlier: earlier, position: i}, now)
			}
		}
	}
	t.merged[reporter] = last
	t.evaluate(now)
}

// ForgetReporter forgets what was merged from an instance whose report has gone.
func (t *Tracker) ForgetReporter(reporter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.merged, reporter)
}

// BeginEpoch has this instance's report written again, because the store has come back from an older copy.
func (t *Tracker) BeginEpoch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.report) > 0 {
		t.rewrites++
		t.changeReport()
	}
}

// Rewrites returns the number of records that were written again, or are to be, because the store had lost them.
func (t *Tracker) Rewrites() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rewrites
}

// keepsOverRestored reports whether an entry of a new epoch of the store is an older one than is known, which has come back
// with the store. The known one is written again then.
func (t *Tracker) keepsOverRestored(h *held, e *Entry, revision uint64, now time.Time) bool {
	if h.revision == 0 || external.EpochOf(revision) == external.EpochOf(h.revision) {
		return false
	}
	same := e.Probes == h.Probes && e.Lifted == h.Lifted
	if !same && external.NumberOf(revision) > external.NumberOf(h.revision) {
		return false
	}
	h.revision = revision
	if !same {
		t.rewrites++
	}
	switch {
	case same:
	case h.By == t.instance:
		h.writeAt = now
	default:
		h.writeAt = now.Add(adoptDelay)
	}
	t.signal()
	return true
}

// MergeEntry takes over an entry of the store. revision is that of the store's item.
func (t *Tracker) MergeEntry(e Entry, revision uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entries[e.ID]
	if h != nil && (revision <= h.revision || t.keepsOverRestored(h, &e, revision, now)) {
		return
	}
	if h == nil {
		if len(t.entries) >= maxEntries {
			t.logEvent(EventIgnored, e)
			return
		}
		h = &held{Entry: Entry{Part: e.Part, Lifted: true}}
		t.entries[e.ID] = h
	}
	h.revision = revision
	switch {
	case e.Lifted:
		wasHeld := !h.Lifted
		h.Entry, h.until, h.writeAt = e, now, time.Time{}
		delete(t.suspects, e.ID)
		if wasHeld {
			t.logEvent(EventLifted, e)
		}
	case h.Lifted && !h.writeAt.IsZero():
		// Lifted here meanwhile; the write follows.
	case h.Lifted || e.Probes > h.Probes:
		h.Entry, h.until, h.writeAt = e, now.Add(e.Term()), time.Time{}
		delete(t.suspects, e.ID)
		t.logEvent(EventLearned, e)
		if t.answeredLately(e.ID, now) && e.Probes == 0 {
			t.lift(h, now)
		}
	default:
		h.writeAt = time.Time{}
	}
	t.countEntries()
	t.evaluate(now)
}

// RemoveEntry records that the entry of a part has left the store. If its term is not over, it is to be
// written again: its lease may have lapsed while the store was down.
func (t *Tracker) RemoveEntry(id uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entries[id]
	if h == nil {
		return
	}
	if h.Lifted || !now.Before(h.until) {
		t.forget(h)
		return
	}
	t.rewrites++
	h.revision, h.writeAt = 0, now.Add(adoptDelay)
	t.signal()
}

// KeepEntries calls RemoveEntry for the entries that were in the store and are not in a new list of it.
func (t *Tracker) KeepEntries(listed map[uint64]bool, now time.Time) {
	t.mu.Lock()
	var gone []uint64
	for id, h := range t.entries {
		if h.revision > 0 && !listed[id] {
			gone = append(gone, id)
		}
	}
	t.mu.Unlock()
	for _, id := range gone {
		t.RemoveEntry(id, now)
	}
}

func (t *Tracker) forget(h *held) {
	delete(t.entries, h.ID)
	if !h.Lifted {
		t.logEvent(EventForgotten, h.Entry)
	}
	t.countEntries()
}

// Expire forgets the entries whose term and time for a probe are over.
func (t *Tracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireEvidence(now)
	for _, h := range t.entries {
		if h.expired(now) {
			t.forget(h)
		}
	}
}

// Write is an entry to be written to the store.
type Write struct {
	Entry Entry
	// Expected is the revision that the store's item must have; 0 if it must not exist.
	Expected uint64
}

// Writes returns the entries that are to be written now, and when the next one is; zero if there is none.
func (t *Tracker) Writes(now time.Time) (due []Write, next time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.entries {
		switch {
		case h.writeAt.IsZero():
		case !now.Before(h.writeAt):
			due = append(due, Write{Entry: copyEntry(&h.Entry), Expected: h.revision})
		case next.IsZero() || h.writeAt.Before(next):
			next = h.writeAt
		}
	}
	return due, next
}

func copyEntry(e *Entry) Entry {
	out := *e
	out.Servers = slices.Clone(e.Servers)
	return out
}

// Written records the revision that a write got.
func (t *Tracker) Written(w *Write, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entries[w.Entry.ID]
	if h == nil || revision <= h.revision {
		return
	}
	h.revision = revision
	if h.Lifted == w.Entry.Lifted {
		h.writeAt = time.Time{}
	}
}

// ProbeWrite returns the entry whose write makes a request the probe for a part: the next term begins. The
// request may be sent only after the write has succeeded. ok is false if there is no probe to make.
func (t *Tracker) ProbeWrite(id uint64, now time.Time) (w Write, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.entries[id]
	if h == nil || h.Lifted || now.Before(h.until) || h.expired(now) || now.Sub(h.claimedAt) < minRetryAfter {
		return Write{}, false
	}
	h.claimedAt = now
	w = Write{Entry: copyEntry(&h.Entry), Expected: h.revision}
	w.Entry.Probes++
	w.Entry.By = t.instance
	return w, true
}

// Status is a quarantined part for operators.
type Status struct {
	Part    string   `json:"part"`
	Probes  int      `json:"probes"`
	LeftMS  int64    `json:"left_ms"`
	Servers []string `json:"servers"`
	By      string   `json:"by"`
}

// Status returns the quarantined parts by name.
func (t *Tracker) Status(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, h := range t.entries {
		if !h.Lifted && !h.expired(now) {
			out = append(out, Status{Part: h.Name, Probes: h.Probes, LeftMS: max(0, h.until.Sub(now).Milliseconds()), Servers: slices.Clone(h.Servers), By: h.By})
		}
	}
	slices.SortFunc(out, func(a, b Status) int {
		if a.Part < b.Part {
			return -1
		}
		return 1
	})
	return out
}
