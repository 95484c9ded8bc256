package order

import "errors"

// Errors of the state machine.
var (
	// ErrUnsettled means that the last order is neither done nor failed.
	ErrUnsettled = errors.New("last order is not settled")
	// ErrWrongPhase means that the event does not fit the record's phase or order number.
	ErrWrongPhase = errors.New("event does not fit the order's phase")
	// ErrNotClaimed means that no sidecar has claimed the engine yet.
	ErrNotClaimed = errors.New("no sidecar has claimed the engine")
	// ErrSuperseded means that another sidecar with a higher incarnation has claimed the engine.
	ErrSuperseded = errors.New("another sidecar has claimed the engine")
	// ErrStaleFence means that the fence number is lower than one already seen, or that the pool is
	// no longer held under it.
	ErrStaleFence = errors.New("fence number is stale")
)

// Errors of the planner.
var (
	// ErrNoAuthority means that the authority is no longer valid.
	ErrNoAuthority = errors.New("authority over the pool is not valid")
	// ErrNotSealed means that the engine is not sealed under the fence number in question.
	ErrNotSealed = errors.New("engine is not sealed under this fence number")
)

// Errors of the executor.
var (
	// ErrNotReady means that the sidecar has not finished its start.
	ErrNotReady = errors.New("sidecar has not established its state")
	// ErrWrongEngine means that a message is for another pool or engine.
	ErrWrongEngine = errors.New("message is for another engine")
	// ErrFenceNotConfirmed means that the key-value service does not confirm the fence number and holder,
	// for example because the pool has changed hands since the message was sent.
	ErrFenceNotConfirmed = errors.New("pool record does not confirm the fence number and holder")
	// ErrReadTooOld means that the order would be applied more than MaxReadAge after the start of the
	// reads that allow it.
	ErrReadTooOld = errors.New("read before effect is too old")
	// ErrEngine means that the engine's state cannot be read, or that it keeps changing.
	ErrEngine = errors.New("engine state is not established")
	// ErrDrain means that the engine could not be drained: either the drain could not begin, or
	// requests that must not be interrupted did not finish in time.
	ErrDrain = errors.New("drain did not finish")
	// ErrWeights means that the weight store did not grant a load.
	ErrWeights = errors.New("weights were not granted")
)

// Errors of record storage.
var (
	// ErrConflict means that another process changed the record, or that a new planner sealed the
	// engine.
	ErrConflict = errors.New("order record was changed by another process")
	// ErrStore means that the record or the pool state could not be read or written. A write may
	// have taken effect.
	ErrStore = errors.New("order record cannot be read or written")
	// ErrBadRecord means that the record cannot be decoded.
	ErrBadRecord = errors.New("order record is malformed")
)
