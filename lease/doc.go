// Package lease grants the authority over a pool to one process at a time, and gives each grant a
// fence number that only increases.
//
// To acquire a pool, a process grants a lease, creates pool/<pool>/holder attached to that lease,
// and increments pool/<pool>/fence by compare-and-swap. The fence key is not attached to the
// lease, so the number persists when the lease ends. Each acquisition is a session with its own
// ID. The holder key and the fence record both contain the session ID; a pool is held if the two
// agree.
//
// An Authority is valid until (monotonic time at which the grant or the last successful keep-alive
// was sent + TTL - safety margin). An authority that has become invalid stays invalid: the process
// gives up the session and competes again. The time in which the whole machine was suspended, which the
// monotonic clock does not count, is added from CLOCK_BOOTTIME. A machine that is suspended between a check and the
// action that it allows is covered by the checks that package order makes in the sidecar.
//
// # Restored services
//
// A service that comes back from an older copy begins a new epoch (package external). Leases of earlier epochs may be gone
// or their numbers be given out again, so that an authority ends as soon as any response of a later epoch was seen; a holder
// that sees none ends with its lease. The fence of an epoch is above all fences of earlier ones, also if the record was
// lost. The next holder waits as after any other one.
//
// # Lost responses
//
// Every record contains a write ID. A writer whose response was lost reads the record back and
// compares the ID. If the response to a lease grant is lost, nobody renews the lease and it
// expires.
//
// # Calls to the key-value service
//
// A holder renews each pool once per TTL/3: 0.3 writes per second and pool at the default TTL of
// 10 s. A process that may acquire more pools reads the state of all pools with one List call per
// poll. The poll interval increases with the number of competitors (Config.Competitors), so that a
// group of up to 60 competitors makes at most 1/PollSpacing = 2 reads per second in total; in a
// larger group each competitor polls once in 30 s. For example, 340 competing processes in 5 groups
// make 11.3 reads per second in total. An acquisition costs 3 writes and 1 read. A vacant pool is found by the next poll, after half a
// second on average in a group of 4 or more competitors.
package lease
