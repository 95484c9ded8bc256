// Package order changes the configuration of engines by orders that are recorded in the key-value
// service, one record per engine, changed only by compare-and-swap.
//
// The Planner runs in the process that holds the pool's lease. It seals the engine's sidecar under
// its fence number, settles an order that an earlier planner left unfinished, and issues orders.
// The Executor runs in the engine's sidecar and is the only process that sends orders to the
// engine. Next is the state machine: a pure function from a record and an event to a record.
//
//	planned -> draining -> executing -> done | failed
//
// Rules:
//
//   - A new order is issued only when the last one is done or failed.
//   - An order takes effect only under the fence number that issued it. A new planner withdraws
//     (fails) an order that has not begun to execute, and awaits the end of one that has.
//   - Immediately before the effect the sidecar reads the record, the pool's fence and its holder.
//     All must match, and the effect must begin within EffectBound after the read began.
//   - A sidecar that starts takes the next incarnation number. It then waits for EffectBound, in
//     which an earlier sidecar may still begin an effect on the strength of an earlier read, and
//     asks the engine for its state before it accepts an order.
//   - An engine whose state is not the recorded one is marked in the record. The planner issues
//     the recorded configuration under a new number.
//
// An order costs 5 reads and 4 writes of the key-value service in all, and a handover 2 reads and 1
// write per engine. A sidecar without orders makes 1 read per 30 s.
//
// One gap remains: the process may be paused between the last check of EffectBound and the send
// of the order on loopback. A sidecar paused there acknowledges no seal, so no new planner owns
// the engine before the order is sent. If a second sidecar has claimed the slot in the meantime,
// only an engine that checks fence numbers refuses the late order.
//
// A sidecar that another one has superseded notices at its next write or read of the record, 36 s
// at most. The drain of the new sidecar does not wait for requests that still run through the
// earlier one.
package order
