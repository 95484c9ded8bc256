package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

const (
	// BlockTokens is the size of a prefix block.
	BlockTokens = 256
	// bytesPerToken converts between prompt bytes and tokens, because the router has no tokenizer.
	bytesPerToken = 4
	// MaxBlocks bounds the leading blocks that are hashed.
	MaxBlocks = 16
)

// BlockHashes appends the hashes of the prompt's leading blocks to dst. The hash of a block
// covers all blocks before it, so equal hashes mean equal prefixes.
func BlockHashes(dst []uint64, prompt string) []uint64 {
	const size = BlockTokens * bytesPerToken
	h := uint64(0)
	for len(prompt) >= size && len(dst) < MaxBlocks {
		h = mix(h ^ xxhash.Sum64String(prompt[:size]))
		dst = append(dst, h)
		prompt = prompt[size:]
	}
	return dst
}

const (
	// prefixSlots is the size of the prefix table (1 MB). Two prefixes on one slot displace each
	// other, which costs a missed cache hit and nothing else.
	prefixSlots = 1 << 14
	prefixWays  = 3
	// prefixMemory is how long a prefix is believed to stay in a cache without news.
	prefixMemory = 5 * time.Minute
	// sentConfidence is the confidence that a prefix which this router sent is still cached.
	sentConfidence = 0.8
	// maxFound bounds the known blocks that are looked at, longest first: shorter prefixes rarely
	// add a worker.
	maxFound = 4
	// gapFactor reduces the confidence in a worker's earlier events when events were lost.
	gapFactor = 0.5
)

type prefixWay struct {
	worker     uint64
	at         time.Time
	confidence float32
	gaps       uint32
}

type prefixSlot struct {
	prefix uint64
	ways   [prefixWays]prefixWay
}

// prefixTable remembers which workers probably cache a prefix. It informs a score only, because
// cache events are late and have gaps.
type prefixTable struct {
	mu    sync.Mutex
	slots []prefixSlot
	// sequence and gaps are kept per worker hash.
	streams map[uint64]*eventStream
}

type eventStream struct {
	sequence uint64
	gaps     uint32
}

func newPrefixTable() *prefixTable {
	return &prefixTable{slots: make([]prefixSlot, prefixSlots), streams: make(map[uint64]*eventStream)}
}

func (t *prefixTable) note(prefix, worker uint64, confidence float32, now time.Time) {
	s := &t.slots[mix(prefix)%prefixSlots]
	if s.prefix != prefix {
		*s = prefixSlot{prefix: prefix}
	}
	oldest := 0
	for i := range s.ways {
		if s.ways[i].worker == worker {
			oldest = i
			break
		}
		if s.ways[i].at.Before(s.ways[oldest].at) {
			oldest = i
		}
	}
	gaps := uint32(0)
	if st := t.streams[worker]; st != nil {
		gaps = st.gaps
	}
	s.ways[oldest] = prefixWay{worker: worker, at: now, confidence: confidence, gaps: gaps}
}

func (t *prefixTable) evict(prefix, worker uint64) {
	s := &t.slots[mix(prefix)%prefixSlots]
	if s.prefix != prefix {
		return
	}
	for i := range s.ways {
		if s.ways[i].worker == worker {
			s.ways[i] = prefixWay{}
		}
	}
}

// observe takes cache events of a worker in the order received.
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
			t.note(e.Prefix, worker, 1, now)
		}
	}
}

// cached fills saved[i] with the expected number of prompt tokens that candidate i has cached.
func (t *prefixTable) cached(blocks []uint64, candidates []*Worker, saved []float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := 0
	for n := len(blocks); n > 0 && found < maxFound; n-- {
		s := &t.slots[mix(blocks[n-1])%prefixSlots]
		if s.prefix != blocks[n-1] {
			continue
		}
		found++
		for _, way := range s.ways {
			age := now.Sub(way.at)
			if way.worker == 0 || age > prefixMemory {
				continue
			}
			expected := float64(n*BlockTokens) * float64(way.confidence) * (1 - float64(age)/float64(prefixMemory))
			if st := t.streams[way.worker]; st != nil {
				for range min(st.gaps-way.gaps, 4) {
					expected *= gapFactor
				}
			}
			for i, c := range candidates {
				if c.hash == way.worker {
					saved[i] = max(saved[i], expected)
				}
			}
		}
	}
}
