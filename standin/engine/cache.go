package engine

import (
	"container/list"
	"time"

	"github.com/quetzallug/quetzallug/external"
)

// loggedEvent is a cache event with the time at which it happened.
type loggedEvent struct {
	external.CacheEvent
	at time.Time
}

// prefixCache is an LRU cache of prompt blocks. It is guarded by Engine.mu.
type prefixCache struct {
	maxBlocks    int
	blocks       map[uint64]*list.Element
	recent       *list.List // of uint64 block hashes, most recently used first
	events       []loggedEvent
	lastSequence uint64
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// match returns the number of leading blocks that are cached and moves them to the front of the LRU
// list.
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

// store adds blocks and evicts the least recently used ones beyond maxBlocks. Blocks are added from
// last to first, so that the end of a prompt is evicted before its start.
func (c *prefixCache) store(hashes []uint64) {
	for i := min(len(hashes), c.maxBlocks) - 1; i >= 0; i-- {
		h := hashes[i]
		if el, ok := c.blocks[h]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.recent.PushFront(h)
		c.appendEvent(h, false)
	}
	for c.recent.Len() > c.maxBlocks {
		h := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, h)
		c.appendEvent(h, true)
	}
}

func (c *prefixCache) appendEvent(prefix uint64, evicted bool) {
	c.lastSequence++
	c.events = append(c.events, loggedEvent{
		CacheEvent: external.CacheEvent{Sequence: c.lastSequence, Prefix: prefix, Evicted: evicted},
		at:         time.Now(),
	})
	if len(c.events) >= 2*minLoggedEvents {
		c.events = append(c.events[:0], c.events[minLoggedEvents:]...)
	}
}

// eventsAfter returns the events after a sequence number that are at least delay old. About one in
// lossInterval events is omitted, or none if it is not positive; which ones depends on the seed and the
// sequence number only.
func (c *prefixCache) eventsAfter(after uint64, delay time.Duration, lossInterval int, seed uint64) []external.CacheEvent {
	var out []external.CacheEvent
	for _, ev := range c.events {
		if ev.Sequence <= after {
			continue
		}
		if time.Since(ev.at) < delay {
			break
		}
		if lossInterval > 0 && splitMix64(seed+ev.Sequence)%uint64(lossInterval) == 0 {
			continue
		}
		out = append(out, ev.CacheEvent)
	}
	return out
}
