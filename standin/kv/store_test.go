package kv_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// Guards against a write with a lost response that does not take effect. This would hide faults of
// callers that retry it.
func TestLostAnswerTakesEffect(t *testing.T) {
	s := kv.NewStore(kv.Limits{})
	s.Faults().Set(kv.FaultState{LoseAnswers: 1})
	_, err := s.CompareAndSwap(t.Context(), "a", 0, []byte("x"), 0)
	require.ErrorIs(t, err, external.ErrOutcomeUnknown)
	e, err := s.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, "x", string(e.Value))
	_, err = s.CompareAndSwap(t.Context(), "a", 0, []byte("y"), 0)
	require.ErrorIs(t, err, external.ErrConflict)
}

// Guards against keys that remain after their lease has expired, and against watches that do not
// report the removal.
func TestLeaseExpiryRemovesKeyAndWakesWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kv.NewStore(kv.Limits{})
		id, err := s.GrantLease(t.Context(), time.Second)
		require.NoError(t, err)
		_, err = s.CompareAndSwap(t.Context(), "pool/a/holder", 0, []byte("e1"), id)
		require.NoError(t, err)
		events, _, err := s.Watch(t.Context(), "pool/", 1)
		require.NoError(t, err)
		require.Len(t, events, 1)
		require.True(t, events[0].Deleted)
		require.ErrorIs(t, s.KeepAlive(t.Context(), id), external.ErrLeaseExpired)
	})
}
