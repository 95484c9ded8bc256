// Package weightshttp is the HTTP adapter of the weight store, registered as
// platform.weights.http.
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

// ID is the module's ID.
const ID = "platform.weights.http"

func init() { kernel.Register(&Client{}) }

// Client calls the weight store.
type Client struct{ httpjson.Client }

var _ external.WeightStore = (*Client)(nil)

// Module implements kernel.Module.
func (*Client) Module() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Client{} }}
}

// Acquire implements external.WeightStore. Only the caller's context bounds the wait.
func (c *Client) Acquire(ctx context.Context, model string, bytes int64) error {
	err := c.Call(ctx, http.MethodPost, weightwire.PathAcquire, weightwire.Request{Model: model, Bytes: bytes}, nil)
	if err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	return nil
}
