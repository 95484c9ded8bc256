package usage

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/quetzallug/quetzallug/lease"
)

// askAfter is for how long the holder is out of reach when another instance is asked for it.
const askAfter = 1500 * time.Millisecond

// target returns where counts are sent, and the session of the holder. An empty address stands for this instance.
func (s *Sender) target() (address, session string, ok bool) {
	if a, ok := s.cfg.Local.cfg.Leases.Authority(s.cfg.Local.cfg.Pool); ok {
		return "", "own " + strconv.FormatUint(a.Fence, 10), true
	}
	r, ok := s.cfg.Holder()
	if s.told.Address != "" && r.Session == s.toldOver {
		return s.told.Address, s.told.Session, true
	}
	if !ok || r.Address == "" || r.Holder == s.cfg.Instance {
		return "", "", false
	}
	s.former = r
	return r.Address, r.Session, true
}

// holderChanged reports whether counts were not yet sent to the present holder.
func (s *Sender) holderChanged() bool {
	_, session, ok := s.target()
	return ok && session != s.session
}

// holderTag returns the tag of the session to whose holder messages are sent; 0 if that is this instance.
func (s *Sender) holderTag(address string) uint32 {
	if address == "" {
		return 0
	}
	return sessionTag(s.session)
}

// learnHolder takes over the holder that another instance has named.
func (s *Sender) learnHolder(address, session string) {
	r, _ := s.cfg.Holder()
	if address == "" || address == s.cfg.Address || session == r.Session {
		return
	}
	s.told, s.toldOver = lease.HolderRecord{Address: address, Session: session}, r.Session
}

// learnPeers takes over the addresses that the holder has named. A new holder knows few at first, so that earlier ones are kept
// in their place.
func (s *Sender) learnPeers(named []string) {
	peers := slices.Clone(named)
	for _, address := range s.peers {
		if len(peers) < maxPeers && !slices.Contains(peers, address) {
			peers = append(peers, address)
		}
	}
	s.peers = peers
}

// ask asks another instance for the holder. An instance that is cut off from the store does not see a new one.
func (s *Sender) ask(ctx context.Context, now time.Time) {
	if len(s.peers) == 0 {
		return
	}
	s.askedAt = now
	address := s.peers[rand.IntN(len(s.peers))]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m := s.message()
	m.FinalThrough = s.finalSent
	ack, err := s.cfg.Peers.Send(ctx, address, m)
	switch {
	case err != nil:
	case ack.NotHolder:
		s.learnHolder(ack.HolderAddress, ack.HolderSession)
	default:
		session := ack.HolderSession
		if session == "" {
			session = "at " + address // of an instance that doesn't tell
		}
		s.learnHolder(address, session)
	}
}
