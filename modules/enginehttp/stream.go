package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/quetzallug/quetzallug/internal/httpjson"
	"github.com/quetzallug/quetzallug/platform"
	"github.com/quetzallug/quetzallug/platform/enginewire"
)

// maxLineBytes bounds one event. Engines send a few tokens per event.
const maxLineBytes = 64 << 10

var dataPrefix = []byte(enginewire.DataPrefix)

// stream reads the server-sent events of one generation.
type stream struct {
	cancel context.CancelFunc
	body   io.ReadCloser
	lines  *bufio.Scanner
	done   bool
}

// Generate implements platform.Engine.
func (c *Client) Generate(ctx context.Context, r *platform.GenerateRequest) (platform.TokenStream, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: encode request: %w", platform.ErrEngineRefused, err)
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
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	return &stream{body: resp.Body, lines: lines}, nil
}

// Next implements platform.TokenStream.
func (s *stream) Next() (platform.TokenChunk, error) {
	if s.done {
		return platform.TokenChunk{}, io.EOF
	}
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataPrefix)
		if !ok {
			continue // a blank line or a comment
		}
		ev, err := enginewire.DecodeEvent(data)
		if err != nil {
			return platform.TokenChunk{}, fmt.Errorf("%w: decode event: %w", platform.ErrEngineFailed, err)
		}
		if ev.Error != "" {
			// The request was accepted, so no error that follows is a refusal.
			return platform.TokenChunk{}, fmt.Errorf("%w: engine reports %q", platform.ErrEngineFailed, ev.Error)
		}
		s.done = ev.FinishReason != ""
		return ev.TokenChunk, nil
	}
	err := s.lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return platform.TokenChunk{}, fmt.Errorf("%w: stream ended without a finish reason: %w", platform.ErrEngineFailed, err)
}

// Close implements platform.TokenStream. It closes the connection of an unfinished stream, which
// makes the engine cancel the request.
func (s *stream) Close() error {
	if s.done {
		// Reading to the end lets the connection be reused; the engine has nothing more to send.
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxLineBytes))
	}
	s.cancel()
	return s.body.Close()
}
