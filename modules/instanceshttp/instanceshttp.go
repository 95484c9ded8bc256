// Package instanceshttp is the HTTP adapter of the instance list, registered as
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

// ID is the module's ID.
const ID = "platform.instances.http"

const callTimeout = 3 * time.Second

func init() { kernel.Register(&Client{}) }

// Client calls the instance list. It keeps the last list and asks for changes only: at 980 instances
// the whole list has about 150 KB, which each process would otherwise read at every change.
type Client struct {
	httpjson.Client

	mu      sync.Mutex
	epoch   string
	version uint64
	known   map[string]external.Instance
}

var _ external.InstanceList = (*Client)(nil)

// Module implements kernel.Module.
func (*Client) Module() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: ID, New: func() kernel.Module { return &Client{} }}
}

// Instances implements external.InstanceList. A service that has started again has another epoch
// and answers with its whole list, also if its version is not above after.
func (c *Client) Instances(ctx context.Context, after uint64) (external.InstanceSnapshot, error) {
	epoch, version := c.held()
	var l instancewire.List
	path := instancewire.PathList + "?after=" + strconv.FormatUint(version, 10) + "&epoch=" + url.QueryEscape(epoch)
	if err := c.call(ctx, http.MethodGet, path, nil, &l); err != nil {
		return external.InstanceSnapshot{}, err
	}
	return c.take(&l, after, epoch)
}

func (c *Client) held() (epoch string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.version
}

// errChanges means that changes came for another list than the one that is held.
var errChanges = errors.New("instance list: changes do not follow the list that is held")

// take joins an answer with the list that is held.
func (c *Client) take(l *instancewire.List, after uint64, asked string) (external.InstanceSnapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case l.Since == 0:
		c.known = make(map[string]external.Instance, len(l.Instances))
	case l.Epoch != c.epoch || l.Since > c.version:
		c.epoch, c.version, c.known = "", 0, nil
		return external.InstanceSnapshot{}, errChanges
	case l.Version < c.version:
		// An older answer than that of a call that ran at the same time.
		l.Instances, l.Removed, l.Version = nil, nil, c.version
	}
	for _, in := range l.Instances {
		c.known[in.ID] = in
	}
	for _, id := range l.Removed {
		delete(c.known, id)
	}
	restarted := asked != "" && l.Epoch != asked
	c.epoch, c.version = l.Epoch, l.Version
	if l.Version == after && !restarted {
		return external.InstanceSnapshot{Version: after}, nil
	}
	all := slices.SortedFunc(maps.Values(c.known), func(a, b external.Instance) int { return strings.Compare(a.ID, b.ID) })
	return external.InstanceSnapshot{Version: l.Version, Instances: all}, nil
}

// Register registers an instance for a time to live; repeat it to stay in the list.
func (c *Client) Register(ctx context.Context, in external.Instance, ttl time.Duration) error {
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
