// Package order changes the configuration of engines through orders. The key-value service holds
// one order record per engine, which is changed only by compare-and-swap.
//
// The Planner runs in the process that holds the pool's lease. It seals the engine's sidecar under
// its fence number, which means that the sidecar refuses lower numbers from then on. It adopts an
// earlier planner's unfinished order, and issues new orders. The Executor runs in the engine's
// sidecar, which is the only process that sends orders to the engine. The function Next is the
// state machine: a pure function from a record and an event to a record.
//
//	planned -> draining -> executing -> done | failed
//
// A planned or draining order may also fail; a draining order is planned again when its sidecar
// restarts.
//
// Rules:
//
//   - A new order is issued only when the last one is done or failed.
//   - An order is applied only under the fence number that issued it. A new planner withdraws
//     (fails) an order that has not begun to execute, and waits for the end of one that has.
//   - Immediately before it applies an order, the sidecar reads the record, the pool's fence and
//     its holder. The record must be unchanged, the pool must be held under the order's fence
//     number, and the order must be sent to the engine within MaxReadAge after the reads began.
//   - A sidecar that starts takes the next incarnation number. It then waits for slightly longer
//     than MaxReadAge, because an earlier sidecar may still apply an order that an earlier read
//     allowed, and asks the engine for its state before it accepts an order.
//   - If an engine's state is not the recorded one, the sidecar sets the record's field Unknown.
//     The planner then issues the recorded configuration under a new number.
//
// An order costs 5 reads and 4 writes of the key-value service, and a handover costs 2 reads and 1
// write per engine. A sidecar without orders makes 1 read per 30 s.
//
// Known limitation: the process may be paused between the last check of MaxReadAge and the send
// of the order on loopback. A sidecar paused there acknowledges no seal, so no new planner takes
// over the engine before the order is sent. If a second sidecar has claimed the engine in the
// meantime, only an engine that checks fence numbers refuses the late order.
//
// A sidecar whose engine has been claimed by another one detects it at its next write or read of
// the record, after 36 s at most. The drain of the new sidecar does not wait for requests that still
// run through the earlier one.
package order
