// Package backendhttp is the HTTP adapter for plain backend servers. Its module ID is backend.http.
package backendhttp

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/httpjson"
	"github.com/quetzallug/quetzallug/kernel"
)

// ID is the ID of the module.
const ID = "backend.http"

const (
	defaultLoadPath  = "/load"
	loadTimeout      = time.Second
	maxResponseBytes = 16 << 20
)

func init() { kernel.Register(&Client{}) }

// Client sends requests to a plain backend server.
type Client struct {
	httpjson.Client
	loadPath string
}

var _ external.Backend = (*Client)(nil)

// Module implements kernel.Module.
func (*Client) Module() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Client{} }}
}

// Provision implements kernel.Provisioner. It reads the settings "address", an http or https URL, and
// "load_path", the path of the load report.
func (c *Client) Provision(ctx context.Context, s kernel.Settings) error {
	c.loadPath = cmp.Or(s["load_path"], defaultLoadPath)
	return c.Client.Provision(ctx, s)
}

// Do implements external.Backend. A response with any status is a success. Redirects are returned, not
// followed.
func (c *Client) Do(ctx context.Context, r *external.PlainRequest) (*external.PlainResponse, error) {
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	req, err := c.NewRequest(ctx, r.Method, r.Path, r.Body)
	if err != nil {
		return nil, convertError(err)
	}
	setHeader(req, "Content-Type", r.ContentType)
	setHeader(req, "Idempotency-Key", r.IdempotencyKey)
	setHeader(req, "X-Request-Id", r.RequestID)
	resp, err := c.Client.Do(req)
	if err != nil {
		return nil, convertError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, convertError(err)
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("%w: response is larger than %d bytes", external.ErrEngineFailed, maxResponseBytes)
	}
	return &external.PlainResponse{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}, nil
}

// Load implements external.Backend.
func (c *Client) Load(ctx context.Context) (external.EngineLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var l external.EngineLoad
	if err := c.Call(ctx, http.MethodGet, c.loadPath, nil, &l); err != nil {
		return l, convertError(err)
	}
	return l, nil
}

// setHeader sets a header unless the value is empty.
func setHeader(r *http.Request, name, value string) {
	if value != "" {
		r.Header.Set(name, value)
	}
}

// convertError converts an error of httpjson to an error of package external. It returns
// external.ErrEngineRefused only if the request was certainly not sent.
func convertError(err error) error {
	if errors.Is(err, httpjson.ErrNotSent) {
		return fmt.Errorf("%w: %w", external.ErrEngineRefused, err)
	}
	return fmt.Errorf("%w: %w", external.ErrEngineFailed, err)
}
