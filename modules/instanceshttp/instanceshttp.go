// Package instanceshttp is the HTTP adapter for the instance list. Its module ID is
// platform.instances.http.
package instanceshttp

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/instancewire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
	"github.com/quetzallug/quetzallug/kernel"
)

// ID is the ID of the module.
const ID = "platform.instances.http"

const callTimeout = 3 * time.Second

func init() { kernel.Register(&Client{}) }

// Client sends requests to the instance list. It caches the last list and requests only the changes
// since then, because each process reads the list after every change and the whole list is large, about
// 150 KB for 980 instances.
type Client struct {
	httpjson.Client

	mu sync.Mutex
	// epoch, version and instances are the cached list.
	epoch     string
	version   uint64
	instances map[string]external.Instance
}

var _ external.InstanceList = (*Client)(nil)

// Module implements kernel.Module.
func (*Client) Module() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Client{} }}
}

// Instances implements external.InstanceList. After a restart, the service has a new epoch, counts
// versions from the start again and returns the whole list. Instances then returns that list whatever its
// version.
func (c *Client) Instances(ctx context.Context, after uint64) (external.InstanceSnapshot, error) {
	epoch, version := c.currentVersion()
	var l instancewire.List
	path := instancewire.PathList + "?after=" + strconv.FormatUint(version, 10) + "&epoch=" + url.QueryEscape(epoch)
	if err := c.call(ctx, http.MethodGet, path, nil, &l); err != nil {
		return external.InstanceSnapshot{}, err
	}
	return c.update(&l, after, epoch)
}

// currentVersion returns the epoch and version of the cached list.
func (c *Client) currentVersion() (epoch string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.version
}

// errChangesNotApplicable means that the service returned changes since a version that is not cached.
var errChangesNotApplicable = errors.New("instance list: the received changes do not apply to the cached list")

// update applies a response to the cached list. It returns the list, or an empty snapshot if the list has
// not changed since version after. requestEpoch is the epoch in the request.
func (c *Client) update(l *instancewire.List, after uint64, requestEpoch string) (external.InstanceSnapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case l.Since == 0:
		c.instances = make(map[string]external.Instance, len(l.Instances))
	case l.Epoch != c.epoch || l.Since > c.version:
		c.epoch, c.version, c.instances = "", 0, nil
		return external.InstanceSnapshot{}, errChangesNotApplicable
	case l.Version < c.version:
		// A concurrent call has already received a later version. Do not go back to an earlier one.
		l.Instances, l.Removed, l.Version = nil, nil, c.version
	}
	for _, in := range l.Instances {
		c.instances[in.ID] = in
	}
	for _, id := range l.Removed {
		delete(c.instances, id)
	}
	restarted := requestEpoch != "" && l.Epoch != requestEpoch
	c.epoch, c.version = l.Epoch, l.Version
	if l.Version == after && !restarted {
		return external.InstanceSnapshot{Version: after}, nil
	}
	all := slices.SortedFunc(maps.Values(c.instances), func(a, b external.Instance) int { return strings.Compare(a.ID, b.ID) })
	return external.InstanceSnapshot{Version: l.Version, Instances: all}, nil
}

// Register adds or replaces an instance. The service removes the instance after ttl unless it is
// registered again.
func (c *Client) Register(ctx context.Context, in external.Instance, ttl time.Duration) error {
	r := instancewire.Registration{Instance: in, TTLMS: ttl.Milliseconds()}
	return c.call(ctx, http.MethodPost, instancewire.PathRegister, r, nil)
}

// Leave marks an instance as leaving.
func (c *Client) Leave(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodPost, instancewire.PathLeave, instancewire.InstanceRef{ID: id}, nil)
}

// call sends a request with a timeout of callTimeout.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.Call(ctx, method, path, in, out); err != nil {
		return fmt.Errorf("instance list: %w", err)
	}
	return nil
}
