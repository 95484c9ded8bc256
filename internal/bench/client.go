package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
)

const (
	// answerTokens limits the length of answers; most answers of the stand-in engine reach it.
	answerTokens = 16
	// callerCount is the number of callers that the load is spread over, so that it stays below the
	// limits per caller.
	callerCount = 200
	// maxIdleConns is above the number of requests in flight at 1,000 requests/s.
	maxIdleConns = 1024
	prompt       = "when does the next bus reach the stop at the market on the corner of the long street"
	model        = "halte-verdict"
)

var errTruncated = errors.New("answer ended before its end marker")

// client sends completion requests to entries, or generation requests to an engine.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
		IdleConnTimeout: time.Minute,
	}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// complete asks an entry for a streamed answer. n is the number of the request; it sets the seed and
// the caller.
func (c *client) complete(ctx context.Context, address, model string, n int) error {
	body, err := json.Marshal(map[string]any{
		"model": model, "prompt": prompt, "max_tokens": answerTokens, "stream": true, "seed": n,
	})
	if err != nil {
		return err
	}
	return c.post(ctx, "http://"+address+"/v1/completions", n, body, []byte("data: [DONE]\n"))
}

// generate asks an engine directly for an answer to the same prompt. n is used as in complete, and for
// the request ID.
func (c *client) generate(ctx context.Context, engine string, n int) error {
	body, err := json.Marshal(external.GenerateRequest{
		RequestID: "bench-" + strconv.Itoa(n), Model: model, Prompt: prompt,
		PromptTokens: enginewire.CountWords(prompt), MaxTokens: answerTokens, Seed: uint64(n),
	})
	if err != nil {
		return err
	}
	return c.post(ctx, engine+enginewire.PathGenerate, n, body, []byte(`"finish_reason":"`))
}

// post sends request n, on behalf of a caller chosen by n, and reads the whole answer, which must
// contain endMark.
func (c *client) post(ctx context.Context, url string, n int, body, endMark []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer caller-"+strconv.Itoa(n%callerCount))
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return readAllAndCheckMark(resp.Body, endMark)
}

// readAllAndCheckMark reads the whole stream and returns errTruncated if mark does not occur in it.
func readAllAndCheckMark(r io.Reader, mark []byte) error {
	var window []byte
	buf := make([]byte, 4<<10)
	found := false
	for {
		n, err := r.Read(buf)
		window = append(window, buf[:n]...)
		found = found || bytes.Contains(window, mark)
		window = window[max(0, len(window)-len(mark)):]
		switch {
		case errors.Is(err, io.EOF) && found:
			return nil
		case errors.Is(err, io.EOF):
			return errTruncated
		case err != nil:
			return err
		}
	}
}
