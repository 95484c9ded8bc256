package upstream

import (
	"bytes"
	"errors"
	"net"
	"net/http"

	"github.com/quetzallug/quetzallug/internal/httpcheck"
)

// Errors of a response's head. They are wrapped in ErrExchangeFailed.
var (
	// ErrHeadTooLarge means that a status line and header exceed maxHeadBytes or maxHeadLines.
	ErrHeadTooLarge = errors.New("head of the answer too large")
	// ErrNoHeadMemory means that there is no memory for a large head.
	ErrNoHeadMemory = errors.New("no memory for the head of the answer")
)

const (
	// maxHeadBytes and maxHeadLines limit the status line and header of one response. Backend servers send a few hundred
	// bytes in about ten lines; without a limit, one that sends without end fills the memory of the process.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// headAllowance is the memory of a head that is not accounted, as it is a part of what each request costs.
	headAllowance = 8 << 10
	// headLineMemory is what a line of a header takes besides its text: the entries in the header that was received and in
	// the one that is sent to the caller, 192 bytes each.
	headLineMemory = 384
	// headMemoryStep is the least memory that is accounted at once.
	headMemoryStep = 4 << 10
)

// Memory bounds the memory of all requests together.
type Memory interface {
	// TryReserve takes size bytes if they are left.
	TryReserve(size int64) bool
	// Release gives size bytes back.
	Release(size int64)
}

// headSource reads from a connection. While a response's head is expected, it limits what is read, accounts for its memory
// and keeps its bytes for a check, because http.ReadResponse accepts heads that are malformed. The body is limited by its
// reader.
type headSource struct {
	net.Conn
	limited bool
	// head holds what was read since the head was expected. Only the last read can hold bytes that follow the head.
	head []byte
	// counted is the number of bytes of head that are known to be a part of it, and lines the number of lines in them.
	counted, lines int
	// memory is nil if the memory is not accounted; charged is what was taken of it.
	memory  Memory
	charged int64
	// err is the limit that was exceeded.
	err error
}

// begin begins the head of a response, of which some bytes are buffered already.
func (s *headSource) begin(buffered []byte) {
	s.release()
	s.head = append(s.head[:0], buffered...)
	s.limited, s.counted, s.lines, s.err = true, 0, 0, nil
}

func (s *headSource) Read(b []byte) (int, error) {
	if !s.limited {
		return s.Conn.Read(b)
	}
	// The head goes on after all that was read before.
	if s.err = s.count(len(s.head)); s.err != nil {
		return 0, s.err
	}
	left := maxHeadBytes - len(s.head)
	if left <= 0 {
		s.err = ErrHeadTooLarge
		return 0, s.err
	}
	n, err := s.Conn.Read(b[:min(len(b), left)])
	s.head = append(s.head, b[:n]...)
	return n, err
}

// end ends the head of a response, which has the given size.
func (s *headSource) end(size int) error {
	s.limited = false
	err := s.count(size)
	s.head = nil
	return err
}

// count accounts for the first size bytes of the head.
func (s *headSource) count(size int) error {
	s.lines += bytes.Count(s.head[s.counted:size], []byte{'\n'})
	s.counted = size
	if s.lines > maxHeadLines {
		return ErrHeadTooLarge
	}
	// The bytes are held here and as the texts of the header.
	missing := 2*int64(size) + headLineMemory*int64(s.lines) - headAllowance - s.charged
	if missing <= 0 || s.memory == nil {
		return nil
	}
	missing = max(missing, headMemoryStep)
	if !s.memory.TryReserve(missing) {
		return ErrNoHeadMemory
	}
	s.charged += missing
	return nil
}

// release gives the memory of the last head back.
func (s *headSource) release() {
	if s.charged > 0 {
		s.memory.Release(s.charged)
		s.charged = 0
	}
}

// readHead reads the status line and header of the next response.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	s := c.source
	buffered, _ := c.br.Peek(c.br.Buffered())
	s.begin(buffered)
	resp, err := http.ReadResponse(c.br, req)
	if err != nil {
		s.limited, s.head = false, nil
		if s.err != nil {
			return nil, s.err
		}
		return nil, err
	}
	size, err := httpcheck.RawHead(resp, s.head)
	if countErr := s.end(size); err == nil {
		err = countErr
	}
	return resp, err
}
