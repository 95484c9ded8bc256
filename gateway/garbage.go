package gateway

import (
	"runtime"
	"sync"
)

// garbageLimit bounds the memory of dropped buffers that the runtime has not collected yet. A collection takes long on a
// busy machine. Meanwhile the budget gives the memory of a dropped buffer to the next one, so that without this limit a
// process allocates many times its budget during one collection. It is safe for concurrent use.
type garbageLimit struct {
	limit int64

	mu sync.Mutex
	// bytes is the size of the buffers dropped since the last collection that this limit began. Those that the runtime
	// has collected by itself are included, so that it may begin one too early.
	bytes int64
	// collected is closed at the end of the collection in progress; nil if there is none.
	collected chan struct{}
}

// add records a dropped buffer. At half of the limit, a collection begins.
func (g *garbageLimit) add(size int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bytes += size
	g.begin()
}

// begin begins a collection if there is enough to collect. The caller must hold mu.
func (g *garbageLimit) begin() {
	if g.collected != nil || g.bytes <= g.limit/2 {
		return
	}
	g.collected = make(chan struct{})
	go g.collect(g.bytes, g.collected)
}

// collect frees size bytes, which were dropped before.
func (g *garbageLimit) collect(size int64, collected chan struct{}) {
	runtime.GC()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bytes -= size
	g.collected = nil
	close(collected)
	g.begin()
}

// wait returns once a buffer for a large body or answer may be allocated. It takes as long as a collection at most, unless
// others drop more meanwhile.
func (g *garbageLimit) wait() {
	for {
		g.mu.Lock()
		collected := g.collected
		exceeded := g.bytes > g.limit
		g.mu.Unlock()
		if !exceeded || collected == nil {
			return
		}
		<-collected
	}
}
