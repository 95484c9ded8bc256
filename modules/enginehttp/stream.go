package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
)

// maxLineBytes bounds one event. Engines send a few tokens per event.
const maxLineBytes = 64 << 10

var (
	dataPrefix = []byte(enginewire.DataPrefix)
	newline    = []byte{'\n'}

	errLineTooLong = fmt.Errorf("event is longer than %d bytes", maxLineBytes)
)

// stream reads the server-sent events of one generation.
type stream struct {
	cancel context.CancelFunc
	body   io.ReadCloser
	lines  *bufio.Reader
	done   bool

	// next and nextErr are an event that was read and could not be merged, if hasNext is set.
	hasNext bool
	next    external.TokenChunk
	nextErr error
	// text holds the merged text between its collection and its copy.
	text []byte
}

// Generate implements external.Engine.
func (c *Client) Generate(ctx context.Context, r *external.GenerateRequest) (external.TokenStream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: encode request: %w", external.ErrEngineRefused, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	s, err := c.open(ctx, body)
	if err != nil {
		cancel()
		return nil, convert(err)
	}
	s.cancel = cancel
	return s, nil
}

func (c *Client) open(ctx context.Context, body []byte) (*stream, error) {
	req, err := c.NewRequest(ctx, http.MethodPost, enginewire.PathGenerate, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	if err := httpjson.CheckStatus(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return &stream{body: resp.Body, lines: bufio.NewReader(resp.Body)}, nil
}

// Next implements external.TokenStream. Events that have arrived already are returned as one chunk,
// so that a burst costs one frame on the way to the caller. It never waits for a second event.
func (s *stream) Next() (external.TokenChunk, error) {
	c, err := s.first()
	if err != nil {
		return external.TokenChunk{}, err
	}
	s.merge(&c)
	s.done = c.FinishReason != ""
	return c, nil
}

// first returns the event that was left over, or waits for the next one.
func (s *stream) first() (external.TokenChunk, error) {
	if s.done {
		return external.TokenChunk{}, io.EOF
	}
	if s.hasNext {
		s.hasNext = false
		return s.next, s.nextErr
	}
	return s.event()
}

// merge appends the buffered events that continue the chunk. One that does not is left over.
func (s *stream) merge(c *external.TokenChunk) {
	s.text = s.text[:0]
	for c.FinishReason == "" && s.eventBuffered() {
		next, err := s.event()
		if err != nil || next.Offset != c.Offset+c.Tokens {
			s.next, s.nextErr, s.hasNext = next, err, true
			break
		}
		if len(s.text) == 0 {
			s.text = append(s.text, c.Text...)
		}
		s.text = append(s.text, next.Text...)
		c.Tokens += next.Tokens
		c.FinishReason = next.FinishReason
	}
	if len(s.text) > 0 {
		c.Text = string(s.text)
	}
}

// eventBuffered reports whether event would return without waiting.
func (s *stream) eventBuffered() bool {
	buffered, _ := s.lines.Peek(s.lines.Buffered())
	for {
		line, rest, ok := bytes.Cut(buffered, newline)
		if !ok {
			return false
		}
		if bytes.HasPrefix(line, dataPrefix) {
			return true
		}
		buffered = rest
	}
}

// event waits for the next event.
func (s *stream) event() (external.TokenChunk, error) {
	for {
		line, err := s.line()
		if err != nil {
			return external.TokenChunk{}, fmt.Errorf("%w: stream ended without a finish reason: %w", external.ErrEngineFailed, err)
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue // a blank line or a comment
		}
		ev, err := enginewire.DecodeEvent(data)
		if err != nil {
			return external.TokenChunk{}, fmt.Errorf("%w: decode event: %w", external.ErrEngineFailed, err)
		}
		if ev.Error != "" {
			// The request was accepted, so no error that follows is a refusal.
			return external.TokenChunk{}, fmt.Errorf("%w: engine reports %q", external.ErrEngineFailed, ev.Error)
		}
		return ev.TokenChunk, nil
	}
}

// line returns the next line without its end. It is valid until the next call.
func (s *stream) line() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.longLine(line)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// longLine reads the rest of a line that does not fit the buffer.
func (s *stream) longLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for {
		part, err := s.lines.ReadSlice('\n')
		long = append(long, part...)
		if len(long) > maxLineBytes {
			return nil, errLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return long, err
		}
	}
}

// Close implements external.TokenStream. It closes the connection of an unfinished stream, which
// makes the engine cancel the request.
func (s *stream) Close() error {
	if s.done {
		// Reading to the end lets the connection be reused; the engine has nothing more to send.
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxLineBytes))
	}
	s.cancel()
	return s.body.Close()
}
