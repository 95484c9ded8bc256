package usage

import (
	"time"

	"github.com/sirupsen/logrus"
)

// superseded ends the authority of this process, if it has one, because another process holds a later lease.
func (h *Holder) superseded(m *Message) Ack {
	h.mu.Lock()
	a := h.authority
	h.mu.Unlock()
	_, ended := a.EndedAt()
	a.Supersede(m.NewFence)
	ack := Ack{NotHolder: true}
	at, ok := a.EndedAt()
	if !ok {
		return ack
	}
	if !ended {
		h.cfg.Log.WithFields(logrus.Fields{"instance": m.Instance, "fence": m.NewFence, "own_fence": a.Fence}).Warn("another instance holds the lease for duties; the own authority has ended")
		h.release()
	}
	ago := time.Since(at)
	ack.EndedAgo = &ago
	return ack
}

// guarded returns the number of the present lease while its guard lasts, and 0 otherwise.
func (h *Holder) guarded() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.mayCallAt) {
		return h.fence
	}
	return 0
}

// formerEnded counts the guard of a lease from the end of the former holder's authority if that is later than the grant.
func (h *Holder) formerEnded(fence uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if may := at.Add(h.cfg.Guard); fence == h.fence && may.After(h.mayCallAt) {
		h.mayCallAt = may
	}
}
