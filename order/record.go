package order

import (
	"slices"

	"github.com/quetzallug/quetzallug/external"
)

// Phase is the stage that an order has reached. It is empty until a sidecar claims the engine, and
// done if no order has been issued.
type Phase string

// Phases of an order.
const (
	PhasePlanned   Phase = "planned"
	PhaseDraining  Phase = "draining"
	PhaseExecuting Phase = "executing"
	PhaseDone      Phase = "done"
	PhaseFailed    Phase = "failed"
)

// Settled reports whether the order has ended.
func (p Phase) Settled() bool { return p == PhaseDone || p == PhaseFailed }

// Record describes the last order of one engine. It is stored at order/<pool>/<engine>. Number 0
// means that no order has been issued; Config is then the configuration that the engine reported
// at the last start of a sidecar.
type Record struct {
	// Fence is the fence number of the planner that last issued or adopted the order.
	Fence uint64 `json:"fence"`
	// IssuedFence is the fence number under which the order was issued. It differs from Fence
	// after a handover.
	IssuedFence uint64                `json:"issued_fence"`
	Number      uint64                `json:"number"`
	Config      external.EngineConfig `json:"wanted"`
	Phase       Phase                 `json:"phase"`
	WriteID     string                `json:"write_id"`
	// Incarnation counts the sidecars that have claimed the engine. Events of any but the latest
	// sidecar are refused.
	Incarnation uint64 `json:"incarnation"`
	// StartID is the engine's start ID when the record was last compared with its state.
	StartID string `json:"start_id,omitempty"`
	// Unknown means that the engine's state is, or may be, different from the recorded one.
	Unknown bool   `json:"unknown,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// Key returns the key of an engine's order record.
func Key(pool, engine string) string { return "order/" + pool + "/" + engine }

// sameConfig compares configurations without regard to the order of models and adapters.
func sameConfig(a, b external.EngineConfig) bool {
	return a.Role == b.Role && sameSet(a.Models, b.Models) && sameSet(a.Adapters, b.Adapters)
}

func sameSet(a, b []external.ModelVersion) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.Contains(b, m) {
			return false
		}
	}
	return true
}
