package once

import (
	"slices"
	"time"
)

// Claim is a recorded claim of a key. Claims are immutable; a change replaces the claim, so that clones
// of a record can share it.
type Claim struct {
	Key         string
	RequestID   string
	Fingerprint uint64
	Created     time.Time
	Complete    bool
	// Answer is set if Complete is true.
	Answer Answer
}

// SealedRef refers to a sealed record.
type SealedRef struct {
	// Version is the version of the open record that was sealed. It is part of the sealed record's key.
	Version uint64
	// LastCreated is the latest creation time of its claims, rounded up to a second, and at least
	// that of the previous sealed record.
	LastCreated time.Time
}

// Record holds claims: it is either the open record of a shard, with the list of sealed records, or a
// sealed record, whose list is empty. It does no I/O.
type Record struct {
	Sealed []SealedRef

	claims     []*Claim
	index      map[string]*Claim
	claimBytes int // sum of the sizes of the claims
}

// claimOverhead is an upper bound on the encoded size of a claim without its strings, in bytes:
// flags 1, lengths 2+1+2+3, fingerprint 8, creation time 10, status 5.
const claimOverhead = 32

// refOverhead is an upper bound on the encoded size of a SealedRef, in bytes: its differences from
// the previous one stay below 2^28 versions and 2^27 seconds.
const refOverhead = 8

func newRecord() *Record { return &Record{index: map[string]*Claim{}} }

// Len returns the number of claims.
func (rec *Record) Len() int { return len(rec.claims) }

// Get returns the claim of a key, or nil.
func (rec *Record) Get(key string) *Claim { return rec.index[key] }

// Size returns an upper bound on the encoded size, in bytes.
func (rec *Record) Size() int { return rec.claimBytes + len(rec.Sealed)*refOverhead + recordOverhead }

func (c *Claim) size() int {
	return claimOverhead + len(c.Key) + len(c.RequestID) + len(c.Answer.ContentType) + len(c.Answer.Body)
}

// Clone returns a copy that can be modified independently.
func (rec *Record) Clone() *Record {
	n := &Record{
		Sealed:     slices.Clone(rec.Sealed),
		claims:     slices.Clone(rec.claims),
		index:      make(map[string]*Claim, len(rec.claims)),
		claimBytes: rec.claimBytes,
	}
	for _, c := range rec.claims {
		n.index[c.Key] = c
	}
	return n
}

func (rec *Record) add(c *Claim) {
	rec.claims = append(rec.claims, c)
	rec.index[c.Key] = c
	rec.claimBytes += c.size()
}

func (rec *Record) replace(old, c *Claim) {
	rec.claims[slices.Index(rec.claims, old)] = c
	rec.index[c.Key] = c
	rec.claimBytes += c.size() - old.size()
}

func (rec *Record) remove(c *Claim) {
	i := slices.Index(rec.claims, c)
	rec.claims = slices.Delete(rec.claims, i, i+1)
	delete(rec.index, c.Key)
	rec.claimBytes -= c.size()
}

// Expire removes the claims that are older than maxAge and returns their number.
func (rec *Record) Expire(now time.Time, maxAge time.Duration) int {
	dropped := 0
	rec.claims = slices.DeleteFunc(rec.claims, func(c *Claim) bool {
		if now.Sub(c.Created) <= maxAge {
			return false
		}
		dropped++
		delete(rec.index, c.Key)
		rec.claimBytes -= c.size()
		return true
	})
	return dropped
}

// Apply applies one request to the record. It returns the result and whether the record changed. The
// caller must ensure that no other record of the shard contains the key.
func (rec *Record) Apply(r *Request, now time.Time, settings *Settings) (Result, bool) {
	c := rec.index[r.Key]
	switch r.Action {
	case ActionClaim:
		return rec.claim(c, r, now, settings)
	case ActionComplete:
		return rec.complete(c, r, settings)
	case ActionRelease:
		return rec.release(c, r)
	}
	return Result{State: StateUnavailable, Err: ErrInvalid}, false
}

func (rec *Record) claim(c *Claim, r *Request, now time.Time, settings *Settings) (Result, bool) {
	switch {
	case !KeyAccepted(r.Key, now, settings):
		return Result{State: StateExpired}, false
	case c != nil:
		return c.result(r), false
	}
	n := &Claim{Key: r.Key, RequestID: r.RequestID, Fingerprint: r.Fingerprint, Created: now}
	if rec.Size()+n.size() > MaxRecordBytes {
		return Result{State: StateUnavailable, Err: ErrRecordFull}, false
	}
	rec.add(n)
	return Result{State: StateGranted}, true
}

// result returns the result of a request for a key that already has a claim.
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

func (rec *Record) complete(c *Claim, r *Request, settings *Settings) (Result, bool) {
	if c == nil {
		return Result{State: StateNone}, false
	}
	if c.RequestID != r.RequestID || c.Complete {
		return c.result(r), false
	}
	n := *c
	n.Complete, n.Answer = true, r.Answer
	if len(r.Answer.Body) > settings.MaxBodyBytes || len(r.Answer.ContentType) > maxContentTypeBytes ||
		rec.Size()+n.size()-c.size() > MaxRecordBytes {
		n.Answer = Answer{}
	}
	rec.replace(c, &n)
	return Result{State: StateComplete, Answer: n.Answer}, true
}

func (rec *Record) release(c *Claim, r *Request) (Result, bool) {
	switch {
	case c == nil:
		return Result{State: StateNone}, false
	case c.RequestID != r.RequestID || c.Complete:
		return c.result(r), false
	}
	rec.remove(c)
	return Result{State: StateNone}, true
}

// lastCreated returns the latest creation time of the claims and of the last sealed record, rounded up
// to a second.
func (rec *Record) lastCreated() time.Time {
	var last time.Time
	for _, c := range rec.claims {
		if c.Created.After(last) {
			last = c.Created
		}
	}
	last = last.Truncate(time.Second).Add(time.Second)
	if n := len(rec.Sealed); n > 0 && rec.Sealed[n-1].LastCreated.After(last) {
		return rec.Sealed[n-1].LastCreated
	}
	return last
}

// seal returns the sealed record and the open record that replaces this one. Both depend only on this
// record and its version, so that processes that seal the same version write identical data.
func (rec *Record) seal(version uint64) (sealed, open *Record) {
	sealed = rec.Clone()
	sealed.Sealed = nil
	open = newRecord()
	open.Sealed = append(slices.Clone(rec.Sealed), SealedRef{Version: version, LastCreated: rec.lastCreated()})
	return sealed, open
}
