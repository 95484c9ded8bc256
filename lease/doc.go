// Package lease gives one process at a time the authority over a pool, and numbers each grant of
// authority with a fence number that only grows.
//
// To acquire a pool, a process grants a lease, creates pool/<pool>/holder attached to that lease,
// and increments pool/<pool>/fence by compare-and-swap. The fence key is not attached to the
// lease, so the number outlives it. Each acquisition is a session with its own ID. The holder key
// and the fence record both name the session; a pool is held if the two agree.
//
// An Authority is valid until (monotonic time at which the last successful keep-alive was sent +
// TTL - safety margin). Once it has been invalid it stays so: the process gives up the session
// and competes again. The monotonic clock does not count the time in which the whole machine is
// suspended; the checks of package order on the sidecar's side cover that case.
//
// # Lost responses
//
// Every record carries a write ID, so a writer whose response was lost reads the record back. A
// lost response to a lease grant leaves a lease that nobody renews; it expires by itself.
//
// # Calls to the key-value service
//
// A holder renews each pool once per TTL/3: 0.3 writes per second and pool at the default TTL of
// 10 s. All other processes read the state of all pools with one List call per poll. The poll
// interval grows with the number of competitors (Config.Competitors) so that a group of
// competitors makes at most 1/PollSpacing = 2 reads per second together, up to 60 competitors;
// above that, each polls once in 30 s. 340 entries in 5 groups make 11.3 reads per second for
// all pools. An acquisition costs 3 writes and 1 read. A vacant pool is found by the next
// poll, after half a second on average in a group of 4 or more competitors.
package lease
