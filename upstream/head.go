package upstream

import (
	"errors"
	"net"
	"net/http"

	"github.com/quetzallug/quetzallug/internal/httpcheck"
)

// ErrHeadTooLarge means that a response's status line and header exceed maxHeadBytes. It is wrapped in
// ErrExchangeFailed.
var ErrHeadTooLarge = errors.New("head of the answer too large")

// maxHeadBytes limits the status line and header of one response. Backend servers send a few hundred
// bytes; without a limit, one that sends without end fills the memory of the process.
const maxHeadBytes = 32 << 10

// headSource reads from a connection. While a response's head is expected, it limits the bytes read and keeps them for
// a check, because http.ReadResponse accepts heads that are malformed. The body is limited by its reader.
type headSource struct {
	net.Conn
	limited bool
	left    int
	head    []byte
}

func (s *headSource) Read(b []byte) (int, error) {
	if !s.limited {
		return s.Conn.Read(b)
	}
	if s.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := s.Conn.Read(b[:min(len(b), s.left)])
	s.left -= n
	s.head = append(s.head, b[:n]...)
	return n, err
}

// readHead reads the status line and header of the next response.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	s := c.source
	buffered, _ := c.br.Peek(c.br.Buffered())
	s.head = append(s.head, buffered...)
	s.limited, s.left = true, maxHeadBytes
	resp, err := http.ReadResponse(c.br, req)
	s.limited = false
	switch {
	case err == nil:
		err = httpcheck.RawHead(resp, s.head)
	case s.left <= 0:
		err = ErrHeadTooLarge
	}
	s.head = nil
	return resp, err
}
