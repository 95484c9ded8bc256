package once

import (
	"context"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

// Forwarder sends a request to another entry. An error that wraps ErrNotSent means that the request
// certainly did not reach the entry; after any other error it may have been recorded.
type Forwarder interface {
	Forward(ctx context.Context, to external.Instance, r Request) (Result, error)
}

// Router sends each request to the entry that owns its shard, which commits the shard's requests in
// batches. A request that was forwarded by another entry must be passed to the Committer directly, so
// that it is not forwarded again.
type Router struct {
	self      string
	instances func() []external.Instance
	forwarder Forwarder
	committer *Committer
}

var _ Claimer = (*Router)(nil)

// NewRouter returns a Router for the entry with the ID self. The function instances returns the known
// instances; only live entries among them receive requests.
func NewRouter(self string, instances func() []external.Instance, f Forwarder, c *Committer) *Router {
	return &Router{self: self, instances: instances, forwarder: f, committer: c}
}

// Do sends the request to the shard owner. If the owner returns no definite result, it falls back:
//
//   - If the request certainly did not reach the owner, it is committed locally.
//   - If the outcome is unknown, or the owner cannot reach the key-value service, the request is sent
//     to the shard's secondary, in another data centre if possible. If the secondary does not answer
//     either, the request is committed locally.
//
// Each fallback adds the claim by compare-and-swap to a record that lacks the key, so that at most one
// claim is recorded. The secondary is tried before a local commit so that, while it and the owner
// answer, only these two write to the shard, also when the key-value service recovers from an outage.
// Local commits by all entries would conflict, and keep the key-value service above its write limit after the
// outage has ended.
func (r *Router) Do(ctx context.Context, req Request) Result {
	if err := req.Validate(); err != nil {
		return Result{State: StateUnavailable, Err: err}
	}
	var last Result
	maybeRecorded := false
	for i, to := range r.targets(&req) {
		res, answered := r.send(ctx, to, req)
		if res.State != StateUnknown && res.State != StateUnavailable {
			return res
		}
		maybeRecorded = maybeRecorded || res.State == StateUnknown
		last = Result{State: res.State, Err: errors.Join(last.Err, res.Err)}
		if answered && i > 0 {
			break
		}
		if errors.Is(res.Err, ErrNotSent) {
			res = r.committer.Do(ctx, req)
			if res.State != StateUnavailable {
				return res
			}
			last = res
			break
		}
	}
	if maybeRecorded && last.State == StateUnavailable {
		last.State = StateUnknown
	}
	return last
}

// targets returns the shard's owner, its secondary and this entry, in this order and without
// duplicates.
func (r *Router) targets(req *Request) []external.Instance {
	instances := r.instances()
	self := external.Instance{ID: r.self}
	owner, secondary := ownerAndSecondary(shardKey(req.Service, ShardOf(req.Key, r.committer.Shards(req.Service))), instances)
	targets := make([]external.Instance, 0, 3)
	for _, in := range []external.Instance{owner, secondary, self} {
		if in.ID != "" && !slices.ContainsFunc(targets, func(o external.Instance) bool { return o.ID == in.ID }) {
			targets = append(targets, in)
		}
	}
	return targets
}

// send passes the request to an entry, or to the local committer if that is this entry, and reports
// whether the entry answered.
func (r *Router) send(ctx context.Context, to external.Instance, req Request) (Result, bool) {
	if to.ID == r.self {
		return r.committer.Do(ctx, req), true
	}
	ctx, cancel := context.WithTimeout(ctx, r.committer.settings.ForwardTimeout)
	defer cancel()
	res, err := r.forwarder.Forward(ctx, to, req)
	switch {
	case errors.Is(err, ErrNotSent):
		return Result{State: StateUnavailable, Err: err}, false
	case err != nil:
		return Result{State: StateUnknown, Err: err}, false
	}
	return res, true
}

// Owner returns the entry that owns the key's shard by rendezvous hashing, and false if there is no
// live entry.
func (r *Router) Owner(service, key string) (external.Instance, bool) {
	owner, _ := ownerAndSecondary(shardKey(service, ShardOf(key, r.committer.Shards(service))), r.instances())
	return owner, owner.ID != ""
}

// ownerAndSecondary returns the live entry with the highest hash of key and instance ID, and the live
// entry with the highest hash in another data centre. If no other data centre has a live entry, the
// secondary is the entry with the next highest hash.
func ownerAndSecondary(key string, instances []external.Instance) (owner, secondary external.Instance) {
	owner = highestHash(key, instances, func(external.Instance) bool { return true })
	secondary = highestHash(key, instances, func(in external.Instance) bool { return in.DataCentre != owner.DataCentre })
	if secondary.ID == "" {
		secondary = highestHash(key, instances, func(in external.Instance) bool { return in.ID != owner.ID })
	}
	return owner, secondary
}

// highestHash returns the allowed live entry with the highest hash. Equal hashes are ordered by ID.
func highestHash(key string, instances []external.Instance, allowed func(external.Instance) bool) external.Instance {
	var best external.Instance
	var bestHash uint64
	for _, in := range instances {
		if in.Role != external.RoleEntry || in.State != external.InstanceLive || !allowed(in) {
			continue
		}
		h := xxhash.Sum64String(key + "\x00" + in.ID)
		if best.ID == "" || h > bestHash || h == bestHash && in.ID < best.ID {
			best, bestHash = in, h
		}
	}
	return best
}
