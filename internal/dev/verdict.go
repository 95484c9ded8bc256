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
	// readyTick is the pause between tries while the engines load their models.
	readyTick = 100 * time.Millisecond
	// verdictTokens is the length of the shown answer.
	verdictTokens = 24
)

// errNotServing means that no engine has loaded the model yet.
var errNotServing = errors.New("not serving yet")

// ShowVerdict requests one streamed answer of the example's first kind and copies its text to w
// as it arrives. It retries while the engines load.
func (d *Deployment) ShowVerdict(ctx context.Context, w io.Writer) error {
	s := d.Service()
	body, err := json.Marshal(map[string]any{
		"model": s.Models[0].Name, "stream": true, "max_tokens": verdictTokens,
		"prompt": strings.Repeat("route 17, stop 4, vehicle 230, two minutes late; ", 60) + "when is the next arrival?",
	})
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	for {
		err := d.tryVerdict(ctx, w, s.Kinds[0], body)
		if !errors.Is(err, errNotServing) {
			return err
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for the engines")
		case <-time.After(readyTick):
		}
	}
}

func (d *Deployment) tryVerdict(ctx context.Context, w io.Writer, kind document.Kind, body []byte) error {
	url := "http://" + d.cfg.Entry.Listen + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	req.Header.Set("X-Quetzallug-Kind", kind.Name)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "request")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusNotFound {
		return errNotServing
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return eris.Errorf("status %d: %s", resp.StatusCode, b)
	}
	_, _ = fmt.Fprintf(w, "\nrequest %s, kind %s:\n", resp.Header.Get("X-Request-Id"), kind.Name)
	if _, err := io.Copy(w, resp.Body); err != nil {
		return eris.Wrap(err, "read answer")
	}
	return nil
}
