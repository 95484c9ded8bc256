package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxCopies limits the copies, maxCopiedAccounts the counts in each, which are those of one run of an instance in the
	// windows that are still due, and maxCopiedTotal those in all.
	maxCopies         = 64
	maxCopiedAccounts = 4096
	maxCopiedTotal    = 16 * maxCopiedAccounts
)

// copies holds counts of runs of other instances, which may be gone, until their windows are decided.
type copies map[source]*copied

// copied is the last copy of the counts of a run.
type copied struct {
	message *Message
	// passedTo is the lease session whose holder has these counts.
	passedTo string
}

// keepCopy keeps a copy of the counts of a run of an instance, together with what an earlier one has more.
func (h *Holder) keepCopy(m *Message) {
	c := &copied{message: m}
	if r, ok := h.cfg.Current(); ok && r.Address == m.Address {
		c.passedTo = r.Session // it comes from the holder itself
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learn(m, h.cfg.Clock.Now())
	h.addCopy(c)
}

// addCopy is keepCopy for callers that hold mu.
func (h *Holder) addCopy(c *copied) {
	m := c.message
	n := m.counts()
	if n > maxCopiedAccounts || len(m.Windows) > maxWindows {
		h.cfg.Log.WithFields(logrus.Fields{"instance": m.Instance, "counts": n}).Warn("copy of usage counts not kept: too many counts")
		return
	}
	h.dropDecidedCopies()
	from := source{m.Instance, m.Run}
	if kept := h.copies[from]; kept != nil {
		c.message = withLarger(m, kept.message)
	}
	total := n
	for other, kept := range h.copies {
		if other != from {
			total += kept.message.counts()
		}
	}
	if _, known := h.copies[from]; !known && len(h.copies) >= maxCopies || total > maxCopiedTotal {
		h.cfg.Log.WithFields(logrus.Fields{"instance": m.Instance, "copies": len(h.copies), "counts": total}).Warn("copy of usage counts not kept: too many copies")
		return
	}
	h.copies[from] = c
}

// withLarger returns a message with the larger ones of its counts and those of another message of the same run. Counts only
// rise, and copies come in any order.
func withLarger(m, other *Message) *Message {
	out := *m
	out.Windows = slices.Clone(m.Windows)
	out.DecidedThrough, out.CompleteEra = max(m.DecidedThrough, other.DecidedThrough), max(m.CompleteEra, other.CompleteEra)
	for _, w := range other.Windows {
		i := slices.IndexFunc(out.Windows, func(o WindowCounts) bool { return o.Window == w.Window })
		if i < 0 {
			out.Windows = append(out.Windows, w)
			continue
		}
		counts := maps.Clone(out.Windows[i].Counts)
		for account, n := range w.Counts {
			counts[account] = max(counts[account], n)
		}
		out.Windows[i].Counts = counts
	}
	return &out
}

// counts returns the number of counts in a message.
func (m *Message) counts() (n int) {
	for _, w := range m.Windows {
		n += len(w.Counts)
	}
	return n
}

// dropDecidedCopies discards the copies of windows that are decided or no longer due. The caller must hold mu.
func (h *Holder) dropDecidedCopies() {
	decided := max(h.floor, h.cfg.Windows.At(h.cfg.Clock.Now().Add(-retention)))
	for from, c := range h.copies {
		var left []WindowCounts
		for _, w := range c.message.Windows {
			if w.Window > decided && len(w.Counts) > 0 {
				left = append(left, w)
			}
		}
		switch len(left) {
		case 0:
			delete(h.copies, from)
		case len(c.message.Windows):
		default:
			m := *c.message
			m.Windows = left
			h.copies[from] = &copied{&m, c.passedTo}
		}
	}
}

// copiesFor returns the copies that the holder under a lease session was not sent.
func (h *Holder) copiesFor(session string) []*copied {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropDecidedCopies()
	var out []*copied
	for _, c := range h.copies {
		if c.passedTo != session {
			out = append(out, c)
		}
	}
	return out
}

// copyPassed records that the holder under a lease session was sent a copy.
func (h *Holder) copyPassed(c *copied, session string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.passedTo = session
}

// heldForOthers returns the counts that would be lost with this instance although they are not its own: copies, and, if it
// is the holder, those of runs that have ended.
func (h *Holder) heldForOthers(now time.Time) []*Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropDecidedCopies()
	var out []*Message
	for _, c := range h.copies {
		out = append(out, c.message)
	}
	if h.collector != nil {
		out = append(out, h.collector.ended(now)...)
	}
	return out
}
