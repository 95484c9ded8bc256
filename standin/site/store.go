// Package site is a stand-in of the users' platform: its metadata store, its model workers and its
// plain workers. It speaks their protocol over HTTP and records what it saw. Tests only.
package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreMode is how the store answers.
type StoreMode int

// Modes of the store.
const (
	StoreUp StoreMode = iota
	StoreBusy
	StoreSilent
	StoreReset
)

// Item is a key with its value.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create-rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// pageItems is the most items of one page.
const pageItems = 500

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// Store is the metadata store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	changed  chan struct{}
	items    map[string]*Item
	history  []Item
	dropped  uint64 // revisions up to this one are no longer in the history
	revision uint64
	leases   map[uint64]*storeLease
	mode     StoreMode
	// lose and late count the writes whose answers are lost, at once or applied after a delay.
	lose  int
	late  time.Duration
	calls map[string]int
	ended chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		changed: make(chan struct{}), items: map[string]*Item{}, revision: 1, leases: map[uint64]*storeLease{},
		calls: map[string]int{}, ended: make(chan struct{}),
	}
}

// Close ends all calls that wait.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// SetMode changes how the store answers.
func (s *Store) SetMode(m StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

// LoseWrites loses the answers of the next writes. With a delay, they are applied that much later if
// their condition still holds.
func (s *Store) LoseWrites(n int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.late = n, delay
}

// Compact forgets the history and cuts the watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	s.wake()
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// Put writes a key as the operator or a worker does.
func (s *Store) Put(key string, value any) uint64 {
	b, ok := value.([]byte)
	if !ok {
		b, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, b, 0)
	return s.revision
}

// Remove deletes a key as the operator or a worker does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if i := s.items[key]; i != nil {
		return i.Value
	}
	return nil
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	i := s.items[key]
	if i == nil {
		i = &Item{Key: key, CreateRev: s.revision}
		s.items[key] = i
	}
	i.Value, i.Revision, i.Lease = value, s.revision, lease
	s.history = append(s.history, *i)
	s.wake()
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Tombstone: true})
	s.wake()
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.remove(k)
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[strings.Join(strings.Split(r.URL.Path, "/")[:3], "/")]++
	mode := s.mode
	s.expire()
	s.mu.Unlock()
	switch mode {
	case StoreBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreReset:
		panic(http.ErrAbortHandler)
	case StoreSilent:
		s.silence(r)
	case StoreUp:
	}
	path := r.URL.Path
	switch {
	case path == "/api/kv-key":
		s.serveKey(w, r)
	case path == "/api/kv-range":
		s.serveRange(w, r)
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTransaction(w, r)
	case path == "/api/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.serveKeep(w, path[len("/api/kv-keep/"):])
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.mu.Lock()
		id, _ := strconv.ParseUint(path[len("/api/kv-lease-end/"):], 10, 64)
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// silence holds a call until its caller leaves.
func (s *Store) silence(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.ended:
	}
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode an answer of the stand-in: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("key")]
	if i == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		CurrentRev uint64 `json:"current-rev"`
	}{*i, s.revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	items := []Item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, *i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{
		"items": items[:min(len(items), pageItems)], "more-pages": more, "current-rev": s.revision,
	})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	over := false
	for {
		s.mu.Lock()
		s.expire()
		changed, mode := s.changed, s.mode
		if mode != StoreUp {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []Item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": s.revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			return
		case <-s.ended:
			panic(http.ErrAbortHandler)
		}
	}
}

type transaction struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.lose > 0 {
		s.lose--
		late := s.late
		if late > 0 {
			time.AfterFunc(late, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.apply(&t)
			})
		} else {
			s.apply(&t)
		}
		s.mu.Unlock()
		s.silence(r)
	}
	defer s.mu.Unlock()
	status, body := s.apply(&t)
	reply(w, status, body)
}

func (s *Store) apply(t *transaction) (int, any) {
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, c := range t.Precondition {
		var now uint64
		if i := s.items[c.Key]; i != nil {
			now = i.Revision
		}
		if now != c.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []Item{}}
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMS < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.leases[s.revision] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl-ms": body.TTLMS})
}

func (s *Store) serveKeep(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := strconv.ParseUint(id, 10, 64)
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

// EndLeases ends all leases, as the store may do to machines that it turns away.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}
