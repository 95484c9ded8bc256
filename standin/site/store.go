// Package site simulates the users' platform for tests: the metadata store, model workers and plain
// workers. It implements their HTTP protocols and records the requests it receives.
package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// StoreMode selects how the store responds to calls.
type StoreMode int

// Modes of the store.
const (
	StoreUp     StoreMode = iota // responds normally
	StoreBusy                    // responds to each call with 503
	StoreSilent                  // never responds
	StoreReset                   // closes the connection of each call
)

// Item is the state of a key at one revision.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"create-rev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// maxPageItems is the maximum number of items in one page of a range response.
const maxPageItems = 500

// firstLeaseID is below all IDs of leases. They are any numbers, larger than those of revisions.
const firstLeaseID = 1 << 62

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store is a simulated metadata store. It is safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	changed           chan struct{} // closed and replaced at each change
	items             map[string]*Item
	history           []Item
	compactedRevision uint64 // revisions up to this one are no longer in the history
	revision          uint64
	leases            map[uint64]*storeLease
	mode              StoreMode
	// lostResponses is the number of next transactions whose response is lost. They are applied after
	// lateApplyDelay, or at once if it is 0.
	lostResponses  int
	lateApplyDelay time.Duration
	calls          map[string]int
	closed         chan struct{}
	// era is sent with all answers and rises with each Restore; with 0, none is sent.
	era atomic.Uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		changed: make(chan struct{}), items: map[string]*Item{}, revision: 1, leases: map[uint64]*storeLease{},
		calls: map[string]int{}, closed: make(chan struct{}),
	}
	s.era.Store(1)
	return s
}

// Close aborts all waiting calls.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
}

// SetMode changes how the store responds. Waiting watches are aborted unless the mode is StoreUp.
func (s *Store) SetMode(m StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notifyWatchers()
}

// LoseWrites makes the store lose the responses of the next n transactions. With a delay, they are
// applied that much later, if their preconditions still hold by then. Other calls that change the store,
// such as those for leases, are not affected.
func (s *Store) LoseWrites(n int, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostResponses, s.lateApplyDelay = n, delay
}

// Compact discards the history. Watches that continue from an earlier revision end with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Calls returns the number of calls for each path, without the IDs in paths.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out
}

// Put writes a key, as an operator or a worker does, and returns the new revision. A value that is
// not a byte slice is encoded as JSON.
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

// Remove deletes a key, as an operator or a worker does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if item := s.items[key]; item != nil {
		return item.Value
	}
	return nil
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease uint64) {
	s.revision++
	item := s.items[key]
	if item == nil {
		item = &Item{Key: key, CreateRev: s.revision}
		s.items[key] = item
	}
	item.Value, item.Revision, item.Lease = value, s.revision, lease
	s.history = append(s.history, *item)
	s.notifyWatchers()
}

func (s *Store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Tombstone: true})
	s.notifyWatchers()
}

func (s *Store) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.revokeLease(id)
		}
	}
}

func (s *Store) revokeLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, item := range s.items {
		if item.Lease == id {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.remove(k)
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w := eraWriter{rw, &s.era}
	s.mu.Lock()
	s.calls[strings.Join(strings.Split(r.URL.Path, "/")[:3], "/")]++
	mode := s.mode
	s.expireLeases()
	s.mu.Unlock()
	switch mode {
	case StoreBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreReset:
		panic(http.ErrAbortHandler)
	case StoreSilent:
		s.hang(r)
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
		s.serveKeepAlive(w, path[len("/api/kv-keep/"):])
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.mu.Lock()
		id, _ := strconv.ParseUint(path[len("/api/kv-lease-end/"):], 10, 64)
		s.revokeLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// hang blocks until the caller disconnects or the store is closed, then aborts the call.
func (s *Store) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode response: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item := s.items[r.URL.Query().Get("key")]
	if item == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		CurrentRev uint64 `json:"current-rev"`
	}{*item, s.revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	items := []Item{}
	for k, item := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, *item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	morePages := len(items) > maxPageItems
	reply(w, http.StatusOK, map[string]any{
		"items": items[:min(len(items), maxPageItems)], "more-pages": morePages, "current-rev": s.revision,
	})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	timedOut := false
	for {
		s.mu.Lock()
		s.expireLeases()
		changed, mode := s.changed, s.mode
		if mode != StoreUp {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.compactedRevision || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []Item{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, q.Get("path-prefix")) {
				events = append(events, item)
			}
		}
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": s.revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		case <-s.closed:
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
	if s.lostResponses > 0 {
		s.lostResponses--
		delay := s.lateApplyDelay
		if delay > 0 {
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.apply(&t)
			})
		} else {
			s.apply(&t)
		}
		s.mu.Unlock()
		s.hang(r)
	}
	defer s.mu.Unlock()
	status, body := s.apply(&t)
	reply(w, status, body)
}

// apply executes a transaction if its preconditions hold, and returns the status and body of the
// response. The caller holds s.mu.
func (s *Store) apply(t *transaction) (int, any) {
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, condition := range t.Precondition {
		var current uint64
		if item := s.items[condition.Key]; item != nil {
			current = item.Revision
		}
		if current != condition.Revision {
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
	id := firstLeaseID + s.revision
	s.leases[id] = &storeLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": body.TTLMS})
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := strconv.ParseUint(id, 10, 64)
	l := s.leases[n]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

// EndLeases revokes all leases, as the platform's store may do for instances that it rejects.
func (s *Store) EndLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.revokeLease(id)
	}
}
