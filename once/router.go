package once

import (
	"context"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

// Forwarder sends a request to another entry. It returns an error that wraps ErrNotSent if the
// request certainly did not reach the entry; after any other error it may have been recorded.
type Forwarder interface {
	Forward(ctx context.Context, to external.Instance, r Request) (Result, error)
}

// Router sends each request to the entry that owns its shard, so that claims are batched there. A
// request that arrives from another entry goes to the Committer directly and is never forwarded
// again.
type Router struct {
	self    string
	entries func() []external.Instance
	forward Forwarder
	commit  *Committer
}

var _ Claimer = (*Router)(nil)

// NewRouter returns a router. The function entries returns the entries that are live.
func NewRouter(self string, entries func() []external.Instance, f Forwarder, c *Committer) *Router {
	return &Router{self: self, entries: entries, forward: f, commit: c}
}

// Do sends the request to the shard owner, and settles it elsewhere if the owner does not decide it.
//
//   - If the owner was certainly not reached, the request is committed here.
//   - If the outcome is not known, or the owner cannot reach the key-value service, it goes to the
//     shard's second choice, in another data centre if possible. If that one does not answer either,
//     it is committed here.
//
// Each of these reads the record first and writes only if the request ID is not there, so that one
// claim is recorded at most. With the second choice, at most two processes write to a shard's record
// when the key-value service comes back after an outage; when all entries fell back to their own
// commits, their conflicts kept the service over its rate after the outage had ended.
func (r *Router) Do(ctx context.Context, req Request) Result {
	if err := req.Validate(); err != nil {
		return Result{State: StateUnavailable, Err: err}
	}
	var last Result
	maybeRecorded := false
	for i, to := range r.targets(&req) {
		res, answered := r.ask(ctx, to, req)
		if res.State != StateUnknown && res.State != StateUnavailable {
			return res
		}
		maybeRecorded = maybeRecorded || res.State == StateUnknown
		last = Result{State: res.State, Err: errors.Join(last.Err, res.Err)}
		if answered && i > 0 {
			break
		}
		if errors.Is(res.Err, ErrNotSent) {
			res = r.commit.Do(ctx, req)
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

// targets returns the IDs of the shard's first and second choice and this entry, without repetition.
func (r *Router) targets(req *Request) []external.Instance {
	entries := r.entries()
	self := external.Instance{ID: r.self}
	first, second := rendezvous(shardKey(req.Service, ShardOf(req.Key, r.commit.Shards(req.Service))), entries)
	targets := make([]external.Instance, 0, 3)
	for _, in := range []external.Instance{first, second, self} {
		if in.ID != "" && !slices.ContainsFunc(targets, func(o external.Instance) bool { return o.ID == in.ID }) {
			targets = append(targets, in)
		}
	}
	return targets
}

// ask sends the request to an entry and reports whether that entry answered.
func (r *Router) ask(ctx context.Context, to external.Instance, req Request) (Result, bool) {
	if to.ID == r.self {
		return r.commit.Do(ctx, req), true
	}
	ctx, cancel := context.WithTimeout(ctx, r.commit.set.ForwardTimeout)
	defer cancel()
	res, err := r.forward.Forward(ctx, to, req)
	switch {
	case errors.Is(err, ErrNotSent):
		return Result{State: StateUnavailable, Err: err}, false
	case err != nil:
		return Result{State: StateUnknown, Err: err}, false
	}
	return res, true
}

// Owner returns the entry that owns the key's shard by rendezvous hashing, and false without entries.
func (r *Router) Owner(service, key string) (external.Instance, bool) {
	first, _ := rendezvous(shardKey(service, ShardOf(key, r.commit.Shards(service))), r.entries())
	return first, first.ID != ""
}

// rendezvous returns the live entry with the highest hash of subject and instance ID, and the highest
// of the others, preferably in another data centre.
func rendezvous(subject string, instances []external.Instance) (first, second external.Instance) {
	first = highest(subject, instances, func(external.Instance) bool { return true })
	second = highest(subject, instances, func(in external.Instance) bool { return in.DataCentre != first.DataCentre })
	if second.ID == "" {
		second = highest(subject, instances, func(in external.Instance) bool { return in.ID != first.ID })
	}
	return first, second
}

func highest(subject string, instances []external.Instance, allowed func(external.Instance) bool) external.Instance {
	var best external.Instance
	var bestHash uint64
	for _, in := range instances {
		if in.Role != external.RoleEntry || in.State != external.InstanceLive || !allowed(in) {
			continue
		}
		h := xxhash.Sum64String(subject + "\x00" + in.ID)
		if best.ID == "" || h > bestHash || h == bestHash && in.ID < best.ID {
			best, bestHash = in, h
		}
	}
	return best
}
