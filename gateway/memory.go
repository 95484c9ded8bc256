package gateway

import (
	"container/list"
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

var (
	errResponseTooLarge = errors.New("response too large")
	errNoMemory         = errors.New("no_memory")
)

const (
	// requestMemory is what a request in progress costs besides its bodies: its header, the buffers of two
	// connections and the stacks of its goroutines.
	requestMemory = 32 << 10
	// smallBody is the size of a body up to which the whole budget may be used. Larger ones leave a part of it, so
	// that they don't keep requests of usual size out.
	smallBody = 128 << 10
	// largeBodyShare is the part of the budget that larger bodies may use, of four.
	largeBodyShare = 3
	// headerShare is the part of the budget that the headers of callers may use, of two, so that bodies keep the rest.
	headerShare = 1
	// memoryWait is how long a body waits for memory before its request is refused. It is a fraction of the targets
	// of 100 ms and more.
	memoryWait = 50 * time.Millisecond
	// maxMemoryWaiters limits the requests that wait for memory.
	maxMemoryWaiters = 64
	// bufferStep is the least number of bytes by which a buffer grows.
	bufferStep = 16 << 10
	// maxDeclaredBuffer limits the buffer that is reserved for a response by its declared length, which may be wrong.
	maxDeclaredBuffer = 1 << 20
	// garbagePart is the part of the budget, as a divisor, that dropped buffers may take in addition to it.
	garbagePart = 2
	// defaultMemoryBudget is the budget in bytes if the configuration of the gateway has none.
	defaultMemoryBudget = 32 << 20
)

// memoryBudget bounds the bytes that callers and backend servers together make the process hold: the requests in
// progress, with their bodies and buffered responses. Without it, a burst of large bodies, or a few responses without
// end, use up the memory of the machine. It is safe for concurrent use.
type memoryBudget struct {
	limit int64
	// onShortage is called when a request must wait for memory.
	onShortage func()
	// garbage limits what dropped buffers take besides the budget.
	garbage garbageLimit

	mu      sync.Mutex
	used    int64
	headers int64     // the part of used that headers of callers take
	waiters list.List // of *memoryWaiter, the first that came first
}

type memoryWaiter struct {
	size, total int64
	granted     chan struct{}
}

func newMemoryBudget(limit int64) *memoryBudget {
	if limit <= 0 {
		limit = defaultMemoryBudget
	}
	return &memoryBudget{limit: limit, onShortage: func() {}, garbage: garbageLimit{limit: limit / garbagePart}}
}

// fits reports whether size bytes are left for something that takes total bytes with them. The caller must hold mu.
func (b *memoryBudget) fits(size, total int64) bool {
	limit := b.limit
	if total > smallBody {
		limit = limit * largeBodyShare / 4
	}
	return b.used+size <= limit
}

// tryReserve takes size bytes if they are left.
func (b *memoryBudget) tryReserve(size int64) bool { return b.tryReserveMore(size, 0) }

// tryReserveMore takes size bytes if they are left, for something that holds held bytes already.
func (b *memoryBudget) tryReserveMore(size, held int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(size, size+held) {
		return false
	}
	b.used += size
	return true
}

// reserve takes size bytes for something that holds held bytes already. If they are not left, it waits for them for
// memoryWait at most, after the requests that wait already.
func (b *memoryBudget) reserve(ctx context.Context, size, held int64) bool {
	total := size + held
	b.mu.Lock()
	if b.fits(size, total) && (total <= smallBody || b.waiters.Len() == 0) {
		b.used += size
		b.mu.Unlock()
		return true
	}
	if total > b.limit*largeBodyShare/4 || b.waiters.Len() >= maxMemoryWaiters {
		b.mu.Unlock()
		return false
	}
	w := &memoryWaiter{size: size, total: total, granted: make(chan struct{})}
	e := b.waiters.PushBack(w)
	b.mu.Unlock()
	b.onShortage()
	timeout := time.NewTimer(memoryWait)
	defer timeout.Stop()
	select {
	case <-w.granted:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
		b.waiters.Remove(e)
		return false
	}
}

// TryReserve implements upstream.Memory.
func (b *memoryBudget) TryReserve(size int64) bool { return b.tryReserve(size) }

// Release implements upstream.Memory.
func (b *memoryBudget) Release(size int64) { b.release(size) }

// release gives size bytes back.
func (b *memoryBudget) release(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= size
	for e := b.waiters.Front(); e != nil; e = b.waiters.Front() {
		w := e.Value.(*memoryWaiter)
		if !b.fits(w.size, w.total) {
			return
		}
		b.used += w.size
		b.waiters.Remove(e)
		close(w.granted)
	}
}

// OnMemoryShortage sets a function that is called when a request must wait for memory. It may end requests whose bodies are
// not complete, and must be set before the first request.
func (g *Gateway) OnMemoryShortage(f func()) { g.memory.onShortage = f }

// ReserveHeader takes size bytes for the header of a caller's request, which may not be complete yet, if they are left.
func (g *Gateway) ReserveHeader(size int64) bool {
	b := g.memory
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.headers+size > b.limit*headerShare/2 || b.used+size > b.limit {
		return false
	}
	b.headers += size
	b.used += size
	return true
}

// ReleaseHeader gives back what ReserveHeader took.
func (g *Gateway) ReleaseHeader(size int64) {
	g.memory.mu.Lock()
	g.memory.headers -= size
	g.memory.mu.Unlock()
	g.memory.release(size)
}

// ReserveAnswer takes size bytes for an answer of which held bytes are held already because its caller has not taken them.
func (g *Gateway) ReserveAnswer(size, held int64) bool { return g.memory.tryReserveMore(size, held) }

// ReleaseAnswer gives back what ReserveAnswer took.
func (g *Gateway) ReleaseAnswer(size int64) { g.memory.release(size) }

// inUse returns the bytes that are taken.
func (b *memoryBudget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// grown returns a copy of buf with room for size more bytes, which must have been reserved.
func (b *memoryBudget) grown(buf []byte, size int64) []byte {
	b.garbage.add(int64(cap(buf)))
	return append(make([]byte, 0, cap(buf)+int(size)), buf...)
}

// drop gives back what was reserved for a buffer that is no longer used.
func (b *memoryBudget) drop(size int64) {
	b.garbage.add(size)
	b.release(size)
}

// readAll reads a whole response of at most limit bytes. release must be called once the bytes are no
// longer needed.
func (b *memoryBudget) readAll(r io.Reader, limit int) (body []byte, release func(), err error) {
	return b.readSized(r, limit, -1)
}

// readSized is readAll for a response whose length is declared; it is negative if it is not. A buffer that need not grow
// leaves no garbage, which is otherwise as much as the response.
func (b *memoryBudget) readSized(r io.Reader, limit int, length int64) (body []byte, release func(), err error) {
	charged := int64(0)
	release = func() { b.drop(charged) }
	buf := make([]byte, 0, 512)
	if size := min(length, maxDeclaredBuffer) + 1; size > bufferStep && b.tryReserve(size) {
		charged = size
		if size > smallBody {
			b.garbage.wait()
		}
		buf = make([]byte, 0, size) // with room for the end of the response to be noticed
	}
	for {
		if len(buf) == cap(buf) {
			grow := int64(max(bufferStep, cap(buf)))
			if !b.tryReserve(grow) {
				return nil, release, errResponseTooLarge
			}
			charged += grow
			if charged > smallBody {
				b.garbage.wait()
			}
			buf = b.grown(buf, grow)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > limit:
			return nil, release, errResponseTooLarge
		case errors.Is(err, io.EOF):
			return buf, release, nil
		case err != nil:
			return nil, release, err
		}
	}
}

// heldBody is the body of a request and the memory that it takes.
type heldBody struct {
	budget *memoryBudget
	bytes  []byte
	size   int64
}

// read reads a body. length is its size as declared by the caller, or negative. It returns errNoMemory if there is
// no memory for it; of a body with a length, nothing was read then. After an error nothing is held.
func (h *heldBody) read(ctx context.Context, r io.Reader, length int64) (err error) {
	defer func() {
		if err != nil {
			h.drop()
		}
	}()
	if length < 0 {
		return h.readUnsized(ctx, r)
	}
	if !h.budget.reserve(ctx, length, 0) {
		return errNoMemory
	}
	h.size = length
	if length > smallBody {
		h.budget.garbage.wait()
	}
	h.bytes = make([]byte, length)
	_, err = io.ReadFull(r, h.bytes)
	return err
}

// readUnsized reads a body whose size is not known. From the beginning it leaves the same part of the budget as a large
// one, so that many bodies without an end do not keep requests of usual size out.
func (h *heldBody) readUnsized(ctx context.Context, r io.Reader) error {
	for {
		if len(h.bytes) == cap(h.bytes) {
			grow := int64(max(bufferStep, cap(h.bytes)))
			if !h.budget.reserve(ctx, grow, h.size+smallBody) {
				return errNoMemory
			}
			h.size += grow
			h.budget.garbage.wait()
			h.bytes = h.budget.grown(h.bytes, grow)
		}
		n, err := r.Read(h.bytes[len(h.bytes):cap(h.bytes)])
		h.bytes = h.bytes[:len(h.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// drop gives the memory back. The body must not be sent again.
func (h *heldBody) drop() {
	if h.size > 0 {
		h.budget.drop(h.size)
	}
	h.bytes, h.size = nil, 0
}

// bodySize returns the size of a request's body as far as it is known before it is read. A body without a declared size
// counts as a large one.
func bodySize(length int64) int64 {
	if length < 0 {
		return smallBody
	}
	return length
}

// refuseForMemory refuses a request for lack of memory before its body is read. The connection is closed, because
// the body is still in transit.
func (q *request) refuseForMemory() {
	q.reply.w.Header().Set("Connection", "close")
	q.refuse(errNoMemory.Error(), q.g.decider.retryAfter(q.deadline, time.Now()))
}
