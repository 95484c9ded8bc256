package entry

import (
	"time"

	"github.com/quetzallug/quetzallug/document"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// call is a validated request of a caller. Either model or plain is set.
type call struct {
	id       string
	caller   string
	service  *document.Service
	revision uint64
	kind     *document.Kind
	deadline time.Time
	// key is the caller's idempotency key, or empty.
	key   string
	model *v1.ModelRequest
	plain *v1.PlainRequest
	// prefix holds the hashes of the leading blocks of the prompt, for routing by cached prefix.
	prefix   []uint64
	priority int
	started  time.Time
}

// request builds the message to the worker for one attempt. offset is the number of tokens already
// delivered, at which the answer resumes.
func (c *call) request(cluster string, w Worker, attempt uint32, offset uint64, now time.Time) *v1.ExecuteRequest {
	remaining := c.deadline.Sub(now).Milliseconds()
	r := &v1.ExecuteRequest{
		Cluster: cluster, RequestId: c.id, Attempt: attempt, Offset: offset,
		Service: c.service.Service, Kind: c.kind.Name, ConfigRevision: c.revision,
		Incarnation: w.Incarnation, RemainingMs: uint32(max(0, remaining)), Priority: uint32(c.priority),
		Repeatable: c.kind.Repeatable, Interruptible: c.kind.Interruptible, IdempotencyKey: c.key,
	}
	if w.Prefill != nil {
		r.Prefill = &v1.PrefillSource{Instance: w.Prefill.Instance, Address: w.Prefill.Address}
	}
	if c.model != nil {
		r.Request = &v1.ExecuteRequest_Model{Model: c.model}
	} else {
		r.Request = &v1.ExecuteRequest_Plain{Plain: c.plain}
	}
	return r
}

// pickRequest returns the properties of the call that the picker uses.
func (c *call) pickRequest() PickRequest {
	p := PickRequest{
		RequestID: c.id, Service: c.service.Service, Prefix: c.prefix, Repeatable: c.kind.Repeatable,
		FirstToken: c.kind.Deadlines.FirstToken.Std(), BetweenTokens: c.kind.Deadlines.BetweenTokens.Std(),
	}
	if c.model != nil {
		p.Model, p.Adapter = c.model.GetModel(), c.model.GetAdapter()
		p.PromptTokens, p.MaxTokens = int(c.model.GetPromptTokens()), int(c.model.GetMaxTokens())
	}
	return p
}
