package gateway

import (
	"errors"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against bodies without end that together use up the memory of the process, and against a budget
// that is not given back.
func TestBufferedResponsesAreBounded(t *testing.T) {
	b := newMemoryBudget(0)
	text := strings.Repeat("x", 100_000)
	body, release, err := b.readAll(strings.NewReader(text), maxResponseBody)
	require.NoError(t, err)
	require.Equal(t, text, string(body))
	release()
	require.Zero(t, b.inUse())

	const size = 12 << 20
	var releases []func()
	whole := 0
	for range 5 {
		_, release, err := b.readAll(io.LimitReader(endless{}, size), maxResponseBody)
		releases = append(releases, release)
		if err != nil {
			require.ErrorIs(t, err, errResponseTooLarge)
			continue
		}
		whole++
	}
	require.LessOrEqual(t, whole, defaultMemoryBudget/size)
	_, last, err := b.readAll(endless{}, maxResponseBody)
	require.ErrorIs(t, err, errResponseTooLarge)
	last()
	for _, f := range releases {
		f()
	}
	require.Zero(t, b.inUse())

	broken := errors.New("connection reset")
	_, release, err = b.readAll(io.MultiReader(strings.NewReader("half"), errReader{broken}), maxResponseBody)
	require.ErrorIs(t, err, broken, "half a body is no whole one")
	release()
	require.Zero(t, b.inUse())
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against large bodies that together use up the memory of the process, or keep requests of usual size out.
func TestBodiesShareTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const large = 4 << 20
		b := newMemoryBudget(32 << 20)
		var held []*heldBody
		read := func(size, length int64) error {
			h := &heldBody{budget: b}
			held = append(held, h)
			return h.read(t.Context(), io.LimitReader(endless{}, size), length)
		}
		whole := 0
		for i := range 20 {
			length := int64(large)
			if i%2 == 1 {
				length = -1
			}
			started := time.Now()
			if err := read(large, length); err != nil {
				require.ErrorIs(t, err, errNoMemory)
				require.LessOrEqual(t, time.Since(started), memoryWait)
				continue
			}
			whole++
		}
		require.Positive(t, whole)
		require.LessOrEqual(t, b.inUse(), int64(32<<20))
		require.NoError(t, read(1000, 1000), "a body of usual size is read")
		// A body that waits gets the memory of one that ends.
		time.AfterFunc(memoryWait/2, func() {
			held[0].drop()
			held[2].drop()
		})
		require.NoError(t, read(large, large))
		for _, h := range held {
			h.drop()
		}
		require.Zero(t, b.inUse())
	})
}

// Guards against bodies in chunks, which grow in small steps, that use up the memory which larger bodies must leave to
// requests of usual size, and against a shortage that is not reported.
func TestGrowingBodiesLeaveMemory(t *testing.T) {
	const limit = 1 << 20
	b := newMemoryBudget(limit)
	shortages := 0
	b.onShortage = func() { shortages++ }
	held := int64(0)
	for b.reserve(t.Context(), bufferStep, held) {
		held += bufferStep
	}
	require.LessOrEqual(t, held, int64(limit*largeBodyShare/4))
	require.True(t, b.tryReserve(requestMemory))
	require.True(t, b.reserve(t.Context(), smallBody, 0))
	require.False(t, b.reserve(t.Context(), limit/2, 0))
	require.Equal(t, 1, shortages)
}

// Guards against bodies without a declared size that keep requests of usual size out, however many there are.
func TestUnsizedBodiesLeaveMemory(t *testing.T) {
	b := newMemoryBudget(1 << 20)
	for range 100 {
		if !b.reserve(t.Context(), requestMemory, bodySize(-1)) {
			break
		}
		h := heldBody{budget: b}
		if h.read(t.Context(), strings.NewReader("body"), -1) != nil {
			break
		}
	}
	for range 4 {
		require.True(t, b.reserve(t.Context(), requestMemory, bodySize(600)))
	}
}

// Guards against a declared length that is believed: the response is read whole, up to the limit, whatever it says, and all
// memory is given back.
func TestDeclaredLengthsOfResponses(t *testing.T) {
	const size = 100_000
	text := strings.Repeat("a", size)
	for _, length := range []int64{-1, 0, 10, size - 1, size, size + 1, maxDeclaredBuffer, 1 << 40} {
		b := newMemoryBudget(8 << 20)
		body, release, err := b.readSized(strings.NewReader(text), size, length)
		require.NoError(t, err)
		require.Equal(t, text, string(body))
		require.GreaterOrEqual(t, b.inUse(), int64(size))
		release()
		require.Zero(t, b.inUse())
		_, release, err = b.readSized(strings.NewReader(text), size-1, length)
		require.ErrorIs(t, err, errResponseTooLarge)
		release()
		require.Zero(t, b.inUse())
	}
}

// Guards against dropped bodies that add up to many times the budget before the runtime collects them: a collection takes
// long on a busy machine, and the budget alone admits the next bodies meanwhile.
func TestDroppedBodiesAreCollected(t *testing.T) {
	const budget, size = 8 << 20, 1 << 20
	for _, length := range []int64{size, -1} {
		b := newMemoryBudget(budget)
		before := heapSize()
		runtimeGC := debug.SetGCPercent(-1)
		for range 200 {
			h := heldBody{budget: b}
			require.NoError(t, h.read(t.Context(), io.LimitReader(endless{}, size), length))
			h.drop()
		}
		grown := heapSize() - before
		debug.SetGCPercent(runtimeGC)
		require.LessOrEqual(t, grown, int64(budget), "bytes held after 200 bodies of %d bytes, length %d", size, length)
		require.Zero(t, b.inUse())
	}
}

// heapSize returns the bytes of the heap, with those that are no longer used and not collected yet.
func heapSize() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
