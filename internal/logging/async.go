package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the lines that are queued while the output is blocked.
	maxQueuedLines = 2048
	// batchBytes is the size of a batch that is written without waiting for more lines.
	batchBytes = 16 << 10
	// flushInterval limits how long lines wait to be written in one batch. Lines are batched because one
	// write takes as much CPU time as formatting a line.
	flushInterval = 100 * time.Millisecond
)

// Async is a writer that never blocks its callers. If its queue is full, lines are dropped and counted,
// and the count is logged with the next batch. Each Write must consist of whole lines. It is safe for
// concurrent use.
type Async struct {
	out             io.Writer
	lines           chan []byte
	unreportedDrops atomic.Int64 // since the last line about dropped lines
	totalDrops      atomic.Int64 // since the start
	closing         chan struct{}
	once            sync.Once
	done            chan struct{}
}

// NewAsync returns a writer that writes to out in the background. It must be closed.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never fails and never blocks.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.unreportedDrops.Add(1)
		a.totalDrops.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that have been dropped.
func (a *Async) Dropped() int64 { return a.totalDrops.Load() }

// Close writes the queued lines and stops the writer. Lines that are written later may be lost.
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
		batch = a.collect(batch)
		_, _ = a.out.Write(batch)
		batch = a.appendDropNotice(batch[:0])
	}
}

// collect adds queued lines to the batch until it is large enough or flushInterval has passed.
func (a *Async) collect(batch []byte) []byte {
	t := time.NewTimer(flushInterval)
	defer t.Stop()
	for len(batch) < batchBytes {
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

// drain writes the batch and all queued lines.
func (a *Async) drain(batch []byte) {
	for {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			_, _ = a.out.Write(a.appendDropNotice(batch))
			return
		}
	}
}

// appendDropNotice appends a line with the number of lines dropped since the last such line, if any.
func (a *Async) appendDropNotice(batch []byte) []byte {
	n := a.unreportedDrops.Swap(0)
	if n == 0 {
		return batch
	}
	return fmt.Appendf(batch, "{\"level\":\"warning\",\"msg\":\"log lines left out\",\"lines\":%d}\n", n)
}
