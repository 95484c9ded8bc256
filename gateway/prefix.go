package gateway

import (
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/internal/splitmix"
)

const (
	// prefixMemory is how long a prompt part that was read is expected to stay in a backend server's
	// memory. It must be longer than the time between two uses of a part that is worth keeping.
	prefixMemory = 20 * time.Second
	// prefixWays is the number of backend servers remembered per prefix.
	prefixWays = 4
	// prefixEntries bounds one generation of the table, about 2 MB.
	prefixEntries = 16 << 10
)

// chain returns the key of the prompt up to and including each part.
func chain(parts []Part) []uint64 {
	keys := make([]uint64, len(parts))
	h := uint64(0)
	for i, p := range parts {
		h = splitmix.Mix(h ^ splitmix.Mix(p.ID+uint64(p.Tokens)))
		keys[i] = h
	}
	return keys
}

type prefixWay struct {
	server uint64
	at     int64
}

// prefixes remembers which backend servers read which prefixes recently. Entries that were not used
// during a generation are dropped with it.
type prefixes struct {
	mu       sync.Mutex
	now, old map[uint64]*[prefixWays]prefixWay
}

func newPrefixes() *prefixes {
	return &prefixes{now: make(map[uint64]*[prefixWays]prefixWay)}
}

func (p *prefixes) get(key uint64) *[prefixWays]prefixWay {
	if e := p.now[key]; e != nil {
		return e
	}
	e := p.old[key]
	if e != nil {
		p.now[key] = e
	}
	return e
}

// note remembers that the backend server has read the prefixes.
func (p *prefixes) note(keys []uint64, server uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.now) >= prefixEntries {
		p.old, p.now = p.now, make(map[uint64]*[prefixWays]prefixWay)
	}
	at := now.UnixNano()
	for _, k := range keys {
		e := p.get(k)
		if e == nil {
			e = &[prefixWays]prefixWay{}
			p.now[k] = e
		}
		slot := 0
		for i := range e {
			if e[i].server == server {
				slot = i
				break
			}
			if e[i].at < e[slot].at {
				slot = i
			}
		}
		e[slot] = prefixWay{server: server, at: at}
	}
}

// cached returns for each server key the prompt tokens that it has probably read.
func (p *prefixes) cached(keys []uint64, parts []Part, servers []uint64, now time.Time) []float64 {
	out := make([]float64, len(servers))
	oldest := now.Add(-prefixMemory).UnixNano()
	tokens := 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, k := range keys {
		e := p.get(k)
		if e == nil {
			return out
		}
		before := float64(tokens)
		tokens += parts[i].Tokens
		for n, s := range servers {
			// A part counts only if all parts before it are kept.
			if out[n] != before {
				continue
			}
			for _, way := range e {
				if way.server == s && way.at > oldest {
					out[n] = float64(tokens)
				}
			}
		}
	}
	return out
}
