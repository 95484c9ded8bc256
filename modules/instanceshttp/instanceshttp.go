// Package instanceshttp is the HTTP adapter of the instance list, registered as
// platform.instances.http.
package instanceshttp

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzallug/quetzallug/internal/httpjson"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/platform"
	"github.com/quetzallug/quetzallug/platform/instancewire"
)

// ID is the module's ID.
const ID = "platform.instances.http"

const callTimeout = 3 * time.Second

func init() { kernel.Register(&Client{}) }

// Client calls the instance list.
type Client struct{ httpjson.Client }

var _ platform.InstanceList = (*Client)(nil)

// Module implements kernel.Module.
func (*Client) Module() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Client{} }}
}

// Instances implements platform.InstanceList.
func (c *Client) Instances(ctx context.Context, after uint64) (platform.InstanceSnapshot, error) {
	var s platform.InstanceSnapshot
	path := instancewire.PathList + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, path, nil, &s)
	return s, err
}

// Register registers an instance for a time to live; repeat it to stay in the list.
func (c *Client) Register(ctx context.Context, in platform.Instance, ttl time.Duration) error {
	r := instancewire.Registration{Instance: in, TTLMS: ttl.Milliseconds()}
	return c.call(ctx, http.MethodPost, instancewire.PathRegister, r, nil)
}

// Leave marks an instance as leaving.
func (c *Client) Leave(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, instancewire.PathLeave, instancewire.Leave{ID: id}, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.Call(ctx, method, path, in, out); err != nil {
		return fmt.Errorf("instance list: %w", err)
	}
	return nil
}
