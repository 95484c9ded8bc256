package app

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/connlimit"
)

// answerPiece is the size of the pieces in which answers are held and written. A client that takes no whole piece for
// connlimit.StallTime counts as a slow reader.
const answerPiece = 16 << 10

// answerMemory accounts for the memory of answers that their clients have not taken.
type answerMemory interface {
	ReserveAnswer(size, held int64) bool
	ReleaseAnswer(size int64)
}

// answerBuffer holds the part of an answer that the client has not taken, so that the answer is read from the backend
// server at the server's pace: a backend server aborts an answer that stays unread for some seconds. If there is no memory
// for it, the connection is closed.
type answerBuffer struct {
	conn *trackedConn
	// on is true while writes return before the client has taken them.
	on atomic.Bool

	mu      sync.Mutex
	drained *sync.Cond
	pieces  [][]byte
	held    int64
	// writing is true while a goroutine writes the pieces.
	writing bool
	err     error
}

// BufferAnswer lets writes return before the client has taken them, until FlushAnswer.
func (c *trackedConn) BufferAnswer() {
	if c.answer == nil {
		c.answer = &answerBuffer{conn: c}
		c.answer.drained = sync.NewCond(&c.answer.mu)
	}
	c.answer.on.Store(true)
}

// FlushAnswer waits until the client has taken everything that was written, or its connection has failed, which the
// connection's write deadline ensures.
func (c *trackedConn) FlushAnswer() error {
	b := c.answer
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.writing {
		b.drained.Wait()
	}
	b.on.Store(false)
	return b.err
}

// write writes what the client takes at once and holds the rest.
func (b *answerBuffer) write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	rest := p
	if !b.writing {
		n, err := writeAtOnce(b.conn.Conn, p)
		if err != nil {
			b.err = err
			return n, err
		}
		rest = p[n:]
	}
	for len(rest) > 0 {
		last := len(b.pieces) - 1
		if last < 0 || len(b.pieces[last]) == answerPiece {
			if !b.conn.tracker.memory.ReserveAnswer(answerPiece, b.held) {
				b.err = gateway.ErrSlowReader
				b.conn.tracker.onClosed(connlimit.CauseAnswerMemory, b.conn.RemoteAddr())
				_ = b.conn.Close()
				return 0, b.err
			}
			b.held += answerPiece
			b.pieces = append(b.pieces, make([]byte, 0, answerPiece))
			last++
		}
		n := min(len(rest), answerPiece-len(b.pieces[last]))
		b.pieces[last] = append(b.pieces[last], rest[:n]...)
		rest = rest[n:]
	}
	if len(b.pieces) > 0 && !b.writing {
		b.writing = true
		go b.writePieces()
	}
	return len(p), nil
}

// writePieces writes the pieces until there are none or the connection fails.
func (b *answerBuffer) writePieces() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pieces) > 0 && b.err == nil {
		piece := b.pieces[0]
		b.pieces = b.pieces[1:]
		b.mu.Unlock()
		err := b.conn.writeWaiting(piece)
		b.mu.Lock()
		b.release(answerPiece)
		if b.err == nil {
			b.err = err
		}
	}
	b.pieces = nil
	b.release(b.held)
	b.writing = false
	b.drained.Broadcast()
}

// release gives memory back. The caller must hold mu.
func (b *answerBuffer) release(size int64) {
	b.held -= size
	b.conn.tracker.memory.ReleaseAnswer(size)
}

// writeAtOnce writes as much as a connection takes without waiting. It writes nothing if c is not a socket.
func writeAtOnce(c net.Conn, p []byte) (n int, err error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		n, writeErr = unix.Write(int(fd), p)
		return true
	})
	if err == nil && !errors.Is(writeErr, unix.EAGAIN) && !errors.Is(writeErr, unix.EINTR) {
		err = writeErr
	}
	return max(0, n), err
}

// writeWaiting writes a piece of an answer and records meanwhile since when it waits for the client.
func (c *trackedConn) writeWaiting(p []byte) error {
	c.entry.WritingSince.Store(time.Now().UnixNano())
	_, err := c.Conn.Write(p)
	c.entry.WritingSince.Store(0)
	return err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (written int, err error) {
	if c.answer != nil && c.answer.on.Load() {
		return c.answer.write(p)
	}
	for written < len(p) {
		piece := p[written:min(len(p), written+answerPiece)]
		if err := c.writeWaiting(piece); err != nil {
			return written, err
		}
		written += len(piece)
	}
	return written, nil
}
