package engine

import (
	"container/list"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

type loggedEvent struct {
	external.CacheEvent
	at time.Time
}

// prefixCache is an LRU cache of prompt blocks. The engine's mutex guards it.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List // of uint64, the most recently used in front
	events []loggedEvent
	next   uint64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// match returns the number of leading blocks that are cached and marks them as used.
func (c *prefixCache) match(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		el, ok := c.blocks[h]
		if !ok {
			break
		}
		c.recent.MoveToFront(el)
		n++
	}
	return n
}

// store adds blocks and evicts the least recently used ones over the limit. Blocks are added
// from the last to the first, so that eviction takes the end of a prompt before its start.
func (c *prefixCache) store(hashes []uint64) {
	for i := min(len(hashes), c.limit) - 1; i >= 0; i-- {
		h := hashes[i]
		if el, ok := c.blocks[h]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.recent.PushFront(h)
		c.log(h, false)
	}
	for c.recent.Len() > c.limit {
		h := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, h)
		c.log(h, true)
	}
}

func (c *prefixCache) log(prefix uint64, evicted bool) {
	c.next++
	c.events = append(c.events, loggedEvent{
		CacheEvent: external.CacheEvent{Sequence: c.next, Prefix: prefix, Evicted: evicted},
		at:         time.Now(),
	})
	if len(c.events) >= 2*eventLogLength {
		c.events = append(c.events[:0], c.events[eventLogLength:]...)
	}
}

// visible returns the events after a sequence number that are at least delay old. The gap'th
// part of them is lost, chosen by seed and sequence number.
func (c *prefixCache) visible(after uint64, delay time.Duration, gap int, seed uint64) []external.CacheEvent {
	var out []external.CacheEvent
	for _, ev := range c.events {
		if ev.Sequence <= after {
			continue
		}
		if time.Since(ev.at) < delay {
			break
		}
		if gap > 0 && mix(seed+ev.Sequence)%uint64(gap) == 0 {
			continue
		}
		out = append(out, ev.CacheEvent)
	}
	return out
}
