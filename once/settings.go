package once

import (
	"fmt"
	"time"
)

// Settings configure the claims of a cluster. All entries must use the same values, except that the
// number of shards in a service's layout record overrides Shards.
type Settings struct {
	// Shards is the number of shards of a service, recorded at the service's first request. It cannot
	// be changed later.
	Shards int
	// ClaimDelay is the time for which claims are collected into a batch before a write.
	ClaimDelay time.Duration
	// CompletionDelay is the longest time for which completions and releases wait to be batched with a
	// claim.
	CompletionDelay time.Duration
	// WritesPerSecond limits the commit attempts per second of one process for one service, summed
	// over its shards. An attempt may write several records.
	WritesPerSecond float64
	// MaxBatch is the largest number of requests in one write.
	MaxBatch int
	// MaxBodyBytes is the size of the largest answer body that is recorded.
	MaxBodyBytes int
	// RotateBytes is the size of the claims in the open record, without its list of sealed records, at
	// which it is sealed.
	RotateBytes int
	// IndexBytes bounds the memory for the indexes of one shard's sealed records, at 8 bytes per claim.
	IndexBytes int
	// Retention is the minimum time for which a claim is kept, and the maximum age of a time-ordered
	// key.
	Retention time.Duration
	// Skew bounds the clock difference between any two entries, and between a caller and an entry.
	Skew time.Duration
	// CallTimeout bounds one call to the key-value service.
	CallTimeout time.Duration
	// CommitTimeout bounds one attempt to commit a batch, the time for which a request is retried after
	// its first attempt is due, and the first read of a service's layout.
	CommitTimeout time.Duration
	// ForwardTimeout bounds a forwarded request. It must leave the owner enough time to report that
	// the key-value service is unavailable; otherwise an outage of the key-value service is taken for a
	// failure of the owner.
	ForwardTimeout time.Duration
	// RetryMin and RetryMax are the first and the largest back-off between retries before jitter; a wait
	// is 50 to 150 % of it.
	RetryMin, RetryMax time.Duration
}

// MaxRecordBytes is the size of the largest value that the key-value service accepts.
const MaxRecordBytes = 1 << 20

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		// Fewer shards give larger batches: at 1,200 claims/s, the 99th percentile of the added latency
		// is 43 ms with 8 shards and 23 ms with 4.
		Shards:          4,
		ClaimDelay:      3 * time.Millisecond,
		CompletionDelay: 200 * time.Millisecond,
		WritesPerSecond: 200,
		MaxBatch:        512,
		MaxBodyBytes:    1 << 10,
		// Each write contains the whole open record: a smaller record needs less bandwidth, a larger one
		// gives a shorter list of sealed records. See docs/at-most-once.md for the calculation.
		RotateBytes:    128 << 10,
		IndexBytes:     16 << 20,
		Retention:      24 * time.Hour,
		Skew:           time.Minute,
		CallTimeout:    500 * time.Millisecond,
		CommitTimeout:  time.Second,
		ForwardTimeout: 2500 * time.Millisecond,
		RetryMin:       5 * time.Millisecond,
		RetryMax:       250 * time.Millisecond,
	}
}

// Validate reports the first setting that is out of range.
func (s *Settings) Validate() error {
	worstBatch := s.MaxBatch * (claimOverhead + MaxKeyBytes + MaxRequestIDBytes + maxContentTypeBytes + s.MaxBodyBytes)
	switch {
	case s.Shards < 1 || s.Shards > 4096:
		return fmt.Errorf("once: shards is %d, want 1 to 4096", s.Shards)
	case s.MaxBatch < 1 || s.MaxBodyBytes < 0 || s.RotateBytes < 1 || s.IndexBytes < 0:
		return fmt.Errorf("once: max batch and rotate bytes must be positive, max body bytes and index bytes must not be negative")
	case s.RotateBytes+worstBatch > MaxRecordBytes:
		return fmt.Errorf("once: rotate bytes %d and a batch of %d bytes exceed a record of %d bytes",
			s.RotateBytes, worstBatch, MaxRecordBytes)
	case s.WritesPerSecond <= 0:
		return fmt.Errorf("once: writes per second must be positive")
	case s.Retention <= 0 || s.Skew <= 0 || s.Skew >= s.Retention:
		return fmt.Errorf("once: want 0 < skew < retention")
	case s.CallTimeout <= 0 || s.CommitTimeout <= 0 || s.ForwardTimeout <= 0:
		return fmt.Errorf("once: timeouts must be positive")
	case s.ForwardTimeout < s.CommitTimeout+2*s.CallTimeout:
		return fmt.Errorf("once: forward timeout must be at least the commit timeout and two call timeouts")
	case s.RetryMin <= 0 || s.RetryMax < s.RetryMin:
		return fmt.Errorf("once: want 0 < retry min <= retry max")
	}
	return nil
}

// maxClaimAge is the age above which a claim is removed. An entry accepts a time-ordered key until
// Retention after its timestamp. The timestamp may be Skew later than the claim, and the entry's clock
// Skew behind that of the entry that recorded it.
func (s *Settings) maxClaimAge() time.Duration { return s.Retention + 2*s.Skew }
