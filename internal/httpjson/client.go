// Package httpjson provides an HTTP client and JSON handlers for the HTTP modules and the stand-ins.
// The client never resends a request. Its errors distinguish a request that was certainly not sent from
// one whose outcome is unknown.
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

	"github.com/quetzallug/quetzallug/internal/httpcheck"
	"github.com/quetzallug/quetzallug/internal/traffic"
	"github.com/quetzallug/quetzallug/kernel"
)

// Errors of a call without a usable response.
var (
	// ErrNotSent means that the server did not receive the request.
	ErrNotSent = errors.New("request not sent")
	// ErrOutcomeUnknown means that the server may have processed the request.
	ErrOutcomeUnknown = errors.New("request outcome unknown")
)

const (
	// MaxResponseBytes limits a response that is read into memory.
	MaxResponseBytes = 64 << 20
	maxErrorBytes    = 64 << 10
	// maxHeadBytes limits the head of a response; net/http allows 10 MB.
	maxHeadBytes = 32 << 10
	maxIdleConns = 64
	// idleConnTimeout is short, so that the server rarely closes a connection just as it is reused.
	idleConnTimeout = 15 * time.Second
	dialTimeout     = 3 * time.Second
)

// StatusError is a response with a status other than 2xx.
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
	// traffic counts the bytes of new connections; nil disables counting.
	traffic *traffic.Counter
}

// CountTraffic makes the client count the bytes of new connections in t. It must be called before the
// first request.
func (c *Client) CountTraffic(t *traffic.Counter) { c.traffic = t }

// Provision configures the client from the setting "address", an http or https URL.
func (c *Client) Provision(_ context.Context, s kernel.Settings) error {
	c.addr = s["address"]
	c.http = &http.Client{
		Transport: &httpcheck.Transport{Base: &http.Transport{
			DialContext:            c.dial,
			MaxIdleConnsPerHost:    maxIdleConns,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		}},
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

// Validate parses the address and checks that it is an http or https URL. It must be called before the
// first request.
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

// NewRequest returns a request that net/http cannot resend. The path may include a query. Errors wrap
// ErrNotSent.
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

// OneShotBody returns a request body that net/http cannot rewind. It is not nil even if b is empty,
// because net/http resends a request without a body if its method or an Idempotency-Key header marks
// it as replayable.
func OneShotBody(b []byte) io.Reader { return oneShot{bytes.NewReader(b)} }

type oneShot struct{ io.Reader }

// Do sends a request. Errors wrap ErrNotSent if the connection could not be established, and
// ErrOutcomeUnknown otherwise.
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

// Call sends in as JSON and decodes the response into out; both may be nil. A status other than 2xx is
// returned as a *StatusError. Other errors wrap ErrNotSent or ErrOutcomeUnknown; a response that cannot be
// decoded gives ErrOutcomeUnknown.
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
	// If the body is not a JSON error, code and message stay empty.
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(e)
	return e
}
