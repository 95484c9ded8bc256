package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

const (
	// BlockTokens is the assumed number of tokens in a prefix block, which is BlockTokens x
	// bytesPerToken bytes of the prompt.
	BlockTokens = 256
	// bytesPerToken is the assumed mean size of a token, since the router has no tokenizer.
	bytesPerToken = 4
	// MaxBlocks is the maximum number of leading blocks that are hashed.
	MaxBlocks = 16
)

// BlockHashes appends the hashes of the prompt's complete leading blocks to dst and returns it. It
// stops when dst holds MaxBlocks hashes. Each hash covers the block and all blocks before it, so
// that equal hashes mean equal prefixes, barring collisions.
func BlockHashes(dst []uint64, prompt string) []uint64 {
	const size = BlockTokens * bytesPerToken
	h := uint64(0)
	for len(prompt) >= size && len(dst) < MaxBlocks {
		h = mix64(h ^ xxhash.Sum64String(prompt[:size]))
		dst = append(dst, h)
		prompt = prompt[size:]
	}
	return dst
}

const (
	// prefixSlots is the number of slots in the prefix table, which takes about 1 MB. Prefixes with
	// the same slot replace each other, which only means that some cached prefixes are not found.
	prefixSlots = 1 << 14
	// maxPrefixHolders is the maximum number of workers recorded per prefix.
	maxPrefixHolders = 3
	// prefixTTL is how long a prefix is assumed to stay cached after the last event about it.
	prefixTTL = 5 * time.Minute
	// sentConfidence is the assumed probability that a worker has cached a prefix that this router
	// sent to it.
	sentConfidence = 0.8
	// maxMatchedBlocks is the maximum number of known prefixes examined per prompt, longest first.
	// Shorter prefixes rarely add another worker.
	maxMatchedBlocks = 4
	// gapConfidenceFactor is applied to what is known of a worker's cache for each gap in its
	// events, because the lost events may have been evictions.
	gapConfidenceFactor = 0.5
)

// prefixHolder records that a worker, given by its hash, has probably cached a prefix. gaps is the
// number of gaps in the worker's events at that time.
type prefixHolder struct {
	worker     uint64
	recordedAt time.Time
	confidence float32
	gaps       uint32
}

// prefixSlot holds the workers that have probably cached one prefix.
type prefixSlot struct {
	prefix  uint64
	holders [maxPrefixHolders]prefixHolder
}

// prefixTable records which workers have probably cached which prefixes. Cache events arrive late and
// with gaps, so the table is used for scores only and never for correctness.
type prefixTable struct {
	mu    sync.Mutex
	slots []prefixSlot
	// streams holds the state of each worker's cache events by the worker's hash.
	streams map[uint64]*eventStream
}

// eventStream holds the last sequence number of a worker's cache events and the number of gaps.
type eventStream struct {
	sequence uint64
	gaps     uint32
}

func newPrefixTable() *prefixTable {
	return &prefixTable{slots: make([]prefixSlot, prefixSlots), streams: make(map[uint64]*eventStream)}
}

// record stores that a worker has cached a prefix. It replaces the worker's own entry in the slot,
// or else the oldest entry. The caller holds mu.
func (t *prefixTable) record(prefix, worker uint64, confidence float32, now time.Time) {
	s := &t.slots[mix64(prefix)%prefixSlots]
	if s.prefix != prefix {
		*s = prefixSlot{prefix: prefix}
	}
	target := 0
	for i := range s.holders {
		if s.holders[i].worker == worker {
			target = i
			break
		}
		if s.holders[i].recordedAt.Before(s.holders[target].recordedAt) {
			target = i
		}
	}
	gaps := uint32(0)
	if st := t.streams[worker]; st != nil {
		gaps = st.gaps
	}
	s.holders[target] = prefixHolder{worker: worker, recordedAt: now, confidence: confidence, gaps: gaps}
}

// evict removes a worker from the workers that have cached a prefix. The caller holds mu.
func (t *prefixTable) evict(prefix, worker uint64) {
	s := &t.slots[mix64(prefix)%prefixSlots]
	if s.prefix != prefix {
		return
	}
	for i := range s.holders {
		if s.holders[i].worker == worker {
			s.holders[i] = prefixHolder{}
		}
	}
}

// observe applies cache events of a worker in the order in which they were received. A skipped or
// lower sequence number counts as a gap. An event with the same number as the last one is ignored.
func (t *prefixTable) observe(worker uint64, events []external.CacheEvent, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.streams[worker]
	if st == nil {
		st = &eventStream{}
		t.streams[worker] = st
	}
	for _, e := range events {
		switch {
		case st.sequence != 0 && e.Sequence > st.sequence+1, e.Sequence < st.sequence:
			st.gaps++
		case e.Sequence == st.sequence:
			continue
		}
		st.sequence = e.Sequence
		if e.Evicted {
			t.evict(e.Prefix, worker)
		} else {
			t.record(e.Prefix, worker, 1, now)
		}
	}
}

// estimateCached raises cachedTokens[i] to the expected number of prompt tokens that worker i has
// cached. The expectation falls with the age of an entry and with each later gap in the events.
func (t *prefixTable) estimateCached(blocks []uint64, workers []*Worker, cachedTokens []float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	matched := 0
	for n := len(blocks); n > 0 && matched < maxMatchedBlocks; n-- {
		s := &t.slots[mix64(blocks[n-1])%prefixSlots]
		if s.prefix != blocks[n-1] {
			continue
		}
		matched++
		for _, holder := range s.holders {
			age := now.Sub(holder.recordedAt)
			if holder.worker == 0 || age > prefixTTL {
				continue
			}
			expected := float64(n*BlockTokens) * float64(holder.confidence) * (1 - float64(age)/float64(prefixTTL))
			if st := t.streams[holder.worker]; st != nil {
				for range min(st.gaps-holder.gaps, 4) {
					expected *= gapConfidenceFactor
				}
			}
			for i, w := range workers {
				if w.idHash == holder.worker {
					cachedTokens[i] = max(cachedTokens[i], expected)
				}
			}
		}
	}
}
