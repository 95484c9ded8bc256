package once

import (
	"fmt"
	"time"
)

// Settings are the settings of claims. All entries of a cluster use the same values; Shards is
// taken from the layout record once that exists.
type Settings struct {
	// Shards is the number of shards of a service at its first claim. It cannot be changed later.
	Shards int
	// Window is the time for which claims are collected before a write.
	Window time.Duration
	// CompletionDelay is the longest wait of completions and releases for a claim to ride with.
	CompletionDelay time.Duration
	// WritesPerSecond bounds the writes per second for one service, over all shards.
	WritesPerSecond float64
	// MaxBatch is the largest number of requests in one write.
	MaxBatch int
	// MaxBodyBytes is the largest answer that is kept.
	MaxBodyBytes int
	// RotateBytes is the size at which the open record is sealed.
	RotateBytes int
	// IndexBytes bounds the memory for the index of one shard's sealed records, at 8 bytes per claim.
	IndexBytes int
	// Retention is the time for which a claim is kept, and the greatest age of a time-ordered key.
	Retention time.Duration
	// Skew bounds the difference between the clocks of any two of caller and entries.
	Skew time.Duration
	// CallTimeout bounds one call of the key-value service.
	CallTimeout time.Duration
	// CommitTimeout is the time after which a request is no longer tried again.
	CommitTimeout time.Duration
	// ForwardTimeout bounds a forwarded request. It must leave the owner the time to answer that the
	// key-value service is unavailable; otherwise an outage looks like the loss of the owner.
	ForwardTimeout time.Duration
	// RetryMin and RetryMax bound the jittered back-off between repetitions.
	RetryMin, RetryMax time.Duration
}

// MaxRecordBytes is the largest value of the key-value service.
const MaxRecordBytes = 1 << 20

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		// Batches grow with the load of a shard: with 8 shards the 99th percentile of the added
		// latency at 1,200 claims/s was 43 ms, with 4 it was 23 ms.
		Shards:          4,
		Window:          3 * time.Millisecond,
		CompletionDelay: 200 * time.Millisecond,
		WritesPerSecond: 200,
		MaxBatch:        512,
		MaxBodyBytes:    1 << 10,
		// Each write carries the whole open record. A small record costs little bandwidth, a large
		// one a short list of sealed records; docs/at-most-once.md gives the arithmetic.
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
	worstBatch := s.MaxBatch * (claimOverhead + MaxKeyBytes + MaxRequestIDBytes + maxContentType + s.MaxBodyBytes)
	switch {
	case s.Shards < 1 || s.Shards > 4096:
		return fmt.Errorf("once: shards is %d, want 1 to 4096", s.Shards)
	case s.MaxBatch < 1 || s.MaxBodyBytes < 0 || s.RotateBytes < 1 || s.IndexBytes < 0:
		return fmt.Errorf("once: max batch, max body bytes, rotate bytes and index bytes must be positive")
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

// keep is the age at which a claim is dropped. A time-ordered key may be a skew bound ahead of its
// claim and is then accepted for the retention period by a clock that is another skew bound behind.
func (s *Settings) keep() time.Duration { return s.Retention + 2*s.Skew }
