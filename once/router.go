package once

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/platform"
)

// Forwarder sends a request to another entry. It returns an error that wraps ErrNotSent if the
// request certainly did not reach the entry; after any other error it may have been recorded.
type Forwarder interface {
	Forward(ctx context.Context, to platform.Instance, r Request) (Result, error)
}

// Router sends each request to the entry that owns its shard, so that claims are batched there. A
// request that arrives from another entry goes to the Committer directly and is never forwarded
// again.
type Router struct {
	self    string
	entries func() []platform.Instance
	forward Forwarder
	commit  *Committer
}

var _ Claimer = (*Router)(nil)

// NewRouter returns a router. The function entries returns the entries that are live.
func NewRouter(self string, entries func() []platform.Instance, f Forwarder, c *Committer) *Router {
	return &Router{self: self, entries: entries, forward: f, commit: c}
}

// Do sends the request to the shard owner. If the owner was certainly not reached, the request is
// committed here. If the outcome is not known, the record is read and the request committed here
// unless it is there already; both writes carry the same request ID, so only one takes effect.
func (r *Router) Do(ctx context.Context, req Request) Result {
	if err := req.Validate(); err != nil {
		return Result{State: StateUnavailable, Err: err}
	}
	owner, ok := r.Owner(req.Service, req.Key)
	if !ok || owner.ID == r.self {
		return r.commit.Do(ctx, req)
	}
	forwardCtx, cancel := context.WithTimeout(ctx, r.commit.set.ForwardTimeout)
	res, err := r.forward.Forward(forwardCtx, owner, req)
	cancel()
	if err == nil && res.State != StateUnknown && res.State != StateUnavailable {
		return res
	}
	local := r.commit.Do(ctx, req)
	certain := errors.Is(err, ErrNotSent) || err == nil && res.State == StateUnavailable
	if local.State == StateUnavailable && !certain {
		// The owner may have recorded the request.
		local.State = StateUnknown
		local.Err = errors.Join(local.Err, err)
	}
	return local
}

// Owner returns the entry that owns the key's shard by rendezvous hashing, and false without entries.
func (r *Router) Owner(service, key string) (platform.Instance, bool) {
	shard := shardKey(service, ShardOf(key, r.commit.Shards(service)))
	return rendezvous(shard, r.entries())
}

// rendezvous returns the instance with the highest hash of subject and instance ID.
func rendezvous(subject string, instances []platform.Instance) (platform.Instance, bool) {
	var best platform.Instance
	var bestHash uint64
	found := false
	for _, in := range instances {
		if in.Role != platform.RoleEntry || in.State != platform.InstanceLive {
			continue
		}
		h := xxhash.Sum64String(subject + "\x00" + in.ID)
		if !found || h > bestHash || h == bestHash && in.ID < best.ID {
			best, bestHash, found = in, h, true
		}
	}
	return best, found
}
