// Package httpjson holds what the HTTP adapters and the stand-ins share: a client that never
// resends a request and tells "certainly not sent" from "outcome unknown", and JSON handlers.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/quetzallug/quetzallug/internal/traffic"
	"github.com/quetzallug/quetzallug/kernel"
)

// Errors of a call.
var (
	// ErrNotSent means that the server certainly did not receive the request.
	ErrNotSent = errors.New("request not sent")
	// ErrOutcomeUnknown means that the server may have processed the request.
	ErrOutcomeUnknown = errors.New("request outcome unknown")
)

const (
	// MaxResponseBytes bounds a response that is read whole.
	MaxResponseBytes = 64 << 20
	maxErrorBytes    = 64 << 10
	maxIdleConns     = 64
	// idleConnTimeout is short, so that a server rarely closes a connection that is being reused.
	idleConnTimeout = 15 * time.Second
	dialTimeout     = 3 * time.Second
)

// StatusError is an answer with a status other than 2xx.
type StatusError struct {
	Status  int    `json:"-"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d (%s): %s", e.Status, e.Code, e.Message)
}

// Client sends requests to one server.
type Client struct {
	base *url.URL
	addr string
	http *http.Client
	// traffic counts the bytes of later connections; nil counts nothing.
	traffic *traffic.Counter
}

// CountTraffic counts the bytes of the connections that are made from now on. Call it before
// the first request.
func (c *Client) CountTraffic(t *traffic.Counter) { c.traffic = t }

// Provision reads the setting "address", an http or https URL.
func (c *Client) Provision(_ context.Context, s kernel.Settings) error {
	c.addr = s["address"]
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         c.dial,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		// Following a redirect would send the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return nil
}

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return traffic.Conn(conn, c.traffic), nil
}

// Validate checks the address.
func (c *Client) Validate() error {
	u, err := url.Parse(c.addr)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Errorf("address %q is not an http or https URL", c.addr)
	}
	c.base = u
	return nil
}

// Cleanup closes idle connections.
func (c *Client) Cleanup() error {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	return nil
}

// NewRequest returns a request that net/http cannot resend. The path may carry a query.
// Its error is ErrNotSent.
func (c *Client) NewRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	if path == "" || path[0] != '/' {
		return nil, fmt.Errorf("%w: path %q does not start with a slash", ErrNotSent, path)
	}
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	u.Scheme, u.Host = c.base.Scheme, c.base.Host
	req, err := http.NewRequestWithContext(ctx, method, "/", OneShotBody(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.URL, req.Host = u, u.Host
	req.ContentLength = int64(len(body))
	return req, nil
}

// OneShotBody returns a body that net/http cannot rewind. An empty body is not nil either:
// net/http resends a request without body if its method or an Idempotency-Key header marks it
// as replayable.
func OneShotBody(b []byte) io.Reader { return oneShot{bytes.NewReader(b)} }

type oneShot struct{ io.Reader }

// Do sends a request. Its errors are ErrNotSent if the dial failed, otherwise ErrOutcomeUnknown.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

// Call sends in as JSON and decodes the answer into out; both may be nil. A status other than
// 2xx is a *StatusError.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("%w: encode request: %w", ErrNotSent, err)
		}
	}
	req, err := c.NewRequest(ctx, method, path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := CheckStatus(resp); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("%w: decode response: %w", ErrOutcomeUnknown, err)
	}
	return nil
}

// CheckStatus returns a *StatusError for a status other than 2xx.
func CheckStatus(resp *http.Response) error {
	if resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	e := &StatusError{Status: resp.StatusCode}
	// A body that is not in the expected form leaves the code empty.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(e)
	return e
}
