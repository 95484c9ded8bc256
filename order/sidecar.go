package order

import "context"

// SealRequest asks a sidecar to refuse lower fence numbers from now on.
type SealRequest struct {
	Pool, Engine string
	Fence        uint64
	Holder       string
}

// SealResult is a sidecar's answer to an accepted seal.
type SealResult struct {
	HighestFence uint64
	Incarnation  uint64
	// Executing is the number of the order that the sidecar is executing, 0 if none.
	Executing uint64
}

// Notice tells a sidecar that its order record has changed.
type Notice struct {
	Pool, Engine  string
	Fence, Number uint64
}

// Sidecar is the interface through which a planner calls an engine's sidecar. If the sidecar
// refuses a call, it returns one of the executor's errors. Both calls may be delivered more than
// once.
type Sidecar interface {
	Seal(ctx context.Context, r SealRequest) (SealResult, error)
	NotifyOrder(ctx context.Context, n Notice) error
}

// Drainer takes an engine out of service for a planned change. Its methods may be called
// repeatedly.
type Drainer interface {
	// BeginDrain stops the engine from accepting new work.
	BeginDrain(ctx context.Context) error
	// Wait returns nil when all requests that a planned change must not interrupt have ended, or the
	// error of ctx.
	Wait(ctx context.Context) error
	// EndDrain lets the engine accept new work again.
	EndDrain()
}
