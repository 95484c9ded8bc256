// Package kvhttp is the HTTP adapter for the key-value service. Its module ID is platform.kv.http.
package kvhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/kvwire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
	"github.com/quetzallug/quetzallug/kernel"
)

// ID is the ID of the module.
const ID = "platform.kv.http"

const (
	// watchTimeout exceeds the service's own limit for watches of 20 s.
	watchTimeout = 30 * time.Second
	callTimeout  = 3 * time.Second
)

func init() { kernel.Register(&Client{}) }

// Client sends requests to the key-value service.
type Client struct{ httpjson.Client }

var _ external.KV = (*Client)(nil)

// Module implements kernel.Module.
func (*Client) Module() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Client{} }}
}

// Get implements external.KV.
func (c *Client) Get(ctx context.Context, key string) (external.KVEntry, error) {
	resp, err := c.call(ctx, kvwire.PathGet, kvwire.Request{Key: key}, callTimeout)
	if err != nil {
		return external.KVEntry{}, convertReadError(err)
	}
	if len(resp.Entries) == 0 { // an invalid response: an absent key has an error code
		return external.KVEntry{}, external.ErrUnavailable
	}
	return resp.Entries[0], nil
}

// List implements external.KV.
func (c *Client) List(ctx context.Context, prefix string) ([]external.KVEntry, uint64, error) {
	resp, err := c.call(ctx, kvwire.PathList, kvwire.Request{Key: prefix}, callTimeout)
	return resp.Entries, resp.Revision, convertReadError(err)
}

// CompareAndSwap implements external.KV.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease external.LeaseID) (uint64, error) {
	r := kvwire.Request{Key: key, Expected: expected, Value: value, Lease: lease}
	resp, err := c.call(ctx, kvwire.PathSwap, r, callTimeout)
	return resp.Version, err
}

// Delete implements external.KV.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := c.call(ctx, kvwire.PathDelete, kvwire.Request{Key: key, Expected: expected}, callTimeout)
	return err
}

// Watch implements external.KV.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]external.KVEvent, uint64, error) {
	resp, err := c.call(ctx, kvwire.PathWatch, kvwire.Request{Key: prefix, After: after}, watchTimeout)
	if err != nil {
		return nil, after, convertReadError(err)
	}
	return resp.Events, resp.Revision, nil
}

// GrantLease implements external.KV.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (external.LeaseID, error) {
	resp, err := c.call(ctx, kvwire.PathGrant, kvwire.Request{TTLMS: ttl.Milliseconds()}, callTimeout)
	return resp.Lease, err
}

// KeepAlive implements external.KV.
func (c *Client) KeepAlive(ctx context.Context, id external.LeaseID) error {
	_, err := c.call(ctx, kvwire.PathKeepAlive, kvwire.Request{Lease: id}, callTimeout)
	return err
}

// RevokeLease implements external.KV.
func (c *Client) RevokeLease(ctx context.Context, id external.LeaseID) error {
	_, err := c.call(ctx, kvwire.PathRevoke, kvwire.Request{Lease: id}, callTimeout)
	return err
}

// convertReadError converts external.ErrOutcomeUnknown to external.ErrUnavailable, because a read never
// has an effect. The converted error does not contain the cause, such as a status or a timeout.
func convertReadError(err error) error {
	if errors.Is(err, external.ErrOutcomeUnknown) {
		return external.ErrUnavailable
	}
	return err
}

// call sends a request with a timeout and returns the response. If the response contains an error code,
// call also returns its error.
func (c *Client) call(ctx context.Context, path string, r kvwire.Request, timeout time.Duration) (out kvwire.Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.Call(ctx, http.MethodPost, path, r, &out); err != nil {
		return kvwire.Response{}, convertError(err)
	}
	return out, kvwire.Error(out.Error)
}

// convertError converts an error of httpjson to an error of package external. It returns
// external.ErrUnavailable, which means that the call had no effect, only if the request was certainly not
// sent or was rejected with a status below 500. Any other status may come from a proxy after the service
// has executed the call.
func convertError(err error) error {
	var status *httpjson.StatusError
	if errors.Is(err, httpjson.ErrNotSent) ||
		errors.As(err, &status) && status.Status < http.StatusInternalServerError {
		return fmt.Errorf("%w: %w", external.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", external.ErrOutcomeUnknown, err)
}
