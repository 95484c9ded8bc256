// Package weightshttp is the HTTP adapter for the weight store. Its module ID is platform.weights.http.
package weightshttp

import (
	"context"
	"fmt"
	"net/http"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/weightwire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
	"github.com/quetzallug/quetzallug/kernel"
)

// ID is the ID of the module.
const ID = "platform.weights.http"

func init() { kernel.Register(&Client{}) }

// Client sends requests to the weight store.
type Client struct{ httpjson.Client }

var _ external.WeightStore = (*Client)(nil)

// Module implements kernel.Module.
func (*Client) Module() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Client{} }}
}

// Acquire implements external.WeightStore. It has no timeout other than the caller's context.
func (c *Client) Acquire(ctx context.Context, model string, bytes int64) error {
	err := c.Call(ctx, http.MethodPost, weightwire.PathAcquire, weightwire.Request{Model: model, Bytes: bytes}, nil)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	return nil
}
