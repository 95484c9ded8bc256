package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzallug/quetzallug/document"
)

const (
	// retryInterval is the delay between requests while the engines load their models.
	retryInterval = 100 * time.Millisecond
	// sampleTokens is the length of the sample completion in tokens.
	sampleTokens = 24
)

// errNotServing means that the entry responded with status 503 or 404, as it does until an engine has
// loaded the model.
var errNotServing = errors.New("not serving yet")

// StreamSample requests one streamed completion of the example's first request kind and copies the
// response body to w as it arrives. It retries while the engines load their models.
func (d *Deployment) StreamSample(ctx context.Context, w io.Writer) error {
	s := d.Service()
	body, err := json.Marshal(map[string]any{
		"model": s.Models[0].Name, "stream": true, "max_tokens": sampleTokens,
		"prompt": strings.Repeat("route 17, stop 4, vehicle 230, two minutes late; ", 60) + "when is the next arrival?",
	})
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	for {
		err := d.requestSample(ctx, w, s.Kinds[0], body)
		if !errors.Is(err, errNotServing) {
			return err
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for the engines")
		case <-time.After(retryInterval):
		}
	}
}

// requestSample sends the request once. It returns errNotServing if the request should be retried.
func (d *Deployment) requestSample(ctx context.Context, w io.Writer, kind document.Kind, body []byte) error {
	url := "http://" + d.cfg.Entry.Listen + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	req.Header.Set("X-Quetzallug-Kind", kind.Name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "request sample completion")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusNotFound {
		return errNotServing
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return eris.Errorf("sample completion: status %d: %s", resp.StatusCode, b)
	}
	_, _ = fmt.Fprintf(w, "\nrequest %s, kind %s:\n", resp.Header.Get("X-Request-Id"), kind.Name)
	if _, err := io.Copy(w, resp.Body); err != nil {
		return eris.Wrap(err, "read response")
	}
	return nil
}
