// Package once keeps a request that must not be repeated from running more than once.
//
// A request with an idempotency key is claimed in the key-value service before its first attempt.
// The claims of a service are spread over shards. Each shard has one open record, to which claims
// are added by compare-and-swap, and a list of sealed records, to which no claim is ever added:
//
//	once/<service>/layout            number of shards, written once
//	once/<service>/<shard>           open record: recent claims and the list of sealed records
//	once/<service>/<shard>/<version> sealed record, named by the version of the open record it holds
//
// Invariants:
//
//   - A key has at most one claim in the open record and the sealed records that it lists. A claim
//     is added only by a compare-and-swap of the open record, at a version at which the key was in
//     neither the open record nor any listed sealed record. Sealed records only lose claims.
//   - Only the request whose ID is in the claim may be dispatched.
//   - A claim is removed only by a release of its own request or when it is older than the
//     retention period plus twice the skew bound.
//   - Ownership of a shard decides only where claims are batched. Correctness never depends on it.
package once
