package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an authority that outlasts the suspension of its machine, in which the monotonic clock stands still and
// the lease expires.
func TestSuspensionEndsAuthority(t *testing.T) {
	require.GreaterOrEqual(t, readSuspendedTime(), time.Duration(0))
	require.InDelta(t, 0, time.Until(now()).Seconds(), 0.1)
	a, short := NewAuthority("p", "h", 1, now().Add(10*time.Second)), NewAuthority("p", "h", 1, now().Add(10*time.Second))
	defer func() { suspendedTime = readSuspendedTime }()
	suspendedTime = func() time.Duration { return suspendedBeforeStart + 9*time.Second }
	require.True(t, short.Valid())
	require.Less(t, short.remaining(), 2*time.Second)
	suspendedTime = func() time.Duration { return suspendedBeforeStart + 11*time.Second }
	require.False(t, a.Valid())
	require.False(t, a.Extend(now().Add(10*time.Second)))
}
