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

// maxEventBytes is the maximum size of a line, and thus of an event. It is far above the size of the few
// tokens that engines send per event. Close also reads at most this many bytes.
const maxEventBytes = 64 << 10

var (
	dataPrefix = []byte(enginewire.DataPrefix)
	newline    = []byte{'\n'}

	errEventTooLong = fmt.Errorf("event is longer than %d bytes", maxEventBytes)
)

// stream implements external.TokenStream. It reads the server-sent events of a generation.
type stream struct {
	cancel context.CancelFunc
	body   io.ReadCloser
	lines  *bufio.Reader
	// done is true once the chunk with the finish reason has been returned.
	done bool

	// next and nextErr are the result of reading an event that could not be merged. They are valid if
	// hasNext is true.
	hasNext bool
	next    external.TokenChunk
	nextErr error
	// text is a reused buffer for the text of merged events.
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
		return nil, convertError(err)
	}
	s.cancel = cancel
	return s, nil
}

// open sends a generate request and returns the stream of its response. The caller must set the
// stream's cancel field.
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

// Next implements external.TokenStream. It merges events that have already been received into one chunk,
// so that the client account receives a burst of events as one event. It never waits for a second event.
func (s *stream) Next() (external.TokenChunk, error) {
	c, err := s.nextEvent()
	if err != nil {
		return external.TokenChunk{}, err
	}
	s.mergeBuffered(&c)
	s.done = c.FinishReason != ""
	return c, nil
}

// nextEvent returns the event that a previous call of mergeBuffered could not merge, or reads the next
// event.
func (s *stream) nextEvent() (external.TokenChunk, error) {
	if s.done {
		return external.TokenChunk{}, io.EOF
	}
	if s.hasNext {
		s.hasNext = false
		return s.next, s.nextErr
	}
	return s.readEvent()
}

// mergeBuffered appends the buffered events that directly follow the chunk. An event that does not follow
// directly, or an error, is stored in next and nextErr for the next call of nextEvent.
func (s *stream) mergeBuffered(c *external.TokenChunk) {
	s.text = s.text[:0]
	for c.FinishReason == "" && s.hasBufferedEvent() {
		next, err := s.readEvent()
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

// hasBufferedEvent reports whether readEvent would return without reading from the connection.
func (s *stream) hasBufferedEvent() bool {
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

// readEvent reads the next event. Every read error has the text "stream ended without a finish reason",
// which is part of RPC messages; the wrapped error is the cause, such as errEventTooLong, a reset
// connection, an ended context or, at the end of the body, io.ErrUnexpectedEOF.
func (s *stream) readEvent() (external.TokenChunk, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return external.TokenChunk{}, fmt.Errorf("%w: stream ended without a finish reason: %w", external.ErrEngineFailed, err)
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue // an empty line or a comment
		}
		ev, err := enginewire.DecodeEvent(data)
		if err != nil {
			return external.TokenChunk{}, fmt.Errorf("%w: decode event: %w", external.ErrEngineFailed, err)
		}
		if ev.Error != "" {
			// The engine has accepted the request, so this error is never a refusal, whatever its code.
			return external.TokenChunk{}, fmt.Errorf("%w: engine reports %q", external.ErrEngineFailed, ev.Error)
		}
		return ev.TokenChunk, nil
	}
}

// readLine reads the next line and returns it without the line break. The result is valid until the next
// call.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return bytes.TrimRight(line, "\r\n"), err
}

// readLongLine reads the rest of a line that exceeds the buffer. start is the part of the line that has
// been read.
func (s *stream) readLongLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for {
		part, err := s.lines.ReadSlice('\n')
		long = append(long, part...)
		if len(long) > maxEventBytes {
			return nil, errEventTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return long, err
		}
	}
}

// Close implements external.TokenStream. If the answer has not finished, Close closes the connection,
// which causes the engine to cancel the request.
func (s *stream) Close() error {
	if s.done {
		// The connection can be reused only if the body is read to its end. The engine sends no more
		// events, so this does not block for long.
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxEventBytes))
	}
	s.cancel()
	return s.body.Close()
}
