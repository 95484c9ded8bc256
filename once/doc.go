// Package once ensures that a request that must not be repeated runs at most once.
//
// Before the first attempt of a request with an idempotency key, a claim for the key is recorded in
// the key-value service. The claims of a service are distributed over shards. Each shard has one open
// record, to which claims are added by compare-and-swap, and a list of sealed records, to which no
// claim is ever added:
//
//	once/<service>/layout            number of shards, never changed
//	once/<service>/<shard>           open record: recent claims and the list of sealed records
//	once/<service>/<shard>/<version> sealed record, named by the version of the open record that it copies
//
// Invariants:
//
//   - A key has at most one claim in the open record and the sealed records that it lists. A claim
//     is added only by a compare-and-swap of the open record that expects a version at which neither
//     the open record nor any sealed record in its list contained the key. Claims are removed from
//     sealed records or completed in them, but never added.
//   - A keyed request may be dispatched only if the claim holds its ID.
//   - A claim is removed only by a release of its own request or when it is older than the
//     retention period plus twice the skew bound.
//   - Shard ownership only determines which entry batches the claims. Correctness does not depend on
//     it: any number of entries may write to a shard concurrently.
package once
