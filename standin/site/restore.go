package site

import (
	"net/http"
	"strconv"
	"sync/atomic"
)

// eraWriter adds the era to an answer at the time at which it begins.
type eraWriter struct {
	http.ResponseWriter
	era *atomic.Uint64
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	if era := w.era.Load(); era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// SetEra sets the era without changing anything else. With 0, answers have none.
func (s *Store) SetEra(era uint64) { s.era.Store(era) }

// Copy is the content of a store at one moment.
type Copy struct {
	items    map[string]Item
	leases   map[uint64]storeLease
	revision uint64
}

// Copy returns the present content.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	c := &Copy{items: make(map[string]Item, len(s.items)), leases: make(map[uint64]storeLease, len(s.leases)), revision: s.revision}
	for k, item := range s.items {
		c.items[k] = *item
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore makes the store return to a copy: what was written since is gone, leases too, revisions and the IDs of leases are
// given out again, and the era rises. A watch from a revision that the store doesn't have gets 410.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.leases = make(map[string]*Item, len(c.items)), make(map[uint64]*storeLease, len(c.leases))
	for k, item := range c.items {
		s.items[k] = &item
	}
	for id, l := range c.leases {
		s.leases[id] = &l
	}
	s.revision, s.compactedRevision, s.history = c.revision, c.revision, nil
	s.era.Add(1)
	s.notifyWatchers()
}
