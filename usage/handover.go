package usage

import (
	"context"
	"math"
	"slices"
	"time"
)

// handOverPeers is the number of instances that get the counts of one that stops, since one of them may be the next to go.
const handOverPeers = 2

// handOver gives another instance what would be lost with this one when it stops. A holder in reach has the own counts and
// the copies already. It returns false if nobody is in reach.
func (s *Sender) handOver(ctx context.Context) bool {
	address, _, ok := s.target()
	if ok && address != "" && s.finalSent == leavingThrough && len(s.cfg.Local.copiesFor(s.session)) == 0 {
		return true
	}
	messages := append(s.cfg.Local.heldForOthers(s.cfg.Clock.Now()), s.ownCopy())
	taken := 0
	peers := slices.DeleteFunc(slices.Clone(s.peers), func(a string) bool { return a == s.copyAt })
	if s.copyAt != "" {
		peers = append([]string{s.copyAt}, peers...)
	}
	for _, address := range peers {
		if taken < handOverPeers && s.copyTo(ctx, address, messages...) {
			taken++
		}
	}
	if taken == 0 {
		s.cfg.Log.WithField("runs", len(messages)).Warn("usage counts not handed over: no other instance is in reach")
	}
	return taken > 0
}

// copyOwn gives another instance a copy of the counts of this instance, which is the holder: they would be lost with it.
func (s *Sender) copyOwn(ctx context.Context, ack Ack) {
	if s.copyAt == "" {
		if len(ack.Peers) == 0 {
			return
		}
		s.copyAt = ack.Peers[0]
	}
	if !s.copyTo(ctx, s.copyAt, s.ownCopy()) {
		s.copyAt = "" // another instance gets the next copy
	}
}

// ownCopy returns a copy of the counts of this instance that were not reported yet.
func (s *Sender) ownCopy() *Message {
	m := s.message()
	m.Copy, m.Windows = true, s.cfg.Counter.Since(math.MinInt64)
	return m
}

// copyTo gives copies of counts to another instance. It returns false if that failed.
func (s *Sender) copyTo(ctx context.Context, address string, messages ...*Message) bool {
	for _, m := range messages {
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := s.cfg.Peers.Send(callCtx, address, m)
		cancel()
		if err != nil {
			s.cfg.Peers.Reset()
			return false
		}
	}
	return true
}

// passCopies passes the copies of the counts of other instances, which are gone or no longer the holder, to the holder. They
// are kept until their windows are decided, because the holder may be gone before.
func (s *Sender) passCopies(ctx context.Context, address, session string) {
	if address == "" {
		return // the own collector has them
	}
	for _, c := range s.cfg.Local.copiesFor(session) {
		m := *c.message
		m.HolderTag = s.holderTag(address)
		if _, err := s.deliver(ctx, address, &m); err != nil {
			return // tried again with the next message
		}
		s.cfg.Local.copyPassed(c, session)
	}
}

// tellFormer tells the former holder, once in the guard of a new lease, that this instance holds the lease. If the store has
// ended the former one without notice, its holder goes on until it hears of that.
func (s *Sender) tellFormer(ctx context.Context) {
	fence := s.cfg.Local.guarded()
	if fence == 0 || fence == s.formerTold || s.former.Address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m := s.message()
	m.NewFence = fence
	ack, err := s.cfg.Peers.Send(ctx, s.former.Address, m)
	if err != nil {
		return // tried again with the next message
	}
	s.formerTold = fence
	if ack.EndedAgo != nil {
		s.cfg.Local.formerEnded(fence, time.Now().Add(-*ack.EndedAgo))
	}
}

// sendRecord sends the last record of a report that was seen. If it fails, the holder asks for it again.
func (s *Sender) sendRecord(ctx context.Context, address string) {
	m := s.message()
	m.FinalThrough, m.Record, m.HolderTag = s.finalSent, s.cfg.Local.lastRecord(), s.holderTag(address)
	if _, err := s.deliver(ctx, address, m); err != nil {
		s.cfg.Log.WithError(err).WithField("address", address).Warn("record of a usage report not sent to the holder")
	}
}
