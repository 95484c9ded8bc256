package gateway

import (
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/internal/splitmix"
)

const (
	// prefixLifetime is how long a prefilled prompt part is expected to stay in a backend server's
	// cache. It must exceed the time between two uses of a part that is worth caching.
	prefixLifetime = 20 * time.Second
	// serversPerPrefix is the number of backend servers remembered per prefix.
	serversPerPrefix = 4
	// prefixGenerationSize limits the entries of one generation of the table, about 2 MB.
	prefixGenerationSize = 16 << 10
)

// prefixKeys returns, for each part, the key of the prompt up to and including that part.
func prefixKeys(parts []PromptPart) []uint64 {
	keys := make([]uint64, len(parts))
	h := uint64(0)
	for i, p := range parts {
		h = splitmix.Mix(h ^ splitmix.Mix(p.ID+uint64(p.Tokens)))
		keys[i] = h
	}
	return keys
}

type prefixUse struct {
	serverKey uint64
	usedAt    int64
}

// prefixTable remembers which backend servers recently prefilled which prefixes. It holds two
// generations; entries that are not used while a generation is filled are dropped.
type prefixTable struct {
	mu                sync.Mutex
	current, previous map[uint64]*[serversPerPrefix]prefixUse
}

func newPrefixTable() *prefixTable {
	return &prefixTable{current: make(map[uint64]*[serversPerPrefix]prefixUse)}
}

func (p *prefixTable) get(key uint64) *[serversPerPrefix]prefixUse {
	if e := p.current[key]; e != nil {
		return e
	}
	e := p.previous[key]
	if e != nil {
		p.current[key] = e
	}
	return e
}

// record stores that the backend server has prefilled the prefixes.
func (p *prefixTable) record(keys []uint64, serverKey uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.current) >= prefixGenerationSize {
		p.previous, p.current = p.current, make(map[uint64]*[serversPerPrefix]prefixUse)
	}
	at := now.UnixNano()
	for _, k := range keys {
		e := p.get(k)
		if e == nil {
			e = &[serversPerPrefix]prefixUse{}
			p.current[k] = e
		}
		slot := 0
		for i := range e {
			if e[i].serverKey == serverKey {
				slot = i
				break
			}
			if e[i].usedAt < e[slot].usedAt {
				slot = i
			}
		}
		e[slot] = prefixUse{serverKey: serverKey, usedAt: at}
	}
}

// cachedTokens returns, for each server key, the number of prompt tokens that the server has
// probably cached.
func (p *prefixTable) cachedTokens(keys []uint64, parts []PromptPart, serverKeys []uint64, now time.Time) []float64 {
	out := make([]float64, len(serverKeys))
	oldest := now.Add(-prefixLifetime).UnixNano()
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
		for n, s := range serverKeys {
			// A part counts only if all parts before it are cached.
			if out[n] != before {
				continue
			}
			for _, use := range e {
				if use.serverKey == s && use.usedAt > oldest {
					out[n] = float64(tokens)
				}
			}
		}
	}
	return out
}
