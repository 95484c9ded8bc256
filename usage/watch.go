package usage

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/lease"
)

// HolderWatch follows the holder of the lease in the watch of the store. It is safe for concurrent use.
type HolderWatch struct {
	pool   string
	vacant func()
	// changed is called with what is known of the holder; ok is false if there is none.
	changed func(r lease.HolderRecord, ok bool)
	log     logrus.FieldLogger

	mu     sync.Mutex
	record lease.HolderRecord
	known  bool
}

// NewHolderWatch returns a HolderWatch.
func NewHolderWatch(pool string, log logrus.FieldLogger) *HolderWatch {
	return &HolderWatch{pool: pool, vacant: func() {}, changed: func(lease.HolderRecord, bool) {}, log: log}
}

// OnVacant sets the function that is called when the pool has no holder. It must be called before the watch starts.
func (w *HolderWatch) OnVacant(f func()) { w.vacant = f }

// OnChange sets the function that is called with what is known of the holder. It must be called before the watch starts.
func (w *HolderWatch) OnChange(f func(r lease.HolderRecord, ok bool)) { w.changed = f }

// Prefix returns the prefix of the keys to watch.
func (w *HolderWatch) Prefix() string { return lease.HolderKey(w.pool) }

// Replace implements gateway.Subscriber.
func (w *HolderWatch) Replace(entries []external.KVEntry) {
	for _, e := range entries {
		if e.Key == w.Prefix() {
			w.set(e.Value)
			return
		}
	}
	w.clear()
}

// Apply implements gateway.Subscriber.
func (w *HolderWatch) Apply(e external.KVEvent) {
	switch {
	case e.Key != w.Prefix():
	case e.Deleted:
		w.clear()
	default:
		w.set(e.Value)
	}
}

func (w *HolderWatch) set(value []byte) {
	var r lease.HolderRecord
	if err := json.Unmarshal(value, &r); err != nil {
		w.log.WithError(err).Warn("holder record unreadable")
		return
	}
	w.mu.Lock()
	w.record, w.known = r, true
	w.mu.Unlock()
	w.changed(r, true)
}

func (w *HolderWatch) clear() {
	w.mu.Lock()
	w.record, w.known = lease.HolderRecord{}, false
	w.mu.Unlock()
	w.changed(lease.HolderRecord{}, false)
	w.vacant()
}

// Holder returns the record of the current holder. ok is false if there is none.
func (w *HolderWatch) Holder() (r lease.HolderRecord, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.record, w.known
}

// maxStoredBytes limits what is kept of the counts that instances wrote to the store.
const maxStoredBytes = 4 << 20

// StoredCounts passes the counts that instances write to the store to the holder. Each instance keeps them, because it
// may become the holder.
type StoredCounts struct{ holder *Holder }

// NewStoredCounts returns a StoredCounts.
func NewStoredCounts(h *Holder) *StoredCounts { return &StoredCounts{holder: h} }

// Prefix returns the prefix of the keys to watch.
func (s *StoredCounts) Prefix() string { return CountsPrefix }

// Replace implements gateway.Subscriber.
func (s *StoredCounts) Replace(entries []external.KVEntry) {
	s.holder.mu.Lock()
	clear(s.holder.stored)
	s.holder.storedBytes = 0
	s.holder.mu.Unlock()
	for _, e := range entries {
		s.holder.addStored(e.Key, e.Value)
	}
}

// Apply implements gateway.Subscriber.
func (s *StoredCounts) Apply(e external.KVEvent) {
	s.holder.removeStored(e.Key)
	if !e.Deleted {
		s.holder.addStored(e.Key, e.Value)
	}
}

// RecordWatch tells a holder which windows are decided by the records of reports. A store that comes back from an older copy
// has an older record, and another instance may report next.
type RecordWatch struct{ holder *Holder }

// NewRecordWatch returns a RecordWatch.
func NewRecordWatch(h *Holder) *RecordWatch { return &RecordWatch{holder: h} }

// Prefix returns the prefix of the keys to watch.
func (*RecordWatch) Prefix() string { return RecordKey }

// Replace implements gateway.Subscriber.
func (w *RecordWatch) Replace(entries []external.KVEntry) {
	for _, e := range entries {
		w.note(e)
	}
}

// Apply implements gateway.Subscriber.
func (w *RecordWatch) Apply(e external.KVEvent) {
	if !e.Deleted {
		w.note(e.KVEntry)
	}
}

func (w *RecordWatch) note(e external.KVEntry) {
	if e.Key != RecordKey {
		return
	}
	var rec Record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		w.holder.cfg.Log.WithField("key", e.Key).Warn("record of the usage reports is unreadable")
		return
	}
	w.holder.noteRecord(&rec)
}

// storedMessage is a message that an instance wrote to the store.
type storedMessage struct {
	Message
	size int
}

func (h *Holder) removeStored(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m := h.stored[key]; m != nil {
		h.storedBytes -= m.size
		delete(h.stored, key)
	}
}

func (h *Holder) addStored(key string, value []byte) {
	m := &storedMessage{size: len(value)}
	err := json.Unmarshal(value, &m.Message)
	if err != nil || m.Instance != strings.TrimPrefix(key, CountsPrefix) {
		h.cfg.Log.WithField("key", key).Warn("usage counts in the store are unreadable")
		return
	}
	h.mu.Lock()
	if len(h.stored) < maxInstances && h.storedBytes+m.size <= maxStoredBytes {
		h.stored[key] = m
		h.storedBytes += m.size
	}
	h.mu.Unlock()
	if c := h.current(); c != nil {
		h.addTo(c, &m.Message)
	}
}
