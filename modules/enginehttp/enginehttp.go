// Package enginehttp is the HTTP adapter for model engines. Its module ID is engine.http.
package enginehttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
	"github.com/quetzallug/quetzallug/kernel"
)

// ID is the ID of the module.
const ID = "engine.http"

// callTimeout limits the duration of all calls other than Generate and Apply, which only the caller's
// context limits.
const callTimeout = 3 * time.Second

func init() { kernel.Register(&Client{}) }

// Client sends requests to a model engine.
type Client struct{ httpjson.Client }

var _ external.Engine = (*Client)(nil)

// Module implements kernel.Module.
func (*Client) Module() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Client{} }}
}

// Cancel implements external.Engine.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.callWithTimeout(ctx, http.MethodPost, enginewire.PathCancel, enginewire.RequestRef{RequestID: requestID}, nil)
}

// State implements external.Engine.
func (c *Client) State(ctx context.Context) (s external.EngineState, err error) {
	err = c.callWithTimeout(ctx, http.MethodGet, enginewire.PathState, nil, &s)
	return s, err
}

// Apply implements external.Engine.
func (c *Client) Apply(ctx context.Context, o external.EngineOrder) error {
	return convertError(c.Call(ctx, http.MethodPost, enginewire.PathApply, o, nil))
}

// Load implements external.Engine.
func (c *Client) Load(ctx context.Context) (l external.EngineLoad, err error) {
	err = c.callWithTimeout(ctx, http.MethodGet, enginewire.PathLoad, nil, &l)
	return l, err
}

// CacheEvents implements external.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (events []external.CacheEvent, err error) {
	path := enginewire.PathEvents + "?after=" + strconv.FormatUint(after, 10)
	err = c.callWithTimeout(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// ExportKV implements external.Engine.
func (c *Client) ExportKV(ctx context.Context, requestID string) ([]byte, error) {
	var b enginewire.KVCache
	err := c.callWithTimeout(ctx, http.MethodPost, enginewire.PathExport, enginewire.RequestRef{RequestID: requestID}, &b)
	return b.Data, err
}

// ImportKV implements external.Engine.
func (c *Client) ImportKV(ctx context.Context, data []byte) (string, error) {
	var h enginewire.Handle
	err := c.callWithTimeout(ctx, http.MethodPost, enginewire.PathImport, enginewire.KVCache{Data: data}, &h)
	return h.Handle, err
}

// callWithTimeout sends a request with a timeout of callTimeout.
func (c *Client) callWithTimeout(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return convertError(c.Call(ctx, method, path, in, out))
}

// convertError converts an error of httpjson to an error of package external. It returns
// external.ErrEngineRefused only if the request was certainly not sent or the engine has refused it.
func convertError(err error) error {
	if err == nil {
		return nil
	}
	if errors.Is(err, httpjson.ErrNotSent) {
		return fmt.Errorf("%w: %w", external.ErrEngineRefused, err)
	}
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		return fmt.Errorf("%w: %w", enginewire.Error(status.Code), err)
	}
	return fmt.Errorf("%w: %w", external.ErrEngineFailed, err)
}
