package once

import (
	"slices"
	"time"
)

// Claim is one recorded claim. Claims are not changed after creation; a change replaces the claim.
type Claim struct {
	Key         string
	RequestID   string
	Fingerprint uint64
	Created     time.Time
	Complete    bool
	// Answer is set if Complete is true.
	Answer Answer
}

// Segment describes a sealed record.
type Segment struct {
	// Version is the version of the open record that was sealed. It names the sealed record.
	Version uint64
	// Last is the latest creation time of its claims, rounded up to a second, and not below that of
	// the record before it.
	Last time.Time
}

// Shard is one record: the open record of a shard with the list of sealed records, or a sealed
// record, whose list is empty. It does no I/O.
type Shard struct {
	Sealed []Segment

	claims []*Claim
	index  map[string]*Claim
	size   int
}

// claimOverhead is an upper bound of the encoded size of a claim without its strings, in bytes:
// flags 1, lengths 2+1+1+3, fingerprint 8, creation time 10, status 5.
const claimOverhead = 32

// segmentOverhead is an upper bound of the encoded size of a listed segment, in bytes: the differences
// to the previous one stay below 2^28 writes and 2^27 seconds.
const segmentOverhead = 8

func newShard() *Shard { return &Shard{index: map[string]*Claim{}} }

// Len returns the number of claims.
func (s *Shard) Len() int { return len(s.claims) }

// Get returns the claim of a key, or nil.
func (s *Shard) Get(key string) *Claim { return s.index[key] }

// Size returns an upper bound of the encoded size, in bytes.
func (s *Shard) Size() int { return s.size + len(s.Sealed)*segmentOverhead + recordOverhead }

func (c *Claim) size() int {
	return claimOverhead + len(c.Key) + len(c.RequestID) + len(c.Answer.ContentType) + len(c.Answer.Body)
}

// Clone returns a copy that can be changed independently.
func (s *Shard) Clone() *Shard {
	n := &Shard{
		Sealed: slices.Clone(s.Sealed),
		claims: slices.Clone(s.claims),
		index:  make(map[string]*Claim, len(s.claims)),
		size:   s.size,
	}
	for _, c := range s.claims {
		n.index[c.Key] = c
	}
	return n
}

func (s *Shard) add(c *Claim) {
	s.claims = append(s.claims, c)
	s.index[c.Key] = c
	s.size += c.size()
}

func (s *Shard) replace(old, c *Claim) {
	s.claims[slices.Index(s.claims, old)] = c
	s.index[c.Key] = c
	s.size += c.size() - old.size()
}

func (s *Shard) remove(c *Claim) {
	i := slices.Index(s.claims, c)
	s.claims = slices.Delete(s.claims, i, i+1)
	delete(s.index, c.Key)
	s.size -= c.size()
}

// Expire drops the claims that are older than keep and returns their number.
func (s *Shard) Expire(now time.Time, keep time.Duration) int {
	dropped := 0
	s.claims = slices.DeleteFunc(s.claims, func(c *Claim) bool {
		if now.Sub(c.Created) <= keep {
			return false
		}
		dropped++
		delete(s.index, c.Key)
		s.size -= c.size()
		return true
	})
	return dropped
}

// Apply performs one request on the record. It returns the result and whether the record changed.
// The caller has made sure that the key is in no other record of the shard.
func (s *Shard) Apply(r *Request, now time.Time, set *Settings) (Result, bool) {
	c := s.index[r.Key]
	switch r.Action {
	case ActionClaim:
		return s.claim(c, r, now, set)
	case ActionComplete:
		return s.complete(c, r, set)
	case ActionRelease:
		return s.release(c, r)
	}
	return Result{State: StateUnavailable, Err: ErrInvalid}, false
}

func (s *Shard) claim(c *Claim, r *Request, now time.Time, set *Settings) (Result, bool) {
	switch {
	case !KeyAccepted(r.Key, now, set):
		return Result{State: StateExpired}, false
	case c != nil:
		return c.result(r), false
	}
	n := &Claim{Key: r.Key, RequestID: r.RequestID, Fingerprint: r.Fingerprint, Created: now}
	if s.Size()+n.size() > MaxRecordBytes {
		return Result{State: StateUnavailable, Err: ErrRecordFull}, false
	}
	s.add(n)
	return Result{State: StateGranted}, true
}

// result is what a request is told that meets an existing claim.
func (c *Claim) result(r *Request) Result {
	switch {
	case c.Fingerprint != r.Fingerprint:
		return Result{State: StateMismatch}
	case c.Complete:
		return Result{State: StateComplete, Answer: c.Answer}
	case c.RequestID == r.RequestID:
		return Result{State: StateGranted}
	}
	return Result{State: StateHeld}
}

func (s *Shard) complete(c *Claim, r *Request, set *Settings) (Result, bool) {
	if c == nil {
		return Result{State: StateNone}, false
	}
	if c.RequestID != r.RequestID || c.Complete {
		return c.result(r), false
	}
	n := *c
	n.Complete, n.Answer = true, r.Answer
	if len(r.Answer.Body) > set.MaxBodyBytes || len(r.Answer.ContentType) > maxContentType ||
		s.Size()+n.size()-c.size() > MaxRecordBytes {
		n.Answer = Answer{}
	}
	s.replace(c, &n)
	return Result{State: StateComplete, Answer: n.Answer}, true
}

func (s *Shard) release(c *Claim, r *Request) (Result, bool) {
	switch {
	case c == nil:
		return Result{State: StateNone}, false
	case c.RequestID != r.RequestID || c.Complete:
		return c.result(r), false
	}
	s.remove(c)
	return Result{State: StateNone}, true
}

// last returns the latest creation time, rounded up to a second, of the claims and sealed records.
func (s *Shard) last() time.Time {
	var last time.Time
	for _, c := range s.claims {
		if c.Created.After(last) {
			last = c.Created
		}
	}
	last = last.Truncate(time.Second).Add(time.Second)
	if n := len(s.Sealed); n > 0 && s.Sealed[n-1].Last.After(last) {
		return s.Sealed[n-1].Last
	}
	return last
}

// seal returns the content of the sealed record and the open record that replaces this one. Both
// depend on this record only, so that several processes that seal one version write the same.
func (s *Shard) seal(version uint64) (sealed, open *Shard) {
	sealed = s.Clone()
	sealed.Sealed = nil
	open = newShard()
	open.Sealed = append(slices.Clone(s.Sealed), Segment{Version: version, Last: s.last()})
	return sealed, open
}
