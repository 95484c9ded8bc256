package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the lines that wait for a slow reader of the log.
	asyncLines = 2048
	// asyncBatch is the size from which waiting lines are written at once.
	asyncBatch = 16 << 10
	// flushInterval bounds how long a line waits to be written with others. One write costs as much
	// processor time as formatting a line.
	flushInterval = 100 * time.Millisecond
)

// Async is a writer that never blocks its callers. Lines that find no room are left out and counted,
// and the count is written once there is room again. Each Write must be whole lines.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewAsync returns a writer that passes lines on to out.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never fails and never blocks.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
		a.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out so far.
func (a *Async) Dropped() int64 { return a.total.Load() }

// Close writes what waits. Lines that are written afterwards may be lost.
func (a *Async) Close() error {
	a.once.Do(func() { close(a.closing) })
	<-a.done
	return nil
}

func (a *Async) run() {
	defer close(a.done)
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		case <-a.closing:
			a.drain(batch)
			return
		}
		batch = a.gather(batch)
		_, _ = a.out.Write(batch)
		batch = a.note(batch[:0])
	}
}

// gather adds lines for a short time, so that many lines share one write.
func (a *Async) gather(batch []byte) []byte {
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	for len(batch) < asyncBatch {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		case <-t.C:
			return batch
		case <-a.closing:
			return batch
		}
	}
	return batch
}

func (a *Async) drain(batch []byte) {
	for {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			_, _ = a.out.Write(a.note(batch))
			return
		}
	}
}

// note adds a line about lines that were left out.
func (a *Async) note(batch []byte) []byte {
	n := a.dropped.Swap(0)
	if n == 0 {
		return batch
	}
	return fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"log lines left out\",\"lines\":%d}\n", n)
}
